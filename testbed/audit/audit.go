// Package audit checks the six rules of the brief from traces and settings alone: nothing of a front's
// inside is known to it.
package audit

import (
	"fmt"
	"sort"

	"gullrail/config"
	"gullrail/testbed/trace"
)

const (
	// skew is how far apart two sockets of one machine may see one event, in microseconds: a front closes
	// one connection and writes on another, and the two nodes' goroutines run when the machine lets them.
	skew = 60_000
	// slack is how long after the time limit an answer still counts, in microseconds, for its way.
	slack = 100_000
	// stall is how many parts of its worth a segment loses for each part of its rate that is missing under
	// 0.98: the middle of what the operators state.
	stall = 7.0
	// wakes is how long a front that was stopped past a time limit may take to answer once it goes on.
	wakes = 300_000
	// cross is how many set-ups over the allowance chance may bring within one window.
	cross = 2
)

// Rule is the verdict on one of the six.
type Rule struct {
	Name       string   `json:"name"`
	Violations []string `json:"breaks"` // each with the events of the trace that show it
}

// Report is what a trace came to.
type Report struct {
	Rules       []Rule  `json:"rules"`
	Requests    int     `json:"requests"`
	Asked       int     `json:"plays_asked"` // viewers' first tries
	Plays       int     `json:"plays"`
	Declined    int     `json:"declined"`
	Failed      int     `json:"failed"`
	Denied      int     `json:"denied"`
	Interrupted int     `json:"cut"`  // requests whose front was killed, or gone, while they waited
	Abandoned   int     `json:"left"` // requests whose client went away first
	MaxAnswers  int     `json:"answers_per_play"`
	Doubled     int     `json:"allocations_doubled"`
	Reallocated int     `json:"further_allocations"`
	Worth       float64 `json:"worth"` // earned by segments over what viewers came for: rungs and stalls count
	Service     float64 `json:"service"`
	FirstMs     []int64 `json:"-"` // first-frame latencies of plays, sorted
	Rungs       []int   `json:"segments_by_rung"`
}

// RulesKept tells that no rule was broken.
func (r *Report) RulesKept() bool {
	for _, x := range r.Rules {
		if len(x.Violations) > 0 {
			return false
		}
	}
	return true
}

type audit struct {
	set     *config.Service
	lines   []trace.Event
	crossed map[int]bool // ends that a node read before the set-ups they end, and these set-ups
	rep     *Report
	breaks  [6][]string
}

func (a *audit) broken(rule int, format string, args ...any) {
	a.breaks[rule-1] = append(a.breaks[rule-1], fmt.Sprintf(format, args...))
}

// Check audits a trace. Events must be in the order of their times, as a Recorder records them.
func Check(set *config.Service, lines []trace.Event) *Report {
	a := &audit{set: set, lines: lines, crossed: crossed(lines), rep: &Report{}}
	a.answers()
	a.allocations()
	a.drains()
	a.cold()
	a.terms()
	a.budget()
	for i, name := range []string{"one answer in time", "no set-up twice", "drains kept", "no cold node pushed over",
		"floors and seats kept", "further allocations in budget"} {
		a.rep.Rules = append(a.rep.Rules, Rule{name, a.breaks[i]})
	}
	sort.Slice(a.rep.FirstMs, func(i, j int) bool { return a.rep.FirstMs[i] < a.rep.FirstMs[j] })
	return a.rep
}

// crossed finds set-ups whose end their node read first, as it came on another connection: such a set-up was sent before
// its end, wherever it stands on the trace, and is no further attempt. Each end stands for one set-up only.
func crossed(lines []trace.Event) map[int]bool {
	type attempt struct {
		play, node string
		try        int
	}
	both, ends, seen := map[int]bool{}, map[attempt]int{}, map[attempt]bool{}
	for i, l := range lines {
		this := attempt{l.Play, l.Node, l.Attempt}
		switch l.Kind {
		case trace.End:
			if !seen[this] {
				ends[this] = i
			}
		case trace.SetUp:
			if end, ok := ends[this]; ok && !seen[this] {
				both[end], both[i] = true, true
			}
			seen[this] = true
		}
	}
	return both
}

