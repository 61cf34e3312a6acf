package testbed

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"gullrail/admission"
	"gullrail/config"
	"gullrail/decision"
	"gullrail/liveness"
	"gullrail/nodes"
	"gullrail/placement"
	"gullrail/playlog"
	"gullrail/session"
	"gullrail/testbed/audit"
	"gullrail/testbed/trace"
)

// Sim plays a day in simulated time, without sockets: the same cores, gates and modules as the daemon's, over
// a clock and a transport of its own. It runs on one goroutine, and the same seed gives the same decisions.
type Sim struct {
	Scenario *Scenario
	// Policy makes a front's policy; nil makes the project's own.
	Policy func(terms map[string][]float64, seed uint64) decision.Policy

	now      int64
	seq      uint64
	due      schedule
	rnd      *rand.Rand
	fronts   []*simFront
	nodes    map[string]*simNode
	order    []*simNode
	byNumber []*simNode
	racks    []rack
	rackAsks []float64
	lines    []trace.Event
	ids      int64
	crowd    map[string]float64
	lean     lean
	late     float64 // seconds that loads and shares are told later
	apart    int     // zone that is cut off, from 1; 0 is none
	list     simList
	segments int
	short    int
	events   int
}

// Latencies of the simulated site, in the clock's ticks.
const (
	hop       = 3 // one way between a front and a node, 0.3 ms
	clientHop = 6 // one way between a player and a front or node
	simTick   = decision.Second / 4
)

type simEvent struct {
	at  int64
	seq uint64
	do  func()
}

type schedule []simEvent

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(simEvent)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	(*s)[len(*s)-1] = simEvent{}
	*s = (*s)[:len(*s)-1]
	return last
}

func (s *Sim) after(ticks int64, do func()) {
	s.seq++
	heap.Push(&s.due, simEvent{s.now + max(0, ticks), s.seq, do})
}

func (s *Sim) seconds(sec float64, do func()) { s.after(int64(sec*float64(decision.Second)), do) }

func (s *Sim) add(l trace.Event) {
	l.T = (s.now - session.ClockStart) * 100
	s.lines = append(s.lines, l)
}

// ---- Nodes ----

type simNode struct {
	sim    *Sim
	line   nodes.Line
	cell   int
	given  float64
	asked  float64 // of its link, kB a second
	up     bool
	drains bool
	life   int64
	mark   int64
	coldAt int64 // 0 is warm
	plays  map[string]*simPlay
	held   []*simPlay // the same, in their order
	setUps []int64
	hushed int // silences that go on
	slow   float64
	taken  float64
	fails  float64
	vanish float64
	shares []shareAt // of the last seconds
	heard  map[int]int64
}

type simPlay struct {
	session.Allocation
	front   int
	epoch   int64
	node    *simNode
	product *config.Product
	rate    float64
	playing bool
	used    int64
	began   int64
}

func (n *simNode) warmth() float64 {
	if n.coldAt == 0 {
		return 1
	}
	set := &n.sim.Scenario.Service
	return min(1, set.ColdShare+(1-set.ColdShare)*float64(n.sim.now-n.coldAt)/10/set.ColdDurationMs)
}

func (n *simNode) rack() int { return n.cell % len(n.sim.racks) }

func (n *simNode) loads() (link, uplink float64) {
	r := n.sim.racks[n.rack()]
	return n.asked / (n.given * (1 - n.taken) * n.warmth()), n.sim.rackAsks[n.rack()] * r.divided / r.given
}

func (n *simNode) share() float64 {
	link, uplink := n.loads()
	return 1 / max(1, link, uplink)
}

// reaches tells that a front and a node are on one side of a cut.
func (f *simFront) reaches(n *simNode) bool {
	zones := f.sim.Scenario.Service.Zones
	return f.sim.apart == 0 || (f.number%len(zones) == f.sim.apart-1) == (n.line.Zone == zones[f.sim.apart-1])
}

func (n *simNode) load() decision.Load {
	link, uplink := n.loads()
	if k := len(n.shares) - 1 - int(n.sim.late); n.sim.late > 0 && len(n.shares) > 0 {
		link, uplink = n.shares[max(0, k)].link, n.shares[max(0, k)].uplink
	}
	l := decision.Load{Streams: float64(len(n.held)), Link: link, Uplink: -1}
	if n.sim.Scenario.Service.ReportUplinks {
		l.Uplink = uplink
	}
	return l
}

func (n *simNode) carry(more float64) {
	n.asked += more
	n.sim.rackAsks[n.rack()] += more
}

func (n *simNode) rerate(p *simPlay, rung int) {
	p.Rung = rung
	n.carry(-p.rate)
	p.rate = n.sim.Scenario.Service.RatesKB[rung] * p.product.RateFactor
	n.carry(p.rate)
}

