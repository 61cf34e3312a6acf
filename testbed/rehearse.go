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

// Rehearsal runs a day: fronts as processes of their own, stand-in nodes, the list service and viewers in
// this one, all on loopback.
type Rehearsal struct {
	Scenario *Scenario
	Program  string                            // the gullrail that serves; empty runs the fronts in this process, where they can't be killed
	Command  func(name, file string) *exec.Cmd // what starts a front, in place of Program
	Folder   string                            // for the fronts' settings and logs
	Logf     func(format string, args ...any)

	tape     *trace.Recorder
	fleet    *Fleet
	registry *ListService // the list service, where it is in this process
	list     NodeUpdater
	rnd      *rand.Rand
	fronts   []*frontProcess
	byNumber map[int]*Node // those in this process
	viewers  bool          // are in this process
	all      []*Node
	crowd    map[string]float64
	lean     lean
	mu       sync.Mutex // of crowd and lean
	wg       sync.WaitGroup
}

// NodeUpdater is told what becomes of nodes: the list service, here or in another process.
type NodeUpdater interface{ UpdateNodes(lines ...nodes.Line) }

// frontProcess is one front end, in as many lives as the script gives it.
type frontProcess struct {
	name, file, log, addr string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	ended                 chan struct{} // closed once the process is reaped
	err                   error         // of its end, then
	begun                 bool
	here                  func() error // ends a front in this process
}

// Outcome is what a rehearsal came to.
type Outcome struct {
	Report *audit.Report
	Lines  []trace.Event
	Short  float64 // share of segments delivered short
	Took   time.Duration
}

// freePort finds an address that is free now.
func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Run runs the day to its end, or to that of the context. All that it started has ended when it returns.
func (r *Rehearsal) Run(ctx context.Context) (out *Outcome, err error) {
	began := time.Now()
	d := r.Scenario
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
	players := NewViewerClients(&d.Service, r.tape)
	viewers, endViewers := context.WithCancel(ctx)
	defer endViewers()
	start := time.Now()
	for _, f := range d.Faults {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.inject(ctx, start, f) }()
	}
	r.arrive(viewers, start, players, r.Fronts())
	wait(ctx, d.tail())
	lined := r.tape.Events()
	endViewers()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("rehearsal: %w", context.Cause(ctx))
	}
	out = &Outcome{Report: audit.Check(&d.Service, lined), Lines: lined, Took: time.Since(began)}
	players.Counts.mu.Lock()
	out.Short = float64(players.Counts.Short) / max(1, float64(players.Counts.Segments))
	players.Counts.mu.Unlock()
	return out, nil
}

// tail is how long after the last arrival the day goes on, in seconds: what was asked last is still to
// be answered.
func (d *Scenario) tail() float64 { return d.Service.LongestLimitMs()/1000 + 1 }

// Start starts the nodes, the list service and the fronts, and waits until the fronts are ready. Stop is owed
// after it, also when it fails.
func (r *Rehearsal) Start(ctx context.Context) error {
	key, err := r.prepare(trace.New())
	if err != nil {
		return err
	}
	r.viewers = true
	r.registry = NewListService(r.tape, time.Duration(r.Scenario.ListLateMs)*time.Millisecond)
	r.list = r.registry
	lines, err := r.startNodes(func(int) bool { return true })
	if err != nil {
		return err
	}
	r.registry.UpdateNodes(lines...)
	addr, err := freePort()
	if err != nil {
		return err
	}
	if err := r.registry.Start(addr); err != nil {
		return err
	}
	return r.startFronts(ctx, key, r.registry.addr)
}

// prepare makes what every part of a rehearsal needs, the same for all of them.
func (r *Rehearsal) prepare(t *trace.Recorder) (config.Key, error) {
	d := r.Scenario
	r.tape = t
	r.rnd = rand.New(rand.NewPCG(d.Seed, 1))
	r.crowd, r.byNumber = map[string]float64{}, map[int]*Node{}
	if r.Logf == nil {
		r.Logf = func(string, ...any) {}
	}
	key := config.Key{ID: "rehearsal", Seed: make([]byte, 32), Signs: true}
	for i := range key.Seed {
		key.Seed[i] = byte(r.rnd.UintN(256))
	}
	minter, err := frontend.NewMinter([]config.Key{key})
	if err != nil {
		return key, err
	}
	r.fleet = &Fleet{set: &d.Service, check: minter.Checker, tape: r.tape, setUpMs: d.SetUpMs, guard: d.MaxLinkLoad,
		idle: time.Duration(d.IdleMs) * time.Millisecond, rnd: rand.New(rand.NewPCG(d.Seed, 2)), nodes: map[string]*Node{}}
	for range d.Service.Racks {
		given := d.Service.UplinkKB
		if given <= 0 {
			given = math.Inf(1)
		}
		r.fleet.racks = append(r.fleet.racks, rack{given * r.about(), 1})
	}
	return key, nil
}

