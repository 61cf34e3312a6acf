// Package session holds what one front end knows of its plays beside the decisions: which request
// waits for which answer, where each play runs, which names stand for which small numbers. It tells
// the module what happens and hands on what the module orders.
//
// Core does no I/O, has no clock and no goroutine, so that the same events give the same orders on
// sockets and in simulated time. Runner puts it on a goroutine of its own behind a bounded queue.
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
	endedKept = 1 << 16               // endings remembered at most: some 30 minutes at 33 plays a second
	endedFor  = 600 * decision.Second // and at longest; an older play's token has expired
	sweepMost = 64                    // idle numbers looked at in one wake, five times a second
)

// Ref names an allocation.
type Ref struct {
	Play    string
	Attempt int
	Node    int
}

// Allocation is what a node is asked to set up.
type Allocation struct {
	Ref
	Name    string // of the node
	Address string
	Product int
	Title   string
	Viewer  string
	Rung    int
	MaxRung int
	Seq     int   // of the rung; a node keeps to the highest it heard
	Until   int64 // then it is given up
	Length  int64 // guessed length; 0 is not told
}

// Transport carries out what the core orders, towards the playout nodes. It must not block, and each
// order comes to a call on the Core later: SetUp to Started or SetUpEnded, Probe to Probed, OpenStream to
// StreamBroke at the latest when CloseStream was called.
type Transport interface {
	SetUp(a Allocation)
	Cancel(r Ref)
	SetRung(r Ref, address string, rung, seq int)
	End(r Ref, address, why string)
	Probe(node int, address string)
	OpenStream(node int, address string, at int64)
	CloseStream(node int)
	// PlayStarted says that a play's viewer was told that it plays; back is the play whose token brought the viewer
	// and is used up, if any. Nothing comes of it, nor of the following two.
	PlayStarted(r Ref, product int, back string)
	// PlayFinished says that a play of which allocations were sent is over, and how, if it ever played.
	PlayFinished(play string, product int, how playlog.EndReason)
	// RecoveryDone says, once, that what may run of earlier lives of this front is known from the nodes alone.
	RecoveryDone()
}

// Expected is a play of an earlier life of this front that may still run, by its own record.
type Expected struct {
	Running
	Node     string // name of the node of its last allocation
	Answered bool   // its viewer was told that it plays
}

// NodeEntry is one line of the list of playout nodes, by name.
type NodeEntry = membership.Entry

// Running is a play that a node reports as running for this front.
type Running struct {
	Play      string
	Epoch     int64 // of the front's life that set it up
	Attempt   int
	Product   int // below 0 when this front knows no such product
	Title     string
	FirstCell int
	CellCount int
	Viewer    string
	Rung      int
	Seq       int // of the last order of a rung that it heard
	MaxRung   int
	TimeLeft  int64 // guessed time left; 0 is not told
}

// Request is a viewer's request for a play.
type Request struct {
	Product   int
	Title     string
	FirstCell int // first cell that holds the title
	CellCount int
	Viewer    string
	Deadline  int64 // when the client gives up
	Length    int64 // guessed; 0 is not told
	MaxRung   int
	Previous  *Previous // who it was before, by its token; nil for a first try
	Reply     *Reply
	OnEvent   func(Event) // hears of the play from its answer on; nil if nobody does
}

// Event is a change of a play that plays, for who follows it.
type Event struct {
	Ended  playlog.EndReason // empty while it plays
	Answer Answer            // as it is now; of an ended play only its id
}

// key tells requests for the same play apart from others.
func (a *Request) key() string { return a.Viewer + "\x00" + a.Title + "\x00" + strconv.Itoa(a.Product) }

// Previous is what a returning viewer's token says.
type Previous struct {
	Play         string
	NotDelivered bool // the viewer says that its playout node does not deliver
}

type stage uint8

const (
	waiting stage = iota
	settingUp
	playing
)

// play is a play in hand.
type play struct {
	id      string
	h       decision.Handle
	ask     Request
	title   int
	viewer  int
	stage   stage
	node    int
	life    int64 // of the node's process that runs it
	mark    int64 // of its start, in the node's own count
	try     int
	rung    int
	seq     int
	mayHave bool // an allocation that ended may have run
	left    bool // nobody waits for its answer any more
	adopted bool
	early   *decision.Outcome // its end, where that was told before its start
}

// follow lets another hear of the play, in place of who did.
func (p *play) follow(f func(Event)) {
	if f != nil {
		p.ask.OnEvent = f
	}
}

// number is the module's number of the last allocation: it counts from 0, for adopted plays too.
func (p *play) number() int {
	if p.adopted {
		return 0
	}
	return p.try
}

