package session

import "sync/atomic"

// Verdict is what a request for a play came to.
type Verdict uint8

const (
	Plays    Verdict = iota // set up; the answer says where
	Declined                // refused; no allocation of it can have run, if it is paid
	Failed                  // it failed; an allocation of it may have run
	Denied                  // not taken at all: its token or its timing does not allow it
)

func (v Verdict) String() string { return [...]string{"plays", "declined", "failed", "denied"}[v] }

// Answer is the one answer to a request for a play.
type Answer struct {
	Verdict    Verdict
	Play       string // id of the play
	Node       string // name of its playout node
	Address    string // host:port where players fetch
	Title      string
	Product    int
	Viewer     string
	Rung       int
	MaxRung    int
	RetryAfter int64  // tenths of a millisecond; 0 is no advice
	Busy       bool   // denied as the same viewer's request is being answered
	TimedOut   bool   // failed as nothing came within the time limit
	Reason     string // one line for the log and the client
}

// Reply carries one answer from the core to one waiting request, once. Whoever comes second, an
// answer after the request was withdrawn or a withdrawal after the answer, is told so.
type Reply struct {
	taken  atomic.Bool
	answer chan Answer
	then   func(Answer)
}

// NewReply makes a reply that nobody has used.
func NewReply() *Reply { return &Reply{answer: make(chan Answer, 1)} }

// NewReplyFunc makes a reply whose answer goes to a function, on the core's goroutine. The function must not
// call the core.
func NewReplyFunc(then func(Answer)) *Reply { return &Reply{then: then} }

// Resolve answers, and tells whether this was the first use. It never blocks.
func (r *Reply) Resolve(a Answer) bool {
	if r == nil || !r.taken.CompareAndSwap(false, true) {
		return false
	}
	if r.then != nil {
		r.then(a)
	} else {
		r.answer <- a
	}
	return true
}

// Withdraw says that nobody waits any more. False says that an answer was given before: it is in
// Answer, and holds.
func (r *Reply) Withdraw() bool { return r.taken.CompareAndSwap(false, true) }

// Answer brings the answer, if there is one.
func (r *Reply) Answer() <-chan Answer { return r.answer }
