package placement

import (
	"math"
	"testing"

	"gullrail/decision"
)

func TestDeclinesWhenNoNodeHoldsTitle(t *testing.T) {
	f := newTestPolicy(2)
	w := newRequest(0)
	w.FirstCell, w.CellCount = 2, 2
	h, r := f.AddPlay(now, w)
	if o := onlyOrder(t, r); o.Action != decision.Decline || o.RetryAfter != 5000 {
		t.Fatalf("got %+v", o)
	}
	if f.plays.Get(h) != nil {
		t.Fatal("a declined play was not dropped")
	}
}

func TestStaleHandleIsIgnored(t *testing.T) {
	f := newTestPolicy(1)
	h, _ := f.AddPlay(now, newRequest(0))
	f.AttemptEnded(now, h, 0, decision.Served, true, decision.UnknownLoad)
	if r := f.AttemptEnded(now, h, 0, decision.Errored, false, decision.UnknownLoad); len(r.Orders) != 0 {
		t.Fatalf("got %+v", r.Orders)
	}
}

func TestExploresLessAsSamplesGrow(t *testing.T) {
	f := newTestPolicy(2)
	f.kinds[0], f.kinds[1] = kindStats{50, 50}, kindStats{50, -50}
	f.samples = 10000
	better := 0
	for range 400 {
		if idx, _ := f.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx == 0 {
			better++
		}
	}
	// minExploration explores in 5%, of which half use the worse kind.
	if better < 370 || better == 400 {
		t.Fatalf("better kind chosen %d times of 400", better)
	}
}

func TestKindsWithinPayoffToleranceAreEqual(t *testing.T) {
	f := newTestPolicy(2)
	f.samples = 1 << 40 // makes exploration as rare as minExploration allows
	f.kinds[0], f.kinds[1] = kindStats{10, 5}, kindStats{10, 4.2}
	f.nodes[0].linkLoad = loadEstimate{now, 0.4, 0}
	other := 0
	for range 100 {
		if idx, _ := f.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx == 1 {
			other++
		}
	}
	if other < 90 {
		t.Fatalf("node with more headroom of an equal kind chosen %d times of 100", other)
	}
}

func TestKindWithoutSamplesUsesMeanPayoff(t *testing.T) {
	f := newTestPolicy(2)
	f.addPayoff(0, 0.5)
	f.addPayoff(0, -0.1)
	if m := f.meanPayoff(1); math.Abs(m-0.2) > 1e-9 {
		t.Fatalf("got %v", m)
	}
}

func TestLeastUtilizedNodeIsUsedWithoutHeadroom(t *testing.T) {
	f := newTestPolicy(3)
	for i, x := range []float64{0.97, 0.9, 0.95} {
		f.nodes[i].linkLoad = loadEstimate{now, x, 0}
		f.nodes[i].kind = 0
	}
	f.nodes[1].linkLoad.reportedAt = never // the report is too old to decline a play
	if idx, _ := f.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx != 1 {
		t.Fatalf("chose node %d", idx)
	}
}

func TestNodeThatViewerLeftIsSkipped(t *testing.T) {
	f := newTestPolicy(2)
	f.viewers = []viewer{{lastNode: 1, leftAt: now - skipDuration/2, movedAt: never}}
	for range 50 {
		if idx, _ := f.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx != 1 {
			t.Fatal("chose the node that the viewer left")
		}
	}
}

func TestOwnZoneIsPreferredAmongEqualRungs(t *testing.T) {
	f := newTestPolicy(2)
	f.nodes[0].zone = 1
	for range 50 {
		if idx, _ := f.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx != 1 {
			t.Fatal("chose another zone although the own zone allows the same rung")
		}
	}
}

func TestPayoffIsSampledOnceAfterTenSecondsAndOnFailure(t *testing.T) {
	f := newTestPolicy(1)
	addPlaying(f, 0, 0, 0, now-payoffDelay)
	f.nodes[0].deliveredShare, f.nodes[0].deliveredShareAt = 0.8, now
	f.Wake(now)
	f.Wake(now + 1)
	if k := f.kinds[0]; k.count != 1 || math.Abs(k.sum-0.6) > 1e-9 {
		t.Fatalf("got %+v", k)
	}
	f.nodes[0].deliveredShare = 1
	h, _ := f.AddPlay(now, newRequest(0))
	f.AttemptEnded(now, h, 0, decision.Errored, false, decision.UnknownLoad)
	if k := f.kinds[0]; k.count != 2 || math.Abs(k.sum+0.4) > 1e-9 {
		t.Fatalf("after a failure: %+v", k)
	}
}

func TestSetUpKeepsLinkAndUplinkBelowTarget(t *testing.T) {
	f := newTestPolicy(1)
	f.nodes[0].linkLoad = loadEstimate{now, 0.6, 0}
	if r := f.fitRung(now, 0, &play{request: newRequest(0)}, f.headroom(now, 0)); r != 1 {
		t.Fatalf("link utilization 0.6: rung %d", r)
	}
	f.settings["uplink.rate"] = []float64{850}
	if r := f.fitRung(now, 0, &play{request: newRequest(0)}, f.headroom(now, 0)); r != 0 {
		t.Fatalf("uplink nearly full: rung %d", r)
	}
}

func TestStartRungIsLimitedByMeanRung(t *testing.T) {
	f := newTestPolicy(1)
	f.meanRung = 0
	f.nodes[0].linkLoad = loadEstimate{now, 0, 0}
	if r := f.fitRung(now, 0, &play{request: newRequest(0)}, 1e9); r != 1 {
		t.Fatalf("rung %v at a mean rung of 0", r)
	}
}

func TestUtilizationIncludesReportAndLaterOwnChanges(t *testing.T) {
	f := newTestPolicy(1, singleFront)
	addPlaying(f, 0, 0, 1, 0)
	f.applyReport(now, 0, decision.Load{Streams: -1, Link: 0.5, Uplink: -1}, reportLag, 0)
	addPlaying(f, 0, 0, 1, now)
	if a := f.linkUtilization(now, 0); math.Abs(a-0.7) > 1e-9 {
		t.Fatalf("got %v", a)
	}
	f.nodes[0].linkLoad.utilization = 0.1
	if a := f.linkUtilization(now, 0); math.Abs(a-0.4) > 1e-9 {
		t.Fatalf("utilization %v, want 0.4 by own plays alone", a)
	}
}

