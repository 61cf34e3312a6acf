package testbed

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/frontend"
	"gullrail/nodes"
	"gullrail/testbed/audit"
	"gullrail/testbed/trace"
)

// Rehearsal runs a scenario on loopback sockets: each front end in a process of its own; the emulated nodes,
// the list service and the viewers in this process, or spread over several, see StartRack.
type Rehearsal struct {
	Scenario *Scenario
	Program  string                            // gullrail executable for the fronts; if empty, fronts run in this process and can't be killed
	Command  func(name, file string) *exec.Cmd // creates the command that starts a front; overrides Program
	Folder   string                            // holds the settings, logs and state of the fronts
	Logf     func(format string, args ...any)

	recorder      *trace.Recorder
	fleet         *Fleet
	listService   *ListService // nil if it runs in another process
	updater       NodeUpdater
	random        *rand.Rand
	fronts        []*frontProcess
	nodesByNumber map[int]*Node      // nodes of the scenario in this process, by number
	runsViewers   bool               // the viewers run in this process
	allNodes      []*Node            // nodesByNumber and the replacements of drained nodes
	titleShares   map[string]float64 // share of new viewers that a crowd fault directs to a title
	shift         frontShift
	mu            sync.Mutex // guards allNodes, titleShares and shift
	wg            sync.WaitGroup
}

// NodeUpdater accepts changes of nodes: the list service, in this or another process.
type NodeUpdater interface {
	UpdateNodes(changed ...nodes.ListNode)
}

// frontProcess is a front end and its current process, if any. Faults may kill and restart the process.
type frontProcess struct {
	name, file, log, addr string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	exited                chan struct{} // closed when the process has exited and exitErr is set
	exitErr               error
	startedBefore         bool         // by this rehearsal
	stopInProcess         func() error // stops a front that runs in this process
}

// Outcome is the result of a rehearsal or simulation.
type Outcome struct {
	Report            *audit.Report
	Events            []trace.Event
	ShortSegmentShare float64 // share of segments delivered at less than 0.98 of their bit rate
	Took              time.Duration
}

// freePort returns a loopback address that is free at the moment.
func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Run runs the scenario until its end or the end of ctx. It stops everything it started before it returns.
func (r *Rehearsal) Run(ctx context.Context) (out *Outcome, err error) {
	startedAt := time.Now()
	sc := r.Scenario
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		r.wg.Wait()
		if e := r.Stop(); e != nil && err == nil {
			err = e
		}
	}()
	if err := r.Start(ctx); err != nil {
		return nil, err
	}
	clients := NewViewerClients(&sc.Service, r.recorder)
	viewersCtx, stopViewers := context.WithCancel(ctx)
	defer stopViewers()
	start := time.Now()
	for _, f := range sc.Faults {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.inject(ctx, start, f) }()
	}
	r.startViewers(viewersCtx, start, clients, r.Fronts())
	waitSeconds(ctx, sc.tailSeconds())
	events := r.recorder.Events()
	stopViewers()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("rehearsal: %w", context.Cause(ctx))
	}
	out = &Outcome{Report: audit.Check(&sc.Service, events), Events: events, Took: time.Since(startedAt)}
	clients.Counts.mu.Lock()
	out.ShortSegmentShare = float64(clients.Counts.Short) / max(1, float64(clients.Counts.Segments))
	clients.Counts.mu.Unlock()
	return out, nil
}

// tailSeconds returns how long the run continues after the last arrival, in seconds, so that the last requests
// get their answers.
func (sc *Scenario) tailSeconds() float64 { return sc.Service.MaxDeadlineMs()/1000 + 1 }

// Start starts the nodes, the list service and the fronts, and waits until the fronts are ready. The caller
// must call Stop, also after an error.
func (r *Rehearsal) Start(ctx context.Context) error {
	key, err := r.prepare(trace.New())
	if err != nil {
		return err
	}
	r.runsViewers = true
	r.listService = NewListService(r.recorder, time.Duration(r.Scenario.ListDelayMs)*time.Millisecond)
	r.updater = r.listService
	lines, err := r.startNodes(func(int) bool { return true })
	if err != nil {
		return err
	}
	r.listService.UpdateNodes(lines...)
	addr, err := freePort()
	if err != nil {
		return err
	}
	if err := r.listService.Start(addr); err != nil {
		return err
	}
	return r.startFronts(ctx, key, r.listService.addr)
}

