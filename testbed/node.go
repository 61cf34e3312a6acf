// Package testbed runs front ends against emulated playout nodes, an emulated list service and emulated
// viewers, and injects the faults of a scenario. Rehearsal does so on loopback sockets in real time, Sim
// without sockets in simulated time. LoadGenerator generates load on running front ends. The serving code does not
// import this package.
package testbed

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"gullrail/config"
	"gullrail/dash"
	"gullrail/decision"
	"gullrail/liveness"
	"gullrail/nodes"
	"gullrail/session"
	"gullrail/testbed/audit"
	"gullrail/testbed/trace"
	"gullrail/token"
)

// DeliveredShareHeader is a response header of segments that tells an emulated viewer which share of its
// bit rate is delivered. Emulated nodes send small segments and compute link usage instead of filling a link.
const DeliveredShareHeader = "Lab-Share"

// suggestedRateHeader is the dynamic response header of CTA-5006; its key mb is the maximum suggested bit
// rate in kbit/s.
const suggestedRateHeader = "CMSD-Dynamic"

// Fleet holds the emulated nodes of this process and the uplinks of their racks. A single lock guards all of
// it, because the load of an uplink depends on all nodes of the rack.
type Fleet struct {
	service      *config.Service
	tokenChecker *token.Checker
	recorder     *trace.Recorder
	setUpMs      [2]float64 // shortest and longest duration of a set-up
	idleTimeout  time.Duration
	tls          *tls.Config // nil serves without TLS
	maxLinkLoad  float64     // set-ups are refused while the link load is at least this; 0 disables the check

	mu           sync.Mutex
	random       *rand.Rand
	nodes        map[string]*Node
	racks        []rack
	reportDelay  float64 // seconds by which a fault delays reported loads and delivered shares
	isolatedZone int     // 1 + index of the zone isolated by a fault; 0 is none
}

// isolateZone isolates a zone from all others; -1 ends the isolation. The caller holds the lock.
func (f *Fleet) isolateZone(zone int) { f.isolatedZone = zone + 1 }

// canReach reports whether no zone isolation separates the front from this node. A front's zone follows from
// the number in its name. The caller holds the lock.
func (n *Node) canReach(front string) bool {
	isolated, zones := n.fleet.isolatedZone, n.fleet.service.Zones
	if isolated == 0 {
		return true
	}
	number, err := strconv.Atoi(strings.TrimPrefix(front, "f"))
	return err != nil || (number%len(zones) == isolated-1) == (n.line.Zone == zones[isolated-1])
}

// closeIfUnreachable closes the connection of a front that can't reach this node, and reports whether it
// did. Dropping packets would need privileges, so isolation is emulated by connections that break at once.
func (n *Node) closeIfUnreachable(w http.ResponseWriter, front string) bool {
	n.fleet.mu.Lock()
	ok := n.canReach(front)
	n.fleet.mu.Unlock()
	if ok {
		return false
	}
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		c.Close()
	}
	return true
}

// rack holds the uplink of a rack.
type rack struct {
	uplinkKB      float64 // capacity in kB/s
	uplinkDivisor float64 // by which a fault divides the capacity; 1 is no fault
}

// Node is an emulated playout node.
type Node struct {
	fleet  *Fleet
	line   nodes.ListNode
	cell   int
	server *http.Server
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// Guarded by the fleet's lock.
	up         bool
	overloaded bool                 // the last set-up on a cold process exceeded its allowance
	draining   bool                 // refuses set-ups
	life       int64                // identifies the process; start time in Unix nanoseconds
	mark       int64                // number of plays started by this process
	coldSince  time.Time            // start of a cold process; zero if the process is warm
	plays      map[string]*nodePlay // by play, set-ups in progress included
	streams    map[string]*stream   // latest note stream by front
	epochs     map[string]int64     // highest epoch seen by front
	coldSetUps []time.Time          // set-ups on a cold process within the overload window
	samples    []loadSample         // one per second, the last 64
	linkKB     float64              // link capacity in kB/s

	// Set by faults, guarded by the fleet's lock.
	silenceEnd      chan struct{} // closed at the end of a silence; nil without one
	lostAnswerShare float64       // share of set-ups that succeed without an answer
	errorShare      float64       // share of set-ups that fail
	setUpSlowdown   float64       // factor on the duration of set-ups
	linkShareTaken  float64       // share of the link used by other traffic
}

