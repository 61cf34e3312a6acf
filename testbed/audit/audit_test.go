package audit

import (
	"fmt"
	"strings"
	"testing"

	"gullrail/config"
	"gullrail/testbed/trace"
)

func testService() *config.Service {
	return &config.Service{Products: []config.Product{
		{Name: "paid", Importance: 2, TargetMs: 1500, DeadlineMs: 5000, Paid: true, MinRung: 1, MaxSeats: 2},
		{Name: "safe", Importance: 1, TargetMs: 1000, DeadlineMs: 5000}},
		Kinds: []config.Kind{{Name: "std", MaxStreams: 20}}, ColdShare: 0.4, ColdDurationMs: 10000, OverloadMultiple: 2.5, OverloadWindowMs: 1000,
		DrainGraceMs: 1000, BudgetFree: 2, BudgetShare: 0.1, BudgetWindowMs: 10000}
}

// traceBuilder builds a trace: each call adds an event, some milliseconds after the previous one.
type traceBuilder struct {
	events []trace.Event
	nowUs  int64
}

func (s *traceBuilder) add(afterMs int64, e trace.Event) *traceBuilder {
	s.nowUs += afterMs * 1000
	e.T = s.nowUs
	s.events = append(s.events, e)
	return s
}

func (s *traceBuilder) ask(id int64, product string) *traceBuilder {
	return s.add(10, trace.Event{Kind: trace.RequestSent, ID: id, Front: "f", Viewer: fmt.Sprint("v", id), Product: product, Title: "t", LimitMs: 5000, First: true})
}

func (s *traceBuilder) nodeEvent(afterMs int64, kind, node, play string, attempt int, product string, rung int) *traceBuilder {
	return s.add(afterMs, trace.Event{Kind: kind, Front: "f", Node: node, Play: play, Attempt: attempt, Product: product, Title: "t", Rung: rung})
}

func (s *traceBuilder) answer(afterMs, id int64, status int, play string) *traceBuilder {
	return s.add(afterMs, trace.Event{Kind: trace.Answer, ID: id, Status: status, Play: play})
}

// play adds a play from its request to its end, without a violation.
func (s *traceBuilder) play(id int64, product, play string) *traceBuilder {
	return s.ask(id, product).nodeEvent(1, trace.SetUp, "n", play, 0, product, 1).nodeEvent(50, trace.Started, "n", play, 0, product, 1).
		answer(1, id, 200, play).nodeEvent(2000, trace.Ended, "n", play, 0, product, 1)
}

// later adds an event after every time limit has passed.
func (s *traceBuilder) later() *traceBuilder { return s.add(20000, trace.Event{Kind: trace.Fault}) }