// release is a play to be let go at a time.
type release struct {
	id string
	at int64
}

type finished struct {
	id  string
	at  int64
	how playlog.EndReason
}

// node is a playout node that the front knows.
type node struct {
	name, address string
	phase         decision.Phase
	listed        bool
	followed      bool
	life          int64
	plays         int
	probing       bool
}

// Products says what the front's end must know of a product, by its number.
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

// Counts are what the core has seen since its start.
type Counts struct {
	Taken, Plays, Declined, Failed, Denied, Moved, Lost, Adopted, Orphans uint64
	InHand, Viewers, Titles, Nodes, Remembered                            int
	Ready                                                                 bool
}

// Core is one front end's plays. Its methods come one at a time, with a clock that never goes back.
type Core struct {
	name     string
	epoch    int64
	mod      decision.Policy
	out      Transport
	watch    *liveness.Monitor
	fleet    *membership.Fleet
	fleetAt  int64 // when the fleet is to be asked again; 0 is not by itself
	n        uint64
	plays    map[string]*play
	places   []*play // by place of the handle
	asking   map[string]*play
	titles   *intern.Table
	viewers  *intern.Table
	nodes    []node
	nodeAt   map[string]int
	freed    []int // node numbers that may name another
	products Products
	tell     func(to int, bytes []byte) // nil where fronts send each other nothing
	parting  bool
	expected []Expected       // until the first list
	atOnce   bool             // what was held before is known by record
	settled  bool             // it is known from the nodes
	unheard  map[string]*play // of earlier lives, by record, by what their viewers would ask for again
	releases []release
	ended    map[string]finished
	endings  []finished // in their order, from oldest on
	oldest   int
	list     []decision.Node
	listed   []int
	wakeAt   int64
	counts   Counts
}

// NewCore makes a core for a front's life. Epoch tells its lives apart and only grows; seed draws
// the pauses between dials. Products may be nil: all then count as paid.
func NewCore(now int64, name string, epoch int64, mod decision.Policy, out Transport, products Products, seed uint64) *Core {
	return &Core{products: products, name: name, epoch: epoch, mod: mod, out: out, watch: liveness.New(now, seed), fleet: membership.New(), wakeAt: now,
		plays: map[string]*play{}, asking: map[string]*play{}, unheard: map[string]*play{}, titles: intern.New(), viewers: intern.New(),
		nodeAt: map[string]int{}, ended: map[string]finished{}}
}

// WakeAt is when Wake wants to be called at the latest.
func (c *Core) WakeAt() int64 { return c.wakeAt }

// Counts returns a copy of what was seen so far.
func (c *Core) Counts() Counts {
	s := c.counts
	s.InHand, s.Viewers, s.Titles, s.Nodes = len(c.plays), c.viewers.Len(), c.titles.Len(), len(c.nodeAt)
	s.Remembered = len(c.ended)
	return s
}

// Recover says what an earlier life of this front recorded: what is open, and whose tokens are good no more. It
// comes before anything else. With the first list the open plays are taken over at their nodes, so that their
// seats count from then on; the nodes' words then settle which of them still run. A front whose records are
// whole need not wait for all nodes; lost counts those that are missing.
func (c *Core) Recover(now int64, open []Expected, past []playlog.EndedPlay, lost uint64) {
	c.expected, c.atOnce = open, recovery.Ready(true, lost)
	for _, p := range past {
		c.remember(now, p.Play, p.EndReason)
	}
}

// takeOver adopts what is expected. A play at a node that the list does not have has ended with it.
func (c *Core) takeOver(now int64) {
	for _, e := range c.expected {
		at, ok := c.nodeAt[e.Node]
		switch {
		case !ok || e.Product < 0:
			c.out.PlayFinished(e.Play, max(0, e.Product), playlog.Broken)
		case c.plays[e.Play] == nil:
			p := c.adopt(now, at, 0, 0, e.Running)
			if recovery.ResolveRequest(recovery.Recorded, e.Answered, true) != recovery.Fresh {
				c.unheard[p.ask.key()] = p
			}
		}
	}
	c.expected = nil
}

// Ready tells whether the front may take plays.
func (c *Core) Ready(now int64) bool {
	if !c.settled && c.watch.Ready(now, c.listed) {
		c.settled = true
		c.out.RecoveryDone()
	}
	c.counts.Ready = c.settled || c.atOnce && c.expected == nil && len(c.listed) > 0
	return c.counts.Ready
}

