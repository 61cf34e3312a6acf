package frontend

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// ErrLocked means that another process has locked the state folder.
var ErrLocked = errors.New("another front runs on this state folder")

// FolderLock is the lock on a state folder that a front holds while it runs.
type FolderLock struct {
	Epoch int64 // greater than that of any earlier run, even if the wall clock was set back
	lock  *os.File
}

// LockFolder locks a state folder for this process, creating the folder if needed, and determines the epoch of this run.
// The kernel releases the lock when the process ends, even if it is killed. If folder is empty, nothing is locked and the
// epoch is the wall clock time.
func LockFolder(folder string) (*FolderLock, error) {
	now := time.Now().UnixNano()
	if folder == "" {
		return &FolderLock{Epoch: now}, nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	lock, err := lockFile(folder)
	if err != nil {
		return nil, err
	}
	l := &FolderLock{lock: lock}
	if l.Epoch, err = nextEpoch(filepath.Join(folder, "epoch"), now); err != nil {
		l.Release()
		return nil, err
	}
	return l, nil
}

// lockFile opens and locks the lock file of a state folder. The lock lasts until the file is closed.
func lockFile(folder string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("state folder %s: %w", folder, ErrLocked)
		}
		return nil, fmt.Errorf("state folder: %w", err)
	}
	return lock, nil
}

// nextEpoch reads the epoch of the previous run from a file, and writes and syncs the next before returning it.
func nextEpoch(file string, now int64) (int64, error) {
	data, err := os.ReadFile(file)
	last := int64(0)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return 0, fmt.Errorf("state folder: %w", err)
	default:
		if last, err = strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err != nil || last <= 0 {
			return 0, fmt.Errorf("%s:1: not an epoch: %.40q", file, data)
		}
	}
	epoch := max(now, last+1)
	tmp, err := os.OpenFile(file+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, fmt.Errorf("state folder: %w", err)
	}
	_, err = fmt.Fprintln(tmp, epoch)
	if err == nil {
		err = tmp.Sync()
	}
	if e := tmp.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(file+".new", file)
	}
	if err == nil {
		err = syncDir(filepath.Dir(file))
	}
	if err != nil {
		return 0, fmt.Errorf("state folder: %w", err)
	}
	return epoch, nil
}

func syncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Release unlocks the folder.
func (l *FolderLock) Release() {
	if l.lock != nil {
		l.lock.Close()
	}
}
