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

// Sim runs a scenario in simulated time, without sockets. Fronts have the same session cores, request queues and
// policies as the server, with a simulated clock and transport. Sim runs on one goroutine, and the same seed gives
// the same decisions.
type Sim struct {
	Scenario *Scenario
	// Policy creates the policy of a front; nil selects the project's own.
	Policy func(settings map[string][]float64, seed uint64) decision.Policy

	now            int64  // in decision's ticks
	seq            uint64 // of the last scheduled event
	queue          eventQueue
	random         *rand.Rand
	fronts         []*simFront
	nodesByAddress map[string]*simNode
	allNodes       []*simNode // nodesByNumber and the replacements of drained nodes
	nodesByNumber  []*simNode // nodes of the scenario
	racks          []rack
	rackDemandKB   []float64 // by rack, sum of demandKB of its nodes
	trace          []trace.Event
	lastRequestID  int64
	titleShares    map[string]float64 // share of new viewers that a crowd fault directs to a title
	shift          frontShift
	reportDelay    float64 // seconds by which a fault delays reported loads and delivered shares
	isolatedZone   int     // 1 + index of the zone isolated by a fault; 0 is none
	list           simList
	segments       int
	shortSegments  int // delivered at less than 0.98 of their bit rate
	eventCount     int
}

// Times in ticks of 0.1 ms.
const (
	nodeLatency   = 3                   // one-way latency between a front and a node
	clientLatency = 6                   // one-way latency between a viewer and a front or node
	nodeTick      = decision.Second / 4 // interval of runPeriodic
)

// simEvent is a call scheduled for a time. Events at the same time run in the order in which they were scheduled.
type simEvent struct {
	at  int64
	seq uint64
	run func()
}

// eventQueue is a heap.Interface; the next event comes first.
type eventQueue []simEvent

func (s eventQueue) Len() int { return len(s) }
func (s eventQueue) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)   { *s = append(*s, x.(simEvent)) }
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	(*s)[len(*s)-1] = simEvent{}
	*s = (*s)[:len(*s)-1]
	return last
}

// after schedules a call after a number of ticks; a negative number counts as 0.
func (s *Sim) after(ticks int64, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + max(0, ticks), s.seq, do})
}

func (s *Sim) afterSeconds(sec float64, do func()) { s.after(int64(sec*float64(decision.Second)), do) }

// record adds an event to the trace, at the current time.
func (s *Sim) record(event trace.Event) {
	event.T = (s.now - session.ClockStart) * 100
	s.trace = append(s.trace, event)
}

// ---- Nodes ----

// simNode is a simulated playout node, the counterpart of Node.
type simNode struct {
	sim             *Sim
	line            nodes.ListNode
	cell            int
	linkKB          float64
	demandKB        float64 // sum of the bit rates of its plays in kB/s
	up              bool
	draining        bool
	life            int64               // number of the process
	mark            int64               // number of plays started by this process
	coldSince       int64               // start of a cold process; 0 if the process is warm
	plays           map[string]*simPlay // by play, set-ups in progress included
	orderedPlays    []*simPlay          // plays in order of arrival, as map order is random
	coldSetUps      []int64             // set-ups on a cold process within the overload window
	silences        int                 // number of silence faults in effect
	setUpSlowdown   float64
	linkShareTaken  float64
	errorShare      float64
	lostAnswerShare float64
	samples         []loadSample  // one per second, the last 64; at is unset
	lastHeartbeat   map[int]int64 // by front, the latest time at which its stream was open
}

// simPlay is a play on a node, from the arrival of its set-up on.
type simPlay struct {
	session.Allocation
	front      int
	epoch      int64
	node       *simNode
	product    *config.Product
	rateKB     float64
	playing    bool  // the set-up has succeeded
	lastActive int64 // start or last segment request
	startedAt  int64
}

func (n *simNode) warmUpShare() float64 {
	if n.coldSince == 0 {
		return 1
	}
	service := &n.sim.Scenario.Service
	return min(1, service.ColdShare+(1-service.ColdShare)*float64(n.sim.now-n.coldSince)/10/service.ColdDurationMs)
}

func (n *simNode) rack() int { return n.cell % len(n.sim.racks) }

func (n *simNode) loads() (link, uplink float64) {
	r := n.sim.racks[n.rack()]
	return n.demandKB / (n.linkKB * (1 - n.linkShareTaken) * n.warmUpShare()), n.sim.rackDemandKB[n.rack()] * r.uplinkDivisor / r.uplinkKB
}

func (n *simNode) deliveredShare() float64 {
	link, uplink := n.loads()
	return 1 / max(1, link, uplink)
}

// canReach reports whether no zone isolation separates the front from a node.
func (f *simFront) canReach(n *simNode) bool {
	zones := f.sim.Scenario.Service.Zones
	return f.sim.isolatedZone == 0 || (f.number%len(zones) == f.sim.isolatedZone-1) == (n.line.Zone == zones[f.sim.isolatedZone-1])
}

func (n *simNode) reportedLoad() decision.Load {
	link, uplink := n.loads()
	if k := len(n.samples) - 1 - int(n.sim.reportDelay); n.sim.reportDelay > 0 && len(n.samples) > 0 {
		link, uplink = n.samples[max(0, k)].link, n.samples[max(0, k)].uplink
	}
	l := decision.Load{Streams: float64(len(n.orderedPlays)), LinkUtilization: link, UplinkUtilization: -1}
	if n.sim.Scenario.Service.ReportUplinks {
		l.UplinkUtilization = uplink
	}
	return l
}

// addDemand adds to the demand on the node's link and its rack's uplink.
func (n *simNode) addDemand(more float64) {
	n.demandKB += more
	n.sim.rackDemandKB[n.rack()] += more
}