func (a *audit) product(name string) *config.Product {
	if i, ok := a.set.ProductNumber(name); ok {
		return &a.set.Products[i]
	}
	return &config.Product{Name: name}
}

func (a *audit) worth(rung int) float64 {
	if rung >= 0 && rung < len(a.set.RungWorth) {
		return a.set.RungWorth[rung]
	}
	return 0
}

// answers checks rule 1 and counts service: a viewer's retries belong to its first try.
func (a *audit) answers() {
	type ask struct {
		line    int
		answers int
		gone    bool
	}
	asks := map[int64]*ask{}
	var order []int64
	killed := map[string][]int64{} // when a front was not there to answer
	first := map[string]int{}      // line of a viewer's first try
	got := map[string]bool{}
	asked, served := 0.0, 0.0
	wanted, earned := 0.0, 0.0
	products := map[string]*config.Product{} // of plays
	for i, l := range a.lines {
		switch l.Kind {
		case trace.FrontKilled:
			killed[l.Front] = append(killed[l.Front], l.T)
		case trace.Ask:
			asks[l.ID] = &ask{line: i}
			order = append(order, l.ID)
			a.rep.Requests++
			if l.First {
				a.rep.Asked++
				first[l.Viewer] = i
				p := a.product(l.Product)
				asked += p.Importance
				wanted += p.Importance * a.worth(l.Rung) * float64(l.WatchMs)
			}
		case trace.Gone:
			if q := asks[l.ID]; q != nil {
				q.gone = true
				a.rep.Abandoned++
			}
		case trace.Served:
			for len(a.rep.Rungs) <= l.Rung {
				a.rep.Rungs = append(a.rep.Rungs, 0)
			}
			a.rep.Rungs[l.Rung]++
			if p := products[l.Play]; p != nil {
				earned += p.Importance * a.worth(l.Rung) * a.set.SegmentMs * max(0, 1-stall*max(0, 0.98-l.Share))
			}
		case trace.SetUp:
			products[l.Play] = a.product(l.Product)
		case trace.Answer:
			q := asks[l.ID]
			if q == nil {
				a.broken(1, "line %d: an answer to nothing that was asked", i+1)
				continue
			}
			if l.Status == 0 {
				continue // judged below, as a request without an answer
			}
			q.answers++
			a.rep.MaxAnswers = max(a.rep.MaxAnswers, q.answers)
			from := a.lines[q.line]
			if q.answers > 1 {
				a.broken(1, "lines %d and %d: request %d has a second answer", q.line+1, i+1, l.ID)
			}
			if limit := from.T + from.LimitMs*1000; l.T > limit+slack && !a.stood(from.Front, limit, l.T) {
				a.broken(1, "lines %d and %d: request %d was answered after its time limit", q.line+1, i+1, l.ID)
			}
			switch {
			case l.Status == 200 && l.Play == from.Play: // its manifest asked for again
			case l.Status == 200:
				a.rep.Plays++
				if f, ok := first[from.Viewer]; ok && !got[from.Viewer] {
					got[from.Viewer] = true
					p := a.product(from.Product)
					took := l.T - a.lines[f].T
					a.rep.FirstMs = append(a.rep.FirstMs, took/1000)
					if float64(took) <= p.TargetMs*1000 {
						served += p.Importance
					}
				}
			case l.Status == 503:
				a.rep.Declined++
			case l.Status == 502 || l.Status == 504:
				a.rep.Failed++
			default:
				a.rep.Denied++
			}
		}
	}
	for _, id := range order {
		q := asks[id]
		if q.answers > 0 || q.gone {
			continue
		}
		from := a.lines[q.line]
		excused := false
		for _, t := range killed[from.Front] { // what a killed front held is not its duty any more
			excused = excused || t >= from.T && t <= from.T+from.LimitMs*1000
		}
		if a.down(from.Front, q.line) || excused {
			a.rep.Interrupted++
			continue
		}
		if a.ended(from.T + from.LimitMs*1000 + slack) {
			a.broken(1, "line %d: request %d has no answer", q.line+1, id)
		}
	}
	if asked > 0 {
		a.rep.Service = served / asked
	}
	if wanted > 0 {
		a.rep.Worth = earned / wanted
	}
}

