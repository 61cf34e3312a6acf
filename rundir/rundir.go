// Package rundir keeps track of the processes of a rehearsal in a run folder, so that they can be found and stopped even if the
// process that started them has exited.
//
// The run file, run.json, identifies the run by a nonce and records whether it has ended. Each process of the run gets the nonce in
// its environment, registers in the folder before it does anything else, and only then checks whether the run has ended. A process
// that ends the run first marks it as ended in the run file and then reads the registrations. So every process of the run is either
// seen by the process that ends the run, or sees that the run has ended and exits; no interleaving misses one.
//
// A registration contains the PID and the kernel's start time of the process; the run file contains the boot ID of the machine and
// the path of the folder. A process belongs to the run only if PID, start time and nonce all match. This excludes processes with a
// reused PID, processes of other runs, and folders copied from another place or machine.
package rundir

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// NonceVariable is the environment variable that holds the nonce of the run a process belongs to.
const NonceVariable = "GULLRAIL_RUN"

var (
	ErrNoRun     = errors.New("no run in this folder")
	ErrRunActive = errors.New("a run is in progress in this folder: stop it with 'kit down' or 'kit clean'")
	ErrEnded     = errors.New("the run has ended")
	ErrForeign   = errors.New("the run folder is from another machine, another boot or another path")
)

// Run is the content of the run file.
type Run struct {
	Nonce        string    `json:"nonce"`
	BootID       string    `json:"boot"` // boot ID of the machine
	Folder       string    `json:"folder"`
	StartedAt    time.Time `json:"began"`
	Ended        bool      `json:"ended"`
	ScenarioFile string    `json:"day"` // path of the scenario file
	Seed         uint64    `json:"seed"`
	ClockBaseNs  int64     `json:"base_ns"` // zero of the traces' timestamps, as a reading of the machine's monotonic clock
}

// Member is a registered process.
type Member struct {
	Name      string          `json:"name"`
	PID       int             `json:"pid"`
	StartTime uint64          `json:"start"` // clock ticks since boot
	Info      json.RawMessage `json:"info,omitempty"`
}

// State is the state of a member's process. 'kit status' prints it, and operators' tools read its output: don't change the texts.
type State string

const (
	Alive     State = "alive"
	Exited    State = "gone"
	PIDReused State = "another process has its id"
)

func bootID() (string, error) {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "", fmt.Errorf("rundir: %w", err)
	}
	return strings.TrimSpace(string(b)), nil
}

// startTime returns the start time of a process in clock ticks since boot (field 22 of /proc/PID/stat, see proc(5)).
func startTime(pid int) (uint64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	text := string(b)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:]) // the process name in parentheses may contain spaces
	if len(fields) < 20 {
		return 0, fmt.Errorf("rundir: /proc/%d/stat has too few fields", pid)
	}
	if fields[0] == "Z" {
		return 0, os.ErrNotExist // a zombie: it has exited and waits to be reaped
	}
	return strconv.ParseUint(fields[19], 10, 64)
}

// hasNonce reports whether a process was started with a run's nonce in its environment.
func hasNonce(pid int, nonce string) bool {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return false
	}
	for _, v := range strings.Split(string(b), "\x00") {
		if v == NonceVariable+"="+nonce {
			return true
		}
	}
	return false
}

// writeFile writes v as JSON, replacing the file atomically.
func writeFile(file string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("rundir: %w", err)
	}
	tmp := fmt.Sprintf("%s.%d.new", file, os.Getpid())
	err = os.WriteFile(tmp, append(b, '\n'), 0o600)
	if err == nil {
		err = os.Rename(tmp, file)
	}
	if err != nil {
		os.Remove(tmp)
		return fmt.Errorf("rundir: %w", err)
	}
	return nil
}

func readFile(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%s:1: %w", file, err)
	}
	return nil
}

// Create starts a run in a folder. A folder with an earlier run is reused if that run has ended and has no registrations.
func Create(folder, scenarioFile string, seed uint64, clockBase time.Duration) (*Run, error) {
	abs, err := filepath.Abs(folder)
	if err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	if err := os.MkdirAll(filepath.Join(abs, "members"), 0o700); err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	// The lock serializes concurrent calls, so that the second finds the run of the first.
	lock, err := os.OpenFile(filepath.Join(abs, "begins"), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	previous, err := Open(abs)
	switch {
	case errors.Is(err, ErrNoRun):
	case err != nil:
		return nil, err
	case !previous.Ended:
		return nil, fmt.Errorf("%s: %w", abs, ErrRunActive)
	default:
		if members, err := previous.Members(); err != nil || len(members) > 0 {
			return nil, errors.Join(err, fmt.Errorf("%s: %w", abs, ErrRunActive))
		}
	}
	boot, err := bootID()
	if err != nil {
		return nil, err
	}
	nonce := make([]byte, 16)
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	run := &Run{Nonce: hex.EncodeToString(nonce), BootID: boot, Folder: abs, StartedAt: time.Now().UTC(), ScenarioFile: scenarioFile, Seed: seed, ClockBaseNs: int64(clockBase)}
	return run, writeFile(filepath.Join(abs, "run.json"), run)
}

// Open reads the run file of a folder. It returns ErrNoRun if there is none, and ErrForeign if the registrations don't refer to
// processes of this machine since its last boot or the folder was moved or copied.
func Open(folder string) (*Run, error) {
	abs, err := filepath.Abs(folder)
	if err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	var r Run
	if err := readFile(filepath.Join(abs, "run.json"), &r); errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", abs, ErrNoRun)
	} else if err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	boot, err := bootID()
	if err != nil {
		return nil, err
	}
	if r.BootID != boot || r.Folder != abs || len(r.Nonce) != 32 {
		return nil, fmt.Errorf("%s: %w", abs, ErrForeign)
	}
	return &r, nil
}

