package wsapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"gullrail/decision"
	"gullrail/playapi"
	"gullrail/session"
	"gullrail/sockets"
)

// Front serves the sockets of one front end.
type Front struct {
	desk  *playapi.Service
	clock *session.Clock
	log   zerolog.Logger
	ctx   context.Context // ends with the front
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu      sync.Mutex
	door    *sockets.Admission
	open    map[*socket]bool
	opening int       // let in, with the handshake under way
	order   []*socket // as they opened; those that are closed are swept out now and then
	lines   map[string]*line
	shut    bool

	counts Counts
}

// Counts are what the front's sockets have seen since its start.
type Counts struct {
	Opened, Refused, Shed, Cut, Resumed, Unknown atomic.Int64
}

// New makes the sockets' front of a front end that may hold so many connections. Close ends it.
func New(d *playapi.Service, clock *session.Clock, connections int, seed uint64, log zerolog.Logger) *Front {
	ctx, stop := context.WithCancel(context.Background())
	return &Front{desk: d, clock: clock, log: log, ctx: ctx, stop: stop, door: sockets.NewAdmission(clock.Now(), sockets.MaxSockets(connections), seed),
		open: map[*socket]bool{}, lines: map[string]*line{}}
}

func (f *Front) now() int64 { return f.clock.Now() }

// Counts is what was seen so far, how many sockets are open and how many tickets are kept.
func (f *Front) Counts() (c *Counts, open, lines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &f.counts, len(f.open), len(f.lines)
}

// ServeHTTP opens a socket and serves it until it ends.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	client := r.URL.Query().Get("viewer") // only to tell the barred apart; nothing is granted by it
	f.mu.Lock()
	refused, back := f.door.Admit(f.now(), client, len(f.open)+f.opening)
	if refused == sockets.Admitted {
		f.opening++ // from here on, or thousands in mid-handshake would pass an admission that is full
	}
	var shed []*socket
	if refused == sockets.Full {
		shed = f.shed()
	}
	shut := f.shut
	if shut && refused == sockets.Admitted {
		f.opening--
	}
	f.mu.Unlock()
	for _, s := range shed {
		f.counts.Shed.Add(1)
		s.end(websocket.StatusTryAgainLater, "the front holds as many sockets as it may")
	}
	if shut || refused != sockets.Admitted {
		f.counts.Refused.Add(1)
		h := w.Header()
		h.Set("Cache-Control", "no-store")
		h.Set("Retry-After", strconv.FormatInt((max(back, decision.Second)+decision.Second-1)/decision.Second, 10))
		h.Set(RetryAfterMsHeader, strconv.FormatInt(session.Duration(max(back, decision.Second)).Milliseconds(), 10))
		why := refused.String()
		if shut {
			why = "the front is ending"
		}
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	// Any page may open it: nothing is granted by cookies, and what is asked is open to anyone who reaches the front.
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol}, InsecureSkipVerify: true})
	opened := func() { f.mu.Lock(); f.opening--; f.mu.Unlock() }
	if err != nil { // Accept has answered
		opened()
		return
	}
	if conn.Subprotocol() != Subprotocol {
		opened()
		conn.Close(websocket.StatusPolicyViolation, "subprotocol "+Subprotocol+" is needed")
		return
	}
	conn.SetReadLimit(sockets.MaxMessageBytes)
	ctx, cancel := context.WithCancel(f.ctx)
	now := f.now()
	s := &socket{front: f, conn: conn, client: client, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), conduct: sockets.NewBehavior(now), since: now}
	f.mu.Lock()
	f.opening--
	if f.shut {
		f.mu.Unlock()
		cancel()
		conn.Close(websocket.StatusGoingAway, "the front is ending")
		return
	}
	f.open[s] = true
	f.order = append(f.order, s)
	if len(f.order) > 2*len(f.open)+64 {
		kept := f.order[:0]
		for _, o := range f.order {
			if f.open[o] {
				kept = append(kept, o)
			}
		}
		clear(f.order[len(kept):])
		f.order = kept
	}
	f.wg.Add(2)
	f.mu.Unlock()
	f.counts.Opened.Add(1)
	go func() { defer f.wg.Done(); s.write() }()
	defer f.wg.Done()
	s.read()
	f.mu.Lock()
	delete(f.open, s)
	f.mu.Unlock()
}

// RetryAfterMsHeader tells, in milliseconds, when one who was not let in may come back; Retry-After can say whole
// seconds only.
const RetryAfterMsHeader = "Gullrail-Come-Back-Ms"

