package placement

import (
	"math"
	"testing"

	"gullrail/decision"
)

func TestDeclinedAtOnceWhenNobodyHoldsTheTitle(t *testing.T) {
	f := fleet(2)
	w := want(0)
	w.FirstCell, w.CellCount = 2, 2
	h, r := f.AddPlay(now, w)
	if o := sole(t, r); o.Action != decision.Decline || o.RetryAfter != 5000 {
		t.Fatalf("got %+v", o)
	}
	if f.plays.Get(h) != nil {
		t.Fatal("an answered play is still in hand")
	}
}

func TestStaleHandleDoesNothing(t *testing.T) {
	f := fleet(1)
	h, _ := f.AddPlay(now, want(0))
	f.AttemptEnded(now, h, 0, decision.Served, true, decision.UnknownLoad)
	if r := f.AttemptEnded(now, h, 0, decision.Errored, false, decision.UnknownLoad); len(r.Orders) != 0 {
		t.Fatalf("got %+v", r.Orders)
	}
}

func TestExploresLessAsSamplesGrow(t *testing.T) {
	f := fleet(2)
	f.kinds[0], f.kinds[1] = kind{50, 50}, kind{50, -50}
	f.samples = 10000
	better := 0
	for range 400 {
		if at, _ := f.choose(now, &ply{want: want(0), try: -1}); at == 0 {
			better++
		}
	}
	// epsFloor explores 5%, half of that on the worse kind.
	if better < 370 || better == 400 {
		t.Fatalf("better kind taken %d times of 400", better)
	}
}

func TestKindsWithinTheTieWidthAreEqual(t *testing.T) {
	f := fleet(2)
	f.samples = 1 << 40 // explores at the floor only
	f.kinds[0], f.kinds[1] = kind{10, 5}, kind{10, 4.2}
	f.nodes[0].link = account{now, 0.4, 0}
	other := 0
	for range 100 {
		if at, _ := f.choose(now, &ply{want: want(0), try: -1}); at == 1 {
			other++
		}
	}
	if other < 90 {
		t.Fatalf("roomier node of a tied kind taken %d times of 100", other)
	}
}

func TestUnsampledKindCountsAsTheMean(t *testing.T) {
	f := fleet(2)
	f.sample(0, 0.5)
	f.sample(0, -0.1)
	if m := f.mean(1); math.Abs(m-0.2) > 1e-9 {
		t.Fatalf("got %v", m)
	}
}

func TestLeastUsedWithoutRoom(t *testing.T) {
	f := fleet(3)
	for i, x := range []float64{0.97, 0.9, 0.95} {
		f.nodes[i].link = account{now, x, 0}
		f.nodes[i].kind = 0
	}
	f.nodes[1].link.at = never // known for long: never a reason to turn away
	if at, _ := f.choose(now, &ply{want: want(0), try: -1}); at != 1 {
		t.Fatalf("took node %d", at)
	}
}

func TestViewersLeftNodeIsSkipped(t *testing.T) {
	f := fleet(2)
	f.viewers = []viewer{{left: 1, leftAt: now - skipFor/2, movedAt: never}}
	for range 50 {
		if at, _ := f.choose(now, &ply{want: want(0), try: -1}); at != 1 {
			t.Fatal("the node left was taken again")
		}
	}
}

func TestOwnZoneFirstAmongEqualRungs(t *testing.T) {
	f := fleet(2)
	f.nodes[0].zone = 1
	for range 50 {
		if at, _ := f.choose(now, &ply{want: want(0), try: -1}); at != 1 {
			t.Fatal("crossed zones for the same rung")
		}
	}
}

func TestPayoffOnceAtTenSecondsAndForFailures(t *testing.T) {
	f := fleet(1)
	playingAt(f, 0, 0, 0, now-payoffAt)
	f.nodes[0].share, f.nodes[0].shareAt = 0.8, now
	f.Wake(now)
	f.Wake(now + 1)
	if k := f.kinds[0]; k.count != 1 || math.Abs(k.sum-0.6) > 1e-9 {
		t.Fatalf("got %+v", k)
	}
	f.nodes[0].share = 1
	h, _ := f.AddPlay(now, want(0))
	f.AttemptEnded(now, h, 0, decision.Errored, false, decision.UnknownLoad)
	if k := f.kinds[0]; k.count != 2 || math.Abs(k.sum+0.4) > 1e-9 {
		t.Fatalf("after a failure: %+v", k)
	}
}

func TestSetUpKeepsLinkAndUplinkUnderTheMark(t *testing.T) {
	f := fleet(1)
	f.nodes[0].link = account{now, 0.6, 0}
	if r := f.fit(now, 0, &ply{want: want(0)}, f.room(now, 0)); r != 1 {
		t.Fatalf("link at 0.6: rung %d", r)
	}
	f.set["uplink.rate"] = []float64{850}
	if r := f.fit(now, 0, &ply{want: want(0)}, f.room(now, 0)); r != 0 {
		t.Fatalf("uplink near full: rung %d", r)
	}
}

func TestRungsKeepTheirSpacing(t *testing.T) {
	f := fleet(1)
	f.level = 0
	f.nodes[0].link = account{now, 0, 0}
	if r := f.fit(now, 0, &ply{want: want(0)}, 1e9); r != 1 {
		t.Fatalf("rung %v over plays at 0", r)
	}
}

func TestAccountHoldsReportAndOwnChangesSince(t *testing.T) {
	f := fleet(1, alone)
	playingAt(f, 0, 0, 1, 0)
	f.report(now, 0, decision.Load{Streams: -1, Link: 0.5, Uplink: -1}, reportLag, 0)
	playingAt(f, 0, 0, 1, now)
	if a := f.linkAsked(now, 0); math.Abs(a-0.7) > 1e-9 {
		t.Fatalf("got %v", a)
	}
	f.nodes[0].link.asked = 0.1
	if a := f.linkAsked(now, 0); math.Abs(a-0.4) > 1e-9 {
		t.Fatalf("own plays alone ask 0.4, got %v", a)
	}
}

