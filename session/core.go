// Package session keeps the state of one front end's plays: which requests are unanswered, where each play runs, and
// which small integers stand for which names. It passes events to the policy (package decision), which makes the
// decisions, and carries out the policy's orders.
//
// Core does no I/O, reads no clock and starts no goroutine, so that the same events lead to the same orders over
// sockets and in simulated time. Runner runs a Core on a goroutine of its own behind a bounded queue.
package session

import (
	"fmt"
	"strconv"

	"gullrail/decision"
	"gullrail/internal/intern"
	"gullrail/liveness"
	"gullrail/membership"
	"gullrail/playlog"
	"gullrail/recovery"
	"gullrail/shutdown"
)

const (
	maxEndedPlays = 1 << 16               // enough for about 30 minutes at 33 plays a second
	endedPlayTTL  = 600 * decision.Second // the token of a play that ended earlier has expired
	sweepLimit    = 64                    // unused numbers checked per call of Wake, which runs five times a second
)

// Ref identifies an allocation.
type Ref struct {
	Play    string
	Attempt int
	Node    int
}

// Allocation is what a node is asked to set up.
type Allocation struct {
	Ref
	Name     string // of the node
	Address  string
	Product  int
	Title    string
	Viewer   string
	Rung     int
	MaxRung  int
	RungSeq  int   // sequence number of the rung; a node ignores orders with a lower one
	Deadline int64 // when the front end stops waiting for the set-up
	Length   int64 // estimated length; 0 if unknown
}

// Transport sends the core's orders to the playout nodes. Its methods must not block. Some lead to a later call on the
// Core: SetUp to Started or SetUpEnded, Probe to ProbeEnded, OpenStream to StreamBroke, at the latest after CloseStream.
type Transport interface {
	SetUp(a Allocation)
	Cancel(r Ref)
	SetRung(r Ref, address string, rung, seq int)
	End(r Ref, address, reason string)
	Probe(node int, address string)
	OpenStream(node int, address string, at int64)
	CloseStream(node int)
	// PlayStarted records that a play's viewer was told that it plays; previous is the play whose token the viewer
	// returned with, if any, and which is now used up. PlayStarted, PlayFinished and RecoveryDone lead to no call on the
	// Core.
	PlayStarted(r Ref, product int, previous string)
	// PlayFinished records that a play for which an allocation was sent has ended; reason is empty if it never
	// played.
	PlayFinished(play string, product int, reason playlog.EndReason)
	// RecoveryDone is called once, when the nodes have accounted for all plays of this front end's earlier runs.
	RecoveryDone()
}

// RecordedPlay is a play of an earlier run of this front end that may still be running according to the play log.
type RecordedPlay struct {
	ReportedPlay
	Node     string // name of the node of its last allocation
	Answered bool   // its viewer was told that it plays
}

// NodeEntry is one entry of the list of playout nodes.
type NodeEntry = membership.Entry

// ReportedPlay is a play that a node reports as running for this front end.
type ReportedPlay struct {
	Play      string
	Epoch     int64 // of the front end when it set the play up
	Attempt   int
	Product   int // negative if this front end has no such product
	Title     string
	FirstCell int
	CellCount int
	Viewer    string
	Rung      int
	RungSeq   int // sequence number of the last rung order that the node received
	MaxRung   int
	TimeLeft  int64 // estimated; 0 if unknown
}

// Request is a viewer's request for a play.
type Request struct {
	Product   int
	Title     string
	FirstCell int // first cell that holds the title
	CellCount int
	Viewer    string
	Deadline  int64 // when the client stops waiting
	Length    int64 // estimated; 0 if unknown
	MaxRung   int
	Previous  *Previous // the play whose token came with the request; nil without a token
	Reply     *Reply
	OnEvent   func(Event) // called with changes of the play after its answer; may be nil
}

// Event is a change of a running play.
type Event struct {
	EndReason playlog.EndReason // empty while the play runs
	Answer    Answer            // the current state; only the ID for an ended play
}

// key is the same for repeated requests of a viewer for the same title and product.
func (r *Request) key() string { return r.Viewer + "\x00" + r.Title + "\x00" + strconv.Itoa(r.Product) }

// Previous is the earlier play of a viewer who returns with its token.
type Previous struct {
	Play         string
	NotDelivered bool // the viewer reports that the play's node doesn't deliver
}

type stage uint8

const (
	waiting stage = iota
	settingUp
	playing
)

// play is a play that has not ended.
type play struct {
	id         string
	handle     decision.Handle
	request    Request
	title      int
	viewer     int
	stage      stage
	node       int
	instance   int64 // of the node's process that runs the play
	startSeq   int64 // value of the node's start counter when the play was set up
	attempt    int
	rung       int
	rungSeq    int
	mayHaveRun bool // a previous allocation may have run
	viewerLeft bool // nobody waits for the answer any more
	adopted    bool
	earlyEnd   *decision.Outcome // outcome of the play, if reported before its start
}

// setEventHandler replaces the play's event handler, unless onEvent is nil.
func (p *play) setEventHandler(onEvent func(Event)) {
	if onEvent != nil {
		p.request.OnEvent = onEvent
	}
}