// prepare sets up what every process of a rehearsal needs. All processes draw the same random values from the
// seed of the scenario, so that they agree on the signing key and the capacities.
func (r *Rehearsal) prepare(t *trace.Recorder) (config.Key, error) {
	sc := r.Scenario
	r.recorder = t
	r.random = rand.New(rand.NewPCG(sc.Seed, 1))
	r.titleShares, r.nodesByNumber = map[string]float64{}, map[int]*Node{}
	if r.Logf == nil {
		r.Logf = func(string, ...any) {}
	}
	key := config.Key{ID: "rehearsal", Seed: make([]byte, 32), Signing: true}
	for i := range key.Seed {
		key.Seed[i] = byte(r.random.UintN(256))
	}
	minter, err := frontend.NewMinter([]config.Key{key})
	if err != nil {
		return key, err
	}
	r.fleet = &Fleet{service: &sc.Service, tokenChecker: minter.Checker, recorder: r.recorder, setUpMs: sc.SetUpMs, maxLinkLoad: sc.MaxLinkLoad,
		idleTimeout: time.Duration(sc.IdleMs) * time.Millisecond, random: rand.New(rand.NewPCG(sc.Seed, 2)), nodes: map[string]*Node{}}
	for range sc.Service.Racks {
		uplinkKB := sc.Service.UplinkKB
		if uplinkKB <= 0 {
			uplinkKB = math.Inf(1)
		}
		r.fleet.racks = append(r.fleet.racks, rack{uplinkKB * r.spreadFactor(), 1})
	}
	return key, nil
}

// startNodes starts the selected nodes of the scenario. It draws a capacity for every node, selected or not, so
// that all processes agree on them.
func (r *Rehearsal) startNodes(selected func(number int) bool) (listed []nodes.ListNode, err error) {
	for i := range r.Scenario.Nodes {
		linkKB := r.Scenario.Service.LinkKBPerWeight * r.spreadFactor()
		if !selected(i) {
			continue
		}
		n, err := r.newNode(fmt.Sprintf("n%d", i), i%r.Scenario.Service.Cells, i, linkKB)
		if err != nil {
			return nil, err
		}
		r.nodesByNumber[i] = n
		listed = append(listed, n.line)
		if err := n.start(false); err != nil {
			return nil, err
		}
	}
	return listed, nil
}

// Stop stops all that Start started: first the fronts, by a graceful shutdown, then nodes and list service. It
// returns the error of the first front that failed.
func (r *Rehearsal) Stop() (err error) {
	for _, f := range r.fronts {
		if e := f.stop(); e != nil && err == nil {
			err = e
		}
	}
	for _, n := range r.allNodes {
		n.crash(trace.NodeCrashed)
		n.wg.Wait()
	}
	if r.listService != nil && r.listService.server != nil {
		r.listService.Stop()
	}
	return err
}

// spreadFactor draws a factor between 1-BandwidthSpread and 1+BandwidthSpread.
func (r *Rehearsal) spreadFactor() float64 {
	return 1 + r.Scenario.BandwidthSpread*(2*r.random.Float64()-1)
}

func (r *Rehearsal) newNode(name string, cell, i int, linkKB float64) (*Node, error) {
	addr, err := freePort()
	if err != nil {
		return nil, err
	}
	service := &r.Scenario.Service
	n := &Node{fleet: r.fleet, cell: cell, linkKB: linkKB, setUpSlowdown: 1, line: nodes.ListNode{Name: name,
		Address: addr, Phase: "ready", Kind: service.Kinds[i%len(service.Kinds)].Name, Zone: service.Zones[i%len(service.Zones)],
		Cell: cell, Weight: 1}}
	r.fleet.mu.Lock()
	r.fleet.nodes[name] = n
	r.fleet.mu.Unlock()
	r.allNodes = append(r.allNodes, n)
	return n, nil
}

// ---- Fronts ----

