package relaybed

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"
)

const (
	clientDialTimeout = time.Second
	clientIdleTimeout = 4 * time.Second // a client closes a connection without a session on it after this
	maxPieces         = 4
	pieceDelay        = 3 * time.Millisecond
)

// Client is a host with viewers behind it. It keeps connections to the front end and uses them for many sessions.
type Client struct {
	host     string
	bed      *Bed
	maxConns int // beyond it, set-ups share the open connections

	mu    sync.Mutex
	conns []*clientConn
	dials int // in progress
}

// clientConn is one connection of a client.
type clientConn struct {
	client   *Client
	sock     net.Conn
	writing  sync.Mutex
	waiting  map[uint64]*Session // set-ups without an answer; guarded by the client's mutex
	standing map[uint64]bool     // sessions whose set-up was sent here; guarded by the client's mutex
	usedAt   time.Time
	closed   bool
}

func newClient(bed *Bed, host string, maxConns int) *Client {
	return &Client{bed: bed, host: host, maxConns: maxConns}
}

// connect opens a connection. It fails if the front end's address refuses it.
func (c *Client) connect() (*clientConn, error) {
	sock, err := dialFrom(c.host, c.bed.Front.Address)
	if err != nil {
		return nil, err
	}
	conn := &clientConn{client: c, sock: sock, waiting: map[uint64]*Session{}, standing: map[uint64]bool{}, usedAt: time.Now()}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	go conn.readLoop()
	return conn, nil
}

// idleConn returns an open connection that is not waited on, or nil.
func (c *Client) idleConn() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		if len(conn.waiting) == 0 && !conn.closed {
			return conn
		}
	}
	return nil
}

// openConn returns an idle connection, or else a new one, or the one with the fewest set-ups if the client may open no more.
func (c *Client) openConn() (*clientConn, error) {
	if conn := c.idleConn(); conn != nil {
		return conn, nil
	}
	c.mu.Lock()
	var shared *clientConn
	if len(c.conns)+c.dials >= c.maxConns {
		for _, conn := range c.conns {
			if !conn.closed && (shared == nil || len(conn.waiting) < len(shared.waiting)) {
				shared = conn
			}
		}
	}
	c.dials++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.dials--
		c.mu.Unlock()
	}()
	if shared != nil {
		return shared, nil
	}
	return c.connect()
}

// SetUp sends a set-up, in several pieces if asked to. A front end that refuses the connection has not taken it.
func (c *Client) SetUp(s *Session, pieces bool) (*clientConn, error) {
	s.host = c.host
	c.bed.audit.add(s)
	var conn *clientConn
	for entered := false; !entered; {
		var err error
		if conn, err = c.openConn(); err != nil {
			c.bed.audit.forget(s.ID)
			return nil, err
		}
		entered = conn.enter(s)
	}
	c.bed.logf("%s sends set-up %016x of class %s, %v, from %s", c.host, s.ID, s.class, s.expires, conn.sock.LocalAddr())
	return conn, conn.sendSetUp(s, pieces)
}

// enter enters a set-up on the connection and reports whether it did: the client may have closed the connection meanwhile.
func (conn *clientConn) enter(s *Session) bool {
	conn.client.mu.Lock()
	defer conn.client.mu.Unlock()
	if conn.closed {
		return false
	}
	conn.waiting[s.ID], conn.standing[s.ID] = s, true
	return true
}

func (conn *clientConn) sendSetUp(s *Session, pieces bool) error {
	text := setUpText(s, "")
	conn.writing.Lock()
	defer conn.writing.Unlock()
	conn.client.bed.audit.update(s.ID, func(r *record) { r.sentAt = time.Now() })
	if pieces {
		for range maxPieces - 1 {
			n := len(text) / maxPieces
			if _, err := io.WriteString(conn.sock, text[:n]); err != nil {
				return err
			}
			text = text[n:]
			time.Sleep(pieceDelay)
		}
	}
	_, err := io.WriteString(conn.sock, text)
	conn.client.bed.audit.update(s.ID, func(r *record) { r.sentAt = time.Now() })
	return err
}

// HandOver hands a session that stands at a node over to the front end.
func (c *Client) HandOver(s *Session, node string) error {
	s.host, s.handed = c.host, true
	conn, err := c.openConn()
	if err != nil {
		return err
	}
	c.bed.audit.add(s)
	c.bed.audit.stands(s.ID, node, "")
	c.bed.audit.update(s.ID, func(r *record) { r.sentAt = time.Now() })
	c.mu.Lock()
	conn.standing[s.ID] = true
	c.mu.Unlock()
	return conn.write(setUpText(s, node))
}

func (conn *clientConn) write(text string) error {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	_, err := io.WriteString(conn.sock, text)
	return err
}

