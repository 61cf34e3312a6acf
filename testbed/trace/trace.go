// Package trace records the events on the sockets of simulated nodes, the list service and simulated players, by
// one monotonic clock.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// What an Event tells of.
const (
	Ask          = "ask"      // a player sent a request: ID, Front, Viewer, Product, Title, LimitMs, Play it had before
	Answer       = "answer"   // it was answered: ID, Status, Play; Status 0 is no answer, Note says why
	Gone         = "gone"     // the player went away before an answer: ID
	Leave        = "leave"    // the player is about to tell its front that it is done: Play
	SetUp        = "setup"    // a node received a set-up: Node, Front, Play, Attempt, Product, Title, Rung
	Started      = "started"  // and answered that it plays
	Refused      = "refused"  // or that it never ran
	Errored      = "errored"  // or that it failed
	Dropped      = "dropped"  // or the front closed the connection first
	Rung         = "rung"     // a node received a new rung: Node, Front, Play, Product, Rung
	End          = "end"      // a node received the word to end a play: Node, Front, Play, Attempt
	Ended        = "ended"    // a node ended a play by itself: Node, Front, Play
	Served       = "served"   // a node sent a segment: Node, Play, Rung
	Load         = "load"     // once a second: Node, Share is what is asked of its link over what it gives, Uplink the same
	Life         = "life"     // a node's process began: Node; Note is cold or warm
	Crash        = "crash"    // and ended: Node
	Overloaded   = "fell"     // a cold node was pushed over: Node
	ListSent     = "told"     // the list service told a front: Front, Node, Note is the phase
	FrontKilled  = "killed"   // a front was killed: Front
	FrontStopped = "stopped"  // a front's process was stopped: Front
	Continued    = "goes"     // and goes on
	FrontStarted = "up"       // a front's process was started: Front
	Fault        = "fault"    // the script did something: Note
	StreamClosed = "unstream" // a node lost or closed the stream to a front: Node, Front
)

// Event is one thing that passed. T is in microseconds since the trace began.
type Event struct {
	T       int64   `json:"t"`
	Kind    string  `json:"what"`
	ID      int64   `json:"id,omitempty"`
	Front   string  `json:"front,omitempty"`
	Node    string  `json:"node,omitempty"`
	Play    string  `json:"play,omitempty"`
	Attempt int     `json:"try,omitempty"`
	Viewer  string  `json:"viewer,omitempty"`
	Product string  `json:"product,omitempty"`
	Title   string  `json:"title,omitempty"`
	Rung    int     `json:"rung,omitempty"`
	LimitMs int64   `json:"limit_ms,omitempty"`
	First   bool    `json:"first,omitempty"`    // of an Ask: the viewer's first try
	WatchMs int64   `json:"watch_ms,omitempty"` // of a first Ask: how long the viewer means to watch; Rung is its best
	Share   float64 `json:"share,omitempty"`    // of Served: the share of its rate that was delivered
	Uplink  float64 `json:"uplink,omitempty"`
	Status  int     `json:"status,omitempty"`
	Note    string  `json:"note,omitempty"`
}

// Recorder collects lines of many goroutines in the order of their times.
type Recorder struct {
	began time.Time
	base  time.Duration // what the clock showed then
	mu    sync.Mutex
	lines []Event
}

// New starts a trace and its clock.
func New() *Recorder { return &Recorder{began: time.Now()} }

// NewSince starts a trace whose clock began at a moment of the machine's monotonic clock, so that the traces of
// several processes of one machine go by one clock.
func NewSince(base time.Duration) *Recorder {
	return &Recorder{began: time.Now(), base: Monotonic() - base}
}

// Monotonic reads the machine's monotonic clock.
func Monotonic() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(fmt.Sprintf("tape: no monotonic clock: %v", err))
	}
	return time.Duration(t.Nano())
}

// Add records a line, with its time.
func (r *Recorder) Add(l Event) {
	r.mu.Lock()
	l.T = (r.base + time.Since(r.began)).Microseconds()
	r.lines = append(r.lines, l)
	r.mu.Unlock()
}

// Merge puts the events of several traces of one clock in the order of their times.
func Merge(tapes ...[]Event) []Event {
	var all []Event
	for _, t := range tapes {
		all = append(all, t...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].T < all[j].T })
	return all
}

// Events is a copy of what was recorded.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.lines...)
}

// Write writes lines as JSON, one a line.
func Write(w io.Writer, lines []Event) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	for i := range lines {
		if err := enc.Encode(&lines[i]); err != nil {
			return fmt.Errorf("tape: %w", err)
		}
	}
	return out.Flush()
}

// Read reads what Write wrote.
func Read(r io.Reader) ([]Event, error) {
	var lines []Event
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	for n := 1; in.Scan(); n++ {
		var l Event
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("tape: line %d: %w", n, err)
		}
		lines = append(lines, l)
	}
	return lines, in.Err()
}
