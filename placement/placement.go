// Package placement is the policy of a front end: it decides on which node and at which rung plays are placed, and
// when they are moved or ended.
//
// The front end makes one Policy with New and tells it all it learns through the calls of decision.Policy:
// package decision holds that interface and its words. Each call returns the orders to carry out, the nodes to
// probe, messages to other fronts and when to call Wake at the latest. Nothing else is read: no clock, no
// wire. Messages may all be lost: no rule rests on one. state.go holds the records, book.go enters plays
// and walks lists; neither decides. docs/design.md has the reasons, docs/oncall.md the symptoms. In this
// order: constants, calls, placing, account and messages, rungs in play, health, the six rules.
package placement

import (
	"encoding/binary"
	"math"

	"gullrail/decision"
	"gullrail/internal/pcg"
)

const (
	ms    = decision.Millisecond
	sec   = decision.Second
	never = -1 << 50 // a time long past

	// The mechanism, as the design page has it.
	epsFloor  = 0.05      // of set-ups: the paper's best limit of exploration
	tieWidth  = 0.1       // payoff: kinds this near the best mean are as good
	roomMark  = 0.85      // asked over given: set-ups and steps up stay under it
	payoffAt  = 10 * sec  // after its start a play's payoff is taken
	skipFor   = 10 * sec  // a node left or failed is passed over so long
	checkGap  = 2 * sec   // two checks so far apart make a link short
	shedEvery = 10 * sec  // one play leaves a short link in this time
	moveEvery = 300 * sec // a viewer is moved no more often
	upEvery   = 10 * sec  // a play steps up no more often

	// Ours, where the design is silent.
	overMark    = 0.95      // asked over given: steps down begin, as on the design page
	cutTo       = 0.92      // asked over given that they aim at: clear of stalls, no see-saw with roomMark
	fullMark    = 1.0       // asked over given: past it a play more costs all there more than it earns
	fullFor     = 4 * sec   // an older figure turns nobody away
	rungSpacing = 1.0       // rungs a play may start or rise to over the mean of those that could rise
	blindRungs  = 0.5       // the same on a node of which nothing is known: the mean, rounded
	closeRungs  = 0.7       // in place of both, where the mean is that of many fronts
	behind      = 0.7       // of the average asked of links: one under it after a step may exceed the reach
	swapGain    = 3.0       // a step up must earn this many times its price
	leastLeft   = 20 * sec  // an untold length: as much is left as has played, this at least
	shortUnder  = 0.98      // share of rate: below it a play loses worth
	shortHolds  = 1500 * ms // a note of shortage, due each second, counts this long
	alike       = 0.1       // shares this near tell of one cause
	regain      = 25 * sec  // a link seen short counts as giving twice as much again after this
	fades       = 20 * sec  // an older figure says no more of a link than what links are asked on average
	usualOver   = 10.0      // figures that this average goes over
	crowd       = 0.75      // of own changes since a report: what the others, if many, are taken to add
	atBottom    = 0.2       // rungs over the lowest level that there can be: all who can have stepped down
	joinFrom    = 2.0       // viewers expected on a stream from which one more counts as joining it
	gatherPart  = 0.5       // of a link that the viewers of one live title, gathered, are to ask
	nearRoom    = 0.1       // of the most room: holders this near are equals, drawn at random
	wakeEvery   = 200 * ms  // pace of checks: well under a second, and cheap
	settle      = 1500 * ms // beyond the notes' lag: smoothed, they take as long to show a change
	freshFor    = 1500 * ms // an older report is asked again before a step up
	recheck     = 32 * sec  // an older figure that keeps one own play down is asked again; of two, twice as soon
	reportLag   = 600 * ms  // a report may lack what was set up this short before it, a note its lag more
	looks       = 4         // holders looked at before a set-up where fronts tell each other
	probeLooks  = 2         // the same by probes, which have a price
	heardFor    = 15 * sec  // without a message, then none is waited for; twice it, told levels go
	lookFor     = 100 * ms  // a play waits no longer for an answer to its look
	perPlay     = 0.7       // probes earned by each play taken, which keeps their price near its unit
	probeStore  = 20.0      // probes saved up at most: one look at a fleet
	firstShare  = 0.5       // of the time to the first-frame target one allocation may take: leaves one more
	holdShare   = 0.4       // of the first-frame target a play may wait for a cold or full node's turn
	refusedFor  = 1 * sec   // a node that refused as full is left alone, doubled for each in a row
	doublings   = 2         // of refusedFor at most: 4 s, as long as late reports call it empty
	giveEvery   = 4         // turns of a cold node to one leave of its keeper
	coldMargin  = 1.3       // how far under the cold allowance all fronts together stay
	budgetEdge  = 20 * ms   // kept clear at either end of the budget's window

	// What fronts tell each other: a kind, a node's key, and but for questions what is asked of its link and
	// its uplink, how old that is, and the level of the plays of who tells.
	asksFor   = 'a'
	figures   = 'f'
	leave     = 'l'      // figures, and the leave to set up one play on a cold node
	untold    = 255      // a figure that the teller does not have
	askedUnit = 64.0     // steps of a figure to 1, up to about 4
	ageUnit   = 100 * ms // of a figure's age, up to 25 s
	levelUnit = 16.0     // steps of a level to a rung
	levelBase = 4.0      // rungs: the lowest level that can be told is so far below 0
	levelOf   = 20.0     // levels told that their mean goes over, beside own plays
	trustOf   = 4.0      // levels told from which the mean is held to be the fleet's
)

// New makes a front from its settings, a map of names to numbers, and a seed.
func New(set map[string][]float64, seed uint64) *Policy {
	f := &Policy{set: set, rnd: pcg.New(seed), probes: probeStore, born: math.MaxInt64, keys: map[uint32]int{}}
	f.racks = make([]rack, max(1, int(f.val("racks"))))
	f.cells = make([][]int, max(1, int(f.val("cells"))))
	f.kinds = make([]kind, len(set["kind.streams"]))
	f.lifts = f.earnings()
	return f
}

// ---- Calls ----

func (f *Policy) end(now int64) *decision.Result {
	f.res.WakeAt = now + wakeEvery
	if len(f.waiting) > 0 { // for looks, mostly: not longer than they take
		f.res.WakeAt = now + lookFor
	}
	return &f.res
}

