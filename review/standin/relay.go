package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// frontEnd is the project's relay, started as the deploy file says.
type frontEnd struct {
	cmd     *exec.Cmd
	address string
	config  string
	root    string
	run     string
	logFile string
	exited  chan error
	rec     *record
}

// settings are the settings of a small deployment with the two classes of the second brief.
func settings() map[string]any {
	class := func(name, effect string, deadline, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "objective-ms": 1500.0, "deadline-ms": deadline, "window-ms": deadline,
			"late-worth": 0.0, "streamed": true, "worth": worth}
	}
	return map[string]any{
		"balancers": 1, "me": 0, "zone": "gedung-utara", "localities": []string{"gedung-utara"}, "shapes": []string{"dual-core"},
		"service-type": "streams", "discovery": "pushed", "stage": 0, "stages": []string{"media-fleet"}, "tick-ms": 10.0, "weight-kind": "rough",
		"family-info": map[string]any{"places": 4, "shelves": 2, "kind-streams": []int{30}, "rung-kb": []float64{200, 400, 650, 1100, 1900},
			"ladder-worth": []float64{0.2, 0.45, 0.65, 0.85, 1}, "rate-factor": []float64{1.2, 0.7}, "lowest-rung": []int{0, 0}, "highest-rung": []int{4, 4},
			"seats": []int{8, 0}, "is-live": []bool{false, false}, "join-adds": 1.0, "refuses-from": 0.0, "reports-every-ms": 3000.0, "see-ms": 900.0,
			"links-kb": 400000.0, "rack-link-kb": 200000.0, "weight-kb": 12000.0, "stall-cost": 7.0, "switch-s": 0.6},
		"limits": map[string]any{"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 400000, "dial-timeout-ms": 250.0, "idle-close-ms": 15000.0,
			"max-open": 100000, "max-retry-after-ms": 1000.0, "max-streams": 100, "most-tries": 4, "parallel-tries": false, "peer-messages": false,
			"probing": false, "retry-after": true},
		"lanes":  []any{class("induction", "non_idempotent", 4000, 3), class("briefing", "read_like", 3000, 1)},
		"report": map[string]any{"how": "piggyback", "columns": []string{"x0"}},
		"safety": map[string]any{"answer-slack-ms": 40.0, "cold-share": 0.4, "warm-after-ms": 9000.0, "drain-grace-ms": 500.0, "fall-multiple": 3.0, "fall-ms": 1500.0,
			"free-resends": 5.0, "repeat-ratio": 0.1, "counted-over-ms": 10000.0},
	}
}

// sockets is the descriptor limit of a front end; the pages set 256 to 1,024.
var sockets = 512

// writeConfig writes the configuration of a front end, with the events of the command channel up to now.
func writeConfig(path, listen, channel string, events []listEvent) error {
	var cmds []any
	for _, e := range events {
		members := []any{}
		for _, m := range e.entries {
			members = append(members, map[string]any{"id": fmt.Sprintf("s-%08x", m.id), "host_port": m.address, "locality": "gedung-utara", "flavor": "dual-core",
				"cell": m.cell, "phase": stateNames[m.state], "size": float64(m.weight) / 1000, "up_since_ms": m.started})
		}
		cmds = append(cmds, map[string]any{"cursor": e.number, "nodes": map[string]any{"revision": e.number, "complete": e.whole, "members": members}})
	}
	text, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964",
		"limits":  map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		"channel": channel, "known": map[string]any{"cursor": events[len(events)-1].number, "cmds": cmds}, "settings": settings()}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startFrontEnd starts a front end with the command of the deploy file and waits until it passes a test.
func startFrontEnd(root, folder, address, config string, rec *record) (*frontEnd, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml has no line run")
	}
	f := &frontEnd{address: address, config: config, root: root, run: string(run[1]), logFile: filepath.Join(folder, "front.log"), rec: rec}
	return f, f.start()
}

func (f *frontEnd) start() error {
	log, err := os.OpenFile(f.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	f.cmd = exec.Command("/bin/sh", "-c", f.run)
	f.cmd.Dir, f.cmd.Stdout, f.cmd.Stderr = f.root, log, log
	f.cmd.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+f.address, "RELAY_CONFIG="+f.config)
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := f.cmd, make(chan error, 1)
	f.exited = exited
	go func() { exited <- cmd.Wait(); close(exited) }()
	f.rec.logf("front end started: %s", f.run)
	passed := await(10*time.Second, func() bool {
		c := newClient("test client", f.address, f.rec)
		defer c.close()
		status, err := c.test(time.Second)
		return err == nil && status == 200
	})
	if !passed {
		return errors.New("the front end does not pass a test within 10 s")
	}
	f.rec.logf("front end passes its first test")
	return nil
}

func (f *frontEnd) signal(s syscall.Signal) { f.cmd.Process.Signal(s) }

// running tells whether the front end's process runs.
func (f *frontEnd) running() bool {
	select {
	case <-f.exited:
		return false
	default:
		return true
	}
}

// kill ends the front end's process, if it runs, and waits for its end.
func (f *frontEnd) kill() {
	if f != nil && f.cmd != nil && f.cmd.Process != nil {
		f.cmd.Process.Kill()
		<-f.exited
	}
}
