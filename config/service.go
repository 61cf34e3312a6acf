package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"net"
	"net/url"
)

// Product is a class of service of plays with its own limits.
type Product struct {
	Name       string
	Importance float64
	TargetMs   float64 // target time to the first frame
	DeadlineMs float64 // time limit of a request
	RateFactor float64 // factor on the rates of the ladder
	Paid       bool    // a play is paid for at set-up, so that it is set up at most once
	MinRung    int     // lowest rung
	MaxRung    int     // highest rung
	Live       bool    // its titles are live, so that viewers may share a stream
	MaxSeats   int     // limit of concurrent plays of one title at a front; 0 is no limit
}

// Title is a title and the cells whose nodes hold it.
type Title struct {
	Name      string
	FirstCell int
	CellCount int
	Length    float64 // seconds; 0 if unknown
}

// Service holds the settings that all fronts of a deployment share.
type Service struct {
	RatesKB           []float64 // rates of the ladder, kB/s
	RungWorth         []float64 // value of a play at each rung
	SegmentMs         float64   // length of a media segment
	SwitchSeconds     float64   // cost of a change of rung, in seconds of the play's importance
	Products          []Product
	Titles            []Title
	Cells             int
	Racks             int
	Kinds             []Kind
	Zones             []string
	LinkKBPerWeight   float64 // link of a node of weight 1, kB/s
	UplinkKB          float64 // mean uplink of a rack, kB/s; 0 if unknown
	Fronts            int
	ReportMode        string  // how nodes report their load: probe, answers or none
	ReportUplinks     bool    // reports include the uplink
	ReportDelayMs     float64 // delay of load reports
	SharedStreamShare float64 // fraction of the rate that each further viewer of a live stream adds; 1 if streams aren't shared
	MaxAttempts       int     // maximum number of allocations per play

	ColdShare, ColdDurationMs, OverloadMultiple, OverloadWindowMs, DrainGraceMs float64

	BudgetFree, BudgetShare, BudgetWindowMs, MaxRetryAfterMs float64

	titleIndex map[string]int
}

// Kind is a hardware type of node.
type Kind struct {
	Name       string
	MaxStreams int // maximum number of concurrent plays
}

const (
	maxNumber = 1e12
	maxMs     = 3.6e6 // an hour: the maximum of times in service
)

// ReadService reads and checks the service settings.
func ReadService(v Value) Service {
	v.Object(true)
	s := Service{RatesKB: v.At("rates_kb").Floats(0.001, maxNumber), RungWorth: v.At("worth").Floats(0, 1e6),
		SegmentMs:     v.At("segment_ms").FloatOr(2000, 100, 60000),
		SwitchSeconds: v.At("switch_s").FloatOr(0, 0, 3600), Cells: v.At("cells").Int(1, 1<<20),
		Racks: v.At("racks").Int(1, 1<<20), LinkKBPerWeight: v.At("link_kb").Float(0.001, maxNumber),
		UplinkKB: v.At("uplink_kb").FloatOr(0, 0, maxNumber), Fronts: v.At("fronts").Int(1, 1<<20),
		MaxAttempts: v.At("tries").IntOr(4, 1, 100), MaxRetryAfterMs: v.At("come_back_ms").FloatOr(1000, 0, maxMs),
		SharedStreamShare: v.At("join_adds").FloatOr(1, 0.001, 1)}
	if len(s.RungWorth) != len(s.RatesKB) {
		v.At("worth").Report("has %d values, but rates_kb has %d", len(s.RungWorth), len(s.RatesKB))
	}
	for i := 1; i < len(s.RatesKB); i++ {
		if s.RatesKB[i] <= s.RatesKB[i-1] {
			v.At("rates_kb").Report("rate of rung %d is not higher than that of the rung below", i)
		}
	}
	names := map[string]bool{}
	for _, e := range v.At("kinds").List(true) {
		e.Object(true)
		s.Kinds = append(s.Kinds, Kind{uniqueText(names, e.At("name")), e.At("streams").Int(1, 1<<20)})
		e.RejectUnknown()
	}
	names = map[string]bool{}
	for _, e := range v.At("zones").List(true) {
		s.Zones = append(s.Zones, uniqueText(names, e))
	}
	names = map[string]bool{}
	for _, e := range v.At("products").List(true) {
		s.Products = append(s.Products, readProduct(e, names, len(s.RatesKB)))
	}
	names = map[string]bool{}
	for _, e := range v.At("titles").List(true) {
		e.Object(true)
		s.Titles = append(s.Titles, Title{uniqueText(names, e.At("name")), e.At("home").Int(0, max(0, s.Cells-1)),
			e.At("copies").Int(1, max(1, s.Cells)), e.At("seconds").FloatOr(0, 0, 86400)})
		e.RejectUnknown()
	}
	s.titleIndex = make(map[string]int, len(s.Titles))
	for i, t := range s.Titles {
		s.titleIndex[t.Name] = i
	}
	r := v.At("reports").Object(true)
	s.ReportMode = r.At("how").OneOf("probe", "answers", "none")
	s.ReportUplinks = r.At("uplinks").BoolOr(false)
	s.ReportDelayMs = r.At("note_lag_ms").FloatOr(1000, 0, maxMs)
	r.RejectUnknown()
	r = v.At("rules").Object(true)
	s.ColdShare, s.ColdDurationMs = r.At("cold_share").Float(0.001, 1), r.At("cold_lasts_ms").Float(1, maxMs)
	s.OverloadMultiple, s.OverloadWindowMs = r.At("fall_multiple").Float(0.1, 1000), r.At("fall_over_ms").Float(1, maxMs)
	s.DrainGraceMs = r.At("drain_grace_ms").Float(0, maxMs)
	if b := r.At("budget"); b.Present() {
		b.Object(true)
		s.BudgetFree, s.BudgetShare = b.At("free").Float(0, 1e6), b.At("share").Float(0, 1000)
		s.BudgetWindowMs = b.At("over_ms").Float(1, maxMs)
		b.RejectUnknown()
	}
	r.RejectUnknown()
	v.RejectUnknown()
	return s
}

