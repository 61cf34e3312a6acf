// Package client is the players' side of gullrail: a viewer who asks for plays, is told rung changes and moves, and
// comes back after breaks, over one WebSocket (docs/wire-session.md) or by DASH manifests. It does what a front
// expects of a player: one request for a title at a time, pauses as advised and moved by chance, resuming by cursor.
package client

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"

	"gullrail/playapi"
	"gullrail/wsapi"
)

const (
	pauseLeast   = 200 * time.Millisecond // before the second dial; doubled, and drawn between half and all of it
	pauseMost    = 5 * time.Second
	herd         = 2 * time.Second  // after a break the first dial elsewhere is drawn from this: whole fronts break at once
	dialFor      = 3 * time.Second  // for a handshake
	answerSlack  = 2 * time.Second  // past the time limit: then the front has died without a word
	quietFor     = 40 * time.Second // without a message or ping the socket is dead: a front pings each 15 s
	eventsHeld   = 32               // events not yet taken; past it the oldest change of rung goes
	messageLimit = 64 << 10
)

// Options say who the viewer is and where it asks. Fronts must not be empty.
type Options struct {
	Fronts          []string // addresses, host:port; the first one is asked first
	TLS             bool
	Viewer          string
	HTTP            *http.Client   // nil is http.DefaultClient
	OnExchange      func(Exchange) // told of each request and answer, on the client's goroutine; may be nil
	ReconnectSpread time.Duration
}

// Exchange is a request or answer as it crossed the socket.
type Exchange struct {
	Ticket, Front string
	Request       Request // of a request
	PreviousPlay  string  // the play that its token names
	NotDelivered  bool
	Answer        *wsapi.Message // nil for a request
	Err           error          // the request has no answer: its front is gone
}

// Request is what a viewer asks for. Top below 0 is not told; Limit and Length 0 are not.
type Request struct {
	Title, Product  string
	MaxRung         int
	Timeout, Length time.Duration
	MaxRetries      int // further tries after a decline or a failure
}

// EventKind an event tells.
type EventKind uint8

const (
	Rung        EventKind = iota // other rungs may be fetched from now on
	Moved                        // it plays elsewhere from now on
	Interrupted                  // it plays nowhere; another place is being asked for
	Ended                        // it is over
)

// Event is a change of a play.
type Event struct {
	Kind   EventKind
	Grant  playapi.Grant // with Rung and Moved
	Reason string
}

// RefusedError is the error of a request that was answered otherwise than with a play.
type RefusedError struct {
	Verdict    string // declined, failed or denied
	Reason     string
	RetryAfter time.Duration
}

func (r *RefusedError) Error() string { return r.Verdict + ": " + r.Reason }

// Why a request or play is over without the front's doing.
var (
	ErrClosed = errors.New("client: closed")
	ErrLeft   = errors.New("client: the viewer left")
)

// Client is one viewer with one socket, which is opened when something is asked. It is safe for use by many goroutines.
type Client struct {
	o      Options
	cancel context.CancelFunc
	ctx    context.Context
	done   chan struct{}
	kick   chan struct{}

	mu    sync.Mutex
	plays []*Play
	out   []wsapi.Message
	at    int // the front that is asked now
}

