package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gullrail/decision"
)

const now = 1_000_000

func line(i int, phase decision.Phase) Entry {
	return Entry{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), Phase: phase, Weight: 1}
}

func whole(n int) (lines []Entry) {
	for i := range n {
		lines = append(lines, line(i, decision.Ready))
	}
	return lines
}

// core is what a core would make of what it is told.
type core map[string]Entry

func (c core) due(f *Fleet, at int64) int64 {
	lines, wake := f.Due(at)
	for _, l := range lines {
		c[l.Name] = l
	}
	return wake
}

func (c core) ready() (n int) {
	for _, l := range c {
		if l.Phase == decision.Ready {
			n++
		}
	}
	return n
}

func heard(n int) (*Fleet, core) {
	f, c := New(), core{}
	f.Apply(now, Update{Source: List, Version: 10, Full: true, Entries: whole(n)})
	c.due(f, now)
	for i := range n {
		f.Confirmed(now, fmt.Sprint("n", i), fmt.Sprint("n", i))
	}
	return f, c
}

func TestFirstListIsTakenWhole(t *testing.T) {
	if _, c := heard(300); c.ready() != 300 {
		t.Fatalf("%d ready", c.ready())
	}
}

func TestDrainIsNotUndoneByAnOlderOrLowerWord(t *testing.T) {
	f, c := heard(4)
	f.Apply(now+1, Update{Source: List, Version: 11, Entries: []Entry{line(0, decision.Draining)}})
	c.due(f, now+1)
	for _, w := range []Update{
		{Source: List, Version: 11, Entries: []Entry{line(0, decision.Ready)}}, // repeated with another text
		{Source: List, Version: 9, Entries: []Entry{line(0, decision.Ready)}},  // late
		{Source: File, Full: true, Entries: whole(4)},                          // of less authority
		{Source: List, Version: 5, Full: true, Entries: whole(4)},              // gone back in time
		{Source: Saved, Full: true, Entries: whole(4)},                         // what was
	} {
		f.Apply(now+2, w)
		if c.due(f, now+2); c["n0"].Phase != decision.Draining {
			t.Fatalf("undone by %+v", w)
		}
	}
	f.Apply(now+3, Update{Source: List, Version: 20, Entries: []Entry{line(0, decision.Ready)}})
	if c.due(f, now+3); c["n0"].Phase != decision.Ready {
		t.Fatal("a newer word of the list service takes it back")
	}
}

func TestALaterStartIsAnotherProcess(t *testing.T) {
	f, c := heard(4)
	l := line(0, decision.Gone)
	l.StartedAt = 50
	f.Apply(now, Update{Source: List, Version: 11, Entries: []Entry{l}})
	c.due(f, now)
	l.Phase, l.StartedAt = decision.Ready, 900
	f.Apply(now+1, Update{Source: List, Version: 12, Entries: []Entry{l}})
	if c.due(f, now+1); c["n0"].Phase != decision.Ready || c["n0"].StartedAt != 900 {
		t.Fatalf("%+v", c["n0"])
	}
	l.StartedAt = 100
	f.Apply(now+2, Update{Source: List, Version: 13, Entries: []Entry{l}})
	if c.due(f, now+2); c["n0"].StartedAt != 900 {
		t.Fatal("a start went back")
	}
}

func TestEmptyListIsNotBelievedAtOnce(t *testing.T) {
	f, c := heard(30)
	f.Disconnected(now, "n7")
	f.Apply(now+1, Update{Source: List, Version: 11, Full: true})
	wake := c.due(f, now+1)
	if c.ready() != 29 || c["n7"].Phase != decision.Gone {
		t.Fatalf("%d ready, n7 %v: those in touch stay, the other goes", c.ready(), c["n7"].Phase)
	}
	if wake != now+1+vanishFor {
		t.Fatalf("asks again at %d", wake-now)
	}
	f.Apply(now+2, Update{Source: List, Version: 12, Full: true, Entries: whole(30)}) // mended
	if c.due(f, now+2); c.ready() != 30 {
		t.Fatalf("%d ready after it was mended", c.ready())
	}
	f.Apply(now+3, Update{Source: List, Version: 13, Full: true})
	c.due(f, now+3)
	if c.due(f, now+3+vanishFor); c.ready() != 0 {
		t.Fatalf("%d ready though it was said for so long", c.ready())
	}
}

