// Package testbed holds the stand-ins that the project rehearses against: playout nodes, the list service
// and viewers, with the faults of a script. Nothing of the product imports it.
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

// DeliveredShareHeader tells a simulated player what share of its rate it is delivered: the stand-in's segments are
// small, and its links are reckoned, not filled.
const DeliveredShareHeader = "Lab-Share"

// suggested is CTA-5006's dynamic response header; its key mb suggests the most bitrate, in kbit/s.
const suggested = "CMSD-Dynamic"

// Fleet is all stand-in nodes and what they share: racks with their uplinks. One lock covers it, as
// the figures of a rack need those of all its nodes.
type Fleet struct {
	set     *config.Service
	check   *token.Checker
	tape    *trace.Recorder
	setUpMs [2]float64 // a set-up takes from so long to so long
	idle    time.Duration
	tls     *tls.Config // nil speaks plainly
	guard   float64     // set-ups are turned away while so much of the link is asked; 0 is never

	mu    sync.Mutex
	rnd   *rand.Rand
	nodes map[string]*Node
	racks []rack
	late  float64 // seconds that loads and shares are told later
	apart int     // zone that is cut off, from 1; 0 is none
}

// cut cuts a zone off from the others, or none for -1. The lock is held.
func (f *Fleet) cut(zone int) { f.apart = zone + 1 }

// reaches tells that a front and this node are on one side of a cut. The lock is held.
func (n *Node) reaches(front string) bool {
	apart, zones := n.fleet.apart, n.fleet.set.Zones
	if apart == 0 {
		return true
	}
	number, err := strconv.Atoi(strings.TrimPrefix(front, "f"))
	return err != nil || (number%len(zones) == apart-1) == (n.line.Zone == zones[apart-1])
}

// cutOff hangs up on a front that can't reach this node: a cut without privileges is a connection that
// breaks at once.
func (n *Node) cutOff(w http.ResponseWriter, front string) bool {
	n.fleet.mu.Lock()
	ok := n.reaches(front)
	n.fleet.mu.Unlock()
	if ok {
		return false
	}
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		c.Close()
	}
	return true
}

type rack struct {
	given   float64 // kB a second
	divided float64 // by a fault
}

// Node is one stand-in playout node.
type Node struct {
	fleet  *Fleet
	line   nodes.Line
	cell   int
	server *http.Server
	ctx    context.Context
	kill   context.CancelFunc
	wg     sync.WaitGroup

	// Under the fleet's lock.
	up       bool
	fallen   bool
	draining bool
	life     int64
	mark     int64
	coldAt   time.Time // start of a cold process; zero is warm
	plays    map[string]*running
	streams  map[string]*stream
	epochs   map[string]int64
	setUps   []time.Time
	shares   []shareAt
	given    float64 // kB a second

	silent chan struct{} // closed when a silence ends; nil when there is none
	vanish float64       // share of answers that vanish
	errors float64       // share of set-ups that fail
	slow   float64       // set-ups take so many times as long
	taken  float64       // share of the link that another program takes
}

type shareAt struct {
	at           time.Time
	share        float64
	link, uplink float64
}

// told is what the node tells of its loads: as they are, or as they were where reports are late.
func (n *Node) told() (link, uplink float64) {
	link, uplink = n.loads()
	if n.fleet.late > 0 {
		old := time.Now().Add(-time.Duration(n.fleet.late * float64(time.Second)))
		for _, s := range n.shares {
			if link, uplink = s.link, s.uplink; s.at.After(old) {
				break
			}
		}
	}
	return link, uplink
}

type running struct {
	nodes.Play
	front    string
	product  *config.Product
	playing  bool
	began    time.Time
	until    time.Time
	lastUsed time.Time
}

type stream struct {
	notes  chan nodes.Note
	goneAt time.Time // zero while it is open
}

func (f *Fleet) rate(r *running) float64 { return f.set.RatesKB[r.Rung] * r.product.RateFactor }

// asked is what is asked of a node's link, kB a second.
func (n *Node) asked() (sum float64) {
	for _, r := range n.plays {
		sum += n.fleet.rate(r)
	}
	return sum
}

func (n *Node) warmth() float64 {
	if n.coldAt.IsZero() {
		return 1
	}
	age := float64(time.Since(n.coldAt).Milliseconds())
	return min(1, n.fleet.set.ColdShare+(1-n.fleet.set.ColdShare)*age/n.fleet.set.ColdDurationMs)
}

func (n *Node) link() float64 { return n.given * (1 - n.taken) * n.warmth() }

