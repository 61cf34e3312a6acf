// Package choice decides where plays go, at which rung, and when to let go of them.
//
// The front end makes one Front with New and tells it all it learns through the calls of
// front.Chooser (package front holds the interface and its words). Each call returns the
// orders to carry out, nodes to probe and when to call Wake next. Nothing else is kept or read:
// no clock, no wire, no other front. docs/design.md has the reasons and docs/oncall.md the
// symptoms. Order of this file: constants, calls, placing, the account, rungs in play, health,
// the six rules.
package choice

import (
	"math"

	"gullrail/front"
	"gullrail/internal/pcg"
)

const (
	ms  = front.Ms
	sec = front.Second

	// The mechanism, as the design page has it.
	epsFloor  = 0.05     // share of set-ups: the paper's best limit of exploration
	tieWidth  = 0.1      // payoff: kinds this near the best mean are as good
	roomMark  = 0.85     // asked over given: set-ups and steps up stay under it
	payoffAt  = 10 * sec // time after the start at which a play's payoff is taken
	skipFor   = 10 * sec // a viewer's left or failed node is passed over so long
	checkGap  = 2 * sec  // two checks so far apart make a link short
	shedEvery = 10 * sec // one play leaves a short link in this time
	moveEvery = 300 * sec
	upEvery   = 10 * sec // a play steps up no sooner after its last change

	// Ours, where the design is silent.
	overMark    = 1.00      // asked over given: steps down begin; full links stall from 0.98
	fullMark    = 1.0       // asked over given: past it a play more costs all there more than it earns
	fullFor     = 4000 * ms // a figure older than this turns nobody away
	refusedFor  = 1000 * ms // a node that refused as full is not asked again so soon, doubled for each in a row
	refusedMost = 2         // doublings: 4 s, as long as late reports go on calling it empty
	rungSpacing = 1.2       // rungs: how far over the mean of plays that could still rise others may stand
	farCost     = 0.1       // asked over given: a node of another zone counts as this much fuller when none has room
	regain      = 25 * sec  // an uplink seen short counts as giving twice as much again after this, slowly at first
	alike       = 0.1       // shares this near tell of one cause
	cutTo       = 0.92      // asked over given that a step-down aims at: just above roomMark, no see-saw
	shortUnder  = 0.98      // share of rate: below it a play loses worth
	nearRoom    = 0.1       // share of the room: holders this near the most are equals, drawn at random
	wakeEvery   = 200 * ms  // pace of checks: well under a second, cheap
	settle      = 1000 * ms // beyond the notes' lag: time for a cut to show before the next
	shortHolds  = 1500 * ms // a short note, due each second, counts this long past its lag
	freshFor    = 1500 * ms // a report older than this is asked again before a step up
	reportLag   = 600 * ms  // a report may lack what was set up this short before it
	perPlay     = 1.0       // probes earned by each play taken: keeps their price near its unit
	probeStore  = 20        // probes saved up at most: one look at a fleet
	firstShare  = 0.5       // of the time to the first-frame target an allocation may take, leaving one more
	holdShare   = 0.4       // of the time to the first-frame target a play may wait for a cold node's turn
	coldMargin  = 1.3       // how far under the cold allowance all fronts together stay
	leastLeft   = 10 * sec  // an untold length: as much is left as has played, this at least
	doubleAt    = 1         // failures in a row after which a node's skip has doubled fully
	budgetEdge  = 20 * ms   // kept clear at either end of the budget's window
	swapGain    = 3.0       // a change of rung must earn this many times its price
)

// New makes a front from its settings, a map of names to numbers, and a seed.
func New(set map[string][]float64, seed uint64) *Front {
	f := &Front{set: set, rnd: pcg.New(seed), probes: probeStore}
	f.racks = make([]rack, max(1, int(f.val("racks"))))
	f.kinds = make([]kind, len(set["kind.streams"]))
	return f
}

// val is a setting's single value, 0 if it is not given.
func (f *Front) val(name string) float64 {
	if v := f.set[name]; len(v) > 0 {
		return v[0]
	}
	return 0
}

// of is a setting's value for one product, kind or rung, or else what stands in for it.
func (f *Front) of(name string, i int, or float64) float64 {
	if v := f.set[name]; i < len(v) {
		return v[i]
	}
	return or
}

// ---- Calls ----

func (f *Front) begin() {
	f.res.Orders, f.res.Probes, f.res.Wake = f.res.Orders[:0], f.res.Probes[:0], 0
}

func (f *Front) end(now int64) *front.Result {
	f.res.Wake = now + wakeEvery
	return &f.res
}

