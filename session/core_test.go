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

const startTime = ClockStart

// fakeTransport is a Transport that only records what was ordered.
type fakeTransport struct {
	setUps        []Allocation
	ends          []Ref
	rungs         []int
	dials         map[int]int64
	closedStreams []int
	canceled      []Ref
	finished      []string
	started       []Ref
	recoveries    int
}

func (r *fakeTransport) SetUp(a Allocation)                       { r.setUps = append(r.setUps, a) }
func (r *fakeTransport) Cancel(ref Ref)                           { r.canceled = append(r.canceled, ref) }
func (r *fakeTransport) SetRung(ref Ref, _ string, rung, seq int) { r.rungs = append(r.rungs, rung) }
func (r *fakeTransport) End(ref Ref, _, _ string)                 { r.ends = append(r.ends, ref) }
func (r *fakeTransport) Probe(int, string)                        {}
func (r *fakeTransport) OpenStream(node int, _ string, at int64)  { r.dials[node] = at }
func (r *fakeTransport) PlayStarted(ref Ref, _ int, back string)  { r.started = append(r.started, ref) }
func (r *fakeTransport) RecoveryDone()                            { r.recoveries++ }
func (r *fakeTransport) PlayFinished(play string, _ int, _ playlog.EndReason) {
	r.finished = append(r.finished, play)
}
func (r *fakeTransport) CloseStream(node int) { r.closedStreams = append(r.closedStreams, node) }
func (r *fakeTransport) last(t *testing.T) Allocation {
	t.Helper()
	if len(r.setUps) == 0 {
		t.Fatal("no set-up was sent")
	}
	return r.setUps[len(r.setUps)-1]
}

func policySettings() map[string][]float64 {
	return map[string][]float64{
		"fronts": {1}, "front": {0}, "cells": {4}, "racks": {2}, "kind.streams": {1000},
		"rung.rate": {100, 200, 400}, "rung.worth": {0.3, 0.6, 1}, "weight.rate": {1e7}, "tries": {4}, "zone": {0},
		"product.rate": {1, 1}, "product.paid": {0, 1}, "product.floor": {0, 1}, "product.seats": {0, 2},
		"product.importance": {1, 2}, "product.target": {10000, 10000}, "comeback": {1}, "comeback.most": {5000},
		"recall": {1}, "cold.share": {0.4}, "cold.lasts": {120000}, "fall.multiple": {2.5}, "fall.over": {10000},
	}
}

// testProducts has product 0, which is not paid, and product 1, which is.
type testProducts struct{}

func (testProducts) Paid(n int) bool          { return n == 1 }
func (testProducts) Importance(n int) float64 { return float64(n + 1) }

// newTestCore returns a ready core with n nodes that have opened their streams, each with process instance 7.
func newTestCore(n int) (*Core, *fakeTransport) {
	out := &fakeTransport{dials: map[int]int64{}}
	c := NewCore(startTime, "f", 0xe, placement.New(policySettings(), 1), out, testProducts{}, 1)
	var entries []NodeEntry
	for i := range n {
		entries = append(entries, NodeEntry{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Cell: i, Weight: 1})
	}
	c.UpdateList(startTime, entries, true)
	for i := range n {
		c.StreamOpened(startTime, i, "", 7, 0, nil)
	}
	return c, out
}

const readyTime = startTime + decision.Second

func newRequest(product int, viewer string) Request {
	return Request{Product: product, Title: "clip", CellCount: 4, Viewer: viewer, Deadline: readyTime + 4*decision.Second, MaxRung: 2, Reply: NewReply()}
}

func mustAnswer(t *testing.T, req Request) Answer {
	t.Helper()
	select {
	case ans := <-req.Reply.Answer():
		return ans
	default:
		t.Fatal("no answer")
		return Answer{}
	}
}

func mustNotAnswer(t *testing.T, req Request) {
	t.Helper()
	select {
	case ans := <-req.Reply.Answer():
		t.Fatalf("unexpected answer: %+v", ans)
	default:
	}
}

