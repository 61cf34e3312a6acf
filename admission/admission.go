// Package admission decides what a front end does with requests for plays before its core can take
// them: which wait, which are turned away when the queue is full or a client floods, and when to
// come back. It does no I/O and has no clock: times are int64 tenths of a millisecond, as in
// package decision, and come in as arguments. One goroutine at a time may use a Queue.
//
// A play turned away here was never taken by the module, so that no allocation of it can exist:
// declining it is always safe, for paid products too.
package admission

import (
	"container/list"
	"slices"

	"gullrail/decision"
	"gullrail/internal/pcg"
)

const (
	perClient         = 20.0                       // requests a client may save up: a player zapping through a menu stays far under it
	clientRate        = 4.0                        // requests a second that it earns: a retry each quarter second is already a fault
	clientsKept       = 8192                       // clients remembered at most; the longest silent is forgotten first
	reserve           = 120 * decision.Millisecond // of the time limit: kept for the answer's own way and a busy machine
	leastLeft         = 250 * decision.Millisecond // with less time than this no set-up can be hoped for
	spreadLeast       = 1 * decision.Second        // advice to come back: the least that HTTP's whole seconds can say
	spreadMost        = 4 * decision.Second        // and the most: a viewer at a kiosk waits no longer
	serviceOver       = 16                         // a rate of service is the mean over so many plays taken
	HeartbeatInterval = 100 * decision.Millisecond // how often the queue is told that the front runs
	stallOver         = 300 * decision.Millisecond // a longer gap between beats is a stall: pauses of a busy machine are shorter
	stallTail         = 500 * decision.Millisecond // after one, requests read may have waited through it: it takes so long to read them
	HeaderTimeout     = 5 * decision.Second        // a client takes no longer to send its request
	WriteTimeout      = 10 * decision.Second       // nor to take its answer, however slowly it reads
	IdleTimeout       = 30 * decision.Second       // a kept connection without a request is closed
	slowest           = 10 * decision.Second       // time taken for one play when none was ever seen
)

// Verdict is what becomes of a request at the queue.
type Verdict uint8

const (
	Queued       Verdict = iota // it is in the queue
	Full                        // turned away: the queue holds only what matters as much or more
	RateLimited                 // turned away: this client asks too often
	TooLate                     // turned away: too little is left of its time limit
	ShuttingDown                // turned away: the front is ending
)

func (v Verdict) String() string {
	return [...]string{"waits", "front is full", "too many requests", "too late", "the front is ending"}[v]
}

// Request is a request at the queue.
type Request struct {
	Importance float64
	Deadline   int64 // when the client gives up
	Client     string
	Value      any // the caller's own
}

// Rejection is a request that was let go of after it had waited, and why.
type Rejection struct {
	Request    *Request
	Reason     Verdict
	RetryAfter int64
}

// Queue is the bounded queue before a core. The most important waits shortest; among equals the one
// with least time left. When full it lets go of the least important, and among those of the one with
// most time left, which can best come back.
type Queue struct {
	most    int
	rnd     pcg.Source
	queue   []*Request // in the order they came; a few hundred at most, so it is walked
	clients map[string]*list.Element
	recent  *list.List // of *client, the longest silent last
	gap     float64    // mean time between plays taken while some wait
	lastOut int64
	busy    bool
	beatAt  int64 // last beat; 0 is none yet
	stall   int64 // length of the last stall
	stallTo int64 // when it ended
}

type client struct {
	name   string
	tokens float64
	at     int64
}

// New makes a queue that holds most requests.
func New(most int, seed uint64) *Queue {
	return &Queue{most: max(1, most), rnd: pcg.New(seed), clients: map[string]*list.Element{}, recent: list.New()}
}

// Len is the number of requests that wait.
func (q *Queue) Len() int { return len(q.queue) }

// Deadline is the time by which the module is to have answered: a little before the client gives up.
func Deadline(now, limit int64) int64 { return max(now, limit-reserve) }

