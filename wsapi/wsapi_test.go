package wsapi

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/playapi"
	"gullrail/playlog"
	"gullrail/session"
	"gullrail/sockets"
	"gullrail/token"
)

// asker stands in for the core: tests answer requests and change plays themselves.
type asker struct {
	clock *session.Clock
	mu    sync.Mutex
	asks  []session.Request
	gone  int // withdrawn
	tells int // events for the core
}

func (a *asker) RequestPlay(x session.Request, _ string, _ float64) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asks = append(a.asks, x)
	return func() { a.mu.Lock(); a.gone++; a.mu.Unlock() }
}

func (a *asker) Post(func(int64, *session.Core)) { a.mu.Lock(); a.tells++; a.mu.Unlock() }
func (a *asker) Clock() *session.Clock           { return a.clock }

// ask waits for the n-th request, from 0.
func (a *asker) ask(t testing.TB, n int) session.Request {
	t.Helper()
	var x session.Request
	until(t, "a request", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(a.asks) > n {
			x = a.asks[n]
			return true
		}
		return false
	})
	return x
}

func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 1000 { // shorter than the grace
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s did not come", what)
}

func plays(play string, rung int) session.Answer {
	return session.Answer{Verdict: session.Plays, Play: play, Node: "n", Address: "127.0.0.1:1", Title: "t", Viewer: "v", Rung: rung, MaxRung: 1}
}

type bench struct {
	*asker
	front  *Front
	server *httptest.Server
}

func newBench(t testing.TB, connections int) *bench {
	t.Helper()
	doc, v, err := config.Parse("s", []byte(`{"fronts": 1, "rates_kb": [100, 200], "worth": [0.5, 1], "cells": 4, "racks": 2, "link_kb": 1000,
    "kinds": [{"name": "std", "streams": 10}], "zones": ["z"],
    "products": [{"name": "p", "importance": 1, "target_ms": 300, "limit_ms": 900}],
    "titles": [{"name": "t", "home": 0, "copies": 2}], "reports": {"how": "probe"},
    "rules": {"cold_share": 0.4, "cold_lasts_ms": 10000, "fall_multiple": 2, "fall_over_ms": 1000, "drain_grace_ms": 500}}`))
	if err != nil {
		t.Fatal(err)
	}
	set := config.ReadService(v)
	if doc.Err() != nil {
		t.Fatal(doc.Err())
	}
	minter, err := token.NewMinter(token.Key{ID: "k", Private: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, 32))}, nil)
	if err != nil {
		t.Fatal(err)
	}
	a := &asker{clock: session.NewClock()}
	b := &bench{asker: a}
	b.front = New(playapi.New("f", "http", &set, minter, time.Minute, a, zerolog.Nop()), a.clock, connections, 1, zerolog.Nop())
	b.server = httptest.NewServer(b.front)
	t.Cleanup(func() {
		b.front.Close()
		b.server.Close()
		if _, open, _ := b.front.Counts(); open != 0 {
			t.Errorf("%d sockets are left", open)
		}
	})
	return b
}

// peer is a player's end.
type peer struct {
	t    testing.TB
	conn *websocket.Conn
}

func (b *bench) dial(t testing.TB) *peer {
	t.Helper()
	conn, _, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(b.server.URL, "http"), &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.CloseNow() })
	return &peer{t, conn}
}

func (p *peer) say(format string, args ...any) {
	p.t.Helper()
	if err := p.conn.Write(p.t.Context(), websocket.MessageText, fmt.Appendf(nil, format, args...)); err != nil {
		p.t.Fatal(err)
	}
}

// hear reads one message, which must be by the schema.
func (p *peer) hear() Message {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), 5*time.Second)
	defer cancel()
	_, text, err := p.conn.Read(ctx)
	if err != nil {
		p.t.Fatal(err)
	}
	m, err := DecodeFront(text)
	if err != nil {
		p.t.Fatalf("%v: %s", err, text)
	}
	return m
}

// closed reads on until the socket is closed, and returns the code and the last message.
func (p *peer) closed() (websocket.StatusCode, Message) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), 8*time.Second)
	defer cancel()
	var last Message
	for {
		_, text, err := p.conn.Read(ctx)
		if err != nil {
			return websocket.CloseStatus(err), last
		}
		last = Message{}
		json.Unmarshal(text, &last)
	}
}

const (
	ticketA = "aaaaaaaaaaaaaaaaaaaa"
	ticketB = "bbbbbbbbbbbbbbbbbbbb"
	askA    = `{"type":"ask","ticket":"` + ticketA + `","title":"t","product":"p","viewer":"v"}`
)