func TestDetectsViolations(t *testing.T) {
	listSent := func(afterMs int64, phase string) func(s *traceBuilder) *traceBuilder {
		return func(s *traceBuilder) *traceBuilder {
			return s.add(afterMs, trace.Event{Kind: trace.ListSent, Front: "f", Node: "n", Note: phase})
		}
	}
	for _, c := range []struct {
		name string
		rule int // the rule that is violated; 0 for none
		make func(s *traceBuilder) *traceBuilder
	}{
		{"no violation", 0, func(s *traceBuilder) *traceBuilder { return s.play(1, "paid", "p").play(2, "safe", "q").later() }},
		{"no answer", 1, func(s *traceBuilder) *traceBuilder { return s.ask(1, "safe").later() }},
		{"no answer, and the trace ends before the time limit", 0, func(s *traceBuilder) *traceBuilder { return s.ask(1, "safe") }},
		{"no answer, from a front that was killed", 0, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "safe").add(100, trace.Event{Kind: trace.FrontKilled, Front: "f"}).later()
		}},
		{"no answer, though only another front was killed", 1, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "safe").add(100, trace.Event{Kind: trace.FrontKilled, Front: "g"}).later()
		}},
		{"no answer after the front started again", 1, func(s *traceBuilder) *traceBuilder {
			return s.add(1, trace.Event{Kind: trace.FrontKilled, Front: "f"}).add(100, trace.Event{Kind: trace.FrontStarted, Front: "f"}).ask(1, "safe").later()
		}},
		{"two answers", 1, func(s *traceBuilder) *traceBuilder { return s.play(1, "safe", "p").answer(1, 1, 503, "p").later() }},
		{"an answer after the time limit", 1, func(s *traceBuilder) *traceBuilder { return s.ask(1, "safe").answer(5200, 1, 503, "p") }},
		{"a late answer, from a front suspended at the time limit", 0, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "safe").add(4000, trace.Event{Kind: trace.FrontStopped, Front: "f"}).add(2000, trace.Event{Kind: trace.FrontResumed, Front: "f"}).answer(200, 1, 504, "p")
		}},
		{"a late answer, long after the front was resumed", 1, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "safe").add(4000, trace.Event{Kind: trace.FrontStopped, Front: "f"}).add(2000, trace.Event{Kind: trace.FrontResumed, Front: "f"}).answer(400, 1, 504, "p")
		}},
		{"a late answer, from a front resumed before the time limit", 1, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "safe").add(1000, trace.Event{Kind: trace.FrontStopped, Front: "f"}).add(2000, trace.Event{Kind: trace.FrontResumed, Front: "f"}).answer(2300, 1, 504, "p")
		}},
		{"an answer without a request", 1, func(s *traceBuilder) *traceBuilder { return s.answer(1, 9, 200, "p") }},
		{"paid, set up again after it was refused", 0, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "paid").nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).nodeEvent(9, trace.Refused, "n", "p", 0, "paid", 1).
				nodeEvent(1, trace.SetUp, "m", "p", 1, "paid", 1).nodeEvent(9, trace.Started, "m", "p", 1, "paid", 1).answer(1, 1, 200, "p")
		}},
		{"paid, set up again after an error", 2, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "paid").nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).nodeEvent(9, trace.Errored, "n", "p", 0, "paid", 1).
				nodeEvent(1, trace.SetUp, "m", "p", 1, "paid", 1)
		}},
		{"safe, set up again after an error", 0, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "safe").nodeEvent(1, trace.SetUp, "n", "p", 0, "safe", 1).nodeEvent(9, trace.Errored, "n", "p", 0, "safe", 1).
				nodeEvent(1, trace.SetUp, "m", "p", 1, "safe", 1)
		}},
		{"safe, two allocations pending", 2, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "safe").nodeEvent(1, trace.SetUp, "n", "p", 0, "safe", 1).nodeEvent(200, trace.SetUp, "m", "p", 1, "safe", 1).
				nodeEvent(100, trace.Started, "m", "p", 1, "safe", 1).answer(1, 1, 200, "p")
		}},
		{"the same attempt number twice", 2, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "safe").nodeEvent(1, trace.SetUp, "n", "p", 0, "safe", 1).nodeEvent(9, trace.Refused, "n", "p", 0, "safe", 1).
				nodeEvent(1, trace.SetUp, "m", "p", 0, "safe", 1)
		}},
		{"paid, declined though it may have run", 2, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "paid").nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).nodeEvent(9, trace.Dropped, "n", "p", 0, "paid", 1).answer(1, 1, 503, "p")
		}},
		{"paid, set up again after its node crashed", 2, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "paid").nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).add(5, trace.Event{Kind: trace.NodeCrashed, Node: "n"}).
				nodeEvent(9, trace.SetUp, "m", "p", 1, "paid", 1)
		}},
		{"a set-up within the drain grace period", 0, func(s *traceBuilder) *traceBuilder { return listSent(10, "draining")(s).play(1, "safe", "p") }},
		{"a set-up after the drain grace period", 3, func(s *traceBuilder) *traceBuilder {
			return listSent(10, "draining")(s).add(1200, trace.Event{Kind: trace.Fault}).play(1, "safe", "p")
		}},
		{"a set-up at a node that is gone", 3, func(s *traceBuilder) *traceBuilder {
			return listSent(10, "gone")(listSent(10, "draining")(s)).add(1200, trace.Event{Kind: trace.Fault}).play(1, "safe", "p")
		}},
		{"a set-up at a node that is ready again", 0, func(s *traceBuilder) *traceBuilder {
			return listSent(2000, "ready")(listSent(10, "draining")(s)).play(1, "safe", "p")
		}},
		{"too many set-ups at a cold node", 4, func(s *traceBuilder) *traceBuilder {
			s.add(1, trace.Event{Kind: trace.NodeStarted, Node: "n", Note: "cold"})
			for i := range 9 {
				s.nodeEvent(20, trace.SetUp, "n", fmt.Sprint("p", i), 0, "safe", 0)
			}
			return s
		}},
		{"as many set-ups at a warm node", 0, func(s *traceBuilder) *traceBuilder {
			s.add(1, trace.Event{Kind: trace.NodeStarted, Node: "n", Note: "warm"})
			for i := range 9 {
				s.nodeEvent(20, trace.SetUp, "n", fmt.Sprint("p", i), 0, "safe", 0)
			}
			return s
		}},
		{"a cold node crashed under too many set-ups", 4, func(s *traceBuilder) *traceBuilder { return s.add(1, trace.Event{Kind: trace.Overloaded, Node: "n"}) }},
		{"a set-up below the lowest rung", 5, func(s *traceBuilder) *traceBuilder { return s.nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 0) }},
		{"a rung change below the lowest rung", 5, func(s *traceBuilder) *traceBuilder {
			return s.nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).nodeEvent(1, trace.Rung, "n", "p", 0, "paid", 0)
		}},
		{"three plays on two seats", 5, func(s *traceBuilder) *traceBuilder {
			for i := range 3 {
				s.nodeEvent(100, trace.SetUp, "n", fmt.Sprint("p", i), 0, "paid", 1)
			}
			return s.later()
		}},
		{"a third play on two seats after one has ended", 0, func(s *traceBuilder) *traceBuilder {
			return s.nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).nodeEvent(1, trace.SetUp, "n", "q", 0, "paid", 1).
				nodeEvent(100, trace.Ended, "n", "p", 0, "paid", 1).nodeEvent(1, trace.SetUp, "n", "r", 0, "paid", 1)
		}},
		{"a third play on two seats as one ends on another socket", 0, func(s *traceBuilder) *traceBuilder {
			return s.nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).nodeEvent(1, trace.SetUp, "n", "q", 0, "paid", 1).
				nodeEvent(100, trace.SetUp, "n", "r", 0, "paid", 1).nodeEvent(5, trace.End, "n", "p", 0, "paid", 1).later()
		}},
		{"a third play on two seats after a viewer has left, its node slow to read the end", 0, func(s *traceBuilder) *traceBuilder {
			return s.nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).nodeEvent(1, trace.SetUp, "n", "q", 0, "paid", 1).
				add(100, trace.Event{Kind: trace.PlayerLeaving, Play: "p"}).nodeEvent(1, trace.SetUp, "n", "r", 0, "paid", 1).
				nodeEvent(500, trace.End, "n", "p", 0, "paid", 1).later()
		}},
		{"a third play on two seats just before a viewer leaves", 5, func(s *traceBuilder) *traceBuilder {
			return s.nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).nodeEvent(1, trace.SetUp, "n", "q", 0, "paid", 1).
				nodeEvent(100, trace.SetUp, "n", "r", 0, "paid", 1).add(1, trace.Event{Kind: trace.PlayerLeaving, Play: "p"}).
				nodeEvent(500, trace.End, "n", "p", 0, "paid", 1).later()
		}},
		{"a third play on two seats after the viewer of an unrelated play has left", 5, func(s *traceBuilder) *traceBuilder {
			return s.nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).nodeEvent(1, trace.SetUp, "n", "q", 0, "paid", 1).
				add(100, trace.Event{Kind: trace.PlayerLeaving, Play: "o"}).nodeEvent(1, trace.SetUp, "n", "r", 0, "paid", 1).
				nodeEvent(500, trace.End, "n", "p", 0, "paid", 1).later()
		}},
		{"two more plays on two seats after one viewer has left", 5, func(s *traceBuilder) *traceBuilder {
			return s.nodeEvent(1, trace.SetUp, "n", "p", 0, "paid", 1).nodeEvent(1, trace.SetUp, "n", "q", 0, "paid", 1).
				add(100, trace.Event{Kind: trace.PlayerLeaving, Play: "p"}).nodeEvent(1, trace.SetUp, "n", "r", 0, "paid", 1).
				nodeEvent(1, trace.SetUp, "n", "u", 0, "paid", 1).later()
		}},
		{"safe, a set-up read after its end and the next set-up", 0, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "safe").nodeEvent(100, trace.End, "n", "p", 0, "safe", 1).nodeEvent(1, trace.SetUp, "m", "p", 1, "safe", 1).
				nodeEvent(9, trace.Started, "m", "p", 1, "safe", 1).nodeEvent(200, trace.SetUp, "n", "p", 0, "safe", 1).
				nodeEvent(1, trace.Dropped, "n", "p", 0, "safe", 1).answer(1, 1, 200, "p")
		}},
		{"paid, a set-up read after its end and the next set-up", 2, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "paid").nodeEvent(100, trace.End, "n", "p", 0, "paid", 1).nodeEvent(1, trace.SetUp, "m", "p", 1, "paid", 1).
				nodeEvent(9, trace.Started, "m", "p", 1, "paid", 1).nodeEvent(200, trace.SetUp, "n", "p", 0, "paid", 1).
				nodeEvent(1, trace.Dropped, "n", "p", 0, "paid", 1).answer(1, 1, 200, "p")
		}},
		{"a set-up read after its end, and then a second time", 2, func(s *traceBuilder) *traceBuilder {
			return s.ask(1, "safe").nodeEvent(100, trace.End, "n", "p", 0, "safe", 1).nodeEvent(1, trace.SetUp, "n", "p", 0, "safe", 1).
				nodeEvent(1, trace.Dropped, "n", "p", 0, "safe", 1).nodeEvent(1, trace.SetUp, "n", "p", 0, "safe", 1)
		}},
		{"further allocations over the budget", 6, func(s *traceBuilder) *traceBuilder {
			for i := range 3 {
				s.nodeEvent(100, trace.SetUp, "n", fmt.Sprint("p", i), 1, "safe", 1).nodeEvent(1, trace.Refused, "n", fmt.Sprint("p", i), 1, "safe", 1)
			}
			return s
		}},
		{"further allocations before and after a restart of the front, within the budget of each", 0, func(s *traceBuilder) *traceBuilder {
			for i := range 4 {
				s.nodeEvent(100, trace.SetUp, "n", fmt.Sprint("p", i), 1, "safe", 1).nodeEvent(1, trace.Refused, "n", fmt.Sprint("p", i), 1, "safe", 1)
				if i == 1 {
					s.add(1, trace.Event{Kind: trace.FrontKilled, Front: "f"}).add(1, trace.Event{Kind: trace.FrontStarted, Front: "f"})
				}
			}
			return s
		}},
		{"as many further allocations over a longer time", 0, func(s *traceBuilder) *traceBuilder {
			for i := range 5 {
				s.nodeEvent(5000, trace.SetUp, "n", fmt.Sprint("p", i), 1, "safe", 1).nodeEvent(1, trace.Refused, "n", fmt.Sprint("p", i), 1, "safe", 1)
			}
			return s
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rep := Check(testService(), c.make(&traceBuilder{}).events)
			for i, r := range rep.Rules {
				if violated := len(r.Violations) > 0; violated != (i+1 == c.rule) {
					t.Errorf("rule %d: %v", i+1, r.Violations)
				}
			}
			if c.rule > 0 && len(rep.Rules[c.rule-1].Violations) > 0 && !strings.Contains(rep.Rules[c.rule-1].Violations[0], "line") {
				t.Error("the violation does not name its lines")
			}
		})
	}
}

func TestServiceCountsRetriesAsFirstRequest(t *testing.T) {
	s := (&traceBuilder{}).ask(1, "paid").answer(5, 1, 503, "")                                                       // importance 2 asked
	s.add(100, trace.Event{Kind: trace.RequestSent, ID: 2, Front: "g", Viewer: "v1", Product: "paid", LimitMs: 5000}) // its retry
	s.answer(50, 2, 200, "p")                                                                                         // in time: importance 2 served
	s.ask(3, "safe").answer(1100, 3, 200, "q")                                                                        // importance 1, too late
	rep := Check(testService(), s.events)
	if rep.Asked != 2 || rep.Requests != 3 || rep.Service != 2.0/3 {
		t.Fatalf("%+v", rep)
	}
}
