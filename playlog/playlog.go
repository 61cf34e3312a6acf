// Package playlog decides which records of its plays a front end writes before and after it acts, and what a
// restarted front end may conclude from them. No I/O: records come in and go out as bytes for a store.
//
// The rule is one line: before an allocation that must not be doubled, or that takes a seat, leaves the
// front, its record is durable. Its end is written down afterwards, without waiting: an end that is lost in a
// crash leaves a play open that has ended, which its node's word settles; the other way round a seat
// would be given twice.
package playlog

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Kind is what a record tells.
type Kind string

const (
	Allocated Kind = "allocated" // an allocation is about to be sent
	Started   Kind = "started"   // it plays, and its viewer was told so
	Ended     Kind = "ended"     // the play is over, whatever became of its allocations
	Token     Kind = "token"     // the play's token was used to come back: it is good no more
	Lost      Kind = "lost"      // salvage found no records where acknowledged ones must have been
	Recovered Kind = "whole"     // the nodes' words have made up for what was lost
)

// EndReason a play ended, for those who come back with its token. A play that never played has none.
type EndReason string

const (
	Served   EndReason = "served"
	Moved    EndReason = "moved"    // to be placed anew
	Broken   EndReason = "broken"   // its node was lost
	Returned EndReason = "returned" // its viewer came back already
)

var hows = map[EndReason]bool{"": true, Served: true, Moved: true, Broken: true, Returned: true}

// Record is one record of the play log.
type Record struct {
	Kind      Kind      `json:"kind"`
	Play      string    `json:"play"`
	Epoch     int64     `json:"epoch,omitempty"` // of the front's life that took the play
	Attempt   int       `json:"try,omitempty"`
	Product   string    `json:"product,omitempty"`
	Title     string    `json:"title,omitempty"`
	Viewer    string    `json:"viewer,omitempty"`
	Node      string    `json:"node,omitempty"`
	Rung      int       `json:"rung,omitempty"`
	MaxRung   int       `json:"top,omitempty"`
	Previous  string    `json:"back,omitempty"`  // the play whose token brought the viewer
	EndReason EndReason `json:"how,omitempty"`   // it ended
	At        int64     `json:"at,omitempty"`    // Unix milliseconds, of an end of a play that played
	Count     uint64    `json:"count,omitempty"` // records lost
}

// Encode writes a record for the store.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("playlog: %v", err)) // strings and numbers always encode
	}
	return b
}

// Decode reads a record. One that does not hold is an error: the store's checksums let no torn one pass.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("ledger: %w", err)
	}
	switch {
	case r.Kind == Lost && r.Count > 0 || r.Kind == Recovered:
	case r.Play == "":
		return Record{}, fmt.Errorf("ledger: a record without a play")
	case !hows[r.EndReason] || r.At < 0:
		return Record{}, fmt.Errorf("ledger: end of %.40q is malformed", r.Play)
	case r.Kind == Ended || r.Kind == Started || r.Kind == Token:
	case r.Kind != Allocated:
		return Record{}, fmt.Errorf("ledger: kind %.20q is unknown", r.Kind)
	case r.Product == "" || r.Title == "" || r.Viewer == "" || r.Node == "" || r.Epoch <= 0 || r.Attempt < 0 || r.Rung < 0 || r.MaxRung < 0:
		return Record{}, fmt.Errorf("ledger: allocation of %.40q is malformed", r.Play)
	}
	return r, nil
}

// LogFirst tells whether a product's allocations are written down before they are sent. Paid ones, as they must
// not be doubled; those with seats, as a seat must not be given twice. Others may be set up again without
// harm, so that they don't wait for a disk.
func LogFirst(paid bool, seats int) bool { return paid || seats > 0 }

// TokenRetentionMs is how long the end of a play is kept for those who come back with its token, in milliseconds: no
// token lives longer after its play's end, as it is made anew with each manifest.
const TokenRetentionMs = 600_000

const pastMost = 1 << 16 // endings kept at most: 30 minutes at 33 recorded plays a second

// Play is a play that may still run.
type Play struct {
	Record        // its last allocation
	Answered bool // its viewer was told that it plays
}

// EndedPlay is a play that is over and whose token may still be shown.
type EndedPlay struct {
	Play      string
	EndReason EndReason
	At        int64 // Unix milliseconds
}

// State is what a play log's records come to: the plays that may still run, each with its last allocation; the
// tokens that are good no more; and whether anything is missing.
type State struct {
	open    map[string]Play
	past    map[string]ended
	order   []ended // in the order of their ends; one written over stands twice
	ends    uint64
	lost    uint64
	records int // since the last compaction
}

// ended is an end with its number among all ends, which tells the last of a play's.
type ended struct {
	EndedPlay
	number uint64
}

// NewState makes an empty state.
func NewState() *State { return &State{open: map[string]Play{}, past: map[string]ended{}} }