// shed chooses sockets to let go; the caller holds the lock and ends them without it.
func (f *Front) shed() (gone []*socket) {
	now := f.now()
	var all []*socket
	var standing []sockets.SocketState
	for _, s := range f.order {
		if f.open[s] {
			all = append(all, s)
			standing = append(standing, s.standing(now))
		}
	}
	for _, i := range sockets.Shed(now, standing, 0) {
		gone = append(gone, all[i])
	}
	return gone
}

func (f *Front) drop(l *line) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lines[l.ticket] == l {
		delete(f.lines, l.ticket)
	}
}

// Shut lets no more sockets in and tells those that are open when to come back, spread out. What is owed to them is still
// answered; Close ends what is left.
func (f *Front) Shut() {
	f.mu.Lock()
	f.shut = true
	var all []*socket
	for _, s := range f.order {
		if f.open[s] {
			s.advice = f.door.SpreadReturns(len(f.open))
			all = append(all, s)
		}
	}
	f.mu.Unlock()
	for _, s := range all {
		s.leave()
	}
}

// Drain waits until all sockets have gone, or the context ends.
func (f *Front) Drain(ctx context.Context) {
	for {
		if _, open, _ := f.Counts(); open == 0 {
			return
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// Close ends all sockets and returns once nothing of them runs. Requests that wait are withdrawn; plays go on.
func (f *Front) Close() {
	f.mu.Lock()
	f.shut = true
	var lines []*line
	for _, l := range f.lines {
		lines = append(lines, l)
	}
	f.mu.Unlock()
	f.stop()
	f.wg.Wait()
	for _, l := range lines {
		l.mu.Lock()
		l.dropped = true
		if l.judge != nil {
			l.judge.Stop()
		}
		pending := l.pending
		l.mu.Unlock()
		if pending != nil {
			pending.Withdraw()
		}
	}
}

// socket is one open socket.
type socket struct {
	front   *Front
	conn    *websocket.Conn
	client  string
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}
	conduct sockets.Behavior // the reader's
	advice  int64            // when to come back, once it is told to go

	mu      sync.Mutex
	lines   []*line
	control []Message // answers to messages, for no ticket's box
	since   int64     // when it last asked, or opened
	behind  int64     // since when a write is under way; 0 is none
	leaving bool
	viewer  string
	ending  websocket.StatusCode
	why     string
}

func (s *socket) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

const controlMost = 2 * 10 // messages that wait to be told off: more than a player is warned, after which it is cut

func (s *socket) tell(m Message) {
	s.mu.Lock()
	if len(s.control) < controlMost {
		s.control = append(s.control, m)
	}
	s.mu.Unlock()
	s.poke()
}

// end closes the socket with a word; what it had stays for its viewer to resume.
func (s *socket) end(code websocket.StatusCode, why string) {
	s.mu.Lock()
	if s.ending == 0 {
		s.ending, s.why = code, why
	}
	s.mu.Unlock()
	s.poke()
}

// leave closes the socket once nothing is owed on it.
func (s *socket) leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.poke()
}

func (s *socket) let(l *line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.lines {
		if x == l {
			s.lines = append(s.lines[:i], s.lines[i+1:]...)
			return
		}
	}
}

func (s *socket) standing(now int64) sockets.SocketState {
	s.mu.Lock()
	lines, st := append([]*line(nil), s.lines...), sockets.SocketState{Since: s.since}
	if s.behind > 0 {
		st.WriteDelay = now - s.behind
	}
	s.mu.Unlock()
	for _, l := range lines {
		playing, importance := l.standing()
		st.Playing = st.Playing || playing
		st.Importance = max(st.Importance, importance)
	}
	return st
}

// ---- Writing ----

func (s *socket) write() {
	defer s.cancel()
	ping := time.NewTimer(session.Duration(sockets.PingInterval))
	defer ping.Stop()
	var pings sync.WaitGroup
	defer pings.Wait()
	for {
		if !s.flush() {
			return
		}
		select {
		case <-s.wake:
		case <-ping.C:
			pings.Add(1)
			go func() { // it waits for the pong; a peer that is gone gives none
				defer pings.Done()
				ctx, cancel := context.WithTimeout(s.ctx, session.Duration(sockets.PongTimeout))
				defer cancel()
				if s.conn.Ping(ctx) != nil {
					s.cancel()
				}
			}()
			ping.Reset(session.Duration(sockets.PingInterval))
		case <-s.ctx.Done():
			s.conn.CloseNow()
			return
		}
	}
}

// flush writes all that waits, and tells whether the socket goes on.
func (s *socket) flush() bool {
	for {
		s.mu.Lock()
		var out *Message
		if len(s.control) > 0 {
			out, s.control = &s.control[0], s.control[1:]
		}
		lines := append([]*line(nil), s.lines...)
		ending, why, leaving := s.ending, s.why, s.leaving
		s.mu.Unlock()
		owed := false
		for _, l := range lines {
			if out != nil {
				break
			}
			if m, ok := l.next(s); ok {
				out = &m
			}
			l.mu.Lock()
			owed = owed || !l.answered
			l.mu.Unlock()
		}
		if out != nil {
			if !s.send(*out) {
				return false
			}
			continue
		}
		if leaving && !owed && ending == 0 {
			ending, why = websocket.StatusGoingAway, "the front is ending"
		}
		if ending != 0 {
			s.front.mu.Lock()
			advice := s.advice
			if advice == 0 {
				advice = s.front.door.SpreadReturns(1)
			}
			s.front.mu.Unlock()
			s.send(Message{Type: "bye", Why: why, ComeBack: session.Duration(advice).Milliseconds()})
			s.conn.Close(ending, why)
			return false
		}
		return true
	}
}

func (s *socket) send(m Message) bool {
	text, err := json.Marshal(m)
	if err != nil {
		s.front.log.Error().Err(err).Msg("message")
		return false
	}
	s.mu.Lock()
	s.behind = s.front.now()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, session.Duration(sockets.WriteTimeout))
	defer cancel()
	if err := s.conn.Write(ctx, websocket.MessageText, text); err != nil {
		s.conn.CloseNow()
		return false
	}
	s.mu.Lock()
	s.behind = 0
	s.mu.Unlock()
	return true
}

