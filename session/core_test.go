package session

import (
	"fmt"
	"runtime"
	"testing"

	"gullrail/decision"
	"gullrail/liveness"
	"gullrail/placement"
	"gullrail/playlog"
)

const start = ClockStart

// recorder is a Transport that only writes down what was ordered.
type recorder struct {
	setUps   []Allocation
	ends     []Ref
	rungs    []int
	dials    map[int]int64
	hung     []int
	recall   []Ref
	finished []string
	begun    []Ref
	settled  int
}

func (r *recorder) SetUp(a Allocation)                      { r.setUps = append(r.setUps, a) }
func (r *recorder) Cancel(x Ref)                            { r.recall = append(r.recall, x) }
func (r *recorder) SetRung(x Ref, _ string, rung, seq int)  { r.rungs = append(r.rungs, rung) }
func (r *recorder) End(x Ref, _, _ string)                  { r.ends = append(r.ends, x) }
func (r *recorder) Probe(int, string)                       {}
func (r *recorder) OpenStream(node int, _ string, at int64) { r.dials[node] = at }
func (r *recorder) PlayStarted(x Ref, _ int, back string)   { r.begun = append(r.begun, x) }
func (r *recorder) RecoveryDone()                           { r.settled++ }
func (r *recorder) PlayFinished(play string, _ int, _ playlog.EndReason) {
	r.finished = append(r.finished, play)
}
func (r *recorder) CloseStream(node int) { r.hung = append(r.hung, node) }
func (r *recorder) last(t *testing.T) Allocation {
	t.Helper()
	if len(r.setUps) == 0 {
		t.Fatal("nothing was set up")
	}
	return r.setUps[len(r.setUps)-1]
}

func terms() map[string][]float64 {
	return map[string][]float64{
		"fronts": {1}, "front": {0}, "cells": {4}, "racks": {2}, "kind.streams": {1000},
		"rung.rate": {100, 200, 400}, "rung.worth": {0.3, 0.6, 1}, "weight.rate": {1e7}, "tries": {4}, "zone": {0},
		"product.rate": {1, 1}, "product.paid": {0, 1}, "product.floor": {0, 1}, "product.seats": {0, 2},
		"product.importance": {1, 2}, "product.target": {10000, 10000}, "comeback": {1}, "comeback.most": {5000},
		"recall": {1}, "cold.share": {0.4}, "cold.lasts": {120000}, "fall.multiple": {2.5}, "fall.over": {10000},
	}
}

// products are 0, safe, and 1, paid.
type products struct{}

func (products) Paid(n int) bool          { return n == 1 }
func (products) Importance(n int) float64 { return float64(n + 1) }

// core makes a ready core with n nodes, each met in life 7.
func core(n int) (*Core, *recorder) {
	out := &recorder{dials: map[int]int64{}}
	c := NewCore(start, "f", 0xe, placement.New(terms(), 1), out, products{}, 1)
	var lines []NodeEntry
	for i := range n {
		lines = append(lines, NodeEntry{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Cell: i, Weight: 1})
	}
	c.UpdateList(start, lines, true)
	for i := range n {
		c.StreamOpened(start, i, "", 7, 0, nil)
	}
	return c, out
}

const ready = start + decision.Second

func want(product int, viewer string) Request {
	return Request{Product: product, Title: "clip", CellCount: 4, Viewer: viewer, Deadline: ready + 4*decision.Second, MaxRung: 2, Reply: NewReply()}
}

func got(t *testing.T, a Request) Answer {
	t.Helper()
	select {
	case x := <-a.Reply.Answer():
		return x
	default:
		t.Fatal("no answer")
		return Answer{}
	}
}

func silent(t *testing.T, a Request) {
	t.Helper()
	select {
	case x := <-a.Reply.Answer():
		t.Fatalf("answered already: %+v", x)
	default:
	}
}

// plays brings a play to playing and returns its answer.
func plays(t *testing.T, c *Core, out *recorder, a Request) Answer {
	t.Helper()
	c.RequestPlay(ready, a)
	s := out.last(t)
	c.Started(ready, s.Ref, 7, int64(len(out.setUps)), s.Rung, decision.UnknownLoad)
	x := got(t, a)
	if x.Verdict != Plays {
		t.Fatalf("got %+v", x)
	}
	return x
}

