package frontend

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestOneProcessForAStateFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	a, err := LockFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := LockFolder(dir); !errors.Is(err, ErrLocked) {
		t.Fatalf("a second one: %v", err)
	}
	a.Release()
	b, err := LockFolder(dir)
	if err != nil || b.Epoch <= a.Epoch {
		t.Fatalf("after it let go: %+v %v", b, err)
	}
	b.Release()
}

func TestEpochOnlyGrowsWhateverTheClockSays(t *testing.T) {
	file := filepath.Join(t.TempDir(), "epoch")
	future := time.Now().Add(24 * time.Hour).UnixNano()
	if _, err := nextEpoch(file, future); err != nil {
		t.Fatal(err)
	}
	if e, err := nextEpoch(file, time.Now().UnixNano()); err != nil || e != future+1 {
		t.Fatalf("the clock was set back: %d, %v", e, err)
	}
}

func TestDamagedEpochIsToldAndNotGuessed(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "epoch"), []byte("12x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LockFolder(dir)
	if err == nil || !strings.Contains(err.Error(), "epoch:1: not an epoch") {
		t.Fatalf("got %v", err)
	}
	if _, err := LockFolder(filepath.Join(dir, "epoch")); err == nil {
		t.Fatal("a file was taken for a folder")
	}
}