func (n *simNode) drop(p *simPlay) {
	if n.plays[p.Play] != p {
		return
	}
	delete(n.plays, p.Play)
	n.held = slices.DeleteFunc(n.held, func(o *simPlay) bool { return o == p })
	n.carry(-p.rate)
}

func (n *simNode) start(cold bool) {
	n.up, n.drains, n.mark, n.coldAt, n.setUps, n.shares = true, false, 0, 0, nil, nil
	n.life++
	n.plays, n.held, n.heard = map[string]*simPlay{}, nil, map[int]int64{}
	note := "warm"
	if cold {
		n.coldAt, note = n.sim.now, "cold"
	}
	n.sim.add(trace.Event{Kind: trace.Life, Node: n.line.Name, Note: note})
}

func (n *simNode) crash(what string) {
	if !n.up {
		return
	}
	n.up = false
	n.sim.add(trace.Event{Kind: what, Node: n.line.Name})
	for _, p := range slices.Clone(n.held) {
		n.drop(p)
	}
	for _, f := range n.sim.fronts {
		f.nodeDied(n)
	}
}

func (s *Sim) newNode(name string, cell, i int, given float64) *simNode {
	set := &s.Scenario.Service
	n := &simNode{sim: s, cell: cell, given: given, slow: 1, life: 1, line: nodes.Line{Name: name, Address: name + ":1", Phase: "ready",
		Kind: set.Kinds[i%len(set.Kinds)].Name, Zone: set.Zones[i%len(set.Zones)], Cell: cell, Weight: 1}}
	s.nodes[n.line.Address] = n
	s.order = append(s.order, n)
	return n
}

// refusal is as a stand-in node's on sockets.
func (n *simNode) refusal(a *session.Allocation) string {
	set := &n.sim.Scenario.Service
	t, ok := set.Lookup(a.Title)
	streams := set.Kinds[0].MaxStreams
	for _, k := range set.Kinds {
		if k.Name == n.line.Kind {
			streams = k.MaxStreams
		}
	}
	link, _ := n.loads()
	switch {
	case a.Rung < set.Products[a.Product].MinRung:
		return "malformed"
	case !ok || ((n.cell-t.FirstCell)%set.Cells+set.Cells)%set.Cells >= t.CellCount:
		return "the title is not here"
	case n.drains:
		return "draining"
	case len(n.held) >= streams:
		return "no stream free"
	case n.sim.Scenario.MaxLinkLoad > 0 && link >= n.sim.Scenario.MaxLinkLoad:
		return "link full"
	}
	return ""
}

func (n *simNode) pushed() bool {
	set := &n.sim.Scenario.Service
	age := float64(n.sim.now-n.coldAt) / 10
	if n.coldAt == 0 || age > set.ColdDurationMs {
		return false
	}
	n.setUps = append(n.setUps, n.sim.now)
	for float64(n.sim.now-n.setUps[0])/10 > set.OverloadWindowMs {
		n.setUps = n.setUps[1:]
	}
	return float64(len(n.setUps)) > audit.Allowance(set, set.Kinds[0].MaxStreams, age)+2
}

// tick ends idle and abandoned plays, and once a second tells shares.
func (n *simNode) tick(beat int) {
	if !n.up {
		return
	}
	s := n.sim
	idle := int64(s.Scenario.IdleMs) * decision.Millisecond
	for _, p := range slices.Clone(n.held) {
		heard, ok := n.heard[p.front]
		if !ok {
			heard = p.began
		}
		if !p.playing || s.now-p.used <= idle && s.now-heard <= liveness.Lease {
			continue
		}
		n.drop(p)
		s.add(trace.Event{Kind: trace.Ended, Node: n.line.Name, Front: s.fronts[p.front].name, Play: p.Play, Attempt: p.Attempt})
		f, ref := s.fronts[p.front], p.Ref
		if n.hushed == 0 && f.reaches(n) {
			f.call(hop, func(now int64, c *session.Core) { c.PlayEnded(now, f.ref(ref, n), decision.Served) })
		}
	}
	if beat%4 != 0 {
		return
	}
	link, uplink := n.loads()
	n.shares = append(n.shares, shareAt{share: n.share(), link: link, uplink: uplink})
	s.add(trace.Event{Kind: trace.Load, Node: n.line.Name, Share: link, Uplink: uplink})
	if len(n.shares) > 64 {
		n.shares = n.shares[1:]
	}
	lag := int(math.Round(s.Scenario.Service.ReportDelayMs/1000 + s.late))
	if n.hushed > 0 || len(n.shares) <= lag+1 {
		return
	}
	share, before := n.shares[len(n.shares)-1-lag].share, n.shares[len(n.shares)-2-lag].share
	told := map[int]bool{}
	load := n.load()
	load.Streams = -1
	for _, p := range n.held {
		if !p.playing || told[p.front] {
			continue
		}
		told[p.front] = true
		f, ref := s.fronts[p.front], p.Ref
		if !f.reaches(n) {
			continue
		}
		if share < 0.98 || before < 0.98 {
			f.call(hop, func(now int64, c *session.Core) { c.DeliveryReported(now, f.ref(ref, n), share) })
		}
		if s.Scenario.Service.ReportMode == "answers" && beat%12 == 0 {
			f.call(hop, func(now int64, c *session.Core) { c.LoadReported(now, f.ref(ref, n), load) })
		}
	}
}