// Nodes follows the list. What a full list lacks is gone.
func (f *Front) Nodes(now int64, list []front.Node, whole bool) *front.Result {
	f.begin()
	if whole {
		for i := range f.nodes {
			f.nodes[i].listed = false
		}
	}
	for _, l := range list {
		for l.Index >= len(f.nodes) {
			f.nodes = append(f.nodes, node{share: 1, slot: -1})
		}
		n := &f.nodes[l.Index]
		if l.Started > n.started { // a fresh process: cold, and nothing known of its load
			n.slot, n.link = -1, account{}
			n.fails, n.trial, n.skipUntil = 0, false, 0
		}
		n.listed = l.Phase != front.Gone
		n.phase, n.kind, n.zone, n.cell = l.Phase, l.Kind, l.Zone, l.Cell
		n.rack = l.Cell % len(f.racks)
		n.started, n.weight = l.Started, l.Weight
	}
	return f.end(now)
}

// Take accepts a play and places it, holds it or answers it.
func (f *Front) Take(now int64, w front.Want) (front.Handle, *front.Result) {
	f.begin()
	h, p := f.accept(now, w)
	f.taken = append(f.taken, now)
	f.probes = min(probeStore, f.probes+perPlay)
	p.holdUntil = now + int64(holdShare*f.of("product.target", w.Product, 0))
	f.place(now, h, p)
	return h, f.end(now)
}

func (f *Front) accept(now int64, w front.Want) (front.Handle, *ply) {
	for w.Viewer >= len(f.viewers) {
		f.viewers = append(f.viewers, viewer{})
	}
	h, p := f.plays.Add()
	*p = ply{want: w, try: -1, taken: now, raised: now - upEvery}
	return h, p
}

// Adopt takes over a play that plays already.
func (f *Front) Adopt(now int64, w front.Want, at int) (front.Handle, *front.Result) {
	f.begin()
	h, p := f.accept(now, w)
	for at >= len(f.nodes) {
		f.nodes = append(f.nodes, node{share: 1, slot: -1})
	}
	p.try, p.stage, p.started = 0, playing, now
	p.rung = f.floor(p)
	f.bind(h, p, at)
	return h, f.end(now)
}

// Started moves a play from set-up to playing; the node has proved itself.
func (f *Front) Started(now int64, h front.Handle, try int, took int64) *front.Result {
	f.begin()
	if p := f.plays.Get(h); p != nil && p.stage == settingUp && p.try == try {
		p.stage, p.started = playing, now
		n := &f.nodes[p.node]
		n.settingUp--
		n.fails, n.trial, n.refusals = 0, false, 0
		if n.lostAt > n.started && n.backAt < n.lostAt {
			n.backAt, n.slot = now, -1 // back, and cold again whatever the list says
		}
	}
	return f.end(now)
}

// Ended takes in how an allocation ended, and places the play again where that is owed and safe.
func (f *Front) Ended(now int64, h front.Handle, try int, how front.Ending, over bool,
	load front.Load) *front.Result {
	f.begin()
	p := f.plays.Get(h)
	if p == nil || p.stage == held || p.try != try {
		return f.end(now)
	}
	at, was := p.node, p.stage
	n := &f.nodes[at]
	f.unbind(h, p)
	f.report(now, at, load)
	if was != deserted && how != front.Served {
		f.recall(now, p, at)
	}
	if was == settingUp || was == deserted {
		n.settingUp--
		f.judge(now, at, how)
	} else if how == front.Lost {
		f.broke(now, at)
	}
	if was == settingUp && how != front.Served && how != front.NotSent {
		f.sample(n.kind, -1)
	}
	if over || was != settingUp {
		f.plays.Drop(h)
		return f.end(now)
	}
	if how != front.TurnedAway && how != front.NoConnect && how != front.NotSent {
		p.mayHave = true
	}
	p.stage, p.avoid = held, at+1
	p.holdUntil = min(p.holdUntil, now)
	f.place(now, h, p)
	return f.end(now)
}

// Left drops a play whose viewer went away, once its allocation is in.
func (f *Front) Left(now int64, h front.Handle) *front.Result {
	f.begin()
	if p := f.plays.Get(h); p != nil {
		switch p.stage {
		case held:
			f.plays.Drop(h)
		case settingUp:
			p.stage = deserted
			if f.val("recall") > 0 {
				f.res.Orders = append(f.res.Orders, front.Order{Play: h, Do: front.Recall, Try: p.try})
			}
		}
	}
	return f.end(now)
}