// A start on a link of which nothing was known is set right by the figure that comes with it, as far as steps down are due.
func TestAStartIsSetRightByItsFirstFigure(t *testing.T) {
	for asked, rung := range map[float64]int{0.5: 2, overMark: 2, 1.5: 0} {
		f := fleet(1)
		f.nodes[0].cutAt = now // a step down for another play does not show yet
		h, r := f.AddPlay(now, want(0))
		if o := sole(t, r); o.Rung != 2 {
			t.Fatalf("blind at rung %d", o.Rung)
		}
		f.nodes[0].cutFor = 2
		f.LoadReported(now+50*ms, h, decision.Load{Streams: -1, Link: asked, Uplink: -1})
		if p := f.plays.Get(h); p.rung != rung {
			t.Errorf("asked %v: rung %d, not %d", asked, p.rung, rung)
		}
		f.AttemptStarted(now+60*ms, h, 0)
		f.LoadReported(now+2*sec, h, decision.Load{Streams: -1, Link: 1.9, Uplink: -1}) // a later one is for all there, by their parts
		if p := f.plays.Get(h); p.rung != rung {
			t.Errorf("asked %v, then 1.9: rung %d, not %d", asked, p.rung, rung)
		}
	}
}

// One that knew a figure as fresh is one of all there: they step down by their parts.
func TestAStartByAFreshFigureIsNotSetRight(t *testing.T) {
	for age, rung := range map[int64]int{sec: 2, freshFor + 1: 0} {
		f := fleet(1)
		f.nodes[0].link, f.nodes[0].cutAt, f.nodes[0].cutFor = account{now, 0.1, 0}, now, 2
		h, r := f.AddPlay(now+age, want(0))
		if o := sole(t, r); o.Rung != 2 {
			t.Fatalf("at rung %d", o.Rung)
		}
		f.LoadReported(now+age, h, decision.Load{Streams: -1, Link: 1.5, Uplink: -1})
		if p := f.plays.Get(h); p.rung != rung {
			t.Errorf("by a figure of %v s: rung %d, not %d", float64(age)/float64(sec), p.rung, rung)
		}
	}
}

// A link that sinks on before a step down can show is cut for again, by no more than it sank.
func TestALinkThatSinksOnIsCutAgain(t *testing.T) {
	f := fleet(1, alone, func(set map[string][]float64) { set["rung.rate"] = []float64{1, 2, 4} }) // fine steps
	for range 300 {
		playingAt(f, 0, 0, 2, 0)
	}
	n, was := &f.nodes[0], f.nodes[0].own
	tell := func(at int64, share, left float64) {
		t.Helper()
		f.DeliveryReported(at, f.nodes[0].plays[0], share)
		if got := n.own / was; math.Abs(got-left) > 0.01 {
			t.Fatalf("share %v: %.3f of the rates are left, not %.3f", share, got, left)
		}
	}
	tell(now, 0.95, cutTo*0.95)
	tell(now+sec, 0.95, cutTo*0.95) // it says no more than before
	tell(now+2*sec, 0.6, cutTo*0.6)
	tell(now+2*sec+500*ms, 0.8, cutTo*0.6)                                    // it shows
	tell(now+2*sec+int64(f.val("note.lag"))+settle, 0.8, cutTo*0.6*cutTo*0.8) // all of it: short again
}

func TestCutStepsDownThoseThatLoseLeast(t *testing.T) {
	f := fleet(1)
	a, _ := playingAt(f, 0, 0, 2, 0)
	b, _ := playingAt(f, 0, 1, 2, 0)
	high, dear := f.plays.Get(a), f.plays.Get(b)
	f.begin()
	f.cut(now, 0, 1.3, overMark)
	if high.rung == 2 || dear.rung != 2 {
		t.Fatalf("rungs %d and %d", high.rung, dear.rung)
	}
	before := f.nodes[0].own
	f.cut(now+sec, 0, 1.3, overMark)
	if f.nodes[0].own != before {
		t.Fatal("cut again before the first could show")
	}
}

func TestRaiseTakesThisFrontsPart(t *testing.T) {
	f := fleet(1)
	for range 8 {
		playingAt(f, 0, 0, 0, 0)
	}
	f.nodes[0].link = account{now, 0.2, f.nodes[0].own}
	f.begin()
	f.raise(now, 0)
	// Own plays ask 0.8, so room is 50: too little for a step of 100.
	if len(f.res.Orders) != 0 {
		t.Fatalf("raised past the mark: %+v", f.res.Orders)
	}
	f.set["weight.rate"] = []float64{2000}
	f.nodes[0].link.asked = 0.6
	f.raise(now, 0) // room 500, own plays ask two thirds: part 333
	if n := len(f.res.Orders); n < 3 || n > 4 {
		t.Fatalf("%d steps", n)
	}
}

func TestStepUpOnceInTenSeconds(t *testing.T) {
	f := fleet(1)
	_, p := playingAt(f, 0, 0, 0, 0)
	p.raised = now - upEvery/2
	f.begin()
	f.raise(now, 0)
	if p.rung != 0 {
		t.Fatal("stepped up twice in ten seconds")
	}
}

