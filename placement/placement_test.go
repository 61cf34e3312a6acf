package placement

import (
	"math"
	"testing"

	"gullrail/decision"
)

func TestDeclinesWhenNoNodeHoldsTitle(t *testing.T) {
	pol := newTestPolicy(2)
	req := newRequest(0)
	req.FirstCell, req.CellCount = 2, 2
	h, r := pol.AddPlay(now, req)
	if o := onlyOrder(t, r); o.Action != decision.Decline || o.RetryAfter != 5000 {
		t.Fatalf("got %+v", o)
	}
	if pol.plays.Get(h) != nil {
		t.Fatal("a declined play was not dropped")
	}
}

func TestStaleHandleIsIgnored(t *testing.T) {
	pol := newTestPolicy(1)
	h, _ := pol.AddPlay(now, newRequest(0))
	pol.AttemptEnded(now, h, 0, decision.Served, true, decision.UnknownLoad)
	if r := pol.AttemptEnded(now, h, 0, decision.Errored, false, decision.UnknownLoad); len(r.Orders) != 0 {
		t.Fatalf("got %+v", r.Orders)
	}
}

func TestExploresLessAsSamplesGrow(t *testing.T) {
	pol := newTestPolicy(2)
	pol.kinds[0], pol.kinds[1] = kindStats{50, 50}, kindStats{50, -50}
	pol.samples = 10000
	better := 0
	for range 400 {
		if idx, _ := pol.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx == 0 {
			better++
		}
	}
	// minExploration explores in 5%, of which half use the worse kind.
	if better < 370 || better == 400 {
		t.Fatalf("better kind chosen %d times of 400", better)
	}
}

func TestKindsWithinPayoffToleranceAreEqual(t *testing.T) {
	pol := newTestPolicy(2)
	pol.samples = 1 << 40 // makes exploration as rare as minExploration allows
	pol.kinds[0], pol.kinds[1] = kindStats{10, 5}, kindStats{10, 4.2}
	pol.nodes[0].linkLoad = loadEstimate{now, 0.4, 0}
	other := 0
	for range 100 {
		if idx, _ := pol.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx == 1 {
			other++
		}
	}
	if other < 90 {
		t.Fatalf("node with more headroom of an equal kind chosen %d times of 100", other)
	}
}

func TestKindWithoutSamplesUsesMeanPayoff(t *testing.T) {
	pol := newTestPolicy(2)
	pol.addPayoff(0, 0.5)
	pol.addPayoff(0, -0.1)
	if m := pol.meanPayoff(1); math.Abs(m-0.2) > 1e-9 {
		t.Fatalf("got %v", m)
	}
}

func TestLeastUtilizedNodeIsUsedWithoutHeadroom(t *testing.T) {
	pol := newTestPolicy(3)
	for i, x := range []float64{0.97, 0.9, 0.95} {
		pol.nodes[i].linkLoad = loadEstimate{now, x, 0}
		pol.nodes[i].kind = 0
	}
	pol.nodes[1].linkLoad.reportedAt = never // the report is too old to decline a play
	if idx, _ := pol.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx != 1 {
		t.Fatalf("chose node %d", idx)
	}
}

func TestNodeThatViewerLeftIsSkipped(t *testing.T) {
	pol := newTestPolicy(2)
	pol.viewers = []viewer{{lastNode: 1, leftAt: now - skipDuration/2, movedAt: never}}
	for range 50 {
		if idx, _ := pol.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx != 1 {
			t.Fatal("chose the node that the viewer left")
		}
	}
}

func TestOwnZoneIsPreferredAmongEqualRungs(t *testing.T) {
	pol := newTestPolicy(2)
	pol.nodes[0].zone = 1
	for range 50 {
		if idx, _ := pol.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx != 1 {
			t.Fatal("chose another zone although the own zone allows the same rung")
		}
	}
}

func TestPayoffIsSampledOnceAfterTenSecondsAndOnFailure(t *testing.T) {
	pol := newTestPolicy(1)
	addPlaying(pol, 0, 0, 0, now-payoffDelay)
	pol.nodes[0].deliveredShare, pol.nodes[0].deliveredShareAt = 0.8, now
	pol.Wake(now)
	pol.Wake(now + 1)
	if k := pol.kinds[0]; k.count != 1 || math.Abs(k.sum-0.6) > 1e-9 {
		t.Fatalf("got %+v", k)
	}
	pol.nodes[0].deliveredShare = 1
	h, _ := pol.AddPlay(now, newRequest(0))
	pol.AttemptEnded(now, h, 0, decision.Errored, false, decision.UnknownLoad)
	if k := pol.kinds[0]; k.count != 2 || math.Abs(k.sum+0.4) > 1e-9 {
		t.Fatalf("after a failure: %+v", k)
	}
}

func TestSetUpKeepsLinkAndUplinkBelowTarget(t *testing.T) {
	pol := newTestPolicy(1)
	pol.nodes[0].linkLoad = loadEstimate{now, 0.6, 0}
	if r := pol.fitRung(now, 0, &play{request: newRequest(0)}, pol.headroom(now, 0)); r != 1 {
		t.Fatalf("link utilization 0.6: rung %d", r)
	}
	pol.settings["uplink.rate"] = []float64{850}
	if r := pol.fitRung(now, 0, &play{request: newRequest(0)}, pol.headroom(now, 0)); r != 0 {
		t.Fatalf("uplink nearly full: rung %d", r)
	}
}

func TestStartRungIsLimitedByMeanRung(t *testing.T) {
	pol := newTestPolicy(1)
	pol.meanRung = 0
	pol.nodes[0].linkLoad = loadEstimate{now, 0, 0}
	if r := pol.fitRung(now, 0, &play{request: newRequest(0)}, 1e9); r != 1 {
		t.Fatalf("rung %v at a mean rung of 0", r)
	}
}

