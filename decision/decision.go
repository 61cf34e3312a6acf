// Package decision defines the interface between a front end and the policy that decides for it:
// the calls, their arguments and their results. It depends on no wire format and decides nothing.
package decision

import "hash/fnv"

// Times are counted in tenths of a millisecond.
const (
	Ms     int64 = 10
	Second       = 1000 * Ms
)

// Key is a name's number that all fronts work out alike, for Node.Key and Want.Key. Two names may share one.
func Key(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// Handle names a play in hand: a place and its generation. The zero Handle names nobody.
type Handle struct {
	Place int32
	Gen   uint32
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
	Index   int // small number, the same for the same address
	Phase   Phase
	Kind    int
	Zone    int
	Cell    int
	Started int64 // latest start; 0 is long past
	Weight  float64
	Key     uint32 // the same at every front for the same node; used where fronts tell each other
}

// Want is what a viewer asks for.
type Want struct {
	Product int
	Title   int
	Viewer  int
	Limit   int64  // when the client gives up
	Length  int64  // guessed length from now; 0 is not told
	Home    int    // first cell that holds the title
	Copies  int    // cells in a row that hold it
	Top     int    // best rung the viewer can use
	Key     uint32 // of the title, the same at every front
	Moved   bool   // back from a move
	Again   bool   // not the viewer's first try
}

// Ending is how an allocation ended.
type Ending uint8

const (
	Served     Ending = iota
	Errored           // may have run
	TurnedAway        // never ran
	NoAnswer          // may have run, or still runs
	NoConnect         // never ran
	Lost              // the connection broke; may have run
	CalledOff         // may have run
	NotSent           // never ran
)

// MayHaveRun tells that an allocation that ended so may have run: nothing proves that it did not.
func (e Ending) MayHaveRun() bool { return e != TurnedAway && e != NoConnect && e != NotSent }

// Load is a node's report. A figure below 0 was not told.
type Load struct{ Streams, Link, Uplink float64 }

// Untold is a report that says nothing.
var Untold = Load{-1, -1, -1}

// Do is what to do with a play.
type Do uint8

const (
	Place   Do = iota // allocate it to Node at Rung, given up at Until
	Decline           // turn it away; the viewer may come back after ComeBack, if above 0
	Fail              // it failed
	SetRung           // change its rung to Rung
	Move              // end it here, to be placed anew
	Recall            // stop waiting for allocation Try
)

// Order is one decision about one play.
type Order struct {
	Play     Handle
	Do       Do
	Node     int
	Rung     int
	Try      int
	Until    int64
	ComeBack int64
}

// Tell is a message to another front end, known by its number. It may be lost.
type Tell struct {
	To    int
	Bytes []byte
}

// Result is what a call decided. It is valid until the next call.
type Result struct {
	Orders []Order // to be carried out in this order
	Probes []int   // nodes to probe
	Tells  []Tell  // messages to other front ends
	Wake   int64   // when Wake wants to be called at the latest
}

// Chooser decides for one front end. Calls come one at a time with a clock that never goes
// back. A stale handle is ignored. Settings that New of an implementation reads are a plain
// map from names to lists of numbers, named in docs/design.md.
type Chooser interface {
	// Nodes brings the whole list, or only what changed.
	Nodes(now int64, list []Node, whole bool) *Result
	// Take accepts a play: exactly one answer is owed from here on.
	Take(now int64, w Want) (Handle, *Result)
	// Adopt hands over a play that already plays on a node.
	Adopt(now int64, w Want, node int) (Handle, *Result)
	// Started says that the play's allocation plays.
	Started(now int64, h Handle, try int) *Result
	// Ended says how allocation try ended; over, that the play is finished with it.
	Ended(now int64, h Handle, try int, how Ending, over bool, load Load) *Result
	// Delivered tells the share of its rate that the play's node delivers.
	Delivered(now int64, h Handle, share float64) *Result
	// Told tells the rung in force of an adopted play.
	Told(now int64, h Handle, rung int) *Result
	// Asked tells what is asked of the link, or of the rack's uplink, over what it gives.
	Asked(now int64, h Handle, load Load) *Result
	// Left says that the viewer went away.
	Left(now int64, h Handle) *Result
	// Probed brings the end of a probe.
	Probed(now int64, node int, how Ending, load Load) *Result
	// Heard brings a message of another front end, whatever it holds.
	Heard(now int64, from int, bytes []byte) *Result
	// Wake lets the module do what is due.
	Wake(now int64) *Result
	// ForgetViewer and ForgetNode ask to use a number again: true says that nothing of it is
	// remembered any more. No play in hand may have the viewer, nor an order still out the node.
	ForgetViewer(now int64, viewer int) bool
	ForgetNode(now int64, node int) bool
}
