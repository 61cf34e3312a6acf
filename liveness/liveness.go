// Package liveness decides what a front end believes of its streams from playout nodes: when silence
// means that a stream is broken, when to dial it again, when the plays there must have ended, and
// when a front that just started knows enough of its earlier life to take plays. No I/O and no
// clock: times are int64 tenths of a millisecond, as in package decision. One goroutine at a time.
//
// What it rests on: a node ends the plays of a front whose stream it has missed for Lease, and
// reports all plays of that front when the stream is back. So a front may count a play as ended
// when the node says so, when the node's process is seen to be gone, or Lease and a margin after the
// stream was last alive; never because of silence alone.
package liveness

import (
	"gullrail/decision"
	"gullrail/internal/pcg"
)

const (
	HeartbeatInterval = 1 * decision.Second        // a node says something at least this often
	Lease             = 6 * decision.Second        // a node keeps the plays of a front that it doesn't hear from so long
	SilenceTimeout    = 3 * HeartbeatInterval      // two lost beats are chance, three are a broken stream
	margin            = 2 * decision.Second        // over the lease: a beat on its way and a busy machine
	retryLeast        = 100 * decision.Millisecond // pause before the first dial after a break
	retryMost         = 2 * decision.Second        // and at most: well under the lease, so that a short cut ends no play
	ConnectTimeout    = 250 * decision.Millisecond // a dial that takes longer failed: a machine on the same site answers in a few
	ProbeTimeout      = 250 * decision.Millisecond // a probe's answer is old after that
	CallTimeout       = 1 * decision.Second        // rungs and ends: a node that takes longer is asked again
	MaxCallAttempts   = 3                          // then the next word of its stream tells what it runs
	callPause         = 100 * decision.Millisecond // before the second try, doubled for the third
	firstEach         = 2 * decision.Millisecond   // first dials are spread over this for each node listed
	firstMost         = 1 * decision.Second        // and over no more: a front waits for them before it takes plays
	startLeast        = 100 * decision.Millisecond // a fresh front hears the list at least so long before it takes plays
	startMost         = Lease + margin             // then what it held before has ended wherever it could not ask
)

// Stream is what is known of the stream from one node. The zero Stream was never alive.
type Stream struct {
	alive    bool
	met      bool  // it has told its plays, or its process was seen gone
	heardAt  int64 // last sign of life
	brokeAt  int64
	failures int
	lost     bool // the plays there were given up since it broke
}

// Monitor follows all streams of one front.
type Monitor struct {
	rnd     pcg.Source
	began   int64
	ready   bool
	streams []Stream
}

// New makes a watch at the front's start.
func New(now int64, seed uint64) *Monitor { return &Monitor{rnd: pcg.New(seed), began: now} }

func (m *Monitor) of(node int) *Stream {
	for node >= len(m.streams) {
		m.streams = append(m.streams, Stream{})
	}
	return &m.streams[node]
}

// Forget blanks a node's record, so that its number may name another.
func (m *Monitor) Forget(node int) { *m.of(node) = Stream{} }

// StreamOpened says that a stream is alive and has told which plays it runs.
func (m *Monitor) StreamOpened(now int64, node int) {
	*m.of(node) = Stream{alive: true, met: true, heardAt: now}
}

// FirstDial is when a node newly listed is dialled, of so many listed together. Guards against hundreds of
// fronts that start at once and dial each node in the same moment.
func (m *Monitor) FirstDial(now int64, listed int) int64 {
	return now + int64(m.rnd.Float()*float64(min(firstMost, int64(listed)*firstEach)))
}

// StreamActive says that something came on a stream.
func (m *Monitor) StreamActive(now int64, node int) { m.of(node).heardAt = now }

// Silent tells that a stream has said nothing for so long that it is to be closed and dialled anew.
func (m *Monitor) Silent(now int64, node int) bool {
	s := m.of(node)
	return s.alive && Silent(now, s.heardAt)
}

// StreamBroke says that a stream ended or a dial failed. It returns when to dial next, and whether the
// plays there have surely ended: gone says that the node's machine refused the connection, so that no
// process is there to run them. Backoff says how the
// dials are spread.
func (m *Monitor) StreamBroke(now int64, node int, gone bool) (dialAt int64, ended bool) {
	s := m.of(node)
	if s.alive || s.failures == 0 && s.brokeAt == 0 {
		s.brokeAt = max(1, s.heardAt)
		if s.heardAt == 0 {
			s.brokeAt = now
		}
	}
	s.alive = false
	dialAt = now + Backoff(s.failures, m.rnd.Float())
	s.failures++
	if gone {
		s.met = true
		ended, s.lost = !s.lost, true
	}
	return dialAt, ended
}

// LeaseExpired tells, once, that the plays of a node whose stream stays broken must have ended by now.
func (m *Monitor) LeaseExpired(now int64, node int) bool {
	s := m.of(node)
	if s.alive || s.lost || s.brokeAt == 0 || now-s.brokeAt < Lease+margin {
		return false
	}
	s.lost, s.met = true, true
	return true
}

// Ready tells whether the front may take plays: it knows what it held before, as every listed node
// was met or seen gone, or what it held has ended. Once ready it stays so. Guards against seats
// counted too low and plays adopted too late after a restart; costs a start of Lease where a node
// is silent.
func (m *Monitor) Ready(now int64, listed []int) bool {
	switch age := now - m.began; {
	case m.ready:
	case age >= startMost:
		m.ready = true
	case age >= startLeast && len(listed) > 0:
		m.ready = true
		for _, n := range listed {
			m.ready = m.ready && m.of(n).met
		}
	}
	return m.ready
}

// Backoff is how long to wait before a stream, from a node or from the list service, is dialled again
// after so many failures in a row: doubling, and drawn between half and all of it by chance, a number
// from 0 to 1, so that the fronts of one that comes back don't all dial at once.
func Backoff(failures int, chance float64) int64 {
	pause := min(retryMost, retryLeast<<min(failures, 8))
	return pause/2 + int64(chance*float64(pause/2))
}

// Silent tells that a stream last heard at a time has been silent too long.
func Silent(now, heardAt int64) bool { return now-heardAt > SilenceTimeout }

// CallBackoff is the pause after so many tries of a call that may be repeated.
func CallBackoff(tries int) int64 { return callPause << min(tries, MaxCallAttempts) }
