package session

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gullrail/decision"
	"gullrail/liveness"
	"gullrail/placement"
	"gullrail/playlog"
)

// modelPlay is the reference model of a play after a crash of the front end: where it really runs, whatever was
// recorded.
type modelPlay struct {
	ReportedPlay
	node     int
	running  bool
	recorded bool // the play log says that it has not ended
	answered bool
}

// A front end restarts while its nodes report in any order, disconnect or crash. Compared with a reference model:
//   - a play that really runs is tracked, so that its seat counts: from the first node list on if it was recorded, or
//     else from its node's report on, until it ends;
//   - a play that doesn't run is dropped once its node has reported or its lease has expired;
//   - no play is adopted twice;
//   - a viewer who repeats the request of a play that was never answered gets that play or is told to wait.
func TestRecoveryAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		now := startTime
		transport := &fakeTransport{dials: map[int]int64{}}
		c := NewCore(now, "f", 5, placement.New(policySettings(), 1), transport, testProducts{}, 1)
		lost := uint64(rapid.IntRange(0, 1).Draw(t, "lost"))
		var plays []*modelPlay
		var open []RecordedPlay
		var ended []playlog.EndedPlay
		for i := range rapid.IntRange(0, 8).Draw(t, "plays") {
			p := &modelPlay{ReportedPlay: ReportedPlay{Play: fmt.Sprint("f-1-", i), Epoch: int64(rapid.IntRange(1, 4).Draw(t, "epoch")), Attempt: rapid.IntRange(0, 2).Draw(t, "attempt"),
				Product: 1, Title: fmt.Sprint("t", i), CellCount: 4, Viewer: fmt.Sprint("v", i), Rung: 1, MaxRung: 2}, node: rapid.IntRange(0, nodes-1).Draw(t, "node")}
			// An allocation is recorded before it is sent, and its end after it has ended. A running play is therefore
			// recorded unless records were lost.
			p.running = rapid.Bool().Draw(t, "running")
			p.recorded = p.running && (lost == 0 || rapid.Bool().Draw(t, "recorded")) || !p.running && rapid.Bool().Draw(t, "end lost")
			p.answered = rapid.Bool().Draw(t, "answered")
			plays = append(plays, p)
			switch {
			case p.recorded:
				open = append(open, RecordedPlay{p.ReportedPlay, fmt.Sprint("n", p.node), p.answered})
			case !p.running:
				ended = append(ended, playlog.EndedPlay{Play: p.Play, EndReason: playlog.Served})
			}
		}
		c.Recover(now, open, ended, lost)
		var entries []NodeEntry
		for i := range nodes {
			entries = append(entries, NodeEntry{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Cell: i, Weight: 1})
		}
		c.UpdateList(now, entries, true)
		if c.Ready(now) != (lost == 0) {
			t.Fatalf("ready %v with %d records lost", c.Ready(now), lost)
		}
		var reported, gone [nodes]bool
		reportedAt := [nodes]int64{}
		runningOn := func(node int) (reports []ReportedPlay) {
			for _, p := range plays {
				if p.running && p.node == node {
					reports = append(reports, p.ReportedPlay)
				}
			}
			return reports
		}
		check := func(when string) {
			for _, p := range plays {
				tracked := c.plays[p.Play]
				switch {
				case p.running && (p.recorded || reported[p.node]) && tracked == nil:
					t.Fatalf("%s: %s runs at node %d and is not tracked", when, p.Play, p.node)
				case tracked != nil && (tracked.node != p.node || tracked.attempt != p.Attempt):
					t.Fatalf("%s: %s is tracked with the wrong node or attempt", when, p.Play)
				case tracked != nil && !p.running && (reported[p.node] || gone[p.node]):
					t.Fatalf("%s: %s is still tracked although its node reported or was gone, and it doesn't run", when, p.Play)
				}
			}
			if n := int(c.Counts().Adopted); n > len(plays) {
				t.Fatalf("%s: %d plays adopted of %d", when, n, len(plays))
			}
		}
		check("after the node list")
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			now += int64(rapid.IntRange(0, 20000).Draw(t, "pause"))
			node := rapid.IntRange(0, nodes-1).Draw(t, "event node")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				if !gone[node] {
					c.StreamOpened(now, node, "", 7, 100, runningOn(node))
					reported[node], reportedAt[node] = true, now
				}
			case 2: // the node's process dies
				for _, p := range plays {
					if p.node == node {
						p.running = false
					}
				}
				gone[node] = true
				c.StreamBroke(now, node, true)
			case 3: // the node is unreachable and ends this front end's plays only when the lease expires
				if !gone[node] && !reported[node] {
					c.StreamBroke(now, node, false)
				}
			case 4:
				if len(plays) == 0 {
					break
				}
				p := plays[rapid.IntRange(0, len(plays)-1).Draw(t, "repeated play")]
				tracked := c.plays[p.Play]
				before := c.Counts().Accepted
				req := Request{Product: 1, Title: p.Title, CellCount: 4, Viewer: p.Viewer, Deadline: now + 4*decision.Second, MaxRung: 2, Reply: NewReply()}
				c.RequestPlay(now, req)
				if c.wasReady() && p.recorded && !p.answered && tracked != nil {
					select {
					case ans := <-req.Reply.Answer():
						if ans.Verdict == Started && ans.Play != p.Play || ans.Verdict == Declined || ans.Verdict == Failed || c.Counts().Accepted != before {
							t.Fatalf("repeated request of %s: %+v", p.Play, ans)
						}
						if ans.Verdict == Started {
							p.answered = true
						}
					default:
						t.Fatalf("repeated request of %s: accepted as a new play", p.Play)
					}
				} else {
					c.RequestWithdrawn(now, req.Reply)
				}
			case 5:
				c.Wake(now)
			}
			check("after an event")
		}
		// The leases of all nodes that have not reported expire.
		for node := range nodes {
			if !reported[node] && !gone[node] {
				c.StreamBroke(now, node, false)
			}
		}
		now += liveness.Lease + 3*decision.Second
		for node := range nodes {
			if !reported[node] {
				for _, p := range plays {
					if p.node == node {
						p.running = false
					}
				}
			}
		}
		c.Wake(now)
		for _, p := range plays {
			if (c.plays[p.Play] != nil) != p.running {
				t.Fatalf("after all leases expired: %s running %v, tracked %v", p.Play, p.running, c.plays[p.Play] != nil)
			}
		}
		if !c.Ready(now) || transport.recoveries != 1 {
			t.Fatalf("ready %v, RecoveryDone called %d times", c.Ready(now), transport.recoveries)
		}
	})
}

