// Package recovery decides what a front end believes of the plays of its earlier lives: which may still run and
// hold seats, which a node's word confirms or ends, and what a viewer gets who asks again for one. No I/O: the
// core of package session carries out what is decided here.
//
// A play of an earlier life is in one of these standings. It begins Recorded, where a record tells of it, or
// Unknown; a node's word makes it Held; its end, by word, by a node seen gone or by the lease, makes it Ended:
//
//	Unknown --told--> Held --missing, gone, lapsed--> Ended
//	Recorded --told--> Held
//	Recorded --missing, gone, lapsed--> Ended
//
// Every conflict is settled in the safe direction: what may run keeps its seat, what nobody here answers for is
// ended at its node, and what is over is never taken up again.
package recovery

// State is what the front holds of a play when a node speaks of it.
type State uint8

const (
	Unknown   State = iota // no record of it, and not in hand
	Recorded               // taken over by record, not yet confirmed by its node
	Held                   // in hand at this node, with this allocation
	Elsewhere              // in hand, but with another allocation or at another node, or not placed now
	Ended                  // it ended, and this is remembered
)

// Action is what to do about a play that a node runs.
type Action uint8

const (
	Nothing Action = iota // it is as known
	Confirm               // take the node's word for its life, rung and mark
	Adopt                 // take it over: its seat counts from now on
	End                   // end it at the node
)

// Reconcile judges a play that a node says it runs. older: it was set up by an earlier life of this front. known: this
// front still has its product.
func Reconcile(s State, older, known bool) Action {
	switch s {
	case Held:
		return Nothing
	case Recorded:
		return Confirm
	case Unknown:
		if older && known {
			return Adopt
		}
	}
	// Of this life and not in hand: it was given up, and its answer went out as failed. Elsewhere: an allocation
	// that was let go. Ended: its end did not reach the node. Each would hold a seat that nobody counts.
	return End
}

// MissingIsOver judges a play in hand that a node does not name among those it runs. sameLife: the process that was
// to run it is the one that speaks. before: the node's count says that it was set up before it spoke, so that
// its word covers the play. The play is over if the word covers it; a set-up that crossed with the word is not.
func MissingIsOver(sameLife, before bool) (over bool) { return !sameLife || before }

// Resolution is what a viewer gets who asks, without a token, for what an unheard play of an earlier life is of.
type Resolution uint8

const (
	Fresh  Resolution = iota // a play of its own
	Resume                   // the play that runs already: its answer was lost with the earlier life
	Wait                     // come back soon: it may run, and giving another could give two
)

// ResolveRequest judges a viewer's fresh request for the same title and product as a play of an earlier life.
//
// Guards against the crash between a set-up and its answer: the viewer, who was told nothing, asks again, and
// would hold two seats and pay for two plays. Could harm a viewer who opens the same title on a second screen
// within moments of a crash: it gets the same play, which the node delivers to both.
func ResolveRequest(s State, heard, kept bool) Resolution {
	switch {
	case heard || !kept: // its viewer has it, or it may be doubled without harm
		return Fresh
	case s == Held:
		return Resume
	case s == Recorded:
		return Wait
	}
	return Fresh
}

// Ready says how a front that starts may take plays: at once after the first list, if its records tell of all
// it held; only once each node was heard or its lease has passed, if records are missing or none were kept.
func Ready(kept bool, lost uint64) (atOnce bool) { return kept && lost == 0 }