func TestAFewMayVanishAtOnceAndGoneHoldsAtOnce(t *testing.T) {
	f, c := heard(30)
	f.Apply(now, Update{Source: List, Version: 11, Full: true, Entries: whole(25)})
	if c.due(f, now); c.ready() != 25 {
		t.Fatalf("%d ready", c.ready())
	}
	var gone []Entry
	for i := range 25 {
		gone = append(gone, line(i, decision.Gone))
	}
	f.Apply(now, Update{Source: List, Version: 12, Entries: gone})
	if c.due(f, now); c.ready() != 0 {
		t.Fatalf("%d ready: what is told as gone is gone, however many", c.ready())
	}
}

func TestSavedListServesByItsAge(t *testing.T) {
	for _, x := range []struct {
		age           int64
		ready, spoken int
	}{{savedFresh, 8, 8}, {savedFresh + 1, 0, 1}, {-5, 0, 1}, {savedOld, 0, 1}, {savedOld + 1, 0, 0}} {
		f, c := New(), core{}
		lines := whole(8)
		lines[1].Phase = decision.Draining
		lines[0].StartedAt = 77
		f.Apply(now, Update{Source: Saved, Version: 5, Full: true, Age: x.age, Entries: lines})
		c.due(f, now)
		want := x.ready
		if want > 0 {
			want-- // the one that drained when it was saved
		}
		if c.ready() != want {
			t.Errorf("age %d: %d ready, want %d", x.age, c.ready(), want)
		}
		f.Confirmed(now+1, "n0", "n0")
		c.due(f, now+1)
		if x.spoken == 1 && c.ready() != 1 {
			t.Errorf("age %d: %d ready after one answered", x.age, c.ready())
		}
		if l, ok := c["n0"]; ok && l.StartedAt != now {
			t.Errorf("age %d: a node of unknown start counts as warm", x.age)
		}
		// The list service is back: a third of the fleet was replaced since.
		f.Apply(now+2, Update{Source: List, Version: 3, Full: true, Entries: whole(12)[4:]})
		for at := int64(now + 2); at < now+2+vanishFor+decision.Second; at += admitEvery {
			c.due(f, at)
		}
		if l, ok := c["n0"]; c.ready() != 8 || ok && l.Phase == decision.Ready {
			t.Errorf("age %d: %d ready of the live list's 8", x.age, c.ready())
		}
		if f.Apply(now+3, Update{Source: Saved, Full: true, Entries: whole(8)}) {
			t.Error("what was saved counts beside the list service")
		}
	}
}

func TestHandBackComesInSteps(t *testing.T) {
	f, c := heard(40)
	f.Apply(now, Update{Source: List, Version: 11, Full: true, Entries: whole(5000)})
	at, steps, last := int64(now), 0, 40
	for c.ready() < 5000 {
		wake := c.due(f, at)
		if more := c.ready() - last; more > max(admitLeast, int(admitShare*float64(last))) {
			t.Fatalf("%d at once beside %d", more, last)
		}
		last = c.ready()
		steps++
		if wake == 0 && last < 5000 {
			t.Fatal("nobody asks again")
		}
		at = wake
	}
	if took := at - now; steps < 20 || took > 15*decision.Second {
		t.Fatalf("%d steps", steps)
	}
	if before := f.NodeStates(at); len(before) != 5000 || !before[0].Usable {
		t.Fatal("beliefs")
	}
}