// again answers a fresh request by what may run of an earlier life, and tells whether it did.
func (c *Core) again(now int64, a Request) bool {
	p := c.unheard[a.key()]
	if p == nil {
		return false
	}
	switch recovery.ResolveRequest(c.standing(p.id, Ref{p.id, p.try, p.node}), false, true) {
	case recovery.Resume:
		p.follow(a.OnEvent)
		if a.Reply.Resolve(c.answer(p, "plays already")) {
			c.heard(p)
		}
		return true
	case recovery.Wait:
		c.counts.Denied++
		a.Reply.Resolve(Answer{Verdict: Denied, Reason: "an earlier play of this request may still run", Busy: true, RetryAfter: decision.Second})
		return true
	}
	return false
}

// heard says that the viewer of a play was told.
func (c *Core) heard(p *play) {
	back := ""
	if p.ask.Previous != nil {
		back = p.ask.Previous.Play
	}
	c.out.PlayStarted(Ref{p.id, p.try, p.node}, p.ask.Product, back)
	if k := p.ask.key(); c.unheard[k] == p {
		delete(c.unheard, k)
	}
}

// standing is what is held of an allocation that a node speaks of.
func (c *Core) standing(id string, r Ref) recovery.State {
	switch p := c.plays[id]; {
	case p == nil && c.ended[id].how != "":
		return recovery.Ended
	case p == nil:
		return recovery.Unknown
	case p.node != r.Node || p.try != r.Attempt || p.stage == waiting:
		return recovery.Elsewhere
	case p.adopted && p.life == 0:
		return recovery.Recorded
	}
	return recovery.Held
}

// RequestPlay brings a viewer's request. Exactly one answer is given to its reply, now or later, unless the
// reply is withdrawn first.
func (c *Core) RequestPlay(now int64, a Request) {
	if c.parting {
		a.Reply.Resolve(Answer{Verdict: Declined, Reason: "the front is ending", RetryAfter: decision.Second})
		c.counts.Declined++
		return
	}
	if !c.Ready(now) {
		a.Reply.Resolve(Answer{Verdict: Declined, Reason: "the front is starting", RetryAfter: decision.Second})
		c.counts.Declined++
		return
	}
	isMoved := false
	if a.Previous != nil {
		how, p := c.recall(a.Previous.Play)
		switch {
		case p != nil && p.stage == playing && !a.Previous.NotDelivered:
			if a.Title == p.ask.Title {
				p.follow(a.OnEvent)
				a.Reply.Resolve(c.answer(p, "plays already"))
			} else {
				c.deny(a, "the token is of another title")
			}
			return
		case p != nil && p.stage == playing:
			c.nodeGaveUp(now, p)
		case p != nil:
			c.deny(a, busy)
			return
		case how == playlog.Served:
			c.deny(a, "the play has ended")
			return
		case how == playlog.Returned:
			c.deny(a, "the token was used to come back already")
			return
		case how == "" && c.ownLife(a.Previous.Play):
			c.deny(a, "the play ended long ago")
			return
		}
		isMoved = how == playlog.Moved
	}
	if a.Previous == nil && c.again(now, a) {
		return
	}
	key := a.key()
	if c.asking[key] != nil {
		c.deny(a, busy)
		return
	}
	c.n++
	p := &play{id: fmt.Sprintf("%s-%x-%d", c.name, c.epoch, c.n), ask: a, title: c.titles.Acquire(a.Title),
		viewer: c.viewers.Acquire(a.Viewer)}
	c.plays[p.id], c.asking[key] = p, p
	c.counts.Taken++
	h, res := c.mod.AddPlay(now, decision.Request{Product: a.Product, Title: p.title, Viewer: p.viewer, Deadline: a.Deadline,
		Length: a.Length, FirstCell: a.FirstCell, CellCount: a.CellCount, MaxRung: a.MaxRung, Key: decision.HashName(a.Title), Moved: isMoved, Retry: a.Previous != nil})
	c.enter(p, h)
	c.carry(now, res)
}

const busy = "the same viewer's request is being answered"

func (c *Core) deny(a Request, why string) {
	c.counts.Denied++
	a.Reply.Resolve(Answer{Verdict: Denied, Reason: why, Busy: why == busy})
}

// Subscribe lets a viewer who was away hear of its play again, in place of who did. It returns the play as it is now,
// if it plays, or how it ended, if that is remembered; neither if this front does not know it.
func (c *Core) Subscribe(id string, f func(Event)) (ans Answer, plays bool, how playlog.EndReason) {
	how, p := c.recall(id)
	if p == nil || p.stage != playing {
		return Answer{}, false, how
	}
	p.follow(f)
	return c.answer(p, ""), true, ""
}

// Unsubscribe says that nobody hears of a play any more.
func (c *Core) Unsubscribe(id string) {
	if p := c.plays[id]; p != nil {
		p.ask.OnEvent = nil
	}
}

