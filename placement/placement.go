// Package placement implements the policy of a front end: it decides on which node and at which rung plays are
// placed, and when they are moved or ended.
//
// A front end creates one Policy with New and reports every event through the methods of decision.Policy; package
// decision defines that interface and its types. Each call returns the orders to carry out, the nodes to probe,
// the messages for other fronts and the latest time at which Wake must be called. The policy reads nothing else,
// neither a clock nor the network. Any message may be lost, so no rule depends on one. state.go declares the state
// and book.go maintains it; neither makes decisions. docs/design.md explains the reasons and docs/oncall.md the
// symptoms. The order of this file: constants, calls, placement, load estimates and messages, rung changes, node
// health, and the six rules.
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
	never = -1 << 50 // timestamp of an event that has not happened: far in the past

	// Values from the design page. Utilization is demand divided by capacity.
	minExploration    = 0.05      // share of set-ups that explore: the feature-greedy paper's best lower limit
	payoffTolerance   = 0.1       // kinds whose mean payoff is this close to the best are equal
	targetUtilization = 0.85      // set-ups and steps up keep the utilization below this
	payoffDelay       = 10 * sec  // time from a play's start until its payoff is sampled
	skipDuration      = 10 * sec  // a node that failed, or that the viewer left, is skipped this long
	shortConfirmDelay = 2 * sec   // a link must be short this long before a play is moved off it
	shedInterval      = 10 * sec  // at most one play is moved off a short link in this time
	moveInterval      = 300 * sec // minimum time between two moves of a viewer
	stepUpInterval    = 10 * sec  // minimum time between two steps up of a play

	// Values that the design page leaves open, except stepDownThreshold.
	stepDownThreshold     = 0.95      // utilization above which plays step down, from the design page
	stepDownTarget        = 0.92      // utilization that steps down aim at: avoids stalls, and oscillation against targetUtilization
	fullUtilization       = 1.0       // above it, one more play costs all plays of the link more than it gains
	fullReportMaxAge      = 4 * sec   // an older report is no reason to decline a play
	rungMargin            = 1.0       // rungs above meanRung at which a play may start or to which it may step up
	unknownNodeRungMargin = 0.5       // rungMargin for a node without reports: the mean, rounded
	fleetRungMargin       = 0.7       // replaces both margins if meanRung covers many fronts
	underusedRatio        = 0.7       // of the mean utilization: a link still below it after a step may exceed rungLimit
	minStepUpGain         = 3.0       // a step up must gain this multiple of its cost
	minRemaining          = 20 * sec  // a play of unknown length is assumed to last as long again as it has played, at least this
	shortShareThreshold   = 0.98      // delivered share of the rate below which a play loses value
	shortShareTTL         = 1500 * ms // validity of a shortage note, which repeats every second
	shareTolerance        = 0.1       // delivered shares this close indicate a common cause
	capacityRecoveryTime  = 25 * sec  // after this time the assumed capacity of a link seen short has doubled
	reportDecayTime       = 20 * sec  // a report this old counts no more than the mean utilization of all links
	averageWindow         = 10.0      // reports in the moving average of the utilization
	othersGrowthRatio     = 0.75      // of own growth since a report: assumed growth by the other fronts, if there are many
	bottomMargin          = 0.2       // rungs above the lowest possible meanRung at which all plays count as stepped down
	minStreamViewers      = 2.0       // expected viewers of a stream from which a play counts as sharing it
	gatherUtilization     = 0.5       // share of a link that the gathered viewers of one live title may use
	headroomTolerance     = 0.1       // holders within this share of the largest headroom are equal and drawn at random
	wakeInterval          = 200 * ms  // well below a second, and cheap
	settleTime            = 1500 * ms // time beyond note.lag until the smoothed load notes show a change
	freshReportMaxAge     = 1500 * ms // an older report is refreshed before a step up
	reportRecheckInterval = 32 * sec  // age at which the report of a node with one own play is refreshed; with n plays, 1/n of it
	reportLag             = 600 * ms  // a report may miss set-ups made this shortly before it; for a note, add note.lag
	maxQueriedHolders     = 4         // holders queried before a set-up if fronts exchange messages
	maxProbedHolders      = 2         // holders queried by probes, which have a cost
	peerSilenceTimeout    = 15 * sec  // without any message for this long, answers are not awaited; for twice as long, the peers' mean rung is dropped
	queryTimeout          = 100 * ms  // longest wait for the answer to a query before a set-up
	probesPerPlay         = 0.7       // probe credit earned per accepted play: keeps the cost of probes near its unit
	maxProbeCredit        = 20.0      // limit of saved probe credit: enough to look at a fleet once
	attemptTimeShare      = 0.5       // share of the time to the first-frame target that one attempt may use: leaves time for another
	waitTimeShare         = 0.4       // share of the first-frame target that a play may wait for a cold or full node
	rejectionBackoff      = 1 * sec   // a node that rejected a play as full is skipped this long, doubled per consecutive failure
	maxBackoffDoublings   = 2         // limits the backoff to 4 s, as long as late reports show the node as empty
	turnsPerGrant         = 4         // a cold node's owner grants one set-up per this many turns
	coldPaceMargin        = 1.3       // factor by which all fronts together stay below the limit of a cold node
	budgetWindowMargin    = 20 * ms   // safety margin at both ends of the budget window

	// Messages between fronts: a type and the key of a node. Reports and grants add the utilization of the node's
	// link and uplink, the age of these figures, and the mean rung of the sender's plays.
	messageQuery     = 'a'
	messageReport    = 'f'
	messageGrant     = 'l'      // a report with permission to set up one play on a cold node
	unknownByte      = 255      // the sender does not know this value
	utilizationSteps = 64.0     // steps per unit of utilization, up to about 4
	ageUnit          = 100 * ms // resolution of the age, up to 25 s
	meanRungSteps    = 16.0     // steps per rung of a mean rung
	meanRungOffset   = 4.0      // rungs added to a mean rung, which may be negative
	maxPeerWeight    = 20.0     // weight limit of the peers' mean rung, counted in messages
	fullPeerWeight   = 4.0      // weight of the peers' mean rung from which meanRung is taken to hold for the whole fleet
)

// New returns the policy of one front end. settings maps names to numbers; docs/design.md lists the names.
func New(settings map[string][]float64, seed uint64) *Policy {
	f := &Policy{settings: settings, rng: pcg.New(seed), probeCredit: maxProbeCredit, startedAt: math.MaxInt64, nodesByKey: map[uint32]int{}}
	f.racks = make([]rack, max(1, int(f.setting("racks"))))
	f.cells = make([][]int, max(1, int(f.setting("cells"))))
	f.kinds = make([]kindStats, len(settings["kind.streams"]))
	f.productOffsets = f.computeOffsets()
	return f
}

// ---- Calls ----

func (f *Policy) endCall(now int64) *decision.Result {
	f.result.WakeAt = now + wakeInterval
	if len(f.waiting) > 0 { // mostly for answers to queries, which time out after queryTimeout
		f.result.WakeAt = now + queryTimeout
	}
	return &f.result
}

