package relaybed

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

const nodeWriteTimeout = time.Second

// processState is what a playout node's process is doing.
type processState uint8

const (
	running  processState = iota
	stopped               // it neither reads nor writes; its kernel accepts connections
	dead                  // its connections were reset
	vanished              // its machine is gone: connections stay open and silent
)

// nodeSession is a session at a process, from its set-up on.
type nodeSession struct {
	id     uint64
	conn   *nodeConn // connection of the set-up; nil if the session was there before the front end started
	stands bool
	timer  *time.Timer
}

// nodeConn is a connection of a front end as its node sees it.
type nodeConn struct{ sock net.Conn }

func (c *nodeConn) send(b []byte) bool {
	c.sock.SetWriteDeadline(time.Now().Add(nodeWriteTimeout))
	_, err := c.sock.Write(b)
	return err == nil
}

// Process is the process of a playout node. It answers set-ups as the bed's Behavior draws, sends notes and releases, and reports
// to the bed's audit what happens.
type Process struct {
	Name string // its id in the list
	bed  *Bed

	mu       sync.Mutex
	changed  *sync.Cond // the state has changed
	state    processState
	conns    []*nodeConn
	sessions map[uint64]*nodeSession
	unsent   []nodeMessage // releases that are repeated on the next connection
}

func newProcess(bed *Bed, name string) *Process {
	p := &Process{Name: name, bed: bed, sessions: map[uint64]*nodeSession{}}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// lock locks the process once it runs; it reports false, unlocked, if it has ended.
func (p *Process) lock() bool {
	p.mu.Lock()
	for p.state == stopped {
		p.changed.Wait()
	}
	if p.state != running {
		p.mu.Unlock()
		return false
	}
	return true
}

func (p *Process) accept(sock net.Conn) {
	c := &nodeConn{sock}
	go func() {
		if !p.lock() {
			if p.isDead() {
				reset(sock)
			}
			return
		}
		p.conns = append(p.conns, c)
		for _, m := range p.unsent {
			if c.send(m.encode()) {
				p.bed.audit.releaseWritten(m.session, p.Name)
			}
		}
		p.unsent = nil
		p.mu.Unlock()
		p.serve(c)
	}()
}

func (p *Process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == dead
}

func (p *Process) serve(c *nodeConn) {
	in := bufio.NewReader(c.sock)
	for {
		m, err := readNodeMessage(in)
		if !p.lock() {
			return
		}
		if err != nil {
			p.closed(c)
			p.mu.Unlock()
			return
		}
		p.handle(c, m)
		p.mu.Unlock()
	}
}

// closed forgets a connection; the set-ups that are open on it are given up. The caller holds the mutex.
func (p *Process) closed(c *nodeConn) {
	c.sock.Close()
	p.conns = slices.DeleteFunc(p.conns, func(o *nodeConn) bool { return o == c })
	for _, s := range p.sessions {
		if s.conn == c && !s.stands {
			p.drop(s)
		}
	}
}

// drop ends a session or set-up without a word. The caller holds the mutex.
func (p *Process) drop(s *nodeSession) {
	if s.timer != nil {
		s.timer.Stop()
	}
	delete(p.sessions, s.id)
	p.bed.audit.attemptEnded(s.id, p.Name)
}

func (p *Process) handle(c *nodeConn, m nodeMessage) {
	switch m.kind {
	case typeSetUp:
		s := &nodeSession{id: m.session, conn: c}
		wait, _ := strconv.Atoi(m.get(codeWait))
		p.bed.audit.attemptBegun(m.session, p.Name, m.get(codeProduct))
		p.sessions[m.session] = s
		p.begin(s, p.bed.drawOutcome(time.Duration(wait)*time.Millisecond))
	case typeRelease:
		if s := p.sessions[m.session]; s != nil {
			p.bed.logf("%s gets the release of %016x", p.Name, m.session)
			if s.stands {
				p.bed.audit.releasedByFront(m.session, p.Name)
			}
			p.drop(s)
		}
		c.send(nodeMessage{kind: typeReleaseAck, session: m.session}.encode())
	}
}

// later runs f for a session that is still there, after a delay. The caller holds the mutex.
func (p *Process) later(s *nodeSession, d time.Duration, f func()) {
	s.timer = time.AfterFunc(d, func() {
		if !p.lock() {
			return
		}
		defer p.mu.Unlock()
		if p.sessions[s.id] == s {
			f()
		}
	})
}

// begin plays the outcome of a set-up.
func (p *Process) begin(s *nodeSession, o outcome) {
	p.later(s, o.delay, func() {
		switch o.kind {
		case outcomeStands, outcomeAnsweredTwice:
			p.stand(s, o)
		case outcomeReset:
			p.bed.logf("%s resets the connection of set-up %016x", p.Name, s.id)
			c := s.conn
			reset(c.sock)
			p.closed(c)
		case outcomeSpoilt:
			p.bed.logf("%s spoils the answer to %016x", p.Name, s.id)
			s.conn.send([]byte{0, 20, 77, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9})
			p.drop(s)
		case outcomeNoAnswer:
		default:
			cause := map[outcomeKind]byte{outcomeFull: causeFull, outcomeMoot: causeMoot, outcomeError: causeError}[o.kind]
			p.bed.audit.attemptRefused(s.id, p.Name, o.kind != outcomeError)
			p.drop(s)
			s.conn.send(releaseMessage(s.id, cause).encode())
		}
	})
}

// stand answers a set-up: the session stands and ends by itself after its length.
func (p *Process) stand(s *nodeSession, o outcome) {
	s.stands = true
	description := p.description(s.id)
	p.bed.audit.stands(s.id, p.Name, description)
	p.bed.logf("%s answers %016x", p.Name, s.id)
	answer := nodeMessage{typeAnswer, s.id, []parameter{{codeDescription, description}, {codeReport, "x0:0.30"}}}
	s.conn.send(answer.encode())
	if o.kind == outcomeAnsweredTwice {
		s.conn.send(answer.encode())
	}
	p.later(s, o.length, func() { p.end(s) })
}

func (p *Process) description(session uint64) string {
	return fmt.Sprintf("made by %s for %016x\r\n", p.Name, session)
}

// adopt puts a session on the process that stands since before the front end's start.
func (p *Process) adopt(id uint64, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &nodeSession{id: id, stands: true}
	p.sessions[id] = s
	p.later(s, length, func() { p.end(s) })
}

// end ends a session that stands by itself. Its release is written on the connection of its set-up, or else on any open one, and
// again on the next one that is accepted.
func (p *Process) end(s *nodeSession) {
	p.drop(s)
	p.bed.audit.sessionEnded(s.id, p.Name, false)
	m := releaseMessage(s.id, causeEnded)
	p.unsent = append(p.unsent, m)
	conns := p.conns
	if slices.Contains(conns, s.conn) {
		conns = []*nodeConn{s.conn}
	}
	for _, c := range conns {
		if c.send(m.encode()) {
			p.bed.logf("%s releases %016x to %s", p.Name, s.id, c.sock.RemoteAddr())
			p.bed.audit.releaseWritten(s.id, p.Name)
			return
		}
	}
	p.bed.logf("%s ends %016x and has no connection", p.Name, s.id)
}

// note sends a load note on one of the sessions that stand, as a node does at regular intervals.
func (p *Process) note() {
	if !p.lock() {
		return
	}
	defer p.mu.Unlock()
	var chosen *nodeSession
	for _, s := range p.sessions {
		if s.stands && (chosen == nil || s.id < chosen.id) {
			chosen = s
		}
	}
	if chosen == nil {
		return
	}
	m := nodeMessage{typeNote, chosen.id, []parameter{{codeNoteName, "port"}, {codeNoteValue, "0.30"}}}
	for _, c := range p.conns {
		if c.send(m.encode()) {
			return
		}
	}
}

// Die ends the process: its sessions are cut and its connections are reset.
func (p *Process) Die() { p.stop(dead) }

// Vanish ends the process with its machine: its sessions are cut, its connections stay open and silent.
func (p *Process) Vanish() { p.stop(vanished) }

func (p *Process) stop(state processState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == dead || p.state == vanished {
		return
	}
	p.state = state
	p.changed.Broadcast()
	var cut []*nodeSession
	for _, s := range p.sessions {
		cut = append(cut, s)
	}
	slices.SortFunc(cut, func(a, b *nodeSession) int { return cmp.Compare(a.id, b.id) })
	for _, s := range cut {
		p.drop(s)
		if s.stands {
			p.bed.audit.sessionEnded(s.id, p.Name, true)
		}
	}
	if state == dead {
		for _, c := range p.conns {
			reset(c.sock)
		}
	}
	p.bed.logf("%s ends (state %d) with %d sessions and set-ups", p.Name, state, len(cut))
}

// Stop makes the process neither read nor write until Continue.
func (p *Process) Stop() { p.setStopped(running, stopped) }

// Continue ends Stop.
func (p *Process) Continue() { p.setStopped(stopped, running) }

func (p *Process) setStopped(from, to processState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == from {
		p.state = to
		p.bed.logf("%s: state %d", p.Name, to)
		p.changed.Broadcast()
	}
}

// ResetConns resets the first n connections.
func (p *Process) ResetConns(n int) {
	if !p.lock() {
		return
	}
	defer p.mu.Unlock()
	for _, c := range slices.Clone(p.conns[:min(n, len(p.conns))]) {
		reset(c.sock)
		p.closed(c)
	}
}

// Standing returns how many sessions stand.
func (p *Process) Standing() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		if s.stands {
			n++
		}
	}
	return n
}
