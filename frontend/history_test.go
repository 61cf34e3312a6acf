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

// historyKills asks for the long form: go test ./frontend -run History -kills 200 -v
var historyKills = flag.Int("kills", 40, "times that the journal's process is killed in the history test")

const (
	historyEnv   = "GULLRAIL_HISTORY_FOLDER"
	historyPlays = 6
)

// TestMain lets the test binary be the process that is killed.
func TestMain(m *testing.M) {
	flag.Parse()
	if dir := os.Getenv(historyEnv); dir != "" {
		writeHistory(dir)
		return
	}
	os.Exit(m.Run())
}

// slow is a folder whose disk takes its time, so that kills also come between a write and its sync.
type slow struct{ store.Folder }

type slowFile struct{ store.File }

func (s slow) Open(name string) (store.File, error) {
	f, err := s.Folder.Open(name)
	return slowFile{f}, err
}

func (s slow) Rename(from, to string) error {
	time.Sleep(100 * time.Microsecond)
	return s.Folder.Rename(from, to)
}

func (f slowFile) WriteAt(b []byte, at int64) (int, error) {
	time.Sleep(time.Duration(rand.IntN(400)) * time.Microsecond)
	return f.File.WriteAt(b, at)
}

// writeHistory allocates and ends a few plays through a journal from several goroutines at once, and tells
// each call before it is made and after it returned, until it is killed.
func writeHistory(dir string) {
	folder := filepath.Join(dir, PlaysFolder)
	err := os.MkdirAll(folder, 0o700)
	var j *journal
	if err == nil {
		j, _, err = newJournal(slow{store.Folder(folder)}, &config.Service{}, 1, nil, nil, zerolog.Nop())
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
				n := id
				mu.Unlock()
				play, open := rand.IntN(historyPlays), rand.IntN(2)
				r := playlog.Record{Kind: playlog.Ended, Play: fmt.Sprint(play)}
				if open == 1 {
					r = playlog.Record{Kind: playlog.Allocated, Play: r.Play, Epoch: 1, Product: "p", Title: "t", Viewer: "v", Node: "n"}
				}
				fmt.Fprintf(os.Stdout, "c %d %d %d\n", n, play, open)
				if err := j.wait(j.write(r)); err != nil {
					continue // not acknowledged
				}
				if n%15 == 0 {
					j.mu.Lock()
					j.compact()
					j.mu.Unlock()
				}
				fmt.Fprintf(os.Stdout, "r %d 0 0\n", n)
			}
		}()
	}
	wg.Wait()
}

// call is an operation on one play's record.
type call struct {
	play, open int
	read       bool
}

// outcome of a call: what was read, or whether the write was acknowledged.
type outcome struct {
	open  int
	acked bool
}

var recordModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, historyPlays)
		for _, o := range history {
			p := o.Input.(call).play
			parts[p] = append(parts[p], o)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		in, out := input.(call), output.(outcome)
		switch {
		case in.read && out.open == state:
			return []any{state}
		case in.read:
			return nil
		case out.acked:
			return []any{in.open}
		}
		return []any{state, in.open} // cut off by the kill: it took hold, or not, and does neither later
	},
}

// The store's history over kills is linearizable: what was acknowledged before a kill is read after it, what was
// not is there or not, and stays so.
func TestHistoryOverKillsIsLinearizable(t *testing.T) {
	dir := t.TempDir()
	var history []porcupine.Operation
	now := int64(0)
	writes, cut := 0, 0
	for range *historyKills {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), historyEnv+"="+dir)
		out, err := child.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := child.Start(); err != nil {
			t.Fatal(err)
		}
		killAt := 20 + rand.IntN(250) // lines
		pending := map[int]porcupine.Operation{}
		lines := bufio.NewScanner(out)
		for n := 0; lines.Scan(); n++ {
			if n == killAt {
				time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
				if err := child.Process.Kill(); err != nil {
					t.Fatal(err)
				}
			}
			var what string
			var id, play, open int
			if k, _ := fmt.Sscanf(lines.Text(), "%s %d %d %d", &what, &id, &play, &open); k != 4 {
				if n < killAt {
					t.Fatalf("the child says %q", lines.Text())
				}
				break // its last line is cut
			}
			now++
			if what == "c" {
				pending[id] = porcupine.Operation{ClientId: id % 64, Input: call{play: play, open: open}, Call: now}
				continue
			}
			o := pending[id]
			delete(pending, id)
			o.Output, o.Return = outcome{acked: true}, now
			history = append(history, o)
			writes++
		}
		child.Wait() // killed: its error is expected
		now++
		for _, o := range pending {
			o.Output, o.Return = outcome{}, now
			history = append(history, o)
			cut++
		}
		c, err := store.Inspect(store.Folder(filepath.Join(dir, PlaysFolder)))
		if err != nil {
			t.Fatal(err)
		}
		book, err := playlog.Read(c.Records)
		if err != nil {
			t.Fatal(err)
		}
		var open [historyPlays]int
		for _, p := range book.OpenPlays() {
			var k int
			fmt.Sscan(p.Play, &k)
			open[k] = 1
		}
		for p, o := range open {
			now++
			history = append(history, porcupine.Operation{ClientId: 100, Input: call{play: p, read: true}, Call: now, Output: outcome{open: o}, Return: now + 1})
			now++
		}
	}
	if writes < 10**historyKills || cut == 0 {
		t.Fatalf("%d acknowledged, %d cut off: too few to tell", writes, cut)
	}
	if got := porcupine.CheckOperationsTimeout(recordModel.ToModel(), history, time.Minute); got != porcupine.Ok {
		t.Fatalf("%s: an acknowledged record is gone, or one came back", got)
	}
	t.Logf("%d kills, %d writes acknowledged, %d cut off", *historyKills, writes, cut)
}