func TestOneAnswerThenRungsThenTheEnd(t *testing.T) {
	b := newBench(t, 100)
	p := b.dial(t)
	p.say(askA)
	x := b.ask(t, 0)
	x.Reply.Resolve(plays("p1", 0))
	m := p.hear()
	if m.Type != "answer" || m.Verdict != "plays" || m.Cursor != 1 || m.Grant == nil || m.Grant.Play != "p1" || len(m.Grant.Rungs) != 1 {
		t.Fatalf("%+v", m)
	}
	x.OnEvent(session.Event{Answer: plays("p1", 1)})
	if m = p.hear(); m.Type != "rung" || m.Cursor != 2 || len(m.Grant.Rungs) != 2 || m.Grant.Rungs[1].ID != "r1" {
		t.Fatalf("%+v", m)
	}
	x.OnEvent(session.Event{Ended: playlog.Moved, Answer: session.Answer{Play: "p1"}})
	if m = p.hear(); m.Type != "moved" || m.Cursor != 3 || m.Play != "p1" {
		t.Fatalf("%+v", m)
	}
	p.say(`{"type":"ack","ticket":%q,"cursor":3}`, ticketA)
	until(t, "the ticket's end", func() bool { _, _, lines := b.front.Counts(); return lines == 0 })
}

func TestRefusalsCarryAdviceAndLateOnesSaySo(t *testing.T) {
	b := newBench(t, 100)
	p := b.dial(t)
	p.say(askA)
	b.ask(t, 0).Reply.Resolve(session.Answer{Verdict: session.Declined, Reason: "no node can take it", RetryAfter: 7000})
	if m := p.hear(); m.Verdict != "declined" || m.ComeBack != 700 {
		t.Fatalf("%+v", m)
	}
	p.say(`{"type":"ask","ticket":%q,"title":"t","product":"p","viewer":"v","limit_ms":50}`, ticketB)
	if m := p.hear(); m.Verdict != "failed" || m.Why != "time limit" || m.Ticket != ticketB {
		t.Fatalf("%+v", m)
	}
	if b.ask(t, 1).Reply.Resolve(plays("late", 0)) {
		t.Fatal("answered twice")
	}
}

func TestResumeGivesWhatWasMissedInOrderOnce(t *testing.T) {
	b := newBench(t, 100)
	p := b.dial(t)
	p.say(askA)
	x := b.ask(t, 0)
	x.Reply.Resolve(plays("p1", 0))
	p.hear()
	p.conn.CloseNow()
	x.OnEvent(session.Event{Answer: plays("p1", 1)})
	x.OnEvent(session.Event{Answer: plays("p1", 0)})
	q := b.dial(t)
	q.say(`{"type":"resume","ticket":%q,"cursor":1}`, ticketA)
	for want := uint64(2); want <= 3; want++ {
		if m := q.hear(); m.Type != "rung" || m.Cursor != want {
			t.Fatalf("%d: %+v", want, m)
		}
	}
	x.OnEvent(session.Event{Ended: playlog.Served, Answer: session.Answer{Play: "p1"}})
	q.conn.CloseNow()
	r := b.dial(t)
	r.say(`{"type":"resume","ticket":%q,"cursor":3}`, ticketA)
	if m := r.hear(); m.Type != "ended" || m.Cursor != 4 {
		t.Fatalf("resumed after the end: %+v", m)
	}
	if len(b.asks) != 1 {
		t.Fatal("asked twice")
	}
}

func TestAnswerDecidedWhileTheSocketIsDown(t *testing.T) {
	b := newBench(t, 100)
	p := b.dial(t)
	p.say(askA)
	x := b.ask(t, 0)
	p.conn.CloseNow()
	until(t, "the break", func() bool { _, open, _ := b.front.Counts(); return open == 0 })
	x.Reply.Resolve(plays("p1", 0))
	q := b.dial(t)
	q.say(`{"type":"resume","ticket":%q,"cursor":0}`, ticketA)
	if m := q.hear(); m.Type != "answer" || m.Verdict != "plays" {
		t.Fatalf("%+v", m)
	}
	q.say(`{"type":"ack","ticket":%q,"cursor":1}`, ticketA)
	// Another, for whom nobody comes back: ended at its time limit, not before, and its seat is free.
	q.say(`{"type":"ask","ticket":%q,"title":"t","product":"p","viewer":"v","limit_ms":400}`, ticketB)
	y := b.ask(t, 1)
	q.conn.CloseNow()
	until(t, "the break", func() bool { _, open, _ := b.front.Counts(); return open == 0 })
	y.Reply.Resolve(plays("p2", 0))
	b.mu.Lock()
	tells := b.tells
	b.mu.Unlock()
	until(t, "the play's end", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.tells > tells })
	if now := b.clock.Now(); now < y.Deadline {
		t.Fatalf("ended %d before its limit, while its viewer might return", y.Deadline-now)
	}
	z := b.dial(t)
	z.say(`{"type":"resume","ticket":%q,"cursor":0}`, ticketB)
	if m := z.hear(); m.Type != "unknown" {
		t.Fatalf("after its end: %+v", m)
	}
}

