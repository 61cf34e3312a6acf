package store

import (
	"os"
	"path/filepath"
	"sort"
)

// Files is the directory of a store. Dir implements it for the operating system; tests use one that simulates
// crashes. Writes to a file are durable once its Sync has returned, and creating, renaming or removing a file once
// SyncDir has.
type Files interface {
	Read(name string) ([]byte, error) // os.ErrNotExist if there is no such file
	List() ([]string, error)          // file names, sorted
	Open(name string) (File, error)   // opens for writing, creating the file if needed
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

// File is a file open for writing.
type File interface {
	WriteAt(b []byte, offset int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Dir is the path of a directory of the operating system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Read returns the contents of a file.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// List returns the names of the files in the directory, without those of subdirectories.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
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

// Open opens a file for writing and creates it if needed.
func (d Dir) Open(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_WRONLY, 0o600)
}

// Rename renames a file.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir syncs the directory.
func (d Dir) SyncDir() error {
	dir, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
