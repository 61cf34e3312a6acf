// Package placement implements the policy of a front end: it decides on which node and at which rung plays are
// placed, and when they are moved or ended.
//
// A front end creates one Policy with New and reports every event through the methods of decision.Policy; package
// decision defines that interface and its types. Each call returns the orders to carry out, the nodes to probe,
// the messages for other fronts and the latest time at which Wake must be called. The policy reads nothing else,
// neither a clock nor the network. Any message may be lost, so no rule depends on one. state.go declares the state
// and book.go maintains it; neither makes decisions. docs/design.md explains the reasons and docs/oncall.md the
// symptoms. The order of this file: constants, calls, placement, load estimates and messages, rung changes, node
// health, and the six rules of the design page.
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
	stepDownTarget        = 0.92      // target of steps down: avoids stalls, and oscillation against targetUtilization
	fullUtilization       = 1.0       // above it, one more play costs all plays of the link more than it gains
	fullReportMaxAge      = 4 * sec   // an older report is no reason to decline a play
	rungMargin            = 1.0       // rungs above meanRung at which a play may start or to which it may step up
	unknownNodeRungMargin = 0.5       // rungMargin for a node without reports: the mean, rounded
	fleetRungMargin       = 0.7       // replaces both margins if meanRung covers many fronts
	underusedRatio        = 0.7       // of the mean utilization: a link still below it after a step may exceed rungLimit
	minStepUpGain         = 3.0       // a step up must gain this multiple of its cost
	minRemaining          = 20 * sec  // assumed rest of a play of unknown length: as long as it has played, at least this
	shortShareThreshold   = 0.98      // delivered share of the rate below which a play loses value
	shortShareTTL         = 1500 * ms // validity of a shortage note, which repeats every second
	shareTolerance        = 0.1       // delivered shares this close indicate a common cause
	capacityRecoveryTime  = 25 * sec  // after this time the assumed capacity of a link seen short has doubled
	reportDecayTime       = 20 * sec  // a report this old counts no more than the mean utilization of all links
	averageWindow         = 10.0      // reports in the moving average of the utilization
	othersGrowthRatio     = 0.75      // of own growth since a report: assumed growth by the other fronts, if there are many
	bottomMargin          = 0.2       // rungs above the lowest possible meanRung up to which all plays count as stepped down
	minStreamViewers      = 2.0       // expected viewers of a stream from which a play counts as sharing it
	gatherUtilization     = 0.5       // share of a link that the gathered viewers of one live title may use
	headroomTolerance     = 0.1       // holders within this share of the largest headroom are equal and drawn at random
	wakeInterval          = 200 * ms  // well below a second, and cheap
	settleTime            = 1500 * ms // time beyond note.lag until the smoothed load notes show a change
	freshReportMaxAge     = 1500 * ms // an older report is refreshed before a step up
	reportRecheckInterval = 32 * sec  // a report is refreshed at this age divided by the number of own plays
	reportLag             = 600 * ms  // a report may miss set-ups made this shortly before it; for a note, add note.lag
	maxQueriedHolders     = 4         // holders queried before a set-up if fronts exchange messages
	maxProbedHolders      = 2         // holders queried by probes, which have a cost
	peerSilenceTimeout    = 15 * sec  // without messages: answers are not awaited, after twice this the peers' mean rung is dropped
	queryTimeout          = 100 * ms  // longest wait for the answer to a query before a set-up
	probesPerPlay         = 0.7       // probe credit earned per accepted play: keeps the cost of probes near its unit
	maxProbeCredit        = 20.0      // limit of saved probe credit: enough to look at a fleet once
	attemptTimeShare      = 0.5       // share of the time to the first-frame target for one attempt: leaves time for another
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
	pol := &Policy{settings: settings, rng: pcg.New(seed), probeCredit: maxProbeCredit,
		startedAt: math.MaxInt64, nodesByKey: map[uint32]int{}}
	pol.racks = make([]rack, max(1, int(pol.setting("racks"))))
	pol.cells = make([][]int, max(1, int(pol.setting("cells"))))
	pol.kinds = make([]kindStats, len(settings["kind.streams"]))
	pol.productOffsets = pol.computeOffsets()
	return pol
}

// ---- Calls ----

func (pol *Policy) endCall(now int64) *decision.Result {
	pol.result.WakeAt = now + wakeInterval
	if len(pol.waiting) > 0 { // mostly for answers to queries, which time out after queryTimeout
		pol.result.WakeAt = now + queryTimeout
	}
	return &pol.result
}

// UpdateNodes applies the node list. Nodes missing from a complete list are gone.
func (pol *Policy) UpdateNodes(now int64, list []decision.Node, complete bool) *decision.Result {
	pol.beginCall()
	pol.startedAt = min(pol.startedAt, now)
	for i := range pol.nodes {
		if complete && pol.nodes[i].listed {
			pol.nodes[i].listed, pol.nodes[i].unlistedAt = false, now
		}
	}
	for _, entry := range list {
		n := pol.ensureNode(entry.Index)
		if entry.StartedAt > n.startedAt { // restarted: cold, healthy, load unknown
			n.lastTurn, n.linkLoad, n.observed, n.consecutiveFailures, n.skipUntil = -1, loadEstimate{}, capacityObservation{}, 0, 0
		}
		n.listed = entry.Phase != decision.Gone
		if !n.listed {
			n.unlistedAt = now
		}
		n.phase, n.kind, n.zone, n.cell = entry.Phase, entry.Kind, entry.Zone, entry.Cell
		n.rack, n.startedAt, n.weight, n.key = entry.Cell%len(pol.racks), entry.StartedAt, entry.Weight, entry.Key
		pol.nodesByKey[entry.Key] = entry.Index
	}
	pol.rebuildLists()
	return pol.endCall(now)
}

// AddPlay accepts a play and places it, queues it or answers it.
func (pol *Policy) AddPlay(now int64, req decision.Request) (decision.Handle, *decision.Result) {
	pol.beginCall()
	h, p := pol.accept(now, req)
	pol.acceptedTimes = append(dropBefore(pol.acceptedTimes, now-int64(pol.setting("budget.over"))+budgetWindowMargin), now)
	pol.probeCredit = min(maxProbeCredit, pol.probeCredit+probesPerPlay)
	pol.place(now, h, p)
	return h, pol.endCall(now)
}

func (pol *Policy) accept(now int64, req decision.Request) (decision.Handle, *play) {
	for req.Viewer >= len(pol.viewers) {
		pol.viewers = append(pol.viewers, unknownViewer)
	}
	h, p := pol.plays.Add()
	*p = play{request: req, attempt: -1, acceptedAt: now, sentAt: never, steppedUpAt: now - stepUpInterval}
	p.rung = pol.floorRung(p)
	return h, p
}

// AdoptPlay takes over a play that already runs on a node.
func (pol *Policy) AdoptPlay(now int64, req decision.Request, idx int) (decision.Handle, *decision.Result) {
	pol.beginCall()
	h, p := pol.accept(now, req)
	pol.ensureNode(idx)
	p.attempt, p.stage, p.startedAt = 0, playing, now
	pol.bind(h, p, idx)
	return h, pol.endCall(now)
}

