package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gullrail/decision"
)

const now = 1_000_000

func testEntry(i int, phase decision.Phase) Entry {
	return Entry{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Phase: phase, Weight: 1}
}

func readyEntries(n int) (entries []Entry) {
	for i := range n {
		entries = append(entries, testEntry(i, decision.Ready))
	}
	return entries
}

// coreView is the fleet as a core sees it from the entries that Due returns.
type coreView map[string]Entry

func (c coreView) applyDue(f *Fleet, now int64) int64 {
	entries, wake := f.Due(now)
	for _, e := range entries {
		c[e.Name] = e
	}
	return wake
}

func (c coreView) readyCount() (n int) {
	for _, e := range c {
		if e.Phase == decision.Ready {
			n++
		}
	}
	return n
}

func newTestFleet(n int) (*Fleet, coreView) {
	f, c := New(), coreView{}
	f.Apply(now, Update{Source: List, Version: 10, Full: true, Entries: readyEntries(n)})
	c.applyDue(f, now)
	for i := range n {
		f.Confirmed(now, fmt.Sprint("n", i), fmt.Sprint("n", i))
	}
	return f, c
}

func TestFirstListAdmitsAllNodes(t *testing.T) {
	if _, c := newTestFleet(300); c.readyCount() != 300 {
		t.Fatalf("%d ready", c.readyCount())
	}
}

func TestDrainOutlastsOlderAndLessAuthoritativeUpdates(t *testing.T) {
	f, c := newTestFleet(4)
	f.Apply(now+1, Update{Source: List, Version: 11, Entries: []Entry{testEntry(0, decision.Draining)}})
	c.applyDue(f, now+1)
	for _, u := range []Update{
		{Source: List, Version: 11, Entries: []Entry{testEntry(0, decision.Ready)}}, // the same version again, with other content
		{Source: List, Version: 9, Entries: []Entry{testEntry(0, decision.Ready)}},  // late
		{Source: File, Full: true, Entries: readyEntries(4)},                        // a source of less authority
		{Source: List, Version: 5, Full: true, Entries: readyEntries(4)},            // a full list with an older version
		{Source: Saved, Full: true, Entries: readyEntries(4)},                       // a saved list
	} {
		f.Apply(now+2, u)
		if c.applyDue(f, now+2); c["n0"].Phase != decision.Draining {
			t.Fatalf("drain reverted by %+v", u)
		}
	}
	f.Apply(now+3, Update{Source: List, Version: 20, Entries: []Entry{testEntry(0, decision.Ready)}})
	if c.applyDue(f, now+3); c["n0"].Phase != decision.Ready {
		t.Fatal("drain not reverted by a newer update of the list service")
	}
}

func TestLaterStartTimeMeansNewProcess(t *testing.T) {
	f, c := newTestFleet(4)
	e := testEntry(0, decision.Gone)
	e.StartedAt = 50
	f.Apply(now, Update{Source: List, Version: 11, Entries: []Entry{e}})
	c.applyDue(f, now)
	e.Phase, e.StartedAt = decision.Ready, 900
	f.Apply(now+1, Update{Source: List, Version: 12, Entries: []Entry{e}})
	if c.applyDue(f, now+1); c["n0"].Phase != decision.Ready || c["n0"].StartedAt != 900 {
		t.Fatalf("%+v", c["n0"])
	}
	e.StartedAt = 100
	f.Apply(now+2, Update{Source: List, Version: 13, Entries: []Entry{e}})
	if c.applyDue(f, now+2); c["n0"].StartedAt != 900 {
		t.Fatal("the start time decreased")
	}
}

func TestEmptyListTakesEffectAfterDelay(t *testing.T) {
	f, c := newTestFleet(30)
	f.Disconnected(now, "n7")
	f.Apply(now+1, Update{Source: List, Version: 11, Full: true})
	wake := c.applyDue(f, now+1)
	if c.readyCount() != 29 || c["n7"].Phase != decision.Gone {
		t.Fatalf("%d ready, n7 in phase %v: connected nodes should stay, the other should go", c.readyCount(), c["n7"].Phase)
	}
	if wake != now+1+missingDelay {
		t.Fatalf("wakes after %d", wake-now)
	}
	f.Apply(now+2, Update{Source: List, Version: 12, Full: true, Entries: readyEntries(30)}) // corrected list
	if c.applyDue(f, now+2); c.readyCount() != 30 {
		t.Fatalf("%d ready after the list was corrected", c.readyCount())
	}
	f.Apply(now+3, Update{Source: List, Version: 13, Full: true})
	c.applyDue(f, now+3)
	if c.applyDue(f, now+3+missingDelay); c.readyCount() != 0 {
		t.Fatalf("%d ready although the list was empty for missingDelay", c.readyCount())
	}
}