// loads are what is asked of the link and of the rack's uplink over what they give.
func (n *Node) loads() (link, uplink float64) {
	f := n.fleet
	rk := n.cell % len(f.racks)
	sum := 0.0
	for _, o := range f.nodes {
		if o.cell%len(f.racks) == rk {
			sum += o.asked()
		}
	}
	return n.asked() / n.link(), sum * f.racks[rk].divided / f.racks[rk].given
}

func (n *Node) share() float64 {
	link, uplink := n.loads()
	return 1 / max(1, link, uplink)
}

// start opens the node's socket and runs a process's life.
func (n *Node) start(cold bool) error {
	listen, err := listenAgain(n.line.Address)
	if err != nil {
		return fmt.Errorf("stand-in node %s: %w", n.line.Name, err)
	}
	f := n.fleet
	if f.tls != nil {
		listen = tls.NewListener(listen, f.tls)
	}
	f.mu.Lock()
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.up, n.draining, n.life, n.mark = true, false, time.Now().UnixNano(), 0
	n.plays, n.streams, n.setUps, n.shares = map[string]*running{}, map[string]*stream{}, nil, nil
	n.epochs = map[string]int64{}
	n.coldAt = time.Time{}
	note := "warm"
	if cold {
		n.coldAt, note = time.Now(), "cold"
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/plays/{play}", n.setUp)
	mux.HandleFunc("PUT /v1/plays/{play}/rung", n.setRung)
	mux.HandleFunc("DELETE /v1/plays/{play}", n.endPlay)
	mux.HandleFunc("GET /v1/load", n.load)
	mux.HandleFunc("GET /v1/stream", n.serveStream)
	mux.HandleFunc("GET /v1/media/{token}/{title}/{rep}/{seg}", n.media)
	ctx := n.ctx
	n.server = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }}
	server := n.server
	f.tape.Add(trace.Event{Kind: trace.Life, Node: n.line.Name, Note: note})
	f.mu.Unlock()
	n.wg.Add(2)
	go func() { defer n.wg.Done(); server.Serve(listen) }()
	go func() { defer n.wg.Done(); n.tick(ctx) }()
	return nil
}