func TestRequestIsWithdrawnWhenNobodyComesBack(t *testing.T) {
	b := newBench(t, 100)
	p := b.dial(t)
	p.say(`{"type":"ask","ticket":%q,"title":"t","product":"p","viewer":"v","limit_ms":300}`, ticketA)
	x := b.ask(t, 0)
	p.conn.CloseNow()
	until(t, "the withdrawal", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.gone == 1 })
	if x.Reply.Resolve(plays("p", 0)) {
		t.Fatal("answered after it was withdrawn")
	}
}

func TestTwoSocketsForOnePlay(t *testing.T) {
	b := newBench(t, 100)
	p := b.dial(t)
	p.say(askA)
	x := b.ask(t, 0)
	x.Reply.Resolve(plays("p1", 0))
	p.hear()
	q := b.dial(t) // the old one still lives
	q.say(`{"type":"resume","ticket":%q,"cursor":1}`, ticketA)
	if m := p.hear(); m.Type != "taken" || m.Ticket != ticketA {
		t.Fatalf("%+v", m)
	}
	x.OnEvent(session.Event{Answer: plays("p1", 1)})
	if m := q.hear(); m.Type != "rung" {
		t.Fatalf("%+v", m)
	}
	p.conn.CloseNow()
	until(t, "the old one's end", func() bool { _, open, _ := b.front.Counts(); return open == 1 })
	x.OnEvent(session.Event{Answer: plays("p1", 0)})
	if m := q.hear(); m.Type != "rung" || m.Cursor != 3 {
		t.Fatalf("%+v", m)
	}
	q.say(`{"type":"ask","ticket":%q,"title":"t","product":"p","viewer":"other"}`, ticketB)
	if m := q.hear(); m.Type != "error" || m.Why != "the socket is another viewer's" {
		t.Fatalf("%+v", m)
	}
}

// raw is a player's end by hand, for what a library would not do.
type raw struct {
	conn net.Conn
	in   *bufio.Reader
}

func (b *bench) raw(t testing.TB) *raw {
	t.Helper()
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"+
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: %s\r\n\r\n", Subprotocol)
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != http.StatusSwitchingProtocols {
		t.Fatalf("%v %v", resp, err)
	}
	return &raw{conn, in}
}

// frame is a masked text frame (RFC 6455, 5.2).
func frame(text string) []byte {
	out := []byte{0x81}
	if len(text) < 126 {
		out = append(out, 0x80|byte(len(text)))
	} else {
		out = binary.BigEndian.AppendUint16(append(out, 0x80|126), uint16(len(text)))
	}
	mask := []byte{1, 2, 3, 4}
	out = append(out, mask...)
	for i := range len(text) {
		out = append(out, text[i]^mask[i%4])
	}
	return out
}

// read returns the next frame's kind and payload.
func (r *raw) read(t testing.TB) (byte, string) {
	t.Helper()
	r.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	var head [2]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil {
		t.Fatal(err)
	}
	n := int(head[1] & 0x7f)
	if n == 126 {
		var long [2]byte
		if _, err := io.ReadFull(r.in, long[:]); err != nil {
			t.Fatal(err)
		}
		n = int(binary.BigEndian.Uint16(long[:]))
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r.in, body); err != nil {
		t.Fatal(err)
	}
	return head[0] & 0xf, string(body)
}

