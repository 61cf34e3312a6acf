package frontend

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gullrail/admission"
	"gullrail/config"
	"gullrail/decision"
	"gullrail/nodes"
	"gullrail/placement"
	"gullrail/playlog"
	"gullrail/session"
	"gullrail/store"
)

// recoverRecords is the number of records in the recovery test. To measure: go test ./frontend -run Recover -records 1000000 -v
var recoverRecords = flag.Int("records", 2000, "records to recover in the recovery test")

func TestRecoverOpenPlays(t *testing.T) {
	n := *recoverRecords
	folder := store.Dir(t.TempDir())
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
		last = log.AppendAsync(r.Encode())
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
		last = j.log.AppendAsync(r.Encode())
		written += int64(len(r.Encode()))
		if err := j.state.Apply(r); err != nil {
			t.Fatal(err)
		}
		if j.state.NeedsCompaction() {
			j.state.Expire(nowMs)
			records := encodeRecords(j.state)
			last = j.log.Compact(records)
			j.state.SetRecordCount(len(records))
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
	entries, err := os.ReadDir(filepath.Join(dir, PlayLogFolder))
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

// heldDir is a directory in which, once armed, the next sync of a file waits for release.
type heldDir struct {
	store.Dir
	armed   atomic.Bool
	syncing chan struct{} // closed when the sync starts to wait
	release chan struct{}
}

type heldFile struct {
	store.File
	dir *heldDir
}

func (d *heldDir) Open(name string) (store.File, error) {
	f, err := d.Dir.Open(name)
	return heldFile{f, d}, err
}

func (f heldFile) Sync() error {
	if f.dir.armed.CompareAndSwap(true, false) {
		close(f.dir.syncing)
		<-f.dir.release
	}
	return f.File.Sync()
}

// playEndTransport reports the end of each play. It opens no streams: the test reports the node's stream as open.
type playEndTransport struct {
	session.Transport
	finished chan string
}

func (p playEndTransport) OpenStream(int, string, int64) {}

func (p playEndTransport) PlayFinished(play string, product int, reason playlog.EndReason) {
	p.Transport.PlayFinished(play, product, reason)
	p.finished <- play
}

// The core calls the journal as a session.Transport. A method of the journal that no longer overrides the one of the
// embedded client would go unnoticed by the compiler.
func TestAllocationCanceledWhileRecordIsWrittenIsNotSent(t *testing.T) {
	var setUps atomic.Int32
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			setUps.Add(1)
			w.WriteHeader(http.StatusCreated)
			w.Write([]byte(`{"life": 7}`))
		}
	}))
	defer node.Close()

	clock := session.NewClock()
	runner := session.NewRunner(clock, admission.New(1, 1))
	service := &config.Service{Products: []config.Product{{Name: "paid", Importance: 1, Paid: true}}}
	client := nodes.NewClient("f", 1, false, time.Minute, service, runner, nil, zerolog.Nop())
	dir := &heldDir{Dir: store.Dir(t.TempDir()), syncing: make(chan struct{}), release: make(chan struct{})}
	j, _, err := newJournal(dir, service, 1, client, runner, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	transport := playEndTransport{j, make(chan string, 1)}
	policy := placement.New(map[string][]float64{
		"fronts": {1}, "front": {0}, "cells": {1}, "racks": {1}, "kind.streams": {1000}, "rung.rate": {100}, "rung.worth": {1},
		"weight.rate": {1e7}, "tries": {4}, "zone": {0}, "product.rate": {1}, "product.paid": {1}, "product.floor": {0},
		"product.seats": {0}, "product.importance": {1}, "product.target": {10000}, "recall": {1},
	}, 1)
	start := clock.Now() - decision.Second
	core := session.NewCore(start, "f", 1, policy, transport, service, 1)
	core.UpdateList(start, []session.NodeEntry{{Name: "n", Address: node.Listener.Addr().String(), Weight: 1}}, true)
	core.StreamOpened(start, 0, "", 7, 0, nil)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- runner.Run(ctx, core) }()
	defer func() {
		stop()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		if err := j.Close(); err != nil {
			t.Error(err)
		}
	}()

	dir.armed.Store(true)
	reply := session.NewReply()
	runner.Post(func(now int64, c *session.Core) {
		c.RequestPlay(now, session.Request{Title: "t", CellCount: 1, Viewer: "v", Deadline: now + 60*decision.Second, Reply: reply})
	})
	<-dir.syncing
	withdrawn := make(chan struct{})
	runner.Post(func(now int64, c *session.Core) {
		reply.Withdraw()
		c.RequestWithdrawn(now, reply) // cancels the allocation
		close(withdrawn)
	})
	<-withdrawn
	close(dir.release)
	<-transport.finished // the core knows the outcome of the allocation, so nothing is sent later
	if n := setUps.Load(); n != 0 {
		t.Fatalf("node received %d set-ups, want none", n)
	}
}
