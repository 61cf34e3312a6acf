package testbed

import (
	"gullrail/decision"
	"gullrail/internal/pcg"
)

// Baseline returns the constructor of a reference policy, or nil for any name other than "random" and
// "least"; a nil constructor selects the project's own policy, package placement.
//
// The policy "random" picks a random holder and the lowest rung of the product. The policy "least" picks
// the holder with the lowest last known link load, and the highest rung that keeps that load below 0.85.
// Both respect stream limits per title and product, minimum rungs, drains and the rule for paid products,
// so that their service can be compared. Neither changes the rung of a running play, moves plays, limits
// the rate of set-ups on cold nodes, or adapts to what it observes.
func Baseline(name string) func(settings map[string][]float64, seed uint64) decision.Policy {
	if name != "random" && name != "least" {
		return nil
	}
	return func(settings map[string][]float64, seed uint64) decision.Policy {
		return &baseline{settings: settings, leastLoaded: name == "least", random: pcg.New(seed)}
	}
}

// baseline implements decision.Policy.
type baseline struct {
	settings    map[string][]float64 // by setting name, see config.Service.PolicySettings
	leastLoaded bool
	random      pcg.Source
	nodes       []baselineNode
	plays       []baselinePlay
	seats       map[[2]int]int // open attempts and running plays, by title and product
	retryTimes  []int64        // times of attempts after a play's first
	acceptTimes []int64        // times at which plays were added
	result      decision.Result
}

type baselineNode struct {
	decision.Node
	listed   bool
	linkLoad float64 // last reported load of the link, plus the plays placed since
}

type baselinePlay struct {
	request       decision.Request
	generation    uint32
	inUse         bool // the slot holds a play
	attemptOpen   bool // the current attempt has not ended
	playing       bool // the current attempt has started
	mayHaveRun    bool // an earlier attempt may have run on its node
	viewerLeft    bool
	attempt, node int   // of the current attempt; attempt is -1 before the first
	tried         []int // nodes of all attempts
}

// setting returns value i of a setting, 0 if it has none.
func (b *baseline) setting(name string, i int) float64 {
	if v := b.settings[name]; i < len(v) {
		return v[i]
	}
	return 0
}

// find returns the play of a handle, nil if the handle is stale.
func (b *baseline) find(h decision.Handle) *baselinePlay {
	if int(h.Index) < len(b.plays) && b.plays[h.Index].inUse && b.plays[h.Index].generation == h.Generation {
		return &b.plays[h.Index]
	}
	return nil
}

func (b *baseline) clearResult() {
	b.result.Orders, b.result.Probes = b.result.Orders[:0], b.result.Probes[:0]
}

func (b *baseline) finish(now int64) *decision.Result {
	b.result.WakeAt = now + decision.Second
	return &b.result
}

func (b *baseline) UpdateNodes(now int64, list []decision.Node, whole bool) *decision.Result {
	b.clearResult()
	for i := range b.nodes {
		b.nodes[i].listed = b.nodes[i].listed && !whole
	}
	for _, n := range list {
		for n.Index >= len(b.nodes) {
			b.nodes = append(b.nodes, baselineNode{})
		}
		b.nodes[n.Index].Node, b.nodes[n.Index].listed = n, n.Phase != decision.Gone
	}
	return b.finish(now)
}

// add stores a new play in the first free slot.
func (b *baseline) add(request decision.Request) (decision.Handle, *baselinePlay) {
	slot := -1
	for i := range b.plays {
		if !b.plays[i].inUse {
			slot = i
			break
		}
	}
	if slot < 0 {
		slot = len(b.plays)
		b.plays = append(b.plays, baselinePlay{})
	}
	p := &b.plays[slot]
	*p = baselinePlay{request: request, generation: p.generation + 1, inUse: true, attempt: -1, tried: p.tried[:0]}
	return decision.Handle{Index: int32(slot), Generation: p.generation}, p
}

func (b *baseline) AddPlay(now int64, request decision.Request) (decision.Handle, *decision.Result) {
	b.clearResult()
	h, p := b.add(request)
	b.acceptTimes = append(b.acceptTimes, now)
	b.place(now, h, p)
	return h, b.finish(now)
}

// place orders the next attempt of a play, or declines or fails the play if it may have no further one.
func (b *baseline) place(now int64, h decision.Handle, p *baselinePlay) {
	product := p.request.Product
	paid := b.setting("product.paid", product) > 0
	seats, seatKey := b.setting("product.seats", product), [2]int{p.request.Title, product}
	chosen, bestScore := -1, 0.0
	if b.seats == nil {
		b.seats = map[[2]int]int{}
	}
	if p.attempt+1 < int(b.setting("tries", 0)) && now < p.request.Deadline && !(paid && p.mayHaveRun) &&
		(seats == 0 || float64(b.seats[seatKey]) < seats) && (p.attempt < 0 || b.withinRetryBudget(now)) {
		cells := int(b.setting("cells", 0))
		for i := range b.nodes {
			n := &b.nodes[i]
			if !n.listed || n.Phase != decision.Ready || ((n.Cell-p.request.FirstCell)%cells+cells)%cells >= p.request.CellCount || p.hasTried(i) {
				continue
			}
			score := b.random.Float64()
			if b.leastLoaded {
				score = -n.linkLoad + score/1e6
			}
			if chosen < 0 || score > bestScore {
				chosen, bestScore = i, score
			}
		}
	}
	if chosen < 0 {
		action := decision.Decline
		if paid && p.mayHaveRun {
			action = decision.Fail
		}
		b.result.Orders = append(b.result.Orders, decision.Order{Play: h, Action: action, RetryAfter: int64(b.setting("comeback.most", 0))})
		p.inUse = false
		return
	}
	rung := int(b.setting("product.floor", product))
	if b.leastLoaded {
		rungRates := b.settings["rung.rate"]
		for r := rung + 1; r < len(rungRates) && r <= p.request.MaxRung; r++ {
			if b.nodes[chosen].linkLoad+rungRates[r]*b.setting("product.rate", product)/b.setting("weight.rate", 0) < 0.85 {
				rung = r
			}
		}
		b.nodes[chosen].linkLoad += rungRates[rung] * b.setting("product.rate", product) / b.setting("weight.rate", 0)
		if b.setting("probing", 0) > 0 {
			b.result.Probes = append(b.result.Probes, chosen)
		}
	}
	if p.attempt++; p.attempt > 0 {
		b.retryTimes = append(b.retryTimes, now)
	}
	p.node, p.attemptOpen = chosen, true
	p.tried = append(p.tried, chosen)
	b.seats[seatKey]++
	target := now + int64(b.setting("product.target", product))/2
	giveUpAt := p.request.Deadline // earlier for plays that are not paid, which leaves time for another attempt
	if !paid && target < giveUpAt {
		giveUpAt = target
	}
	b.result.Orders = append(b.result.Orders, decision.Order{Play: h, Action: decision.Place, Node: chosen, Rung: rung, Deadline: giveUpAt})
}