// AttemptStarted moves a play from set-up to playing and clears the failure count of its node.
func (pol *Policy) AttemptStarted(now int64, h decision.Handle, attempt int) *decision.Result {
	pol.beginCall()
	if p := pol.plays.Get(h); p != nil && p.stage == settingUp && p.attempt == attempt {
		p.stage, p.startedAt = playing, now
		n := &pol.nodes[p.node]
		n.consecutiveFailures = 0
		if n.disconnectedAt > pol.warmupStart(p.node) { // it returned, cold again, before the list shows its restart
			n.returnedAt, n.lastTurn = now, -1
		}
	}
	return pol.endCall(now)
}

// AttemptEnded records how an allocation ended, and reallocates the play if that is due and safe.
func (pol *Policy) AttemptEnded(now int64, h decision.Handle, attempt int, outcome decision.Outcome, finished bool,
	load decision.Load) *decision.Result {
	pol.beginCall()
	p := pol.plays.Get(h)
	if p == nil || p.stage == pending || p.attempt != attempt {
		return pol.endCall(now)
	}
	idx, previousStage := p.node, p.stage
	pol.unbind(h, p)
	if pol.applyReport(now, idx, load, reportLag, 0) {
		pol.sendReport(now, pol.ownerOf(idx), idx, messageReport)
	}
	if outcome != decision.Served && outcome != decision.NotSent && previousStage != abandoned {
		pol.viewers[p.request.Viewer].lastNode, pol.viewers[p.request.Viewer].leftAt = idx+1, now
	}
	// An error for a title that plays nowhere else may be caused by the title. This keeps nodes from being skipped
	// for faulty titles or requests. Drawback: a node that fails only for rare titles goes unnoticed.
	if (previousStage != playing || outcome == decision.ConnectionLost) &&
		(outcome != decision.Errored || pol.playsElsewhere(p)) {
		pol.recordFailure(now, idx, outcome)
	}
	if previousStage == settingUp && outcome != decision.Served && outcome != decision.NotSent {
		pol.addPayoff(pol.nodes[idx].kind, -1)
	}
	if finished || previousStage != settingUp {
		pol.plays.Remove(h)
		return pol.endCall(now)
	}
	p.stage = pending
	p.mayHaveRun = p.mayHaveRun || outcome.MayHaveRun()
	pol.place(now, h, p)
	return pol.endCall(now)
}

// ViewerLeft drops a play whose viewer left, once its allocation has ended.
func (pol *Policy) ViewerLeft(now int64, h decision.Handle) *decision.Result {
	pol.beginCall()
	if p := pol.plays.Get(h); p != nil && p.stage == pending {
		pol.plays.Remove(h)
	} else if p != nil && p.stage == settingUp {
		p.stage = abandoned
		if pol.setting("recall") > 0 {
			pol.addOrder(decision.Order{Play: h, Action: decision.Cancel, Attempt: p.attempt})
		}
	}
	return pol.endCall(now)
}

// RungReported sets the rung of an adopted play.
func (pol *Policy) RungReported(now int64, h decision.Handle, rung int) *decision.Result {
	pol.beginCall()
	if p := pol.plays.Get(h); p != nil && p.stage == playing {
		pol.updateRung(p, rung)
		pol.setRung(now, h, p, max(rung, pol.floorRung(p)))
		// An adopted play runs on any holder, not only on those that gather viewers.
		if pol.mayShareStream(p) && len(pol.holders(p)) > 0 {
			before := pol.rate(p, p.rung)
			pol.joinStream(p, float64(pol.viewersOf(p))*pol.setting("fronts")/float64(len(pol.holderBuf)))
			pol.addRate(p.node, pol.rate(p, p.rung)-before)
		}
	}
	return pol.endCall(now)
}

// DeliveryReported handles a note of the delivered share: below shortShareThreshold the link or its uplink is
// short.
func (pol *Policy) DeliveryReported(now int64, h decision.Handle, share float64) *decision.Result {
	pol.beginCall()
	if p := pol.plays.Get(h); p != nil && p.stage == playing {
		pol.applyShare(now, p.node, share)
	}
	return pol.endCall(now)
}

// LoadReported handles a note of the utilization of a link or an uplink.
func (pol *Policy) LoadReported(now int64, h decision.Handle, load decision.Load) *decision.Result {
	pol.beginCall()
	if p := pol.plays.Get(h); p != nil && (p.stage == playing || p.stage == settingUp) {
		lag := reportLag
		if p.stage == playing && now-p.startedAt > reportLag { // all but the note sent at set-up
			lag += int64(pol.setting("note.lag"))
		}
		noFreshReport := !pol.peersEnabled() && lag == reportLag && now-pol.nodes[p.node].linkLoad.reportedAt > freshReportMaxAge
		accepted := pol.applyReport(now, p.node, load, lag, 0)
		// The first report corrects the rung of a play that started without a fresh report. This covers links that
		// many fronts fill at once, unknown to each other. Drawback: one report far too high keeps a play at a low
		// rung.
		if accepted && noFreshReport && max(load.LinkUtilization, load.UplinkUtilization) > stepDownThreshold {
			pol.setRung(now, h, p, min(p.rung, pol.fitRung(now, p.node, p, pol.headroom(now, p.node)+pol.rate(p, p.rung))))
		}
		complete := load.UplinkUtilization >= 0 || pol.setting("reports.uplink") == 0 // the uplink's note follows the link's
		if accepted && complete && (lag == reportLag || pol.rng.Float64() < pol.ownDemandShare(now, p.node)) {
			// Later notes reach all fronts with plays there, so each forwards its share of them.
			pol.sendReport(now, pol.ownerOf(p.node), p.node, messageReport)
		}
	}
	return pol.endCall(now)
}

// MessageReceived handles a message of another front: a query, a report or a grant. Messages on nodes that are not
// on this front's own list are ignored, and reports count by their age.
func (pol *Policy) MessageReceived(now int64, from int, msg []byte) *decision.Result {
	pol.beginCall()
	if !pol.peersEnabled() || from < 0 || from >= int(pol.setting("fronts")) || len(msg) < 5 {
		return pol.endCall(now)
	}
	pol.lastMessageAt = now
	idx, known := pol.nodesByKey[binary.BigEndian.Uint32(msg[1:])]
	if !known || !pol.nodes[idx].listed {
		return pol.endCall(now)
	}
	n := &pol.nodes[idx]
	switch {
	case msg[0] == messageQuery && len(msg) == 5:
		kind := byte(messageReport)
		if pol.mayGrant(now, idx) {
			n.lastTurn, _ = pol.coldTurn(now, idx)
			kind = messageGrant
		}
		pol.sendReport(now, from, idx, kind)
	case (msg[0] == messageReport || msg[0] == messageGrant) && len(msg) == 9:
		n.probing = false
		if msg[0] == messageGrant && from == pol.ownerOf(idx) {
			n.grantedUntil = n.probedAt + queryTimeout
		}
		if msg[8] != unknownByte {
			pol.peerWeight = min(pol.peerWeight+1, maxPeerWeight)
			pol.peerMeanRung += (float64(msg[8])/meanRungSteps - meanRungOffset - pol.peerMeanRung) / pol.peerWeight
		}
		age, load := int64(msg[7])*ageUnit, decision.Load{Streams: -1, LinkUtilization: decodeUtilization(msg[5]), UplinkUtilization: decodeUtilization(msg[6])}
		if pol.applyReport(now, idx, load, reportLag+age, age) {
			pol.adjustSetUps(now, idx)
		}
		pol.placeWaiting(now, false)
	}
	return pol.endCall(now)
}