// Told sets the rung of an adopted play.
func (f *Front) Told(now int64, h front.Handle, rung int) *front.Result {
	f.begin()
	if p := f.plays.Get(h); p != nil && p.stage == playing {
		f.rerate(p, rung)
		if rung < f.floor(p) {
			f.setRung(now, h, p, f.floor(p))
		}
	}
	return f.end(now)
}

// Delivered takes a share note: below shortUnder the link or its uplink is short.
func (f *Front) Delivered(now int64, h front.Handle, share float64) *front.Result {
	f.begin()
	if p := f.plays.Get(h); p != nil && p.stage == playing {
		f.short(now, p.node, share)
	}
	return f.end(now)
}

// Asked takes a note of what is asked of a link or an uplink.
func (f *Front) Asked(now int64, h front.Handle, load front.Load) *front.Result {
	f.begin()
	if p := f.plays.Get(h); p != nil && (p.stage == playing || p.stage == settingUp) {
		f.report(now, p.node, load)
	}
	return f.end(now)
}

// Probed takes a probe's report, and sets rungs that are still free to set by it.
func (f *Front) Probed(now int64, at int, how front.Ending, load front.Load) *front.Result {
	f.begin()
	if at < len(f.nodes) {
		n := &f.nodes[at]
		n.probing = false
		if how == front.Served {
			f.report(now, at, load)
			for _, h := range n.plays {
				if p := f.plays.Get(h); p.stage == settingUp {
					f.setRung(now, h, p, f.fit(now, at, p, f.rate(p, p.rung)))
				}
			}
		}
	}
	return f.end(now)
}

// Wake does what is due: plays that wait, payoffs, steps up, plays to move off short links.
func (f *Front) Wake(now int64) *front.Result {
	f.begin()
	waiting := f.waiting
	f.waiting = f.waiting[:0]
	for _, h := range waiting {
		if p := f.plays.Get(h); p != nil && p.stage == held {
			f.place(now, h, p)
		}
	}
	below, sum, all := 0, 0, 0
	for i := range f.plays.Len() {
		_, p := f.plays.At(i)
		if p == nil || p.stage != playing {
			continue
		}
		all++
		if !p.sampled && now-p.started >= payoffAt {
			p.sampled = true
			f.sample(f.nodes[p.node].kind, 2*f.shareNow(now, p.node)-1)
		}
		if p.rung < f.top(p) {
			below, sum = below+1, sum+p.rung
		}
	}
	f.level = float64(sum) / float64(max(1, below))
	if below == 0 && all > 0 {
		f.level = math.Inf(1)
	}
	for at := range f.nodes {
		if n := &f.nodes[at]; len(n.plays) > 0 {
			f.shed(now, at)
			f.raise(now, at)
		}
	}
	return f.end(now)
}

// ---- Placing (the feature-greedy choice) ----

// sample adds a payoff to W.
func (f *Front) sample(kind int, payoff float64) {
	f.samples++
	f.kinds[kind].count++
	f.kinds[kind].sum += payoff
}

// mean is a kind's payoff; a kind without samples counts as the mean of all.
func (f *Front) mean(kind int) float64 {
	if k := f.kinds[kind]; k.count > 0 {
		return k.sum / float64(k.count)
	}
	sum := 0.0
	for _, k := range f.kinds {
		sum += k.sum
	}
	return sum / float64(max(1, f.samples))
}

// place allocates a held play, keeps it waiting for a cold node's turn, or gives it up.
func (f *Front) place(now int64, h front.Handle, p *ply) {
	if p.try+1 >= int(f.val("tries")) || now >= p.want.Limit || !f.seatFree(p) ||
		!f.mayAgain(now, p) {
		f.giveUp(h, p)
		return
	}
	at, turn := f.choose(now, p)
	if at < 0 {
		if turn && now < p.holdUntil {
			f.waiting = append(f.waiting, h)
		} else {
			f.giveUp(h, p)
		}
		return
	}
	n := &f.nodes[at]
	p.rung = f.fit(now, at, p, 0)
	p.stage, p.sent = settingUp, now
	if p.try++; p.try > 0 {
		f.again = append(f.again, now)
	}
	n.settingUp++
	f.useSlot(now, at)
	f.bind(h, p, at)
	f.res.Orders = append(f.res.Orders, front.Order{Play: h, Do: front.Place, Node: at, Rung: p.rung,
		Until: f.until(now, p)})
	if now-n.link.at > freshFor {
		f.probe(now, at, perPlay)
	}
}

// until is when an allocation is given up: a paid play waits to its limit, another leaves time
// for one more to meet the first-frame target while one may still be made.
func (f *Front) until(now int64, p *ply) int64 {
	target := p.taken + int64(f.of("product.target", p.want.Product, 0))
	if f.paid(p) || p.try+2 >= int(f.val("tries")) || now >= target {
		return p.want.Limit
	}
	return min(p.want.Limit, now+int64(firstShare*float64(target-now)))
}

