package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"slices"
	"sort"
)

// disk is a folder in memory that records every operation, and can be rebuilt as a crash would leave it.
type disk struct {
	files map[string]*content
	ops   []op
	fail  func(o op) error // asked before each operation
}

type content struct{ data []byte }

type kind int

const (
	opWrite kind = iota
	opTruncate
	opSync
	opCreate
	opRename
	opRemove
	opSyncNames
	opAck // a mark of the test's: an Append returned
)

type op struct {
	kind kind
	name string
	to   string
	at   int64
	data []byte
}

func newDisk() *disk { return &disk{files: map[string]*content{}} }

func (d *disk) do(o op) error {
	if d.fail != nil {
		if err := d.fail(o); err != nil {
			return err
		}
	}
	d.ops = append(d.ops, o)
	return nil
}

func (d *disk) Read(name string) ([]byte, error) {
	if f := d.files[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fmt.Errorf("%s: %w", name, os.ErrNotExist)
}

func (d *disk) Names() (names []string, _ error) {
	for n := range d.files {
		names = append(names, n)
	}
	sort.Strings(names)
	return names, nil
}

func (d *disk) Open(name string) (File, error) {
	f := d.files[name]
	if f == nil {
		if err := d.do(op{kind: opCreate, name: name}); err != nil {
			return nil, err
		}
		f = &content{}
		d.files[name] = f
	}
	return &handle{d, name, f}, nil
}

func (d *disk) Rename(from, to string) error {
	if err := d.do(op{kind: opRename, name: from, to: to}); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *disk) Remove(name string) error {
	if err := d.do(op{kind: opRemove, name: name}); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *disk) SyncNames() error { return d.do(op{kind: opSyncNames}) }

type handle struct {
	d    *disk
	name string
	f    *content
}

// current is the file's name now: it may have been renamed since it was opened.
func (h *handle) current() string {
	for n, f := range h.d.files {
		if f == h.f {
			return n
		}
	}
	return h.name
}

func put(data []byte, b []byte, at int64) []byte {
	if need := int(at) + len(b); need > len(data) {
		data = append(data, make([]byte, need-len(data))...)
	}
	copy(data[at:], b)
	return data
}

func (h *handle) WriteAt(b []byte, at int64) (int, error) {
	if err := h.d.do(op{kind: opWrite, name: h.current(), at: at, data: slices.Clone(b)}); err != nil {
		return 0, err
	}
	h.f.data = put(h.f.data, b, at)
	return len(b), nil
}

func (h *handle) Truncate(size int64) error {
	if err := h.d.do(op{kind: opTruncate, name: h.current(), at: size}); err != nil {
		return err
	}
	for int64(len(h.f.data)) < size {
		h.f.data = append(h.f.data, 0)
	}
	h.f.data = h.f.data[:size]
	return nil
}

func (h *handle) Sync() error  { return h.d.do(op{kind: opSync, name: h.current()}) }
func (h *handle) Close() error { return nil }

// how much of what was not synced a crash leaves.
type loss int

const (
	loseAll    loss = iota // only what was synced
	keepAll                // all that was written so far
	torn                   // of the last write a part, after all before it
	zeroed                 // of the last write a part, and zeros in the rest's place
	namesFirst             // names as they are, contents only as synced
)

// crash is the disk after so many operations, with the last one cut after so many bytes where it is a write.
func crash(ops []op, n, cut int, l loss) *disk {
	type file struct{ durable, now []byte }
	now, durable := map[string]*file{}, map[string]*file{}
	for i, o := range ops[:n] {
		last := i == n-1
		switch o.kind {
		case opCreate:
			now[o.name] = &file{}
		case opWrite:
			b := o.data
			if last && (l == torn || l == zeroed) {
				b = b[:cut]
				if l == zeroed {
					b = append(slices.Clone(b), make([]byte, len(o.data)-cut)...)
				}
			}
			now[o.name].now = put(now[o.name].now, b, o.at)
		case opTruncate:
			f := now[o.name]
			for int64(len(f.now)) < o.at {
				f.now = append(f.now, 0)
			}
			f.now = f.now[:o.at]
		case opSync:
			now[o.name].durable = slices.Clone(now[o.name].now)
		case opRename:
			now[o.to] = now[o.name]
			delete(now, o.name)
		case opRemove:
			delete(now, o.name)
		case opSyncNames:
			durable = map[string]*file{}
			for name, f := range now {
				durable[name] = f
			}
		}
	}
	names := durable
	if l != loseAll {
		names = now
	}
	d := newDisk()
	for name, f := range names {
		data := f.now
		if l == loseAll || l == namesFirst {
			data = f.durable
		}
		d.files[name] = &content{slices.Clone(data)}
	}
	return d
}

// resum mends the checksum of a mark's slot.
func resum(b []byte) {
	binary.LittleEndian.PutUint32(b[28:], crc32.Checksum(b[:28], table))
}
