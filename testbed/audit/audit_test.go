package audit

import (
	"fmt"
	"strings"
	"testing"

	"gullrail/config"
	"gullrail/testbed/trace"
)

func service() *config.Service {
	return &config.Service{Products: []config.Product{
		{Name: "paid", Importance: 2, TargetMs: 1500, DeadlineMs: 5000, Paid: true, MinRung: 1, MaxSeats: 2},
		{Name: "safe", Importance: 1, TargetMs: 1000, DeadlineMs: 5000}},
		Kinds: []config.Kind{{Name: "std", MaxStreams: 20}}, ColdShare: 0.4, ColdDurationMs: 10000, OverloadMultiple: 2.5, OverloadWindowMs: 1000,
		DrainGraceMs: 1000, BudgetFree: 2, BudgetShare: 0.1, BudgetWindowMs: 10000}
}

// script is a trace by hand: an event a call, each some milliseconds after the one before.
type script struct {
	lines []trace.Event
	t     int64
}

func (s *script) add(afterMs int64, l trace.Event) *script {
	s.t += afterMs * 1000
	l.T = s.t
	s.lines = append(s.lines, l)
	return s
}

func (s *script) ask(id int64, product string) *script {
	return s.add(10, trace.Event{Kind: trace.Ask, ID: id, Front: "f", Viewer: fmt.Sprint("v", id), Product: product, Title: "t", LimitMs: 5000, First: true})
}

func (s *script) node(afterMs int64, what, node, play string, try int, product string, rung int) *script {
	return s.add(afterMs, trace.Event{Kind: what, Front: "f", Node: node, Play: play, Attempt: try, Product: product, Title: "t", Rung: rung})
}

func (s *script) answer(afterMs, id int64, status int, play string) *script {
	return s.add(afterMs, trace.Event{Kind: trace.Answer, ID: id, Status: status, Play: play})
}

// whole is a play from its request to its end, with nothing wrong.
func (s *script) whole(id int64, product, play string) *script {
	return s.ask(id, product).node(1, trace.SetUp, "n", play, 0, product, 1).node(50, trace.Started, "n", play, 0, product, 1).
		answer(1, id, 200, play).node(2000, trace.Ended, "n", play, 0, product, 1)
}

func (s *script) late() *script { return s.add(20000, trace.Event{Kind: trace.Fault}) }