// loadSample holds the loads of a node and the delivered share of the bit rate at one time.
type loadSample struct {
	at           time.Time
	share        float64
	link, uplink float64
}

// reportedLoads returns the loads that the node reports: the current ones, or earlier ones if a fault delays
// reports.
func (n *Node) reportedLoads() (link, uplink float64) {
	link, uplink = n.loads()
	if n.fleet.reportDelay > 0 {
		asOf := time.Now().Add(-time.Duration(n.fleet.reportDelay * float64(time.Second)))
		for _, sample := range n.samples {
			if link, uplink = sample.link, sample.uplink; sample.at.After(asOf) {
				break
			}
		}
	}
	return link, uplink
}

// nodePlay is a play on a node, from the arrival of its set-up on.
type nodePlay struct {
	nodes.Play
	front      string
	product    *config.Product
	playing    bool // the set-up has succeeded
	startedAt  time.Time
	endsAt     time.Time // as stated by the set-up; zero if not stated
	lastActive time.Time // start or last segment request
}

// stream is the note stream of one front.
type stream struct {
	notes    chan nodes.Note
	closedAt time.Time // zero while it is open
}

// rateKB returns the bit rate of a play in kB/s.
func (f *Fleet) rateKB(p *nodePlay) float64 { return f.service.RatesKB[p.Rung] * p.product.RateFactor }

// demandKB returns the sum of the bit rates of the node's plays in kB/s.
func (n *Node) demandKB() (sum float64) {
	for _, p := range n.plays {
		sum += n.fleet.rateKB(p)
	}
	return sum
}

// warmUpShare returns the share of the link capacity that the process can use. It grows from ColdShare to 1
// over ColdDurationMs after a cold start.
func (n *Node) warmUpShare() float64 {
	if n.coldSince.IsZero() {
		return 1
	}
	age := float64(time.Since(n.coldSince).Milliseconds())
	return min(1, n.fleet.service.ColdShare+(1-n.fleet.service.ColdShare)*age/n.fleet.service.ColdDurationMs)
}

// capacityKB returns the link capacity in kB/s that is available to plays now.
func (n *Node) capacityKB() float64 { return n.linkKB * (1 - n.linkShareTaken) * n.warmUpShare() }

// loads returns demand divided by capacity, for the node's link and its rack's uplink.
func (n *Node) loads() (link, uplink float64) {
	f := n.fleet
	rackNumber := n.cell % len(f.racks)
	sum := 0.0
	for _, other := range f.nodes {
		if other.cell%len(f.racks) == rackNumber {
			sum += other.demandKB()
		}
	}
	return n.demandKB() / n.capacityKB(), sum * f.racks[rackNumber].uplinkDivisor / f.racks[rackNumber].uplinkKB
}

// deliveredShare returns the share of their bit rate that the node's plays receive.
func (n *Node) deliveredShare() float64 {
	link, uplink := n.loads()
	return 1 / max(1, link, uplink)
}

