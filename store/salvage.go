package store

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
)

// MissingRange is a place where records are missing.
type MissingRange struct {
	File     string
	From, To int64 // bytes that hold no whole record
	Records  uint64
	What     string
}

// Salvaged is what can be had of a store, whole or not.
type Salvaged struct {
	Records [][]byte
	Gaps    []MissingRange // in their order
	Lost    uint64         // records that were acknowledged, or must have been written, and are not there; at least
}

// Salvage reads what can be had of a store without changing it. It never invents: each record that it returns
// stands in the log with a checksum that holds and a number greater than those before it. Records after a gap
// are found by looking at every byte for the next one that holds. Where the mark can't be read it is not known
// how far the log was acknowledged, and one record at least counts as lost.
func Salvage(files Files) (*Salvaged, error) {
	s := &Salvaged{}
	mark, err := files.Read(markFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("store: %w", err)
	}
	c, err := readMark(mark)
	if err != nil && !errors.Is(err, ErrDamage) {
		return nil, err
	}
	if err != nil {
		if unborn, e := neverBegan(files); e != nil {
			return nil, e
		} else if unborn {
			return s, nil
		}
		s.lose(MissingRange{File: markFile, To: int64(len(mark)), Records: 1, What: "no slot of it holds: how far the log was acknowledged is not known"})
		segment, err := lastSegment(files)
		if err != nil {
			return nil, err
		}
		c = &Contents{Segment: segment}
	}
	name := segmentName(c.Segment)
	text, err := files.Read(name)
	switch {
	case errors.Is(err, os.ErrNotExist):
		s.lose(MissingRange{File: name, Records: c.Acked + 1 - min(c.First, c.Acked), What: "the segment is missing"})
		return s, nil
	case err != nil:
		return nil, fmt.Errorf("store: %w", err)
	}
	next := c.First // the number that is to come
	for at := int64(0); at < int64(len(text)); {
		number, record, size, why := frame(text[at:])
		if why == "" && (number == next || next == 0) {
			s.Records, next, at = append(s.Records, record), number+1, at+size
			continue
		}
		if why == "" {
			why = fmt.Sprintf("record %d in place of %d", number, next)
		}
		to, found := resume(text, at, next, c.Acked)
		if found == 0 {
			if next <= c.Acked {
				s.lose(MissingRange{name, at, int64(len(text)), c.Acked + 1 - next, why})
			}
			return s, nil // the rest was never acknowledged
		}
		s.lose(MissingRange{name, at, to, found - next, why})
		next, at = found, to
	}
	if next <= c.Acked {
		s.lose(MissingRange{name, int64(len(text)), int64(len(text)), c.Acked + 1 - next, "the file ends"})
	}
	return s, nil
}

func (s *Salvaged) lose(g MissingRange) {
	s.Gaps = append(s.Gaps, g)
	s.Lost += g.Records
}

// resume looks for the next record that holds, with a number that can stand there.
func resume(text []byte, from int64, next, acked uint64) (at int64, number uint64) {
	for at = from; at+headSize <= int64(len(text)); at++ {
		n, _, _, why := frame(text[at:])
		if why == "" && n >= next && (acked == 0 || n <= acked+queueMost) {
			return at, n
		}
	}
	return 0, 0
}

// lastSegment is the segment with the highest number: one that was renamed into its place was whole.
func lastSegment(files Files) (uint64, error) {
	names, err := files.Names()
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	sort.Strings(names)
	last := uint64(0)
	for _, n := range names {
		if k, err := strconv.ParseUint(strings.TrimPrefix(n, "log-"), 10, 64); err == nil && strings.HasPrefix(n, "log-") {
			last = max(last, k)
		}
	}
	return last, nil
}
