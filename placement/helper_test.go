package placement

import (
	"testing"

	"gullrail/decision"
)

const now = 1_000_000

// settings describes a small fleet with two kinds of node and three rungs. Product 0 is unpaid; product 1 is paid,
// with rung 1 as its floor and two seats.
func settings() map[string][]float64 {
	return map[string][]float64{
		"fronts": {2}, "front": {0}, "cells": {4}, "racks": {2}, "kind.streams": {20, 20},
		"rung.rate": {100, 200, 400}, "rung.worth": {0.3, 0.6, 1}, "weight.rate": {1000},
		"uplink.rate": {10000}, "reports.uplink": {0}, "tries": {4}, "zone": {0},
		"product.rate": {1, 1}, "product.paid": {0, 1}, "product.floor": {0, 1}, "product.seats": {0, 2},
		"product.importance": {1, 2}, "product.target": {10000, 10000},
		"comeback": {1}, "comeback.most": {5000}, "recall": {1}, "note.lag": {10000},
		"switch.seconds": {0.5}, "cold.share": {0.4}, "cold.lasts": {120000},
		"fall.multiple": {2.5}, "fall.over": {10000},
		"budget.over": {100000}, "budget.free": {2}, "budget.share": {0.1},
	}
}

// newTestPolicy returns the policy of a front with n warm nodes, one per cell, and a mean rung at the top of the
// ladder.
func newTestPolicy(n int, change ...func(map[string][]float64)) *Policy {
	set := settings()
	for _, c := range change {
		c(set)
	}
	pol := New(set, 7)
	var list []decision.Node
	for i := range n {
		list = append(list, decision.Node{Index: i, Cell: i, Kind: i % 2, Weight: 1})
	}
	pol.UpdateNodes(0, list, true)
	pol.meanRung = 2
	pol.viewers = []viewer{{movedAt: never}}
	return pol
}

func singleFront(set map[string][]float64) { set["fronts"] = []float64{1} }

func newRequest(product int) decision.Request {
	return decision.Request{Product: product, Deadline: now + 4*sec, FirstCell: 0, CellCount: 4, MaxRung: 2}
}

// addPlaying adds a play that has been playing on a node since a time.
func addPlaying(pol *Policy, idx, product, rung int, since int64) (decision.Handle, *play) {
	req := newRequest(product)
	req.Viewer = len(pol.viewers)
	h, p := pol.accept(since, req)
	p.attempt, p.stage, p.startedAt, p.rung, p.steppedUpAt = 0, playing, since, rung, never
	pol.bind(h, p, idx)
	return h, pol.plays.Get(h)
}

// onlyOrder returns the only order of a result.
func onlyOrder(t *testing.T, r *decision.Result) decision.Order {
	t.Helper()
	if len(r.Orders) != 1 {
		t.Fatalf("want one order, got %+v", r.Orders)
	}
	return r.Orders[0]
}

func countActions(r *decision.Result, action decision.Action) (n int) {
	for _, o := range r.Orders {
		if o.Action == action {
			n++
		}
	}
	return n
}