// UpdateNodes applies the node list. Nodes missing from a complete list are gone.
func (f *Policy) UpdateNodes(now int64, list []decision.Node, complete bool) *decision.Result {
	f.beginCall()
	f.startedAt = min(f.startedAt, now)
	for i := range f.nodes {
		if complete && f.nodes[i].listed {
			f.nodes[i].listed, f.nodes[i].unlistedAt = false, now
		}
	}
	for _, entry := range list {
		n := f.ensureNode(entry.Index)
		if entry.StartedAt > n.startedAt { // restarted: cold, healthy, load unknown
			n.lastTurn, n.linkLoad, n.observed, n.consecutiveFailures, n.skipUntil = -1, loadEstimate{}, capacityObservation{}, 0, 0
		}
		n.listed = entry.Phase != decision.Gone
		if !n.listed {
			n.unlistedAt = now
		}
		n.phase, n.kind, n.zone, n.cell = entry.Phase, entry.Kind, entry.Zone, entry.Cell
		n.rack, n.startedAt, n.weight, n.key = entry.Cell%len(f.racks), entry.StartedAt, entry.Weight, entry.Key
		f.nodesByKey[entry.Key] = entry.Index
	}
	f.rebuildLists()
	return f.endCall(now)
}

// AddPlay accepts a play and places it, queues it or answers it.
func (f *Policy) AddPlay(now int64, req decision.Request) (decision.Handle, *decision.Result) {
	f.beginCall()
	h, p := f.accept(now, req)
	f.acceptedTimes = append(dropBefore(f.acceptedTimes, now-int64(f.setting("budget.over"))+budgetWindowMargin), now)
	f.probeCredit = min(maxProbeCredit, f.probeCredit+probesPerPlay)
	f.place(now, h, p)
	return h, f.endCall(now)
}

func (f *Policy) accept(now int64, req decision.Request) (decision.Handle, *play) {
	for req.Viewer >= len(f.viewers) {
		f.viewers = append(f.viewers, unknownViewer)
	}
	h, p := f.plays.Add()
	*p = play{request: req, attempt: -1, acceptedAt: now, sentAt: never, steppedUpAt: now - stepUpInterval}
	p.rung = f.floorRung(p)
	return h, p
}

// AdoptPlay takes over a play that already runs on a node.
func (f *Policy) AdoptPlay(now int64, req decision.Request, idx int) (decision.Handle, *decision.Result) {
	f.beginCall()
	h, p := f.accept(now, req)
	f.ensureNode(idx)
	p.attempt, p.stage, p.startedAt = 0, playing, now
	f.bind(h, p, idx)
	return h, f.endCall(now)
}

// AttemptStarted moves a play from set-up to playing and clears the failure count of its node.
func (f *Policy) AttemptStarted(now int64, h decision.Handle, attempt int) *decision.Result {
	f.beginCall()
	if p := f.plays.Get(h); p != nil && p.stage == settingUp && p.attempt == attempt {
		p.stage, p.startedAt = playing, now
		n := &f.nodes[p.node]
		n.consecutiveFailures = 0
		if n.disconnectedAt > f.warmupStart(p.node) { // it returned, cold again, before the list shows its restart
			n.returnedAt, n.lastTurn = now, -1
		}
	}
	return f.endCall(now)
}

// AttemptEnded records how an allocation ended, and reallocates the play if that is due and safe.
func (f *Policy) AttemptEnded(now int64, h decision.Handle, attempt int, outcome decision.Outcome, finished bool,
	load decision.Load) *decision.Result {
	f.beginCall()
	p := f.plays.Get(h)
	if p == nil || p.stage == pending || p.attempt != attempt {
		return f.endCall(now)
	}
	idx, previousStage := p.node, p.stage
	f.unbind(h, p)
	if f.applyReport(now, idx, load, reportLag, 0) {
		f.sendReport(now, f.ownerOf(idx), idx, messageReport)
	}
	if outcome != decision.Served && outcome != decision.NotSent && previousStage != abandoned {
		f.viewers[p.request.Viewer].lastNode, f.viewers[p.request.Viewer].leftAt = idx+1, now
	}
	// An error for a title that plays nowhere else may be caused by the title. This keeps nodes from being skipped
	// for faulty titles or requests. Drawback: a node that fails only for rare titles goes unnoticed.
	if (previousStage != playing || outcome == decision.ConnectionLost) && (outcome != decision.Errored || f.playsElsewhere(p)) {
		f.recordFailure(now, idx, outcome)
	}
	if previousStage == settingUp && outcome != decision.Served && outcome != decision.NotSent {
		f.addPayoff(f.nodes[idx].kind, -1)
	}
	if finished || previousStage != settingUp {
		f.plays.Drop(h)
		return f.endCall(now)
	}
	p.stage = pending
	p.mayHaveRun = p.mayHaveRun || outcome.MayHaveRun()
	f.place(now, h, p)
	return f.endCall(now)
}

// ViewerLeft drops a play whose viewer left, once its allocation has ended.
func (f *Policy) ViewerLeft(now int64, h decision.Handle) *decision.Result {
	f.beginCall()
	if p := f.plays.Get(h); p != nil && p.stage == pending {
		f.plays.Drop(h)
	} else if p != nil && p.stage == settingUp {
		p.stage = abandoned
		if f.setting("recall") > 0 {
			f.addOrder(decision.Order{Play: h, Action: decision.Cancel, Attempt: p.attempt})
		}
	}
	return f.endCall(now)
}

// RungReported sets the rung of an adopted play.
func (f *Policy) RungReported(now int64, h decision.Handle, rung int) *decision.Result {
	f.beginCall()
	if p := f.plays.Get(h); p != nil && p.stage == playing {
		f.updateRung(p, rung)
		f.setRung(now, h, p, max(rung, f.floorRung(p)))
		// An adopted play runs on any holder, not only on those that gather viewers.
		if f.mayShareStream(p) && len(f.holders(p)) > 0 {
			before := f.rate(p, p.rung)
			f.joinStream(p, float64(f.viewersOf(p))*f.setting("fronts")/float64(len(f.holderBuf)))
			f.addRate(p.node, f.rate(p, p.rung)-before)
		}
	}
	return f.endCall(now)
}

// DeliveryReported handles a note of the delivered share: below shortShareThreshold the link or its uplink is
// short.
func (f *Policy) DeliveryReported(now int64, h decision.Handle, share float64) *decision.Result {
	f.beginCall()
	if p := f.plays.Get(h); p != nil && p.stage == playing {
		f.applyShare(now, p.node, share)
	}
	return f.endCall(now)
}

// LoadReported handles a note of the utilization of a link or an uplink.
func (f *Policy) LoadReported(now int64, h decision.Handle, load decision.Load) *decision.Result {
	f.beginCall()
	if p := f.plays.Get(h); p != nil && (p.stage == playing || p.stage == settingUp) {
		lag := reportLag
		if p.stage == playing && now-p.startedAt > reportLag { // all but the note sent at set-up
			lag += int64(f.setting("note.lag"))
		}
		noFreshReport := !f.peersEnabled() && lag == reportLag && now-f.nodes[p.node].linkLoad.reportedAt > freshReportMaxAge
		accepted := f.applyReport(now, p.node, load, lag, 0)
		// The first report corrects the rung of a play that started without a fresh report. This covers links that
		// many fronts fill at once, unknown to each other. Drawback: one report far too high keeps a play at a low
		// rung.
		if accepted && noFreshReport && max(load.Link, load.Uplink) > stepDownThreshold {
			f.setRung(now, h, p, min(p.rung, f.fitRung(now, p.node, p, f.headroom(now, p.node)+f.rate(p, p.rung))))
		}
		complete := load.Uplink >= 0 || f.setting("reports.uplink") == 0 // the uplink's note follows the link's
		if accepted && complete && (lag == reportLag || f.rng.Float() < f.ownDemandShare(now, p.node)) {
			// Later notes reach all fronts with plays there, so each forwards its share of them.
			f.sendReport(now, f.ownerOf(p.node), p.node, messageReport)
		}
	}
	return f.endCall(now)
}

