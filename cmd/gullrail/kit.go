package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"gullrail/nodes"
	"gullrail/rundir"
	"gullrail/testbed"
	"gullrail/testbed/trace"
)

type kitCommands struct {
	Up     kitUp     `cmd:"" help:"Start a scenario's list service, nodes and front ends as processes and leave them running."`
	All    kitAll    `cmd:"" help:"Run every scenario of a folder and print one line for each; exits with 1 if a rule was broken in any."`
	Run    kitRun    `cmd:"" help:"Run a scenario in separate processes, stop them all and print the report."`
	Down   kitDown   `cmd:"" help:"Stop the processes of a run folder gracefully."`
	Status kitStatus `cmd:"" help:"List the processes of a run folder."`
	Clean  kitClean  `cmd:"" help:"Stop the processes that an interrupted run left and remove the run's registration files."`
	Member kitMember `cmd:"" hidden:""`
}

const (
	startTimeout = 30 * time.Second       // for each process of a run to register
	stopTimeout  = 8 * time.Second        // for a graceful exit; processes still running are then killed
	startDelay   = 500 * time.Millisecond // from the announcement of the start time to the start
)

type runFolderOption struct {
	Dir string `help:"Run folder." default:"gullrail-run" type:"path"`
}

// activeRun is a run in progress, seen from the process that started it.
type activeRun struct {
	run       *rundir.Run
	scenario  *testbed.Scenario
	program   string
	rehearsal *testbed.Rehearsal       // starts, kills and stalls the front ends
	recorder  *trace.Recorder          // of events in this process
	exited    map[string]chan struct{} // by member name; closed when the process has exited
}

// command returns a command that runs a member of the run. The process gets its own process group, so that an interrupt from the
// terminal reaches only the parent, which then stops the members gracefully.
func (r *activeRun) command(args ...string) *exec.Cmd {
	cmd := exec.Command(r.program, append([]string{"kit", "member", "--dir", r.run.Folder}, args...)...)
	cmd.Env = append(os.Environ(), rundir.NonceVariable+"="+r.run.Nonce)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd
}

// startMember starts a member, with its output in a log file in the run folder.
func (r *activeRun) startMember(name string, args ...string) error {
	logFile, err := os.OpenFile(filepath.Join(r.run.Folder, name+".log"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("kit: %w", err)
	}
	defer logFile.Close()
	cmd := r.command(append(args, name)...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("kit: %s: %w", name, err)
	}
	exited := make(chan struct{})
	r.exited[name] = exited
	go func() { cmd.Wait(); close(exited) }()
	return nil
}

// awaitMember waits until a member has registered and decodes its info.
func (r *activeRun) awaitMember(ctx context.Context, name string, info any) error {
	timeout, lastCheck := time.After(startTimeout), false
	for !lastCheck {
		select { // look once more after the process exits or the time is up: it may have registered just before
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout:
			lastCheck = true
		case <-r.exited[name]:
			lastCheck = true
		case <-time.After(20 * time.Millisecond):
		}
		if ok, err := r.run.MemberInfo(name, info); ok || err != nil {
			return err
		}
	}
	return fmt.Errorf("kit: %s did not start, see %s", name, filepath.Join(r.run.Folder, name+".log"))
}

// listServiceInfo is what the list service registers with. Updates have a socket of their own, which stays open during a fault that
// makes the service unreachable to front ends.
type listServiceInfo struct {
	QueryAddress  string `json:"players"`  // for front ends
	UpdateAddress string `json:"announce"` // for the processes that run nodes
}

// startRun creates a run and starts its nodes, list service and front ends. The caller must call Clean on a run that is returned,
// also one returned with an error.
func startRun(ctx context.Context, folder, file string, seed uint64, logf func(string, ...any)) (*activeRun, error) {
	scenario, err := testbed.ReadScenario(file)
	if err != nil {
		return nil, inputError{err}
	}
	if seed != 0 {
		scenario.Seed = seed
	}
	if file, err = filepath.Abs(file); err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	clockBase := trace.Monotonic()
	run, err := rundir.Create(folder, file, scenario.Seed, clockBase)
	if err != nil {
		return nil, err
	}
	for _, stale := range []string{"start.json", "viewers.json", "fronts.json"} { // of an earlier run in this folder
		os.Remove(filepath.Join(run.Folder, stale))
	}
	os.RemoveAll(filepath.Join(run.Folder, "tapes"))
	r := &activeRun{run: run, scenario: scenario, program: program, recorder: trace.NewSince(clockBase), exited: map[string]chan struct{}{}}
	if err := os.MkdirAll(filepath.Join(run.Folder, "tapes"), 0o700); err != nil {
		return r, fmt.Errorf("kit: %w", err)
	}
	var nodeLines []nodes.ListNode
	for i := range scenario.Service.Racks {
		if err := r.startMember(fmt.Sprintf("rack-%d", i), "--rack", fmt.Sprint(i)); err != nil {
			return r, err
		}
	}
	for i := range scenario.Service.Racks {
		var lines []nodes.ListNode
		if err := r.awaitMember(ctx, fmt.Sprintf("rack-%d", i), &lines); err != nil {
			return r, err
		}
		nodeLines = append(nodeLines, lines...)
	}
	if err := writeJSON(filepath.Join(run.Folder, "nodes.json"), nodeLines); err != nil {
		return r, err
	}
	if err := r.startMember("list"); err != nil {
		return r, err
	}
	var listService listServiceInfo
	if err := r.awaitMember(ctx, "list", &listService); err != nil {
		return r, err
	}
	r.rehearsal = &testbed.Rehearsal{Scenario: scenario, Folder: run.Folder, Logf: logf, Command: func(name, file string) *exec.Cmd {
		return r.command("--file", file, name)
	}}
	if err := r.rehearsal.StartFronts(ctx, listService.QueryAddress, r.recorder); err != nil {
		return r, err
	}
	return r, writeJSON(filepath.Join(run.Folder, "fronts.json"), r.rehearsal.Fronts())
}

func writeJSON(file string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file+".new", b, 0o600); err != nil {
		return fmt.Errorf("kit: %w", err)
	}
	return os.Rename(file+".new", file)
}