func TestSmallOmissionAndExplicitGoneTakeEffectAtOnce(t *testing.T) {
	f, c := newTestFleet(30)
	f.Apply(now, Update{Source: List, Version: 11, Full: true, Entries: readyEntries(25)})
	if c.applyDue(f, now); c.readyCount() != 25 {
		t.Fatalf("%d ready", c.readyCount())
	}
	var gone []Entry
	for i := range 25 {
		gone = append(gone, testEntry(i, decision.Gone))
	}
	f.Apply(now, Update{Source: List, Version: 12, Entries: gone})
	if c.applyDue(f, now); c.readyCount() != 0 {
		t.Fatalf("%d ready: explicitly gone nodes should go at once, however many", c.readyCount())
	}
}

func TestSavedListUseDependsOnAge(t *testing.T) {
	for _, tt := range []struct {
		age              int64
		ready, confirmed int
	}{{savedFreshAge, 8, 8}, {savedFreshAge + 1, 0, 1}, {-5, 0, 1}, {savedMaxAge, 0, 1}, {savedMaxAge + 1, 0, 0}} {
		f, c := New(), coreView{}
		entries := readyEntries(8)
		entries[1].Phase = decision.Draining
		entries[0].StartedAt = 77
		f.Apply(now, Update{Source: Saved, Version: 5, Full: true, Age: tt.age, Entries: entries})
		c.applyDue(f, now)
		want := tt.ready
		if want > 0 {
			want-- // one node was draining when the list was saved
		}
		if c.readyCount() != want {
			t.Errorf("age %d: %d ready, want %d", tt.age, c.readyCount(), want)
		}
		f.Confirmed(now+1, "n0", "n0")
		c.applyDue(f, now+1)
		if tt.confirmed == 1 && c.readyCount() != 1 {
			t.Errorf("age %d: %d ready after one node was confirmed", tt.age, c.readyCount())
		}
		if e, ok := c["n0"]; ok && e.StartedAt != now {
			t.Errorf("age %d: a node with an unknown start time counts as warm", tt.age)
		}
		// The list service is back, with a list in which half of the saved nodes were replaced.
		f.Apply(now+2, Update{Source: List, Version: 3, Full: true, Entries: readyEntries(12)[4:]})
		for at := int64(now + 2); at < now+2+missingDelay+decision.Second; at += admitInterval {
			c.applyDue(f, at)
		}
		if e, ok := c["n0"]; c.readyCount() != 8 || ok && e.Phase == decision.Ready {
			t.Errorf("age %d: %d of the 8 nodes of the current list are ready", tt.age, c.readyCount())
		}
		if f.Apply(now+3, Update{Source: Saved, Full: true, Entries: readyEntries(8)}) {
			t.Error("a saved list was accepted after an update of the list service")
		}
	}
}

func TestManyNewNodesAreAdmittedInSteps(t *testing.T) {
	f, c := newTestFleet(40)
	f.Apply(now, Update{Source: List, Version: 11, Full: true, Entries: readyEntries(5000)})
	at, steps, last := int64(now), 0, 40
	for c.readyCount() < 5000 {
		wake := c.applyDue(f, at)
		if added := c.readyCount() - last; added > max(minAdmitted, int(admitShare*float64(last))) {
			t.Fatalf("%d nodes admitted at once, with %d admitted before", added, last)
		}
		last = c.readyCount()
		steps++
		if wake == 0 && last < 5000 {
			t.Fatal("Due gives no wake time before all nodes are admitted")
		}
		at = wake
	}
	if elapsed := at - now; steps < 20 || elapsed > 15*decision.Second {
		t.Fatalf("%d steps", steps)
	}
	if states := f.NodeStates(at); len(states) != 5000 || !states[0].Usable {
		t.Fatal("wrong node states after all nodes are admitted")
	}
}

