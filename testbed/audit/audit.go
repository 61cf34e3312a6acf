// Package audit checks a front's six required rules from traces and settings alone, without access to the front's
// internal state.
package audit

import (
	"fmt"
	"sort"

	"gullrail/config"
	"gullrail/testbed/trace"
)

const (
	// maxSkewUs is the largest difference between the times at which two sockets of one machine see related events, in
	// microseconds: a front closes one connection and writes to another, and the two nodes' goroutines are scheduled
	// independently.
	maxSkewUs = 60_000
	// answerSlackUs is how long after its time limit an answer still counts as in time, in microseconds, to allow for its
	// transmission.
	answerSlackUs = 100_000
	// stallPenalty is the fraction of its worth that a segment loses per unit by which the delivered share of its rate is
	// below 0.98: the middle of the range that the operators state.
	stallPenalty = 7.0
	// resumeGraceUs is how long a front that was suspended past a time limit may take to answer once it is resumed, in
	// microseconds.
	resumeGraceUs = 300_000
	// setUpTolerance is how many set-ups more than the allowance may arrive within one window by chance.
	setUpTolerance = 2
)

// Rule is the result for one of the six rules.
type Rule struct {
	Name       string   `json:"name"`
	Violations []string `json:"breaks"` // each names the lines of the trace that show it
}

// Report summarizes a trace.
type Report struct {
	Rules       []Rule  `json:"rules"`
	Requests    int     `json:"requests"`
	Asked       int     `json:"plays_asked"` // viewers' first requests
	Plays       int     `json:"plays"`
	Declined    int     `json:"declined"`
	Failed      int     `json:"failed"`
	Denied      int     `json:"denied"`
	Interrupted int     `json:"cut"`  // requests whose front was down, or was killed while they waited
	Abandoned   int     `json:"left"` // requests whose client disconnected before an answer
	MaxAnswers  int     `json:"answers_per_play"`
	Doubled     int     `json:"allocations_doubled"`
	Reallocated int     `json:"further_allocations"`
	Worth       float64 `json:"worth"`   // importance-weighted worth of the segments delivered over that of what viewers asked for; lower rungs and stalls reduce it
	Service     float64 `json:"service"` // share of viewers, weighted by importance, that got a play within their product's target
	FirstMs     []int64 `json:"-"`       // first-frame latencies of plays, sorted
	Rungs       []int   `json:"segments_by_rung"`
}

// RulesKept reports whether no rule was violated.
func (r *Report) RulesKept() bool {
	for _, x := range r.Rules {
		if len(x.Violations) > 0 {
			return false
		}
	}
	return true
}

type auditor struct {
	service      *config.Service
	events       []trace.Event
	endReadFirst map[int]bool // indices of set-ups that their node read after their end, and of these ends
	report       *Report
	violations   [6][]string
}

func (a *auditor) addViolation(rule int, format string, args ...any) {
	a.violations[rule-1] = append(a.violations[rule-1], fmt.Sprintf(format, args...))
}

// Check checks a trace against the rules. The events must be sorted by time, as a Recorder records them.
func Check(service *config.Service, events []trace.Event) *Report {
	a := &auditor{service: service, events: events, endReadFirst: findEndsReadFirst(events), report: &Report{}}
	a.checkAnswers()
	a.checkAllocations()
	a.checkDrains()
	a.checkColdNodes()
	a.checkProductLimits()
	a.checkBudget()
	for i, name := range []string{"one answer in time", "no set-up twice", "drains kept", "no cold node pushed over",
		"floors and seats kept", "further allocations in budget"} {
		a.report.Rules = append(a.report.Rules, Rule{name, a.violations[i]})
	}
	sort.Slice(a.report.FirstMs, func(i, j int) bool { return a.report.FirstMs[i] < a.report.FirstMs[j] })
	return a.report
}

// findEndsReadFirst finds set-ups whose end arrived at their node first, on another connection. Such a set-up was sent
// before its end, whatever their order in the trace, and isn't a further attempt. Each end accounts for one set-up only.
func findEndsReadFirst(events []trace.Event) map[int]bool {
	type setUp struct {
		play, node string
		attempt    int
	}
	indices, endIndex, seen := map[int]bool{}, map[setUp]int{}, map[setUp]bool{}
	for i, e := range events {
		key := setUp{e.Play, e.Node, e.Attempt}
		switch e.Kind {
		case trace.End:
			if !seen[key] {
				endIndex[key] = i
			}
		case trace.SetUp:
			if end, ok := endIndex[key]; ok && !seen[key] {
				indices[end], indices[i] = true, true
			}
			seen[key] = true
		}
	}
	return indices
}

