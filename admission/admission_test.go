package admission

import (
	"fmt"
	"testing"

	"gullrail/decision"
)

const now = 1_000_000

func ask(i int, importance float64, left int64) *Request {
	return &Request{Importance: importance, Deadline: now + left, Client: fmt.Sprint("c", i)}
}

func TestFullQueueKeepsWhatMattersMost(t *testing.T) {
	g := New(2, 1)
	low, high := ask(0, 1, 4*decision.Second), ask(1, 2, 4*decision.Second)
	g.Offer(now, low)
	g.Offer(now, high)
	if v, back, gone := g.Offer(now, ask(2, 1, 5*decision.Second)); v != Full || gone != nil || back < spreadLeast {
		t.Fatalf("no better than what waits: %v %v %v", v, back, gone)
	}
	v, _, gone := g.Offer(now, ask(3, 3, 4*decision.Second))
	if v != Queued || gone == nil || gone.Request != low || gone.Reason != Full {
		t.Fatalf("a more important one: %v %+v", v, gone)
	}
	if a, _ := g.Next(now); a.Importance != 3 {
		t.Fatalf("first out: %+v", a)
	}
	if a, _ := g.Next(now); a != high {
		t.Fatalf("second out: %+v", a)
	}
}

func TestAmongEqualsTheNearestLimitGoesFirst(t *testing.T) {
	g := New(9, 1)
	late, soon := ask(0, 1, 4*decision.Second), ask(1, 1, 1*decision.Second)
	g.Offer(now, late)
	g.Offer(now, soon)
	if a, _ := g.Next(now); a != soon {
		t.Fatal("the later limit went first")
	}
}

func TestStalledFrontAnswersTheLateAsLate(t *testing.T) {
	g := New(9, 1)
	a, b := ask(0, 1, 1*decision.Second), ask(1, 1, 5*decision.Second)
	g.Offer(now, a)
	g.Offer(now, b)
	if x, late := g.Next(now + 2*decision.Second); x != nil || late == nil || late.Request != a || late.Reason != TooLate {
		t.Fatalf("got %v %+v", x, late)
	}
	if x, late := g.Next(now + 2*decision.Second); x != b || late != nil {
		t.Fatalf("got %v %+v", x, late)
	}
	if v, _, _ := g.Offer(now, ask(2, 1, leastLeft)); v != TooLate {
		t.Fatalf("got %v", v)
	}
}

func TestFloodingClientHarmsOnlyItself(t *testing.T) {
	g := New(1000, 1)
	turned := 0
	for range 100 {
		if v, _, _ := g.Offer(now, &Request{Client: "flood", Deadline: now + 4*decision.Second}); v == RateLimited {
			turned++
		}
	}
	if turned != 100-perClient {
		t.Fatalf("%d of 100 turned away", turned)
	}
	if v, _, _ := g.Offer(now, ask(1, 1, 4*decision.Second)); v != Queued {
		t.Fatalf("another client: %v", v)
	}
	if v, _, _ := g.Offer(now+decision.Second, &Request{Client: "flood", Deadline: now + 4*decision.Second}); v != Queued {
		t.Fatalf("after a second of quiet: %v", v)
	}
	for i := range 2 * clientsKept {
		g.Offer(now, ask(i, 1, 4*decision.Second))
	}
	if len(g.clients) != clientsKept || g.recent.Len() != clientsKept {
		t.Fatalf("%d clients kept", len(g.clients))
	}
}

func TestAdviceSpreadsThoseTurnedAwayTogether(t *testing.T) {
	g := New(1, 1)
	g.Offer(now, ask(-1, 9, 4*decision.Second))
	least, most := int64(1<<60), int64(0)
	for i := range 200 {
		_, back, _ := g.Offer(now, ask(i, 1, 4*decision.Second))
		least, most = min(least, back), max(most, back)
	}
	if least < spreadLeast || most > spreadMost || most-least < spreadLeast/2 {
		t.Fatalf("from %d to %d", least, most)
	}
}

func TestWithdrawnRequestIsNeitherTakenNorTurnedAway(t *testing.T) {
	g := New(2, 1)
	a := ask(0, 1, 4*decision.Second)
	g.Offer(now, a)
	if !g.Withdraw(a) || g.Withdraw(a) || g.Len() != 0 {
		t.Fatal("withdrawn once, and only once")
	}
}

func TestRequestsReadAfterAStallAreTakenAsOldAsTheStall(t *testing.T) {
	g := New(99, 1)
	limit := func(at int64, left int64) (Verdict, int64) {
		a := &Request{Client: fmt.Sprint(at, left), Deadline: at + left}
		v, _, _ := g.Offer(at, a)
		return v, at + left - a.Deadline
	}
	g.Heartbeat(now)
	if _, off := limit(now+stallOver, 5*decision.Second); off != 0 {
		t.Fatalf("a pause is no stall: %d off", off)
	}
	woke := now + 2*decision.Second
	if _, off := limit(woke, 5*decision.Second); off != 2*decision.Second {
		t.Fatalf("read before the beat that notices: %d off", off)
	}
	g.Heartbeat(woke)
	for at := woke; at < woke+stallTail; at += HeartbeatInterval {
		g.Heartbeat(at)
	}
	if _, off := limit(woke+stallTail-1, 5*decision.Second); off != 2*decision.Second {
		t.Fatalf("read right after: %d off", off)
	}
	if v, _ := limit(woke+1, 2*decision.Second); v != TooLate {
		t.Fatalf("its time may be up: %v", v)
	}
	g.Heartbeat(woke + stallTail)
	if _, off := limit(woke+stallTail, 5*decision.Second); off != 0 {
		t.Fatalf("later ones are new: %d off", off)
	}
}