func TestShedMovesOneOnceStepsDownAreDone(t *testing.T) {
	f := fleet(2)
	playingAt(f, 0, 0, 0, 0)
	_, p := playingAt(f, 0, 0, 1, 0)
	n := &f.nodes[0]
	n.share, n.shareAt, n.shortFrom = 0.8, now, now-checkGap
	f.begin()
	f.shed(now, 0)
	if count(&f.res, decision.Move) != 0 {
		t.Fatal("moved while a step down was left")
	}
	f.rerate(p, 0)
	f.shed(now, 0)
	f.shed(now+sec, 0)
	if count(&f.res, decision.Move) != 1 {
		t.Fatalf("got %+v", f.res.Orders)
	}
	n.shareAt = now + shedEvery
	f.shed(now+shedEvery, 0)
	n.shareAt = now + 2*shedEvery
	f.shed(now+2*shedEvery, 0)
	if count(&f.res, decision.Move) != 2 {
		t.Fatalf("a viewer was moved twice in 5 min: %+v", f.res.Orders)
	}
}

func TestUplinkInferredFromItsRack(t *testing.T) {
	f := fleet(4) // cells 0 and 2 share a rack
	playingAt(f, 0, 0, 2, 0)
	playingAt(f, 2, 0, 2, 0)
	f.begin()
	f.short(now, 0, 0.9)
	f.short(now, 2, 0.9)
	if got := f.uplink(now, 0); math.Abs(got-0.9*f.rackSum(now, 0)) > 200 || f.racks[1].seen.at != 0 {
		t.Fatalf("uplink counts as %v", got)
	}
}

func TestShortLinkRegainsRoomSlowly(t *testing.T) {
	seen := memory{500, now}
	if a, b := regained(now+5*sec, seen, 1000), regained(now+regain, seen, 1000); a > 530 || b < 1000 {
		t.Fatalf("after 5 s %v, after regain %v", a, b)
	}
}

func TestSickNodeIsSkippedAndLongerTheNextTime(t *testing.T) {
	f := fleet(1)
	at := int64(now)
	for _, skip := range []int64{skipFor, 2 * skipFor} {
		f.judge(at, 0, decision.Errored)
		if f.nodes[0].skipUntil != at+skip {
			t.Fatalf("skipped for %d", f.nodes[0].skipUntil-at)
		}
		at += skip
	}
	w := want(0)
	w.Deadline = at + 4*sec
	h, _ := f.AddPlay(at, w)
	f.AttemptStarted(at, h, 0)
	if f.nodes[0].strikes != 0 {
		t.Fatal("still counted as sick after a success")
	}
}

func TestRefusingNodeIsLeftAlone(t *testing.T) {
	f := fleet(1)
	f.judge(now, 0, decision.Rejected)
	if f.nodes[0].skipUntil != now+refusedFor {
		t.Fatalf("skipped for %d", f.nodes[0].skipUntil-now)
	}
}

func TestFullLinkOfPlaysOnTheirFloorsTakesNoMore(t *testing.T) {
	f := fleet(1)
	_, p := playingAt(f, 0, 0, 0, 0)
	f.nodes[0].link = account{now, 1.0, f.nodes[0].own}
	if !f.full(now, 0, f.used(now, 0), 100) {
		t.Fatal("one more on a link all asked for")
	}
	f.rerate(p, 2)
	if f.full(now, 0, f.used(now, 0), 100) {
		t.Fatal("turned away though a play can step down")
	}
	f.rerate(p, 0)
	if f.full(now+fullFor+1, 0, f.used(now, 0), 100) {
		t.Fatal("turned away on an old figure")
	}
}

func TestPaidPlayThatMayHaveRunFails(t *testing.T) {
	f := fleet(2)
	h, r := f.AddPlay(now, want(1))
	if o := sole(t, r); o.Until != now+4*sec {
		t.Fatalf("a paid play waits to its limit, got %+v", o)
	}
	if o := sole(t, f.AttemptEnded(now, h, 0, decision.Errored, false, decision.UnknownLoad)); o.Action != decision.Fail {
		t.Fatalf("got %+v", o)
	}
}

func TestPaidPlayIsSentAgainOnProof(t *testing.T) {
	f := fleet(2)
	h, _ := f.AddPlay(now, want(1))
	if o := sole(t, f.AttemptEnded(now, h, 0, decision.NoConnect, false, decision.UnknownLoad)); o.Action != decision.Place {
		t.Fatalf("got %+v", o)
	}
}

func TestSafePlayLeavesTimeForAnother(t *testing.T) {
	f := fleet(2)
	_, r := f.AddPlay(now, want(0))
	if o := sole(t, r); o.Until != now+sec/2 {
		t.Fatalf("until %d after", o.Until-now)
	}
}

func TestBudgetOfFurtherAllocations(t *testing.T) {
	f := fleet(1)
	p := &ply{want: want(0), try: 0}
	f.taken = []int64{now - 9*sec, now}
	f.again = []int64{now - 9*sec}
	if !f.mayAgain(now, p) {
		t.Fatal("second of two free ones was withheld")
	}
	f.again = append(f.again, now)
	if f.mayAgain(now, p) {
		t.Fatal("third within the window was allowed")
	}
	if !f.mayAgain(now+2*sec, p) {
		t.Fatal("one that left the window still counts")
	}
}

func TestDrainingNodeGetsNothing(t *testing.T) {
	f := fleet(1)
	f.UpdateNodes(now, []decision.Node{{Index: 0, Phase: decision.Draining, Weight: 1}}, false)
	if _, r := f.AddPlay(now, want(0)); sole(t, r).Action != decision.Decline {
		t.Fatal("a draining node was given a play")
	}
}