// start opens the node's socket and emulates the start of a process on it. A cold process has a reduced link
// capacity and fails if it gets too many set-ups.
func (n *Node) start(cold bool) error {
	listen, err := listenWithRetry(n.line.Address)
	if err != nil {
		return fmt.Errorf("emulated node %s: %w", n.line.Name, err)
	}
	f := n.fleet
	if f.tls != nil {
		listen = tls.NewListener(listen, f.tls)
	}
	f.mu.Lock()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.up, n.draining, n.life, n.mark = true, false, time.Now().UnixNano(), 0
	n.plays, n.streams, n.coldSetUps, n.samples = map[string]*nodePlay{}, map[string]*stream{}, nil, nil
	n.epochs = map[string]int64{}
	n.coldSince = time.Time{}
	note := "warm"
	if cold {
		n.coldSince, note = time.Now(), "cold"
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/plays/{play}", n.serveSetUp)
	mux.HandleFunc("PUT /v1/plays/{play}/rung", n.serveSetRung)
	mux.HandleFunc("DELETE /v1/plays/{play}", n.serveEndPlay)
	mux.HandleFunc("GET /v1/load", n.serveLoad)
	mux.HandleFunc("GET /v1/stream", n.serveStream)
	mux.HandleFunc("GET /v1/media/{token}/{title}/{rep}/{seg}", n.serveMedia)
	ctx := n.ctx
	n.server = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }}
	server := n.server
	f.recorder.Add(trace.Event{Kind: trace.NodeStarted, Node: n.line.Name, Note: note})
	f.mu.Unlock()
	n.wg.Add(2)
	go func() { defer n.wg.Done(); server.Serve(listen) }()
	go func() { defer n.wg.Done(); n.runPeriodic(ctx) }()
	return nil
}