// setRung changes the rung of a play and its demand.
func (n *simNode) setRung(p *simPlay, rung int) {
	p.Rung = rung
	n.addDemand(-p.rateKB)
	p.rateKB = n.sim.Scenario.Service.RatesKB[rung] * p.product.RateFactor
	n.addDemand(p.rateKB)
}

func (n *simNode) removePlay(p *simPlay) {
	if n.plays[p.Play] != p {
		return
	}
	delete(n.plays, p.Play)
	n.orderedPlays = slices.DeleteFunc(n.orderedPlays, func(o *simPlay) bool { return o == p })
	n.addDemand(-p.rateKB)
}

func (n *simNode) start(cold bool) {
	n.up, n.draining, n.mark, n.coldSince, n.coldSetUps, n.samples = true, false, 0, 0, nil, nil
	n.life++
	n.plays, n.orderedPlays, n.lastHeartbeat = map[string]*simPlay{}, nil, map[int]int64{}
	note := "warm"
	if cold {
		n.coldSince, note = n.sim.now, "cold"
	}
	n.sim.record(trace.Event{Kind: trace.NodeStarted, Node: n.line.Name, Note: note})
}

func (n *simNode) crash(eventKind string) {
	if !n.up {
		return
	}
	n.up = false
	n.sim.record(trace.Event{Kind: eventKind, Node: n.line.Name})
	for _, p := range slices.Clone(n.orderedPlays) {
		n.removePlay(p)
	}
	for _, f := range n.sim.fronts {
		f.nodeCrashed(n)
	}
}

func (s *Sim) newNode(name string, cell, i int, linkKB float64) *simNode {
	service := &s.Scenario.Service
	n := &simNode{sim: s, cell: cell, linkKB: linkKB, setUpSlowdown: 1, life: 1, line: nodes.ListNode{Name: name, Address: name + ":1", Phase: "ready",
		Kind: service.Kinds[i%len(service.Kinds)].Name, Zone: service.Zones[i%len(service.Zones)], Cell: cell, Weight: 1}}
	s.nodesByAddress[n.line.Address] = n
	s.allNodes = append(s.allNodes, n)
	return n
}

// refusalReason returns the reason to refuse a set-up, empty to accept it. See Node.refusalReason.
func (n *simNode) refusalReason(a *session.Allocation) string {
	service := &n.sim.Scenario.Service
	t, ok := service.Lookup(a.Title)
	streams := service.Kinds[0].MaxStreams
	for _, k := range service.Kinds {
		if k.Name == n.line.Kind {
			streams = k.MaxStreams
		}
	}
	link, _ := n.loads()
	switch {
	case a.Rung < service.Products[a.Product].MinRung:
		return "malformed"
	case !ok || ((n.cell-t.FirstCell)%service.Cells+service.Cells)%service.Cells >= t.CellCount:
		return "the title is not here"
	case n.draining:
		return "draining"
	case len(n.orderedPlays) >= streams:
		return "no stream free"
	case n.sim.Scenario.MaxLinkLoad > 0 && link >= n.sim.Scenario.MaxLinkLoad:
		return "link full"
	}
	return ""
}

// countColdSetUp counts a set-up on a cold process, and reports whether the process fails from overload. See
// Node.countColdSetUp.
func (n *simNode) countColdSetUp() bool {
	service := &n.sim.Scenario.Service
	age := float64(n.sim.now-n.coldSince) / 10
	if n.coldSince == 0 || age > service.ColdDurationMs {
		return false
	}
	n.coldSetUps = append(n.coldSetUps, n.sim.now)
	for float64(n.sim.now-n.coldSetUps[0])/10 > service.OverloadWindowMs {
		n.coldSetUps = n.coldSetUps[1:]
	}
	return float64(len(n.coldSetUps)) > audit.Allowance(service, service.Kinds[0].MaxStreams, age)+2
}

// runPeriodic ends plays that are idle or whose front has had no stream for longer than the lease. Every fourth
// tick it takes a load sample and reports the delivered share and the loads on one play of each front.
func (n *simNode) runPeriodic(tick int) {
	if !n.up {
		return
	}
	s := n.sim
	idle := int64(s.Scenario.IdleMs) * decision.Millisecond
	for _, p := range slices.Clone(n.orderedPlays) {
		unattendedSince, ok := n.lastHeartbeat[p.front]
		if !ok {
			unattendedSince = p.startedAt
		}
		if !p.playing || s.now-p.lastActive <= idle && s.now-unattendedSince <= liveness.Lease {
			continue
		}
		n.removePlay(p)
		s.record(trace.Event{Kind: trace.Ended, Node: n.line.Name, Front: s.fronts[p.front].name, Play: p.Play, Attempt: p.Attempt})
		f, ref := s.fronts[p.front], p.Ref
		if n.silences == 0 && f.canReach(n) {
			f.deliver(nodeLatency, func(now int64, c *session.Core) { c.PlayEnded(now, f.localRef(ref, n), decision.Served) })
		}
	}
	if tick%4 != 0 {
		return
	}
	link, uplink := n.loads()
	n.samples = append(n.samples, loadSample{share: n.deliveredShare(), link: link, uplink: uplink})
	s.record(trace.Event{Kind: trace.Load, Node: n.line.Name, Share: link, Uplink: uplink})
	if len(n.samples) > 64 {
		n.samples = n.samples[1:]
	}
	lag := int(math.Round(s.Scenario.Service.ReportDelayMs/1000 + s.reportDelay))
	if n.silences > 0 || len(n.samples) <= lag+1 {
		return
	}
	share, previousShare := n.samples[len(n.samples)-1-lag].share, n.samples[len(n.samples)-2-lag].share
	reported := map[int]bool{}
	load := n.reportedLoad()
	load.Streams = -1
	for _, p := range n.orderedPlays {
		if !p.playing || reported[p.front] {
			continue
		}
		reported[p.front] = true
		f, ref := s.fronts[p.front], p.Ref
		if !f.canReach(n) {
			continue
		}
		if share < 0.98 || previousShare < 0.98 {
			f.deliver(nodeLatency, func(now int64, c *session.Core) { c.DeliveryReported(now, f.localRef(ref, n), share) })
		}
		if s.Scenario.Service.ReportMode == "answers" && tick%12 == 0 {
			f.deliver(nodeLatency, func(now int64, c *session.Core) { c.LoadReported(now, f.localRef(ref, n), load) })
		}
	}
}