func TestPlantedBreaks(t *testing.T) {
	told := func(afterMs int64, phase string) func(s *script) *script {
		return func(s *script) *script {
			return s.add(afterMs, trace.Event{Kind: trace.ListSent, Front: "f", Node: "n", Note: phase})
		}
	}
	for _, c := range []struct {
		name string
		rule int // 0 is none
		make func(s *script) *script
	}{
		{"nothing wrong", 0, func(s *script) *script { return s.whole(1, "paid", "p").whole(2, "safe", "q").late() }},
		{"no answer", 1, func(s *script) *script { return s.ask(1, "safe").late() }},
		{"no answer, and the tape ends before the limit", 0, func(s *script) *script { return s.ask(1, "safe") }},
		{"no answer, of a front that was killed", 0, func(s *script) *script {
			return s.ask(1, "safe").add(100, trace.Event{Kind: trace.FrontKilled, Front: "f"}).late()
		}},
		{"no answer, and another front was killed", 1, func(s *script) *script {
			return s.ask(1, "safe").add(100, trace.Event{Kind: trace.FrontKilled, Front: "g"}).late()
		}},
		{"no answer after the front was up again", 1, func(s *script) *script {
			return s.add(1, trace.Event{Kind: trace.FrontKilled, Front: "f"}).add(100, trace.Event{Kind: trace.FrontStarted, Front: "f"}).ask(1, "safe").late()
		}},
		{"two answers", 1, func(s *script) *script { return s.whole(1, "safe", "p").answer(1, 1, 503, "p").late() }},
		{"an answer after the limit", 1, func(s *script) *script { return s.ask(1, "safe").answer(5200, 1, 503, "p") }},
		{"a late answer, of a front that stood still at the limit", 0, func(s *script) *script {
			return s.ask(1, "safe").add(4000, trace.Event{Kind: trace.FrontStopped, Front: "f"}).add(2000, trace.Event{Kind: trace.Continued, Front: "f"}).answer(200, 1, 504, "p")
		}},
		{"a late answer, long after the front went on", 1, func(s *script) *script {
			return s.ask(1, "safe").add(4000, trace.Event{Kind: trace.FrontStopped, Front: "f"}).add(2000, trace.Event{Kind: trace.Continued, Front: "f"}).answer(400, 1, 504, "p")
		}},
		{"a late answer, of a front that stood still before", 1, func(s *script) *script {
			return s.ask(1, "safe").add(1000, trace.Event{Kind: trace.FrontStopped, Front: "f"}).add(2000, trace.Event{Kind: trace.Continued, Front: "f"}).answer(2300, 1, 504, "p")
		}},
		{"an answer nobody asked for", 1, func(s *script) *script { return s.answer(1, 9, 200, "p") }},
		{"sent again after it was refused", 0, func(s *script) *script {
			return s.ask(1, "paid").node(1, trace.SetUp, "n", "p", 0, "paid", 1).node(9, trace.Refused, "n", "p", 0, "paid", 1).
				node(1, trace.SetUp, "m", "p", 1, "paid", 1).node(9, trace.Started, "m", "p", 1, "paid", 1).answer(1, 1, 200, "p")
		}},
		{"paid, sent again after an error", 2, func(s *script) *script {
			return s.ask(1, "paid").node(1, trace.SetUp, "n", "p", 0, "paid", 1).node(9, trace.Errored, "n", "p", 0, "paid", 1).
				node(1, trace.SetUp, "m", "p", 1, "paid", 1)
		}},
		{"safe, sent again after an error", 0, func(s *script) *script {
			return s.ask(1, "safe").node(1, trace.SetUp, "n", "p", 0, "safe", 1).node(9, trace.Errored, "n", "p", 0, "safe", 1).
				node(1, trace.SetUp, "m", "p", 1, "safe", 1)
		}},
		{"safe, two out at once", 2, func(s *script) *script {
			return s.ask(1, "safe").node(1, trace.SetUp, "n", "p", 0, "safe", 1).node(200, trace.SetUp, "m", "p", 1, "safe", 1).
				node(100, trace.Started, "m", "p", 1, "safe", 1).answer(1, 1, 200, "p")
		}},
		{"the same allocation twice", 2, func(s *script) *script {
			return s.ask(1, "safe").node(1, trace.SetUp, "n", "p", 0, "safe", 1).node(9, trace.Refused, "n", "p", 0, "safe", 1).
				node(1, trace.SetUp, "m", "p", 0, "safe", 1)
		}},
		{"paid, declined though it may have run", 2, func(s *script) *script {
			return s.ask(1, "paid").node(1, trace.SetUp, "n", "p", 0, "paid", 1).node(9, trace.Dropped, "n", "p", 0, "paid", 1).answer(1, 1, 503, "p")
		}},
		{"paid, set up again after its node crashed", 2, func(s *script) *script {
			return s.ask(1, "paid").node(1, trace.SetUp, "n", "p", 0, "paid", 1).add(5, trace.Event{Kind: trace.Crash, Node: "n"}).
				node(9, trace.SetUp, "m", "p", 1, "paid", 1)
		}},
		{"set up within the grace", 0, func(s *script) *script { return told(10, "draining")(s).whole(1, "safe", "p") }},
		{"set up after the grace", 3, func(s *script) *script {
			return told(10, "draining")(s).add(1200, trace.Event{Kind: trace.Fault}).whole(1, "safe", "p")
		}},
		{"set up at a node that is gone", 3, func(s *script) *script {
			return told(10, "gone")(told(10, "draining")(s)).add(1200, trace.Event{Kind: trace.Fault}).whole(1, "safe", "p")
		}},
		{"set up at a node that is ready again", 0, func(s *script) *script {
			return told(2000, "ready")(told(10, "draining")(s)).whole(1, "safe", "p")
		}},
		{"a cold node sent too much", 4, func(s *script) *script {
			s.add(1, trace.Event{Kind: trace.Life, Node: "n", Note: "cold"})
			for i := range 9 {
				s.node(20, trace.SetUp, "n", fmt.Sprint("p", i), 0, "safe", 0)
			}
			return s
		}},
		{"a warm node sent as much", 0, func(s *script) *script {
			s.add(1, trace.Event{Kind: trace.Life, Node: "n", Note: "warm"})
			for i := range 9 {
				s.node(20, trace.SetUp, "n", fmt.Sprint("p", i), 0, "safe", 0)
			}
			return s
		}},
		{"a node fell", 4, func(s *script) *script { return s.add(1, trace.Event{Kind: trace.Overloaded, Node: "n"}) }},
		{"set up under the floor", 5, func(s *script) *script { return s.node(1, trace.SetUp, "n", "p", 0, "paid", 0) }},
		{"stepped under the floor", 5, func(s *script) *script {
			return s.node(1, trace.SetUp, "n", "p", 0, "paid", 1).node(1, trace.Rung, "n", "p", 0, "paid", 0)
		}},
		{"three plays on two seats", 5, func(s *script) *script {
			for i := range 3 {
				s.node(100, trace.SetUp, "n", fmt.Sprint("p", i), 0, "paid", 1)
			}
			return s.late()
		}},
		{"a third play once one has ended", 0, func(s *script) *script {
			return s.node(1, trace.SetUp, "n", "p", 0, "paid", 1).node(1, trace.SetUp, "n", "q", 0, "paid", 1).
				node(100, trace.Ended, "n", "p", 0, "paid", 1).node(1, trace.SetUp, "n", "r", 0, "paid", 1)
		}},
		{"a third play as one ends on another socket", 0, func(s *script) *script {
			return s.node(1, trace.SetUp, "n", "p", 0, "paid", 1).node(1, trace.SetUp, "n", "q", 0, "paid", 1).
				node(100, trace.SetUp, "n", "r", 0, "paid", 1).node(5, trace.End, "n", "p", 0, "paid", 1).late()
		}},
		{"a third play once a viewer has left, its node slow to read so", 0, func(s *script) *script {
			return s.node(1, trace.SetUp, "n", "p", 0, "paid", 1).node(1, trace.SetUp, "n", "q", 0, "paid", 1).
				add(100, trace.Event{Kind: trace.Leave, Play: "p"}).node(1, trace.SetUp, "n", "r", 0, "paid", 1).
				node(500, trace.End, "n", "p", 0, "paid", 1).late()
		}},
		{"a third play before a viewer has left", 5, func(s *script) *script {
			return s.node(1, trace.SetUp, "n", "p", 0, "paid", 1).node(1, trace.SetUp, "n", "q", 0, "paid", 1).
				node(100, trace.SetUp, "n", "r", 0, "paid", 1).add(1, trace.Event{Kind: trace.Leave, Play: "p"}).
				node(500, trace.End, "n", "p", 0, "paid", 1).late()
		}},
		{"a third play as another's viewer has left", 5, func(s *script) *script {
			return s.node(1, trace.SetUp, "n", "p", 0, "paid", 1).node(1, trace.SetUp, "n", "q", 0, "paid", 1).
				add(100, trace.Event{Kind: trace.Leave, Play: "o"}).node(1, trace.SetUp, "n", "r", 0, "paid", 1).
				node(500, trace.End, "n", "p", 0, "paid", 1).late()
		}},
		{"two more plays once one viewer has left", 5, func(s *script) *script {
			return s.node(1, trace.SetUp, "n", "p", 0, "paid", 1).node(1, trace.SetUp, "n", "q", 0, "paid", 1).
				add(100, trace.Event{Kind: trace.Leave, Play: "p"}).node(1, trace.SetUp, "n", "r", 0, "paid", 1).
				node(1, trace.SetUp, "n", "u", 0, "paid", 1).late()
		}},
		{"safe, a set-up read after its end and the next", 0, func(s *script) *script {
			return s.ask(1, "safe").node(100, trace.End, "n", "p", 0, "safe", 1).node(1, trace.SetUp, "m", "p", 1, "safe", 1).
				node(9, trace.Started, "m", "p", 1, "safe", 1).node(200, trace.SetUp, "n", "p", 0, "safe", 1).
				node(1, trace.Dropped, "n", "p", 0, "safe", 1).answer(1, 1, 200, "p")
		}},
		{"paid, a set-up read after its end and the next", 2, func(s *script) *script {
			return s.ask(1, "paid").node(100, trace.End, "n", "p", 0, "paid", 1).node(1, trace.SetUp, "m", "p", 1, "paid", 1).
				node(9, trace.Started, "m", "p", 1, "paid", 1).node(200, trace.SetUp, "n", "p", 0, "paid", 1).
				node(1, trace.Dropped, "n", "p", 0, "paid", 1).answer(1, 1, 200, "p")
		}},
		{"a set-up read after its end, and once more", 2, func(s *script) *script {
			return s.ask(1, "safe").node(100, trace.End, "n", "p", 0, "safe", 1).node(1, trace.SetUp, "n", "p", 0, "safe", 1).
				node(1, trace.Dropped, "n", "p", 0, "safe", 1).node(1, trace.SetUp, "n", "p", 0, "safe", 1)
		}},
		{"further allocations over the budget", 6, func(s *script) *script {
			for i := range 3 {
				s.node(100, trace.SetUp, "n", fmt.Sprint("p", i), 1, "safe", 1).node(1, trace.Refused, "n", fmt.Sprint("p", i), 1, "safe", 1)
			}
			return s
		}},
		{"further allocations of two lives", 0, func(s *script) *script {
			for i := range 4 {
				s.node(100, trace.SetUp, "n", fmt.Sprint("p", i), 1, "safe", 1).node(1, trace.Refused, "n", fmt.Sprint("p", i), 1, "safe", 1)
				if i == 1 {
					s.add(1, trace.Event{Kind: trace.FrontKilled, Front: "f"}).add(1, trace.Event{Kind: trace.FrontStarted, Front: "f"})
				}
			}
			return s
		}},
		{"further allocations, spread", 0, func(s *script) *script {
			for i := range 5 {
				s.node(5000, trace.SetUp, "n", fmt.Sprint("p", i), 1, "safe", 1).node(1, trace.Refused, "n", fmt.Sprint("p", i), 1, "safe", 1)
			}
			return s
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rep := Check(service(), c.make(&script{}).lines)
			for i, r := range rep.Rules {
				if broken := len(r.Violations) > 0; broken != (i+1 == c.rule) {
					t.Errorf("rule %d: %v", i+1, r.Violations)
				}
			}
			if c.rule > 0 && len(rep.Rules[c.rule-1].Violations) > 0 && !strings.Contains(rep.Rules[c.rule-1].Violations[0], "line") {
				t.Error("the break does not name its lines")
			}
		})
	}
}

func TestServiceCountsRetriesAsTheFirstTry(t *testing.T) {
	s := (&script{}).ask(1, "paid").answer(5, 1, 503, "")                                                     // 2 asked
	s.add(100, trace.Event{Kind: trace.Ask, ID: 2, Front: "g", Viewer: "v1", Product: "paid", LimitMs: 5000}) // its retry
	s.answer(50, 2, 200, "p")                                                                                 // in time: 2 served
	s.ask(3, "safe").answer(1100, 3, 200, "q")                                                                // too late: 0 of 1
	rep := Check(service(), s.lines)
	if rep.Asked != 2 || rep.Requests != 3 || rep.Service != 2.0/3 {
		t.Fatalf("%+v", rep)
	}
}