// ---- Fronts, and their transport ----

type simFront struct {
	sim     *Sim
	number  int
	name    string
	core    *session.Core
	gate    *admission.Queue
	life    int
	up      bool
	stopped bool
	held    []func() // what waits while it is stopped
	wakeDue int64
	listed  int              // changes of the list it has heard
	streams map[int]*simNode // alive, by the core's number
	numbers map[*simNode]int
	pending map[session.Ref]*pending
	asks    map[*session.Reply]int64 // with the request's number
}

type pending struct {
	a    session.Allocation
	node *simNode
	play *simPlay
	sent bool
}

func (f *simFront) start() {
	s := f.sim
	f.life++
	f.up, f.wakeDue, f.listed = true, 0, 0
	f.streams, f.numbers, f.pending = map[int]*simNode{}, map[*simNode]int{}, map[session.Ref]*pending{}
	f.asks, f.held = map[*session.Reply]int64{}, nil
	seed := s.Scenario.Seed + uint64(f.number)*1_000_003
	set := &s.Scenario.Service
	terms := set.PolicySettings(f.number, set.Zones[f.number%len(set.Zones)])
	var module decision.Policy
	if s.Policy != nil {
		module = s.Policy(terms, seed)
	} else {
		module = placement.New(terms, seed)
	}
	f.gate = admission.New(256, seed)
	f.core = session.NewCore(s.now, f.name, int64(f.life), module, f, set, seed)
	f.beat(f.life)
	f.hear(f.life)
	f.pump()
}

// call brings an event to the core after a while, unless the front's life has ended.
func (f *simFront) call(after int64, ev func(now int64, c *session.Core)) {
	life := f.life
	f.sim.after(after, func() { f.run(life, func() { ev(f.sim.now, f.core) }) })
}

// run does something on the front's goroutine: at once, or when it goes on if it is stopped.
func (f *simFront) run(life int, do func()) {
	switch {
	case !f.up || f.life != life:
	case f.stopped:
		f.held = append(f.held, func() { f.run(life, do) })
	default:
		do()
		f.pump()
	}
}

// pump takes requests from the gate and sees to the next wake.
func (f *simFront) pump() {
	s := f.sim
	for {
		a, late := f.gate.Next(s.now)
		if late != nil {
			f.turnAway(late)
			continue
		}
		if a == nil {
			break
		}
		ask := a.Value.(session.Request)
		ask.Deadline = admission.Deadline(s.now, a.Deadline)
		f.core.RequestPlay(s.now, ask)
	}
	if at := f.core.WakeAt(); f.wakeDue == 0 || at < f.wakeDue {
		f.wakeDue = at
		life := f.life
		s.after(at-s.now, func() {
			f.run(life, func() {
				if f.wakeDue = 0; s.now >= f.core.WakeAt() {
					f.core.Wake(s.now)
				}
			})
		})
	}
}

func (f *simFront) turnAway(t *admission.Rejection) {
	t.Request.Value.(session.Request).Reply.Resolve(session.Answer{Verdict: session.Declined, Reason: t.Reason.String(), RetryAfter: t.RetryAfter})
}

// beat is once a second: the beats of all streams that live, both ways.
func (f *simFront) beat(life int) {
	f.sim.after(liveness.HeartbeatInterval, func() {
		if !f.up || f.life != life {
			return
		}
		if !f.stopped {
			var at []int
			for k := range f.streams {
				at = append(at, k)
			}
			sort.Ints(at)
			for _, k := range at {
				if n := f.streams[k]; n.up && n.hushed == 0 && f.reaches(n) {
					f.core.StreamActive(f.sim.now, k)
				}
			}
			f.gate.Heartbeat(f.sim.now)
		}
		for _, n := range f.streams {
			if !f.reaches(n) {
				continue
			}
			n.heard[f.number] = f.sim.now // the socket stays open whether its process stands or not
		}
		f.beat(life)
	})
}

// ref is an allocation as this life of the front numbers its node.
func (f *simFront) ref(r session.Ref, n *simNode) session.Ref {
	if k, ok := f.numbers[n]; ok {
		r.Node = k
	}
	return r
}

