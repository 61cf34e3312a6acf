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

// fakeCore replaces the core: it records requests, which the tests answer, and discards posted events.
type fakeCore struct {
	clock     *session.Clock
	mu        sync.Mutex
	requests  []session.Request
	withdrawn int // number of withdrawn requests
	posted    int // number of posted events
}

func (c *fakeCore) RequestPlay(request session.Request, _ string, _ float64) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, request)
	return func() { c.mu.Lock(); c.withdrawn++; c.mu.Unlock() }
}

func (c *fakeCore) Post(func(int64, *session.Core)) { c.mu.Lock(); c.posted++; c.mu.Unlock() }
func (c *fakeCore) Clock() *session.Clock           { return c.clock }

// waitForRequest waits for request n, counted from 0, and returns it.
func (c *fakeCore) waitForRequest(t testing.TB, n int) session.Request {
	t.Helper()
	var request session.Request
	waitFor(t, "a request", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.requests) > n {
			request = c.requests[n]
			return true
		}
		return false
	})
	return request
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 1000 { // 5 s, less than sockets.ReconnectGrace
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func playsAnswer(play string, rung int) session.Answer {
	return session.Answer{Verdict: session.Started, Play: play, Node: "n", Address: "127.0.0.1:1", Title: "t", Viewer: "v", Rung: rung, MaxRung: 1}
}

type fixture struct {
	*fakeCore
	front  *Server
	server *httptest.Server
}

func newFixture(t testing.TB, connections int) *fixture {
	t.Helper()
	doc, value, err := config.Parse("s", []byte(`{"fronts": 1, "rates_kb": [100, 200], "worth": [0.5, 1], "cells": 4, "racks": 2, "link_kb": 1000,
    "kinds": [{"name": "std", "streams": 10}], "zones": ["z"],
    "products": [{"name": "p", "importance": 1, "target_ms": 300, "limit_ms": 900}],
    "titles": [{"name": "t", "home": 0, "copies": 2}], "reports": {"how": "probe"},
    "rules": {"cold_share": 0.4, "cold_lasts_ms": 10000, "fall_multiple": 2, "fall_over_ms": 1000, "drain_grace_ms": 500}}`))
	if err != nil {
		t.Fatal(err)
	}
	service := config.ReadService(value)
	if doc.Err() != nil {
		t.Fatal(doc.Err())
	}
	minter, err := token.NewMinter(token.Key{ID: "k", Private: ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, 32))}, nil)
	if err != nil {
		t.Fatal(err)
	}
	core := &fakeCore{clock: session.NewClock()}
	f := &fixture{fakeCore: core}
	f.front = NewServer(playapi.New("f", "http", &service, minter, time.Minute, core, zerolog.Nop()), core.clock, connections, 1, zerolog.Nop())
	f.server = httptest.NewServer(f.front)
	t.Cleanup(func() {
		f.front.Close()
		f.server.Close()
		if _, open, _ := f.front.Counts(); open != 0 {
			t.Errorf("%d sockets are open after Close", open)
		}
	})
	return f
}

// player is the client side of a socket.
type player struct {
	t    testing.TB
	conn *websocket.Conn
}

func (f *fixture) dial(t testing.TB) *player {
	t.Helper()
	conn, _, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(f.server.URL, "http"), &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.CloseNow() })
	return &player{t, conn}
}

func (p *player) send(format string, args ...any) {
	p.t.Helper()
	if err := p.conn.Write(p.t.Context(), websocket.MessageText, fmt.Appendf(nil, format, args...)); err != nil {
		p.t.Fatal(err)
	}
}

// receive reads one message and validates it against the schema.
func (p *player) receive() Message {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), 5*time.Second)
	defer cancel()
	_, text, err := p.conn.Read(ctx)
	if err != nil {
		p.t.Fatal(err)
	}
	m, err := DecodeFromFront(text)
	if err != nil {
		p.t.Fatalf("%v: %s", err, text)
	}
	return m
}

// waitForClose reads until the socket is closed. It returns the close code and the last message.
func (p *player) waitForClose() (websocket.StatusCode, Message) {
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
	ticketA    = "aaaaaaaaaaaaaaaaaaaa"
	ticketB    = "bbbbbbbbbbbbbbbbbbbb"
	askMessage = `{"type":"ask","ticket":"` + ticketA + `","title":"t","product":"p","viewer":"v"}`
)

