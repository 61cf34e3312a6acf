// Package convert turns the platform's words into the module's, the same for every way in: the settings, what a
// request says of a title and its viewer, lines of the list, reports. It decides nothing.
package convert

import (
	"encoding/json"
	"fmt"
	"math"

	"gullrail/decision"
)

// Names of the wire's settings beside ours. A "-ms" figure becomes tenths of a millisecond.
var plain = []struct {
	wire, ours string
	required   bool
}{
	{"balancers", "fronts", true}, {"me", "front", true},
	{"family-info.places", "cells", true}, {"family-info.shelves", "racks", true},
	{"family-info.kind-streams", "kind.streams", true},
	{"family-info.rung-kb", "rung.rate", true}, {"family-info.ladder-worth", "rung.worth", true},
	{"family-info.rate-factor", "product.rate", true}, {"family-info.lowest-rung", "product.floor", false},
	{"family-info.highest-rung", "product.top", false}, {"family-info.seats", "product.seats", false},
	{"family-info.rack-link-kb", "uplink.rate", false}, {"family-info.weight-kb", "weight.rate", true},
	{"family-info.see-ms", "note.lag", false},
	{"family-info.switch-s", "switch.seconds", false},
	{"family-info.is-live", "product.live", false}, {"family-info.join-adds", "join", false},
	{"limits.peer-messages", "peers", false},
	{"limits.most-tries", "tries", true}, {"limits.probing", "probing", false},
	{"limits.retry-after", "comeback", false}, {"limits.max-retry-after-ms", "comeback.most", false},
	{"limits.cancel", "recall", false},
	{"safety.cold-share", "cold.share", true},
	{"safety.warm-after-ms", "cold.lasts", true},
	{"safety.fall-multiple", "fall.multiple", true}, {"safety.fall-ms", "fall.over", true},
	{"safety.repeat-ratio", "budget.share", false}, {"safety.free-resends", "budget.free", false},
	{"safety.counted-over-ms", "budget.over", false},
}

// perLane are settings that each lane of the wire carries.
var perLane = []struct{ wire, ours string }{
	{"objective-ms", "product.target"}, {"worth", "product.importance"},
}

// Settings are an instance's settings in the module's words, and the names that become small numbers.
type Settings struct {
	PolicySettings         map[string][]float64 // for the module
	Products, Kinds, Zones map[string]int
	Columns                []string // of a load report
	root                   map[string]any
}

// FieldError names the field that could not be read.
type FieldError struct{ Field, Problem string }

func (e FieldError) Error() string { return "field " + e.Field + ": " + e.Problem }

// Ticks turns milliseconds into tenths of them.
func Ticks(ms float64) int64 { return int64(math.Round(ms * float64(decision.Millisecond))) }

func numbers(v any, scale float64) ([]float64, bool) {
	switch v := v.(type) {
	case float64:
		return []float64{v * scale}, true
	case bool:
		if v {
			return []float64{1}, true
		}
		return []float64{0}, true
	case []any:
		var all []float64
		for _, e := range v {
			one, ok := numbers(e, scale)
			if !ok {
				return nil, false
			}
			all = append(all, one...)
		}
		return all, true
	}
	return nil, false
}

func scaleOf(name string) float64 {
	if len(name) > 3 && name[len(name)-3:] == "-ms" {
		return 10
	}
	return 1
}

func lookup(root map[string]any, path string) (any, bool) {
	for i := range len(path) {
		if path[i] == '.' {
			inner, ok := root[path[:i]].(map[string]any)
			if !ok {
				return nil, false
			}
			v, ok := inner[path[i+1:]]
			return v, ok
		}
	}
	v, ok := root[path]
	return v, ok
}

func index(root map[string]any, path string) (map[string]int, error) {
	v, _ := lookup(root, path)
	list, ok := v.([]any)
	if !ok {
		return nil, FieldError{"config." + path, "missing or not a list"}
	}
	at := map[string]int{}
	for i, e := range list {
		s, ok := e.(string)
		if !ok {
			return nil, FieldError{"config." + path, "holds something that is not a name"}
		}
		at[s] = i
	}
	return at, nil
}

