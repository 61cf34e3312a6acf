// Package shutdown decides how a front end winds down in an orderly shutdown: which requests keep waiting for their
// answer and for how long, how the others are answered, and when running plays are ended if no other process takes
// them over. It does no I/O and reads no clock: times are int64 tenths of a millisecond, as in package decision, and
// are passed in as arguments.
package shutdown

import (
	"sort"

	"gullrail/decision"
)

const (
	minWait         = 200 * decision.Millisecond // don't wait for a set-up with less time left than this
	answerReserve   = 100 * decision.Millisecond // reserved before the end for answers to reach their clients
	releaseInterval = 50 * decision.Millisecond  // between the ends of two plays, so that the other front ends get at most 20 returning viewers a second
)

// Verdict is the decision on an unanswered request.
type Verdict uint8

const (
	Wait    Verdict = iota // wait for the node's answer, until Deadline
	Decline                // answer as declined: no attempt can have run, or a repeat is safe
	Fail                   // answer as failed: an attempt may have run
)

// Request is an unanswered request.
type Request struct {
	Deadline   int64 // when its client stops waiting
	Paid       bool
	InFlight   bool // an allocation was sent and has not ended
	MayHaveRun bool // an earlier attempt may have run
}

// Deadline is when a front end that shuts down at end stops waiting for the nodes' answers.
func Deadline(end int64) int64 { return end - answerReserve }

// Decide decides on a request when the shutdown begins. A request whose set-up is in flight waits for its node, as the
// play may still start, and a paid play is charged. Any other request is answered immediately, as no new set-up is
// started during a shutdown.
func Decide(now, end int64, r Request) Verdict {
	latest := min(Deadline(end), r.Deadline)
	switch {
	case r.InFlight && latest-now >= minWait && now < latest:
		return Wait
	case r.Paid && (r.InFlight || r.MayHaveRun):
		return Fail
	}
	return Decline
}

// Expired decides on a request that is still unanswered when the front end can't wait any longer.
func Expired(r Request) Verdict {
	if r.Paid && (r.InFlight || r.MayHaveRun) {
		return Fail
	}
	return Decline
}

// Play is a running play.
type Play struct {
	Importance float64
	ID         int // a unique number that makes the order deterministic
}

// ReleaseSchedule schedules the ends of the running plays of a front end that is not replaced, least important first, so that
// their viewers don't all reach the other front ends at once. Plays are releaseInterval apart, or closer and evenly
// spaced if they would not all end in time otherwise. It returns indexes into plays in that order, and the time for
// each.
func ReleaseSchedule(now, end int64, plays []Play) (order []int, times []int64) {
	order = make([]int, len(plays))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool {
		p, q := plays[order[a]], plays[order[b]]
		if p.Importance != q.Importance {
			return p.Importance < q.Importance
		}
		return p.ID < q.ID
	})
	interval := int64(releaseInterval)
	if n := int64(len(plays)); n > 0 {
		interval = min(interval, max(0, Deadline(end)-now)/n)
	}
	times = make([]int64, len(plays))
	for i := range times {
		times[i] = now + int64(i)*interval
	}
	return order, times
}