// startNodes starts the day's nodes that this process has, by their numbers.
func (r *Rehearsal) startNodes(mine func(number int) bool) (lines []nodes.Line, err error) {
	for i := range r.Scenario.Nodes {
		given := r.Scenario.Service.WeightKB * r.about()
		if !mine(i) {
			continue
		}
		n, err := r.newNode(fmt.Sprintf("n%d", i), i%r.Scenario.Service.Cells, i, given)
		if err != nil {
			return nil, err
		}
		r.byNumber[i] = n
		lines = append(lines, n.line)
		if err := n.start(false); err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// Stop ends all that Start started, the fronts in order first, and returns the first that did not end well.
func (r *Rehearsal) Stop() (err error) {
	for _, f := range r.fronts {
		if e := f.stop(); e != nil && err == nil {
			err = e
		}
	}
	for _, n := range r.all {
		n.crash(trace.Crash)
		n.wg.Wait()
	}
	if r.registry != nil && r.registry.server != nil {
		r.registry.Stop()
	}
	return err
}

// about draws a factor around 1, by the day's unevenness.
func (r *Rehearsal) about() float64 { return 1 + r.Scenario.BandwidthSpread*(2*r.rnd.Float64()-1) }

func (r *Rehearsal) newNode(name string, cell, i int, given float64) (*Node, error) {
	addr, err := freePort()
	if err != nil {
		return nil, err
	}
	set := &r.Scenario.Service
	n := &Node{fleet: r.fleet, cell: cell, given: given, slow: 1, line: nodes.Line{Name: name,
		Address: addr, Phase: "ready", Kind: set.Kinds[i%len(set.Kinds)].Name, Zone: set.Zones[i%len(set.Zones)],
		Cell: cell, Weight: 1}}
	r.fleet.mu.Lock()
	r.fleet.nodes[name] = n
	r.fleet.mu.Unlock()
	r.all = append(r.all, n)
	return n, nil
}

// ---- Fronts ----

func (r *Rehearsal) startFronts(ctx context.Context, key config.Key, list string) error {
	d := r.Scenario
	for i := range d.Service.Fronts {
		addr, err := freePort()
		if err != nil {
			return err
		}
		f := &frontProcess{name: fmt.Sprintf("f%d", i), addr: addr, file: filepath.Join(r.Folder, fmt.Sprintf("front-%d.jsonc", i)),
			log: filepath.Join(r.Folder, fmt.Sprintf("front-%d.log", i))}
		state := filepath.Join(r.Folder, f.name+"-state")
		if err := os.RemoveAll(state); err != nil { // of a run before
			return fmt.Errorf("rehearsal: %w", err)
		}
		text, err := d.FrontSettings(i, f.name, addr, list, state, key)
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
		r.tape.Add(trace.Event{Kind: trace.FrontStarted, Front: f.name})
	}
	return nil
}

// FrontSettings is the settings file of one front of the day.
func (d *Scenario) FrontSettings(i int, name, listen, list, state string, key config.Key) ([]byte, error) {
	settings := map[string]any{"name": name, "number": i, "zone": d.Service.Zones[i%len(d.Service.Zones)], "listen": listen, "seed": d.Seed}
	if d.KeepRecords {
		settings["state"] = state
	}
	own, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "{\n\"front\": %s,\n\"list\": {\"url\": \"http://%s/v1/list\"},\n\"keys\": [{\"id\": %q, \"seed\": %q, \"signs\": true}],\n\"service\": %s\n}\n",
		own, list, key.ID, base64.StdEncoding.EncodeToString(key.Seed), d.RawService), nil
}

func (r *Rehearsal) startFront(f *frontProcess) error {
	switch {
	case r.Command != nil:
		return f.start(r.Command(f.name, f.file))
	case r.Program != "":
		return f.start(exec.Command(r.Program, "serve", f.file))
	}
	return f.startHere()
}

func (f *frontProcess) start(cmd *exec.Cmd) error {
	flags := os.O_CREATE | os.O_APPEND | os.O_WRONLY
	if !f.begun { // a folder kept from a run before
		flags |= os.O_TRUNC
	}
	f.begun = true
	log, err := os.OpenFile(f.log, flags, 0o600)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("front %s: %w", f.name, err)
	}
	ended := make(chan struct{})
	f.mu.Lock()
	f.cmd, f.ended = cmd, ended
	f.mu.Unlock()
	go func() {
		err := cmd.Wait()
		f.mu.Lock()
		f.err = err
		f.mu.Unlock()
		close(ended)
	}()
	return nil
}