func (f *simFront) SetUp(a session.Allocation) {
	s := f.sim
	p := &pending{a: a, node: s.nodes[a.Address]}
	f.numbers[p.node] = a.Node
	f.pending[a.Ref] = p
	s.after(a.Until-s.now, func() { f.settle(a.Ref, p, decision.NoAnswer, 0) })
	s.after(2*hop, func() { f.arrive(p) })
}

// arrive is a set-up's coming to its node.
func (f *simFront) arrive(p *pending) {
	s, n, a := f.sim, p.node, p.a
	if f.pending[a.Ref] != p {
		return
	}
	if !n.up {
		f.settle(a.Ref, p, decision.NoConnect, hop)
		return
	}
	if !f.reaches(n) {
		f.settle(a.Ref, p, decision.ConnectionLost, hop) // as on sockets: the connection breaks
		return
	}
	p.sent = true
	line := trace.Event{Kind: trace.SetUp, Node: n.line.Name, Front: f.name, Play: a.Play, Attempt: a.Attempt,
		Product: s.Scenario.Service.Products[a.Product].Name, Title: a.Title, Viewer: a.Viewer, Rung: a.Rung}
	s.add(line)
	ends := func(what, why string) { line.Kind, line.Note = what, why; s.add(line) }
	refusal := n.refusal(&a)
	if n.pushed() {
		n.crash(trace.Overloaded)
		return
	}
	if refusal != "" {
		if n.hushed == 0 {
			ends(trace.Refused, refusal)
			f.settle(a.Ref, p, decision.Rejected, hop)
		}
		return
	}
	wait := int64((s.Scenario.SetUpMs[0] + s.rnd.Float64()*(s.Scenario.SetUpMs[1]-s.Scenario.SetUpMs[0])) * n.slow * 10)
	fails, vanishes := s.rnd.Float64() < n.fails, s.rnd.Float64() < n.vanish
	product := &s.Scenario.Service.Products[a.Product]
	play := &simPlay{Allocation: a, front: f.number, epoch: int64(f.life), node: n, product: product}
	p.play = play
	n.plays[a.Play] = play
	n.held = append(n.held, play)
	n.rerate(play, a.Rung)
	s.after(wait, func() {
		switch {
		case n.plays[a.Play] != play || !n.up:
		case n.hushed > 0: // it says nothing, and will have been given up
		case fails:
			n.drop(play)
			ends(trace.Errored, "")
			f.settle(a.Ref, p, decision.Errored, hop)
		default:
			n.mark++
			play.playing, play.used, play.began = true, s.now, s.now
			if vanishes {
				return
			}
			ends(trace.Started, "")
			f.settle(a.Ref, p, decision.Served, hop)
		}
	})
}

// settle ends a set-up at the front, once.
func (f *simFront) settle(r session.Ref, p *pending, how decision.Outcome, after int64) {
	if f.pending[r] != p {
		return
	}
	delete(f.pending, r)
	n := p.node
	load := decision.UnknownLoad
	if f.sim.Scenario.Service.ReportMode == "answers" && (how == decision.Served || how == decision.Rejected) {
		load = n.load()
	}
	if how == decision.Served {
		life, mark, rung := n.life, n.mark, p.play.Rung
		f.call(after, func(now int64, c *session.Core) { c.Started(now, r, life, mark, rung, load) })
		return
	}
	if p.sent && p.play != nil && (how == decision.NoAnswer || how == decision.Canceled) {
		n.drop(p.play)
		f.sim.add(trace.Event{Kind: trace.Dropped, Node: n.line.Name, Front: f.name, Play: r.Play, Attempt: r.Attempt})
	} else if p.sent && how == decision.NoAnswer { // refused by a node that says nothing
		f.sim.add(trace.Event{Kind: trace.Dropped, Node: n.line.Name, Front: f.name, Play: r.Play, Attempt: r.Attempt})
	}
	f.call(after, func(now int64, c *session.Core) { c.SetUpEnded(now, r, how, load) })
}

func (f *simFront) Cancel(r session.Ref) {
	if p := f.pending[r]; p != nil {
		how := decision.Canceled
		if !p.sent {
			how = decision.NotSent
		}
		f.settle(r, p, how, 1)
	}
}

// later does something at a node once it hears, unless it has gone.
func (f *simFront) later(address string, do func(n *simNode)) {
	n := f.sim.nodes[address]
	life := n.life
	var try func()
	try = func() {
		switch {
		case !n.up || n.life != life:
		case n.hushed > 0 || !f.reaches(n):
			f.sim.after(decision.Second, try)
		default:
			do(n)
		}
	}
	f.sim.after(hop, try)
}

func (f *simFront) SetRung(r session.Ref, address string, rung, seq int) {
	f.later(address, func(n *simNode) {
		if p := n.plays[r.Play]; p != nil && p.Attempt == r.Attempt && seq > p.Seq {
			p.Seq = seq
			n.rerate(p, rung)
			f.sim.add(trace.Event{Kind: trace.Rung, Node: n.line.Name, Front: f.name, Play: r.Play, Attempt: r.Attempt, Product: p.product.Name, Rung: rung})
		}
	})
}

