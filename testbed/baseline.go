package testbed

import (
	"gullrail/decision"
	"gullrail/internal/pcg"
)

// Baseline is a policy to compare the project's module with, by its name: random takes a random holder at
// the lowest rung, least the holder whose link was told to be asked least, at the highest rung that fits by
// that word. Both keep seats, floors, drains and the paid rule, so that service can be compared; neither
// changes a rung in play, moves a play, paces cold nodes or learns. Nil is the project's own.
func Baseline(name string) func(terms map[string][]float64, seed uint64) decision.Policy {
	if name != "random" && name != "least" {
		return nil
	}
	return func(terms map[string][]float64, seed uint64) decision.Policy {
		return &baseline{terms: terms, least: name == "least", rnd: pcg.New(seed)}
	}
}

type baseline struct {
	terms map[string][]float64
	least bool
	rnd   pcg.Source
	nodes []baseNode
	plays []basePlay
	seats map[[2]int]int
	again []int64
	taken []int64
	res   decision.Result
}

type baseNode struct {
	decision.Node
	listed bool
	asked  float64
}

type basePlay struct {
	want      decision.Request
	gen       uint32
	live      bool
	out       bool
	playing   bool
	mayHave   bool
	deserted  bool
	try, node int
	tried     []int
}

func (b *baseline) of(name string, i int) float64 {
	if v := b.terms[name]; i < len(v) {
		return v[i]
	}
	return 0
}

func (b *baseline) get(h decision.Handle) *basePlay {
	if int(h.Index) < len(b.plays) && b.plays[h.Index].live && b.plays[h.Index].gen == h.Generation {
		return &b.plays[h.Index]
	}
	return nil
}

func (b *baseline) begin() { b.res.Orders, b.res.Probes = b.res.Orders[:0], b.res.Probes[:0] }

func (b *baseline) end(now int64) *decision.Result {
	b.res.WakeAt = now + decision.Second
	return &b.res
}

func (b *baseline) UpdateNodes(now int64, list []decision.Node, whole bool) *decision.Result {
	b.begin()
	for i := range b.nodes {
		b.nodes[i].listed = b.nodes[i].listed && !whole
	}
	for _, n := range list {
		for n.Index >= len(b.nodes) {
			b.nodes = append(b.nodes, baseNode{})
		}
		b.nodes[n.Index].Node, b.nodes[n.Index].listed = n, n.Phase != decision.Gone
	}
	return b.end(now)
}

func (b *baseline) add(w decision.Request) (decision.Handle, *basePlay) {
	at := -1
	for i := range b.plays {
		if !b.plays[i].live {
			at = i
			break
		}
	}
	if at < 0 {
		at = len(b.plays)
		b.plays = append(b.plays, basePlay{})
	}
	p := &b.plays[at]
	*p = basePlay{want: w, gen: p.gen + 1, live: true, try: -1, tried: p.tried[:0]}
	return decision.Handle{Index: int32(at), Generation: p.gen}, p
}

func (b *baseline) AddPlay(now int64, w decision.Request) (decision.Handle, *decision.Result) {
	b.begin()
	h, p := b.add(w)
	b.taken = append(b.taken, now)
	b.place(now, h, p)
	return h, b.end(now)
}

func (b *baseline) place(now int64, h decision.Handle, p *basePlay) {
	product := p.want.Product
	paid := b.of("product.paid", product) > 0
	seats, seat := b.of("product.seats", product), [2]int{p.want.Title, product}
	pick, best := -1, 0.0
	if b.seats == nil {
		b.seats = map[[2]int]int{}
	}
	if p.try+1 < int(b.of("tries", 0)) && now < p.want.Deadline && !(paid && p.mayHave) &&
		(seats == 0 || float64(b.seats[seat]) < seats) && (p.try < 0 || b.budget(now)) {
		cells := int(b.of("cells", 0))
		for i := range b.nodes {
			n := &b.nodes[i]
			if !n.listed || n.Phase != decision.Ready || ((n.Cell-p.want.FirstCell)%cells+cells)%cells >= p.want.CellCount || p.has(i) {
				continue
			}
			score := b.rnd.Float()
			if b.least {
				score = -n.asked + score/1e6
			}
			if pick < 0 || score > best {
				pick, best = i, score
			}
		}
	}
	if pick < 0 {
		do := decision.Decline
		if paid && p.mayHave {
			do = decision.Fail
		}
		b.res.Orders = append(b.res.Orders, decision.Order{Play: h, Action: do, RetryAfter: int64(b.of("comeback.most", 0))})
		p.live = false
		return
	}
	rung := int(b.of("product.floor", product))
	if b.least {
		rates := b.terms["rung.rate"]
		for r := rung + 1; r < len(rates) && r <= p.want.MaxRung; r++ {
			if b.nodes[pick].asked+rates[r]*b.of("product.rate", product)/b.of("weight.rate", 0) < 0.85 {
				rung = r
			}
		}
		b.nodes[pick].asked += rates[rung] * b.of("product.rate", product) / b.of("weight.rate", 0)
		if b.of("probing", 0) > 0 {
			b.res.Probes = append(b.res.Probes, pick)
		}
	}
	if p.try++; p.try > 0 {
		b.again = append(b.again, now)
	}
	p.node, p.out = pick, true
	p.tried = append(p.tried, pick)
	b.seats[seat]++
	target := now + int64(b.of("product.target", product))/2
	until := p.want.Deadline
	if !paid && target < until {
		until = target
	}
	b.res.Orders = append(b.res.Orders, decision.Order{Play: h, Action: decision.Place, Node: pick, Rung: rung, Until: until})
}