func TestSalvagedStoreMakesTheFrontWaitAndIsWholeAfterwards(t *testing.T) {
	dir := t.TempDir()
	j, _, err := openJournal(dir, &config.Service{}, 1, nil, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		r := playlog.Record{Kind: playlog.Allocated, Play: fmt.Sprint("p", i), Epoch: 1, Product: "p", Title: "t", Viewer: "v", Node: "n"}
		if err := j.wait(j.write(r)); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.log.Close(); err != nil {
		t.Fatal(err)
	}
	plays := filepath.Join(dir, PlaysFolder)
	file := filepath.Join(plays, "log-0000000000000001")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)/2] ^= 4
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := CompactStore(plays); !errors.Is(err, store.ErrDamage) {
		t.Fatalf("compacted a damaged store: %v", err)
	}
	other := t.TempDir()
	s, err := SalvageStore(plays, filepath.Join(other, PlaysFolder))
	if err != nil || s.Open != 19 || s.Lost != 1 || len(s.Gaps) != 1 {
		t.Fatalf("%+v, %v", s, err)
	}
	if after, _ := os.ReadFile(file); string(after) != string(text) {
		t.Fatal("salvage changed the damaged store")
	}
	if _, err := SalvageStore(plays, filepath.Join(other, PlaysFolder)); !errors.Is(err, os.ErrExist) {
		t.Fatalf("wrote over a store: %v", err)
	}
	j, was, err := openJournal(other, &config.Service{}, 2, nil, nil, zerolog.Nop())
	if err != nil || was.lost != 1 || len(was.open) != 19 {
		t.Fatalf("%+v, %v", was, err)
	}
	j.RecoveryDone()
	j.wg.Wait()
	j.log.Close()
	if j, was, err = openJournal(other, &config.Service{}, 3, nil, nil, zerolog.Nop()); err != nil || was.lost != 0 {
		t.Fatalf("after the nodes made up for it: %+v, %v", was, err)
	}
	j.log.Close()
	c, err := CompactStore(filepath.Join(other, PlaysFolder))
	if err != nil || c.RecordsAfter != 19 {
		t.Fatalf("%+v, %v", c, err)
	}
}

func TestOfflineWorkIsKeptFromARunningFront(t *testing.T) {
	dir := t.TempDir()
	claim, err := LockFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := CompactStore(filepath.Join(dir, PlaysFolder)); !errors.Is(err, ErrLocked) {
		t.Fatalf("compacted beneath a front: %v", err)
	}
	if _, err := SalvageStore(filepath.Join(dir, PlaysFolder), filepath.Join(t.TempDir(), "x")); !errors.Is(err, ErrLocked) {
		t.Fatalf("salvaged beneath a front: %v", err)
	}
	claim.Release()
	if _, err := CompactStore(filepath.Join(dir, PlaysFolder)); err == nil {
		t.Fatal("compacted a folder that is not there")
	}
}

func TestAReadOnlyFolderIsToldAtTheStart(t *testing.T) {
	if os.Geteuid() == 0 {
		// Root writes anywhere: a file in the folder's place fails the same calls.
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, PlaysFolder), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := openJournal(dir, &config.Service{}, 1, nil, nil, zerolog.Nop()); err == nil {
			t.Fatal("a front without a place for its records started")
		}
		return
	}
	dir := t.TempDir()
	if err := os.Chmod(dir, 0o500); err != nil {
		t.Fatal(err)
	}
	defer os.Chmod(dir, 0o700)
	if _, _, err := openJournal(dir, &config.Service{}, 1, nil, nil, zerolog.Nop()); !errors.Is(err, os.ErrPermission) {
		t.Fatalf("got %v", err)
	}
}