// policyAttempt is the policy's number of the last attempt. The policy counts from 0, for adopted plays too.
func (p *play) policyAttempt() int {
	if p.adopted {
		return 0
	}
	return p.attempt
}

// scheduledRelease is a play that is to be ended at a given time during shutdown.
type scheduledRelease struct {
	id string
	at int64
}

type endedPlay struct {
	id     string
	at     int64
	reason playlog.EndReason
}

// node is a playout node.
type node struct {
	name, address string
	phase         decision.Phase
	listed        bool
	keepStream    bool
	instance      int64
	playCount     int
	probing       bool
}

// Products gives the properties of a product, by its number, that shutdown decisions depend on.
type Products interface {
	Paid(product int) bool
	Importance(product int) float64
}

func (c *Core) paid(product int) bool { return c.products == nil || c.products.Paid(product) }
func (c *Core) importance(product int) float64 {
	if c.products == nil {
		return 1
	}
	return c.products.Importance(product)
}

// Counts are the counters since the core's start, and its current sizes.
type Counts struct {
	Accepted, Started, Declined, Failed, Denied, Moved, Broken, Adopted, Orphans uint64
	Active, Viewers, Titles, Nodes, EndedKept                                    int
	Ready                                                                        bool
}

// Core manages the plays of one front end. It is not safe for concurrent use, and now must not decrease from call to
// call.
type Core struct {
	name            string
	epoch           int64
	policy          decision.Policy
	transport       Transport
	monitor         *liveness.Monitor
	fleet           *membership.Fleet
	fleetWakeAt     int64 // when the fleet's next change is due; 0 if none is
	playsTaken      uint64
	plays           map[string]*play
	playsByIndex    []*play          // by index of the handle
	pending         map[string]*play // unanswered requests, by key
	titles          *intern.Table
	viewers         *intern.Table
	nodes           []node
	nodeIndexes     map[string]int
	freeNodes       []int // node numbers to reuse
	products        Products
	send            func(to int, bytes []byte) // nil if front ends exchange no messages
	shuttingDown    bool
	expected        []RecordedPlay   // plays to adopt with the first node list
	recordsComplete bool             // the play log of the earlier runs is complete
	recovered       bool             // the nodes have accounted for all plays of earlier runs
	unacknowledged  map[string]*play // recorded plays of earlier runs whose viewers may have got no answer, by key
	releases        []scheduledRelease
	ended           map[string]endedPlay
	endedQueue      []endedPlay // in order of their ends
	endedHead       int         // index of the oldest entry of endedQueue
	nodeUpdates     []decision.Node
	listedNodes     []int
	wakeAt          int64
	counts          Counts
}

// NewCore returns a core for one run of a front end. epoch identifies the run and must increase with each; seed is for
// the random delays between dials. If products is nil, all products count as paid.
func NewCore(now int64, name string, epoch int64, policy decision.Policy, transport Transport, products Products, seed uint64) *Core {
	return &Core{products: products, name: name, epoch: epoch, policy: policy, transport: transport, monitor: liveness.New(now, seed), fleet: membership.New(), wakeAt: now,
		plays: map[string]*play{}, pending: map[string]*play{}, unacknowledged: map[string]*play{}, titles: intern.New(), viewers: intern.New(),
		nodeIndexes: map[string]int{}, ended: map[string]endedPlay{}}
}

// WakeAt is the latest time at which Wake must be called.
func (c *Core) WakeAt() int64 { return c.wakeAt }

// Counts returns a copy of the counters.
func (c *Core) Counts() Counts {
	counts := c.counts
	counts.Active, counts.Viewers, counts.Titles, counts.Nodes = len(c.plays), c.viewers.Len(), c.titles.Len(), len(c.nodeIndexes)
	counts.EndedKept = len(c.ended)
	return counts
}

// Recover restores what earlier runs of this front end recorded: open are the plays that may still run, ended those whose
// tokens are no longer valid, lost is the number of missing records. It must be called before any other method. The
// open plays are adopted with the first node list, so that their seats count from then on; the nodes' reports then tell
// which of them still run. Only if records are missing must the front end wait for all nodes before it is ready.
func (c *Core) Recover(now int64, open []RecordedPlay, ended []playlog.EndedPlay, lost uint64) {
	c.expected, c.recordsComplete = open, recovery.ReadyImmediately(true, lost)
	for _, p := range ended {
		c.rememberEnd(now, p.Play, p.EndReason)
	}
}

// adoptExpected adopts the recorded plays. A play on a node that is not listed is over.
func (c *Core) adoptExpected(now int64) {
	for _, e := range c.expected {
		index, ok := c.nodeIndexes[e.Node]
		switch {
		case !ok || e.Product < 0:
			c.transport.PlayFinished(e.Play, max(0, e.Product), playlog.Broken)
		case c.plays[e.Play] == nil:
			p := c.adopt(now, index, 0, 0, e.ReportedPlay)
			if recovery.ResolveRequest(recovery.Recorded, e.Answered, true) != recovery.NewPlay {
				c.unacknowledged[p.request.key()] = p
			}
		}
	}
	c.expected = nil
}

