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

// recoverRecords is the number of records in the recovery test. To measure: go test ./frontend -run Recover -records 1000000 -v
var recoverRecords = flag.Int("records", 2000, "records to recover in the recovery test")

func TestRecoverOpenPlays(t *testing.T) {
	n := *recoverRecords
	folder := store.Folder(t.TempDir())
	log, _, err := store.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
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
	writeTime, syncs := time.Since(start), log.Syncs()
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	start = time.Now()
	log, c, err := store.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	state, err := playlog.Read(c.Records)
	if err != nil || len(c.Records) != n || len(state.OpenPlays()) != (n/2+4)/5 {
		t.Fatalf("recovered %d records, %d open plays, %v", len(c.Records), len(state.OpenPlays()), err)
	}
	t.Logf("%d records, %d bytes, written in %v with %d syncs; %d open plays recovered in %v", n, c.Bytes, writeTime, syncs, len(state.OpenPlays()), time.Since(start))
}

// weekPlays is the number of plays in the store size test. To measure: go test ./frontend -run Week -week 7000000 -v
var weekPlays = flag.Int("week", 60000, "recorded plays in the store size test")

// Checks that compaction keeps a store small: its size depends on the plays that are open or whose tokens are still
// valid, not on the number of plays ever recorded.
func TestStoreStaysSmallOverWeekOfPlays(t *testing.T) {
	dir := t.TempDir()
	j, _, err := openJournal(dir, &config.Service{}, 1, nil, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	const openPlays = 400 // concurrent plays
	nowMs := time.Now().UnixMilli()
	var last <-chan error
	written, maxSize := int64(0), int64(0)
	add := func(r playlog.Record) {
		last = j.log.Begin(r.Encode())
		written += int64(len(r.Encode()))
		if err := j.state.Apply(r); err != nil {
			t.Fatal(err)
		}
		if j.state.NeedsCompaction() {
			j.state.Expire(nowMs)
			records := encodeRecords(j.state)
			last = j.log.Compact(records)
			j.state.Compacted(len(records))
		}
	}
	for i := range *weekPlays {
		play := func(k int) string { return fmt.Sprintf("f0-18ed25f932a30537-%d", k) }
		add(playlog.Record{Kind: playlog.Allocated, Play: play(i), Epoch: 1796135833781432321, Product: "lesson", Title: "clip-12", Viewer: "v7", Node: "n0",
			Rung: 1, MaxRung: 2})
		add(playlog.Record{Kind: playlog.Started, Play: play(i)})
		if i >= openPlays {
			add(playlog.Record{Kind: playlog.Ended, Play: play(i - openPlays), EndReason: playlog.Served, At: nowMs})
		}
		nowMs += 86 // ms: 33 plays a second, of which 35% are recorded
		if i%5000 == 4999 {
			if err := <-last; err != nil {
				t.Fatal(err)
			}
			last = nil
			maxSize = max(maxSize, storeSize(t, dir))
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
	size := storeSize(t, dir)
	if maxSize = max(maxSize, size); maxSize > 16<<20 {
		t.Fatalf("store has %d bytes at the end and had %d at most, want 16 MiB at most", size, maxSize)
	}
	t.Logf("%d plays, %d bytes of records written: store has %d bytes at the end, had %d at most, %d syncs", *weekPlays, written, size, maxSize, syncs)
}

func storeSize(t *testing.T, dir string) (n int64) {
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
