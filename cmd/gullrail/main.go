// Command gullrail runs a session front end, checks its settings, and rehearses test scenarios on one machine.
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

// Exit codes other than 0.
const (
	exitFailed       = 1 // the command failed, or a rule was broken in a rehearsal
	exitInvalidInput = 2 // invalid settings or arguments
)

type commandLine struct {
	Serve    serveCommand    `cmd:"" help:"Run a front end until SIGTERM or SIGINT; a second signal ends it immediately."`
	Relay    relayCommand    `cmd:"" help:"Run the relay, a front end for the platform's RTSP viewers, configured by RELAY_CONFIG, RELAY_NAME and RELAY_LISTEN."`
	Check    checkCommand    `cmd:"" help:"Check the settings of a front end or a relay, or a scenario, and list all errors."`
	Rehearse rehearseCommand `cmd:"" help:"Run a scenario on loopback: front ends as processes, emulated nodes and viewers; then audit the six service rules."`
	Load     loadCommand     `cmd:"" help:"Measure front ends under an open-loop request load, against the emulated nodes of a scenario."`
	Kit      kitCommands     `cmd:"" help:"Run a scenario with every component as a process of its own."`
	Compare  compareCommand  `cmd:"" help:"Run two scenarios, or two decision modules, on the same seeds in simulated time, and print the paired differences with their 95% confidence intervals."`
	Store    storeCommands   `cmd:"" help:"Inspect or repair the store of a stopped front end."`
	Fleet    fleetCommands   `cmd:"" help:"Show the state of the playout nodes as running front ends see it."`
	Audit    auditCommand    `cmd:"" help:"Audit the trace of an earlier rehearsal against the six service rules."`
}

type serveCommand struct {
	File string `arg:"" help:"Settings of the front end (JSON with comments)."`
}

func (c *serveCommand) Run(ctx context.Context) error {
	settings, err := config.ReadFront(c.File)
	if err != nil {
		return inputError{err}
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return inputError{err}
	}
	log := zerolog.New(os.Stdout).Level(level).With().Timestamp().Str("front", settings.Name).Logger()
	lock, err := frontend.LockFolder(settings.StateFolder)
	if err != nil {
		return err
	}
	defer lock.Release()
	frontEnd, err := frontend.Listen(settings, lock.Epoch, log)
	if err != nil {
		return err
	}
	return frontEnd.Run(ctx)
}

type relayCommand struct {
	File   string `name:"config" env:"RELAY_CONFIG" required:"" help:"Configuration file (JSON)."`
	Name   string `env:"RELAY_NAME" help:"Name of the relay; overrides the configuration."`
	Listen string `env:"RELAY_LISTEN" help:"Listen address; overrides the configuration."`
	Log    string `env:"RELAY_LOG" enum:"debug,info,warn,error" default:"info" help:"Lowest level that is logged; debug logs each step of a play."`
}

func (c *relayCommand) Run() error {
	signal.Reset(syscall.SIGTERM, os.Interrupt) // platform.Listen installs handlers of its own, for a graceful shutdown
	opts, err := platform.ReadOptions(c.File)
	if err != nil {
		return inputError{err}
	}
	if c.Name != "" {
		opts.Name = c.Name
	}
	if c.Listen != "" {
		opts.Listen = c.Listen
	}
	level, err := zerolog.ParseLevel(c.Log)
	if err != nil {
		return inputError{err}
	}
	log := zerolog.New(os.Stdout).Level(level).With().Timestamp().Str("front", opts.Name).Logger()
	relay, err := platform.Listen(opts, c.File, log)
	if errors.Is(err, platform.ErrStoppedBeforeListening) {
		return nil // a signal came before the socket was open, so there are no connections to close
	}
	if err != nil {
		return err
	}
	return relay.Run(context.Background())
}

type checkCommand struct {
	File string `arg:"" help:"Settings of a front end or a relay, or a scenario (JSON with comments)."`
}

func (c *checkCommand) Run() error {
	_, root, err := config.Open(c.File)
	if err == nil {
		switch {
		case root.At("day").Present():
			_, err = testbed.ReadScenario(c.File)
		case root.At("known").Present() || root.At("channel").Present():
			_, err = platform.ReadOptions(c.File)
		default:
			_, err = config.ReadFront(c.File)
		}
	}
	if err != nil {
		return inputError{err}
	}
	fmt.Println(c.File + ": valid")
	return nil
}

type rehearseCommand struct {
	File    string  `arg:"" help:"Scenario (JSON with comments)."`
	JSON    bool    `help:"Print the report as JSON."`
	Seed    uint64  `help:"Seed; overrides the scenario's."`
	Sockets float64 `help:"Share of viewers that connect over a WebSocket, 0 to 1; overrides the scenario's." default:"-1"`
	Sim     bool    `help:"Run in simulated time: the same session cores over a simulated transport, without network sockets."`
	Module  string  `help:"Decision module: choice, the project's own, or one of the baselines random and least (only with --sim)." enum:"choice,random,least" default:"choice"`
	Keep    string  `help:"Keep the front ends' settings and logs, the trace and the HTML report in this folder." type:"path"`
}