func (p *basePlay) has(node int) bool {
	for _, t := range p.tried {
		if t == node {
			return true
		}
	}
	return false
}

func (b *baseline) budget(now int64) bool {
	over := int64(b.of("budget.over", 0))
	if over == 0 {
		return true
	}
	within := func(times []int64) (n float64) {
		for _, t := range times {
			if t > now-over-200*decision.Millisecond {
				n++
			}
		}
		return n
	}
	return within(b.again)+1 <= b.of("budget.free", 0)+b.of("budget.share", 0)*within(b.taken)*0.9
}

func (b *baseline) AdoptPlay(now int64, w decision.Request, node int) (decision.Handle, *decision.Result) {
	b.begin()
	h, p := b.add(w)
	p.try, p.playing, p.out, p.node = 0, true, true, node
	if b.seats == nil {
		b.seats = map[[2]int]int{}
	}
	b.seats[[2]int{w.Title, w.Product}]++
	return h, b.end(now)
}

func (b *baseline) AttemptStarted(now int64, h decision.Handle, try int) *decision.Result {
	b.begin()
	if p := b.get(h); p != nil && p.try == try {
		p.playing = true
	}
	return b.end(now)
}

func (b *baseline) AttemptEnded(now int64, h decision.Handle, try int, how decision.Outcome, over bool, load decision.Load) *decision.Result {
	b.begin()
	p := b.get(h)
	if p == nil || !p.out || p.try != try {
		return b.end(now)
	}
	p.out = false
	b.seats[[2]int{p.want.Title, p.want.Product}]--
	b.heard(p.node, load)
	if over || p.playing || p.deserted {
		p.live = false
		return b.end(now)
	}
	p.mayHave = p.mayHave || how.MayHaveRun()
	b.place(now, h, p)
	return b.end(now)
}

func (b *baseline) heard(node int, load decision.Load) {
	if load.Link >= 0 {
		b.nodes[node].asked = load.Link
	}
}

func (b *baseline) ViewerLeft(now int64, h decision.Handle) *decision.Result {
	b.begin()
	if p := b.get(h); p != nil && !p.out {
		p.live = false
	} else if p != nil && !p.playing {
		p.deserted = true
		b.res.Orders = append(b.res.Orders, decision.Order{Play: h, Action: decision.Cancel, Attempt: p.try})
	}
	return b.end(now)
}

func (b *baseline) ProbeEnded(now int64, node int, _ decision.Outcome, load decision.Load) *decision.Result {
	b.begin()
	b.heard(node, load)
	return b.end(now)
}

func (b *baseline) LoadReported(now int64, h decision.Handle, load decision.Load) *decision.Result {
	b.begin()
	if p := b.get(h); p != nil {
		b.heard(p.node, load)
	}
	return b.end(now)
}

func (b *baseline) none(now int64) *decision.Result { b.begin(); return b.end(now) }

func (b *baseline) DeliveryReported(now int64, _ decision.Handle, _ float64) *decision.Result {
	return b.none(now)
}
func (b *baseline) RungReported(now int64, _ decision.Handle, _ int) *decision.Result {
	return b.none(now)
}
func (b *baseline) Wake(now int64) *decision.Result {
	over := int64(b.of("budget.over", 0)) + decision.Second
	for len(b.taken) > 0 && b.taken[0] < now-over {
		b.taken = b.taken[1:]
	}
	return b.none(now)
}
func (b *baseline) ForgetViewer(int64, int) bool { return true }
func (b *baseline) ForgetNode(_ int64, node int) bool {
	return node >= len(b.nodes) || !b.nodes[node].listed
}

// MessageReceived passes over what other fronts say.
func (b *baseline) MessageReceived(now int64, from int, bytes []byte) *decision.Result {
	b.begin()
	return b.end(now)
}
