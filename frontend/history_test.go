package frontend

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/playlog"
	"gullrail/store"
)

// historyKills is the length of the history test. For a longer run: go test ./frontend -run History -kills 200 -v
var historyKills = flag.Int("kills", 40, "number of times the history test kills the journal's process")

const (
	historyEnv   = "GULLRAIL_HISTORY_FOLDER"
	historyPlays = 6
)

// TestMain makes the test binary usable as the child process that the history test kills.
func TestMain(m *testing.M) {
	flag.Parse()
	if dir := os.Getenv(historyEnv); dir != "" {
		writeHistory(dir)
		return
	}
	os.Exit(m.Run())
}

// slowDir is a directory with delayed writes and renames, so that a kill may also occur between a write and its sync.
type slowDir struct{ store.Dir }

type slowFile struct{ store.File }

func (s slowDir) Open(name string) (store.File, error) {
	f, err := s.Dir.Open(name)
	return slowFile{f}, err
}

func (s slowDir) Rename(from, to string) error {
	time.Sleep(100 * time.Microsecond)
	return s.Dir.Rename(from, to)
}

func (f slowFile) WriteAt(b []byte, offset int64) (int, error) {
	time.Sleep(time.Duration(rand.IntN(400)) * time.Microsecond)
	return f.File.WriteAt(b, offset)
}

// writeHistory records allocations and ends of a few plays through a journal from several goroutines. It prints a line
// before each call ("c" with its id, the play, and 1 for an allocation) and after its acknowledgement ("r" with the id),
// until it is killed.
func writeHistory(dir string) {
	folder := filepath.Join(dir, PlayLogFolder)
	err := os.MkdirAll(folder, 0o700)
	var j *journal
	if err == nil {
		j, _, err = newJournal(slowDir{store.Dir(folder)}, &config.Service{}, 1, nil, nil, zerolog.Nop())
	}
	if err != nil {
		fmt.Println("x", err)
		return
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	id := 0
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				mu.Lock()
				id++
				callID := id
				mu.Unlock()
				play, isOpen := rand.IntN(historyPlays), rand.IntN(2)
				r := playlog.Record{Kind: playlog.Ended, Play: fmt.Sprint(play)}
				if isOpen == 1 {
					r = playlog.Record{Kind: playlog.Allocated, Play: r.Play, Epoch: 1, Product: "p", Title: "t", Viewer: "v", Node: "n"}
				}
				fmt.Fprintf(os.Stdout, "c %d %d %d\n", callID, play, isOpen)
				if err := j.await(j.write(r)); err != nil {
					continue // not acknowledged
				}
				if callID%15 == 0 {
					j.mu.Lock()
					j.compact()
					j.mu.Unlock()
				}
				fmt.Fprintf(os.Stdout, "r %d 0 0\n", callID)
			}
		}()
	}
	wg.Wait()
}

// operation is a read or write of whether a play is open.
type operation struct {
	play, isOpen int
	read         bool
}

// result is the value that an operation read, or whether its write was acknowledged.
type result struct {
	isOpen int
	acked  bool
}

var recordModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, historyPlays)
		for _, o := range history {
			p := o.Input.(operation).play
			parts[p] = append(parts[p], o)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		in, out := input.(operation), output.(result)
		switch {
		case in.read && out.isOpen == state:
			return []any{state}
		case in.read:
			return nil
		case out.acked:
			return []any{in.isOpen}
		}
		return []any{state, in.isOpen} // interrupted by the kill: the write either took effect by then or never does
	},
}

// Checks that writes to the store stay linearizable when its process is killed: a write acknowledged before the kill is
// read after it. A write in progress may or may not have taken effect, but this doesn't change later.
func TestHistoryOverKillsIsLinearizable(t *testing.T) {
	dir := t.TempDir()
	var history []porcupine.Operation
	clock := int64(0)
	acked, interrupted := 0, 0
	for range *historyKills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), historyEnv+"="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		killAtLine := 20 + rand.IntN(250)
		pending := map[int]porcupine.Operation{}
		lines := bufio.NewScanner(out)
		for n := 0; lines.Scan(); n++ {
			if n == killAtLine {
				time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
				if err := cmd.Process.Kill(); err != nil {
					t.Fatal(err)
				}
			}
			var event string
			var id, play, open int
			if k, _ := fmt.Sscanf(lines.Text(), "%s %d %d %d", &event, &id, &play, &open); k != 4 {
				if n < killAtLine {
					t.Fatalf("unexpected output of the child process: %q", lines.Text())
				}
				break // the last line is truncated by the kill
			}
			clock++
			if event == "c" {
				pending[id] = porcupine.Operation{ClientId: id % 64, Input: operation{play: play, isOpen: open}, Call: clock}
				continue
			}
			o := pending[id]
			delete(pending, id)
			o.Output, o.Return = result{acked: true}, clock
			history = append(history, o)
			acked++
		}
		cmd.Wait() // returns an error, as the process was killed
		clock++
		for _, o := range pending {
			o.Output, o.Return = result{}, clock
			history = append(history, o)
			interrupted++
		}
		c, err := store.Inspect(store.Dir(filepath.Join(dir, PlayLogFolder)))
		if err != nil {
			t.Fatal(err)
		}
		state, err := playlog.Read(c.Records)
		if err != nil {
			t.Fatal(err)
		}
		var open [historyPlays]int
		for _, p := range state.OpenPlays() {
			var k int
			fmt.Sscan(p.Play, &k)
			open[k] = 1
		}
		for p, o := range open {
			clock++
			history = append(history, porcupine.Operation{ClientId: 100, Input: operation{play: p, read: true}, Call: clock, Output: result{isOpen: o}, Return: clock + 1})
			clock++
		}
	}
	if acked < 10**historyKills || interrupted == 0 {
		t.Fatalf("%d writes acknowledged, %d interrupted: too few for a meaningful test", acked, interrupted)
	}
	if got := porcupine.CheckOperationsTimeout(recordModel.ToModel(), history, time.Minute); got != porcupine.Ok {
		t.Fatalf("linearizability check: got %s, want Ok; otherwise an acknowledged write was lost or an ended play is open again", got)
	}
	t.Logf("%d kills, %d writes acknowledged, %d interrupted", *historyKills, acked, interrupted)
}

