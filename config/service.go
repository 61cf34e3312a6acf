package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"net"
	"net/url"
)

// Product is a kind of play.
type Product struct {
	Name       string
	Importance float64
	TargetMs   float64 // first-frame target
	DeadlineMs float64 // time limit
	RateFactor float64 // its rates over those of the ladder
	Paid       bool    // set up at most once
	MinRung    int     // lowest rung
	MaxRung    int     // highest rung
	Live       bool    // its titles are live: viewers may share a stream
	MaxSeats   int     // plays of one title that a front holds at most; 0 is no cap
}

// Title is a title and the cells that hold it.
type Title struct {
	Name      string
	FirstCell int
	CellCount int
	Length    float64 // seconds; 0 is not told
}

// Service is what all fronts of a deployment share: its plays, its nodes, its rules.
type Service struct {
	RatesKB           []float64 // the ladder, kB a second
	RungWorth         []float64 // what each rung earns
	SegmentMs         float64   // length of a media segment
	SwitchSeconds     float64   // a change of rung costs so many seconds of importance
	Products          []Product
	Titles            []Title
	Cells             int
	Racks             int
	Kinds             []Kind
	Zones             []string
	WeightKB          float64 // link of a node of weight 1, kB a second
	UplinkKB          float64 // mean uplink of a rack; 0 is not told
	Fronts            int
	ReportMode        string // how nodes tell their load: probe, answers or none
	ReportUplinks     bool   // reports tell the uplink too
	ReportDelayMs     float64
	SharedStreamShare float64 // part of its rate that a further viewer of a live stream adds; 1 is nothing shared
	MaxAttempts       int     // allocations of one play at most

	ColdShare, ColdDurationMs, OverloadMultiple, OverloadWindowMs, DrainGraceMs float64

	BudgetFree, BudgetShare, BudgetWindowMs, MaxRetryAfterMs float64

	titleAt map[string]int
}

// Kind is a kind of machine.
type Kind struct {
	Name       string
	MaxStreams int // plays that it runs at most
}

const (
	mostNumber = 1e12
	mostMs     = 3.6e6 // no time in a service is longer than an hour
)

// ReadService reads and checks a service.
func ReadService(v Value) Service {
	v.Object(true)
	s := Service{RatesKB: v.At("rates_kb").Floats(0.001, mostNumber), RungWorth: v.At("worth").Floats(0, 1e6),
		SegmentMs:     v.At("segment_ms").FloatOr(2000, 100, 60000),
		SwitchSeconds: v.At("switch_s").FloatOr(0, 0, 3600), Cells: v.At("cells").Int(1, 1<<20),
		Racks: v.At("racks").Int(1, 1<<20), WeightKB: v.At("link_kb").Float(0.001, mostNumber),
		UplinkKB: v.At("uplink_kb").FloatOr(0, 0, mostNumber), Fronts: v.At("fronts").Int(1, 1<<20),
		MaxAttempts: v.At("tries").IntOr(4, 1, 100), MaxRetryAfterMs: v.At("come_back_ms").FloatOr(1000, 0, mostMs),
		SharedStreamShare: v.At("join_adds").FloatOr(1, 0.001, 1)}
	if len(s.RungWorth) != len(s.RatesKB) {
		v.At("worth").Report("%d rungs have a worth, %d a rate", len(s.RungWorth), len(s.RatesKB))
	}
	for i := 1; i < len(s.RatesKB); i++ {
		if s.RatesKB[i] <= s.RatesKB[i-1] {
			v.At("rates_kb").Report("rung %d is no higher than the one below it", i)
		}
	}
	names := map[string]bool{}
	for _, e := range v.At("kinds").List(true) {
		e.Object(true)
		s.Kinds = append(s.Kinds, Kind{unique(names, e.At("name")), e.At("streams").Int(1, 1<<20)})
		e.RejectUnknown()
	}
	names = map[string]bool{}
	for _, e := range v.At("zones").List(true) {
		s.Zones = append(s.Zones, unique(names, e))
	}
	names = map[string]bool{}
	for _, e := range v.At("products").List(true) {
		s.Products = append(s.Products, readProduct(e, names, len(s.RatesKB)))
	}
	names = map[string]bool{}
	for _, e := range v.At("titles").List(true) {
		e.Object(true)
		s.Titles = append(s.Titles, Title{unique(names, e.At("name")), e.At("home").Int(0, max(0, s.Cells-1)),
			e.At("copies").Int(1, max(1, s.Cells)), e.At("seconds").FloatOr(0, 0, 86400)})
		e.RejectUnknown()
	}
	s.titleAt = make(map[string]int, len(s.Titles))
	for i, t := range s.Titles {
		s.titleAt[t.Name] = i
	}
	r := v.At("reports").Object(true)
	s.ReportMode = r.At("how").OneOf("probe", "answers", "none")
	s.ReportUplinks = r.At("uplinks").BoolOr(false)
	s.ReportDelayMs = r.At("note_lag_ms").FloatOr(1000, 0, mostMs)
	r.RejectUnknown()
	r = v.At("rules").Object(true)
	s.ColdShare, s.ColdDurationMs = r.At("cold_share").Float(0.001, 1), r.At("cold_lasts_ms").Float(1, mostMs)
	s.OverloadMultiple, s.OverloadWindowMs = r.At("fall_multiple").Float(0.1, 1000), r.At("fall_over_ms").Float(1, mostMs)
	s.DrainGraceMs = r.At("drain_grace_ms").Float(0, mostMs)
	if b := r.At("budget"); b.Present() {
		b.Object(true)
		s.BudgetFree, s.BudgetShare = b.At("free").Float(0, 1e6), b.At("share").Float(0, 1000)
		s.BudgetWindowMs = b.At("over_ms").Float(1, mostMs)
		b.RejectUnknown()
	}
	r.RejectUnknown()
	v.RejectUnknown()
	return s
}

