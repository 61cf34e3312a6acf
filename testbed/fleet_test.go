package testbed

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gullrail/testbed/trace"
)

// newRigWithSavedList starts a front, waits until it has saved its node list, and stops it and the list service.
func newRigWithSavedList(t *testing.T, n int) *rig {
	t.Helper()
	r := newRigWith(t, n, func(r *rig) { r.settings.StateFolder = t.TempDir() })
	r.mustPlay("clip", "safe", "v")
	r.eventually("the node list is saved", func() bool {
		logs, _ := filepath.Glob(filepath.Join(r.settings.StateFolder, "fleet", "log-*"))
		for _, l := range logs {
			if i, err := os.Stat(l); err == nil && i.Size() > 100 {
				return true
			}
		}
		return false
	})
	r.stop()
	r.listService.Stop()
	return r
}

func TestFrontStartsFromSavedListWithoutListService(t *testing.T) {
	r := newRigWithSavedList(t, 4)
	node := r.nodes[1]
	node.crash(trace.NodeCrashed) // after the list was saved
	r.startFront()
	began := time.Now()
	for i := 0; ; i++ {
		x := r.requestPlay("clip", "safe", "w")
		if x.status == http.StatusOK {
			break
		}
		if x.status != http.StatusServiceUnavailable || x.header.Get("Retry-After") == "" {
			t.Fatalf("want 200, or 503 with Retry-After: %d %s", x.status, x.body)
		}
		if time.Since(began) > 10*time.Second {
			t.Fatal("the front doesn't use its saved list")
		}
		time.Sleep(100 * time.Millisecond)
	}
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("first play after %v, want 4s at most", took)
	}
	for i := range 6 {
		r.mustPlay("clip", "safe", string(rune('a'+i)))
	}
	if x := r.get("/v1/fleet"); x.status != 200 || len(x.body) < 100 {
		t.Fatalf("/v1/fleet: %d %s", x.status, x.body)
	}
}

func TestDamagedOrForeignSavedListIsNotUsed(t *testing.T) {
	for name, alter := range map[string]func(r *rig){
		"damaged": func(r *rig) {
			dir := filepath.Join(r.settings.StateFolder, "fleet")
			entries, err := os.ReadDir(dir)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range entries {
				if e.Name() != "mark" && e.Name() != "lock" {
					os.Truncate(filepath.Join(dir, e.Name()), 40)
				}
			}
		},
		"of another list service": func(r *rig) { r.settings.ListURL = "http://127.0.0.1:9/v1/list" },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRigWithSavedList(t, 2)
			alter(r)
			r.launchFront()
			time.Sleep(2 * time.Second)
			if x := r.requestPlay("clip", "safe", "w"); x.status != http.StatusServiceUnavailable {
				t.Fatalf("got an answer from an unusable list: %d %s", x.status, x.body)
			}
		})
	}
}