// ProbeEnded records the report of a probe, and adjusts the rungs of plays that are still being set up.
func (pol *Policy) ProbeEnded(now int64, idx int, outcome decision.Outcome, load decision.Load) *decision.Result {
	pol.beginCall()
	n := pol.ensureNode(idx)
	n.probing = false
	if outcome == decision.Served {
		pol.applyReport(now, idx, load, reportLag, 0)
		pol.adjustSetUps(now, idx)
	}
	pol.placeWaiting(now, false)
	return pol.endCall(now)
}

// Wake performs timed work: waiting plays, payoffs, steps up, and moving plays off short links.
func (pol *Policy) Wake(now int64) *decision.Result {
	pol.beginCall()
	pol.placeWaiting(now, true)
	belowTop, rungSum, playingCount := 0, 0.0, 0
	for i := range pol.plays.Len() {
		_, p := pol.plays.At(i)
		if p == nil || p.stage != playing {
			continue
		}
		if !p.sampled && now-p.startedAt >= payoffDelay {
			p.sampled = true
			pol.addPayoff(pol.nodes[p.node].kind, 2*pol.currentShare(now, p.node)-1)
		}
		if playingCount++; p.rung < pol.topRung(p) {
			belowTop, rungSum = belowTop+1, rungSum+float64(p.rung)-pol.rungOffset(p)
		}
	}
	if now-pol.lastMessageAt > 2*peerSilenceTimeout { // the mean rungs of the peers are out of date
		pol.peerWeight = 0
	}
	pol.ownMeanRung = rungSum / float64(max(1, belowTop))
	pol.anyBelowTop = belowTop > 0
	pol.meanRung = (rungSum + pol.peerMeanRung*pol.peerWeight) / max(1, float64(belowTop)+pol.peerWeight)
	if belowTop == 0 && playingCount > 0 {
		pol.meanRung = math.Inf(1)
	}
	pol.allAtFloor = false
	for i, offset := range pol.productOffsets { // true once it holds for one product, the one with the highest floor
		pol.allAtFloor = pol.allAtFloor || belowTop > 0 &&
			pol.meanRung <= pol.settingAt("product.floor", i, 0)-pol.fleetConfidence()*offset+bottomMargin
	}
	if !pol.anyReport { // no report yet: assume that every other front carries as much as this one
		ownRate, capacity := 0.0, 1.0
		for idx := range pol.nodes {
			if pol.nodes[idx].listed {
				ownRate, capacity = ownRate+pol.nodes[idx].ownRate, capacity+pol.capacity(now, idx)
			}
		}
		pol.meanUtilization = ownRate * max(1, pol.setting("fronts")) / capacity
		pol.meanUplinkUtilization = ownRate * max(1, pol.setting("fronts")) /
			(1 + pol.setting("uplink.rate")*float64(len(pol.racks)))
	}
	for idx := range pol.nodes {
		if len(pol.nodes[idx].plays) > 0 {
			pol.shed(now, idx)
			pol.stepUp(now, idx)
		}
	}
	return pol.endCall(now)
}

// ForgetViewer clears the record of a viewer so that its number can be reused, or returns false while the record
// may still affect a decision. This bounds the memory of a front that runs for months.
func (pol *Policy) ForgetViewer(now int64, viewer int) bool {
	if viewer >= len(pol.viewers) {
		return true
	}
	v := &pol.viewers[viewer]
	if v.lastNode > 0 && now-v.leftAt < skipDuration || now-v.movedAt < moveInterval {
		return false
	}
	*v = unknownViewer
	return true
}

// ForgetNode does for a node what ForgetViewer does for a viewer.
func (pol *Policy) ForgetNode(now int64, idx int) bool {
	if idx >= len(pol.nodes) {
		return true
	}
	n := &pol.nodes[idx] // viewers that left this node skip its number for skipDuration
	if n.listed || n.probing && !pol.peersEnabled() || len(n.plays) > 0 || now-n.unlistedAt < skipDuration {
		return false
	}
	if pol.nodesByKey[n.key] == idx {
		delete(pol.nodesByKey, n.key)
	}
	*n = unknownNode
	return true
}

// ---- Placement: feature-greedy selection ----

// addPayoff adds a payoff sample of a kind.
func (pol *Policy) addPayoff(kind int, payoff float64) {
	pol.samples++
	pol.kinds[kind].count++
	pol.kinds[kind].sum += payoff
}

// meanPayoff returns the mean payoff of a kind, or that of all kinds if it has no samples.
func (pol *Policy) meanPayoff(kind int) float64 {
	if k := pol.kinds[kind]; k.count > 0 {
		return k.sum / float64(k.count)
	}
	sum := 0.0
	for _, k := range pol.kinds {
		sum += k.sum
	}
	return sum / float64(max(1, pol.samples))
}

// place allocates a pending play, queues it until a node can take it, or answers it at once.
func (pol *Policy) place(now int64, h decision.Handle, p *play) {
	idx, wait := -1, false
	if p.attempt+1 < int(pol.setting("tries")) && now < p.request.Deadline && pol.seatAvailable(p) && pol.mayReallocate(now, p) {
		idx, wait = pol.chooseNode(now, p)
		if !p.queried && (idx >= 0 || pol.coldHolder >= 0 && pol.peersEnabled()) {
			p.queried = true
			if pol.queryHolders(now, p, idx) {
				pol.waiting = append(pol.waiting, h)
				return
			}
		}
	}
	if idx < 0 {
		if wait && p.request.Deadline-now > 2*wakeInterval { // as in queryHolders
			pol.waiting = append(pol.waiting, h)
		} else {
			pol.answerUnplaced(h, p)
		}
		return
	}
	n := &pol.nodes[idx]
	p.rung, p.stage, p.sentAt = pol.fitRung(now, idx, p, pol.headroom(now, idx)), settingUp, now
	if p.attempt++; p.attempt > 0 {
		pol.reallocationTimes = append(
			dropBefore(pol.reallocationTimes, now-int64(pol.setting("budget.over"))-budgetWindowMargin), now)
	}
	n.lastTurn, _ = pol.coldTurn(now, idx)
	n.grantedUntil = 0
	pol.bind(h, p, idx)
	pol.addOrder(decision.Order{Play: h, Action: decision.Place, Node: idx, Rung: p.rung, Deadline: pol.attemptDeadline(now, p)})
	if now-n.linkLoad.reportedAt > freshReportMaxAge {
		pol.requestLoad(now, idx, 1)
	}
}

