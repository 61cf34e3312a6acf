package rundir

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// A process of a run, for the tests: this program again, told by its environment what to do.
func TestMain(m *testing.M) {
	if folder := os.Getenv("KIT_TEST_FOLDER"); folder != "" {
		run, err := Open(folder)
		if err == nil {
			err = run.Join(os.Getenv("KIT_TEST_NAME"), map[string]int{"pid": os.Getpid()})
		}
		if err != nil {
			os.Exit(3)
		}
		if os.Getenv("KIT_TEST_DEAF") != "" {
			deaf()
		}
		time.Sleep(time.Minute)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func member(t *testing.T, r *Run, name string, env ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), NonceVariable+"="+r.Nonce, "KIT_TEST_FOLDER="+r.Folder, "KIT_TEST_NAME="+name), env...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { cmd.Wait(); close(done) }()
	t.Cleanup(func() { cmd.Process.Kill(); <-done })
	return cmd
}

// joined waits until a member is registered.
func joined(t *testing.T, r *Run, name string) Member {
	t.Helper()
	for range 1000 {
		var info map[string]int
		if ok, err := r.Find(name, &info); err != nil {
			t.Fatal(err)
		} else if ok {
			all, err := r.Members()
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range all {
				if m.Name == name {
					return m
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s never registered", name)
	return Member{}
}

func create(t *testing.T) *Run {
	t.Helper()
	r, err := Create(filepath.Join(t.TempDir(), "run"), "day", 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestCleanEndsTheRunsProcessesAndNoOther(t *testing.T) {
	a, b := create(t), create(t)
	member(t, a, "one")
	deafOne := member(t, a, "deaf", "KIT_TEST_DEAF=1")
	other := member(t, b, "one")
	mine, stopped := joined(t, a, "one"), joined(t, a, "deaf")
	joined(t, b, "one")
	syscallStop(deafOne.Process.Pid) // stands still, and would not listen anyway
	ended, err := a.Clean(300 * time.Millisecond)
	if err != nil || len(ended) != 2 {
		t.Fatalf("ended %v, %v", ended, err)
	}
	for _, m := range []Member{mine, stopped} {
		if s := a.StateOf(m); s != Gone {
			t.Errorf("%s: %s", m.Name, s)
		}
	}
	if s := b.StateOf(Member{PID: other.Process.Pid, Start: joined(t, b, "one").Start}); s != Alive {
		t.Errorf("another run's process: %s", s)
	}
	if err := a.Remove(); err != nil {
		t.Fatal(err)
	}
	if left, _ := filepath.Glob(filepath.Join(a.Folder, "*")); len(left) != 0 {
		t.Errorf("left: %v", left)
	}
}

func TestReusedIDIsNotOurs(t *testing.T) {
	r := create(t)
	cmd := member(t, r, "one")
	m := joined(t, r, "one")
	for name, fake := range map[string]Member{
		"another start":      {Name: "x", PID: cmd.Process.Pid, Start: m.Start + 1},
		"not with the nonce": {Name: "y", PID: os.Getpid(), Start: mustStart(t, os.Getpid())},
	} {
		if s := r.StateOf(fake); s != Another {
			t.Errorf("%s: %s", name, s)
		}
		b, _ := json.Marshal(fake)
		if err := os.WriteFile(r.member(fake.Name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ended, err := r.Clean(time.Second)
	if err != nil || len(ended) != 1 || ended[0].Name != "one" {
		t.Fatalf("ended %v, %v", ended, err)
	}
}

func mustStart(t *testing.T, pid int) uint64 {
	t.Helper()
	s, err := startTime(pid)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestWhoRegistersAfterTheEndLeaves(t *testing.T) {
	r := create(t)
	t.Setenv(NonceVariable, r.Nonce)
	if err := r.Join("early", nil); err != nil {
		t.Fatal(err)
	}
	r.Leave("early")
	if err := r.End(); err != nil {
		t.Fatal(err)
	}
	if err := r.Join("late", nil); !errors.Is(err, ErrEnded) {
		t.Fatalf("got %v", err)
	}
	if members, err := r.Members(); err != nil || len(members) != 0 {
		t.Fatalf("registered: %v %v", members, err)
	}
	next, err := Create(r.Folder, "day", 2, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Join("of the run before", nil); !errors.Is(err, ErrEnded) {
		t.Fatalf("got %v", err)
	}
	if err := next.Join("without its nonce", nil); err == nil {
		t.Fatal("joined without the run's nonce")
	}
}

func TestFoldersThatAreNotOurs(t *testing.T) {
	r := create(t)
	if _, err := Create(r.Folder, "day", 1, 0); !errors.Is(err, ErrRuns) {
		t.Errorf("a second run in one folder: %v", err)
	}
	copied := filepath.Join(t.TempDir(), "copy")
	os.MkdirAll(copied, 0o700)
	b, _ := os.ReadFile(filepath.Join(r.Folder, "run.json"))
	os.WriteFile(filepath.Join(copied, "run.json"), b, 0o600)
	if _, err := Open(copied); !errors.Is(err, ErrForeign) {
		t.Errorf("a copied folder: %v", err)
	}
	away := *r
	away.Boot = "another machine's"
	if err := writeFile(filepath.Join(r.Folder, "run.json"), away); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(r.Folder); !errors.Is(err, ErrForeign) {
		t.Errorf("another boot: %v", err)
	}
	if _, err := Open(t.TempDir()); !errors.Is(err, ErrNoRun) {
		t.Errorf("an empty folder: %v", err)
	}
	if err := os.WriteFile(filepath.Join(r.Folder, "run.json"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(r.Folder); err == nil || errors.Is(err, ErrNoRun) {
		t.Errorf("a damaged run file: %v", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := Create(file, "day", 1, 0); err == nil {
		t.Error("a run in a file")
	}
}

func TestStartTimeOfOurselvesAndOfNobody(t *testing.T) {
	if s, err := startTime(os.Getpid()); err != nil || s == 0 {
		t.Fatalf("%d %v", s, err)
	}
	if _, err := startTime(1 << 30); err == nil {
		t.Fatal(strconv.Itoa(1<<30) + " runs")
	}
}