// ---- Fronts ----

// simFront is a simulated front end. It implements session.Transport for its core.
type simFront struct {
	sim           *Sim
	number        int
	name          string
	core          *session.Core
	requests      *admission.Queue
	epoch         int
	up            bool
	stopped       bool
	deferred      []func()         // calls deferred while the process is stopped
	wakeAt        int64            // time of the scheduled Wake; 0 is none
	listVersion   int              // number of list changes received
	streams       map[int]*simNode // open note streams, by the core's number of the node
	nodeNumbers   map[*simNode]int // the core's numbers
	pendingSetUps map[session.Ref]*pendingSetUp
	requestIDs    map[*session.Reply]int64 // unanswered requests, with their trace IDs
}

// pendingSetUp is a set-up whose outcome the front does not know yet.
type pendingSetUp struct {
	allocation session.Allocation
	node       *simNode
	play       *simPlay // nil until the node accepts the set-up
	sent       bool     // the set-up has reached the node
}

// start starts a process of the front, with a new epoch.
func (f *simFront) start() {
	s := f.sim
	f.epoch++
	f.up, f.wakeAt, f.listVersion = true, 0, 0
	f.streams, f.nodeNumbers, f.pendingSetUps = map[int]*simNode{}, map[*simNode]int{}, map[session.Ref]*pendingSetUp{}
	f.requestIDs, f.deferred = map[*session.Reply]int64{}, nil
	seed := s.Scenario.Seed + uint64(f.number)*1_000_003
	service := &s.Scenario.Service
	settings := service.PolicySettings(f.number, service.Zones[f.number%len(service.Zones)])
	var policy decision.Policy
	if s.Policy != nil {
		policy = s.Policy(settings, seed)
	} else {
		policy = placement.New(settings, seed)
	}
	f.requests = admission.New(256, seed)
	f.core = session.NewCore(s.now, f.name, int64(f.epoch), policy, f, service, seed)
	f.runHeartbeat(f.epoch)
	f.pollList(f.epoch)
	f.admitRequests()
}

// deliver calls the core after a delay, unless the front's process has ended by then.
func (f *simFront) deliver(delay int64, event func(now int64, c *session.Core)) {
	epoch := f.epoch
	f.sim.after(delay, func() { f.run(epoch, func() { event(f.sim.now, f.core) }) })
}

// run calls do in the front's process of the given epoch: now, after the process resumes if it is stopped, or not
// at all if it has ended.
func (f *simFront) run(epoch int, do func()) {
	switch {
	case !f.up || f.epoch != epoch:
	case f.stopped:
		f.deferred = append(f.deferred, func() { f.run(epoch, do) })
	default:
		do()
		f.admitRequests()
	}
}

// admitRequests passes queued requests to the core and schedules the next Wake.
func (f *simFront) admitRequests() {
	s := f.sim
	for {
		queued, rejection := f.requests.Next(s.now)
		if rejection != nil {
			f.reject(rejection)
			continue
		}
		if queued == nil {
			break
		}
		request := queued.Value.(session.Request)
		request.Deadline = admission.Deadline(s.now, queued.Deadline)
		f.core.RequestPlay(s.now, request)
	}
	if at := f.core.WakeAt(); f.wakeAt == 0 || at < f.wakeAt {
		f.wakeAt = at
		epoch := f.epoch
		s.after(at-s.now, func() {
			f.run(epoch, func() {
				if f.wakeAt = 0; s.now >= f.core.WakeAt() {
					f.core.Wake(s.now)
				}
			})
		})
	}
}

func (f *simFront) reject(t *admission.Rejection) {
	t.Request.Value.(session.Request).Reply.Resolve(session.Answer{Verdict: session.Declined, Reason: t.Reason.String(), RetryAfter: t.RetryAfter})
}

// runHeartbeat exchanges heartbeats on all open streams at every heartbeat interval, until the process ends.
func (f *simFront) runHeartbeat(epoch int) {
	f.sim.after(liveness.HeartbeatInterval, func() {
		if !f.up || f.epoch != epoch {
			return
		}
		if !f.stopped {
			var streamNumbers []int
			for k := range f.streams {
				streamNumbers = append(streamNumbers, k)
			}
			sort.Ints(streamNumbers)
			for _, k := range streamNumbers {
				if n := f.streams[k]; n.up && n.silences == 0 && f.canReach(n) {
					f.core.StreamActive(f.sim.now, k)
				}
			}
			f.requests.Heartbeat(f.sim.now)
		}
		for _, n := range f.streams {
			if !f.canReach(n) {
				continue
			}
			n.lastHeartbeat[f.number] = f.sim.now // also while the process is stopped, as its sockets stay open
		}
		f.runHeartbeat(epoch)
	})
}