// RequestWithdrawn says that nobody waits for a request's answer any more, as its client left or its time
// ran out. A play that was answered meanwhile is ended.
func (c *Core) RequestWithdrawn(now int64, r *Reply) {
	for _, p := range c.asking { // at most one has this reply
		if p.ask.Reply == r {
			c.leave(now, p)
			return
		}
	}
}

// leave takes a play from its viewer.
func (c *Core) leave(now int64, p *play) {
	if p.left {
		return
	}
	p.left = true
	res := c.mod.ViewerLeft(now, p.h)
	if p.stage == waiting {
		c.finish(now, p, playlog.Served)
	}
	c.carry(now, res)
}

// EndPlay ends a play whose answer did not reach its viewer, or whom the viewer ended.
func (c *Core) EndPlay(now int64, id string) {
	p := c.plays[id]
	if p == nil {
		return
	}
	if p.stage == playing {
		c.endAt(now, p, "viewer left", decision.Canceled, playlog.Served)
		return
	}
	c.leave(now, p)
}

// endAt ends a playing play at its node and for the module.
func (c *Core) endAt(now int64, p *play, why string, how decision.Outcome, as playlog.EndReason) {
	c.out.End(Ref{p.id, p.try, p.node}, c.nodes[p.node].address, why)
	res := c.mod.AttemptEnded(now, p.h, p.number(), how, true, decision.UnknownLoad)
	c.finish(now, p, as)
	c.carry(now, res)
}

// NotDelivered says that a viewer is not delivered: its play ends there, to be placed anew when it asks again.
func (c *Core) NotDelivered(now int64, id string) {
	if p := c.plays[id]; p != nil && p.stage == playing {
		c.nodeGaveUp(now, p)
	}
}

// nodeGaveUp takes a viewer's word that the node does not deliver.
func (c *Core) nodeGaveUp(now int64, p *play) {
	c.counts.Lost++
	c.endAt(now, p, "viewer says it broke", decision.ConnectionLost, playlog.Broken)
}

// Started says that a node set an allocation up, in which life of its process, with which mark of
// its own count of starts, and at which rung it plays.
func (c *Core) Started(now int64, r Ref, life, mark int64, rung int, load decision.Load) {
	p := c.at(r, settingUp)
	if p == nil {
		c.orphan(r)
		return
	}
	p.stage, p.life, p.mark = playing, life, mark
	c.free(p)
	if p.left { // the module still counts a set-up: its end is called off
		c.endAt(now, p, "viewer left", decision.Canceled, playlog.Served)
		return
	}
	c.carry(now, c.mod.AttemptStarted(now, p.h, r.Attempt))
	if c.plays[p.id] == nil {
		return
	}
	if load != decision.UnknownLoad {
		c.carry(now, c.mod.LoadReported(now, p.h, load))
	}
	if rung != p.rung { // an order to change it overtook the set-up
		p.seq++
		c.out.SetRung(r, c.nodes[p.node].address, p.rung, p.seq)
	}
	if !p.ask.Reply.Resolve(c.answer(p, "")) { // withdrawn in the same moment: nobody will watch it
		c.endAt(now, p, "viewer left", decision.Canceled, playlog.Served)
		return
	}
	c.counts.Plays++
	c.heard(p)
	if p.ask.Previous != nil { // its token is used up only now: a viewer declined may try again with it
		c.remember(now, p.ask.Previous.Play, playlog.Returned)
	}
	if p.early != nil {
		c.PlayEnded(now, r, *p.early)
	}
}

// orphan ends what a node runs and this front knows nothing of, or gave up.
func (c *Core) orphan(r Ref) {
	c.counts.Orphans++
	if r.Node < len(c.nodes) && c.nodes[r.Node].address != "" {
		c.out.End(r, c.nodes[r.Node].address, "given up before")
	}
}

// SetUpEnded says how a set-up ended that did not start.
func (c *Core) SetUpEnded(now int64, r Ref, how decision.Outcome, load decision.Load) {
	p := c.at(r, settingUp)
	if p == nil {
		return
	}
	p.stage = waiting
	p.mayHave = p.mayHave || how.MayHaveRun()
	c.nodes[p.node].plays--
	res := c.mod.AttemptEnded(now, p.h, r.Attempt, how, p.left, load)
	if p.left {
		c.finish(now, p, playlog.Served)
	}
	c.carry(now, res)
}

// PlayEnded says that a node ended a play: Served when its time was over or its viewer stopped.
func (c *Core) PlayEnded(now int64, r Ref, how decision.Outcome) {
	if p := c.at(r, settingUp); p != nil { // the stream overtook the answer to the set-up
		p.early = &how
		return
	}
	if p := c.at(r, playing); p != nil {
		as := playlog.Served
		if how != decision.Served {
			as = playlog.Broken
			c.counts.Lost++
		}
		res := c.mod.AttemptEnded(now, p.h, p.number(), how, true, decision.UnknownLoad)
		c.finish(now, p, as)
		c.carry(now, res)
	}
}

