// Package trace records the events that simulated nodes, the list service and simulated players see on their sockets,
// timed by one monotonic clock.
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

// Kinds of events, and the fields of Event that each sets.
const (
	RequestSent        = "ask"      // a player sent a request: ID, Front, Viewer, Product, Title, LimitMs; Play is the viewer's previous play
	Answer             = "answer"   // the request was answered: ID, Status, Play; Status 0 means no answer, Note says why
	PlayerDisconnected = "gone"     // the player disconnected before it got an answer: ID
	PlayerLeaving      = "leave"    // the player is about to tell its front that it has finished watching: Play
	SetUp              = "setup"    // a node received a set-up: Node, Front, Play, Attempt, Product, Title, Rung
	Started            = "started"  // the node answered that the play runs; fields as for SetUp
	Refused            = "refused"  // the node answered that the play never ran; fields as for SetUp
	Errored            = "errored"  // the node answered with an error; fields as for SetUp
	Dropped            = "dropped"  // the front closed the connection before the node answered; fields as for SetUp
	Rung               = "rung"     // a node was told to change a play's rung: Node, Front, Play, Product, Rung
	End                = "end"      // a node was told to end a play: Node, Front, Play, Attempt
	Ended              = "ended"    // a node ended a play of its own accord: Node, Front, Play
	Served             = "served"   // a node sent a segment: Node, Play, Rung, Share
	Load               = "load"     // a node's load, once a second: Node, Share (demand over capacity of its link), Uplink (the same for its uplink)
	NodeStarted        = "life"     // a node's process started: Node; Note is cold or warm
	NodeCrashed        = "crash"    // a node's process crashed: Node
	Overloaded         = "fell"     // a cold node crashed under too many set-ups: Node
	ListSent           = "told"     // the list service sent a front the state of a node: Front, Node, Note is the phase
	FrontKilled        = "killed"   // a front was killed: Front
	FrontStopped       = "stopped"  // a front's process was suspended: Front
	FrontResumed       = "goes"     // a front's suspended process was resumed: Front
	FrontStarted       = "up"       // a front's process was started: Front
	Fault              = "fault"    // the scenario injected a fault: Note
	StreamClosed       = "unstream" // a node lost or closed the stream to a front: Node, Front
)

// Event is one observed event. T is in microseconds since the trace began.
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
	First   bool    `json:"first,omitempty"`    // of a RequestSent: the viewer's first request
	WatchMs int64   `json:"watch_ms,omitempty"` // of a first RequestSent: how long the viewer intends to watch; Rung is the highest it can play
	Share   float64 `json:"share,omitempty"`    // of Served: the rate at which the segment was delivered over its bit rate
	Uplink  float64 `json:"uplink,omitempty"`
	Status  int     `json:"status,omitempty"`
	Note    string  `json:"note,omitempty"`
}

// Recorder collects the events of many goroutines in the order of their times.
type Recorder struct {
	started time.Time
	offset  time.Duration // time of the trace's clock at started
	mu      sync.Mutex
	events  []Event
}

// New starts a trace whose clock begins now.
func New() *Recorder { return &Recorder{started: time.Now()} }

// NewSince starts a trace whose clock began when the machine's monotonic clock read base, so that several processes
// of one machine can share one clock.
func NewSince(base time.Duration) *Recorder {
	return &Recorder{started: time.Now(), offset: Monotonic() - base}
}

// Monotonic reads the machine's monotonic clock.
func Monotonic() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(fmt.Sprintf("trace: read monotonic clock: %v", err))
	}
	return time.Duration(t.Nano())
}

// Add records an event and sets its time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	e.T = (r.offset + time.Since(r.started)).Microseconds()
	r.events = append(r.events, e)
	r.mu.Unlock()
}

// Merge sorts the events of several traces of one clock by time.
func Merge(traces ...[]Event) []Event {
	var all []Event
	for _, t := range traces {
		all = append(all, t...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].T < all[j].T })
	return all
}

// Events returns a copy of the recorded events.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// Write writes events as JSON, one per line.
func Write(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return fmt.Errorf("trace: write event: %w", err)
		}
	}
	return out.Flush()
}

// Read reads events in the format of Write.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for line := 1; scanner.Scan(); line++ {
		var e Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", line, err)
		}
		events = append(events, e)
	}
	return events, scanner.Err()
}