// startPlay requests a play, lets its node start it and returns the answer.
func startPlay(t *testing.T, c *Core, out *fakeTransport, req Request) Answer {
	t.Helper()
	c.RequestPlay(readyTime, req)
	allocation := out.last(t)
	c.Started(readyTime, allocation.Ref, 7, int64(len(out.setUps)), allocation.Rung, decision.UnknownLoad)
	ans := mustAnswer(t, req)
	if ans.Verdict != Started {
		t.Fatalf("got %+v", ans)
	}
	return ans
}

func TestPlayIsAnsweredOnceWhenItStarts(t *testing.T) {
	c, out := newTestCore(2)
	a := newRequest(0, "v")
	c.RequestPlay(readyTime, a)
	mustNotAnswer(t, a)
	s := out.last(t)
	c.Started(readyTime, s.Ref, 7, 1, s.Rung, decision.UnknownLoad)
	if x := mustAnswer(t, a); x.Verdict != Started || x.Node != fmt.Sprint("n", s.Node) {
		t.Fatalf("got %+v", x)
	}
	c.Started(readyTime, s.Ref, 7, 1, s.Rung, decision.UnknownLoad) // a repeated report of the start is treated as an orphan
	if len(out.ends) != 1 || c.Counts().Orphans != 1 {
		t.Fatalf("ends %v", out.ends)
	}
}

// The answer and the withdrawal of a request race. Whichever uses the reply first counts.
func TestAnswerAndWithdrawalRace(t *testing.T) {
	c, out := newTestCore(1)
	a := newRequest(0, "v")
	c.RequestPlay(readyTime, a)
	s := out.last(t)
	if !a.Reply.Withdraw() {
		t.Fatal("could not withdraw an unused reply")
	}
	c.Started(readyTime, s.Ref, 7, 1, s.Rung, decision.UnknownLoad) // after the withdrawal, so that the play must be ended
	if len(out.ends) != 1 || c.Counts().Active != 0 {
		t.Fatalf("ended at nodes: %v, plays left: %d", out.ends, c.Counts().Active)
	}
	c.RequestWithdrawn(readyTime, a.Reply)

	b := newRequest(0, "w")
	startPlay(t, c, out, b)
	if b.Reply.Withdraw() {
		t.Fatal("withdrew a reply that was already answered")
	}
	c.RequestWithdrawn(readyTime, b.Reply)
	if c.Counts().Active != 1 {
		t.Fatal("a play that was answered was ended by a late withdrawal")
	}
}

func TestPaidPlayThatMayHaveRunIsNotRetried(t *testing.T) {
	for outcome, retried := range map[decision.Outcome]bool{decision.Rejected: true, decision.NoConnect: true, decision.NotSent: true,
		decision.Errored: false, decision.ConnectionLost: false, decision.NoAnswer: false} {
		c, out := newTestCore(3)
		a := newRequest(1, "v")
		c.RequestPlay(readyTime, a)
		c.SetUpEnded(readyTime, out.last(t).Ref, outcome, decision.UnknownLoad)
		if retried != (len(out.setUps) == 2) {
			t.Fatalf("outcome %d: %d set-ups", outcome, len(out.setUps))
		}
		if !retried && mustAnswer(t, a).Verdict != Failed {
			t.Fatalf("outcome %d: not answered as failed", outcome)
		}
	}
}

// A viewer who leaves during the set-up keeps its seat until the node has answered, as the play may have started.
func TestSeatIsFreedOnlyWhenSetUpEnds(t *testing.T) {
	c, out := newTestCore(1)
	a, b := newRequest(1, "v"), newRequest(1, "w")
	c.RequestPlay(readyTime, a)
	c.RequestPlay(readyTime, b)
	a.Reply.Withdraw()
	c.RequestWithdrawn(readyTime, a.Reply)
	if len(out.canceled) != 1 || c.Counts().Active != 2 {
		t.Fatalf("canceled: %v", out.canceled)
	}
	x := newRequest(1, "x")
	c.RequestPlay(readyTime, x)
	if mustAnswer(t, x).Verdict != Declined {
		t.Fatal("a third play was not declined although both seats are in use")
	}
	c.SetUpEnded(readyTime, out.setUps[0].Ref, decision.Canceled, decision.UnknownLoad)
	y := newRequest(1, "y")
	c.RequestPlay(readyTime, y)
	mustNotAnswer(t, y)
}