func (f *simFront) End(r session.Ref, address, why string) {
	n := f.sim.nodes[address]
	f.sim.after(hop, func() {
		if n.up && f.reaches(n) {
			f.sim.add(trace.Event{Kind: trace.End, Node: n.line.Name, Front: f.name, Play: r.Play, Attempt: r.Attempt, Note: why})
		}
	})
	f.later(address, func(n *simNode) {
		if p := n.plays[r.Play]; p != nil && p.Attempt == r.Attempt {
			n.drop(p)
		}
	})
}

func (f *simFront) Probe(node int, address string) {
	n := f.sim.nodes[address]
	life := f.life
	f.sim.after(hop, func() {
		how, load, after := decision.Served, decision.UnknownLoad, int64(hop)
		switch {
		case !n.up || !f.reaches(n):
			how = decision.NoConnect
		case n.hushed > 0:
			how, after = decision.NoAnswer, liveness.ProbeTimeout
		default:
			load = n.load()
		}
		if f.life == life {
			f.call(after, func(now int64, c *session.Core) { c.ProbeEnded(now, node, how, load) })
		}
	})
}

func (f *simFront) OpenStream(node int, address string, at int64) {
	s, n, life := f.sim, f.sim.nodes[address], f.life
	f.numbers[n] = node
	delete(f.streams, node)
	s.after(at-s.now+hop, func() {
		switch {
		case !f.up || f.life != life:
		case !n.up:
			f.call(hop, func(now int64, c *session.Core) { c.StreamBroke(now, node, true) })
		case !f.reaches(n):
			f.call(hop, func(now int64, c *session.Core) { c.StreamBroke(now, node, false) })
		case n.hushed > 0:
			f.call(liveness.CallTimeout, func(now int64, c *session.Core) { c.StreamBroke(now, node, false) })
		default:
			f.streams[node] = n
			n.heard[f.number] = s.now
			var runs []session.Running
			for _, p := range n.held {
				if p.front == f.number && p.playing {
					home, copies, _ := s.Scenario.Service.Title(p.Title)
					runs = append(runs, session.Running{Play: p.Play, Epoch: p.epoch, Attempt: p.Attempt, Product: p.Product, Title: p.Title,
						FirstCell: home, CellCount: copies, Viewer: p.Viewer, Rung: p.Rung, Seq: p.Seq, MaxRung: p.MaxRung})
				}
			}
			nodeLife, mark := n.life, n.mark
			f.call(hop, func(now int64, c *session.Core) { c.StreamOpened(now, node, "", nodeLife, mark, runs) })
		}
	})
}

func (f *simFront) CloseStream(node int) {
	if f.streams[node] != nil {
		delete(f.streams, node)
		f.call(1, func(now int64, c *session.Core) { c.StreamBroke(now, node, false) })
	}
}

// PlayFinished is for records on disk, which a simulated front does not keep.
func (f *simFront) PlayFinished(string, int, playlog.EndReason) {}
func (f *simFront) PlayStarted(session.Ref, int, string)        {}
func (f *simFront) RecoveryDone()                               {}

// nodeDied cuts what the front has to do with a node whose process ended.
func (f *simFront) nodeDied(n *simNode) {
	var refs []session.Ref
	for r, p := range f.pending {
		if p.node == n && p.sent {
			refs = append(refs, r)
		}
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i].Play < refs[j].Play })
	for _, r := range refs {
		f.settle(r, f.pending[r], decision.ConnectionLost, hop)
	}
	if k, ok := f.numbers[n]; ok && f.streams[k] == n {
		delete(f.streams, k)
		f.call(hop, func(now int64, c *session.Core) { c.StreamBroke(now, k, false) })
	}
}

func (f *simFront) kill() {
	f.up = false
	f.life++
	f.sim.add(trace.Event{Kind: trace.FrontKilled, Front: f.name})
	refs := make([]session.Ref, 0, len(f.pending))
	for r := range f.pending {
		refs = append(refs, r)
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i].Play < refs[j].Play })
	for _, r := range refs { // nodes see their connections closed
		if p := f.pending[r]; p.play != nil && !p.play.playing {
			p.node.drop(p.play)
			f.sim.add(trace.Event{Kind: trace.Dropped, Node: p.node.line.Name, Front: f.name, Play: r.Play, Attempt: r.Attempt})
		}
	}
	replies := make([]*session.Reply, 0, len(f.asks))
	for r := range f.asks {
		replies = append(replies, r)
	}
	sort.Slice(replies, func(i, j int) bool { return f.asks[replies[i]] < f.asks[replies[j]] })
	for _, r := range replies { // and so do those who wait
		r.Resolve(session.Answer{Verdict: cut})
	}
}

