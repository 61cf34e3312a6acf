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

type kitVerbs struct {
	Up     kitUp     `cmd:"" help:"Start a day's list service, nodes and fronts as processes, and leave them running."`
	All    kitAll    `cmd:"" help:"Play every day of a folder, a line each; exit 1 if a rule broke on any."`
	Run    kitRun    `cmd:"" help:"Play a day by processes of its own, end them all, and report."`
	Down   kitDown   `cmd:"" help:"End the run of a folder in order."`
	Status kitStatus `cmd:"" help:"List the processes of a folder's run."`
	Clean  kitClean  `cmd:"" help:"Find and end what an interrupted run left, and take its files away."`
	Member kitMember `cmd:"" hidden:""`
}

const (
	startsWithin = 30 * time.Second // all processes of a run have registered by then
	endsWithin   = 8 * time.Second  // and ended in order by then, or are ended at once
	before       = 500 * time.Millisecond
)

type kitFolder struct {
	Dir string `help:"The run folder." default:"gullrail-run" type:"path"`
}

// started is a run that goes on, as the one who started it holds it.
type started struct {
	run   *rundir.Run
	day   *testbed.Scenario
	self  string
	stage *testbed.Rehearsal // the fronts' side
	tape  *trace.Recorder
	ended map[string]chan struct{} // closed once a member's process has ended
}

// member starts a process of the run. It is in a group of its own, so that a key pressed at the
// terminal reaches the kit alone, which then ends it in order.
func (s *started) command(args ...string) *exec.Cmd {
	cmd := exec.Command(s.self, append([]string{"kit", "member", "--dir", s.run.Folder}, args...)...)
	cmd.Env = append(os.Environ(), rundir.NonceVariable+"="+s.run.Nonce)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd
}

func (s *started) member(name string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(s.run.Folder, name+".log"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("kit: %w", err)
	}
	defer log.Close()
	cmd := s.command(append(args, name)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("kit: %s: %w", name, err)
	}
	ended := make(chan struct{})
	s.ended[name] = ended
	go func() { cmd.Wait(); close(ended) }()
	return nil
}

// await waits for a member to say where it is.
func (s *started) await(ctx context.Context, name string, info any) error {
	late, gone := time.After(startsWithin), false
	for !gone {
		select { // looked for once more after its end, as it may have registered just before
		case <-ctx.Done():
			return ctx.Err()
		case <-late:
			gone = true
		case <-s.ended[name]:
			gone = true
		case <-time.After(20 * time.Millisecond):
		}
		if ok, err := s.run.Find(name, info); ok || err != nil {
			return err
		}
	}
	return fmt.Errorf("kit: %s does not start, see %s", name, filepath.Join(s.run.Folder, name+".log"))
}

type listInfo struct {
	Players  string `json:"players"` // where fronts ask
	Announce string `json:"announce"`
}