func TestConcurrentRequestOfSameViewerIsDenied(t *testing.T) {
	c, out := newTestCore(1)
	a, b := newRequest(0, "v"), newRequest(0, "v")
	c.RequestPlay(readyTime, a)
	c.RequestPlay(readyTime, b)
	if x := mustAnswer(t, b); x.Verdict != Denied || !x.Busy || len(out.setUps) != 1 {
		t.Fatalf("got %+v", x)
	}
	mustNotAnswer(t, a)
}

func TestRequestsWithToken(t *testing.T) {
	c, out := newTestCore(2)
	first := newRequest(0, "v")
	x := startPlay(t, c, out, first)
	returning := func(notDelivered bool, id string) Request {
		a := newRequest(0, "v")
		a.Previous = &Previous{Play: id, NotDelivered: notDelivered}
		return a
	}
	a := returning(false, x.Play)
	c.RequestPlay(readyTime, a)
	if y := mustAnswer(t, a); y.Verdict != Started || y.Play != x.Play || len(out.setUps) != 1 {
		t.Fatalf("token of a running play: want the same play again, got %+v", y)
	}
	a = returning(true, x.Play)
	c.RequestPlay(readyTime, a)
	if len(out.setUps) != 2 || len(out.ends) != 1 {
		t.Fatal("token of a play that is not delivered: want the play ended at its node and a new set-up")
	}
	s := out.last(t)
	c.Started(readyTime, s.Ref, 7, 2, s.Rung, decision.UnknownLoad)
	y := mustAnswer(t, a)
	a = returning(false, x.Play)
	c.RequestPlay(readyTime, a)
	if z := mustAnswer(t, a); z.Verdict != Denied {
		t.Fatalf("a token that was already used to return: want denied, got %+v", z)
	}
	c.EndPlay(readyTime, y.Play)
	a = returning(false, y.Play)
	c.RequestPlay(readyTime, a)
	if z := mustAnswer(t, a); z.Verdict != Denied {
		t.Fatalf("token of a play that its viewer ended: want denied, got %+v", z)
	}
	a = returning(false, "f-e-99999")
	c.RequestPlay(readyTime, a)
	if z := mustAnswer(t, a); z.Verdict != Denied {
		t.Fatalf("token of a play that is no longer remembered: want denied, got %+v", z)
	}
	a = returning(false, "other-1-1") // of another front end or an earlier run: set up anew
	c.RequestPlay(readyTime, a)
	mustNotAnswer(t, a)
}

func TestDeclinedRequestDoesNotUseUpToken(t *testing.T) {
	c, out := newTestCore(2)
	x := startPlay(t, c, out, newRequest(0, "v"))
	c.PlayEnded(readyTime, Ref{x.Play, 0, out.last(t).Node}, decision.ConnectionLost)
	for range 2 {
		a := newRequest(0, "v")
		a.CellCount = 0 // no holder, so that the request is declined
		a.Previous = &Previous{Play: x.Play}
		c.RequestPlay(readyTime, a)
		if y := mustAnswer(t, a); y.Verdict != Declined {
			t.Fatalf("got %+v", y)
		}
	}
}

func TestEndReportedBeforeStart(t *testing.T) {
	c, out := newTestCore(1)
	a := newRequest(0, "v")
	c.RequestPlay(readyTime, a)
	s := out.last(t)
	c.PlayEnded(readyTime, s.Ref, decision.Served)
	c.Started(readyTime, s.Ref, 7, 1, s.Rung, decision.UnknownLoad)
	if mustAnswer(t, a).Verdict != Started || c.Counts().Active != 0 {
		t.Fatal("want the play answered as playing and then ended")
	}
}

