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

// Server serves the WebSocket connections of one front end.
type Server struct {
	service *playapi.Service
	clock   *session.Clock
	log     zerolog.Logger
	ctx     context.Context // canceled by Close
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu         sync.Mutex
	admission  *sockets.Admission
	open       map[*socket]bool
	handshakes int       // admitted sockets whose handshake is not complete
	openOrder  []*socket // in the order of opening; closed sockets are removed from time to time
	tickets    map[string]*ticket
	closing    bool

	counts Counts
}

// Counts are totals since the start of the front.
type Counts struct {
	Opened, Refused, Shed, Disconnected, Resumed, Unknown atomic.Int64
}

// NewServer returns a handler for a front end with the given limit of connections. Call Close to stop it.
func NewServer(service *playapi.Service, clock *session.Clock, connections int, seed uint64, log zerolog.Logger) *Server {
	ctx, stop := context.WithCancel(context.Background())
	return &Server{service: service, clock: clock, log: log, ctx: ctx, stop: stop, admission: sockets.NewAdmission(clock.Now(), sockets.MaxSockets(connections), seed),
		open: map[*socket]bool{}, tickets: map[string]*ticket{}}
}

func (srv *Server) now() int64 { return srv.clock.Now() }

// Counts returns the totals, the number of open sockets and the number of stored tickets.
func (srv *Server) Counts() (c *Counts, open, tickets int) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return &srv.counts, len(srv.open), len(srv.tickets)
}

// ServeHTTP accepts a WebSocket connection and serves it until it is closed.
func (srv *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	clientID := r.URL.Query().Get("viewer") // unauthenticated: used only to recognize banned clients
	srv.mu.Lock()
	result, retryAfter := srv.admission.Admit(srv.now(), clientID, len(srv.open)+srv.handshakes)
	if result == sockets.Admitted {
		srv.handshakes++ // counted before the handshake: thousands of concurrent handshakes could exceed the limit otherwise
	}
	var shed []*socket
	if result == sockets.Full {
		shed = srv.selectForShedding()
	}
	closing := srv.closing
	if closing && result == sockets.Admitted {
		srv.handshakes--
	}
	srv.mu.Unlock()
	for _, s := range shed {
		srv.counts.Shed.Add(1)
		s.closeWith(websocket.StatusTryAgainLater, "the front holds as many sockets as it may")
	}
	if closing || result != sockets.Admitted {
		srv.counts.Refused.Add(1)
		h := w.Header()
		h.Set("Cache-Control", "no-store")
		h.Set("Retry-After", strconv.FormatInt((max(retryAfter, decision.Second)+decision.Second-1)/decision.Second, 10))
		h.Set(RetryAfterMsHeader, strconv.FormatInt(session.Duration(max(retryAfter, decision.Second)).Milliseconds(), 10))
		reason := result.String()
		if closing {
			reason = "the front is ending"
		}
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	// The origin is not checked: no cookies are used for authorization, and anyone who can reach the front may make these requests.
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol}, InsecureSkipVerify: true})
	handshakeDone := func() { srv.mu.Lock(); srv.handshakes--; srv.mu.Unlock() }
	if err != nil { // Accept has written the response
		handshakeDone()
		return
	}
	if conn.Subprotocol() != Subprotocol {
		handshakeDone()
		conn.Close(websocket.StatusPolicyViolation, "subprotocol "+Subprotocol+" is needed")
		return
	}
	conn.SetReadLimit(sockets.MaxMessageBytes)
	ctx, cancel := context.WithCancel(srv.ctx)
	now := srv.now()
	s := &socket{server: srv, conn: conn, clientID: clientID, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), limiter: sockets.NewMessageLimiter(now), activeAt: now}
	srv.mu.Lock()
	srv.handshakes--
	if srv.closing {
		srv.mu.Unlock()
		cancel()
		conn.Close(websocket.StatusGoingAway, "the front is ending")
		return
	}
	srv.open[s] = true
	srv.openOrder = append(srv.openOrder, s)
	if len(srv.openOrder) > 2*len(srv.open)+64 {
		stillOpen := srv.openOrder[:0]
		for _, o := range srv.openOrder {
			if srv.open[o] {
				stillOpen = append(stillOpen, o)
			}
		}
		clear(srv.openOrder[len(stillOpen):])
		srv.openOrder = stillOpen
	}
	srv.wg.Add(2)
	srv.mu.Unlock()
	srv.counts.Opened.Add(1)
	go func() { defer srv.wg.Done(); s.writeLoop() }()
	defer srv.wg.Done()
	s.readLoop()
	srv.mu.Lock()
	delete(srv.open, s)
	srv.mu.Unlock()
}

