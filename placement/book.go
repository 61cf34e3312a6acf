package placement

import (
	"encoding/binary"
	"math"

	"gullrail/decision"
)

// Bookkeeping: looking up settings, entering plays at nodes, walking lists, writing messages. Nothing here decides.

// val is a setting's single value, 0 if it is not given.
func (f *Policy) val(name string) float64 { return f.of(name, 0, 0) }

// of is a setting's value for one product, kind or rung, or else what stands in for it.
func (f *Policy) of(name string, i int, or float64) float64 {
	if v := f.set[name]; i >= 0 && i < len(v) {
		return v[i]
	}
	return or
}

func (f *Policy) begin() {
	f.changes++
	f.res.Orders, f.res.Probes = f.res.Orders[:0], f.res.Probes[:0]
	f.res.Messages, f.words = f.res.Messages[:0], f.words[:0]
}

func (f *Policy) order(o decision.Order) { f.res.Orders = append(f.res.Orders, o) }

// unmet and unheard are the records of a viewer and a node of whom nothing is known.
var (
	unmet   = viewer{movedAt: never}
	unheard = node{share: 1, slot: -1, shareAt: never, cutAt: never, raisedAt: never, shedAt: never,
		probedAt: never, unlistedAt: never}
)

// known makes sure that a node has a record.
func (f *Policy) known(at int) *node {
	for at >= len(f.nodes) {
		f.nodes = append(f.nodes, unheard)
	}
	return &f.nodes[at]
}

// relist enters the listed nodes by rack and by cell, so that no play walks them all.
func (f *Policy) relist() {
	f.listed = 0
	for i := range f.racks {
		f.racks[i].nodes = f.racks[i].nodes[:0]
	}
	for i := range f.cells {
		f.cells[i] = f.cells[i][:0]
	}
	for i := range f.nodes {
		if n := &f.nodes[i]; n.listed {
			f.listed++
			f.racks[n.rack].nodes = append(f.racks[n.rack].nodes, i)
			f.cells[n.cell%len(f.cells)] = append(f.cells[n.cell%len(f.cells)], i)
		}
	}
}

// holders are the listed nodes that hold a play's title.
func (f *Policy) holders(p *ply) []int {
	f.held = f.held[:0]
	cells := len(f.cells)
	home := (p.want.FirstCell%cells + cells) % cells
	for off := range min(p.want.CellCount, cells) {
		f.held = append(f.held, f.cells[(home+off)%cells]...)
	}
	return f.held
}

// viewersOf counts own plays of a play's title and product, itself included.
func (f *Policy) viewersOf(p *ply) int {
	n := 1
	for i := range f.plays.Len() {
		_, o := f.plays.At(i)
		if o != nil && o != p && o.want.Title == p.want.Title && o.want.Product == p.want.Product {
			n++
		}
	}
	return n
}

// playsElsewhere tells that another own play of a play's title plays.
func (f *Policy) playsElsewhere(p *ply) bool {
	for i := range f.plays.Len() {
		if _, o := f.plays.At(i); o != nil && o != p && o.stage == playing && o.want.Title == p.want.Title {
			return true
		}
	}
	return false
}

// prefer keeps the candidates that pass, or all if none does.
func (f *Policy) prefer(pass func(c *cand) bool) {
	k := 0
	for i := range f.cands {
		if pass(&f.cands[i]) {
			f.cands[i], f.cands[k] = f.cands[k], f.cands[i]
			k++
		}
	}
	if k > 0 {
		f.cands = f.cands[:k]
	}
}

func (f *Policy) rerate(p *ply, rung int) {
	f.carry(p.node, f.rate(p, rung)-f.rate(p, p.rung))
	p.rung = rung
}

// carry adds to the rates of own plays at a node and in its rack.
func (f *Policy) carry(at int, more float64) {
	f.changes++
	n := &f.nodes[at]
	n.own += more
	f.racks[n.rack].own += more
}

// best is the play of a node that plays and has most merit above 0.
func (f *Policy) best(at int, merit func(p *ply) float64) (pick decision.Handle, best *ply) {
	most := 0.0
	for _, h := range f.nodes[at].plays {
		p := f.plays.Get(h)
		if p.stage != playing {
			continue
		}
		if m := merit(p); m > most {
			most, pick, best = m, h, p
		}
	}
	return pick, best
}

// seat is the count of plays held of a play's title and product.
func (f *Policy) seat(p *ply) *int32 {
	i := p.want.Title*len(f.set["product.paid"]) + p.want.Product
	for i >= len(f.seats) {
		f.seats = append(f.seats, 0)
	}
	return &f.seats[i]
}

// bind and unbind enter a play at a node and take it out: its seat, its rate, its place in the list.
func (f *Policy) bind(h decision.Handle, p *ply, at int) {
	p.node = at
	n := &f.nodes[at]
	n.plays = append(n.plays, h)
	f.carry(at, f.rate(p, p.rung))
	*f.seat(p)++
}

func (f *Policy) unbind(h decision.Handle, p *ply) {
	n := &f.nodes[p.node]
	for i, o := range n.plays {
		if o == h {
			n.plays = append(n.plays[:i], n.plays[i+1:]...)
			break
		}
	}
	f.carry(p.node, -f.rate(p, p.rung))
	*f.seat(p)--
}

// since drops times before a moment, in place.
func since(times []int64, from int64) []int64 {
	k := 0
	for k < len(times) && times[k] < from {
		k++
	}
	return times[:copy(times, times[k:])]
}

// send enters a message to another front.
func (f *Policy) send(to int, kind byte, key uint32, more ...byte) {
	from := len(f.words)
	f.words = append(binary.BigEndian.AppendUint32(append(f.words, kind), key), more...)
	f.res.Messages = append(f.res.Messages, decision.Message{To: to, Bytes: f.words[from:len(f.words):len(f.words)]})
}

// pack and unpack put a figure of what is asked into a byte.
func pack(asked float64) byte { return byte(max(0, min(untold-1, math.Round(asked*askedUnit)))) }

func unpack(b byte) float64 {
	if b == untold {
		return -1
	}
	return float64(b) / askedUnit
}
