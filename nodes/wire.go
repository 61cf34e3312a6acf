// Package nodes is the front end's client for the protocol of playout nodes, which docs/wire-nodes.md
// specifies: set-ups, changes of rung, ends of plays, load probes and one stream of notes from each
// node. It also contains the client of the list service.
//
// The outcome of a set-up is strict: only a failed dial, or an answer in which the node says so,
// proves that no play was started. Each set-up uses a connection of its own and is written once, so
// that no lower layer can retransmit the request.
package nodes

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"gullrail/decision"
)

// LoadHeader is the response header with a node's load report, in the text or JSON format of the
// endpoint load metrics of Open Request Cost Aggregation (ORCA).
const LoadHeader = "endpoint-load-metrics"

// SetUp asks a node to set up a play: the body of POST /v1/plays/{play}.
type SetUp struct {
	Front     string `json:"front"`
	Epoch     int64  `json:"epoch"` // increases with each start of the front; a node refuses one older than the latest it knows
	Attempt   int    `json:"try"`
	Product   string `json:"product"`
	Title     string `json:"title"`
	Viewer    string `json:"viewer"`
	Rung      int    `json:"rung"`
	MaxRung   int    `json:"top"`
	RungSeq   int    `json:"seq"`
	TimeoutMs int64  `json:"until_ms"`  // how long the front waits for the answer
	LengthMs  int64  `json:"length_ms"` // estimated length of the play; 0 if unknown
}

// Started is the body of a 201 response to a SetUp.
type Started struct {
	Instance int64 `json:"life"` // identifies the run of the node's process
	StartSeq int64 `json:"mark"` // number of plays started in that run, including this one
	Rung     int   `json:"rung"` // the current rung
}

// Refusal is the body of any other response to a SetUp.
type Refusal struct {
	NeverRan bool   `json:"never_ran"` // the node guarantees that it never started the play
	Reason   string `json:"why"`
}

// SetRung is the body of PUT /v1/plays/{play}/rung.
type SetRung struct {
	Front   string `json:"front"`
	Epoch   int64  `json:"epoch"`
	Attempt int    `json:"try"`
	Rung    int    `json:"rung"`
	RungSeq int    `json:"seq"` // an order with a number not above the last received one is ignored
}

// Play is one running play in the hello note.
type Play struct {
	Play        string `json:"play"`
	Epoch       int64  `json:"epoch"`
	Attempt     int    `json:"try"`
	Product     string `json:"product"`
	Title       string `json:"title"`
	Viewer      string `json:"viewer"`
	Rung        int    `json:"rung"`
	RungSeq     int    `json:"seq"`
	MaxRung     int    `json:"top"`
	RemainingMs int64  `json:"left_ms"` // estimated time left; 0 if unknown
}

// Kinds of notes, with the fields that each uses.
const (
	NoteHello     = "hello" // first note of a stream: Node, Instance, StartSeq, Plays
	NoteHeartbeat = "beat"  // no fields; shows that the node is alive
	NoteEnded     = "ended" // Play, Attempt, EndReason
	NoteShare     = "share" // Play, Attempt, Share
	NoteLoad      = "load"  // Play, Attempt, LinkUtilization and UplinkUtilization; negative if unknown
)

// Values of Note.EndReason.
const (
	EndOver = "over" // the play reached its end or its viewer stopped
	EndLost = "lost" // the node could not continue the play
)

// Note is one message, on a line of its own, in a node's stream to a front.
type Note struct {
	Kind              string  `json:"kind"`
	Node              string  `json:"node,omitempty"`
	Instance          int64   `json:"life,omitempty"`
	StartSeq          int64   `json:"mark,omitempty"`
	Plays             []Play  `json:"plays,omitempty"`
	Play              string  `json:"play,omitempty"`
	Attempt           int     `json:"try,omitempty"`
	EndReason         string  `json:"how,omitempty"`
	Share             float64 `json:"share,omitempty"`
	LinkUtilization   float64 `json:"link,omitempty"`
	UplinkUtilization float64 `json:"uplink,omitempty"`
}

// ParseNote parses and validates one line of a node's stream.
func ParseNote(line []byte) (Note, error) {
	var n Note
	if err := json.Unmarshal(line, &n); err != nil {
		return Note{}, fmt.Errorf("note: %w", err)
	}
	switch n.Kind {
	case NoteHello:
		if n.Node == "" || n.Instance <= 0 {
			return Note{}, fmt.Errorf("note hello: node or life is missing")
		}
		for _, p := range n.Plays {
			if p.Play == "" || p.Title == "" || p.Viewer == "" || p.Rung < 0 || p.MaxRung < 0 || p.Attempt < 0 || p.RemainingMs < 0 {
				return Note{}, fmt.Errorf("note hello: play %.40q is malformed", p.Play)
			}
		}
	case NoteHeartbeat:
	case NoteEnded, NoteShare, NoteLoad:
		if n.Play == "" || n.Attempt < 0 {
			return Note{}, fmt.Errorf("note %s: play is missing or try is negative", n.Kind)
		}
		if n.Kind == NoteEnded && n.EndReason != EndOver && n.EndReason != EndLost {
			return Note{}, fmt.Errorf("note ended: unknown value %.20q of how", n.EndReason)
		}
		for _, x := range []float64{n.Share, n.LinkUtilization, n.UplinkUtilization} {
			if math.IsNaN(x) || math.IsInf(x, 0) || x > 1e6 || x < -1 {
				return Note{}, fmt.Errorf("note %s: share, link or uplink %v is out of range", n.Kind, x)
			}
		}
	default:
		return Note{}, fmt.Errorf("note: unknown kind %.20q", n.Kind)
	}
	return n, nil
}

// FormatLoad formats a load report as the value of LoadHeader. Unknown figures are omitted.
func FormatLoad(l decision.Load) string {
	var parts []string
	add := func(name string, v float64) {
		if v >= 0 {
			parts = append(parts, name+"="+strconv.FormatFloat(v, 'g', 6, 64))
		}
	}
	add("application_utilization", l.LinkUtilization)
	add("named_metrics.uplink", l.UplinkUtilization)
	add("named_metrics.streams", l.Streams)
	return "TEXT " + strings.Join(parts, ", ")
}

// ParseLoad parses the value of LoadHeader. Invalid parts are ignored and leave their figures unknown: the report is
// advisory, and a set-up must not fail because of it.
func ParseLoad(s string) decision.Load {
	l := decision.UnknownLoad
	set := func(name string, v float64) {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return
		}
		switch name {
		case "application_utilization":
			l.LinkUtilization = v
		case "named_metrics.uplink":
			l.UplinkUtilization = v
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
