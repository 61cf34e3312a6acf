package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

func init() { cases["twice"] = twice }

const (
	twiceCalm   = 5 * time.Second
	resetPeriod = 6 * time.Second        // for which answers get lost and connections are reset
	resetEvery  = 900 * time.Millisecond // between two nodes whose connections are reset
	twiceLength = 12 * time.Second       // of a session
	twiceAnswer = 200 * time.Millisecond
	twiceEvery  = 40 * time.Millisecond // between two set-ups
	giveUpTime  = time.Second           // for the front end to release a session at one node before it counts as out at two
)

// twice loses some answers of nodes and resets the connections to these nodes, and looks for sessions that stand at two nodes at once.
func twice(b *bed) ([]string, error) {
	if err := b.prepare(10); err != nil {
		return nil, err
	}
	from := time.Now().Add(time.Hour)
	var mu sync.Mutex
	var resetAt time.Time
	for _, n := range b.nodes {
		n.answerAfter, n.length = twiceAnswer, twiceLength
		n.loses = func(session uint64) bool {
			now := time.Now()
			mu.Lock()
			defer mu.Unlock()
			if !b.trouble || now.Before(from) || now.After(from.Add(resetPeriod)) || now.Sub(resetAt) < resetEvery || len(n.conns) < 2 {
				return false
			}
			resetAt = now
			b.logf("%s answers the set-up of %016x; the answer gets lost", n.name(), session)
			n.resetAll()
			return true
		}
	}
	if err := b.startFront(); err != nil {
		return nil, err
	}
	began := time.Now()
	b.setFrom(&from, began.Add(twiceCalm))
	v := newViewers(b, "127.0.0.2")
	for time.Since(began) < twiceCalm+resetPeriod+2*time.Second {
		go v.setUp(free)
		time.Sleep(twiceEvery)
	}
	time.Sleep(twiceLength + time.Second)
	return b.overlaps(), nil
}

// setFrom sets a time that the nodes read under their mutexes.
func (b *bed) setFrom(from *time.Time, to time.Time) {
	for _, n := range b.nodes {
		n.mu.Lock()
		defer n.mu.Unlock()
	}
	*from = to
}

// resetAll resets all connections of a node. The caller holds the mutex.
func (n *node) resetAll() {
	for _, c := range n.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	n.bed.logf("%s: its %d connections are reset", n.name(), len(n.conns))
	n.conns = nil
}

// stayAt is a session's stay at a node.
type stayAt struct {
	stay
	node string
}

// overlaps returns a line for each session that stood at two nodes at once for longer than giveUpTime.
func (b *bed) overlaps() (broken []string) {
	stays := map[uint64][]stayAt{}
	for _, n := range b.nodes {
		n.mu.Lock()
		for id, s := range n.stays {
			one := stayAt{*s, n.name()}
			if one.to.IsZero() {
				one.to = time.Now()
			}
			stays[id] = append(stays[id], one)
		}
		n.mu.Unlock()
	}
	for id, all := range stays {
		slices.SortFunc(all, func(x, y stayAt) int { return x.from.Compare(y.from) })
		for i := 1; i < len(all); i++ {
			end := all[i-1].to
			if all[i].to.Before(end) {
				end = all[i].to
			}
			if both := end.Sub(all[i].from); both > giveUpTime+slack {
				broken = append(broken, fmt.Sprintf("twice: %016x stood at %s and at %s at once, for %v", id, all[i-1].node, all[i].node, both.Round(time.Millisecond)))
			}
		}
	}
	return broken
}