// UpdateNodes follows the list. What a full list lacks is gone.
func (f *Policy) UpdateNodes(now int64, list []decision.Node, whole bool) *decision.Result {
	f.begin()
	f.born = min(f.born, now)
	for i := range f.nodes {
		if whole && f.nodes[i].listed {
			f.nodes[i].listed, f.nodes[i].unlistedAt = false, now
		}
	}
	for _, l := range list {
		n := f.known(l.Index)
		if l.StartedAt > n.started { // a fresh process: cold, healthy, its load unknown
			n.slot, n.link, n.seen, n.strikes, n.skipUntil = -1, account{}, memory{}, 0, 0
		}
		n.listed = l.Phase != decision.Gone
		if !n.listed {
			n.unlistedAt = now
		}
		n.phase, n.kind, n.zone, n.cell = l.Phase, l.Kind, l.Zone, l.Cell
		n.rack, n.started, n.weight, n.key = l.Cell%len(f.racks), l.StartedAt, l.Weight, l.Key
		f.keys[l.Key] = l.Index
	}
	f.relist()
	return f.end(now)
}

// AddPlay accepts a play and places it, lets it wait or answers it.
func (f *Policy) AddPlay(now int64, w decision.Request) (decision.Handle, *decision.Result) {
	f.begin()
	h, p := f.accept(now, w)
	f.taken = append(since(f.taken, now-int64(f.val("budget.over"))+budgetEdge), now)
	f.probes = min(probeStore, f.probes+perPlay)
	f.place(now, h, p)
	return h, f.end(now)
}

func (f *Policy) accept(now int64, w decision.Request) (decision.Handle, *ply) {
	for w.Viewer >= len(f.viewers) {
		f.viewers = append(f.viewers, unmet)
	}
	h, p := f.plays.Add()
	*p = ply{want: w, try: -1, taken: now, sent: never, raised: now - upEvery}
	p.rung = f.floor(p)
	return h, p
}

// AdoptPlay takes over a play that plays already.
func (f *Policy) AdoptPlay(now int64, w decision.Request, at int) (decision.Handle, *decision.Result) {
	f.begin()
	h, p := f.accept(now, w)
	f.known(at)
	p.try, p.stage, p.started = 0, playing, now
	f.bind(h, p, at)
	return h, f.end(now)
}

// AttemptStarted moves a play from set-up to playing; the node has proved itself.
func (f *Policy) AttemptStarted(now int64, h decision.Handle, try int) *decision.Result {
	f.begin()
	if p := f.plays.Get(h); p != nil && p.stage == settingUp && p.try == try {
		p.stage, p.started = playing, now
		n := &f.nodes[p.node]
		n.strikes = 0
		if n.lostAt > f.warmsFrom(p.node) { // back, and cold again before the list says so
			n.backAt, n.slot = now, -1
		}
	}
	return f.end(now)
}

// AttemptEnded takes in how an allocation ended, and places the play again where that is owed and safe.
func (f *Policy) AttemptEnded(now int64, h decision.Handle, try int, how decision.Outcome, over bool,
	load decision.Load) *decision.Result {
	f.begin()
	p := f.plays.Get(h)
	if p == nil || p.stage == held || p.try != try {
		return f.end(now)
	}
	at, was := p.node, p.stage
	f.unbind(h, p)
	if f.report(now, at, load, reportLag, 0) {
		f.tell(now, f.keeper(at), at, figures)
	}
	if how != decision.Served && how != decision.NotSent && was != deserted {
		f.viewers[p.want.Viewer].left, f.viewers[p.want.Viewer].leftAt = at+1, now
	}
	// An error in a title that plays nowhere may be the title's: guards against nodes blamed for what viewers
	// ask wrongly. It could harm where a node is sick for rare titles only.
	if (was != playing || how == decision.ConnectionLost) && (how != decision.Errored || f.playsElsewhere(p)) {
		f.judge(now, at, how)
	}
	if was == settingUp && how != decision.Served && how != decision.NotSent {
		f.sample(f.nodes[at].kind, -1)
	}
	if over || was != settingUp {
		f.plays.Drop(h)
		return f.end(now)
	}
	p.stage = held
	p.mayHave = p.mayHave || how.MayHaveRun()
	f.place(now, h, p)
	return f.end(now)
}

// ViewerLeft drops a play whose viewer went away, once its allocation is in.
func (f *Policy) ViewerLeft(now int64, h decision.Handle) *decision.Result {
	f.begin()
	if p := f.plays.Get(h); p != nil && p.stage == held {
		f.plays.Drop(h)
	} else if p != nil && p.stage == settingUp {
		p.stage = deserted
		if f.val("recall") > 0 {
			f.order(decision.Order{Play: h, Action: decision.Cancel, Attempt: p.try})
		}
	}
	return f.end(now)
}

// RungReported sets the rung of an adopted play.
func (f *Policy) RungReported(now int64, h decision.Handle, rung int) *decision.Result {
	f.begin()
	if p := f.plays.Get(h); p != nil && p.stage == playing {
		f.rerate(p, rung)
		f.setRung(now, h, p, max(rung, f.floor(p)))
		if f.shares(p) && len(f.holders(p)) > 0 { // it plays on any of them, not gathered
			before := f.rate(p, p.rung)
			f.joining(p, float64(f.viewersOf(p))*f.val("fronts")/float64(len(f.held)))
			f.carry(p.node, f.rate(p, p.rung)-before)
		}
	}
	return f.end(now)
}

// DeliveryReported takes a share note: below shortUnder the link or its uplink is short.
func (f *Policy) DeliveryReported(now int64, h decision.Handle, share float64) *decision.Result {
	f.begin()
	if p := f.plays.Get(h); p != nil && p.stage == playing {
		f.short(now, p.node, share)
	}
	return f.end(now)
}

// LoadReported takes a note of what is asked of a link or an uplink.
func (f *Policy) LoadReported(now int64, h decision.Handle, load decision.Load) *decision.Result {
	f.begin()
	if p := f.plays.Get(h); p != nil && (p.stage == playing || p.stage == settingUp) {
		lag := reportLag
		if p.stage == playing && now-p.started > reportLag { // not the note that comes at set-up
			lag += int64(f.val("note.lag"))
		}
		blind := !f.tells() && lag == reportLag && now-f.nodes[p.node].link.at > freshFor
		news := f.report(now, p.node, load, lag, 0)
		// The first figure sets a start right that knew none as fresh. Guards against starts on links that many
		// fill at once, unknown to each. Harm: one figure far too high holds a play down.
		if news && blind && max(load.Link, load.Uplink) > overMark {
			f.setRung(now, h, p, min(p.rung, f.fit(now, p.node, p, f.room(now, p.node)+f.rate(p, p.rung))))
		}
		all := load.Uplink >= 0 || f.val("reports.uplink") == 0 // the uplink's figure follows the link's
		if news && all && (lag == reportLag || f.rnd.Float() < f.part(now, p.node)) {
			f.tell(now, f.keeper(p.node), p.node, figures) // all here hear the later ones: each by its part
		}
	}
	return f.end(now)
}

