package playlog

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func allocation(play string, attempt int, node string) Record {
	return Record{Kind: Allocated, Play: play, Epoch: 1, Attempt: attempt, Product: "p", Title: "t", Viewer: "v", Node: node, Rung: 1, MaxRung: 2}
}

func TestOnlyPaidOrSeatedProductsLogFirst(t *testing.T) {
	if !RequiresDurableRecord(true, 0) || !RequiresDurableRecord(false, 1) || RequiresDurableRecord(false, 0) {
		t.Fatal("LogFirst must hold for paid products and those with seats only")
	}
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	for _, s := range []string{``, `{`, `{"kind":"ended"}`, `{"kind":"x","play":"p"}`, `{"kind":"allocated","play":"p"}`,
		`{"kind":"allocated","play":"p","epoch":1,"product":"a","title":"b","viewer":"c"}`} {
		if _, err := Decode([]byte(s)); err == nil {
			t.Errorf("accepted invalid record %s", s)
		}
	}
	if _, err := Read([][]byte{allocation("a", 0, "n").Encode(), allocation("a", 1, "m").Encode(), allocation("a", 0, "n").Encode()}); err == nil {
		t.Error("accepted an earlier attempt after a later one")
	}
	if state, err := Read([][]byte{allocation("a", 0, "n").Encode(), allocation("a", 0, "m").Encode()}); err == nil || state.Seats("p", "t") != 1 {
		t.Error("one attempt at two nodes: want an error and one seat held")
	}
}

// Compares State with a naive model that keeps all records ever written and searches them from the end.
func TestStateAgainstNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		var written []Record
		attempts := map[string]int{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			play := fmt.Sprint("play", rapid.IntRange(0, 5).Draw(t, "play"))
			r := Record{Kind: Ended, Play: play}
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0, 1:
				r = allocation(play, attempts[play], fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "node")))
				attempts[play]++
			case 2:
				r = Record{Kind: Started, Play: play, Attempt: max(0, attempts[play]-1)}
			case 3:
				r = Record{Kind: TokenUsed, Play: play, At: 5}
			case 4:
				r.EndReason, r.At = rapid.SampledFrom([]EndReason{Served, Moved, Broken}).Draw(t, "how"), 5
			case 5:
				if r = (Record{Kind: RecordsLost, Count: 3}); rapid.Bool().Draw(t, "whole") {
					r = Record{Kind: RecordsRecovered}
				}
			}
			decoded, err := Decode(r.Encode())
			if err != nil || decoded != r {
				t.Fatalf("%+v was decoded as %+v, %v", r, decoded, err)
			}
			written = append(written, r)
			if err := state.Apply(r); err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 { // restart from a compacted store
				var raw [][]byte
				for _, o := range state.Records() {
					raw = append(raw, o.Encode())
				}
				if state, err = Read(raw); err != nil {
					t.Fatal(err)
				}
			}
		}
		var wantOpen []Play
		wantEnded := map[string]EndReason{}
		wantLost := uint64(0)
		for _, r := range written {
			switch {
			case r.Kind == RecordsLost:
				wantLost += r.Count
			case r.Kind == RecordsRecovered:
				wantLost = 0
			case r.Kind == TokenUsed:
				wantEnded[r.Play] = Resumed
			case r.Kind == Ended && r.EndReason != "" && wantEnded[r.Play] != Resumed:
				wantEnded[r.Play] = r.EndReason
			}
		}
		for i := range 6 {
			play := fmt.Sprint("play", i)
			started := -1
			for k := len(written) - 1; k >= 0; k-- {
				r := written[k]
				if r.Play != play || r.Kind == TokenUsed {
					continue
				}
				if r.Kind == Started {
					started = max(started, r.Attempt)
					continue
				}
				if r.Kind == Allocated {
					wantOpen = append(wantOpen, Play{r, started == r.Attempt})
				}
				break
			}
		}
		if got := state.OpenPlays(); !slices.Equal(got, wantOpen) {
			t.Fatalf("open plays %v, want %v", got, wantOpen)
		}
		if n := state.Seats("p", "t"); n != len(wantOpen) || state.Lost() != wantLost {
			t.Fatalf("got %d seats, want %d; got %d records lost, want %d", n, len(wantOpen), state.Lost(), wantLost)
		}
		got := map[string]EndReason{}
		for _, p := range state.EndedPlays() {
			got[p.Play] = p.EndReason
		}
		if !maps.Equal(got, wantEnded) {
			t.Fatalf("ended plays %v, want %v", got, wantEnded)
		}
		state.Expire(5 + TokenRetentionMs)
		if len(state.EndedPlays()) != len(wantEnded) {
			t.Fatal("an end was removed while its token may be valid")
		}
		state.Expire(6 + TokenRetentionMs)
		if len(state.EndedPlays()) != 0 || len(state.ended) != 0 {
			t.Fatal("an end was kept after its token expired")
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(allocation("a", 1, "n").Encode())
	f.Add([]byte(`{"kind":"ended","play":"p"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err == nil && (r.Play == "" || r.Kind == Allocated && (r.Node == "" || r.Attempt < 0)) {
			t.Fatalf("accepted invalid record %+v", r)
		}
	})
}