func (c *rehearseCommand) Run(ctx context.Context) error {
	scenario, err := testbed.ReadScenario(c.File)
	if err != nil {
		return inputError{err}
	}
	if c.Seed != 0 {
		scenario.Seed = c.Seed
	}
	if c.Sockets > 1 {
		return inputError{fmt.Errorf("--sockets: %v is more than 1", c.Sockets)}
	} else if c.Sockets >= 0 {
		scenario.SocketShare = c.Sockets
	}
	if c.Sim {
		outcome := (&testbed.Sim{Scenario: scenario, Policy: testbed.Baseline(c.Module)}).Run()
		if !c.JSON {
			fmt.Printf("%s, seed %d: %d fronts, %d nodes, %v plays a second for %v s (simulated, module %s)\n", filepath.Base(c.File), scenario.Seed,
				scenario.Service.Fronts, scenario.Nodes, scenario.ViewersPerSecond, scenario.Seconds, c.Module)
		}
		if c.Keep != "" {
			if err := os.MkdirAll(c.Keep, 0o755); err != nil {
				return err
			}
			if err := saveOutcome(c.Keep, c.File, scenario, outcome); err != nil {
				return err
			}
		}
		return printReport(outcome.Report, outcome.ShortSegmentShare, outcome.Took, c.JSON)
	}
	if c.Module != "choice" {
		return inputError{errors.New("--module: baselines run only in simulated time, with --sim")}
	}
	folder := c.Keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "gullrail-rehearsal-"); err != nil {
			return err
		}
		defer os.RemoveAll(folder)
	} else if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	progress := io.Writer(os.Stdout)
	if c.JSON {
		progress = os.Stderr
	}
	fmt.Fprintf(progress, "%s, seed %d: %d fronts, %d nodes, %v plays a second for %v s (loopback)\n", filepath.Base(c.File), scenario.Seed,
		scenario.Service.Fronts, scenario.Nodes, scenario.ViewersPerSecond, scenario.Seconds)
	rehearsal := &testbed.Rehearsal{Scenario: scenario, Program: program, Folder: folder, Logf: func(format string, args ...any) {
		fmt.Fprintf(progress, "  "+format+"\n", args...)
	}}
	outcome, err := rehearsal.Run(ctx)
	if err != nil {
		return err
	}
	if c.Keep != "" {
		if err := saveOutcome(folder, c.File, scenario, outcome); err != nil {
			return err
		}
	}
	return printReport(outcome.Report, outcome.ShortSegmentShare, outcome.Took, c.JSON)
}

// saveOutcome writes the trace and the HTML report of a run to a folder.
func saveOutcome(folder, file string, scenario *testbed.Scenario, outcome *testbed.Outcome) error {
	if err := writeTrace(filepath.Join(folder, "tape.jsonl"), outcome.Events); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(folder, "report.html"))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := htmlreport.Write(f, fmt.Sprintf("%s, seed %d", filepath.Base(file), scenario.Seed), scenario, outcome.Events, outcome.Report); err != nil {
		return err
	}
	return f.Close()
}

func writeTrace(file string, events []trace.Event) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := trace.Write(f, events); err != nil {
		return err
	}
	return f.Close()
}

type auditCommand struct {
	Day  string `arg:"" help:"Scenario of the rehearsal."`
	Tape string `arg:"" help:"Trace of the rehearsal (tape.jsonl)."`
	JSON bool   `help:"Print the report as JSON."`
}

func (c *auditCommand) Run() error {
	scenario, err := testbed.ReadScenario(c.Day)
	if err != nil {
		return inputError{err}
	}
	f, err := os.Open(c.Tape)
	if err != nil {
		return inputError{err}
	}
	defer f.Close()
	events, err := trace.Read(f)
	if err != nil {
		return inputError{fmt.Errorf("%s: %w", c.Tape, err)}
	}
	return printReport(audit.Check(&scenario.Service, events), -1, 0, c.JSON)
}

// printReport prints the audit report of a rehearsal and returns an error if a rule was broken. An unknown shortShare is negative and
// an unknown duration zero; the text output leaves them out.
func printReport(r *audit.Report, shortShare float64, took time.Duration, asJSON bool) error {
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
		}{r, p50, p99, shortShare, r.RulesKept()}); err != nil {
			return err
		}
	} else {
		row := func(name string, v any) { fmt.Printf("  %-34s %v\n", name, v) }
		row("plays requested", r.Asked)
		row("requests", r.Requests)
		row("plays", r.Plays)
		row("declined", r.Declined)
		row("failed", r.Failed)
		row("denied", r.Denied)
		row("interrupted by a front's exit", r.Interrupted)
		row("most answers to one request", r.MaxAnswers)
		row("duplicate allocations", r.Doubled)
		row("further allocations", r.Reallocated)
		row("first frame p50, p99", fmt.Sprintf("%d ms, %d ms", p50, p99))
		row("segments by rung", r.Rungs)
		if shortShare >= 0 {
			row("segments delivered short", fmt.Sprintf("%.1f%%", 100*shortShare))
		}
		row("worth", fmt.Sprintf("%.3f", r.Worth))
		row("service", fmt.Sprintf("%.3f", r.Service))
		for n, rule := range r.Rules {
			verdict := "kept"
			if violations := len(rule.Violations); violations > 0 {
				verdict = fmt.Sprintf("BROKEN %d times", violations)
			}
			row(fmt.Sprintf("rule %d, %s", n+1, rule.Name), verdict)
			for _, violation := range rule.Violations[:min(5, len(rule.Violations))] {
				fmt.Println("      " + violation)
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

// inputError marks an error in settings or arguments: the program exits with exitInvalidInput.
type inputError struct{ error }

func (e inputError) Unwrap() error { return e.error }

func main() {
	var commands commandLine
	kctx := kong.Parse(&commands, kong.Name("gullrail"), kong.UsageOnError(),
		kong.Description("A session front end: places video sessions on playout nodes and controls their bit rates."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	go func() { <-ctx.Done(); stop() }() // a second signal then terminates the program immediately
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(); err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "gullrail: "+line)
		}
		if input := (inputError{}); errors.As(err, &input) {
			os.Exit(exitInvalidInput)
		}
		os.Exit(exitFailed)
	}
}