// down tells that a front's process did not run at an event of the trace.
func (a *audit) down(front string, line int) bool {
	down := false
	for _, l := range a.lines[:line] {
		if l.Front == front && l.Kind == trace.FrontKilled {
			down = true
		} else if l.Front == front && l.Kind == trace.FrontStarted {
			down = false
		}
	}
	return down
}

// stood tells that a front's process stood still at a time limit, and answered as soon as it went on: what
// is stopped can't answer, and is not a running front.
func (a *audit) stood(front string, limit, answered int64) bool {
	stopped := int64(-1)
	for _, l := range a.lines {
		if l.Front != front {
			continue
		}
		switch l.Kind {
		case trace.FrontStopped:
			stopped = l.T
		case trace.Continued:
			if stopped >= 0 && stopped <= limit && limit <= l.T && answered <= l.T+wakes {
				return true
			}
			stopped = -1
		}
	}
	return false
}

// ended tells that the trace goes on past a time.
func (a *audit) ended(t int64) bool {
	return len(a.lines) > 0 && a.lines[len(a.lines)-1].T >= t
}

// allocations checks rule 2: what a node saw of each play's allocations.
func (a *audit) allocations() {
	type state struct {
		line, try int
		node      string
		out       bool
		mayHave   int // line of the allocation that may have run, from 1
	}
	plays := map[string]*state{}
	for i, l := range a.lines {
		switch l.Kind {
		case trace.SetUp:
			if a.crossed[i] { // entered with its end
				continue
			}
			s := plays[l.Play]
			if s == nil {
				plays[l.Play] = &state{line: i, try: l.Attempt, node: l.Node, out: true}
				continue
			}
			a.rep.Reallocated++
			switch {
			case l.Attempt <= s.try:
				a.broken(2, "lines %d and %d: play %s has allocation %d twice", s.line+1, i+1, l.Play, l.Attempt)
				a.rep.Doubled++
			case s.out && !a.closedSoon(i, s.node, l.Play, s.try):
				a.broken(2, "lines %d and %d: play %s has two allocations out", s.line+1, i+1, l.Play)
				a.rep.Doubled++
			case a.product(l.Product).Paid && s.mayHave > 0:
				a.broken(2, "lines %d and %d: paid play %s is set up again though it may have run", s.mayHave, i+1, l.Play)
				a.rep.Doubled++
			case a.product(l.Product).Paid && s.out:
				a.broken(2, "lines %d and %d: paid play %s is set up again though it is not known to have never run", s.line+1, i+1, l.Play)
				a.rep.Doubled++
			}
			s.line, s.try, s.node, s.out = i, l.Attempt, l.Node, true
		case trace.Started, trace.Errored, trace.Dropped, trace.End:
			if s := plays[l.Play]; a.crossed[i] && (s == nil || s.try < l.Attempt) {
				plays[l.Play] = &state{line: i, try: l.Attempt, node: l.Node, mayHave: i + 1}
			} else if s != nil && s.try == l.Attempt {
				s.out, s.mayHave = false, i+1
			}
		case trace.Refused:
			if s := plays[l.Play]; s != nil && s.try == l.Attempt {
				s.out = false
			}
		case trace.Crash, trace.Overloaded:
			for _, s := range plays {
				if s.out && s.node == l.Node {
					s.out, s.mayHave = false, i+1
				}
			}
		case trace.Answer: // declined as if nothing had run
			if s := plays[l.Play]; s != nil && l.Status == 503 && s.mayHave > 0 && a.product(a.lines[s.line].Product).Paid {
				a.broken(2, "lines %d and %d: paid play %s is declined though it may have run", s.mayHave, i+1, l.Play)
			}
		}
	}
}