// New makes a client. Close ends it.
func New(o Options) *Client {
	if o.ReconnectSpread == 0 {
		o.ReconnectSpread = herd
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{o: o, ctx: ctx, cancel: cancel, done: make(chan struct{}), kick: make(chan struct{}, 1)}
	go c.run()
	return c
}

// Close leaves all plays and ends the client.
func (c *Client) Close() {
	c.mu.Lock()
	plays := append([]*Play(nil), c.plays...)
	c.mu.Unlock()
	for _, p := range plays {
		p.End()
	}
	if len(plays) > 0 {
		c.settle()
	}
	c.cancel()
	<-c.done
}

// settle gives what was said last a moment to go out.
func (c *Client) settle() {
	for range 50 {
		c.mu.Lock()
		n := len(c.out)
		c.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// state of a play.
type state uint8

const (
	toAsk  state = iota // to be asked for, when its time comes
	asked               // on its way
	plays               // it plays
	closed              // over, for whatever reason
)

// Play is one request and the play that comes of it.
type Play struct {
	c        *Client
	want     Request
	state    state
	ticket   string
	front    int // where it was asked
	cursor   uint64
	grant    playapi.Grant
	broken   bool
	tries    int
	before   string // token of the play that it is to be placed again
	askAt    time.Time
	limitAt  time.Time
	ever     bool // it has played
	first    chan error
	events   chan Event
	playedBy string
}

// RequestPlay asks for a play and waits until it plays, is refused for good, or the context ends, which withdraws it. The error of
// a refusal is a *RefusedError.
func (c *Client) RequestPlay(ctx context.Context, w Request) (*Play, error) {
	p := &Play{c: c, want: w, first: make(chan error, 1), events: make(chan Event, eventsHeld), tries: w.MaxRetries}
	c.mu.Lock()
	if c.ctx.Err() != nil {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	for _, o := range c.plays {
		if o.state <= asked && o.want.Title == w.Title && o.want.Product == w.Product {
			c.mu.Unlock()
			return nil, &RefusedError{Verdict: "denied", Reason: "the same is being asked for"}
		}
	}
	c.plays = append(c.plays, p)
	c.mu.Unlock()
	c.wake()
	select {
	case err := <-p.first:
		if err != nil {
			return nil, err
		}
		return p, nil
	case <-ctx.Done():
		p.End()
		return nil, ctx.Err()
	case <-c.done:
		return nil, ErrClosed
	}
}

// Events brings the play's changes. It is closed when the play is over. One who doesn't take them misses changes
// of rung first; Grant always is the present state.
func (p *Play) Events() <-chan Event { return p.events }

// Grant is what may be fetched now.
func (p *Play) Grant() playapi.Grant {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	return p.grant
}

// ReportNotDelivered says that the node does not deliver; the play is placed elsewhere, which Moved tells.
func (p *Play) ReportNotDelivered() {
	p.c.mu.Lock()
	if p.state == plays {
		p.c.say(wsapi.Message{Type: "report", Ticket: p.ticket, Broken: true})
	}
	p.c.mu.Unlock()
	p.c.wake()
}

// End ends the play, or the request for it.
func (p *Play) End() {
	p.c.mu.Lock()
	if p.state == asked || p.state == plays {
		p.c.say(wsapi.Message{Type: "bye", Ticket: p.ticket})
	}
	p.c.end(p, Event{Kind: Ended, Reason: "left"}, ErrLeft)
	p.c.mu.Unlock()
	p.c.wake()
}

func (c *Client) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

func (c *Client) say(m wsapi.Message) { c.out = append(c.out, m) }

// end closes a play; the caller holds the lock.
func (c *Client) end(p *Play, e Event, err error) {
	if p.state == closed {
		return
	}
	if p.state == asked {
		c.trace(Exchange{Ticket: p.ticket, Front: c.o.Fronts[p.front], Err: err})
	}
	p.state = closed
	if !p.ever {
		p.first <- err
	}
	p.emit(e)
	close(p.events)
	for i, o := range c.plays {
		if o == p {
			c.plays = append(c.plays[:i], c.plays[i+1:]...)
			break
		}
	}
}

// emit tells of a change, leaving the oldest one out where nobody takes them.
func (p *Play) emit(e Event) {
	for {
		select {
		case p.events <- e:
			return
		default:
		}
		select {
		case <-p.events:
		default:
		}
	}
}

func ticket() string {
	var b [18]byte
	rand.Read(b[:]) // never fails
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// drawn is a pause between half and all of a time.
func drawn(d time.Duration) time.Duration {
	return d/2 + time.Duration(mathrand.Float64()*float64(d/2))
}

// run keeps a socket open while there is anything to ask or to hear.
func (c *Client) run() {
	defer close(c.done)
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for len(c.plays) > 0 {
			c.end(c.plays[0], Event{Kind: Ended, Reason: "closed"}, ErrClosed)
		}
	}()
	failures := 0
	for {
		c.mu.Lock()
		idle := len(c.plays) == 0
		if idle {
			c.out = nil
		}
		at := c.at
		c.mu.Unlock()
		if idle {
			select {
			case <-c.kick:
				continue
			case <-c.ctx.Done():
				return
			}
		}
		pause, served := c.connect(at)
		if c.ctx.Err() != nil {
			return
		}
		if served {
			failures = 0
		}
		c.mu.Lock()
		c.at = (at + 1) % len(c.o.Fronts)
		if pause == 0 {
			pause = drawn(min(pauseMost, pauseLeast<<min(failures, 8)))
			if served && len(c.plays) > 0 { // it broke: others broke with it
				pause = time.Duration(mathrand.Float64() * float64(c.o.ReconnectSpread))
			}
		}
		c.mu.Unlock()
		failures++
		select {
		case <-time.After(pause):
		case <-c.ctx.Done():
			return
		}
	}
}

// connect opens a socket to a front and serves it until it ends. It returns the front's advice when to come
// back, 0 for none, and whether the socket was open at all.
func (c *Client) connect(at int) (advice time.Duration, served bool) {
	scheme := "ws"
	if c.o.TLS {
		scheme = "wss"
	}
	target := scheme + "://" + c.o.Fronts[at] + wsapi.Path + "?viewer=" + url.QueryEscape(c.o.Viewer)
	ctx, cancel := context.WithTimeout(c.ctx, dialFor)
	conn, resp, err := websocket.Dial(ctx, target, &websocket.DialOptions{HTTPClient: c.o.HTTP, Subprotocols: []string{wsapi.Subprotocol}})
	cancel()
	if err != nil {
		if resp != nil {
			return comeBack(resp.Header), false
		}
		return 0, false
	}
	defer conn.CloseNow()
	conn.SetReadLimit(messageLimit)
	return c.serve(conn, at), true
}

// comeBack reads a front's advice, in milliseconds where it is told, and in whole seconds else.
func comeBack(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get(wsapi.RetryAfterMsHeader)); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil && s > 0 {
		return time.Duration(s) * time.Second
	}
	return 0
}

func (c *Client) serve(conn *websocket.Conn, at int) (advice time.Duration) {
	ctx, cancel := context.WithCancel(c.ctx)
	in := make(chan wsapi.Message)
	read := make(chan struct{})
	go func() {
		defer close(read)
		for {
			_, text, err := conn.Read(ctx)
			if err != nil {
				return
			}
			var m wsapi.Message
			if json.Unmarshal(text, &m) != nil { // a later version's: not for us
				continue
			}
			select {
			case in <- m:
			case <-ctx.Done():
				return
			}
		}
	}()
	defer func() { cancel(); <-read }()
	c.mu.Lock()
	for _, p := range c.plays {
		c.takeUp(p, at)
	}
	c.mu.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		next, late := c.due(at)
		if late { // asked, and past its limit without a word: this front does not answer
			c.lost(at, errors.New("no answer within the time limit"))
			return advice
		}
		timer.Reset(next)
		if !c.send(ctx, conn) {
			c.lost(at, errors.New("the socket broke"))
			return advice
		}
		select {
		case m := <-in:
			if m.Type == "bye" {
				advice = time.Duration(m.ComeBack) * time.Millisecond
				continue // the close follows
			}
			c.take(m, at)
		case <-read:
			c.lost(at, errors.New("the socket broke"))
			return advice
		case <-c.kick:
			c.mu.Lock()
			done := len(c.plays) == 0 && len(c.out) == 0
			c.mu.Unlock()
			if done {
				conn.Close(websocket.StatusNormalClosure, "")
				return 0
			}
		case <-timer.C:
		case <-ctx.Done():
			conn.Close(websocket.StatusNormalClosure, "")
			return 0
		}
	}
}

// takeUp says what a new socket needs to hear of a play.
func (c *Client) takeUp(p *Play, at int) {
	switch p.state {
	case plays:
		c.say(wsapi.Message{Type: "resume", Ticket: p.ticket, Cursor: p.cursor, Token: p.grant.Token})
	case asked:
		if p.front == at { // its answer may wait there
			c.say(wsapi.Message{Type: "resume", Ticket: p.ticket, Cursor: p.cursor})
			return
		}
		c.trace(Exchange{Ticket: p.ticket, Front: c.o.Fronts[p.front], Err: errors.New("its front is gone")})
		p.state, p.askAt = toAsk, time.Now()
	}
}

// lost drops what was to be said on a socket that broke, but for goodbyes: they are owed by ticket.
func (c *Client) lost(at int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = nil
	for _, p := range c.plays {
		if p.state == asked && p.front == at && time.Now().After(p.limitAt) {
			c.trace(Exchange{Ticket: p.ticket, Front: c.o.Fronts[at], Err: err})
			c.retry(p, &RefusedError{Verdict: "failed", Reason: err.Error()})
		}
	}
}

// due asks for what is due, and returns when to look again; late, that an answer is overdue.
func (c *Client) due(at int) (next time.Duration, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	next = time.Minute
	for _, p := range c.plays {
		if p.state == toAsk && !now.Before(p.askAt) {
			c.ask(p, at, now)
		}
		switch {
		case p.state == toAsk:
			next = min(next, p.askAt.Sub(now))
		case p.state == asked && !p.limitAt.IsZero():
			if now.After(p.limitAt.Add(answerSlack)) {
				return 0, true
			}
			next = min(next, p.limitAt.Add(answerSlack).Sub(now)+time.Millisecond)
		}
	}
	return next, false
}

func (c *Client) ask(p *Play, at int, now time.Time) {
	p.ticket, p.front, p.state, p.cursor = ticket(), at, asked, 0
	m := wsapi.Message{Type: "ask", Ticket: p.ticket, Title: p.want.Title, Product: p.want.Product, Viewer: c.o.Viewer,
		LimitMs: int(p.want.Timeout.Milliseconds()), LengthMs: int(p.want.Length.Milliseconds()), Token: p.before, Broken: p.broken && p.before != ""}
	if p.want.MaxRung >= 0 {
		top := p.want.MaxRung
		m.Top = &top
	}
	limit := p.want.Timeout
	if limit == 0 {
		limit = 30 * time.Second
	}
	p.limitAt = now.Add(limit)
	c.trace(Exchange{Ticket: p.ticket, Front: c.o.Fronts[at], Request: p.want, PreviousPlay: p.playedBy, NotDelivered: m.Broken})
	c.say(m)
}

func (c *Client) trace(t Exchange) {
	if c.o.OnExchange != nil {
		c.o.OnExchange(t)
	}
}

func (c *Client) send(ctx context.Context, conn *websocket.Conn) bool {
	for {
		c.mu.Lock()
		if len(c.out) == 0 {
			c.mu.Unlock()
			return true
		}
		m := c.out[0]
		c.mu.Unlock()
		text, err := json.Marshal(m)
		if err != nil {
			panic(fmt.Sprintf("client: %v", err)) // strings and numbers always encode
		}
		write, cancel := context.WithTimeout(ctx, dialFor)
		err = conn.Write(write, websocket.MessageText, text)
		cancel()
		if err != nil {
			return false
		}
		c.mu.Lock()
		if len(c.out) > 0 {
			c.out = c.out[1:]
		}
		c.mu.Unlock()
	}
}

// take acts upon a front's message.
func (c *Client) take(m wsapi.Message, at int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var p *Play
	for _, o := range c.plays {
		if o.ticket == m.Ticket && m.Ticket != "" {
			p = o
		}
	}
	if p == nil {
		return
	}
	if m.Cursor > 0 {
		if m.Cursor <= p.cursor {
			return // had it
		}
		p.cursor = m.Cursor
		c.say(wsapi.Message{Type: "ack", Ticket: p.ticket, Cursor: m.Cursor})
	}
	switch m.Type {
	case "answer":
		if p.state == asked {
			c.trace(Exchange{Ticket: p.ticket, Front: c.o.Fronts[at], Answer: &m})
		}
		if m.Grant != nil {
			moved := p.ever && m.Grant.Play != p.playedBy
			p.grant, p.state, p.before, p.broken, p.playedBy, p.tries = *m.Grant, plays, "", false, m.Grant.Play, p.want.MaxRetries
			switch {
			case !p.ever:
				p.ever = true
				p.first <- nil
			case moved:
				p.emit(Event{Kind: Moved, Grant: p.grant})
			default:
				p.emit(Event{Kind: Rung, Grant: p.grant})
			}
			return
		}
		c.retry(p, &RefusedError{Verdict: m.Verdict, Reason: m.Why, RetryAfter: time.Duration(m.ComeBack) * time.Millisecond})
	case "rung":
		p.grant = *m.Grant
		p.emit(Event{Kind: Rung, Grant: p.grant})
	case "moved":
		p.emit(Event{Kind: Interrupted, Reason: m.Why})
		p.before, p.state, p.askAt = p.grant.Token, toAsk, time.Now()
	case "ended":
		c.end(p, Event{Kind: Ended, Reason: m.Why}, &RefusedError{Verdict: "failed", Reason: "ended"})
	case "taken":
		c.end(p, Event{Kind: Ended, Reason: "taken over by another socket"}, errors.New("client: taken over by another socket"))
	case "unknown":
		if p.state == plays { // its front died: another place, by its token
			p.before = p.grant.Token
			p.emit(Event{Kind: Interrupted, Reason: "its front is gone"})
		} else if p.state == asked {
			c.trace(Exchange{Ticket: p.ticket, Front: c.o.Fronts[at], Err: errors.New("its request is not known any more")})
		}
		p.state, p.askAt = toAsk, time.Now()
	case "error":
		if p.state == asked {
			c.trace(Exchange{Ticket: p.ticket, Front: c.o.Fronts[at], Answer: &wsapi.Message{Type: "answer", Verdict: "denied", Why: m.Why}})
			p.before = "" // a token that is not taken
			c.retry(p, &RefusedError{Verdict: "denied", Reason: m.Why})
		}
	}
}

// retry asks again later, as advised, or gives up; the caller holds the lock.
func (c *Client) retry(p *Play, r *RefusedError) {
	p.state = toAsk // answered: nothing is on its way
	if p.tries--; p.tries < 0 {
		c.end(p, Event{Kind: Ended, Reason: r.Error()}, r)
		return
	}
	pause := drawn(min(pauseMost, pauseLeast<<min(p.want.MaxRetries-p.tries, 8)))
	if r.RetryAfter > 0 {
		pause = r.RetryAfter + time.Duration(mathrand.Float64()*float64(r.RetryAfter)/4)
	}
	p.askAt = time.Now().Add(pause)
}
