package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"
)

func openLog(t testing.TB, f Files) (*Log, *Contents) {
	t.Helper()
	l, c, err := Open(f)
	if err != nil {
		t.Fatal(err)
	}
	return l, c
}

// workload appends records to a store, compacts, closes and reopens it, and notes each acknowledgement among the
// operations. It returns the records that the store must hold after each acknowledgement.
func workload(t testing.TB, d *memDir) (states [][]string) {
	t.Helper()
	var want []string
	noteAck := func() { d.ops = append(d.ops, op{kind: opAck}); states = append(states, slices.Clone(want)) }
	for pass := range 3 {
		l, c := openLog(t, d)
		if len(c.Records) != len(want) {
			t.Fatalf("pass %d: got %d records after opening, want %d", pass, len(c.Records), len(want))
		}
		for i := range 4 {
			r := fmt.Sprintf("record %d of pass %d", i, pass)
			if err := l.Append([]byte(r)); err != nil {
				t.Fatal(err)
			}
			want = append(want, r)
			noteAck()
			if i == 2 {
				want = want[len(want)/2:]
				if pass == 1 {
					want = nil // covers compaction to an empty segment
				}
				var all [][]byte
				for _, r := range want {
					all = append(all, []byte(r))
				}
				if err := <-l.Compact(all); err != nil {
					t.Fatal(err)
				}
				noteAck()
			}
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return states
}

func recordStrings(c *Contents) (out []string) {
	for _, r := range c.Records {
		out = append(out, string(r))
	}
	return out
}

// isValidState reports whether got is the state after the last acknowledgement or the one after it, as the operation in
// progress at the crash may have taken effect.
func isValidState(states [][]string, acks int, got []string) bool {
	for _, k := range []int{acks, acks + 1} {
		var want []string
		if k > 0 && k <= len(states) {
			want = states[k-1]
		}
		if k <= len(states) && slices.Equal(got, want) {
			return true
		}
	}
	return false
}

func TestCrashAtEveryByteOfEveryWrite(t *testing.T) {
	d := newMemDir()
	states := workload(t, d)
	crashes := 0
	checkCrash := func(n, cut int, mode crashMode, acks int) {
		crashes++
		survivor := stateAfterCrash(d.ops, n, cut, mode)
		log, c, err := Open(survivor)
		if err != nil {
			t.Fatalf("after operation %d of %d, cut %d, mode %d: %v", n, len(d.ops), cut, mode, err)
		}
		got := recordStrings(c)
		if !isValidState(states, acks, got) {
			t.Fatalf("after operation %d, cut %d, mode %d, %d acknowledged: got records %q", n, cut, mode, acks, got)
		}
		// Crash again after each operation of the recovery.
		recovery := survivor.ops
		if err := log.Append([]byte("after")); err != nil {
			t.Fatal(err)
		}
		log.Close()
		if cut%7 == 0 {
			for k := range recovery {
				second := stateAfterCrash(append(asDurableOps(stateAfterCrash(d.ops, n, cut, mode)), recovery...), len(asDurableOps(stateAfterCrash(d.ops, n, cut, mode)))+k+1, 0, syncedOnly)
				c, err := Inspect(second)
				if err != nil || !isValidState(states, acks, recordStrings(c)) {
					t.Fatalf("crash after operation %d, cut %d, mode %d, then after operation %d of the recovery: %v, records %q", n, cut, mode, k, err, recordStrings(c))
				}
			}
		}
	}
	acks := 0
	for n := 1; n <= len(d.ops); n++ {
		o := d.ops[n-1]
		if o.kind == opAck {
			acks++
		}
		for _, mode := range []crashMode{syncedOnly, everythingWritten, namesWithSyncedData} {
			checkCrash(n, 0, mode, acks)
		}
		if o.kind == opWrite {
			for cut := range o.data {
				checkCrash(n, cut, tornWrite, acks)
				checkCrash(n, cut, zeroFilledWrite, acks)
			}
		}
	}
	if crashes < 1000 {
		t.Fatalf("only %d crashes simulated, want at least 1000", crashes)
	}
	t.Logf("%d crashes simulated", crashes)
}

// asDurableOps returns operations that create the files of dir and sync them.
func asDurableOps(dir *memDir) (ops []op) {
	names, _ := dir.List()
	for _, n := range names {
		ops = append(ops, op{kind: opCreate, name: n}, op{kind: opWrite, name: n, data: dir.files[n].data}, op{kind: opSync, name: n})
	}
	return append(ops, op{kind: opSyncDir})
}

func TestDamageIsDetectedAtEveryOffset(t *testing.T) {
	d := newMemDir()
	states := workload(t, d)
	want := states[len(states)-1]
	damaged, intact := 0, 0
	check := func(what string, bad *memDir) {
		c, err := Inspect(bad)
		switch {
		case err == nil && slices.Equal(recordStrings(c), want):
			intact++ // the damage hit only the older checkpoint slot or the padding between the slots
		case err == nil:
			t.Errorf("%s: damage not detected; got records %q", what, recordStrings(c))
		case !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrFormat):
			t.Errorf("%s: %v", what, err)
		default:
			damaged++
		}
	}
	copyOf := func() *memDir { return stateAfterCrash(d.ops, len(d.ops), 0, everythingWritten) }
	names, _ := d.List()
	for _, name := range names {
		for offset := range d.files[name].data {
			b := copyOf()
			b.files[name].data = b.files[name].data[:offset]
			check(fmt.Sprintf("%s truncated at %d", name, offset), b)
			b = copyOf()
			b.files[name].data[offset] ^= 0x40
			check(fmt.Sprintf("%s with a bit flipped at %d", name, offset), b)
		}
		b := copyOf()
		delete(b.files, name)
		check(name+" removed", b)
	}
	if damaged < 100 {
		t.Fatalf("%d cases reported as damaged, want at least 100; %d intact", damaged, intact)
	}
}

// Leaves out one kind of sync at a time and checks that simulated crashes reveal it.
func TestCrashTestDetectsMissingSyncs(t *testing.T) {
	for name, skip := range map[string]func(o op) bool{
		"sync of a segment":      func(o op) bool { return o.kind == opSync && o.name != checkpointName },
		"sync of the checkpoint": func(o op) bool { return o.kind == opSync && o.name == checkpointName },
		"sync of the directory":  func(o op) bool { return o.kind == opSyncDir },
		"sync before a rename":   func(o op) bool { return o.kind == opSync && len(o.name) > 4 && o.name[len(o.name)-4:] == ".new" },
	} {
		d := newMemDir()
		states := workload(t, d)
		ops := slices.DeleteFunc(slices.Clone(d.ops), skip)
		detected, acks := false, 0
		for n := 1; n <= len(ops) && !detected; n++ {
			if ops[n-1].kind == opAck {
				acks++
			}
			for _, mode := range []crashMode{syncedOnly, namesWithSyncedData} {
				c, err := Inspect(stateAfterCrash(ops, n, 0, mode))
				detected = detected || err != nil || !isValidState(states, acks, recordStrings(c))
			}
		}
		if !detected {
			t.Errorf("no simulated crash revealed the missing %s", name)
		}
	}
}

func TestNothingIsAcknowledgedAfterFailedWriteOrSync(t *testing.T) {
	for _, kind := range []opKind{opWrite, opSync} {
		d := newMemDir()
		l, _ := openLog(t, d)
		if err := l.Append([]byte("a")); err != nil {
			t.Fatal(err)
		}
		diskErr := errors.New("input/output error")
		d.injectError = func(o op) error {
			if o.kind == kind {
				return diskErr
			}
			return nil
		}
		if err := l.Append([]byte("b")); !errors.Is(err, ErrBroken) || !errors.Is(err, diskErr) {
			t.Fatalf("got %v, want ErrBroken that wraps the disk's error", err)
		}
		d.injectError = nil
		if err := l.Append([]byte("c")); !errors.Is(err, ErrBroken) {
			t.Fatalf("append after a failed one: got %v, want ErrBroken", err)
		}
		l.Close()
		if _, c := openLog(t, d); recordStrings(c)[0] != "a" {
			t.Fatalf("after reopening: got records %q, want the first to be \"a\"", recordStrings(c))
		}
	}
}

func TestConcurrentAppendsShareSyncs(t *testing.T) {
	dir := Dir(t.TempDir())
	l, _ := openLog(t, dir)
	var wg sync.WaitGroup
	for g := range 50 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 20 {
				if err := l.Append(fmt.Appendf(nil, "%d-%d", g, i)); err != nil {
					t.Error(err)
				}
			}
		}()
	}
	wg.Wait()
	if n := l.Syncs(); n == 0 || n >= 1000 {
		t.Errorf("%d syncs for 1000 concurrent records, want 1 to 999", n)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := l.Append([]byte("x")); !errors.Is(err, ErrClosed) {
		t.Fatalf("append after Close: got %v, want ErrClosed", err)
	}
	l, c := openLog(t, dir)
	defer l.Close()
	next := map[string]int{}
	for _, r := range c.Records {
		var g, i int
		fmt.Sscanf(string(r), "%d-%d", &g, &i)
		key := fmt.Sprint(g)
		if i != next[key] {
			t.Fatalf("writer %d: got record %d, want %d", g, i, next[key])
		}
		next[key]++
	}
	if len(c.Records) != 1000 {
		t.Fatalf("got %d records, want 1000", len(c.Records))
	}
	if err := l.Append(make([]byte, maxRecordSize+1)); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("got %v, want ErrTooBig", err)
	}
}

