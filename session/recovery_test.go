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

// truth is the naive model of what a crash leaves: where each play of the earlier life really runs, whatever
// was recorded.
type truth struct {
	Running
	node   int
	runs   bool
	booked bool // the record says that it is open
	heard  bool
}

// A front that starts again beside nodes that speak in any order, fall silent, are gone, or die meanwhile: what
// really runs is held, so that its seat counts, from the first list on until its node ends it; what does
// not run is let go once its node has spoken or its lease has passed; nothing is taken over twice; and a viewer
// who asks again for a play that was never answered gets that play or is told to wait.
func TestRecoveryAgainstANaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		now := start
		rec := &recorder{dials: map[int]int64{}}
		c := NewCore(now, "f", 5, placement.New(terms(), 1), rec, products{}, 1)
		lost := uint64(rapid.IntRange(0, 1).Draw(t, "lost"))
		var plays []*truth
		var open []Expected
		var past []playlog.EndedPlay
		for i := range rapid.IntRange(0, 8).Draw(t, "plays") {
			p := &truth{Running: Running{Play: fmt.Sprint("f-1-", i), Epoch: int64(rapid.IntRange(1, 4).Draw(t, "epoch")), Attempt: rapid.IntRange(0, 2).Draw(t, "try"),
				Product: 1, Title: fmt.Sprint("t", i), CellCount: 4, Viewer: fmt.Sprint("v", i), Rung: 1, MaxRung: 2}, node: rapid.IntRange(0, nodes-1).Draw(t, "node")}
			// An allocation is recorded before it is sent; its end after it ended. So what runs is booked, unless
			// records were lost.
			p.runs = rapid.Bool().Draw(t, "runs")
			p.booked = p.runs && (lost == 0 || rapid.Bool().Draw(t, "kept")) || !p.runs && rapid.Bool().Draw(t, "end lost")
			p.heard = rapid.Bool().Draw(t, "heard")
			plays = append(plays, p)
			switch {
			case p.booked:
				open = append(open, Expected{p.Running, fmt.Sprint("n", p.node), p.heard})
			case !p.runs:
				past = append(past, playlog.EndedPlay{Play: p.Play, EndReason: playlog.Served})
			}
		}
		c.Recover(now, open, past, lost)
		var lines []NodeEntry
		for i := range nodes {
			lines = append(lines, NodeEntry{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Cell: i, Weight: 1})
		}
		c.UpdateList(now, lines, true)
		if c.Ready(now) != (lost == 0) {
			t.Fatalf("ready %v with %d records lost", c.Ready(now), lost)
		}
		var spoken, gone [nodes]bool
		heardAt := [nodes]int64{}
		says := func(at int) (runs []Running) {
			for _, p := range plays {
				if p.runs && p.node == at {
					runs = append(runs, p.Running)
				}
			}
			return runs
		}
		check := func(when string) {
			for _, p := range plays {
				held := c.plays[p.Play]
				switch {
				case p.runs && (p.booked || spoken[p.node]) && held == nil:
					t.Fatalf("%s: %s runs at %d and is not held", when, p.Play, p.node)
				case held != nil && (held.node != p.node || held.try != p.Attempt):
					t.Fatalf("%s: %s is held elsewhere", when, p.Play)
				case held != nil && !p.runs && (spoken[p.node] || gone[p.node]):
					t.Fatalf("%s: %s does not run, its node has told, and it is held", when, p.Play)
				}
			}
			if n := int(c.Counts().Adopted); n > len(plays) {
				t.Fatalf("%s: %d taken over of %d", when, n, len(plays))
			}
		}
		check("after the list")
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			now += int64(rapid.IntRange(0, 20000).Draw(t, "pause"))
			at := rapid.IntRange(0, nodes-1).Draw(t, "at")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				if !gone[at] {
					c.StreamOpened(now, at, "", 7, 100, says(at))
					spoken[at], heardAt[at] = true, now
				}
			case 2: // its process dies
				for _, p := range plays {
					if p.node == at {
						p.runs = false
					}
				}
				gone[at] = true
				c.StreamBroke(now, at, true)
			case 3: // it is out of reach; it ends our plays when its lease passes, and not before
				if !gone[at] && !spoken[at] {
					c.StreamBroke(now, at, false)
				}
			case 4:
				if len(plays) == 0 {
					break
				}
				p := plays[rapid.IntRange(0, len(plays)-1).Draw(t, "again")]
				known := c.plays[p.Play]
				before := c.Counts().Taken
				a := Request{Product: 1, Title: p.Title, CellCount: 4, Viewer: p.Viewer, Deadline: now + 4*decision.Second, MaxRung: 2, Reply: NewReply()}
				c.RequestPlay(now, a)
				if c.settledOrAtOnce() && p.booked && !p.heard && known != nil {
					select {
					case x := <-a.Reply.Answer():
						if x.Verdict == Plays && x.Play != p.Play || x.Verdict == Declined || x.Verdict == Failed || c.Counts().Taken != before {
							t.Fatalf("asked again for %s: %+v", p.Play, x)
						}
						if x.Verdict == Plays {
							p.heard = true
						}
					default:
						t.Fatalf("asked again for %s: taken as another", p.Play)
					}
				} else {
					c.RequestWithdrawn(now, a.Reply)
				}
			case 5:
				c.Wake(now)
			}
			check("after an event")
		}
		// Each node now speaks, but those that never did, whose leases pass.
		for at := range nodes {
			if !spoken[at] && !gone[at] {
				c.StreamBroke(now, at, false)
			}
		}
		now += liveness.Lease + 3*decision.Second
		for at := range nodes {
			if !spoken[at] {
				for _, p := range plays {
					if p.node == at {
						p.runs = false
					}
				}
			}
		}
		c.Wake(now)
		for _, p := range plays {
			if (c.plays[p.Play] != nil) != p.runs {
				t.Fatalf("at last: %s runs %v, held %v", p.Play, p.runs, c.plays[p.Play] != nil)
			}
		}
		if !c.Ready(now) || rec.settled != 1 {
			t.Fatalf("ready %v, settled %d times", c.Ready(now), rec.settled)
		}
	})
}

func (c *Core) settledOrAtOnce() bool { return c.counts.Ready }

func TestTokensEndedStayEndedOverACrash(t *testing.T) {
	c := NewCore(start, "f", 2, placement.New(terms(), 1), &recorder{dials: map[int]int64{}}, products{}, 1)
	c.Recover(start, nil, []playlog.EndedPlay{{Play: "f-1-1", EndReason: playlog.Returned}, {Play: "f-1-2", EndReason: playlog.Served}, {Play: "f-1-3", EndReason: playlog.Moved}}, 0)
	c.UpdateList(start, []NodeEntry{{Name: "n0", Address: "a0", Weight: 1}}, true)
	c.StreamOpened(start, 0, "", 7, 0, nil)
	for play, why := range map[string]string{"f-1-1": "the token was used to come back already", "f-1-2": "the play has ended"} {
		a := want(1, play)
		a.Previous = &Previous{Play: play}
		c.RequestPlay(ready, a)
		if x := got(t, a); x.Verdict != Denied || x.Reason != why {
			t.Errorf("%s: %+v", play, x)
		}
	}
	a := want(1, "moved")
	a.Previous = &Previous{Play: "f-1-3"}
	c.RequestPlay(ready, a)
	if c.Counts().Taken != 1 {
		t.Error("a moved viewer is placed anew, also after a crash")
	}
}
