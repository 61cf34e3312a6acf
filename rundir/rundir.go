// Package rundir runs the processes of a rehearsal under one run folder, and finds and ends them even if the
// process that started them is gone.
//
// The protocol of a run folder. The run file names the run by a nonce and says whether it goes on. Each
// process of the run gets the nonce in its environment, registers in the folder before it does anything
// else, and only then looks whether the run goes on. Who ends a run marks the run file first and reads the
// registrations after that. So every process is either seen by the one who ends the run, or sees
// the mark itself and leaves; there is no moment in which one can be missed.
//
// A registration holds the process's id, the time of its start as the kernel counts it, and the run
// file the machine's boot and the folder's own path. A process is ours only if id, start time and nonce
// all match: a reused id, a folder copied from elsewhere or another run's process never is.
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

// NonceVariable is the environment variable that names a process's run.
const NonceVariable = "GULLRAIL_RUN"

// Errors of a run folder, for errors.Is.
var (
	ErrNoRun   = errors.New("no run here")
	ErrRuns    = errors.New("a run goes on here: end it with 'kit down', or with 'kit clean'")
	ErrEnded   = errors.New("the run has been ended")
	ErrForeign = errors.New("the run folder is of another machine, another boot or another place")
)

// Run is the run file.
type Run struct {
	Nonce  string    `json:"nonce"`
	Boot   string    `json:"boot"` // of the machine
	Folder string    `json:"folder"`
	Began  time.Time `json:"began"`
	Ended  bool      `json:"ended"`
	Day    string    `json:"day"`
	Seed   uint64    `json:"seed"`
	BaseNs int64     `json:"base_ns"` // of the tapes' clock: the machine's monotonic one
}

// Member is a registered process.
type Member struct {
	Name  string          `json:"name"`
	PID   int             `json:"pid"`
	Start uint64          `json:"start"` // clock ticks since boot
	Info  json.RawMessage `json:"info,omitempty"`
}

// State is what became of a member.
type State string

const (
	Alive   State = "alive"
	Gone    State = "gone"
	Another State = "another process has its id"
)

func bootID() (string, error) {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "", fmt.Errorf("kit: %w", err)
	}
	return strings.TrimSpace(string(b)), nil
}

// startTime is when a process started, in clock ticks since boot (field 22 of proc(5)'s stat).
func startTime(pid int) (uint64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	text := string(b)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:]) // the name before may hold spaces
	if len(fields) < 20 {
		return 0, fmt.Errorf("kit: stat of process %d is short", pid)
	}
	if fields[0] == "Z" {
		return 0, os.ErrNotExist // it has ended and waits to be reaped
	}
	return strconv.ParseUint(fields[19], 10, 64)
}

// hasNonce tells that a process was started with a run's nonce.
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

// writeFile writes a file whole or not at all.
func writeFile(file string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("kit: %w", err)
	}
	tmp := fmt.Sprintf("%s.%d.new", file, os.Getpid())
	err = os.WriteFile(tmp, append(b, '\n'), 0o600)
	if err == nil {
		err = os.Rename(tmp, file)
	}
	if err != nil {
		os.Remove(tmp)
		return fmt.Errorf("kit: %w", err)
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

// Create begins a run in a folder. One whose last run has ended and left no process is used again.
func Create(folder, day string, seed uint64, base time.Duration) (*Run, error) {
	abs, err := filepath.Abs(folder)
	if err != nil {
		return nil, fmt.Errorf("kit: %w", err)
	}
	if err := os.MkdirAll(filepath.Join(abs, "members"), 0o700); err != nil {
		return nil, fmt.Errorf("kit: %w", err)
	}
	// Two who begin here at once: the second sees what the first has begun.
	claim, err := os.OpenFile(filepath.Join(abs, "begins"), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("kit: %w", err)
	}
	defer claim.Close()
	if err := syscall.Flock(int(claim.Fd()), syscall.LOCK_EX); err != nil {
		return nil, fmt.Errorf("kit: %w", err)
	}
	old, err := Open(abs)
	switch {
	case errors.Is(err, ErrNoRun):
	case err != nil:
		return nil, err
	case !old.Ended:
		return nil, fmt.Errorf("%s: %w", abs, ErrRuns)
	default:
		if members, err := old.Members(); err != nil || len(members) > 0 {
			return nil, errors.Join(err, fmt.Errorf("%s: %w", abs, ErrRuns))
		}
	}
	boot, err := bootID()
	if err != nil {
		return nil, err
	}
	raw := make([]byte, 16)
	if _, err := rand.Read(raw); err != nil {
		return nil, fmt.Errorf("kit: %w", err)
	}
	r := &Run{Nonce: hex.EncodeToString(raw), Boot: boot, Folder: abs, Began: time.Now().UTC(), Day: day, Seed: seed, BaseNs: int64(base)}
	return r, writeFile(filepath.Join(abs, "run.json"), r)
}

// Open reads the run of a folder. ErrNoRun says that there is none, ErrForeign that nothing in it may be
// taken for a process of this machine.
func Open(folder string) (*Run, error) {
	abs, err := filepath.Abs(folder)
	if err != nil {
		return nil, fmt.Errorf("kit: %w", err)
	}
	var r Run
	if err := readFile(filepath.Join(abs, "run.json"), &r); errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", abs, ErrNoRun)
	} else if err != nil {
		return nil, fmt.Errorf("kit: %w", err)
	}
	boot, err := bootID()
	if err != nil {
		return nil, err
	}
	if r.Boot != boot || r.Folder != abs || len(r.Nonce) != 32 {
		return nil, fmt.Errorf("%s: %w", abs, ErrForeign)
	}
	return &r, nil
}

