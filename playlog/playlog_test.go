package playlog

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func alloc(play string, try int, node string) Record {
	return Record{Kind: Allocated, Play: play, Epoch: 1, Attempt: try, Product: "p", Title: "t", Viewer: "v", Node: node, Rung: 1, MaxRung: 2}
}

func TestOnlyWhatMustNotBeDoubledWaits(t *testing.T) {
	if !LogFirst(true, 0) || !LogFirst(false, 1) || LogFirst(false, 0) {
		t.Fatal("paid or seated, and no other")
	}
}

func TestRecordsThatDoNotHold(t *testing.T) {
	for _, s := range []string{``, `{`, `{"kind":"ended"}`, `{"kind":"x","play":"p"}`, `{"kind":"allocated","play":"p"}`,
		`{"kind":"allocated","play":"p","epoch":1,"product":"a","title":"b","viewer":"c"}`} {
		if _, err := Decode([]byte(s)); err == nil {
			t.Errorf("taken: %s", s)
		}
	}
	if _, err := Read([][]byte{alloc("a", 0, "n").Encode(), alloc("a", 1, "m").Encode(), alloc("a", 0, "n").Encode()}); err == nil {
		t.Error("an earlier allocation after a later one")
	}
	if b, err := Read([][]byte{alloc("a", 0, "n").Encode(), alloc("a", 0, "m").Encode()}); err == nil || b.Seats("p", "t") != 1 {
		t.Error("one allocation at two nodes: told, and its seat held once")
	}
}

// The state against a naive model: a list of all that was ever written, searched from the end.
func TestBookAgainstANaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewState()
		var written []Record
		tries := map[string]int{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			play := fmt.Sprint("play", rapid.IntRange(0, 5).Draw(t, "play"))
			r := Record{Kind: Ended, Play: play}
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0, 1:
				r = alloc(play, tries[play], fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "node")))
				tries[play]++
			case 2:
				r = Record{Kind: Started, Play: play, Attempt: max(0, tries[play]-1)}
			case 3:
				r = Record{Kind: Token, Play: play, At: 5}
			case 4:
				r.EndReason, r.At = rapid.SampledFrom([]EndReason{Served, Moved, Broken}).Draw(t, "how"), 5
			case 5:
				if r = (Record{Kind: Lost, Count: 3}); rapid.Bool().Draw(t, "whole") {
					r = Record{Kind: Recovered}
				}
			}
			back, err := Decode(r.Encode())
			if err != nil || back != r {
				t.Fatalf("%+v came back as %+v, %v", r, back, err)
			}
			written = append(written, r)
			if err := b.Apply(r); err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 { // started again from a compacted store
				var raw [][]byte
				for _, o := range b.Records() {
					raw = append(raw, o.Encode())
				}
				if b, err = Read(raw); err != nil {
					t.Fatal(err)
				}
			}
		}
		var want []Play
		past := map[string]EndReason{}
		lost := uint64(0)
		for _, r := range written {
			switch {
			case r.Kind == Lost:
				lost += r.Count
			case r.Kind == Recovered:
				lost = 0
			case r.Kind == Token:
				past[r.Play] = Returned
			case r.Kind == Ended && r.EndReason != "" && past[r.Play] != Returned:
				past[r.Play] = r.EndReason
			}
		}
		for i := range 6 {
			play := fmt.Sprint("play", i)
			heard := -1
			for k := len(written) - 1; k >= 0; k-- {
				r := written[k]
				if r.Play != play || r.Kind == Token {
					continue
				}
				if r.Kind == Started {
					heard = max(heard, r.Attempt)
					continue
				}
				if r.Kind == Allocated {
					want = append(want, Play{r, heard == r.Attempt})
				}
				break
			}
		}
		if got := b.OpenPlays(); !slices.Equal(got, want) {
			t.Fatalf("open %v, want %v", got, want)
		}
		if n := b.Seats("p", "t"); n != len(want) || b.Lost() != lost {
			t.Fatalf("%d seats for %d open plays; %d lost of %d", n, len(want), b.Lost(), lost)
		}
		got := map[string]EndReason{}
		for _, p := range b.EndedPlays() {
			got[p.Play] = p.EndReason
		}
		if !maps.Equal(got, past) {
			t.Fatalf("past %v, want %v", got, past)
		}
		b.Expire(5 + TokenRetentionMs)
		if len(b.EndedPlays()) != len(past) {
			t.Fatal("forgotten while a token may be good")
		}
		b.Expire(6 + TokenRetentionMs)
		if len(b.EndedPlays()) != 0 || len(b.past) != 0 {
			t.Fatal("kept longer than any token")
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(alloc("a", 1, "n").Encode())
	f.Add([]byte(`{"kind":"ended","play":"p"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err == nil && (r.Play == "" || r.Kind == Allocated && (r.Node == "" || r.Attempt < 0)) {
			t.Fatalf("taken: %+v", r)
		}
	})
}