// MessageReceived takes in a message of another front: a node's figures, or a question for them. A message says
// nothing of a node that this front's own list lacks, and its figures count by their age.
func (f *Policy) MessageReceived(now int64, from int, b []byte) *decision.Result {
	f.begin()
	if !f.tells() || from < 0 || from >= int(f.val("fronts")) || len(b) < 5 {
		return f.end(now)
	}
	f.heardAt = now
	at, known := f.keys[binary.BigEndian.Uint32(b[1:])]
	if !known || !f.nodes[at].listed {
		return f.end(now)
	}
	n := &f.nodes[at]
	switch {
	case b[0] == asksFor && len(b) == 5:
		kind := byte(figures)
		if f.mayGive(now, at) {
			n.slot, _ = f.turnOf(now, at)
			kind = leave
		}
		f.tell(now, from, at, kind)
	case (b[0] == figures || b[0] == leave) && len(b) == 9:
		n.probing = false
		if b[0] == leave && from == f.keeper(at) {
			n.leave = n.probedAt + lookFor
		}
		if b[8] != untold {
			f.levels = min(f.levels+1, levelOf)
			f.theirs += (float64(b[8])/levelUnit - levelBase - f.theirs) / f.levels
		}
		age, load := int64(b[7])*ageUnit, decision.Load{Streams: -1, Link: unpack(b[5]), Uplink: unpack(b[6])}
		if f.report(now, at, load, reportLag+age, age) {
			f.resetSetUps(now, at)
		}
		f.placeWaiting(now, false)
	}
	return f.end(now)
}

// ProbeEnded takes a probe's report, and sets the rungs that are still free to set by it.
func (f *Policy) ProbeEnded(now int64, at int, how decision.Outcome, load decision.Load) *decision.Result {
	f.begin()
	n := f.known(at)
	n.probing = false
	if how == decision.Served {
		f.report(now, at, load, reportLag, 0)
		f.resetSetUps(now, at)
	}
	f.placeWaiting(now, false)
	return f.end(now)
}

// Wake does what is due: plays that wait, payoffs, steps up, plays to move off short links.
func (f *Policy) Wake(now int64) *decision.Result {
	f.begin()
	f.placeWaiting(now, true)
	below, sum, all := 0, 0.0, 0
	for i := range f.plays.Len() {
		_, p := f.plays.At(i)
		if p == nil || p.stage != playing {
			continue
		}
		if !p.sampled && now-p.started >= payoffAt {
			p.sampled = true
			f.sample(f.nodes[p.node].kind, 2*f.shareNow(now, p.node)-1)
		}
		if all++; p.rung < f.top(p) {
			below, sum = below+1, sum+float64(p.rung)-f.lift(p)
		}
	}
	if now-f.heardAt > 2*heardFor { // what others told is too old to go by
		f.levels = 0
	}
	f.mine = sum / float64(max(1, below))
	f.rising = below > 0
	f.level = (sum + f.theirs*f.levels) / max(1, float64(below)+f.levels)
	if below == 0 && all > 0 {
		f.level = math.Inf(1)
	}
	f.crammed = false
	for i, l := range f.lifts { // of all products, the one whose floor is highest
		f.crammed = f.crammed || below > 0 && f.level <= f.of("product.floor", i, 0)-f.trust()*l+atBottom
	}
	if !f.told { // nothing is known but own plays: the other fronts are taken to hold as many
		own, given := 0.0, 1.0
		for at := range f.nodes {
			if f.nodes[at].listed {
				own, given = own+f.nodes[at].own, given+f.capacity(now, at)
			}
		}
		f.usual = own * max(1, f.val("fronts")) / given
		f.usualUp = own * max(1, f.val("fronts")) / (1 + f.val("uplink.rate")*float64(len(f.racks)))
	}
	for at := range f.nodes {
		if len(f.nodes[at].plays) > 0 {
			f.shed(now, at)
			f.raise(now, at)
		}
	}
	return f.end(now)
}

// ForgetViewer and ForgetNode give a small number back: they blank its record and tell that the number may
// name another, or refuse while it can still decide something. Guards against records that grow for ever
// in a front that runs for months; refusing too long would cost memory only.
func (f *Policy) ForgetViewer(now int64, viewer int) bool {
	if viewer >= len(f.viewers) {
		return true
	}
	v := &f.viewers[viewer]
	if v.left > 0 && now-v.leftAt < skipFor || now-v.movedAt < moveEvery {
		return false
	}
	*v = unmet
	return true
}

func (f *Policy) ForgetNode(now int64, at int) bool {
	if at >= len(f.nodes) {
		return true
	}
	n := &f.nodes[at] // viewers who left it may pass over its number for skipFor
	if n.listed || n.probing && !f.tells() || len(n.plays) > 0 || now-n.unlistedAt < skipFor {
		return false
	}
	if f.keys[n.key] == at {
		delete(f.keys, n.key)
	}
	*n = unheard
	return true
}

// ---- Placing: the feature-greedy choice ----

// sample adds a payoff to W.
func (f *Policy) sample(kind int, payoff float64) {
	f.samples++
	f.kinds[kind].count++
	f.kinds[kind].sum += payoff
}

// mean is a kind's payoff; a kind without samples counts as the mean of all.
func (f *Policy) mean(kind int) float64 {
	if k := f.kinds[kind]; k.count > 0 {
		return k.sum / float64(k.count)
	}
	sum := 0.0
	for _, k := range f.kinds {
		sum += k.sum
	}
	return sum / float64(max(1, f.samples))
}

