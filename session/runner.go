package session

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gullrail/admission"
	"gullrail/decision"
)

const (
	eventsHeld = 4096 // events that wait for the core; whoever brings one more waits itself
	asksAtOnce = 8    // requests taken before events are looked at again
)

// Clock is the one clock of a front: monotonic tenths of a millisecond, never going back.
type Clock struct{ began time.Time }

// ClockStart is where clocks begin, so that a time well before the start is still above 0, which
// stands for long past.
const ClockStart = 24 * 3600 * decision.Second

// NewClock starts a clock.
func NewClock() *Clock { return &Clock{time.Now()} }

// Now reads the clock.
func (c *Clock) Now() int64 { return ClockStart + int64(time.Since(c.began)/(100*time.Microsecond)) }

// At is the clock's time of a moment told by the wall clock; 0 if it lies before the clock's beginning.
func (c *Clock) At(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(0, c.Now()-int64(time.Since(t)/(100*time.Microsecond)))
}

// Duration turns the clock's ticks into a duration.
func Duration(ticks int64) time.Duration { return time.Duration(ticks) * 100 * time.Microsecond }

// Ticks turns a duration into the clock's ticks.
func Ticks(d time.Duration) int64 { return int64(d / (100 * time.Microsecond)) }

// Runner runs a Core on one goroutine. Requests come through the admission queue, all else as events;
// events go first, as they free what requests wait for.
type Runner struct {
	clock  *Clock
	core   *Core
	events chan func(now int64, c *Core)
	poke   chan struct{}
	done   chan struct{}

	mu   sync.Mutex
	gate *admission.Queue
	shut bool
	turn uint64 // requests turned away at admission

	busy atomic.Int64 // nanoseconds that the core worked
}

// NewRunner makes a runner; Run runs it. The core must not be used by anyone else.
func NewRunner(clock *Clock, gate *admission.Queue) *Runner {
	return &Runner{clock: clock, gate: gate, events: make(chan func(int64, *Core), eventsHeld),
		poke: make(chan struct{}, 1), done: make(chan struct{})}
}

// Clock is the runner's clock.
func (r *Runner) Clock() *Clock { return r.clock }

// Post brings an event to the core, waiting while too many wait. After the runner has ended it does
// nothing.
func (r *Runner) Post(ev func(now int64, c *Core)) {
	select {
	case r.events <- ev:
	case <-r.done:
	}
}

// TryPost is Post for what may be lost: it drops the event while too many wait.
func (r *Runner) TryPost(ev func(now int64, c *Core)) {
	select {
	case r.events <- ev:
	default:
	}
}

// RequestPlay brings a request from a client, by whose name floods are told. Its answer comes to a.Reply.
// The result withdraws it: the caller must call it if it stops waiting before the answer.
func (r *Runner) RequestPlay(a Request, client string, importance float64) (withdraw func()) {
	now := r.clock.Now()
	w := &admission.Request{Importance: importance, Deadline: a.Deadline, Client: client, Value: a}
	r.mu.Lock()
	var turned []*admission.Rejection
	if r.shut {
		turned = append(turned, r.gate.Reject(w, admission.ShuttingDown))
	} else {
		v, back, gone := r.gate.Offer(now, w)
		if gone != nil {
			turned = append(turned, gone)
		}
		if v != admission.Queued {
			turned = append(turned, &admission.Rejection{Request: w, Reason: v, RetryAfter: back})
		}
	}
	r.turn += uint64(len(turned))
	r.mu.Unlock()
	for _, t := range turned {
		turnAway(t)
	}
	select {
	case r.poke <- struct{}{}:
	default:
	}
	return func() {
		r.mu.Lock()
		waited := r.gate.Withdraw(w)
		r.mu.Unlock()
		if !waited {
			r.Post(func(now int64, c *Core) { c.RequestWithdrawn(now, a.Reply) })
		}
	}
}

func turnAway(t *admission.Rejection) {
	t.Request.Value.(Request).Reply.Resolve(Answer{Verdict: Declined, Reason: t.Reason.String(), RetryAfter: t.RetryAfter})
}

// Rejected is how many requests were turned away at admission, and how many wait there.
func (r *Runner) Rejected() (turned uint64, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.turn, r.gate.Len()
}

// Run runs the core until the context ends, which it must at last, then turns away what still waits for admission. The clock
// is read once for each call on the core.
func (r *Runner) Run(ctx context.Context, core *Core) error {
	r.core = core
	var beats sync.WaitGroup
	beats.Add(1)
	go func() { defer beats.Done(); r.beat(ctx) }()
	defer beats.Wait()
	defer r.end()
	defer func() { core.Close(r.clock.Now()) }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(Duration(max(0, core.WakeAt()-r.clock.Now())))
		select {
		case <-ctx.Done():
			return nil
		case ev := <-r.events:
			ev(r.clock.Now(), core)
		case <-r.poke:
		case <-timer.C:
		}
		began := time.Now()
		r.drain()
		if now := r.clock.Now(); now >= core.WakeAt() {
			core.Wake(now)
		}
		r.busy.Add(int64(time.Since(began)))
	}
}

// beat tells the admission queue that the process runs, whatever the core is doing.
func (r *Runner) beat(ctx context.Context) {
	every := time.NewTicker(Duration(admission.HeartbeatInterval))
	defer every.Stop()
	for {
		r.mu.Lock()
		r.gate.Heartbeat(r.clock.Now())
		r.mu.Unlock()
		select {
		case <-every.C:
		case <-ctx.Done():
			return
		}
	}
}

// BusyTime is how long the core has worked so far.
func (r *Runner) BusyTime() time.Duration { return time.Duration(r.busy.Load()) }

// drain takes all events that wait, then requests, and again while there are requests.
func (r *Runner) drain() {
	for {
		for range eventsHeld {
			select {
			case ev := <-r.events:
				ev(r.clock.Now(), r.core)
				continue
			default:
			}
			break
		}
		for range asksAtOnce {
			now := r.clock.Now()
			r.mu.Lock()
			a, late := r.gate.Next(now)
			if late != nil {
				r.turn++
			}
			r.mu.Unlock()
			switch {
			case late != nil:
				turnAway(late)
			case a != nil:
				ask := a.Value.(Request)
				ask.Deadline = admission.Deadline(now, a.Deadline)
				r.core.RequestPlay(now, ask)
			default:
				return
			}
		}
		if now := r.clock.Now(); now >= r.core.WakeAt() { // a long queue must not hold up what is due
			r.core.Wake(now)
		}
	}
}

// RejectAll turns away what waits for admission and all that still comes, each with its advice when to come back.
func (r *Runner) RejectAll() {
	for {
		r.mu.Lock()
		r.shut = true
		t := r.gate.RejectNext()
		if t != nil {
			r.turn++
		}
		r.mu.Unlock()
		if t == nil {
			return
		}
		turnAway(t)
	}
}

func (r *Runner) end() {
	r.RejectAll()
	close(r.done)
}