func TestAnAddressThatAnswersWithAnotherName(t *testing.T) {
	f, c := heard(4)
	f.Confirmed(now, "n2", "stranger")
	if c.due(f, now); c["n2"].Phase != decision.Draining || f.Counts().NameMismatches != 1 {
		t.Fatalf("%+v", c["n2"])
	}
	l := line(2, decision.Ready)
	l.Address = "moved:1"
	f.Apply(now, Update{Source: List, Version: 11, Entries: []Entry{l}})
	if c.due(f, now+admitEvery); c["n2"].Phase != decision.Ready || c["n2"].Address != "moved:1" {
		t.Fatalf("at its new address: %+v", c["n2"])
	}
}

func TestFlappingListChangesNothing(t *testing.T) {
	f, c := heard(20)
	for i := range 60 {
		at := now + int64(i)*decision.Second
		f.Apply(at, Update{Source: List, Version: int64(11 + i), Full: true, Entries: whole(20 * (i % 2))})
		if c.due(f, at); c.ready() != 20 {
			t.Fatalf("second %d: %d ready", i, c.ready())
		}
	}
}

// The fleet against a naive model under shuffled, repeated and lost messages of one list service: once all that it said
// has come in its order, or a whole list, the front believes what it says; and at no time is a node given new plays
// after a word that it drains or is gone was heard, until a newer one.
func TestAgainstANaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		f, c := New(), core{}
		truth := map[string]Entry{}
		var said []Update
		version := int64(0)
		for range rapid.IntRange(1, 25).Draw(t, "words") {
			version++
			i := rapid.IntRange(0, n-1).Draw(t, "node")
			l := line(i, rapid.SampledFrom([]decision.Phase{decision.Ready, decision.Ready, decision.Draining, decision.Gone}).Draw(t, "phase"))
			truth[l.Name] = l
			w := Update{Source: List, Version: version, Entries: []Entry{l}}
			if rapid.IntRange(0, 4).Draw(t, "whole") == 0 {
				w.Full, w.Entries = true, nil
				for k := range n {
					if x, ok := truth[fmt.Sprint("n", k)]; ok && x.Phase != decision.Gone {
						w.Entries = append(w.Entries, x)
					}
				}
			}
			said = append(said, w)
		}
		at := int64(now)
		newest, stopped := int64(0), map[string]int64{} // the version that stopped a node
		hear := func(w Update) {
			at += 100
			counts := f.Apply(at, w)
			if w.Version > newest && !counts {
				t.Fatalf("version %d after %d does not count", w.Version, newest)
			}
			if counts && w.Version >= newest {
				newest = w.Version
				for _, l := range w.Entries {
					if l.Phase != decision.Ready {
						stopped[l.Name] = w.Version
					} else {
						delete(stopped, l.Name)
					}
				}
			}
			c.due(f, at)
			for name := range stopped {
				if c[name].Phase == decision.Ready && c[name].Name != "" {
					t.Fatalf("%s is given new plays after version %d stopped it", name, stopped[name])
				}
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "deliveries") {
			hear(said[rapid.IntRange(0, len(said)-1).Draw(t, "which")])
		}
		version++
		final := Update{Source: List, Version: version, Full: true}
		for k := range n {
			if x, ok := truth[fmt.Sprint("n", k)]; ok && x.Phase != decision.Gone {
				final.Entries = append(final.Entries, x)
			}
		}
		hear(final)
		for range 100 {
			at += decision.Second
			c.due(f, at)
		}
		for k := range n {
			name := fmt.Sprint("n", k)
			want, ok := truth[name]
			got, known := c[name]
			gone := !ok || want.Phase == decision.Gone
			if gone && known && got.Phase != decision.Gone || !gone && got.Phase != want.Phase {
				t.Fatalf("%s: believed %+v, is %+v", name, got, want)
			}
		}
	})
}

func BenchmarkWhole(b *testing.B) {
	for _, n := range []int{310, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lines := whole(n)
			f := New()
			for i := range b.N {
				f.Apply(now+int64(i), Update{Source: List, Version: int64(i + 1), Full: true, Entries: lines})
				f.Due(now + int64(i))
			}
		})
	}
}