func (r *Run) member(name string) string { return filepath.Join(r.Folder, "members", name+".json") }

// Join registers this process in the run that its environment names, and tells whether it may go on.
// The info is for the others of the run; Join may be called again when it changes.
func (r *Run) Join(name string, info any) error {
	if os.Getenv(NonceVariable) != r.Nonce {
		return fmt.Errorf("kit: this process is not of the run in %s", r.Folder)
	}
	start, err := startTime(os.Getpid())
	if err != nil {
		return fmt.Errorf("kit: %w", err)
	}
	raw, err := json.Marshal(info)
	if err != nil {
		return fmt.Errorf("kit: %w", err)
	}
	if err := writeFile(r.member(name), Member{name, os.Getpid(), start, raw}); err != nil {
		return err
	}
	now, err := Open(r.Folder)
	if err != nil {
		os.Remove(r.member(name))
		return err
	}
	if now.Ended || now.Nonce != r.Nonce {
		os.Remove(r.member(name))
		return ErrEnded
	}
	return nil
}

// Leave takes this process's registration back, as the last thing that it does.
func (r *Run) Leave(name string) { os.Remove(r.member(name)) }

// Members lists the registrations, by name.
func (r *Run) Members() ([]Member, error) {
	files, err := filepath.Glob(filepath.Join(r.Folder, "members", "*.json"))
	if err != nil {
		return nil, fmt.Errorf("kit: %w", err)
	}
	sort.Strings(files)
	var all []Member
	for _, f := range files {
		var m Member
		if err := readFile(f, &m); errors.Is(err, os.ErrNotExist) {
			continue // it left meanwhile
		} else if err != nil {
			return nil, fmt.Errorf("kit: %w", err)
		}
		if m.PID <= 1 || m.Name+".json" != filepath.Base(f) {
			return nil, fmt.Errorf("%s:1: not a registration", f)
		}
		all = append(all, m)
	}
	return all, nil
}

// StateOf tells what became of a member. Only one that is Alive may be signalled.
func (r *Run) StateOf(m Member) State {
	start, err := startTime(m.PID)
	switch {
	case err != nil:
		return Gone
	case start != m.Start || !hasNonce(m.PID, r.Nonce):
		return Another
	}
	return Alive
}

// Find returns a member's info once it is registered.
func (r *Run) Find(name string, info any) (ok bool, err error) {
	var m Member
	if err := readFile(r.member(name), &m); errors.Is(err, os.ErrNotExist) {
		return false, nil
	} else if err != nil {
		return false, fmt.Errorf("kit: %w", err)
	}
	return true, json.Unmarshal(m.Info, info)
}

// End marks the run as ended, so that nobody joins it any more.
func (r *Run) End() error {
	r.Ended = true
	return writeFile(filepath.Join(r.Folder, "run.json"), r)
}

// Clean ends all processes of the run: in order first, within patience, then at once. It returns those
// that it ended. Processes that are not the run's are left alone, and only their registrations go.
func (r *Run) Clean(patience time.Duration) (ended []Member, err error) {
	if err := r.End(); err != nil {
		return nil, err
	}
	signalled := map[int]bool{}
	for deadline := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		members, err := r.Members()
		if err != nil {
			return ended, err
		}
		alive := 0
		for _, m := range members {
			if r.StateOf(m) != Alive {
				r.Leave(m.Name)
				continue
			}
			alive++
			if !signalled[m.PID] {
				signalled[m.PID] = true
				ended = append(ended, m)
				syscall.Kill(m.PID, syscall.SIGCONT) // one that stands still hears nothing else
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

// RemoveUnstarted takes away what a run that never began left in a folder.
func RemoveUnstarted(folder string) error {
	abs, err := filepath.Abs(folder)
	if err != nil {
		return fmt.Errorf("kit: %w", err)
	}
	return (&Run{Folder: abs}).Remove()
}

// Remove takes the folder's files of the run away, but what this package did not write.
func (r *Run) Remove() error {
	for _, name := range []string{"run.json", "begins"} {
		if err := os.Remove(filepath.Join(r.Folder, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("kit: %w", err)
		}
	}
	stale, _ := filepath.Glob(filepath.Join(r.Folder, "*.new"))
	more, _ := filepath.Glob(filepath.Join(r.Folder, "members", "*.new"))
	for _, f := range append(stale, more...) {
		os.Remove(f)
	}
	os.Remove(filepath.Join(r.Folder, "members"))
	return nil
}