func readJSON(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

type kitUp struct {
	runFolderOption
	File string `arg:"" help:"Scenario (JSON with comments)."`
	Seed uint64 `help:"Seed; overrides the scenario's."`
}

func (c *kitUp) Run(ctx context.Context) error {
	r, err := startRun(ctx, c.Dir, c.File, c.Seed, nil)
	if err != nil {
		if r != nil {
			r.run.Stop(stopTimeout)
		}
		return err
	}
	for _, f := range r.rehearsal.Fronts() {
		fmt.Printf("%s at http://%s\n", f.Name, f.Address)
	}
	return nil
}

type kitRun struct {
	runFolderOption
	File string `arg:"" help:"Scenario (JSON with comments)."`
	Seed uint64 `help:"Seed; overrides the scenario's."`
	JSON bool   `help:"Print the report as JSON."`
}

func (c *kitRun) Run(ctx context.Context) error {
	progress := io.Writer(os.Stdout)
	if c.JSON {
		progress = os.Stderr
	}
	startTime := time.Now()
	outcome, err := c.run(ctx, progress)
	if err != nil {
		return err
	}
	return printReport(outcome.Report, outcome.ShortSegmentShare, time.Since(startTime), c.JSON)
}

// run runs the scenario and writes its trace and HTML report to the run folder.
func (c *kitRun) run(ctx context.Context, progress io.Writer) (*testbed.Outcome, error) {
	r, err := startRun(ctx, c.Dir, c.File, c.Seed, func(format string, args ...any) { fmt.Fprintf(progress, "  "+format+"\n", args...) })
	if r == nil {
		return nil, err
	}
	var result struct{ Short float64 }
	if err == nil {
		fmt.Fprintf(progress, "%s, seed %d: %d fronts, %d nodes, %v plays a second for %v s (loopback, processes)\n", filepath.Base(c.File),
			r.scenario.Seed, r.scenario.Service.Fronts, r.scenario.Nodes, r.scenario.ViewersPerSecond, r.scenario.Seconds)
		err = r.playScenario(ctx, &result)
	}
	_, cleanErr := r.run.Stop(stopTimeout)
	if err = errors.Join(err, cleanErr); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(r.run.Folder, "tapes", "*.jsonl"))
	if err != nil {
		return nil, err
	}
	traces := [][]trace.Event{r.recorder.Events()}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		events, err := trace.Read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		traces = append(traces, events)
	}
	outcome := &testbed.Outcome{ShortSegmentShare: result.Short}
	outcome.Report, outcome.Events = r.scenario.Audit(traces...)
	return outcome, saveOutcome(r.run.Folder, c.File, r.scenario, outcome)
}