// cut is an answer that never was: the front's process ended.
const cut session.Verdict = 99

// ---- The list ----

type simChange struct {
	due   int64
	lines []nodes.Line
}

type simList struct {
	past []simChange
	late int64
	down bool
}

func (s *Sim) announce(lines ...nodes.Line) {
	due := s.now + s.list.late
	if k := len(s.list.past); k == 0 {
		due = s.now
	} else {
		due = max(due, s.list.past[k-1].due)
	}
	s.list.past = append(s.list.past, simChange{due, slices.Clone(lines)})
}

// hear asks for what is due of the list, five times a second.
func (f *simFront) hear(life int) {
	s := f.sim
	if !f.up || f.life != life {
		return
	}
	s.after(decision.Second/5, func() { f.hear(life) })
	if s.list.down || f.stopped {
		return
	}
	due := f.listed
	for due < len(s.list.past) && s.list.past[due].due <= s.now {
		due++
	}
	if due == f.listed {
		return
	}
	whole := f.listed == 0
	var lines []nodes.Line
	for _, c := range s.list.past[f.listed:due] {
		for _, l := range c.lines {
			lines = slices.DeleteFunc(lines, func(o nodes.Line) bool { return o.Name == l.Name })
			lines = append(lines, l)
		}
	}
	f.listed = due
	var listed []session.NodeEntry
	for _, l := range lines {
		if whole && l.Phase == "gone" {
			continue
		}
		s.add(trace.Event{Kind: trace.ListSent, Front: f.name, Node: l.Name, Note: l.Phase})
		phase := map[string]decision.Phase{"ready": decision.Ready, "draining": decision.Draining, "gone": decision.Gone}[l.Phase]
		e := session.NodeEntry{Name: l.Name, Address: l.Address, Phase: phase, Cell: l.Cell, Weight: l.Weight, StartedAt: l.StartedMs}
		for i, k := range s.Scenario.Service.Kinds {
			if k.Name == l.Kind {
				e.Kind = i
			}
		}
		for i, z := range s.Scenario.Service.Zones {
			if z == l.Zone {
				e.Zone = i
			}
		}
		listed = append(listed, e)
	}
	f.call(hop, func(now int64, c *session.Core) { c.UpdateList(now, listed, whole) })
}

// ---- Viewers ----

type simViewer struct {
	*Viewer
	sim    *Sim
	front  int
	began  int64
	until  int64
	first  bool
	tries  int
	before string
	broken bool
	play   *session.Answer
	fails  int
	rung   int
}

func (v *simViewer) ask() {
	s := v.sim
	if s.now >= v.until && !v.first {
		return
	}
	f := s.fronts[v.front%len(s.fronts)]
	s.ids++
	id := s.ids
	line := trace.Event{Kind: trace.Ask, ID: id, Front: f.name, Viewer: v.Name, Product: v.Product.Name, Title: v.Title,
		LimitMs: int64(v.Product.DeadlineMs), Play: v.before, First: v.first}
	if v.broken {
		line.Note = "broken"
	}
	if v.first {
		line.WatchMs, line.Rung = v.WatchTime.Milliseconds(), v.MaxRung
	}
	v.first = false
	s.add(line)
	limit := s.now + int64(v.Product.DeadlineMs)*decision.Millisecond
	if !f.up {
		s.after(clientHop, func() { s.add(trace.Event{Kind: trace.Answer, ID: id, Note: "connection refused"}); v.again(0) })
		return
	}
	var reply *session.Reply
	reply = session.NewReplyFunc(func(a session.Answer) {
		delete(f.asks, reply)
		s.after(clientHop, func() { v.answered(id, a) })
	})
	f.asks[reply] = id
	home, copies, _ := s.Scenario.Service.Title(v.Title)
	number, _ := s.Scenario.Service.ProductNumber(v.Product.Name)
	a := session.Request{Product: number, Title: v.Title, FirstCell: home, CellCount: copies, Viewer: v.Name, Deadline: limit, MaxRung: v.MaxRung,
		Length: max(0, v.until-s.now), Reply: reply}
	if v.before != "" {
		a.Previous = &session.Previous{Play: v.before, NotDelivered: v.broken}
	}
	life := f.life
	s.after(clientHop, func() {
		f.run(life, func() {
			w := &admission.Request{Importance: v.Product.Importance, Deadline: limit, Client: v.Name, Value: a}
			verdict, back, gone := f.gate.Offer(s.now, w)
			if gone != nil {
				f.turnAway(gone)
			}
			if verdict != admission.Queued {
				f.turnAway(&admission.Rejection{Request: w, Reason: verdict, RetryAfter: back})
			}
		})
	})
	s.after(limit-s.now, func() { // its time is up, whatever the front does
		if f.up && f.life == life && reply.Withdraw() {
			delete(f.asks, reply)
			f.call(0, func(now int64, c *session.Core) { c.RequestWithdrawn(now, reply) })
			v.answered(id, session.Answer{Verdict: session.Failed, TimedOut: true})
		}
	})
}

