package frontend

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnGrace is how long a connection that has sent nothing is not closed to make room: its request may be in transit.
const newConnGrace = 100 * time.Millisecond

// connLimiter is a listener that accepts up to a number of connections. At the limit it closes a connection without a request in
// progress to make room for the next one, so that clients cannot keep others out by holding connections, not even with requests
// that follow each other without a pause. Connections that never had a request answered go first, then the one that was used the
// longest ago. If every connection has a request in progress, new ones wait in the listen backlog until one is answered.
//
// Its connState method has to be the server's ConnState hook.
type connLimiter struct {
	net.Listener
	max int

	mu     sync.Mutex
	conns  map[*limitedConn]struct{}
	closed bool
	freed  chan struct{} // signals that a connection was closed or became evictable
}

func newConnLimiter(listener net.Listener, max int) *connLimiter {
	return &connLimiter{Listener: listener, max: max, conns: map[*limitedConn]struct{}{}, freed: make(chan struct{}, 1)}
}

// limitedConn is a connection that counts against the limit until it is closed.
type limitedConn struct {
	net.Conn
	limiter *connLimiter
	// The following are guarded by the limiter's mutex.
	busy     bool      // a request is being received or answered, or the connection has left HTTP
	evicted  bool      // closed to make room
	answered bool      // a request was answered
	since    time.Time // when it was accepted, or its last request was answered
}

// Accept waits for a connection, and for room for it.
func (l *connLimiter) Accept() (net.Conn, error) {
	l.waitForRoom()
	sock, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: sock, limiter: l, since: time.Now()}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// Close closes the listener. It ends an Accept that waits for room.
func (l *connLimiter) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.signal()
	return err
}

func (l *connLimiter) signal() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// waitForRoom returns once the number of connections is below the limit, or the listener is closed.
func (l *connLimiter) waitForRoom() {
	for !l.makeRoom(time.Now()) {
		select {
		case <-l.freed:
		case <-time.After(newConnGrace): // a new connection may be evictable by then
		}
	}
}

// makeRoom closes a connection if the limit is reached, and reports whether another one may be accepted.
func (l *connLimiter) makeRoom(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.conns) < l.max {
		return true
	}
	var victim *limitedConn
	for c := range l.conns {
		if !c.busy && (victim == nil || c.evictedBefore(victim)) && (c.answered || now.Sub(c.since) >= newConnGrace) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.evicted = true
	delete(l.conns, victim)
	victim.Conn.Close()
	return true
}

// evictedBefore reports whether c is closed rather than o.
func (c *limitedConn) evictedBefore(o *limitedConn) bool {
	if c.answered != o.answered {
		return o.answered
	}
	return c.since.Before(o.since)
}

// connState records what a connection of the server does.
func (l *connLimiter) connState(conn net.Conn, state http.ConnState) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, ok := conn.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive: // Read has seen the request before, unless it was sent together with the one before
		c.busy = true
	case http.StateIdle:
		c.busy, c.answered, c.since = false, true, time.Now()
		l.signal()
	}
}

// Read marks the connection as busy if data has arrived, unless it was closed to make room before.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.evicted {
		return 0, net.ErrClosed
	}
	c.busy = c.busy || n > 0
	return n, err
}

// Close closes the connection and makes its place free.
func (c *limitedConn) Close() error {
	c.limiter.mu.Lock()
	delete(c.limiter.conns, c)
	c.limiter.mu.Unlock()
	c.limiter.signal()
	return c.Conn.Close()
}
