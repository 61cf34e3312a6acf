package main

import (
	"bufio"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// nodeSession is a session that a playout node runs or sets up.
type nodeSession struct {
	id     uint64
	conn   *nodeConn // the connection of its set-up
	stands bool
	timer  *time.Timer
	onDrop func()
}

type nodeConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *nodeConn) send(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(b)
	return err
}

// setUpFunc decides what a node does with a set-up that has arrived whole. It is called with the node locked.
type setUpFunc func(n *node, s *nodeSession, m binaryMessage)

// node is a playout node. Several nodes may, one after the other, use one socket (see socketOwner).
type node struct {
	name     string
	rec      *record
	onSetUp  setUpFunc
	noteEach time.Duration // a note of the link on one session this often; 0 sends none

	mu       sync.Mutex
	conns    []*nodeConn
	sessions map[uint64]*nodeSession
	pending  []binaryMessage // releases that are sent on the next connection
	dead     bool
	ended    map[uint64]time.Time // when a session that stood was over at this node
	setUps   int
	drainAt  time.Time                    // told as draining at
	onEnd    func(id uint64, silent bool) // a standing session is over; silent: no release could be sent
}

func newNode(name string, rec *record, onSetUp setUpFunc) *node {
	return &node{name: name, rec: rec, onSetUp: onSetUp, sessions: map[uint64]*nodeSession{}, ended: map[uint64]time.Time{}}
}

// answerAfter returns a setUpFunc that answers each set-up with a description after a delay. A session ends by itself after the given
// length; 0 is never.
func answerAfter(delay, length time.Duration) setUpFunc {
	return func(n *node, s *nodeSession, m binaryMessage) {
		description := "made by " + n.name + " for " + m.params[codeDescription]
		s.timer = time.AfterFunc(delay, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.dead || n.sessions[s.id] != s {
				return
			}
			s.stands = true
			n.rec.logf("%s answers %016x: the session stands", n.name, s.id)
			s.conn.send(encodeBinary(typeAnswer, s.id, param{codeDescription, description}, param{codeReport, "x0:0.30"}))
			if length > 0 {
				s.timer = time.AfterFunc(length, func() { n.end(s.id, 16) })
			}
		})
	}
}

// accept takes a new connection of a front end.
func (n *node) accept(raw net.Conn) {
	c := &nodeConn{Conn: raw}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		raw.Close()
		return
	}
	n.conns = append(n.conns, c)
	for _, m := range n.pending {
		c.send(encodeBinary(m.kind, m.session, param{codeCause, m.params[codeCause]}))
	}
	n.pending = nil
	n.rec.logf("%s accepts a connection from %s", n.name, raw.RemoteAddr())
	go n.serve(c)
}

// serve handles one connection until it ends.
func (n *node) serve(c *nodeConn) {
	in := bufio.NewReader(c)
	for {
		m, err := readBinary(in)
		if err != nil {
			break
		}
		n.handle(c, m)
	}
	c.Close()
	n.mu.Lock()
	n.conns = slices.DeleteFunc(n.conns, func(o *nodeConn) bool { return o == c })
	for id, s := range n.sessions {
		if s.conn == c && !s.stands { // the set-ups that are open on a closed connection are given up
			n.drop(s)
			n.rec.logf("%s gives up set-up %016x: its connection has closed", n.name, id)
		}
	}
	n.mu.Unlock()
}

func (n *node) drop(s *nodeSession) {
	if s.onDrop != nil {
		s.onDrop()
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	delete(n.sessions, s.id)
}

func (n *node) handle(c *nodeConn, m binaryMessage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		return
	}
	switch m.kind {
	case typeSetUp:
		n.rec.logf("%s gets set-up %016x: class %s, title %s, rung %s, wait %s ms", n.name, m.session, m.params[codeClass], m.params[codeTitle], m.params[codeRung], m.params[codeWait])
		n.setUps++
		if !n.drainAt.IsZero() && time.Since(n.drainAt) > 550*time.Millisecond {
			n.rec.logf("VIOLATION %s gets a set-up %v after its drain was told", n.name, time.Since(n.drainAt))
		}
		s := &nodeSession{id: m.session, conn: c}
		n.sessions[m.session] = s
		n.onSetUp(n, s, m)
	case typeRelease:
		s := n.sessions[m.session]
		n.rec.logf("%s gets release %016x with cause %d: known %v", n.name, m.session, m.cause(), s != nil)
		if s != nil {
			n.drop(s)
		}
		c.send(encodeBinary(typeHeard, m.session))
	case typeRung:
		n.rec.logf("%s gets rung %s for %016x", n.name, m.params[codeRung], m.session)
	default:
		n.rec.logf("%s gets message type %d for %016x", n.name, m.kind, m.session)
	}
}