// ---- Reading ----

func (s *socket) read() {
	defer s.cancel()
	defer func() {
		s.mu.Lock()
		lines := s.lines
		s.lines = nil
		s.mu.Unlock()
		for _, l := range lines {
			l.detach(s)
		}
	}()
	idle := time.AfterFunc(session.Duration(sockets.HelloTimeout), func() {
		s.mu.Lock()
		used := s.viewer != ""
		s.mu.Unlock()
		if !used {
			s.end(websocket.StatusPolicyViolation, "nothing was asked")
		}
	})
	defer idle.Stop()
	for {
		kind, text, err := s.conn.Read(s.ctx)
		if err != nil {
			return // closed, broken, or longer than its limit, which the library answers with 1009
		}
		switch s.conduct.Message(s.front.now()) {
		case sockets.Disconnect:
			s.cut("too many messages")
			continue
		case sockets.Ignore:
			s.tell(Message{Type: "error", Why: "too many messages: this one was not read"})
			continue
		}
		m, err := Decode(text)
		if kind != websocket.MessageText && err == nil {
			err = errors.New("message: text is needed")
		}
		if err != nil {
			if s.conduct.Malformed() == sockets.Disconnect {
				s.cut("messages that do not hold")
				continue
			}
			s.tell(Message{Type: "error", Why: err.Error()})
			continue
		}
		if why := s.take(m); why != "" {
			s.tell(Message{Type: "error", Ticket: m.Ticket, Why: why})
		}
	}
}

// cut ends the socket and keeps its player out for a while.
func (s *socket) cut(why string) {
	s.mu.Lock()
	done := s.ending != 0
	s.mu.Unlock()
	if done {
		return
	}
	s.front.counts.Cut.Add(1)
	s.front.mu.Lock()
	if s.client != "" {
		s.front.door.Ban(s.front.now(), s.client)
	}
	s.front.mu.Unlock()
	s.end(websocket.StatusPolicyViolation, why)
}

// take acts upon a message; the result is why it was not.
func (s *socket) take(m Message) string {
	switch m.Type {
	case "ask":
		return s.ask(m)
	case "resume":
		return s.resume(m)
	}
	l := s.own(m.Ticket)
	if l == nil {
		return "this socket has no such ticket"
	}
	if m.Cursor > 0 {
		l.ack(m.Cursor)
	}
	switch m.Type {
	case "bye":
		s.let(l)
		l.bye()
	case "report":
		l.mu.Lock()
		play := l.play
		playing := l.plays && !l.over
		l.mu.Unlock()
		if !playing {
			return "it does not play"
		}
		if m.Broken {
			if s.conduct.NotDelivered(s.front.now()) != sockets.Accept {
				return "too many broken nodes in a short time: look at the player's own line"
			}
			s.front.desk.Post(func(now int64, c *session.Core) { c.NotDelivered(now, play) })
		}
	}
	return ""
}

func (s *socket) own(ticket string) *line {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lines {
		if l.ticket == ticket {
			return l
		}
	}
	return nil
}