func TestColdNodeIsPacedByTurns(t *testing.T) {
	one, two := fleet(1), fleet(1, func(s map[string][]float64) { s["front"] = []float64{1} })
	sent := 0
	for _, f := range []*Policy{one, two} {
		f.nodes[0].started, f.nodes[0].slot = now, -1
	}
	most, window := 0, []int64{}
	for at := int64(now); at < now+12*sec; at += 100 {
		for _, f := range []*Policy{one, two} {
			if f.pace(at, 0) {
				f.nodes[0].slot, _ = f.turnOf(at, 0)
				window = append(window, at)
				sent++
			}
		}
		window = since(window, at-int64(one.val("fall.over")))
		most = max(most, len(window))
	}
	// 2.5 times 20 streams in 12 s at 0.4 or more: 1.7 in the first second, 4.2 in the last.
	if most > 4 || sent < 6 {
		t.Fatalf("%d in one window, %d in all", most, sent)
	}
}

// TestColdNodesAreRampedByAllFronts holds what all fronts together may send to a cold node in any window to the budget, with what the
// protocol puts down to chance, however many they are: all ask all the time, some are started anew inside the turn that they
// have used, and a third learn of the start late.
func TestColdNodesAreRampedByAllFronts(t *testing.T) {
	for _, fronts := range []int{2, 30, 300} {
		var all []*Policy
		for i := range fronts {
			f := fleet(1, func(s map[string][]float64) {
				s["fronts"], s["front"] = []float64{float64(fronts)}, []float64{float64(i)}
			})
			f.nodes[0].started, f.nodes[0].slot = now, -1
			all = append(all, f)
		}
		one, window, sent, restarts, anew := all[0], []int64{}, 0, 0, map[int]bool{}
		over, lasts := one.val("fall.over"), one.val("cold.lasts")
		for at := int64(now); at < now+int64(lasts); at += 100 {
			for i, f := range all {
				if i%3 == 0 && at < now+2*sec { // told late
					continue
				}
				if f.pace(at, 0) {
					f.nodes[0].slot, _ = f.turnOf(at, 0)
					window = append(window, at)
					sent++
					if !anew[i] && sent%3 == 0 { // it knows nothing of the turn that it has used
						f.nodes[0].slot, anew[i] = -1, true
						restarts++
					}
				}
			}
			window = since(window, at-int64(over))
			share := one.warmth(max(now, at-int64(over)), 0) // of the window's beginning, the least in it
			n := one.val("fall.multiple") * one.of("kind.streams", 0, 0) / lasts * share * over
			if most := n + 2*math.Sqrt(n) + 2; float64(len(window)) > most {
				t.Fatalf("%d fronts, %.1f s after the start: %d in one window, %.1f at most", fronts, float64(at-now)/float64(sec), len(window), most)
			}
		}
		if sent < 6 || restarts == 0 {
			t.Errorf("%d fronts: %d sent, %d restarts", fronts, sent, restarts)
		}
	}
}

func TestBrokenNodeComesBackCold(t *testing.T) {
	f := fleet(1)
	f.judge(now, 0, decision.ConnectionLost)
	back := int64(now + 30*sec)
	w := want(0)
	w.Deadline = back + 4*sec
	h, _ := f.AddPlay(back, w)
	f.AttemptStarted(back, h, 0)
	if w := f.warmth(back, 0); w != 0.4 {
		t.Fatalf("warmth %v right after its return", w)
	}
}

func TestSeatsCountSetUpsAndAdoptedPlays(t *testing.T) {
	f := fleet(2)
	f.AdoptPlay(now, want(1), 0)
	f.AddPlay(now, want(1))
	if _, r := f.AddPlay(now, want(1)); sole(t, r).Action != decision.Decline {
		t.Fatal("a third play on two seats")
	}
}

func TestFloorIsKept(t *testing.T) {
	f := fleet(1)
	h, _ := f.AdoptPlay(now, want(1), 0)
	if o := sole(t, f.RungReported(now, h, 0)); o.Action != decision.SetRung || o.Rung != 1 {
		t.Fatalf("got %+v", o)
	}
	f.begin()
	f.cut(now, 0, 5, overMark)
	if p := f.plays.Get(h); p.rung != 1 {
		t.Fatalf("cut to rung %d", p.rung)
	}
}

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	f := fleet(4)
	w := want(0)
	at := int64(now)
	if n := testing.AllocsPerRun(2000, func() {
		at += sec
		w.Deadline = at + 4*sec
		h, _ := f.AddPlay(at, w)
		f.AttemptStarted(at, h, 0)
		f.Wake(at)
		f.AttemptEnded(at, h, 0, decision.Served, true, decision.UnknownLoad)
	}); n != 0 {
		t.Fatalf("%v allocations a play", n)
	}
}

func TestReportOnAPlayRaisedAndCutToTheBottom(t *testing.T) {
	f := fleet(1)
	h, p := playingAt(f, 0, 0, 0, 0)
	f.setRung(now, h, p, 1)
	f.setRung(now, h, p, 0)
	f.report(now, 0, decision.Load{Streams: -1, Link: 0.5, Uplink: -1}, reportLag, 0)
	if a := f.linkAsked(now, 0); math.Abs(a-0.5) > 1e-9 {
		t.Fatalf("got %v", a)
	}
}

func TestPlayWithLittleTimeIsNotHeld(t *testing.T) {
	f := fleet(1)
	f.nodes[0].skipUntil = now + 100*ms
	w := want(0)
	if _, r := f.AddPlay(now, w); len(r.Orders) != 0 {
		t.Fatalf("want a short wait, got %+v", r.Orders)
	}
	w.Deadline = now + 100*ms
	if _, r := f.AddPlay(now, w); sole(t, r).Action != decision.Decline {
		t.Fatal("held past its limit")
	}
}

