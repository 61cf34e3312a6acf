package admission

import (
	"fmt"
	"testing"

	"gullrail/decision"
)

const now = 1_000_000

func newRequest(i int, importance float64, left int64) *Request {
	return &Request{Importance: importance, Deadline: now + left, Client: fmt.Sprint("c", i)}
}

func TestFullQueueKeepsMostImportant(t *testing.T) {
	q := New(2, 1)
	low, high := newRequest(0, 1, 4*decision.Second), newRequest(1, 2, 4*decision.Second)
	q.Offer(now, low)
	q.Offer(now, high)
	if v, retryAfter, evicted := q.Offer(now, newRequest(2, 1, 5*decision.Second)); v != Full || evicted != nil || retryAfter < minRetryAfter {
		t.Fatalf("offer of a request of the lowest priority: %v, retry after %v, evicted %v", v, retryAfter, evicted)
	}
	v, _, evicted := q.Offer(now, newRequest(3, 3, 4*decision.Second))
	if v != Queued || evicted == nil || evicted.Request != low || evicted.Reason != Full {
		t.Fatalf("offer of a more important request: %v, evicted %+v", v, evicted)
	}
	if a, _ := q.Next(now); a.Importance != 3 {
		t.Fatalf("first request taken: %+v", a)
	}
	if a, _ := q.Next(now); a != high {
		t.Fatalf("second request taken: %+v", a)
	}
}

func TestEqualImportanceEarliestDeadlineFirst(t *testing.T) {
	q := New(9, 1)
	later, soon := newRequest(0, 1, 4*decision.Second), newRequest(1, 1, 1*decision.Second)
	q.Offer(now, later)
	q.Offer(now, soon)
	if a, _ := q.Next(now); a != soon {
		t.Fatal("the request with the later deadline was taken first")
	}
}

func TestExpiredRequestsAreRejectedAsTooLate(t *testing.T) {
	q := New(9, 1)
	a, b := newRequest(0, 1, 1*decision.Second), newRequest(1, 1, 5*decision.Second)
	q.Offer(now, a)
	q.Offer(now, b)
	if got, expired := q.Next(now + 2*decision.Second); got != nil || expired == nil || expired.Request != a || expired.Reason != TooLate {
		t.Fatalf("got %v %+v", got, expired)
	}
	if got, expired := q.Next(now + 2*decision.Second); got != b || expired != nil {
		t.Fatalf("got %v %+v", got, expired)
	}
	if v, _, _ := q.Offer(now, newRequest(2, 1, minTimeLeft)); v != TooLate {
		t.Fatalf("got %v", v)
	}
}

func TestRateLimitIsPerClient(t *testing.T) {
	q := New(1000, 1)
	rejected := 0
	for range 100 {
		if v, _, _ := q.Offer(now, &Request{Client: "flood", Deadline: now + 4*decision.Second}); v == RateLimited {
			rejected++
		}
	}
	if rejected != 100-clientBurst {
		t.Fatalf("%d of 100 requests rejected", rejected)
	}
	if v, _, _ := q.Offer(now, newRequest(1, 1, 4*decision.Second)); v != Queued {
		t.Fatalf("another client: %v", v)
	}
	if v, _, _ := q.Offer(now+decision.Second, &Request{Client: "flood", Deadline: now + 4*decision.Second}); v != Queued {
		t.Fatalf("after a second without requests: %v", v)
	}
	for i := range 2 * maxClients {
		q.Offer(now, newRequest(i, 1, 4*decision.Second))
	}
	if len(q.clients) != maxClients || q.recency.Len() != maxClients {
		t.Fatalf("%d clients tracked", len(q.clients))
	}
}

func TestRetryAfterIsSpread(t *testing.T) {
	q := New(1, 1)
	q.Offer(now, newRequest(-1, 9, 4*decision.Second))
	shortest, longest := int64(1<<60), int64(0)
	for i := range 200 {
		_, retryAfter, _ := q.Offer(now, newRequest(i, 1, 4*decision.Second))
		shortest, longest = min(shortest, retryAfter), max(longest, retryAfter)
	}
	if shortest < minRetryAfter || longest > maxRetryAfter || longest-shortest < minRetryAfter/2 {
		t.Fatalf("retry delays from %d to %d", shortest, longest)
	}
}

func TestWithdrawRemovesRequestOnce(t *testing.T) {
	q := New(2, 1)
	a := newRequest(0, 1, 4*decision.Second)
	q.Offer(now, a)
	if !q.Withdraw(a) || q.Withdraw(a) || q.Len() != 0 {
		t.Fatal("want the request to be withdrawn exactly once")
	}
}

// Requests that are read during or shortly after a stall may have arrived before it, so that the length of the stall
// counts against their time limits.
func TestStallShortensDeadlines(t *testing.T) {
	q := New(99, 1)
	offer := func(at int64, left int64) (Verdict, int64) {
		a := &Request{Client: fmt.Sprint(at, left), Deadline: at + left}
		v, _, _ := q.Offer(at, a)
		return v, at + left - a.Deadline
	}
	q.Heartbeat(now)
	if _, moved := offer(now+stallThreshold, 5*decision.Second); moved != 0 {
		t.Fatalf("gap of stallThreshold: deadline moved by %d, want 0", moved)
	}
	resumed := now + 2*decision.Second
	if _, moved := offer(resumed, 5*decision.Second); moved != 2*decision.Second {
		t.Fatalf("before the heartbeat after the stall: deadline moved by %d", moved)
	}
	q.Heartbeat(resumed)
	for at := resumed; at < resumed+stallAftermath; at += HeartbeatInterval {
		q.Heartbeat(at)
	}
	if _, moved := offer(resumed+stallAftermath-1, 5*decision.Second); moved != 2*decision.Second {
		t.Fatalf("just before the end of stallAftermath: deadline moved by %d", moved)
	}
	if v, _ := offer(resumed+1, 2*decision.Second); v != TooLate {
		t.Fatalf("time limit as long as the stall: %v, want TooLate", v)
	}
	q.Heartbeat(resumed + stallAftermath)
	if _, moved := offer(resumed+stallAftermath, 5*decision.Second); moved != 0 {
		t.Fatalf("after stallAftermath: deadline moved by %d, want 0", moved)
	}
}
