// Package nodes is a front end's side of the wire to playout nodes, as docs/wire-nodes.md states it:
// set-ups, rungs, ends, probes and one stream of notes from each node.
//
// What it says of a set-up's end is strict: only a dial that failed, or a node that says so itself,
// proves that nothing ran. Set-ups go out on a connection of their own and are written once, so
// that no layer below can repeat them.
package nodes

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"gullrail/decision"
)

// LoadHeader carries a node's load report in an answer, in the text or JSON form of the Open Request
// Cost Aggregation's endpoint load metrics.
const LoadHeader = "endpoint-load-metrics"

// SetUp asks a node to set up a play: the body of POST /v1/plays/{play}.
type SetUp struct {
	Front    string `json:"front"`
	Epoch    int64  `json:"epoch"` // of the front's life; a node refuses one older than it has met
	Attempt  int    `json:"try"`
	Product  string `json:"product"`
	Title    string `json:"title"`
	Viewer   string `json:"viewer"`
	Rung     int    `json:"rung"`
	MaxRung  int    `json:"top"`
	Seq      int    `json:"seq"`
	UntilMs  int64  `json:"until_ms"`  // the front waits so long from now
	LengthMs int64  `json:"length_ms"` // guessed; 0 is not told
}

// Started is the body of the answer 201 to a SetUp.
type Started struct {
	Life int64 `json:"life"` // of the node's process
	Mark int64 `json:"mark"` // the node's count of plays started in that life, this one included
	Rung int   `json:"rung"` // in force
}

// Refusal is the body of any other answer.
type Refusal struct {
	NeverRan bool   `json:"never_ran"` // the node's word that nothing of the play ran
	Reason   string `json:"why"`
}

// SetRung is the body of PUT /v1/plays/{play}/rung.
type SetRung struct {
	Front   string `json:"front"`
	Epoch   int64  `json:"epoch"`
	Attempt int    `json:"try"`
	Rung    int    `json:"rung"`
	Seq     int    `json:"seq"` // one not above the last heard is old and does nothing
}

// Play is one play in a Note's Plays.
type Play struct {
	Play    string `json:"play"`
	Epoch   int64  `json:"epoch"`
	Attempt int    `json:"try"`
	Product string `json:"product"`
	Title   string `json:"title"`
	Viewer  string `json:"viewer"`
	Rung    int    `json:"rung"`
	Seq     int    `json:"seq"`
	MaxRung int    `json:"top"`
	LeftMs  int64  `json:"left_ms"` // 0 is not told
}

// The kinds of Note.
const (
	NoteHello     = "hello" // first on a stream: Node, Life, Mark, Plays
	NoteHeartbeat = "beat"  // nothing new
	NoteEnded     = "ended" // Play, Attempt, EndReason
	NoteShare     = "share" // Play, Attempt, Share
	NoteLoad      = "load"  // Play, Attempt, Link and Uplink, below 0 where not told
)

// How a play ended, in a Note.
const (
	EndOver = "over" // its time was over or its viewer stopped
	EndLost = "lost" // the node could not go on with it
)

// Note is one line of a node's stream to a front.
type Note struct {
	Kind      string  `json:"kind"`
	Node      string  `json:"node,omitempty"`
	Life      int64   `json:"life,omitempty"`
	Mark      int64   `json:"mark,omitempty"`
	Plays     []Play  `json:"plays,omitempty"`
	Play      string  `json:"play,omitempty"`
	Attempt   int     `json:"try,omitempty"`
	EndReason string  `json:"how,omitempty"`
	Share     float64 `json:"share,omitempty"`
	Link      float64 `json:"link,omitempty"`
	Uplink    float64 `json:"uplink,omitempty"`
}

// ParseNote reads a line of a stream.
func ParseNote(line []byte) (Note, error) {
	var n Note
	if err := json.Unmarshal(line, &n); err != nil {
		return Note{}, fmt.Errorf("note: %w", err)
	}
	switch n.Kind {
	case NoteHello:
		if n.Node == "" || n.Life <= 0 {
			return Note{}, fmt.Errorf("note hello: without node or life")
		}
		for _, p := range n.Plays {
			if p.Play == "" || p.Title == "" || p.Viewer == "" || p.Rung < 0 || p.MaxRung < 0 || p.Attempt < 0 || p.LeftMs < 0 {
				return Note{}, fmt.Errorf("note hello: play %.40q is malformed", p.Play)
			}
		}
	case NoteHeartbeat:
	case NoteEnded, NoteShare, NoteLoad:
		if n.Play == "" || n.Attempt < 0 {
			return Note{}, fmt.Errorf("note %s: without play", n.Kind)
		}
		if n.Kind == NoteEnded && n.EndReason != EndOver && n.EndReason != EndLost {
			return Note{}, fmt.Errorf("note ended: how %.20q is unknown", n.EndReason)
		}
		for _, x := range []float64{n.Share, n.Link, n.Uplink} {
			if math.IsNaN(x) || math.IsInf(x, 0) || x > 1e6 || x < -1 {
				return Note{}, fmt.Errorf("note %s: figure %v is out of range", n.Kind, x)
			}
		}
	default:
		return Note{}, fmt.Errorf("note: kind %.20q is unknown", n.Kind)
	}
	return n, nil
}

// FormatLoad writes a load report; ParseLoad reads one. What is not told is left out. A report that
// cannot be read says nothing: it is advice, and a set-up does not fail by it.
func FormatLoad(l decision.Load) string {
	var parts []string
	add := func(name string, v float64) {
		if v >= 0 {
			parts = append(parts, name+"="+strconv.FormatFloat(v, 'g', 6, 64))
		}
	}
	add("application_utilization", l.Link)
	add("named_metrics.uplink", l.Uplink)
	add("named_metrics.streams", l.Streams)
	return "TEXT " + strings.Join(parts, ", ")
}

// ParseLoad reads the value of LoadHeader.
func ParseLoad(s string) decision.Load {
	l := decision.UnknownLoad
	set := func(name string, v float64) {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return
		}
		switch name {
		case "application_utilization":
			l.Link = v
		case "named_metrics.uplink":
			l.Uplink = v
		case "named_metrics.streams":
			l.Streams = v
		}
	}
	if text, ok := strings.CutPrefix(s, "TEXT "); ok {
		for _, part := range strings.Split(text, ",") {
			name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
			if v, err := strconv.ParseFloat(val, 64); err == nil {
				set(name, v)
			}
		}
	} else if text, ok := strings.CutPrefix(s, "JSON "); ok {
		var m struct {
			Link  *float64           `json:"application_utilization"`
			Named map[string]float64 `json:"named_metrics"`
		}
		if json.Unmarshal([]byte(text), &m) == nil {
			if m.Link != nil {
				set("application_utilization", *m.Link)
			}
			for _, name := range []string{"uplink", "streams"} {
				if v, ok := m.Named[name]; ok {
					set("named_metrics."+name, v)
				}
			}
		}
	}
	return l
}
