// Package shutdown decides how a front end gives up what it holds when it ends in order: which requests
// still wait for their answer and for how long, how the others are answered, and when the plays that play
// are let go where nobody will take them over. No I/O and no clock: times are int64 tenths of a
// millisecond, as in package decision, and come in as arguments.
package shutdown

import (
	"sort"

	"gullrail/decision"
)

const (
	atOnce   = 200 * decision.Millisecond // with less time than this to the end nothing is waited for
	lastWord = 100 * decision.Millisecond // kept before the end, for answers to reach their clients
	pace     = 50 * decision.Millisecond  // between two plays let go: twenty a second come back to the other fronts
)

// Verdict is what becomes of a request that is not yet answered.
type Verdict uint8

const (
	Wait    Verdict = iota // for the node's word, until Deadline
	Decline                // answer it as declined: nothing of it can have run, or it is safe to repeat
	Fail                   // answer it as failed: something of it may have run
)

// Request is a request that is not yet answered.
type Request struct {
	Deadline   int64 // when its client gives up
	Paid       bool
	InFlight   bool // an allocation is out
	MayHaveRun bool // an earlier one may have run
}

// Deadline is until when a front that is to end at a time waits for the nodes' words.
func Deadline(end int64) int64 { return end - lastWord }

// Decide decides on a request at a time before the end. One whose set-up is out waits for its node: it may
// play, and a paid one is paid for. One that waits for a node's turn is answered at once, as no new set-up
// is begun.
func Decide(now, end int64, r Request) Verdict {
	last := min(Deadline(end), r.Deadline)
	switch {
	case r.InFlight && last-now >= atOnce && now < last:
		return Wait
	case r.Paid && (r.InFlight || r.MayHaveRun):
		return Fail
	}
	return Decline
}

// Expired decides on a request whose set-up is still out when the front can't wait longer.
func Expired(r Request) Verdict {
	if r.Paid && (r.InFlight || r.MayHaveRun) {
		return Fail
	}
	return Decline
}

// Play is a play that plays.
type Play struct {
	Importance float64
	Key        int // any number that tells plays apart, for a steady order
}

// Release is when each of some plays is let go by a front that nobody takes over from, least important
// first, so that their viewers don't all come to the other fronts at once: evenly up to the end, and no faster than
// the pace unless the end is too near for it. It returns the plays' order and their times.
func Release(now, end int64, plays []Play) (order []int, at []int64) {
	order = make([]int, len(plays))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool {
		p, q := plays[order[a]], plays[order[b]]
		if p.Importance != q.Importance {
			return p.Importance < q.Importance
		}
		return p.Key < q.Key
	})
	gap := int64(pace)
	if n := int64(len(plays)); n > 0 {
		gap = min(gap, max(0, Deadline(end)-now)/n)
	}
	at = make([]int64, len(plays))
	for i := range at {
		at[i] = now + int64(i)*gap
	}
	return order, at
}
