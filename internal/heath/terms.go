package heath

import (
	"encoding/json"
	"fmt"
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

// names are the wire's names that become small numbers.
type names struct {
	products, kinds, zones map[string]int
	columns                []string
}

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
		return nil, fieldError{"config." + path, "missing or not a list"}
	}
	at := map[string]int{}
	for i, e := range list {
		s, ok := e.(string)
		if !ok {
			return nil, fieldError{"config." + path, "holds something that is not a name"}
		}
		at[s] = i
	}
	return at, nil
}

// terms reads the settings into our words.
func terms(text string) (map[string][]float64, names, error) {
	var root map[string]any
	if err := json.Unmarshal([]byte(text), &root); err != nil {
		return nil, names{}, fieldError{"config", "not a JSON object: " + err.Error()}
	}
	out := map[string][]float64{}
	for _, s := range plain {
		v, ok := lookup(root, s.wire)
		if !ok {
			if s.required {
				return nil, names{}, fieldError{"config." + s.wire, "missing"}
			}
			continue
		}
		if out[s.ours], ok = numbers(v, scaleOf(s.wire)); !ok || s.required && len(out[s.ours]) == 0 {
			return nil, names{}, fieldError{"config." + s.wire, "not a number or a list of numbers"}
		}
	}
	lanes, _ := root["lanes"].([]any)
	if len(lanes) == 0 {
		return nil, names{}, fieldError{"config.lanes", "missing"}
	}
	nm := names{products: map[string]int{}}
	for i, l := range lanes {
		lane, _ := l.(map[string]any)
		name, _ := lane["name"].(string)
		effect, _ := lane["effect"].(string)
		if name == "" || effect == "" {
			return nil, names{}, fieldError{fmt.Sprintf("config.lanes[%d]", i), "without a name or an effect"}
		}
		nm.products[name] = i
		paid := 1.0
		if effect == "read_like" {
			paid = 0
		}
		out["product.paid"] = append(out["product.paid"], paid)
		for _, s := range perLane {
			v, ok := lane[s.wire].(float64)
			if !ok {
				return nil, names{}, fieldError{fmt.Sprintf("config.lanes[%d].%s", i, s.wire), "missing"}
			}
			out[s.ours] = append(out[s.ours], v*scaleOf(s.wire))
		}
	}
	if rates := out["product.rate"]; len(rates) != len(lanes) {
		return nil, names{}, fieldError{"config.family-info.rate-factor", "not one value for each lane"}
	}
	var err error
	if nm.kinds, err = index(root, "shapes"); err != nil {
		return nil, names{}, err
	}
	if nm.zones, err = index(root, "localities"); err != nil {
		return nil, names{}, err
	}
	if own, ok := root["zone"].(string); ok {
		if z, ok := nm.zones[own]; ok {
			out["zone"] = []float64{float64(z)}
		}
	}
	if v, ok := lookup(root, "report.columns"); ok {
		list, _ := v.([]any)
		for _, e := range list {
			s, _ := e.(string)
			nm.columns = append(nm.columns, s)
		}
	}
	how, _ := lookup(root, "report.how")
	out["reports.answers"], out["reports.uplink"] = []float64{0}, []float64{0}
	if how == "piggyback" {
		out["reports.answers"][0] = 1
	}
	for _, c := range nm.columns {
		if c == "x1" {
			out["reports.uplink"][0] = 1
		}
	}
	return out, nm, nil
}
