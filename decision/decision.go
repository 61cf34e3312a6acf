// Package decision defines the interface between a front end and the policy that decides for it:
// the calls, their arguments and their results. It depends on no wire format and decides nothing.
package decision

import "hash/fnv"

// Times are counted in tenths of a millisecond.
const (
	Millisecond int64 = 10
	Second            = 1000 * Millisecond
)

// HashName is a name's number that all fronts work out alike, for Node.Key and Request.Key. Two names may share one.
func HashName(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// Handle names a play in hand: a place and its generation. The zero Handle names nobody.
type Handle struct {
	Index      int32
	Generation uint32
}

// Phase is what the list says of a node.
type Phase uint8

const (
	Ready Phase = iota
	Draining
	Gone
)

// Node is one line of the list of playout nodes.
type Node struct {
	Index     int // small number, the same for the same address
	Phase     Phase
	Kind      int
	Zone      int
	Cell      int
	StartedAt int64 // latest start; 0 is long past
	Weight    float64
	Key       uint32 // the same at every front for the same node; used where fronts tell each other
}

// Request is what a viewer asks for.
type Request struct {
	Product   int
	Title     int
	Viewer    int
	Deadline  int64  // when the client gives up
	Length    int64  // guessed length from now; 0 is not told
	FirstCell int    // first cell that holds the title
	CellCount int    // cells in a row that hold it
	MaxRung   int    // best rung the viewer can use
	Key       uint32 // of the title, the same at every front
	Moved     bool   // back from a move
	Retry     bool   // not the viewer's first try
}

// Outcome is how an allocation ended.
type Outcome uint8

const (
	Served         Outcome = iota
	Errored                // may have run
	Rejected               // never ran
	NoAnswer               // may have run, or still runs
	NoConnect              // never ran
	ConnectionLost         // the connection broke; may have run
	Canceled               // may have run
	NotSent                // never ran
)

// MayHaveRun tells that an allocation that ended so may have run: nothing proves that it did not.
func (o Outcome) MayHaveRun() bool { return o != Rejected && o != NoConnect && o != NotSent }

// Load is a node's report. A figure below 0 was not told.
type Load struct{ Streams, Link, Uplink float64 }

// UnknownLoad is a report that says nothing.
var UnknownLoad = Load{-1, -1, -1}

// Action is what to do with a play.
type Action uint8

const (
	Place   Action = iota // allocate it to Node at Rung, given up at Until
	Decline               // turn it away; the viewer may come back after RetryAfter, if above 0
	Fail                  // it failed
	SetRung               // change its rung to Rung
	Move                  // end it here, to be placed anew
	Cancel                // stop waiting for allocation Attempt
)

// Order is one decision about one play.
type Order struct {
	Play       Handle
	Action     Action
	Node       int
	Rung       int
	Attempt    int
	Until      int64
	RetryAfter int64
}

// Message is a message to another front end, known by its number. It may be lost.
type Message struct {
	To    int
	Bytes []byte
}

// Result is what a call decided. It is valid until the next call.
type Result struct {
	Orders   []Order   // to be carried out in this order
	Probes   []int     // nodes to probe
	Messages []Message // messages to other front ends
	WakeAt   int64     // when Wake wants to be called at the latest
}

// Policy decides for one front end. Calls come one at a time with a clock that never goes
// back. A stale handle is ignored. Settings that New of an implementation reads are a plain
// map from names to lists of numbers, named in docs/design.md.
type Policy interface {
	// UpdateNodes brings the whole list, or only what changed.
	UpdateNodes(now int64, list []Node, whole bool) *Result
	// AddPlay accepts a play: exactly one answer is owed from here on.
	AddPlay(now int64, w Request) (Handle, *Result)
	// AdoptPlay hands over a play that already plays on a node.
	AdoptPlay(now int64, w Request, node int) (Handle, *Result)
	// AttemptStarted says that the play's allocation plays.
	AttemptStarted(now int64, h Handle, attempt int) *Result
	// AttemptEnded says how an allocation ended; over, that the play is finished with it.
	AttemptEnded(now int64, h Handle, attempt int, outcome Outcome, over bool, load Load) *Result
	// DeliveryReported tells the share of its rate that the play's node delivers.
	DeliveryReported(now int64, h Handle, share float64) *Result
	// RungReported tells the rung in force of an adopted play.
	RungReported(now int64, h Handle, rung int) *Result
	// LoadReported tells what is asked of the link, or of the rack's uplink, over what it gives.
	LoadReported(now int64, h Handle, load Load) *Result
	// ViewerLeft says that the viewer went away.
	ViewerLeft(now int64, h Handle) *Result
	// ProbeEnded brings the end of a probe.
	ProbeEnded(now int64, node int, outcome Outcome, load Load) *Result
	// MessageReceived brings a message of another front end, whatever it holds.
	MessageReceived(now int64, from int, bytes []byte) *Result
	// Wake lets the module do what is due.
	Wake(now int64) *Result
	// ForgetViewer and ForgetNode ask to use a number again: true says that nothing of it is
	// remembered any more. No play in hand may have the viewer, nor an order still out the node.
	ForgetViewer(now int64, viewer int) bool
	ForgetNode(now int64, node int) bool
}