func TestOneOfManyFrontsLeavesMostMovesToOthers(t *testing.T) {
	f, moved := fleet(1), 0
	playingAt(f, 0, 0, 0, 0)
	for i := range int64(40) {
		f.viewers[1].movedAt = never
		n := &f.nodes[0]
		n.link = account{now + i*shedEvery, 1.1, n.own} // own plays ask a tenth
		n.share, n.shareAt, n.shortFrom = 0.9, n.link.at, n.link.at-checkGap
		f.begin()
		f.shed(n.link.at, 0)
		moved += count(&f.res, decision.Move)
	}
	if moved == 0 || moved > 10 {
		t.Fatalf("%d moves in 40 turns", moved)
	}
}

func TestOwnSetUpCountsAlikeAmongManyFronts(t *testing.T) {
	f := fleet(1, func(s map[string][]float64) { s["fronts"] = []float64{300} })
	f.nodes[0].link = account{now, 0.4, 0}
	playingAt(f, 0, 0, 0, now)
	if a := f.linkAsked(now, 0); a > 0.6 {
		t.Fatalf("100 of 1000 more counts as %v", a-0.4)
	}
}

func TestUnknownAndOldFiguresFadeIntoTheAverage(t *testing.T) {
	f := fleet(2)
	f.usual = 0.7
	f.nodes[0].link = account{now, 0.2, 0}
	young, old, untold := f.linkAsked(now+2*sec, 0), f.linkAsked(now+fades, 0), f.linkAsked(now, 1)
	if young > 0.25 || old != 0.7 || untold != 0.7 {
		t.Fatalf("young %v, old %v, untold %v", young, old, untold)
	}
}

func TestFrontToldNothingTakesOthersToHoldAsMuch(t *testing.T) {
	f := fleet(4, func(s map[string][]float64) { s["fronts"] = []float64{20} })
	playingAt(f, 0, 0, 1, 0)
	f.Wake(now)
	if math.Abs(f.usual-1) > 0.01 { // 200 of own, 20 fronts, 4 links of 1000
		t.Fatalf("links are taken to be asked %v", f.usual)
	}
	f.report(now, 1, decision.Load{Streams: -1, Link: 0.5, Uplink: -1}, reportLag, 0)
	f.Wake(now + 1)
	if f.usual > 0.96 {
		t.Fatalf("after a figure of 0.5 still %v", f.usual)
	}
}

func probing(set map[string][]float64) { set["probing"] = []float64{1} }

func TestLooksAtHoldersBeforePlacing(t *testing.T) {
	f := fleet(2, probing)
	h, r := f.AddPlay(now, want(0))
	if len(r.Orders) != 0 || len(r.Probes) == 0 {
		t.Fatalf("want probes before an order, got %+v", r)
	}
	for _, at := range []int{0, 1} { // node 1 is nearly full
		if len(r.Orders) != 0 {
			t.Fatalf("ordered before node %d answered: %+v", at, r.Orders)
		}
		r = f.ProbeEnded(now+10*ms, at, decision.Served, decision.Load{Streams: -1, Link: 0.1 + 0.7*float64(at), Uplink: -1})
	}
	if o := sole(t, r); o.Action != decision.Place || o.Play != h || o.Node != 0 {
		t.Fatalf("want the play placed on node 0, got %+v", o)
	}
	if p := f.plays.Get(h); p.stage != settingUp || p.node != 0 {
		t.Fatalf("placed on node %d", p.node)
	}
}

func TestPlayWithLittleTimeIsPlacedWithoutALook(t *testing.T) {
	f := fleet(2, probing)
	w := want(0)
	w.Deadline = now + 300*ms
	if _, r := f.AddPlay(now, w); len(r.Orders) != 1 || r.Orders[0].Action != decision.Place {
		t.Fatalf("got %+v", r.Orders)
	}
}

func TestLookEndsWithoutAnAnswer(t *testing.T) {
	f := fleet(2, probing)
	h, _ := f.AddPlay(now, want(0))
	f.Wake(now + lookFor)
	if p := f.plays.Get(h); p.stage != settingUp {
		t.Fatal("still waits for a probe that is not answered")
	}
}

func TestOldFigureOfOnePlayIsAskedSeldom(t *testing.T) {
	asks := func(plays int) bool {
		f := fleet(1, probing)
		for range plays {
			playingAt(f, 0, 0, 0, 0)
		}
		f.nodes[0].link, f.usual = account{now - recheck/2, 0.9, f.nodes[0].own}, 0.9
		f.begin()
		f.raise(now, 0)
		return len(f.res.Probes) > 0
	}
	if asks(1) || !asks(3) {
		t.Fatal("want a figure asked again for three plays, not yet for one")
	}
}

func TestFullUplinkNotHeardOfCountsAsTheAverage(t *testing.T) {
	f := fleet(4, func(s map[string][]float64) { s["reports.uplink"] = []float64{1} })
	for i := range int64(40) {
		f.report(now+i, 0, decision.Load{Streams: -1, Link: 0.3, Uplink: 2}, 0, 0)
	}
	if a := f.uplinkAsked(now, 1); a < 1.8 {
		t.Fatalf("an uplink of which nothing was told counts as asked %v", a)
	}
}

func TestClockAheadAndHundredsOfFrontsAndNodes(t *testing.T) {
	f := fleet(400, func(s map[string][]float64) {
		s["fronts"], s["cells"], s["racks"] = []float64{300}, []float64{400}, []float64{40}
	})
	at := int64(now)
	for range 50 { // a front that stands still for two seconds between all it hears
		w := want(1)
		w.Deadline = at + 4*sec
		h, _ := f.AddPlay(at, w)
		f.Wake(at)
		at += 2 * sec
		if p := f.plays.Get(h); p != nil && p.stage == held {
			t.Fatal("held over a stall")
		}
		f.AttemptEnded(at, h, 0, decision.NoAnswer, false, decision.UnknownLoad)
	}
	if len(f.waiting) != 0 || f.plays.Get(decision.Handle{}) != nil {
		t.Fatal("something is left over")
	}
}

