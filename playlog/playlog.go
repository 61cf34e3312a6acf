// Package playlog defines the log of plays that a front end keeps: which records it writes, which of them must be
// durable before it acts, and the state that a restarted front end restores from them. It does no I/O; records are
// encoded and decoded as bytes for package store.
//
// A seat is one of the limited number of concurrent plays of a title in a product. An allocation that must not be
// repeated, or that takes a seat, is sent to its node only when its record is durable. The end of a play is recorded
// afterwards, without waiting for the disk. If a crash loses the record of an end, the ended play stays open until its
// node reports that it isn't running; if it could lose the record of an allocation, a seat could be assigned twice.
package playlog

import (
	"encoding/json"
	"fmt"
	"sort"
)

// RecordKind is the type of a record.
type RecordKind string

const (
	Allocated        RecordKind = "allocated" // an allocation is about to be sent
	Started          RecordKind = "started"   // the play is running and its viewer was answered
	Ended            RecordKind = "ended"     // the play has ended, whatever the state of its allocations
	TokenUsed        RecordKind = "token"     // the play's token was used to resume it and is no longer valid
	RecordsLost      RecordKind = "lost"      // a salvage of the store found acknowledged records missing
	RecordsRecovered RecordKind = "whole"     // the reports of the nodes have replaced the missing records
)

// EndReason is why a play ended, for requests that resume it with its token. It is empty for a play that never started.
type EndReason string

const (
	Served  EndReason = "served"
	Moved   EndReason = "moved"    // to be set up at another node
	Broken  EndReason = "broken"   // its node was lost
	Resumed EndReason = "returned" // its viewer has already resumed it with the token
)

var endReasons = map[EndReason]bool{"": true, Served: true, Moved: true, Broken: true, Resumed: true}

// Record is one record of the play log.
type Record struct {
	Kind      RecordKind `json:"kind"`
	Play      string     `json:"play"`
	Epoch     int64      `json:"epoch,omitempty"` // of the front process that accepted the play
	Attempt   int        `json:"try,omitempty"`
	Product   string     `json:"product,omitempty"`
	Title     string     `json:"title,omitempty"`
	Viewer    string     `json:"viewer,omitempty"`
	Node      string     `json:"node,omitempty"`
	Rung      int        `json:"rung,omitempty"`
	MaxRung   int        `json:"top,omitempty"`
	Previous  string     `json:"back,omitempty"` // the play that the viewer resumed with its token
	EndReason EndReason  `json:"how,omitempty"`
	At        int64      `json:"at,omitempty"`    // Unix milliseconds of the end, if the play had started
	Count     uint64     `json:"count,omitempty"` // number of records lost
}

// Encode returns the record as stored.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("playlog: %v", err)) // not reached: strings and numbers can always be encoded
	}
	return b
}

// Decode parses and checks a stored record. An invalid record is always an error, as the checksums of the store already
// exclude torn writes.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("playlog: %w", err)
	}
	switch {
	case r.Kind == RecordsLost && r.Count > 0 || r.Kind == RecordsRecovered:
	case r.Play == "":
		return Record{}, fmt.Errorf("playlog: record has no play")
	case !endReasons[r.EndReason] || r.At < 0:
		return Record{}, fmt.Errorf("playlog: end reason or time of play %.40q is invalid", r.Play)
	case r.Kind == Ended || r.Kind == Started || r.Kind == TokenUsed:
	case r.Kind != Allocated:
		return Record{}, fmt.Errorf("playlog: unknown record kind %.20q", r.Kind)
	case r.Product == "" || r.Title == "" || r.Viewer == "" || r.Node == "" || r.Epoch <= 0 || r.Attempt < 0 || r.Rung < 0 || r.MaxRung < 0:
		return Record{}, fmt.Errorf("playlog: allocation of play %.40q lacks a field or has one out of range", r.Play)
	}
	return r, nil
}

// RequiresDurableRecord reports whether the allocations of a product are recorded durably before they are sent. This holds for paid
// products, whose plays must not be set up twice, and for those with a limit of seats, as a seat must not be assigned
// twice. Plays of other products may be set up again without harm and don't wait for the disk.
func RequiresDurableRecord(paid bool, seats int) bool { return paid || seats > 0 }

// TokenRetentionMs is how long the end of a play is kept for requests that resume it with its token, in milliseconds. No
// token is valid longer than that after the end of its play, as a new one is issued with each manifest.
const TokenRetentionMs = 600_000

const maxEndedPlays = 1 << 16 // 30 minutes at 33 recorded plays a second

// Play is a play that may still be running.
type Play struct {
	Record        // its last allocation
	Answered bool // the viewer was told that it plays
}

// EndedPlay is a play that has ended and whose token may still be presented.
type EndedPlay struct {
	Play      string
	EndReason EndReason
	At        int64 // Unix milliseconds
}

// State is the result of applying the records of a play log: the plays that may still be running, each with its last
// allocation; the ended plays, whose tokens are no longer valid; and the number of records missing.
type State struct {
	open     map[string]Play
	ended    map[string]numberedEnd
	endOrder []numberedEnd // in the order they were recorded; a play whose end was replaced is in it twice
	endCount uint64
	lost     uint64
	records  int // in the store
}

// numberedEnd is the end of a play with a sequence number, which distinguishes it from an earlier end of the same play.
type numberedEnd struct {
	EndedPlay
	number uint64
}