func (r *Rehearsal) startFronts(ctx context.Context, key config.Key, list string) error {
	sc := r.Scenario
	for i := range sc.Service.Fronts {
		addr, err := freePort()
		if err != nil {
			return err
		}
		f := &frontProcess{name: fmt.Sprintf("f%d", i), addr: addr, file: filepath.Join(r.Folder, fmt.Sprintf("front-%d.jsonc", i)),
			log: filepath.Join(r.Folder, fmt.Sprintf("front-%d.log", i))}
		state := filepath.Join(r.Folder, f.name+"-state")
		if err := os.RemoveAll(state); err != nil { // left over from an earlier run
			return fmt.Errorf("rehearsal: %w", err)
		}
		text, err := sc.FrontSettings(i, f.name, addr, list, state, key)
		if err != nil {
			return err
		}
		if err := os.WriteFile(f.file, text, 0o600); err != nil {
			return fmt.Errorf("rehearsal: %w", err)
		}
		r.fronts = append(r.fronts, f)
		if err := r.startFront(f); err != nil {
			return err
		}
	}
	for _, f := range r.fronts {
		if err := f.awaitReady(ctx, 20*time.Second); err != nil {
			return err
		}
		r.recorder.Add(trace.Event{Kind: trace.FrontStarted, Front: f.name})
	}
	return nil
}

// FrontSettings returns the text of the settings file of front i.
func (sc *Scenario) FrontSettings(i int, name, listen, list, state string, key config.Key) ([]byte, error) {
	settings := map[string]any{"name": name, "number": i, "zone": sc.Service.Zones[i%len(sc.Service.Zones)], "listen": listen, "seed": sc.Seed}
	if sc.KeepRecords {
		settings["state"] = state
	}
	frontJSON, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "{\n\"front\": %s,\n\"list\": {\"url\": \"http://%s/v1/list\"},\n\"keys\": [{\"id\": %q, \"seed\": %q, \"signs\": true}],\n\"service\": %s\n}\n",
		frontJSON, list, key.ID, base64.StdEncoding.EncodeToString(key.Seed), sc.RawService), nil
}

func (r *Rehearsal) startFront(f *frontProcess) error {
	switch {
	case r.Command != nil:
		return f.start(r.Command(f.name, f.file))
	case r.Program != "":
		return f.start(exec.Command(r.Program, "serve", f.file))
	}
	return f.startInProcess()
}

func (f *frontProcess) start(cmd *exec.Cmd) error {
	flags := os.O_CREATE | os.O_APPEND | os.O_WRONLY
	if !f.startedBefore { // overwrite the log of an earlier run in the same folder
		flags |= os.O_TRUNC
	}
	f.startedBefore = true
	log, err := os.OpenFile(f.log, flags, 0o600)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("front %s: %w", f.name, err)
	}
	exited := make(chan struct{})
	f.mu.Lock()
	f.cmd, f.exited = cmd, exited
	f.mu.Unlock()
	go func() {
		err := cmd.Wait()
		f.mu.Lock()
		f.exitErr = err
		f.mu.Unlock()
		close(exited)
	}()
	return nil
}

// awaitReady polls the front until it reports that it is ready.
func (f *frontProcess) awaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.mu.Lock()
	exited := f.exited // nil for a front in this process, blocks forever
	f.mu.Unlock()
	for {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addr+"/readyz", nil)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(30 * time.Millisecond):
		case <-exited:
			return fmt.Errorf("front %s exited before it was ready, see its log %s", f.name, f.log)
		case <-ctx.Done():
			return fmt.Errorf("front %s did not become ready in time, see its log %s", f.name, f.log)
		}
	}
}

func (f *frontProcess) signal(s os.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cmd != nil {
		f.cmd.Process.Signal(s)
	}
}

// startInProcess runs the front in this process.
func (f *frontProcess) startInProcess() error {
	settings, err := config.ReadFront(f.file)
	if err != nil {
		return err
	}
	stateLock, err := frontend.LockFolder(settings.StateFolder)
	if err != nil {
		return err
	}
	front, err := frontend.Listen(settings, stateLock.Epoch, zerolog.Nop())
	if err != nil {
		stateLock.Release()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- front.Run(ctx) }()
	f.mu.Lock()
	f.stopInProcess = func() error { cancel(); defer stateLock.Release(); return <-done }
	f.mu.Unlock()
	return nil
}

// kill kills the process and waits for its exit.
func (f *frontProcess) kill() {
	f.mu.Lock()
	cmd, exited := f.cmd, f.exited
	f.cmd = nil
	f.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-exited
	}
}

