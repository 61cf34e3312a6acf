// Package client is a client for players. A viewer requests plays over one WebSocket (docs/wire-session.md), receives rung
// changes and moves to other nodes, and resumes its plays after a disconnect; for DASH there are functions that request a
// manifest. As the protocol requires, the client has one pending request per title and product, honors retry delays and adds
// jitter to them, and resumes by cursor.
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
	minRetryDelay          = 200 * time.Millisecond // before the first retry; doubled for each further one, with jitter
	maxRetryDelay          = 5 * time.Second
	defaultReconnectSpread = 2 * time.Second  // the first reconnection is delayed by a random part of this, as a failed front disconnects all its players at once
	ioTimeout              = 3 * time.Second  // of a handshake or a write
	answerGrace            = 2 * time.Second  // a front that has not answered this long after the time limit is taken for failed
	idleTimeout            = 40 * time.Second // a socket without messages or pings for this long is dead, as fronts ping every 15 s; currently unused
	eventBuffer            = 32               // events kept for the application; when full, the oldest is dropped
	maxMessageBytes        = 64 << 10
)

// Options are the settings of a client. Fronts must not be empty.
type Options struct {
	Fronts          []string // addresses as host:port, in the order in which they are tried
	TLS             bool
	Viewer          string
	HTTP            *http.Client   // if nil, http.DefaultClient is used
	OnExchange      func(Exchange) // if not nil, called with each request and answer while a lock is held: it must not call the client
	ReconnectSpread time.Duration  // the first reconnection is delayed by a random part of this; if 0, of 2 s
}

// Exchange is a request sent by the client, its answer, or the failure to receive one.
type Exchange struct {
	Ticket, Front string
	Request       Request // set for a request, like the next two fields
	PreviousPlay  string  // play of the token that was sent with it
	NotDelivered  bool
	Answer        *wsapi.Message // nil for a request
	Err           error          // why there is no answer to the request
}

// Request describes the play that a viewer requests. MaxRung below 0, Timeout 0 and Length 0 are not sent.
type Request struct {
	Title, Product  string
	MaxRung         int
	Timeout, Length time.Duration
	MaxRetries      int // after a decline or a failure
}

// EventKind is the type of an event.
type EventKind uint8

const (
	RungChanged EventKind = iota // the rungs that may be fetched have changed
	Moved                        // the play continues at another node
	Interrupted                  // the play has no node; the client requests another one
	Ended                        // the play has ended
)

// Event is a change of a play.
type Event struct {
	Kind   EventKind
	Grant  playapi.Grant // set for RungChanged and Moved
	Reason string
}

// RefusedError is the error of a request that was answered without a play.
type RefusedError struct {
	Verdict    string // declined, failed or denied
	Reason     string
	RetryAfter time.Duration
}

func (r *RefusedError) Error() string { return r.Verdict + ": " + r.Reason }

// Errors of requests that the application has ended.
var (
	ErrClosed = errors.New("client: closed")
	ErrLeft   = errors.New("client: the viewer left")
)

// Client is one viewer with one socket, which is opened when a play is requested. It is safe for concurrent use.
type Client struct {
	options Options
	cancel  context.CancelFunc
	ctx     context.Context
	done    chan struct{}
	wakeup  chan struct{}

	mu       sync.Mutex
	plays    []*Play
	outgoing []wsapi.Message
	front    int // index in options.Fronts of the current front
}