func TestLinkFarBehindTheAverageMayExceedTheReach(t *testing.T) {
	f := fleet(2)
	f.level, f.usual = 0, 0.9
	f.nodes[0].link, f.nodes[1].link = account{now, 0.1, 0}, account{now, 0.6, 0}
	for at, want := range []int{2, 1} {
		_, p := playingAt(f, at, 0, 1, 0)
		f.begin()
		f.nodes[at].link.own = f.nodes[at].own
		f.raise(now, at)
		if p.rung != want {
			t.Fatalf("node %d: rung %d", at, p.rung)
		}
	}
}

func TestBlindSetUpStartsAtTheMean(t *testing.T) {
	f := fleet(2)
	f.level = 0.8
	f.nodes[0].link = account{now, 0.1, 0}
	if known, blind := int(f.reach(now, 0)), int(f.reach(now, 1)); known != 1 || blind != 1 {
		t.Fatalf("reach %d and %d at a mean of 0.8", known, blind)
	}
	f.level = 1.2
	if known, blind := int(f.reach(now, 0)), int(f.reach(now, 1)); known != 2 || blind != 1 {
		t.Fatalf("reach %d and %d at a mean of 1.2", known, blind)
	}
}

func TestNumbersAreGivenBackOnceTheyDecideNothing(t *testing.T) {
	f := fleet(2)
	f.viewers[0] = viewer{left: 1, leftAt: now, movedAt: never}
	if f.ForgetViewer(now+skipFor-1, 0) || !f.ForgetViewer(now+skipFor, 0) {
		t.Fatal("a viewer who left a node is to be known for skipFor, no longer")
	}
	f.viewers[0].movedAt = now
	if f.ForgetViewer(now+moveEvery-1, 0) || !f.ForgetViewer(now+moveEvery, 0) || f.viewers[0] != unmet {
		t.Fatal("a moved viewer is to be known for moveEvery, then blank")
	}
	h, _ := playingAt(f, 1, 0, 0, now)
	f.UpdateNodes(now, []decision.Node{{Index: 1, Cell: 1, Phase: decision.Gone}}, false)
	if f.ForgetNode(now+skipFor, 1) {
		t.Fatal("a node with a play was forgotten")
	}
	f.AttemptEnded(now, h, 0, decision.Served, true, decision.UnknownLoad)
	if f.ForgetNode(now+skipFor-1, 1) || f.ForgetNode(now+skipFor, 0) || !f.ForgetNode(now+skipFor, 1) {
		t.Fatal("only a node gone for skipFor without plays is to be forgotten")
	}
}

func TestNoProbesWhereLoadComesWithAnswers(t *testing.T) {
	f := fleet(2, probing, func(s map[string][]float64) { s["reports.answers"] = []float64{1} })
	if _, r := f.AddPlay(now, want(0)); len(r.Probes) != 0 || sole(t, r).Action != decision.Place {
		t.Fatalf("got %+v", r)
	}
}

// telling lets fronts message each other; node i has key i+10, so that front (i+10)%2 of two keeps it.
func telling(set map[string][]float64) { set["peers"] = []float64{1} }

func keyed(f *Policy) *Policy {
	for i := range f.nodes {
		f.nodes[i].key = uint32(i + 10)
		f.keys[uint32(i+10)] = i
	}
	f.heardAt = now
	return f
}

// says is a message with figures: what is asked of a link, by 64ths, and its age in tenths of a second.
func says(kind byte, key uint32, link, age, level byte) []byte {
	return []byte{kind, 0, 0, 0, byte(key), link, untold, age, level}
}

func TestAsksKeepersBeforeASetUpAndGoesByTheirWord(t *testing.T) {
	f := keyed(fleet(4, telling))
	h, r := f.AddPlay(now, want(0))
	if len(r.Orders) != 0 || len(r.Probes) != 0 || len(r.Messages) == 0 {
		t.Fatalf("want questions before an order, got %+v", r)
	}
	for _, m := range r.Messages {
		if m.To != 1 || m.Bytes[0] != asksFor || m.Bytes[4]%2 != 1 {
			t.Fatalf("asked %d: %v", m.To, m.Bytes)
		}
	}
	for at := range f.nodes { // node 1 is nearly empty, the others nearly full
		asked := byte(52)
		if at == 1 {
			asked = 13
		}
		f.MessageReceived(now+10*ms, 1, says(figures, uint32(at+10), asked, 0, untold))
	}
	if p := f.plays.Get(h); p.stage != settingUp || p.node != 1 {
		t.Fatalf("stage %d, node %d", p.stage, p.node)
	}
}

func TestLostAnswersLeaveThePlayPlaced(t *testing.T) {
	f := keyed(fleet(2, telling))
	h, r := f.AddPlay(now, want(0))
	if r.WakeAt > now+lookFor {
		t.Fatalf("asks to be woken %d after", r.WakeAt-now)
	}
	f.Wake(now + lookFor)
	if p := f.plays.Get(h); p.stage != settingUp {
		t.Fatal("still waits for an answer that was lost")
	}
	f = keyed(fleet(2, telling))
	f.heardAt = now - heardFor
	if _, r = f.AddPlay(now, want(0)); count(r, decision.Place) != 1 {
		t.Fatal("waits for answers though no message came for long")
	}
}

