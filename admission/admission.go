// Package admission is the admission control in front of a front end's core: which requests for plays are queued, which
// are rejected because the queue is full or a client exceeds its rate, and when a rejected client should retry. It does
// no I/O and reads no clock: times are int64 tenths of a millisecond, as in package decision, and are passed in as
// arguments. A Queue is not safe for concurrent use.
//
// A request rejected here never reached the policy, so that no allocation of it can exist: declining it is always safe,
// for paid products too.
package admission

import (
	"container/list"
	"slices"

	"gullrail/decision"
	"gullrail/internal/pcg"
)

const (
	clientBurst        = 20.0                       // token bucket size of a client: a player zapping through a menu stays far below it
	clientRate         = 4.0                        // tokens a second: a client that retries every quarter second is already faulty
	maxClients         = 8192                       // clients tracked; the least recently seen is evicted first
	deadlineReserve    = 120 * decision.Millisecond // part of the time limit reserved for the answer's transit and a busy machine
	minTimeLeft        = 250 * decision.Millisecond // no set-up can be expected to succeed in less time
	minRetryAfter      = 1 * decision.Second        // the shortest delay that Retry-After can express, in HTTP's whole seconds
	maxRetryAfter      = 4 * decision.Second        // a viewer at a kiosk waits no longer
	intervalSamples    = 16                         // the mean service interval is taken over about so many requests
	HeartbeatInterval  = 100 * decision.Millisecond // how often Heartbeat is to be called
	stallThreshold     = 300 * decision.Millisecond // a longer gap between heartbeats is a stall: pauses of a busy machine are shorter
	stallAftermath     = 500 * decision.Millisecond // it takes so long after a stall to read the requests that arrived during it
	HeaderTimeout      = 5 * decision.Second        // for a client to send its request
	WriteTimeout       = 10 * decision.Second       // for a client to receive its answer, however slowly it reads
	IdleTimeout        = 30 * decision.Second       // an idle connection without a request is closed after this
	maxServiceInterval = 10 * decision.Second       // bounds the mean service interval in the estimate of the time to empty the queue
)

// Verdict is the decision of the queue on a request.
type Verdict uint8

const (
	Queued       Verdict = iota // it waits in the queue
	Full                        // rejected: the queue is full of requests of the same or a higher priority
	RateLimited                 // rejected: this client sends too many requests
	TooLate                     // rejected: too little of its time limit is left
	ShuttingDown                // rejected: the front end is shutting down
)

func (v Verdict) String() string {
	return [...]string{"waits", "front is full", "too many requests", "too late", "the front is ending"}[v]
}

// Request is a request for admission.
type Request struct {
	Importance float64
	Deadline   int64 // when the client stops waiting
	Client     string
	Value      any // data of the caller
}

// Rejection is a rejected request, with the reason and the advised delay before a retry.
type Rejection struct {
	Request    *Request
	Reason     Verdict
	RetryAfter int64
}

// Queue is the bounded priority queue in front of a core. The most important request is taken first; among equals, the
// one with the earliest deadline. A full queue evicts the least important request, and among equals the one with the
// latest deadline, which has the most time left for a retry.
type Queue struct {
	capacity        int
	random          pcg.Source
	waiting         []*Request // in order of arrival; a few hundred at most, so that a linear scan is enough
	clients         map[string]*list.Element
	recency         *list.List // of *client, the least recently seen last
	serviceInterval float64    // mean time between requests taken while others wait
	lastTakenAt     int64
	busy            bool
	heartbeatAt     int64 // last heartbeat; 0 before the first
	stallLength     int64 // of the last stall
	stallEndedAt    int64 // end of the last stall
}

type client struct {
	name       string
	tokens     float64
	refilledAt int64
}