// DeliveryReported brings the share of its rate that a play is delivered.
func (c *Core) DeliveryReported(now int64, r Ref, share float64) {
	if p := c.at(r, playing); p != nil {
		c.carry(now, c.mod.DeliveryReported(now, p.h, share))
	}
}

// LoadReported brings a note of what is asked of the link or uplink of a play's node.
func (c *Core) LoadReported(now int64, r Ref, load decision.Load) {
	if p := c.at(r, playing); p != nil {
		c.carry(now, c.mod.LoadReported(now, p.h, load))
	}
}

// ProbeEnded brings the end of a probe.
func (c *Core) ProbeEnded(now int64, at int, how decision.Outcome, load decision.Load) {
	if at < len(c.nodes) && c.nodes[at].probing {
		c.nodes[at].probing = false
		c.carry(now, c.mod.ProbeEnded(now, at, how, load))
	}
}

// StreamOpened brings the first word of a stream from a node: what it calls itself, which life of its process it is, its count
// of starts, and what it runs for this front. Plays of an earlier life of this front are adopted,
// those that this life gave up are ended, and those that the node does not run any more are lost.
func (c *Core) StreamOpened(now int64, at int, calls string, life, mark int64, runs []Running) {
	if at >= len(c.nodes) || !c.nodes[at].followed {
		return
	}
	c.fleet.Confirmed(now, c.nodes[at].name, calls)
	defer c.learn(now)
	if calls != "" && calls != c.nodes[at].name { // another node at its address: what that one runs is no business of this one's
		return
	}
	c.watch.StreamOpened(now, at)
	c.nodes[at].life = life
	still := make(map[string]bool, len(runs))
	for _, r := range runs {
		still[r.Play] = true
		switch recovery.Reconcile(c.standing(r.Play, Ref{r.Play, r.Attempt, at}), r.Epoch < c.epoch, r.Product >= 0) {
		case recovery.Confirm:
			p := c.plays[r.Play]
			p.life, p.mark, p.seq, p.rung = life, mark, r.Seq, r.Rung
			c.carry(now, c.mod.RungReported(now, p.h, r.Rung))
		case recovery.Adopt:
			c.adopt(now, at, life, mark, r)
		case recovery.End:
			c.orphan(Ref{Play: r.Play, Attempt: r.Attempt, Node: at})
		}
	}
	for _, p := range c.runningAt(at) {
		if !still[p.id] && recovery.MissingIsOver(p.life == life, p.mark <= mark) {
			c.PlayEnded(now, Ref{p.id, p.try, at}, decision.ConnectionLost)
		}
	}
}

func (c *Core) adopt(now int64, at int, life, mark int64, r Running) *play {
	c.counts.Adopted++
	p := &play{id: r.Play, stage: playing, node: at, life: life, mark: mark, try: r.Attempt, rung: r.Rung, seq: r.Seq,
		adopted: true, title: c.titles.Acquire(r.Title), viewer: c.viewers.Acquire(r.Viewer),
		ask: Request{Product: r.Product, Title: r.Title, FirstCell: r.FirstCell, CellCount: r.CellCount, Viewer: r.Viewer, MaxRung: r.MaxRung,
			Length: r.TimeLeft}}
	c.plays[p.id] = p
	c.nodes[at].plays++
	h, res := c.mod.AdoptPlay(now, decision.Request{Product: r.Product, Title: p.title, Viewer: p.viewer, Deadline: now,
		Length: r.TimeLeft, FirstCell: r.FirstCell, CellCount: r.CellCount, MaxRung: r.MaxRung, Key: decision.HashName(r.Title)}, at)
	c.enter(p, h)
	c.carry(now, res)
	c.carry(now, c.mod.RungReported(now, p.h, r.Rung))
	return p
}

// SetSender sets how messages to other fronts are sent; it must not block, nor keep the bytes. Without it none are.
func (c *Core) SetSender(tell func(to int, bytes []byte)) { c.tell = tell }

// MessageReceived brings a message of another front.
func (c *Core) MessageReceived(now int64, from int, bytes []byte) {
	c.carry(now, c.mod.MessageReceived(now, from, bytes))
}

// StreamActive says that something came on a node's stream.
func (c *Core) StreamActive(now int64, at int) { c.watch.StreamActive(now, at) }

