// Command gullrail runs a session front, checks its settings, and rehearses days on one machine.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/frontend"
	"gullrail/platform"
	"gullrail/testbed"
	"gullrail/testbed/audit"
	"gullrail/testbed/htmlreport"
	"gullrail/testbed/trace"
)

// Exit codes beside 0.
const (
	exitFailed = 1 // it ran and failed, or a rule broke
	exitWrong  = 2 // settings or arguments are wrong
)

type program struct {
	Serve    serveVerb    `cmd:"" help:"Run a front end until SIGTERM or SIGINT; a second one ends it at once."`
	Relay    relayVerb    `cmd:"" help:"Run a front end of the platform, as RELAY_CONFIG, RELAY_NAME and RELAY_LISTEN tell it."`
	Check    checkVerb    `cmd:"" help:"Check settings, of a front end or of a day, and list all mistakes."`
	Rehearse rehearseVerb `cmd:"" help:"Play a day: front ends as processes, stand-in nodes and viewers, with the six rules audited."`
	Load     loadVerb     `cmd:"" help:"Measure fronts under an open loop of requests, against the stand-in nodes of a day."`
	Kit      kitVerbs     `cmd:"" help:"Rehearse with every part a process of its own."`
	Compare  compareVerb  `cmd:"" help:"Play two days, or two modules, on the same seeds in simulated time, and tell the difference with its noise."`
	Store    storeVerbs   `cmd:"" help:"Look into the store of a front that does not run."`
	Fleet    fleetVerbs   `cmd:"" help:"What a running front believes of its playout nodes."`
	Audit    auditVerb    `cmd:"" help:"Check a tape of a rehearsal against the six rules again."`
}

type serveVerb struct {
	File string `arg:"" help:"Settings of the front end (JSON with comments)."`
}

func (v *serveVerb) Run(ctx context.Context) error {
	set, err := config.ReadFront(v.File)
	if err != nil {
		return wrong{err}
	}
	level, err := zerolog.ParseLevel(set.Log)
	if err != nil {
		return wrong{err}
	}
	log := zerolog.New(os.Stdout).Level(level).With().Timestamp().Str("front", set.Name).Logger()
	claim, err := frontend.LockFolder(set.StateFolder)
	if err != nil {
		return err
	}
	defer claim.Release()
	f, err := frontend.Listen(set, claim.Epoch, log)
	if err != nil {
		return err
	}
	return f.Run(ctx)
}

type relayVerb struct {
	File   string `name:"config" env:"RELAY_CONFIG" required:"" help:"The configuration (JSON)."`
	Name   string `env:"RELAY_NAME" help:"In place of the configuration's name."`
	Listen string `env:"RELAY_LISTEN" help:"In place of the configuration's address."`
	Log    string `env:"RELAY_LOG" enum:"debug,info,warn,error" default:"info" help:"The least level that is logged; debug shows each step of a play."`
}

func (v *relayVerb) Run() error {
	signal.Reset(syscall.SIGTERM, os.Interrupt) // a relay's end takes its own time
	opts, err := platform.ReadOptions(v.File)
	if err != nil {
		return wrong{err}
	}
	if v.Name != "" {
		opts.Name = v.Name
	}
	if v.Listen != "" {
		opts.Listen = v.Listen
	}
	level, err := zerolog.ParseLevel(v.Log)
	if err != nil {
		return wrong{err}
	}
	log := zerolog.New(os.Stdout).Level(level).With().Timestamp().Str("front", opts.Name).Logger()
	f, err := platform.Listen(opts, v.File, log)
	if errors.Is(err, platform.ErrEnded) {
		return nil // nothing was taken
	}
	if err != nil {
		return err
	}
	return f.Run(context.Background())
}

type checkVerb struct {
	File string `arg:"" help:"Settings of a front end, of a relay, or a day."`
}

func (v *checkVerb) Run() error {
	_, root, err := config.Open(v.File)
	if err == nil {
		switch {
		case root.At("day").Present():
			_, err = testbed.ReadScenario(v.File)
		case root.At("known").Present() || root.At("channel").Present():
			_, err = platform.ReadOptions(v.File)
		default:
			_, err = config.ReadFront(v.File)
		}
	}
	if err != nil {
		return wrong{err}
	}
	fmt.Println(v.File + ": in order")
	return nil
}

type rehearseVerb struct {
	File    string  `arg:"" help:"The day (JSON with comments)."`
	JSON    bool    `help:"Print the report as JSON."`
	Seed    uint64  `help:"Play it with this seed in place of the day's."`
	Sockets float64 `help:"Share of viewers who ask over a socket, in place of the day's." default:"-1"`
	Sim     bool    `help:"Play it in simulated time, without sockets: the same cores over a simulated transport."`
	Module  string  `help:"In simulated time: the module of the project, or a baseline." enum:"choice,random,least" default:"choice"`
	Keep    string  `help:"Keep the fronts' settings and logs, the tape and a page of the run in this folder." type:"path"`
}