// localRef returns r with the number that the front's current process has given to the node.
func (f *simFront) localRef(r session.Ref, n *simNode) session.Ref {
	if k, ok := f.nodeNumbers[n]; ok {
		r.Node = k
	}
	return r
}

// SetUp sends a set-up. It takes two node latencies to arrive, as each set-up uses a new connection.
func (f *simFront) SetUp(a session.Allocation) {
	s := f.sim
	p := &pendingSetUp{allocation: a, node: s.nodesByAddress[a.Address]}
	f.nodeNumbers[p.node] = a.Node
	f.pendingSetUps[a.Ref] = p
	s.after(a.Deadline-s.now, func() { f.finishSetUp(a.Ref, p, decision.NoAnswer, 0) })
	s.after(2*nodeLatency, func() { f.receiveSetUp(p) })
}

// receiveSetUp handles the arrival of a set-up at its node.
func (f *simFront) receiveSetUp(p *pendingSetUp) {
	s, n, a := f.sim, p.node, p.allocation
	if f.pendingSetUps[a.Ref] != p {
		return
	}
	if !n.up {
		f.finishSetUp(a.Ref, p, decision.NoConnect, nodeLatency)
		return
	}
	if !f.canReach(n) {
		f.finishSetUp(a.Ref, p, decision.ConnectionLost, nodeLatency) // on sockets, the node closes the connection
		return
	}
	p.sent = true
	event := trace.Event{Kind: trace.SetUp, Node: n.line.Name, Front: f.name, Play: a.Play, Attempt: a.Attempt,
		Product: s.Scenario.Service.Products[a.Product].Name, Title: a.Title, Viewer: a.Viewer, Rung: a.Rung}
	s.record(event)
	recordEnd := func(eventKind, reason string) { event.Kind, event.Note = eventKind, reason; s.record(event) }
	refusal := n.refusalReason(&a)
	if n.countColdSetUp() {
		n.crash(trace.Overloaded)
		return
	}
	if refusal != "" {
		if n.silences == 0 {
			recordEnd(trace.Refused, refusal)
			f.finishSetUp(a.Ref, p, decision.Rejected, nodeLatency)
		}
		return
	}
	delay := int64((s.Scenario.SetUpMs[0] + s.random.Float64()*(s.Scenario.SetUpMs[1]-s.Scenario.SetUpMs[0])) * n.setUpSlowdown * 10)
	fails, answerLost := s.random.Float64() < n.errorShare, s.random.Float64() < n.lostAnswerShare
	product := &s.Scenario.Service.Products[a.Product]
	play := &simPlay{Allocation: a, front: f.number, epoch: int64(f.epoch), node: n, product: product}
	p.play = play
	n.plays[a.Play] = play
	n.orderedPlays = append(n.orderedPlays, play)
	n.setRung(play, a.Rung)
	s.after(delay, func() {
		switch {
		case n.plays[a.Play] != play || !n.up:
		case n.silences > 0: // no answer: the front gives up at Deadline
		case fails:
			n.removePlay(play)
			recordEnd(trace.Errored, "")
			f.finishSetUp(a.Ref, p, decision.Errored, nodeLatency)
		default:
			n.mark++
			play.playing, play.lastActive, play.startedAt = true, s.now, s.now
			if answerLost {
				return
			}
			recordEnd(trace.Started, "")
			f.finishSetUp(a.Ref, p, decision.Served, nodeLatency)
		}
	})
}

// finishSetUp reports the outcome of a set-up to the core. It does nothing if the set-up has finished before.
func (f *simFront) finishSetUp(r session.Ref, p *pendingSetUp, outcome decision.Outcome, delay int64) {
	if f.pendingSetUps[r] != p {
		return
	}
	delete(f.pendingSetUps, r)
	n := p.node
	load := decision.UnknownLoad
	if f.sim.Scenario.Service.ReportMode == "answers" && (outcome == decision.Served || outcome == decision.Rejected) {
		load = n.reportedLoad()
	}
	if outcome == decision.Served {
		life, mark, rung := n.life, n.mark, p.play.Rung
		f.deliver(delay, func(now int64, c *session.Core) { c.Started(now, r, life, mark, rung, load) })
		return
	}
	if p.sent && p.play != nil && (outcome == decision.NoAnswer || outcome == decision.Canceled) {
		n.removePlay(p.play)
		f.sim.record(trace.Event{Kind: trace.Dropped, Node: n.line.Name, Front: f.name, Play: r.Play, Attempt: r.Attempt})
	} else if p.sent && outcome == decision.NoAnswer { // refused by a silent node
		f.sim.record(trace.Event{Kind: trace.Dropped, Node: n.line.Name, Front: f.name, Play: r.Play, Attempt: r.Attempt})
	}
	f.deliver(delay, func(now int64, c *session.Core) { c.SetUpEnded(now, r, outcome, load) })
}

func (f *simFront) Cancel(r session.Ref) {
	if p := f.pendingSetUps[r]; p != nil {
		outcome := decision.Canceled
		if !p.sent {
			outcome = decision.NotSent
		}
		f.finishSetUp(r, p, outcome, 1)
	}
}

// callNode calls do after the latency to a node. It retries every second while the node is silent or unreachable,
// and gives up if the node's process ends.
func (f *simFront) callNode(address string, do func(n *simNode)) {
	n := f.sim.nodesByAddress[address]
	life := n.life
	var attempt func()
	attempt = func() {
		switch {
		case !n.up || n.life != life:
		case n.silences > 0 || !f.canReach(n):
			f.sim.after(decision.Second, attempt)
		default:
			do(n)
		}
	}
	f.sim.after(nodeLatency, attempt)
}