// place allocates a play in hand, lets it wait for a node's turn, or gives it up at once.
func (f *Policy) place(now int64, h decision.Handle, p *ply) {
	at, wait := -1, false
	if p.try+1 < int(f.val("tries")) && now < p.want.Deadline && f.seatFree(p) && f.mayAgain(now, p) {
		at, wait = f.choose(now, p)
		if !p.looked && (at >= 0 || f.cold >= 0 && f.tells()) {
			p.looked = true
			if f.look(now, p, at) {
				f.waiting = append(f.waiting, h)
				return
			}
		}
	}
	if at < 0 {
		if wait && p.want.Deadline-now > 2*wakeEvery { // as in look
			f.waiting = append(f.waiting, h)
		} else {
			f.giveUp(h, p)
		}
		return
	}
	n := &f.nodes[at]
	p.rung, p.stage, p.sent = f.fit(now, at, p, f.room(now, at)), settingUp, now
	if p.try++; p.try > 0 {
		f.again = append(since(f.again, now-int64(f.val("budget.over"))-budgetEdge), now)
	}
	n.slot, _ = f.turnOf(now, at)
	n.leave = 0
	f.bind(h, p, at)
	f.order(decision.Order{Play: h, Action: decision.Place, Node: at, Rung: p.rung, Until: f.until(now, p)})
	if now-n.link.at > freshFor {
		f.probe(now, at, 1)
	}
}

// look asks for the holder chosen and for equals drawn at random where their figures are old: one by a
// probe, or several of their keepers and one of these for the leave to use a cold holder. It tells that
// an answer is to come: the play is placed by it. Guards against blind set-ups and against nodes that died
// unlisted; it costs a probe or messages, and harms where reports are very late.
func (f *Policy) look(now int64, p *ply, at int) bool {
	if !f.asks() && !f.tells() || p.want.Deadline-now <= 2*wakeEvery { // the next check may be too late
		return false
	}
	for i := range p.look {
		p.look[i] = at
		switch {
		case at < 0 || i == looks-1 && f.cold >= 0 && f.tells():
			p.look[i] = f.cold
		case i > 0 && (i < probeLooks || f.tells()):
			p.look[i] = f.cands[f.rnd.Below(len(f.cands))].at
		}
		if p.look[i] == f.cold || now-f.nodes[p.look[i]].link.at > freshFor {
			f.probe(now, p.look[i], 1)
		}
	}
	return f.looking(now, p) && (!f.tells() || now-f.heardAt < heardFor)
}

// looking tells that a play still waits for what it looked at.
func (f *Policy) looking(now int64, p *ply) bool {
	for _, at := range p.look {
		if n := &f.nodes[at]; n.probing && now-n.probedAt < lookFor {
			return p.looked
		}
	}
	return false
}

// placeWaiting places the plays that wait for nothing more, or for long enough.
func (f *Policy) placeWaiting(now int64, due bool) {
	waiting := f.waiting
	f.waiting = f.waiting[:0]
	for _, h := range waiting {
		p := f.plays.Get(h)
		switch {
		case p == nil || p.stage != held:
		case f.looking(now, p) || !due && !p.looked:
			f.waiting = append(f.waiting, h)
		default:
			f.place(now, h, p)
		}
	}
}

// until is when an allocation is given up: a paid play waits to its limit, another leaves time
// for one more to meet the first-frame target while one may still be made.
func (f *Policy) until(now int64, p *ply) int64 {
	target := p.taken + int64(f.of("product.target", p.want.Product, 0))
	if f.paid(p) || p.try+2 >= int(f.val("tries")) || now >= target {
		return p.want.Deadline
	}
	return min(p.want.Deadline, now+int64(firstShare*float64(target-now)))
}

// choose is the feature-greedy choice among the holders. It returns -1 if none can take the play now, and
// whether to wait as one soon may. Where all are skipped, one that told its load since it failed is tried:
// guards against plays declined for connections that broke. Harm: one that errs is tried too.
func (f *Policy) choose(now int64, p *ply) (at int, wait bool) {
	holdUntil := p.taken + int64(holdShare*f.of("product.target", p.want.Product, 0))
	held := f.holders(p)
	gathers := f.gathers(p, len(held))
	need := f.rate(p, f.floor(p))
	f.cands, f.cold = f.cands[:0], -1
	cold := 0
	for _, i := range held {
		if f.nodes[i].phase != decision.Ready {
			continue
		}
		c, full := cand{at: i, room: f.room(now, i)}, false
		if c.room < need { // only then does it matter how much is used
			c.used = f.used(now, i)
			if full = f.full(now, i, c.used, need); full && f.asks() {
				f.probe(now, i, 1)
			}
		}
		paced := f.pace(now, i)
		if !paced && now >= f.nodes[i].skipUntil {
			if cold++; f.rnd.Below(cold) == 0 {
				f.cold = i
			}
		}
		if n := &f.nodes[i]; full || !paced || now < n.skipUntil && n.link.at <= n.failedAt {
			wait = wait || now < holdUntil && f.nodes[i].skipUntil < holdUntil
			continue
		}
		c.rung = f.fit(now, i, p, c.room)
		f.cands = append(f.cands, c)
	}
	if len(f.cands) == 0 {
		return -1, wait
	}
	f.prefer(func(c *cand) bool { return now >= f.nodes[c.at].skipUntil })
	if v := &f.viewers[p.want.Viewer]; now-v.leftAt < skipFor {
		f.prefer(func(c *cand) bool { return c.at != v.left-1 })
	}
	f.prefer(func(c *cand) bool { return c.room >= need })
	if gathers < 1 {
		f.prefer(func(c *cand) bool { return f.scattered(c.at, p) < gathers })
	}
	if f.tells() { // what was looked at, not what is only supposed
		f.prefer(func(c *cand) bool { return c.room >= need && now-f.nodes[c.at].link.at <= fullFor })
	}
	if f.cands[0].room < need { // no room: the least used
		least := f.cands[0]
		for _, c := range f.cands {
			if c.used < least.used {
				least = c
			}
		}
		return least.at, false
	}
	eps := 1.0
	if f.samples > 0 {
		eps = max(epsFloor, 1/math.Sqrt(float64(f.samples)))
	}
	explore := f.rnd.Float() < eps
	mean, rung, room := math.Inf(-1), 0, 0.0
	for _, c := range f.cands {
		mean = max(mean, f.mean(f.nodes[c.at].kind))
	}
	if !explore {
		f.prefer(func(c *cand) bool { return f.mean(f.nodes[c.at].kind) >= mean-tieWidth })
	}
	for _, c := range f.cands {
		rung = max(rung, c.rung)
	}
	// Holders that give the same rung are equals: there the own zone comes first, as crossing has
	// its price and a cut between zones breaks plays.
	f.prefer(func(c *cand) bool { return c.rung >= rung && f.ownZone(c.at) })
	for _, c := range f.cands {
		room = max(room, c.room)
	}
	if !explore {
		f.prefer(func(c *cand) bool { return c.room >= room*(1-nearRoom) })
	}
	return f.cands[f.rnd.Below(len(f.cands))].at, false
}