// hold takes a line in, unless the socket has as many as it may.
func (s *socket) hold(l *line, viewer string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lines) >= sockets.MaxPlays {
		return "too many requests and plays on one socket"
	}
	if s.viewer != "" && s.viewer != viewer {
		return "the socket is another viewer's"
	}
	s.viewer, s.since = viewer, s.front.now()
	s.lines = append(s.lines, l)
	return ""
}

func (s *socket) ask(m Message) string {
	f := s.front
	w := playapi.Params{Title: m.Title, Product: m.Product, Viewer: m.Viewer, MaxRung: -1, LimitMs: m.LimitMs, LengthMs: m.LengthMs, NotDelivered: m.Broken}
	if m.Top != nil {
		w.MaxRung = *m.Top
	}
	r, err := playapi.NewRequest(f.desk.Config, w)
	if err != nil {
		return err.Error()
	}
	if m.Token != "" {
		cl, err := f.desk.Tokens.Check(m.Token, time.Now())
		if err != nil {
			return err.Error()
		}
		if !playapi.TokenMatches(f.desk.Config, cl, r) {
			return "token: made for another title, viewer or product"
		}
		r.Previous = &session.Previous{Play: cl.Play, NotDelivered: m.Broken}
		if m.Broken && s.conduct.NotDelivered(f.now()) != sockets.Accept {
			return "too many broken nodes in a short time: look at the player's own line"
		}
	}
	l := &line{front: f, ticket: m.Ticket, request: r, limit: f.now() + session.Ticks(r.Timeout), began: time.Now(), socket: s}
	f.mu.Lock()
	taken, shut := f.lines[m.Ticket] != nil, f.shut
	if !taken && !shut {
		f.lines[m.Ticket] = l
	}
	f.mu.Unlock()
	switch {
	case taken:
		return "the ticket is in use: resume it"
	case shut:
		return "the front is ending"
	}
	if why := s.hold(l, r.Viewer); why != "" {
		f.drop(l)
		return why
	}
	p := f.desk.RequestPlay(r, l.event, l.hear)
	l.mu.Lock()
	if !l.answered {
		l.pending = p
	}
	l.mu.Unlock()
	return ""
}

func (s *socket) resume(m Message) string {
	f := s.front
	f.mu.Lock()
	l := f.lines[m.Ticket]
	f.mu.Unlock()
	if l != nil {
		if l == s.own(m.Ticket) {
			return "this socket has the ticket"
		}
		if why := s.hold(l, l.request.Viewer); why != "" {
			return why
		}
		if before := l.attach(s, m.Cursor); before != nil {
			before.let(l)
			before.tell(Message{Type: "taken", Ticket: m.Ticket})
		}
		f.counts.Resumed.Add(1)
		return ""
	}
	if m.Token == "" {
		s.unknown(m.Ticket, "")
		return ""
	}
	cl, err := f.desk.Tokens.Check(m.Token, time.Now())
	if err != nil {
		s.unknown(m.Ticket, err.Error())
		return ""
	}
	r, err := playapi.NewReturnRequest(f.desk.Config, cl, playapi.Params{})
	if err != nil {
		return err.Error()
	}
	l = &line{front: f, ticket: m.Ticket, request: r, limit: f.now() + session.Ticks(r.Timeout), began: time.Now(), play: cl.Play}
	f.mu.Lock()
	taken := f.lines[m.Ticket] != nil
	if !taken {
		f.lines[m.Ticket] = l
	}
	f.mu.Unlock()
	if taken {
		return "the ticket is being resumed elsewhere"
	}
	if why := s.hold(l, r.Viewer); why != "" {
		f.drop(l)
		return why
	}
	f.desk.Post(func(_ int64, c *session.Core) {
		ans, plays, how := c.Subscribe(cl.Play, l.event)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.box = sockets.NewOutboxAt(m.Cursor) // what it has is another ticket's, or another front's: cursors go on from there
		l.socket, l.sent = s, m.Cursor
		l.answered, l.plays = true, plays
		switch {
		case plays:
			f.counts.Resumed.Add(1)
			l.answerAt = l.box.Put(sockets.Answer, ans)
		case how != "":
			f.counts.Resumed.Add(1)
			l.over = true
			l.box.Put(sockets.End, session.Event{Ended: how, Answer: session.Answer{Play: cl.Play}})
		default:
			l.over, l.dropped = true, true
			go func() { f.drop(l); s.let(l); s.unknown(m.Ticket, "") }()
			return
		}
		s.poke()
	})
	return ""
}

func (s *socket) unknown(ticket, why string) {
	s.front.counts.Unknown.Add(1)
	s.tell(Message{Type: "unknown", Ticket: ticket, Why: why})
}