func TestSalvagedStoreReportsLossUntilNodesReported(t *testing.T) {
	dir := t.TempDir()
	j, _, err := openJournal(dir, &config.Service{}, 1, nil, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		r := playlog.Record{Kind: playlog.Allocated, Play: fmt.Sprint("p", i), Epoch: 1, Product: "p", Title: "t", Viewer: "v", Node: "n"}
		if err := j.await(j.write(r)); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.log.Close(); err != nil {
		t.Fatal(err)
	}
	plays := filepath.Join(dir, PlayLogFolder)
	file := filepath.Join(plays, "log-0000000000000001")
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 4
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := CompactStore(plays); !errors.Is(err, store.ErrDamaged) {
		t.Fatalf("compacting a damaged store: got %v, want ErrDamage", err)
	}
	other := t.TempDir()
	s, err := SalvageStore(plays, filepath.Join(other, PlayLogFolder))
	if err != nil || s.Open != 19 || s.Lost != 1 || len(s.Gaps) != 1 {
		t.Fatalf("salvage: got %+v, %v, want 19 open plays and 1 record lost in 1 gap", s, err)
	}
	if after, _ := os.ReadFile(file); string(after) != string(data) {
		t.Fatal("salvage changed the damaged store")
	}
	if _, err := SalvageStore(plays, filepath.Join(other, PlayLogFolder)); !errors.Is(err, os.ErrExist) {
		t.Fatalf("salvaging into an existing store: got %v, want os.ErrExist", err)
	}
	j, previous, err := openJournal(other, &config.Service{}, 2, nil, nil, zerolog.Nop())
	if err != nil || previous.lost != 1 || len(previous.open) != 19 {
		t.Fatalf("opening the salvaged store: got %+v, %v, want 19 open plays and 1 record lost", previous, err)
	}
	j.RecoveryDone()
	j.wg.Wait()
	j.log.Close()
	if j, previous, err = openJournal(other, &config.Service{}, 3, nil, nil, zerolog.Nop()); err != nil || previous.lost != 0 {
		t.Fatalf("after recovery: %+v, %v, want no records lost", previous, err)
	}
	j.log.Close()
	c, err := CompactStore(filepath.Join(other, PlayLogFolder))
	if err != nil || c.RecordsAfter != 19 {
		t.Fatalf("compacting: got %+v, %v, want 19 records", c, err)
	}
}

func TestOfflineCommandsFailWhileFrontRuns(t *testing.T) {
	dir := t.TempDir()
	lock, err := LockFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := CompactStore(filepath.Join(dir, PlayLogFolder)); !errors.Is(err, ErrLocked) {
		t.Fatalf("compacting while a front runs: got %v, want ErrLocked", err)
	}
	if _, err := SalvageStore(filepath.Join(dir, PlayLogFolder), filepath.Join(t.TempDir(), "x")); !errors.Is(err, ErrLocked) {
		t.Fatalf("salvaging while a front runs: got %v, want ErrLocked", err)
	}
	lock.Release()
	if _, err := CompactStore(filepath.Join(dir, PlayLogFolder)); err == nil {
		t.Fatal("compacting a missing folder succeeded")
	}
}

func TestOpenJournalFailsWithoutWritableFolder(t *testing.T) {
	if os.Geteuid() == 0 {
		// Permissions don't apply to root. A file in place of the folder makes the same calls fail.
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, PlayLogFolder), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := openJournal(dir, &config.Service{}, 1, nil, nil, zerolog.Nop()); err == nil {
			t.Fatal("opened a journal without a folder for its records")
		}
		return
	}
	dir := t.TempDir()
	if err := os.Chmod(dir, 0o500); err != nil {
		t.Fatal(err)
	}
	defer os.Chmod(dir, 0o700)
	if _, _, err := openJournal(dir, &config.Service{}, 1, nil, nil, zerolog.Nop()); !errors.Is(err, os.ErrPermission) {
		t.Fatalf("got %v, want os.ErrPermission", err)
	}
}