func TestMessagesSayNothingOfUnlistedNodesNorOlderThings(t *testing.T) {
	f := keyed(fleet(2, telling))
	f.nodes[0].link = account{now - 2*sec, 0.5, 0}
	f.MessageReceived(now, 1, says(figures, 10, 64, 30, untold)) // 3 s old, ours is younger
	if f.nodes[0].link.asked != 0.5 {
		t.Fatal("an older figure took the place of a younger one")
	}
	f.MessageReceived(now, 1, says(figures, 10, 64, 10, untold))
	if n := f.nodes[0]; n.link.asked != 1 || n.link.at != now-sec {
		t.Fatalf("got %+v", n.link)
	}
	if r := f.MessageReceived(now, 1, []byte{asksFor, 0, 0, 0, 99}); len(r.Messages) != 0 {
		t.Fatal("answered for a node that is not on the list")
	}
	if r := f.MessageReceived(now, 2, []byte{asksFor, 0, 0, 0, 10}); len(r.Messages) != 0 {
		t.Fatal("answered a front that there is not")
	}
	f.UpdateNodes(now, []decision.Node{{Index: 0, Phase: decision.Gone, Weight: 1, Key: 10}}, false)
	if r := f.MessageReceived(now, 1, []byte{asksFor, 0, 0, 0, 10}); len(r.Messages) != 0 {
		t.Fatal("answered for a node that is gone")
	}
}

func FuzzHeard(f *testing.F) {
	f.Add(0, []byte{asksFor, 0, 0, 0, 10})
	f.Add(1, says(leave, 11, 70, 3, 90))
	f.Fuzz(func(t *testing.T, from int, b []byte) {
		g := keyed(fleet(3, telling))
		h, _ := g.AddPlay(now, want(0))
		for i := range int64(3) {
			if r := g.MessageReceived(now+i*ms, from, b); len(r.Orders) > 1 {
				t.Fatalf("%v ordered %+v", b, r.Orders)
			}
		}
		if a := g.linkAsked(now+sec, 1); math.IsNaN(a) || a < 0 || a > 5 {
			t.Fatalf("%v made a link asked %v", b, a)
		}
		g.Wake(now + sec)
		if p := g.plays.Get(h); p == nil || p.stage != settingUp {
			t.Fatalf("%v kept a play from its place", b)
		}
	})
}

func TestKeeperGivesLeaveForAQuarterOfTheTurns(t *testing.T) {
	f := keyed(fleet(1, telling, func(s map[string][]float64) { s["fronts"] = []float64{300} }))
	f.born = now - 20*sec
	f.nodes[0].started, f.nodes[0].slot = now, -1
	over, given, most := int64(f.val("fall.over")), []int64{}, 0
	for at := int64(now); at < now+12*sec; at += 100 { // all fronts ask all the time
		if r := f.MessageReceived(at, 1+int(at/100)%299, []byte{asksFor, 0, 0, 0, 10}); r.Messages[0].Bytes[0] == leave {
			given = append(given, at)
		}
		given = since(given, at-over)
		most = max(most, len(given))
	}
	// 2.5 times 20 streams in 12 s at 0.4 or more: 1.7 in the first second, 4.2 in the last; a quarter of it.
	if turn, _ := f.turnOf(now+12*sec-1, 0); most > 1 || f.nodes[0].slot < turn/2 {
		t.Fatalf("%d leaves in one window, up to turn %d of %d", most, f.nodes[0].slot, turn)
	}
	g := keyed(fleet(1, telling))
	g.nodes[0].started, g.nodes[0].slot, g.born = now-6*sec, -1, now
	if r := g.MessageReceived(now+over, 1, []byte{asksFor, 0, 0, 0, 10}); r.Messages[0].Bytes[0] == leave {
		t.Fatal("a keeper just started gave leave")
	}
}

func TestLeaveLetsOnePlayOntoAColdNodeInTime(t *testing.T) {
	f := keyed(fleet(2, telling))
	n := &f.nodes[1] // kept by front 1
	n.started, n.probedAt = now-5*sec, now
	if f.pace(now, 1) {
		t.Fatal("used a cold node without leave")
	}
	g := keyed(fleet(2, telling))
	g.nodes[0].started, g.nodes[0].probedAt = now-5*sec, now
	if g.MessageReceived(now+10*ms, 1, says(leave, 10, 0, 0, untold)); g.nodes[0].leave != 0 {
		t.Fatal("took leave from a front that does not keep the node")
	}
	f.MessageReceived(now+10*ms, 1, says(leave, 11, 0, 0, untold))
	if !f.pace(now+lookFor-1, 1) || f.pace(now+lookFor, 1) {
		t.Fatal("a leave holds for lookFor since it was asked for")
	}
	f.nodes[0].phase = decision.Draining
	if _, r := f.AddPlay(now+20*ms, want(0)); count(r, decision.Place) != 1 {
		t.Fatalf("got %+v", r.Orders)
	}
	if f.pace(now+30*ms, 1) {
		t.Fatal("one leave, two set-ups")
	}
}

func TestToldLevelsLiftWhatEarnsMore(t *testing.T) {
	f := keyed(fleet(1, telling, func(s map[string][]float64) { s["rung.worth"] = []float64{0.3, 0.6, 0.9} }))
	plain, dear := &ply{want: want(0)}, &ply{want: want(1)} // of importance 1 and 2: ln 2 / ln 2 rungs apart
	if f.lift(dear) != 0 {
		t.Fatal("lifted over the mean of own plays alone")
	}
	for range int(trustOf) {
		f.MessageReceived(now, 1, says(figures, 10, 0, 0, byte((1.5+levelBase)*levelUnit)))
	}
	f.Wake(now)
	if math.Abs(f.level-1.5) > 1e-9 || math.Abs(f.lift(dear)-f.lift(plain)-1) > 1e-9 {
		t.Fatalf("level %v, lifts %v and %v", f.level, f.lift(plain), f.lift(dear))
	}
	f.Wake(now + 2*heardFor + 1)
	if f.level != 0 || f.lift(dear) != 0 {
		t.Fatal("goes by levels told long ago")
	}
}