// MessageReceived handles a message of another front: a query, a report or a grant. Messages on nodes that are not
// on this front's own list are ignored, and reports count by their age.
func (f *Policy) MessageReceived(now int64, from int, b []byte) *decision.Result {
	f.beginCall()
	if !f.peersEnabled() || from < 0 || from >= int(f.setting("fronts")) || len(b) < 5 {
		return f.endCall(now)
	}
	f.lastMessageAt = now
	idx, known := f.nodesByKey[binary.BigEndian.Uint32(b[1:])]
	if !known || !f.nodes[idx].listed {
		return f.endCall(now)
	}
	n := &f.nodes[idx]
	switch {
	case b[0] == messageQuery && len(b) == 5:
		kind := byte(messageReport)
		if f.mayGrant(now, idx) {
			n.lastTurn, _ = f.coldTurn(now, idx)
			kind = messageGrant
		}
		f.sendReport(now, from, idx, kind)
	case (b[0] == messageReport || b[0] == messageGrant) && len(b) == 9:
		n.probing = false
		if b[0] == messageGrant && from == f.ownerOf(idx) {
			n.grantedUntil = n.probedAt + queryTimeout
		}
		if b[8] != unknownByte {
			f.peerWeight = min(f.peerWeight+1, maxPeerWeight)
			f.peerMeanRung += (float64(b[8])/meanRungSteps - meanRungOffset - f.peerMeanRung) / f.peerWeight
		}
		age, load := int64(b[7])*ageUnit, decision.Load{Streams: -1, Link: decodeUtilization(b[5]), Uplink: decodeUtilization(b[6])}
		if f.applyReport(now, idx, load, reportLag+age, age) {
			f.adjustSetUps(now, idx)
		}
		f.placeWaiting(now, false)
	}
	return f.endCall(now)
}

// ProbeEnded records the report of a probe, and adjusts the rungs of plays that are still being set up.
func (f *Policy) ProbeEnded(now int64, idx int, outcome decision.Outcome, load decision.Load) *decision.Result {
	f.beginCall()
	n := f.ensureNode(idx)
	n.probing = false
	if outcome == decision.Served {
		f.applyReport(now, idx, load, reportLag, 0)
		f.adjustSetUps(now, idx)
	}
	f.placeWaiting(now, false)
	return f.endCall(now)
}

// Wake performs timed work: waiting plays, payoffs, steps up, and moving plays off short links.
func (f *Policy) Wake(now int64) *decision.Result {
	f.beginCall()
	f.placeWaiting(now, true)
	belowTop, rungSum, playingCount := 0, 0.0, 0
	for i := range f.plays.Len() {
		_, p := f.plays.At(i)
		if p == nil || p.stage != playing {
			continue
		}
		if !p.sampled && now-p.startedAt >= payoffDelay {
			p.sampled = true
			f.addPayoff(f.nodes[p.node].kind, 2*f.currentShare(now, p.node)-1)
		}
		if playingCount++; p.rung < f.topRung(p) {
			belowTop, rungSum = belowTop+1, rungSum+float64(p.rung)-f.rungOffset(p)
		}
	}
	if now-f.lastMessageAt > 2*peerSilenceTimeout { // the mean rungs of the peers are out of date
		f.peerWeight = 0
	}
	f.ownMeanRung = rungSum / float64(max(1, belowTop))
	f.anyBelowTop = belowTop > 0
	f.meanRung = (rungSum + f.peerMeanRung*f.peerWeight) / max(1, float64(belowTop)+f.peerWeight)
	if belowTop == 0 && playingCount > 0 {
		f.meanRung = math.Inf(1)
	}
	f.allAtFloor = false
	for i, offset := range f.productOffsets { // true once it holds for one product, the one with the highest floor
		f.allAtFloor = f.allAtFloor || belowTop > 0 && f.meanRung <= f.settingAt("product.floor", i, 0)-f.fleetConfidence()*offset+bottomMargin
	}
	if !f.anyReport { // no report yet: assume that every other front carries as much as this one
		ownRate, capacity := 0.0, 1.0
		for idx := range f.nodes {
			if f.nodes[idx].listed {
				ownRate, capacity = ownRate+f.nodes[idx].ownRate, capacity+f.capacity(now, idx)
			}
		}
		f.meanUtilization = ownRate * max(1, f.setting("fronts")) / capacity
		f.meanUplinkUtilization = ownRate * max(1, f.setting("fronts")) / (1 + f.setting("uplink.rate")*float64(len(f.racks)))
	}
	for idx := range f.nodes {
		if len(f.nodes[idx].plays) > 0 {
			f.shed(now, idx)
			f.stepUp(now, idx)
		}
	}
	return f.endCall(now)
}

// ForgetViewer clears the record of a viewer so that its number can be reused, or returns false while the record
// may still affect a decision. This bounds the memory of a front that runs for months.
func (f *Policy) ForgetViewer(now int64, viewer int) bool {
	if viewer >= len(f.viewers) {
		return true
	}
	v := &f.viewers[viewer]
	if v.lastNode > 0 && now-v.leftAt < skipDuration || now-v.movedAt < moveInterval {
		return false
	}
	*v = unknownViewer
	return true
}

// ForgetNode does for a node what ForgetViewer does for a viewer.
func (f *Policy) ForgetNode(now int64, idx int) bool {
	if idx >= len(f.nodes) {
		return true
	}
	n := &f.nodes[idx] // viewers that left this node skip its number for skipDuration
	if n.listed || n.probing && !f.peersEnabled() || len(n.plays) > 0 || now-n.unlistedAt < skipDuration {
		return false
	}
	if f.nodesByKey[n.key] == idx {
		delete(f.nodesByKey, n.key)
	}
	*n = unknownNode
	return true
}

// ---- Placement: feature-greedy selection ----

// addPayoff adds a payoff sample of a kind.
func (f *Policy) addPayoff(kind int, payoff float64) {
	f.samples++
	f.kinds[kind].count++
	f.kinds[kind].sum += payoff
}

// meanPayoff returns the mean payoff of a kind, or that of all kinds if it has no samples.
func (f *Policy) meanPayoff(kind int) float64 {
	if k := f.kinds[kind]; k.count > 0 {
		return k.sum / float64(k.count)
	}
	sum := 0.0
	for _, k := range f.kinds {
		sum += k.sum
	}
	return sum / float64(max(1, f.samples))
}

// place allocates a pending play, queues it until a node can take it, or answers it at once.
func (f *Policy) place(now int64, h decision.Handle, p *play) {
	idx, wait := -1, false
	if p.attempt+1 < int(f.setting("tries")) && now < p.request.Deadline && f.seatAvailable(p) && f.mayReallocate(now, p) {
		idx, wait = f.chooseNode(now, p)
		if !p.queried && (idx >= 0 || f.coldHolder >= 0 && f.peersEnabled()) {
			p.queried = true
			if f.queryHolders(now, p, idx) {
				f.waiting = append(f.waiting, h)
				return
			}
		}
	}
	if idx < 0 {
		if wait && p.request.Deadline-now > 2*wakeInterval { // as in queryHolders
			f.waiting = append(f.waiting, h)
		} else {
			f.answerUnplaced(h, p)
		}
		return
	}
	n := &f.nodes[idx]
	p.rung, p.stage, p.sentAt = f.fitRung(now, idx, p, f.headroom(now, idx)), settingUp, now
	if p.attempt++; p.attempt > 0 {
		f.reallocationTimes = append(dropBefore(f.reallocationTimes, now-int64(f.setting("budget.over"))-budgetWindowMargin), now)
	}
	n.lastTurn, _ = f.coldTurn(now, idx)
	n.grantedUntil = 0
	f.bind(h, p, idx)
	f.addOrder(decision.Order{Play: h, Action: decision.Place, Node: idx, Rung: p.rung, Until: f.attemptDeadline(now, p)})
	if now-n.linkLoad.reportedAt > freshReportMaxAge {
		f.requestLoad(now, idx, 1)
	}
}