// StreamBroke says that a stream ended or could not be opened; gone, that the connection was refused
// outright, so that no process is there.
func (c *Core) StreamBroke(now int64, at int, gone bool) {
	if at >= len(c.nodes) || !c.nodes[at].followed {
		return
	}
	c.fleet.Disconnected(now, c.nodes[at].name)
	defer c.learn(now)
	dialAt, ended := c.watch.StreamBroke(now, at, gone)
	if ended {
		c.loseAll(now, at)
	}
	c.follow(now, at, dialAt)
}

// loseAll ends the plays of a node that can't run them any more.
func (c *Core) loseAll(now int64, at int) {
	for _, p := range c.runningAt(at) {
		c.PlayEnded(now, Ref{p.id, p.try, at}, decision.ConnectionLost)
	}
}

// runningAt are the plays that play at a node, in the order of their places.
func (c *Core) runningAt(at int) (on []*play) {
	if c.nodes[at].plays == 0 {
		return nil
	}
	for _, p := range c.places {
		if p != nil && p.stage == playing && p.node == at {
			on = append(on, p)
		}
	}
	return on
}

// follow keeps the stream of a node open while the list has it or plays run there.
func (c *Core) follow(now int64, at int, dialAt int64) {
	n := &c.nodes[at]
	n.followed = n.listed || n.plays > 0
	if n.followed {
		c.out.OpenStream(at, n.address, dialAt)
	}
}

// UpdateList brings the whole list of nodes, or what changed of it, from a list service that counts no versions.
func (c *Core) UpdateList(now int64, lines []NodeEntry, whole bool) {
	c.UpdateMembership(now, membership.Update{Source: membership.List, Full: whole, Entries: lines})
}

// UpdateMembership brings what a source says of the fleet, and tells whether it counts.
func (c *Core) UpdateMembership(now int64, w membership.Update) bool {
	counts := c.fleet.Apply(now, w)
	c.learn(now)
	return counts
}

// NodeStates are what the front believes of its fleet.
func (c *Core) NodeStates(now int64) []membership.NodeState { return c.fleet.NodeStates(now) }

// ListReceived tells that the list service has spoken in this life.
func (c *Core) ListReceived() bool { return c.fleet.HasReported(membership.List) }

// ListSnapshot is the list as it is worth writing down.
func (c *Core) ListSnapshot() (version int64, lines []NodeEntry) { return c.fleet.Snapshot() }

// learn takes over what the membership holds now.
func (c *Core) learn(now int64) {
	lines, wake := c.fleet.Due(now)
	c.fleetAt = wake
	if wake > 0 && (c.wakeAt == 0 || wake < c.wakeAt) {
		c.wakeAt = wake
	}
	if len(lines) > 0 {
		c.take(now, lines)
	}
}

// take tells the module and the streams of nodes that changed.
func (c *Core) take(now int64, lines []NodeEntry) {
	c.list = c.list[:0]
	for _, l := range lines {
		at, ok := c.nodeAt[l.Name]
		if !ok {
			if l.Phase == decision.Gone {
				continue
			}
			at = c.newNode(l.Name)
		}
		n := &c.nodes[at]
		n.listed, n.phase = l.Phase != decision.Gone, l.Phase
		if n.address != l.Address && n.followed {
			c.out.CloseStream(at) // dialled again at its new address once the old stream has ended
		}
		n.address = l.Address
		if !n.followed && n.listed {
			c.follow(now, at, c.watch.FirstDial(now, len(lines)))
		}
		c.list = append(c.list, decision.Node{Index: at, Phase: l.Phase, Kind: l.Kind, Zone: l.Zone, Cell: l.Cell,
			StartedAt: l.StartedAt, Weight: l.Weight, Key: decision.HashName(n.name)})
	}
	c.listed = c.listed[:0]
	for i := range c.nodes {
		if c.nodes[i].listed {
			c.listed = append(c.listed, i)
		}
	}
	c.carry(now, c.mod.UpdateNodes(now, c.list, false))
	if len(c.expected) > 0 && len(c.listed) > 0 {
		c.takeOver(now)
	} else if len(c.listed) > 0 {
		c.expected = nil
	}
}

func (c *Core) newNode(name string) (at int) {
	if k := len(c.freed); k > 0 {
		at, c.freed = c.freed[k-1], c.freed[:k-1]
	} else {
		at = len(c.nodes)
		c.nodes = append(c.nodes, node{})
	}
	c.nodes[at] = node{name: name}
	c.nodeAt[name] = at
	return at
}