// Without a fresh report a play may start at too high a rung. The report that comes with its set-up corrects it if
// steps down are due.
func TestFirstReportCorrectsStartWithoutFreshReport(t *testing.T) {
	for utilization, rung := range map[float64]int{0.5: 2, stepDownThreshold: 2, 1.5: 0} {
		f := newTestPolicy(1)
		f.nodes[0].steppedDownAt = now // an earlier step down that does not show in reports yet
		h, r := f.AddPlay(now, newRequest(0))
		if o := onlyOrder(t, r); o.Rung != 2 {
			t.Fatalf("started at rung %d without a report", o.Rung)
		}
		f.nodes[0].stepDownUtilization = 2
		f.LoadReported(now+50*ms, h, decision.Load{Streams: -1, Link: utilization, Uplink: -1})
		if p := f.plays.Get(h); p.rung != rung {
			t.Errorf("utilization %v: rung %d, want %d", utilization, p.rung, rung)
		}
		f.AttemptStarted(now+60*ms, h, 0)
		// To a later report all plays of the node react by their shares.
		f.LoadReported(now+2*sec, h, decision.Load{Streams: -1, Link: 1.9, Uplink: -1})
		if p := f.plays.Get(h); p.rung != rung {
			t.Errorf("utilization %v, then 1.9: rung %d, want %d", utilization, p.rung, rung)
		}
	}
}

// A play that started on a fresh report is not corrected by itself: all plays of the node step down by their
// shares.
func TestFirstReportDoesNotCorrectStartOnFreshReport(t *testing.T) {
	for age, rung := range map[int64]int{sec: 2, freshReportMaxAge + 1: 0} {
		f := newTestPolicy(1)
		f.nodes[0].linkLoad, f.nodes[0].steppedDownAt, f.nodes[0].stepDownUtilization = loadEstimate{now, 0.1, 0}, now, 2
		h, r := f.AddPlay(now+age, newRequest(0))
		if o := onlyOrder(t, r); o.Rung != 2 {
			t.Fatalf("started at rung %d", o.Rung)
		}
		f.LoadReported(now+age, h, decision.Load{Streams: -1, Link: 1.5, Uplink: -1})
		if p := f.plays.Get(h); p.rung != rung {
			t.Errorf("report %v s old: rung %d, want %d", float64(age)/float64(sec), p.rung, rung)
		}
	}
}

// A link that degrades further before a step down shows is stepped down again, by no more than the additional
// loss.
func TestLinkThatDegradesFurtherIsSteppedDownAgain(t *testing.T) {
	// Small steps.
	f := newTestPolicy(1, singleFront, func(set map[string][]float64) { set["rung.rate"] = []float64{1, 2, 4} })
	for range 300 {
		addPlaying(f, 0, 0, 2, 0)
	}
	n, initial := &f.nodes[0], f.nodes[0].ownRate
	report := func(at int64, share, left float64) {
		t.Helper()
		f.DeliveryReported(at, f.nodes[0].plays[0], share)
		if got := n.ownRate / initial; math.Abs(got-left) > 0.01 {
			t.Fatalf("share %v: %.3f of the rate is left, want %.3f", share, got, left)
		}
	}
	report(now, 0.95, stepDownTarget*0.95)
	report(now+sec, 0.95, stepDownTarget*0.95) // same share as before: no further step
	report(now+2*sec, 0.6, stepDownTarget*0.6)
	// The step down starts to show.
	report(now+2*sec+500*ms, 0.8, stepDownTarget*0.6)
	// The step down shows in full, and the link is short again.
	report(now+2*sec+int64(f.setting("note.lag"))+settleTime, 0.8, stepDownTarget*0.6*stepDownTarget*0.8)
}

func TestStepDownPicksPlaysThatLoseLeast(t *testing.T) {
	f := newTestPolicy(1)
	a, _ := addPlaying(f, 0, 0, 2, 0)
	b, _ := addPlaying(f, 0, 1, 2, 0)
	other, important := f.plays.Get(a), f.plays.Get(b)
	f.beginCall()
	f.stepDown(now, 0, 1.3, stepDownThreshold)
	if other.rung == 2 || important.rung != 2 {
		t.Fatalf("rungs %d and %d", other.rung, important.rung)
	}
	before := f.nodes[0].ownRate
	f.stepDown(now+sec, 0, 1.3, stepDownThreshold)
	if f.nodes[0].ownRate != before {
		t.Fatal("stepped down again before the first step could show")
	}
}

func TestStepUpUsesOnlyOwnShareOfHeadroom(t *testing.T) {
	f := newTestPolicy(1)
	for range 8 {
		addPlaying(f, 0, 0, 0, 0)
	}
	f.nodes[0].linkLoad = loadEstimate{now, 0.2, f.nodes[0].ownRate}
	f.beginCall()
	f.stepUp(now, 0)
	// Own plays use 0.8, so the headroom is 50: too little for a step of 100.
	if len(f.result.Orders) != 0 {
		t.Fatalf("stepped up beyond targetUtilization: %+v", f.result.Orders)
	}
	f.settings["weight.rate"] = []float64{2000}
	f.nodes[0].linkLoad.utilization = 0.6
	f.stepUp(now, 0) // headroom 500, of which 333 for own plays, which are two thirds of the demand
	if n := len(f.result.Orders); n < 3 || n > 4 {
		t.Fatalf("%d steps", n)
	}
}

func TestStepUpAtMostOnceInTenSeconds(t *testing.T) {
	f := newTestPolicy(1)
	_, p := addPlaying(f, 0, 0, 0, 0)
	p.steppedUpAt = now - stepUpInterval/2
	f.beginCall()
	f.stepUp(now, 0)
	if p.rung != 0 {
		t.Fatal("stepped up twice in ten seconds")
	}
}