func (c *Core) wasReady() bool { return c.counts.Ready }

func TestUsedUpTokensStayInvalidAfterCrash(t *testing.T) {
	c := NewCore(startTime, "f", 2, placement.New(policySettings(), 1), &fakeTransport{dials: map[int]int64{}}, testProducts{}, 1)
	c.Recover(startTime, nil, []playlog.EndedPlay{{Play: "f-1-1", EndReason: playlog.Resumed}, {Play: "f-1-2", EndReason: playlog.Served}, {Play: "f-1-3", EndReason: playlog.Moved}}, 0)
	c.UpdateList(startTime, []NodeEntry{{Name: "n0", Address: "a0", Weight: 1}}, true)
	c.StreamOpened(startTime, 0, "", 7, 0, nil)
	for play, reason := range map[string]string{"f-1-1": "the token was used to come back already", "f-1-2": "the play has ended"} {
		req := newRequest(1, play)
		req.Previous = &Previous{Play: play}
		c.RequestPlay(readyTime, req)
		if ans := mustAnswer(t, req); ans.Verdict != Denied || ans.Reason != reason {
			t.Errorf("%s: %+v", play, ans)
		}
	}
	req := newRequest(1, "moved")
	req.Previous = &Previous{Play: "f-1-3"}
	c.RequestPlay(readyTime, req)
	if c.Counts().Accepted != 1 {
		t.Error("the viewer of a play that was moved before the crash got no new play")
	}
}