// choose is the feature-greedy choice among the holders. It returns -1 if none can take the
// play, and whether one will after its cold turn.
func (f *Front) choose(now int64, p *ply) (at int, turn bool) {
	eps := 1.0
	if f.samples > 0 {
		eps = max(epsFloor, 1/math.Sqrt(float64(f.samples)))
	}
	explore := f.rnd.Float() < eps
	best := math.Inf(-1)
	v := f.viewers[p.want.Viewer]
	usable := func(i int) bool {
		return f.takes(now, i, p) && now >= f.nodes[i].refuseUntil && p.avoid != i+1 && !(v.left == i+1 && now-v.leftAt < skipFor)
	}
	need := f.rate(p, f.floor(p))
	for i := range f.nodes {
		if usable(i) && f.room(now, i) >= need {
			best = max(best, f.mean(f.nodes[i].kind))
		}
	}
	if !math.IsInf(best, -1) {
		// Pass 1 finds the rung that the most room gives, pass 2 whether one of the own zone gives it
		// too, pass 3 the most room there, pass 4 draws among those as good.
		most, ties, pick, rung, near := 0.0, 0, -1, 0, false
		for pass := range 4 {
			for i := range f.nodes {
				room := f.room(now, i)
				if !usable(i) || room < need || !explore && f.mean(f.nodes[i].kind) < best-tieWidth {
					continue
				}
				own := f.ownZone(i) && f.fit(now, i, p, 0) >= rung
				switch {
				case pass == 0:
					rung = max(rung, f.fit(now, i, p, 0))
				case pass == 1:
					near = near || own
				case near && !own:
				case pass == 2:
					most = max(most, room)
				case explore || room >= most*(1-nearRoom):
					if ties++; f.rnd.Below(ties) == 0 {
						pick = i
					}
				}
			}
		}
		return pick, false
	}
	// No room anywhere: the least used. One to be skipped comes only if no other is left,
	// and then not for a paid play, which a failure there would end.
	least, pick := math.Inf(1), -1
	for i := range f.nodes {
		if !f.takes(now, i, p) {
			turn = turn || f.holds(i, p) && f.healthy(now, i) && !f.pace(now, i)
			continue
		}
		used := f.used(now, i)
		if f.full(now, i, used, need) {
			f.probe(now, i, perPlay)
			turn = true
			continue
		}
		if !usable(i) {
			used += 100
		}
		if !f.ownZone(i) {
			used += farCost
		}
		if used < least {
			least, pick = used, i
		}
	}
	if pick < 0 && !turn && !f.paid(p) {
		for i := range f.nodes { // only sick ones hold it: better a try than none
			if f.holds(i, p) && f.pace(now, i) && f.nodes[i].settingUp == 0 && p.avoid != i+1 {
				if a := f.used(now, i); a < least && !f.full(now, i, a, need) {
					least, pick = a, i
				}
			}
		}
	}
	return pick, turn
}

// used is how much is asked of a node's link or uplink, whichever is more, or has been told short.
func (f *Front) used(now int64, at int) float64 {
	return max(f.linkAsked(now, at), f.uplinkAsked(now, f.nodes[at].rack), 1/f.shareNow(now, at))
}

// full tells that one play more would cost all plays there more than it earns: the link was lately
// known to be all asked for, and own plays there cannot step down to make the room. Guards against
// a crowd piling on links where all stand on their floors; harms if a figure is wrong for long, so
// an old one does not count.
func (f *Front) full(now int64, at int, used, need float64) bool {
	n := &f.nodes[at]
	known := max(n.link.at, f.racks[n.rack].link.at, n.shareAt)
	if now < n.refuseUntil {
		return true
	}
	if used+need/f.capacity(now, at) <= fullMark || now-known > fullFor || known == 0 {
		return false
	}
	for _, h := range n.plays {
		if p := f.plays.Get(h); p.stage == playing {
			need -= f.rate(p, p.rung) - f.rate(p, f.floor(p))
		}
	}
	return need > 0
}

// ownZone tells that placing a play at a node crosses no zones. Among holders that give the same
// rung it comes first: crossing has a price where one is set, and a cut between zones breaks plays.
func (f *Front) ownZone(at int) bool {
	z, told := f.set["zone"]
	return !told || f.nodes[at].zone == int(z[0])
}

// holds tells that a node is ready and holds the title.
func (f *Front) holds(at int, p *ply) bool {
	n := &f.nodes[at]
	cells := max(1, int(f.val("cells")))
	off := ((n.cell-p.want.Home)%cells + cells) % cells
	return n.listed && n.phase == front.Ready && off < p.want.Copies
}