func TestShedMovesOnePlayAfterAllStepDowns(t *testing.T) {
	f := newTestPolicy(2)
	addPlaying(f, 0, 0, 0, 0)
	_, p := addPlaying(f, 0, 0, 1, 0)
	n := &f.nodes[0]
	n.deliveredShare, n.deliveredShareAt, n.shortSince = 0.8, now, now-shortConfirmDelay
	f.beginCall()
	f.shed(now, 0)
	if countActions(&f.result, decision.Move) != 0 {
		t.Fatal("moved a play before all plays had stepped down")
	}
	f.updateRung(p, 0)
	f.shed(now, 0)
	f.shed(now+sec, 0)
	if countActions(&f.result, decision.Move) != 1 {
		t.Fatalf("got %+v", f.result.Orders)
	}
	n.deliveredShareAt = now + shedInterval
	f.shed(now+shedInterval, 0)
	n.deliveredShareAt = now + 2*shedInterval
	f.shed(now+2*shedInterval, 0)
	if countActions(&f.result, decision.Move) != 2 {
		t.Fatalf("a viewer was moved twice in 5 min: %+v", f.result.Orders)
	}
}

func TestShortUplinkIsInferredFromRackLinks(t *testing.T) {
	f := newTestPolicy(4) // cells 0 and 2 share a rack
	addPlaying(f, 0, 0, 2, 0)
	addPlaying(f, 2, 0, 2, 0)
	f.beginCall()
	f.applyShare(now, 0, 0.9)
	f.applyShare(now, 2, 0.9)
	if got := f.uplinkCapacity(now, 0); math.Abs(got-0.9*f.rackDemand(now, 0)) > 200 || f.racks[1].observed.observedAt != 0 {
		t.Fatalf("uplink capacity %v", got)
	}
}

func TestShortLinkRecoversSlowly(t *testing.T) {
	obs := capacityObservation{500, now}
	if a, b := recoveredCapacity(now+5*sec, obs, 1000), recoveredCapacity(now+capacityRecoveryTime, obs, 1000); a > 530 || b < 1000 {
		t.Fatalf("after 5 s %v, after capacityRecoveryTime %v", a, b)
	}
}

func TestFailingNodeIsSkippedLongerAfterRepeatedFailure(t *testing.T) {
	f := newTestPolicy(1)
	at := int64(now)
	for _, skip := range []int64{skipDuration, 2 * skipDuration} {
		f.recordFailure(at, 0, decision.Errored)
		if f.nodes[0].skipUntil != at+skip {
			t.Fatalf("skipped for %d", f.nodes[0].skipUntil-at)
		}
		at += skip
	}
	w := newRequest(0)
	w.Deadline = at + 4*sec
	h, _ := f.AddPlay(at, w)
	f.AttemptStarted(at, h, 0)
	if f.nodes[0].consecutiveFailures != 0 {
		t.Fatal("consecutiveFailures was not reset by a success")
	}
}

func TestRejectingNodeIsSkipped(t *testing.T) {
	f := newTestPolicy(1)
	f.recordFailure(now, 0, decision.Rejected)
	if f.nodes[0].skipUntil != now+rejectionBackoff {
		t.Fatalf("skipped for %d", f.nodes[0].skipUntil-now)
	}
}

func TestFullLinkWithPlaysAtFloorTakesNoMore(t *testing.T) {
	f := newTestPolicy(1)
	_, p := addPlaying(f, 0, 0, 0, 0)
	f.nodes[0].linkLoad = loadEstimate{now, 1.0, f.nodes[0].ownRate}
	if !f.isFull(now, 0, f.highestUtilization(now, 0), 100) {
		t.Fatal("not full at a utilization of 1")
	}
	f.updateRung(p, 2)
	if f.isFull(now, 0, f.highestUtilization(now, 0), 100) {
		t.Fatal("full although a play can step down")
	}
	f.updateRung(p, 0)
	if f.isFull(now+fullReportMaxAge+1, 0, f.highestUtilization(now, 0), 100) {
		t.Fatal("full because of an old report")
	}
}

func TestPaidPlayThatMayHaveRunFails(t *testing.T) {
	f := newTestPolicy(2)
	h, r := f.AddPlay(now, newRequest(1))
	if o := onlyOrder(t, r); o.Until != now+4*sec {
		t.Fatalf("a paid play must wait until its deadline, got %+v", o)
	}
	if o := onlyOrder(t, f.AttemptEnded(now, h, 0, decision.Errored, false, decision.UnknownLoad)); o.Action != decision.Fail {
		t.Fatalf("got %+v", o)
	}
}

func TestPaidPlayIsReallocatedIfItNeverRan(t *testing.T) {
	f := newTestPolicy(2)
	h, _ := f.AddPlay(now, newRequest(1))
	if o := onlyOrder(t, f.AttemptEnded(now, h, 0, decision.NoConnect, false, decision.UnknownLoad)); o.Action != decision.Place {
		t.Fatalf("got %+v", o)
	}
}

func TestUnpaidPlayLeavesTimeForAnotherAttempt(t *testing.T) {
	f := newTestPolicy(2)
	_, r := f.AddPlay(now, newRequest(0))
	if o := onlyOrder(t, r); o.Until != now+sec/2 {
		t.Fatalf("attempt given up after %d", o.Until-now)
	}
}

func TestReallocationBudget(t *testing.T) {
	f := newTestPolicy(1)
	p := &play{request: newRequest(0), attempt: 0}
	f.acceptedTimes = []int64{now - 9*sec, now}
	f.reallocationTimes = []int64{now - 9*sec}
	if !f.mayReallocate(now, p) {
		t.Fatal("second of two free reallocations was refused")
	}
	f.reallocationTimes = append(f.reallocationTimes, now)
	if f.mayReallocate(now, p) {
		t.Fatal("third reallocation within the window was allowed")
	}
	if !f.mayReallocate(now+2*sec, p) {
		t.Fatal("a reallocation before the window still counts")
	}
}

func TestDrainingNodeGetsNoPlays(t *testing.T) {
	f := newTestPolicy(1)
	f.UpdateNodes(now, []decision.Node{{Index: 0, Phase: decision.Draining, Weight: 1}}, false)
	if _, r := f.AddPlay(now, newRequest(0)); onlyOrder(t, r).Action != decision.Decline {
		t.Fatal("a play was placed on a draining node")
	}
}