// Wake does what is due: the module's own checks, streams gone silent, and numbers to give back.
func (c *Core) Wake(now int64) {
	c.wakeAt = 0
	c.carry(now, c.mod.Wake(now))
	if c.fleetAt > 0 {
		c.learn(now)
	}
	c.letGo(now)
	for at := range c.nodes {
		n := &c.nodes[at]
		if n.name == "" {
			continue
		}
		if n.followed && c.watch.Silent(now, at) {
			c.out.CloseStream(at)
		}
		if c.watch.LeaseExpired(now, at) {
			c.loseAll(now, at)
		}
		if !n.listed && n.plays == 0 && !n.probing {
			if n.followed {
				n.followed = false
				c.out.CloseStream(at)
			}
			if c.mod.ForgetNode(now, at) {
				delete(c.nodeAt, n.name)
				c.watch.Forget(at)
				*n = node{}
				c.freed = append(c.freed, at)
			}
		}
	}
	c.viewers.Sweep(sweepMost, func(i int) bool { return c.mod.ForgetViewer(now, i) })
	c.titles.Sweep(sweepMost, func(int) bool { return true })
	c.forget(now)
}

// ---- The front's end ----

// BeginShutdown begins an orderly end: nothing new is taken, and what is not waited for until the end is answered.
func (c *Core) BeginShutdown(now, end int64) {
	c.parting = true
	for _, p := range c.unanswered() {
		c.giveUp(now, p, shutdown.Decide(now, end, c.request(p)))
	}
}

// Close answers what still waits for an answer, as the front can't wait longer.
func (c *Core) Close(now int64) {
	c.parting = true
	for _, p := range c.unanswered() {
		c.giveUp(now, p, shutdown.Expired(c.request(p)))
	}
}

// ReleasePlays lets the plays that play go, one by one up to a time, as nobody takes this front's place.
func (c *Core) ReleasePlays(now, end int64) {
	var plays []shutdown.Play
	var ids []string
	for i, p := range c.places {
		if p != nil && p.stage == playing {
			plays = append(plays, shutdown.Play{Importance: c.importance(p.ask.Product), Key: i})
			ids = append(ids, p.id)
		}
	}
	order, at := shutdown.Release(now, end, plays)
	for i, o := range order {
		c.releases = append(c.releases, release{ids[o], at[i]})
	}
	c.letGo(now)
}

// letGo ends the plays whose time has come.
func (c *Core) letGo(now int64) {
	for len(c.releases) > 0 && c.releases[0].at <= now {
		if p := c.plays[c.releases[0].id]; p != nil && p.stage == playing {
			c.endAt(now, p, "the front retires", decision.Canceled, playlog.Broken)
		}
		c.releases = c.releases[1:]
	}
}

func (c *Core) unanswered() (all []*play) {
	for _, p := range c.places {
		if p != nil && p.stage != playing && !p.left {
			all = append(all, p)
		}
	}
	return all
}

func (c *Core) request(p *play) shutdown.Request {
	return shutdown.Request{Deadline: p.ask.Deadline, Paid: c.paid(p.ask.Product), InFlight: p.stage == settingUp, MayHaveRun: p.mayHave}
}

func (c *Core) giveUp(now int64, p *play, v shutdown.Verdict) {
	switch v {
	case shutdown.Wait:
		return
	case shutdown.Fail:
		c.counts.Failed++
		p.ask.Reply.Resolve(Answer{Verdict: Failed, Play: p.id, Reason: "the front is ending"})
	case shutdown.Decline:
		c.counts.Declined++
		p.ask.Reply.Resolve(Answer{Verdict: Declined, Play: p.id, Reason: "the front is ending", RetryAfter: decision.Second})
	}
	c.leave(now, p)
}

// ---- What the module ordered ----

