package testbed

import (
	"fmt"
	"path/filepath"
	"slices"

	"gullrail/config"
)

// Scenario describes a run: the settings of the service, the viewers, the emulated nodes and the faults.
type Scenario struct {
	Service          config.Service
	RawService       []byte // as in the file, for the settings of fronts
	Seconds          float64
	Seed             uint64
	Nodes            int
	ViewersPerSecond float64    // mean rate of arrivals
	ZipfExponent     float64    // of the popularity of titles, in their order in the settings
	SmallScreenShare float64    // share of viewers that can't use the upper rungs
	BandwidthSpread  float64    // largest relative deviation of link and uplink capacities
	SetUpMs          [2]float64 // shortest and longest duration of a set-up
	MaxLinkLoad      float64    // nodes refuse set-ups at this link load; 0 disables the check
	ListDelayMs      float64    // delay of changes to the list of nodes
	IdleMs           float64    // nodes end a play without segment requests for longer than this
	MaxRetries       int        // of a viewer
	PauseMs          float64    // mean pause of a viewer before a retry
	RetryAfterShare  float64    // share of viewers that wait as long as Retry-After says
	SocketShare      float64    // share of viewers that use a WebSocket; no effect in simulated time
	KeepRecords      bool       // fronts store records of plays on disk
	Products         []ScenarioProduct
	Faults           []Fault
}

// ScenarioProduct is the demand for a product.
type ScenarioProduct struct {
	Number int        // index in Service.Products
	Share  float64    // of viewers
	Watch  [2]float64 // shortest and longest watch time in seconds
}

// Fault is an entry of the fault script. Which fields apply depends on Action.
type Fault struct {
	At       float64 // seconds
	Action   string
	Nodes    []int
	Front    int
	Rack     int
	Zone     int
	Title    string
	Duration float64 // seconds until the fault is reverted; 0 is never
	Amount   float64 // see faultKinds
}

// faultKinds holds the faults by the value of the setting "do".
var faultKinds = map[string]struct {
	needs  string // setting that selects the target: nodes, front, rack, zone, title or none
	amount string // meaning of Fault.Amount; empty if unused
}{
	"drain":        {"nodes", "seconds from the announcement to the end of the process"},
	"crash":        {"nodes", ""}, // restarts cold after Duration
	"silence":      {"nodes", ""}, // accepts requests but does not answer
	"slow":         {"nodes", "factor on the duration of set-ups"},
	"errors":       {"nodes", "share of set-ups that fail"},
	"vanish":       {"nodes", "share of set-ups that succeed without an answer"},
	"neighbour":    {"nodes", "share of the link used by other traffic"},
	"uplink":       {"rack", "divisor of the uplink's capacity"},
	"list-down":    {"", ""},
	"list-late":    {"", "additional seconds of delay"},
	"list-wrong":   {"nodes", ""}, // the list reports them as gone while they run
	"crowd":        {"title", "share of new viewers that request this title"},
	"front-kill":   {"front", ""}, // restarts after Duration
	"front-stall":  {"front", ""},
	"ageing":       {"nodes", "factor on the duration of set-ups after Duration, when they crash and restart cold"},
	"reports-late": {"", "additional seconds of delay of loads and delivered shares"},
	"zone-cut":     {"zone", ""}, // isolates the fronts and nodes of this zone from all others
	"shift":        {"front", "share of new viewers that ask this front first"},
}

// ReadScenario reads and validates a scenario file.
func ReadScenario(file string) (*Scenario, error) {
	doc, v, err := config.Open(file)
	if err != nil {
		return nil, err
	}
	return readScenario(doc, v)
}

// ParseScenario reads and validates the text of a scenario file. Errors refer to it as file.
func ParseScenario(file string, text []byte) (*Scenario, error) {
	doc, v, err := config.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return readScenario(doc, v)
}