func TestColdNodeIsPacedByTurns(t *testing.T) {
	one, two := newTestPolicy(1), newTestPolicy(1, func(s map[string][]float64) { s["front"] = []float64{1} })
	sent := 0
	for _, f := range []*Policy{one, two} {
		f.nodes[0].startedAt, f.nodes[0].lastTurn = now, -1
	}
	highest, window := 0, []int64{}
	for at := int64(now); at < now+12*sec; at += 100 {
		for _, f := range []*Policy{one, two} {
			if f.maySetUp(at, 0) {
				f.nodes[0].lastTurn, _ = f.coldTurn(at, 0)
				window = append(window, at)
				sent++
			}
		}
		window = dropBefore(window, at-int64(one.setting("fall.over")))
		highest = max(highest, len(window))
	}
	// The limit is 2.5 times 20 streams in 12 s, scaled by a capacity share of 0.4 to 1: 1.7 set-ups in the first
	// second, 4.2 in the last.
	if highest > 4 || sent < 6 {
		t.Fatalf("%d set-ups in one window, %d in total", highest, sent)
	}
}

// All fronts together must keep the set-ups on a cold node within the limit of every window, plus the random
// variation that the protocol allows, for any number of fronts. The worst case: all fronts always have plays, some
// restart within the turn that they have used, and a third learn late that the node started.
func TestAllFrontsTogetherRampColdNode(t *testing.T) {
	for _, fronts := range []int{2, 30, 300} {
		var all []*Policy
		for i := range fronts {
			f := newTestPolicy(1, func(s map[string][]float64) {
				s["fronts"], s["front"] = []float64{float64(fronts)}, []float64{float64(i)}
			})
			f.nodes[0].startedAt, f.nodes[0].lastTurn = now, -1
			all = append(all, f)
		}
		one, window, sent, restarts, restarted := all[0], []int64{}, 0, 0, map[int]bool{}
		over, lasts := one.setting("fall.over"), one.setting("cold.lasts")
		for at := int64(now); at < now+int64(lasts); at += 100 {
			for i, f := range all {
				if i%3 == 0 && at < now+2*sec { // learns late of the start
					continue
				}
				if f.maySetUp(at, 0) {
					f.nodes[0].lastTurn, _ = f.coldTurn(at, 0)
					window = append(window, at)
					sent++
					if !restarted[i] && sent%3 == 0 { // a restart: the front forgets its last turn
						f.nodes[0].lastTurn, restarted[i] = -1, true
						restarts++
					}
				}
			}
			window = dropBefore(window, at-int64(over))
			share := one.warmShare(max(now, at-int64(over)), 0) // lowest in the window
			n := one.setting("fall.multiple") * one.settingAt("kind.streams", 0, 0) / lasts * share * over
			if most := n + 2*math.Sqrt(n) + 2; float64(len(window)) > most {
				t.Fatalf("%d fronts, %.1f s after the start: %d set-ups in one window, limit %.1f", fronts, float64(at-now)/float64(sec), len(window), most)
			}
		}
		if sent < 6 || restarts == 0 {
			t.Errorf("%d fronts: %d set-ups, %d restarts", fronts, sent, restarts)
		}
	}
}

func TestDisconnectedNodeReturnsCold(t *testing.T) {
	f := newTestPolicy(1)
	f.recordFailure(now, 0, decision.ConnectionLost)
	back := int64(now + 30*sec)
	w := newRequest(0)
	w.Deadline = back + 4*sec
	h, _ := f.AddPlay(back, w)
	f.AttemptStarted(back, h, 0)
	if w := f.warmShare(back, 0); w != 0.4 {
		t.Fatalf("capacity share %v right after its return", w)
	}
}

func TestSeatsCountSetUpsAndAdoptedPlays(t *testing.T) {
	f := newTestPolicy(2)
	f.AdoptPlay(now, newRequest(1), 0)
	f.AddPlay(now, newRequest(1))
	if _, r := f.AddPlay(now, newRequest(1)); onlyOrder(t, r).Action != decision.Decline {
		t.Fatal("placed a third play with two seats")
	}
}

func TestProductFloorIsKept(t *testing.T) {
	f := newTestPolicy(1)
	h, _ := f.AdoptPlay(now, newRequest(1), 0)
	if o := onlyOrder(t, f.RungReported(now, h, 0)); o.Action != decision.SetRung || o.Rung != 1 {
		t.Fatalf("got %+v", o)
	}
	f.beginCall()
	f.stepDown(now, 0, 5, stepDownThreshold)
	if p := f.plays.Get(h); p.rung != 1 {
		t.Fatalf("stepped down to rung %d", p.rung)
	}
}

func TestCommonPathAllocatesNoMemory(t *testing.T) {
	f := newTestPolicy(4)
	w := newRequest(0)
	at := int64(now)
	if n := testing.AllocsPerRun(2000, func() {
		at += sec
		w.Deadline = at + 4*sec
		h, _ := f.AddPlay(at, w)
		f.AttemptStarted(at, h, 0)
		f.Wake(at)
		f.AttemptEnded(at, h, 0, decision.Served, true, decision.UnknownLoad)
	}); n != 0 {
		t.Fatalf("%v memory allocations per play", n)
	}
}

func TestReportAfterStepUpAndDownToLowestRung(t *testing.T) {
	f := newTestPolicy(1)
	h, p := addPlaying(f, 0, 0, 0, 0)
	f.setRung(now, h, p, 1)
	f.setRung(now, h, p, 0)
	f.applyReport(now, 0, decision.Load{Streams: -1, Link: 0.5, Uplink: -1}, reportLag, 0)
	if a := f.linkUtilization(now, 0); math.Abs(a-0.5) > 1e-9 {
		t.Fatalf("got %v", a)
	}
}

func TestPlayNearDeadlineDoesNotWait(t *testing.T) {
	f := newTestPolicy(1)
	f.nodes[0].skipUntil = now + 100*ms
	w := newRequest(0)
	if _, r := f.AddPlay(now, w); len(r.Orders) != 0 {
		t.Fatalf("play did not wait: %+v", r.Orders)
	}
	w.Deadline = now + 100*ms
	if _, r := f.AddPlay(now, w); onlyOrder(t, r).Action != decision.Decline {
		t.Fatal("play waits beyond its deadline")
	}
}

