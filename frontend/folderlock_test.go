package frontend

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestStateFolderIsLockedByOneProcess(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	a, err := LockFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := LockFolder(dir); !errors.Is(err, ErrLocked) {
		t.Fatalf("locking twice: got %v, want ErrLocked", err)
	}
	a.Release()
	b, err := LockFolder(dir)
	if err != nil || b.Epoch <= a.Epoch {
		t.Fatalf("locking after release: %+v, %v, want a greater epoch", b, err)
	}
	b.Release()
}

func TestEpochGrowsWhenClockIsSetBack(t *testing.T) {
	file := filepath.Join(t.TempDir(), "epoch")
	future := time.Now().Add(24 * time.Hour).UnixNano()
	if _, err := nextEpoch(file, future); err != nil {
		t.Fatal(err)
	}
	if e, err := nextEpoch(file, time.Now().UnixNano()); err != nil || e != future+1 {
		t.Fatalf("after the clock was set back: got epoch %d, %v", e, err)
	}
}

func TestInvalidEpochFileIsAnError(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "epoch"), []byte("12x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LockFolder(dir)
	if err == nil || !strings.Contains(err.Error(), "epoch:1: not an epoch") {
		t.Fatalf("got %v, want an error with the file and line", err)
	}
	if _, err := LockFolder(filepath.Join(dir, "epoch")); err == nil {
		t.Fatal("locked a file in place of a folder")
	}
}
