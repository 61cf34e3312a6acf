// Package recovery decides how a restarted front end treats the plays that it set up before the restart: which may
// still run and occupy seats, which a node's report confirms or ends, and how to answer a viewer who repeats the
// request for one of them. It does no I/O; the core of package session carries out the decisions.
//
// Each run of the front end has its own epoch. A play of an earlier epoch starts as Recorded if the play log has it,
// and as Unknown otherwise. A node that reports the play makes it Tracked. It becomes Ended when its node reports without
// it, when the node's process is known to be gone, or when its lease expires:
//
//	Unknown --reported--> Tracked --missing, node gone, lease expired--> Ended
//	Recorded --reported--> Tracked
//	Recorded --missing, node gone, lease expired--> Ended
//
// Conflicts are resolved conservatively: a play that may run keeps its seat, a play that this front end doesn't
// account for is ended at its node, and an ended play is never resumed.
package recovery

// State is what the front end knows of a play that a node reports.
type State uint8

const (
	Unknown    State = iota // not recorded and not tracked
	Recorded                // restored from the play log, not yet confirmed by its node
	Tracked                 // tracked with this attempt at this node
	Superseded              // tracked with another attempt, at another node or without a node
	Ended                   // known to have ended
)

// Action is what to do about a play that a node reports as running.
type Action uint8

const (
	Nothing Action = iota // the report agrees with what is known
	Confirm               // take process instance, start number and rung from the report
	Adopt                 // track it; its seat counts from now on
	End                   // end it at the node
)

// Reconcile decides on a play that a node reports as running. earlierEpoch says that an earlier run of this front end
// set it up, productKnown that its product is still configured.
func Reconcile(s State, earlierEpoch, productKnown bool) Action {
	switch s {
	case Tracked:
		return Nothing
	case Recorded:
		return Confirm
	case Unknown:
		if earlierEpoch && productKnown {
			return Adopt
		}
	}
	// Unknown in this epoch: the play was abandoned and its request answered as failed. Superseded: an earlier
	// attempt. Ended: the order to end it didn't reach the node. Each would occupy a seat that isn't counted.
	return End
}

// MissingHasEnded decides whether a tracked play that is missing from its node's report has ended. sameInstance says
// that the report comes from the process that was to run the play; startedBefore, that by the node's start counter
// the play was set up before the report was made. A play set up by the same process after the report was made is
// not expected in it and is not over.
func MissingHasEnded(sameInstance, startedBefore bool) (over bool) {
	return !sameInstance || startedBefore
}

// Resolution is how to answer a request without a token that repeats the request of a play of an earlier epoch.
type Resolution uint8

const (
	NewPlay Resolution = iota // set up a new play
	Resume                    // answer with the running play, whose own answer was lost in the crash
	Wait                      // ask the viewer to retry soon: the play may run, and a new one could duplicate it
)

// ResolveRequest decides on a request without a token for the same viewer, title and product as a play of an earlier
// epoch. answered says that the play's viewer was told that it plays, recorded that the play was in the play log.
//
// It covers a crash between a set-up and its answer: the viewer got no answer and repeats the request, and would
// otherwise occupy two seats and pay for two plays. The cost: a viewer who opens the same title on a second screen
// shortly after a crash gets the same play, which the node then delivers to both screens.
func ResolveRequest(s State, answered, recorded bool) Resolution {
	switch {
	case answered || !recorded: // the viewer has the play, or a duplicate does no harm
		return NewPlay
	case s == Tracked:
		return Resume
	case s == Recorded:
		return Wait
	}
	return NewPlay
}

// ReadyImmediately tells whether a restarted front end may take plays immediately after the first node list, because its play
// log is complete. If records are missing or none were kept, it must wait until each node has reported or its lease
// has expired.
func ReadyImmediately(recorded bool, lost uint64) (immediately bool) { return recorded && lost == 0 }