func TestOneOfManyFrontsLeavesMostMovesToOthers(t *testing.T) {
	f, moved := newTestPolicy(1), 0
	addPlaying(f, 0, 0, 0, 0)
	for i := range int64(40) {
		f.viewers[1].movedAt = never
		n := &f.nodes[0]
		n.linkLoad = loadEstimate{now + i*shedInterval, 1.1, n.ownRate} // own plays are a tenth of the demand
		n.deliveredShare, n.deliveredShareAt, n.shortSince = 0.9, n.linkLoad.reportedAt, n.linkLoad.reportedAt-shortConfirmDelay
		f.beginCall()
		f.shed(n.linkLoad.reportedAt, 0)
		moved += countActions(&f.result, decision.Move)
	}
	if moved == 0 || moved > 10 {
		t.Fatalf("%d moves in 40 intervals", moved)
	}
}

func TestOwnSetUpGrowthIsBoundedAmongManyFronts(t *testing.T) {
	f := newTestPolicy(1, func(s map[string][]float64) { s["fronts"] = []float64{300} })
	f.nodes[0].linkLoad = loadEstimate{now, 0.4, 0}
	addPlaying(f, 0, 0, 0, now)
	if a := f.linkUtilization(now, 0); a > 0.6 {
		t.Fatalf("an own set-up of 0.1 raised the utilization by %v", a-0.4)
	}
}

func TestUnknownAndOldReportsDecayToAverage(t *testing.T) {
	f := newTestPolicy(2)
	f.meanUtilization = 0.7
	f.nodes[0].linkLoad = loadEstimate{now, 0.2, 0}
	recent, old, unknown := f.linkUtilization(now+2*sec, 0), f.linkUtilization(now+reportDecayTime, 0), f.linkUtilization(now, 1)
	if recent > 0.25 || old != 0.7 || unknown != 0.7 {
		t.Fatalf("recent report %v, old report %v, no report %v", recent, old, unknown)
	}
}

func TestFrontWithoutReportsAssumesOthersCarryAsMuch(t *testing.T) {
	f := newTestPolicy(4, func(s map[string][]float64) { s["fronts"] = []float64{20} })
	addPlaying(f, 0, 0, 1, 0)
	f.Wake(now)
	if math.Abs(f.meanUtilization-1) > 0.01 { // own rate 200, 20 fronts, 4 links of 1000
		t.Fatalf("assumed utilization %v", f.meanUtilization)
	}
	f.applyReport(now, 1, decision.Load{Streams: -1, Link: 0.5, Uplink: -1}, reportLag, 0)
	f.Wake(now + 1)
	if f.meanUtilization > 0.96 {
		t.Fatalf("utilization %v after a report of 0.5", f.meanUtilization)
	}
}

func withProbing(set map[string][]float64) { set["probing"] = []float64{1} }

func TestProbesHoldersBeforePlacing(t *testing.T) {
	f := newTestPolicy(2, withProbing)
	h, r := f.AddPlay(now, newRequest(0))
	if len(r.Orders) != 0 || len(r.Probes) == 0 {
		t.Fatalf("got %+v, want probes and no order", r)
	}
	for _, idx := range []int{0, 1} { // node 1 is nearly full
		if len(r.Orders) != 0 {
			t.Fatalf("orders before node %d answered: %+v", idx, r.Orders)
		}
		r = f.ProbeEnded(now+10*ms, idx, decision.Served, decision.Load{Streams: -1, Link: 0.1 + 0.7*float64(idx), Uplink: -1})
	}
	if o := onlyOrder(t, r); o.Action != decision.Place || o.Play != h || o.Node != 0 {
		t.Fatalf("got %+v, want the play placed on node 0", o)
	}
	if p := f.plays.Get(h); p.stage != settingUp || p.node != 0 {
		t.Fatalf("placed on node %d", p.node)
	}
}

func TestPlayNearDeadlineIsPlacedWithoutProbes(t *testing.T) {
	f := newTestPolicy(2, withProbing)
	w := newRequest(0)
	w.Deadline = now + 300*ms
	if _, r := f.AddPlay(now, w); len(r.Orders) != 1 || r.Orders[0].Action != decision.Place {
		t.Fatalf("got %+v", r.Orders)
	}
}

func TestUnansweredProbeTimesOut(t *testing.T) {
	f := newTestPolicy(2, withProbing)
	h, _ := f.AddPlay(now, newRequest(0))
	f.Wake(now + queryTimeout)
	if p := f.plays.Get(h); p.stage != settingUp {
		t.Fatal("still waits for an unanswered probe")
	}
}

func TestOldReportOfNodeWithOnePlayIsRefreshedLessOften(t *testing.T) {
	refreshes := func(plays int) bool {
		f := newTestPolicy(1, withProbing)
		for range plays {
			addPlaying(f, 0, 0, 0, 0)
		}
		f.nodes[0].linkLoad, f.meanUtilization = loadEstimate{now - reportRecheckInterval/2, 0.9, f.nodes[0].ownRate}, 0.9
		f.beginCall()
		f.stepUp(now, 0)
		return len(f.result.Probes) > 0
	}
	if refreshes(1) || !refreshes(3) {
		t.Fatal("want an old report refreshed for three plays, but not for one")
	}
}

func TestUnreportedUplinkCountsAsAverage(t *testing.T) {
	f := newTestPolicy(4, func(s map[string][]float64) { s["reports.uplink"] = []float64{1} })
	for i := range int64(40) {
		f.applyReport(now+i, 0, decision.Load{Streams: -1, Link: 0.3, Uplink: 2}, 0, 0)
	}
	if a := f.uplinkUtilization(now, 1); a < 1.8 {
		t.Fatalf("utilization of an uplink without reports is %v", a)
	}
}

func TestClockJumpsWithHundredsOfFrontsAndNodes(t *testing.T) {
	f := newTestPolicy(400, func(s map[string][]float64) {
		s["fronts"], s["cells"], s["racks"] = []float64{300}, []float64{400}, []float64{40}
	})
	at := int64(now)
	for range 50 { // the process stalls for two seconds between calls
		w := newRequest(1)
		w.Deadline = at + 4*sec
		h, _ := f.AddPlay(at, w)
		f.Wake(at)
		at += 2 * sec
		if p := f.plays.Get(h); p != nil && p.stage == pending {
			t.Fatal("still pending after a stall")
		}
		f.AttemptEnded(at, h, 0, decision.NoAnswer, false, decision.UnknownLoad)
	}
	if len(f.waiting) != 0 || f.plays.Get(decision.Handle{}) != nil {
		t.Fatal("plays are left over")
	}
}