func TestOneAnswerOnceItPlays(t *testing.T) {
	c, out := core(2)
	a := want(0, "v")
	c.RequestPlay(ready, a)
	silent(t, a)
	s := out.last(t)
	c.Started(ready, s.Ref, 7, 1, s.Rung, decision.UnknownLoad)
	if x := got(t, a); x.Verdict != Plays || x.Node != fmt.Sprint("n", s.Node) {
		t.Fatalf("got %+v", x)
	}
	c.Started(ready, s.Ref, 7, 1, s.Rung, decision.UnknownLoad) // stale: what runs under no play is ended
	if len(out.ends) != 1 || c.Counts().Orphans != 1 {
		t.Fatalf("ends %v", out.ends)
	}
}

func TestAnswerAndTimeLimitInBothOrders(t *testing.T) {
	c, out := core(1)
	a := want(0, "v")
	c.RequestPlay(ready, a)
	s := out.last(t)
	if !a.Reply.Withdraw() {
		t.Fatal("the first to use a reply has it")
	}
	c.Started(ready, s.Ref, 7, 1, s.Rung, decision.UnknownLoad) // comes second: nobody will watch it
	if len(out.ends) != 1 || c.Counts().InHand != 0 {
		t.Fatalf("ends %v, in hand %d", out.ends, c.Counts().InHand)
	}
	c.RequestWithdrawn(ready, a.Reply)

	b := want(0, "w")
	plays(t, c, out, b)
	if b.Reply.Withdraw() {
		t.Fatal("a reply was used twice")
	}
	c.RequestWithdrawn(ready, b.Reply)
	if c.Counts().InHand != 1 {
		t.Fatal("a play that was answered was taken back")
	}
}

func TestPaidPlayThatMayHaveRunIsNeverSentAgain(t *testing.T) {
	for how, again := range map[decision.Outcome]bool{decision.Rejected: true, decision.NoConnect: true, decision.NotSent: true,
		decision.Errored: false, decision.ConnectionLost: false, decision.NoAnswer: false} {
		c, out := core(3)
		a := want(1, "v")
		c.RequestPlay(ready, a)
		c.SetUpEnded(ready, out.last(t).Ref, how, decision.UnknownLoad)
		if again != (len(out.setUps) == 2) {
			t.Fatalf("ending %d: %d set-ups", how, len(out.setUps))
		}
		if !again && got(t, a).Verdict != Failed {
			t.Fatalf("ending %d: not failed", how)
		}
	}
}

func TestViewerWhoLeavesFreesItsSeatOnlyOnceTheSetUpIsIn(t *testing.T) {
	c, out := core(1)
	a, b := want(1, "v"), want(1, "w")
	c.RequestPlay(ready, a)
	c.RequestPlay(ready, b)
	a.Reply.Withdraw()
	c.RequestWithdrawn(ready, a.Reply)
	if len(out.recall) != 1 || c.Counts().InHand != 2 {
		t.Fatalf("recalls %v", out.recall)
	}
	x := want(1, "x")
	c.RequestPlay(ready, x)
	if got(t, x).Verdict != Declined {
		t.Fatal("a third play got one of two seats")
	}
	c.SetUpEnded(ready, out.setUps[0].Ref, decision.Canceled, decision.UnknownLoad)
	y := want(1, "y")
	c.RequestPlay(ready, y)
	silent(t, y)
}

func TestSameViewerTwiceAtOnceIsDenied(t *testing.T) {
	c, out := core(1)
	a, b := want(0, "v"), want(0, "v")
	c.RequestPlay(ready, a)
	c.RequestPlay(ready, b)
	if x := got(t, b); x.Verdict != Denied || !x.Busy || len(out.setUps) != 1 {
		t.Fatalf("got %+v", x)
	}
	silent(t, a)
}

