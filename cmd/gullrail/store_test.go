package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gullrail/store"
)

// Records of three plays, of which "b" is the last allocated.
var storedRecords = []string{
	`{"kind":"allocated","play":"a","epoch":1,"try":1,"product":"paid","title":"t","viewer":"v","node":"n0","rung":1,"top":2}`,
	`{"kind":"started","play":"a"}`,
	`{"kind":"allocated","play":"c","epoch":1,"try":1,"product":"paid","title":"t","viewer":"w","node":"n0","rung":1,"top":2}`,
	`{"kind":"allocated","play":"b","epoch":1,"try":1,"product":"safe","title":"t","viewer":"u","node":"n1","top":2}`,
}

// segmentName is the name of the segment file of a store that was never compacted.
const segmentName = "log-0000000000000001"

// recordOffset returns the offset of a record, counted from 0, in the segment of storedRecords. A frame has a header of 16 bytes.
func recordOffset(i int) int {
	offset := 0
	for _, r := range storedRecords[:i] {
		offset += 16 + len(r)
	}
	return offset
}

// newStore writes storedRecords to the folder "plays" of a new folder, which it returns.
func newStore(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	plays := filepath.Join(dir, "plays")
	if err := os.Mkdir(plays, 0o700); err != nil {
		t.Fatal(err)
	}
	log, _, err := store.Open(store.Dir(plays))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range storedRecords {
		if err := log.Append([]byte(r)); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Operators' tools read the standard output of the store commands: it is compared letter for letter.
func TestStoreCommandsPrintWhatOperatorsToolsRead(t *testing.T) {
	bin := buildProgram(t)
	third, fourth, size := recordOffset(2), recordOffset(3), recordOffset(4)
	allRecords := strings.Join(storedRecords, "\n") + "\n"
	firstTwo := strings.Join(storedRecords[:2], "\n") + "\n"
	damaged := fmt.Sprintf("plays: before the damage: 2 records, %d bytes\n", third)
	// gap is the output of a salvage that misses records from the third on, and recovers the others.
	gap := func(to, missing int, cause string) string {
		return fmt.Sprintf("%s: bytes %d to %d: %d records missing: %s\nnew: %d records found, at least %d missing, %d plays open\n",
			segmentName, third, to, missing, cause, 4-missing, missing, 3-missing)
	}
	for name, test := range map[string]struct {
		damage               func(segment []byte) []byte // changes the segment; nil keeps the store as it is
		exit                 int                         // of check and dump
		check, dump, salvage string
	}{
		"whole": {nil, 0, fmt.Sprintf("plays: whole: segment 1, 4 records, %d bytes, the last acknowledged is number 4, 3 plays open\n", size),
			allRecords, "new: 4 records found, at least 0 missing, 3 plays open\n"},
		"changed byte": {func(s []byte) []byte { s[third+20] ^= 1; return s }, 1,
			damaged, firstTwo, gap(fourth, 1, "a record's checksum is wrong")},
		"length": {func(s []byte) []byte { binary.LittleEndian.PutUint32(s[third:], 1<<31); return s }, 1,
			damaged, firstTwo, gap(fourth, 1, "a record's length is out of range")},
		"record cut out": {func(s []byte) []byte { return append(s[:third], s[fourth:]...) }, 1,
			damaged, firstTwo, gap(third, 1, "record 4 in place of 3")},
		"cut at a record's end": {func(s []byte) []byte { return s[:third] }, 1,
			damaged, firstTwo, gap(third, 2, "the file ends")},
		"cut in a header": {func(s []byte) []byte { return s[:third+7] }, 1,
			damaged, firstTwo, gap(third+7, 2, "the file ends within a record's head")},
		"cut in a record": {func(s []byte) []byte { return s[:third+20] }, 1,
			damaged, firstTwo, gap(third+20, 2, "the file ends within a record")},
	} {
		t.Run(name, func(t *testing.T) {
			dir := newStore(t)
			if test.damage != nil {
				file := filepath.Join(dir, "plays", segmentName)
				segment, err := os.ReadFile(file)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(file, test.damage(segment), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			expectStoreOutput(t, bin, dir, test.exit, test.check, "check", "plays")
			expectStoreOutput(t, bin, dir, test.exit, test.dump, "dump", "plays")
			expectStoreOutput(t, bin, dir, 0, test.salvage, "salvage", "plays", "new")
		})
	}

	t.Run("no segment", func(t *testing.T) {
		dir := newStore(t)
		if err := os.Remove(filepath.Join(dir, "plays", segmentName)); err != nil {
			t.Fatal(err)
		}
		expectStoreOutput(t, bin, dir, 1, "", "check", "plays")
		expectStoreOutput(t, bin, dir, 0, segmentName+": bytes 0 to 0: 4 records missing: the segment is missing\n"+
			"new: 0 records found, at least 4 missing, 0 plays open\n", "salvage", "plays", "new")
	})
	t.Run("no mark", func(t *testing.T) {
		dir := newStore(t)
		if err := os.Remove(filepath.Join(dir, "plays", "mark")); err != nil {
			t.Fatal(err)
		}
		expectStoreOutput(t, bin, dir, 1, "", "check", "plays")
		expectStoreOutput(t, bin, dir, 0, "mark: bytes 0 to 0: 1 records missing: no slot of it holds: how far the log was acknowledged is not known\n"+
			"new: 4 records found, at least 1 missing, 3 plays open\n", "salvage", "plays", "new")
	})
	t.Run("compact", func(t *testing.T) {
		dir := newStore(t)
		expectStoreOutput(t, bin, dir, 0, fmt.Sprintf("plays: 3 records of 4 kept, %d bytes of %d\n", size-(third-recordOffset(1)), size), "compact", "plays")
	})
}

// expectStoreOutput runs a store command in a folder and compares its standard output and exit code. The program prints folders
// as absolute paths; dir is removed from them.
func expectStoreOutput(t *testing.T, bin, dir string, exit int, want string, args ...string) {
	t.Helper()
	cmd := exec.Command(bin, append([]string{"store"}, args...)...)
	cmd.Dir = dir
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	if got := strings.ReplaceAll(stdout.String(), dir+"/", ""); got != want || cmd.ProcessState.ExitCode() != exit {
		t.Errorf("store %s: exit code %d, want %d\n got %q\nwant %q\n%s", strings.Join(args, " "), cmd.ProcessState.ExitCode(), exit, got, want, &stderr)
	}
}