func (r *Run) memberFile(name string) string { return filepath.Join(r.Folder, "members", name+".json") }

// Register registers this process in the run, which must be that of its environment. It returns ErrEnded if the run has ended; the
// process must then exit. The info is for other processes of the run; Register may be called again to change it.
func (r *Run) Register(name string, info any) error {
	if os.Getenv(NonceVariable) != r.Nonce {
		return fmt.Errorf("rundir: this process does not belong to the run in %s", r.Folder)
	}
	start, err := startTime(os.Getpid())
	if err != nil {
		return fmt.Errorf("rundir: %w", err)
	}
	infoJSON, err := json.Marshal(info)
	if err != nil {
		return fmt.Errorf("rundir: %w", err)
	}
	if err := writeFile(r.memberFile(name), Member{name, os.Getpid(), start, infoJSON}); err != nil {
		return err
	}
	current, err := Open(r.Folder)
	if err != nil {
		os.Remove(r.memberFile(name))
		return err
	}
	if current.Ended || current.Nonce != r.Nonce {
		os.Remove(r.memberFile(name))
		return ErrEnded
	}
	return nil
}

// Unregister removes a registration. A process removes its own as its last action before it exits.
func (r *Run) Unregister(name string) { os.Remove(r.memberFile(name)) }

// Members returns the registrations, sorted by name.
func (r *Run) Members() ([]Member, error) {
	files, err := filepath.Glob(filepath.Join(r.Folder, "members", "*.json"))
	if err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	sort.Strings(files)
	var members []Member
	for _, file := range files {
		var member Member
		if err := readFile(file, &member); errors.Is(err, os.ErrNotExist) {
			continue // removed since the folder was read
		} else if err != nil {
			return nil, fmt.Errorf("rundir: %w", err)
		}
		if member.PID <= 1 || member.Name+".json" != filepath.Base(file) {
			return nil, fmt.Errorf("%s:1: not a valid registration", file)
		}
		members = append(members, member)
	}
	return members, nil
}

// StateOf returns the state of a member. Only members that are Alive may be signalled.
func (r *Run) StateOf(m Member) State {
	start, err := startTime(m.PID)
	switch {
	case err != nil:
		return Exited
	case start != m.StartTime || !hasNonce(m.PID, r.Nonce):
		return PIDReused
	}
	return Alive
}

// MemberInfo decodes a member's info and returns true if it is registered.
func (r *Run) MemberInfo(name string, info any) (ok bool, err error) {
	var m Member
	if err := readFile(r.memberFile(name), &m); errors.Is(err, os.ErrNotExist) {
		return false, nil
	} else if err != nil {
		return false, fmt.Errorf("rundir: %w", err)
	}
	return true, json.Unmarshal(m.Info, info)
}

// MarkEnded marks the run as ended, so that no more processes join it.
func (r *Run) MarkEnded() error {
	r.Ended = true
	return writeFile(filepath.Join(r.Folder, "run.json"), r)
}

// Stop marks the run as ended and stops its processes: with SIGTERM and, for those still running after the grace period, SIGKILL. It
// returns the members that it signalled. If a registration does not match a process of the run, only the registration is removed.
func (r *Run) Stop(grace time.Duration) (ended []Member, err error) {
	if err := r.MarkEnded(); err != nil {
		return nil, err
	}
	signalled := map[int]bool{}
	for deadline := time.Now().Add(grace); ; time.Sleep(20 * time.Millisecond) {
		members, err := r.Members()
		if err != nil {
			return ended, err
		}
		alive := 0
		for _, m := range members {
			if r.StateOf(m) != Alive {
				r.Unregister(m.Name)
				continue
			}
			alive++
			if !signalled[m.PID] {
				signalled[m.PID] = true
				ended = append(ended, m)
				syscall.Kill(m.PID, syscall.SIGCONT) // a stopped process does not handle SIGTERM until it continues
				syscall.Kill(m.PID, syscall.SIGTERM)
			} else if time.Now().After(deadline) {
				syscall.Kill(m.PID, syscall.SIGKILL)
			}
		}
		if alive == 0 {
			return ended, nil
		}
	}
}

// RemoveIncomplete removes the files of a run whose creation was interrupted before the run file was written.
func RemoveIncomplete(folder string) error {
	abs, err := filepath.Abs(folder)
	if err != nil {
		return fmt.Errorf("rundir: %w", err)
	}
	return (&Run{Folder: abs}).RemoveFiles()
}

// RemoveFiles removes the files of an ended run that this package wrote, and keeps all others.
func (r *Run) RemoveFiles() error {
	for _, name := range []string{"run.json", "begins"} {
		if err := os.Remove(filepath.Join(r.Folder, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("rundir: %w", err)
		}
	}
	stale, _ := filepath.Glob(filepath.Join(r.Folder, "*.new"))
	staleMembers, _ := filepath.Glob(filepath.Join(r.Folder, "members", "*.new"))
	for _, file := range append(stale, staleMembers...) {
		os.Remove(file)
	}
	os.Remove(filepath.Join(r.Folder, "members"))
	return nil
}
