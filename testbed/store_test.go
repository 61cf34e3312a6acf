package testbed

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gullrail/testbed/trace"
)

func TestRecordsLetAFrontStartAgainBesideASilentNode(t *testing.T) {
	r := newRigWith(t, 4, func(r *rig) { r.settings.StateFolder = t.TempDir() })
	var held []reply
	for i := range 3 {
		held = append(held, r.playing("clip", "paid", fmt.Sprint("v", i)))
	}
	cl, err := r.minter.Check(tokenOf(held[0].manifest), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	end := r.fleet.nodes[cl.Node].silence()
	defer end()
	r.stop()
	r.startFront() // waits until it is ready: without records that would take the silent node's lease
	if n := r.front.Counts(t.Context()); n.InHand != 3 || n.Lost != 0 {
		t.Fatalf("by record: %+v", n)
	}
	if x := r.ask("clip", "paid", "w"); x.status != http.StatusServiceUnavailable {
		t.Fatalf("the silent node's seat was given twice: %d %s", x.status, x.body)
	}
	if n := r.count(trace.SetUp, ""); n != 3 {
		t.Fatalf("%d set-ups for three plays", n)
	}
}

func TestWithoutItsStoreAFrontDeclinesWhatMustBeRecorded(t *testing.T) {
	r := newRigWith(t, 4, func(r *rig) { r.settings.StateFolder = t.TempDir() })
	r.playing("clip", "paid", "v")
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &was); err != nil {
		t.Fatal(err)
	}
	full := was
	full.Cur = 200 // bytes: the log's next write fails, as on a full disk
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &full); err != nil {
		t.Fatal(err)
	}
	defer syscall.Setrlimit(syscall.RLIMIT_FSIZE, &was)
	setUps := r.count(trace.SetUp, "")
	if x := r.ask("other", "paid", "w"); x.status != http.StatusServiceUnavailable {
		t.Fatalf("paid: %d %s", x.status, x.body)
	}
	if n := r.count(trace.SetUp, ""); n != setUps {
		t.Fatal("it was sent without a record")
	}
	r.playing("other", "safe", "x") // what need not be recorded goes on
	if m := r.get("/metrics"); !strings.Contains(m.body, "gullrail_store_broken{front=\"f\"} 1") {
		t.Fatal("the metrics don't say that the store is broken")
	}
}

func TestDamagedStoreIsToldAtTheStart(t *testing.T) {
	dir := t.TempDir()
	r := newRigWith(t, 2, func(r *rig) { r.settings.StateFolder = dir })
	r.playing("clip", "paid", "v")
	r.stop()
	r.stop = nil
	name := filepath.Join(dir, "plays", "log-0000000000000001")
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(name, text[:len(text)-3], 0o600)
	if err := r.listens(); err == nil || !strings.Contains(err.Error(), "log-0000000000000001 at byte") {
		t.Fatalf("got %v", err)
	}
}