func live(set map[string][]float64) {
	set["product.live"], set["join"], set["fronts"] = []float64{1, 0}, []float64{0.3}, []float64{100}
	set["cells"], set["racks"] = []float64{200}, []float64{20}
}

func TestFrontsGatherTheViewersOfALiveTitleAlike(t *testing.T) {
	met := map[int]bool{}
	for seed := range 60 {
		f := keyed(fleet(200, live))
		f.rnd.Float()
		for range seed {
			f.rnd.Float()
		}
		w := want(0)
		w.CellCount, w.Key = 200, 77
		h, _ := f.AddPlay(now, w)
		p := f.plays.Get(h)
		// 100 viewers that add 120 each on links of 1000: gathered at half a link, 24 of 200 nodes.
		if !p.joins || p.rung != 2 || f.rate(p, 2) > 200 {
			t.Fatalf("joins %v, rung %d, adds %v", p.joins, p.rung, f.rate(p, 2))
		}
		met[p.node] = true
	}
	if len(met) > 40 {
		t.Fatalf("60 fronts used %d of 200 nodes", len(met))
	}
	f := keyed(fleet(200, live))
	w := want(1) // of a product that is not live
	w.CellCount, w.Key = 200, 77
	h, _ := f.AddPlay(now, w)
	if p := f.plays.Get(h); p.joins || f.rate(p, 2) != 400 {
		t.Fatal("gathered a play that is not live")
	}
}

func TestJoinersKeepTheirRungWhenOthersAreCut(t *testing.T) {
	f := fleet(1, alone)
	a, _ := playingAt(f, 0, 0, 2, 0)
	_, other := playingAt(f, 0, 0, 2, 0)
	joiner := f.plays.Get(a)
	joiner.joins = true
	f.begin()
	f.cut(now, 0, 2, overMark)
	if joiner.rung != 2 || other.rung == 2 {
		t.Fatalf("rungs %d and %d", joiner.rung, other.rung)
	}
}

func TestKnownHoldersComeBeforeSupposedOnes(t *testing.T) {
	f := keyed(fleet(4, telling))
	f.samples, f.usual = 1<<40, 0.2
	f.nodes[2].link = account{now, 0.4, 0}
	for range 50 {
		if at, _ := f.choose(now, &ply{want: want(0), try: -1}); at != 2 {
			t.Fatalf("took node %d, of which nothing is known", at)
		}
	}
}

func TestAdoptedViewersOfALiveTitleJoin(t *testing.T) {
	f := keyed(fleet(10, live))
	w := want(0)
	w.CellCount, w.Key = 200, 77
	h, _ := f.AdoptPlay(now, w, 3) // 100 viewers on ten nodes
	f.RungReported(now, h, 2)
	if p := f.plays.Get(h); !p.joins || math.Abs(f.nodes[3].own-148) > 1e-6 { // 400 x (0.3 + 0.7 / 10)
		t.Fatalf("joins %v, the node counts as asked %v", p.joins, f.nodes[3].own)
	}
	f.AttemptEnded(now, h, 0, decision.Served, true, decision.UnknownLoad)
	if math.Abs(f.nodes[3].own) > 1e-6 {
		t.Fatalf("%v is left at its node", f.nodes[3].own)
	}
}

func TestStreamsStepDownOnceAllOthersStandAtTheBottom(t *testing.T) {
	f := keyed(fleet(1, live, alone))
	a, _ := playingAt(f, 0, 0, 2, now-sec)
	b, _ := playingAt(f, 0, 1, 2, now-sec)
	joiner, other := f.plays.Get(a), f.plays.Get(b)
	joiner.joins = true
	f.rerate(other, 1) // one over its floor would be 2
	for _, c := range []struct {
		level   float64
		asks    float64
		crammed bool
		rung    int
	}{{2, 1.3, false, 2}, {1, 0.97, true, 2}, {1, 1.3, true, 1}} {
		f.nodes[0].cutAt = never
		f.rerate(other, int(c.level))
		f.Wake(now)
		if f.crammed != c.crammed {
			t.Fatalf("level %v: crammed %v", f.level, f.crammed)
		}
		f.cut(now, 0, c.asks, overMark)
		if joiner.rung != c.rung {
			t.Fatalf("at level %v, asked %v: rung %d", c.level, c.asks, joiner.rung)
		}
	}
}

func TestErrorBlamesTheNodeOnlyForATitleThatPlays(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		f := fleet(2)
		if elsewhere {
			playingAt(f, 1, 0, 1, now-sec)
		}
		w := want(0)
		w.CellCount = 1
		h, r := f.AddPlay(now, w)
		f.AttemptEnded(now, h, sole(t, r).Attempt, decision.Errored, false, decision.UnknownLoad)
		if skipped := f.nodes[0].skipUntil > now; skipped != elsewhere {
			t.Errorf("title plays elsewhere %v: node skipped %v", elsewhere, skipped)
		}
	}
}

func TestASkippedNodeThatSpeaksIsTriedBeforeAPlayIsDeclined(t *testing.T) {
	for _, c := range []struct {
		how   decision.Outcome
		spoke bool
		want  decision.Action
	}{{decision.ConnectionLost, true, decision.Place}, {decision.ConnectionLost, false, decision.Decline}, {decision.Rejected, true, decision.Decline}} {
		f := fleet(1)
		f.judge(now, 0, decision.ConnectionLost)
		f.judge(now, 0, c.how)
		if c.spoke {
			f.report(now+sec, 0, decision.Load{Streams: -1, Link: 0.5, Uplink: -1}, 0, 0)
		}
		_, r := f.AddPlay(now+2*sec, want(0))
		if o := sole(t, r); o.Action != c.want {
			t.Errorf("%+v: got %v", c, o.Action)
		}
	}
}