// gathers is the part of its holders on which the viewers of a live title are gathered, and enters what one
// more adds. Viewers are taken to be as many at each front; so many nodes are used that they ask gatherPart
// of each. Guards against streams of one viewer each. It could harm where few fronts want a title.
func (f *Policy) gathers(p *ply, held int) float64 {
	if !f.shares(p) || held == 0 {
		return 1
	}
	nodes := float64(held)
	p.saves, p.joins = 0, false
	all, each := float64(f.viewersOf(p))*max(1, f.val("fronts")), f.val("join")*f.rate(p, f.top(p))
	link := f.val("weight.rate")
	if up := f.val("uplink.rate") * float64(len(f.racks)) / max(1, float64(f.listed)); up > 0 {
		link = min(link, up)
	}
	part := min(1, max(1, all*each/(gatherPart*link))/nodes)
	f.joining(p, all/(part*nodes))
	return part
}

// shares tells that viewers of a play's title may share a stream.
func (f *Policy) shares(p *ply) bool {
	return f.of("join", 0, 1) < 1 && f.of("product.live", p.want.Product, 0) > 0
}

// joining enters that a play is one of so many on a stream, as far as can be expected. It then adds less to
// the link, and keeps its best rung: one alone on another rung would ask more than its step down frees.
func (f *Policy) joining(p *ply, on float64) {
	if on >= joinFrom {
		p.saves, p.joins = (1-f.val("join"))*(1-1/on), true
	}
}

// scattered is a number from 0 to 1 for a node and a title, the same at every front.
func (f *Policy) scattered(at int, p *ply) float64 {
	x := uint64(f.nodes[at].key)<<32 | uint64(p.want.Key)
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return float64((x^x>>32)>>11) / (1 << 53)
}

func (f *Policy) ownZone(at int) bool { return f.nodes[at].zone == int(f.of("zone", 0, -1)) }

// full tells that one play more would cost all plays there more than it earns: the link is lately
// known to be all asked for, and own plays there cannot step down to make the room. Guards against
// a crowd piling onto links where all stand on their floors; an old figure turns nobody away.
func (f *Policy) full(now int64, at int, used, need float64) bool {
	n := &f.nodes[at]
	if now-max(n.link.at, f.racks[n.rack].link.at, n.shareAt) > fullFor ||
		used+need/f.capacity(now, at) <= fullMark {
		return false
	}
	for _, h := range n.plays {
		if p := f.plays.Get(h); p.stage == playing {
			need -= f.rate(p, p.rung) - f.rate(p, f.floor(p))
		}
	}
	return need > 0
}

// ---- The account ----

func (f *Policy) rate(p *ply, rung int) float64 {
	if p.joins {
		rung = f.top(p)
	}
	return f.of("rung.rate", rung, 0) * f.of("product.rate", p.want.Product, 1) * (1 - p.saves)
}

func (f *Policy) capacity(now int64, at int) float64 {
	return f.val("weight.rate") * f.nodes[at].weight * f.warmth(now, at)
}

// uplink is what a rack's uplink gives: the mean told, or less once the rack was seen short.
func (f *Policy) uplink(now int64, rk int) float64 {
	told := f.val("uplink.rate")
	if told <= 0 {
		told = math.Inf(1)
	}
	return regained(now, f.racks[rk].seen, told)
}

// regained is what a link or uplink counts as giving after it was seen short: that, and with time
// more again up to what is told, slowly at first. Guards against trouble that comes and goes and
// against weak links nobody reports; costs some seconds of low rungs after one that is over.
func regained(now int64, seen memory, told float64) float64 {
	if seen.at == 0 {
		return told
	}
	age := float64(now-seen.at) / float64(regain)
	return min(told, seen.given*(1+age*age))
}

// asked is an account: own plays, or the last figure told and what was changed since, of which the
// others are taken to have added a part. A figure fades with its age into what is asked on average.
// Guards against herds on stale figures, and against steps up on links of which nothing was told.
// It could harm where links differ lastingly and are seldom told.
func (f *Policy) asked(now int64, a account, own, capacity, usual float64) float64 {
	others := 1 - 1/max(1, f.val("fronts"))
	since, old := own-a.own, float64(now-a.at)/float64(fades)
	told := max(own/capacity, a.asked+(since+max(0, since)*others*crowd)/capacity)
	return max(own/capacity, told+(usual-told)*min(1, old*old))
}

func (f *Policy) linkAsked(now int64, at int) float64 {
	n := &f.nodes[at]
	return f.asked(now, n.link, n.own, f.capacity(now, at), f.usual)
}

// uplinkAsked is a rack's account: told, or else added up over its links.
func (f *Policy) uplinkAsked(now int64, rk int) float64 {
	r := &f.racks[rk]
	if f.val("reports.uplink") > 0 {
		return f.asked(now, r.link, r.own, f.uplink(now, rk), f.usualUp)
	}
	return f.rackSum(now, rk) / f.uplink(now, rk)
}

// rackSum adds up what is asked of a rack's links, kB a second.
func (f *Policy) rackSum(now int64, rk int) float64 {
	r := &f.racks[rk]
	if r.sumAt != now || r.sumOf != f.changes { // else nothing it rests on has changed
		r.sum, r.sumAt, r.sumOf = 0, now, f.changes
		for _, i := range r.nodes {
			r.sum += f.linkAsked(now, i) * f.capacity(now, i)
		}
	}
	return r.sum
}

// used is how much is asked of a node's link or uplink, or was told short, whichever is most.
func (f *Policy) used(now int64, at int) float64 {
	return max(f.linkAsked(now, at), f.uplinkAsked(now, f.nodes[at].rack), 1/f.shareNow(now, at))
}

// room is what a set-up may still ask at a node, kB a second.
func (f *Policy) room(now int64, at int) float64 {
	n, full := &f.nodes[at], f.capacity(now, at)
	link := roomMark*regained(now, n.seen, full) - f.linkAsked(now, at)*full
	return min(link, (roomMark-f.uplinkAsked(now, n.rack))*f.uplink(now, n.rack))
}