// Parse reads the settings, a JSON object. An error is a FieldError.
func Parse(text string) (*Settings, error) {
	var root map[string]any
	if err := json.Unmarshal([]byte(text), &root); err != nil {
		return nil, FieldError{"config", "not a JSON object: " + err.Error()}
	}
	out := map[string][]float64{}
	for _, s := range plain {
		v, ok := lookup(root, s.wire)
		if !ok {
			if s.required {
				return nil, FieldError{"config." + s.wire, "missing"}
			}
			continue
		}
		if out[s.ours], ok = numbers(v, scaleOf(s.wire)); !ok || s.required && len(out[s.ours]) == 0 {
			return nil, FieldError{"config." + s.wire, "not a number or a list of numbers"}
		}
	}
	lanes, _ := root["lanes"].([]any)
	if len(lanes) == 0 {
		return nil, FieldError{"config.lanes", "missing"}
	}
	nm := &Settings{PolicySettings: out, Products: map[string]int{}, root: root}
	for i, l := range lanes {
		lane, _ := l.(map[string]any)
		name, _ := lane["name"].(string)
		effect, _ := lane["effect"].(string)
		if name == "" || effect == "" {
			return nil, FieldError{fmt.Sprintf("config.lanes[%d]", i), "without a name or an effect"}
		}
		nm.Products[name] = i
		paid := 1.0
		if effect == "read_like" {
			paid = 0
		}
		out["product.paid"] = append(out["product.paid"], paid)
		for _, s := range perLane {
			v, ok := lane[s.wire].(float64)
			if !ok {
				return nil, FieldError{fmt.Sprintf("config.lanes[%d].%s", i, s.wire), "missing"}
			}
			out[s.ours] = append(out[s.ours], v*scaleOf(s.wire))
		}
	}
	if rates := out["product.rate"]; len(rates) != len(lanes) {
		return nil, FieldError{"config.family-info.rate-factor", "not one value for each lane"}
	}
	var err error
	if nm.Kinds, err = index(root, "shapes"); err != nil {
		return nil, err
	}
	if nm.Zones, err = index(root, "localities"); err != nil {
		return nil, err
	}
	if own, ok := root["zone"].(string); ok {
		if z, ok := nm.Zones[own]; ok {
			out["zone"] = []float64{float64(z)}
		}
	}
	if v, ok := lookup(root, "report.columns"); ok {
		list, _ := v.([]any)
		for _, e := range list {
			s, _ := e.(string)
			nm.Columns = append(nm.Columns, s)
		}
	}
	how, _ := lookup(root, "report.how")
	out["reports.answers"], out["reports.uplink"] = []float64{0}, []float64{0}
	if how == "piggyback" {
		out["reports.answers"][0] = 1
	}
	for _, c := range nm.Columns {
		if c == "x1" {
			out["reports.uplink"][0] = 1
		}
	}
	return nm, nil
}

// Number is a setting that the module has no use for, by its path, or what stands in for one not given.
func (s *Settings) Number(path string, or float64) float64 {
	v, _ := lookup(s.root, path)
	if n, ok := v.(float64); ok {
		return n
	}
	return or
}

// LongestLimit is the longest time limit of a product, milliseconds.
func (s *Settings) LongestLimit() (longest float64) {
	lanes, _ := s.root["lanes"].([]any)
	for _, l := range lanes {
		lane, _ := l.(map[string]any)
		ms, _ := lane["deadline-ms"].(float64)
		longest = max(longest, ms)
	}
	return longest
}

// Request is what a request says. Title and Viewer are the front's own numbers for their names.
type Request struct {
	Product, Title, Viewer        int
	TitleName                     string
	LeftMs, HintMs                float64 // HintMs is 0 where none is given
	FirstCell, CellCount, MaxRung int
	Moved, Retry                  bool
}

// PolicyRequest is a request in the module's words.
func (r Request) PolicyRequest(now int64) decision.Request {
	return decision.Request{Product: r.Product, Title: r.Title, Key: decision.HashName(r.TitleName), Viewer: r.Viewer, Deadline: now + Ticks(r.LeftMs),
		Length: Ticks(r.HintMs), FirstCell: r.FirstCell, CellCount: r.CellCount, MaxRung: r.MaxRung, Moved: r.Moved, Retry: r.Retry}
}

// Row is a line of the list; Started is on the front's clock.
type Row struct {
	Phase            decision.Phase
	Name             string // the same at every front
	Kind, Zone, Cell int
	StartedAt        int64
	Weight           float64
}

// Node is a line of the list in the module's words, with the front's own number for its name.
func (r Row) Node(index int) decision.Node {
	return decision.Node{Index: index, Phase: r.Phase, Kind: r.Kind, Zone: r.Zone, Cell: r.Cell, StartedAt: r.StartedAt, Weight: r.Weight, Key: decision.HashName(r.Name)}
}

// Load is a report of which a field is told by its column and that column's place; fields that no call uses are
// passed over.
func (s *Settings) Load(value func(i int, column string) (float64, bool)) decision.Load {
	l := decision.UnknownLoad
	for i, col := range s.Columns {
		v, ok := value(i, col)
		if !ok {
			continue
		}
		switch col {
		case "inflight":
			l.Streams = v
		case "x0":
			l.Link = v
		case "x1":
			l.Uplink = v
		case "util":
			if l.Link < 0 {
				l.Link = v
			}
		}
	}
	return l
}

// ApplyNote is a note of one of the kinds that nodes send while a play plays, by its number.
func ApplyNote(mod decision.Policy, now int64, h decision.Handle, kind int, level float64) *decision.Result {
	switch kind {
	case 1:
		return mod.DeliveryReported(now, h, level)
	case 2:
		return mod.RungReported(now, h, int(level))
	case 3:
		return mod.LoadReported(now, h, decision.Load{Streams: -1, Link: level, Uplink: -1})
	case 4:
		return mod.LoadReported(now, h, decision.Load{Streams: -1, Link: -1, Uplink: level})
	}
	return nil
}
