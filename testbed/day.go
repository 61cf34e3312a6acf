package testbed

import (
	"fmt"
	"path/filepath"
	"slices"

	"gullrail/config"
)

// Scenario is a rehearsal's script: the load, the stand-ins, and what goes wrong when.
type Scenario struct {
	Service          config.Service
	RawService       []byte
	Seconds          float64
	Seed             uint64
	Nodes            int
	ViewersPerSecond float64 // new viewers a second
	ZipfExponent     float64
	SmallScreenShare float64 // share of viewers who can't use the upper rungs
	BandwidthSpread  float64 // spread of links and uplinks
	SetUpMs          [2]float64
	MaxLinkLoad      float64
	ListLateMs       float64
	IdleMs           float64
	MaxRetries       int
	PauseMs          float64
	RetryAfterShare  float64 // share of viewers who heed Retry-After
	SocketShare      float64 // share of viewers who ask over a socket; in simulated time they play as the others
	KeepRecords      bool    // fronts keep records of plays
	Products         []ScenarioProduct
	Faults           []Fault
}

// ScenarioProduct is how a product is wanted.
type ScenarioProduct struct {
	Number int
	Share  float64
	Watch  [2]float64 // seconds
}

// Fault is one thing that the script does.
type Fault struct {
	At       float64 // seconds
	Action   string
	Nodes    []int
	Front    int
	Rack     int
	Zone     int
	Title    string
	Duration float64 // seconds; 0 is for good
	Amount   float64
}

// The faults, with what Amount means.
var faults = map[string]struct {
	needs  string // nodes, front, rack, title or nothing
	amount string
}{
	"drain":        {"nodes", "seconds from the word to the end of the process"},
	"crash":        {"nodes", ""}, // it comes back cold after For
	"silence":      {"nodes", ""}, // it takes all and answers nothing
	"slow":         {"nodes", "set-ups take so many times as long"},
	"errors":       {"nodes", "share of set-ups that fail"},
	"vanish":       {"nodes", "share of answers that vanish"},
	"neighbour":    {"nodes", "share of the link that another program takes"},
	"uplink":       {"rack", "the uplink gives so many times less"},
	"list-down":    {"", ""},
	"list-late":    {"", "seconds more"},
	"list-wrong":   {"nodes", ""}, // the list says that they are gone while they run
	"crowd":        {"title", "share of new viewers who want this title"},
	"front-kill":   {"front", ""}, // it is started again after For
	"front-stall":  {"front", ""},
	"ageing":       {"nodes", "so many times slower in the end, after For; then they die and come back cold"},
	"reports-late": {"", "seconds that loads and shares are told later"},
	"zone-cut":     {"zone", ""}, // between this zone's fronts and nodes and all others
	"shift":        {"front", "share of new viewers who ask this front first"},
}

// ReadScenario reads and checks a day.
func ReadScenario(file string) (*Scenario, error) {
	doc, v, err := config.Open(file)
	if err != nil {
		return nil, err
	}
	return readDay(doc, v)
}

// ParseScenario reads a day from text.
func ParseScenario(file string, text []byte) (*Scenario, error) {
	doc, v, err := config.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return readDay(doc, v)
}

func readDay(doc *config.Doc, v config.Value) (*Scenario, error) {
	v.Object(true)
	sv, d := v.At("service"), &Scenario{}
	var shared *config.Doc
	if file := v.At("service_file"); file.Present() { // a service that several days share
		var err error
		if shared, sv, err = config.Open(filepath.Join(filepath.Dir(doc.File()), file.Text())); err != nil {
			return nil, err
		}
	}
	d.Service = config.ReadService(sv)
	if sv.Present() {
		d.RawService = sv.Raw()
	}
	if shared != nil && shared.Err() != nil {
		return nil, shared.Err()
	}
	e := v.At("day").Object(true)
	d.Seconds, d.Seed = e.At("seconds").Float(1, 86400), uint64(e.At("seed").IntOr(1, 0, 1<<53))
	d.Nodes, d.ViewersPerSecond = e.At("nodes").Int(1, 10000), e.At("rate").Float(0, 10000)
	d.ZipfExponent, d.SmallScreenShare = e.At("zipf").FloatOr(0.9, 0, 5), e.At("small_screens").FloatOr(0.25, 0, 1)
	d.BandwidthSpread, d.MaxLinkLoad = e.At("uneven").FloatOr(0.2, 0, 0.9), e.At("guard").FloatOr(1, 0, 100)
	d.SetUpMs = pair(e.At("set_up_ms"), [2]float64{40, 120})
	d.ListLateMs, d.IdleMs = e.At("list_late_ms").FloatOr(2000, 0, 3.6e6), e.At("idle_ms").FloatOr(6000, 100, 3.6e6)
	d.KeepRecords = e.At("records").BoolOr(true)
	w := e.At("viewers").Object(false)
	d.MaxRetries, d.PauseMs = w.At("tries").IntOr(3, 0, 1000), w.At("pause_ms").FloatOr(1500, 0, 3.6e6)
	d.RetryAfterShare, d.SocketShare = w.At("honour").FloatOr(0.6, 0, 1), w.At("sockets").FloatOr(0, 0, 1)
	w.RejectUnknown()
	for _, p := range e.At("products").List(true) {
		p.Object(true)
		n, ok := d.Service.ProductNumber(p.At("name").Text())
		if !ok {
			p.At("name").Report("the service has no such product")
		}
		d.Products = append(d.Products, ScenarioProduct{n, p.At("share").Float(0, 1), pair(p.At("watch_s"), [2]float64{20, 60})})
		p.RejectUnknown()
	}
	for _, x := range e.At("faults").List(false) {
		d.Faults = append(d.Faults, d.fault(x))
	}
	e.RejectUnknown()
	v.RejectUnknown()
	return d, doc.Err()
}

func pair(v config.Value, or [2]float64) [2]float64 {
	if !v.Present() {
		return or
	}
	n := v.Floats(0, 3.6e6)
	if len(n) != 2 || n[1] < n[0] {
		v.Report("two numbers, the lower first, are needed here")
		return or
	}
	return [2]float64{n[0], n[1]}
}

func (d *Scenario) fault(v config.Value) Fault {
	v.Object(true)
	f := Fault{At: v.At("at_s").Float(0, d.Seconds), Action: v.At("do").Text(), Duration: v.At("for_s").FloatOr(0, 0, 86400)}
	kind, ok := faults[f.Action]
	if !ok {
		v.At("do").Report("no such fault: %.40q", f.Action)
		return f
	}
	switch kind.needs {
	case "nodes":
		for _, n := range v.At("nodes").List(true) {
			f.Nodes = append(f.Nodes, n.Int(0, d.Nodes-1))
		}
	case "front":
		f.Front = v.At("front").Int(0, d.Service.Fronts-1)
	case "rack":
		f.Rack = v.At("rack").Int(0, d.Service.Racks-1)
	case "zone":
		name := v.At("zone").Text()
		if f.Zone = slices.Index(d.Service.Zones, name); f.Zone < 0 {
			v.At("zone").Report("the service has no such zone")
		}
	case "title":
		f.Title = v.At("title").Text()
		if _, ok := d.Service.Lookup(f.Title); !ok {
			v.At("title").Report("the service has no such title")
		}
	}
	if f.Action == "ageing" && f.Duration <= 0 {
		v.At("for_s").Report("how long they age is needed here")
	}
	if kind.amount != "" {
		f.Amount = v.At("amount").Float(0, 1e6)
	}
	v.RejectUnknown()
	return f
}

func (f Fault) String() string {
	s := f.Action
	switch faults[f.Action].needs {
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