// Ready tells whether the front end may take plays.
func (c *Core) Ready(now int64) bool {
	if !c.recovered && c.monitor.Ready(now, c.listedNodes) {
		c.recovered = true
		c.transport.RecoveryDone()
	}
	c.counts.Ready = c.recovered || c.recordsComplete && c.expected == nil && len(c.listedNodes) > 0
	return c.counts.Ready
}

// resolveRepeat answers a request without a token that repeats the request of a play of an earlier run. It returns false
// if there is no such play or the request needs a new one.
func (c *Core) resolveRepeat(now int64, req Request) bool {
	p := c.unacknowledged[req.key()]
	if p == nil {
		return false
	}
	switch recovery.ResolveRequest(c.recoveryState(p.id, Ref{p.id, p.attempt, p.node}), false, true) {
	case recovery.Resume:
		p.setEventHandler(req.OnEvent)
		if req.Reply.Resolve(c.answer(p, "plays already")) {
			c.viewerAnswered(p)
		}
		return true
	case recovery.Wait:
		c.counts.Denied++
		req.Reply.Resolve(Answer{Verdict: Denied, Reason: "an earlier play of this request may still run", Busy: true, RetryAfter: decision.Second})
		return true
	}
	return false
}

// viewerAnswered records that the viewer of a play was told that it plays.
func (c *Core) viewerAnswered(p *play) {
	previous := ""
	if p.request.Previous != nil {
		previous = p.request.Previous.Play
	}
	c.transport.PlayStarted(Ref{p.id, p.attempt, p.node}, p.request.Product, previous)
	if k := p.request.key(); c.unacknowledged[k] == p {
		delete(c.unacknowledged, k)
	}
}

// recoveryState is what is known of an allocation that a node reports.
func (c *Core) recoveryState(id string, r Ref) recovery.State {
	switch p := c.plays[id]; {
	case p == nil && c.ended[id].reason != "":
		return recovery.Ended
	case p == nil:
		return recovery.Unknown
	case p.node != r.Node || p.attempt != r.Attempt || p.stage == waiting:
		return recovery.Superseded
	case p.adopted && p.instance == 0:
		return recovery.Recorded
	}
	return recovery.Tracked
}

// RequestPlay handles a viewer's request. Its reply is resolved exactly once, during the call or later, unless it is
// withdrawn first.
func (c *Core) RequestPlay(now int64, req Request) {
	if c.shuttingDown {
		req.Reply.Resolve(Answer{Verdict: Declined, Reason: "the front is ending", RetryAfter: decision.Second})
		c.counts.Declined++
		return
	}
	if !c.Ready(now) {
		req.Reply.Resolve(Answer{Verdict: Declined, Reason: "the front is starting", RetryAfter: decision.Second})
		c.counts.Declined++
		return
	}
	isMoved := false
	if req.Previous != nil {
		reason, p := c.lookUp(req.Previous.Play)
		switch {
		case p != nil && p.stage == playing && !req.Previous.NotDelivered:
			if req.Title == p.request.Title {
				p.setEventHandler(req.OnEvent)
				req.Reply.Resolve(c.answer(p, "plays already"))
			} else {
				c.deny(req, "the token is of another title")
			}
			return
		case p != nil && p.stage == playing:
			c.nodeFailed(now, p)
		case p != nil:
			c.deny(req, busyReason)
			return
		case reason == playlog.Served:
			c.deny(req, "the play has ended")
			return
		case reason == playlog.Resumed:
			c.deny(req, "the token was used to come back already")
			return
		case reason == "" && c.fromThisEpoch(req.Previous.Play):
			c.deny(req, "the play ended long ago")
			return
		}
		isMoved = reason == playlog.Moved
	}
	if req.Previous == nil && c.resolveRepeat(now, req) {
		return
	}
	key := req.key()
	if c.pending[key] != nil {
		c.deny(req, busyReason)
		return
	}
	c.playsTaken++
	p := &play{id: fmt.Sprintf("%s-%x-%d", c.name, c.epoch, c.playsTaken), request: req, title: c.titles.Acquire(req.Title),
		viewer: c.viewers.Acquire(req.Viewer)}
	c.plays[p.id], c.pending[key] = p, p
	c.counts.Accepted++
	h, res := c.policy.AddPlay(now, decision.Request{Product: req.Product, Title: p.title, Viewer: p.viewer, Deadline: req.Deadline,
		Length: req.Length, FirstCell: req.FirstCell, CellCount: req.CellCount, MaxRung: req.MaxRung, Key: decision.HashName(req.Title), Moved: isMoved, Retry: req.Previous != nil})
	c.indexPlay(p, h)
	c.execute(now, res)
}

const busyReason = "the same viewer's request is being answered"

func (c *Core) deny(req Request, reason string) {
	c.counts.Denied++
	req.Reply.Resolve(Answer{Verdict: Denied, Reason: reason, Busy: reason == busyReason})
}

// Subscribe replaces the event handler of a running play, for a viewer who reconnects. It returns the current state of
// the play if it is running, or else why it ended. Both are empty if this front end doesn't know the play.
func (c *Core) Subscribe(id string, onEvent func(Event)) (ans Answer, isPlaying bool, reason playlog.EndReason) {
	reason, p := c.lookUp(id)
	if p == nil || p.stage != playing {
		return Answer{}, false, reason
	}
	p.setEventHandler(onEvent)
	return c.answer(p, ""), true, ""
}