// closedSoon tells that a node notes within skew after a line that the front let go of an allocation.
func (a *audit) closedSoon(from int, node, play string, try int) bool {
	for _, l := range a.lines[from:] {
		if l.T > a.lines[from].T+skew {
			return false
		}
		if l.Node == node && (l.Kind == trace.Crash || l.Kind == trace.Overloaded || l.Play == play && l.Attempt == try &&
			(l.Kind == trace.Dropped || l.Kind == trace.Refused || l.Kind == trace.Errored || l.Kind == trace.End)) {
			return true
		}
	}
	return false
}

// drains checks rule 3 by what the list service wrote to each front.
func (a *audit) drains() {
	type key struct{ front, node string }
	told := map[key]int{} // line, from 1, since when a front knows
	for i, l := range a.lines {
		k := key{l.Front, l.Node}
		switch l.Kind {
		case trace.ListSent:
			if l.Note == "ready" {
				delete(told, k)
			} else if told[k] == 0 {
				told[k] = i + 1
			}
		case trace.FrontKilled:
			for t := range told {
				if t.front == l.Front {
					delete(told, t)
				}
			}
		case trace.SetUp:
			if t := told[k]; t > 0 && float64(l.T-a.lines[t-1].T) > a.set.DrainGraceMs*1000+skew {
				a.broken(3, "lines %d and %d: %s set up at %s after it was told", t, i+1, l.Front, l.Node)
			}
		}
	}
}

// cold checks rule 4: the set-ups a node got in any window of the stated length after its start.
func (a *audit) cold() {
	started, streams := map[string]int64{}, a.set.Kinds[0].MaxStreams
	for _, k := range a.set.Kinds {
		streams = min(streams, k.MaxStreams)
	}
	recent := map[string][]int64{}
	for i, l := range a.lines {
		switch l.Kind {
		case trace.Life:
			delete(started, l.Node)
			delete(recent, l.Node)
			if l.Note == "cold" {
				started[l.Node] = l.T
			}
		case trace.Overloaded:
			a.broken(4, "line %d: %s was pushed over", i+1, l.Node)
		case trace.SetUp:
			began, ok := started[l.Node]
			if !ok || float64(l.T-began) > a.set.ColdDurationMs*1000 {
				continue
			}
			most := Allowance(a.set, streams, float64(l.T-began)/1000)
			times := append(recent[l.Node], l.T)
			for len(times) > 0 && float64(l.T-times[0]) > a.set.OverloadWindowMs*1000 {
				times = times[1:]
			}
			recent[l.Node] = times
			if float64(len(times)) > most+cross {
				a.broken(4, "line %d: %d set-ups at cold %s within %v ms, %.1f allowed", i+1, len(times), l.Node, a.set.OverloadWindowMs, most)
			}
		}
	}
}

// Allowance is how many set-ups a cold node stands within the window that ends so many milliseconds
// after its start.
func Allowance(set *config.Service, streams int, ageMs float64) float64 {
	warmth := min(1, set.ColdShare+(1-set.ColdShare)*ageMs/set.ColdDurationMs)
	return set.OverloadMultiple * float64(streams) / set.ColdDurationMs * warmth * set.OverloadWindowMs
}