// RetryAfterMsHeader is the response header with the time after which a refused client may reconnect, in milliseconds.
// Retry-After has a resolution of whole seconds only.
const RetryAfterMsHeader = "Gullrail-Come-Back-Ms"

// selectForShedding returns sockets to close to make room for others. The caller holds f.mu, and closes them after
// releasing it.
func (srv *Server) selectForShedding() (selected []*socket) {
	now := srv.now()
	var candidates []*socket
	var states []sockets.SocketState
	for _, s := range srv.openOrder {
		if srv.open[s] {
			candidates = append(candidates, s)
			states = append(states, s.state(now))
		}
	}
	for _, i := range sockets.Shed(now, states, 0) {
		selected = append(selected, candidates[i])
	}
	return selected
}

func (srv *Server) removeTicket(t *ticket) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.tickets[t.id] == t {
		delete(srv.tickets, t.id)
	}
}

// StartShutdown refuses new sockets and closes the open ones with reconnection times that are spread out. A socket stays open until its
// requests are answered; Close closes those that remain.
func (srv *Server) StartShutdown() {
	srv.mu.Lock()
	srv.closing = true
	var openSockets []*socket
	for _, s := range srv.openOrder {
		if srv.open[s] {
			s.retryAfter = srv.admission.ReconnectDelay(len(srv.open))
			openSockets = append(openSockets, s)
		}
	}
	srv.mu.Unlock()
	for _, s := range openSockets {
		s.drain()
	}
}

