// Package store is a crash-safe, append-only record log. It consists of segment files of checksummed frames, of
// which one is current, and a checkpoint in the file "mark" that holds the number of the last acknowledged record.
// Compaction replaces the current segment.
//
// Guarantees: a record whose Append returned nil survives any crash that loses unsynced writes, including torn or
// zero-filled tails. Records are returned in order and without gaps. If files were truncated or altered otherwise, so
// that an acknowledged record can't be read, Open returns a *DamageError with the position and never returns the remaining
// records as if they were complete. After a failed write or sync nothing more is acknowledged, as it is unknown which
// pages the kernel dropped.
//
// Invariants: a segment holds frames with consecutive numbers. The checkpoint names the current segment and the
// number of the last acknowledged record. It is written alternately to two slots, so that a torn write leaves the
// previous checkpoint intact. A segment becomes current only when a checkpoint names it; other segments are
// leftovers of an interrupted compaction and are removed.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

const (
	headerSize     = 4 + 4 + 8         // length, checksum, number
	maxRecordSize  = 1 << 20           // bytes of one record
	checkpointSize = 8 + 8 + 8 + 4 + 4 // segment, its first record number, last acknowledged number, format version, checksum
	slotSize       = 512               // bytes of a checkpoint slot: one sector each, so that a torn write damages one slot only
	formatVersion  = 1
	maxQueued      = 4096 // capacity of the queue of pending appends, and entries per write at most
	checkpointName = "mark"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors to test for with errors.Is.
var (
	ErrBroken    = errors.New("store: a write or sync failed; nothing more is acknowledged")
	ErrClosed    = errors.New("store: closed")
	ErrDamaged   = errors.New("store: damaged")
	ErrFormat    = errors.New("store: unsupported format version")
	ErrTooLarge  = errors.New("store: record too large")
	ErrQueueFull = errors.New("store: write queue is full; the disk can't keep up")
)

// DamageError is an error that gives the position from which acknowledged records can't be read.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("store: damaged: %s at byte %d: %s", d.File, d.Offset, d.Reason)
}

// Unwrap makes errors.Is(d, ErrDamaged) true.
func (d *DamageError) Unwrap() error { return ErrDamaged }

func segmentName(n uint64) string { return fmt.Sprintf("log-%016d", n) }

// Contents is the data read from a store.
type Contents struct {
	Segment uint64
	First   uint64 // number of the first record, from 1
	Records [][]byte
	Acked   uint64 // number of the last record that the checkpoint lists as acknowledged
	Bytes   int64  // length of the valid part of the segment
	slot    int    // slot of the current checkpoint
}

// Last returns the number of the last record, First-1 if there are none.
func (c *Contents) Last() uint64 { return c.First + uint64(len(c.Records)) - 1 }

// Inspect reads a store without changing it. If acknowledged records can't be read from the segment, it returns the
// records before that position along with the *DamageError.
func Inspect(files Files) (*Contents, error) {
	checkpoint, err := files.Read(checkpointName)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("store: %w", err)
	}
	c, err := decodeCheckpoint(checkpoint)
	if errors.Is(err, ErrDamaged) {
		if uninitialized, e := isUninitialized(files); e != nil {
			return nil, e
		} else if uninitialized {
			return &Contents{First: 1}, nil
		}
	}
	if err != nil {
		return nil, err
	}
	name := segmentName(c.Segment)
	data, err := files.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, &DamageError{name, 0, "the segment named by the checkpoint is missing"}
	} else if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	offset := int64(0)
	for {
		number, record, size, problem := decodeFrame(data[offset:])
		switch {
		case problem == "" && number != c.Last()+1:
			problem = fmt.Sprintf("record %d follows record %d", number, c.Last())
		}
		if problem != "" {
			if c.Last() < c.Acked {
				return c, &DamageError{name, offset, fmt.Sprintf("%s, and record %d was acknowledged", problem, c.Acked)}
			}
			return c, nil // the remaining bytes were never acknowledged
		}
		c.Records = append(c.Records, record)
		offset += size
		c.Bytes = offset
	}
}