// GiveUp takes a set-up back.
func (conn *clientConn) GiveUp(s *Session) {
	conn.client.mu.Lock()
	_, waits := conn.waiting[s.ID]
	delete(conn.waiting, s.ID)
	conn.client.mu.Unlock()
	if waits {
		conn.client.bed.audit.update(s.ID, func(r *record) { r.goneAt = time.Now() })
		conn.client.bed.logf("%s gives up %016x", conn.client.host, s.ID)
		conn.write(tearDownText(s.ID, 0))
	}
}

// End ends a session that stands, on any connection of the client.
func (c *Client) End(id uint64) {
	conn, err := c.openConn()
	if err != nil {
		return
	}
	c.bed.audit.update(id, func(r *record) { r.leftAt = time.Now() })
	conn.write(tearDownText(id, int(causeEnded)))
}

// Close closes the connection as a client does that leaves; abort sends a reset.
func (conn *clientConn) Close(abort bool) {
	conn.client.mu.Lock()
	conn.closed = true
	for id := range conn.waiting {
		conn.client.bed.audit.update(id, func(r *record) { r.goneAt = time.Now() })
	}
	for id := range conn.standing {
		conn.client.bed.audit.update(id, func(r *record) { r.unreachable = true })
	}
	clear(conn.waiting)
	conn.client.mu.Unlock()
	if abort {
		reset(conn.sock)
		return
	}
	conn.sock.Close()
}

func (conn *clientConn) readLoop() {
	in := bufio.NewReader(conn.sock)
	for {
		m, err := readRTSP(in)
		if err != nil {
			conn.ended(err)
			return
		}
		conn.handle(m)
	}
}

func (conn *clientConn) handle(m rtspMessage) {
	id, now := m.session(), time.Now()
	c := conn.client
	switch {
	case m.status >= 200 && m.header["cseq"] == "1":
		c.mu.Lock()
		delete(conn.waiting, id)
		if m.status != 200 {
			delete(conn.standing, id)
		}
		conn.usedAt = now
		c.mu.Unlock()
		c.bed.audit.update(id, func(r *record) { r.answers = append(r.answers, answer{m.status, m.body, now}) })
		c.bed.logf("%s gets %d for %016x", c.host, m.status, id)
	case m.method == "TEARDOWN":
		c.mu.Lock()
		delete(conn.standing, id)
		conn.usedAt = now
		c.mu.Unlock()
		c.bed.audit.update(id, func(r *record) {
			if r.releasedAt.IsZero() {
				r.releasedAt = now
			}
		})
		c.bed.logf("%s gets the release of %016x, %s", c.host, id, m.header["reason"])
	case m.method == "REDIRECT":
		c.bed.audit.update(id, func(r *record) { r.moved = true })
	}
}

// ended handles the end of a connection by the front end. A set-up that crossed the close is sent once more.
func (conn *clientConn) ended(err error) {
	now := time.Now()
	c := conn.client
	c.mu.Lock()
	byClient := conn.closed
	conn.closed = true
	var waiting []*Session
	for _, s := range conn.waiting {
		waiting = append(waiting, s)
	}
	clear(conn.waiting)
	for i, o := range c.conns {
		if o == conn {
			c.conns = append(c.conns[:i], c.conns[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	conn.sock.Close()
	if byClient {
		return
	}
	c.bed.logf("%s: connection %s ended by the front end: %v; %d set-ups wait", c.host, conn.sock.LocalAddr(), err, len(waiting))
	for _, s := range waiting {
		again := false
		c.bed.audit.update(s.ID, func(r *record) {
			r.connLostAt = now
			again = !r.resent && (r.sentAt.IsZero() || now.Sub(r.sentAt) < crossingWindow)
			r.resent = true
		})
		if !again {
			continue
		}
		if next, err := c.connect(); err == nil {
			c.mu.Lock()
			next.waiting[s.ID] = s
			c.mu.Unlock()
			next.sendSetUp(s, false)
		} else {
			c.bed.audit.update(s.ID, func(r *record) { r.voided = true }) // nobody listens: it was not taken
		}
	}
}

// CloseIdle closes the connections that have no session and were not used for clientIdleTimeout.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	var idle []*clientConn
	for _, conn := range c.conns {
		if len(conn.waiting) == 0 && len(conn.standing) == 0 && time.Since(conn.usedAt) > clientIdleTimeout {
			idle = append(idle, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range idle {
		conn.Close(false)
	}
}

// CloseAll closes all connections.
func (c *Client) CloseAll() {
	c.mu.Lock()
	all := append([]*clientConn(nil), c.conns...)
	c.mu.Unlock()
	for _, conn := range all {
		conn.Close(false)
	}
}

// dialFrom connects from a loopback address.
func dialFrom(host, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: clientDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return dialer.Dial("tcp", address)
}