func TestRungChangedDuringSetUpIsSentAgain(t *testing.T) {
	c, out := newTestCore(1)
	a := newRequest(0, "v")
	c.RequestPlay(readyTime, a)
	s := out.last(t)
	c.Started(readyTime, s.Ref, 7, 1, s.Rung+1, decision.UnknownLoad)
	if len(out.rungs) != 1 || out.rungs[0] != s.Rung {
		t.Fatalf("rungs sent: %v", out.rungs)
	}
}

func TestStreamOpenedReconcilesPlays(t *testing.T) {
	c, out := newTestCore(1)
	kept, lost, recent := startPlay(t, c, out, newRequest(0, "a")), startPlay(t, c, out, newRequest(0, "b")), startPlay(t, c, out, newRequest(0, "c"))
	running := []ReportedPlay{{Play: kept.Play, Epoch: 0xe}, {Play: "f-e-77", Epoch: 0xe, Attempt: 1},
		{Play: "f-d-5", Epoch: 0xd, Attempt: 2, Title: "clip", CellCount: 4, Viewer: "old", Rung: 1, MaxRung: 2, RungSeq: 4},
		{Play: "f-d-6", Epoch: 0xd, Product: -1, Title: "gone", Viewer: "x"}}
	c.StreamOpened(readyTime, 0, "", 7, 2, running) // reported before the third play started
	if c.plays[kept.Play] == nil || c.plays[lost.Play] != nil || c.plays[recent.Play] == nil {
		t.Fatal("want exactly the play lost that is missing from the report and was set up before it")
	}
	if p := c.plays["f-d-5"]; p == nil || p.stage != playing || p.rung != 1 || c.Counts().Adopted != 1 {
		t.Fatal("want the play of an earlier run adopted")
	}
	if len(out.ends) != 2 || out.ends[0].Play != "f-e-77" || out.ends[1].Play != "f-d-6" {
		t.Fatalf("ended at the node: %v, want the play of this run that is not known and the play without a product", out.ends)
	}
	c.PlayEnded(readyTime, Ref{"f-d-5", 2, 0}, decision.Served)
	c.StreamOpened(readyTime, 0, "", 8, 0, nil) // the node was restarted
	if c.Counts().Active != 0 {
		t.Fatalf("%d plays left after the node's restart", c.Counts().Active)
	}
}

func TestPlaysOfDisconnectedNodeEndWithLease(t *testing.T) {
	c, out := newTestCore(1)
	startPlay(t, c, out, newRequest(0, "v"))
	c.StreamBroke(readyTime, 0, false)
	c.Wake(readyTime + liveness.Lease)
	if c.Counts().Active != 1 {
		t.Fatal("play counted as lost while the node may still run it")
	}
	c.Wake(readyTime + 2*liveness.Lease)
	if c.Counts().Active != 0 || c.Counts().Broken != 1 {
		t.Fatal("want the play lost after its lease has expired")
	}
}

func TestRequestsAreDeclinedBeforeReady(t *testing.T) {
	out := &fakeTransport{dials: map[int]int64{}}
	c := NewCore(startTime, "f", 1, placement.New(policySettings(), 1), out, testProducts{}, 1)
	a := newRequest(0, "v")
	c.RequestPlay(startTime, a)
	if x := mustAnswer(t, a); x.Verdict != Declined || x.RetryAfter == 0 {
		t.Fatalf("got %+v", x)
	}
}

func TestLaterCallDoesNotPostponeWake(t *testing.T) {
	c, _ := newTestCore(1)
	c.Wake(readyTime)
	due := c.WakeAt()
	for i := range int64(100) {
		c.DeliveryReported(readyTime+i, Ref{"x", 0, 0}, 1)
		a := newRequest(0, fmt.Sprint("v", i))
		a.CellCount = 0
		c.RequestPlay(readyTime+i, a)
	}
	if c.WakeAt() != due {
		t.Fatalf("wake-up due at %d was postponed to %d", due, c.WakeAt())
	}
}