func (v *simViewer) answered(id int64, a session.Answer) {
	s := v.sim
	line := trace.Event{Kind: trace.Answer, ID: id, Play: a.Play, Note: a.Reason}
	switch {
	case a.Verdict == cut:
	case a.Verdict == session.Plays:
		line.Status = 200
	case a.Verdict == session.Declined:
		line.Status = 503
	case a.Verdict == session.Failed:
		line.Status = 502
	default:
		line.Status = 403
	}
	s.add(line)
	if line.Status != 200 {
		v.play, v.before, v.broken = nil, "", false
		v.front++
		v.again(a.RetryAfter)
		return
	}
	started := v.play == nil || v.play.Play != a.Play
	v.play, v.before, v.broken = &a, a.Play, false
	if started {
		v.fails, v.rung = 0, a.Rung
		v.fetch(a.Play)
	}
}

// again comes back after a pause, while patience lasts.
func (v *simViewer) again(advice int64) {
	if v.tries++; v.tries > v.MaxRetries {
		return
	}
	pause := int64((0.5 + v.Rand.Float64()) * float64(v.Pause/(100*time.Microsecond)))
	if v.HeedsRetryAfter && advice > 0 {
		pause = int64((1 + v.Rand.Float64()) * float64((advice+decision.Second-1)/decision.Second*decision.Second))
	}
	v.sim.after(pause, v.ask)
}

// fetch is one segment and what follows from it.
func (v *simViewer) fetch(play string) {
	s := v.sim
	if v.play == nil || v.play.Play != play {
		return
	}
	if s.now >= v.until {
		f := s.fronts[v.front%len(s.fronts)]
		f.call(clientHop, func(now int64, c *session.Core) { c.EndPlay(now, play) })
		return
	}
	n := s.nodes[v.play.Address]
	every := int64(s.Scenario.Service.SegmentMs) * decision.Millisecond
	p := n.plays[play]
	switch {
	case !n.up || n.hushed > 0:
		if v.fails++; v.fails >= 2 {
			v.broken, v.play = true, nil
			v.ask()
			return
		}
		s.after(every, func() { v.fetch(play) })
		return
	case p == nil || !p.playing:
		v.play = nil // moved or lost: it is expected back at once, and says so if the front doesn't know
		v.broken = v.fails > 0
		s.after(clientHop, v.ask)
		return
	}
	v.fails = 0
	p.used = s.now
	share := n.share()
	s.segments++
	if share < 0.98 {
		s.short++
	}
	s.add(trace.Event{Kind: trace.Served, Node: n.line.Name, Play: play, Rung: p.Rung, Share: share})
	if p.Rung != v.rung { // told by the node: its manifest is asked for again
		v.rung = p.Rung
		v.ask()
	}
	s.after(every, func() { v.fetch(play) })
}

// ---- The day ----

// Run plays the day and returns what it came to.
func (s *Sim) Run() *Outcome {
	began := time.Now()
	d := s.Scenario
	s.now = session.ClockStart
	s.rnd = rand.New(rand.NewPCG(d.Seed, 2))
	s.nodes, s.crowd = map[string]*simNode{}, map[string]float64{}
	s.list.late = int64(d.ListLateMs) * decision.Millisecond
	about := rand.New(rand.NewPCG(d.Seed, 1))
	for range 32 { // as the key of a rehearsal on sockets draws
		about.UintN(256)
	}
	spread := func() float64 { return 1 + d.BandwidthSpread*(2*about.Float64()-1) }
	s.rackAsks = make([]float64, d.Service.Racks)
	for range d.Service.Racks {
		given := d.Service.UplinkKB
		if given <= 0 {
			given = math.Inf(1)
		}
		s.racks = append(s.racks, rack{given * spread(), 1})
	}
	var lines []nodes.Line
	for i := range d.Nodes {
		n := s.newNode(fmt.Sprintf("n%d", i), i%d.Service.Cells, i, d.Service.WeightKB*spread())
		s.byNumber = append(s.byNumber, n)
		n.start(false)
		lines = append(lines, n.line)
	}
	s.announce(lines...)
	for i := range d.Service.Fronts {
		f := &simFront{sim: s, number: i, name: fmt.Sprintf("f%d", i)}
		s.fronts = append(s.fronts, f)
		f.start()
		s.add(trace.Event{Kind: trace.FrontStarted, Front: f.name})
	}
	beat := 0
	var tick func()
	tick = func() {
		for _, n := range s.order {
			n.tick(beat)
		}
		beat++
		s.after(simTick, tick)
	}
	s.after(simTick, tick)
	s.seconds(2, func() { // fronts are ready by then
		for _, f := range d.Faults {
			s.seconds(f.At, func() { s.inject(f) })
		}
		for a := range d.arrivals(len(s.fronts)) {
			s.seconds(a.at, func() {
				a.v.Title = d.crowded(a, s.crowd)
				v := &simViewer{Viewer: a.v, sim: s, front: s.lean.first(a), began: s.now, first: true}
				v.until = s.now + session.Ticks(a.v.WatchTime)
				v.ask()
			})
		}
	})
	end := s.now + int64((2+d.Seconds+d.tail())*float64(decision.Second))
	for len(s.due) > 0 && s.due[0].at <= end {
		e := heap.Pop(&s.due).(simEvent)
		s.now = e.at
		s.events++
		e.do()
	}
	return &Outcome{Report: audit.Check(&d.Service, s.lines), Lines: s.lines, Took: time.Since(began),
		Short: float64(s.short) / max(1, float64(s.segments))}
}