func TestAnswerThenRungChangesThenEnd(t *testing.T) {
	f := newFixture(t, 100)
	p := f.dial(t)
	p.send(askMessage)
	request := f.waitForRequest(t, 0)
	request.Reply.Resolve(playsAnswer("p1", 0))
	m := p.receive()
	if m.Type != "answer" || m.Verdict != "plays" || m.Cursor != 1 || m.Grant == nil || m.Grant.Play != "p1" || len(m.Grant.Rungs) != 1 {
		t.Fatalf("%+v", m)
	}
	request.OnEvent(session.Event{Answer: playsAnswer("p1", 1)})
	if m = p.receive(); m.Type != "rung" || m.Cursor != 2 || len(m.Grant.Rungs) != 2 || m.Grant.Rungs[1].ID != "r1" {
		t.Fatalf("%+v", m)
	}
	request.OnEvent(session.Event{EndReason: playlog.Moved, Answer: session.Answer{Play: "p1"}})
	if m = p.receive(); m.Type != "moved" || m.Cursor != 3 || m.Play != "p1" {
		t.Fatalf("%+v", m)
	}
	p.send(`{"type":"ack","ticket":%q,"cursor":3}`, ticketA)
	waitFor(t, "the removal of the ticket", func() bool { _, _, tickets := f.front.Counts(); return tickets == 0 })
}

func TestDeclineHasRetryAfterAndTimeoutHasReason(t *testing.T) {
	f := newFixture(t, 100)
	p := f.dial(t)
	p.send(askMessage)
	f.waitForRequest(t, 0).Reply.Resolve(session.Answer{Verdict: session.Declined, Reason: "no node can take it", RetryAfter: 7000})
	if m := p.receive(); m.Verdict != "declined" || m.RetryAfterMs != 700 {
		t.Fatalf("%+v", m)
	}
	p.send(`{"type":"ask","ticket":%q,"title":"t","product":"p","viewer":"v","limit_ms":50}`, ticketB)
	if m := p.receive(); m.Verdict != "failed" || m.Reason != "time limit" || m.Ticket != ticketB {
		t.Fatalf("%+v", m)
	}
	if f.waitForRequest(t, 1).Reply.Resolve(playsAnswer("late", 0)) {
		t.Fatal("answered twice")
	}
}

func TestResumeDeliversMissedMessagesOnceInOrder(t *testing.T) {
	f := newFixture(t, 100)
	p := f.dial(t)
	p.send(askMessage)
	request := f.waitForRequest(t, 0)
	request.Reply.Resolve(playsAnswer("p1", 0))
	p.receive()
	p.conn.CloseNow()
	request.OnEvent(session.Event{Answer: playsAnswer("p1", 1)})
	request.OnEvent(session.Event{Answer: playsAnswer("p1", 0)})
	q := f.dial(t)
	q.send(`{"type":"resume","ticket":%q,"cursor":1}`, ticketA)
	for want := uint64(2); want <= 3; want++ {
		if m := q.receive(); m.Type != "rung" || m.Cursor != want {
			t.Fatalf("%d: %+v", want, m)
		}
	}
	request.OnEvent(session.Event{EndReason: playlog.Served, Answer: session.Answer{Play: "p1"}})
	q.conn.CloseNow()
	r := f.dial(t)
	r.send(`{"type":"resume","ticket":%q,"cursor":3}`, ticketA)
	if m := r.receive(); m.Type != "ended" || m.Cursor != 4 {
		t.Fatalf("resumed after the end: %+v", m)
	}
	if len(f.requests) != 1 {
		t.Fatal("the request was repeated")
	}
}

func TestAnswerWhileDisconnected(t *testing.T) {
	f := newFixture(t, 100)
	p := f.dial(t)
	p.send(askMessage)
	request := f.waitForRequest(t, 0)
	p.conn.CloseNow()
	waitFor(t, "the disconnect", func() bool { _, open, _ := f.front.Counts(); return open == 0 })
	request.Reply.Resolve(playsAnswer("p1", 0))
	q := f.dial(t)
	q.send(`{"type":"resume","ticket":%q,"cursor":0}`, ticketA)
	if m := q.receive(); m.Type != "answer" || m.Verdict != "plays" {
		t.Fatalf("%+v", m)
	}
	q.send(`{"type":"ack","ticket":%q,"cursor":1}`, ticketA)
	// A play whose viewer doesn't resume is ended at the time limit of its request, not before, to free its capacity.
	q.send(`{"type":"ask","ticket":%q,"title":"t","product":"p","viewer":"v","limit_ms":400}`, ticketB)
	request2 := f.waitForRequest(t, 1)
	q.conn.CloseNow()
	waitFor(t, "the disconnect", func() bool { _, open, _ := f.front.Counts(); return open == 0 })
	request2.Reply.Resolve(playsAnswer("p2", 0))
	f.mu.Lock()
	posted := f.posted
	f.mu.Unlock()
	waitFor(t, "the end of the play", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.posted > posted })
	if now := f.clock.Now(); now < request2.Deadline {
		t.Fatalf("ended %d ticks before the time limit, when its viewer may still resume", request2.Deadline-now)
	}
	r := f.dial(t)
	r.send(`{"type":"resume","ticket":%q,"cursor":0}`, ticketB)
	if m := r.receive(); m.Type != "unknown" {
		t.Fatalf("resumed after the time limit: %+v", m)
	}
}

