package relaybed

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout    = 10 * time.Second
	pollInterval    = 2 * time.Millisecond
	testTimeout     = 500 * time.Millisecond
	memoryInterval  = 20 * time.Millisecond // between two looks at the memory of the process
	processEndLimit = 5 * time.Second
)

// Front is a front end that runs as a process of its own.
type Front struct {
	Address string
	bed     *Bed
	program string
	folder  string
	debug   bool

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	ending  bool // it was told to end, or killed
	peakKB  int  // highest resident memory seen
}

// deploymentClass is a class of sessions in the settings of a bed.
type deploymentClass struct {
	name, effect string
	deadline     time.Duration
	worth        float64
	seats        int
}

// settings returns the settings object of a small deployment. classes come in the order of their numbers.
func settings(classes []deploymentClass, notesEvery, idleClose time.Duration) map[string]any {
	var lanes []any
	var seats []int
	for _, c := range classes {
		deadline := float64(c.deadline.Milliseconds())
		lanes = append(lanes, map[string]any{"name": c.name, "effect": c.effect, "group": "all", "objective-ms": min(1500, deadline/2),
			"deadline-ms": deadline, "window-ms": deadline, "late-worth": 0.0, "streamed": true, "worth": c.worth})
		seats = append(seats, c.seats)
	}
	return map[string]any{
		"balancers": 1, "me": 0, "zone": "zone-a", "localities": []string{"zone-a"}, "shapes": []string{"dual-core"},
		"service-type": "streams", "discovery": "pushed", "stage": 0, "stages": []string{"media"}, "tick-ms": 10.0, "weight-kind": "rough",
		"family-info": map[string]any{"places": cellCount, "shelves": 2, "kind-streams": []int{200}, "rung-kb": []float64{200, 400, 650, 1100, 1900},
			"ladder-worth": []float64{0.2, 0.45, 0.65, 0.85, 1}, "rate-factor": []float64{1.2, 0.7}, "lowest-rung": []int{0, 0}, "highest-rung": []int{4, 4},
			"seats": seats, "is-live": []bool{false, false}, "join-adds": 1.0, "refuses-from": 0.0, "reports-every-ms": float64(notesEvery.Milliseconds()),
			"see-ms": 900.0, "links-kb": 900000.0, "rack-link-kb": 500000.0, "weight-kb": 25000.0, "stall-cost": 7.0, "switch-s": 0.6},
		"limits": map[string]any{"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 400000, "dial-timeout-ms": 250.0, "idle-close-ms": float64(idleClose.Milliseconds()),
			"max-open": 100000, "max-retry-after-ms": 1000.0, "max-streams": 100, "most-tries": 4, "parallel-tries": false, "peer-messages": false,
			"probing": false, "retry-after": true},
		"lanes":  lanes,
		"report": map[string]any{"how": "piggyback", "columns": []string{"x0"}},
		"safety": map[string]any{"answer-slack-ms": 40.0, "cold-share": 0.4, "warm-after-ms": 9000.0, "drain-grace-ms": 500.0, "fall-multiple": 3.0,
			"fall-ms": 1500.0, "free-resends": 5.0, "repeat-ratio": 0.1, "counted-over-ms": 10000.0},
	}
}

// writeConfig writes the configuration file of a front end with the events of the list so far.
func (f *Front) writeConfig() error {
	var commands []any
	events := f.bed.Channel.Events()
	for _, e := range events {
		members := []any{}
		for _, m := range e.entries {
			members = append(members, map[string]any{"id": nodeName(m.ID), "host_port": m.Address, "locality": "zone-a", "flavor": "dual-core",
				"cell": m.Cell, "phase": m.State.String(), "size": float64(m.Weight) / 1000, "up_since_ms": m.Started})
		}
		commands = append(commands, map[string]any{"cursor": e.number, "nodes": map[string]any{"revision": e.number, "complete": e.whole, "members": members}})
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": f.Address, "seed": fmt.Sprintf("%016x", f.bed.seed),
		"limits":  map[string]any{"cores": 1.0, "memory_mb": f.bed.MemoryMB, "sockets": f.bed.Sockets},
		"channel": f.bed.Channel.Address(), "known": map[string]any{"cursor": events[len(events)-1].number, "cmds": commands}, "settings": f.bed.settings})
	if err != nil {
		return err
	}
	path := f.configPath()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (f *Front) configPath() string { return filepath.Join(f.folder, "config.json") }

// LogPath returns the file that the front end's log is appended to.
func (f *Front) LogPath() string { return filepath.Join(f.folder, "front.log") }

// Start starts the process and waits until it passes a test.
func (f *Front) Start() error {
	if err := f.writeConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(f.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(f.program, "relay")
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+f.Address, "RELAY_CONFIG="+f.configPath())
	if f.debug {
		command.Env = append(command.Env, "RELAY_LOG=debug")
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	f.mu.Lock()
	f.command, f.exited, f.ending = command, exited, false
	f.mu.Unlock()
	go f.wait(command, exited)
	go f.watchMemory(command.Process.Pid, exited)
	f.bed.logf("front end %d started", command.Process.Pid)
	for _, e := range f.bed.Channel.Events() {
		for _, entry := range e.entries {
			if entry.State != Ready {
				f.bed.audit.told(nodeName(entry.ID))
			}
		}
	}
	started := time.Now()
	for time.Since(started) < readyTimeout {
		if f.passesTest() {
			f.bed.logf("front end ready after %v", time.Since(started))
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.New("the front end does not pass a test in time")
}

func (f *Front) wait(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	f.mu.Lock()
	crashed := !f.ending && f.command == command
	f.mu.Unlock()
	if crashed {
		f.bed.audit.Violate("the front end has crashed: %v", err)
	}
	close(exited)
}

func (f *Front) passesTest() bool {
	conn, err := net.DialTimeout("tcp", f.Address, testTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := conn.Write([]byte(testRequest)); err != nil {
		return false
	}
	m, err := readRTSP(bufio.NewReader(conn))
	return err == nil && m.status == 200
}

// watchMemory samples the resident memory of a process until it ends.
func (f *Front) watchMemory(pid int, exited chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
		kb := residentKB(pid)
		f.mu.Lock()
		f.peakKB = max(f.peakKB, kb)
		f.mu.Unlock()
	}
}

// residentKB returns the resident memory of a process without the pages of files, or 0 if it can't be read.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb
		}
	}
	return 0
}

// PeakKB returns the highest resident memory seen.
func (f *Front) PeakKB() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peakKB
}

// ResidentKB returns the resident memory now.
func (f *Front) ResidentKB() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return residentKB(f.command.Process.Pid)
}

// Signal sends a signal to the process.
func (f *Front) Signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		f.ending = true
	}
	f.bed.logf("front end gets %v", s)
	f.command.Process.Signal(s)
}

// Exited returns a channel that is closed once the process has ended.
func (f *Front) Exited() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exited
}

// Kill kills the process and waits for its end.
func (f *Front) Kill() {
	f.Signal(syscall.SIGKILL)
	select {
	case <-f.Exited():
	case <-time.After(processEndLimit):
	}
}