// Offer brings a request. What it says holds for the request itself; gone is another that had to
// make room, or nil. The request's limit is brought forward where it may have lain unread.
func (q *Queue) Offer(now int64, a *Request) (v Verdict, comeBack int64, gone *Rejection) {
	if !q.earned(now, a.Client) {
		return RateLimited, q.advice(), nil
	}
	if a.Deadline -= q.waited(now); a.Deadline-now < leastLeft+reserve {
		return TooLate, q.advice(), nil
	}
	if len(q.queue) >= q.most {
		worst := 0
		for i := range q.queue {
			if worse(q.queue[i], q.queue[worst]) {
				worst = i
			}
		}
		if worse(a, q.queue[worst]) {
			return Full, q.advice(), nil
		}
		gone = &Rejection{q.remove(worst), Full, q.advice()}
	}
	q.queue = append(q.queue, a)
	return Queued, 0, gone
}

// Heartbeat says that the front runs. A long gap since the one before means that the whole process stood still.
func (q *Queue) Heartbeat(now int64) {
	if gap := now - q.beatAt; q.beatAt > 0 && gap > stallOver {
		q.stall, q.stallTo = gap, now
	}
	q.beatAt = now
}

// waited is how long a request read now may have lain unread. Guards against answers that come after the
// client's time limit because a front that stood still counts from when it read the request. It harms
// requests that come new within stallTail after a stall: they are given less time than they have.
func (q *Queue) waited(now int64) int64 {
	age := int64(0)
	if gap := now - q.beatAt; q.beatAt > 0 && gap > stallOver { // read before the beat that will notice
		age = gap
	}
	if q.stall > 0 && now-q.stallTo < stallTail {
		age = max(age, q.stall)
	}
	return age
}

// Next takes the request that matters most out of the queue, or nil. Those whose time has run out
// while they waited come first, one a call, to be answered as turned away.
func (q *Queue) Next(now int64) (a *Request, late *Rejection) {
	if len(q.queue) == 0 {
		q.busy = false
		return nil, nil
	}
	pick := 0
	for i, x := range q.queue {
		if x.Deadline-now < leastLeft+reserve {
			return nil, &Rejection{q.remove(i), TooLate, q.advice()}
		}
		if worse(q.queue[pick], x) {
			pick = i
		}
	}
	if q.busy {
		gap := float64(now - q.lastOut)
		q.gap += (gap - q.gap) / serviceOver
	}
	q.lastOut, q.busy = now, true
	return q.remove(pick), nil
}

// RejectNext takes one request out of the queue of a front that is ending, or returns nil.
func (q *Queue) RejectNext() *Rejection {
	if len(q.queue) == 0 {
		return nil
	}
	return q.Reject(q.remove(0), ShuttingDown)
}

// Reject turns a request away that is not in the queue.
func (q *Queue) Reject(a *Request, why Verdict) *Rejection { return &Rejection{a, why, q.advice()} }

// Withdraw takes a request out whose client went away; it does nothing if it no longer waits.
func (q *Queue) Withdraw(a *Request) bool {
	i := slices.Index(q.queue, a)
	if i >= 0 {
		q.remove(i)
	}
	return i >= 0
}

// advice is when a client turned away should come back: drawn evenly over the time in which the queue
// is worked off, so that those turned away together do not return together.
func (q *Queue) advice() int64 {
	drain := min(float64(spreadMost), float64(spreadLeast)+min(q.gap, float64(slowest))*float64(len(q.queue)))
	return spreadLeast + int64(q.rnd.Float()*(max(drain, 2*float64(spreadLeast))-float64(spreadLeast)))
}

// earned counts a client's request against what it has earned. Guards against one client that
// floods; many viewers behind one name would share its allowance, so the name must be a viewer's.
func (q *Queue) earned(now int64, name string) bool {
	e, ok := q.clients[name]
	if !ok {
		if q.recent.Len() >= clientsKept {
			old := q.recent.Back()
			delete(q.clients, old.Value.(*client).name)
			q.recent.Remove(old)
		}
		e = q.recent.PushFront(&client{name, perClient, now})
		q.clients[name] = e
	}
	q.recent.MoveToFront(e)
	c := e.Value.(*client)
	c.tokens = min(perClient, c.tokens+clientRate*float64(now-c.at)/float64(decision.Second))
	c.at = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// worse tells that a goes before b when room must be made.
func worse(a, b *Request) bool {
	if a.Importance != b.Importance {
		return a.Importance < b.Importance
	}
	return a.Deadline > b.Deadline
}

func (q *Queue) remove(i int) *Request {
	a := q.queue[i]
	q.queue = slices.Delete(q.queue, i, i+1)
	return a
}
