package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// Types and parameter codes of the binary messages, and causes of a release.
const (
	typeSetUp      byte = 1
	typeAnswer     byte = 9
	typeRelease    byte = 12
	typeReleaseAck byte = 16

	codeReport      byte = 91
	codeCause       byte = 106
	codeDescription byte = 109

	causeEnded byte = 16
	causeFull  byte = 34
)

var errMalformed = errors.New("malformed message")

// parameter is one parameter of a binary message.
type parameter struct {
	code  byte
	value string
}

// nodeMessage is a message between a front end and a playout node.
type nodeMessage struct {
	kind       byte
	session    uint64
	parameters []parameter
}

func (m nodeMessage) encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, m.kind}, m.session)
	for _, p := range m.parameters {
		b = append(b, p.code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.value)))
		b = append(b, p.value...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

func release(session uint64, cause byte) nodeMessage {
	return nodeMessage{typeRelease, session, []parameter{{codeCause, string([]byte{cause})}}}
}

func readNodeMessage(in *bufio.Reader) (m nodeMessage, err error) {
	var length [2]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		return m, err
	}
	b := make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(in, b); err != nil {
		return m, err
	}
	if len(b) < 9 {
		return m, errMalformed
	}
	m.kind, m.session = b[0], binary.BigEndian.Uint64(b[1:])
	for b = b[9:]; len(b) > 0; {
		if len(b) < 3 || len(b) < 3+int(binary.BigEndian.Uint16(b[1:])) {
			return m, errMalformed
		}
		end := 3 + int(binary.BigEndian.Uint16(b[1:]))
		m.parameters = append(m.parameters, parameter{b[0], string(b[3:end])})
		b = b[end:]
	}
	return m, nil
}

// nodeSession is a session at a node, from its set-up on.
type nodeSession struct {
	id   uint64
	conn net.Conn // of its set-up
}

// stay is the time for which a session stands at a node.
type stay struct{ from, to time.Time }

// setUp is a set-up that a node has read.
type setUp struct {
	session uint64
	at      time.Time
}

// node is the process of a playout node. It answers each set-up after answerAfter, and the session ends after length.
type node struct {
	bed         *bed
	id          uint32
	cell        int
	listener    net.Listener
	answerAfter time.Duration
	length      time.Duration
	spread      time.Duration
	loses       func(session uint64) bool // reports whether the answer to a set-up gets lost; called with the mutex held

	mu        sync.Mutex
	goesOn    *sync.Cond // hung has changed
	draining  bool
	hung      bool  // it neither reads nor writes; its kernel accepts connections
	successor *node // the process that has the address by now
	conns     []net.Conn
	sessions  map[uint64]*nodeSession
	stays     map[uint64]*stay // of sessions that stand, or stood
	setUps    []setUp
	unsent    []nodeMessage        // releases that are repeated on the next connection
	endedAt   map[uint64]time.Time // when sessions came to their end, or were cut
}

// newProcess returns a node at an address on which somebody listens already.
func newProcess(b *bed, id uint32, cell int, l net.Listener) *node {
	n := &node{bed: b, id: id, cell: cell, listener: l, answerAfter: 20 * time.Millisecond, length: 4 * time.Second, sessions: map[uint64]*nodeSession{},
		stays: map[uint64]*stay{}, endedAt: map[uint64]time.Time{}}
	n.goesOn = sync.NewCond(&n.mu)
	return n
}

func newNode(b *bed, id uint32, cell int) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := newProcess(b, id, cell, l)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.current().serve(conn)
		}
	}()
	return n, nil
}

// lock locks the node once it does not hang.
func (n *node) lock() {
	n.mu.Lock()
	for n.hung {
		n.goesOn.Wait()
	}
}

// setHung makes the node hang, or go on.
func (n *node) setHung(hung bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hung = hung
	n.goesOn.Broadcast()
	n.bed.logf("%s hangs: %t", n.name(), hung)
}

// current returns the process that has the node's address by now.
func (n *node) current() *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.successor != nil {
		return n.successor
	}
	return n
}

func (n *node) entry(s state) entry { return entry{n.id, n.listener.Addr().String(), s, n.cell, 0} }

func (n *node) name() string { return nodeName(n.id) }

func (n *node) close() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.Close()
	}
}