// queryHolders requests the load of the chosen holder and of equal holders drawn at random, if their reports are
// old: of one by a probe, or of several from their owners, one of these for permission to use a cold holder. It
// returns whether to wait for an answer before placing the play. This avoids placing plays without load data, and
// on nodes that died while still listed. It costs a probe or messages. Drawback: it delays plays to no use if
// reports are very late.
func (f *Policy) queryHolders(now int64, p *play, idx int) bool {
	// The next Wake may be too late.
	if !f.probingEnabled() && !f.peersEnabled() || p.request.Deadline-now <= 2*wakeInterval {
		return false
	}
	for i := range p.queriedNodes {
		p.queriedNodes[i] = idx
		switch {
		case idx < 0 || i == maxQueriedHolders-1 && f.coldHolder >= 0 && f.peersEnabled():
			p.queriedNodes[i] = f.coldHolder
		case i > 0 && (i < maxProbedHolders || f.peersEnabled()):
			p.queriedNodes[i] = f.candidates[f.rng.Below(len(f.candidates))].node
		}
		if p.queriedNodes[i] == f.coldHolder || now-f.nodes[p.queriedNodes[i]].linkLoad.reportedAt > freshReportMaxAge {
			f.requestLoad(now, p.queriedNodes[i], 1)
		}
	}
	return f.awaitingAnswers(now, p) && (!f.peersEnabled() || now-f.lastMessageAt < peerSilenceTimeout)
}

// awaitingAnswers returns whether a play still waits for the answer to a query.
func (f *Policy) awaitingAnswers(now int64, p *play) bool {
	for _, idx := range p.queriedNodes {
		if n := &f.nodes[idx]; n.probing && now-n.probedAt < queryTimeout {
			return p.queried
		}
	}
	return false
}

// placeWaiting places waiting plays whose queries are answered or timed out. Plays that wait for a node are
// retried only if retryAll is set.
func (f *Policy) placeWaiting(now int64, retryAll bool) {
	waiting := f.waiting
	f.waiting = f.waiting[:0]
	for _, h := range waiting {
		p := f.plays.Get(h)
		switch {
		case p == nil || p.stage != pending:
		case f.awaitingAnswers(now, p) || !retryAll && !p.queried:
			f.waiting = append(f.waiting, h)
		default:
			f.place(now, h, p)
		}
	}
}

// attemptDeadline returns when an allocation is given up. A paid play waits until its deadline; others leave time
// for one more attempt within the first-frame target, if one is allowed.
func (f *Policy) attemptDeadline(now int64, p *play) int64 {
	target := p.acceptedAt + int64(f.settingAt("product.target", p.request.Product, 0))
	if f.paid(p) || p.attempt+2 >= int(f.setting("tries")) || now >= target {
		return p.request.Deadline
	}
	return min(p.request.Deadline, now+int64(attemptTimeShare*float64(target-now)))
}

// chooseNode selects a node among the holders by the feature-greedy rule. It returns -1 if none can take the play
// now, and whether to wait because one soon may. If all are skipped, one that reported its load since its failure
// is tried, so that plays are not declined after mere connection failures. Drawback: this also tries nodes that
// return errors.
func (f *Policy) chooseNode(now int64, p *play) (idx int, wait bool) {
	waitUntil := p.acceptedAt + int64(waitTimeShare*f.settingAt("product.target", p.request.Product, 0))
	holders := f.holders(p)
	gatherShare := f.gatherShare(p, len(holders))
	minRate := f.rate(p, f.floorRung(p))
	f.candidates, f.coldHolder = f.candidates[:0], -1
	coldCount := 0
	for _, i := range holders {
		if f.nodes[i].phase != decision.Ready {
			continue
		}
		c, full := candidate{node: i, headroom: f.headroom(now, i)}, false
		if c.headroom < minRate { // the utilization matters only in this case
			c.utilization = f.highestUtilization(now, i)
			if full = f.isFull(now, i, c.utilization, minRate); full && f.probingEnabled() {
				f.requestLoad(now, i, 1)
			}
		}
		allowed := f.maySetUp(now, i)
		if !allowed && now >= f.nodes[i].skipUntil {
			if coldCount++; f.rng.Below(coldCount) == 0 {
				f.coldHolder = i
			}
		}
		if n := &f.nodes[i]; full || !allowed || now < n.skipUntil && n.linkLoad.reportedAt <= n.failedAt {
			wait = wait || now < waitUntil && f.nodes[i].skipUntil < waitUntil
			continue
		}
		c.rung = f.fitRung(now, i, p, c.headroom)
		f.candidates = append(f.candidates, c)
	}
	if len(f.candidates) == 0 {
		return -1, wait
	}
	f.prefer(func(c *candidate) bool { return now >= f.nodes[c.node].skipUntil })
	if v := &f.viewers[p.request.Viewer]; now-v.leftAt < skipDuration {
		f.prefer(func(c *candidate) bool { return c.node != v.lastNode-1 })
	}
	f.prefer(func(c *candidate) bool { return c.headroom >= minRate })
	if gatherShare < 1 {
		f.prefer(func(c *candidate) bool { return f.hashFraction(c.node, p) < gatherShare })
	}
	if f.peersEnabled() { // prefer nodes with recent reports to estimates
		f.prefer(func(c *candidate) bool {
			return c.headroom >= minRate && now-f.nodes[c.node].linkLoad.reportedAt <= fullReportMaxAge
		})
	}
	if f.candidates[0].headroom < minRate { // no headroom: use the least utilized
		least := f.candidates[0]
		for _, c := range f.candidates {
			if c.utilization < least.utilization {
				least = c
			}
		}
		return least.node, false
	}
	eps := 1.0
	if f.samples > 0 {
		eps = max(minExploration, 1/math.Sqrt(float64(f.samples)))
	}
	explore := f.rng.Float() < eps
	bestMean, bestRung, bestHeadroom := math.Inf(-1), 0, 0.0
	for _, c := range f.candidates {
		bestMean = max(bestMean, f.meanPayoff(f.nodes[c.node].kind))
	}
	if !explore {
		f.prefer(func(c *candidate) bool { return f.meanPayoff(f.nodes[c.node].kind) >= bestMean-payoffTolerance })
	}
	for _, c := range f.candidates {
		bestRung = max(bestRung, c.rung)
	}
	// Holders that allow the same rung are equal. Among these the own zone comes first: traffic between zones has
	// a cost, and a partition between zones breaks plays.
	f.prefer(func(c *candidate) bool { return c.rung >= bestRung && f.ownZone(c.node) })
	for _, c := range f.candidates {
		bestHeadroom = max(bestHeadroom, c.headroom)
	}
	if !explore {
		f.prefer(func(c *candidate) bool { return c.headroom >= bestHeadroom*(1-headroomTolerance) })
	}
	return f.candidates[f.rng.Below(len(f.candidates))].node, false
}