// New returns a queue that holds at most capacity requests. The seed is for the random spread of retries.
func New(capacity int, seed uint64) *Queue {
	return &Queue{capacity: max(1, capacity), random: pcg.New(seed), clients: map[string]*list.Element{}, recency: list.New()}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Deadline is the time by which the policy must have answered: a little before the client's own deadline.
func Deadline(now, clientDeadline int64) int64 { return max(now, clientDeadline-deadlineReserve) }

// Offer adds a request to the queue or rejects it; retryAfter is set if it is rejected. evicted is another request that
// had to make room, or nil. The request's deadline is moved earlier by the time for which it may have waited
// unread.
func (q *Queue) Offer(now int64, r *Request) (v Verdict, retryAfter int64, evicted *Rejection) {
	if !q.allowClient(now, r.Client) {
		return RateLimited, q.retryAfter(), nil
	}
	if r.Deadline -= q.unreadAge(now); r.Deadline-now < minTimeLeft+deadlineReserve {
		return TooLate, q.retryAfter(), nil
	}
	if len(q.waiting) >= q.capacity {
		lowest := 0
		for i := range q.waiting {
			if lowerPriority(q.waiting[i], q.waiting[lowest]) {
				lowest = i
			}
		}
		if lowerPriority(r, q.waiting[lowest]) {
			return Full, q.retryAfter(), nil
		}
		evicted = &Rejection{q.remove(lowest), Full, q.retryAfter()}
	}
	q.waiting = append(q.waiting, r)
	return Queued, 0, evicted
}

// Heartbeat records that the process is running. A long gap since the previous call means that the whole process
// stalled.
func (q *Queue) Heartbeat(now int64) {
	if gap := now - q.heartbeatAt; q.heartbeatAt > 0 && gap > stallThreshold {
		q.stallLength, q.stallEndedAt = gap, now
	}
	q.heartbeatAt = now
}

// unreadAge is how long a request that is read now may have waited unread. Without it a front end that stalled would
// count a request's time limit from when it read the request and answer after the client's deadline. The cost: requests
// that arrive within stallAftermath after a stall are given less time than they have.
func (q *Queue) unreadAge(now int64) int64 {
	age := int64(0)
	if gap := now - q.heartbeatAt; q.heartbeatAt > 0 && gap > stallThreshold { // stalled, and read before the next heartbeat records it
		age = gap
	}
	if q.stallLength > 0 && now-q.stallEndedAt < stallAftermath {
		age = max(age, q.stallLength)
	}
	return age
}

// Next removes and returns the request with the highest priority, or nil if there is none. Requests whose time ran out in
// the queue are returned first, one per call, as expired; they are to be answered as rejected.
func (q *Queue) Next(now int64) (r *Request, expired *Rejection) {
	if len(q.waiting) == 0 {
		q.busy = false
		return nil, nil
	}
	highest := 0
	for i, candidate := range q.waiting {
		if candidate.Deadline-now < minTimeLeft+deadlineReserve {
			return nil, &Rejection{q.remove(i), TooLate, q.retryAfter()}
		}
		if lowerPriority(q.waiting[highest], candidate) {
			highest = i
		}
	}
	if q.busy {
		gap := float64(now - q.lastTakenAt)
		q.serviceInterval += (gap - q.serviceInterval) / intervalSamples
	}
	q.lastTakenAt, q.busy = now, true
	return q.remove(highest), nil
}

// RejectNext rejects one queued request of a front end that is shutting down. It returns nil if the queue is empty.
func (q *Queue) RejectNext() *Rejection {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.Reject(q.remove(0), ShuttingDown)
}

// Reject rejects a request that is not in the queue.
func (q *Queue) Reject(r *Request, reason Verdict) *Rejection {
	return &Rejection{r, reason, q.retryAfter()}
}

// Withdraw removes a request whose client left. It returns false if the request is no longer queued.
func (q *Queue) Withdraw(r *Request) bool {
	i := slices.Index(q.waiting, r)
	if i >= 0 {
		q.remove(i)
	}
	return i >= 0
}

// retryAfter is the delay after which a rejected client should retry: uniformly random over the time that it takes to
// empty the queue, so that clients rejected together don't return together.
func (q *Queue) retryAfter() int64 {
	longest := min(float64(maxRetryAfter), float64(minRetryAfter)+min(q.serviceInterval, float64(maxServiceInterval))*float64(len(q.waiting)))
	return minRetryAfter + int64(q.random.Float64()*(max(longest, 2*float64(minRetryAfter))-float64(minRetryAfter)))
}

// allowClient is a token bucket per client that keeps a single client from flooding the front end. Viewers behind the
// same name would share one bucket, so the name must be a viewer's.
func (q *Queue) allowClient(now int64, name string) bool {
	e, ok := q.clients[name]
	if !ok {
		if q.recency.Len() >= maxClients {
			oldest := q.recency.Back()
			delete(q.clients, oldest.Value.(*client).name)
			q.recency.Remove(oldest)
		}
		e = q.recency.PushFront(&client{name, clientBurst, now})
		q.clients[name] = e
	}
	q.recency.MoveToFront(e)
	c := e.Value.(*client)
	c.tokens = min(clientBurst, c.tokens+clientRate*float64(now-c.refilledAt)/float64(decision.Second))
	c.refilledAt = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// lowerPriority tells whether a is to be evicted before b when the queue is full.
func lowerPriority(a, b *Request) bool {
	if a.Importance != b.Importance {
		return a.Importance < b.Importance
	}
	return a.Deadline > b.Deadline
}

func (q *Queue) remove(i int) *Request {
	r := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return r
}
