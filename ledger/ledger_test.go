package ledger

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func alloc(play string, try int, node string) Record {
	return Record{Kind: Allocated, Play: play, Epoch: 1, Try: try, Product: "p", Title: "t", Viewer: "v", Node: node, Rung: 1, Top: 2}
}

func TestOnlyWhatMustNotBeDoubledWaits(t *testing.T) {
	if !Before(true, 0) || !Before(false, 1) || Before(false, 0) {
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

// The book against a naive model: a list of all that was ever written, searched from the end.
func TestBookAgainstANaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		var written []Record
		tries := map[string]int{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			play := fmt.Sprint("play", rapid.IntRange(0, 5).Draw(t, "play"))
			r := Record{Kind: Ended, Play: play}
			if rapid.Bool().Draw(t, "allocate") {
				r = alloc(play, tries[play], fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "node")))
				tries[play]++
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
				for _, o := range b.Open() {
					raw = append(raw, o.Encode())
				}
				if b, err = Read(raw); err != nil {
					t.Fatal(err)
				}
			}
		}
		var want []Record
		for i := range 6 {
			play := fmt.Sprint("play", i)
			for k := len(written) - 1; k >= 0; k-- {
				if written[k].Play == play {
					if written[k].Kind == Allocated {
						want = append(want, written[k])
					}
					break
				}
			}
		}
		if got := b.Open(); !slices.Equal(got, want) {
			t.Fatalf("open %v, want %v", got, want)
		}
		if n := b.Seats("p", "t"); n != len(want) {
			t.Fatalf("%d seats for %d open plays", n, len(want))
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(alloc("a", 1, "n").Encode())
	f.Add([]byte(`{"kind":"ended","play":"p"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err == nil && (r.Play == "" || r.Kind == Allocated && (r.Node == "" || r.Try < 0)) {
			t.Fatalf("taken: %+v", r)
		}
	})
}