// start begins a run and brings it up. What it started is to be ended by Clean, also when it fails.
func start(ctx context.Context, folder, file string, seed uint64, say func(string, ...any)) (*started, error) {
	day, err := testbed.ReadScenario(file)
	if err != nil {
		return nil, wrong{err}
	}
	if seed != 0 {
		day.Seed = seed
	}
	if file, err = filepath.Abs(file); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	base := trace.Monotonic()
	run, err := rundir.Create(folder, file, day.Seed, base)
	if err != nil {
		return nil, err
	}
	for _, old := range []string{"start.json", "viewers.json", "fronts.json"} {
		os.Remove(filepath.Join(run.Folder, old))
	}
	os.RemoveAll(filepath.Join(run.Folder, "tapes"))
	s := &started{run: run, day: day, self: self, tape: trace.NewSince(base), ended: map[string]chan struct{}{}}
	if err := os.MkdirAll(filepath.Join(run.Folder, "tapes"), 0o700); err != nil {
		return s, fmt.Errorf("kit: %w", err)
	}
	var all []nodes.Line
	for i := range day.Service.Racks {
		if err := s.member(fmt.Sprintf("rack-%d", i), "--rack", fmt.Sprint(i)); err != nil {
			return s, err
		}
	}
	for i := range day.Service.Racks {
		var lines []nodes.Line
		if err := s.await(ctx, fmt.Sprintf("rack-%d", i), &lines); err != nil {
			return s, err
		}
		all = append(all, lines...)
	}
	if err := writeJSON(filepath.Join(run.Folder, "nodes.json"), all); err != nil {
		return s, err
	}
	if err := s.member("list"); err != nil {
		return s, err
	}
	var list listInfo
	if err := s.await(ctx, "list", &list); err != nil {
		return s, err
	}
	s.stage = &testbed.Rehearsal{Scenario: day, Folder: run.Folder, Logf: say, Command: func(name, file string) *exec.Cmd {
		return s.command("--file", file, name)
	}}
	if err := s.stage.StartFronts(ctx, list.Players, s.tape); err != nil {
		return s, err
	}
	return s, writeJSON(filepath.Join(run.Folder, "fronts.json"), s.stage.Fronts())
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
	kitFolder
	File string `arg:"" help:"The day."`
	Seed uint64 `help:"Its seed, in place of the day's."`
}

func (v *kitUp) Run(ctx context.Context) error {
	s, err := start(ctx, v.Dir, v.File, v.Seed, nil)
	if err != nil {
		if s != nil {
			s.run.Clean(endsWithin)
		}
		return err
	}
	for _, f := range s.stage.Fronts() {
		fmt.Printf("%s at http://%s\n", f.Name, f.Address)
	}
	return nil
}

type kitRun struct {
	kitFolder
	File string `arg:"" help:"The day."`
	Seed uint64 `help:"Its seed, in place of the day's."`
	JSON bool   `help:"Print the report as JSON."`
}

func (v *kitRun) Run(ctx context.Context) error {
	say := io.Writer(os.Stdout)
	if v.JSON {
		say = os.Stderr
	}
	began := time.Now()
	out, err := v.played(ctx, say)
	if err != nil {
		return err
	}
	return report(out.Report, out.Short, time.Since(began), v.JSON)
}

// played plays the day and leaves its trace and page in the run folder.
func (v *kitRun) played(ctx context.Context, say io.Writer) (*testbed.Outcome, error) {
	s, err := start(ctx, v.Dir, v.File, v.Seed, func(format string, args ...any) { fmt.Fprintf(say, "  "+format+"\n", args...) })
	if s == nil {
		return nil, err
	}
	var short struct{ Short float64 }
	if err == nil {
		fmt.Fprintf(say, "%s, seed %d: %d fronts, %d nodes, %v plays a second for %v s (loopback, processes)\n", filepath.Base(v.File),
			s.day.Seed, s.day.Service.Fronts, s.day.Nodes, s.day.ViewersPerSecond, s.day.Seconds)
		err = s.play(ctx, &short)
	}
	_, e := s.run.Clean(endsWithin)
	if err = errors.Join(err, e); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(s.run.Folder, "tapes", "*.jsonl"))
	if err != nil {
		return nil, err
	}
	tapes := [][]trace.Event{s.tape.Events()}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		lines, err := trace.Read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		tapes = append(tapes, lines)
	}
	out := &testbed.Outcome{Short: short.Short}
	out.Report, out.Lines = s.day.Audit(tapes...)
	return out, keep(s.run.Folder, v.File, s.day, out)
}

type kitAll struct {
	kitFolder
	Days string `arg:"" help:"A folder of days." type:"existingdir"`
	Seed uint64 `help:"Play them with this seed in place of their own."`
	Sim  bool   `help:"In simulated time, without processes."`
}