// stop shuts the front down gracefully, and kills its process if it has not exited after 15 s. It first resumes a
// process that a fault has stopped.
func (f *frontProcess) stop() error {
	f.mu.Lock()
	cmd, stopInProcess, exited := f.cmd, f.stopInProcess, f.exited
	f.cmd, f.stopInProcess = nil, nil
	f.mu.Unlock()
	if stopInProcess != nil {
		return stopInProcess()
	}
	if cmd == nil {
		return nil
	}
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Process.Signal(syscall.SIGTERM)
	killTimer := time.AfterFunc(15*time.Second, func() { cmd.Process.Kill() })
	defer killTimer.Stop()
	<-exited
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.exitErr != nil {
		return fmt.Errorf("front %s: %w, see its log %s", f.name, f.exitErr, f.log)
	}
	return nil
}

// ---- Viewers ----

// arrival is the arrival of a viewer.
type arrival struct {
	at        float64 // seconds after the start
	front     int     // asked first
	titleDraw float64 // uniform in [0, 1); decides whether a crowd fault changes the title
	frontDraw float64 // the same for the front and a shift fault
	viewer    *Viewer
}

// arrivals generates the viewers of the scenario. They depend only on the scenario, its seed included, and are
// the same on sockets and in simulated time.
func (sc *Scenario) arrivals(fronts int) iter.Seq[arrival] {
	return func(yield func(arrival) bool) {
		// frontDraw has a source of its own, which leaves the sequence of all other draws unchanged.
		random, shiftRandom := rand.New(rand.NewPCG(sc.Seed, 3)), rand.New(rand.NewPCG(sc.Seed, 5))
		weights := make([]float64, len(sc.Service.Titles))
		sum := 0.0
		for i := range weights {
			weights[i] = 1 / math.Pow(float64(i+1), sc.ZipfExponent)
			sum += weights[i]
		}
		for n, atSeconds := 0, 0.0; sc.ViewersPerSecond > 0; n++ {
			if atSeconds += random.ExpFloat64() / sc.ViewersPerSecond; atSeconds >= sc.Seconds {
				return
			}
			v := &Viewer{Name: fmt.Sprintf("v%d", n), MaxRetries: sc.MaxRetries, Pause: time.Duration(sc.PauseMs) * time.Millisecond,
				HeedsRetryAfter: random.Float64() < sc.RetryAfterShare, MaxRung: len(sc.Service.RatesKB) - 1, Rand: rand.New(rand.NewPCG(sc.Seed, uint64(n)+10))}
			_, fraction := math.Modf(float64(n) * math.Phi) // evenly distributed, and leaves the draws from random unchanged
			v.Socket = fraction < sc.SocketShare
			draw := random.Float64()
			for _, p := range sc.Products {
				v.Product = &sc.Service.Products[p.Number]
				v.WatchTime = time.Duration((p.Watch[0] + random.Float64()*(p.Watch[1]-p.Watch[0])) * float64(time.Second))
				if draw -= p.Share; draw < 0 {
					break
				}
			}
			if random.Float64() < sc.SmallScreenShare {
				v.MaxRung = max(v.Product.MinRung, v.MaxRung-1-random.IntN(2))
			}
			titlePick := random.Float64() * sum
			for i, w := range weights {
				v.Title = sc.Service.Titles[i].Name
				if titlePick -= w; titlePick < 0 {
					break
				}
			}
			if !yield(arrival{atSeconds, random.IntN(fronts), random.Float64(), shiftRandom.Float64(), v}) {
				return
			}
		}
	}
}

// frontShift makes a share of new viewers ask one front first.
type frontShift struct {
	front int
	share float64
}

// firstFront returns the front that an arriving viewer asks first.
func (s frontShift) firstFront(a arrival) int {
	if a.frontDraw < s.share {
		return s.front
	}
	return a.front
}

// titleFor returns the title that an arriving viewer requests, given the shares of new viewers that crowd faults
// direct to titles.
func (sc *Scenario) titleFor(a arrival, titleShares map[string]float64) string {
	for _, t := range sc.Service.Titles {
		if a.titleDraw < titleShares[t.Name] {
			return t.Name
		}
	}
	return a.viewer.Title
}