func readProduct(e Value, names map[string]bool, rungs int) Product {
	e.Object(true)
	p := Product{Name: uniqueText(names, e.At("name")), Importance: e.At("importance").Float(0.001, 1e6),
		TargetMs: e.At("target_ms").Float(1, maxMs), DeadlineMs: e.At("limit_ms").Float(1, maxMs),
		RateFactor: e.At("rate").FloatOr(1, 0.001, 1000), Paid: e.At("paid").BoolOr(false),
		MinRung: e.At("floor").IntOr(0, 0, max(0, rungs-1)), MaxRung: e.At("top").IntOr(max(0, rungs-1), 0, max(0, rungs-1)),
		Live:     e.At("live").BoolOr(false),
		MaxSeats: e.At("seats").IntOr(0, 0, 1<<20)}
	if p.MaxRung < p.MinRung {
		e.At("top").Report("must not be lower than floor")
	}
	if p.DeadlineMs < p.TargetMs {
		e.At("limit_ms").Report("must not be less than target_ms")
	}
	e.RejectUnknown()
	return p
}

func uniqueText(seen map[string]bool, v Value) string {
	s := v.Text()
	if s != "" && seen[s] {
		v.Report("duplicate value %.40q", s)
	}
	seen[s] = true
	return s
}

// PolicySettings returns the settings map of the placement module, described in docs/design.md. Times are converted to
// tenths of a millisecond.
func (s *Service) PolicySettings(front int, zone string) map[string][]float64 {
	single := func(x float64) []float64 { return []float64{x} }
	flag := func(b bool) []float64 {
		if b {
			return single(1)
		}
		return single(0)
	}
	out := map[string][]float64{"fronts": single(float64(s.Fronts)), "front": single(float64(front)),
		"cells": single(float64(s.Cells)), "racks": single(float64(s.Racks)), "rung.rate": s.RatesKB, "rung.worth": s.RungWorth,
		"weight.rate": single(s.LinkKBPerWeight), "uplink.rate": single(s.UplinkKB), "reports.uplink": flag(s.ReportUplinks && s.ReportMode != "none"),
		"note.lag": single(s.ReportDelayMs * 10), "switch.seconds": single(s.SwitchSeconds), "tries": single(float64(s.MaxAttempts)),
		"probing": flag(s.ReportMode == "probe"), "recall": single(1), "comeback": flag(s.MaxRetryAfterMs > 0),
		"comeback.most": single(s.MaxRetryAfterMs * 10), "cold.share": single(s.ColdShare), "cold.lasts": single(s.ColdDurationMs * 10),
		"fall.multiple": single(s.OverloadMultiple), "fall.over": single(s.OverloadWindowMs * 10)}
	if s.BudgetWindowMs > 0 {
		out["budget.free"], out["budget.share"] = single(s.BudgetFree), single(s.BudgetShare)
		out["budget.over"] = single(s.BudgetWindowMs * 10)
	}
	for _, k := range s.Kinds {
		out["kind.streams"] = append(out["kind.streams"], float64(k.MaxStreams))
	}
	for i, z := range s.Zones {
		if z == zone {
			out["zone"] = single(float64(i))
		}
	}
	for _, p := range s.Products {
		add := func(name string, x float64) { out["product."+name] = append(out["product."+name], x) }
		add("rate", p.RateFactor)
		add("paid", flag(p.Paid)[0])
		add("floor", float64(p.MinRung))
		add("top", float64(p.MaxRung))
		add("seats", float64(p.MaxSeats))
		add("importance", p.Importance)
		add("target", p.TargetMs*10)
	}
	if s.SharedStreamShare < 1 { // without shared streams the module gets no settings of them
		out["join"] = single(s.SharedStreamShare)
		for _, p := range s.Products {
			out["product.live"] = append(out["product.live"], flag(p.Live)...)
		}
	}
	return out
}

