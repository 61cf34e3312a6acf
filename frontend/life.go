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

// ErrLocked says that another process runs on the same state folder.
var ErrLocked = errors.New("another front runs on this state folder")

// FolderLock is a front's hold on its state folder, for one life.
type FolderLock struct {
	Epoch int64 // greater than that of any life before, whatever became of the wall clock
	lock  *os.File
}

// LockFolder takes a state folder for this process and begins a life. The kernel lets go of the folder
// when the process ends, however it ends. Without a folder there is no claim on anything, and the
// epoch is the wall clock's.
func LockFolder(folder string) (*FolderLock, error) {
	now := time.Now().UnixNano()
	if folder == "" {
		return &FolderLock{Epoch: now}, nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	lock, err := hold(folder)
	if err != nil {
		return nil, err
	}
	c := &FolderLock{lock: lock}
	if c.Epoch, err = nextEpoch(filepath.Join(folder, "epoch"), now); err != nil {
		c.Release()
		return nil, err
	}
	return c, nil
}

// hold locks a state folder for as long as the file is open.
func hold(folder string) (*os.File, error) {
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

// nextEpoch reads the last life's epoch, writes the next and makes it durable before it is used.
func nextEpoch(file string, now int64) (int64, error) {
	text, err := os.ReadFile(file)
	last := int64(0)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return 0, fmt.Errorf("state folder: %w", err)
	default:
		if last, err = strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err != nil || last <= 0 {
			return 0, fmt.Errorf("%s:1: not an epoch: %.40q", file, text)
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
		err = syncFolder(filepath.Dir(file))
	}
	if err != nil {
		return 0, fmt.Errorf("state folder: %w", err)
	}
	return epoch, nil
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Release lets go of the folder.
func (l *FolderLock) Release() {
	if l.lock != nil {
		l.lock.Close()
	}
}