func readScenario(doc *config.Doc, v config.Value) (*Scenario, error) {
	v.Object(true)
	serviceValue, sc := v.At("service"), &Scenario{}
	var shared *config.Doc
	if file := v.At("service_file"); file.Present() { // settings that several scenarios share
		var err error
		if shared, serviceValue, err = config.Open(filepath.Join(filepath.Dir(doc.File()), file.Text())); err != nil {
			return nil, err
		}
	}
	sc.Service = config.ReadService(serviceValue)
	if serviceValue.Present() {
		sc.RawService = serviceValue.Raw()
	}
	if shared != nil && shared.Err() != nil {
		return nil, shared.Err()
	}
	dayValue := v.At("day").Object(true)
	sc.Seconds, sc.Seed = dayValue.At("seconds").Float(1, 86400), uint64(dayValue.At("seed").IntOr(1, 0, 1<<53))
	sc.Nodes, sc.ViewersPerSecond = dayValue.At("nodes").Int(1, 10000), dayValue.At("rate").Float(0, 10000)
	sc.ZipfExponent, sc.SmallScreenShare = dayValue.At("zipf").FloatOr(0.9, 0, 5), dayValue.At("small_screens").FloatOr(0.25, 0, 1)
	sc.BandwidthSpread, sc.MaxLinkLoad = dayValue.At("uneven").FloatOr(0.2, 0, 0.9), dayValue.At("guard").FloatOr(1, 0, 100)
	sc.SetUpMs = readRange(dayValue.At("set_up_ms"), [2]float64{40, 120})
	sc.ListDelayMs, sc.IdleMs = dayValue.At("list_late_ms").FloatOr(2000, 0, 3.6e6), dayValue.At("idle_ms").FloatOr(6000, 100, 3.6e6)
	sc.KeepRecords = dayValue.At("records").BoolOr(true)
	viewersValue := dayValue.At("viewers").Object(false)
	sc.MaxRetries, sc.PauseMs = viewersValue.At("tries").IntOr(3, 0, 1000), viewersValue.At("pause_ms").FloatOr(1500, 0, 3.6e6)
	sc.RetryAfterShare, sc.SocketShare = viewersValue.At("honour").FloatOr(0.6, 0, 1), viewersValue.At("sockets").FloatOr(0, 0, 1)
	viewersValue.RejectUnknown()
	for _, p := range dayValue.At("products").List(true) {
		p.Object(true)
		n, ok := sc.Service.ProductNumber(p.At("name").Text())
		if !ok {
			p.At("name").Report("the service has no such product")
		}
		sc.Products = append(sc.Products, ScenarioProduct{n, p.At("share").Float(0, 1), readRange(p.At("watch_s"), [2]float64{20, 60})})
		p.RejectUnknown()
	}
	for _, x := range dayValue.At("faults").List(false) {
		sc.Faults = append(sc.Faults, sc.readFault(x))
	}
	dayValue.RejectUnknown()
	v.RejectUnknown()
	return sc, doc.Err()
}

// readRange reads a lower and an upper bound.
func readRange(v config.Value, fallback [2]float64) [2]float64 {
	if !v.Present() {
		return fallback
	}
	n := v.Floats(0, 3.6e6)
	if len(n) != 2 || n[1] < n[0] {
		v.Report("must be two numbers, the lower one first")
		return fallback
	}
	return [2]float64{n[0], n[1]}
}

func (sc *Scenario) readFault(v config.Value) Fault {
	v.Object(true)
	f := Fault{At: v.At("at_s").Float(0, sc.Seconds), Action: v.At("do").Text(), Duration: v.At("for_s").FloatOr(0, 0, 86400)}
	kind, ok := faultKinds[f.Action]
	if !ok {
		v.At("do").Report("no such fault: %.40q", f.Action)
		return f
	}
	switch kind.needs {
	case "nodes":
		for _, n := range v.At("nodes").List(true) {
			f.Nodes = append(f.Nodes, n.Int(0, sc.Nodes-1))
		}
	case "front":
		f.Front = v.At("front").Int(0, sc.Service.Fronts-1)
	case "rack":
		f.Rack = v.At("rack").Int(0, sc.Service.Racks-1)
	case "zone":
		name := v.At("zone").Text()
		if f.Zone = slices.Index(sc.Service.Zones, name); f.Zone < 0 {
			v.At("zone").Report("the service has no such zone")
		}
	case "title":
		f.Title = v.At("title").Text()
		if _, ok := sc.Service.Lookup(f.Title); !ok {
			v.At("title").Report("the service has no such title")
		}
	}
	if f.Action == "ageing" && f.Duration <= 0 {
		v.At("for_s").Report("must be above 0 for ageing")
	}
	if kind.amount != "" {
		f.Amount = v.At("amount").Float(0, 1e6)
	}
	v.RejectUnknown()
	return f
}

func (f Fault) String() string {
	s := f.Action
	switch faultKinds[f.Action].needs {
	case "nodes":
		s += fmt.Sprintf(" nodes %v", f.Nodes)
	case "front":
		s += fmt.Sprintf(" front %d", f.Front)
	case "rack":
		s += fmt.Sprintf(" rack %d", f.Rack)
	case "title":
		s += " " + f.Title
	case "zone":
		s += fmt.Sprintf(" zone %d", f.Zone)
	}
	if f.Amount > 0 {
		s += fmt.Sprintf(" by %v", f.Amount)
	}
	if f.Duration > 0 {
		s += fmt.Sprintf(" for %v s", f.Duration)
	}
	return s
}