// Product returns the name of the product with the given number.
func (s *Service) Product(number int) string { return s.Products[number].Name }

// MaxDeadlineMs returns the longest time limit of all products, in milliseconds.
func (s *Service) MaxDeadlineMs() (longest float64) {
	for _, p := range s.Products {
		longest = max(longest, p.DeadlineMs)
	}
	return longest
}

// Paid reports whether plays of a product are paid for at set-up.
func (s *Service) Paid(number int) bool { return s.Products[number].Paid }

// Importance returns the importance of a product.
func (s *Service) Importance(number int) float64 { return s.Products[number].Importance }

// ProductNumber returns the number of the product with the given name.
func (s *Service) ProductNumber(name string) (int, bool) {
	for i := range s.Products {
		if s.Products[i].Name == name {
			return i, true
		}
	}
	return 0, false
}

// Title returns the first cell that holds a title and the number of cells that do.
func (s *Service) Title(name string) (home, copies int, ok bool) {
	t, ok := s.Lookup(name)
	return t.FirstCell, t.CellCount, ok
}

// Lookup returns the title with the given name.
func (s *Service) Lookup(name string) (Title, bool) {
	i, ok := s.titleIndex[name]
	if !ok {
		return Title{}, false
	}
	return s.Titles[i], true
}

// Front holds the settings of one front end.
type Front struct {
	Name              string
	Number            int
	Zone              string
	Listen            string  // host:port
	ListURL           string  // of the list service
	Seed              uint64  // of random choices
	LogLevel          string  // log level
	MaxWaiting        int     // maximum number of queued requests
	MaxSockets        int     // maximum number of connections of viewers
	TokenLifetimeMs   float64 // validity of session tokens
	CertFile          string  // file of the TLS certificate for viewers; empty for plain HTTP
	CertKeyFile       string  // file of its key
	NodesCAFile       string  // file of the CA certificates for TLS to nodes; empty for plain HTTP
	StateFolder       string  // directory of data kept between runs; empty to keep none
	ShutdownTimeoutMs float64 // time limit of a graceful shutdown
	ReleasePlays      bool    // release all plays at shutdown, for a front that is not replaced
	Keys              []Key
	Peers             Peers
	Service           Service
}

// Peers holds the settings of messages between fronts. If Listen is empty, the front neither sends nor receives any.
type Peers struct {
	Listen string   // host:port, UDP
	Fronts []string // host:port of each front, by its number
	Secret []byte   // 32 bytes, shared by all fronts
}

// PolicySettings returns the settings map of the placement module of this front.
func (f *Front) PolicySettings() map[string][]float64 {
	out := f.Service.PolicySettings(f.Number, f.Zone)
	if f.Peers.Listen != "" {
		out["peers"] = []float64{1}
	}
	return out
}

// Key is a key of session tokens. Seed is required for the signing key only.
type Key struct {
	ID      string
	Seed    []byte // 32 bytes of an Ed25519 private key, or nil
	Public  ed25519.PublicKey
	Signing bool
}

// ReadFront reads and checks the settings file of a front.
func ReadFront(file string) (Front, error) {
	doc, v, err := Open(file)
	if err != nil {
		return Front{}, err
	}
	return readFront(doc, v)
}