func TestUtilizationIncludesReportAndLaterOwnChanges(t *testing.T) {
	pol := newTestPolicy(1, singleFront)
	addPlaying(pol, 0, 0, 1, 0)
	pol.applyReport(now, 0, decision.Load{Streams: -1, LinkUtilization: 0.5, UplinkUtilization: -1}, reportLag, 0)
	addPlaying(pol, 0, 0, 1, now)
	if a := pol.linkUtilization(now, 0); math.Abs(a-0.7) > 1e-9 {
		t.Fatalf("got %v", a)
	}
	pol.nodes[0].linkLoad.utilization = 0.1
	if a := pol.linkUtilization(now, 0); math.Abs(a-0.4) > 1e-9 {
		t.Fatalf("utilization %v, want 0.4 by own plays alone", a)
	}
}

// Without a fresh report a play may start at too high a rung. The report that comes with its set-up corrects it if
// steps down are due.
func TestFirstReportCorrectsStartWithoutFreshReport(t *testing.T) {
	for utilization, rung := range map[float64]int{0.5: 2, stepDownThreshold: 2, 1.5: 0} {
		pol := newTestPolicy(1)
		pol.nodes[0].steppedDownAt = now // an earlier step down that does not show in reports yet
		h, r := pol.AddPlay(now, newRequest(0))
		if o := onlyOrder(t, r); o.Rung != 2 {
			t.Fatalf("started at rung %d without a report", o.Rung)
		}
		pol.nodes[0].stepDownUtilization = 2
		pol.LoadReported(now+50*ms, h, decision.Load{Streams: -1, LinkUtilization: utilization, UplinkUtilization: -1})
		if p := pol.plays.Get(h); p.rung != rung {
			t.Errorf("utilization %v: rung %d, want %d", utilization, p.rung, rung)
		}
		pol.AttemptStarted(now+60*ms, h, 0)
		// To a later report all plays of the node react by their shares.
		pol.LoadReported(now+2*sec, h, decision.Load{Streams: -1, LinkUtilization: 1.9, UplinkUtilization: -1})
		if p := pol.plays.Get(h); p.rung != rung {
			t.Errorf("utilization %v, then 1.9: rung %d, want %d", utilization, p.rung, rung)
		}
	}
}

// A play that started on a fresh report is not corrected by itself: all plays of the node step down by their
// shares.
func TestFirstReportDoesNotCorrectStartOnFreshReport(t *testing.T) {
	for age, rung := range map[int64]int{sec: 2, freshReportMaxAge + 1: 0} {
		pol := newTestPolicy(1)
		pol.nodes[0].linkLoad, pol.nodes[0].steppedDownAt, pol.nodes[0].stepDownUtilization = loadEstimate{now, 0.1, 0}, now, 2
		h, r := pol.AddPlay(now+age, newRequest(0))
		if o := onlyOrder(t, r); o.Rung != 2 {
			t.Fatalf("started at rung %d", o.Rung)
		}
		pol.LoadReported(now+age, h, decision.Load{Streams: -1, LinkUtilization: 1.5, UplinkUtilization: -1})
		if p := pol.plays.Get(h); p.rung != rung {
			t.Errorf("report %v s old: rung %d, want %d", float64(age)/float64(sec), p.rung, rung)
		}
	}
}