// fit is the highest rung that a room takes, within reach.
func (f *Policy) fit(now int64, at int, p *ply, room float64) int {
	r := f.top(p)
	if p.joins {
		if f.crammed && f.used(now, at) > fullMark {
			return f.floor(p)
		}
		return r
	}
	for r > f.floor(p) && (f.rate(p, r) > room || !f.inReach(now, at, p, r, f.rate(p, r))) {
		r--
	}
	return r
}

// inReach tells that a play may take a rung that asks so much more of a link: one within reach, or
// any on a link that stays far behind the average. Guards against nodes of little wanted titles that
// stand empty while full ones keep the reach low; it could harm where a crowd comes to just these.
func (f *Policy) inReach(now int64, at int, p *ply, rung int, more float64) bool {
	return float64(rung) <= f.reach(now, at)+f.lift(p) ||
		f.linkAsked(now, at)+more/f.capacity(now, at) <= behind*f.usual
}

// reach is the highest rung that a play may start at or step up to. A rung more earns several
// times as much low on the ladder as high on it for the same rate, so the first to come must not
// fill the links. On a node of which this front knows nothing the reach is the mean itself, rounded:
// a start too high costs all there and a change of rung, one too low a step up. It could harm where
// nodes are hardly used and seldom heard of.
func (f *Policy) reach(now int64, at int) float64 {
	if n := &f.nodes[at]; now-n.link.at > fades && len(n.plays) == 0 {
		return f.level + blindRungs + (closeRungs-blindRungs)*f.trust()
	}
	return f.level + rungSpacing + (closeRungs-rungSpacing)*f.trust()
}

// trust is how far the level is known to be the fleet's, from 0, where it is that of own plays alone, to 1.
func (f *Policy) trust() float64 { return min(1, f.levels/trustOf) }

// lift is how many rungs a play may stand over others for what a step of it earns for its rate. It counts
// as far as the level is the fleet's: over the mean of a few own plays it would only add to the chance.
func (f *Policy) lift(p *ply) float64 { return f.trust() * f.lifts[p.want.Product] }

// earnings are the lifts of the products around their mean, in rungs: each rung of the ladder divides what
// a step earns for its rate by about the same, and an importance multiplies it.
func (f *Policy) earnings() []float64 {
	out, mean, top := make([]float64, len(f.set["product.rate"])), 0.0, len(f.set["rung.rate"])-1
	step := func(name string, r int) float64 { return f.of(name, r, 0) - f.of(name, r-1, 0) }
	earns := func(r int) float64 { return step("rung.worth", r) / step("rung.rate", r) }
	if top < 2 || !(earns(1) > earns(top) && earns(top) > 0) {
		return out // no such ladder: all alike
	}
	rung := math.Log(earns(1)/earns(top)) / float64(top-1)
	for i := range out {
		out[i] = math.Log(f.of("product.importance", i, 1)/f.of("product.rate", i, 1)) / rung
		mean += out[i] / float64(len(out))
	}
	for i := range out {
		out[i] -= mean
	}
	return out
}

// report takes in what a node told of its link and uplink so long ago, and tells whether it is news.
func (f *Policy) report(now int64, at int, l decision.Load, lag, age int64) bool {
	n := &f.nodes[at]
	if l.Link < 0 && l.Uplink < 0 || age > 0 && now-age <= n.link.at {
		return false
	}
	f.changes++
	late := 0.0
	for _, h := range n.plays {
		if p := f.plays.Get(h); now-p.sent < lag {
			late += f.rate(p, p.rung)
		} else if now-p.raised < lag && p.rung > 0 {
			late += f.more(p, p.rung)
		}
	}
	if l.Link >= 0 {
		f.usual, f.told = f.usual+(l.Link-f.usual)/usualOver, true
		n.link = account{now - age, l.Link, n.own - late}
	}
	if r := &f.racks[n.rack]; l.Uplink >= 0 {
		f.usualUp += (l.Uplink - f.usualUp) / usualOver
		r.link = account{now - age, l.Uplink, r.own - late}
	}
	f.cut(now, at, max(l.Link, l.Uplink), overMark)
	return true
}

// resetSetUps sets the rungs that are still free to set by a fresh figure.
func (f *Policy) resetSetUps(now int64, at int) {
	for _, h := range f.nodes[at].plays {
		if p := f.plays.Get(h); p.stage == settingUp {
			f.setRung(now, h, p, f.fit(now, at, p, f.room(now, at)+f.rate(p, p.rung)))
		}
	}
}

// tells tells that fronts may send each other messages.
func (f *Policy) tells() bool { return f.val("peers") > 0 }

// keeper is the front that keeps a node's figures for all, the same for every front.
func (f *Policy) keeper(at int) int { return int(f.nodes[at].key) % max(1, int(f.val("fronts"))) }

// tell sends what is known of a node to a front.
func (f *Policy) tell(now int64, to, at int, kind byte) {
	n := &f.nodes[at]
	if !f.tells() || to == int(f.val("front")) {
		return
	}
	link, uplink, age := byte(untold), byte(untold), now-n.link.at
	if n.link.at > 0 && age < 255*ageUnit {
		link = pack(n.link.asked)
		if r := &f.racks[n.rack]; r.link.at > 0 && now-r.link.at < fades {
			uplink = pack(r.link.asked)
		}
	}
	level := byte(untold)
	if f.rising {
		level = byte(max(0, min(untold-1, math.Round((f.mine+levelBase)*levelUnit))))
	}
	f.send(to, kind, n.key, link, uplink, byte(min(255, age/ageUnit)), level)
}

// asks tells that probes are worth their price: allowed, and load comes in no other way. Where answers
// and notes tell it, each front hears of the nodes that it uses by itself.
func (f *Policy) asks() bool { return f.val("probing") > 0 && f.val("reports.answers") == 0 }

// probe asks for a node's load: its keeper, where fronts may tell each other, or else the node itself
// as far as probes are earned. An answer of the keeper may be lost.
func (f *Policy) probe(now int64, at int, cost float64) {
	n, to := &f.nodes[at], f.keeper(at)
	if now-n.probedAt < settle {
		return
	}
	switch {
	case f.tells() && to != int(f.val("front")):
		f.send(to, asksFor, n.key)
	case !f.tells() && f.asks() && f.probes >= cost && !n.probing:
		f.probes -= cost
		f.res.Probes = append(f.res.Probes, at)
	default:
		return
	}
	n.probing, n.probedAt = true, now
}