// Apply takes a record in. Every record has its place in every state: an end of a play that is not open is
// one written twice, and an allocation of an open play is its next one. The error tells of an order that a front
// never writes; the safe side is kept: the play stays open, at the node of its latest allocation.
func (s *State) Apply(r Record) error {
	s.records++
	switch r.Kind {
	case Ended:
		delete(s.open, r.Play)
		if r.EndReason != "" {
			s.remember(EndedPlay{r.Play, r.EndReason, r.At})
		}
		return nil
	case Started:
		if p, ok := s.open[r.Play]; ok && p.Attempt == r.Attempt {
			p.Answered = true
			s.open[r.Play] = p
		}
		return nil
	case Token:
		s.remember(EndedPlay{r.Play, Returned, r.At})
		return nil
	case Lost:
		s.lost += r.Count
		return nil
	case Recovered:
		s.lost = 0
		return nil
	}
	last, ok := s.open[r.Play]
	if ok && r.Attempt < last.Attempt {
		return fmt.Errorf("ledger: allocation %d of %s follows allocation %d", r.Attempt, r.Play, last.Attempt)
	}
	s.open[r.Play] = Play{Record: r}
	if ok && r.Attempt == last.Attempt && r.Node != last.Node {
		return fmt.Errorf("ledger: allocation %d of %s is written at two nodes", r.Attempt, r.Play)
	}
	return nil
}

func (s *State) remember(p EndedPlay) {
	if was, ok := s.past[p.Play]; ok && was.EndReason == Returned { // used up stays used up, whatever is told of its play
		return
	}
	s.ends++
	s.past[p.Play] = ended{p, s.ends}
	s.order = append(s.order, s.past[p.Play])
	// The oldest go as new ones come, so that what is needed, by which a compaction is due, does not grow with
	// every play that ever ended.
	for len(s.order) > 1 && (p.At-s.order[0].At > TokenRetentionMs || len(s.order) > 2*pastMost) {
		if first := s.order[0]; s.past[first.Play] == first {
			delete(s.past, first.Play)
		}
		s.order = s.order[1:]
	}
}

// Expire forgets ends whose tokens can't be good any more.
func (s *State) Expire(nowMs int64) {
	kept := s.order[:0]
	for i, p := range s.order {
		switch {
		case s.past[p.Play] != p: // written over
		case nowMs-p.At > TokenRetentionMs || len(s.order)-i > pastMost:
			delete(s.past, p.Play)
		default:
			kept = append(kept, p)
		}
	}
	clear(s.order[len(kept):])
	s.order = kept
}

// OpenPlays lists the plays that may still run, by their ids.
func (s *State) OpenPlays() []Play {
	out := make([]Play, 0, len(s.open))
	for _, r := range s.open {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Play < out[j].Play })
	return out
}

// EndedPlays lists the plays whose tokens are good no more, in the order of their ends.
func (s *State) EndedPlays() (out []EndedPlay) {
	for _, p := range s.order {
		if s.past[p.Play] == p {
			out = append(out, p.EndedPlay)
		}
	}
	return out
}

// Lost counts the records that were acknowledged and that a salvage did not find. While there are any, plays
// that this state does not have may run: the front must wait until every node has told or its lease has passed.
func (s *State) Lost() uint64 { return s.lost }

// Records are the fewest records that come to the same state.
func (s *State) Records() (out []Record) {
	if s.lost > 0 {
		out = append(out, Record{Kind: Lost, Count: s.lost})
	}
	for _, p := range s.EndedPlays() {
		if p.EndReason == Returned {
			out = append(out, Record{Kind: Token, Play: p.Play, At: p.At})
		} else {
			out = append(out, Record{Kind: Ended, Play: p.Play, EndReason: p.EndReason, At: p.At})
		}
	}
	for _, p := range s.OpenPlays() {
		out = append(out, p.Record)
		if p.Answered {
			out = append(out, Record{Kind: Started, Play: p.Play, Attempt: p.Attempt})
		}
	}
	return out
}

// Seats counts the open plays of a title and product.
func (s *State) Seats(product, title string) (n int) {
	for _, r := range s.open {
		if r.Product == product && r.Title == title {
			n++
		}
	}
	return n
}

const (
	compactLeast = 1000 // records: fewer are read in no time
	compactTimes = 4    // as many records as are needed: then three in four are of no use
)

// needed is how many records the state comes to, about.
func (s *State) needed() int { return 2*len(s.open) + len(s.past) }

// NeedsCompaction tells whether the store should be compacted to what is needed now.
func (s *State) NeedsCompaction() bool {
	return s.records >= compactLeast && s.records >= compactTimes*s.needed()
}

// Compacted says that the store now holds just so many records.
func (s *State) Compacted(records int) { s.records = records }

// Read makes a state of a store's records. It stops at the first that does not hold.
func Read(records [][]byte) (*State, error) {
	b := NewState()
	for i, raw := range records {
		r, err := Decode(raw)
		if err == nil {
			err = b.Apply(r)
		}
		if err != nil {
			return b, fmt.Errorf("record %d: %w", i+1, err)
		}
	}
	return b, nil
}