// startViewers starts each viewer at its arrival time, until the end of the scenario or of ctx. Arrivals don't
// depend on the progress of earlier viewers.
func (r *Rehearsal) startViewers(ctx context.Context, start time.Time, clients *ViewerClients, fronts []FrontAddress) {
	sc := r.Scenario
	waitUntil := func(at float64) bool {
		select {
		case <-time.After(time.Until(start.Add(time.Duration(at * float64(time.Second))))):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for a := range sc.arrivals(len(fronts)) {
		r.mu.Lock()
		a.front = r.shift.firstFront(a)
		r.mu.Unlock()
		for i := range fronts {
			f := fronts[(a.front+i)%len(fronts)]
			a.viewer.Fronts, a.viewer.Names = append(a.viewer.Fronts, f.Address), append(a.viewer.Names, f.Name)
		}
		if !waitUntil(a.at) {
			return
		}
		r.mu.Lock()
		a.viewer.Title = sc.titleFor(a, r.titleShares)
		r.mu.Unlock()
		r.wg.Add(1)
		go func() { defer r.wg.Done(); clients.Watch(ctx, a.viewer) }()
	}
	waitUntil(sc.Seconds)
}

// ---- Faults ----

// waitSeconds waits and reports whether the time has passed; false means that ctx ended first.
func waitSeconds(ctx context.Context, seconds float64) bool {
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return true
	case <-ctx.Done():
		return false
	}
}

// inject waits for the time of a fault, applies it to the parts that run in this process, and reverts it after
// its duration.
func (r *Rehearsal) inject(ctx context.Context, start time.Time, f Fault) {
	if !waitSeconds(ctx, f.At-time.Since(start).Seconds()) {
		return
	}
	r.Logf("%5.1f s  %s", time.Since(start).Seconds(), f)
	r.recorder.Add(trace.Event{Kind: trace.Fault, Note: f.String()})
	var running sync.WaitGroup
	defer running.Wait()
	forEachNode := func(do func(n *Node)) {
		for _, i := range f.Nodes {
			running.Add(1)
			go func() {
				defer running.Done()
				if n := r.nodesByNumber[i]; n != nil { // nil for nodes of another process
					do(n)
				}
			}()
		}
	}
	setField := func(field func(n *Node) *float64, normal float64) {
		forEachNode(func(n *Node) {
			r.withFleetLock(func() { *field(n) = f.Amount })
			if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
				r.withFleetLock(func() { *field(n) = normal })
			}
		})
	}
	switch f.Action {
	case "drain":
		forEachNode(func(n *Node) { r.drain(ctx, n, f) })
	case "crash":
		forEachNode(func(n *Node) {
			n.crash(trace.NodeCrashed)
			if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
				r.startCold(n)
			}
		})
	case "list-wrong":
		forEachNode(func(n *Node) {
			line := n.line
			line.Phase = "gone"
			r.updater.UpdateNodes(line)
			if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
				r.updater.UpdateNodes(n.line)
			}
		})
	case "silence":
		forEachNode(func(n *Node) {
			endSilence := n.silence()
			waitSeconds(ctx, f.Duration)
			endSilence()
		})
	case "slow":
		setField(func(n *Node) *float64 { return &n.setUpSlowdown }, 1)
	case "errors":
		setField(func(n *Node) *float64 { return &n.errorShare }, 0)
	case "vanish":
		setField(func(n *Node) *float64 { return &n.lostAnswerShare }, 0)
	case "neighbour":
		setField(func(n *Node) *float64 { return &n.linkShareTaken }, 0)
	case "uplink": // all nodes of a rack are in one process, so the change has no effect in the others
		r.withFleetLock(func() { r.fleet.racks[f.Rack].uplinkDivisor = max(0.001, f.Amount) })
		if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
			r.withFleetLock(func() { r.fleet.racks[f.Rack].uplinkDivisor = 1 })
		}
	case "list-down":
		if r.listService == nil {
			return
		}
		r.listService.Stop()
		if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
			if err := r.listService.Start(r.listService.addr); err != nil {
				r.Logf("list service: %v", err)
			}
		}
	case "list-late":
		if r.listService == nil {
			return
		}
		normal := time.Duration(r.Scenario.ListDelayMs) * time.Millisecond
		r.listService.SetDelay(normal + time.Duration(f.Amount*float64(time.Second)))
		if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
			r.listService.SetDelay(normal)
		}
	case "crowd":
		r.mu.Lock()
		r.titleShares[f.Title] = f.Amount
		r.mu.Unlock()
		if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
			r.mu.Lock()
			delete(r.titleShares, f.Title)
			r.mu.Unlock()
		}
	case "shift":
		r.mu.Lock()
		r.shift = frontShift{f.Front, f.Amount}
		r.mu.Unlock()
		if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
			r.mu.Lock()
			r.shift = frontShift{}
			r.mu.Unlock()
		}
	case "reports-late":
		r.withFleetLock(func() { r.fleet.reportDelay = f.Amount })
		if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
			r.withFleetLock(func() { r.fleet.reportDelay = 0 })
		}
	case "zone-cut":
		r.withFleetLock(func() { r.fleet.isolateZone(f.Zone) })
		if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
			r.withFleetLock(func() { r.fleet.isolateZone(-1) })
		}
	case "ageing":
		forEachNode(func(n *Node) {
			for seconds := 0.0; seconds < f.Duration; seconds++ {
				r.withFleetLock(func() { n.setUpSlowdown, n.linkShareTaken = ageingEffect(f, seconds) })
				if !waitSeconds(ctx, 1) {
					return
				}
			}
			n.crash(trace.NodeCrashed)
			r.withFleetLock(func() { n.setUpSlowdown, n.linkShareTaken = 1, 0 })
			if waitSeconds(ctx, ageingRestartDelay) {
				r.startCold(n)
			}
		})
	case "front-kill":
		if len(r.fronts) == 0 {
			return
		}
		front := r.fronts[f.Front]
		front.kill()
		r.recorder.Add(trace.Event{Kind: trace.FrontKilled, Front: front.name})
		if f.Duration > 0 && waitSeconds(ctx, f.Duration) {
			if err := r.startFront(front); err != nil {
				r.Logf("%v", err)
				return
			}
			if err := front.awaitReady(ctx, 20*time.Second); err != nil {
				r.Logf("%v", err)
				return
			}
			r.recorder.Add(trace.Event{Kind: trace.FrontStarted, Front: front.name})
		}
	case "front-stall":
		if len(r.fronts) == 0 {
			return
		}
		front := r.fronts[f.Front]
		r.recorder.Add(trace.Event{Kind: trace.FrontStopped, Front: front.name})
		front.signal(syscall.SIGSTOP)
		waitSeconds(ctx, f.Duration)
		front.signal(syscall.SIGCONT)
		r.recorder.Add(trace.Event{Kind: trace.FrontResumed, Front: front.name})
	}
}