// queryHolders requests the load of the chosen holder and of equal holders drawn at random, if their reports are
// old: of one by a probe, or of several from their owners, one of these for permission to use a cold holder. It
// returns whether to wait for an answer before placing the play. This avoids placing plays without load data, and
// on nodes that died while still listed. It costs a probe or messages. Drawback: it delays plays to no use if
// reports are very late.
func (pol *Policy) queryHolders(now int64, p *play, idx int) bool {
	// The next Wake may be too late.
	if !pol.probingEnabled() && !pol.peersEnabled() || p.request.Deadline-now <= 2*wakeInterval {
		return false
	}
	for i := range p.queriedNodes {
		p.queriedNodes[i] = idx
		switch {
		case idx < 0 || i == maxQueriedHolders-1 && pol.coldHolder >= 0 && pol.peersEnabled():
			p.queriedNodes[i] = pol.coldHolder
		case i > 0 && (i < maxProbedHolders || pol.peersEnabled()):
			p.queriedNodes[i] = pol.candidates[pol.rng.IntN(len(pol.candidates))].node
		}
		if p.queriedNodes[i] == pol.coldHolder || now-pol.nodes[p.queriedNodes[i]].linkLoad.reportedAt > freshReportMaxAge {
			pol.requestLoad(now, p.queriedNodes[i], 1)
		}
	}
	return pol.awaitingAnswers(now, p) && (!pol.peersEnabled() || now-pol.lastMessageAt < peerSilenceTimeout)
}

// awaitingAnswers returns whether a play still waits for the answer to a query.
func (pol *Policy) awaitingAnswers(now int64, p *play) bool {
	for _, idx := range p.queriedNodes {
		if n := &pol.nodes[idx]; n.probing && now-n.probedAt < queryTimeout {
			return p.queried
		}
	}
	return false
}

// placeWaiting places waiting plays whose queries are answered or timed out. Plays that wait for a node are
// retried only if retryAll is set.
func (pol *Policy) placeWaiting(now int64, retryAll bool) {
	waiting := pol.waiting
	pol.waiting = pol.waiting[:0]
	for _, h := range waiting {
		p := pol.plays.Get(h)
		switch {
		case p == nil || p.stage != pending:
		case pol.awaitingAnswers(now, p) || !retryAll && !p.queried:
			pol.waiting = append(pol.waiting, h)
		default:
			pol.place(now, h, p)
		}
	}
}

// attemptDeadline returns when an allocation is given up. A paid play waits until its deadline; others leave time
// for one more attempt within the first-frame target, if one is allowed.
func (pol *Policy) attemptDeadline(now int64, p *play) int64 {
	target := p.acceptedAt + int64(pol.settingAt("product.target", p.request.Product, 0))
	if pol.paid(p) || p.attempt+2 >= int(pol.setting("tries")) || now >= target {
		return p.request.Deadline
	}
	return min(p.request.Deadline, now+int64(attemptTimeShare*float64(target-now)))
}

// chooseNode selects a node among the holders by the feature-greedy rule. It returns -1 if none can take the play
// now, and whether to wait because one soon may. If all are skipped, one that reported its load since its failure
// is tried, so that plays are not declined after mere connection failures. Drawback: this also tries nodes that
// return errors.
func (pol *Policy) chooseNode(now int64, p *play) (idx int, wait bool) {
	waitUntil := p.acceptedAt + int64(waitTimeShare*pol.settingAt("product.target", p.request.Product, 0))
	holders := pol.holders(p)
	gatherShare := pol.gatherShare(p, len(holders))
	minRate := pol.rate(p, pol.floorRung(p))
	pol.candidates, pol.coldHolder = pol.candidates[:0], -1
	coldCount := 0
	for _, i := range holders {
		if pol.nodes[i].phase != decision.Ready {
			continue
		}
		c, full := candidate{node: i, headroom: pol.headroom(now, i)}, false
		if c.headroom < minRate { // the utilization matters only in this case
			c.utilization = pol.highestUtilization(now, i)
			if full = pol.isFull(now, i, c.utilization, minRate); full && pol.probingEnabled() {
				pol.requestLoad(now, i, 1)
			}
		}
		allowed := pol.maySetUp(now, i)
		if !allowed && now >= pol.nodes[i].skipUntil {
			if coldCount++; pol.rng.IntN(coldCount) == 0 {
				pol.coldHolder = i
			}
		}
		if n := &pol.nodes[i]; full || !allowed || now < n.skipUntil && n.linkLoad.reportedAt <= n.failedAt {
			wait = wait || now < waitUntil && pol.nodes[i].skipUntil < waitUntil
			continue
		}
		c.rung = pol.fitRung(now, i, p, c.headroom)
		pol.candidates = append(pol.candidates, c)
	}
	if len(pol.candidates) == 0 {
		return -1, wait
	}
	pol.prefer(func(c *candidate) bool { return now >= pol.nodes[c.node].skipUntil })
	if v := &pol.viewers[p.request.Viewer]; now-v.leftAt < skipDuration {
		pol.prefer(func(c *candidate) bool { return c.node != v.lastNode-1 })
	}
	pol.prefer(func(c *candidate) bool { return c.headroom >= minRate })
	if gatherShare < 1 {
		pol.prefer(func(c *candidate) bool { return pol.hashFraction(c.node, p) < gatherShare })
	}
	if pol.peersEnabled() { // prefer nodes with recent reports to estimates
		pol.prefer(func(c *candidate) bool {
			return c.headroom >= minRate && now-pol.nodes[c.node].linkLoad.reportedAt <= fullReportMaxAge
		})
	}
	if pol.candidates[0].headroom < minRate { // no headroom: use the least utilized
		least := pol.candidates[0]
		for _, c := range pol.candidates {
			if c.utilization < least.utilization {
				least = c
			}
		}
		return least.node, false
	}
	eps := 1.0
	if pol.samples > 0 {
		eps = max(minExploration, 1/math.Sqrt(float64(pol.samples)))
	}
	explore := pol.rng.Float64() < eps
	bestMean, bestRung, bestHeadroom := math.Inf(-1), 0, 0.0
	for _, c := range pol.candidates {
		bestMean = max(bestMean, pol.meanPayoff(pol.nodes[c.node].kind))
	}
	if !explore {
		pol.prefer(func(c *candidate) bool { return pol.meanPayoff(pol.nodes[c.node].kind) >= bestMean-payoffTolerance })
	}
	for _, c := range pol.candidates {
		bestRung = max(bestRung, c.rung)
	}
	// Holders that allow the same rung are equal. Among these the own zone comes first: traffic between zones has
	// a cost, and a partition between zones breaks plays.
	pol.prefer(func(c *candidate) bool { return c.rung >= bestRung && pol.ownZone(c.node) })
	for _, c := range pol.candidates {
		bestHeadroom = max(bestHeadroom, c.headroom)
	}
	if !explore {
		pol.prefer(func(c *candidate) bool { return c.headroom >= bestHeadroom*(1-headroomTolerance) })
	}
	return pol.candidates[pol.rng.IntN(len(pol.candidates))].node, false
}