// Unsubscribe removes the event handler of a play.
func (c *Core) Unsubscribe(id string) {
	if p := c.plays[id]; p != nil {
		p.request.OnEvent = nil
	}
}

// RequestWithdrawn records that nobody waits for a request's answer any more, because its client left or its time limit
// passed. It has no effect on a play that was answered before its reply was withdrawn.
func (c *Core) RequestWithdrawn(now int64, r *Reply) {
	for _, p := range c.pending { // at most one has this reply
		if p.request.Reply == r {
			c.abandon(now, p)
			return
		}
	}
}

// abandon gives up an unanswered play because its viewer no longer waits.
func (c *Core) abandon(now int64, p *play) {
	if p.viewerLeft {
		return
	}
	p.viewerLeft = true
	res := c.policy.ViewerLeft(now, p.handle)
	if p.stage == waiting {
		c.finish(now, p, playlog.Served)
	}
	c.execute(now, res)
}

// EndPlay ends a play that its viewer ended or whose answer didn't reach its viewer.
func (c *Core) EndPlay(now int64, id string) {
	p := c.plays[id]
	if p == nil {
		return
	}
	if p.stage == playing {
		c.endPlaying(now, p, "viewer left", decision.Canceled, playlog.Served)
		return
	}
	c.abandon(now, p)
}

// endPlaying ends a running play at its node and in the policy.
func (c *Core) endPlaying(now int64, p *play, message string, outcome decision.Outcome, reason playlog.EndReason) {
	c.transport.End(Ref{p.id, p.attempt, p.node}, c.nodes[p.node].address, message)
	res := c.policy.AttemptEnded(now, p.handle, p.policyAttempt(), outcome, true, decision.UnknownLoad)
	c.finish(now, p, reason)
	c.execute(now, res)
}

// NotDelivered handles a viewer's report that the node doesn't deliver its play. The play is ended and can be set up
// again when the viewer returns with its token.
func (c *Core) NotDelivered(now int64, id string) {
	if p := c.plays[id]; p != nil && p.stage == playing {
		c.nodeFailed(now, p)
	}
}

// nodeFailed ends a running play whose viewer reports that the node doesn't deliver it.
func (c *Core) nodeFailed(now int64, p *play) {
	c.counts.Broken++
	c.endPlaying(now, p, "viewer says it broke", decision.ConnectionLost, playlog.Broken)
}

// Started records that a node set up an allocation: in which process instance, at which value of the instance's start
// counter, and at which rung.
func (c *Core) Started(now int64, r Ref, instance, startSeq int64, rung int, load decision.Load) {
	p := c.playInStage(r, settingUp)
	if p == nil {
		c.endOrphan(r)
		return
	}
	p.stage, p.instance, p.startSeq = playing, instance, startSeq
	c.clearPending(p)
	if p.viewerLeft { // the policy still counts the set-up and expects it to end as canceled
		c.endPlaying(now, p, "viewer left", decision.Canceled, playlog.Served)
		return
	}
	c.execute(now, c.policy.AttemptStarted(now, p.handle, r.Attempt))
	if c.plays[p.id] == nil {
		return
	}
	if load != decision.UnknownLoad {
		c.execute(now, c.policy.LoadReported(now, p.handle, load))
	}
	if rung != p.rung { // the rung was changed while the set-up was in flight
		p.rungSeq++
		c.transport.SetRung(r, c.nodes[p.node].address, p.rung, p.rungSeq)
	}
	if !p.request.Reply.Resolve(c.answer(p, "")) { // withdrawn concurrently: nobody will watch the play
		c.endPlaying(now, p, "viewer left", decision.Canceled, playlog.Served)
		return
	}
	c.counts.Started++
	c.viewerAnswered(p)
	if p.request.Previous != nil { // the token is used up only now, so that a declined viewer can retry with it
		c.rememberEnd(now, p.request.Previous.Play, playlog.Resumed)
	}
	if p.earlyEnd != nil {
		c.PlayEnded(now, r, *p.earlyEnd)
	}
}

// endOrphan ends an allocation at a node that this front end has abandoned or doesn't know.
func (c *Core) endOrphan(r Ref) {
	c.counts.Orphans++
	if r.Node < len(c.nodes) && c.nodes[r.Node].address != "" {
		c.transport.End(r, c.nodes[r.Node].address, "given up before")
	}
}

// SetUpEnded records the outcome of a set-up that didn't start.
func (c *Core) SetUpEnded(now int64, r Ref, outcome decision.Outcome, load decision.Load) {
	p := c.playInStage(r, settingUp)
	if p == nil {
		return
	}
	p.stage = waiting
	p.mayHaveRun = p.mayHaveRun || outcome.MayHaveRun()
	c.nodes[p.node].playCount--
	res := c.policy.AttemptEnded(now, p.handle, r.Attempt, outcome, p.viewerLeft, load)
	if p.viewerLeft {
		c.finish(now, p, playlog.Served)
	}
	c.execute(now, res)
}