// takes tells that a holder may be given a set-up now.
func (f *Front) takes(now int64, at int, p *ply) bool {
	return f.holds(at, p) && f.healthy(now, at) && f.pace(now, at)
}

// giveUp answers a play at once. Only what cannot have run is declined if it is paid for.
func (f *Front) giveUp(h front.Handle, p *ply) {
	o := front.Order{Play: h, Do: front.Decline}
	if f.val("comeback") > 0 {
		o.ComeBack = int64(f.val("comeback.most"))
	}
	if f.paid(p) && p.mayHave {
		o = front.Order{Play: h, Do: front.Fail}
	}
	f.res.Orders = append(f.res.Orders, o)
	f.plays.Drop(h)
}

// ---- The account ----

func (f *Front) rate(p *ply, rung int) float64 {
	return f.of("rung.rate", rung, 0) * f.of("product.rate", p.want.Product, 1)
}

func (f *Front) capacity(now int64, at int) float64 {
	return f.val("weight.rate") * f.nodes[at].weight * f.warmth(now, at)
}

// uplink is what a rack's uplink gives: the mean told, or less once the rack was seen short, and
// from then on more again with time, as nobody tells of a sag's end.
func (f *Front) uplink(now int64, rk int) float64 {
	u := math.Inf(1)
	if told := f.val("uplink.rate"); told > 0 {
		u = told
	}
	return regained(now, f.racks[rk].seen, u)
}

// regained is what a link or uplink counts as giving after it was seen short: that, and with time
// more again up to what is told, slowly at first. Guards against trouble that comes and goes, and
// against a lasting one that steps up would run into over and over; costs some seconds of low
// rungs after one that is truly over.
func regained(now int64, seen memory, told float64) float64 {
	if seen.at == 0 {
		return told
	}
	age := float64(now-seen.at) / float64(regain)
	return min(told, seen.given*(1+age*age))
}

// asked is the account of a link: own plays, or the last figure told and own changes since.
func asked(a *account, own, capacity, others float64) float64 {
	if a.at == 0 {
		return own / capacity
	}
	since := own - a.own
	return max(own/capacity, a.asked+(since+max(0, since)*others)/capacity)
}

func (f *Front) linkAsked(now int64, at int) float64 {
	n := &f.nodes[at]
	return asked(&n.link, n.own, f.capacity(now, at), 0)
}

// uplinkAsked is the account of a rack's uplink: told, or else added up over the rack's links.
func (f *Front) uplinkAsked(now int64, rk int) float64 {
	r := &f.racks[rk]
	a := asked(&r.link, r.own, f.uplink(now, rk), (f.val("fronts")-1)/2)
	if f.val("reports.uplink") > 0 {
		return a
	}
	return max(a, f.rackSum(now, rk)/f.uplink(now, rk))
}

// rackSum adds up what is asked of a rack's links, kB a second.
func (f *Front) rackSum(now int64, rk int) float64 {
	sum := 0.0
	for i := range f.nodes {
		if f.nodes[i].rack == rk && f.nodes[i].listed {
			sum += f.linkAsked(now, i) * f.capacity(now, i)
		}
	}
	return sum
}

// rackShort infers an uplink from shorts across its rack where nobody reports it: links that are
// not all asked for and yet deliver short together. Guards against a sagging or weak uplink, which
// no figure shows and which steps up would run into over and over.
func (f *Front) rackShort(now int64, at int, share float64) bool {
	r := &f.racks[f.nodes[at].rack]
	if f.val("reports.uplink") > 0 {
		return r.link.at > 0 && r.link.asked >= roomMark
	}
	with, short := 0, 0
	for i := range f.nodes {
		if f.nodes[i].rack == f.nodes[at].rack && len(f.nodes[i].plays) > 0 {
			with++
			if s := f.shareNow(now, i); s < 1 && math.Abs(s-share) < alike {
				short++
			}
		}
	}
	if short < 2 || 2*short <= with {
		return false
	}
	if f.settled(now, r.seen.at) {
		r.seen = memory{share * f.rackSum(now, f.nodes[at].rack), now}
	}
	return true
}

// settled tells that what was done at a time has had the time to show in the notes.
func (f *Front) settled(now, at int64) bool {
	return at == 0 || now-at >= int64(f.val("note.lag"))+settle
}