// end ends a standing session by itself and releases it on the connection of its set-up, or else on any open one, and also
// on the next one that is opened.
func (n *node) end(id uint64, cause byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sessions[id]
	if s == nil || !s.stands || n.dead {
		return
	}
	n.drop(s)
	n.ended[id] = time.Now()
	if n.onEnd != nil {
		n.onEnd(id, false)
	}
	n.rec.logf("%s releases %016x with cause %d", n.name, id, cause)
	b := encodeBinary(typeRelease, id, param{codeCause, string([]byte{cause})})
	n.pending = append(n.pending, binaryMessage{typeRelease, id, map[byte]string{codeCause: string([]byte{cause})}}) // it goes on the next connection too
	if slices.Contains(n.conns, s.conn) && s.conn.send(b) == nil {
		return
	}
	for _, c := range n.conns {
		if c.send(b) == nil {
			return
		}
	}
}

// standing returns the sessions that stand.
func (n *node) standing() (ids []uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, s := range n.sessions {
		if s.stands {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// runNotes sends a note of the link on one standing session at a time.
func (n *node) runNotes(stop <-chan struct{}) {
	if n.noteEach == 0 {
		return
	}
	tick := time.NewTicker(n.noteEach)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		n.mu.Lock()
		for id, s := range n.sessions {
			if s.stands && !n.dead {
				b := encodeBinary(typeNote, id, param{codeNote, "port"}, param{codeFigure, strconv.FormatFloat(0.3, 'f', 2, 64)})
				if !slices.Contains(n.conns, s.conn) || s.conn.send(b) != nil {
					for _, c := range n.conns {
						c.send(b)
						break
					}
				}
				break
			}
		}
		n.mu.Unlock()
	}
}

// die ends the node's process: its sessions are cut and its connections are reset. It returns the sessions that stood.
func (n *node) die() (stood []uint64) {
	stood = n.standing()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
	now := time.Now()
	for id, s := range n.sessions {
		if s.stands {
			n.ended[id] = now
			if n.onEnd != nil {
				n.onEnd(id, true)
			}
		}
		n.drop(s)
	}
	for _, c := range n.conns {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	n.conns = nil
	n.rec.logf("%s dies: %d sessions are cut, its connections are reset", n.name, len(stood))
	return stood
}

// socketOwner is a listening socket and the node that runs behind it at present.
type socketOwner struct {
	mu       sync.Mutex
	listener net.Listener
	node     *node
	paused   chan struct{} // while no connection is accepted
}

func listenFor(n *node) (*socketOwner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &socketOwner{listener: l, node: n}
	go o.run(l)
	return o, nil
}

func (o *socketOwner) run(l net.Listener) {
	for {
		c, err := l.Accept()
		o.mu.Lock()
		n, paused := o.node, o.paused
		o.mu.Unlock()
		if err != nil && paused != nil {
			<-paused
			continue
		}
		if err != nil {
			return
		}
		n.accept(c)
	}
}

func (o *socketOwner) address() string { return o.listener.Addr().String() }

// reset resets a connection; its open set-ups are given up. The caller holds the lock.
func (n *node) reset(c *nodeConn) {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// hang makes the node read nothing for a time; connections still come up.
func (n *node) hang(d time.Duration) {
	n.rec.logf("%s hangs for %v", n.name, d)
	n.mu.Lock()
	time.AfterFunc(d, func() {
		n.rec.logf("%s goes on", n.name)
		n.mu.Unlock()
	})
}

func (n *node) isDead() bool {
	if !n.mu.TryLock() {
		return true // it hangs
	}
	defer n.mu.Unlock()
	return n.dead
}

// endedAt returns when a session that stood was over at this node; zero if it was not.
func (n *node) endedAt(id uint64) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended[id]
}

// cutOff makes the node unreachable for a time: it neither reads nor writes, and new connections never come up.
func (o *socketOwner) cutOff(n *node, d time.Duration) {
	l := o.listener.(*net.TCPListener)
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	n.rec.logf("%s is cut off for %v", n.name, d)
	n.mu.Lock()
	defer n.mu.Unlock()
	o.mu.Lock()
	o.paused = make(chan struct{})
	o.mu.Unlock()
	l.SetDeadline(time.Unix(1, 0))
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	var fillers []net.Conn
	for range 3 {
		if c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond); err == nil {
			fillers = append(fillers, c)
		}
	}
	time.Sleep(d)
	for _, c := range fillers {
		c.Close()
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 128) })
	l.SetDeadline(time.Time{})
	o.mu.Lock()
	close(o.paused)
	o.paused = nil
	o.mu.Unlock()
	n.rec.logf("%s is back", n.name)
}
