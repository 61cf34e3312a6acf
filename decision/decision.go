// Package decision defines the interface between a front end and its placement policy: the calls, their arguments
// and their results. It depends on no wire format and contains no policy.
package decision

import "hash/fnv"

// Times and durations are counted in tenths of a millisecond.
const (
	Millisecond int64 = 10
	Second            = 1000 * Millisecond
)

// HashName returns a hash of a name for Node.Key and Request.Key. It is the same at all fronts; two names may
// share a hash.
func HashName(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// Handle identifies an unfinished play by a table index and its generation, which changes when the index is
// reused. The zero Handle refers to no play.
type Handle struct {
	Index      int32
	Generation uint32
}

// Phase is the state of a node in the node list.
type Phase uint8

const (
	Ready Phase = iota
	Draining
	Gone
)

// Node is an entry of the node list.
type Node struct {
	Index     int // small number, constant for an address
	Phase     Phase
	Kind      int
	Zone      int
	Cell      int   // group of nodes that hold the same titles
	StartedAt int64 // time of the last start; 0 if long ago
	Weight    float64
	Key       uint32 // HashName of the node; used in messages between fronts
}

// Request is a request of a viewer for a title.
type Request struct {
	Product   int
	Title     int
	Viewer    int
	Deadline  int64  // when the client gives up
	Length    int64  // estimated length from now; 0 if unknown
	FirstCell int    // first cell that holds the title
	CellCount int    // number of consecutive cells that hold it
	MaxRung   int    // highest rung that the viewer can use
	Key       uint32 // HashName of the title
	Moved     bool   // the viewer was moved off another node
	Retry     bool   // not the first request of the viewer for this play
}

// Outcome is how an allocation ended.
type Outcome uint8

const (
	Served         Outcome = iota
	Errored                // may have run
	Rejected               // never ran
	NoAnswer               // may have run, or may still run
	NoConnect              // never ran
	ConnectionLost         // may have run
	Canceled               // may have run
	NotSent                // never ran
)

// MayHaveRun returns whether the allocation may have run, that is, unless the outcome proves that it did not.
func (o Outcome) MayHaveRun() bool { return o != Rejected && o != NoConnect && o != NotSent }

// Load is a load report of a node. Negative values are unknown. Link and Uplink are demand divided by capacity.
type Load struct{ Streams, LinkUtilization, UplinkUtilization float64 }

// UnknownLoad is a report without values.
var UnknownLoad = Load{-1, -1, -1}

// Action is the type of an Order.
type Action uint8

const (
	Place   Action = iota // allocate the play on Node at Rung; give up at Deadline
	Decline               // decline the play; the viewer may retry after RetryAfter, if positive
	Fail                  // report the play as failed
	SetRung               // change the rung to Rung
	Move                  // end the play on its node so that it is placed again
	Cancel                // stop waiting for attempt Attempt
)

// Order is a decision about one play. The fields used depend on Action.
type Order struct {
	Play       Handle
	Action     Action
	Node       int
	Rung       int
	Attempt    int
	Deadline   int64
	RetryAfter int64
}

// Message is a message to the front end with number To. It may be lost.
type Message struct {
	To    int
	Bytes []byte
}

// Result is the outcome of a call. It is valid until the next call.
type Result struct {
	Orders   []Order   // to be carried out in this order
	Probes   []int     // nodes to probe
	Messages []Message // messages to other front ends
	WakeAt   int64     // latest time for the next call of Wake
}

// Policy makes the decisions of one front end. Calls must not be concurrent, and their times must not decrease.
// Stale handles are ignored. Implementations take their settings as a map from names to lists of numbers;
// docs/design.md lists the names.
type Policy interface {
	// UpdateNodes passes the whole node list, or only its changes.
	UpdateNodes(now int64, list []Node, complete bool) *Result
	// AddPlay accepts a play. The policy must answer it exactly once.
	AddPlay(now int64, req Request) (Handle, *Result)
	// AdoptPlay passes a play that already runs on a node.
	AdoptPlay(now int64, req Request, node int) (Handle, *Result)
	// AttemptStarted reports that an attempt of the play has started to play.
	AttemptStarted(now int64, h Handle, attempt int) *Result
	// AttemptEnded reports the outcome of an attempt. If finished is set, the play has ended.
	AttemptEnded(now int64, h Handle, attempt int, outcome Outcome, finished bool, load Load) *Result
	// DeliveryReported reports the share of the play's rate that its node delivers.
	DeliveryReported(now int64, h Handle, share float64) *Result
	// RungReported reports the current rung of an adopted play.
	RungReported(now int64, h Handle, rung int) *Result
	// LoadReported reports the utilization of the link of the play's node, or of its rack's uplink.
	LoadReported(now int64, h Handle, load Load) *Result
	// ViewerLeft reports that the viewer left.
	ViewerLeft(now int64, h Handle) *Result
	// ProbeEnded reports the outcome of a probe.
	ProbeEnded(now int64, node int, outcome Outcome, load Load) *Result
	// MessageReceived passes a message of another front end. Its content is not validated.
	MessageReceived(now int64, from int, bytes []byte) *Result
	// Wake performs timed work.
	Wake(now int64) *Result
	// ForgetViewer and ForgetNode release a number for reuse. They return true if nothing is remembered of it any
	// more. No unfinished play may have the viewer, and no outstanding order the node.
	ForgetViewer(now int64, viewer int) bool
	ForgetNode(now int64, node int) bool
}