// inject is the script's faults, as on sockets.
func (s *Sim) inject(f Fault) {
	s.add(trace.Event{Kind: trace.Fault, Note: f.String()})
	each := func(do func(n *simNode)) {
		for _, i := range f.Nodes {
			do(s.byNumber[i])
		}
	}
	lasts := func(undo func()) {
		if f.Duration > 0 {
			s.seconds(f.Duration, undo)
		}
	}
	set := func(at func(n *simNode) *float64, usual float64) {
		each(func(n *simNode) {
			*at(n) = f.Amount
			lasts(func() { *at(n) = usual })
		})
	}
	back := func(n *simNode) {
		n.start(true)
		n.line.StartedMs = s.now // on the fronts' own clock here
		n.line.Phase = "ready"
		s.announce(n.line)
	}
	switch f.Action {
	case "drain":
		each(func(n *simNode) {
			n.drains = true
			line := n.line
			line.Phase = "draining"
			s.announce(line)
			s.seconds(f.Amount, func() {
				n.crash(trace.Crash)
				line.Phase = "gone"
				s.announce(line)
				lasts(func() {
					m := s.newNode(fmt.Sprintf("%sx%d", n.line.Name, len(s.order)), n.cell, 0, n.given)
					back(m)
				})
			})
		})
	case "crash":
		each(func(n *simNode) {
			n.crash(trace.Crash)
			lasts(func() { back(n) })
		})
	case "list-wrong":
		each(func(n *simNode) {
			line := n.line
			line.Phase = "gone"
			s.announce(line)
			lasts(func() { s.announce(n.line) })
		})
	case "silence":
		each(func(n *simNode) {
			n.hushed++
			lasts(func() { n.hushed-- })
		})
	case "slow":
		set(func(n *simNode) *float64 { return &n.slow }, 1)
	case "errors":
		set(func(n *simNode) *float64 { return &n.fails }, 0)
	case "vanish":
		set(func(n *simNode) *float64 { return &n.vanish }, 0)
	case "neighbour":
		set(func(n *simNode) *float64 { return &n.taken }, 0)
	case "uplink":
		s.racks[f.Rack].divided = max(0.001, f.Amount)
		lasts(func() { s.racks[f.Rack].divided = 1 })
	case "list-down":
		s.list.down = true
		lasts(func() { s.list.down = false })
	case "list-late":
		usual := s.list.late
		s.list.late += int64(f.Amount * float64(decision.Second))
		lasts(func() { s.list.late = usual })
	case "crowd":
		s.crowd[f.Title] = f.Amount
		lasts(func() { delete(s.crowd, f.Title) })
	case "shift":
		s.lean = lean{f.Front, f.Amount}
		lasts(func() { s.lean = lean{} })
	case "reports-late":
		s.late = f.Amount
		lasts(func() { s.late = 0 })
	case "zone-cut":
		s.apart = f.Zone + 1
		lasts(func() { s.apart = 0 })
	case "ageing":
		each(func(n *simNode) {
			for age := 0.0; age < f.Duration; age++ {
				s.seconds(age, func() { n.slow, n.taken = aged(f, age) })
			}
			s.seconds(f.Duration, func() {
				n.crash(trace.Crash)
				n.slow, n.taken = 1, 0
				s.seconds(agedBack, func() { back(n) })
			})
		})
	case "front-kill":
		p := s.fronts[f.Front]
		p.kill()
		lasts(func() {
			p.start()
			s.add(trace.Event{Kind: trace.FrontStarted, Front: p.name})
		})
	case "front-stall":
		p := s.fronts[f.Front]
		p.stopped = true
		s.add(trace.Event{Kind: trace.FrontStopped, Front: p.name})
		s.seconds(f.Duration, func() {
			p.stopped = false
			s.add(trace.Event{Kind: trace.Continued, Front: p.name})
			held := p.held
			p.held = nil
			for _, do := range held {
				do()
			}
		})
	}
}