// gatherShare returns the share of its holders on which the viewers of a live title are gathered, and sets what
// one more viewer adds. Every front is assumed to have as many viewers; the number of nodes is chosen so that
// these viewers use gatherUtilization of each link. This avoids streams with a single viewer. Drawback: the
// assumption is wrong if only a few fronts have viewers of a title.
func (pol *Policy) gatherShare(p *play, holderCount int) float64 {
	if !pol.mayShareStream(p) || holderCount == 0 {
		return 1
	}
	nodes := float64(holderCount)
	p.savedShare, p.sharesStream = 0, false
	viewers, ratePerViewer := float64(pol.viewersOf(p))*max(1, pol.setting("fronts")),
		pol.setting("join")*pol.rate(p, pol.topRung(p))
	capacity := pol.setting("weight.rate")
	if uplinkPerNode := pol.setting("uplink.rate") * float64(len(pol.racks)) / max(1, float64(pol.listed)); uplinkPerNode > 0 {
		capacity = min(capacity, uplinkPerNode)
	}
	share := min(1, max(1, viewers*ratePerViewer/(gatherUtilization*capacity))/nodes)
	pol.joinStream(p, viewers/(share*nodes))
	return share
}

// mayShareStream returns whether viewers of a play's title may share a stream.
func (pol *Policy) mayShareStream(p *play) bool {
	return pol.settingAt("join", 0, 1) < 1 && pol.settingAt("product.live", p.request.Product, 0) > 0
}

// joinStream marks a play as sharing a stream, given the expected number of viewers per stream. It then adds less
// to the link and keeps its best rung: alone on another rung it would use more than its step down frees.
func (pol *Policy) joinStream(p *play, viewers float64) {
	if viewers >= minStreamViewers {
		p.savedShare, p.sharesStream = (1-pol.setting("join"))*(1-1/viewers), true
	}
}

// hashFraction maps a node and a title to a number from 0 to 1 that is the same at every front.
func (pol *Policy) hashFraction(idx int, p *play) float64 {
	x := uint64(pol.nodes[idx].key)<<32 | uint64(p.request.Key)
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return float64((x^x>>32)>>11) / (1 << 53)
}

func (pol *Policy) ownZone(idx int) bool {
	return pol.nodes[idx].zone == int(pol.settingAt("zone", 0, -1))
}

// isFull returns whether one more play would cost all plays of a node more than it gains: a recent report shows
// the link as fully used, and own plays there cannot step down to make room. This stops a burst of viewers from
// overloading links whose plays are all at their floor. An old report is no reason to decline a play.
func (pol *Policy) isFull(now int64, idx int, utilization, needed float64) bool {
	n := &pol.nodes[idx]
	if now-max(n.linkLoad.reportedAt, pol.racks[n.rack].uplinkLoad.reportedAt, n.deliveredShareAt) > fullReportMaxAge ||
		utilization+needed/pol.capacity(now, idx) <= fullUtilization {
		return false
	}
	for _, h := range n.plays {
		if p := pol.plays.Get(h); p.stage == playing {
			needed -= pol.rate(p, p.rung) - pol.rate(p, pol.floorRung(p))
		}
	}
	return needed > 0
}

// ---- Load estimates and messages between fronts ----

func (pol *Policy) rate(p *play, rung int) float64 {
	if p.sharesStream {
		rung = pol.topRung(p)
	}
	return pol.settingAt("rung.rate", rung, 0) * pol.settingAt("product.rate", p.request.Product, 1) * (1 - p.savedShare)
}

func (pol *Policy) capacity(now int64, idx int) float64 {
	return pol.setting("weight.rate") * pol.nodes[idx].weight * pol.warmShare(now, idx)
}

