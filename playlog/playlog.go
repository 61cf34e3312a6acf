// Package playlog decides what a front end writes down of its plays before and after it acts, and what a
// front started again may conclude from it. No I/O: records come in and go out as bytes for a store.
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
		panic(fmt.Sprintf("ledger: %v", err)) // strings and numbers always encode
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
func (b *State) Apply(r Record) error {
	b.records++
	switch r.Kind {
	case Ended:
		delete(b.open, r.Play)
		if r.EndReason != "" {
			b.remember(EndedPlay{r.Play, r.EndReason, r.At})
		}
		return nil
	case Started:
		if p, ok := b.open[r.Play]; ok && p.Attempt == r.Attempt {
			p.Answered = true
			b.open[r.Play] = p
		}
		return nil
	case Token:
		b.remember(EndedPlay{r.Play, Returned, r.At})
		return nil
	case Lost:
		b.lost += r.Count
		return nil
	case Recovered:
		b.lost = 0
		return nil
	}
	last, ok := b.open[r.Play]
	if ok && r.Attempt < last.Attempt {
		return fmt.Errorf("ledger: allocation %d of %s follows allocation %d", r.Attempt, r.Play, last.Attempt)
	}
	b.open[r.Play] = Play{Record: r}
	if ok && r.Attempt == last.Attempt && r.Node != last.Node {
		return fmt.Errorf("ledger: allocation %d of %s is written at two nodes", r.Attempt, r.Play)
	}
	return nil
}

func (b *State) remember(p EndedPlay) {
	if was, ok := b.past[p.Play]; ok && was.EndReason == Returned { // used up stays used up, whatever is told of its play
		return
	}
	b.ends++
	b.past[p.Play] = ended{p, b.ends}
	b.order = append(b.order, b.past[p.Play])
	// The oldest go as new ones come, so that what is needed, by which a compaction is due, does not grow with
	// every play that ever ended.
	for len(b.order) > 1 && (p.At-b.order[0].At > TokenRetentionMs || len(b.order) > 2*pastMost) {
		if first := b.order[0]; b.past[first.Play] == first {
			delete(b.past, first.Play)
		}
		b.order = b.order[1:]
	}
}

// Expire forgets ends whose tokens can't be good any more.
func (b *State) Expire(nowMs int64) {
	kept := b.order[:0]
	for i, p := range b.order {
		switch {
		case b.past[p.Play] != p: // written over
		case nowMs-p.At > TokenRetentionMs || len(b.order)-i > pastMost:
			delete(b.past, p.Play)
		default:
			kept = append(kept, p)
		}
	}
	clear(b.order[len(kept):])
	b.order = kept
}

// OpenPlays lists the plays that may still run, by their ids.
func (b *State) OpenPlays() []Play {
	out := make([]Play, 0, len(b.open))
	for _, r := range b.open {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Play < out[j].Play })
	return out
}

// EndedPlays lists the plays whose tokens are good no more, in the order of their ends.
func (b *State) EndedPlays() (out []EndedPlay) {
	for _, p := range b.order {
		if b.past[p.Play] == p {
			out = append(out, p.EndedPlay)
		}
	}
	return out
}

// Lost counts the records that were acknowledged and that a salvage did not find. While there are any, plays
// that this state does not have may run: the front must wait until every node has told or its lease has passed.
func (b *State) Lost() uint64 { return b.lost }

// Records are the fewest records that come to the same state.
func (b *State) Records() (out []Record) {
	if b.lost > 0 {
		out = append(out, Record{Kind: Lost, Count: b.lost})
	}
	for _, p := range b.EndedPlays() {
		if p.EndReason == Returned {
			out = append(out, Record{Kind: Token, Play: p.Play, At: p.At})
		} else {
			out = append(out, Record{Kind: Ended, Play: p.Play, EndReason: p.EndReason, At: p.At})
		}
	}
	for _, p := range b.OpenPlays() {
		out = append(out, p.Record)
		if p.Answered {
			out = append(out, Record{Kind: Started, Play: p.Play, Attempt: p.Attempt})
		}
	}
	return out
}

// Seats counts the open plays of a title and product.
func (b *State) Seats(product, title string) (n int) {
	for _, r := range b.open {
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
func (b *State) needed() int { return 2*len(b.open) + len(b.past) }

// NeedsCompaction tells whether the store should be compacted to what is needed now.
func (b *State) NeedsCompaction() bool {
	return b.records >= compactLeast && b.records >= compactTimes*b.needed()
}

// Compacted says that the store now holds just so many records.
func (b *State) Compacted(records int) { b.records = records }

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
