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

// A rehearsal may be spread over several processes: one for each rack of nodes, one for the list service and one
// for the viewers. Each process reads the whole scenario and injects the faults that concern it, relative to a
// common start time.

// StartRack starts the nodes of one rack, and returns their entries for a list service in another process.
func (r *Rehearsal) StartRack(rack int, t *trace.Recorder) ([]nodes.ListNode, error) {
	if _, err := r.prepare(t); err != nil {
		return nil, err
	}
	cells := r.Scenario.Service.Cells
	return r.startNodes(func(i int) bool { return i%cells%r.Scenario.Service.Racks == rack })
}

// StartList starts the list service with the given nodes. The caller must serve HandleUpdateNodes to receive
// changes of nodes in other processes.
func (r *Rehearsal) StartList(t *trace.Recorder, listed []nodes.ListNode) (addr string, err error) {
	if _, err := r.prepare(t); err != nil {
		return "", err
	}
	r.listService = NewListService(r.recorder, time.Duration(r.Scenario.ListDelayMs)*time.Millisecond)
	r.updater = r.listService
	r.listService.UpdateNodes(listed...)
	if addr, err = freePort(); err != nil {
		return "", err
	}
	return addr, r.listService.Start(addr)
}

// ForwardUpdatesTo sends changes of this process's nodes to HandleUpdateNodes at an address.
func (r *Rehearsal) ForwardUpdatesTo(addr string) { r.updater = remoteList{addr, r.Logf} }

// remoteList forwards changes of nodes to a list service in another process.
type remoteList struct {
	addr string
	logf func(format string, args ...any)
}

func (a remoteList) UpdateNodes(changed ...nodes.ListNode) {
	body, err := json.Marshal(changed)
	if err == nil {
		var resp *http.Response
		if resp, err = http.Post("http://"+a.addr+"/announce", "application/json", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
		}
	}
	if err != nil {
		a.logf("forward node changes to list service: %v", err)
	}
}

// HandleUpdateNodes receives changes of nodes from other processes. It has its own address, so that it works while
// a fault has stopped the list service.
func (r *Rehearsal) HandleUpdateNodes(w http.ResponseWriter, req *http.Request) {
	var lines []nodes.ListNode
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<20)).Decode(&lines); err != nil || len(lines) == 0 {
		http.Error(w, fmt.Sprint("announce: ", err), http.StatusBadRequest)
		return
	}
	r.listService.UpdateNodes(lines...)
}

// Script injects the faults that concern this process. It returns when ctx has ended.
func (r *Rehearsal) Script(ctx context.Context, start time.Time) {
	for _, f := range r.Scenario.Faults {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.inject(ctx, start, f) }()
	}
	<-ctx.Done()
	r.wg.Wait()
}

// WatchAll runs the viewers of the scenario from a start time on. It returns after the time for the last answers
// has passed, with the recorded events and the share of segments delivered at less than 0.98 of their bit rate.
func (r *Rehearsal) WatchAll(ctx context.Context, start time.Time, t *trace.Recorder, fronts []FrontAddress) (lines []trace.Event, short float64, err error) {
	if _, err := r.prepare(t); err != nil {
		return nil, 0, err
	}
	clients := NewViewerClients(&r.Scenario.Service, t)
	viewersCtx, stopViewers := context.WithCancel(ctx)
	r.injectViewerFaults(viewersCtx, start)
	r.startViewers(viewersCtx, start, clients, fronts)
	waitSeconds(ctx, r.Scenario.tailSeconds())
	lines = t.Events()
	stopViewers()
	r.wg.Wait()
	clients.Counts.mu.Lock()
	defer clients.Counts.mu.Unlock()
	return lines, float64(clients.Counts.Short) / max(1, float64(clients.Counts.Segments)), ctx.Err()
}

// injectViewerFaults injects only the faults that change the arrival of viewers.
func (r *Rehearsal) injectViewerFaults(ctx context.Context, start time.Time) {
	for _, f := range r.Scenario.Faults {
		if f.Action == "crowd" || f.Action == "shift" {
			r.wg.Add(1)
			go func() { defer r.wg.Done(); r.inject(ctx, start, f) }()
		}
	}
}

// StartFronts starts the fronts with a list service in another process. list is its host and port.
func (r *Rehearsal) StartFronts(ctx context.Context, list string, t *trace.Recorder) error {
	key, err := r.prepare(t)
	if err != nil {
		return err
	}
	return r.startFronts(ctx, key, list)
}

// Audit merges the traces of all processes and audits them. It returns the report and the merged trace.
func (sc *Scenario) Audit(traces ...[]trace.Event) (*audit.Report, []trace.Event) {
	merged := trace.Merge(traces...)
	return audit.Check(&sc.Service, merged), merged
}