func (a *auditor) product(name string) *config.Product {
	if i, ok := a.service.ProductNumber(name); ok {
		return &a.service.Products[i]
	}
	return &config.Product{Name: name}
}

func (a *auditor) worth(rung int) float64 {
	if rung >= 0 && rung < len(a.service.RungWorth) {
		return a.service.RungWorth[rung]
	}
	return 0
}

// checkAnswers checks rule 1 and computes the service and worth figures. A viewer's retries count as part of its first
// request.
func (a *auditor) checkAnswers() {
	type request struct {
		index      int
		answers    int
		viewerGone bool
	}
	requests := map[int64]*request{}
	var ids []int64
	killed := map[string][]int64{} // times at which each front was killed
	firstAsk := map[string]int{}   // index of each viewer's first request
	served := map[string]bool{}
	askedImportance, servedInTime := 0.0, 0.0
	wantedWorth, earnedWorth := 0.0, 0.0
	productOf := map[string]*config.Product{} // by play
	for i, e := range a.events {
		switch e.Kind {
		case trace.FrontKilled:
			killed[e.Front] = append(killed[e.Front], e.T)
		case trace.RequestSent:
			requests[e.ID] = &request{index: i}
			ids = append(ids, e.ID)
			a.report.Requests++
			if e.First {
				a.report.Asked++
				firstAsk[e.Viewer] = i
				p := a.product(e.Product)
				askedImportance += p.Importance
				wantedWorth += p.Importance * a.worth(e.Rung) * float64(e.WatchMs)
			}
		case trace.PlayerDisconnected:
			if req := requests[e.ID]; req != nil {
				req.viewerGone = true
				a.report.Abandoned++
			}
		case trace.Served:
			for len(a.report.Rungs) <= e.Rung {
				a.report.Rungs = append(a.report.Rungs, 0)
			}
			a.report.Rungs[e.Rung]++
			if p := productOf[e.Play]; p != nil {
				earnedWorth += p.Importance * a.worth(e.Rung) * a.service.SegmentMs * max(0, 1-stallPenalty*max(0, 0.98-e.Share))
			}
		case trace.SetUp:
			productOf[e.Play] = a.product(e.Product)
		case trace.Answer:
			req := requests[e.ID]
			if req == nil {
				a.addViolation(1, "line %d: an answer without a request", i+1)
				continue
			}
			if e.Status == 0 {
				continue // handled below as a request without an answer
			}
			req.answers++
			a.report.MaxAnswers = max(a.report.MaxAnswers, req.answers)
			asked := a.events[req.index]
			if req.answers > 1 {
				a.addViolation(1, "lines %d and %d: request %d has a second answer", req.index+1, i+1, e.ID)
			}
			if limit := asked.T + asked.LimitMs*1000; e.T > limit+answerSlackUs && !a.stoppedAtLimit(asked.Front, limit, e.T) {
				a.addViolation(1, "lines %d and %d: request %d was answered after its time limit", req.index+1, i+1, e.ID)
			}
			switch {
			case e.Status == 200 && e.Play == asked.Play: // the play's manifest was requested again
			case e.Status == 200:
				a.report.Plays++
				if firstIndex, ok := firstAsk[asked.Viewer]; ok && !served[asked.Viewer] {
					served[asked.Viewer] = true
					p := a.product(asked.Product)
					tookUs := e.T - a.events[firstIndex].T
					a.report.FirstMs = append(a.report.FirstMs, tookUs/1000)
					if float64(tookUs) <= p.TargetMs*1000 {
						servedInTime += p.Importance
					}
				}
			case e.Status == 503:
				a.report.Declined++
			case e.Status == 502 || e.Status == 504:
				a.report.Failed++
			default:
				a.report.Denied++
			}
		}
	}
	for _, id := range ids {
		req := requests[id]
		if req.answers > 0 || req.viewerGone {
			continue
		}
		asked := a.events[req.index]
		excused := false
		for _, t := range killed[asked.Front] { // a killed front can't answer the requests that it held
			excused = excused || t >= asked.T && t <= asked.T+asked.LimitMs*1000
		}
		if a.frontDown(asked.Front, req.index) || excused {
			a.report.Interrupted++
			continue
		}
		if a.reaches(asked.T + asked.LimitMs*1000 + answerSlackUs) {
			a.addViolation(1, "line %d: request %d has no answer", req.index+1, id)
		}
	}
	if askedImportance > 0 {
		a.report.Service = servedInTime / askedImportance
	}
	if wantedWorth > 0 {
		a.report.Worth = earnedWorth / wantedWorth
	}
}