const (
	ageingRestartDelay = 4.0 // seconds between the crash of an aged node and its restart
	ageingLinkShare    = 0.8 // share of the link that an aged node has lost when it crashes
)

// ageingEffect returns the set-up slowdown and the lost share of the link after some seconds of ageing. Both
// grow linearly.
func ageingEffect(f Fault, seconds float64) (setUpSlowdown, linkShareTaken float64) {
	progress := seconds / f.Duration
	return 1 + (f.Amount-1)*progress, ageingLinkShare * progress
}

// withFleetLock calls do with the fleet's lock held.
func (r *Rehearsal) withFleetLock(do func()) {
	r.fleet.mu.Lock()
	do()
	r.fleet.mu.Unlock()
}

// drain emulates the replacement of a node by a deployment. The list marks the node as draining. Its process ends
// f.Amount seconds later. f.Duration seconds after that, a replacement with a new name starts cold in the same
// cell.
func (r *Rehearsal) drain(ctx context.Context, n *Node, f Fault) {
	line := n.line
	line.Phase = "draining"
	r.withFleetLock(func() { n.draining = true })
	r.updater.UpdateNodes(line)
	if !waitSeconds(ctx, f.Amount) {
		return
	}
	n.crash(trace.NodeCrashed)
	line.Phase = "gone"
	r.updater.UpdateNodes(line)
	if f.Duration <= 0 || !waitSeconds(ctx, f.Duration) {
		return
	}
	r.mu.Lock()
	name, _, _ := strings.Cut(n.line.Name, "x")
	replacement, err := r.newNode(name+"x"+fmt.Sprint(len(r.allNodes)), n.cell, 0, n.linkKB)
	r.mu.Unlock()
	if err == nil {
		r.startCold(replacement)
	} else {
		r.Logf("%v", err)
	}
}

// startCold starts a cold process on a node and updates the list.
func (r *Rehearsal) startCold(n *Node) {
	if err := n.start(true); err != nil {
		r.Logf("%v", err)
		return
	}
	r.fleet.mu.Lock()
	n.line.StartedMs = time.Now().UnixMilli()
	line := n.line
	r.fleet.mu.Unlock()
	r.updater.UpdateNodes(line)
}