// gatherShare returns the share of its holders on which the viewers of a live title are gathered, and sets what
// one more viewer adds. Every front is assumed to have as many viewers; the number of nodes is chosen so that
// these viewers use gatherUtilization of each link. This avoids streams with a single viewer. Drawback: the
// assumption is wrong if only a few fronts have viewers of a title.
func (f *Policy) gatherShare(p *play, holderCount int) float64 {
	if !f.mayShareStream(p) || holderCount == 0 {
		return 1
	}
	nodes := float64(holderCount)
	p.savedShare, p.sharesStream = 0, false
	viewers, ratePerViewer := float64(f.viewersOf(p))*max(1, f.setting("fronts")), f.setting("join")*f.rate(p, f.topRung(p))
	capacity := f.setting("weight.rate")
	if uplinkPerNode := f.setting("uplink.rate") * float64(len(f.racks)) / max(1, float64(f.listed)); uplinkPerNode > 0 {
		capacity = min(capacity, uplinkPerNode)
	}
	share := min(1, max(1, viewers*ratePerViewer/(gatherUtilization*capacity))/nodes)
	f.joinStream(p, viewers/(share*nodes))
	return share
}

// mayShareStream returns whether viewers of a play's title may share a stream.
func (f *Policy) mayShareStream(p *play) bool {
	return f.settingAt("join", 0, 1) < 1 && f.settingAt("product.live", p.request.Product, 0) > 0
}

// joinStream marks a play as sharing a stream, given the expected number of viewers per stream. It then adds less
// to the link and keeps its best rung: alone on another rung it would use more than its step down frees.
func (f *Policy) joinStream(p *play, viewers float64) {
	if viewers >= minStreamViewers {
		p.savedShare, p.sharesStream = (1-f.setting("join"))*(1-1/viewers), true
	}
}

// hashFraction maps a node and a title to a number from 0 to 1 that is the same at every front.
func (f *Policy) hashFraction(idx int, p *play) float64 {
	x := uint64(f.nodes[idx].key)<<32 | uint64(p.request.Key)
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return float64((x^x>>32)>>11) / (1 << 53)
}

func (f *Policy) ownZone(idx int) bool { return f.nodes[idx].zone == int(f.settingAt("zone", 0, -1)) }

// isFull returns whether one more play would cost all plays of a node more than it gains: a recent report shows
// the link as fully used, and own plays there cannot step down to make room. This stops a burst of viewers from
// overloading links whose plays are all at their floor. An old report is no reason to decline a play.
func (f *Policy) isFull(now int64, idx int, utilization, need float64) bool {
	n := &f.nodes[idx]
	if now-max(n.linkLoad.reportedAt, f.racks[n.rack].uplinkLoad.reportedAt, n.deliveredShareAt) > fullReportMaxAge ||
		utilization+need/f.capacity(now, idx) <= fullUtilization {
		return false
	}
	for _, h := range n.plays {
		if p := f.plays.Get(h); p.stage == playing {
			need -= f.rate(p, p.rung) - f.rate(p, f.floorRung(p))
		}
	}
	return need > 0
}

// ---- Load estimates and messages between fronts ----

func (f *Policy) rate(p *play, rung int) float64 {
	if p.sharesStream {
		rung = f.topRung(p)
	}
	return f.settingAt("rung.rate", rung, 0) * f.settingAt("product.rate", p.request.Product, 1) * (1 - p.savedShare)
}

func (f *Policy) capacity(now int64, idx int) float64 {
	return f.setting("weight.rate") * f.nodes[idx].weight * f.warmShare(now, idx)
}

// uplinkCapacity returns the capacity of a rack's uplink: the configured mean, or less after the rack was seen
// short.
func (f *Policy) uplinkCapacity(now int64, rackIdx int) float64 {
	nominal := f.setting("uplink.rate")
	if nominal <= 0 {
		nominal = math.Inf(1)
	}
	return recoveredCapacity(now, f.racks[rackIdx].observed, nominal)
}

// recoveredCapacity returns the assumed capacity of a link or uplink after it was seen short: the observed
// capacity at first, growing back to the nominal one, slowly at the start. This covers intermittent faults, and
// weak links that nobody reports. It costs some seconds at low rungs after a fault is over.
func recoveredCapacity(now int64, obs capacityObservation, nominal float64) float64 {
	if obs.observedAt == 0 {
		return nominal
	}
	age := float64(now-obs.observedAt) / float64(capacityRecoveryTime)
	return min(nominal, obs.capacity*(1+age*age))
}

// estimateUtilization returns the larger of own demand and the last report plus what changed since: own changes,
// and an assumed growth by the other fronts. With its age a report decays to the mean utilization. This keeps
// fronts from crowding onto a node because of an old report, and from stepping up on links without reports.
// Drawback: the estimate is poor if links differ permanently and are seldom reported.
func (f *Policy) estimateUtilization(now int64, est loadEstimate, ownRate, capacity, mean float64) float64 {
	othersShare := 1 - 1/max(1, f.setting("fronts"))
	ownChange, age := ownRate-est.ownRate, float64(now-est.reportedAt)/float64(reportDecayTime)
	reported := max(ownRate/capacity, est.utilization+(ownChange+max(0, ownChange)*othersShare*othersGrowthRatio)/capacity)
	return max(ownRate/capacity, reported+(mean-reported)*min(1, age*age))
}

func (f *Policy) linkUtilization(now int64, idx int) float64 {
	n := &f.nodes[idx]
	return f.estimateUtilization(now, n.linkLoad, n.ownRate, f.capacity(now, idx), f.meanUtilization)
}

// uplinkUtilization returns the utilization of a rack's uplink: estimated from its reports, or else the sum over
// the links of the rack.
func (f *Policy) uplinkUtilization(now int64, rackIdx int) float64 {
	r := &f.racks[rackIdx]
	if f.setting("reports.uplink") > 0 {
		return f.estimateUtilization(now, r.uplinkLoad, r.ownRate, f.uplinkCapacity(now, rackIdx), f.meanUplinkUtilization)
	}
	return f.rackDemand(now, rackIdx) / f.uplinkCapacity(now, rackIdx)
}

// rackDemand returns the total demand on a rack's links, in kB/s.
func (f *Policy) rackDemand(now int64, rackIdx int) float64 {
	r := &f.racks[rackIdx]
	if r.demandAt != now || r.demandVersion != f.loadVersion { // otherwise the stored sum is still valid
		r.demand, r.demandAt, r.demandVersion = 0, now, f.loadVersion
		for _, i := range r.nodes {
			r.demand += f.linkUtilization(now, i) * f.capacity(now, i)
		}
	}
	return r.demand
}

// highestUtilization returns the highest utilization of a node: of its link, of its uplink, or implied by its
// delivered share.
func (f *Policy) highestUtilization(now int64, idx int) float64 {
	return max(f.linkUtilization(now, idx), f.uplinkUtilization(now, f.nodes[idx].rack), 1/f.currentShare(now, idx))
}

// headroom returns the rate that set-ups may still add to a node, in kB/s.
func (f *Policy) headroom(now int64, idx int) float64 {
	n, capacity := &f.nodes[idx], f.capacity(now, idx)
	link := targetUtilization*recoveredCapacity(now, n.observed, capacity) - f.linkUtilization(now, idx)*capacity
	return min(link, (targetUtilization-f.uplinkUtilization(now, n.rack))*f.uplinkCapacity(now, n.rack))
}

// fitRung returns the highest rung that the headroom and rungAllowed permit.
func (f *Policy) fitRung(now int64, idx int, p *play, headroom float64) int {
	rung := f.topRung(p)
	if p.sharesStream {
		if f.allAtFloor && f.highestUtilization(now, idx) > fullUtilization {
			return f.floorRung(p)
		}
		return rung
	}
	for rung > f.floorRung(p) && (f.rate(p, rung) > headroom || !f.rungAllowed(now, idx, p, rung, f.rate(p, rung))) {
		rung--
	}
	return rung
}

