package store

import (
	"os"
	"path/filepath"
	"sort"
)

// Files is the folder that a store lives in. The operating system's is Folder; tests bring one that loses
// what a crash would lose. A file's writes are durable once its Sync returned, a name's coming, change or
// removal once SyncNames did.
type Files interface {
	Read(name string) ([]byte, error) // os.ErrNotExist where there is none
	Names() ([]string, error)         // sorted
	Open(name string) (File, error)   // for writing, made where there is none
	Rename(from, to string) error
	Remove(name string) error
	SyncNames() error
}

// File is a file open for writing.
type File interface {
	WriteAt(b []byte, at int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Folder is a folder of the operating system.
type Folder string

func (f Folder) path(name string) string { return filepath.Join(string(f), name) }

// Read returns a file's bytes.
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// Names lists the folder's files.
func (f Folder) Names() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Open opens a file for writing.
func (f Folder) Open(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_WRONLY, 0o600)
}

// Rename renames a file.
func (f Folder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// Remove removes a file.
func (f Folder) Remove(name string) error { return os.Remove(f.path(name)) }

// SyncNames makes the folder's names durable.
func (f Folder) SyncNames() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
