package store

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
)

// MissingRange is a range of a file in which records are missing.
type MissingRange struct {
	File     string
	From, To int64  // byte range that holds no valid record in sequence
	Records  uint64 // number of records missing
	Reason   string
}

// SalvageResult is the data recovered from a store, damaged or not.
type SalvageResult struct {
	Records [][]byte
	Gaps    []MissingRange // in file order
	Lost    uint64         // lower bound of the records that were acknowledged, or must have been written, and are missing
}

// Salvage reads all records that can be recovered from a store, without changing it. Each record returned has a valid
// checksum and a number greater than those before it. After a gap it searches byte by byte for the next valid frame. If
// the checkpoint can't be read, it is unknown which records were acknowledged, and at least one counts as lost.
func Salvage(files Files) (*SalvageResult, error) {
	s := &SalvageResult{}
	checkpoint, err := files.Read(checkpointName)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("store: %w", err)
	}
	c, err := decodeCheckpoint(checkpoint)
	if err != nil && !errors.Is(err, ErrDamaged) {
		return nil, err
	}
	if err != nil {
		if uninitialized, e := isUninitialized(files); e != nil {
			return nil, e
		} else if uninitialized {
			return s, nil
		}
		s.addGap(MissingRange{File: checkpointName, To: int64(len(checkpoint)), Records: 1, Reason: "no slot of it holds: how far the log was acknowledged is not known"})
		segment, err := highestSegment(files)
		if err != nil {
			return nil, err
		}
		c = &Contents{Segment: segment}
	}
	name := segmentName(c.Segment)
	data, err := files.Read(name)
	switch {
	case errors.Is(err, os.ErrNotExist):
		s.addGap(MissingRange{File: name, Records: c.Acked + 1 - min(c.First, c.Acked), Reason: "the segment is missing"})
		return s, nil
	case err != nil:
		return nil, fmt.Errorf("store: %w", err)
	}
	next := c.First // expected record number; 0 if unknown
	for offset := int64(0); offset < int64(len(data)); {
		number, record, size, problem := decodeFrame(data[offset:])
		if problem == "" && (number == next || next == 0) {
			s.Records, next, offset = append(s.Records, record), number+1, offset+size
			continue
		}
		if problem == "" {
			problem = fmt.Sprintf("record %d in place of %d", number, next)
		}
		resumeAt, found := findNextFrame(data, offset, next, c.Acked)
		if found == 0 {
			if next <= c.Acked {
				s.addGap(MissingRange{name, offset, int64(len(data)), c.Acked + 1 - next, problem})
			}
			return s, nil // the remaining bytes were never acknowledged
		}
		s.addGap(MissingRange{name, offset, resumeAt, found - next, problem})
		next, offset = found, resumeAt
	}
	if next <= c.Acked {
		s.addGap(MissingRange{name, int64(len(data)), int64(len(data)), c.Acked + 1 - next, "the file ends"})
	}
	return s, nil
}

func (s *SalvageResult) addGap(gap MissingRange) {
	s.Gaps = append(s.Gaps, gap)
	s.Lost += gap.Records
}

// findNextFrame returns the offset and number of the first valid frame at or after start whose number can follow, or
// zeros if there is none. Up to maxQueued records may have been written after the last acknowledged one.
func findNextFrame(data []byte, start int64, next, acked uint64) (offset int64, number uint64) {
	for offset = start; offset+headerSize <= int64(len(data)); offset++ {
		n, _, _, problem := decodeFrame(data[offset:])
		if problem == "" && n >= next && (acked == 0 || n <= acked+maxQueued) {
			return offset, n
		}
	}
	return 0, 0
}

// highestSegment returns the highest segment number, 0 if there is no segment. A segment is written completely before
// it is renamed to its final name.
func highestSegment(files Files) (uint64, error) {
	names, err := files.List()
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	sort.Strings(names)
	highest := uint64(0)
	for _, n := range names {
		if number, err := strconv.ParseUint(strings.TrimPrefix(n, "log-"), 10, 64); err == nil && strings.HasPrefix(n, "log-") {
			highest = max(highest, number)
		}
	}
	return highest, nil
}
