package frontend

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/playlog"
	"gullrail/store"
)

// recoverRecords asks for a measurement: go test ./frontend -run Recover -records 1000000 -v
var recoverRecords = flag.Int("records", 2000, "records to recover in the recovery test")

func TestRecoverWhatIsOpen(t *testing.T) {
	n := *recoverRecords
	folder := store.Folder(t.TempDir())
	log, _, err := store.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	var last <-chan error
	for i := range n {
		r := playlog.Record{Kind: playlog.Ended, Play: fmt.Sprintf("f0-18ed25f932a30537-%d", i/2)}
		if i%2 == 0 {
			r = playlog.Record{Kind: playlog.Allocated, Play: r.Play, Epoch: 1796135833781432321, Product: "lesson", Title: "clip-12", Viewer: "v7",
				Node: "n0", Rung: 1, MaxRung: 2}
		} else if i/2%5 == 0 { // one play in five stays open
			r = playlog.Record{Kind: playlog.Ended, Play: "another"}
		}
		last = log.Begin(r.Encode())
	}
	if err := <-last; err != nil {
		t.Fatal(err)
	}
	wrote, syncs := time.Since(began), log.Syncs()
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	log, c, err := store.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	book, err := playlog.Read(c.Records)
	if err != nil || len(c.Records) != n || len(book.OpenPlays()) != (n/2+4)/5 {
		t.Fatalf("%d records, %d open, %v", len(c.Records), len(book.OpenPlays()), err)
	}
	t.Logf("%d records, %d bytes, written in %v with %d syncs; %d open plays recovered in %v", n, c.Bytes, wrote, syncs, len(book.OpenPlays()), time.Since(began))
}

// weekPlays asks for a measurement: go test ./frontend -run Week -week 7000000 -v
var weekPlays = flag.Int("week", 60000, "recorded plays of the test that a store stays small")

// A store that plays go through stays as small as what is open and whose tokens may still be shown, however
// many there were.
func TestAWeekOfPlaysLeavesASmallStore(t *testing.T) {
	dir := t.TempDir()
	j, _, err := openJournal(dir, &config.Service{}, 1, nil, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	const open = 400 // plays at a time
	clock := time.Now().UnixMilli()
	var last <-chan error
	written, most := int64(0), int64(0)
	add := func(r playlog.Record) {
		last = j.log.Begin(r.Encode())
		written += int64(len(r.Encode()))
		if err := j.book.Apply(r); err != nil {
			t.Fatal(err)
		}
		if j.book.NeedsCompaction() {
			j.book.Expire(clock)
			records := encode(j.book)
			last = j.log.Compact(records)
			j.book.Compacted(len(records))
		}
	}
	for i := range *weekPlays {
		play := func(k int) string { return fmt.Sprintf("f0-18ed25f932a30537-%d", k) }
		add(playlog.Record{Kind: playlog.Allocated, Play: play(i), Epoch: 1796135833781432321, Product: "lesson", Title: "clip-12", Viewer: "v7", Node: "n0",
			Rung: 1, MaxRung: 2})
		add(playlog.Record{Kind: playlog.Started, Play: play(i)})
		if i >= open {
			add(playlog.Record{Kind: playlog.Ended, Play: play(i - open), EndReason: playlog.Served, At: clock})
		}
		clock += 86 // 33 plays a second, 35 in 100 recorded
		if i%5000 == 4999 {
			if err := <-last; err != nil {
				t.Fatal(err)
			}
			last = nil
			most = max(most, bytesIn(t, dir))
		}
	}
	if last != nil {
		if err := <-last; err != nil {
			t.Fatal(err)
		}
	}
	syncs := j.log.Syncs()
	if err := j.log.Close(); err != nil {
		t.Fatal(err)
	}
	size := bytesIn(t, dir)
	if most = max(most, size); most > 16<<20 {
		t.Fatalf("%d bytes at the end, %d at most", size, most)
	}
	t.Logf("%d plays, %d bytes of records: %d bytes at the end, %d at most, %d groups", *weekPlays, written, size, most, syncs)
}

func bytesIn(t *testing.T, dir string) (n int64) {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join(dir, PlaysFolder))
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if i, err := e.Info(); err == nil {
			n += i.Size()
		}
	}
	return n
}