// room is what a set-up may still ask at a node, kB a second.
func (f *Front) room(now int64, at int) float64 {
	full := f.capacity(now, at)
	link := roomMark*regained(now, f.nodes[at].seen, full) - f.linkAsked(now, at)*full
	rk := f.nodes[at].rack
	up := (roomMark - f.uplinkAsked(now, rk)) * f.uplink(now, rk)
	if s := f.shareNow(now, at); s < 1 {
		link = min(link, (roomMark-1/s)*f.capacity(now, at))
	}
	return min(link, up)
}

// fit is the highest rung that the room takes, with what the play itself holds there given back.
func (f *Front) fit(now int64, at int, p *ply, back float64) int {
	room := f.room(now, at) + back
	r := max(f.floor(p), min(f.top(p), f.reach()))
	for r > f.floor(p) && f.rate(p, r) > room {
		r--
	}
	return r
}

// report takes in what a node told of its link and uplink.
func (f *Front) report(now int64, at int, l front.Load) {
	n := &f.nodes[at]
	if l == n.told || l.Link < 0 && l.Uplink < 0 { // the same to the last digit is no news
		return
	}
	n.told = l
	late := 0.0 // set up too lately for the figure to hold it
	for _, h := range n.plays {
		if p := f.plays.Get(h); p.sent > 0 && now-p.sent < reportLag {
			late += f.rate(p, p.rung)
		}
	}
	if l.Link >= 0 {
		n.link = account{now, l.Link, n.own - late}
	}
	if l.Uplink >= 0 {
		r := &f.racks[n.rack]
		r.link = account{now, l.Uplink, r.own - late}
	}
	if l.Link >= 0 || l.Uplink >= 0 {
		f.cut(now, at, max(l.Link, l.Uplink), overMark)
	}
}

// probe asks a node for its load, as far as probes are earned.
func (f *Front) probe(now int64, at int, cost float64) {
	n := &f.nodes[at]
	if f.val("probing") == 0 || f.probes < cost || n.probing || now-n.probedAt < settle && n.probedAt > 0 {
		return
	}
	f.probes -= cost
	n.probing, n.probedAt = true, now
	f.res.Probes = append(f.res.Probes, at)
}

// ---- Rungs in play ----

func (f *Front) floor(p *ply) int { return int(f.of("product.floor", p.want.Product, 0)) }

func (f *Front) top(p *ply) int {
	rungs := len(f.set["rung.rate"]) - 1
	return max(f.floor(p), min(p.want.Top, rungs, int(f.of("product.top", p.want.Product, float64(rungs)))))
}

// setRung changes a play's rung and orders it.
func (f *Front) setRung(now int64, h front.Handle, p *ply, rung int) {
	if rung != p.rung {
		if rung > p.rung {
			p.raised = now
		}
		f.rerate(p, rung)
		f.res.Orders = append(f.res.Orders, front.Order{Play: h, Do: front.SetRung, Rung: rung})
	}
}

// reach is the highest rung that a play may step up to or start at: rungSpacing over the mean of
// the plays that could still rise. A rung more earns several times as much low on the ladder as
// high on it for the same rate, so the first to come must not fill the links.
func (f *Front) reach() int { return int(min(100, f.level+rungSpacing)) }

func (f *Front) rerate(p *ply, rung int) {
	more := f.rate(p, rung) - f.rate(p, p.rung)
	n := &f.nodes[p.node]
	n.own += more
	f.racks[n.rack].own += more
	p.rung = rung
}

// gain is the worth a second between a play's rung and the next below it.
func (f *Front) gain(p *ply, rung int) float64 {
	return f.of("product.importance", p.want.Product, 1) *
		(f.of("rung.worth", rung, 0) - f.of("rung.worth", rung-1, 0))
}

// short takes in a share: the link is asked 1/share of what it gives, unless its uplink is.
func (f *Front) short(now int64, at int, share float64) {
	n := &f.nodes[at]
	n.share, n.shareAt = share, now
	if share >= shortUnder {
		n.shortFrom = 0
		n.link.asked = min(n.link.asked, overMark)
		return
	}
	if n.shortFrom == 0 {
		n.shortFrom = now
	}
	if f.rackShort(now, at, share) {
		n.seen = memory{}
	} else if f.settled(now, n.seen.at) {
		n.seen = memory{share * f.linkAsked(now, at) * f.capacity(now, at), now}
	}
	f.cut(now, at, 1/share, 1)
}

// shareNow is the share delivered at a node as far as it is told; silence is a full share.
func (f *Front) shareNow(now int64, at int) float64 {
	if n := &f.nodes[at]; n.share < shortUnder && now-n.shareAt < shortHolds {
		return n.share
	}
	return 1
}