func TestTokensOfAPlay(t *testing.T) {
	c, out := core(2)
	first := want(0, "v")
	x := plays(t, c, out, first)
	back := func(broken bool, id string) Request {
		a := want(0, "v")
		a.Previous = &Previous{Play: id, NotDelivered: broken}
		return a
	}
	a := back(false, x.Play)
	c.RequestPlay(ready, a)
	if y := got(t, a); y.Verdict != Plays || y.Play != x.Play || len(out.setUps) != 1 {
		t.Fatalf("while it plays, its manifest again: %+v", y)
	}
	a = back(true, x.Play)
	c.RequestPlay(ready, a)
	if len(out.setUps) != 2 || len(out.ends) != 1 {
		t.Fatal("the node does not deliver: ended there, set up anew")
	}
	s := out.last(t)
	c.Started(ready, s.Ref, 7, 2, s.Rung, decision.UnknownLoad)
	y := got(t, a)
	a = back(false, x.Play)
	c.RequestPlay(ready, a)
	if z := got(t, a); z.Verdict != Denied {
		t.Fatalf("a token used to come back was used again: %+v", z)
	}
	c.EndPlay(ready, y.Play)
	a = back(false, y.Play)
	c.RequestPlay(ready, a)
	if z := got(t, a); z.Verdict != Denied {
		t.Fatalf("a token was replayed after its play ended: %+v", z)
	}
	a = back(false, "f-e-99999")
	c.RequestPlay(ready, a)
	if z := got(t, a); z.Verdict != Denied {
		t.Fatalf("a token of a play long forgotten: %+v", z)
	}
	a = back(false, "other-1-1") // another front's, or an earlier life's: comes again
	c.RequestPlay(ready, a)
	silent(t, a)
}

func TestDeclinedViewerMayTryAgainWithItsToken(t *testing.T) {
	c, out := core(2)
	x := plays(t, c, out, want(0, "v"))
	c.PlayEnded(ready, Ref{x.Play, 0, out.last(t).Node}, decision.ConnectionLost)
	for range 2 {
		a := want(0, "v")
		a.CellCount = 0 // nobody holds it: declined
		a.Previous = &Previous{Play: x.Play}
		c.RequestPlay(ready, a)
		if y := got(t, a); y.Verdict != Declined {
			t.Fatalf("got %+v", y)
		}
	}
}

func TestEndToldBeforeTheStart(t *testing.T) {
	c, out := core(1)
	a := want(0, "v")
	c.RequestPlay(ready, a)
	s := out.last(t)
	c.PlayEnded(ready, s.Ref, decision.Served)
	c.Started(ready, s.Ref, 7, 1, s.Rung, decision.UnknownLoad)
	if got(t, a).Verdict != Plays || c.Counts().InHand != 0 {
		t.Fatal("the play is answered and over")
	}
}

func TestRungChangedDuringSetUpIsToldAgain(t *testing.T) {
	c, out := core(1)
	a := want(0, "v")
	c.RequestPlay(ready, a)
	s := out.last(t)
	c.Started(ready, s.Ref, 7, 1, s.Rung+1, decision.UnknownLoad)
	if len(out.rungs) != 1 || out.rungs[0] != s.Rung {
		t.Fatalf("rungs told %v", out.rungs)
	}
}

func TestHelloSettlesWhatRuns(t *testing.T) {
	c, out := core(1)
	kept, lost, young := plays(t, c, out, want(0, "a")), plays(t, c, out, want(0, "b")), plays(t, c, out, want(0, "c"))
	runs := []Running{{Play: kept.Play, Epoch: 0xe}, {Play: "f-e-77", Epoch: 0xe, Attempt: 1},
		{Play: "f-d-5", Epoch: 0xd, Attempt: 2, Title: "clip", CellCount: 4, Viewer: "old", Rung: 1, MaxRung: 2, Seq: 4},
		{Play: "f-d-6", Epoch: 0xd, Product: -1, Title: "gone", Viewer: "x"}}
	c.StreamOpened(ready, 0, "", 7, 2, runs) // told before the third started
	if c.plays[kept.Play] == nil || c.plays[lost.Play] != nil || c.plays[young.Play] == nil {
		t.Fatal("only what the node does not run is lost, unless it started later than the node's word")
	}
	if p := c.plays["f-d-5"]; p == nil || p.stage != playing || p.rung != 1 || c.Counts().Adopted != 1 {
		t.Fatal("a play of an earlier life is adopted")
	}
	if len(out.ends) != 2 || out.ends[0].Play != "f-e-77" || out.ends[1].Play != "f-d-6" {
		t.Fatalf("ended: %v", out.ends)
	}
	c.PlayEnded(ready, Ref{"f-d-5", 2, 0}, decision.Served)
	c.StreamOpened(ready, 0, "", 8, 0, nil) // the node's process is another
	if c.Counts().InHand != 0 {
		t.Fatalf("%d in hand after the node's restart", c.Counts().InHand)
	}
}