// PlayEnded records that a play ended at its node; the outcome is Served if it reached its end or its viewer stopped it.
func (c *Core) PlayEnded(now int64, r Ref, outcome decision.Outcome) {
	if p := c.playInStage(r, settingUp); p != nil { // the stream reported the end before the answer to the set-up arrived
		p.earlyEnd = &outcome
		return
	}
	if p := c.playInStage(r, playing); p != nil {
		reason := playlog.Served
		if outcome != decision.Served {
			reason = playlog.Broken
			c.counts.Broken++
		}
		res := c.policy.AttemptEnded(now, p.handle, p.policyAttempt(), outcome, true, decision.UnknownLoad)
		c.finish(now, p, reason)
		c.execute(now, res)
	}
}

// DeliveryReported records the share of a play's rate that is being delivered.
func (c *Core) DeliveryReported(now int64, r Ref, share float64) {
	if p := c.playInStage(r, playing); p != nil {
		c.execute(now, c.policy.DeliveryReported(now, p.handle, share))
	}
}

// LoadReported records a report of the load on a play's node, its link or its uplink.
func (c *Core) LoadReported(now int64, r Ref, load decision.Load) {
	if p := c.playInStage(r, playing); p != nil {
		c.execute(now, c.policy.LoadReported(now, p.handle, load))
	}
}

// ProbeEnded records the outcome of a probe.
func (c *Core) ProbeEnded(now int64, index int, outcome decision.Outcome, load decision.Load) {
	if index < len(c.nodes) && c.nodes[index].probing {
		c.nodes[index].probing = false
		c.execute(now, c.policy.ProbeEnded(now, index, outcome, load))
	}
}

// StreamOpened handles the first message on a stream from a node: the node's own name, its process instance, the value of
// its start counter and the plays it runs for this front end. Plays of an earlier run of this front end are adopted,
// plays that this run has abandoned are ended, and plays that the node no longer runs are lost.
func (c *Core) StreamOpened(now int64, index int, reportedName string, instance, startSeq int64, running []ReportedPlay) {
	if index >= len(c.nodes) || !c.nodes[index].keepStream {
		return
	}
	c.fleet.Confirmed(now, c.nodes[index].name, reportedName)
	defer c.syncMembership(now)
	if reportedName != "" && reportedName != c.nodes[index].name { // another node now has this address; ignore its plays
		return
	}
	c.monitor.StreamOpened(now, index)
	c.nodes[index].instance = instance
	reported := make(map[string]bool, len(running))
	for _, r := range running {
		reported[r.Play] = true
		switch recovery.Reconcile(c.recoveryState(r.Play, Ref{r.Play, r.Attempt, index}), r.Epoch < c.epoch, r.Product >= 0) {
		case recovery.Confirm:
			p := c.plays[r.Play]
			p.instance, p.startSeq, p.rungSeq, p.rung = instance, startSeq, r.RungSeq, r.Rung
			c.execute(now, c.policy.RungReported(now, p.handle, r.Rung))
		case recovery.Adopt:
			c.adopt(now, index, instance, startSeq, r)
		case recovery.End:
			c.endOrphan(Ref{Play: r.Play, Attempt: r.Attempt, Node: index})
		}
	}
	for _, p := range c.playingOn(index) {
		if !reported[p.id] && recovery.MissingHasEnded(p.instance == instance, p.startSeq <= startSeq) {
			c.PlayEnded(now, Ref{p.id, p.attempt, index}, decision.ConnectionLost)
		}
	}
}

func (c *Core) adopt(now int64, index int, instance, startSeq int64, r ReportedPlay) *play {
	c.counts.Adopted++
	p := &play{id: r.Play, stage: playing, node: index, instance: instance, startSeq: startSeq, attempt: r.Attempt, rung: r.Rung, rungSeq: r.RungSeq,
		adopted: true, title: c.titles.Acquire(r.Title), viewer: c.viewers.Acquire(r.Viewer),
		request: Request{Product: r.Product, Title: r.Title, FirstCell: r.FirstCell, CellCount: r.CellCount, Viewer: r.Viewer, MaxRung: r.MaxRung,
			Length: r.TimeLeft}}
	c.plays[p.id] = p
	c.nodes[index].playCount++
	h, res := c.policy.AdoptPlay(now, decision.Request{Product: r.Product, Title: p.title, Viewer: p.viewer, Deadline: now,
		Length: r.TimeLeft, FirstCell: r.FirstCell, CellCount: r.CellCount, MaxRung: r.MaxRung, Key: decision.HashName(r.Title)}, index)
	c.indexPlay(p, h)
	c.execute(now, res)
	c.execute(now, c.policy.RungReported(now, p.handle, r.Rung))
	return p
}

// SetSender sets the function that sends messages to other front ends. It must neither block nor retain the bytes.
// Without it no messages are sent.
func (c *Core) SetSender(send func(to int, bytes []byte)) { c.send = send }

// MessageReceived handles a message from another front end.
func (c *Core) MessageReceived(now int64, from int, bytes []byte) {
	c.execute(now, c.policy.MessageReceived(now, from, bytes))
}

// StreamActive records that something was received on a node's stream.
func (c *Core) StreamActive(now int64, index int) { c.monitor.StreamActive(now, index) }