// cut steps own plays down where a link is asked more than a mark, each front by its part of
// the excess, those first that lose least for the rate they free.
func (f *Front) cut(now int64, at int, asks, mark float64) {
	n := &f.nodes[at]
	if asks <= mark || now-n.cutAt < int64(f.val("note.lag"))+settle && n.cutAt > 0 {
		return
	}
	goal := n.own * cutTo / asks
	for n.own > goal {
		var pick front.Handle
		var best *ply
		least := math.Inf(1)
		for _, h := range n.plays {
			p := f.plays.Get(h)
			if p.stage != playing || p.rung <= f.floor(p) {
				continue
			}
			if c := f.gain(p, p.rung) / (f.rate(p, p.rung) - f.rate(p, p.rung-1)); c < least {
				least, pick, best = c, h, p
			}
		}
		if best == nil {
			return
		}
		n.cutAt = now
		freed := f.rate(best, best.rung) - f.rate(best, best.rung-1)
		if f.rnd.Float()*freed > n.own-goal { // the last step only by its part: all fronts cut at once
			return
		}
		f.setRung(now, pick, best, best.rung-1)
	}
}

// raise steps one play of a node up if the next rate fits.
func (f *Front) raise(now int64, at int) {
	n := &f.nodes[at]
	quiet := int64(f.val("note.lag")) + settle
	if f.shareNow(now, at) < 1 || now-n.cutAt < quiet && n.cutAt > 0 ||
		now-n.raisedAt < quiet && n.link.at <= n.raisedAt {
		return
	}
	room := f.room(now, at)
	part := room / max(1, f.val("fronts")) // all fronts see the same room: each takes its part
	for part > 0 {
		var pick front.Handle
		var best *ply
		most := 0.0
		for _, h := range n.plays {
			p := f.plays.Get(h)
			if p.stage != playing || p.rung >= min(f.top(p), f.reach()) || now-p.raised < upEvery {
				continue
			}
			more := f.rate(p, p.rung+1) - f.rate(p, p.rung)
			left := max(leastLeft, now-p.started)
			if p.want.Length > 0 {
				left = max(0, p.taken+p.want.Length-now)
			}
			g := f.gain(p, p.rung+1)
			price := f.val("switch.seconds") * f.of("product.importance", p.want.Product, 1)
			if more <= room && g/more > most && g*float64(left)/float64(sec) > swapGain*price {
				most, pick, best = g/more, h, p
			}
		}
		if best == nil {
			return
		}
		if f.val("probing") > 0 && now-n.link.at > freshFor {
			f.probe(now, at, 0) // a step up earns many times a probe's price
			return
		}
		n.raisedAt = now
		more := f.rate(best, best.rung+1) - f.rate(best, best.rung)
		if f.rnd.Float()*more > part { // a step larger than the part left is taken by chance
			return
		}
		part, room = part-more, room-more
		f.setRung(now, pick, best, best.rung+1)
	}
}

// shed moves one play in shedEvery off a link that stays short when its plays are stepped down.
func (f *Front) shed(now int64, at int) {
	n := &f.nodes[at]
	if n.shortFrom == 0 || now-n.shareAt > shortHolds {
		n.shortFrom = 0
		return
	}
	if now-n.shortFrom < checkGap || n.shedAt > 0 && now-n.shedAt < shedEvery {
		return
	}
	var pick front.Handle
	var best *ply
	most := 0.0
	for _, h := range n.plays {
		p := f.plays.Get(h)
		v := f.viewers[p.want.Viewer]
		if p.stage != playing || v.moved && now-v.movedAt < moveEvery {
			continue
		}
		if p.rung > f.floor(p) {
			return // steps down come first
		}
		if c := f.rate(p, p.rung) / f.of("product.importance", p.want.Product, 1); c > most {
			most, pick, best = c, h, p
		}
	}
	if best != nil {
		n.shedAt = now
		v := &f.viewers[best.want.Viewer]
		v.moved, v.movedAt, v.left, v.leftAt = true, now, at+1, now
		f.res.Orders = append(f.res.Orders, front.Order{Play: pick, Do: front.Move})
	}
}

// ---- Health ----

// recall notes for a viewer which node it left or failed on.
func (f *Front) recall(now int64, p *ply, at int) {
	v := &f.viewers[p.want.Viewer]
	v.left, v.leftAt = at+1, now
}

// judge takes a set-up's end as a symptom. Guards against a node that fails or hangs while its
// kind does well; a node that was only full or draining is not sick.
func (f *Front) judge(now int64, at int, how front.Ending) {
	n := &f.nodes[at]
	switch how {
	case front.TurnedAway:
		n.refuseUntil = now + refusedFor<<min(n.refusals, refusedMost)
		n.refusals++
		f.cut(now, at, max(f.linkAsked(now, at), fullMark), 0)
	case front.NoConnect, front.Lost:
		f.broke(now, at)
	case front.Errored, front.NoAnswer:
		f.sick(now, at)
	}
}