func (f *simFront) SetRung(r session.Ref, address string, rung, seq int) {
	f.callNode(address, func(n *simNode) {
		if p := n.plays[r.Play]; p != nil && p.Attempt == r.Attempt && seq > p.RungSeq {
			p.RungSeq = seq
			n.setRung(p, rung)
			f.sim.record(trace.Event{Kind: trace.Rung, Node: n.line.Name, Front: f.name, Play: r.Play, Attempt: r.Attempt, Product: p.product.Name, Rung: rung})
		}
	})
}

func (f *simFront) End(r session.Ref, address, reason string) {
	n := f.sim.nodesByAddress[address]
	f.sim.after(nodeLatency, func() {
		if n.up && f.canReach(n) {
			f.sim.record(trace.Event{Kind: trace.End, Node: n.line.Name, Front: f.name, Play: r.Play, Attempt: r.Attempt, Note: reason})
		}
	})
	f.callNode(address, func(n *simNode) {
		if p := n.plays[r.Play]; p != nil && p.Attempt == r.Attempt {
			n.removePlay(p)
		}
	})
}

func (f *simFront) Probe(node int, address string) {
	n := f.sim.nodesByAddress[address]
	epoch := f.epoch
	f.sim.after(nodeLatency, func() {
		outcome, load, delay := decision.Served, decision.UnknownLoad, int64(nodeLatency)
		switch {
		case !n.up || !f.canReach(n):
			outcome = decision.NoConnect
		case n.silences > 0:
			outcome, delay = decision.NoAnswer, liveness.ProbeTimeout
		default:
			load = n.reportedLoad()
		}
		if f.epoch == epoch {
			f.deliver(delay, func(now int64, c *session.Core) { c.ProbeEnded(now, node, outcome, load) })
		}
	})
}

func (f *simFront) OpenStream(node int, address string, at int64) {
	s, n, epoch := f.sim, f.sim.nodesByAddress[address], f.epoch
	f.nodeNumbers[n] = node
	delete(f.streams, node)
	s.after(at-s.now+nodeLatency, func() {
		switch {
		case !f.up || f.epoch != epoch:
		case !n.up:
			f.deliver(nodeLatency, func(now int64, c *session.Core) { c.StreamBroke(now, node, true) })
		case !f.canReach(n):
			f.deliver(nodeLatency, func(now int64, c *session.Core) { c.StreamBroke(now, node, false) })
		case n.silences > 0:
			f.deliver(liveness.CallTimeout, func(now int64, c *session.Core) { c.StreamBroke(now, node, false) })
		default:
			f.streams[node] = n
			n.lastHeartbeat[f.number] = s.now
			var running []session.ReportedPlay
			for _, p := range n.orderedPlays {
				if p.front == f.number && p.playing {
					firstCell, cellCount, _ := s.Scenario.Service.Title(p.Title)
					running = append(running, session.ReportedPlay{Play: p.Play, Epoch: p.epoch, Attempt: p.Attempt, Product: p.Product, Title: p.Title,
						FirstCell: firstCell, CellCount: cellCount, Viewer: p.Viewer, Rung: p.Rung, RungSeq: p.RungSeq, MaxRung: p.MaxRung})
				}
			}
			nodeLife, mark := n.life, n.mark
			f.deliver(nodeLatency, func(now int64, c *session.Core) { c.StreamOpened(now, node, "", nodeLife, mark, running) })
		}
	})
}

func (f *simFront) CloseStream(node int) {
	if f.streams[node] != nil {
		delete(f.streams, node)
		f.deliver(1, func(now int64, c *session.Core) { c.StreamBroke(now, node, false) })
	}
}

// PlayFinished, PlayStarted and RecoveryDone serve records on disk, which a simulated front does not keep.
func (f *simFront) PlayFinished(string, int, playlog.EndReason) {}
func (f *simFront) PlayStarted(session.Ref, int, string)        {}
func (f *simFront) RecoveryDone()                               {}

// nodeCrashed breaks the front's connections to a node whose process has ended.
func (f *simFront) nodeCrashed(n *simNode) {
	var refs []session.Ref
	for r, p := range f.pendingSetUps {
		if p.node == n && p.sent {
			refs = append(refs, r)
		}
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i].Play < refs[j].Play })
	for _, r := range refs {
		f.finishSetUp(r, f.pendingSetUps[r], decision.ConnectionLost, nodeLatency)
	}
	if k, ok := f.nodeNumbers[n]; ok && f.streams[k] == n {
		delete(f.streams, k)
		f.deliver(nodeLatency, func(now int64, c *session.Core) { c.StreamBroke(now, k, false) })
	}
}

// kill ends the front's process without a shutdown.
func (f *simFront) kill() {
	f.up = false
	f.epoch++
	f.sim.record(trace.Event{Kind: trace.FrontKilled, Front: f.name})
	refs := make([]session.Ref, 0, len(f.pendingSetUps))
	for r := range f.pendingSetUps {
		refs = append(refs, r)
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i].Play < refs[j].Play })
	for _, r := range refs { // nodes drop set-ups whose connection closes
		if p := f.pendingSetUps[r]; p.play != nil && !p.play.playing {
			p.node.removePlay(p.play)
			f.sim.record(trace.Event{Kind: trace.Dropped, Node: p.node.line.Name, Front: f.name, Play: r.Play, Attempt: r.Attempt})
		}
	}
	replies := make([]*session.Reply, 0, len(f.requestIDs))
	for r := range f.requestIDs {
		replies = append(replies, r)
	}
	sort.Slice(replies, func(i, j int) bool { return f.requestIDs[replies[i]] < f.requestIDs[replies[j]] })
	for _, r := range replies { // the connections of waiting viewers close, too
		r.Resolve(session.Answer{Verdict: connectionCut})
	}
}