func TestUnderusedLinkMayExceedRungLimit(t *testing.T) {
	f := newTestPolicy(2)
	f.meanRung, f.meanUtilization = 0, 0.9
	f.nodes[0].linkLoad, f.nodes[1].linkLoad = loadEstimate{now, 0.1, 0}, loadEstimate{now, 0.6, 0}
	for idx, want := range []int{2, 1} {
		_, p := addPlaying(f, idx, 0, 1, 0)
		f.beginCall()
		f.nodes[idx].linkLoad.ownRate = f.nodes[idx].ownRate
		f.stepUp(now, idx)
		if p.rung != want {
			t.Fatalf("node %d: rung %d", idx, p.rung)
		}
	}
}

func TestSetUpOnUnknownNodeStartsAtMeanRung(t *testing.T) {
	f := newTestPolicy(2)
	f.meanRung = 0.8
	f.nodes[0].linkLoad = loadEstimate{now, 0.1, 0}
	if known, blind := int(f.rungLimit(now, 0)), int(f.rungLimit(now, 1)); known != 1 || blind != 1 {
		t.Fatalf("rung limits %d and %d at a mean of 0.8", known, blind)
	}
	f.meanRung = 1.2
	if known, blind := int(f.rungLimit(now, 0)), int(f.rungLimit(now, 1)); known != 2 || blind != 1 {
		t.Fatalf("rung limits %d and %d at a mean of 1.2", known, blind)
	}
}

func TestViewersAndNodesAreForgottenOnceUnneeded(t *testing.T) {
	f := newTestPolicy(2)
	f.viewers[0] = viewer{lastNode: 1, leftAt: now, movedAt: never}
	if f.ForgetViewer(now+skipDuration-1, 0) || !f.ForgetViewer(now+skipDuration, 0) {
		t.Fatal("a viewer that left a node must be remembered for exactly skipDuration")
	}
	f.viewers[0].movedAt = now
	if f.ForgetViewer(now+moveInterval-1, 0) || !f.ForgetViewer(now+moveInterval, 0) || f.viewers[0] != unknownViewer {
		t.Fatal("a moved viewer must be remembered for exactly moveInterval, then cleared")
	}
	h, _ := addPlaying(f, 1, 0, 0, now)
	f.UpdateNodes(now, []decision.Node{{Index: 1, Cell: 1, Phase: decision.Gone}}, false)
	if f.ForgetNode(now+skipDuration, 1) {
		t.Fatal("a node with a play was forgotten")
	}
	f.AttemptEnded(now, h, 0, decision.Served, true, decision.UnknownLoad)
	if f.ForgetNode(now+skipDuration-1, 1) || f.ForgetNode(now+skipDuration, 0) || !f.ForgetNode(now+skipDuration, 1) {
		t.Fatal("only a node without plays that is gone for skipDuration may be forgotten")
	}
}

func TestNoProbesIfAnswersCarryLoad(t *testing.T) {
	f := newTestPolicy(2, withProbing, func(s map[string][]float64) { s["reports.answers"] = []float64{1} })
	if _, r := f.AddPlay(now, newRequest(0)); len(r.Probes) != 0 || onlyOrder(t, r).Action != decision.Place {
		t.Fatalf("got %+v", r)
	}
}

// withPeers enables messages between fronts.
func withPeers(set map[string][]float64) { set["peers"] = []float64{1} }

// withKeys gives node i the key i+10, so that of two fronts front (i+10)%2 owns it.
func withKeys(f *Policy) *Policy {
	for i := range f.nodes {
		f.nodes[i].key = uint32(i + 10)
		f.nodesByKey[uint32(i+10)] = i
	}
	f.lastMessageAt = now
	return f
}

// reportMessage encodes a report: the link utilization in 64ths and the age in tenths of a second.
func reportMessage(kind byte, key uint32, link, age, level byte) []byte {
	return []byte{kind, 0, 0, 0, byte(key), link, unknownByte, age, level}
}

func TestQueriesOwnersBeforeSetUpAndUsesTheirReports(t *testing.T) {
	f := withKeys(newTestPolicy(4, withPeers))
	h, r := f.AddPlay(now, newRequest(0))
	if len(r.Orders) != 0 || len(r.Probes) != 0 || len(r.Messages) == 0 {
		t.Fatalf("got %+v, want queries and no order", r)
	}
	for _, m := range r.Messages {
		if m.To != 1 || m.Bytes[0] != messageQuery || m.Bytes[4]%2 != 1 {
			t.Fatalf("message to %d: %v", m.To, m.Bytes)
		}
	}
	for idx := range f.nodes { // node 1 is nearly empty, the others nearly full
		utilization := byte(52)
		if idx == 1 {
			utilization = 13
		}
		f.MessageReceived(now+10*ms, 1, reportMessage(messageReport, uint32(idx+10), utilization, 0, unknownByte))
	}
	if p := f.plays.Get(h); p.stage != settingUp || p.node != 1 {
		t.Fatalf("stage %d, node %d", p.stage, p.node)
	}
}

func TestPlayIsPlacedWhenAnswersAreLost(t *testing.T) {
	f := withKeys(newTestPolicy(2, withPeers))
	h, r := f.AddPlay(now, newRequest(0))
	if r.WakeAt > now+queryTimeout {
		t.Fatalf("WakeAt is %d after the call, want at most queryTimeout", r.WakeAt-now)
	}
	f.Wake(now + queryTimeout)
	if p := f.plays.Get(h); p.stage != settingUp {
		t.Fatal("still waits for a lost answer")
	}
	f = withKeys(newTestPolicy(2, withPeers))
	f.lastMessageAt = now - peerSilenceTimeout
	if _, r = f.AddPlay(now, newRequest(0)); countActions(r, decision.Place) != 1 {
		t.Fatal("waits for answers although no message arrived for peerSilenceTimeout")
	}
}