func readProduct(e Value, names map[string]bool, rungs int) Product {
	e.Object(true)
	p := Product{Name: unique(names, e.At("name")), Importance: e.At("importance").Float(0.001, 1e6),
		TargetMs: e.At("target_ms").Float(1, mostMs), DeadlineMs: e.At("limit_ms").Float(1, mostMs),
		RateFactor: e.At("rate").FloatOr(1, 0.001, 1000), Paid: e.At("paid").BoolOr(false),
		MinRung: e.At("floor").IntOr(0, 0, max(0, rungs-1)), MaxRung: e.At("top").IntOr(max(0, rungs-1), 0, max(0, rungs-1)),
		Live:     e.At("live").BoolOr(false),
		MaxSeats: e.At("seats").IntOr(0, 0, 1<<20)}
	if p.MaxRung < p.MinRung {
		e.At("top").Report("lies under the floor")
	}
	if p.DeadlineMs < p.TargetMs {
		e.At("limit_ms").Report("is shorter than the first-frame target")
	}
	e.RejectUnknown()
	return p
}

func unique(seen map[string]bool, v Value) string {
	s := v.Text()
	if s != "" && seen[s] {
		v.Report("%.40q stands twice", s)
	}
	seen[s] = true
	return s
}

// PolicySettings is the map of settings that the module reads; docs/design.md names them. Times become tenths
// of a millisecond.
func (s *Service) PolicySettings(front int, zone string) map[string][]float64 {
	one := func(x float64) []float64 { return []float64{x} }
	yes := func(b bool) []float64 {
		if b {
			return one(1)
		}
		return one(0)
	}
	out := map[string][]float64{"fronts": one(float64(s.Fronts)), "front": one(float64(front)),
		"cells": one(float64(s.Cells)), "racks": one(float64(s.Racks)), "rung.rate": s.RatesKB, "rung.worth": s.RungWorth,
		"weight.rate": one(s.WeightKB), "uplink.rate": one(s.UplinkKB), "reports.uplink": yes(s.ReportUplinks && s.ReportMode != "none"),
		"note.lag": one(s.ReportDelayMs * 10), "switch.seconds": one(s.SwitchSeconds), "tries": one(float64(s.MaxAttempts)),
		"probing": yes(s.ReportMode == "probe"), "recall": one(1), "comeback": yes(s.MaxRetryAfterMs > 0),
		"comeback.most": one(s.MaxRetryAfterMs * 10), "cold.share": one(s.ColdShare), "cold.lasts": one(s.ColdDurationMs * 10),
		"fall.multiple": one(s.OverloadMultiple), "fall.over": one(s.OverloadWindowMs * 10)}
	if s.BudgetWindowMs > 0 {
		out["budget.free"], out["budget.share"] = one(s.BudgetFree), one(s.BudgetShare)
		out["budget.over"] = one(s.BudgetWindowMs * 10)
	}
	for _, k := range s.Kinds {
		out["kind.streams"] = append(out["kind.streams"], float64(k.MaxStreams))
	}
	for i, z := range s.Zones {
		if z == zone {
			out["zone"] = one(float64(i))
		}
	}
	for _, p := range s.Products {
		add := func(name string, x float64) { out["product."+name] = append(out["product."+name], x) }
		add("rate", p.RateFactor)
		add("paid", yes(p.Paid)[0])
		add("floor", float64(p.MinRung))
		add("top", float64(p.MaxRung))
		add("seats", float64(p.MaxSeats))
		add("importance", p.Importance)
		add("target", p.TargetMs*10)
	}
	if s.SharedStreamShare < 1 { // else nothing is shared, and the module's settings stay as they were
		out["join"] = one(s.SharedStreamShare)
		for _, p := range s.Products {
			out["product.live"] = append(out["product.live"], yes(p.Live)...)
		}
	}
	return out
}