func TestAFrameSplitAtEveryByte(t *testing.T) {
	b := newBench(t, 1000)
	whole := frame(askA)
	r := b.raw(t)
	if tcp, ok := r.conn.(*net.TCPConn); ok {
		tcp.SetNoDelay(true)
	}
	n := 0
	for cut := 1; cut < len(whole); cut++ {
		ticket := fmt.Sprintf("%020d", cut)
		text := frame(strings.Replace(askA, ticketA, ticket, 1))
		for _, part := range [][]byte{text[:cut], text[cut:]} {
			if _, err := r.conn.Write(part); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		b.ask(t, n).Reply.Resolve(session.Answer{Verdict: session.Declined, Reason: "no"})
		if _, body := r.read(t); !strings.Contains(body, ticket) {
			t.Fatalf("cut at %d: %s", cut, body)
		}
		r.conn.Write(frame(`{"type":"bye","ticket":"` + ticket + `"}`))
		if n++; n%4 == 0 { // within the rate that a player may speak at
			r = b.raw(t)
		}
	}
	if n < 60 {
		t.Fatalf("%d cuts", n)
	}
}

func TestMessagesThatDoNotHold(t *testing.T) {
	b := newBench(t, 100)
	p := b.dial(t)
	p.say(`{"type":"ask","ticket":"short","title":"t","product":"p","viewer":"v"}`)
	if m := p.hear(); m.Type != "error" || !strings.Contains(m.Why, "schema") {
		t.Fatalf("%+v", m)
	}
	p.say("%s", strings.Replace(askA, `"t"`, `"none"`, 1))
	if m := p.hear(); m.Type != "error" || m.Why != `title: "none" is not known` {
		t.Fatalf("%+v", m)
	}
	p.say(`{"type":"ack","ticket":%q,"cursor":1}`, ticketA)
	if m := p.hear(); m.Why != "this socket has no such ticket" {
		t.Fatalf("%+v", m)
	}
	p.say(`{`)
	p.say(`[]`)
	if code, last := p.closed(); code != websocket.StatusPolicyViolation || last.Type != "bye" || last.ComeBack == 0 {
		t.Fatalf("code %d, %+v", code, last)
	}
	p = b.dial(t)
	p.conn.Write(t.Context(), websocket.MessageText, bytes.Repeat([]byte("a"), sockets.MaxMessageBytes+1))
	if code, _ := p.closed(); code != websocket.StatusMessageTooBig {
		t.Fatalf("over its limit: %d", code)
	}
	if _, err := http.Get(b.server.URL); err != nil {
		t.Fatal(err)
	}
	conn, _, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(b.server.URL, "http"), nil)
	if err == nil {
		_, _, err = conn.Read(t.Context())
	}
	if websocket.CloseStatus(err) != websocket.StatusPolicyViolation {
		t.Fatalf("without the subprotocol: %v", err)
	}
}

func TestAFloodingPlayerIsCutOffAndOthersAreNot(t *testing.T) {
	b := newBench(t, 100)
	other := b.dial(t)
	other.say("%s", strings.Replace(askA, ticketA, ticketB, 1))
	x := b.ask(t, 0)
	x.Reply.Resolve(plays("p1", 0))
	other.hear()
	bad, _, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(b.server.URL, "http")+"?viewer=bad", &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
	if err != nil {
		t.Fatal(err)
	}
	defer bad.CloseNow()
	for range 500 {
		if bad.Write(t.Context(), websocket.MessageText, []byte(`{"type":"bye","ticket":"`+ticketA+`"}`)) != nil {
			break
		}
	}
	if code, _ := (&peer{t, bad}).closed(); code != websocket.StatusPolicyViolation && code != -1 {
		t.Fatalf("code %d", code)
	}
	_, resp, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(b.server.URL, "http")+"?viewer=bad", &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
	if err == nil || resp == nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || resp.Header.Get(RetryAfterMsHeader) == "" {
		t.Fatalf("let in at once again: %v %v", resp, err)
	}
	x.OnEvent(session.Event{Answer: plays("p1", 1)})
	if m := other.hear(); m.Type != "rung" {
		t.Fatalf("another player: %+v", m)
	}
}

func TestAReaderThatStopsReading(t *testing.T) {
	b := newBench(t, 100)
	r := b.raw(t)
	r.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	r.conn.Write(frame(askA))
	x := b.ask(t, 0)
	x.Reply.Resolve(plays("p1", 0))
	r.read(t)
	r.conn.Write(frame(`{"type":"ack","ticket":"` + ticketA + `","cursor":1}`))
	stop := time.Now().Add(30 * time.Second)
	for open := 1; open > 0; _, open, _ = b.front.Counts() { // until its buffers are full and its time to take a message has passed
		x.OnEvent(session.Event{Answer: plays("p1", 1)})
		if time.Now().After(stop) {
			t.Fatal("it is still held")
		}
		time.Sleep(50 * time.Microsecond)
	}
	for range 100 {
		x.OnEvent(session.Event{Answer: plays("p1", 1)})
	}
	b.front.mu.Lock()
	l := b.front.lines[ticketA]
	b.front.mu.Unlock()
	l.mu.Lock()
	kept := l.box.Len()
	l.mu.Unlock()
	if kept > sockets.MaxOutbox {
		t.Fatalf("%d messages are kept for it", kept)
	}
	// It comes back, reads, and is told how much was left out.
	q := b.dial(t)
	q.say(`{"type":"resume","ticket":%q,"cursor":1}`, ticketA)
	skipped := 0
	for range kept {
		skipped += q.hear().Skipped
	}
	if skipped < 80 {
		t.Fatalf("%d told as left out", skipped)
	}
}