// frontDown reports whether a front's process was down at an event of the trace.
func (a *auditor) frontDown(front string, index int) bool {
	isDown := false
	for _, e := range a.events[:index] {
		if e.Front == front && e.Kind == trace.FrontKilled {
			isDown = true
		} else if e.Front == front && e.Kind == trace.FrontStarted {
			isDown = false
		}
	}
	return isDown
}

// stoppedAtLimit reports whether a front's process was suspended at a time limit and answered soon after it was resumed: a
// suspended process can't answer, and rule 1 binds running fronts only.
func (a *auditor) stoppedAtLimit(front string, limit, answered int64) bool {
	stopped := int64(-1)
	for _, e := range a.events {
		if e.Front != front {
			continue
		}
		switch e.Kind {
		case trace.FrontStopped:
			stopped = e.T
		case trace.FrontResumed:
			if stopped >= 0 && stopped <= limit && limit <= e.T && answered <= e.T+resumeGraceUs {
				return true
			}
			stopped = -1
		}
	}
	return false
}

// reaches reports whether the trace lasts until a time.
func (a *auditor) reaches(t int64) bool {
	return len(a.events) > 0 && a.events[len(a.events)-1].T >= t
}

// checkAllocations checks rule 2 by the allocations of each play that the nodes saw.
func (a *auditor) checkAllocations() {
	type state struct {
		index, attempt int
		node           string
		pending        bool
		mayHaveRunLine int // line, from 1, that shows that an allocation may have run; 0 if none
	}
	plays := map[string]*state{}
	for i, e := range a.events {
		switch e.Kind {
		case trace.SetUp:
			if a.endReadFirst[i] { // counted at its end
				continue
			}
			s := plays[e.Play]
			if s == nil {
				plays[e.Play] = &state{index: i, attempt: e.Attempt, node: e.Node, pending: true}
				continue
			}
			a.report.Reallocated++
			switch {
			case e.Attempt <= s.attempt:
				a.addViolation(2, "lines %d and %d: play %s has allocation %d twice", s.index+1, i+1, e.Play, e.Attempt)
				a.report.Doubled++
			case s.pending && !a.closedWithinSkew(i, s.node, e.Play, s.attempt):
				a.addViolation(2, "lines %d and %d: play %s has two allocations pending", s.index+1, i+1, e.Play)
				a.report.Doubled++
			case a.product(e.Product).Paid && s.mayHaveRunLine > 0:
				a.addViolation(2, "lines %d and %d: paid play %s is set up again though it may have run", s.mayHaveRunLine, i+1, e.Play)
				a.report.Doubled++
			case a.product(e.Product).Paid && s.pending:
				a.addViolation(2, "lines %d and %d: paid play %s is set up again though it isn't known that it never ran", s.index+1, i+1, e.Play)
				a.report.Doubled++
			}
			s.index, s.attempt, s.node, s.pending = i, e.Attempt, e.Node, true
		case trace.Started, trace.Errored, trace.Dropped, trace.End:
			if s := plays[e.Play]; a.endReadFirst[i] && (s == nil || s.attempt < e.Attempt) {
				plays[e.Play] = &state{index: i, attempt: e.Attempt, node: e.Node, mayHaveRunLine: i + 1}
			} else if s != nil && s.attempt == e.Attempt {
				s.pending, s.mayHaveRunLine = false, i+1
			}
		case trace.Refused:
			if s := plays[e.Play]; s != nil && s.attempt == e.Attempt {
				s.pending = false
			}
		case trace.NodeCrashed, trace.Overloaded:
			for _, s := range plays {
				if s.pending && s.node == e.Node {
					s.pending, s.mayHaveRunLine = false, i+1
				}
			}
		case trace.Answer: // a declined play must not have run
			if s := plays[e.Play]; s != nil && e.Status == 503 && s.mayHaveRunLine > 0 && a.product(a.events[s.index].Product).Paid {
				a.addViolation(2, "lines %d and %d: paid play %s is declined though it may have run", s.mayHaveRunLine, i+1, e.Play)
			}
		}
	}
}