// listenAgain opens a port that was closed a moment ago.
func listenAgain(addr string) (l net.Listener, err error) {
	for range 50 {
		if l, err = net.Listen("tcp", addr); err == nil {
			return l, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// crash ends the process at once: its sockets are cut, its plays are lost.
func (n *Node) crash(what string) {
	n.fleet.mu.Lock()
	if !n.up {
		n.fleet.mu.Unlock()
		return
	}
	n.up = false
	n.plays = map[string]*running{}
	n.fleet.tape.Add(trace.Event{Kind: what, Node: n.line.Name})
	n.fleet.mu.Unlock()
	n.kill()
	n.server.Close()
}

// hush makes the node silent until the returned function is called: it takes connections and requests, and
// answers nothing.
func (n *Node) hush() (end func()) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	silent := make(chan struct{})
	n.silent = silent
	return func() {
		n.fleet.mu.Lock()
		if n.silent == silent {
			n.silent = nil
		}
		n.fleet.mu.Unlock()
		close(silent)
	}
}

// hushed waits while the node is silent; false says that the request is over.
func (n *Node) hushed(ctx context.Context) bool {
	n.fleet.mu.Lock()
	silent := n.silent
	n.fleet.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (n *Node) report(w http.ResponseWriter) {
	link, uplink := n.told()
	l := decision.Load{Streams: float64(len(n.plays)), Link: link, Uplink: -1}
	if n.fleet.set.ReportUplinks {
		l.Uplink = uplink
	}
	w.Header().Set(nodes.LoadHeader, nodes.FormatLoad(l))
}

func (n *Node) setUp(w http.ResponseWriter, r *http.Request) {
	f, id := n.fleet, r.PathValue("play")
	var ask nodes.SetUp
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&ask); err != nil {
		answer(w, http.StatusBadRequest, nodes.Refusal{NeverRan: true, Reason: err.Error()})
		return
	}
	if n.cutOff(w, ask.Front) {
		return
	}
	line := trace.Event{Kind: trace.SetUp, Node: n.line.Name, Front: ask.Front, Play: id, Attempt: ask.Attempt, Product: ask.Product,
		Title: ask.Title, Viewer: ask.Viewer, Rung: ask.Rung}
	f.tape.Add(line)
	ends := func(what, why string) { line.Kind, line.Note = what, why; f.tape.Add(line) }
	f.mu.Lock()
	wait := time.Duration((f.setUpMs[0] + f.rnd.Float64()*(f.setUpMs[1]-f.setUpMs[0])) * n.slow * float64(time.Millisecond))
	fails, vanishes := f.rnd.Float64() < n.errors, f.rnd.Float64() < n.vanish
	refusal, p := n.refusal(&ask, id)
	if refusal == "" {
		number, _ := f.set.ProductNumber(ask.Product)
		p = &running{Play: nodes.Play{Play: id, Epoch: ask.Epoch, Attempt: ask.Attempt, Product: ask.Product, Title: ask.Title,
			Viewer: ask.Viewer, Rung: ask.Rung, Seq: ask.Seq, MaxRung: ask.MaxRung}, front: ask.Front, product: &f.set.Products[number]}
		n.plays[id] = p // it takes its place, and its part of the link, from here on
		n.epochs[ask.Front] = max(n.epochs[ask.Front], ask.Epoch)
	}
	fell := n.pushed()
	f.mu.Unlock()
	if fell {
		n.crash(trace.Overloaded)
		return
	}
	if refusal != "" {
		if !n.hushed(r.Context()) {
			ends(trace.Dropped, "silent")
			return
		}
		ends(trace.Refused, refusal)
		f.mu.Lock()
		if f.set.ReportMode == "answers" {
			n.report(w)
		}
		f.mu.Unlock()
		answer(w, http.StatusServiceUnavailable, nodes.Refusal{NeverRan: true, Reason: refusal})
		return
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
	if r.Context().Err() != nil || !n.hushed(r.Context()) {
		n.drop(id, p)
		if n.ctx.Err() == nil {
			ends(trace.Dropped, "the front let go")
		}
		return
	}
	if fails {
		n.drop(id, p)
		ends(trace.Errored, "")
		answer(w, http.StatusInternalServerError, nodes.Refusal{Reason: "fault"})
		return
	}
	f.mu.Lock()
	if n.plays[id] != p { // ended while it was set up
		f.mu.Unlock()
		ends(trace.Errored, "ended")
		answer(w, http.StatusGone, nodes.Refusal{Reason: "ended"})
		return
	}
	n.mark++
	p.playing, p.began, p.lastUsed = true, time.Now(), time.Now()
	if ask.LengthMs > 0 {
		p.until = time.Now().Add(time.Duration(ask.LengthMs) * time.Millisecond)
	}
	out := nodes.Started{Life: n.life, Mark: n.mark, Rung: p.Rung}
	if f.set.ReportMode == "answers" {
		n.report(w)
	}
	f.mu.Unlock()
	if vanishes { // it runs, and nobody is told
		<-r.Context().Done()
		ends(trace.Dropped, "its answer vanished")
		return
	}
	ends(trace.Started, "")
	answer(w, http.StatusCreated, out)
}

// refusal tells why a set-up is turned away, if it is. The lock is held.
func (n *Node) refusal(ask *nodes.SetUp, id string) (string, *running) {
	f := n.fleet
	number, known := f.set.ProductNumber(ask.Product)
	t, ok := f.set.Lookup(ask.Title)
	kind := f.set.Kinds[0]
	for _, k := range f.set.Kinds {
		if k.Name == n.line.Kind {
			kind = k
		}
	}
	link, _ := n.loads()
	switch {
	case !known || ask.Rung < 0 || ask.Rung >= len(f.set.RatesKB) || ask.Rung < f.set.Products[number].MinRung:
		return "malformed", nil
	case !ok || ((n.cell-t.FirstCell)%f.set.Cells+f.set.Cells)%f.set.Cells >= t.CellCount:
		return "the title is not here", nil
	case ask.Epoch < n.epochs[ask.Front]:
		return "an older life of the front", nil
	case n.plays[id] != nil:
		return "the play is here already", nil
	case n.draining:
		return "draining", nil
	case len(n.plays) >= kind.MaxStreams:
		return "no stream free", nil
	case f.guard > 0 && link >= f.guard:
		return "link full", nil
	}
	return "", nil
}

// pushed counts a set-up against what a cold node stands. The lock is held.
func (n *Node) pushed() bool {
	f := n.fleet
	age := float64(time.Since(n.coldAt).Milliseconds())
	if n.coldAt.IsZero() || age > f.set.ColdDurationMs {
		return false
	}
	now := time.Now()
	n.setUps = append(n.setUps, now)
	for now.Sub(n.setUps[0]) > time.Duration(f.set.OverloadWindowMs)*time.Millisecond {
		n.setUps = n.setUps[1:]
	}
	n.fallen = float64(len(n.setUps)) > audit.Allowance(f.set, f.set.Kinds[0].MaxStreams, age)+2
	return n.fallen
}

func (n *Node) drop(id string, p *running) {
	n.fleet.mu.Lock()
	if n.plays[id] == p {
		delete(n.plays, id)
	}
	n.fleet.mu.Unlock()
}

func (n *Node) setRung(w http.ResponseWriter, r *http.Request) {
	var ask nodes.SetRung
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&ask); err != nil {
		answer(w, http.StatusBadRequest, nodes.Refusal{Reason: err.Error()})
		return
	}
	if !n.hushed(r.Context()) {
		return
	}
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	p := n.plays[r.PathValue("play")]
	if p == nil || p.Attempt != ask.Attempt || p.front != ask.Front || ask.Rung < 0 || ask.Rung >= len(f.set.RatesKB) {
		answer(w, http.StatusNotFound, nodes.Refusal{Reason: "no such play"})
		return
	}
	if ask.Seq > p.Seq {
		p.Rung, p.Seq = ask.Rung, ask.Seq
		f.tape.Add(trace.Event{Kind: trace.Rung, Node: n.line.Name, Front: p.front, Play: p.Play.Play, Attempt: p.Attempt, Product: p.Product, Rung: p.Rung})
	}
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) endPlay(w http.ResponseWriter, r *http.Request) {
	f, q := n.fleet, r.URL.Query()
	if n.cutOff(w, q.Get("front")) {
		return
	}
	try, err := strconv.Atoi(q.Get("try"))
	if err != nil {
		answer(w, http.StatusBadRequest, nodes.Refusal{Reason: "try is needed"})
		return
	}
	f.tape.Add(trace.Event{Kind: trace.End, Node: n.line.Name, Front: q.Get("front"), Play: r.PathValue("play"), Attempt: try, Note: q.Get("why")})
	if !n.hushed(r.Context()) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := n.plays[r.PathValue("play")]
	if p == nil || p.Attempt != try || p.front != q.Get("front") {
		answer(w, http.StatusNotFound, nodes.Refusal{Reason: "no such play"})
		return
	}
	delete(n.plays, p.Play.Play)
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) load(w http.ResponseWriter, r *http.Request) {
	if n.cutOff(w, r.URL.Query().Get("front")) || !n.hushed(r.Context()) {
		return
	}
	n.fleet.mu.Lock()
	n.report(w)
	n.fleet.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// media serves a segment, by the token alone and the rung in force.
func (n *Node) media(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Access-Control-Allow-Origin", "*") // a page of any site may play it: its token is in the address
	if !n.hushed(r.Context()) {
		return
	}
	cl, err := n.fleet.check.Check(r.PathValue("token"), time.Now())
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
	p.lastUsed = time.Now()
	share, allowed := n.share(), p.Rung
	f.mu.Unlock()
	kbit := f.set.RatesKB[allowed] * p.product.RateFactor * 8
	w.Header().Set(suggested, fmt.Sprintf("%q;mb=%d", n.line.Name, int64(kbit)))
	if rung > min(allowed, cl.Rung) || rung < p.product.MinRung {
		http.Error(w, "rung not allowed", http.StatusForbidden)
		return
	}
	f.tape.Add(trace.Event{Kind: trace.Served, Node: n.line.Name, Play: cl.Play, Rung: rung, Share: share})
	w.Header().Set(DeliveredShareHeader, strconv.FormatFloat(share, 'f', 3, 64))
	w.Header().Set("Content-Type", "video/mp4")
	w.Write(segment[:512*(rung+1)])
}

var segment [64 << 10]byte

// serveStream is the stream of notes to one front.
func (n *Node) serveStream(w http.ResponseWriter, r *http.Request) {
	f, name := n.fleet, r.URL.Query().Get("front")
	if n.cutOff(w, name) || !n.hushed(r.Context()) {
		return
	}
	epoch, err := strconv.ParseInt(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil || name == "" {
		answer(w, http.StatusBadRequest, nodes.Refusal{Reason: "front and epoch are needed"})
		return
	}
	s := &stream{notes: make(chan nodes.Note, 4096)}
	f.mu.Lock()
	if epoch < n.epochs[name] {
		f.mu.Unlock()
		answer(w, http.StatusConflict, nodes.Refusal{Reason: "an older life of the front"})
		return
	}
	n.epochs[name] = epoch
	n.streams[name] = s
	hello := nodes.Note{Kind: nodes.NoteHello, Node: n.line.Name, Life: n.life, Mark: n.mark}
	for _, p := range n.plays {
		if p.front == name && p.playing {
			play := p.Play
			if !p.until.IsZero() {
				play.LeftMs = max(1, time.Until(p.until).Milliseconds())
			}
			hello.Plays = append(hello.Plays, play)
		}
	}
	f.mu.Unlock()
	sort.Slice(hello.Plays, func(i, j int) bool { return hello.Plays[i].Play < hello.Plays[j].Play })
	defer func() {
		f.mu.Lock()
		s.goneAt = time.Now()
		f.mu.Unlock()
		f.tape.Add(trace.Event{Kind: trace.StreamClosed, Node: n.line.Name, Front: name})
	}()
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	send := func(note nodes.Note) bool {
		if !n.hushed(r.Context()) || enc.Encode(note) != nil {
			return false
		}
		return flush.Flush() == nil
	}
	if !send(hello) {
		return
	}
	beat := time.NewTicker(session.Duration(liveness.HeartbeatInterval))
	defer beat.Stop()
	for {
		note := nodes.Note{Kind: nodes.NoteHeartbeat}
		if n.cutOff(w, name) {
			return
		}
		select {
		case note = <-s.notes:
		case <-beat.C:
		case <-r.Context().Done():
			return
		}
		if !send(note) {
			return
		}
	}
}

// tell queues a note to a front; one that does not read loses its stream. The lock is held.
func (n *Node) tell(front string, note nodes.Note) {
	if s := n.streams[front]; s != nil && s.goneAt.IsZero() {
		select {
		case s.notes <- note:
		default:
		}
	}
}

// tick ends plays that are over, idle or whose front is lost, and tells shares and loads.
func (n *Node) tick(ctx context.Context) {
	f := n.fleet
	every := time.NewTicker(250 * time.Millisecond)
	defer every.Stop()
	lag := time.Duration(f.set.ReportDelayMs) * time.Millisecond
	for beat := 0; ; beat++ {
		select {
		case <-every.C:
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
			alone := p.began // since when nobody answers for the play
			if s := n.streams[p.front]; s != nil {
				if alone = s.goneAt; s.goneAt.IsZero() {
					alone = now
				}
			}
			if !p.playing || now.Sub(p.lastUsed) <= f.idle && now.Sub(alone) <= session.Duration(liveness.Lease) {
				continue
			}
			delete(n.plays, id)
			f.tape.Add(trace.Event{Kind: trace.Ended, Node: n.line.Name, Front: p.front, Play: id, Attempt: p.Attempt})
			n.tell(p.front, nodes.Note{Kind: nodes.NoteEnded, Play: id, Attempt: p.Attempt, EndReason: nodes.EndOver})
		}
		if beat%4 == 0 {
			n.tellShares(now, lag, beat%12 == 0)
		}
		f.mu.Unlock()
	}
}

// tellShares tells each front, on one of its plays here, the share delivered a while ago, while it is short
// and once more, and now and then what is asked where reports come in answers. The lock is held.
func (n *Node) tellShares(now time.Time, lag time.Duration, loads bool) {
	link, uplink := n.loads()
	n.shares = append(n.shares, shareAt{now, n.share(), link, uplink})
	n.fleet.tape.Add(trace.Event{Kind: trace.Load, Node: n.line.Name, Share: link, Uplink: uplink})
	if len(n.shares) > 64 {
		n.shares = n.shares[1:]
	}
	lag += time.Duration(n.fleet.late * float64(time.Second))
	old, before := 1.0, 1.0
	for i, x := range n.shares {
		if now.Sub(x.at) < lag {
			break
		}
		old = x.share
		if i > 0 {
			before = n.shares[i-1].share
		}
	}
	one := map[string]*running{}
	var names []string
	for _, p := range n.plays {
		if o := one[p.front]; p.playing && (o == nil || p.Play.Play < o.Play.Play) {
			if o == nil {
				names = append(names, p.front)
			}
			one[p.front] = p
		}
	}
	sort.Strings(names)
	link, uplink = n.told()
	if !n.fleet.set.ReportUplinks {
		uplink = -1
	}
	for _, name := range names {
		p := one[name]
		if old < 0.98 || before < 0.98 {
			n.tell(name, nodes.Note{Kind: nodes.NoteShare, Play: p.Play.Play, Attempt: p.Attempt, Share: old})
		}
		if loads && n.fleet.set.ReportMode == "answers" {
			n.tell(name, nodes.Note{Kind: nodes.NoteLoad, Play: p.Play.Play, Attempt: p.Attempt, Link: link, Uplink: uplink})
		}
	}
}