// ---- Rungs in play ----

func (f *Policy) floor(p *ply) int { return int(f.of("product.floor", p.want.Product, 0)) }

func (f *Policy) top(p *ply) int {
	rungs := len(f.set["rung.rate"]) - 1
	return max(f.floor(p), min(p.want.MaxRung, rungs, int(f.of("product.top", p.want.Product, float64(rungs)))))
}

func (f *Policy) importance(p *ply) float64 { return f.of("product.importance", p.want.Product, 1) }

// gain is what a rung earns a second over the one below it, and more what it asks.
func (f *Policy) gain(p *ply, rung int) float64 {
	return f.importance(p) * (f.of("rung.worth", rung, 0) - f.of("rung.worth", rung-1, 0))
}

func (f *Policy) more(p *ply, rung int) float64 { return f.rate(p, rung) - f.rate(p, rung-1) }

// setRung changes a play's rung and orders it.
func (f *Policy) setRung(now int64, h decision.Handle, p *ply, rung int) {
	if rung == p.rung {
		return
	}
	if rung > p.rung {
		p.raised = now
	}
	f.rerate(p, rung)
	f.order(decision.Order{Play: h, Action: decision.SetRung, Rung: rung})
}

// shareNow is the share delivered at a node as far as it is told; silence is a full share.
func (f *Policy) shareNow(now int64, at int) float64 {
	if n := &f.nodes[at]; n.share < shortUnder && now-n.shareAt < shortHolds {
		return n.share
	}
	return 1
}

// settled tells that what was done at a time has had the time to show in the notes.
func (f *Policy) settled(now, at int64) bool { return now-at >= int64(f.val("note.lag"))+settle }

// short takes in a share: the link, or its uplink, is asked 1/share of what it gives.
func (f *Policy) short(now int64, at int, share float64) {
	n := &f.nodes[at]
	n.share, n.shareAt = share, now
	if share >= shortUnder {
		n.shortFrom = 0
		return
	}
	if n.shortFrom == 0 {
		n.shortFrom = now
	}
	// What a cold link gave, or one warmed while the note was on its way, says nothing of what it gives warm.
	if f.rackShort(now, at, share) || f.warmth(now-settle-int64(f.val("note.lag")), at) < 1 {
		n.seen = memory{}
	} else {
		f.remember(now, &n.seen, share*f.linkAsked(now, at)*f.capacity(now, at))
	}
	f.cut(now, at, 1/share, 1)
}

// rackShort tells that the uplink is what is short: as told, or inferred where nobody reports it
// from most links of the rack delivering short alike. Guards against weak or sagging uplinks.
// It could harm where sick links of one rack are short alike: the rack then takes less for a while.
func (f *Policy) rackShort(now int64, at int, share float64) bool {
	rk := f.nodes[at].rack
	r := &f.racks[rk]
	if f.val("reports.uplink") > 0 {
		return r.link.at > 0 && r.link.asked >= roomMark
	}
	with, short := 0, 0
	for _, i := range r.nodes {
		if len(f.nodes[i].plays) > 0 {
			with++
			if s := f.shareNow(now, i); s < 1 && math.Abs(s-share) < alike {
				short++
			}
		}
	}
	if short < 2 || 2*short <= with {
		return false
	}
	f.remember(now, &r.seen, share*f.rackSum(now, rk))
	return true
}

// remember notes what a link or uplink gave when short, once for what notes tell over and over.
func (f *Policy) remember(now int64, seen *memory, given float64) {
	if seen.at == 0 || f.settled(now, seen.at) {
		*seen = memory{given, now}
	}
}

// cut steps own plays down where a link is asked more than a mark, each front by its part of the
// excess, those first that lose least for the rate they free. Before a cut shows, only what is asked beyond
// what it was for counts: guards against links that sink on while the first, mild figures of it are acted
// on. Harm: of figures that jump about the worst is cut for.
func (f *Policy) cut(now int64, at int, asks, mark float64) {
	n, goal := &f.nodes[at], cutTo/asks
	if !f.settled(now, n.cutAt) {
		goal = n.cutFor / asks
	}
	if asks <= mark || goal >= 1 {
		return
	}
	n.cutFor = asks
	for _, h := range n.plays { // streams step down last, all who joined together
		p := f.plays.Get(h)
		if f.crammed && asks > fullMark && p.joins && p.stage == playing && p.rung > f.floor(p) {
			n.cutAt = now
			f.setRung(now, h, p, p.rung-1)
		}
	}
	for goal *= n.own; n.own > goal; {
		h, p := f.best(at, func(p *ply) float64 {
			if p.rung <= f.floor(p) {
				return 0
			}
			return f.more(p, p.rung) / f.gain(p, p.rung)
		})
		if p == nil {
			return
		}
		n.cutAt = now
		if f.rnd.Float()*f.more(p, p.rung) > n.own-goal { // the last step by chance, by its part: all cut at once
			return
		}
		f.setRung(now, h, p, p.rung-1)
	}
}

// part is the part of what is asked of a link that own plays ask.
func (f *Policy) part(now int64, at int) float64 {
	return f.nodes[at].own / max(1, f.nodes[at].own, f.linkAsked(now, at)*f.capacity(now, at))
}

// raise steps plays of a node up while the next rate fits, each front by its part of the room as
// all see the same, those first that gain most for the rate.
func (f *Policy) raise(now int64, at int) {
	n := &f.nodes[at]
	if f.shareNow(now, at) < 1 || !f.settled(now, n.cutAt) ||
		!f.settled(now, n.raisedAt) && n.link.at <= n.raisedAt {
		return
	}
	room := f.room(now, at)
	if f.asks() && now-n.link.at > recheck/int64(len(n.plays)) { // too old to go by: ask
		room = math.Inf(1)
	}
	part := room * f.part(now, at)
	for part > 0 {
		h, p := f.best(at, func(p *ply) float64 {
			if p.rung >= f.top(p) || now-p.raised < upEvery || f.more(p, p.rung+1) > room {
				return 0
			}
			if !p.joins && !f.inReach(now, at, p, p.rung+1, f.more(p, p.rung+1)) {
				return 0
			}
			left := max(leastLeft, now-p.started)
			if p.want.Length > 0 {
				left = max(0, p.taken+p.want.Length-now)
			}
			gain := f.gain(p, p.rung+1)
			if gain*float64(left)/float64(sec) <= swapGain*f.val("switch.seconds")*f.importance(p) {
				return 0
			}
			return gain / f.more(p, p.rung+1)
		})
		if p == nil {
			return
		}
		if f.asks() && now-n.link.at > freshFor {
			if now-n.raisedAt < upEvery/int64(len(n.plays)) { // asked and drawn for just before
				return
			}
			f.probe(now, at, 0) // unrationed: a step up earns many times a probe's price
			return
		}
		n.raisedAt = now
		more := f.more(p, p.rung+1)
		if f.rnd.Float()*more > part { // a step larger than the part left is taken by chance
			return
		}
		part, room = part-more, room-more
		f.setRung(now, h, p, p.rung+1)
	}
}