func (v *rehearseVerb) Run(ctx context.Context) error {
	day, err := testbed.ReadScenario(v.File)
	if err != nil {
		return wrong{err}
	}
	if v.Seed != 0 {
		day.Seed = v.Seed
	}
	if v.Sockets > 1 {
		return wrong{fmt.Errorf("--sockets: a share up to 1 is needed, not %v", v.Sockets)}
	} else if v.Sockets >= 0 {
		day.SocketShare = v.Sockets
	}
	if v.Sim {
		out := (&testbed.Sim{Scenario: day, Policy: testbed.Baseline(v.Module)}).Run()
		if !v.JSON {
			fmt.Printf("%s, seed %d: %d fronts, %d nodes, %v plays a second for %v s (simulated, module %s)\n", filepath.Base(v.File), day.Seed,
				day.Service.Fronts, day.Nodes, day.ViewersPerSecond, day.Seconds, v.Module)
		}
		if v.Keep != "" {
			if err := os.MkdirAll(v.Keep, 0o755); err != nil {
				return err
			}
			if err := keep(v.Keep, v.File, day, out); err != nil {
				return err
			}
		}
		return report(out.Report, out.Short, out.Took, v.JSON)
	}
	if v.Module != "choice" {
		return wrong{errors.New("a baseline plays in simulated time only: --sim")}
	}
	folder := v.Keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "gullrail-rehearsal-"); err != nil {
			return err
		}
		defer os.RemoveAll(folder)
	} else if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	say := io.Writer(os.Stdout)
	if v.JSON {
		say = os.Stderr
	}
	fmt.Fprintf(say, "%s, seed %d: %d fronts, %d nodes, %v plays a second for %v s (loopback)\n", filepath.Base(v.File), day.Seed,
		day.Service.Fronts, day.Nodes, day.ViewersPerSecond, day.Seconds)
	run := &testbed.Rehearsal{Scenario: day, Program: self, Folder: folder, Logf: func(format string, args ...any) {
		fmt.Fprintf(say, "  "+format+"\n", args...)
	}}
	out, err := run.Run(ctx)
	if err != nil {
		return err
	}
	if v.Keep != "" {
		if err := keep(folder, v.File, day, out); err != nil {
			return err
		}
	}
	return report(out.Report, out.Short, out.Took, v.JSON)
}

// keep writes a run's trace and its page into a folder.
func keep(folder, file string, day *testbed.Scenario, out *testbed.Outcome) error {
	if err := writeTape(filepath.Join(folder, "tape.jsonl"), out.Lines); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(folder, "report.html"))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := htmlreport.Write(f, fmt.Sprintf("%s, seed %d", filepath.Base(file), day.Seed), day, out.Lines, out.Report); err != nil {
		return err
	}
	return f.Close()
}

func writeTape(file string, lines []trace.Event) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := trace.Write(f, lines); err != nil {
		return err
	}
	return f.Close()
}

type auditVerb struct {
	Day  string `arg:"" help:"The day that was played."`
	Tape string `arg:"" help:"Its tape."`
	JSON bool   `help:"Print the report as JSON."`
}

func (v *auditVerb) Run() error {
	day, err := testbed.ReadScenario(v.Day)
	if err != nil {
		return wrong{err}
	}
	f, err := os.Open(v.Tape)
	if err != nil {
		return wrong{err}
	}
	defer f.Close()
	lines, err := trace.Read(f)
	if err != nil {
		return wrong{fmt.Errorf("%s: %w", v.Tape, err)}
	}
	return report(audit.Check(&day.Service, lines), -1, 0, v.JSON)
}

// report prints what a rehearsal came to; a broken rule is an error.
func report(r *audit.Report, short float64, took time.Duration, asJSON bool) error {
	p50, p99 := percentile(r.FirstMs, 0.5), percentile(r.FirstMs, 0.99)
	if asJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(struct {
			*audit.Report
			P50   int64   `json:"first_frame_p50_ms"`
			P99   int64   `json:"first_frame_p99_ms"`
			Short float64 `json:"segments_short"`
			Kept  bool    `json:"rules_kept"`
		}{r, p50, p99, short, r.RulesKept()}); err != nil {
			return err
		}
	} else {
		row := func(name string, v any) { fmt.Printf("  %-34s %v\n", name, v) }
		row("plays asked", r.Asked)
		row("requests", r.Requests)
		row("plays", r.Plays)
		row("declined", r.Declined)
		row("failed", r.Failed)
		row("denied", r.Denied)
		row("cut by a front's end", r.Interrupted)
		row("answers to a request, most", r.MaxAnswers)
		row("allocations doubled", r.Doubled)
		row("further allocations", r.Reallocated)
		row("first frame p50, p99", fmt.Sprintf("%d ms, %d ms", p50, p99))
		row("segments by rung", r.Rungs)
		if short >= 0 {
			row("segments delivered short", fmt.Sprintf("%.1f%%", 100*short))
		}
		row("worth", fmt.Sprintf("%.3f", r.Worth))
		row("service", fmt.Sprintf("%.3f", r.Service))
		for i, x := range r.Rules {
			verdict := "kept"
			if n := len(x.Violations); n > 0 {
				verdict = fmt.Sprintf("BROKEN %d times", n)
			}
			row(fmt.Sprintf("rule %d, %s", i+1, x.Name), verdict)
			for _, b := range x.Violations[:min(5, len(x.Violations))] {
				fmt.Println("      " + b)
			}
		}
		if took > 0 {
			row("took", took.Round(100*time.Millisecond))
		}
	}
	if !r.RulesKept() {
		return fmt.Errorf("a rule is broken")
	}
	return nil
}

func percentile(sorted []int64, p float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// wrong is an error of settings or arguments.
type wrong struct{ error }

func (w wrong) Unwrap() error { return w.error }

func main() {
	var p program
	k := kong.Parse(&p, kong.Name("gullrail"), kong.UsageOnError(),
		kong.Description("A session front: it places video sessions on playout nodes and shapes them."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	go func() { <-ctx.Done(); stop() }() // a second signal then ends the program at once
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "gullrail: "+line)
		}
		if w := (wrong{}); errors.As(err, &w) {
			os.Exit(exitWrong)
		}
		os.Exit(exitFailed)
	}
}