func (f *frontProcess) awaitReady(ctx context.Context, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	f.mu.Lock()
	ended := f.ended // nil, and never closed, for a front in this process
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
		case <-ended:
			return fmt.Errorf("front %s ended at its start, see %s", f.name, f.log)
		case <-ctx.Done():
			return fmt.Errorf("front %s does not get ready, see %s", f.name, f.log)
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

// startHere runs the front in this process.
func (f *frontProcess) startHere() error {
	set, err := config.ReadFront(f.file)
	if err != nil {
		return err
	}
	claim, err := frontend.LockFolder(set.StateFolder)
	if err != nil {
		return err
	}
	front, err := frontend.Listen(set, claim.Epoch, zerolog.Nop())
	if err != nil {
		claim.Release()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- front.Run(ctx) }()
	f.mu.Lock()
	f.here = func() error { cancel(); defer claim.Release(); return <-done }
	f.mu.Unlock()
	return nil
}

// kill ends the process as a crash does.
func (f *frontProcess) kill() {
	f.mu.Lock()
	cmd, ended := f.cmd, f.ended
	f.cmd = nil
	f.mu.Unlock()
	if cmd != nil {
		cmd.Process.Kill()
		<-ended
	}
}

// stop ends the process in order, and at once if it takes too long.
func (f *frontProcess) stop() error {
	f.mu.Lock()
	cmd, here, ended := f.cmd, f.here, f.ended
	f.cmd, f.here = nil, nil
	f.mu.Unlock()
	if here != nil {
		return here()
	}
	if cmd == nil {
		return nil
	}
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Process.Signal(syscall.SIGTERM)
	late := time.AfterFunc(15*time.Second, func() { cmd.Process.Kill() })
	defer late.Stop()
	<-ended
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return fmt.Errorf("front %s: %w, see %s", f.name, f.err, f.log)
	}
	return nil
}

// ---- Viewers ----

// arrival is a viewer's coming: when, to which front first, and a draw that decides whether a crowd takes it.
type arrival struct {
	at    float64 // seconds
	front int
	drawn float64
	lean  float64 // the same for a shift of viewers to one front
	v     *Viewer
}

// arrivals draws the day's viewers, the same for the same seed wherever the day is played.
func (d *Scenario) arrivals(fronts int) iter.Seq[arrival] {
	return func(yield func(arrival) bool) {
		rnd, leans := rand.New(rand.NewPCG(d.Seed, 3)), rand.New(rand.NewPCG(d.Seed, 5)) // apart, so that a day's draws stay
		weights := make([]float64, len(d.Service.Titles))
		sum := 0.0
		for i := range weights {
			weights[i] = 1 / math.Pow(float64(i+1), d.ZipfExponent)
			sum += weights[i]
		}
		for n, at := 0, 0.0; d.ViewersPerSecond > 0; n++ {
			if at += rnd.ExpFloat64() / d.ViewersPerSecond; at >= d.Seconds {
				return
			}
			v := &Viewer{Name: fmt.Sprintf("v%d", n), MaxRetries: d.MaxRetries, Pause: time.Duration(d.PauseMs) * time.Millisecond,
				HeedsRetryAfter: rnd.Float64() < d.RetryAfterShare, MaxRung: len(d.Service.RatesKB) - 1, Rand: rand.New(rand.NewPCG(d.Seed, uint64(n)+10))}
			_, part := math.Modf(float64(n) * math.Phi) // spread evenly, and apart from the day's draws
			v.Socket = part < d.SocketShare
			pick := rnd.Float64()
			for _, p := range d.Products {
				v.Product = &d.Service.Products[p.Number]
				v.WatchTime = time.Duration((p.Watch[0] + rnd.Float64()*(p.Watch[1]-p.Watch[0])) * float64(time.Second))
				if pick -= p.Share; pick < 0 {
					break
				}
			}
			if rnd.Float64() < d.SmallScreenShare {
				v.MaxRung = max(v.Product.MinRung, v.MaxRung-1-rnd.IntN(2))
			}
			x := rnd.Float64() * sum
			for i, w := range weights {
				v.Title = d.Service.Titles[i].Name
				if x -= w; x < 0 {
					break
				}
			}
			if !yield(arrival{at, rnd.IntN(fronts), rnd.Float64(), leans.Float64(), v}) {
				return
			}
		}
	}
}