// closedWithinSkew reports whether a node records within maxSkewUs after an event that an allocation is no longer pending.
func (a *auditor) closedWithinSkew(from int, node, play string, attempt int) bool {
	for _, e := range a.events[from:] {
		if e.T > a.events[from].T+maxSkewUs {
			return false
		}
		if e.Node == node && (e.Kind == trace.NodeCrashed || e.Kind == trace.Overloaded || e.Play == play && e.Attempt == attempt &&
			(e.Kind == trace.Dropped || e.Kind == trace.Refused || e.Kind == trace.Errored || e.Kind == trace.End)) {
			return true
		}
	}
	return false
}

// checkDrains checks rule 3 by what the list service sent to each front.
func (a *auditor) checkDrains() {
	type key struct{ front, node string }
	notified := map[key]int{} // line, from 1, at which a front was told that a node isn't ready
	for i, e := range a.events {
		k := key{e.Front, e.Node}
		switch e.Kind {
		case trace.ListSent:
			if e.Note == "ready" {
				delete(notified, k)
			} else if notified[k] == 0 {
				notified[k] = i + 1
			}
		case trace.FrontKilled:
			for p := range notified {
				if p.front == e.Front {
					delete(notified, p)
				}
			}
		case trace.SetUp:
			if line := notified[k]; line > 0 && float64(e.T-a.events[line-1].T) > a.service.DrainGraceMs*1000+maxSkewUs {
				a.addViolation(3, "lines %d and %d: %s sent a set-up to %s after it was told that the node is draining or gone", line, i+1, e.Front, e.Node)
			}
		}
	}
}

// checkColdNodes checks rule 4: the set-ups that a cold node received in any window of the configured length after its start.
func (a *auditor) checkColdNodes() {
	started, streams := map[string]int64{}, a.service.Kinds[0].MaxStreams
	for _, k := range a.service.Kinds {
		streams = min(streams, k.MaxStreams)
	}
	recent := map[string][]int64{}
	for i, e := range a.events {
		switch e.Kind {
		case trace.NodeStarted:
			delete(started, e.Node)
			delete(recent, e.Node)
			if e.Note == "cold" {
				started[e.Node] = e.T
			}
		case trace.Overloaded:
			a.addViolation(4, "line %d: cold %s crashed under too many set-ups", i+1, e.Node)
		case trace.SetUp:
			start, ok := started[e.Node]
			if !ok || float64(e.T-start) > a.service.ColdDurationMs*1000 {
				continue
			}
			allowed := Allowance(a.service, streams, float64(e.T-start)/1000)
			times := append(recent[e.Node], e.T)
			for len(times) > 0 && float64(e.T-times[0]) > a.service.OverloadWindowMs*1000 {
				times = times[1:]
			}
			recent[e.Node] = times
			if float64(len(times)) > allowed+setUpTolerance {
				a.addViolation(4, "line %d: %d set-ups at cold %s within %v ms, %.1f allowed", i+1, len(times), e.Node, a.service.OverloadWindowMs, allowed)
			}
		}
	}
}

// Allowance returns how many set-ups a cold node withstands within the window that ends ageMs milliseconds after its
// start.
func Allowance(service *config.Service, streams int, ageMs float64) float64 {
	warmth := min(1, service.ColdShare+(1-service.ColdShare)*ageMs/service.ColdDurationMs)
	return service.OverloadMultiple * float64(streams) / service.ColdDurationMs * warmth * service.OverloadWindowMs
}

