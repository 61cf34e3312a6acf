package testbed

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gullrail/testbed/trace"
)

// saved starts a front, lets it write its list down, and stops it and the list service.
func saved(t *testing.T, n int) *rig {
	t.Helper()
	r := newRigWith(t, n, func(r *rig) { r.settings.StateFolder = t.TempDir() })
	r.playing("clip", "safe", "v")
	r.eventually("the saved list", func() bool {
		logs, _ := filepath.Glob(filepath.Join(r.settings.StateFolder, "fleet", "log-*"))
		for _, l := range logs {
			if i, err := os.Stat(l); err == nil && i.Size() > 100 {
				return true
			}
		}
		return false
	})
	r.stop()
	r.registry.Stop()
	return r
}

func TestStartWithoutTheListService(t *testing.T) {
	r := saved(t, 4)
	drained := r.nodes[1]
	drained.crash(trace.Crash) // replaced since it was saved
	r.startFront()
	began := time.Now()
	for i := 0; ; i++ {
		x := r.ask("clip", "safe", "w")
		if x.status == http.StatusOK {
			break
		}
		if x.status != http.StatusServiceUnavailable || x.header.Get("Retry-After") == "" {
			t.Fatalf("%d %s", x.status, x.body)
		}
		if time.Since(began) > 10*time.Second {
			t.Fatal("it knows nothing without the list service")
		}
		time.Sleep(100 * time.Millisecond)
	}
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("ready after %v", took)
	}
	for i := range 6 {
		r.playing("clip", "safe", string(rune('a'+i)))
	}
	if x := r.get("/v1/fleet"); x.status != 200 || len(x.body) < 100 {
		t.Fatalf("%d %s", x.status, x.body)
	}
}

func TestSavedListThatIsDamagedOrAnotherSitesIsNotUsed(t *testing.T) {
	for name, harm := range map[string]func(r *rig){
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
		"another site's": func(r *rig) { r.settings.ListURL = "http://127.0.0.1:9/v1/list" },
	} {
		t.Run(name, func(t *testing.T) {
			r := saved(t, 2)
			harm(r)
			r.begin()
			time.Sleep(2 * time.Second)
			if x := r.ask("clip", "safe", "w"); x.status != http.StatusServiceUnavailable {
				t.Fatalf("%d %s", x.status, x.body)
			}
		})
	}
}