// WaitClosed waits until all sockets are closed or ctx is done.
func (srv *Server) WaitClosed(ctx context.Context) {
	for {
		if _, open, _ := srv.Counts(); open == 0 {
			return
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// Close closes all sockets and returns when their goroutines have ended. Pending requests are withdrawn; plays continue.
func (srv *Server) Close() {
	srv.mu.Lock()
	srv.closing = true
	var tickets []*ticket
	for _, t := range srv.tickets {
		tickets = append(tickets, t)
	}
	srv.mu.Unlock()
	srv.stop()
	srv.wg.Wait()
	for _, t := range tickets {
		t.mu.Lock()
		t.dropped = true
		if t.expiryTimer != nil {
			t.expiryTimer.Stop()
		}
		pending := t.pending
		t.mu.Unlock()
		if pending != nil {
			pending.Withdraw()
		}
	}
}

// socket is one open WebSocket connection.
type socket struct {
	server     *Server
	conn       *websocket.Conn
	clientID   string
	ctx        context.Context
	cancel     context.CancelFunc
	wake       chan struct{}
	limiter    sockets.MessageLimiter // used only by readLoop
	retryAfter int64                  // reconnection delay sent by StartShutdown, 0 before; guarded by server.mu

	mu          sync.Mutex
	tickets     []*ticket
	control     []Message // queued messages that have no cursor and are not resent after a disconnect
	activeAt    int64     // time of the last ask or resume, or of opening
	writeStart  int64     // start time of the write in progress, 0 if there is none
	draining    bool      // to be closed when all requests are answered
	viewer      string
	closeCode   websocket.StatusCode
	closeReason string
}

func (s *socket) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// maxControlMessages limits a socket's control queue, beyond which messages are dropped. It is above the number of errors
// that a player receives for excessive messages before it is disconnected (10).
const maxControlMessages = 2 * 10

func (s *socket) queueControl(m Message) {
	s.mu.Lock()
	if len(s.control) < maxControlMessages {
		s.control = append(s.control, m)
	}
	s.mu.Unlock()
	s.wakeWriter()
}

// closeWith makes the writer send a bye message and close the socket. Its tickets can be resumed on another socket.
func (s *socket) closeWith(code websocket.StatusCode, reason string) {
	s.mu.Lock()
	if s.closeCode == 0 {
		s.closeCode, s.closeReason = code, reason
	}
	s.mu.Unlock()
	s.wakeWriter()
}

// drain makes the writer close the socket once all its requests are answered and all messages are sent.
func (s *socket) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.wakeWriter()
}

func (s *socket) removeTicket(t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.tickets {
		if other == t {
			s.tickets = append(s.tickets[:i], s.tickets[i+1:]...)
			return
		}
	}
}

func (s *socket) state(now int64) sockets.SocketState {
	s.mu.Lock()
	tickets, st := append([]*ticket(nil), s.tickets...), sockets.SocketState{Since: s.activeAt}
	if s.writeStart > 0 {
		st.WriteDelay = now - s.writeStart
	}
	s.mu.Unlock()
	for _, t := range tickets {
		playing, importance := t.shedState()
		st.Playing = st.Playing || playing
		st.Importance = max(st.Importance, importance)
	}
	return st
}

func (s *socket) writeLoop() {
	defer s.cancel()
	pingTimer := time.NewTimer(session.Duration(sockets.PingInterval))
	defer pingTimer.Stop()
	var pings sync.WaitGroup
	defer pings.Wait()
	for {
		if !s.flush() {
			return
		}
		select {
		case <-s.wake:
		case <-pingTimer.C:
			pings.Add(1)
			go func() { // Ping waits for the pong
				defer pings.Done()
				ctx, cancel := context.WithTimeout(s.ctx, session.Duration(sockets.PongTimeout))
				defer cancel()
				if s.conn.Ping(ctx) != nil {
					s.cancel()
				}
			}()
			pingTimer.Reset(session.Duration(sockets.PingInterval))
		case <-s.ctx.Done():
			s.conn.CloseNow()
			return
		}
	}
}

// flush sends all queued messages and reports whether the socket is still open.
func (s *socket) flush() bool {
	for {
		s.mu.Lock()
		var msg *Message
		if len(s.control) > 0 {
			msg, s.control = &s.control[0], s.control[1:]
		}
		tickets := append([]*ticket(nil), s.tickets...)
		closeCode, closeReason, draining := s.closeCode, s.closeReason, s.draining
		s.mu.Unlock()
		unanswered := false
		for _, t := range tickets {
			if msg != nil {
				break
			}
			if m, ok := t.nextMessage(s); ok {
				msg = &m
			}
			t.mu.Lock()
			unanswered = unanswered || !t.answered
			t.mu.Unlock()
		}
		if msg != nil {
			if !s.send(*msg) {
				return false
			}
			continue
		}
		if draining && !unanswered && closeCode == 0 {
			closeCode, closeReason = websocket.StatusGoingAway, "the front is ending"
		}
		if closeCode != 0 {
			s.server.mu.Lock()
			retryAfter := s.retryAfter
			if retryAfter == 0 {
				retryAfter = s.server.admission.ReconnectDelay(1)
			}
			s.server.mu.Unlock()
			s.send(Message{Type: "bye", Reason: closeReason, RetryAfterMs: session.Duration(retryAfter).Milliseconds()})
			s.conn.Close(closeCode, closeReason)
			return false
		}
		return true
	}
}

func (s *socket) send(m Message) bool {
	text, err := json.Marshal(m)
	if err != nil {
		s.server.log.Error().Err(err).Msg("encoding a message failed")
		return false
	}
	s.mu.Lock()
	s.writeStart = s.server.now()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, session.Duration(sockets.WriteTimeout))
	defer cancel()
	if err := s.conn.Write(ctx, websocket.MessageText, text); err != nil {
		s.conn.CloseNow()
		return false
	}
	s.mu.Lock()
	s.writeStart = 0
	s.mu.Unlock()
	return true
}

func (s *socket) readLoop() {
	defer s.cancel()
	defer func() {
		s.mu.Lock()
		tickets := s.tickets
		s.tickets = nil
		s.mu.Unlock()
		for _, t := range tickets {
			t.detach(s)
		}
	}()
	helloTimer := time.AfterFunc(session.Duration(sockets.HelloTimeout), func() {
		s.mu.Lock()
		used := s.viewer != ""
		s.mu.Unlock()
		if !used {
			s.closeWith(websocket.StatusPolicyViolation, "nothing was asked")
		}
	})
	defer helloTimer.Stop()
	for {
		messageType, text, err := s.conn.Read(s.ctx)
		if err != nil {
			return // closed, lost, or a message above the size limit, for which the library closes with code 1009
		}
		switch s.limiter.Message(s.server.now()) {
		case sockets.Disconnect:
			s.disconnectAndBan("too many messages")
			continue
		case sockets.Ignore:
			s.queueControl(Message{Type: "error", Reason: "too many messages: this one was not read"})
			continue
		}
		m, err := Decode(text)
		if messageType != websocket.MessageText && err == nil {
			err = errors.New("message: text is needed")
		}
		if err != nil {
			if s.limiter.Malformed() == sockets.Disconnect {
				s.disconnectAndBan("messages that do not hold")
				continue
			}
			s.queueControl(Message{Type: "error", Reason: err.Error()})
			continue
		}
		if problem := s.handle(m); problem != "" {
			s.queueControl(Message{Type: "error", Ticket: m.Ticket, Reason: problem})
		}
	}
}

// disconnectAndBan closes the socket and refuses its client for a while.
func (s *socket) disconnectAndBan(reason string) {
	s.mu.Lock()
	closing := s.closeCode != 0
	s.mu.Unlock()
	if closing {
		return
	}
	s.server.counts.Disconnected.Add(1)
	s.server.mu.Lock()
	if s.clientID != "" {
		s.server.admission.Ban(s.server.now(), s.clientID)
	}
	s.server.mu.Unlock()
	s.closeWith(websocket.StatusPolicyViolation, reason)
}

// handle processes a message. If the message is rejected, it returns the reason, else "".
func (s *socket) handle(m Message) string {
	switch m.Type {
	case "ask":
		return s.handleAsk(m)
	case "resume":
		return s.handleResume(m)
	}
	t := s.findTicket(m.Ticket)
	if t == nil {
		return "this socket has no such ticket"
	}
	if m.Cursor > 0 {
		t.ack(m.Cursor)
	}
	switch m.Type {
	case "bye":
		s.removeTicket(t)
		t.end()
	case "report":
		t.mu.Lock()
		playID := t.playID
		playing := t.granted && !t.ended
		t.mu.Unlock()
		if !playing {
			return "it does not play"
		}
		if m.NotDelivered {
			if s.limiter.NotDelivered(s.server.now()) != sockets.Accept {
				return "too many broken nodes in a short time: look at the player's own line"
			}
			s.server.service.Post(func(now int64, c *session.Core) { c.NotDelivered(now, playID) })
		}
	}
	return ""
}

func (s *socket) findTicket(id string) *ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tickets {
		if t.id == id {
			return t
		}
	}
	return nil
}