// rungAllowed returns whether a play may take a rung that adds addedRate to a link: one up to rungLimit, or any if
// the link stays far below the mean utilization. This keeps nodes with unpopular titles from staying empty while
// full nodes keep rungLimit low. Drawback: it does harm if a burst of viewers arrives at just these nodes.
func (f *Policy) rungAllowed(now int64, idx int, p *play, rung int, addedRate float64) bool {
	return float64(rung) <= f.rungLimit(now, idx)+f.rungOffset(p) ||
		f.linkUtilization(now, idx)+addedRate/f.capacity(now, idx) <= underusedRatio*f.meanUtilization
}

// rungLimit returns the highest rung at which a play may start or to which it may step up. For the same rate a
// step gains several times as much at the bottom of the ladder as at the top, so the first plays must not fill the
// links. On a node without reports or own plays the limit is the mean rung, rounded: a start that is too high
// costs all plays there and a rung change, one that is too low a step up. Drawback: this limits starts needlessly
// on nodes that are hardly used and seldom reported.
func (f *Policy) rungLimit(now int64, idx int) float64 {
	if n := &f.nodes[idx]; now-n.linkLoad.reportedAt > reportDecayTime && len(n.plays) == 0 {
		return f.meanRung + unknownNodeRungMargin + (fleetRungMargin-unknownNodeRungMargin)*f.fleetConfidence()
	}
	return f.meanRung + rungMargin + (fleetRungMargin-rungMargin)*f.fleetConfidence()
}

// fleetConfidence returns how far meanRung holds for the fleet, from 0 (own plays only) to 1.
func (f *Policy) fleetConfidence() float64 { return min(1, f.peerWeight/fullPeerWeight) }

// rungOffset returns how many rungs a play may be above others because its steps gain more per rate. It is scaled
// by levelConfidence: applied to the mean of a few own plays it would only add noise.
func (f *Policy) rungOffset(p *play) float64 {
	return f.fleetConfidence() * f.productOffsets[p.request.Product]
}

// computeOffsets returns the rung offsets of the products, relative to their mean. Each rung of the ladder divides
// the gain per rate of a step by about the same factor, and the importance multiplies it; hence the logarithms.
func (f *Policy) computeOffsets() []float64 {
	offsets, mean, top := make([]float64, len(f.settings["product.rate"])), 0.0, len(f.settings["rung.rate"])-1
	step := func(name string, r int) float64 { return f.settingAt(name, r, 0) - f.settingAt(name, r-1, 0) }
	gainPerRate := func(r int) float64 { return step("rung.worth", r) / step("rung.rate", r) }
	if top < 2 || !(gainPerRate(1) > gainPerRate(top) && gainPerRate(top) > 0) {
		return offsets // the ladder does not decrease in that way: no offsets
	}
	logRatioPerRung := math.Log(gainPerRate(1)/gainPerRate(top)) / float64(top-1)
	for i := range offsets {
		offsets[i] = math.Log(f.settingAt("product.importance", i, 1)/f.settingAt("product.rate", i, 1)) / logRatioPerRung
		mean += offsets[i] / float64(len(offsets))
	}
	for i := range offsets {
		offsets[i] -= mean
	}
	return offsets
}

// applyReport stores a node's report of its link and uplink. lag is how long before the report a change may be
// missing from it, and age how old the report is. It returns false if the report is empty or older than the stored
// one.
func (f *Policy) applyReport(now int64, idx int, load decision.Load, lag, age int64) bool {
	n := &f.nodes[idx]
	if load.Link < 0 && load.Uplink < 0 || age > 0 && now-age <= n.linkLoad.reportedAt {
		return false
	}
	f.loadVersion++
	unreported := 0.0
	for _, h := range n.plays {
		if p := f.plays.Get(h); now-p.sentAt < lag {
			unreported += f.rate(p, p.rung)
		} else if now-p.steppedUpAt < lag && p.rung > 0 {
			unreported += f.stepRate(p, p.rung)
		}
	}
	if load.Link >= 0 {
		f.meanUtilization, f.anyReport = f.meanUtilization+(load.Link-f.meanUtilization)/averageWindow, true
		n.linkLoad = loadEstimate{now - age, load.Link, n.ownRate - unreported}
	}
	if r := &f.racks[n.rack]; load.Uplink >= 0 {
		f.meanUplinkUtilization += (load.Uplink - f.meanUplinkUtilization) / averageWindow
		r.uplinkLoad = loadEstimate{now - age, load.Uplink, r.ownRate - unreported}
	}
	f.stepDown(now, idx, max(load.Link, load.Uplink), stepDownThreshold)
	return true
}

// adjustSetUps adapts the rungs of plays that are still being set up to a new report.
func (f *Policy) adjustSetUps(now int64, idx int) {
	for _, h := range f.nodes[idx].plays {
		if p := f.plays.Get(h); p.stage == settingUp {
			f.setRung(now, h, p, f.fitRung(now, idx, p, f.headroom(now, idx)+f.rate(p, p.rung)))
		}
	}
}

// peersEnabled returns whether fronts may send each other messages.
func (f *Policy) peersEnabled() bool { return f.setting("peers") > 0 }

// ownerOf returns the front that collects a node's reports for all fronts and grants set-ups while the node is
// cold. All fronts compute the same owner.
func (f *Policy) ownerOf(idx int) int {
	return int(f.nodes[idx].key) % max(1, int(f.setting("fronts")))
}

// sendReport sends the load of a node to another front.
func (f *Policy) sendReport(now int64, to, idx int, kind byte) {
	n := &f.nodes[idx]
	if !f.peersEnabled() || to == int(f.setting("front")) {
		return
	}
	link, uplink, age := byte(unknownByte), byte(unknownByte), now-n.linkLoad.reportedAt
	if n.linkLoad.reportedAt > 0 && age < 255*ageUnit {
		link = encodeUtilization(n.linkLoad.utilization)
		if r := &f.racks[n.rack]; r.uplinkLoad.reportedAt > 0 && now-r.uplinkLoad.reportedAt < reportDecayTime {
			uplink = encodeUtilization(r.uplinkLoad.utilization)
		}
	}
	meanRung := byte(unknownByte)
	if f.anyBelowTop {
		meanRung = byte(max(0, min(unknownByte-1, math.Round((f.ownMeanRung+meanRungOffset)*meanRungSteps))))
	}
	f.addMessage(to, kind, n.key, link, uplink, byte(min(255, age/ageUnit)), meanRung)
}

// probingEnabled returns whether probes are allowed and worth their cost, which they are not if answers and notes
// carry the load: then each front learns the load of the nodes that it uses anyway.
func (f *Policy) probingEnabled() bool {
	return f.setting("probing") > 0 && f.setting("reports.answers") == 0
}

// requestLoad requests a node's load: from its owner if fronts may message each other, otherwise by a probe as far
// as probe credit allows. The owner's answer may be lost.
func (f *Policy) requestLoad(now int64, idx int, cost float64) {
	n, to := &f.nodes[idx], f.ownerOf(idx)
	if now-n.probedAt < settleTime {
		return
	}
	switch {
	case f.peersEnabled() && to != int(f.setting("front")):
		f.addMessage(to, messageQuery, n.key)
	case !f.peersEnabled() && f.probingEnabled() && f.probeCredit >= cost && !n.probing:
		f.probeCredit -= cost
		f.result.Probes = append(f.result.Probes, idx)
	default:
		return
	}
	n.probing, n.probedAt = true, now
}