func send(conn net.Conn, b []byte) bool {
	conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := conn.Write(b)
	return err == nil
}

func (n *node) serve(conn net.Conn) {
	n.lock()
	n.conns = append(n.conns, conn)
	for _, m := range n.unsent { // a release is also sent on the next connection
		send(conn, m.encode())
	}
	n.unsent = nil
	n.mu.Unlock()
	in := bufio.NewReader(conn)
	for {
		m, err := readNodeMessage(in)
		if err != nil {
			break
		}
		n.handle(conn, m)
	}
	conn.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = slices.DeleteFunc(n.conns, func(o net.Conn) bool { return o == conn })
	for id, s := range n.sessions { // the set-ups that are open on a connection end with it
		if s.conn == conn && n.stays[id] == nil {
			delete(n.sessions, id)
		}
	}
}

func (n *node) handle(conn net.Conn, m nodeMessage) {
	n.lock()
	defer n.mu.Unlock()
	switch m.kind {
	case typeSetUp:
		n.setUps = append(n.setUps, setUp{m.session, time.Now()})
		n.bed.logf("%s gets the set-up of %016x", n.name(), m.session)
		if n.draining {
			send(conn, release(m.session, causeFull).encode())
			return
		}
		s := &nodeSession{m.session, conn}
		n.sessions[m.session] = s
		time.AfterFunc(n.answerAfter, func() { n.answer(s) })
	case typeRelease:
		if n.sessions[m.session] != nil {
			n.bed.logf("%s gets the release of %016x", n.name(), m.session)
		}
		delete(n.sessions, m.session)
		n.over(m.session)
		send(conn, nodeMessage{kind: typeReleaseAck, session: m.session}.encode())
	}
}

func (n *node) description(session uint64) string {
	return fmt.Sprintf("v=0\r\ns=made by %s for %016x\r\nm=video 0 RTP/AVP 96\r\n", n.name(), session)
}

// answer answers a set-up that is not given up: the session stands.
func (n *node) answer(s *nodeSession) {
	n.lock()
	defer n.mu.Unlock()
	if n.sessions[s.id] != s {
		return
	}
	n.stays[s.id] = &stay{from: time.Now()}
	time.AfterFunc(n.lengthOf(s.id), func() { n.end(s) })
	if n.loses != nil && n.loses(s.id) {
		return
	}
	n.bed.logf("%s answers the set-up of %016x", n.name(), s.id)
	send(s.conn, nodeMessage{typeAnswer, s.id, []parameter{{codeDescription, n.description(s.id)}, {codeReport, "x0:0.20"}}}.encode())
}

// over notes that a session stands no longer. The caller holds the mutex.
func (n *node) over(session uint64) {
	if s := n.stays[session]; s != nil && s.to.IsZero() {
		s.to = time.Now()
	}
}

// end ends a session that stands. Its release goes to the connection of its set-up, otherwise to any open one, and to the next one.
func (n *node) end(s *nodeSession) {
	n.lock()
	defer n.mu.Unlock()
	if n.sessions[s.id] != s {
		return
	}
	delete(n.sessions, s.id)
	n.endedAt[s.id] = time.Now()
	n.over(s.id)
	m := release(s.id, causeEnded)
	n.unsent = append(n.unsent, m)
	targets := n.conns
	if slices.Contains(n.conns, s.conn) {
		targets = []net.Conn{s.conn}
	}
	n.bed.logf("%s: %016x has come to its end", n.name(), s.id)
	for _, c := range targets {
		if send(c, m.encode()) {
			return
		}
	}
}

// drain makes the node refuse set-ups unseen.
func (n *node) drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// setUpsFrom returns the set-ups that the node has read from a time on.
func (n *node) setUpsFrom(from time.Time) (late []setUp) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.setUps {
		if !s.at.Before(from) {
			late = append(late, s)
		}
	}
	return late
}

// setUpCount returns how many set-ups the node has read.
func (n *node) setUpCount() int { return len(n.setUpsFrom(time.Time{})) }

// lengthOf returns how long a session stands: length, and up to spread more.
func (n *node) lengthOf(session uint64) time.Duration {
	if n.spread == 0 {
		return n.length
	}
	return n.length + time.Duration(session%uint64(n.spread))
}