// connectionCut is the verdict for a request without an answer because the front's process ended.
const connectionCut session.Verdict = 99

// ---- List service ----

// simChange is a change of the list of nodes.
type simChange struct {
	sendAt int64 // earliest time to send it
	lines  []nodes.ListNode
}

// simList is the simulated list service.
type simList struct {
	changes []simChange
	delay   int64
	down    bool // a fault has stopped the service
}

// updateNodes records changes of nodes as one change of the list. The first change is sent without delay.
func (s *Sim) updateNodes(changed ...nodes.ListNode) {
	sendAt := s.now + s.list.delay
	if k := len(s.list.changes); k == 0 {
		sendAt = s.now
	} else {
		sendAt = max(sendAt, s.list.changes[k-1].sendAt)
	}
	s.list.changes = append(s.list.changes, simChange{sendAt, slices.Clone(changed)})
}

// pollList delivers the list changes that are due to the front, five times per second until the process ends.
func (f *simFront) pollList(epoch int) {
	s := f.sim
	if !f.up || f.epoch != epoch {
		return
	}
	s.after(decision.Second/5, func() { f.pollList(epoch) })
	if s.list.down || f.stopped {
		return
	}
	version := f.listVersion
	for version < len(s.list.changes) && s.list.changes[version].sendAt <= s.now {
		version++
	}
	if version == f.listVersion {
		return
	}
	full := f.listVersion == 0
	var lines []nodes.ListNode
	for _, c := range s.list.changes[f.listVersion:version] {
		for _, l := range c.lines {
			lines = slices.DeleteFunc(lines, func(o nodes.ListNode) bool { return o.Name == l.Name })
			lines = append(lines, l)
		}
	}
	f.listVersion = version
	var listed []session.NodeEntry
	for _, l := range lines {
		if full && l.Phase == "gone" {
			continue
		}
		s.record(trace.Event{Kind: trace.ListSent, Front: f.name, Node: l.Name, Note: l.Phase})
		phase := map[string]decision.Phase{"ready": decision.Ready, "draining": decision.Draining, "gone": decision.Gone}[l.Phase]
		entry := session.NodeEntry{Name: l.Name, Address: l.Address, Phase: phase, Cell: l.Cell, Weight: l.Weight, StartedAt: l.StartedMs}
		for i, k := range s.Scenario.Service.Kinds {
			if k.Name == l.Kind {
				entry.Kind = i
			}
		}
		for i, z := range s.Scenario.Service.Zones {
			if z == l.Zone {
				entry.Zone = i
			}
		}
		listed = append(listed, entry)
	}
	f.deliver(nodeLatency, func(now int64, c *session.Core) { c.UpdateList(now, listed, full) })
}

// ---- Viewers ----

// simViewer is a simulated viewer, the counterpart of ViewerClients.Watch.
type simViewer struct {
	*Viewer
	sim           *Sim
	front         int // current front, counted modulo the number of fronts
	startedAt     int64
	leaveAt       int64
	first         bool // no request has been sent yet
	retries       int
	previousPlay  string          // play that the next request refers to
	notDelivering bool            // the node of previousPlay does not deliver
	play          *session.Answer // nil if the viewer has no play
	failures      int             // failed segment requests in a row
	rung          int
}

// requestPlay sends a request to the current front: for a first or new play, or for the manifest of the viewer's
// play.
func (v *simViewer) requestPlay() {
	s := v.sim
	if s.now >= v.leaveAt && !v.first {
		return
	}
	f := s.fronts[v.front%len(s.fronts)]
	s.lastRequestID++
	id := s.lastRequestID
	event := trace.Event{Kind: trace.RequestSent, ID: id, Front: f.name, Viewer: v.Name, Product: v.Product.Name, Title: v.Title,
		LimitMs: int64(v.Product.DeadlineMs), Play: v.previousPlay, First: v.first}
	if v.notDelivering {
		event.Note = "broken"
	}
	if v.first {
		event.WatchMs, event.Rung = v.WatchTime.Milliseconds(), v.MaxRung
	}
	v.first = false
	s.record(event)
	limit := s.now + int64(v.Product.DeadlineMs)*decision.Millisecond
	if !f.up {
		s.after(clientLatency, func() {
			s.record(trace.Event{Kind: trace.Answer, ID: id, Note: "connection refused"})
			v.retryAfterPause(0)
		})
		return
	}
	var reply *session.Reply
	reply = session.NewReplyFunc(func(answer session.Answer) {
		delete(f.requestIDs, reply)
		s.after(clientLatency, func() { v.handleAnswer(id, answer) })
	})
	f.requestIDs[reply] = id
	firstCell, cellCount, _ := s.Scenario.Service.Title(v.Title)
	number, _ := s.Scenario.Service.ProductNumber(v.Product.Name)
	request := session.Request{Product: number, Title: v.Title, FirstCell: firstCell, CellCount: cellCount, Viewer: v.Name, Deadline: limit, MaxRung: v.MaxRung,
		Length: max(0, v.leaveAt-s.now), Reply: reply}
	if v.previousPlay != "" {
		request.Previous = &session.Previous{Play: v.previousPlay, NotDelivered: v.notDelivering}
	}
	epoch := f.epoch
	s.after(clientLatency, func() {
		f.run(epoch, func() {
			queued := &admission.Request{Importance: v.Product.Importance, Deadline: limit, Client: v.Name, Value: request}
			verdict, retryAfter, displaced := f.requests.Offer(s.now, queued)
			if displaced != nil {
				f.reject(displaced)
			}
			if verdict != admission.Queued {
				f.reject(&admission.Rejection{Request: queued, Reason: verdict, RetryAfter: retryAfter})
			}
		})
	})
	s.after(limit-s.now, func() { // the viewer gives up at the limit, even if the front is stopped
		if f.up && f.epoch == epoch && reply.Withdraw() {
			delete(f.requestIDs, reply)
			f.deliver(0, func(now int64, c *session.Core) { c.RequestWithdrawn(now, reply) })
			v.handleAnswer(id, session.Answer{Verdict: session.Failed, TimedOut: true})
		}
	})
}