// terms checks rule 5: rungs under a floor, and plays held of one title and product by one front.
func (a *audit) terms() {
	type seat struct{ front, product, title string }
	type hold struct {
		seat seat
		node string
		try  int
	}
	held := map[string]hold{} // by play
	count := map[seat]int{}
	free := func(play string) {
		if h, ok := held[play]; ok {
			count[h.seat]--
			delete(held, play)
		}
	}
	freeAll := func(match func(h hold) bool) {
		var plays []string
		for play, h := range held {
			if match(h) {
				plays = append(plays, play)
			}
		}
		for _, play := range plays {
			free(play)
		}
	}
	for i, l := range a.lines {
		p := a.product(l.Product)
		switch l.Kind {
		case trace.SetUp, trace.Rung:
			if l.Rung < p.MinRung {
				a.broken(5, "line %d: play %s of %s at rung %d, under its floor of %d", i+1, l.Play, l.Product, l.Rung, p.MinRung)
			}
			if l.Kind == trace.Rung || a.crossed[i] {
				continue
			}
			free(l.Play)
			h := hold{seat{l.Front, l.Product, l.Title}, l.Node, l.Attempt}
			held[l.Play] = h
			count[h.seat]++
			if n := count[h.seat]; p.MaxSeats > 0 && n > p.MaxSeats {
				if over := n - a.freedSoon(i, h.seat.front, h.seat.product, h.seat.title, func(play string) bool { _, ok := held[play]; return ok }); over > p.MaxSeats {
					a.broken(5, "line %d: %s holds %d plays of %s, %s; %d seats", i+1, l.Front, over, l.Title, l.Product, p.MaxSeats)
				}
			}
		case trace.Refused, trace.Errored, trace.Dropped, trace.End, trace.Ended:
			if h, ok := held[l.Play]; ok && h.try == l.Attempt && h.node == l.Node {
				free(l.Play)
			}
		case trace.Crash, trace.Overloaded:
			freeAll(func(h hold) bool { return h.node == l.Node })
		case trace.FrontKilled: // its plays are handed over to its next life, or end
		case trace.Leave: // its front frees a seat as it sends the end of the play, which its node may read much later
			free(l.Play)
		case trace.Ask: // a viewer who comes back to the same front as its node does not deliver ends what it had
			if h, ok := held[l.Play]; ok && l.Note == "broken" && h.seat.front == l.Front {
				free(l.Play)
			}
		}
	}
}

// freedSoon counts plays of a seat whose end shows on another socket within skew after a line.
func (a *audit) freedSoon(from int, front, product, title string, held func(play string) bool) (n int) {
	seat := map[string]bool{}
	for _, l := range a.lines[:from+1] {
		if l.Kind == trace.SetUp && l.Front == front && l.Product == product && l.Title == title && held(l.Play) {
			seat[l.Play] = true
		}
	}
	for _, l := range a.lines[from:] {
		if l.T > a.lines[from].T+skew {
			break
		}
		switch l.Kind {
		case trace.Refused, trace.Errored, trace.Dropped, trace.End, trace.Ended:
			if seat[l.Play] {
				delete(seat, l.Play)
				n++
			}
		}
	}
	return n
}

// budget checks rule 6: in any window, a front's allocations beyond each play's first.
func (a *audit) budget() {
	if a.set.BudgetWindowMs == 0 {
		return
	}
	over := int64(a.set.BudgetWindowMs * 1000)
	answers := map[int64]trace.Event{}
	for _, l := range a.lines {
		if l.Kind == trace.Answer {
			answers[l.ID] = l
		}
	}
	type span struct{ from, to int64 } // a play was taken some time between its request and its answer
	taken, further := map[string][]span{}, map[string][]int64{}
	for _, l := range a.lines {
		if l.Kind != trace.Ask {
			continue
		}
		ans, ok := answers[l.ID]
		again := ans.Status == 200 && ans.Play == l.Play // its manifest asked for again: no play was taken
		if again || ans.Status >= 400 && ans.Status < 500 {
			continue
		}
		to := l.T + l.LimitMs*1000
		if ok {
			to = ans.T
		}
		taken[l.Front] = append(taken[l.Front], span{l.T, to})
	}
	began := map[string]int64{} // of a front's present life: each counts from nothing
	for i, l := range a.lines {
		if l.Kind == trace.FrontKilled {
			began[l.Front] = l.T
			delete(further, l.Front)
		}
		if l.Kind != trace.SetUp || l.Attempt == 0 {
			continue
		}
		further[l.Front] = append(further[l.Front], l.T)
		n, plays := 0, 0
		for _, t := range further[l.Front] {
			if t >= l.T-over+skew {
				n++
			}
		}
		for _, t := range taken[l.Front] {
			if t.from <= l.T+skew && t.to >= max(began[l.Front], l.T-over-skew) {
				plays++
			}
		}
		if most := a.set.BudgetFree + a.set.BudgetShare*float64(plays); float64(n) > most {
			a.broken(6, "line %d: %s made %d further allocations within %v ms, %.1f allowed", i+1, l.Front, n, a.set.BudgetWindowMs, most)
		}
	}
}