func TestPlaysOfASilentNodeEndOnlyWithTheLease(t *testing.T) {
	c, out := core(1)
	plays(t, c, out, want(0, "v"))
	c.StreamBroke(ready, 0, false)
	c.Wake(ready + liveness.Lease)
	if c.Counts().InHand != 1 {
		t.Fatal("given up while the node may run it")
	}
	c.Wake(ready + 2*liveness.Lease)
	if c.Counts().InHand != 0 || c.Counts().Lost != 1 {
		t.Fatal("its lease has passed")
	}
}

func TestNoPlayBeforeReady(t *testing.T) {
	out := &recorder{dials: map[int]int64{}}
	c := NewCore(start, "f", 1, placement.New(terms(), 1), out, products{}, 1)
	a := want(0, "v")
	c.RequestPlay(start, a)
	if x := got(t, a); x.Verdict != Declined || x.RetryAfter == 0 {
		t.Fatalf("got %+v", x)
	}
}

func TestALaterCallDoesNotPutOffWake(t *testing.T) {
	c, _ := core(1)
	c.Wake(ready)
	due := c.WakeAt()
	for i := range int64(100) {
		c.DeliveryReported(ready+i, Ref{"x", 0, 0}, 1)
		a := want(0, fmt.Sprint("v", i))
		a.CellCount = 0
		c.RequestPlay(ready+i, a)
	}
	if c.WakeAt() != due {
		t.Fatalf("due at %d, put off to %d", due, c.WakeAt())
	}
}

func TestNodeGoneFromTheListIsForgottenAndItsNumberUsedAgain(t *testing.T) {
	c, out := core(2)
	c.UpdateList(ready, []NodeEntry{{Name: "n0", Address: "a0", Phase: decision.Gone}}, false)
	c.Wake(ready + decision.Second)
	c.StreamBroke(ready+decision.Second, 0, false)
	if len(out.hung) != 1 {
		t.Fatal("its stream is still followed")
	}
	c.Wake(ready + 20*decision.Second)
	if c.Counts().Nodes != 1 {
		t.Fatalf("%d nodes known", c.Counts().Nodes)
	}
	c.UpdateList(ready+21*decision.Second, []NodeEntry{{Name: "new", Address: "b", Cell: 0, Weight: 1}}, false)
	if len(c.nodes) != 2 || c.nodes[0].name != "new" {
		t.Fatalf("nodes %+v", c.nodes)
	}
}