// handleAnswer records the answer to a request, starts a play or schedules a retry at the next front.
func (v *simViewer) handleAnswer(id int64, a session.Answer) {
	s := v.sim
	event := trace.Event{Kind: trace.Answer, ID: id, Play: a.Play, Note: a.Reason}
	switch {
	case a.Verdict == connectionCut:
	case a.Verdict == session.Started:
		event.Status = 200
	case a.Verdict == session.Declined:
		event.Status = 503
	case a.Verdict == session.Failed:
		event.Status = 502
	default:
		event.Status = 403
	}
	s.record(event)
	if event.Status != 200 {
		v.play, v.previousPlay, v.notDelivering = nil, "", false
		v.front++
		v.retryAfterPause(a.RetryAfter)
		return
	}
	started := v.play == nil || v.play.Play != a.Play
	v.play, v.previousPlay, v.notDelivering = &a, a.Play, false
	if started {
		v.failures, v.rung = 0, a.Rung
		v.fetchSegment(a.Play)
	}
}

// retryAfterPause schedules another request after a pause, unless the retries are used up.
func (v *simViewer) retryAfterPause(retryAfter int64) {
	if v.retries++; v.retries > v.MaxRetries {
		return
	}
	pause := int64((0.5 + v.Rand.Float64()) * float64(v.Pause/(100*time.Microsecond)))
	if v.HeedsRetryAfter && retryAfter > 0 {
		pause = int64((1 + v.Rand.Float64()) * float64((retryAfter+decision.Second-1)/decision.Second*decision.Second))
	}
	v.sim.after(pause, v.requestPlay)
}

// fetchSegment fetches a segment and schedules the next. If the play has ended or its node does not deliver, it
// requests the play again.
func (v *simViewer) fetchSegment(play string) {
	s := v.sim
	if v.play == nil || v.play.Play != play {
		return
	}
	if s.now >= v.leaveAt {
		f := s.fronts[v.front%len(s.fronts)]
		f.deliver(clientLatency, func(now int64, c *session.Core) { c.EndPlay(now, play) })
		return
	}
	n := s.nodesByAddress[v.play.Address]
	interval := int64(s.Scenario.Service.SegmentMs) * decision.Millisecond
	p := n.plays[play]
	switch {
	case !n.up || n.silences > 0:
		if v.failures++; v.failures >= 2 {
			v.notDelivering, v.play = true, nil
			v.requestPlay()
			return
		}
		s.after(interval, func() { v.fetchSegment(play) })
		return
	case p == nil || !p.playing:
		v.play = nil // moved or lost: the front expects a new request at once
		v.notDelivering = v.failures > 0
		s.after(clientLatency, v.requestPlay)
		return
	}
	v.failures = 0
	p.lastActive = s.now
	share := n.deliveredShare()
	s.segments++
	if share < 0.98 {
		s.shortSegments++
	}
	s.record(trace.Event{Kind: trace.Served, Node: n.line.Name, Play: play, Rung: p.Rung, Share: share})
	if p.Rung != v.rung { // the node suggests the new rate: request the manifest again
		v.rung = p.Rung
		v.requestPlay()
	}
	s.after(interval, func() { v.fetchSegment(play) })
}

// ---- Run and faults ----

// Run runs the scenario and returns its outcome. It may be called once.
func (s *Sim) Run() *Outcome {
	startedAt := time.Now()
	sc := s.Scenario
	s.now = session.ClockStart
	s.random = rand.New(rand.NewPCG(sc.Seed, 2))
	s.nodesByAddress, s.titleShares = map[string]*simNode{}, map[string]float64{}
	s.list.delay = int64(sc.ListDelayMs) * decision.Millisecond
	spreadRandom := rand.New(rand.NewPCG(sc.Seed, 1))
	for range 32 { // as many draws as Rehearsal makes for its key, so that the capacities are the same
		spreadRandom.UintN(256)
	}
	spreadFactor := func() float64 { return 1 + sc.BandwidthSpread*(2*spreadRandom.Float64()-1) }
	s.rackDemandKB = make([]float64, sc.Service.Racks)
	for range sc.Service.Racks {
		uplinkKB := sc.Service.UplinkKB
		if uplinkKB <= 0 {
			uplinkKB = math.Inf(1)
		}
		s.racks = append(s.racks, rack{uplinkKB * spreadFactor(), 1})
	}
	var lines []nodes.ListNode
	for i := range sc.Nodes {
		n := s.newNode(fmt.Sprintf("n%d", i), i%sc.Service.Cells, i, sc.Service.LinkKBPerWeight*spreadFactor())
		s.nodesByNumber = append(s.nodesByNumber, n)
		n.start(false)
		lines = append(lines, n.line)
	}
	s.updateNodes(lines...)
	for i := range sc.Service.Fronts {
		f := &simFront{sim: s, number: i, name: fmt.Sprintf("f%d", i)}
		s.fronts = append(s.fronts, f)
		f.start()
		s.record(trace.Event{Kind: trace.FrontStarted, Front: f.name})
	}
	tickCount := 0
	var tick func()
	tick = func() {
		for _, n := range s.allNodes {
			n.runPeriodic(tickCount)
		}
		tickCount++
		s.after(nodeTick, tick)
	}
	s.after(nodeTick, tick)
	s.afterSeconds(2, func() { // gives fronts time to become ready
		for _, f := range sc.Faults {
			s.afterSeconds(f.At, func() { s.inject(f) })
		}
		for a := range sc.arrivals(len(s.fronts)) {
			s.afterSeconds(a.at, func() {
				a.viewer.Title = sc.titleFor(a, s.titleShares)
				v := &simViewer{Viewer: a.viewer, sim: s, front: s.shift.firstFront(a), startedAt: s.now, first: true}
				v.leaveAt = s.now + session.Ticks(a.viewer.WatchTime)
				v.requestPlay()
			})
		}
	})
	end := s.now + int64((2+sc.Seconds+sc.tailSeconds())*float64(decision.Second))
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		s.eventCount++
		e.run()
	}
	return &Outcome{Report: audit.Check(&sc.Service, s.trace), Events: s.trace, Took: time.Since(startedAt),
		ShortSegmentShare: float64(s.shortSegments) / max(1, float64(s.segments))}
}

