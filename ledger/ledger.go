// Package ledger decides what a front end writes down of its plays before and after it acts, and what a
// front started again may conclude from it. No I/O: records come in and go out as bytes for a store.
//
// The rule is one line: before an allocation that must not be doubled, or that takes a seat, leaves the
// front, its record is durable. Its end is written down afterwards, without waiting: an end that is lost in a
// crash leaves a play open that has ended, which its node's word settles; the other way round a seat
// would be given twice.
package ledger

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Kind is what a record tells.
type Kind string

const (
	Allocated Kind = "allocated" // an allocation is about to be sent
	Ended     Kind = "ended"     // the play is over, whatever became of its allocations
)

// Record is one line of the ledger.
type Record struct {
	Kind    Kind   `json:"kind"`
	Play    string `json:"play"`
	Epoch   int64  `json:"epoch,omitempty"` // of the front's life that took the play
	Try     int    `json:"try,omitempty"`
	Product string `json:"product,omitempty"`
	Title   string `json:"title,omitempty"`
	Viewer  string `json:"viewer,omitempty"`
	Node    string `json:"node,omitempty"`
	Rung    int    `json:"rung,omitempty"`
	Top     int    `json:"top,omitempty"`
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
	case r.Play == "":
		return Record{}, fmt.Errorf("ledger: a record without a play")
	case r.Kind == Ended:
	case r.Kind != Allocated:
		return Record{}, fmt.Errorf("ledger: kind %.20q is unknown", r.Kind)
	case r.Product == "" || r.Title == "" || r.Viewer == "" || r.Node == "" || r.Epoch <= 0 || r.Try < 0 || r.Rung < 0 || r.Top < 0:
		return Record{}, fmt.Errorf("ledger: allocation of %.40q is malformed", r.Play)
	}
	return r, nil
}

// Before tells whether a product's allocations are written down before they are sent. Paid ones, as they must
// not be doubled; those with seats, as a seat must not be given twice. Others may be set up again without
// harm, so that they don't wait for a disk.
func Before(paid bool, seats int) bool { return paid || seats > 0 }

// Book is what a ledger's records come to: the plays that may still run, each with its last allocation.
type Book struct {
	open    map[string]Record
	records int // since the last compaction
}

// NewBook makes an empty book.
func NewBook() *Book { return &Book{open: map[string]Record{}} }

// Apply takes a record in. Every record has its place in every state: an end of a play that is not open is
// one written twice, and an allocation of an open play is its next one. The error tells of an order that a front
// never writes; the safe side is kept: the play stays open, at the node of its latest allocation.
func (b *Book) Apply(r Record) error {
	b.records++
	if r.Kind == Ended {
		delete(b.open, r.Play)
		return nil
	}
	last, ok := b.open[r.Play]
	if ok && r.Try < last.Try {
		return fmt.Errorf("ledger: allocation %d of %s follows allocation %d", r.Try, r.Play, last.Try)
	}
	b.open[r.Play] = r
	if ok && r.Try == last.Try && r.Node != last.Node {
		return fmt.Errorf("ledger: allocation %d of %s is written at two nodes", r.Try, r.Play)
	}
	return nil
}

// Open lists the plays that may still run, by their ids.
func (b *Book) Open() []Record {
	out := make([]Record, 0, len(b.open))
	for _, r := range b.open {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Play < out[j].Play })
	return out
}

// Seats counts the open plays of a title and product.
func (b *Book) Seats(product, title string) (n int) {
	for _, r := range b.open {
		if r.Product == product && r.Title == title {
			n++
		}
	}
	return n
}

const (
	compactLeast = 1000 // records: fewer are read in no time
	compactTimes = 4    // as many records as open plays: then three in four are of no use
)

// Compact tells whether the store should be compacted to what is open now.
func (b *Book) Compact() bool {
	return b.records >= compactLeast && b.records >= compactTimes*len(b.open)
}

// Compacted says that the store now holds just what is open.
func (b *Book) Compacted() { b.records = len(b.open) }

// Read makes a book of a store's records. It stops at the first that does not hold.
func Read(records [][]byte) (*Book, error) {
	b := NewBook()
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