func TestNameMismatchDrainsNodeUntilAddressChanges(t *testing.T) {
	f, c := newTestFleet(4)
	f.Confirmed(now, "n2", "stranger")
	if c.applyDue(f, now); c["n2"].Phase != decision.Draining || f.Counts().NameMismatches != 1 {
		t.Fatalf("%+v", c["n2"])
	}
	e := testEntry(2, decision.Ready)
	e.Address = "moved:1"
	f.Apply(now, Update{Source: List, Version: 11, Entries: []Entry{e}})
	if c.applyDue(f, now+admitInterval); c["n2"].Phase != decision.Ready || c["n2"].Address != "moved:1" {
		t.Fatalf("not ready at its new address: %+v", c["n2"])
	}
}

func TestAlternatingEmptyListsChangeNothing(t *testing.T) {
	f, c := newTestFleet(20)
	for i := range 60 {
		at := now + int64(i)*decision.Second
		f.Apply(at, Update{Source: List, Version: int64(11 + i), Full: true, Entries: readyEntries(20 * (i % 2))})
		if c.applyDue(f, at); c.readyCount() != 20 {
			t.Fatalf("second %d: %d nodes ready", i, c.readyCount())
		}
	}
}

// Compares Fleet with a reference model while updates of one list service are reordered, repeated and lost. After a final
// full list the fleet must match it, and at no time may a node receive new plays after an update that it is draining or
// gone, until a newer update of that node.
func TestFleetMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		f, c := New(), coreView{}
		truth := map[string]Entry{}
		var updates []Update
		version := int64(0)
		for range rapid.IntRange(1, 25).Draw(t, "updates") {
			version++
			i := rapid.IntRange(0, n-1).Draw(t, "node")
			e := testEntry(i, rapid.SampledFrom([]decision.Phase{decision.Ready, decision.Ready, decision.Draining, decision.Gone}).Draw(t, "phase"))
			truth[e.Name] = e
			u := Update{Source: List, Version: version, Entries: []Entry{e}}
			if rapid.IntRange(0, 4).Draw(t, "full") == 0 {
				u.Full, u.Entries = true, nil
				for k := range n {
					if x, ok := truth[fmt.Sprint("n", k)]; ok && x.Phase != decision.Gone {
						u.Entries = append(u.Entries, x)
					}
				}
			}
			updates = append(updates, u)
		}
		at := int64(now)
		newest, stopped := int64(0), map[string]int64{} // the version of the update that stopped each node
		apply := func(u Update) {
			at += 100
			accepted := f.Apply(at, u)
			if u.Version > newest && !accepted {
				t.Fatalf("version %d was rejected after version %d", u.Version, newest)
			}
			if accepted && u.Version >= newest {
				newest = u.Version
				for _, e := range u.Entries {
					if e.Phase != decision.Ready {
						stopped[e.Name] = u.Version
					} else {
						delete(stopped, e.Name)
					}
				}
			}
			c.applyDue(f, at)
			for name := range stopped {
				if c[name].Phase == decision.Ready && c[name].Name != "" {
					t.Fatalf("%s may receive new plays although version %d stopped it", name, stopped[name])
				}
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "deliveries") {
			apply(updates[rapid.IntRange(0, len(updates)-1).Draw(t, "which")])
		}
		version++
		final := Update{Source: List, Version: version, Full: true}
		for k := range n {
			if x, ok := truth[fmt.Sprint("n", k)]; ok && x.Phase != decision.Gone {
				final.Entries = append(final.Entries, x)
			}
		}
		apply(final)
		for range 100 {
			at += decision.Second
			c.applyDue(f, at)
		}
		for k := range n {
			name := fmt.Sprint("n", k)
			want, ok := truth[name]
			got, known := c[name]
			gone := !ok || want.Phase == decision.Gone
			if gone && known && got.Phase != decision.Gone || !gone && got.Phase != want.Phase {
				t.Fatalf("%s: got %+v, want %+v", name, got, want)
			}
		}
	})
}

func BenchmarkFullList(b *testing.B) {
	for _, n := range []int{310, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			entries := readyEntries(n)
			f := New()
			for i := range b.N {
				f.Apply(now+int64(i), Update{Source: List, Version: int64(i + 1), Full: true, Entries: entries})
				f.Due(now + int64(i))
			}
		})
	}
}