// churn takes so many plays through the core, each by a viewer of its own, and returns what it keeps.
func churn(t testing.TB, n int) (heap uint64, s Counts) {
	c, out := core(4)
	now := int64(ready)
	for i := range n {
		now += 300 // 33 plays a second
		a := Request{Title: fmt.Sprint("t", i%5000), CellCount: 4, Viewer: fmt.Sprint("v", i), Deadline: now + 4*decision.Second, MaxRung: 2, Reply: NewReply()}
		c.RequestPlay(now, a)
		if len(out.setUps) > 0 {
			s := out.setUps[0]
			out.setUps = out.setUps[:0]
			c.Started(now, s.Ref, 7, int64(i), s.Rung, decision.UnknownLoad)
			c.PlayEnded(now+10, s.Ref, decision.Served)
		}
		if now >= c.WakeAt() {
			c.Wake(now)
			for at := range c.nodes {
				c.StreamActive(now, at)
			}
		}
		out.ends, out.rungs, out.recall, out.hung = out.ends[:0], out.rungs[:0], out.recall[:0], out.hung[:0]
		out.finished = out.finished[:0]
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s = c.Counts()
	if s.Plays != uint64(n) {
		t.Fatalf("%d of %d play", s.Plays, n)
	}
	return m.HeapAlloc, s
}

func TestMemoryStaysBounded(t *testing.T) {
	n := 150_000
	if soak := *soakPlays; soak > 0 {
		n = soak
	}
	_, s := churn(t, n)
	if s.Viewers > 1000 || s.Titles > 5000 || s.Remembered > 25_000 || s.InHand != 0 {
		t.Fatalf("after %d plays: %+v", n, s)
	}
	if *soakPlays > 0 {
		heap, _ := churn(t, n)
		t.Logf("%d plays: heap %.1f MB, %+v", n, float64(heap)/1e6, s)
	}
}

func TestOrderlyEnd(t *testing.T) {
	c, out := core(2)
	plays(t, c, out, want(0, "plays"))
	paid, safe := want(1, "paid"), want(0, "safe")
	c.RequestPlay(ready, paid)
	c.RequestPlay(ready, safe)
	c.BeginShutdown(ready, ready+2*decision.Second)
	silent(t, paid) // both are out: their nodes' words are waited for
	silent(t, safe)
	late := want(0, "late")
	c.RequestPlay(ready, late)
	if x := got(t, late); x.Verdict != Declined || x.RetryAfter == 0 {
		t.Fatalf("a new one: %+v", x)
	}
	c.Close(ready + 2*decision.Second)
	if got(t, paid).Verdict != Failed || got(t, safe).Verdict != Declined || len(out.recall) != 2 {
		t.Fatalf("at the end: recalled %v", out.recall)
	}
	c.Started(ready+2*decision.Second, out.setUps[1].Ref, 7, 9, 1, decision.UnknownLoad) // and then it starts after all
	if len(out.ends) != 1 {
		t.Fatalf("it is ended at its node: %v", out.ends)
	}
	c.ReleasePlays(ready, ready+2*decision.Second)
	if len(out.ends) != 2 {
		t.Fatalf("what plays is let go: %v", out.ends)
	}
}

func TestTokenOfAMovedPlayBringsItsViewerBackOnce(t *testing.T) {
	c, out := core(2)
	x := plays(t, c, out, want(0, "v"))
	c.carry(ready, &decision.Result{Orders: []decision.Order{{Play: c.plays[x.Play].h, Action: decision.Move}}})
	if len(out.ends) != 1 || c.Counts().InHand != 0 {
		t.Fatalf("a move ends it at its node: %v", out.ends)
	}
	back := func() Request {
		a := want(0, "v")
		a.Previous = &Previous{Play: x.Play}
		return a
	}
	a := back()
	c.RequestPlay(ready, a)
	s := out.last(t)
	c.Started(ready, s.Ref, 7, 2, s.Rung, decision.UnknownLoad)
	if y := got(t, a); y.Verdict != Plays || y.Play == x.Play {
		t.Fatalf("placed anew: %+v", y)
	}
	a = back()
	c.RequestPlay(ready, a)
	if y := got(t, a); y.Verdict != Denied || len(out.setUps) != 2 {
		t.Fatalf("replayed after the move: %+v", y)
	}
}

func TestRecordedPlaysHoldTheirSeatsUntilTheirNodesSpeak(t *testing.T) {
	out := &recorder{dials: map[int]int64{}}
	c := NewCore(start, "f", 2, placement.New(terms(), 1), out, products{}, 1)
	was := func(play, node string) Expected {
		return Expected{Running{Play: play, Epoch: 1, Product: 1, Title: "clip", CellCount: 4, Viewer: play, Rung: 1, MaxRung: 2}, node, true}
	}
	c.Recover(start, []Expected{was("a", "n0"), was("b", "n1"), was("gone", "n9")}, nil, 0)
	if c.Ready(start) {
		t.Fatal("ready without a list")
	}
	var lines []NodeEntry
	for i := range 3 {
		lines = append(lines, NodeEntry{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Cell: i, Weight: 1})
	}
	c.UpdateList(start, lines, true)
	if !c.Ready(start) || c.Counts().InHand != 2 || len(out.finished) != 1 || out.finished[0] != "gone" {
		t.Fatalf("ready %v, %+v, finished %v", c.Ready(start), c.Counts(), out.finished)
	}
	full := want(1, "w")
	c.RequestPlay(start, full)
	if got(t, full).Verdict != Declined {
		t.Fatal("a third play on two seats")
	}
	c.StreamOpened(start, 0, "", 7, 3, []Running{{Play: "a", Epoch: 1, Product: 1, Title: "clip", CellCount: 4, Viewer: "a", Rung: 2, Seq: 5, MaxRung: 2}})
	c.StreamOpened(start, 1, "", 7, 3, nil) // the node does not run it
	if p := c.plays["a"]; p == nil || p.rung != 2 || p.seq != 5 || c.plays["b"] != nil {
		t.Fatal("confirmed by its node as it is there, or lost")
	}
	free := want(1, "x")
	c.RequestPlay(start, free)
	silent(t, free)
}