// checkProductLimits checks rule 5: the lowest rung of a product, and its seats, which are the plays of one title and
// product that one front may hold at a time.
func (a *auditor) checkProductLimits() {
	type seat struct{ front, product, title string }
	type hold struct {
		seat    seat
		node    string
		attempt int
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
	for i, e := range a.events {
		p := a.product(e.Product)
		switch e.Kind {
		case trace.SetUp, trace.Rung:
			if e.Rung < p.MinRung {
				a.addViolation(5, "line %d: play %s of %s at rung %d, below the product's lowest rung, %d", i+1, e.Play, e.Product, e.Rung, p.MinRung)
			}
			if e.Kind == trace.Rung || a.endReadFirst[i] {
				continue
			}
			free(e.Play)
			h := hold{seat{e.Front, e.Product, e.Title}, e.Node, e.Attempt}
			held[e.Play] = h
			count[h.seat]++
			if n := count[h.seat]; p.MaxSeats > 0 && n > p.MaxSeats {
				if over := n - a.freedWithinSkew(i, h.seat.front, h.seat.product, h.seat.title, func(play string) bool { _, ok := held[play]; return ok }); over > p.MaxSeats {
					a.addViolation(5, "line %d: %s holds %d plays of title %s, product %s, which has %d seats", i+1, e.Front, over, e.Title, e.Product, p.MaxSeats)
				}
			}
		case trace.Refused, trace.Errored, trace.Dropped, trace.End, trace.Ended:
			if h, ok := held[e.Play]; ok && h.attempt == e.Attempt && h.node == e.Node {
				free(e.Play)
			}
		case trace.NodeCrashed, trace.Overloaded:
			freeAll(func(h hold) bool { return h.node == e.Node })
		case trace.FrontKilled: // its plays are taken over when it starts again, or end
		case trace.PlayerLeaving: // the front frees the seat when it sends the end of the play, which the node may read much later
			free(e.Play)
		case trace.RequestSent: // a viewer that returns to the same front because its node doesn't deliver ends its previous play
			if h, ok := held[e.Play]; ok && e.Note == "broken" && h.seat.front == e.Front {
				free(e.Play)
			}
		}
	}
}

// freedWithinSkew counts plays of a front, product and title whose end shows on another socket within maxSkewUs after an
// event.
func (a *auditor) freedWithinSkew(from int, front, product, title string, held func(play string) bool) (n int) {
	onSeat := map[string]bool{}
	for _, e := range a.events[:from+1] {
		if e.Kind == trace.SetUp && e.Front == front && e.Product == product && e.Title == title && held(e.Play) {
			onSeat[e.Play] = true
		}
	}
	for _, e := range a.events[from:] {
		if e.T > a.events[from].T+maxSkewUs {
			break
		}
		switch e.Kind {
		case trace.Refused, trace.Errored, trace.Dropped, trace.End, trace.Ended:
			if onSeat[e.Play] {
				delete(onSeat, e.Play)
				n++
			}
		}
	}
	return n
}

// checkBudget checks rule 6: in any window, a front's allocations beyond the first of each play.
func (a *auditor) checkBudget() {
	if a.service.BudgetWindowMs == 0 {
		return
	}
	window := int64(a.service.BudgetWindowMs * 1000)
	answers := map[int64]trace.Event{}
	for _, e := range a.events {
		if e.Kind == trace.Answer {
			answers[e.ID] = e
		}
	}
	type span struct{ from, to int64 } // the front accepted the play some time between its request and its answer
	accepted, further := map[string][]span{}, map[string][]int64{}
	for _, e := range a.events {
		if e.Kind != trace.RequestSent {
			continue
		}
		answer, ok := answers[e.ID]
		repeated := answer.Status == 200 && answer.Play == e.Play // the play's manifest was requested again: no new play
		if repeated || answer.Status >= 400 && answer.Status < 500 {
			continue
		}
		to := e.T + e.LimitMs*1000
		if ok {
			to = answer.T
		}
		accepted[e.Front] = append(accepted[e.Front], span{e.T, to})
	}
	start := map[string]int64{} // start of each front's current process; every process begins with an unused budget
	for i, e := range a.events {
		if e.Kind == trace.FrontKilled {
			start[e.Front] = e.T
			delete(further, e.Front)
		}
		if e.Kind != trace.SetUp || e.Attempt == 0 {
			continue
		}
		further[e.Front] = append(further[e.Front], e.T)
		n, plays := 0, 0
		for _, t := range further[e.Front] {
			if t >= e.T-window+maxSkewUs {
				n++
			}
		}
		for _, t := range accepted[e.Front] {
			if t.from <= e.T+maxSkewUs && t.to >= max(start[e.Front], e.T-window-maxSkewUs) {
				plays++
			}
		}
		if allowed := a.service.BudgetFree + a.service.BudgetShare*float64(plays); float64(n) > allowed {
			a.addViolation(6, "line %d: %s made %d further allocations within %v ms, %.1f allowed", i+1, e.Front, n, a.service.BudgetWindowMs, allowed)
		}
	}
}
