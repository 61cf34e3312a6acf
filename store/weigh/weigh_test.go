// Package weigh tests third-party embedded stores against the guarantees of package store, as a comparison. It is a
// separate module, so that the main module doesn't depend on them. Run it with: cd store/weigh && go test -v
package weigh

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"go.etcd.io/bbolt"
)

const recordCount = 40

func recordKey(i int) []byte { return fmt.Appendf(nil, "%08d", i) }
func recordValue(i int) []byte {
	return fmt.Appendf(nil, "record %d of a play, of about the usual length of one hundred bytes or so, as JSON", i)
}

// tally counts the outcomes of opening damaged stores.
type tally struct{ intact, reported, undetected, crashed int }

func (v tally) String() string {
	return fmt.Sprintf("intact %d, reported as damaged %d, opened with acknowledged records missing or changed %d, process crashed %d",
		v.intact, v.reported, v.undetected, v.crashed)
}

// TestMain makes the test binary usable as a child process that opens a damaged bbolt file, as bbolt may crash with a
// fault in its memory map.
func TestMain(m *testing.M) {
	if file := os.Getenv("WEIGH_BOLT"); file != "" {
		fmt.Print(readBolt(file))
		return
	}
	os.Exit(m.Run())
}

// ---- pebble ----

func pebbleOptions(fs vfs.FS) *pebble.Options {
	return &pebble.Options{FS: fs, Logger: noLog{}, MemTableSize: 64 << 10}
}

type noLog struct{}

func (noLog) Infof(string, ...any)  {}
func (noLog) Errorf(string, ...any) {}
func (noLog) Fatalf(f string, a ...any) {
	panic(fmt.Sprintf(f, a...))
}

// readPebble returns the number of leading records that are intact, -1 after a panic, and the error that pebble reports.
func readPebble(fs vfs.FS) (n int, err error) {
	defer func() {
		if r := recover(); r != nil {
			n, err = -1, fmt.Errorf("panic: %v", r)
		}
	}()
	db, err := pebble.Open("db", pebbleOptions(fs))
	if err != nil {
		return 0, err
	}
	defer db.Close()
	for ; n < recordCount; n++ {
		v, closer, err := db.Get(recordKey(n))
		if err == pebble.ErrNotFound {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		same := string(v) == string(recordValue(n))
		closer.Close()
		if !same {
			return n, nil
		}
	}
	return n, nil
}

func TestPebbleCrashedAfterEveryRecord(t *testing.T) {
	fs := vfs.NewCrashableMem()
	db, err := pebble.Open("db", pebbleOptions(fs))
	if err != nil {
		t.Fatal(err)
	}
	lost := 0
	for i := range recordCount {
		if err := db.Set(recordKey(i), recordValue(i), pebble.Sync); err != nil {
			t.Fatal(err)
		}
		for _, percent := range []int{0, 50, 100} { // unsynced data that survives
			if n, err := readPebble(fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: rand.New(rand.NewPCG(1, uint64(i)))})); err != nil || n < i+1 {
				lost++
			}
		}
	}
	db.Close()
	t.Logf("pebble: %d simulated crashes, %d lost an acknowledged record", 3*recordCount, lost)
}

func TestPebbleTruncatedAndFlipped(t *testing.T) {
	dir := t.TempDir()
	db, err := pebble.Open(filepath.Join(dir, "db"), pebbleOptions(vfs.Default))
	if err != nil {
		t.Fatal(err)
	}
	for i := range recordCount {
		if err := db.Set(recordKey(i), recordValue(i), pebble.Sync); err != nil {
			t.Fatal(err)
		}
	}
	// Copy the files before closing the database, as a killed process would leave them: Close flushes the memtable.
	files := map[string][]byte{}
	entries, _ := os.ReadDir(filepath.Join(dir, "db"))
	for _, e := range entries {
		files[e.Name()], _ = os.ReadFile(filepath.Join(dir, "db", e.Name()))
	}
	db.Close()
	copyWith := func(damaged string, data []byte) vfs.FS {
		fs := vfs.NewMem()
		fs.MkdirAll("db", 0o755)
		for name, contents := range files {
			if name == damaged {
				contents = data
			}
			if name == "LOCK" {
				continue
			}
			f, err := fs.Create("db/"+name, vfs.WriteCategoryUnspecified)
			if err != nil {
				t.Fatal(err)
			}
			f.Write(contents)
			f.Close()
		}
		return fs
	}
	count := func(v *tally, fs vfs.FS) {
		switch n, err := readPebble(fs); {
		case n < 0:
			v.crashed++
		case err != nil:
			v.reported++
		case n == recordCount:
			v.intact++
		default:
			v.undetected++
		}
	}
	for name, original := range files {
		if name == "LOCK" {
			continue
		}
		var cut, flip tally
		step := max(1, len(original)/400)
		for offset := 0; offset < len(original); offset += step {
			count(&cut, copyWith(name, original[:offset]))
			b := append([]byte{}, original...)
			b[offset] ^= 0x40
			count(&flip, copyWith(name, b))
		}
		t.Logf("pebble file %s, %d bytes, step %d: truncated: %v; bit flipped: %v", name, len(original), step, cut, flip)
	}
}

// ---- bbolt ----

func readBolt(file string) string {
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		return "reported"
	}
	defer db.Close()
	n := 0
	err = db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte("r"))
		for ; b != nil && n < recordCount; n++ {
			if string(b.Get(recordKey(n))) != string(recordValue(n)) {
				return nil
			}
		}
		return nil
	})
	switch {
	case err != nil:
		return "reported"
	case n == recordCount:
		return "intact"
	}
	return "undetected"
}

func TestBoltTruncatedAndFlipped(t *testing.T) {
	file := filepath.Join(t.TempDir(), "db")
	db, err := bbolt.Open(file, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range recordCount {
		if err := db.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists([]byte("r"))
			if err != nil {
				return err
			}
			return b.Put(recordKey(i), recordValue(i))
		}); err != nil {
			t.Fatal(err)
		}
	}
	stats := db.Stats().TxStats
	t.Logf("bbolt: allocated %d bytes of pages for %d records of %d bytes", stats.GetPageAlloc(), recordCount, len(recordKey(0))+len(recordValue(0)))
	db.Close()
	original, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var cut, flip tally
	count := func(v *tally, data []byte) {
		damaged := filepath.Join(t.TempDir(), "damaged")
		if err := os.WriteFile(damaged, data, 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "WEIGH_BOLT="+damaged)
		out, _ := cmd.Output()
		switch strings.TrimSpace(string(out)) {
		case "intact":
			v.intact++
		case "reported":
			v.reported++
		case "undetected":
			v.undetected++
		default:
			v.crashed++
		}
	}
	step := max(1, len(original)/500)
	for offset := 0; offset < len(original); offset += step {
		count(&cut, original[:offset])
		b := append([]byte{}, original...)
		b[offset] ^= 0x40
		count(&flip, b)
	}
	t.Logf("bbolt, %d bytes, step %d: truncated: %v; bit flipped: %v", len(original), step, cut, flip)
}
