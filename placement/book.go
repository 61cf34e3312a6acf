package placement

import (
	"encoding/binary"
	"math"

	"gullrail/decision"
)

// Bookkeeping: settings, records of plays and nodes, list traversal and message encoding. Nothing here makes decisions.

// setting returns the single value of a setting, or 0 if it is not set.
func (pol *Policy) setting(name string) float64 { return pol.settingAt(name, 0, 0) }

// settingAt returns the value of a setting for one product, kind or rung, or the fallback if it is not set.
func (pol *Policy) settingAt(name string, i int, fallback float64) float64 {
	if v := pol.settings[name]; i >= 0 && i < len(v) {
		return v[i]
	}
	return fallback
}

func (pol *Policy) beginCall() {
	pol.loadVersion++
	pol.result.Orders, pol.result.Probes = pol.result.Orders[:0], pol.result.Probes[:0]
	pol.result.Messages, pol.messageBuf = pol.result.Messages[:0], pol.messageBuf[:0]
}

func (pol *Policy) addOrder(o decision.Order) { pol.result.Orders = append(pol.result.Orders, o) }

// unknownViewer and unknownNode are the initial records of a viewer and a node.
var (
	unknownViewer = viewer{movedAt: never}
	unknownNode   = node{deliveredShare: 1, lastTurn: -1, deliveredShareAt: never, steppedDownAt: never,
		steppedUpAt: never, shedAt: never, probedAt: never, unlistedAt: never}
)

// ensureNode returns the record of a node and creates it if needed.
func (pol *Policy) ensureNode(idx int) *node {
	for idx >= len(pol.nodes) {
		pol.nodes = append(pol.nodes, unknownNode)
	}
	return &pol.nodes[idx]
}

// rebuildLists groups the listed nodes by rack and by cell, so that placing a play need not visit all nodes.
func (pol *Policy) rebuildLists() {
	pol.listed = 0
	for i := range pol.racks {
		pol.racks[i].nodes = pol.racks[i].nodes[:0]
	}
	for i := range pol.cells {
		pol.cells[i] = pol.cells[i][:0]
	}
	for i := range pol.nodes {
		if n := &pol.nodes[i]; n.listed {
			pol.listed++
			pol.racks[n.rack].nodes = append(pol.racks[n.rack].nodes, i)
			pol.cells[n.cell%len(pol.cells)] = append(pol.cells[n.cell%len(pol.cells)], i)
		}
	}
}

// holders returns the listed nodes that hold a play's title. The slice is valid until the next call.
func (pol *Policy) holders(p *play) []int {
	pol.holderBuf = pol.holderBuf[:0]
	cells := len(pol.cells)
	first := (p.request.FirstCell%cells + cells) % cells
	for offset := range min(p.request.CellCount, cells) {
		pol.holderBuf = append(pol.holderBuf, pol.cells[(first+offset)%cells]...)
	}
	return pol.holderBuf
}

// viewersOf counts own plays of a play's title and product, including the play itself.
func (pol *Policy) viewersOf(p *play) int {
	n := 1
	for i := range pol.plays.Len() {
		_, o := pol.plays.At(i)
		if o != nil && o != p && o.request.Title == p.request.Title && o.request.Product == p.request.Product {
			n++
		}
	}
	return n
}

// playsElsewhere returns whether another own play of the same title is playing.
func (pol *Policy) playsElsewhere(p *play) bool {
	for i := range pol.plays.Len() {
		if _, o := pol.plays.At(i); o != nil && o != p && o.stage == playing && o.request.Title == p.request.Title {
			return true
		}
	}
	return false
}

// prefer keeps the candidates that match, or all if none does.
func (pol *Policy) prefer(matches func(c *candidate) bool) {
	k := 0
	for i := range pol.candidates {
		if matches(&pol.candidates[i]) {
			pol.candidates[i], pol.candidates[k] = pol.candidates[k], pol.candidates[i]
			k++
		}
	}
	if k > 0 {
		pol.candidates = pol.candidates[:k]
	}
}

func (pol *Policy) updateRung(p *play, rung int) {
	pol.addRate(p.node, pol.rate(p, rung)-pol.rate(p, p.rung))
	p.rung = rung
}

// addRate changes the total rate of own plays on a node and in its rack.
func (pol *Policy) addRate(idx int, delta float64) {
	pol.loadVersion++
	n := &pol.nodes[idx]
	n.ownRate += delta
	pol.racks[n.rack].ownRate += delta
}

// bestPlay returns the play in stage playing with the highest positive merit on a node, or nil.
func (pol *Policy) bestPlay(idx int, merit func(p *play) float64) (bestHandle decision.Handle, bestPlay *play) {
	highest := 0.0
	for _, h := range pol.nodes[idx].plays {
		p := pol.plays.Get(h)
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
func (pol *Policy) seatCount(p *play) *int32 {
	i := p.request.Title*len(pol.settings["product.paid"]) + p.request.Product
	for i >= len(pol.seats) {
		pol.seats = append(pol.seats, 0)
	}
	return &pol.seats[i]
}

// bind assigns a play to a node and counts its rate and seat; unbind reverses it.
func (pol *Policy) bind(h decision.Handle, p *play, idx int) {
	p.node = idx
	n := &pol.nodes[idx]
	n.plays = append(n.plays, h)
	pol.addRate(idx, pol.rate(p, p.rung))
	*pol.seatCount(p)++
}

func (pol *Policy) unbind(h decision.Handle, p *play) {
	n := &pol.nodes[p.node]
	for i, o := range n.plays {
		if o == h {
			n.plays = append(n.plays[:i], n.plays[i+1:]...)
			break
		}
	}
	pol.addRate(p.node, -pol.rate(p, p.rung))
	*pol.seatCount(p)--
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
func (pol *Policy) addMessage(to int, kind byte, key uint32, payload ...byte) {
	start := len(pol.messageBuf)
	pol.messageBuf = append(binary.BigEndian.AppendUint32(append(pol.messageBuf, kind), key), payload...)
	pol.result.Messages = append(pol.result.Messages,
		decision.Message{To: to, Bytes: pol.messageBuf[start:len(pol.messageBuf):len(pol.messageBuf)]})
}

// encodeUtilization and decodeUtilization convert a utilization to and from a byte of a message.
func encodeUtilization(utilization float64) byte {
	return byte(max(0, min(unknownByte-1, math.Round(utilization*utilizationSteps))))
}

func decodeUtilization(b byte) float64 {
	if b == unknownByte {
		return -1
	}
	return float64(b) / utilizationSteps
}