// Product is the name of a product's number; ProductNumber and Title look a name up.
func (s *Service) Product(number int) string { return s.Products[number].Name }

// LongestLimitMs is the longest time limit of any product, in milliseconds.
func (s *Service) LongestLimitMs() (longest float64) {
	for _, p := range s.Products {
		longest = max(longest, p.DeadlineMs)
	}
	return longest
}

// Paid tells that a product is paid for at set-up.
func (s *Service) Paid(number int) bool { return s.Products[number].Paid }

// Importance is a product's.
func (s *Service) Importance(number int) float64 { return s.Products[number].Importance }

// ProductNumber is the number of a product.
func (s *Service) ProductNumber(name string) (int, bool) {
	for i := range s.Products {
		if s.Products[i].Name == name {
			return i, true
		}
	}
	return 0, false
}

// Title tells which cells hold a title.
func (s *Service) Title(name string) (home, copies int, ok bool) {
	t, ok := s.Lookup(name)
	return t.FirstCell, t.CellCount, ok
}

// Lookup finds a title by its name.
func (s *Service) Lookup(name string) (Title, bool) {
	i, ok := s.titleAt[name]
	if !ok {
		return Title{}, false
	}
	return s.Titles[i], true
}

// Front is the settings of one front end.
type Front struct {
	Name         string
	Number       int
	Zone         string
	Listen       string // host:port
	ListURL      string // of the list service
	Seed         uint64
	Log          string // level
	MaxWaiting   int    // requests that wait at most
	MaxSockets   int    // connections of players at most
	TokenMs      float64
	Cert         string // files of the certificate shown to players and its key; empty speaks plainly
	CertKey      string
	NodesCA      string  // file of the authorities that vouch for nodes; empty speaks plainly to them
	StateFolder  string  // folder for what outlives the process; empty is none
	ShutdownMs   float64 // an orderly end takes no longer
	ReleasePlays bool    // at its end it lets its plays go, as nobody takes its place
	Keys         []Key
	Peers        Peers
	Service      Service
}

// Peers is how a front reaches the others for messages; without a listening address it sends and hears none.
type Peers struct {
	Listen string   // host:port, UDP
	Fronts []string // host:port of each front, by its number
	Secret []byte   // 32 bytes that all fronts share
}

// PolicySettings is the map of settings that the module of this front reads.
func (f *Front) PolicySettings() map[string][]float64 {
	out := f.Service.PolicySettings(f.Number, f.Zone)
	if f.Peers.Listen != "" {
		out["peers"] = []float64{1}
	}
	return out
}

// Key is a key of session tokens. Only the signing one needs its seed.
type Key struct {
	ID     string
	Seed   []byte // 32 bytes of an Ed25519 private key, or nil
	Public ed25519.PublicKey
	Signs  bool
}

// ReadFront reads and checks a front's settings.
func ReadFront(file string) (Front, error) {
	doc, v, err := Open(file)
	if err != nil {
		return Front{}, err
	}
	return frontOf(doc, v)
}

// ParseFront reads a front's settings from text.
func ParseFront(file string, text []byte) (Front, error) {
	doc, v, err := Parse(file, text)
	if err != nil {
		return Front{}, err
	}
	return frontOf(doc, v)
}