// NewState returns an empty state.
func NewState() *State { return &State{open: map[string]Play{}, ended: map[string]numberedEnd{}} }

// Apply adds a record to the state. An end of a play that is not open is a duplicate, and an allocation of an open play
// is its next attempt. An error means that the records are in an order that no front writes. The play then stays open,
// at the node of its latest attempt, so that its seat is not assigned again.
func (s *State) Apply(r Record) error {
	s.records++
	switch r.Kind {
	case Ended:
		delete(s.open, r.Play)
		if r.EndReason != "" {
			s.addEnd(EndedPlay{r.Play, r.EndReason, r.At})
		}
		return nil
	case Started:
		if p, ok := s.open[r.Play]; ok && p.Attempt == r.Attempt {
			p.Answered = true
			s.open[r.Play] = p
		}
		return nil
	case TokenUsed:
		s.addEnd(EndedPlay{r.Play, Resumed, r.At})
		return nil
	case RecordsLost:
		s.lost += r.Count
		return nil
	case RecordsRecovered:
		s.lost = 0
		return nil
	}
	last, ok := s.open[r.Play]
	if ok && r.Attempt < last.Attempt {
		return fmt.Errorf("playlog: attempt %d of play %s is recorded after attempt %d", r.Attempt, r.Play, last.Attempt)
	}
	s.open[r.Play] = Play{Record: r}
	if ok && r.Attempt == last.Attempt && r.Node != last.Node {
		return fmt.Errorf("playlog: attempt %d of play %s is recorded for two nodes", r.Attempt, r.Play)
	}
	return nil
}

func (s *State) addEnd(p EndedPlay) {
	if previous, ok := s.ended[p.Play]; ok && previous.EndReason == Resumed { // a used token stays invalid, however its play ends
		return
	}
	s.endCount++
	s.ended[p.Play] = numberedEnd{p, s.endCount}
	s.endOrder = append(s.endOrder, s.ended[p.Play])
	// Expired ends are removed here too: NeedsCompaction depends on the number of ends kept, which would otherwise grow
	// with every play until the next compaction.
	for len(s.endOrder) > 1 && (p.At-s.endOrder[0].At > TokenRetentionMs || len(s.endOrder) > 2*maxEndedPlays) {
		if first := s.endOrder[0]; s.ended[first.Play] == first {
			delete(s.ended, first.Play)
		}
		s.endOrder = s.endOrder[1:]
	}
}

// Expire removes the ends of plays whose tokens have expired.
func (s *State) Expire(nowMs int64) {
	kept := s.endOrder[:0]
	for i, p := range s.endOrder {
		switch {
		case s.ended[p.Play] != p: // replaced by a later end
		case nowMs-p.At > TokenRetentionMs || len(s.endOrder)-i > maxEndedPlays:
			delete(s.ended, p.Play)
		default:
			kept = append(kept, p)
		}
	}
	clear(s.endOrder[len(kept):])
	s.endOrder = kept
}

// OpenPlays returns the plays that may still be running, sorted by id.
func (s *State) OpenPlays() []Play {
	out := make([]Play, 0, len(s.open))
	for _, r := range s.open {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Play < out[j].Play })
	return out
}

// EndedPlays returns the plays whose tokens are no longer valid, in the order of their ends.
func (s *State) EndedPlays() (out []EndedPlay) {
	for _, p := range s.endOrder {
		if s.ended[p.Play] == p {
			out = append(out, p.EndedPlay)
		}
	}
	return out
}

// Lost returns the number of acknowledged records that a salvage did not find. If there are any, plays that the state
// lacks may be running, so the front has to wait until every node has reported its plays or its lease has expired.
func (s *State) Lost() uint64 { return s.lost }

// Records returns a minimal list of records that produces the same state.
func (s *State) Records() (out []Record) {
	if s.lost > 0 {
		out = append(out, Record{Kind: RecordsLost, Count: s.lost})
	}
	for _, p := range s.EndedPlays() {
		if p.EndReason == Resumed {
			out = append(out, Record{Kind: TokenUsed, Play: p.Play, At: p.At})
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

// Seats returns the number of open plays of a title in a product.
func (s *State) Seats(product, title string) (n int) {
	for _, r := range s.open {
		if r.Product == product && r.Title == title {
			n++
		}
	}
	return n
}

const (
	minRecordsToCompact = 1000 // reading fewer records takes negligible time
	compactRatio        = 4    // records in the store per record needed; at 4, three in four are obsolete
)

// neededRecords returns an upper bound of len(s.Records()), not counting a RecordsLost record.
func (s *State) neededRecords() int { return 2*len(s.open) + len(s.ended) }

// NeedsCompaction reports whether the store should be compacted to s.Records().
func (s *State) NeedsCompaction() bool {
	return s.records >= minRecordsToCompact && s.records >= compactRatio*s.neededRecords()
}

// SetRecordCount sets the number of records in the store after a compaction.
func (s *State) SetRecordCount(records int) { s.records = records }

// Read returns the state after the records of a store. It stops at the first invalid record.
func Read(records [][]byte) (*State, error) {
	s := NewState()
	for i, raw := range records {
		r, err := Decode(raw)
		if err == nil {
			err = s.Apply(r)
		}
		if err != nil {
			return s, fmt.Errorf("record %d: %w", i+1, err)
		}
	}
	return s, nil
}