// isUninitialized reports whether the store was never written to, so that no record can have been acknowledged. The
// first checkpoint is durable before the first record is written: a store without one has an empty segment or none.
func isUninitialized(files Files) (bool, error) {
	names, err := files.List()
	if err != nil {
		return false, fmt.Errorf("store: %w", err)
	}
	for _, n := range names {
		if !strings.HasPrefix(n, "log-") {
			continue
		}
		data, err := files.Read(n)
		if err != nil {
			return false, fmt.Errorf("store: %w", err)
		}
		if n != segmentName(1) || len(data) > 0 {
			return false, nil
		}
	}
	return true, nil
}

func decodeCheckpoint(data []byte) (*Contents, error) {
	newest := (*Contents)(nil)
	for slot := range 2 {
		if len(data) < slot*slotSize+checkpointSize {
			continue
		}
		b := data[slot*slotSize:][:checkpointSize]
		if crc32.Checksum(b[:28], castagnoli) != binary.LittleEndian.Uint32(b[28:]) {
			continue
		}
		if v := binary.LittleEndian.Uint32(b[24:]); v != formatVersion {
			return nil, fmt.Errorf("%w: %d, want %d", ErrFormat, v, formatVersion)
		}
		m := &Contents{Segment: binary.LittleEndian.Uint64(b), First: binary.LittleEndian.Uint64(b[8:]),
			Acked: binary.LittleEndian.Uint64(b[16:]), slot: slot}
		if newest == nil || m.Segment > newest.Segment || m.Segment == newest.Segment && m.Acked > newest.Acked {
			newest = m
		}
	}
	if newest == nil || newest.Segment == 0 || newest.First == 0 || newest.Acked+1 < newest.First {
		return nil, &DamageError{checkpointName, 0, "neither slot holds a valid checkpoint"}
	}
	return newest, nil
}

func encodeCheckpoint(segment, first, acked uint64) []byte {
	b := make([]byte, checkpointSize)
	binary.LittleEndian.PutUint64(b, segment)
	binary.LittleEndian.PutUint64(b[8:], first)
	binary.LittleEndian.PutUint64(b[16:], acked)
	binary.LittleEndian.PutUint32(b[24:], formatVersion)
	binary.LittleEndian.PutUint32(b[28:], crc32.Checksum(b[:28], castagnoli))
	return b
}

// decodeFrame decodes the frame at the start of data. Problem is empty if it is valid, and otherwise says what is wrong.
func decodeFrame(data []byte) (number uint64, record []byte, size int64, problem string) {
	if len(data) == 0 {
		return 0, nil, 0, "the file ends"
	}
	if len(data) < headerSize {
		return 0, nil, 0, "the file ends within a record's head"
	}
	n := binary.LittleEndian.Uint32(data)
	if n > maxRecordSize {
		return 0, nil, 0, "a record's length is out of range"
	}
	if len(data) < headerSize+int(n) {
		return 0, nil, 0, "the file ends within a record"
	}
	number, record = binary.LittleEndian.Uint64(data[8:]), data[headerSize:headerSize+int(n)]
	if checksum(data[:4], data[8:headerSize+int(n)]) != binary.LittleEndian.Uint32(data[4:]) || number == 0 {
		return 0, nil, 0, "a record's checksum is wrong"
	}
	return number, record, int64(headerSize) + int64(n), ""
}

func checksum(parts ...[]byte) (c uint32) {
	for _, p := range parts {
		c = crc32.Update(c, castagnoli, p)
	}
	return c
}

// appendFrame appends the frame of a record to out.
func appendFrame(out []byte, number uint64, record []byte) []byte {
	start := len(out)
	out = append(out, make([]byte, headerSize)...)
	out = append(out, record...)
	header := out[start:]
	binary.LittleEndian.PutUint32(header, uint32(len(record)))
	binary.LittleEndian.PutUint64(header[8:], number)
	binary.LittleEndian.PutUint32(header[4:], checksum(header[:4], header[8:]))
	return out
}

