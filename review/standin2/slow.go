package main

import (
	"fmt"
	"time"
)

func init() { cases["slow-channel"] = slowChannel }

const (
	slowStart   = 2500 * time.Millisecond // from a connection's request to its first frame, when the command channel is slow
	silenceTold = 4 * time.Second         // on days of a silent channel, an event counts as told no later than this
	slowCalm    = 8 * time.Second
	slowTold    = 600 * time.Millisecond // from the change of a node to the event that tells of it
	slowRun     = 32 * time.Second       // of traffic after the changes
)

// slowChannel replaces a node by another one at its address and drains a second one, while the command channel needs slowStart for the
// first frame of each connection.
func slowChannel(b *bed) ([]string, error) {
	if err := b.prepare(4); err != nil {
		return nil, err
	}
	for _, n := range b.nodes {
		n.length = 25 * time.Second
	}
	if b.trouble {
		b.channel.slowStart = slowStart
		b.logf("the command channel is slow: the first frame of a connection comes %v after its request", slowStart)
	}
	if err := b.startFront(); err != nil {
		return nil, err
	}
	v := newViewers(b, "127.0.0.2")
	traffic := func(d time.Duration) {
		for began := time.Now(); time.Since(began) < d; time.Sleep(2 * usualEvery) {
			v.setUp(free)
		}
	}
	traffic(slowCalm)
	old, drained := b.nodes[1], b.nodes[2]
	if old.setUpCount() == 0 || drained.setUpCount() == 0 {
		return nil, fmt.Errorf("no set-ups went to %s and %s in the calm time", old.name(), drained.name())
	}
	next := old.replace(0xb1)
	b.nodes = append(b.nodes, next)
	started := next.entry(ready)
	started.started = time.Now().UnixMilli()
	drained.drain()
	traffic(slowTold)
	told := b.channel.tell(old.entry(gone), started, drained.entry(draining))
	traffic(slowRun)
	_, broken := v.check()
	_, late := v.checkReleases()
	broken = append(broken, late...)
	for _, s := range drained.setUpsFrom(told.Add(silenceTold + drainGrace + slack)) {
		broken = append(broken, fmt.Sprintf("drain: %016x is set up at %s %v after its drain was in the command channel", s.session, drained.name(), s.at.Sub(told).Round(time.Millisecond)))
	}
	b.channel.logCounts()
	return broken, nil
}

// replace ends the node's process and starts another one at its address: connections are reset, and sessions are cut.
func (n *node) replace(id uint32) *node {
	next := newProcess(n.bed, id, n.cell, n.listener)
	next.answerAfter, next.length = n.answerAfter, n.length
	n.mu.Lock()
	defer n.mu.Unlock()
	cut := 0
	for session := range n.sessions {
		if s := n.stays[session]; s != nil && s.to.IsZero() {
			s.to = time.Now()
			n.endedAt[session] = s.to
			cut++
		}
	}
	clear(n.sessions)
	n.unsent = nil
	n.resetAll()
	n.successor = next
	n.bed.logf("%s has ended, %d sessions are cut; %s is at its address", n.name(), cut, next.name())
	return next
}