// addTicket adds a ticket to the socket. If the socket has too many or belongs to another viewer, it returns the
// reason, else "".
func (s *socket) addTicket(t *ticket, viewer string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tickets) >= sockets.MaxPlays {
		return "too many requests and plays on one socket"
	}
	if s.viewer != "" && s.viewer != viewer {
		return "the socket is another viewer's"
	}
	s.viewer, s.activeAt = viewer, s.server.now()
	s.tickets = append(s.tickets, t)
	return ""
}

func (s *socket) handleAsk(m Message) string {
	srv := s.server
	params := playapi.Params{Title: m.Title, Product: m.Product, Viewer: m.Viewer, MaxRung: -1, TimeoutMs: m.TimeoutMs, LengthMs: m.LengthMs, NotDelivered: m.NotDelivered}
	if m.MaxRung != nil {
		params.MaxRung = *m.MaxRung
	}
	request, err := playapi.NewRequest(srv.service.Config, params)
	if err != nil {
		return err.Error()
	}
	if m.Token != "" {
		claims, err := srv.service.Tokens.Check(m.Token, time.Now())
		if err != nil {
			return err.Error()
		}
		if !playapi.TokenMatches(srv.service.Config, claims, request) {
			return "token: made for another title, viewer or product"
		}
		request.Previous = &session.Previous{Play: claims.Play, NotDelivered: m.NotDelivered}
		if m.NotDelivered && s.limiter.NotDelivered(srv.now()) != sockets.Accept {
			return "too many broken nodes in a short time: look at the player's own line"
		}
	}
	t := &ticket{server: srv, id: m.Ticket, request: request, deadline: srv.now() + session.Ticks(request.Timeout), startedAt: time.Now(), socket: s}
	srv.mu.Lock()
	inUse, closing := srv.tickets[m.Ticket] != nil, srv.closing
	if !inUse && !closing {
		srv.tickets[m.Ticket] = t
	}
	srv.mu.Unlock()
	switch {
	case inUse:
		return "the ticket is in use: resume it"
	case closing:
		return "the front is ending"
	}
	if problem := s.addTicket(t, request.Viewer); problem != "" {
		srv.removeTicket(t)
		return problem
	}
	pending := srv.service.RequestPlay(request, t.onEvent, t.onAnswer)
	t.mu.Lock()
	if !t.answered {
		t.pending = pending
	}
	t.mu.Unlock()
	return ""
}

