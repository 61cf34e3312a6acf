// Package convert translates the terms of the platform and of the test bench into those of package decision:
// settings, requests, entries of the node list and load reports. It makes no decisions.
package convert

import (
	"encoding/json"
	"fmt"
	"math"

	"gullrail/decision"
)

// commonSettings maps the names of settings on the wire to those of the policy. Values whose name ends in "-ms"
// are converted to tenths of a millisecond.
var commonSettings = []struct {
	wireName, policyName string
	required             bool
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

// laneSettings maps the settings of a lane, which is a product on the wire.
var laneSettings = []struct{ wireName, policyName string }{
	{"objective-ms", "product.target"}, {"worth", "product.importance"},
}

// Settings holds the settings of a policy, and the numbers that stand for names.
type Settings struct {
	PolicySettings         map[string][]float64 // for placement.New
	Products, Kinds, Zones map[string]int
	Columns                []string // columns of a load report
	root                   map[string]any
}

// FieldError names a field that is missing or invalid.
type FieldError struct{ Field, Problem string }

func (e FieldError) Error() string { return "field " + e.Field + ": " + e.Problem }

// Ticks converts milliseconds to the time unit of package decision.
func Ticks(ms float64) int64 { return int64(math.Round(ms * float64(decision.Millisecond))) }

func toNumbers(v any, scale float64) ([]float64, bool) {
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
			one, ok := toNumbers(e, scale)
			if !ok {
				return nil, false
			}
			all = append(all, one...)
		}
		return all, true
	}
	return nil, false
}

func unitScale(name string) float64 {
	if len(name) > 3 && name[len(name)-3:] == "-ms" {
		return 10
	}
	return 1
}

// lookup returns the setting at a path of one or two elements, separated by a dot.
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

func indexNames(root map[string]any, path string) (map[string]int, error) {
	v, _ := lookup(root, path)
	list, ok := v.([]any)
	if !ok {
		return nil, FieldError{"config." + path, "missing or not a list"}
	}
	indexes := map[string]int{}
	for i, e := range list {
		s, ok := e.(string)
		if !ok {
			return nil, FieldError{"config." + path, "contains a value that is not a string"}
		}
		indexes[s] = i
	}
	return indexes, nil
}

// Parse parses the settings, a JSON object. An error is a FieldError.
func Parse(text string) (*Settings, error) {
	var root map[string]any
	if err := json.Unmarshal([]byte(text), &root); err != nil {
		return nil, FieldError{"config", "not a JSON object: " + err.Error()}
	}
	policySettings := map[string][]float64{}
	for _, s := range commonSettings {
		v, ok := lookup(root, s.wireName)
		if !ok {
			if s.required {
				return nil, FieldError{"config." + s.wireName, "missing"}
			}
			continue
		}
		if policySettings[s.policyName], ok = toNumbers(v, unitScale(s.wireName)); !ok || s.required && len(policySettings[s.policyName]) == 0 {
			return nil, FieldError{"config." + s.wireName, "not a number or a list of numbers"}
		}
	}
	lanes, _ := root["lanes"].([]any)
	if len(lanes) == 0 {
		return nil, FieldError{"config.lanes", "missing"}
	}
	settings := &Settings{PolicySettings: policySettings, Products: map[string]int{}, root: root}
	for i, l := range lanes {
		lane, _ := l.(map[string]any)
		name, _ := lane["name"].(string)
		effect, _ := lane["effect"].(string)
		if name == "" || effect == "" {
			return nil, FieldError{fmt.Sprintf("config.lanes[%d]", i), "name or effect missing"}
		}
		settings.Products[name] = i
		paid := 1.0
		if effect == "read_like" {
			paid = 0
		}
		policySettings["product.paid"] = append(policySettings["product.paid"], paid)
		for _, s := range laneSettings {
			v, ok := lane[s.wireName].(float64)
			if !ok {
				return nil, FieldError{fmt.Sprintf("config.lanes[%d].%s", i, s.wireName), "missing"}
			}
			policySettings[s.policyName] = append(policySettings[s.policyName], v*unitScale(s.wireName))
		}
	}
	if rates := policySettings["product.rate"]; len(rates) != len(lanes) {
		return nil, FieldError{"config.family-info.rate-factor", "number of values differs from the number of lanes"}
	}
	var err error
	if settings.Kinds, err = indexNames(root, "shapes"); err != nil {
		return nil, err
	}
	if settings.Zones, err = indexNames(root, "localities"); err != nil {
		return nil, err
	}
	if own, ok := root["zone"].(string); ok {
		if z, ok := settings.Zones[own]; ok {
			policySettings["zone"] = []float64{float64(z)}
		}
	}
	if v, ok := lookup(root, "report.columns"); ok {
		list, _ := v.([]any)
		for _, e := range list {
			s, _ := e.(string)
			settings.Columns = append(settings.Columns, s)
		}
	}
	how, _ := lookup(root, "report.how")
	policySettings["reports.answers"], policySettings["reports.uplink"] = []float64{0}, []float64{0}
	if how == "piggyback" {
		policySettings["reports.answers"][0] = 1
	}
	for _, c := range settings.Columns {
		if c == "x1" {
			policySettings["reports.uplink"][0] = 1
		}
	}
	return settings, nil
}