// StreamBroke records that a stream ended or could not be opened; refused, that the node's machine refused the
// connection, so that no process is there.
func (c *Core) StreamBroke(now int64, index int, refused bool) {
	if index >= len(c.nodes) || !c.nodes[index].keepStream {
		return
	}
	c.fleet.Disconnected(now, c.nodes[index].name)
	defer c.syncMembership(now)
	dialAt, ended := c.monitor.StreamBroke(now, index, refused)
	if ended {
		c.losePlaysOn(now, index)
	}
	c.updateStream(now, index, dialAt)
}

// losePlaysOn records the end of all plays on a node that can't be running them any more.
func (c *Core) losePlaysOn(now int64, index int) {
	for _, p := range c.playingOn(index) {
		c.PlayEnded(now, Ref{p.id, p.attempt, index}, decision.ConnectionLost)
	}
}

// playingOn returns the running plays on a node, in the order of their handles.
func (c *Core) playingOn(index int) (found []*play) {
	if c.nodes[index].playCount == 0 {
		return nil
	}
	for _, p := range c.playsByIndex {
		if p != nil && p.stage == playing && p.node == index {
			found = append(found, p)
		}
	}
	return found
}

// updateStream opens the stream of a node at dialAt if the node is listed or has plays.
func (c *Core) updateStream(now int64, index int, dialAt int64) {
	n := &c.nodes[index]
	n.keepStream = n.listed || n.playCount > 0
	if n.keepStream {
		c.transport.OpenStream(index, n.address, dialAt)
	}
}

// UpdateList applies the full list of nodes, or changes to it, from a list service that doesn't number its versions.
func (c *Core) UpdateList(now int64, entries []NodeEntry, full bool) {
	c.UpdateMembership(now, membership.Update{Source: membership.List, Full: full, Entries: entries})
}

// UpdateMembership applies what a source reports of the fleet, and tells whether it was accepted.
func (c *Core) UpdateMembership(now int64, update membership.Update) bool {
	accepted := c.fleet.Apply(now, update)
	c.syncMembership(now)
	return accepted
}

// NodeStates returns the front end's view of its fleet.
func (c *Core) NodeStates(now int64) []membership.NodeState { return c.fleet.NodeStates(now) }

// ListReceived tells whether the list service has reported since the front end started.
func (c *Core) ListReceived() bool { return c.fleet.HasReported(membership.List) }

// ListSnapshot returns the node list for storage.
func (c *Core) ListSnapshot() (version int64, entries []NodeEntry) { return c.fleet.Snapshot() }

// syncMembership applies the membership changes that are due.
func (c *Core) syncMembership(now int64) {
	entries, wakeAt := c.fleet.Due(now)
	c.fleetWakeAt = wakeAt
	if wakeAt > 0 && (c.wakeAt == 0 || wakeAt < c.wakeAt) {
		c.wakeAt = wakeAt
	}
	if len(entries) > 0 {
		c.applyNodes(now, entries)
	}
}

// applyNodes passes changed nodes to the policy and opens or closes their streams.
func (c *Core) applyNodes(now int64, entries []NodeEntry) {
	c.nodeUpdates = c.nodeUpdates[:0]
	for _, entry := range entries {
		index, ok := c.nodeIndexes[entry.Name]
		if !ok {
			if entry.Phase == decision.Gone {
				continue
			}
			index = c.newNode(entry.Name)
		}
		n := &c.nodes[index]
		n.listed, n.phase = entry.Phase != decision.Gone, entry.Phase
		if n.address != entry.Address && n.keepStream {
			c.transport.CloseStream(index) // StreamBroke then dials the new address
		}
		n.address = entry.Address
		if !n.keepStream && n.listed {
			c.updateStream(now, index, c.monitor.FirstDial(now, len(entries)))
		}
		c.nodeUpdates = append(c.nodeUpdates, decision.Node{Index: index, Phase: entry.Phase, Kind: entry.Kind, Zone: entry.Zone, Cell: entry.Cell,
			StartedAt: entry.StartedAt, Weight: entry.Weight, Key: decision.HashName(n.name)})
	}
	c.listedNodes = c.listedNodes[:0]
	for i := range c.nodes {
		if c.nodes[i].listed {
			c.listedNodes = append(c.listedNodes, i)
		}
	}
	c.execute(now, c.policy.UpdateNodes(now, c.nodeUpdates, false))
	if len(c.expected) > 0 && len(c.listedNodes) > 0 {
		c.adoptExpected(now)
	} else if len(c.listedNodes) > 0 {
		c.expected = nil
	}
}

func (c *Core) newNode(name string) (index int) {
	if k := len(c.freeNodes); k > 0 {
		index, c.freeNodes = c.freeNodes[k-1], c.freeNodes[:k-1]
	} else {
		index = len(c.nodes)
		c.nodes = append(c.nodes, node{})
	}
	c.nodes[index] = node{name: name}
	c.nodeIndexes[name] = index
	return index
}