func (p *baselinePlay) hasTried(node int) bool {
	for _, t := range p.tried {
		if t == node {
			return true
		}
	}
	return false
}

// withinRetryBudget reports whether one more attempt after a play's first keeps within the budget for such
// attempts. It leaves a margin of 200 ms on the window and of 10% on the plays counted.
func (b *baseline) withinRetryBudget(now int64) bool {
	window := int64(b.setting("budget.over", 0))
	if window == 0 {
		return true
	}
	count := func(times []int64) (n float64) {
		for _, t := range times {
			if t > now-window-200*decision.Millisecond {
				n++
			}
		}
		return n
	}
	return count(b.retryTimes)+1 <= b.setting("budget.free", 0)+b.setting("budget.share", 0)*count(b.acceptTimes)*0.9
}

func (b *baseline) AdoptPlay(now int64, request decision.Request, node int) (decision.Handle, *decision.Result) {
	b.clearResult()
	h, p := b.add(request)
	p.attempt, p.playing, p.attemptOpen, p.node = 0, true, true, node
	if b.seats == nil {
		b.seats = map[[2]int]int{}
	}
	b.seats[[2]int{request.Title, request.Product}]++
	return h, b.finish(now)
}

func (b *baseline) AttemptStarted(now int64, h decision.Handle, attempt int) *decision.Result {
	b.clearResult()
	if p := b.find(h); p != nil && p.attempt == attempt {
		p.playing = true
	}
	return b.finish(now)
}

func (b *baseline) AttemptEnded(now int64, h decision.Handle, attempt int, outcome decision.Outcome, over bool, load decision.Load) *decision.Result {
	b.clearResult()
	p := b.find(h)
	if p == nil || !p.attemptOpen || p.attempt != attempt {
		return b.finish(now)
	}
	p.attemptOpen = false
	b.seats[[2]int{p.request.Title, p.request.Product}]--
	b.recordLoad(p.node, load)
	if over || p.playing || p.viewerLeft {
		p.inUse = false
		return b.finish(now)
	}
	p.mayHaveRun = p.mayHaveRun || outcome.MayHaveRun()
	b.place(now, h, p)
	return b.finish(now)
}

func (b *baseline) recordLoad(node int, load decision.Load) {
	if load.LinkUtilization >= 0 {
		b.nodes[node].linkLoad = load.LinkUtilization
	}
}

func (b *baseline) ViewerLeft(now int64, h decision.Handle) *decision.Result {
	b.clearResult()
	if p := b.find(h); p != nil && !p.attemptOpen {
		p.inUse = false
	} else if p != nil && !p.playing {
		p.viewerLeft = true
		b.result.Orders = append(b.result.Orders, decision.Order{Play: h, Action: decision.Cancel, Attempt: p.attempt})
	}
	return b.finish(now)
}

func (b *baseline) ProbeEnded(now int64, node int, _ decision.Outcome, load decision.Load) *decision.Result {
	b.clearResult()
	b.recordLoad(node, load)
	return b.finish(now)
}

func (b *baseline) LoadReported(now int64, h decision.Handle, load decision.Load) *decision.Result {
	b.clearResult()
	if p := b.find(h); p != nil {
		b.recordLoad(p.node, load)
	}
	return b.finish(now)
}

func (b *baseline) noOrders(now int64) *decision.Result { b.clearResult(); return b.finish(now) }

func (b *baseline) DeliveryReported(now int64, _ decision.Handle, _ float64) *decision.Result {
	return b.noOrders(now)
}
func (b *baseline) RungReported(now int64, _ decision.Handle, _ int) *decision.Result {
	return b.noOrders(now)
}
func (b *baseline) Wake(now int64) *decision.Result {
	window := int64(b.setting("budget.over", 0)) + decision.Second
	for len(b.acceptTimes) > 0 && b.acceptTimes[0] < now-window {
		b.acceptTimes = b.acceptTimes[1:]
	}
	return b.noOrders(now)
}
func (b *baseline) ForgetViewer(int64, int) bool { return true }
func (b *baseline) ForgetNode(_ int64, node int) bool {
	return node >= len(b.nodes) || !b.nodes[node].listed
}

// MessageReceived ignores messages of other front ends.
func (b *baseline) MessageReceived(now int64, from int, bytes []byte) *decision.Result {
	b.clearResult()
	return b.finish(now)
}