func TestUnlistedNodesAndOlderReportsInMessagesAreIgnored(t *testing.T) {
	f := withKeys(newTestPolicy(2, withPeers))
	f.nodes[0].linkLoad = loadEstimate{now - 2*sec, 0.5, 0}
	// 3 s old, older than the stored report.
	f.MessageReceived(now, 1, reportMessage(messageReport, 10, 64, 30, unknownByte))
	if f.nodes[0].linkLoad.utilization != 0.5 {
		t.Fatal("an older report replaced a newer one")
	}
	f.MessageReceived(now, 1, reportMessage(messageReport, 10, 64, 10, unknownByte))
	if n := f.nodes[0]; n.linkLoad.utilization != 1 || n.linkLoad.reportedAt != now-sec {
		t.Fatalf("got %+v", n.linkLoad)
	}
	if r := f.MessageReceived(now, 1, []byte{messageQuery, 0, 0, 0, 99}); len(r.Messages) != 0 {
		t.Fatal("answered a query for an unlisted node")
	}
	if r := f.MessageReceived(now, 2, []byte{messageQuery, 0, 0, 0, 10}); len(r.Messages) != 0 {
		t.Fatal("answered a front that does not exist")
	}
	f.UpdateNodes(now, []decision.Node{{Index: 0, Phase: decision.Gone, Weight: 1, Key: 10}}, false)
	if r := f.MessageReceived(now, 1, []byte{messageQuery, 0, 0, 0, 10}); len(r.Messages) != 0 {
		t.Fatal("answered a query for a node that is gone")
	}
}

func FuzzMessageReceived(f *testing.F) {
	f.Add(0, []byte{messageQuery, 0, 0, 0, 10})
	f.Add(1, reportMessage(messageGrant, 11, 70, 3, 90))
	f.Fuzz(func(t *testing.T, from int, b []byte) {
		g := withKeys(newTestPolicy(3, withPeers))
		h, _ := g.AddPlay(now, newRequest(0))
		for i := range int64(3) {
			if r := g.MessageReceived(now+i*ms, from, b); len(r.Orders) > 1 {
				t.Fatalf("message %v caused orders %+v", b, r.Orders)
			}
		}
		if a := g.linkUtilization(now+sec, 1); math.IsNaN(a) || a < 0 || a > 5 {
			t.Fatalf("message %v set the link utilization to %v", b, a)
		}
		g.Wake(now + sec)
		if p := g.plays.Get(h); p == nil || p.stage != settingUp {
			t.Fatalf("message %v kept a play from being placed", b)
		}
	})
}

func TestOwnerGrantsAQuarterOfTurns(t *testing.T) {
	f := withKeys(newTestPolicy(1, withPeers, func(s map[string][]float64) { s["fronts"] = []float64{300} }))
	f.startedAt = now - 20*sec
	f.nodes[0].startedAt, f.nodes[0].lastTurn = now, -1
	window, grants, highest := int64(f.setting("fall.over")), []int64{}, 0
	for at := int64(now); at < now+12*sec; at += 100 { // all fronts query all the time
		if r := f.MessageReceived(at, 1+int(at/100)%299, []byte{messageQuery, 0, 0, 0, 10}); r.Messages[0].Bytes[0] == messageGrant {
			grants = append(grants, at)
		}
		grants = dropBefore(grants, at-window)
		highest = max(highest, len(grants))
	}
	// The limit is 2.5 times 20 streams in 12 s, scaled by a capacity share of 0.4 to 1: 1.7 set-ups in the first
	// second, 4.2 in the last. Grants use a quarter of it.
	if turn, _ := f.coldTurn(now+12*sec-1, 0); highest > 1 || f.nodes[0].lastTurn < turn/2 {
		t.Fatalf("%d grants in one window, up to turn %d of %d", highest, f.nodes[0].lastTurn, turn)
	}
	g := withKeys(newTestPolicy(1, withPeers))
	g.nodes[0].startedAt, g.nodes[0].lastTurn, g.startedAt = now-6*sec, -1, now
	if r := g.MessageReceived(now+window, 1, []byte{messageQuery, 0, 0, 0, 10}); r.Messages[0].Bytes[0] == messageGrant {
		t.Fatal("an owner that has just started granted a set-up")
	}
}

func TestGrantAllowsOneTimelySetUpOnColdNode(t *testing.T) {
	f := withKeys(newTestPolicy(2, withPeers))
	n := &f.nodes[1] // owned by front 1
	n.startedAt, n.probedAt = now-5*sec, now
	if f.maySetUp(now, 1) {
		t.Fatal("cold node used without a grant")
	}
	g := withKeys(newTestPolicy(2, withPeers))
	g.nodes[0].startedAt, g.nodes[0].probedAt = now-5*sec, now
	if g.MessageReceived(now+10*ms, 1, reportMessage(messageGrant, 10, 0, 0, unknownByte)); g.nodes[0].grantedUntil != 0 {
		t.Fatal("accepted a grant of a front that does not own the node")
	}
	f.MessageReceived(now+10*ms, 1, reportMessage(messageGrant, 11, 0, 0, unknownByte))
	if !f.maySetUp(now+queryTimeout-1, 1) || f.maySetUp(now+queryTimeout, 1) {
		t.Fatal("a grant must be valid for queryTimeout after the query")
	}
	f.nodes[0].phase = decision.Draining
	if _, r := f.AddPlay(now+20*ms, newRequest(0)); countActions(r, decision.Place) != 1 {
		t.Fatalf("got %+v", r.Orders)
	}
	if f.maySetUp(now+30*ms, 1) {
		t.Fatal("a second set-up is allowed by one grant")
	}
}

func TestPeerLevelsOffsetProductsByEarnings(t *testing.T) {
	f := withKeys(newTestPolicy(1, withPeers, func(s map[string][]float64) { s["rung.worth"] = []float64{0.3, 0.6, 0.9} }))
	// Importance 1 and 2: the offsets are ln 2 / ln 2 rungs apart.
	plain, important := &play{request: newRequest(0)}, &play{request: newRequest(1)}
	if f.rungOffset(important) != 0 {
		t.Fatal("offset applied to the mean rung of own plays alone")
	}
	for range int(fullPeerWeight) {
		f.MessageReceived(now, 1, reportMessage(messageReport, 10, 0, 0, byte((1.5+meanRungOffset)*meanRungSteps)))
	}
	f.Wake(now)
	if math.Abs(f.meanRung-1.5) > 1e-9 || math.Abs(f.rungOffset(important)-f.rungOffset(plain)-1) > 1e-9 {
		t.Fatalf("mean rung %v, offsets %v and %v", f.meanRung, f.rungOffset(plain), f.rungOffset(important))
	}
	f.Wake(now + 2*peerSilenceTimeout + 1)
	if f.meanRung != 0 || f.rungOffset(important) != 0 {
		t.Fatal("uses mean rungs received long ago")
	}
}