// Wake does what is due: the policy's own checks, silent streams, expired leases, and numbers to be reused.
func (c *Core) Wake(now int64) {
	c.wakeAt = 0
	c.execute(now, c.policy.Wake(now))
	if c.fleetWakeAt > 0 {
		c.syncMembership(now)
	}
	c.releaseDue(now)
	for index := range c.nodes {
		n := &c.nodes[index]
		if n.name == "" {
			continue
		}
		if n.keepStream && c.monitor.Silent(now, index) {
			c.transport.CloseStream(index)
		}
		if c.monitor.LeaseExpired(now, index) {
			c.losePlaysOn(now, index)
		}
		if !n.listed && n.playCount == 0 && !n.probing {
			if n.keepStream {
				n.keepStream = false
				c.transport.CloseStream(index)
			}
			if c.policy.ForgetNode(now, index) {
				delete(c.nodeIndexes, n.name)
				c.monitor.Forget(index)
				*n = node{}
				c.freeNodes = append(c.freeNodes, index)
			}
		}
	}
	c.viewers.Sweep(sweepLimit, func(i int) bool { return c.policy.ForgetViewer(now, i) })
	c.titles.Sweep(sweepLimit, func(int) bool { return true })
	c.expireEnded(now)
}

// ---- Shutdown ----

// BeginShutdown begins an orderly shutdown that is to be over at end. From then on new requests are declined. Unanswered
// requests are answered at once, except those that package shutdown decides to wait for.
func (c *Core) BeginShutdown(now, end int64) {
	c.shuttingDown = true
	for _, p := range c.unanswered() {
		c.applyShutdown(now, p, shutdown.Decide(now, end, c.shutdownRequest(p)))
	}
}

// Close answers all requests that are still unanswered, as the front end can't wait any longer.
func (c *Core) Close(now int64) {
	c.shuttingDown = true
	for _, p := range c.unanswered() {
		c.applyShutdown(now, p, shutdown.Expired(c.shutdownRequest(p)))
	}
}

// ReleasePlays schedules the ends of all running plays, spread until the given end, as no other process takes over from
// this front end.
func (c *Core) ReleasePlays(now, end int64) {
	var plays []shutdown.Play
	var ids []string
	for i, p := range c.playsByIndex {
		if p != nil && p.stage == playing {
			plays = append(plays, shutdown.Play{Importance: c.importance(p.request.Product), ID: i})
			ids = append(ids, p.id)
		}
	}
	order, times := shutdown.ReleaseSchedule(now, end, plays)
	for i, next := range order {
		c.releases = append(c.releases, scheduledRelease{ids[next], times[i]})
	}
	c.releaseDue(now)
}

// releaseDue ends the plays whose scheduled release is due.
func (c *Core) releaseDue(now int64) {
	for len(c.releases) > 0 && c.releases[0].at <= now {
		if p := c.plays[c.releases[0].id]; p != nil && p.stage == playing {
			c.endPlaying(now, p, "the front retires", decision.Canceled, playlog.Broken)
		}
		c.releases = c.releases[1:]
	}
}

func (c *Core) unanswered() (unanswered []*play) {
	for _, p := range c.playsByIndex {
		if p != nil && p.stage != playing && !p.viewerLeft {
			unanswered = append(unanswered, p)
		}
	}
	return unanswered
}

func (c *Core) shutdownRequest(p *play) shutdown.Request {
	return shutdown.Request{Deadline: p.request.Deadline, Paid: c.paid(p.request.Product), InFlight: p.stage == settingUp, MayHaveRun: p.mayHaveRun}
}

func (c *Core) applyShutdown(now int64, p *play, verdict shutdown.Verdict) {
	switch verdict {
	case shutdown.Wait:
		return
	case shutdown.Fail:
		c.counts.Failed++
		p.request.Reply.Resolve(Answer{Verdict: Failed, Play: p.id, Reason: "the front is ending"})
	case shutdown.Decline:
		c.counts.Declined++
		p.request.Reply.Resolve(Answer{Verdict: Declined, Play: p.id, Reason: "the front is ending", RetryAfter: decision.Second})
	}
	c.abandon(now, p)
}

// ---- The policy's orders ----