func TestRequestIsWithdrawnWhenNotResumed(t *testing.T) {
	f := newFixture(t, 100)
	p := f.dial(t)
	p.send(`{"type":"ask","ticket":%q,"title":"t","product":"p","viewer":"v","limit_ms":300}`, ticketA)
	request := f.waitForRequest(t, 0)
	p.conn.CloseNow()
	waitFor(t, "the withdrawal", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.withdrawn == 1 })
	if request.Reply.Resolve(playsAnswer("p", 0)) {
		t.Fatal("the request was answered after it was withdrawn")
	}
}

func TestResumeTakesTicketFromOpenSocket(t *testing.T) {
	f := newFixture(t, 100)
	p := f.dial(t)
	p.send(askMessage)
	request := f.waitForRequest(t, 0)
	request.Reply.Resolve(playsAnswer("p1", 0))
	p.receive()
	q := f.dial(t) // p is still open
	q.send(`{"type":"resume","ticket":%q,"cursor":1}`, ticketA)
	if m := p.receive(); m.Type != "taken" || m.Ticket != ticketA {
		t.Fatalf("%+v", m)
	}
	request.OnEvent(session.Event{Answer: playsAnswer("p1", 1)})
	if m := q.receive(); m.Type != "rung" {
		t.Fatalf("%+v", m)
	}
	p.conn.CloseNow()
	waitFor(t, "the close of the first socket", func() bool { _, open, _ := f.front.Counts(); return open == 1 })
	request.OnEvent(session.Event{Answer: playsAnswer("p1", 0)})
	if m := q.receive(); m.Type != "rung" || m.Cursor != 3 {
		t.Fatalf("%+v", m)
	}
	q.send(`{"type":"ask","ticket":%q,"title":"t","product":"p","viewer":"other"}`, ticketB)
	if m := q.receive(); m.Type != "error" || m.Reason != "the socket is another viewer's" {
		t.Fatalf("%+v", m)
	}
}

// rawConn is the client side of a socket without a WebSocket library, for misbehavior that a library doesn't allow.
type rawConn struct {
	conn net.Conn
	in   *bufio.Reader
}

func (f *fixture) dialRaw(t testing.TB) *rawConn {
	t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
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
	return &rawConn{conn, in}
}