// carry hands on what a call decided, and then does what follows from it.
func (c *Core) carry(now int64, res *decision.Result) {
	if res.WakeAt > 0 && (c.wakeAt == 0 || res.WakeAt < c.wakeAt) { // a later call must not put off what an earlier one needs
		c.wakeAt = res.WakeAt
	}
	var moves []*play
	for i := range res.Orders {
		o := &res.Orders[i]
		p := c.places[o.Play.Index]
		switch o.Action {
		case decision.Place:
			p.stage, p.node, p.rung, p.early = settingUp, o.Node, o.Rung, nil
			p.try++
			n := &c.nodes[o.Node]
			n.plays++
			c.out.SetUp(Allocation{Ref: Ref{p.id, p.try, o.Node}, Name: n.name, Address: n.address, Product: p.ask.Product,
				Title: p.ask.Title, Viewer: p.ask.Viewer, Rung: o.Rung, MaxRung: p.ask.MaxRung, Seq: p.seq, Until: o.Until,
				Length: p.ask.Length})
		case decision.Decline:
			c.counts.Declined++
			p.ask.Reply.Resolve(Answer{Verdict: Declined, Play: p.id, RetryAfter: o.RetryAfter, Reason: "no node can take it"})
			c.finish(now, p, playlog.Served)
		case decision.Fail:
			c.counts.Failed++
			p.ask.Reply.Resolve(Answer{Verdict: Failed, Play: p.id, Reason: "its set-up may have run and did not answer"})
			c.finish(now, p, playlog.Served)
		case decision.SetRung:
			p.rung = o.Rung
			p.seq++
			if p.stage == playing && p.ask.OnEvent != nil {
				p.ask.OnEvent(Event{Answer: c.answer(p, "")})
			}
			c.out.SetRung(Ref{p.id, p.try, p.node}, c.nodes[p.node].address, o.Rung, p.seq)
		case decision.Move:
			moves = append(moves, p)
		case decision.Cancel:
			c.out.Cancel(Ref{p.id, o.Attempt, p.node})
		}
	}
	for _, at := range res.Probes {
		c.nodes[at].probing = true
		c.out.Probe(at, c.nodes[at].address)
	}
	if c.tell != nil {
		for _, t := range res.Messages {
			c.tell(t.To, t.Bytes)
		}
	}
	for _, p := range moves { // the result is not read any more: the module may be called again
		c.counts.Moved++
		c.endAt(now, p, "moved", decision.Canceled, playlog.Moved)
	}
}

// ---- Records ----

func (c *Core) enter(p *play, h decision.Handle) {
	if !p.adopted {
		p.try = -1
	}
	p.h = h
	for int(h.Index) >= len(c.places) {
		c.places = append(c.places, nil)
	}
	c.places[h.Index] = p
}

// at is the play of an allocation if that is its last and it is in this stage.
func (c *Core) at(r Ref, s stage) *play {
	if p := c.plays[r.Play]; p != nil && p.try == r.Attempt && p.node == r.Node && p.stage == s {
		return p
	}
	return nil
}

func (c *Core) answer(p *play, why string) Answer {
	n := &c.nodes[p.node]
	return Answer{Verdict: Plays, Play: p.id, Node: n.name, Address: n.address, Title: p.ask.Title,
		Product: p.ask.Product, Viewer: p.ask.Viewer, Rung: p.rung, MaxRung: p.ask.MaxRung, Reason: why}
}

// free lets the same viewer ask for the title again.
func (c *Core) free(p *play) {
	if key := p.ask.key(); c.asking[key] == p {
		delete(c.asking, key)
	}
}

// finish drops a play that the module has dropped.
func (c *Core) finish(now int64, p *play, how playlog.EndReason) {
	if c.plays[p.id] != p {
		return
	}
	if p.stage != waiting {
		c.nodes[p.node].plays--
	}
	c.free(p)
	if k := p.ask.key(); c.unheard[k] == p {
		delete(c.unheard, k)
	}
	delete(c.plays, p.id)
	c.places[p.h.Index] = nil
	c.titles.Release(p.title)
	c.viewers.Release(p.viewer)
	if p.stage == playing { // nobody holds a token of another
		c.remember(now, p.id, how)
		if p.ask.OnEvent != nil {
			p.ask.OnEvent(Event{Ended: how, Answer: Answer{Play: p.id}})
		}
	} else {
		how = ""
	}
	if p.try >= 0 {
		c.out.PlayFinished(p.id, p.ask.Product, how)
	}
}

// remember keeps how a play ended for those who come back with its token, as long as one is good.
func (c *Core) remember(now int64, id string, how playlog.EndReason) {
	f := finished{id, now, how}
	c.ended[id] = f
	c.endings = append(c.endings, f)
	if len(c.ended) > endedKept {
		c.forget(now)
	}
}

func (c *Core) forget(now int64) {
	old := func(f finished) bool { return now-f.at > endedFor || len(c.endings)-c.oldest > endedKept }
	for c.oldest < len(c.endings) && old(c.endings[c.oldest]) {
		if f := c.endings[c.oldest]; c.ended[f.id] == f {
			delete(c.ended, f.id)
		}
		c.oldest++
	}
	if 2*c.oldest > len(c.endings) { // moved down seldom, or each wake would copy them all
		c.endings = c.endings[:copy(c.endings, c.endings[c.oldest:])]
		c.oldest = 0
	}
}

// recall is what is known of a play by its id.
func (c *Core) recall(id string) (playlog.EndReason, *play) { return c.ended[id].how, c.plays[id] }

// ownLife tells that a play was taken by this life of this front.
func (c *Core) ownLife(id string) bool {
	prefix := fmt.Sprintf("%s-%x-", c.name, c.epoch)
	return len(id) > len(prefix) && id[:len(prefix)] == prefix
}