func frontOf(doc *Doc, v Value) (Front, error) {
	v.Object(true)
	f := Front{Service: ReadService(v.At("service"))}
	e := v.At("front").Object(true)
	f.Name, f.Number = e.At("name").Text(), e.At("number").Int(0, 1<<20)
	if f.Number >= f.Service.Fronts {
		e.At("number").Report("fronts are numbered from 0 and service.fronts is %d", f.Service.Fronts)
	}
	f.Zone = e.At("zone").OneOf(append([]string{}, orOne(f.Service.Zones)...)...)
	f.Listen = Address(e.At("listen"))
	f.Seed = uint64(e.At("seed").IntOr(1, 0, 1<<53))
	f.Log = e.At("log").OneOf("info", "debug", "warn", "error")
	f.MaxWaiting, f.MaxSockets = e.At("waiting").IntOr(256, 1, 1<<20), e.At("sockets").IntOr(8192, 1, 1<<20)
	f.TokenMs = e.At("token_ms").FloatOr(600_000, 1000, 24*mostMs)
	f.StateFolder, f.ShutdownMs = e.At("state").TextOr(""), e.At("end_within_ms").FloatOr(max(1000, f.Service.LongestLimitMs()), 100, mostMs)
	f.ReleasePlays = e.At("retire").BoolOr(false)
	if t := e.At("tls"); t.Present() {
		t.Object(true)
		f.Cert, f.CertKey = t.At("cert").Text(), t.At("key").Text()
		t.RejectUnknown()
	}
	if t := e.At("nodes_tls"); t.Present() {
		t.Object(true)
		f.NodesCA = t.At("ca").Text()
		t.RejectUnknown()
	}
	if p := e.At("peers"); p.Present() {
		f.Peers = readPeers(p, f.Service.Fronts)
	}
	e.RejectUnknown()
	l := v.At("list").Object(true)
	f.ListURL = l.At("url").Text()
	if u, err := url.Parse(f.ListURL); f.ListURL != "" && (err != nil || u.Scheme != "http" || u.Host == "") {
		l.At("url").Report("%.60q is no http address", f.ListURL)
	}
	l.RejectUnknown()
	f.Keys = ReadKeys(v.At("keys"))
	v.RejectUnknown()
	return f, doc.Err()
}

func readPeers(v Value, fronts int) Peers {
	v.Object(true)
	p := Peers{Listen: Address(v.At("listen"))}
	list := v.At("fronts")
	for _, e := range list.List(true) {
		p.Fronts = append(p.Fronts, Address(e))
	}
	if fronts > 1<<16 {
		list.Report("messages number 65536 fronts at most")
	}
	if len(p.Fronts) != fronts {
		list.Report("%d addresses for %d fronts", len(p.Fronts), fronts)
	}
	p.Secret = bytes32(v.At("secret"))
	v.RejectUnknown()
	return p
}

func orOne(s []string) []string {
	if len(s) == 0 {
		return []string{""}
	}
	return s
}

// Address reads host:port.
func Address(v Value) string {
	s := v.Text()
	if _, _, err := net.SplitHostPort(s); s != "" && err != nil {
		v.Report("%.60q is not host:port", s)
	}
	return s
}

// bytes32 reads 32 bytes in base64, the length of seeds, public keys and secrets; nil where they are not there.
func bytes32(v Value) []byte {
	b, err := base64.StdEncoding.DecodeString(v.Text())
	if err != nil || len(b) != 32 {
		v.Report("32 bytes in base64 are needed here")
		return nil
	}
	return b
}

// ReadKeys reads the keys of session tokens: exactly one signs.
func ReadKeys(v Value) []Key {
	var keys []Key
	names, signing := map[string]bool{}, 0
	for _, e := range v.List(true) {
		e.Object(true)
		k := Key{ID: unique(names, e.At("id")), Signs: e.At("signs").BoolOr(false)}
		if seed := e.At("seed"); seed.Present() {
			if k.Seed = bytes32(seed); k.Seed != nil {
				k.Public = ed25519.NewKeyFromSeed(k.Seed).Public().(ed25519.PublicKey)
			}
		} else if k.Signs {
			e.At("seed").Report("the key that signs needs it")
		} else {
			k.Public = bytes32(e.At("public"))
		}
		e.At("public")
		if k.Signs {
			signing++
		}
		e.RejectUnknown()
		keys = append(keys, k)
	}
	if signing != 1 && len(keys) > 0 {
		v.Report("exactly one key signs, not %d", signing)
	}
	return keys
}