// Log is an open store. Its methods may be called by many goroutines.
type Log struct {
	files          Files
	segmentFile    File
	offset         int64 // of the next frame in segmentFile
	checkpointFile File
	slot           int // slot of the current checkpoint
	segment        uint64
	firstNumber    uint64
	nextNumber     uint64
	queue          chan *entry
	done           chan struct{}
	syncs          atomic.Uint64

	mu     sync.RWMutex // held for reading while sending to queue, so that Close doesn't close it meanwhile
	closed bool
}

type entry struct {
	record  []byte
	compact [][]byte // if not nil, a compaction in place of a record: the records of the new segment
	done    chan error
}

// Open opens a store and returns its contents. A damaged store is not opened; the error is then a *DamageError. The caller
// closes the log.
func Open(files Files) (*Log, *Contents, error) {
	c, err := Inspect(files)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{files: files, queue: make(chan *entry, maxQueued), done: make(chan struct{}), slot: c.slot, segment: max(1, c.Segment),
		firstNumber: c.First, nextNumber: c.Last() + 1, offset: c.Bytes}
	if l.segmentFile, err = files.Open(segmentName(l.segment)); err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	if l.checkpointFile, err = files.Open(checkpointName); err != nil {
		l.segmentFile.Close()
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	// Bytes after the last valid record were never acknowledged. They are removed before new records are written.
	err = errors.Join(l.segmentFile.Truncate(c.Bytes), l.segmentFile.Sync())
	if err == nil {
		err = l.writeCheckpoint()
	}
	if err == nil {
		err = files.SyncDir()
	}
	if err == nil {
		err = l.removeStaleSegments()
	}
	if err != nil {
		l.segmentFile.Close()
		l.checkpointFile.Close()
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	c.Segment = l.segment
	go l.run()
	return l, c, nil
}

// writeCheckpoint writes and syncs a checkpoint of the last record to the slot that is not current.
func (l *Log) writeCheckpoint() error {
	slot := 1 - l.slot
	if _, err := l.checkpointFile.WriteAt(encodeCheckpoint(l.segment, l.firstNumber, l.nextNumber-1), int64(slot*slotSize)); err != nil {
		return err
	}
	if err := l.checkpointFile.Sync(); err != nil {
		return err
	}
	l.slot = slot
	return nil
}

// removeStaleSegments removes all segments but the current one.
func (l *Log) removeStaleSegments() error {
	names, err := l.files.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if n != segmentName(l.segment) && strings.HasPrefix(n, "log-") {
			if _, err := strconv.ParseUint(strings.TrimPrefix(strings.TrimSuffix(n, ".new"), "log-"), 10, 64); err == nil {
				if err := l.files.Remove(n); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// Append writes a record and returns once it is durable. Concurrent appends share a sync.
func (l *Log) Append(record []byte) error { return <-l.AppendAsync(record) }

// AppendAsync queues a record and returns a channel that delivers the result once: nil when the record is durable. It blocks
// only while the queue is full. Records are written in the order of the calls, so a caller that has to keep its own
// order in step with the log's calls AppendAsync with its lock held.
func (l *Log) AppendAsync(record []byte) <-chan error {
	return l.enqueue(true, &entry{record: record}, record)
}

// TryAppendAsync is like AppendAsync but never blocks: if the queue is full it returns ErrQueueFull and the record is not written. The
// channel is nil if and only if there is an error.
func (l *Log) TryAppendAsync(record []byte) (<-chan error, error) {
	return orErrQueueFull(l.enqueue(false, &entry{record: record}, record))
}

// TryCompact is like Compact but never blocks: if the queue is full it returns ErrQueueFull and changes nothing.
func (l *Log) TryCompact(records [][]byte) (<-chan error, error) {
	return orErrQueueFull(l.enqueue(false, &entry{compact: append([][]byte{}, records...)}, records...))
}

func orErrQueueFull(done <-chan error) (<-chan error, error) {
	if done == nil {
		return nil, ErrQueueFull
	}
	return done, nil
}

// Compact atomically replaces all records queued before the call with the given ones: after a crash the store holds
// either all of the old records or all of the new. Records queued later follow the new ones. The channel delivers the
// result once.
func (l *Log) Compact(records [][]byte) <-chan error {
	if records == nil {
		records = [][]byte{}
	}
	return l.enqueue(true, &entry{compact: records}, records...)
}

// enqueue puts an entry into the queue. It returns nil if the queue is full and wait is false.
func (l *Log) enqueue(wait bool, e *entry, records ...[]byte) <-chan error {
	e.done = make(chan error, 1)
	for _, r := range records {
		if len(r) > maxRecordSize {
			e.done <- fmt.Errorf("%w: %d bytes", ErrTooLarge, len(r))
			return e.done
		}
	}
	l.mu.RLock() // held while sending: Close closes the queue only when no send is in progress
	defer l.mu.RUnlock()
	if l.closed {
		e.done <- ErrClosed
		return e.done
	}
	if wait {
		l.queue <- e
		return e.done
	}
	select {
	case l.queue <- e:
		return e.done
	default:
		return nil
	}
}

// Syncs returns the number of groups of appended records that were written and synced.
func (l *Log) Syncs() uint64 { return l.syncs.Load() }

// Close finishes queued appends and closes the log.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	close(l.queue)
	l.mu.Unlock()
	<-l.done
	return errors.Join(l.segmentFile.Close(), l.checkpointFile.Close())
}

// run writes queued entries in groups, each with one write and one sync. A compaction ends its group.
func (l *Log) run() {
	defer close(l.done)
	var failed error
	for e := range l.queue {
		group := []*entry{e}
		for len(group) < maxQueued && e.compact == nil {
			var next *entry
			select {
			case next = <-l.queue:
			default:
			}
			if next == nil {
				break
			}
			group = append(group, next)
			if next.compact != nil {
				break
			}
		}
		if failed == nil {
			if err := l.writeGroup(group); err != nil {
				failed = fmt.Errorf("%w: %w", ErrBroken, err)
			}
		}
		for _, g := range group {
			g.done <- failed
		}
	}
}

func (l *Log) writeGroup(group []*entry) error {
	var data []byte
	for _, g := range group {
		if g.compact == nil {
			data = appendFrame(data, l.nextNumber, g.record)
			l.nextNumber++
		}
	}
	if len(data) > 0 {
		if _, err := l.segmentFile.WriteAt(data, l.offset); err != nil {
			return err
		}
		if err := l.segmentFile.Sync(); err != nil {
			return err
		}
		if err := l.writeCheckpoint(); err != nil {
			return err
		}
		l.offset += int64(len(data))
		l.syncs.Add(1)
	}
	if last := group[len(group)-1]; last.compact != nil {
		return l.writeSegment(last.compact)
	}
	return nil
}

// writeSegment writes and syncs the records as a new segment, makes its name durable, and only then makes it current
// by writing a checkpoint that names it.
func (l *Log) writeSegment(records [][]byte) error {
	first := l.nextNumber
	var data []byte
	for _, r := range records {
		data = appendFrame(data, l.nextNumber, r)
		l.nextNumber++
	}
	name := segmentName(l.segment + 1)
	f, err := l.files.Open(name + ".new")
	if err != nil {
		return err
	}
	err = f.Truncate(0)
	if err == nil {
		_, err = f.WriteAt(data, 0)
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.files.Rename(name+".new", name)
	}
	if err == nil {
		err = l.files.SyncDir()
	}
	if err != nil {
		f.Close()
		return err
	}
	oldFile, oldSegment := l.segmentFile, l.segment
	l.segmentFile, l.segment, l.firstNumber, l.offset = f, l.segment+1, first, int64(len(data))
	err = l.writeCheckpoint()
	oldFile.Close()
	if err != nil {
		return err
	}
	if err := l.files.Remove(segmentName(oldSegment)); err != nil {
		return err
	}
	return l.files.SyncDir()
}

// Clone returns copies of the records, which otherwise share memory with the segment data.
func (c *Contents) Clone() [][]byte {
	out := make([][]byte, len(c.Records))
	for i, r := range c.Records {
		out[i] = slices.Clone(r)
	}
	return out
}