func (s *socket) handleResume(m Message) string {
	srv := s.server
	srv.mu.Lock()
	t := srv.tickets[m.Ticket]
	srv.mu.Unlock()
	if t != nil {
		if t == s.findTicket(m.Ticket) {
			return "this socket has the ticket"
		}
		if problem := s.addTicket(t, t.request.Viewer); problem != "" {
			return problem
		}
		if previous := t.attach(s, m.Cursor); previous != nil {
			previous.removeTicket(t)
			previous.queueControl(Message{Type: "taken", Ticket: m.Ticket})
		}
		srv.counts.Resumed.Add(1)
		return ""
	}
	if m.Token == "" {
		s.sendUnknown(m.Ticket, "")
		return ""
	}
	claims, err := srv.service.Tokens.Check(m.Token, time.Now())
	if err != nil {
		s.sendUnknown(m.Ticket, err.Error())
		return ""
	}
	request, err := playapi.NewTokenRequest(srv.service.Config, claims, playapi.Params{})
	if err != nil {
		return err.Error()
	}
	t = &ticket{server: srv, id: m.Ticket, request: request, deadline: srv.now() + session.Ticks(request.Timeout), startedAt: time.Now(), playID: claims.Play}
	srv.mu.Lock()
	inUse := srv.tickets[m.Ticket] != nil
	if !inUse {
		srv.tickets[m.Ticket] = t
	}
	srv.mu.Unlock()
	if inUse {
		return "the ticket is being resumed elsewhere"
	}
	if problem := s.addTicket(t, request.Viewer); problem != "" {
		srv.removeTicket(t)
		return problem
	}
	srv.service.Post(func(_ int64, c *session.Core) {
		answer, playing, ended := c.Subscribe(claims.Play, t.onEvent)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.outbox = sockets.NewOutboxAt(m.Cursor) // the cursors continue those that another front has sent for this ticket
		t.socket, t.sentCursor = s, m.Cursor
		t.answered, t.granted = true, playing
		switch {
		case playing:
			srv.counts.Resumed.Add(1)
			t.answerCursor = t.outbox.Put(sockets.Answer, answer)
		case ended != "":
			srv.counts.Resumed.Add(1)
			t.ended = true
			t.outbox.Put(sockets.End, session.Event{EndReason: ended, Answer: session.Answer{Play: claims.Play}})
		default:
			t.ended, t.dropped = true, true
			go func() { srv.removeTicket(t); s.removeTicket(t); s.sendUnknown(m.Ticket, "") }()
			return
		}
		s.wakeWriter()
	})
	return ""
}

// sendUnknown tells the player that this front knows neither the ticket nor the play of its token.
func (s *socket) sendUnknown(ticketID, reason string) {
	s.server.counts.Unknown.Add(1)
	s.queueControl(Message{Type: "unknown", Ticket: ticketID, Reason: reason})
}