// ---- Rung changes ----

func (f *Policy) floorRung(p *play) int {
	return int(f.settingAt("product.floor", p.request.Product, 0))
}

func (f *Policy) topRung(p *play) int {
	rungs := len(f.settings["rung.rate"]) - 1
	return max(f.floorRung(p), min(p.request.MaxRung, rungs, int(f.settingAt("product.top", p.request.Product, float64(rungs)))))
}

func (f *Policy) importance(p *play) float64 {
	return f.settingAt("product.importance", p.request.Product, 1)
}

// stepGain returns the value per second that a rung adds to the one below it.
func (f *Policy) stepGain(p *play, rung int) float64 {
	return f.importance(p) * (f.settingAt("rung.worth", rung, 0) - f.settingAt("rung.worth", rung-1, 0))
}

// stepRate returns the rate that a rung adds to the one below it, in kB/s.
func (f *Policy) stepRate(p *play, rung int) float64 { return f.rate(p, rung) - f.rate(p, rung-1) }

// setRung changes a play's rung and adds the order.
func (f *Policy) setRung(now int64, h decision.Handle, p *play, rung int) {
	if rung == p.rung {
		return
	}
	if rung > p.rung {
		p.steppedUpAt = now
	}
	f.updateRung(p, rung)
	f.addOrder(decision.Order{Play: h, Action: decision.SetRung, Rung: rung})
}

// currentShare returns the delivered share that a node last reported, or 1 without a valid report of a shortage.
func (f *Policy) currentShare(now int64, idx int) float64 {
	if n := &f.nodes[idx]; n.deliveredShare < shortShareThreshold && now-n.deliveredShareAt < shortShareTTL {
		return n.deliveredShare
	}
	return 1
}

// settled returns whether a change has had time to show in the notes.
func (f *Policy) settled(now, changedAt int64) bool {
	return now-changedAt >= int64(f.setting("note.lag"))+settleTime
}

// applyShare records a delivered share: the utilization of the link or its uplink is taken to be 1/share.
func (f *Policy) applyShare(now int64, idx int, share float64) {
	n := &f.nodes[idx]
	n.deliveredShare, n.deliveredShareAt = share, now
	if share >= shortShareThreshold {
		n.shortSince = 0
		return
	}
	if n.shortSince == 0 {
		n.shortSince = now
	}
	// The capacity of a link that is cold, or was when the note was sent, says nothing about its capacity when
	// warm.
	if f.uplinkIsShort(now, idx, share) || f.warmShare(now-settleTime-int64(f.setting("note.lag")), idx) < 1 {
		n.observed = capacityObservation{}
	} else {
		f.recordCapacity(now, &n.observed, share*f.linkUtilization(now, idx)*f.capacity(now, idx))
	}
	f.stepDown(now, idx, 1/share, 1)
}

// uplinkIsShort returns whether the uplink is the bottleneck: as reported, or, if uplinks are not reported,
// inferred when most links of the rack deliver a similarly short share. This detects weak or degrading uplinks.
// Drawback: if several links of a rack fail alike, the rack takes fewer plays for a while.
func (f *Policy) uplinkIsShort(now int64, idx int, share float64) bool {
	rackIdx := f.nodes[idx].rack
	r := &f.racks[rackIdx]
	if f.setting("reports.uplink") > 0 {
		return r.uplinkLoad.reportedAt > 0 && r.uplinkLoad.utilization >= targetUtilization
	}
	inUse, short := 0, 0
	for _, i := range r.nodes {
		if len(f.nodes[i].plays) > 0 {
			inUse++
			if s := f.currentShare(now, i); s < 1 && math.Abs(s-share) < shareTolerance {
				short++
			}
		}
	}
	if short < 2 || 2*short <= inUse {
		return false
	}
	f.recordCapacity(now, &r.observed, share*f.rackDemand(now, rackIdx))
	return true
}

// recordCapacity stores the observed capacity of a short link or uplink, once per settling time as notes repeat.
func (f *Policy) recordCapacity(now int64, obs *capacityObservation, capacity float64) {
	if obs.observedAt == 0 || f.settled(now, obs.observedAt) {
		*obs = capacityObservation{capacity, now}
	}
}

// stepDown lowers the rungs of own plays on a link whose utilization exceeds a threshold. Each front takes its
// share of the excess, from the plays that lose least for the rate they free. Until a previous step down shows in
// the notes, only utilization beyond the one it acted on counts: a link may degrade further while its first, mild
// reports are acted on. Drawback: if reports fluctuate, the worst one counts.
func (f *Policy) stepDown(now int64, idx int, utilization, threshold float64) {
	n, goal := &f.nodes[idx], stepDownTarget/utilization
	if !f.settled(now, n.steppedDownAt) {
		goal = n.stepDownUtilization / utilization
	}
	if utilization <= threshold || goal >= 1 {
		return
	}
	n.stepDownUtilization = utilization
	for _, h := range n.plays { // shared streams step down last, with all their plays at once
		p := f.plays.Get(h)
		if f.allAtFloor && utilization > fullUtilization && p.sharesStream && p.stage == playing && p.rung > f.floorRung(p) {
			n.steppedDownAt = now
			f.setRung(now, h, p, p.rung-1)
		}
	}
	for goal *= n.ownRate; n.ownRate > goal; {
		h, p := f.bestPlay(idx, func(p *play) float64 {
			if p.rung <= f.floorRung(p) {
				return 0
			}
			return f.stepRate(p, p.rung) / f.stepGain(p, p.rung)
		})
		if p == nil {
			return
		}
		n.steppedDownAt = now
		// All fronts step down at once, so the last step is taken with the probability of its needed part.
		if f.rng.Float()*f.stepRate(p, p.rung) > n.ownRate-goal {
			return
		}
		f.setRung(now, h, p, p.rung-1)
	}
}

// ownDemandShare returns the share of own plays in a link's demand.
func (f *Policy) ownDemandShare(now int64, idx int) float64 {
	return f.nodes[idx].ownRate / max(1, f.nodes[idx].ownRate, f.linkUtilization(now, idx)*f.capacity(now, idx))
}

// stepUp raises the rungs of a node's plays while the next rate fits. All fronts see the same headroom, so each
// uses its share of it, for the plays that gain most for the rate.
func (f *Policy) stepUp(now int64, idx int) {
	n := &f.nodes[idx]
	if f.currentShare(now, idx) < 1 || !f.settled(now, n.steppedDownAt) ||
		!f.settled(now, n.steppedUpAt) && n.linkLoad.reportedAt <= n.steppedUpAt {
		return
	}
	headroom := f.headroom(now, idx)
	// The report is out of date: it is refreshed below.
	if f.probingEnabled() && now-n.linkLoad.reportedAt > reportRecheckInterval/int64(len(n.plays)) {
		headroom = math.Inf(1)
	}
	ownHeadroom := headroom * f.ownDemandShare(now, idx)
	for ownHeadroom > 0 {
		h, p := f.bestPlay(idx, func(p *play) float64 {
			if p.rung >= f.topRung(p) || now-p.steppedUpAt < stepUpInterval || f.stepRate(p, p.rung+1) > headroom {
				return 0
			}
			if !p.sharesStream && !f.rungAllowed(now, idx, p, p.rung+1, f.stepRate(p, p.rung+1)) {
				return 0
			}
			remaining := max(minRemaining, now-p.startedAt)
			if p.request.Length > 0 {
				remaining = max(0, p.acceptedAt+p.request.Length-now)
			}
			gain := f.stepGain(p, p.rung+1)
			if gain*float64(remaining)/float64(sec) <= minStepUpGain*f.setting("switch.seconds")*f.importance(p) {
				return 0
			}
			return gain / f.stepRate(p, p.rung+1)
		})
		if p == nil {
			return
		}
		if f.probingEnabled() && now-n.linkLoad.reportedAt > freshReportMaxAge {
			// Already requested, or a step drawn, just before.
			if now-n.steppedUpAt < stepUpInterval/int64(len(n.plays)) {
				return
			}
			f.requestLoad(now, idx, 0) // free of credit: a step up gains many times the cost of a probe
			return
		}
		n.steppedUpAt = now
		addedRate := f.stepRate(p, p.rung+1)
		// A step larger than the remaining share is taken at random in proportion.
		if f.rng.Float()*addedRate > ownHeadroom {
			return
		}
		ownHeadroom, headroom = ownHeadroom-addedRate, headroom-addedRate
		f.setRung(now, h, p, p.rung+1)
	}
}

