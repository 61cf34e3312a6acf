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
	eventQueueSize = 4096 // Post blocks when so many events wait for the core
	requestBatch   = 8    // requests handled before events are checked again
)

// Clock is the monotonic clock of a front end, in tenths of a millisecond.
type Clock struct{ startedAt time.Time }

// ClockStart is the reading of a new clock. It is high enough for times well before the start to be positive, as 0
// stands for a time in the distant past.
const ClockStart = 24 * 3600 * decision.Second

// NewClock returns a clock that starts now.
func NewClock() *Clock { return &Clock{time.Now()} }

// Now returns the clock's current time.
func (c *Clock) Now() int64 {
	return ClockStart + int64(time.Since(c.startedAt)/(100*time.Microsecond))
}

// At converts a wall-clock time to the clock's time. It returns 0 for the zero time and for times before the clock's 0.
func (c *Clock) At(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(0, c.Now()-int64(time.Since(t)/(100*time.Microsecond)))
}

// Duration converts clock ticks to a duration.
func Duration(ticks int64) time.Duration { return time.Duration(ticks) * 100 * time.Microsecond }

// Ticks converts a duration to clock ticks.
func Ticks(d time.Duration) int64 { return int64(d / (100 * time.Microsecond)) }

// Runner runs a Core on one goroutine. Requests pass through the admission queue; everything else arrives as events.
// Events are handled first, as they free the capacity that requests wait for.
type Runner struct {
	clock  *Clock
	core   *Core
	events chan func(now int64, c *Core)
	wakeup chan struct{}
	done   chan struct{}

	mu       sync.Mutex
	queue    *admission.Queue
	closed   bool
	rejected uint64 // requests rejected at admission

	busyNanos atomic.Int64 // time spent in the core
}

// NewRunner returns a runner, to be started with Run.
func NewRunner(clock *Clock, queue *admission.Queue) *Runner {
	return &Runner{clock: clock, queue: queue, events: make(chan func(int64, *Core), eventQueueSize),
		wakeup: make(chan struct{}, 1), done: make(chan struct{})}
}

// Clock returns the runner's clock.
func (r *Runner) Clock() *Clock { return r.clock }

// Post queues an event for the core. It blocks while the event queue is full, and does nothing once Run has returned.
func (r *Runner) Post(ev func(now int64, c *Core)) {
	select {
	case r.events <- ev:
	case <-r.done:
	}
}

// TryPost queues an event that may be lost: it drops the event if the event queue is full.
func (r *Runner) TryPost(ev func(now int64, c *Core)) {
	select {
	case r.events <- ev:
	default:
	}
}

// RequestPlay submits a request to the admission queue, which limits the request rate by client name. The answer goes to
// req.Reply. The caller must call withdraw if it stops waiting before the answer.
func (r *Runner) RequestPlay(req Request, client string, importance float64) (withdraw func()) {
	now := r.clock.Now()
	entry := &admission.Request{Importance: importance, Deadline: req.Deadline, Client: client, Value: req}
	r.mu.Lock()
	var rejections []*admission.Rejection
	if r.closed {
		rejections = append(rejections, r.queue.Reject(entry, admission.ShuttingDown))
	} else {
		verdict, retryAfter, evicted := r.queue.Offer(now, entry)
		if evicted != nil {
			rejections = append(rejections, evicted)
		}
		if verdict != admission.Queued {
			rejections = append(rejections, &admission.Rejection{Request: entry, Reason: verdict, RetryAfter: retryAfter})
		}
	}
	r.rejected += uint64(len(rejections))
	r.mu.Unlock()
	for _, rejection := range rejections {
		reject(rejection)
	}
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
	return func() {
		r.mu.Lock()
		wasQueued := r.queue.Withdraw(entry)
		r.mu.Unlock()
		if !wasQueued {
			r.Post(func(now int64, c *Core) { c.RequestWithdrawn(now, req.Reply) })
		}
	}
}

func reject(rejection *admission.Rejection) {
	rejection.Request.Value.(Request).Reply.Resolve(Answer{Verdict: Declined, Reason: rejection.Reason.String(), RetryAfter: rejection.RetryAfter})
}

// Rejected returns how many requests were rejected at admission, and how many wait there.
func (r *Runner) Rejected() (rejected uint64, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejected, r.queue.Len()
}

// Run runs the core until the context is canceled, and then rejects all requests that wait for admission. It must be
// called, and the context canceled, exactly once, as Post may block until Run returns. The core must not be used by
// anyone else. The clock is read once for each call on the core.
func (r *Runner) Run(ctx context.Context, core *Core) error {
	r.core = core
	var heartbeats sync.WaitGroup
	heartbeats.Add(1)
	go func() { defer heartbeats.Done(); r.heartbeat(ctx) }()
	defer heartbeats.Wait()
	defer r.stop()
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
		case <-r.wakeup:
		case <-timer.C:
		}
		began := time.Now()
		r.drain()
		if now := r.clock.Now(); now >= core.WakeAt() {
			core.Wake(now)
		}
		r.busyNanos.Add(int64(time.Since(began)))
	}
}

// heartbeat tells the admission queue that the process is running, even while the core is busy.
func (r *Runner) heartbeat(ctx context.Context) {
	ticker := time.NewTicker(Duration(admission.HeartbeatInterval))
	defer ticker.Stop()
	for {
		r.mu.Lock()
		r.queue.Heartbeat(r.clock.Now())
		r.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// BusyTime returns the total time spent in the core.
func (r *Runner) BusyTime() time.Duration { return time.Duration(r.busyNanos.Load()) }

// drain handles all queued events, then a batch of requests, and repeats until no request waits.
func (r *Runner) drain() {
	for {
		for range eventQueueSize {
			select {
			case ev := <-r.events:
				ev(r.clock.Now(), r.core)
				continue
			default:
			}
			break
		}
		for range requestBatch {
			now := r.clock.Now()
			r.mu.Lock()
			next, expired := r.queue.Next(now)
			if expired != nil {
				r.rejected++
			}
			r.mu.Unlock()
			switch {
			case expired != nil:
				reject(expired)
			case next != nil:
				req := next.Value.(Request)
				req.Deadline = admission.Deadline(now, next.Deadline)
				r.core.RequestPlay(now, req)
			default:
				return
			}
		}
		if now := r.clock.Now(); now >= r.core.WakeAt() { // a long queue must not delay Wake
			r.core.Wake(now)
		}
	}
}

// RejectAll rejects all requests that wait for admission and all later ones, each with an advised delay before a retry.
func (r *Runner) RejectAll() {
	for {
		r.mu.Lock()
		r.closed = true
		rejection := r.queue.RejectNext()
		if rejection != nil {
			r.rejected++
		}
		r.mu.Unlock()
		if rejection == nil {
			return
		}
		reject(rejection)
	}
}

func (r *Runner) stop() {
	r.RejectAll()
	close(r.done)
}