// Float returns a setting that the policy does not use, by its path, or the fallback if it is not set.
func (s *Settings) Float(path string, fallback float64) float64 {
	v, _ := lookup(s.root, path)
	if n, ok := v.(float64); ok {
		return n
	}
	return fallback
}

// MaxDeadlineMs returns the longest deadline of the products, in milliseconds.
func (s *Settings) MaxDeadlineMs() (longest float64) {
	lanes, _ := s.root["lanes"].([]any)
	for _, l := range lanes {
		lane, _ := l.(map[string]any)
		ms, _ := lane["deadline-ms"].(float64)
		longest = max(longest, ms)
	}
	return longest
}

// NotesDue reports whether nodes send load notes at regular intervals while they have plays.
func (s *Settings) NotesDue() bool {
	return s.PolicySettings["reports.answers"][0] > 0 && s.Float("family-info.reports-every-ms", 0) > 0
}

// Request is a request of a viewer. Title and Viewer are numbers assigned by this front.
type Request struct {
	Product, Title, Viewer        int
	TitleName                     string
	RemainingMs, LengthHintMs     float64 // LengthHintMs is 0 if not given
	FirstCell, CellCount, MaxRung int
	Moved, Retry                  bool
}

// PolicyRequest returns the request in the form of package decision.
func (r Request) PolicyRequest(now int64) decision.Request {
	return decision.Request{Product: r.Product, Title: r.Title, Key: decision.HashName(r.TitleName), Viewer: r.Viewer, Deadline: now + Ticks(r.RemainingMs),
		Length: Ticks(r.LengthHintMs), FirstCell: r.FirstCell, CellCount: r.CellCount, MaxRung: r.MaxRung, Moved: r.Moved, Retry: r.Retry}
}

// Row is an entry of the node list. StartedAt is in the front's time.
type Row struct {
	Phase            decision.Phase
	Name             string // the same at every front
	Kind, Zone, Cell int
	StartedAt        int64
	Weight           float64
}

// Node returns the entry in the form of package decision, with the number that this front assigned to the node.
func (r Row) Node(index int) decision.Node {
	return decision.Node{Index: index, Phase: r.Phase, Kind: r.Kind, Zone: r.Zone, Cell: r.Cell, StartedAt: r.StartedAt, Weight: r.Weight, Key: decision.HashName(r.Name)}
}

// Load builds a load report. value returns the value of a column by its index and name, and whether it is present.
// Unused columns are ignored.
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
			l.LinkUtilization = v
		case "x1":
			l.UplinkUtilization = v
		case "util":
			if l.LinkUtilization < 0 {
				l.LinkUtilization = v
			}
		}
	}
	return l
}

// ApplyNote passes a note that a node sent about a play to the policy, by the number of its kind. Unknown kinds
// return nil.
func ApplyNote(policy decision.Policy, now int64, h decision.Handle, kind int, level float64) *decision.Result {
	switch kind {
	case 1:
		return policy.DeliveryReported(now, h, level)
	case 2:
		return policy.RungReported(now, h, int(level))
	case 3:
		return policy.LoadReported(now, h, decision.Load{Streams: -1, LinkUtilization: level, UplinkUtilization: -1})
	case 4:
		return policy.LoadReported(now, h, decision.Load{Streams: -1, LinkUtilization: -1, UplinkUtilization: level})
	}
	return nil
}
