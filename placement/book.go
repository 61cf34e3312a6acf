package placement

import (
	"encoding/binary"
	"math"

	"gullrail/decision"
)

// Bookkeeping: settings, records of plays and nodes, list traversal and message encoding. Nothing here makes decisions.

// setting returns the single value of a setting, or 0 if it is not set.
func (f *Policy) setting(name string) float64 { return f.settingAt(name, 0, 0) }

// settingAt returns the value of a setting for one product, kind or rung, or the fallback if it is not set.
func (f *Policy) settingAt(name string, i int, fallback float64) float64 {
	if v := f.settings[name]; i >= 0 && i < len(v) {
		return v[i]
	}
	return fallback
}

func (f *Policy) beginCall() {
	f.loadVersion++
	f.result.Orders, f.result.Probes = f.result.Orders[:0], f.result.Probes[:0]
	f.result.Messages, f.messageBuf = f.result.Messages[:0], f.messageBuf[:0]
}

func (f *Policy) addOrder(o decision.Order) { f.result.Orders = append(f.result.Orders, o) }

// unknownViewer and unknownNode are the initial records of a viewer and a node.
var (
	unknownViewer = viewer{movedAt: never}
	unknownNode   = node{deliveredShare: 1, lastTurn: -1, deliveredShareAt: never, steppedDownAt: never, steppedUpAt: never, shedAt: never,
		probedAt: never, unlistedAt: never}
)

// ensureNode returns the record of a node and creates it if needed.
func (f *Policy) ensureNode(idx int) *node {
	for idx >= len(f.nodes) {
		f.nodes = append(f.nodes, unknownNode)
	}
	return &f.nodes[idx]
}

// rebuildLists groups the listed nodes by rack and by cell, so that placing a play need not visit all nodes.
func (f *Policy) rebuildLists() {
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

// holders returns the listed nodes that hold a play's title. The slice is valid until the next call.
func (f *Policy) holders(p *play) []int {
	f.holderBuf = f.holderBuf[:0]
	cells := len(f.cells)
	first := (p.request.FirstCell%cells + cells) % cells
	for offset := range min(p.request.CellCount, cells) {
		f.holderBuf = append(f.holderBuf, f.cells[(first+offset)%cells]...)
	}
	return f.holderBuf
}

// viewersOf counts own plays of a play's title and product, including the play itself.
func (f *Policy) viewersOf(p *play) int {
	n := 1
	for i := range f.plays.Len() {
		_, o := f.plays.At(i)
		if o != nil && o != p && o.request.Title == p.request.Title && o.request.Product == p.request.Product {
			n++
		}
	}
	return n
}

// playsElsewhere returns whether another own play of the same title is playing.
func (f *Policy) playsElsewhere(p *play) bool {
	for i := range f.plays.Len() {
		if _, o := f.plays.At(i); o != nil && o != p && o.stage == playing && o.request.Title == p.request.Title {
			return true
		}
	}
	return false
}

// prefer keeps the candidates that match, or all if none does.
func (f *Policy) prefer(matches func(c *candidate) bool) {
	k := 0
	for i := range f.candidates {
		if matches(&f.candidates[i]) {
			f.candidates[i], f.candidates[k] = f.candidates[k], f.candidates[i]
			k++
		}
	}
	if k > 0 {
		f.candidates = f.candidates[:k]
	}
}

func (f *Policy) updateRung(p *play, rung int) {
	f.addRate(p.node, f.rate(p, rung)-f.rate(p, p.rung))
	p.rung = rung
}

// addRate changes the total rate of own plays on a node and in its rack.
func (f *Policy) addRate(idx int, delta float64) {
	f.loadVersion++
	n := &f.nodes[idx]
	n.ownRate += delta
	f.racks[n.rack].ownRate += delta
}

// bestPlay returns the play in stage playing with the highest positive merit on a node, or nil.
func (f *Policy) bestPlay(idx int, merit func(p *play) float64) (bestHandle decision.Handle, bestPlay *play) {
	highest := 0.0
	for _, h := range f.nodes[idx].plays {
		p := f.plays.Get(h)
		if p.stage != playing {
			continue
		}
		if m := merit(p); m > highest {
			highest, bestHandle, bestPlay = m, h, p
		}
	}
	return bestHandle, bestPlay
}

// seatCount returns the counter of the plays on nodes with a play's title and product, which are limited by
// product.seats.
func (f *Policy) seatCount(p *play) *int32 {
	i := p.request.Title*len(f.settings["product.paid"]) + p.request.Product
	for i >= len(f.seats) {
		f.seats = append(f.seats, 0)
	}
	return &f.seats[i]
}

// bind assigns a play to a node and counts its rate and seat; unbind reverses it.
func (f *Policy) bind(h decision.Handle, p *play, idx int) {
	p.node = idx
	n := &f.nodes[idx]
	n.plays = append(n.plays, h)
	f.addRate(idx, f.rate(p, p.rung))
	*f.seatCount(p)++
}

func (f *Policy) unbind(h decision.Handle, p *play) {
	n := &f.nodes[p.node]
	for i, o := range n.plays {
		if o == h {
			n.plays = append(n.plays[:i], n.plays[i+1:]...)
			break
		}
	}
	f.addRate(p.node, -f.rate(p, p.rung))
	*f.seatCount(p)--
}

// dropBefore removes the times before a moment from a sorted slice, in place.
func dropBefore(times []int64, from int64) []int64 {
	k := 0
	for k < len(times) && times[k] < from {
		k++
	}
	return times[:copy(times, times[k:])]
}

// addMessage queues a message to another front.
func (f *Policy) addMessage(to int, kind byte, key uint32, payload ...byte) {
	start := len(f.messageBuf)
	f.messageBuf = append(binary.BigEndian.AppendUint32(append(f.messageBuf, kind), key), payload...)
	f.result.Messages = append(f.result.Messages, decision.Message{To: to, Bytes: f.messageBuf[start:len(f.messageBuf):len(f.messageBuf)]})
}

// encodeUtilization and decodeUtilization convert a utilization to and from a byte of a message.
func encodeUtilization(asked float64) byte {
	return byte(max(0, min(unknownByte-1, math.Round(asked*utilizationSteps))))
}

func decodeUtilization(b byte) float64 {
	if b == unknownByte {
		return -1
	}
	return float64(b) / utilizationSteps
}