func withLiveTitles(set map[string][]float64) {
	set["product.live"], set["join"], set["fronts"] = []float64{1, 0}, []float64{0.3}, []float64{100}
	set["cells"], set["racks"] = []float64{200}, []float64{20}
}

func TestFrontsGatherLiveViewersOnSameNodes(t *testing.T) {
	used := map[int]bool{}
	for seed := range 60 {
		f := withKeys(newTestPolicy(200, withLiveTitles))
		f.rng.Float()
		for range seed {
			f.rng.Float()
		}
		w := newRequest(0)
		w.CellCount, w.Key = 200, 77
		h, _ := f.AddPlay(now, w)
		p := f.plays.Get(h)
		// 100 viewers add 120 each. At half of a link of 1000 per node, 24 of the 200 nodes are used.
		if !p.sharesStream || p.rung != 2 || f.rate(p, 2) > 200 {
			t.Fatalf("sharesStream %v, rung %d, added rate %v", p.sharesStream, p.rung, f.rate(p, 2))
		}
		used[p.node] = true
	}
	if len(used) > 40 {
		t.Fatalf("60 fronts used %d of 200 nodes", len(used))
	}
	f := withKeys(newTestPolicy(200, withLiveTitles))
	w := newRequest(1) // a product that is not live
	w.CellCount, w.Key = 200, 77
	h, _ := f.AddPlay(now, w)
	if p := f.plays.Get(h); p.sharesStream || f.rate(p, 2) != 400 {
		t.Fatal("a play of a product that is not live shares a stream")
	}
}

func TestStreamSharersKeepRungWhenOthersStepDown(t *testing.T) {
	f := newTestPolicy(1, singleFront)
	a, _ := addPlaying(f, 0, 0, 2, 0)
	_, other := addPlaying(f, 0, 0, 2, 0)
	sharer := f.plays.Get(a)
	sharer.sharesStream = true
	f.beginCall()
	f.stepDown(now, 0, 2, stepDownThreshold)
	if sharer.rung != 2 || other.rung == 2 {
		t.Fatalf("rungs %d and %d", sharer.rung, other.rung)
	}
}

func TestHoldersWithRecentReportsArePreferred(t *testing.T) {
	f := withKeys(newTestPolicy(4, withPeers))
	f.samples, f.meanUtilization = 1<<40, 0.2
	f.nodes[2].linkLoad = loadEstimate{now, 0.4, 0}
	for range 50 {
		if idx, _ := f.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx != 2 {
			t.Fatalf("chose node %d, which has no report", idx)
		}
	}
}

func TestAdoptedLiveViewersShareStreams(t *testing.T) {
	f := withKeys(newTestPolicy(10, withLiveTitles))
	w := newRequest(0)
	w.CellCount, w.Key = 200, 77
	h, _ := f.AdoptPlay(now, w, 3) // 100 expected viewers on ten nodes
	f.RungReported(now, h, 2)
	if p := f.plays.Get(h); !p.sharesStream || math.Abs(f.nodes[3].ownRate-148) > 1e-6 { // 400 x (0.3 + 0.7 / 10)
		t.Fatalf("sharesStream %v, own rate of the node %v", p.sharesStream, f.nodes[3].ownRate)
	}
	f.AttemptEnded(now, h, 0, decision.Served, true, decision.UnknownLoad)
	if math.Abs(f.nodes[3].ownRate) > 1e-6 {
		t.Fatalf("rate %v is left on the node", f.nodes[3].ownRate)
	}
}

func TestSharedStreamsStepDownOnceAllPlaysAreAtFloor(t *testing.T) {
	f := withKeys(newTestPolicy(1, withLiveTitles, singleFront))
	a, _ := addPlaying(f, 0, 0, 2, now-sec)
	b, _ := addPlaying(f, 0, 1, 2, now-sec)
	sharer, other := f.plays.Get(a), f.plays.Get(b)
	sharer.sharesStream = true
	f.updateRung(other, 1) // its floor
	for _, c := range []struct {
		otherRung   float64
		utilization float64
		allAtFloor  bool
		rung        int
	}{{2, 1.3, false, 2}, {1, 0.97, true, 2}, {1, 1.3, true, 1}} {
		f.nodes[0].steppedDownAt = never
		f.updateRung(other, int(c.otherRung))
		f.Wake(now)
		if f.allAtFloor != c.allAtFloor {
			t.Fatalf("mean rung %v: allAtFloor %v", f.meanRung, f.allAtFloor)
		}
		f.stepDown(now, 0, c.utilization, stepDownThreshold)
		if sharer.rung != c.rung {
			t.Fatalf("at mean rung %v, utilization %v: rung %d", c.otherRung, c.utilization, sharer.rung)
		}
	}
}

func TestErrorCountsAgainstNodeOnlyIfTitlePlaysElsewhere(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		f := newTestPolicy(2)
		if elsewhere {
			addPlaying(f, 1, 0, 1, now-sec)
		}
		w := newRequest(0)
		w.CellCount = 1
		h, r := f.AddPlay(now, w)
		f.AttemptEnded(now, h, onlyOrder(t, r).Attempt, decision.Errored, false, decision.UnknownLoad)
		if skipped := f.nodes[0].skipUntil > now; skipped != elsewhere {
			t.Errorf("title plays elsewhere %v: node skipped %v", elsewhere, skipped)
		}
	}
}

func TestSkippedNodeWithNewReportIsTriedBeforeDecline(t *testing.T) {
	for _, c := range []struct {
		outcome  decision.Outcome
		reported bool
		want     decision.Action
	}{{decision.ConnectionLost, true, decision.Place}, {decision.ConnectionLost, false, decision.Decline}, {decision.Rejected, true, decision.Decline}} {
		f := newTestPolicy(1)
		f.recordFailure(now, 0, decision.ConnectionLost)
		f.recordFailure(now, 0, c.outcome)
		if c.reported {
			f.applyReport(now+sec, 0, decision.Load{Streams: -1, Link: 0.5, Uplink: -1}, 0, 0)
		}
		_, r := f.AddPlay(now+2*sec, newRequest(0))
		if o := onlyOrder(t, r); o.Action != c.want {
			t.Errorf("%+v: got %v", c, o.Action)
		}
	}
}