// A link that degrades further before a step down shows is stepped down again, by no more than the additional
// loss.
func TestLinkThatDegradesFurtherIsSteppedDownAgain(t *testing.T) {
	// Small steps.
	pol := newTestPolicy(1, singleFront, func(set map[string][]float64) { set["rung.rate"] = []float64{1, 2, 4} })
	for range 300 {
		addPlaying(pol, 0, 0, 2, 0)
	}
	n, initial := &pol.nodes[0], pol.nodes[0].ownRate
	report := func(at int64, share, left float64) {
		t.Helper()
		pol.DeliveryReported(at, pol.nodes[0].plays[0], share)
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
	report(now+2*sec+int64(pol.setting("note.lag"))+settleTime, 0.8, stepDownTarget*0.6*stepDownTarget*0.8)
}

func TestStepDownPicksPlaysThatLoseLeast(t *testing.T) {
	pol := newTestPolicy(1)
	a, _ := addPlaying(pol, 0, 0, 2, 0)
	b, _ := addPlaying(pol, 0, 1, 2, 0)
	other, important := pol.plays.Get(a), pol.plays.Get(b)
	pol.beginCall()
	pol.stepDown(now, 0, 1.3, stepDownThreshold)
	if other.rung == 2 || important.rung != 2 {
		t.Fatalf("rungs %d and %d", other.rung, important.rung)
	}
	before := pol.nodes[0].ownRate
	pol.stepDown(now+sec, 0, 1.3, stepDownThreshold)
	if pol.nodes[0].ownRate != before {
		t.Fatal("stepped down again before the first step could show")
	}
}

func TestStepUpUsesOnlyOwnShareOfHeadroom(t *testing.T) {
	pol := newTestPolicy(1)
	for range 8 {
		addPlaying(pol, 0, 0, 0, 0)
	}
	pol.nodes[0].linkLoad = loadEstimate{now, 0.2, pol.nodes[0].ownRate}
	pol.beginCall()
	pol.stepUp(now, 0)
	// Own plays use 0.8, so the headroom is 50: too little for a step of 100.
	if len(pol.result.Orders) != 0 {
		t.Fatalf("stepped up beyond targetUtilization: %+v", pol.result.Orders)
	}
	pol.settings["weight.rate"] = []float64{2000}
	pol.nodes[0].linkLoad.utilization = 0.6
	pol.stepUp(now, 0) // headroom 500, of which 333 for own plays, which are two thirds of the demand
	if n := len(pol.result.Orders); n < 3 || n > 4 {
		t.Fatalf("%d steps", n)
	}
}

func TestStepUpAtMostOnceInTenSeconds(t *testing.T) {
	pol := newTestPolicy(1)
	_, p := addPlaying(pol, 0, 0, 0, 0)
	p.steppedUpAt = now - stepUpInterval/2
	pol.beginCall()
	pol.stepUp(now, 0)
	if p.rung != 0 {
		t.Fatal("stepped up twice in ten seconds")
	}
}

func TestShedMovesOnePlayAfterAllStepDowns(t *testing.T) {
	pol := newTestPolicy(2)
	addPlaying(pol, 0, 0, 0, 0)
	_, p := addPlaying(pol, 0, 0, 1, 0)
	n := &pol.nodes[0]
	n.deliveredShare, n.deliveredShareAt, n.shortSince = 0.8, now, now-shortConfirmDelay
	pol.beginCall()
	pol.shed(now, 0)
	if countActions(&pol.result, decision.Move) != 0 {
		t.Fatal("moved a play before all plays had stepped down")
	}
	pol.updateRung(p, 0)
	pol.shed(now, 0)
	pol.shed(now+sec, 0)
	if countActions(&pol.result, decision.Move) != 1 {
		t.Fatalf("got %+v", pol.result.Orders)
	}
	n.deliveredShareAt = now + shedInterval
	pol.shed(now+shedInterval, 0)
	n.deliveredShareAt = now + 2*shedInterval
	pol.shed(now+2*shedInterval, 0)
	if countActions(&pol.result, decision.Move) != 2 {
		t.Fatalf("a viewer was moved twice in 5 min: %+v", pol.result.Orders)
	}
}

func TestShortUplinkIsInferredFromRackLinks(t *testing.T) {
	pol := newTestPolicy(4) // cells 0 and 2 share a rack
	addPlaying(pol, 0, 0, 2, 0)
	addPlaying(pol, 2, 0, 2, 0)
	pol.beginCall()
	pol.applyShare(now, 0, 0.9)
	pol.applyShare(now, 2, 0.9)
	if got := pol.uplinkCapacity(now, 0); math.Abs(got-0.9*pol.rackDemand(now, 0)) > 200 || pol.racks[1].observed.observedAt != 0 {
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
	pol := newTestPolicy(1)
	at := int64(now)
	for _, skip := range []int64{skipDuration, 2 * skipDuration} {
		pol.recordFailure(at, 0, decision.Errored)
		if pol.nodes[0].skipUntil != at+skip {
			t.Fatalf("skipped for %d", pol.nodes[0].skipUntil-at)
		}
		at += skip
	}
	req := newRequest(0)
	req.Deadline = at + 4*sec
	h, _ := pol.AddPlay(at, req)
	pol.AttemptStarted(at, h, 0)
	if pol.nodes[0].consecutiveFailures != 0 {
		t.Fatal("consecutiveFailures was not reset by a success")
	}
}

func TestRejectingNodeIsSkipped(t *testing.T) {
	pol := newTestPolicy(1)
	pol.recordFailure(now, 0, decision.Rejected)
	if pol.nodes[0].skipUntil != now+rejectionBackoff {
		t.Fatalf("skipped for %d", pol.nodes[0].skipUntil-now)
	}
}

func TestFullLinkWithPlaysAtFloorTakesNoMore(t *testing.T) {
	pol := newTestPolicy(1)
	_, p := addPlaying(pol, 0, 0, 0, 0)
	pol.nodes[0].linkLoad = loadEstimate{now, 1.0, pol.nodes[0].ownRate}
	if !pol.isFull(now, 0, pol.highestUtilization(now, 0), 100) {
		t.Fatal("not full at a utilization of 1")
	}
	pol.updateRung(p, 2)
	if pol.isFull(now, 0, pol.highestUtilization(now, 0), 100) {
		t.Fatal("full although a play can step down")
	}
	pol.updateRung(p, 0)
	if pol.isFull(now+fullReportMaxAge+1, 0, pol.highestUtilization(now, 0), 100) {
		t.Fatal("full because of an old report")
	}
}

func TestPaidPlayThatMayHaveRunFails(t *testing.T) {
	pol := newTestPolicy(2)
	h, r := pol.AddPlay(now, newRequest(1))
	if o := onlyOrder(t, r); o.Deadline != now+4*sec {
		t.Fatalf("a paid play must wait until its deadline, got %+v", o)
	}
	if o := onlyOrder(t, pol.AttemptEnded(now, h, 0, decision.Errored, false, decision.UnknownLoad)); o.Action != decision.Fail {
		t.Fatalf("got %+v", o)
	}
}

func TestPaidPlayIsReallocatedIfItNeverRan(t *testing.T) {
	pol := newTestPolicy(2)
	h, _ := pol.AddPlay(now, newRequest(1))
	if o := onlyOrder(t, pol.AttemptEnded(now, h, 0, decision.NoConnect, false, decision.UnknownLoad)); o.Action != decision.Place {
		t.Fatalf("got %+v", o)
	}
}

func TestUnpaidPlayLeavesTimeForAnotherAttempt(t *testing.T) {
	pol := newTestPolicy(2)
	_, r := pol.AddPlay(now, newRequest(0))
	if o := onlyOrder(t, r); o.Deadline != now+sec/2 {
		t.Fatalf("attempt given up after %d", o.Deadline-now)
	}
}

func TestReallocationBudget(t *testing.T) {
	pol := newTestPolicy(1)
	p := &play{request: newRequest(0), attempt: 0}
	pol.acceptedTimes = []int64{now - 9*sec, now}
	pol.reallocationTimes = []int64{now - 9*sec}
	if !pol.mayReallocate(now, p) {
		t.Fatal("second of two free reallocations was refused")
	}
	pol.reallocationTimes = append(pol.reallocationTimes, now)
	if pol.mayReallocate(now, p) {
		t.Fatal("third reallocation within the window was allowed")
	}
	if !pol.mayReallocate(now+2*sec, p) {
		t.Fatal("a reallocation before the window still counts")
	}
}

func TestDrainingNodeGetsNoPlays(t *testing.T) {
	pol := newTestPolicy(1)
	pol.UpdateNodes(now, []decision.Node{{Index: 0, Phase: decision.Draining, Weight: 1}}, false)
	if _, r := pol.AddPlay(now, newRequest(0)); onlyOrder(t, r).Action != decision.Decline {
		t.Fatal("a play was placed on a draining node")
	}
}

func TestColdNodeIsPacedByTurns(t *testing.T) {
	one, two := newTestPolicy(1), newTestPolicy(1, func(s map[string][]float64) { s["front"] = []float64{1} })
	sent := 0
	for _, pol := range []*Policy{one, two} {
		pol.nodes[0].startedAt, pol.nodes[0].lastTurn = now, -1
	}
	highest, window := 0, []int64{}
	for at := int64(now); at < now+12*sec; at += 100 {
		for _, pol := range []*Policy{one, two} {
			if pol.maySetUp(at, 0) {
				pol.nodes[0].lastTurn, _ = pol.coldTurn(at, 0)
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
			pol := newTestPolicy(1, func(s map[string][]float64) {
				s["fronts"], s["front"] = []float64{float64(fronts)}, []float64{float64(i)}
			})
			pol.nodes[0].startedAt, pol.nodes[0].lastTurn = now, -1
			all = append(all, pol)
		}
		one, window, sent, restarts, restarted := all[0], []int64{}, 0, 0, map[int]bool{}
		over, lasts := one.setting("fall.over"), one.setting("cold.lasts")
		for at := int64(now); at < now+int64(lasts); at += 100 {
			for i, pol := range all {
				if i%3 == 0 && at < now+2*sec { // learns late of the start
					continue
				}
				if pol.maySetUp(at, 0) {
					pol.nodes[0].lastTurn, _ = pol.coldTurn(at, 0)
					window = append(window, at)
					sent++
					if !restarted[i] && sent%3 == 0 { // a restart: the front forgets its last turn
						pol.nodes[0].lastTurn, restarted[i] = -1, true
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
	pol := newTestPolicy(1)
	pol.recordFailure(now, 0, decision.ConnectionLost)
	back := int64(now + 30*sec)
	req := newRequest(0)
	req.Deadline = back + 4*sec
	h, _ := pol.AddPlay(back, req)
	pol.AttemptStarted(back, h, 0)
	if share := pol.warmShare(back, 0); share != 0.4 {
		t.Fatalf("capacity share %v right after its return", share)
	}
}

func TestSeatsCountSetUpsAndAdoptedPlays(t *testing.T) {
	pol := newTestPolicy(2)
	pol.AdoptPlay(now, newRequest(1), 0)
	pol.AddPlay(now, newRequest(1))
	if _, r := pol.AddPlay(now, newRequest(1)); onlyOrder(t, r).Action != decision.Decline {
		t.Fatal("placed a third play with two seats")
	}
}

func TestProductFloorIsKept(t *testing.T) {
	pol := newTestPolicy(1)
	h, _ := pol.AdoptPlay(now, newRequest(1), 0)
	if o := onlyOrder(t, pol.RungReported(now, h, 0)); o.Action != decision.SetRung || o.Rung != 1 {
		t.Fatalf("got %+v", o)
	}
	pol.beginCall()
	pol.stepDown(now, 0, 5, stepDownThreshold)
	if p := pol.plays.Get(h); p.rung != 1 {
		t.Fatalf("stepped down to rung %d", p.rung)
	}
}

func TestCommonPathAllocatesNoMemory(t *testing.T) {
	pol := newTestPolicy(4)
	req := newRequest(0)
	at := int64(now)
	if n := testing.AllocsPerRun(2000, func() {
		at += sec
		req.Deadline = at + 4*sec
		h, _ := pol.AddPlay(at, req)
		pol.AttemptStarted(at, h, 0)
		pol.Wake(at)
		pol.AttemptEnded(at, h, 0, decision.Served, true, decision.UnknownLoad)
	}); n != 0 {
		t.Fatalf("%v memory allocations per play", n)
	}
}

func TestReportAfterStepUpAndDownToLowestRung(t *testing.T) {
	pol := newTestPolicy(1)
	h, p := addPlaying(pol, 0, 0, 0, 0)
	pol.setRung(now, h, p, 1)
	pol.setRung(now, h, p, 0)
	pol.applyReport(now, 0, decision.Load{Streams: -1, LinkUtilization: 0.5, UplinkUtilization: -1}, reportLag, 0)
	if a := pol.linkUtilization(now, 0); math.Abs(a-0.5) > 1e-9 {
		t.Fatalf("got %v", a)
	}
}

func TestPlayNearDeadlineDoesNotWait(t *testing.T) {
	pol := newTestPolicy(1)
	pol.nodes[0].skipUntil = now + 100*ms
	req := newRequest(0)
	if _, r := pol.AddPlay(now, req); len(r.Orders) != 0 {
		t.Fatalf("play did not wait: %+v", r.Orders)
	}
	req.Deadline = now + 100*ms
	if _, r := pol.AddPlay(now, req); onlyOrder(t, r).Action != decision.Decline {
		t.Fatal("play waits beyond its deadline")
	}
}

func TestOneOfManyFrontsLeavesMostMovesToOthers(t *testing.T) {
	pol, moved := newTestPolicy(1), 0
	addPlaying(pol, 0, 0, 0, 0)
	for i := range int64(40) {
		pol.viewers[1].movedAt = never
		n := &pol.nodes[0]
		n.linkLoad = loadEstimate{now + i*shedInterval, 1.1, n.ownRate} // own plays are a tenth of the demand
		n.deliveredShare, n.deliveredShareAt, n.shortSince = 0.9, n.linkLoad.reportedAt, n.linkLoad.reportedAt-shortConfirmDelay
		pol.beginCall()
		pol.shed(n.linkLoad.reportedAt, 0)
		moved += countActions(&pol.result, decision.Move)
	}
	if moved == 0 || moved > 10 {
		t.Fatalf("%d moves in 40 intervals", moved)
	}
}

func TestOwnSetUpGrowthIsBoundedAmongManyFronts(t *testing.T) {
	pol := newTestPolicy(1, func(s map[string][]float64) { s["fronts"] = []float64{300} })
	pol.nodes[0].linkLoad = loadEstimate{now, 0.4, 0}
	addPlaying(pol, 0, 0, 0, now)
	if a := pol.linkUtilization(now, 0); a > 0.6 {
		t.Fatalf("an own set-up of 0.1 raised the utilization by %v", a-0.4)
	}
}

func TestUnknownAndOldReportsDecayToAverage(t *testing.T) {
	pol := newTestPolicy(2)
	pol.meanUtilization = 0.7
	pol.nodes[0].linkLoad = loadEstimate{now, 0.2, 0}
	recent, old, unknown := pol.linkUtilization(now+2*sec, 0), pol.linkUtilization(now+reportDecayTime, 0), pol.linkUtilization(now, 1)
	if recent > 0.25 || old != 0.7 || unknown != 0.7 {
		t.Fatalf("recent report %v, old report %v, no report %v", recent, old, unknown)
	}
}

func TestFrontWithoutReportsAssumesOthersCarryAsMuch(t *testing.T) {
	pol := newTestPolicy(4, func(s map[string][]float64) { s["fronts"] = []float64{20} })
	addPlaying(pol, 0, 0, 1, 0)
	pol.Wake(now)
	if math.Abs(pol.meanUtilization-1) > 0.01 { // own rate 200, 20 fronts, 4 links of 1000
		t.Fatalf("assumed utilization %v", pol.meanUtilization)
	}
	pol.applyReport(now, 1, decision.Load{Streams: -1, LinkUtilization: 0.5, UplinkUtilization: -1}, reportLag, 0)
	pol.Wake(now + 1)
	if pol.meanUtilization > 0.96 {
		t.Fatalf("utilization %v after a report of 0.5", pol.meanUtilization)
	}
}

func withProbing(set map[string][]float64) { set["probing"] = []float64{1} }

func TestProbesHoldersBeforePlacing(t *testing.T) {
	pol := newTestPolicy(2, withProbing)
	h, r := pol.AddPlay(now, newRequest(0))
	if len(r.Orders) != 0 || len(r.Probes) == 0 {
		t.Fatalf("got %+v, want probes and no order", r)
	}
	for _, idx := range []int{0, 1} { // node 1 is nearly full
		if len(r.Orders) != 0 {
			t.Fatalf("orders before node %d answered: %+v", idx, r.Orders)
		}
		r = pol.ProbeEnded(now+10*ms, idx, decision.Served, decision.Load{Streams: -1, LinkUtilization: 0.1 + 0.7*float64(idx), UplinkUtilization: -1})
	}
	if o := onlyOrder(t, r); o.Action != decision.Place || o.Play != h || o.Node != 0 {
		t.Fatalf("got %+v, want the play placed on node 0", o)
	}
	if p := pol.plays.Get(h); p.stage != settingUp || p.node != 0 {
		t.Fatalf("placed on node %d", p.node)
	}
}

func TestPlayNearDeadlineIsPlacedWithoutProbes(t *testing.T) {
	pol := newTestPolicy(2, withProbing)
	req := newRequest(0)
	req.Deadline = now + 300*ms
	if _, r := pol.AddPlay(now, req); len(r.Orders) != 1 || r.Orders[0].Action != decision.Place {
		t.Fatalf("got %+v", r.Orders)
	}
}

func TestUnansweredProbeTimesOut(t *testing.T) {
	pol := newTestPolicy(2, withProbing)
	h, _ := pol.AddPlay(now, newRequest(0))
	pol.Wake(now + queryTimeout)
	if p := pol.plays.Get(h); p.stage != settingUp {
		t.Fatal("still waits for an unanswered probe")
	}
}

func TestOldReportOfNodeWithOnePlayIsRefreshedLessOften(t *testing.T) {
	refreshes := func(plays int) bool {
		pol := newTestPolicy(1, withProbing)
		for range plays {
			addPlaying(pol, 0, 0, 0, 0)
		}
		pol.nodes[0].linkLoad, pol.meanUtilization = loadEstimate{now - reportRecheckInterval/2, 0.9, pol.nodes[0].ownRate}, 0.9
		pol.beginCall()
		pol.stepUp(now, 0)
		return len(pol.result.Probes) > 0
	}
	if refreshes(1) || !refreshes(3) {
		t.Fatal("want an old report refreshed for three plays, but not for one")
	}
}

func TestUnreportedUplinkCountsAsAverage(t *testing.T) {
	pol := newTestPolicy(4, func(s map[string][]float64) { s["reports.uplink"] = []float64{1} })
	for i := range int64(40) {
		pol.applyReport(now+i, 0, decision.Load{Streams: -1, LinkUtilization: 0.3, UplinkUtilization: 2}, 0, 0)
	}
	if a := pol.uplinkUtilization(now, 1); a < 1.8 {
		t.Fatalf("utilization of an uplink without reports is %v", a)
	}
}

func TestClockJumpsWithHundredsOfFrontsAndNodes(t *testing.T) {
	pol := newTestPolicy(400, func(s map[string][]float64) {
		s["fronts"], s["cells"], s["racks"] = []float64{300}, []float64{400}, []float64{40}
	})
	at := int64(now)
	for range 50 { // the process stalls for two seconds between calls
		req := newRequest(1)
		req.Deadline = at + 4*sec
		h, _ := pol.AddPlay(at, req)
		pol.Wake(at)
		at += 2 * sec
		if p := pol.plays.Get(h); p != nil && p.stage == pending {
			t.Fatal("still pending after a stall")
		}
		pol.AttemptEnded(at, h, 0, decision.NoAnswer, false, decision.UnknownLoad)
	}
	if len(pol.waiting) != 0 || pol.plays.Get(decision.Handle{}) != nil {
		t.Fatal("plays are left over")
	}
}

func TestUnderusedLinkMayExceedRungLimit(t *testing.T) {
	pol := newTestPolicy(2)
	pol.meanRung, pol.meanUtilization = 0, 0.9
	pol.nodes[0].linkLoad, pol.nodes[1].linkLoad = loadEstimate{now, 0.1, 0}, loadEstimate{now, 0.6, 0}
	for idx, want := range []int{2, 1} {
		_, p := addPlaying(pol, idx, 0, 1, 0)
		pol.beginCall()
		pol.nodes[idx].linkLoad.ownRate = pol.nodes[idx].ownRate
		pol.stepUp(now, idx)
		if p.rung != want {
			t.Fatalf("node %d: rung %d", idx, p.rung)
		}
	}
}

func TestSetUpOnUnknownNodeStartsAtMeanRung(t *testing.T) {
	pol := newTestPolicy(2)
	pol.meanRung = 0.8
	pol.nodes[0].linkLoad = loadEstimate{now, 0.1, 0}
	if known, unknown := int(pol.rungLimit(now, 0)), int(pol.rungLimit(now, 1)); known != 1 || unknown != 1 {
		t.Fatalf("rung limits %d and %d at a mean of 0.8", known, unknown)
	}
	pol.meanRung = 1.2
	if known, unknown := int(pol.rungLimit(now, 0)), int(pol.rungLimit(now, 1)); known != 2 || unknown != 1 {
		t.Fatalf("rung limits %d and %d at a mean of 1.2", known, unknown)
	}
}

func TestViewersAndNodesAreForgottenOnceUnneeded(t *testing.T) {
	pol := newTestPolicy(2)
	pol.viewers[0] = viewer{lastNode: 1, leftAt: now, movedAt: never}
	if pol.ForgetViewer(now+skipDuration-1, 0) || !pol.ForgetViewer(now+skipDuration, 0) {
		t.Fatal("a viewer that left a node must be remembered for exactly skipDuration")
	}
	pol.viewers[0].movedAt = now
	if pol.ForgetViewer(now+moveInterval-1, 0) || !pol.ForgetViewer(now+moveInterval, 0) || pol.viewers[0] != unknownViewer {
		t.Fatal("a moved viewer must be remembered for exactly moveInterval, then cleared")
	}
	h, _ := addPlaying(pol, 1, 0, 0, now)
	pol.UpdateNodes(now, []decision.Node{{Index: 1, Cell: 1, Phase: decision.Gone}}, false)
	if pol.ForgetNode(now+skipDuration, 1) {
		t.Fatal("a node with a play was forgotten")
	}
	pol.AttemptEnded(now, h, 0, decision.Served, true, decision.UnknownLoad)
	if pol.ForgetNode(now+skipDuration-1, 1) || pol.ForgetNode(now+skipDuration, 0) || !pol.ForgetNode(now+skipDuration, 1) {
		t.Fatal("only a node without plays that is gone for skipDuration may be forgotten")
	}
}

func TestNoProbesIfAnswersCarryLoad(t *testing.T) {
	pol := newTestPolicy(2, withProbing, func(s map[string][]float64) { s["reports.answers"] = []float64{1} })
	if _, r := pol.AddPlay(now, newRequest(0)); len(r.Probes) != 0 || onlyOrder(t, r).Action != decision.Place {
		t.Fatalf("got %+v", r)
	}
}

// withPeers enables messages between fronts.
func withPeers(set map[string][]float64) { set["peers"] = []float64{1} }

// withKeys gives node i the key i+10, so that of two fronts front (i+10)%2 owns it.
func withKeys(pol *Policy) *Policy {
	for i := range pol.nodes {
		pol.nodes[i].key = uint32(i + 10)
		pol.nodesByKey[uint32(i+10)] = i
	}
	pol.lastMessageAt = now
	return pol
}

// reportMessage encodes a report: the link utilization in 64ths and the age in tenths of a second.
func reportMessage(kind byte, key uint32, link, age, meanRung byte) []byte {
	return []byte{kind, 0, 0, 0, byte(key), link, unknownByte, age, meanRung}
}

func TestQueriesOwnersBeforeSetUpAndUsesTheirReports(t *testing.T) {
	pol := withKeys(newTestPolicy(4, withPeers))
	h, r := pol.AddPlay(now, newRequest(0))
	if len(r.Orders) != 0 || len(r.Probes) != 0 || len(r.Messages) == 0 {
		t.Fatalf("got %+v, want queries and no order", r)
	}
	for _, m := range r.Messages {
		if m.To != 1 || m.Bytes[0] != messageQuery || m.Bytes[4]%2 != 1 {
			t.Fatalf("message to %d: %v", m.To, m.Bytes)
		}
	}
	for idx := range pol.nodes { // node 1 is nearly empty, the others nearly full
		utilization := byte(52)
		if idx == 1 {
			utilization = 13
		}
		pol.MessageReceived(now+10*ms, 1, reportMessage(messageReport, uint32(idx+10), utilization, 0, unknownByte))
	}
	if p := pol.plays.Get(h); p.stage != settingUp || p.node != 1 {
		t.Fatalf("stage %d, node %d", p.stage, p.node)
	}
}

func TestPlayIsPlacedWhenAnswersAreLost(t *testing.T) {
	pol := withKeys(newTestPolicy(2, withPeers))
	h, r := pol.AddPlay(now, newRequest(0))
	if r.WakeAt > now+queryTimeout {
		t.Fatalf("WakeAt is %d after the call, want at most queryTimeout", r.WakeAt-now)
	}
	pol.Wake(now + queryTimeout)
	if p := pol.plays.Get(h); p.stage != settingUp {
		t.Fatal("still waits for a lost answer")
	}
	pol = withKeys(newTestPolicy(2, withPeers))
	pol.lastMessageAt = now - peerSilenceTimeout
	if _, r = pol.AddPlay(now, newRequest(0)); countActions(r, decision.Place) != 1 {
		t.Fatal("waits for answers although no message arrived for peerSilenceTimeout")
	}
}

func TestUnlistedNodesAndOlderReportsInMessagesAreIgnored(t *testing.T) {
	pol := withKeys(newTestPolicy(2, withPeers))
	pol.nodes[0].linkLoad = loadEstimate{now - 2*sec, 0.5, 0}
	// 3 s old, older than the stored report.
	pol.MessageReceived(now, 1, reportMessage(messageReport, 10, 64, 30, unknownByte))
	if pol.nodes[0].linkLoad.utilization != 0.5 {
		t.Fatal("an older report replaced a newer one")
	}
	pol.MessageReceived(now, 1, reportMessage(messageReport, 10, 64, 10, unknownByte))
	if n := pol.nodes[0]; n.linkLoad.utilization != 1 || n.linkLoad.reportedAt != now-sec {
		t.Fatalf("got %+v", n.linkLoad)
	}
	if r := pol.MessageReceived(now, 1, []byte{messageQuery, 0, 0, 0, 99}); len(r.Messages) != 0 {
		t.Fatal("answered a query for an unlisted node")
	}
	if r := pol.MessageReceived(now, 2, []byte{messageQuery, 0, 0, 0, 10}); len(r.Messages) != 0 {
		t.Fatal("answered a front that does not exist")
	}
	pol.UpdateNodes(now, []decision.Node{{Index: 0, Phase: decision.Gone, Weight: 1, Key: 10}}, false)
	if r := pol.MessageReceived(now, 1, []byte{messageQuery, 0, 0, 0, 10}); len(r.Messages) != 0 {
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
	pol := withKeys(newTestPolicy(1, withPeers, func(s map[string][]float64) { s["fronts"] = []float64{300} }))
	pol.startedAt = now - 20*sec
	pol.nodes[0].startedAt, pol.nodes[0].lastTurn = now, -1
	window, grants, highest := int64(pol.setting("fall.over")), []int64{}, 0
	for at := int64(now); at < now+12*sec; at += 100 { // all fronts query all the time
		if r := pol.MessageReceived(at, 1+int(at/100)%299, []byte{messageQuery, 0, 0, 0, 10}); r.Messages[0].Bytes[0] == messageGrant {
			grants = append(grants, at)
		}
		grants = dropBefore(grants, at-window)
		highest = max(highest, len(grants))
	}
	// The limit is 2.5 times 20 streams in 12 s, scaled by a capacity share of 0.4 to 1: 1.7 set-ups in the first
	// second, 4.2 in the last. Grants use a quarter of it.
	if turn, _ := pol.coldTurn(now+12*sec-1, 0); highest > 1 || pol.nodes[0].lastTurn < turn/2 {
		t.Fatalf("%d grants in one window, up to turn %d of %d", highest, pol.nodes[0].lastTurn, turn)
	}
	g := withKeys(newTestPolicy(1, withPeers))
	g.nodes[0].startedAt, g.nodes[0].lastTurn, g.startedAt = now-6*sec, -1, now
	if r := g.MessageReceived(now+window, 1, []byte{messageQuery, 0, 0, 0, 10}); r.Messages[0].Bytes[0] == messageGrant {
		t.Fatal("an owner that has just started granted a set-up")
	}
}

func TestGrantAllowsOneTimelySetUpOnColdNode(t *testing.T) {
	pol := withKeys(newTestPolicy(2, withPeers))
	n := &pol.nodes[1] // owned by front 1
	n.startedAt, n.probedAt = now-5*sec, now
	if pol.maySetUp(now, 1) {
		t.Fatal("cold node used without a grant")
	}
	g := withKeys(newTestPolicy(2, withPeers))
	g.nodes[0].startedAt, g.nodes[0].probedAt = now-5*sec, now
	if g.MessageReceived(now+10*ms, 1, reportMessage(messageGrant, 10, 0, 0, unknownByte)); g.nodes[0].grantedUntil != 0 {
		t.Fatal("accepted a grant of a front that does not own the node")
	}
	pol.MessageReceived(now+10*ms, 1, reportMessage(messageGrant, 11, 0, 0, unknownByte))
	if !pol.maySetUp(now+queryTimeout-1, 1) || pol.maySetUp(now+queryTimeout, 1) {
		t.Fatal("a grant must be valid for queryTimeout after the query")
	}
	pol.nodes[0].phase = decision.Draining
	if _, r := pol.AddPlay(now+20*ms, newRequest(0)); countActions(r, decision.Place) != 1 {
		t.Fatalf("got %+v", r.Orders)
	}
	if pol.maySetUp(now+30*ms, 1) {
		t.Fatal("a second set-up is allowed by one grant")
	}
}

func TestPeerMeanRungEnablesProductOffsets(t *testing.T) {
	pol := withKeys(newTestPolicy(1, withPeers, func(s map[string][]float64) { s["rung.worth"] = []float64{0.3, 0.6, 0.9} }))
	// Importance 1 and 2: the offsets are ln 2 / ln 2 rungs apart.
	ordinary, important := &play{request: newRequest(0)}, &play{request: newRequest(1)}
	if pol.rungOffset(important) != 0 {
		t.Fatal("offset applied to the mean rung of own plays alone")
	}
	for range int(fullPeerWeight) {
		pol.MessageReceived(now, 1, reportMessage(messageReport, 10, 0, 0, byte((1.5+meanRungOffset)*meanRungSteps)))
	}
	pol.Wake(now)
	if math.Abs(pol.meanRung-1.5) > 1e-9 || math.Abs(pol.rungOffset(important)-pol.rungOffset(ordinary)-1) > 1e-9 {
		t.Fatalf("mean rung %v, offsets %v and %v", pol.meanRung, pol.rungOffset(ordinary), pol.rungOffset(important))
	}
	pol.Wake(now + 2*peerSilenceTimeout + 1)
	if pol.meanRung != 0 || pol.rungOffset(important) != 0 {
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
		pol := withKeys(newTestPolicy(200, withLiveTitles))
		pol.rng.Float64()
		for range seed {
			pol.rng.Float64()
		}
		req := newRequest(0)
		req.CellCount, req.Key = 200, 77
		h, _ := pol.AddPlay(now, req)
		p := pol.plays.Get(h)
		// 100 viewers add 120 each. At half of a link of 1000 per node, 24 of the 200 nodes are used.
		if !p.sharesStream || p.rung != 2 || pol.rate(p, 2) > 200 {
			t.Fatalf("sharesStream %v, rung %d, added rate %v", p.sharesStream, p.rung, pol.rate(p, 2))
		}
		used[p.node] = true
	}
	if len(used) > 40 {
		t.Fatalf("60 fronts used %d of 200 nodes", len(used))
	}
	pol := withKeys(newTestPolicy(200, withLiveTitles))
	req := newRequest(1) // a product that is not live
	req.CellCount, req.Key = 200, 77
	h, _ := pol.AddPlay(now, req)
	if p := pol.plays.Get(h); p.sharesStream || pol.rate(p, 2) != 400 {
		t.Fatal("a play of a product that is not live shares a stream")
	}
}

func TestStreamSharersKeepRungWhenOthersStepDown(t *testing.T) {
	pol := newTestPolicy(1, singleFront)
	a, _ := addPlaying(pol, 0, 0, 2, 0)
	_, other := addPlaying(pol, 0, 0, 2, 0)
	sharer := pol.plays.Get(a)
	sharer.sharesStream = true
	pol.beginCall()
	pol.stepDown(now, 0, 2, stepDownThreshold)
	if sharer.rung != 2 || other.rung == 2 {
		t.Fatalf("rungs %d and %d", sharer.rung, other.rung)
	}
}

func TestHoldersWithRecentReportsArePreferred(t *testing.T) {
	pol := withKeys(newTestPolicy(4, withPeers))
	pol.samples, pol.meanUtilization = 1<<40, 0.2
	pol.nodes[2].linkLoad = loadEstimate{now, 0.4, 0}
	for range 50 {
		if idx, _ := pol.chooseNode(now, &play{request: newRequest(0), attempt: -1}); idx != 2 {
			t.Fatalf("chose node %d, which has no report", idx)
		}
	}
}

func TestAdoptedLiveViewersShareStreams(t *testing.T) {
	pol := withKeys(newTestPolicy(10, withLiveTitles))
	req := newRequest(0)
	req.CellCount, req.Key = 200, 77
	h, _ := pol.AdoptPlay(now, req, 3) // 100 expected viewers on ten nodes
	pol.RungReported(now, h, 2)
	if p := pol.plays.Get(h); !p.sharesStream || math.Abs(pol.nodes[3].ownRate-148) > 1e-6 { // 400 x (0.3 + 0.7 / 10)
		t.Fatalf("sharesStream %v, own rate of the node %v", p.sharesStream, pol.nodes[3].ownRate)
	}
	pol.AttemptEnded(now, h, 0, decision.Served, true, decision.UnknownLoad)
	if math.Abs(pol.nodes[3].ownRate) > 1e-6 {
		t.Fatalf("rate %v is left on the node", pol.nodes[3].ownRate)
	}
}

func TestSharedStreamsStepDownOnceAllPlaysAreAtFloor(t *testing.T) {
	pol := withKeys(newTestPolicy(1, withLiveTitles, singleFront))
	a, _ := addPlaying(pol, 0, 0, 2, now-sec)
	b, _ := addPlaying(pol, 0, 1, 2, now-sec)
	sharer, other := pol.plays.Get(a), pol.plays.Get(b)
	sharer.sharesStream = true
	pol.updateRung(other, 1) // its floor
	for _, c := range []struct {
		otherRung   float64
		utilization float64
		allAtFloor  bool
		rung        int
	}{{2, 1.3, false, 2}, {1, 0.97, true, 2}, {1, 1.3, true, 1}} {
		pol.nodes[0].steppedDownAt = never
		pol.updateRung(other, int(c.otherRung))
		pol.Wake(now)
		if pol.allAtFloor != c.allAtFloor {
			t.Fatalf("mean rung %v: allAtFloor %v", pol.meanRung, pol.allAtFloor)
		}
		pol.stepDown(now, 0, c.utilization, stepDownThreshold)
		if sharer.rung != c.rung {
			t.Fatalf("at mean rung %v, utilization %v: rung %d", c.otherRung, c.utilization, sharer.rung)
		}
	}
}

func TestErrorCountsAgainstNodeOnlyIfTitlePlaysElsewhere(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		pol := newTestPolicy(2)
		if elsewhere {
			addPlaying(pol, 1, 0, 1, now-sec)
		}
		req := newRequest(0)
		req.CellCount = 1
		h, r := pol.AddPlay(now, req)
		pol.AttemptEnded(now, h, onlyOrder(t, r).Attempt, decision.Errored, false, decision.UnknownLoad)
		if skipped := pol.nodes[0].skipUntil > now; skipped != elsewhere {
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
		pol := newTestPolicy(1)
		pol.recordFailure(now, 0, decision.ConnectionLost)
		pol.recordFailure(now, 0, c.outcome)
		if c.reported {
			pol.applyReport(now+sec, 0, decision.Load{Streams: -1, LinkUtilization: 0.5, UplinkUtilization: -1}, 0, 0)
		}
		_, r := pol.AddPlay(now+2*sec, newRequest(0))
		if o := onlyOrder(t, r); o.Action != c.want {
			t.Errorf("%+v: got %v", c, o.Action)
		}
	}
}