// ParseFront parses and checks text as a front's settings file of the given name.
func ParseFront(file string, text []byte) (Front, error) {
	doc, v, err := Parse(file, text)
	if err != nil {
		return Front{}, err
	}
	return readFront(doc, v)
}

func readFront(doc *Doc, v Value) (Front, error) {
	v.Object(true)
	f := Front{Service: ReadService(v.At("service"))}
	e := v.At("front").Object(true)
	f.Name, f.Number = e.At("name").Text(), e.At("number").Int(0, 1<<20)
	if f.Number >= f.Service.Fronts {
		e.At("number").Report("must be less than service.fronts, which is %d", f.Service.Fronts)
	}
	f.Zone = e.At("zone").OneOf(append([]string{}, orEmptyString(f.Service.Zones)...)...)
	f.Listen = Address(e.At("listen"))
	f.Seed = uint64(e.At("seed").IntOr(1, 0, 1<<53))
	f.LogLevel = e.At("log").OneOf("info", "debug", "warn", "error")
	f.MaxWaiting, f.MaxSockets = e.At("waiting").IntOr(256, 1, 1<<20), e.At("sockets").IntOr(8192, 1, 1<<20)
	f.TokenLifetimeMs = e.At("token_ms").FloatOr(600_000, 1000, 24*maxMs)
	f.StateFolder, f.ShutdownTimeoutMs = e.At("state").TextOr(""), e.At("end_within_ms").FloatOr(max(1000, f.Service.MaxDeadlineMs()), 100, maxMs)
	f.ReleasePlays = e.At("retire").BoolOr(false)
	if t := e.At("tls"); t.Present() {
		t.Object(true)
		f.CertFile, f.CertKeyFile = t.At("cert").Text(), t.At("key").Text()
		t.RejectUnknown()
	}
	if t := e.At("nodes_tls"); t.Present() {
		t.Object(true)
		f.NodesCAFile = t.At("ca").Text()
		t.RejectUnknown()
	}
	if p := e.At("peers"); p.Present() {
		f.Peers = readPeers(p, f.Service.Fronts)
	}
	e.RejectUnknown()
	l := v.At("list").Object(true)
	f.ListURL = l.At("url").Text()
	if u, err := url.Parse(f.ListURL); f.ListURL != "" && (err != nil || u.Scheme != "http" || u.Host == "") {
		l.At("url").Report("%.60q is not an http URL", f.ListURL)
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
		list.Report("at most 65536 fronts can exchange messages")
	}
	if len(p.Fronts) != fronts {
		list.Report("has %d addresses, but service.fronts is %d", len(p.Fronts), fronts)
	}
	p.Secret = base64Bytes32(v.At("secret"))
	v.RejectUnknown()
	return p
}

func orEmptyString(s []string) []string {
	if len(s) == 0 {
		return []string{""}
	}
	return s
}

// Address returns a string of the form host:port.
func Address(v Value) string {
	s := v.Text()
	if _, _, err := net.SplitHostPort(s); s != "" && err != nil {
		v.Report("%.60q is not host:port", s)
	}
	return s
}

// base64Bytes32 decodes 32 bytes in base64, the length of seeds, public keys and secrets. It returns nil if they are
// absent or invalid.
func base64Bytes32(v Value) []byte {
	b, err := base64.StdEncoding.DecodeString(v.Text())
	if err != nil || len(b) != 32 {
		v.Report("must be 32 bytes in base64")
		return nil
	}
	return b
}

// ReadKeys reads the keys of session tokens. Exactly one must be the signing key.
func ReadKeys(v Value) []Key {
	var keys []Key
	seen, signing := map[string]bool{}, 0
	for _, e := range v.List(true) {
		e.Object(true)
		k := Key{ID: uniqueText(seen, e.At("id")), Signing: e.At("signs").BoolOr(false)}
		if seed := e.At("seed"); seed.Present() {
			if k.Seed = base64Bytes32(seed); k.Seed != nil {
				k.Public = ed25519.NewKeyFromSeed(k.Seed).Public().(ed25519.PublicKey)
			}
		} else if k.Signing {
			e.At("seed").Report("is required for the signing key")
		} else {
			k.Public = base64Bytes32(e.At("public"))
		}
		e.At("public")
		if k.Signing {
			signing++
		}
		e.RejectUnknown()
		keys = append(keys, k)
	}
	if signing != 1 && len(keys) > 0 {
		v.Report("exactly one key must sign, not %d", signing)
	}
	return keys
}
