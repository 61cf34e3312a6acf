package session

import "sync/atomic"

// Verdict is the outcome of a request for a play.
type Verdict uint8

const (
	Started  Verdict = iota // the play runs; the answer says where
	Declined                // refused; if its product is paid, no allocation can have run
	Failed                  // an allocation may have run
	Denied                  // not accepted because of its token, or because the play may already be under way
)

func (v Verdict) String() string { return [...]string{"plays", "declined", "failed", "denied"}[v] }

// Answer is the one answer to a request for a play.
type Answer struct {
	Verdict    Verdict
	Play       string // ID of the play
	Node       string // name of its playout node
	Address    string // host:port from which players fetch segments
	Title      string
	Product    int
	Viewer     string
	Rung       int
	MaxRung    int
	RetryAfter int64  // tenths of a millisecond; 0 if not advised
	Busy       bool   // denied because a request of the same viewer, or its earlier play, is still unresolved
	TimedOut   bool   // failed because there was no answer within the time limit
	Reason     string // one line for the log and the client
}

// Reply carries the answer from the core to a waiting request. It is used once, either to answer or to withdraw; the
// second of the two calls returns false.
type Reply struct {
	used     atomic.Bool
	answer   chan Answer
	callback func(Answer)
}

// NewReply returns an unused reply whose answer goes to the channel Answer.
func NewReply() *Reply { return &Reply{answer: make(chan Answer, 1)} }

// NewReplyFunc returns a reply whose answer is passed to a function on the goroutine that calls Resolve. The function
// must neither block nor call the core.
func NewReplyFunc(callback func(Answer)) *Reply { return &Reply{callback: callback} }

// Resolve answers the request. It returns false if the reply was used before. With NewReply it never blocks.
func (r *Reply) Resolve(a Answer) bool {
	if r == nil || !r.used.CompareAndSwap(false, true) {
		return false
	}
	if r.callback != nil {
		r.callback(a)
	} else {
		r.answer <- a
	}
	return true
}

// Withdraw records that nobody waits for the answer any more. It returns false if the request was answered before; that
// answer stands.
func (r *Reply) Withdraw() bool { return r.used.CompareAndSwap(false, true) }

// Answer returns the channel that receives the answer.
func (r *Reply) Answer() <-chan Answer { return r.answer }