type kitAll struct {
	runFolderOption
	Days string `arg:"" help:"Folder of scenarios (*.jsonc)." type:"existingdir"`
	Seed uint64 `help:"Seed; overrides that of each scenario."`
	Sim  bool   `help:"Run in simulated time, without other processes."`
}

func (c *kitAll) Run(ctx context.Context) error {
	files, err := filepath.Glob(filepath.Join(c.Days, "*.jsonc"))
	if err != nil || len(files) == 0 {
		return inputError{errors.Join(err, fmt.Errorf("%s: no scenarios (*.jsonc) in this folder", c.Days))}
	}
	fmt.Printf("%-18s %8s %8s %8s %8s %8s  %s\n", "scenario", "asked", "declined", "failed", "service", "worth", "rules")
	broken := 0
	for _, file := range files {
		var outcome *testbed.Outcome
		name := strings.TrimSuffix(filepath.Base(file), ".jsonc")
		if c.Sim {
			scenario, err := testbed.ReadScenario(file)
			if err != nil {
				return inputError{err}
			}
			if c.Seed != 0 {
				scenario.Seed = c.Seed
			}
			outcome = (&testbed.Sim{Scenario: scenario}).Run()
		} else {
			command := kitRun{runFolderOption: runFolderOption{filepath.Join(c.Dir, name)}, File: file, Seed: c.Seed}
			if outcome, err = command.run(ctx, io.Discard); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		rules := "kept"
		for i, r := range outcome.Report.Rules {
			if len(r.Violations) > 0 {
				rules = fmt.Sprintf("rule %d BROKEN: %s", i+1, r.Violations[0])
				broken++
				break
			}
		}
		r := outcome.Report
		fmt.Printf("%-18s %8d %8d %8d %8.3f %8.3f  %s\n", name, r.Asked, r.Declined, r.Failed, r.Service, r.Worth, rules)
	}
	if broken > 0 {
		return fmt.Errorf("rules broken in %d of %d scenarios", broken, len(files))
	}
	return nil
}

// playScenario starts the viewers, injects the scenario's front-end faults and waits for the viewers' result.
func (r *activeRun) playScenario(ctx context.Context, result any) error {
	startTime := trace.Monotonic() + startDelay
	if err := writeJSON(filepath.Join(r.run.Folder, "start.json"), startTime); err != nil {
		return err
	}
	if err := r.startMember("viewers"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); r.rehearsal.Script(ctx, wallTime(startTime)) }()
	defer func() { cancel(); <-done }()
	resultFile := filepath.Join(r.run.Folder, "viewers.json")
	timeout := time.After(time.Duration((r.scenario.Seconds+60)*float64(time.Second)) + startTimeout)
	for {
		if err := readJSON(resultFile, result); err == nil {
			return nil
		}
		select {
		case <-r.exited["viewers"]:
			if err := readJSON(resultFile, result); err == nil {
				return nil
			}
			return fmt.Errorf("kit: the viewers process exited without a result, see %s", filepath.Join(r.run.Folder, "viewers.log"))
		case <-ctx.Done():
			return fmt.Errorf("kit: %w", ctx.Err())
		case <-timeout:
			return fmt.Errorf("kit: timed out waiting for the viewers' result, see %s", filepath.Join(r.run.Folder, "viewers.log"))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// wallTime converts a reading of the monotonic clock, which the processes of a run share, to wall-clock time.
func wallTime(reading time.Duration) time.Time { return time.Now().Add(reading - trace.Monotonic()) }

type kitDown struct{ runFolderOption }

func (c *kitDown) Run() error {
	run, err := rundir.Open(c.Dir)
	if err != nil {
		return inputError{err}
	}
	ended, err := run.Stop(stopTimeout)
	fmt.Printf("stopped %d processes\n", len(ended))
	return err
}

type kitStatus struct{ runFolderOption }

func (c *kitStatus) Run() error {
	run, err := rundir.Open(c.Dir)
	if err != nil {
		return inputError{err}
	}
	members, err := run.Members()
	if err != nil {
		return err
	}
	state := "running"
	if run.Ended {
		state = "ended"
	}
	fmt.Printf("run of %s, seed %d, started %s, %s\n", filepath.Base(run.ScenarioFile), run.Seed, run.StartedAt.Format(time.RFC3339), state)
	for _, m := range members {
		fmt.Printf("  %-10s process %-8d %s\n", m.Name, m.PID, run.StateOf(m))
	}
	return nil
}

type kitClean struct{ runFolderOption }

func (c *kitClean) Run() error {
	run, err := rundir.Open(c.Dir)
	if errors.Is(err, rundir.ErrNoRun) {
		fmt.Println("nothing to clean")
		return rundir.RemoveIncomplete(c.Dir)
	}
	if err != nil {
		return inputError{err}
	}
	ended, err := run.Stop(stopTimeout)
	if err != nil {
		return err
	}
	for _, m := range ended {
		fmt.Printf("stopped %s, PID %d\n", m.Name, m.PID)
	}
	return run.RemoveFiles()
}

// kitMember runs one process of a run. It registers as NAME.starting before it opens anything and as NAME once it is ready, and
// exits on SIGTERM.
type kitMember struct {
	runFolderOption
	Name string `arg:""`
	Rack int    `default:"-1"` // runs the nodes of this rack
	File string // runs a front end with these settings
}

func (c *kitMember) Run(ctx context.Context) error {
	run, err := rundir.Open(c.Dir)
	if err != nil {
		return err
	}
	if err := run.Register(c.Name+".starting", nil); err != nil {
		return err
	}
	defer run.Unregister(c.Name)
	defer run.Unregister(c.Name + ".starting")
	if c.File != "" {
		if err := run.Register(c.Name, nil); err != nil {
			return err
		}
		run.Unregister(c.Name + ".starting")
		return (&serveCommand{File: c.File}).Run(ctx)
	}
	scenario, err := testbed.ReadScenario(run.ScenarioFile)
	if err != nil {
		return err
	}
	scenario.Seed = run.Seed
	recorder := trace.NewSince(time.Duration(run.ClockBaseNs))
	rehearsal := &testbed.Rehearsal{Scenario: scenario, Folder: run.Folder, Logf: func(format string, args ...any) { fmt.Printf(format+"\n", args...) }}
	defer rehearsal.Stop()
	var events []trace.Event
	if c.Name == "viewers" {
		if err := run.Register(c.Name, nil); err != nil {
			return err
		}
		run.Unregister(c.Name + ".starting")
		var fronts []testbed.FrontAddress
		if err := readJSON(filepath.Join(run.Folder, "fronts.json"), &fronts); err != nil {
			return err
		}
		startTime, err := awaitStart(ctx, run.Folder)
		if err != nil {
			return err
		}
		events, shortShare, err := rehearsal.WatchAll(ctx, startTime, recorder, fronts)
		if err != nil {
			return err
		}
		if err := writeTrace(filepath.Join(run.Folder, "tapes", c.Name+".jsonl"), events); err != nil {
			return err
		}
		return writeJSON(filepath.Join(run.Folder, "viewers.json"), map[string]float64{"Short": shortShare})
	}
	var registration any
	if c.Rack >= 0 {
		if registration, err = rehearsal.StartRack(c.Rack, recorder); err != nil {
			return err
		}
	} else {
		var nodeLines []nodes.ListNode
		if err := readJSON(filepath.Join(run.Folder, "nodes.json"), &nodeLines); err != nil {
			return err
		}
		addr, err := rehearsal.StartList(recorder, nodeLines)
		if err != nil {
			return err
		}
		updateListener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /announce", rehearsal.HandleUpdateNodes)
		server := &http.Server{Handler: mux}
		go server.Serve(updateListener)
		defer server.Close()
		registration = listServiceInfo{addr, updateListener.Addr().String()}
	}
	if err := run.Register(c.Name, registration); err != nil {
		return err
	}
	run.Unregister(c.Name + ".starting")
	if startTime, err := awaitStart(ctx, run.Folder); err == nil {
		if c.Rack >= 0 {
			var listService listServiceInfo
			if ok, err := run.MemberInfo("list", &listService); !ok {
				return fmt.Errorf("kit: list service is not registered: %w", err)
			}
			rehearsal.ForwardUpdatesTo(listService.UpdateAddress)
		}
		rehearsal.Script(ctx, startTime)
	}
	events = recorder.Events()
	return writeTrace(filepath.Join(run.Folder, "tapes", c.Name+".jsonl"), events)
}

// awaitStart waits until the start time of the scenario is announced.
func awaitStart(ctx context.Context, folder string) (time.Time, error) {
	for {
		var startTime time.Duration
		if err := readJSON(filepath.Join(folder, "start.json"), &startTime); err == nil {
			return wallTime(startTime), nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}