// shed moves one play per shedInterval off a link that stays short although its plays have stepped down.
func (f *Policy) shed(now int64, idx int) {
	n := &f.nodes[idx]
	if now-n.deliveredShareAt > shortShareTTL {
		n.shortSince = 0
	}
	if n.shortSince == 0 || now-n.shortSince < shortConfirmDelay || now-n.shedAt < shedInterval {
		return
	}
	if _, p := f.bestPlay(idx, func(p *play) float64 { return float64(p.rung - f.floorRung(p)) }); p != nil {
		return // steps down come first
	}
	h, p := f.bestPlay(idx, func(p *play) float64 {
		if now-f.viewers[p.request.Viewer].movedAt < moveInterval {
			return 0
		}
		return f.rate(p, p.rung) / f.importance(p)
	})
	n.shedAt = now
	// Own plays that exceed the capacity of the link.
	excessPlays := float64(len(n.plays)) * (1 - f.currentShare(now, idx))
	// All fronts together move about one play.
	if p != nil && f.rng.Float() < max(excessPlays, f.ownDemandShare(now, idx)) {
		f.viewers[p.request.Viewer] = viewer{idx + 1, now, now}
		f.addOrder(decision.Order{Play: h, Action: decision.Move})
	}
}

// ---- Health ----

// recordFailure updates the health of a node after an allocation ended. A node that fails, does not answer or
// disconnects is skipped, twice as long after a repeated failure; this covers single bad nodes of an otherwise
// good kind. A node that rejected a play as full is skipped for a short time, whatever late reports show.
func (f *Policy) recordFailure(now int64, idx int, outcome decision.Outcome) {
	n := &f.nodes[idx]
	switch outcome {
	case decision.Rejected:
		n.skipUntil = max(n.skipUntil, now+rejectionBackoff<<min(n.consecutiveFailures, maxBackoffDoublings))
		n.failedAt, n.consecutiveFailures = n.skipUntil, n.consecutiveFailures+1
	case decision.NoConnect, decision.ConnectionLost: // it may return cold before the list shows its restart
		n.disconnectedAt = now
		fallthrough
	case decision.Errored, decision.NoAnswer:
		n.skipUntil, n.failedAt = now+skipDuration<<min(n.consecutiveFailures, 1), now
		n.consecutiveFailures++
	}
}

// ---- The six rules, each implemented in one place ----

// answerUnplaced answers a play that cannot be placed and drops it, so that it is answered once. A paid play that
// may have run fails; others are declined.
func (f *Policy) answerUnplaced(h decision.Handle, p *play) {
	if f.paid(p) && p.mayHaveRun {
		f.addOrder(decision.Order{Play: h, Action: decision.Fail})
	} else {
		f.addOrder(decision.Order{Play: h, Action: decision.Decline,
			RetryAfter: int64(min(1, f.setting("comeback")) * f.setting("comeback.most"))})
	}
	f.plays.Drop(h)
}

func (f *Policy) paid(p *play) bool { return f.settingAt("product.paid", p.request.Product, 1) > 0 }

// mayReallocate returns whether another attempt is allowed: a paid play must not run twice, and reallocations must
// stay within the budget.
func (f *Policy) mayReallocate(now int64, p *play) bool {
	if p.attempt < 0 {
		return true
	}
	if f.paid(p) && p.mayHaveRun {
		return false
	}
	window := int64(f.setting("budget.over"))
	if window == 0 {
		return true
	}
	f.acceptedTimes = dropBefore(f.acceptedTimes, now-window+budgetWindowMargin)
	f.reallocationTimes = dropBefore(f.reallocationTimes, now-window-budgetWindowMargin)
	limit := f.setting("budget.free") + f.setting("budget.share")*float64(len(f.acceptedTimes))
	return float64(len(f.reallocationTimes)+1) <= limit
}

// warmupStart returns when a node started to warm up: at its start, or at a return that this front observed.
func (f *Policy) warmupStart(idx int) int64 {
	return max(f.nodes[idx].startedAt, f.nodes[idx].returnedAt)
}

// warmShare returns the minimum share of its capacity that a node has while it warms up.
func (f *Policy) warmShare(now int64, idx int) float64 {
	start := f.warmupStart(idx)
	age := float64(now-start) / f.setting("cold.lasts")
	if start == 0 || age >= 1 {
		return 1
	}
	return f.setting("cold.share") + (1-f.setting("cold.share"))*max(0, age)
}

// coldTurn returns the number of the current turn of a cold node since its start. Fronts rotate through the turns,
// with one set-up each. Together they stay within the limit of any window, one early set-up included.
func (f *Policy) coldTurn(now int64, idx int) (turn int64, cold bool) {
	share := f.warmShare(now, idx)
	if share >= 1 {
		return 0, false
	}
	age := float64(max(0, now-f.warmupStart(idx)))
	rate := f.setting("fall.multiple") * f.settingAt("kind.streams", f.nodes[idx].kind, 1) / f.setting("cold.lasts")
	rate *= (f.setting("cold.share") + share) / 2 / coldPaceMargin // mean capacity share since its start
	return int64(age * max(rate-1/f.setting("fall.over"), rate/2)), true
}

// maySetUp returns whether this front may set up a play on a node: always on a warm one; on a cold one once in its
// turn or, if fronts message each other, with a grant of the node's owner.
func (f *Policy) maySetUp(now int64, idx int) bool {
	n := &f.nodes[idx]
	turn, cold := f.coldTurn(now, idx)
	if !cold || f.peersEnabled() {
		return !cold || now < n.grantedUntil || f.ownerOf(idx) == int(f.setting("front")) && f.mayGrant(now, idx)
	}
	fronts := max(1, int64(f.setting("fronts")))
	return turn%fronts == int64(f.setting("front"))%fronts && turn != n.lastTurn
}

// mayGrant returns whether this front, as the owner of a cold node, may grant one set-up. It uses one in
// turnsPerGrant turns, so that fronts that still go by turns fit within coldPaceMargin as well. A lost grant
// leaves its turn unused. An owner that has just started grants none, as it does not know its earlier grants.
func (f *Policy) mayGrant(now int64, idx int) bool {
	turn, cold := f.coldTurn(now, idx)
	return cold && f.nodes[idx].phase == decision.Ready && turn/turnsPerGrant > f.nodes[idx].lastTurn/turnsPerGrant &&
		now-f.startedAt > int64(f.setting("fall.over"))
}

func (f *Policy) seatAvailable(p *play) bool {
	seats := f.settingAt("product.seats", p.request.Product, 0)
	return seats == 0 || float64(*f.seatCount(p)) < seats
}
