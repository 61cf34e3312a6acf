package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"slices"
	"sort"
)

// memDir is an in-memory directory that records every operation. stateAfterCrash rebuilds it from the operations as a
// crash would leave it.
type memDir struct {
	files       map[string]*memFile
	ops         []op
	injectError func(o op) error // if set, called before each operation; an error fails the operation
}

type memFile struct{ data []byte }

type opKind int

const (
	opWrite opKind = iota
	opTruncate
	opSync
	opCreate
	opRename
	opRemove
	opSyncDir
	opAck // not a file operation: notes that a call of Append or Compact was acknowledged
)

type op struct {
	kind    opKind
	name    string
	newName string
	offset  int64
	data    []byte
}

func newMemDir() *memDir { return &memDir{files: map[string]*memFile{}} }

func (d *memDir) apply(o op) error {
	if d.injectError != nil {
		if err := d.injectError(o); err != nil {
			return err
		}
	}
	d.ops = append(d.ops, o)
	return nil
}

func (d *memDir) Read(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fmt.Errorf("%s: %w", name, os.ErrNotExist)
}

func (d *memDir) List() (names []string, _ error) {
	for n := range d.files {
		names = append(names, n)
	}
	sort.Strings(names)
	return names, nil
}

func (d *memDir) Open(name string) (File, error) {
	f := d.files[name]
	if f == nil {
		if err := d.apply(op{kind: opCreate, name: name}); err != nil {
			return nil, err
		}
		f = &memFile{}
		d.files[name] = f
	}
	return &memHandle{d, name, f}, nil
}

func (d *memDir) Rename(from, to string) error {
	if err := d.apply(op{kind: opRename, name: from, newName: to}); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *memDir) Remove(name string) error {
	if err := d.apply(op{kind: opRemove, name: name}); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *memDir) SyncDir() error { return d.apply(op{kind: opSyncDir}) }

type memHandle struct {
	dir  *memDir
	name string
	file *memFile
}

// current returns the present name of the file, which may have been renamed since it was opened.
func (h *memHandle) current() string {
	for n, f := range h.dir.files {
		if f == h.file {
			return n
		}
	}
	return h.name
}

func writeBytes(data []byte, b []byte, at int64) []byte {
	if need := int(at) + len(b); need > len(data) {
		data = append(data, make([]byte, need-len(data))...)
	}
	copy(data[at:], b)
	return data
}

func (h *memHandle) WriteAt(b []byte, at int64) (int, error) {
	if err := h.dir.apply(op{kind: opWrite, name: h.current(), offset: at, data: slices.Clone(b)}); err != nil {
		return 0, err
	}
	h.file.data = writeBytes(h.file.data, b, at)
	return len(b), nil
}

func (h *memHandle) Truncate(size int64) error {
	if err := h.dir.apply(op{kind: opTruncate, name: h.current(), offset: size}); err != nil {
		return err
	}
	for int64(len(h.file.data)) < size {
		h.file.data = append(h.file.data, 0)
	}
	h.file.data = h.file.data[:size]
	return nil
}

func (h *memHandle) Sync() error  { return h.dir.apply(op{kind: opSync, name: h.current()}) }
func (h *memHandle) Close() error { return nil }

// crashMode says which writes that were not synced survive a crash.
type crashMode int

const (
	syncedOnly          crashMode = iota // none
	everythingWritten                    // all
	tornWrite                            // all but the end of the last write
	zeroFilledWrite                      // the same, with zeros in place of the end of the last write
	namesWithSyncedData                  // all changes of names, but no data
)

// stateAfterCrash returns the directory as a crash after n operations leaves it. With tornWrite and zeroFilledWrite the
// last operation is a write of which only the first cut bytes survive.
func stateAfterCrash(ops []op, n, cut int, mode crashMode) *memDir {
	type file struct{ synced, written []byte }
	current, durable := map[string]*file{}, map[string]*file{}
	for i, o := range ops[:n] {
		last := i == n-1
		switch o.kind {
		case opCreate:
			current[o.name] = &file{}
		case opWrite:
			b := o.data
			if last && (mode == tornWrite || mode == zeroFilledWrite) {
				b = b[:cut]
				if mode == zeroFilledWrite {
					b = append(slices.Clone(b), make([]byte, len(o.data)-cut)...)
				}
			}
			current[o.name].written = writeBytes(current[o.name].written, b, o.offset)
		case opTruncate:
			f := current[o.name]
			for int64(len(f.written)) < o.offset {
				f.written = append(f.written, 0)
			}
			f.written = f.written[:o.offset]
		case opSync:
			current[o.name].synced = slices.Clone(current[o.name].written)
		case opRename:
			current[o.newName] = current[o.name]
			delete(current, o.name)
		case opRemove:
			delete(current, o.name)
		case opSyncDir:
			durable = map[string]*file{}
			for name, f := range current {
				durable[name] = f
			}
		}
	}
	dir := durable
	if mode != syncedOnly {
		dir = current
	}
	d := newMemDir()
	for name, f := range dir {
		data := f.written
		if mode == syncedOnly || mode == namesWithSyncedData {
			data = f.synced
		}
		d.files[name] = &memFile{slices.Clone(data)}
	}
	return d
}

// updateChecksum recomputes the checksum of an encoded checkpoint.
func updateChecksum(b []byte) {
	binary.LittleEndian.PutUint32(b[28:], crc32.Checksum(b[:28], castagnoli))
}