// shed moves one play in shedEvery off a link that stays short with its plays stepped down.
func (f *Policy) shed(now int64, at int) {
	n := &f.nodes[at]
	if now-n.shareAt > shortHolds {
		n.shortFrom = 0
	}
	if n.shortFrom == 0 || now-n.shortFrom < checkGap || now-n.shedAt < shedEvery {
		return
	}
	if _, p := f.best(at, func(p *ply) float64 { return float64(p.rung - f.floor(p)) }); p != nil {
		return // steps down come first
	}
	h, p := f.best(at, func(p *ply) float64 {
		if now-f.viewers[p.want.Viewer].movedAt < moveEvery {
			return 0
		}
		return f.rate(p, p.rung) / f.importance(p)
	})
	n.shedAt = now
	over := float64(len(n.plays)) * (1 - f.shareNow(now, at))   // own plays that the link can't carry
	if p != nil && f.rnd.Float() < max(over, f.part(now, at)) { // the link loses one, whichever front's it is
		f.viewers[p.want.Viewer] = viewer{at + 1, now, now}
		f.order(decision.Order{Play: h, Action: decision.Move})
	}
}

// ---- Health ----

// judge takes an allocation's end as a symptom. Guards against a node that fails, hangs or breaks
// while its kind does well: it is skipped, longer when it fails again. One that refused as full is
// left alone for a little, whatever late reports say of it.
func (f *Policy) judge(now int64, at int, how decision.Outcome) {
	n := &f.nodes[at]
	switch how {
	case decision.Rejected:
		n.skipUntil = max(n.skipUntil, now+refusedFor<<min(n.strikes, doublings))
		n.failedAt, n.strikes = n.skipUntil, n.strikes+1
	case decision.NoConnect, decision.ConnectionLost: // it may come back cold before the list says so
		n.lostAt = now
		fallthrough
	case decision.Errored, decision.NoAnswer:
		n.skipUntil, n.failedAt = now+skipFor<<min(n.strikes, 1), now
		n.strikes++
	}
}

// ---- The six rules: each by one piece of code ----

// giveUp answers a play, once as it drops it. A paid one that may have run fails; others are declined.
func (f *Policy) giveUp(h decision.Handle, p *ply) {
	if f.paid(p) && p.mayHave {
		f.order(decision.Order{Play: h, Action: decision.Fail})
	} else {
		f.order(decision.Order{Play: h, Action: decision.Decline,
			RetryAfter: int64(min(1, f.val("comeback")) * f.val("comeback.most"))})
	}
	f.plays.Drop(h)
}

func (f *Policy) paid(p *ply) bool { return f.of("product.paid", p.want.Product, 1) > 0 }

// mayAgain keeps a paid play from running twice and further allocations within the budget.
func (f *Policy) mayAgain(now int64, p *ply) bool {
	if p.try < 0 {
		return true
	}
	if f.paid(p) && p.mayHave {
		return false
	}
	over := int64(f.val("budget.over"))
	if over == 0 {
		return true
	}
	f.taken = since(f.taken, now-over+budgetEdge)
	f.again = since(f.again, now-over-budgetEdge)
	most := f.val("budget.free") + f.val("budget.share")*float64(len(f.taken))
	return float64(len(f.again)+1) <= most
}

// warmsFrom is when a node began to warm: at its start, or at a return that this front saw.
func (f *Policy) warmsFrom(at int) int64 { return max(f.nodes[at].started, f.nodes[at].backAt) }

// warmth is the least share of its power that a node has.
func (f *Policy) warmth(now int64, at int) float64 {
	start := f.warmsFrom(at)
	age := float64(now-start) / f.val("cold.lasts")
	if start == 0 || age >= 1 {
		return 1
	}
	return f.val("cold.share") + (1-f.val("cold.share"))*max(0, age)
}

// turnOf numbers the turns of a cold node since its start: one set-up each, the fronts in rotation.
// Together they stay under the allowance of any window, one early set-up included.
func (f *Policy) turnOf(now int64, at int) (turn int64, cold bool) {
	warmth := f.warmth(now, at)
	if warmth >= 1 {
		return 0, false
	}
	age := float64(max(0, now-f.warmsFrom(at)))
	pace := f.val("fall.multiple") * f.of("kind.streams", f.nodes[at].kind, 1) / f.val("cold.lasts")
	pace *= (f.val("cold.share") + warmth) / 2 / coldMargin // the mean since its start
	return int64(age * max(pace-1/f.val("fall.over"), pace/2)), true
}

// pace tells that this front may set up at a node: always on a warm one, else once in its turn, or,
// where fronts tell each other, with the leave of the node's keeper.
func (f *Policy) pace(now int64, at int) bool {
	n := &f.nodes[at]
	turn, cold := f.turnOf(now, at)
	if !cold || f.tells() {
		return !cold || now < n.leave || f.keeper(at) == int(f.val("front")) && f.mayGive(now, at)
	}
	fronts := max(1, int64(f.val("fronts")))
	return turn%fronts == int64(f.val("front"))%fronts && turn != n.slot
}

// mayGive tells that this front, as a cold node's keeper, may give leave for one set-up: one in giveEvery
// turns, so that fronts that go by turns may have theirs beside it within coldMargin. A lost leave is a
// turn not used. A keeper just started gives none: what it gave before is not known.
func (f *Policy) mayGive(now int64, at int) bool {
	turn, cold := f.turnOf(now, at)
	return cold && f.nodes[at].phase == decision.Ready && turn/giveEvery > f.nodes[at].slot/giveEvery &&
		now-f.born > int64(f.val("fall.over"))
}

func (f *Policy) seatFree(p *ply) bool {
	most := f.of("product.seats", p.want.Product, 0)
	return most == 0 || float64(*f.seat(p)) < most
}