// New returns a client. Call Close to stop it.
func New(options Options) *Client {
	if options.ReconnectSpread == 0 {
		options.ReconnectSpread = defaultReconnectSpread
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{options: options, ctx: ctx, cancel: cancel, done: make(chan struct{}), wakeup: make(chan struct{}, 1)}
	go c.run()
	return c
}

// Close ends all plays and stops the client.
func (c *Client) Close() {
	c.mu.Lock()
	plays := append([]*Play(nil), c.plays...)
	c.mu.Unlock()
	for _, p := range plays {
		p.End()
	}
	if len(plays) > 0 {
		c.waitForSends()
	}
	c.cancel()
	<-c.done
}

// waitForSends waits up to 100 ms for the queued messages to be sent.
func (c *Client) waitForSends() {
	for range 50 {
		c.mu.Lock()
		n := len(c.outgoing)
		c.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

type playState uint8

const (
	stateWaiting playState = iota // to be requested at requestAt
	statePending                  // requested, not yet answered
	statePlaying
	stateEnded // for whatever reason
)

// Play is one request and the play that results from it.
type Play struct {
	client        *Client
	request       Request
	state         playState
	ticket        string
	front         int // index of the front to which the request was sent
	cursor        uint64
	grant         playapi.Grant
	notDelivered  bool
	retriesLeft   int
	previousToken string // token of the play for which another node is requested
	requestAt     time.Time
	deadline      time.Time
	started       bool // a node was granted at least once
	result        chan error
	events        chan Event
	playID        string
}

// RequestPlay requests a play and waits until it is granted or finally refused. The error is a *RefusedError if it was refused.
// If ctx is done first, the request is withdrawn.
func (c *Client) RequestPlay(ctx context.Context, request Request) (*Play, error) {
	p := &Play{client: c, request: request, result: make(chan error, 1), events: make(chan Event, eventBuffer), retriesLeft: request.MaxRetries}
	c.mu.Lock()
	if c.ctx.Err() != nil {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	for _, other := range c.plays {
		if other.state <= statePending && other.request.Title == request.Title && other.request.Product == request.Product {
			c.mu.Unlock()
			return nil, &RefusedError{Verdict: "denied", Reason: "a request for the same title and product is pending"}
		}
	}
	c.plays = append(c.plays, p)
	c.mu.Unlock()
	c.wake()
	select {
	case err := <-p.result:
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

// Events returns the channel of the play's events, which is closed when the play has ended. If the application does not
// receive from it, the oldest events are dropped; Grant always returns the current state.
func (p *Play) Events() <-chan Event { return p.events }

// Grant returns what may be fetched now.
func (p *Play) Grant() playapi.Grant {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	return p.grant
}

// ReportNotDelivered reports to the front that the node does not deliver. The play is moved to another node; a Moved event
// follows.
func (p *Play) ReportNotDelivered() {
	p.client.mu.Lock()
	if p.state == statePlaying {
		p.client.send(wsapi.Message{Type: "report", Ticket: p.ticket, NotDelivered: true})
	}
	p.client.mu.Unlock()
	p.client.wake()
}

// End ends the play or withdraws the request for it.
func (p *Play) End() {
	p.client.mu.Lock()
	if p.state == statePending || p.state == statePlaying {
		p.client.send(wsapi.Message{Type: "bye", Ticket: p.ticket})
	}
	p.client.end(p, Event{Kind: Ended, Reason: "left"}, ErrLeft)
	p.client.mu.Unlock()
	p.client.wake()
}

func (c *Client) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

func (c *Client) send(m wsapi.Message) { c.outgoing = append(c.outgoing, m) }

// end ends a play. The caller holds c.mu.
func (c *Client) end(p *Play, e Event, err error) {
	if p.state == stateEnded {
		return
	}
	if p.state == statePending {
		c.onExchange(Exchange{Ticket: p.ticket, Front: c.options.Fronts[p.front], Err: err})
	}
	p.state = stateEnded
	if !p.started {
		p.result <- err
	}
	p.emit(e)
	close(p.events)
	for i, other := range c.plays {
		if other == p {
			c.plays = append(c.plays[:i], c.plays[i+1:]...)
			break
		}
	}
}

// emit adds an event to the channel and drops the oldest ones while it is full.
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

func newTicketID() string {
	var b [18]byte
	rand.Read(b[:]) // never returns an error
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(mathrand.Float64()*float64(d/2))
}

// run keeps a socket open while there are plays or requests.
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
			c.outgoing = nil
		}
		front := c.front
		c.mu.Unlock()
		if idle {
			select {
			case <-c.wakeup:
				continue
			case <-c.ctx.Done():
				return
			}
		}
		delay, connected := c.connect(front)
		if c.ctx.Err() != nil {
			return
		}
		if connected {
			failures = 0
		}
		c.mu.Lock()
		c.front = (front + 1) % len(c.options.Fronts)
		if delay == 0 {
			delay = jitter(min(maxRetryDelay, minRetryDelay<<min(failures, 8)))
			if connected && len(c.plays) > 0 { // the front may have failed, so that many players reconnect at once
				delay = time.Duration(mathrand.Float64() * float64(c.options.ReconnectSpread))
			}
		}
		c.mu.Unlock()
		failures++
		select {
		case <-time.After(delay):
		case <-c.ctx.Done():
			return
		}
	}
}

// connect opens a socket to a front and serves it until it is closed. It returns the reconnection delay that the front
// advises, 0 if none, and whether the handshake succeeded.
func (c *Client) connect(front int) (retryAfter time.Duration, connected bool) {
	scheme := "ws"
	if c.options.TLS {
		scheme = "wss"
	}
	target := scheme + "://" + c.options.Fronts[front] + wsapi.Path + "?viewer=" + url.QueryEscape(c.options.Viewer)
	ctx, cancel := context.WithTimeout(c.ctx, ioTimeout)
	conn, resp, err := websocket.Dial(ctx, target, &websocket.DialOptions{HTTPClient: c.options.HTTP, Subprotocols: []string{wsapi.Subprotocol}})
	cancel()
	if err != nil {
		if resp != nil {
			return parseRetryAfter(resp.Header), false
		}
		return 0, false
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxMessageBytes)
	return c.serveSocket(conn, front), true
}

// parseRetryAfter returns the delay that a front advises: of the header in milliseconds if present, else of Retry-After.
func parseRetryAfter(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get(wsapi.RetryAfterMsHeader)); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil && s > 0 {
		return time.Duration(s) * time.Second
	}
	return 0
}

// serveSocket exchanges messages until the socket is closed. It returns the reconnection delay that the front advises, 0 if
// none.
func (c *Client) serveSocket(conn *websocket.Conn, front int) (retryAfter time.Duration) {
	ctx, cancel := context.WithCancel(c.ctx)
	incoming := make(chan wsapi.Message)
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		for {
			_, text, err := conn.Read(ctx)
			if err != nil {
				return
			}
			var m wsapi.Message
			if json.Unmarshal(text, &m) != nil { // ignored: may be of a later version
				continue
			}
			select {
			case incoming <- m:
			case <-ctx.Done():
				return
			}
		}
	}()
	defer func() { cancel(); <-readDone }()
	c.mu.Lock()
	for _, p := range c.plays {
		c.resume(p, front)
	}
	c.mu.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		next, overdue := c.requestDue(front)
		if overdue { // the front is taken for failed
			c.handleDisconnect(front, errors.New("no answer within the time limit"))
			return retryAfter
		}
		timer.Reset(next)
		if !c.sendQueued(ctx, conn) {
			c.handleDisconnect(front, errors.New("the socket broke"))
			return retryAfter
		}
		select {
		case m := <-incoming:
			if m.Type == "bye" {
				retryAfter = time.Duration(m.RetryAfterMs) * time.Millisecond
				continue // the front closes the socket next
			}
			c.handle(m, front)
		case <-readDone:
			c.handleDisconnect(front, errors.New("the socket broke"))
			return retryAfter
		case <-c.wakeup:
			c.mu.Lock()
			done := len(c.plays) == 0 && len(c.outgoing) == 0
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

// resume queues the message by which a play or request continues on a new socket.
func (c *Client) resume(p *Play, front int) {
	switch p.state {
	case statePlaying:
		c.send(wsapi.Message{Type: "resume", Ticket: p.ticket, Cursor: p.cursor, Token: p.grant.Token})
	case statePending:
		if p.front == front { // the front may have the answer
			c.send(wsapi.Message{Type: "resume", Ticket: p.ticket, Cursor: p.cursor})
			return
		}
		c.onExchange(Exchange{Ticket: p.ticket, Front: c.options.Fronts[p.front], Err: errors.New("its front is gone")})
		p.state, p.requestAt = stateWaiting, time.Now()
	}
}

// handleDisconnect discards the messages queued for a lost socket, and retries or ends requests whose time limit has passed.
func (c *Client) handleDisconnect(front int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outgoing = nil
	for _, p := range c.plays {
		if p.state == statePending && p.front == front && time.Now().After(p.deadline) {
			c.onExchange(Exchange{Ticket: p.ticket, Front: c.options.Fronts[front], Err: err})
			c.retry(p, &RefusedError{Verdict: "failed", Reason: err.Error()})
		}
	}
}

// requestDue sends the requests whose time has come. It returns the time until the next call is needed, and whether an
// answer is overdue.
func (c *Client) requestDue(front int) (next time.Duration, overdue bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	next = time.Minute
	for _, p := range c.plays {
		if p.state == stateWaiting && !now.Before(p.requestAt) {
			c.requestNow(p, front, now)
		}
		switch {
		case p.state == stateWaiting:
			next = min(next, p.requestAt.Sub(now))
		case p.state == statePending && !p.deadline.IsZero():
			if now.After(p.deadline.Add(answerGrace)) {
				return 0, true
			}
			next = min(next, p.deadline.Add(answerGrace).Sub(now)+time.Millisecond)
		}
	}
	return next, false
}

func (c *Client) requestNow(p *Play, front int, now time.Time) {
	p.ticket, p.front, p.state, p.cursor = newTicketID(), front, statePending, 0
	m := wsapi.Message{Type: "ask", Ticket: p.ticket, Title: p.request.Title, Product: p.request.Product, Viewer: c.options.Viewer,
		TimeoutMs: int(p.request.Timeout.Milliseconds()), LengthMs: int(p.request.Length.Milliseconds()), Token: p.previousToken, NotDelivered: p.notDelivered && p.previousToken != ""}
	if p.request.MaxRung >= 0 {
		maxRung := p.request.MaxRung
		m.MaxRung = &maxRung
	}
	timeout := p.request.Timeout
	if timeout == 0 {
		timeout = 30 * time.Second
	}
	p.deadline = now.Add(timeout)
	c.onExchange(Exchange{Ticket: p.ticket, Front: c.options.Fronts[front], Request: p.request, PreviousPlay: p.playID, NotDelivered: m.NotDelivered})
	c.send(m)
}

func (c *Client) onExchange(exchange Exchange) {
	if c.options.OnExchange != nil {
		c.options.OnExchange(exchange)
	}
}

func (c *Client) sendQueued(ctx context.Context, conn *websocket.Conn) bool {
	for {
		c.mu.Lock()
		if len(c.outgoing) == 0 {
			c.mu.Unlock()
			return true
		}
		m := c.outgoing[0]
		c.mu.Unlock()
		text, err := json.Marshal(m)
		if err != nil {
			panic(fmt.Sprintf("client: %v", err)) // can't happen: a Message can always be encoded
		}
		writeCtx, cancel := context.WithTimeout(ctx, ioTimeout)
		err = conn.Write(writeCtx, websocket.MessageText, text)
		cancel()
		if err != nil {
			return false
		}
		c.mu.Lock()
		if len(c.outgoing) > 0 {
			c.outgoing = c.outgoing[1:]
		}
		c.mu.Unlock()
	}
}

// handle processes a front's message.
func (c *Client) handle(m wsapi.Message, front int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var p *Play
	for _, other := range c.plays {
		if other.ticket == m.Ticket && m.Ticket != "" {
			p = other
		}
	}
	if p == nil {
		return
	}
	if m.Cursor > 0 {
		if m.Cursor <= p.cursor {
			return // a duplicate
		}
		p.cursor = m.Cursor
		c.send(wsapi.Message{Type: "ack", Ticket: p.ticket, Cursor: m.Cursor})
	}
	switch m.Type {
	case "answer":
		if p.state == statePending {
			c.onExchange(Exchange{Ticket: p.ticket, Front: c.options.Fronts[front], Answer: &m})
		}
		if m.Grant != nil {
			moved := p.started && m.Grant.Play != p.playID
			p.grant, p.state, p.previousToken, p.notDelivered, p.playID, p.retriesLeft = *m.Grant, statePlaying, "", false, m.Grant.Play, p.request.MaxRetries
			switch {
			case !p.started:
				p.started = true
				p.result <- nil
			case moved:
				p.emit(Event{Kind: Moved, Grant: p.grant})
			default:
				p.emit(Event{Kind: RungChanged, Grant: p.grant})
			}
			return
		}
		c.retry(p, &RefusedError{Verdict: m.Verdict, Reason: m.Reason, RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond})
	case "rung":
		p.grant = *m.Grant
		p.emit(Event{Kind: RungChanged, Grant: p.grant})
	case "moved":
		p.emit(Event{Kind: Interrupted, Reason: m.Reason})
		p.previousToken, p.state, p.requestAt = p.grant.Token, stateWaiting, time.Now()
	case "ended":
		c.end(p, Event{Kind: Ended, Reason: m.Reason}, &RefusedError{Verdict: "failed", Reason: "ended"})
	case "taken":
		c.end(p, Event{Kind: Ended, Reason: "taken over by another socket"}, errors.New("client: taken over by another socket"))
	case "unknown":
		if p.state == statePlaying { // the front has failed: request another node with the token
			p.previousToken = p.grant.Token
			p.emit(Event{Kind: Interrupted, Reason: "the front of the play was lost"})
		} else if p.state == statePending {
			c.onExchange(Exchange{Ticket: p.ticket, Front: c.options.Fronts[front], Err: errors.New("its request is not known any more")})
		}
		p.state, p.requestAt = stateWaiting, time.Now()
	case "error":
		if p.state == statePending {
			c.onExchange(Exchange{Ticket: p.ticket, Front: c.options.Fronts[front], Answer: &wsapi.Message{Type: "answer", Verdict: "denied", Reason: m.Reason}})
			p.previousToken = "" // the token may have been rejected
			c.retry(p, &RefusedError{Verdict: "denied", Reason: m.Reason})
		}
	}
}

// retry schedules the next request, after the advised delay if there is one, or ends the play if no retries are left. The
// caller holds c.mu.
func (c *Client) retry(p *Play, refusal *RefusedError) {
	p.state = stateWaiting // before end, which reports a pending request as unanswered
	if p.retriesLeft--; p.retriesLeft < 0 {
		c.end(p, Event{Kind: Ended, Reason: refusal.Error()}, refusal)
		return
	}
	delay := jitter(min(maxRetryDelay, minRetryDelay<<min(p.request.MaxRetries-p.retriesLeft, 8)))
	if refusal.RetryAfter > 0 {
		delay = refusal.RetryAfter + time.Duration(mathrand.Float64()*float64(refusal.RetryAfter)/4)
	}
	p.requestAt = time.Now().Add(delay)
}