// inject applies a fault and schedules its end, like Rehearsal.inject.
func (s *Sim) inject(f Fault) {
	s.record(trace.Event{Kind: trace.Fault, Note: f.String()})
	forEachNode := func(do func(n *simNode)) {
		for _, i := range f.Nodes {
			do(s.nodesByNumber[i])
		}
	}
	undoAfterDuration := func(undo func()) {
		if f.Duration > 0 {
			s.afterSeconds(f.Duration, undo)
		}
	}
	setField := func(field func(n *simNode) *float64, normal float64) {
		forEachNode(func(n *simNode) {
			*field(n) = f.Amount
			undoAfterDuration(func() { *field(n) = normal })
		})
	}
	startCold := func(n *simNode) {
		n.start(true)
		n.line.StartedMs = s.now // in ticks: simulated fronts take it without conversion
		n.line.Phase = "ready"
		s.updateNodes(n.line)
	}
	switch f.Action {
	case "drain":
		forEachNode(func(n *simNode) {
			n.draining = true
			line := n.line
			line.Phase = "draining"
			s.updateNodes(line)
			s.afterSeconds(f.Amount, func() {
				n.crash(trace.NodeCrashed)
				line.Phase = "gone"
				s.updateNodes(line)
				undoAfterDuration(func() {
					replacement := s.newNode(fmt.Sprintf("%sx%d", n.line.Name, len(s.allNodes)), n.cell, 0, n.linkKB)
					startCold(replacement)
				})
			})
		})
	case "crash":
		forEachNode(func(n *simNode) {
			n.crash(trace.NodeCrashed)
			undoAfterDuration(func() { startCold(n) })
		})
	case "list-wrong":
		forEachNode(func(n *simNode) {
			line := n.line
			line.Phase = "gone"
			s.updateNodes(line)
			undoAfterDuration(func() { s.updateNodes(n.line) })
		})
	case "silence":
		forEachNode(func(n *simNode) {
			n.silences++
			undoAfterDuration(func() { n.silences-- })
		})
	case "slow":
		setField(func(n *simNode) *float64 { return &n.setUpSlowdown }, 1)
	case "errors":
		setField(func(n *simNode) *float64 { return &n.errorShare }, 0)
	case "vanish":
		setField(func(n *simNode) *float64 { return &n.lostAnswerShare }, 0)
	case "neighbour":
		setField(func(n *simNode) *float64 { return &n.linkShareTaken }, 0)
	case "uplink":
		s.racks[f.Rack].uplinkDivisor = max(0.001, f.Amount)
		undoAfterDuration(func() { s.racks[f.Rack].uplinkDivisor = 1 })
	case "list-down":
		s.list.down = true
		undoAfterDuration(func() { s.list.down = false })
	case "list-late":
		normal := s.list.delay
		s.list.delay += int64(f.Amount * float64(decision.Second))
		undoAfterDuration(func() { s.list.delay = normal })
	case "crowd":
		s.titleShares[f.Title] = f.Amount
		undoAfterDuration(func() { delete(s.titleShares, f.Title) })
	case "shift":
		s.shift = frontShift{f.Front, f.Amount}
		undoAfterDuration(func() { s.shift = frontShift{} })
	case "reports-late":
		s.reportDelay = f.Amount
		undoAfterDuration(func() { s.reportDelay = 0 })
	case "zone-cut":
		s.isolatedZone = f.Zone + 1
		undoAfterDuration(func() { s.isolatedZone = 0 })
	case "ageing":
		forEachNode(func(n *simNode) {
			for seconds := 0.0; seconds < f.Duration; seconds++ {
				s.afterSeconds(seconds, func() { n.setUpSlowdown, n.linkShareTaken = ageingEffect(f, seconds) })
			}
			s.afterSeconds(f.Duration, func() {
				n.crash(trace.NodeCrashed)
				n.setUpSlowdown, n.linkShareTaken = 1, 0
				s.afterSeconds(ageingRestartDelay, func() { startCold(n) })
			})
		})
	case "front-kill":
		front := s.fronts[f.Front]
		front.kill()
		undoAfterDuration(func() {
			front.start()
			s.record(trace.Event{Kind: trace.FrontStarted, Front: front.name})
		})
	case "front-stall":
		front := s.fronts[f.Front]
		front.stopped = true
		s.record(trace.Event{Kind: trace.FrontStopped, Front: front.name})
		s.afterSeconds(f.Duration, func() {
			front.stopped = false
			s.record(trace.Event{Kind: trace.FrontResumed, Front: front.name})
			held := front.deferred
			front.deferred = nil
			for _, do := range held {
				do()
			}
		})
	}
}