func (v *kitAll) Run(ctx context.Context) error {
	files, err := filepath.Glob(filepath.Join(v.Days, "*.jsonc"))
	if err != nil || len(files) == 0 {
		return wrong{errors.Join(err, fmt.Errorf("%s: no day (*.jsonc) there", v.Days))}
	}
	fmt.Printf("%-18s %8s %8s %8s %8s %8s  %s\n", "day", "asked", "declined", "failed", "service", "worth", "rules")
	broken := 0
	for _, file := range files {
		var out *testbed.Outcome
		name := strings.TrimSuffix(filepath.Base(file), ".jsonc")
		if v.Sim {
			day, err := testbed.ReadScenario(file)
			if err != nil {
				return wrong{err}
			}
			if v.Seed != 0 {
				day.Seed = v.Seed
			}
			out = (&testbed.Sim{Scenario: day}).Run()
		} else {
			run := kitRun{kitFolder: kitFolder{filepath.Join(v.Dir, name)}, File: file, Seed: v.Seed}
			if out, err = run.played(ctx, io.Discard); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		rules := "kept"
		for i, r := range out.Report.Rules {
			if len(r.Violations) > 0 {
				rules = fmt.Sprintf("rule %d BROKEN: %s", i+1, r.Violations[0])
				broken++
				break
			}
		}
		r := out.Report
		fmt.Printf("%-18s %8d %8d %8d %8.3f %8.3f  %s\n", name, r.Asked, r.Declined, r.Failed, r.Service, r.Worth, rules)
	}
	if broken > 0 {
		return fmt.Errorf("a rule is broken on %d of %d days", broken, len(files))
	}
	return nil
}

// play lets the viewers in and plays the fronts' part of the script until the viewers are done.
func (s *started) play(ctx context.Context, short any) error {
	at := trace.Monotonic() + before
	if err := writeJSON(filepath.Join(s.run.Folder, "start.json"), at); err != nil {
		return err
	}
	if err := s.member("viewers"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); s.stage.Script(ctx, moment(at)) }()
	defer func() { cancel(); <-done }()
	result := filepath.Join(s.run.Folder, "viewers.json")
	late := time.After(time.Duration((s.day.Seconds+60)*float64(time.Second)) + startsWithin)
	for {
		if err := readJSON(result, short); err == nil {
			return nil
		}
		select {
		case <-s.ended["viewers"]:
			if err := readJSON(result, short); err == nil {
				return nil
			}
			return fmt.Errorf("kit: the viewers ended without a result, see %s", filepath.Join(s.run.Folder, "viewers.log"))
		case <-ctx.Done():
			return fmt.Errorf("kit: %w", ctx.Err())
		case <-late:
			return fmt.Errorf("kit: the viewers don't come to an end, see %s", filepath.Join(s.run.Folder, "viewers.log"))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// moment is the wall clock's time of a moment of the monotonic clock.
func moment(at time.Duration) time.Time { return time.Now().Add(at - trace.Monotonic()) }

type kitDown struct{ kitFolder }

func (v *kitDown) Run() error {
	run, err := rundir.Open(v.Dir)
	if err != nil {
		return wrong{err}
	}
	ended, err := run.Clean(endsWithin)
	fmt.Printf("%d processes ended\n", len(ended))
	return err
}

type kitStatus struct{ kitFolder }

func (v *kitStatus) Run() error {
	run, err := rundir.Open(v.Dir)
	if err != nil {
		return wrong{err}
	}
	members, err := run.Members()
	if err != nil {
		return err
	}
	state := "goes on"
	if run.Ended {
		state = "has ended"
	}
	fmt.Printf("the run of %s, seed %d, begun %s, %s\n", filepath.Base(run.Day), run.Seed, run.Began.Format(time.RFC3339), state)
	for _, m := range members {
		fmt.Printf("  %-10s process %-8d %s\n", m.Name, m.PID, run.StateOf(m))
	}
	return nil
}

type kitClean struct{ kitFolder }

func (v *kitClean) Run() error {
	run, err := rundir.Open(v.Dir)
	if errors.Is(err, rundir.ErrNoRun) {
		fmt.Println("nothing to clean")
		return rundir.RemoveUnstarted(v.Dir)
	}
	if err != nil {
		return wrong{err}
	}
	ended, err := run.Clean(endsWithin)
	if err != nil {
		return err
	}
	for _, m := range ended {
		fmt.Printf("ended %s, process %d\n", m.Name, m.PID)
	}
	return run.Remove()
}

// kitMember is a process of a run. It registers before it opens anything, and ends with SIGTERM.
type kitMember struct {
	kitFolder
	Name string `arg:""`
	Rack int    `default:"-1"`
	File string
}

func (v *kitMember) Run(ctx context.Context) error {
	run, err := rundir.Open(v.Dir)
	if err != nil {
		return err
	}
	if err := run.Join(v.Name+".starting", nil); err != nil {
		return err
	}
	defer run.Leave(v.Name)
	defer run.Leave(v.Name + ".starting")
	if v.File != "" {
		if err := run.Join(v.Name, nil); err != nil {
			return err
		}
		run.Leave(v.Name + ".starting")
		return (&serveVerb{File: v.File}).Run(ctx)
	}
	day, err := testbed.ReadScenario(run.Day)
	if err != nil {
		return err
	}
	day.Seed = run.Seed
	t := trace.NewSince(time.Duration(run.BaseNs))
	part := &testbed.Rehearsal{Scenario: day, Folder: run.Folder, Logf: func(format string, args ...any) { fmt.Printf(format+"\n", args...) }}
	defer part.Stop()
	var lines []trace.Event
	if v.Name == "viewers" {
		if err := run.Join(v.Name, nil); err != nil {
			return err
		}
		run.Leave(v.Name + ".starting")
		var fronts []testbed.FrontAddress
		if err := readJSON(filepath.Join(run.Folder, "fronts.json"), &fronts); err != nil {
			return err
		}
		start, err := awaitStart(ctx, run.Folder)
		if err != nil {
			return err
		}
		lines, short, err := part.WatchAll(ctx, start, t, fronts)
		if err != nil {
			return err
		}
		if err := writeTape(filepath.Join(run.Folder, "tapes", v.Name+".jsonl"), lines); err != nil {
			return err
		}
		return writeJSON(filepath.Join(run.Folder, "viewers.json"), map[string]float64{"Short": short})
	}
	var info any
	if v.Rack >= 0 {
		if info, err = part.StartRack(v.Rack, t); err != nil {
			return err
		}
	} else {
		var all []nodes.Line
		if err := readJSON(filepath.Join(run.Folder, "nodes.json"), &all); err != nil {
			return err
		}
		addr, err := part.StartList(t, all)
		if err != nil {
			return err
		}
		back, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /announce", part.HandleUpdateNodes)
		server := &http.Server{Handler: mux}
		go server.Serve(back)
		defer server.Close()
		info = listInfo{addr, back.Addr().String()}
	}
	if err := run.Join(v.Name, info); err != nil {
		return err
	}
	run.Leave(v.Name + ".starting")
	if start, err := awaitStart(ctx, run.Folder); err == nil {
		if v.Rack >= 0 {
			var list listInfo
			if ok, err := run.Find("list", &list); !ok {
				return fmt.Errorf("kit: no list service: %w", err)
			}
			part.ForwardUpdatesTo(list.Announce)
		}
		part.Script(ctx, start)
	}
	lines = t.Events()
	return writeTape(filepath.Join(run.Folder, "tapes", v.Name+".jsonl"), lines)
}

// awaitStart waits for the moment at which the day begins.
func awaitStart(ctx context.Context, folder string) (time.Time, error) {
	for {
		var at time.Duration
		if err := readJSON(filepath.Join(folder, "start.json"), &at); err == nil {
			return moment(at), nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}
