// Package liveness is the failure detector for a front end's event streams from playout nodes: when silence means that
// a stream is broken, when to dial it again, when the plays on a node must have ended, and when a restarted front end
// knows enough about the plays of its earlier runs to take new ones. It does no I/O and reads no clock: times are
// int64 tenths of a millisecond, as in package decision. It is not safe for concurrent use.
//
// It relies on the lease that nodes keep: a node ends the plays of a front end whose stream has been down for Lease,
// and reports all plays of that front end when the stream is re-established. A front end may therefore count a play
// as ended when the node reports so, when the node's process is known to be gone, or when Lease and a margin have
// passed since the stream was last active; never because of silence alone.
package liveness

import (
	"gullrail/decision"
	"gullrail/internal/pcg"
)

const (
	HeartbeatInterval  = 1 * decision.Second        // a node sends something at least this often
	Lease              = 6 * decision.Second        // how long a node keeps the plays of a front end whose stream is down
	SilenceTimeout     = 3 * HeartbeatInterval      // two missed heartbeats may be chance, three mean a broken stream
	leaseMargin        = 2 * decision.Second        // added to the lease for a heartbeat in transit and a busy machine
	minRetryDelay      = 100 * decision.Millisecond // before the first dial after a break
	maxRetryDelay      = 2 * decision.Second        // well below the lease, so that a short outage ends no play
	ConnectTimeout     = 250 * decision.Millisecond // a machine at the same site answers within a few milliseconds
	ProbeTimeout       = 250 * decision.Millisecond // after this a probe's answer is out of date
	CallTimeout        = 1 * decision.Second        // for orders that set a rung or end a play; then the call is repeated
	MaxCallAttempts    = 3                          // after these, the node's next report on its stream tells what it runs
	callRetryDelay     = 100 * decision.Millisecond // before the second attempt, doubled for the third
	firstDialSpread    = 2 * decision.Millisecond   // time per listed node over which first dials are spread
	maxFirstDialSpread = 1 * decision.Second        // limits the total, as a front end waits for these dials before it takes plays
	minStartup         = 100 * decision.Millisecond // minimum time that a starting front end follows the node list before it takes plays
	maxStartup         = Lease + leaseMargin        // by then plays of earlier runs have ended on all nodes that could not be reached
)

// stream is the state of the stream from one node. The zero Stream was never alive.
type stream struct {
	alive        bool
	playsKnown   bool  // the node has reported its plays, or they are known to have ended
	lastActiveAt int64 // when something was last received
	brokeAt      int64
	failures     int
	playsLost    bool // the plays there were counted as ended since it broke
}

// Monitor tracks all streams of one front end.
type Monitor struct {
	random    pcg.Source
	startedAt int64
	ready     bool
	streams   []stream
}

// New returns a Monitor for a front end that starts now. The seed is for the random spread of dials.
func New(now int64, seed uint64) *Monitor { return &Monitor{random: pcg.New(seed), startedAt: now} }

func (m *Monitor) stream(node int) *stream {
	for node >= len(m.streams) {
		m.streams = append(m.streams, stream{})
	}
	return &m.streams[node]
}

// Forget resets a node's state, so that its number can be reused for another node.
func (m *Monitor) Forget(node int) { *m.stream(node) = stream{} }

// StreamOpened records that a stream is alive and that its node has reported the plays it runs.
func (m *Monitor) StreamOpened(now int64, node int) {
	*m.stream(node) = stream{alive: true, playsKnown: true, lastActiveAt: now}
}

// FirstDial is when to dial a node that was newly listed together with others, listed in all. Dials are spread at
// random, as otherwise hundreds of front ends that start together would dial each node at the same moment.
func (m *Monitor) FirstDial(now int64, listed int) int64 {
	return now + int64(m.random.Float64()*float64(min(maxFirstDialSpread, int64(listed)*firstDialSpread)))
}

// StreamActive records that something was received on a stream.
func (m *Monitor) StreamActive(now int64, node int) { m.stream(node).lastActiveAt = now }

// Silent tells whether a stream has been silent for so long that it is to be closed and dialled again.
func (m *Monitor) Silent(now int64, node int) bool {
	s := m.stream(node)
	return s.alive && Silent(now, s.lastActiveAt)
}

// StreamBroke records that a stream ended or a dial failed; refused, that the node's machine refused the connection, so
// that no process is there to run plays. It returns when to dial next, after a delay by Backoff, and whether the plays
// on the node are now known to have ended, which it reports once per break.
func (m *Monitor) StreamBroke(now int64, node int, refused bool) (dialAt int64, ended bool) {
	s := m.stream(node)
	if s.alive || s.failures == 0 && s.brokeAt == 0 {
		s.brokeAt = max(1, s.lastActiveAt)
		if s.lastActiveAt == 0 {
			s.brokeAt = now
		}
	}
	s.alive = false
	dialAt = now + Backoff(s.failures, m.random.Float64())
	s.failures++
	if refused {
		s.playsKnown = true
		ended, s.playsLost = !s.playsLost, true
	}
	return dialAt, ended
}

// LeaseExpired tells, once per break, that the plays on a node whose stream stays broken must have ended by now.
func (m *Monitor) LeaseExpired(now int64, node int) bool {
	s := m.stream(node)
	if s.alive || s.playsLost || s.brokeAt == 0 || now-s.brokeAt < Lease+leaseMargin {
		return false
	}
	s.playsLost, s.playsKnown = true, true
	return true
}

// Ready tells whether the front end may take plays: every listed node has reported or is known to run no plays of
// earlier runs, or all such plays must have ended. Once ready it stays ready. Taking plays earlier would count too few
// seats in use after a restart and adopt running plays too late. The cost is a start that takes as long as the lease
// and its margin if a node is silent.
func (m *Monitor) Ready(now int64, listed []int) bool {
	switch age := now - m.startedAt; {
	case m.ready:
	case age >= maxStartup:
		m.ready = true
	case age >= minStartup && len(listed) > 0:
		m.ready = true
		for _, n := range listed {
			m.ready = m.ready && m.stream(n).playsKnown
		}
	}
	return m.ready
}

// Backoff is the delay before a stream, from a node or from the list service, is dialled again after a number of
// consecutive failures. It doubles with each failure, up to a maximum; random, from 0 to 1, selects a point between half
// of the delay and all of it, so that the front ends don't all dial a returning server at once.
func Backoff(failures int, random float64) int64 {
	delay := min(maxRetryDelay, minRetryDelay<<min(failures, 8))
	return delay/2 + int64(random*float64(delay/2))
}

// Silent tells whether a stream that was last active at a given time has been silent too long.
func Silent(now, lastActiveAt int64) bool { return now-lastActiveAt > SilenceTimeout }

// CallBackoff is the delay before a repeatable call is tried again, doubling with the number of retries so far.
func CallBackoff(retries int) int64 { return callRetryDelay << min(retries, MaxCallAttempts) }
