package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"gullrail/nodes"
	"gullrail/testbed/audit"
	"gullrail/testbed/trace"
)

// A rehearsal may be spread over processes: one for each rack of nodes, one for the list service, one for
// the viewers. Each reads the whole day, and plays its part of the script by the common clock.

// StartRack starts the nodes of one rack, to be announced at a list service in another process.
func (r *Rehearsal) StartRack(rack int, t *trace.Recorder) ([]nodes.Line, error) {
	if _, err := r.prepare(t); err != nil {
		return nil, err
	}
	cells := r.Scenario.Service.Cells
	return r.startNodes(func(i int) bool { return i%cells%r.Scenario.Service.Racks == rack })
}

// StartList starts the list service with its nodes; other processes announce theirs to Announce at its
// address.
func (r *Rehearsal) StartList(t *trace.Recorder, lines []nodes.Line) (addr string, err error) {
	if _, err := r.prepare(t); err != nil {
		return "", err
	}
	r.registry = NewListService(r.tape, time.Duration(r.Scenario.ListLateMs)*time.Millisecond)
	r.list = r.registry
	r.registry.UpdateNodes(lines...)
	if addr, err = freePort(); err != nil {
		return "", err
	}
	return addr, r.registry.Start(addr)
}

// ForwardUpdatesTo lets the nodes of this process be announced at a list service's back door.
func (r *Rehearsal) ForwardUpdatesTo(addr string) { r.list = remote{addr, r.Logf} }

// remote is a list service in another process.
type remote struct {
	addr string
	say  func(format string, args ...any)
}

func (a remote) UpdateNodes(lines ...nodes.Line) {
	body, err := json.Marshal(lines)
	if err == nil {
		var resp *http.Response
		if resp, err = http.Post("http://"+a.addr+"/announce", "application/json", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
		}
	}
	if err != nil {
		a.say("announcing: %v", err)
	}
}

// HandleUpdateNodes is the list service's back door: it works also while players' side is down.
func (r *Rehearsal) HandleUpdateNodes(w http.ResponseWriter, req *http.Request) {
	var lines []nodes.Line
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<20)).Decode(&lines); err != nil || len(lines) == 0 {
		http.Error(w, fmt.Sprint("announce: ", err), http.StatusBadRequest)
		return
	}
	r.registry.UpdateNodes(lines...)
}

// Script plays this process's part of the script, until all of it is done or the context ends.
func (r *Rehearsal) Script(ctx context.Context, start time.Time) {
	for _, f := range r.Scenario.Faults {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.inject(ctx, start, f) }()
	}
	<-ctx.Done()
	r.wg.Wait()
}

// WatchAll lets the day's viewers come from a start on, and returns when the last answer is in, with the
// share of segments delivered short.
func (r *Rehearsal) WatchAll(ctx context.Context, start time.Time, t *trace.Recorder, fronts []FrontAddress) (lines []trace.Event, short float64, err error) {
	if _, err := r.prepare(t); err != nil {
		return nil, 0, err
	}
	players := NewViewerClients(&r.Scenario.Service, t)
	viewers, end := context.WithCancel(ctx)
	r.crowds(viewers, start)
	r.arrive(viewers, start, players, fronts)
	wait(ctx, r.Scenario.tail())
	lines = t.Events()
	end()
	r.wg.Wait()
	players.Counts.mu.Lock()
	defer players.Counts.mu.Unlock()
	return lines, float64(players.Counts.Short) / max(1, float64(players.Counts.Segments)), ctx.Err()
}

// crowds plays the crowds of the script alone.
func (r *Rehearsal) crowds(ctx context.Context, start time.Time) {
	for _, f := range r.Scenario.Faults {
		if f.Action == "crowd" || f.Action == "shift" {
			r.wg.Add(1)
			go func() { defer r.wg.Done(); r.inject(ctx, start, f) }()
		}
	}
}

// StartFronts starts the day's fronts, told of a list service elsewhere, with the key that the day draws.
func (r *Rehearsal) StartFronts(ctx context.Context, list string, t *trace.Recorder) error {
	key, err := r.prepare(t)
	if err != nil {
		return err
	}
	return r.startFronts(ctx, key, list)
}

// Audit checks the traces of all processes.
func (d *Scenario) Audit(tapes ...[]trace.Event) (*audit.Report, []trace.Event) {
	all := trace.Merge(tapes...)
	return audit.Check(&d.Service, all), all
}
