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

// With RUNDIR_TEST_FOLDER set, the test program acts as a member of a run instead of running the tests.
func TestMain(m *testing.M) {
	if folder := os.Getenv("RUNDIR_TEST_FOLDER"); folder != "" {
		run, err := Open(folder)
		if err == nil {
			err = run.Register(os.Getenv("RUNDIR_TEST_NAME"), map[string]int{"pid": os.Getpid()})
		}
		if err != nil {
			os.Exit(3)
		}
		if os.Getenv("RUNDIR_TEST_IGNORE_SIGTERM") != "" {
			ignoreSIGTERM()
		}
		time.Sleep(time.Minute)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func startMember(t *testing.T, r *Run, name string, env ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), NonceVariable+"="+r.Nonce, "RUNDIR_TEST_FOLDER="+r.Folder, "RUNDIR_TEST_NAME="+name), env...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { cmd.Wait(); close(done) }()
	t.Cleanup(func() { cmd.Process.Kill(); <-done })
	return cmd
}

// awaitRegistration waits until a member has registered and returns its registration.
func awaitRegistration(t *testing.T, r *Run, name string) Member {
	t.Helper()
	for range 1000 {
		var info map[string]int
		if ok, err := r.MemberInfo(name, &info); err != nil {
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
	t.Fatalf("%s did not register", name)
	return Member{}
}

func createRun(t *testing.T) *Run {
	t.Helper()
	r, err := Create(filepath.Join(t.TempDir(), "run"), "day", 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestCleanEndsOnlyProcessesOfItsRun(t *testing.T) {
	a, b := createRun(t), createRun(t)
	startMember(t, a, "one")
	unresponsive := startMember(t, a, "unresponsive", "RUNDIR_TEST_IGNORE_SIGTERM=1")
	other := startMember(t, b, "one")
	responsiveMember, unresponsiveMember := awaitRegistration(t, a, "one"), awaitRegistration(t, a, "unresponsive")
	awaitRegistration(t, b, "one")
	suspend(unresponsive.Process.Pid) // stopped, and ignoring SIGTERM once continued: only SIGKILL ends it
	ended, err := a.Stop(300 * time.Millisecond)
	if err != nil || len(ended) != 2 {
		t.Fatalf("ended %v, %v", ended, err)
	}
	for _, m := range []Member{responsiveMember, unresponsiveMember} {
		if s := a.StateOf(m); s != Exited {
			t.Errorf("%s: %s", m.Name, s)
		}
	}
	if s := b.StateOf(Member{PID: other.Process.Pid, StartTime: awaitRegistration(t, b, "one").StartTime}); s != Alive {
		t.Errorf("another run's process: %s", s)
	}
	if err := a.RemoveFiles(); err != nil {
		t.Fatal(err)
	}
	if remaining, _ := filepath.Glob(filepath.Join(a.Folder, "*")); len(remaining) != 0 {
		t.Errorf("not removed: %v", remaining)
	}
}

func TestCleanIgnoresReusedPIDs(t *testing.T) {
	r := createRun(t)
	process := startMember(t, r, "one")
	m := awaitRegistration(t, r, "one")
	for name, candidate := range map[string]Member{
		"other start time": {Name: "x", PID: process.Process.Pid, StartTime: m.StartTime + 1},
		"no nonce":         {Name: "y", PID: os.Getpid(), StartTime: mustStartTime(t, os.Getpid())},
	} {
		if s := r.StateOf(candidate); s != PIDReused {
			t.Errorf("%s: %s", name, s)
		}
		b, _ := json.Marshal(candidate)
		if err := os.WriteFile(r.memberFile(candidate.Name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ended, err := r.Stop(time.Second)
	if err != nil || len(ended) != 1 || ended[0].Name != "one" {
		t.Fatalf("ended %v, %v", ended, err)
	}
}

func mustStartTime(t *testing.T, pid int) uint64 {
	t.Helper()
	s, err := startTime(pid)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestRegisterFailsAfterTheRunHasEnded(t *testing.T) {
	r := createRun(t)
	t.Setenv(NonceVariable, r.Nonce)
	if err := r.Register("early", nil); err != nil {
		t.Fatal(err)
	}
	r.Unregister("early")
	if err := r.MarkEnded(); err != nil {
		t.Fatal(err)
	}
	if err := r.Register("late", nil); !errors.Is(err, ErrEnded) {
		t.Fatalf("joining an ended run: %v", err)
	}
	if members, err := r.Members(); err != nil || len(members) != 0 {
		t.Fatalf("registered: %v %v", members, err)
	}
	next, err := Create(r.Folder, "day", 2, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Register("of-previous-run", nil); !errors.Is(err, ErrEnded) {
		t.Fatalf("joining a run whose folder has a new run: %v", err)
	}
	if err := next.Register("without-nonce", nil); err == nil {
		t.Fatal("joined the run without its nonce")
	}
}

func TestCreateAndOpenRejectFoldersThatTheyCannotUse(t *testing.T) {
	r := createRun(t)
	if _, err := Create(r.Folder, "day", 1, 0); !errors.Is(err, ErrRunActive) {
		t.Errorf("folder with an active run: %v", err)
	}
	copied := filepath.Join(t.TempDir(), "copy")
	os.MkdirAll(copied, 0o700)
	b, _ := os.ReadFile(filepath.Join(r.Folder, "run.json"))
	os.WriteFile(filepath.Join(copied, "run.json"), b, 0o600)
	if _, err := Open(copied); !errors.Is(err, ErrForeign) {
		t.Errorf("copied folder: %v", err)
	}
	otherBoot := *r
	otherBoot.BootID = "another boot ID"
	if err := writeFile(filepath.Join(r.Folder, "run.json"), otherBoot); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(r.Folder); !errors.Is(err, ErrForeign) {
		t.Errorf("folder of another boot: %v", err)
	}
	if _, err := Open(t.TempDir()); !errors.Is(err, ErrNoRun) {
		t.Errorf("empty folder: %v", err)
	}
	if err := os.WriteFile(filepath.Join(r.Folder, "run.json"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(r.Folder); err == nil || errors.Is(err, ErrNoRun) {
		t.Errorf("damaged run file: %v", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := Create(file, "day", 1, 0); err == nil {
		t.Error("created a run in a regular file")
	}
}

func TestStartTime(t *testing.T) {
	if s, err := startTime(os.Getpid()); err != nil || s == 0 {
		t.Fatalf("%d %v", s, err)
	}
	if _, err := startTime(1 << 30); err == nil {
		t.Fatal(strconv.Itoa(1<<30) + " has a start time, but no such process can exist")
	}
}