// execute carries out the result of a call on the policy.
func (c *Core) execute(now int64, res *decision.Result) {
	if res.WakeAt > 0 && (c.wakeAt == 0 || res.WakeAt < c.wakeAt) { // a later call must not postpone a wake-up that an earlier one asked for
		c.wakeAt = res.WakeAt
	}
	var moves []*play
	for i := range res.Orders {
		order := &res.Orders[i]
		p := c.playsByIndex[order.Play.Index]
		switch order.Action {
		case decision.Place:
			p.stage, p.node, p.rung, p.earlyEnd = settingUp, order.Node, order.Rung, nil
			p.attempt++
			n := &c.nodes[order.Node]
			n.playCount++
			c.transport.SetUp(Allocation{Ref: Ref{p.id, p.attempt, order.Node}, Name: n.name, Address: n.address, Product: p.request.Product,
				Title: p.request.Title, Viewer: p.request.Viewer, Rung: order.Rung, MaxRung: p.request.MaxRung, RungSeq: p.rungSeq, Deadline: order.Deadline,
				Length: p.request.Length})
		case decision.Decline:
			c.counts.Declined++
			p.request.Reply.Resolve(Answer{Verdict: Declined, Play: p.id, RetryAfter: order.RetryAfter, Reason: "no node can take it"})
			c.finish(now, p, playlog.Served)
		case decision.Fail:
			c.counts.Failed++
			p.request.Reply.Resolve(Answer{Verdict: Failed, Play: p.id, Reason: "its set-up may have run and did not answer"})
			c.finish(now, p, playlog.Served)
		case decision.SetRung:
			p.rung = order.Rung
			p.rungSeq++
			if p.stage == playing && p.request.OnEvent != nil {
				p.request.OnEvent(Event{Answer: c.answer(p, "")})
			}
			c.transport.SetRung(Ref{p.id, p.attempt, p.node}, c.nodes[p.node].address, order.Rung, p.rungSeq)
		case decision.Move:
			moves = append(moves, p)
		case decision.Cancel:
			c.transport.Cancel(Ref{p.id, order.Attempt, p.node})
		}
	}
	for _, index := range res.Probes {
		c.nodes[index].probing = true
		c.transport.Probe(index, c.nodes[index].address)
	}
	if c.send != nil {
		for _, message := range res.Messages {
			c.send(message.To, message.Bytes)
		}
	}
	for _, p := range moves { // last, as endPlaying calls the policy again, which invalidates res
		c.counts.Moved++
		c.endPlaying(now, p, "moved", decision.Canceled, playlog.Moved)
	}
}

// ---- Tables of plays ----

func (c *Core) indexPlay(p *play, h decision.Handle) {
	if !p.adopted {
		p.attempt = -1
	}
	p.handle = h
	for int(h.Index) >= len(c.playsByIndex) {
		c.playsByIndex = append(c.playsByIndex, nil)
	}
	c.playsByIndex[h.Index] = p
}

// playInStage returns the play of an allocation if that is its last and the play is in the given stage, or else nil.
func (c *Core) playInStage(r Ref, want stage) *play {
	if p := c.plays[r.Play]; p != nil && p.attempt == r.Attempt && p.node == r.Node && p.stage == want {
		return p
	}
	return nil
}

func (c *Core) answer(p *play, reason string) Answer {
	n := &c.nodes[p.node]
	return Answer{Verdict: Started, Play: p.id, Node: n.name, Address: n.address, Title: p.request.Title,
		Product: p.request.Product, Viewer: p.request.Viewer, Rung: p.rung, MaxRung: p.request.MaxRung, Reason: reason}
}

// clearPending allows the same viewer to request the title again.
func (c *Core) clearPending(p *play) {
	if key := p.request.key(); c.pending[key] == p {
		delete(c.pending, key)
	}
}

// finish removes a play that is finished for the policy.
func (c *Core) finish(now int64, p *play, reason playlog.EndReason) {
	if c.plays[p.id] != p {
		return
	}
	if p.stage != waiting {
		c.nodes[p.node].playCount--
	}
	c.clearPending(p)
	if k := p.request.key(); c.unacknowledged[k] == p {
		delete(c.unacknowledged, k)
	}
	delete(c.plays, p.id)
	c.playsByIndex[p.handle.Index] = nil
	c.titles.Release(p.title)
	c.viewers.Release(p.viewer)
	if p.stage == playing { // otherwise no token was issued
		c.rememberEnd(now, p.id, reason)
		if p.request.OnEvent != nil {
			p.request.OnEvent(Event{EndReason: reason, Answer: Answer{Play: p.id}})
		}
	} else {
		reason = ""
	}
	if p.attempt >= 0 {
		c.transport.PlayFinished(p.id, p.request.Product, reason)
	}
}

// rememberEnd keeps why a play ended for viewers who return with its token, for as long as a token is valid.
func (c *Core) rememberEnd(now int64, id string, reason playlog.EndReason) {
	end := endedPlay{id, now, reason}
	c.ended[id] = end
	c.endedQueue = append(c.endedQueue, end)
	if len(c.ended) > maxEndedPlays {
		c.expireEnded(now)
	}
}

func (c *Core) expireEnded(now int64) {
	expired := func(end endedPlay) bool {
		return now-end.at > endedPlayTTL || len(c.endedQueue)-c.endedHead > maxEndedPlays
	}
	for c.endedHead < len(c.endedQueue) && expired(c.endedQueue[c.endedHead]) {
		if end := c.endedQueue[c.endedHead]; c.ended[end.id] == end {
			delete(c.ended, end.id)
		}
		c.endedHead++
	}
	if 2*c.endedHead > len(c.endedQueue) { // compact rarely, as otherwise each call of Wake would copy the queue
		c.endedQueue = c.endedQueue[:copy(c.endedQueue, c.endedQueue[c.endedHead:])]
		c.endedHead = 0
	}
}

// lookUp returns a play by its ID, or why it ended.
func (c *Core) lookUp(id string) (playlog.EndReason, *play) { return c.ended[id].reason, c.plays[id] }

// fromThisEpoch tells whether a play was accepted by this run of the front end.
func (c *Core) fromThisEpoch(id string) bool {
	prefix := fmt.Sprintf("%s-%x-", c.name, c.epoch)
	return len(id) > len(prefix) && id[:len(prefix)] == prefix
}