// listenWithRetry listens at an address for up to a second: the address may have been closed a moment ago
// and still be in use.
func listenWithRetry(addr string) (l net.Listener, err error) {
	for range 50 {
		if l, err = net.Listen("tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// crash emulates the death of the process: it closes all connections, loses all plays and records an event
// of the given kind.
func (n *Node) crash(eventKind string) {
	n.fleet.mu.Lock()
	if !n.up {
		n.fleet.mu.Unlock()
		return
	}
	n.up = false
	n.plays = map[string]*nodePlay{}
	n.fleet.recorder.Add(trace.Event{Kind: eventKind, Node: n.line.Name})
	n.fleet.mu.Unlock()
	n.cancel()
	n.server.Close()
}

// silence makes the node accept connections and requests without answering any, until the returned function
// is called.
func (n *Node) silence() (end func()) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	silenceEnd := make(chan struct{})
	n.silenceEnd = silenceEnd
	return func() {
		n.fleet.mu.Lock()
		if n.silenceEnd == silenceEnd {
			n.silenceEnd = nil
		}
		n.fleet.mu.Unlock()
		close(silenceEnd)
	}
}

// waitForSilenceEnd waits while the node is silent. It returns false if ctx ends first.
func (n *Node) waitForSilenceEnd(ctx context.Context) bool {
	n.fleet.mu.Lock()
	silenceEnd := n.silenceEnd
	n.fleet.mu.Unlock()
	if silenceEnd != nil {
		select {
		case <-silenceEnd:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// setLoadHeader sets the response header with the reported loads. The caller holds the fleet's lock.
func (n *Node) setLoadHeader(w http.ResponseWriter) {
	link, uplink := n.reportedLoads()
	l := decision.Load{Streams: float64(len(n.plays)), LinkUtilization: link, UplinkUtilization: -1}
	if n.fleet.service.ReportUplinks {
		l.UplinkUtilization = uplink
	}
	w.Header().Set(nodes.LoadHeader, nodes.FormatLoad(l))
}

func (n *Node) serveSetUp(w http.ResponseWriter, r *http.Request) {
	f, id := n.fleet, r.PathValue("play")
	var request nodes.SetUp
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, nodes.Refusal{NeverRan: true, Reason: err.Error()})
		return
	}
	if n.closeIfUnreachable(w, request.Front) {
		return
	}
	event := trace.Event{Kind: trace.SetUp, Node: n.line.Name, Front: request.Front, Play: id, Attempt: request.Attempt, Product: request.Product,
		Title: request.Title, Viewer: request.Viewer, Rung: request.Rung}
	f.recorder.Add(event)
	recordEnd := func(eventKind, note string) { event.Kind, event.Note = eventKind, note; f.recorder.Add(event) }
	f.mu.Lock()
	delay := time.Duration((f.setUpMs[0] + f.random.Float64()*(f.setUpMs[1]-f.setUpMs[0])) * n.setUpSlowdown * float64(time.Millisecond))
	fails, answerLost := f.random.Float64() < n.errorShare, f.random.Float64() < n.lostAnswerShare
	refusal, p := n.refusalReason(&request, id)
	if refusal == "" {
		number, _ := f.service.ProductNumber(request.Product)
		p = &nodePlay{Play: nodes.Play{Play: id, Epoch: request.Epoch, Attempt: request.Attempt, Product: request.Product, Title: request.Title,
			Viewer: request.Viewer, Rung: request.Rung, RungSeq: request.RungSeq, MaxRung: request.MaxRung}, front: request.Front, product: &f.service.Products[number]}
		n.plays[id] = p // uses a stream and its share of the link from here on
		n.epochs[request.Front] = max(n.epochs[request.Front], request.Epoch)
	}
	overloaded := n.countColdSetUp()
	f.mu.Unlock()
	if overloaded {
		n.crash(trace.Overloaded)
		return
	}
	if refusal != "" {
		if !n.waitForSilenceEnd(r.Context()) {
			recordEnd(trace.Dropped, "silent")
			return
		}
		recordEnd(trace.Refused, refusal)
		f.mu.Lock()
		if f.service.ReportMode == "answers" {
			n.setLoadHeader(w)
		}
		f.mu.Unlock()
		writeJSON(w, http.StatusServiceUnavailable, nodes.Refusal{NeverRan: true, Reason: refusal})
		return
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
	}
	if r.Context().Err() != nil || !n.waitForSilenceEnd(r.Context()) {
		n.removePlay(id, p)
		if n.ctx.Err() == nil {
			recordEnd(trace.Dropped, "the front let go")
		}
		return
	}
	if fails {
		n.removePlay(id, p)
		recordEnd(trace.Errored, "")
		writeJSON(w, http.StatusInternalServerError, nodes.Refusal{Reason: "fault"})
		return
	}
	f.mu.Lock()
	if n.plays[id] != p { // ended during the set-up
		f.mu.Unlock()
		recordEnd(trace.Errored, "ended")
		writeJSON(w, http.StatusGone, nodes.Refusal{Reason: "ended"})
		return
	}
	n.mark++
	p.playing, p.startedAt, p.lastActive = true, time.Now(), time.Now()
	if request.LengthMs > 0 {
		p.endsAt = time.Now().Add(time.Duration(request.LengthMs) * time.Millisecond)
	}
	started := nodes.Started{Instance: n.life, StartSeq: n.mark, Rung: p.Rung}
	if f.service.ReportMode == "answers" {
		n.setLoadHeader(w)
	}
	f.mu.Unlock()
	if answerLost { // the play runs, but the front is not told
		<-r.Context().Done()
		recordEnd(trace.Dropped, "its answer vanished")
		return
	}
	recordEnd(trace.Started, "")
	writeJSON(w, http.StatusCreated, started)
}

// refusalReason returns the reason to refuse a set-up, empty to accept it. The reasons appear on the wire and
// in traces. The second result is always nil. The caller holds the fleet's lock.
func (n *Node) refusalReason(request *nodes.SetUp, id string) (string, *nodePlay) {
	f := n.fleet
	number, productKnown := f.service.ProductNumber(request.Product)
	t, titleKnown := f.service.Lookup(request.Title)
	kind := f.service.Kinds[0]
	for _, k := range f.service.Kinds {
		if k.Name == n.line.Kind {
			kind = k
		}
	}
	link, _ := n.loads()
	switch {
	case !productKnown || request.Rung < 0 || request.Rung >= len(f.service.RatesKB) || request.Rung < f.service.Products[number].MinRung:
		return "malformed", nil
	case !titleKnown || ((n.cell-t.FirstCell)%f.service.Cells+f.service.Cells)%f.service.Cells >= t.CellCount:
		return "the title is not here", nil
	case request.Epoch < n.epochs[request.Front]:
		return "an older life of the front", nil
	case n.plays[id] != nil:
		return "the play is here already", nil
	case n.draining:
		return "draining", nil
	case len(n.plays) >= kind.MaxStreams:
		return "no stream free", nil
	case f.maxLinkLoad > 0 && link >= f.maxLinkLoad:
		return "link full", nil
	}
	return "", nil
}

// countColdSetUp counts a set-up on a cold process, and reports whether the process fails from overload. It
// tolerates 2 set-ups more than the allowance, as the audit does, because chance may bring them into one
// window. The caller holds the fleet's lock.
func (n *Node) countColdSetUp() bool {
	f := n.fleet
	age := float64(time.Since(n.coldSince).Milliseconds())
	if n.coldSince.IsZero() || age > f.service.ColdDurationMs {
		return false
	}
	now := time.Now()
	n.coldSetUps = append(n.coldSetUps, now)
	for now.Sub(n.coldSetUps[0]) > time.Duration(f.service.OverloadWindowMs)*time.Millisecond {
		n.coldSetUps = n.coldSetUps[1:]
	}
	n.overloaded = float64(len(n.coldSetUps)) > audit.Allowance(f.service, f.service.Kinds[0].MaxStreams, age)+2
	return n.overloaded
}

func (n *Node) removePlay(id string, p *nodePlay) {
	n.fleet.mu.Lock()
	if n.plays[id] == p {
		delete(n.plays, id)
	}
	n.fleet.mu.Unlock()
}

func (n *Node) serveSetRung(w http.ResponseWriter, r *http.Request) {
	var request nodes.SetRung
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, nodes.Refusal{Reason: err.Error()})
		return
	}
	if !n.waitForSilenceEnd(r.Context()) {
		return
	}
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	p := n.plays[r.PathValue("play")]
	if p == nil || p.Attempt != request.Attempt || p.front != request.Front || request.Rung < 0 || request.Rung >= len(f.service.RatesKB) {
		writeJSON(w, http.StatusNotFound, nodes.Refusal{Reason: "no such play"})
		return
	}
	if request.RungSeq > p.RungSeq {
		p.Rung, p.RungSeq = request.Rung, request.RungSeq
		f.recorder.Add(trace.Event{Kind: trace.Rung, Node: n.line.Name, Front: p.front, Play: p.Play.Play, Attempt: p.Attempt, Product: p.Product, Rung: p.Rung})
	}
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) serveEndPlay(w http.ResponseWriter, r *http.Request) {
	f, q := n.fleet, r.URL.Query()
	if n.closeIfUnreachable(w, q.Get("front")) {
		return
	}
	attempt, err := strconv.Atoi(q.Get("try"))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, nodes.Refusal{Reason: "try is needed"})
		return
	}
	f.recorder.Add(trace.Event{Kind: trace.End, Node: n.line.Name, Front: q.Get("front"), Play: r.PathValue("play"), Attempt: attempt, Note: q.Get("why")})
	if !n.waitForSilenceEnd(r.Context()) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := n.plays[r.PathValue("play")]
	if p == nil || p.Attempt != attempt || p.front != q.Get("front") {
		writeJSON(w, http.StatusNotFound, nodes.Refusal{Reason: "no such play"})
		return
	}
	delete(n.plays, p.Play.Play)
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) serveLoad(w http.ResponseWriter, r *http.Request) {
	if n.closeIfUnreachable(w, r.URL.Query().Get("front")) || !n.waitForSilenceEnd(r.Context()) {
		return
	}
	n.fleet.mu.Lock()
	n.setLoadHeader(w)
	n.fleet.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// serveMedia serves a segment. Access depends only on the token and the current rung of the play.
func (n *Node) serveMedia(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Access-Control-Allow-Origin", "*") // pages of any origin may play: the URL contains the token
	if !n.waitForSilenceEnd(r.Context()) {
		return
	}
	cl, err := n.fleet.tokenChecker.Check(r.PathValue("token"), time.Now())
	switch {
	case errors.Is(err, token.ErrWrongType):
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	case cl.Node != n.line.Name || cl.Title != r.PathValue("title"):
		http.Error(w, "token: made for another node or title", http.StatusForbidden)
		return
	}
	rung, err := dash.ParseRepresentationID(r.PathValue("rep"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	f := n.fleet
	f.mu.Lock()
	p := n.plays[cl.Play]
	if p == nil || !p.playing {
		f.mu.Unlock()
		http.Error(w, "the play has ended", http.StatusGone)
		return
	}
	p.lastActive = time.Now()
	share, allowed := n.deliveredShare(), p.Rung
	f.mu.Unlock()
	kbit := f.service.RatesKB[allowed] * p.product.RateFactor * 8
	w.Header().Set(suggestedRateHeader, fmt.Sprintf("%q;mb=%d", n.line.Name, int64(kbit)))
	if rung > min(allowed, cl.Rung) || rung < p.product.MinRung {
		http.Error(w, "rung not allowed", http.StatusForbidden)
		return
	}
	f.recorder.Add(trace.Event{Kind: trace.Served, Node: n.line.Name, Play: cl.Play, Rung: rung, Share: share})
	w.Header().Set(DeliveredShareHeader, strconv.FormatFloat(share, 'f', 3, 64))
	w.Header().Set("Content-Type", "video/mp4")
	w.Write(segmentBytes[:512*(rung+1)])
}

var segmentBytes [64 << 10]byte

// serveStream serves the note stream of one front: a hello with the running plays of the front, then notes
// and heartbeats.
func (n *Node) serveStream(w http.ResponseWriter, r *http.Request) {
	f, name := n.fleet, r.URL.Query().Get("front")
	if n.closeIfUnreachable(w, name) || !n.waitForSilenceEnd(r.Context()) {
		return
	}
	epoch, err := strconv.ParseInt(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil || name == "" {
		writeJSON(w, http.StatusBadRequest, nodes.Refusal{Reason: "front and epoch are needed"})
		return
	}
	s := &stream{notes: make(chan nodes.Note, 4096)}
	f.mu.Lock()
	if epoch < n.epochs[name] {
		f.mu.Unlock()
		writeJSON(w, http.StatusConflict, nodes.Refusal{Reason: "an older life of the front"})
		return
	}
	n.epochs[name] = epoch
	n.streams[name] = s
	hello := nodes.Note{Kind: nodes.NoteHello, Node: n.line.Name, Instance: n.life, StartSeq: n.mark}
	for _, p := range n.plays {
		if p.front == name && p.playing {
			play := p.Play
			if !p.endsAt.IsZero() {
				play.RemainingMs = max(1, time.Until(p.endsAt).Milliseconds())
			}
			hello.Plays = append(hello.Plays, play)
		}
	}
	f.mu.Unlock()
	sort.Slice(hello.Plays, func(i, j int) bool { return hello.Plays[i].Play < hello.Plays[j].Play })
	defer func() {
		f.mu.Lock()
		s.closedAt = time.Now()
		f.mu.Unlock()
		f.recorder.Add(trace.Event{Kind: trace.StreamClosed, Node: n.line.Name, Front: name})
	}()
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	send := func(note nodes.Note) bool {
		if !n.waitForSilenceEnd(r.Context()) || enc.Encode(note) != nil {
			return false
		}
		return flush.Flush() == nil
	}
	if !send(hello) {
		return
	}
	tick := time.NewTicker(session.Duration(liveness.HeartbeatInterval))
	defer tick.Stop()
	for {
		note := nodes.Note{Kind: nodes.NoteHeartbeat}
		if n.closeIfUnreachable(w, name) {
			return
		}
		select {
		case note = <-s.notes:
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
		if !send(note) {
			return
		}
	}
}

// sendNote queues a note to a front. It drops the note if the front has no open stream or the queue is full.
// The caller holds the fleet's lock.
func (n *Node) sendNote(front string, note nodes.Note) {
	if s := n.streams[front]; s != nil && s.closedAt.IsZero() {
		select {
		case s.notes <- note:
		default:
		}
	}
}

// runPeriodic ends plays that are idle or whose front has had no stream for longer than the lease, and
// reports delivered shares and loads, until ctx ends.
func (n *Node) runPeriodic(ctx context.Context) {
	f := n.fleet
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	lag := time.Duration(f.service.ReportDelayMs) * time.Millisecond
	for tick := 0; ; tick++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		f.mu.Lock()
		now := time.Now()
		var ids []string
		for id := range n.plays {
			ids = append(ids, id)
		}
		sort.Strings(ids)
		for _, id := range ids {
			p := n.plays[id]
			unattendedSince := p.startedAt // since when the front of the play has had no stream
			if s := n.streams[p.front]; s != nil {
				if unattendedSince = s.closedAt; s.closedAt.IsZero() {
					unattendedSince = now
				}
			}
			if !p.playing || now.Sub(p.lastActive) <= f.idleTimeout && now.Sub(unattendedSince) <= session.Duration(liveness.Lease) {
				continue
			}
			delete(n.plays, id)
			f.recorder.Add(trace.Event{Kind: trace.Ended, Node: n.line.Name, Front: p.front, Play: id, Attempt: p.Attempt})
			n.sendNote(p.front, nodes.Note{Kind: nodes.NoteEnded, Play: id, Attempt: p.Attempt, EndReason: nodes.EndOver})
		}
		if tick%4 == 0 {
			n.reportShares(now, lag, tick%12 == 0)
		}
		f.mu.Unlock()
	}
}

// reportShares takes a load sample. On one play of each front, it reports the delivered share of lag ago while
// that is below 0.98 and once after it has recovered, and, if loads is set and the service reports loads in
// answers, the loads. The caller holds the fleet's lock.
func (n *Node) reportShares(now time.Time, lag time.Duration, loads bool) {
	link, uplink := n.loads()
	n.samples = append(n.samples, loadSample{now, n.deliveredShare(), link, uplink})
	n.fleet.recorder.Add(trace.Event{Kind: trace.Load, Node: n.line.Name, Share: link, Uplink: uplink})
	if len(n.samples) > 64 {
		n.samples = n.samples[1:]
	}
	lag += time.Duration(n.fleet.reportDelay * float64(time.Second))
	share, previousShare := 1.0, 1.0
	for i, sample := range n.samples {
		if now.Sub(sample.at) < lag {
			break
		}
		share = sample.share
		if i > 0 {
			previousShare = n.samples[i-1].share
		}
	}
	firstPlays := map[string]*nodePlay{}
	var fronts []string
	for _, p := range n.plays {
		if current := firstPlays[p.front]; p.playing && (current == nil || p.Play.Play < current.Play.Play) {
			if current == nil {
				fronts = append(fronts, p.front)
			}
			firstPlays[p.front] = p
		}
	}
	sort.Strings(fronts)
	link, uplink = n.reportedLoads()
	if !n.fleet.service.ReportUplinks {
		uplink = -1
	}
	for _, name := range fronts {
		p := firstPlays[name]
		if share < 0.98 || previousShare < 0.98 {
			n.sendNote(name, nodes.Note{Kind: nodes.NoteShare, Play: p.Play.Play, Attempt: p.Attempt, Share: share})
		}
		if loads && n.fleet.service.ReportMode == "answers" {
			n.sendNote(name, nodes.Note{Kind: nodes.NoteLoad, Play: p.Play.Play, Attempt: p.Attempt, LinkUtilization: link, UplinkUtilization: uplink})
		}
	}
}