// uplinkCapacity returns the capacity of a rack's uplink: the configured mean, or less after the rack was seen
// short.
func (pol *Policy) uplinkCapacity(now int64, rackIdx int) float64 {
	nominal := pol.setting("uplink.rate")
	if nominal <= 0 {
		nominal = math.Inf(1)
	}
	return recoveredCapacity(now, pol.racks[rackIdx].observed, nominal)
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
func (pol *Policy) estimateUtilization(now int64, est loadEstimate, ownRate, capacity, mean float64) float64 {
	othersShare := 1 - 1/max(1, pol.setting("fronts"))
	ownChange, age := ownRate-est.ownRate, float64(now-est.reportedAt)/float64(reportDecayTime)
	reported := max(ownRate/capacity, est.utilization+(ownChange+max(0, ownChange)*othersShare*othersGrowthRatio)/capacity)
	return max(ownRate/capacity, reported+(mean-reported)*min(1, age*age))
}

func (pol *Policy) linkUtilization(now int64, idx int) float64 {
	n := &pol.nodes[idx]
	return pol.estimateUtilization(now, n.linkLoad, n.ownRate, pol.capacity(now, idx), pol.meanUtilization)
}

// uplinkUtilization returns the utilization of a rack's uplink: estimated from its reports, or else the sum over
// the links of the rack.
func (pol *Policy) uplinkUtilization(now int64, rackIdx int) float64 {
	r := &pol.racks[rackIdx]
	if pol.setting("reports.uplink") > 0 {
		return pol.estimateUtilization(now, r.uplinkLoad, r.ownRate, pol.uplinkCapacity(now, rackIdx), pol.meanUplinkUtilization)
	}
	return pol.rackDemand(now, rackIdx) / pol.uplinkCapacity(now, rackIdx)
}

// rackDemand returns the total demand on a rack's links, in kB/s.
func (pol *Policy) rackDemand(now int64, rackIdx int) float64 {
	r := &pol.racks[rackIdx]
	if r.demandAt != now || r.demandVersion != pol.loadVersion { // otherwise the stored sum is still valid
		r.demand, r.demandAt, r.demandVersion = 0, now, pol.loadVersion
		for _, i := range r.nodes {
			r.demand += pol.linkUtilization(now, i) * pol.capacity(now, i)
		}
	}
	return r.demand
}

// highestUtilization returns the highest utilization of a node: of its link, of its uplink, or implied by its
// delivered share.
func (pol *Policy) highestUtilization(now int64, idx int) float64 {
	return max(pol.linkUtilization(now, idx), pol.uplinkUtilization(now, pol.nodes[idx].rack), 1/pol.currentShare(now, idx))
}

// headroom returns the rate that set-ups may still add to a node, in kB/s.
func (pol *Policy) headroom(now int64, idx int) float64 {
	n, capacity := &pol.nodes[idx], pol.capacity(now, idx)
	link := targetUtilization*recoveredCapacity(now, n.observed, capacity) - pol.linkUtilization(now, idx)*capacity
	return min(link, (targetUtilization-pol.uplinkUtilization(now, n.rack))*pol.uplinkCapacity(now, n.rack))
}

// fitRung returns the highest rung that the headroom and rungAllowed permit.
func (pol *Policy) fitRung(now int64, idx int, p *play, headroom float64) int {
	rung := pol.topRung(p)
	if p.sharesStream {
		if pol.allAtFloor && pol.highestUtilization(now, idx) > fullUtilization {
			return pol.floorRung(p)
		}
		return rung
	}
	for rung > pol.floorRung(p) && (pol.rate(p, rung) > headroom || !pol.rungAllowed(now, idx, p, rung, pol.rate(p, rung))) {
		rung--
	}
	return rung
}

// rungAllowed returns whether a play may take a rung that adds addedRate to a link: one up to rungLimit, or any if
// the link stays far below the mean utilization. This keeps nodes with unpopular titles from staying empty while
// full nodes keep rungLimit low. Drawback: it does harm if a burst of viewers arrives at just these nodes.
func (pol *Policy) rungAllowed(now int64, idx int, p *play, rung int, addedRate float64) bool {
	return float64(rung) <= pol.rungLimit(now, idx)+pol.rungOffset(p) ||
		pol.linkUtilization(now, idx)+addedRate/pol.capacity(now, idx) <= underusedRatio*pol.meanUtilization
}

// rungLimit returns the highest rung at which a play may start or to which it may step up. For the same rate a
// step gains several times as much at the bottom of the ladder as at the top, so the first plays must not fill the
// links. On a node without reports or own plays the limit is the mean rung, rounded: a start that is too high
// costs all plays there and a rung change, one that is too low a step up. Drawback: this limits starts needlessly
// on nodes that are hardly used and seldom reported.
func (pol *Policy) rungLimit(now int64, idx int) float64 {
	if n := &pol.nodes[idx]; now-n.linkLoad.reportedAt > reportDecayTime && len(n.plays) == 0 {
		return pol.meanRung + unknownNodeRungMargin + (fleetRungMargin-unknownNodeRungMargin)*pol.fleetConfidence()
	}
	return pol.meanRung + rungMargin + (fleetRungMargin-rungMargin)*pol.fleetConfidence()
}

// fleetConfidence returns how far meanRung holds for the fleet, from 0 (own plays only) to 1.
func (pol *Policy) fleetConfidence() float64 { return min(1, pol.peerWeight/fullPeerWeight) }

// rungOffset returns how many rungs a play may be above others because its steps gain more per rate. It is scaled
// by fleetConfidence: applied to the mean of a few own plays it would only add noise.
func (pol *Policy) rungOffset(p *play) float64 {
	return pol.fleetConfidence() * pol.productOffsets[p.request.Product]
}

// computeOffsets returns the rung offsets of the products, relative to their mean. Each rung of the ladder divides
// the gain per rate of a step by about the same factor, and the importance multiplies it; hence the logarithms.
func (pol *Policy) computeOffsets() []float64 {
	offsets, mean, top := make([]float64, len(pol.settings["product.rate"])), 0.0, len(pol.settings["rung.rate"])-1
	step := func(name string, r int) float64 { return pol.settingAt(name, r, 0) - pol.settingAt(name, r-1, 0) }
	gainPerRate := func(r int) float64 { return step("rung.worth", r) / step("rung.rate", r) }
	if top < 2 || !(gainPerRate(1) > gainPerRate(top) && gainPerRate(top) > 0) {
		return offsets // the ladder does not decrease in that way: no offsets
	}
	logRatioPerRung := math.Log(gainPerRate(1)/gainPerRate(top)) / float64(top-1)
	for i := range offsets {
		offsets[i] = math.Log(pol.settingAt("product.importance", i, 1)/pol.settingAt("product.rate", i, 1)) / logRatioPerRung
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
func (pol *Policy) applyReport(now int64, idx int, load decision.Load, lag, age int64) bool {
	n := &pol.nodes[idx]
	if load.LinkUtilization < 0 && load.UplinkUtilization < 0 || age > 0 && now-age <= n.linkLoad.reportedAt {
		return false
	}
	pol.loadVersion++
	unreported := 0.0
	for _, h := range n.plays {
		if p := pol.plays.Get(h); now-p.sentAt < lag {
			unreported += pol.rate(p, p.rung)
		} else if now-p.steppedUpAt < lag && p.rung > 0 {
			unreported += pol.stepRate(p, p.rung)
		}
	}
	if load.LinkUtilization >= 0 {
		pol.meanUtilization, pol.anyReport = pol.meanUtilization+(load.LinkUtilization-pol.meanUtilization)/averageWindow, true
		n.linkLoad = loadEstimate{now - age, load.LinkUtilization, n.ownRate - unreported}
	}
	if r := &pol.racks[n.rack]; load.UplinkUtilization >= 0 {
		pol.meanUplinkUtilization += (load.UplinkUtilization - pol.meanUplinkUtilization) / averageWindow
		r.uplinkLoad = loadEstimate{now - age, load.UplinkUtilization, r.ownRate - unreported}
	}
	pol.stepDown(now, idx, max(load.LinkUtilization, load.UplinkUtilization), stepDownThreshold)
	return true
}

// adjustSetUps adapts the rungs of plays that are still being set up to a new report.
func (pol *Policy) adjustSetUps(now int64, idx int) {
	for _, h := range pol.nodes[idx].plays {
		if p := pol.plays.Get(h); p.stage == settingUp {
			pol.setRung(now, h, p, pol.fitRung(now, idx, p, pol.headroom(now, idx)+pol.rate(p, p.rung)))
		}
	}
}

// peersEnabled returns whether fronts may send each other messages.
func (pol *Policy) peersEnabled() bool { return pol.setting("peers") > 0 }

// ownerOf returns the front that collects a node's reports for all fronts and grants set-ups while the node is
// cold. All fronts compute the same owner.
func (pol *Policy) ownerOf(idx int) int {
	return int(pol.nodes[idx].key) % max(1, int(pol.setting("fronts")))
}

// sendReport sends the load of a node to another front.
func (pol *Policy) sendReport(now int64, to, idx int, kind byte) {
	n := &pol.nodes[idx]
	if !pol.peersEnabled() || to == int(pol.setting("front")) {
		return
	}
	link, uplink, age := byte(unknownByte), byte(unknownByte), now-n.linkLoad.reportedAt
	if n.linkLoad.reportedAt > 0 && age < 255*ageUnit {
		link = encodeUtilization(n.linkLoad.utilization)
		if r := &pol.racks[n.rack]; r.uplinkLoad.reportedAt > 0 && now-r.uplinkLoad.reportedAt < reportDecayTime {
			uplink = encodeUtilization(r.uplinkLoad.utilization)
		}
	}
	meanRung := byte(unknownByte)
	if pol.anyBelowTop {
		meanRung = byte(max(0, min(unknownByte-1, math.Round((pol.ownMeanRung+meanRungOffset)*meanRungSteps))))
	}
	pol.addMessage(to, kind, n.key, link, uplink, byte(min(255, age/ageUnit)), meanRung)
}

// probingEnabled returns whether probes are allowed and worth their cost, which they are not if answers and notes
// carry the load: then each front learns the load of the nodes that it uses anyway.
func (pol *Policy) probingEnabled() bool {
	return pol.setting("probing") > 0 && pol.setting("reports.answers") == 0
}

// requestLoad requests a node's load: from its owner if fronts may message each other, otherwise by a probe as far
// as probe credit allows. The owner's answer may be lost.
func (pol *Policy) requestLoad(now int64, idx int, cost float64) {
	n, to := &pol.nodes[idx], pol.ownerOf(idx)
	if now-n.probedAt < settleTime {
		return
	}
	switch {
	case pol.peersEnabled() && to != int(pol.setting("front")):
		pol.addMessage(to, messageQuery, n.key)
	case !pol.peersEnabled() && pol.probingEnabled() && pol.probeCredit >= cost && !n.probing:
		pol.probeCredit -= cost
		pol.result.Probes = append(pol.result.Probes, idx)
	default:
		return
	}
	n.probing, n.probedAt = true, now
}

// ---- Rung changes ----

func (pol *Policy) floorRung(p *play) int {
	return int(pol.settingAt("product.floor", p.request.Product, 0))
}

func (pol *Policy) topRung(p *play) int {
	rungs := len(pol.settings["rung.rate"]) - 1
	return max(pol.floorRung(p), min(p.request.MaxRung, rungs,
		int(pol.settingAt("product.top", p.request.Product, float64(rungs)))))
}

func (pol *Policy) importance(p *play) float64 {
	return pol.settingAt("product.importance", p.request.Product, 1)
}

// stepGain returns the value per second that a rung adds to the one below it.
func (pol *Policy) stepGain(p *play, rung int) float64 {
	return pol.importance(p) * (pol.settingAt("rung.worth", rung, 0) - pol.settingAt("rung.worth", rung-1, 0))
}

// stepRate returns the rate that a rung adds to the one below it, in kB/s.
func (pol *Policy) stepRate(p *play, rung int) float64 {
	return pol.rate(p, rung) - pol.rate(p, rung-1)
}

// setRung changes a play's rung and adds the order.
func (pol *Policy) setRung(now int64, h decision.Handle, p *play, rung int) {
	if rung == p.rung {
		return
	}
	if rung > p.rung {
		p.steppedUpAt = now
	}
	pol.updateRung(p, rung)
	pol.addOrder(decision.Order{Play: h, Action: decision.SetRung, Rung: rung})
}

// currentShare returns the delivered share that a node last reported, or 1 without a valid report of a shortage.
func (pol *Policy) currentShare(now int64, idx int) float64 {
	if n := &pol.nodes[idx]; n.deliveredShare < shortShareThreshold && now-n.deliveredShareAt < shortShareTTL {
		return n.deliveredShare
	}
	return 1
}

// settled returns whether a change has had time to show in the notes.
func (pol *Policy) settled(now, changedAt int64) bool {
	return now-changedAt >= int64(pol.setting("note.lag"))+settleTime
}

// applyShare records a delivered share: the utilization of the link or its uplink is taken to be 1/share.
func (pol *Policy) applyShare(now int64, idx int, share float64) {
	n := &pol.nodes[idx]
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
	if pol.uplinkIsShort(now, idx, share) || pol.warmShare(now-settleTime-int64(pol.setting("note.lag")), idx) < 1 {
		n.observed = capacityObservation{}
	} else {
		pol.recordCapacity(now, &n.observed, share*pol.linkUtilization(now, idx)*pol.capacity(now, idx))
	}
	pol.stepDown(now, idx, 1/share, 1)
}

// uplinkIsShort returns whether the uplink is the bottleneck: as reported, or, if uplinks are not reported,
// inferred when most links of the rack deliver a similarly short share. This detects weak or degrading uplinks.
// Drawback: if several links of a rack fail alike, the rack takes fewer plays for a while.
func (pol *Policy) uplinkIsShort(now int64, idx int, share float64) bool {
	rackIdx := pol.nodes[idx].rack
	r := &pol.racks[rackIdx]
	if pol.setting("reports.uplink") > 0 {
		return r.uplinkLoad.reportedAt > 0 && r.uplinkLoad.utilization >= targetUtilization
	}
	inUse, short := 0, 0
	for _, i := range r.nodes {
		if len(pol.nodes[i].plays) > 0 {
			inUse++
			if s := pol.currentShare(now, i); s < 1 && math.Abs(s-share) < shareTolerance {
				short++
			}
		}
	}
	if short < 2 || 2*short <= inUse {
		return false
	}
	pol.recordCapacity(now, &r.observed, share*pol.rackDemand(now, rackIdx))
	return true
}

// recordCapacity stores the observed capacity of a short link or uplink, once per settling time as notes repeat.
func (pol *Policy) recordCapacity(now int64, obs *capacityObservation, capacity float64) {
	if obs.observedAt == 0 || pol.settled(now, obs.observedAt) {
		*obs = capacityObservation{capacity, now}
	}
}

// stepDown lowers the rungs of own plays on a link whose utilization exceeds a threshold. Each front takes its
// share of the excess, from the plays that lose least for the rate they free. Until a previous step down shows in
// the notes, only utilization beyond the one it acted on counts: a link may degrade further while its first, mild
// reports are acted on. Drawback: if reports fluctuate, the worst one counts.
func (pol *Policy) stepDown(now int64, idx int, utilization, threshold float64) {
	n, goal := &pol.nodes[idx], stepDownTarget/utilization
	if !pol.settled(now, n.steppedDownAt) {
		goal = n.stepDownUtilization / utilization
	}
	if utilization <= threshold || goal >= 1 {
		return
	}
	n.stepDownUtilization = utilization
	for _, h := range n.plays { // shared streams step down last, with all their plays at once
		p := pol.plays.Get(h)
		if pol.allAtFloor && utilization > fullUtilization && p.sharesStream && p.stage == playing && p.rung > pol.floorRung(p) {
			n.steppedDownAt = now
			pol.setRung(now, h, p, p.rung-1)
		}
	}
	for goal *= n.ownRate; n.ownRate > goal; {
		h, p := pol.bestPlay(idx, func(p *play) float64 {
			if p.rung <= pol.floorRung(p) {
				return 0
			}
			return pol.stepRate(p, p.rung) / pol.stepGain(p, p.rung)
		})
		if p == nil {
			return
		}
		n.steppedDownAt = now
		// All fronts step down at once, so the last step is taken with the probability of its needed part.
		if pol.rng.Float64()*pol.stepRate(p, p.rung) > n.ownRate-goal {
			return
		}
		pol.setRung(now, h, p, p.rung-1)
	}
}

// ownDemandShare returns the share of own plays in a link's demand.
func (pol *Policy) ownDemandShare(now int64, idx int) float64 {
	return pol.nodes[idx].ownRate / max(1, pol.nodes[idx].ownRate, pol.linkUtilization(now, idx)*pol.capacity(now, idx))
}

// stepUp raises the rungs of a node's plays while the next rate fits. All fronts see the same headroom, so each
// uses its share of it, for the plays that gain most for the rate.
func (pol *Policy) stepUp(now int64, idx int) {
	n := &pol.nodes[idx]
	if pol.currentShare(now, idx) < 1 || !pol.settled(now, n.steppedDownAt) ||
		!pol.settled(now, n.steppedUpAt) && n.linkLoad.reportedAt <= n.steppedUpAt {
		return
	}
	headroom := pol.headroom(now, idx)
	// The report is out of date: it is refreshed below.
	if pol.probingEnabled() && now-n.linkLoad.reportedAt > reportRecheckInterval/int64(len(n.plays)) {
		headroom = math.Inf(1)
	}
	ownHeadroom := headroom * pol.ownDemandShare(now, idx)
	for ownHeadroom > 0 {
		h, p := pol.bestPlay(idx, func(p *play) float64 {
			if p.rung >= pol.topRung(p) || now-p.steppedUpAt < stepUpInterval || pol.stepRate(p, p.rung+1) > headroom {
				return 0
			}
			if !p.sharesStream && !pol.rungAllowed(now, idx, p, p.rung+1, pol.stepRate(p, p.rung+1)) {
				return 0
			}
			remaining := max(minRemaining, now-p.startedAt)
			if p.request.Length > 0 {
				remaining = max(0, p.acceptedAt+p.request.Length-now)
			}
			gain := pol.stepGain(p, p.rung+1)
			if gain*float64(remaining)/float64(sec) <= minStepUpGain*pol.setting("switch.seconds")*pol.importance(p) {
				return 0
			}
			return gain / pol.stepRate(p, p.rung+1)
		})
		if p == nil {
			return
		}
		if pol.probingEnabled() && now-n.linkLoad.reportedAt > freshReportMaxAge {
			// Already requested, or a step drawn, just before.
			if now-n.steppedUpAt < stepUpInterval/int64(len(n.plays)) {
				return
			}
			pol.requestLoad(now, idx, 0) // free of credit: a step up gains many times the cost of a probe
			return
		}
		n.steppedUpAt = now
		addedRate := pol.stepRate(p, p.rung+1)
		// A step larger than the remaining share is taken at random in proportion.
		if pol.rng.Float64()*addedRate > ownHeadroom {
			return
		}
		ownHeadroom, headroom = ownHeadroom-addedRate, headroom-addedRate
		pol.setRung(now, h, p, p.rung+1)
	}
}

// shed moves one play per shedInterval off a link that stays short although its plays have stepped down.
func (pol *Policy) shed(now int64, idx int) {
	n := &pol.nodes[idx]
	if now-n.deliveredShareAt > shortShareTTL {
		n.shortSince = 0
	}
	if n.shortSince == 0 || now-n.shortSince < shortConfirmDelay || now-n.shedAt < shedInterval {
		return
	}
	if _, p := pol.bestPlay(idx, func(p *play) float64 { return float64(p.rung - pol.floorRung(p)) }); p != nil {
		return // steps down come first
	}
	h, p := pol.bestPlay(idx, func(p *play) float64 {
		if now-pol.viewers[p.request.Viewer].movedAt < moveInterval {
			return 0
		}
		return pol.rate(p, p.rung) / pol.importance(p)
	})
	n.shedAt = now
	// Own plays that exceed the capacity of the link.
	excessPlays := float64(len(n.plays)) * (1 - pol.currentShare(now, idx))
	// All fronts together move about one play.
	if p != nil && pol.rng.Float64() < max(excessPlays, pol.ownDemandShare(now, idx)) {
		pol.viewers[p.request.Viewer] = viewer{idx + 1, now, now}
		pol.addOrder(decision.Order{Play: h, Action: decision.Move})
	}
}

// ---- Health ----

// recordFailure updates the health of a node after an allocation ended. A node that fails, does not answer or
// disconnects is skipped, twice as long after a repeated failure; this covers single bad nodes of an otherwise
// good kind. A node that rejected a play as full is skipped for a short time, whatever late reports show.
func (pol *Policy) recordFailure(now int64, idx int, outcome decision.Outcome) {
	n := &pol.nodes[idx]
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
func (pol *Policy) answerUnplaced(h decision.Handle, p *play) {
	if pol.paid(p) && p.mayHaveRun {
		pol.addOrder(decision.Order{Play: h, Action: decision.Fail})
	} else {
		pol.addOrder(decision.Order{Play: h, Action: decision.Decline,
			RetryAfter: int64(min(1, pol.setting("comeback")) * pol.setting("comeback.most"))})
	}
	pol.plays.Remove(h)
}

func (pol *Policy) paid(p *play) bool { return pol.settingAt("product.paid", p.request.Product, 1) > 0 }

// mayReallocate returns whether another attempt is allowed: a paid play must not run twice, and reallocations must
// stay within the budget.
func (pol *Policy) mayReallocate(now int64, p *play) bool {
	if p.attempt < 0 {
		return true
	}
	if pol.paid(p) && p.mayHaveRun {
		return false
	}
	window := int64(pol.setting("budget.over"))
	if window == 0 {
		return true
	}
	pol.acceptedTimes = dropBefore(pol.acceptedTimes, now-window+budgetWindowMargin)
	pol.reallocationTimes = dropBefore(pol.reallocationTimes, now-window-budgetWindowMargin)
	limit := pol.setting("budget.free") + pol.setting("budget.share")*float64(len(pol.acceptedTimes))
	return float64(len(pol.reallocationTimes)+1) <= limit
}

// warmupStart returns when a node started to warm up: at its start, or at a return that this front observed.
func (pol *Policy) warmupStart(idx int) int64 {
	return max(pol.nodes[idx].startedAt, pol.nodes[idx].returnedAt)
}

// warmShare returns the minimum share of its capacity that a node has while it warms up.
func (pol *Policy) warmShare(now int64, idx int) float64 {
	start := pol.warmupStart(idx)
	age := float64(now-start) / pol.setting("cold.lasts")
	if start == 0 || age >= 1 {
		return 1
	}
	return pol.setting("cold.share") + (1-pol.setting("cold.share"))*max(0, age)
}

// coldTurn returns the number of the current turn of a cold node since its start. Fronts rotate through the turns,
// with one set-up each. Together they stay within the limit of any window, one early set-up included.
func (pol *Policy) coldTurn(now int64, idx int) (turn int64, cold bool) {
	share := pol.warmShare(now, idx)
	if share >= 1 {
		return 0, false
	}
	age := float64(max(0, now-pol.warmupStart(idx)))
	rate := pol.setting("fall.multiple") * pol.settingAt("kind.streams", pol.nodes[idx].kind, 1) / pol.setting("cold.lasts")
	rate *= (pol.setting("cold.share") + share) / 2 / coldPaceMargin // mean capacity share since its start
	return int64(age * max(rate-1/pol.setting("fall.over"), rate/2)), true
}

// maySetUp returns whether this front may set up a play on a node: always on a warm one; on a cold one once in its
// turn or, if fronts message each other, with a grant of the node's owner.
func (pol *Policy) maySetUp(now int64, idx int) bool {
	n := &pol.nodes[idx]
	turn, cold := pol.coldTurn(now, idx)
	if !cold || pol.peersEnabled() {
		return !cold || now < n.grantedUntil || pol.ownerOf(idx) == int(pol.setting("front")) && pol.mayGrant(now, idx)
	}
	fronts := max(1, int64(pol.setting("fronts")))
	return turn%fronts == int64(pol.setting("front"))%fronts && turn != n.lastTurn
}

// mayGrant returns whether this front, as the owner of a cold node, may grant one set-up. It uses one in
// turnsPerGrant turns, so that fronts that still go by turns fit within coldPaceMargin as well. A lost grant
// leaves its turn unused. An owner that has just started grants none, as it does not know its earlier grants.
func (pol *Policy) mayGrant(now int64, idx int) bool {
	turn, cold := pol.coldTurn(now, idx)
	return cold && pol.nodes[idx].phase == decision.Ready && turn/turnsPerGrant > pol.nodes[idx].lastTurn/turnsPerGrant &&
		now-pol.startedAt > int64(pol.setting("fall.over"))
}

func (pol *Policy) seatAvailable(p *play) bool {
	seats := pol.settingAt("product.seats", p.request.Product, 0)
	return seats == 0 || float64(*pol.seatCount(p)) < seats
}