// textFrame encodes a masked text frame (RFC 6455, section 5.2).
func textFrame(text string) []byte {
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

// readFrame returns the opcode and payload of the next frame.
func (r *rawConn) readFrame(t testing.TB) (byte, string) {
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

func TestFrameSplitAtEveryByte(t *testing.T) {
	f := newFixture(t, 1000)
	message := textFrame(askMessage)
	r := f.dialRaw(t)
	if tcp, ok := r.conn.(*net.TCPConn); ok {
		tcp.SetNoDelay(true)
	}
	requests := 0
	for split := 1; split < len(message); split++ {
		ticket := fmt.Sprintf("%020d", split)
		text := textFrame(strings.Replace(askMessage, ticketA, ticket, 1))
		for _, part := range [][]byte{text[:split], text[split:]} {
			if _, err := r.conn.Write(part); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		f.waitForRequest(t, requests).Reply.Resolve(session.Answer{Verdict: session.Declined, Reason: "no"})
		if _, body := r.readFrame(t); !strings.Contains(body, ticket) {
			t.Fatalf("split at %d: %s", split, body)
		}
		r.conn.Write(textFrame(`{"type":"bye","ticket":"` + ticket + `"}`))
		if requests++; requests%4 == 0 { // a new socket, to stay within the rate limit for messages
			r = f.dialRaw(t)
		}
	}
	if requests < 60 {
		t.Fatalf("only %d split positions", requests)
	}
}

func TestInvalidMessages(t *testing.T) {
	f := newFixture(t, 100)
	p := f.dial(t)
	p.send(`{"type":"ask","ticket":"short","title":"t","product":"p","viewer":"v"}`)
	if m := p.receive(); m.Type != "error" || !strings.Contains(m.Reason, "schema") {
		t.Fatalf("%+v", m)
	}
	p.send("%s", strings.Replace(askMessage, `"t"`, `"none"`, 1))
	if m := p.receive(); m.Type != "error" || m.Reason != `title: "none" is not known` {
		t.Fatalf("%+v", m)
	}
	p.send(`{"type":"ack","ticket":%q,"cursor":1}`, ticketA)
	if m := p.receive(); m.Reason != "this socket has no such ticket" {
		t.Fatalf("%+v", m)
	}
	p.send(`{`)
	p.send(`[]`)
	if code, last := p.waitForClose(); code != websocket.StatusPolicyViolation || last.Type != "bye" || last.RetryAfterMs == 0 {
		t.Fatalf("code %d, %+v", code, last)
	}
	p = f.dial(t)
	p.conn.Write(t.Context(), websocket.MessageText, bytes.Repeat([]byte("a"), sockets.MaxMessageBytes+1))
	if code, _ := p.waitForClose(); code != websocket.StatusMessageTooBig {
		t.Fatalf("close code of a message above the size limit: %d", code)
	}
	if _, err := http.Get(f.server.URL); err != nil {
		t.Fatal(err)
	}
	conn, _, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(f.server.URL, "http"), nil)
	if err == nil {
		_, _, err = conn.Read(t.Context())
	}
	if websocket.CloseStatus(err) != websocket.StatusPolicyViolation {
		t.Fatalf("without the subprotocol: %v", err)
	}
}

func TestFloodingPlayerIsBannedAndOthersAreNot(t *testing.T) {
	f := newFixture(t, 100)
	other := f.dial(t)
	other.send("%s", strings.Replace(askMessage, ticketA, ticketB, 1))
	request := f.waitForRequest(t, 0)
	request.Reply.Resolve(playsAnswer("p1", 0))
	other.receive()
	bad, _, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(f.server.URL, "http")+"?viewer=bad", &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
	if err != nil {
		t.Fatal(err)
	}
	defer bad.CloseNow()
	for range 500 {
		if bad.Write(t.Context(), websocket.MessageText, []byte(`{"type":"bye","ticket":"`+ticketA+`"}`)) != nil {
			break
		}
	}
	if code, _ := (&player{t, bad}).waitForClose(); code != websocket.StatusPolicyViolation && code != -1 {
		t.Fatalf("code %d", code)
	}
	_, resp, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(f.server.URL, "http")+"?viewer=bad", &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
	if err == nil || resp == nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || resp.Header.Get(RetryAfterMsHeader) == "" {
		t.Fatalf("a banned client is admitted, or refused without advice: %v %v", resp, err)
	}
	request.OnEvent(session.Event{Answer: playsAnswer("p1", 1)})
	if m := other.receive(); m.Type != "rung" {
		t.Fatalf("another player: %+v", m)
	}
}

func TestPlayerThatStopsReading(t *testing.T) {
	f := newFixture(t, 100)
	r := f.dialRaw(t)
	r.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	r.conn.Write(textFrame(askMessage))
	request := f.waitForRequest(t, 0)
	request.Reply.Resolve(playsAnswer("p1", 0))
	r.readFrame(t)
	r.conn.Write(textFrame(`{"type":"ack","ticket":"` + ticketA + `","cursor":1}`))
	deadline := time.Now().Add(30 * time.Second)
	for open := 1; open > 0; _, open, _ = f.front.Counts() { // until the buffers of the connection are full and a write times out
		request.OnEvent(session.Event{Answer: playsAnswer("p1", 1)})
		if time.Now().After(deadline) {
			t.Fatal("the socket is still open")
		}
		time.Sleep(50 * time.Microsecond)
	}
	for range 100 {
		request.OnEvent(session.Event{Answer: playsAnswer("p1", 1)})
	}
	f.front.mu.Lock()
	ticket := f.front.tickets[ticketA]
	f.front.mu.Unlock()
	ticket.mu.Lock()
	kept := ticket.outbox.Len()
	ticket.mu.Unlock()
	if kept > sockets.MaxOutbox {
		t.Fatalf("%d messages are kept, more than sockets.MaxOutbox", kept)
	}
	// After a resume the messages tell how many were omitted.
	q := f.dial(t)
	q.send(`{"type":"resume","ticket":%q,"cursor":1}`, ticketA)
	skipped := 0
	for range kept {
		skipped += q.receive().Omitted
	}
	if skipped < 80 {
		t.Fatalf("only %d messages are reported as omitted", skipped)
	}
}

func TestSocketIsClosedWithoutPong(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 100)
	r := f.dialRaw(t) // reads nothing, so sends no pong
	r.conn.Write(textFrame(askMessage))
	f.waitForRequest(t, 0).Reply.Resolve(playsAnswer("p1", 0))
	start := time.Now()
	for {
		if _, open, _ := f.front.Counts(); open == 0 {
			break
		}
		if time.Since(start) > session.Duration(sockets.PingInterval+sockets.PongTimeout)+5*time.Second {
			t.Fatal("a socket that doesn't answer pings is still open")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestStartShutdownWithOpenSockets(t *testing.T) {
	f := newFixture(t, 1000)
	var players []*player
	for i := range 50 {
		p := f.dial(t)
		p.send("%s", strings.Replace(askMessage, ticketA, fmt.Sprintf("%020d", i), 1))
		players = append(players, p)
		request := f.waitForRequest(t, i)
		if i > 0 {
			request.Reply.Resolve(playsAnswer(fmt.Sprint("p", i), 0))
			p.receive()
		}
	}
	f.front.StartShutdown()
	delays := map[int64]bool{}
	for i, p := range append(players[1:], players[0]) {
		if i == len(players)-1 { // its request is still pending
			f.waitForRequest(t, 0).Reply.Resolve(playsAnswer("p0", 0))
			if m := p.receive(); m.Type != "answer" {
				t.Fatalf("%+v", m)
			}
		}
		m := p.receive()
		if m.Type != "bye" || m.RetryAfterMs < 1000 {
			t.Fatalf("%+v", m)
		}
		delays[m.RetryAfterMs] = true
		p.conn.Close(websocket.StatusNormalClosure, "")
	}
	if len(delays) < 25 {
		t.Fatalf("%d different reconnection delays for 50 sockets", len(delays))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	f.front.WaitClosed(ctx)
	if _, open, _ := f.front.Counts(); open != 0 || ctx.Err() != nil {
		t.Fatalf("%d sockets are open after Drain", open)
	}
	if _, resp, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(f.server.URL, "http"), nil); err == nil || resp == nil || resp.StatusCode != 503 {
		t.Fatal("a socket is admitted after Shut")
	}
}

func TestFullFrontShedsIdleSockets(t *testing.T) {
	f := newFixture(t, 8) // at most 6 sockets
	// A dial returns before the server has registered the socket; the test depends on the order and number of open sockets.
	dial := func(wantOpen int) *player {
		p := f.dial(t)
		waitFor(t, "the socket to be open", func() bool { _, open, _ := f.front.Counts(); return open == wantOpen })
		return p
	}
	playing := dial(1)
	playing.send(askMessage)
	f.waitForRequest(t, 0).Reply.Resolve(playsAnswer("p1", 0))
	playing.receive()
	var idle []*player
	for i := range 5 {
		idle = append(idle, dial(i+2))
	}
	_, resp, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(f.server.URL, "http"), &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
	if err == nil || resp.StatusCode != 503 {
		t.Fatal("a seventh socket is admitted")
	}
	if code, last := idle[0].waitForClose(); code != websocket.StatusTryAgainLater || last.Type != "bye" {
		t.Fatalf("the longest idle socket isn't shed: %d %+v", code, last)
	}
	waitFor(t, "the close of the shed socket", func() bool { _, open, _ := f.front.Counts(); return open == 5 })
	dial(6)
}

func TestSchemaAcceptsAndRejects(t *testing.T) {
	for _, s := range []string{askMessage, `{"type":"resume","ticket":"` + ticketA + `","cursor":0}`, `{"type":"report","ticket":"` + ticketA + `","share":0.5,"buffer_ms":900}`} {
		if _, err := Decode([]byte(s)); err != nil {
			t.Errorf("%s: %v", s, err)
		}
	}
	for _, s := range []string{``, `{}`, `{"type":"answer","ticket":"` + ticketA + `","cursor":1,"verdict":"plays"}`, `{"type":"report","ticket":"` + ticketA + `","share":1.5}`,
		strings.Replace(askMessage, `"v"`, `"a b"`, 1), strings.Replace(askMessage, `}`, `,"more":1}`, 1)} {
		if _, err := Decode([]byte(s)); err == nil {
			t.Errorf("accepted: %s", s)
		}
	}
	if len(Schema()) == 0 {
		t.Error("the schema is empty")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(askMessage))
	f.Add([]byte(`{"type":"resume","ticket":"` + ticketA + `","cursor":9007199254740991,"token":"a.b.c"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Decode(text)
		if err == nil && (m.Type == "" || len(m.Ticket) < 16 || len(m.Ticket) > 64) {
			t.Fatalf("accepted: %+v", m)
		}
	})
}