func (f *Front) sick(now int64, at int) {
	n := &f.nodes[at]
	n.skipUntil = now + skipFor<<min(n.fails, doubleAt)
	n.fails++
	n.trial = true
}

// broke marks a node whose process or path went away: it may come back cold before the list says.
func (f *Front) broke(now int64, at int) {
	f.nodes[at].lostAt = now
	f.sick(now, at)
}

// healthy tells that a node is neither skipped nor busy with its one set-up on probation.
func (f *Front) healthy(now int64, at int) bool {
	n := &f.nodes[at]
	return now >= n.skipUntil && !(n.trial && n.settingUp > 0)
}

// ---- The six rules ----
// One answer: giveUp drops the play it answers. Drains: holds asks for a ready node.

func (f *Front) paid(p *ply) bool { return f.of("product.paid", p.want.Product, 1) > 0 }

// mayAgain keeps a paid play from running twice and further allocations within the budget.
func (f *Front) mayAgain(now int64, p *ply) bool {
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
	return float64(len(f.again)+1) <= f.val("budget.free")+f.val("budget.share")*float64(len(f.taken))
}

// since drops times before a moment, in place.
func since(times []int64, from int64) []int64 {
	k := 0
	for k < len(times) && times[k] < from {
		k++
	}
	return times[:copy(times, times[k:])]
}

// warmSince is the start that a node's warming counts from: the list's, or a return that we saw.
func (f *Front) warmSince(at int) int64 {
	n := &f.nodes[at]
	return max(n.started, n.backAt)
}

// warmth is the share of its power that a node has at least.
func (f *Front) warmth(now int64, at int) float64 {
	from, age, lasts := f.warmSince(at), float64(now-f.warmSince(at)), f.val("cold.lasts")
	if from == 0 || age >= lasts {
		return 1
	}
	return f.val("cold.share") + (1-f.val("cold.share"))*max(0, age)/lasts
}

// turnOf numbers the turns of a cold node since its start: one set-up each, the fronts in rotation.
// Together the turns stay under the allowance of any window, its one early send included.
func (f *Front) turnOf(now int64, at int) (turn int64, cold bool) {
	start, lasts := f.warmSince(at), f.val("cold.lasts")
	if f.warmth(now, at) >= 1 {
		return 0, false
	}
	age := float64(max(0, now-start))
	share := f.val("cold.share") + (1-f.val("cold.share"))*age/lasts/2 // mean since the start
	perTick := f.val("fall.multiple") * f.of("kind.streams", f.nodes[at].kind, 1) / lasts * share / coldMargin
	return int64(age * max(perTick-1/f.val("fall.over"), perTick/2)), true
}

// pace tells that this front may set up at a node: always on a warm one, else in its turn.
func (f *Front) pace(now int64, at int) bool {
	turn, cold := f.turnOf(now, at)
	fronts := max(1, int64(f.val("fronts")))
	return !cold || turn%fronts == int64(f.val("front"))%fronts && turn != f.nodes[at].slot
}

func (f *Front) useSlot(now int64, at int) {
	if turn, cold := f.turnOf(now, at); cold {
		f.nodes[at].slot = turn
	}
}

// seat is the count of plays held of a play's title and product.
func (f *Front) seat(p *ply) *int32 {
	i := p.want.Title*len(f.set["product.paid"]) + p.want.Product
	for i >= len(f.seats) {
		f.seats = append(f.seats, 0)
	}
	return &f.seats[i]
}

func (f *Front) seatFree(p *ply) bool {
	most := f.of("product.seats", p.want.Product, 0)
	return most == 0 || float64(*f.seat(p)) < most
}

// bind and unbind enter a play at a node: its seat, its rate and its place in the node's list.
func (f *Front) bind(h front.Handle, p *ply, at int) {
	p.node = at
	n := &f.nodes[at]
	n.plays = append(n.plays, h)
	n.own += f.rate(p, p.rung)
	f.racks[n.rack].own += f.rate(p, p.rung)
	*f.seat(p)++
}

func (f *Front) unbind(h front.Handle, p *ply) {
	n := &f.nodes[p.node]
	for i, o := range n.plays {
		if o == h {
			n.plays = append(n.plays[:i], n.plays[i+1:]...)
			break
		}
	}
	n.own -= f.rate(p, p.rung)
	f.racks[n.rack].own -= f.rate(p, p.rung)
	*f.seat(p)--
}