func TestOpenRejectsUnknownFormatAndMissingFolder(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, Dir(dir))
	l.Append([]byte("a"))
	l.Close()
	file := filepath.Join(dir, checkpointName)
	data, _ := os.ReadFile(file)
	for slot := range 2 {
		b := data[slot*slotSize:]
		if len(b) >= checkpointSize {
			b[24] = 9
			updateChecksum(b)
		}
	}
	os.WriteFile(file, data, 0o600)
	if _, _, err := Open(Dir(dir)); !errors.Is(err, ErrFormat) {
		t.Fatalf("format version 9: got %v, want ErrFormat", err)
	}
	if _, _, err := Open(Dir(filepath.Join(dir, "none"))); err == nil {
		t.Fatal("opened a store in a missing folder")
	}
}

func FuzzInspect(f *testing.F) {
	d := newMemDir()
	workload(f, d)
	names, _ := d.List()
	f.Add(d.files[names[0]].data, d.files[checkpointName].data, names[0])
	f.Fuzz(func(t *testing.T, segment, checkpoint []byte, name string) {
		bad := newMemDir()
		bad.files[checkpointName] = &memFile{checkpoint}
		if name != checkpointName {
			bad.files[name] = &memFile{segment}
		}
		c, err := Inspect(bad)
		if err == nil && c.Last() < c.Acked {
			t.Fatalf("an acknowledged record is missing without an error: %+v", c)
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	l, _ := openLog(b, Dir(b.TempDir()))
	defer l.Close()
	r := make([]byte, 150)
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := l.Append(r); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(l.Syncs())/float64(b.N), "syncs/record")
}

// BenchmarkPaced appends at a steady rate to one log and to two copies of it in parallel. It measures how long a record
// takes to become durable, and the number of syncs per record.
func BenchmarkPaced(b *testing.B) {
	for _, rate := range []int{33, 1000} {
		for _, copies := range []int{1, 2} {
			b.Run(fmt.Sprintf("%d-a-second/copies-%d", rate, copies), func(b *testing.B) {
				var logs []*Log
				for range copies {
					l, _ := openLog(b, Dir(b.TempDir()))
					defer l.Close()
					logs = append(logs, l)
				}
				r := make([]byte, 150)
				latency := make([]time.Duration, b.N)
				var wg sync.WaitGroup
				tick := time.NewTicker(time.Second / time.Duration(rate))
				defer tick.Stop()
				for i := range b.N {
					<-tick.C
					wg.Add(1)
					go func() {
						defer wg.Done()
						began := time.Now()
						var done []<-chan error
						for _, l := range logs {
							done = append(done, l.AppendAsync(r))
						}
						for _, d := range done {
							if err := <-d; err != nil {
								b.Error(err)
							}
						}
						latency[i] = time.Since(began)
					}()
				}
				wg.Wait()
				slices.Sort(latency)
				b.ReportMetric(float64(logs[0].Syncs())/float64(b.N), "groups/record")
				b.ReportMetric(float64(latency[b.N/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(latency[b.N*99/100].Microseconds()), "p99-us")
			})
		}
	}
}