// lean is a shift of viewers to one front.
type lean struct {
	front int
	share float64
}

func (l lean) first(a arrival) int {
	if a.lean < l.share {
		return l.front
	}
	return a.front
}

// crowded is the title that a viewer wants while crowds come for some.
func (d *Scenario) crowded(a arrival, crowd map[string]float64) string {
	for _, t := range d.Service.Titles {
		if a.drawn < crowd[t.Name] {
			return t.Name
		}
	}
	return a.v.Title
}

// arrive lets viewers come until the day is over; they don't wait for each other.
func (r *Rehearsal) arrive(ctx context.Context, start time.Time, players *ViewerClients, fronts []FrontAddress) {
	d := r.Scenario
	until := func(at float64) bool {
		select {
		case <-time.After(time.Until(start.Add(time.Duration(at * float64(time.Second))))):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for a := range d.arrivals(len(fronts)) {
		r.mu.Lock()
		a.front = r.lean.first(a)
		r.mu.Unlock()
		for i := range fronts {
			f := fronts[(a.front+i)%len(fronts)]
			a.v.Fronts, a.v.Names = append(a.v.Fronts, f.Address), append(a.v.Names, f.Name)
		}
		if !until(a.at) {
			return
		}
		r.mu.Lock()
		a.v.Title = d.crowded(a, r.crowd)
		r.mu.Unlock()
		r.wg.Add(1)
		go func() { defer r.wg.Done(); players.Watch(ctx, a.v) }()
	}
	until(d.Seconds)
}

// ---- Faults ----

func wait(ctx context.Context, seconds float64) bool {
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return true
	case <-ctx.Done():
		return false
	}
}

// inject does one fault of the script at its time, and undoes it.
func (r *Rehearsal) inject(ctx context.Context, start time.Time, f Fault) {
	if !wait(ctx, f.At-time.Since(start).Seconds()) {
		return
	}
	r.Logf("%5.1f s  %s", time.Since(start).Seconds(), f)
	r.tape.Add(trace.Event{Kind: trace.Fault, Note: f.String()})
	var all sync.WaitGroup
	defer all.Wait()
	each := func(do func(n *Node)) {
		for _, i := range f.Nodes {
			all.Add(1)
			go func() {
				defer all.Done()
				if n := r.byNumber[i]; n != nil { // else another process has it
					do(n)
				}
			}()
		}
	}
	set := func(at func(n *Node) *float64, usual float64) {
		each(func(n *Node) {
			r.change(func() { *at(n) = f.Amount })
			if f.Duration > 0 && wait(ctx, f.Duration) {
				r.change(func() { *at(n) = usual })
			}
		})
	}
	switch f.Action {
	case "drain":
		each(func(n *Node) { r.drain(ctx, n, f) })
	case "crash":
		each(func(n *Node) {
			n.crash(trace.Crash)
			if f.Duration > 0 && wait(ctx, f.Duration) {
				r.back(n)
			}
		})
	case "list-wrong":
		each(func(n *Node) {
			line := n.line
			line.Phase = "gone"
			r.list.UpdateNodes(line)
			if f.Duration > 0 && wait(ctx, f.Duration) {
				r.list.UpdateNodes(n.line)
			}
		})
	case "silence":
		each(func(n *Node) {
			end := n.hush()
			wait(ctx, f.Duration)
			end()
		})
	case "slow":
		set(func(n *Node) *float64 { return &n.slow }, 1)
	case "errors":
		set(func(n *Node) *float64 { return &n.errors }, 0)
	case "vanish":
		set(func(n *Node) *float64 { return &n.vanish }, 0)
	case "neighbour":
		set(func(n *Node) *float64 { return &n.taken }, 0)
	case "uplink": // each process of nodes has a rack of its own
		r.change(func() { r.fleet.racks[f.Rack].divided = max(0.001, f.Amount) })
		if f.Duration > 0 && wait(ctx, f.Duration) {
			r.change(func() { r.fleet.racks[f.Rack].divided = 1 })
		}
	case "list-down":
		if r.registry == nil {
			return
		}
		r.registry.Stop()
		if f.Duration > 0 && wait(ctx, f.Duration) {
			if err := r.registry.Start(r.registry.addr); err != nil {
				r.Logf("list service: %v", err)
			}
		}
	case "list-late":
		if r.registry == nil {
			return
		}
		usual := time.Duration(r.Scenario.ListLateMs) * time.Millisecond
		r.registry.SetDelay(usual + time.Duration(f.Amount*float64(time.Second)))
		if f.Duration > 0 && wait(ctx, f.Duration) {
			r.registry.SetDelay(usual)
		}
	case "crowd":
		r.mu.Lock()
		r.crowd[f.Title] = f.Amount
		r.mu.Unlock()
		if f.Duration > 0 && wait(ctx, f.Duration) {
			r.mu.Lock()
			delete(r.crowd, f.Title)
			r.mu.Unlock()
		}
	case "shift":
		r.mu.Lock()
		r.lean = lean{f.Front, f.Amount}
		r.mu.Unlock()
		if f.Duration > 0 && wait(ctx, f.Duration) {
			r.mu.Lock()
			r.lean = lean{}
			r.mu.Unlock()
		}
	case "reports-late":
		r.change(func() { r.fleet.late = f.Amount })
		if f.Duration > 0 && wait(ctx, f.Duration) {
			r.change(func() { r.fleet.late = 0 })
		}
	case "zone-cut":
		r.change(func() { r.fleet.cut(f.Zone) })
		if f.Duration > 0 && wait(ctx, f.Duration) {
			r.change(func() { r.fleet.cut(-1) })
		}
	case "ageing":
		each(func(n *Node) {
			for age := 0.0; age < f.Duration; age++ {
				r.change(func() { n.slow, n.taken = aged(f, age) })
				if !wait(ctx, 1) {
					return
				}
			}
			n.crash(trace.Crash)
			r.change(func() { n.slow, n.taken = 1, 0 })
			if wait(ctx, agedBack) {
				r.back(n)
			}
		})
	case "front-kill":
		if len(r.fronts) == 0 {
			return
		}
		p := r.fronts[f.Front]
		p.kill()
		r.tape.Add(trace.Event{Kind: trace.FrontKilled, Front: p.name})
		if f.Duration > 0 && wait(ctx, f.Duration) {
			if err := r.startFront(p); err != nil {
				r.Logf("%v", err)
				return
			}
			if err := p.awaitReady(ctx, 20*time.Second); err != nil {
				r.Logf("%v", err)
				return
			}
			r.tape.Add(trace.Event{Kind: trace.FrontStarted, Front: p.name})
		}
	case "front-stall":
		if len(r.fronts) == 0 {
			return
		}
		p := r.fronts[f.Front]
		r.tape.Add(trace.Event{Kind: trace.FrontStopped, Front: p.name})
		p.signal(syscall.SIGSTOP)
		wait(ctx, f.Duration)
		p.signal(syscall.SIGCONT)
		r.tape.Add(trace.Event{Kind: trace.Continued, Front: p.name})
	}
}

const (
	agedBack = 4.0 // seconds after which a node that aged and died comes back
	agedLink = 0.8 // share of its link that it has lost by then
)

// aged is how a node is after some seconds of ageing: slower, and with less of its link.
func aged(f Fault, age float64) (slow, taken float64) {
	part := age / f.Duration
	return 1 + (f.Amount-1)*part, agedLink * part
}

func (r *Rehearsal) change(do func()) {
	r.fleet.mu.Lock()
	do()
	r.fleet.mu.Unlock()
}

// drain takes a node out as a deploy does: the list says draining, Amount seconds later the process ends,
// and For seconds after that a successor comes up cold in its cell, under a name of its own.
func (r *Rehearsal) drain(ctx context.Context, n *Node, f Fault) {
	line := n.line
	line.Phase = "draining"
	r.change(func() { n.draining = true })
	r.list.UpdateNodes(line)
	if !wait(ctx, f.Amount) {
		return
	}
	n.crash(trace.Crash)
	line.Phase = "gone"
	r.list.UpdateNodes(line)
	if f.Duration <= 0 || !wait(ctx, f.Duration) {
		return
	}
	r.mu.Lock()
	name, _, _ := strings.Cut(n.line.Name, "x")
	m, err := r.newNode(name+"x"+fmt.Sprint(len(r.all)), n.cell, 0, n.given)
	r.mu.Unlock()
	if err == nil {
		r.back(m)
	} else {
		r.Logf("%v", err)
	}
}

// back starts a node cold and tells the list service.
func (r *Rehearsal) back(n *Node) {
	if err := n.start(true); err != nil {
		r.Logf("%v", err)
		return
	}
	r.fleet.mu.Lock()
	n.line.StartedMs = time.Now().UnixMilli()
	line := n.line
	r.fleet.mu.Unlock()
	r.list.UpdateNodes(line)
}