func TestNumberOfRemovedNodeIsReused(t *testing.T) {
	c, out := newTestCore(2)
	c.UpdateList(readyTime, []NodeEntry{{Name: "n0", Address: "a0", Phase: decision.Gone}}, false)
	c.Wake(readyTime + decision.Second)
	c.StreamBroke(readyTime+decision.Second, 0, false)
	if len(out.closedStreams) != 1 {
		t.Fatal("the stream of a removed node was not closed")
	}
	c.Wake(readyTime + 20*decision.Second)
	if c.Counts().Nodes != 1 {
		t.Fatalf("%d nodes known", c.Counts().Nodes)
	}
	c.UpdateList(readyTime+21*decision.Second, []NodeEntry{{Name: "new", Address: "b", Cell: 0, Weight: 1}}, false)
	if len(c.nodes) != 2 || c.nodes[0].name != "new" {
		t.Fatalf("nodes %+v", c.nodes)
	}
}

// runPlays starts and ends n plays, each of a viewer of its own, and returns the size of the heap and the counters.
func runPlays(t testing.TB, n int) (heap uint64, counts Counts) {
	c, out := newTestCore(4)
	now := int64(readyTime)
	for i := range n {
		now += 300 // 33 plays a second
		a := Request{Title: fmt.Sprint("t", i%5000), CellCount: 4, Viewer: fmt.Sprint("v", i), Deadline: now + 4*decision.Second, MaxRung: 2, Reply: NewReply()}
		c.RequestPlay(now, a)
		if len(out.setUps) > 0 {
			counts := out.setUps[0]
			out.setUps = out.setUps[:0]
			c.Started(now, counts.Ref, 7, int64(i), counts.Rung, decision.UnknownLoad)
			c.PlayEnded(now+10, counts.Ref, decision.Served)
		}
		if now >= c.WakeAt() {
			c.Wake(now)
			for at := range c.nodes {
				c.StreamActive(now, at)
			}
		}
		out.ends, out.rungs, out.canceled, out.closedStreams = out.ends[:0], out.rungs[:0], out.canceled[:0], out.closedStreams[:0]
		out.finished = out.finished[:0]
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	counts = c.Counts()
	if counts.Started != uint64(n) {
		t.Fatalf("%d of %d plays started", counts.Started, n)
	}
	return m.HeapAlloc, counts
}

func TestMemoryStaysBounded(t *testing.T) {
	n := 150_000
	if soak := *soakPlays; soak > 0 {
		n = soak
	}
	_, s := runPlays(t, n)
	if s.Viewers > 1000 || s.Titles > 5000 || s.EndedKept > 25_000 || s.Active != 0 {
		t.Fatalf("after %d plays: %+v", n, s)
	}
	if *soakPlays > 0 {
		heap, _ := runPlays(t, n)
		t.Logf("%d plays: heap %.1f MB, %+v", n, float64(heap)/1e6, s)
	}
}

func TestShutdown(t *testing.T) {
	c, out := newTestCore(2)
	startPlay(t, c, out, newRequest(0, "plays"))
	paid, safe := newRequest(1, "paid"), newRequest(0, "safe")
	c.RequestPlay(readyTime, paid)
	c.RequestPlay(readyTime, safe)
	c.BeginShutdown(readyTime, readyTime+2*decision.Second)
	mustNotAnswer(t, paid) // both set-ups are in flight, so that their nodes' answers are awaited
	mustNotAnswer(t, safe)
	late := newRequest(0, "late")
	c.RequestPlay(readyTime, late)
	if x := mustAnswer(t, late); x.Verdict != Declined || x.RetryAfter == 0 {
		t.Fatalf("new request during shutdown: %+v", x)
	}
	c.Close(readyTime + 2*decision.Second)
	if mustAnswer(t, paid).Verdict != Failed || mustAnswer(t, safe).Verdict != Declined || len(out.canceled) != 2 {
		t.Fatalf("after Close: canceled %v", out.canceled)
	}
	c.Started(readyTime+2*decision.Second, out.setUps[1].Ref, 7, 9, 1, decision.UnknownLoad) // the paid play starts nevertheless
	if len(out.ends) != 1 {
		t.Fatalf("want a play that starts after Close ended at its node, got %v", out.ends)
	}
	c.ReleasePlays(readyTime, readyTime+2*decision.Second)
	if len(out.ends) != 2 {
		t.Fatalf("want the running play ended by ReleasePlays, got %v", out.ends)
	}
}

func TestTokenOfMovedPlayIsValidOnce(t *testing.T) {
	c, out := newTestCore(2)
	x := startPlay(t, c, out, newRequest(0, "v"))
	c.execute(readyTime, &decision.Result{Orders: []decision.Order{{Play: c.plays[x.Play].handle, Action: decision.Move}}})
	if len(out.ends) != 1 || c.Counts().Active != 0 {
		t.Fatalf("want the moved play ended at its node, got %v", out.ends)
	}
	returning := func() Request {
		a := newRequest(0, "v")
		a.Previous = &Previous{Play: x.Play}
		return a
	}
	a := returning()
	c.RequestPlay(readyTime, a)
	s := out.last(t)
	c.Started(readyTime, s.Ref, 7, 2, s.Rung, decision.UnknownLoad)
	if y := mustAnswer(t, a); y.Verdict != Started || y.Play == x.Play {
		t.Fatalf("first return: want a new play, got %+v", y)
	}
	a = returning()
	c.RequestPlay(readyTime, a)
	if y := mustAnswer(t, a); y.Verdict != Denied || len(out.setUps) != 2 {
		t.Fatalf("second return: want denied, got %+v", y)
	}
}

func TestRecordedPlaysOccupySeatsUntilNodesReport(t *testing.T) {
	out := &fakeTransport{dials: map[int]int64{}}
	c := NewCore(startTime, "f", 2, placement.New(policySettings(), 1), out, testProducts{}, 1)
	recorded := func(play, node string) RecordedPlay {
		return RecordedPlay{ReportedPlay{Play: play, Epoch: 1, Product: 1, Title: "clip", CellCount: 4, Viewer: play, Rung: 1, MaxRung: 2}, node, true}
	}
	c.Recover(startTime, []RecordedPlay{recorded("a", "n0"), recorded("b", "n1"), recorded("gone", "n9")}, nil, 0)
	if c.Ready(startTime) {
		t.Fatal("ready without a node list")
	}
	var entries []NodeEntry
	for i := range 3 {
		entries = append(entries, NodeEntry{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Cell: i, Weight: 1})
	}
	c.UpdateList(startTime, entries, true)
	if !c.Ready(startTime) || c.Counts().Active != 2 || len(out.finished) != 1 || out.finished[0] != "gone" {
		t.Fatalf("ready %v, %+v, finished %v", c.Ready(startTime), c.Counts(), out.finished)
	}
	full := newRequest(1, "w")
	c.RequestPlay(startTime, full)
	if mustAnswer(t, full).Verdict != Declined {
		t.Fatal("a third play was not declined although both seats are in use")
	}
	c.StreamOpened(startTime, 0, "", 7, 3, []ReportedPlay{{Play: "a", Epoch: 1, Product: 1, Title: "clip", CellCount: 4, Viewer: "a", Rung: 2, RungSeq: 5, MaxRung: 2}})
	c.StreamOpened(startTime, 1, "", 7, 3, nil) // the node doesn't run play b
	if p := c.plays["a"]; p == nil || p.rung != 2 || p.rungSeq != 5 || c.plays["b"] != nil {
		t.Fatal("want play a with the node's rung and sequence number, and play b lost")
	}
	free := newRequest(1, "x")
	c.RequestPlay(startTime, free)
	mustNotAnswer(t, free)
}