func TestPingWithoutPongAndHalfOpenSockets(t *testing.T) {
	t.Parallel()
	b := newBench(t, 100)
	r := b.raw(t) // reads nothing, so sends no pong
	r.conn.Write(frame(askA))
	b.ask(t, 0).Reply.Resolve(plays("p1", 0))
	began := time.Now()
	for {
		if _, open, _ := b.front.Counts(); open == 0 {
			break
		}
		if time.Since(began) > session.Duration(sockets.PingInterval+sockets.PongTimeout)+5*time.Second {
			t.Fatal("a peer that is gone is still held")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestOrderlyEndWithSocketsOpen(t *testing.T) {
	b := newBench(t, 1000)
	var peers []*peer
	for i := range 50 {
		p := b.dial(t)
		p.say("%s", strings.Replace(askA, ticketA, fmt.Sprintf("%020d", i), 1))
		peers = append(peers, p)
		x := b.ask(t, i)
		if i > 0 {
			x.Reply.Resolve(plays(fmt.Sprint("p", i), 0))
			p.hear()
		}
	}
	b.front.Shut()
	seen := map[int64]bool{}
	for i, p := range append(peers[1:], peers[0]) {
		if i == len(peers)-1 { // it is still owed its answer
			b.ask(t, 0).Reply.Resolve(plays("p0", 0))
			if m := p.hear(); m.Type != "answer" {
				t.Fatalf("%+v", m)
			}
		}
		m := p.hear()
		if m.Type != "bye" || m.ComeBack < 1000 {
			t.Fatalf("%+v", m)
		}
		seen[m.ComeBack] = true
		p.conn.Close(websocket.StatusNormalClosure, "")
	}
	if len(seen) < 25 {
		t.Fatalf("%d different pauses for 50", len(seen))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	b.front.Drain(ctx)
	if _, open, _ := b.front.Counts(); open != 0 || ctx.Err() != nil {
		t.Fatalf("%d are open", open)
	}
	if _, resp, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(b.server.URL, "http"), nil); err == nil || resp == nil || resp.StatusCode != 503 {
		t.Fatal("let in at the end")
	}
}

func TestFullFrontShedsWhoPlaysNothing(t *testing.T) {
	b := newBench(t, 8) // six sockets
	playing := b.dial(t)
	playing.say(askA)
	b.ask(t, 0).Reply.Resolve(plays("p1", 0))
	playing.hear()
	var idle []*peer
	for range 5 {
		idle = append(idle, b.dial(t))
	}
	_, resp, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(b.server.URL, "http"), &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
	if err == nil || resp.StatusCode != 503 {
		t.Fatal("a seventh")
	}
	if code, last := idle[0].closed(); code != websocket.StatusTryAgainLater || last.Type != "bye" {
		t.Fatalf("the longest idle goes: %d %+v", code, last)
	}
	until(t, "room", func() bool { _, open, _ := b.front.Counts(); return open == 5 })
	b.dial(t)
}

func TestSchemaTakesWhatItSays(t *testing.T) {
	for _, s := range []string{askA, `{"type":"resume","ticket":"` + ticketA + `","cursor":0}`, `{"type":"report","ticket":"` + ticketA + `","share":0.5,"buffer_ms":900}`} {
		if _, err := Decode([]byte(s)); err != nil {
			t.Errorf("%s: %v", s, err)
		}
	}
	for _, s := range []string{``, `{}`, `{"type":"answer","ticket":"` + ticketA + `","cursor":1,"verdict":"plays"}`, `{"type":"report","ticket":"` + ticketA + `","share":1.5}`,
		strings.Replace(askA, `"v"`, `"a b"`, 1), strings.Replace(askA, `}`, `,"more":1}`, 1)} {
		if _, err := Decode([]byte(s)); err == nil {
			t.Errorf("taken: %s", s)
		}
	}
	if len(Schema()) == 0 {
		t.Error("no schema")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(askA))
	f.Add([]byte(`{"type":"resume","ticket":"` + ticketA + `","cursor":9007199254740991,"token":"a.b.c"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Decode(text)
		if err == nil && (m.Type == "" || len(m.Ticket) < 16 || len(m.Ticket) > 64) {
			t.Fatalf("taken: %+v", m)
		}
	})
}
