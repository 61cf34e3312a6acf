package main

import (
	"fmt"
	"time"
)

func init() { cases["slow-channel"] = slowChannel }

const (
	slowStart   = 2500 * time.Millisecond // from a connection's request to its first frame, when the command channel is slow
	silenceTold = 4 * time.Second         // on days of a silent channel, an event counts as told no later than this
	slowRun     = 40 * time.Second
	slowDrainAt = 8 * time.Second
)

// slowChannel drains a node while the command channel needs slowStart for the first frame of each connection.
func slowChannel(b *bed) ([]string, error) {
	if err := b.prepare(4); err != nil {
		return nil, err
	}
	if b.trouble {
		b.channel.slowStart = slowStart
		b.logf("the command channel is slow: the first frame of a connection comes %v after its request", slowStart)
	}
	if err := b.startFront(); err != nil {
		return nil, err
	}
	v := newViewers(b, "127.0.0.2")
	drained := b.nodes[1]
	var told time.Time
	for began := time.Now(); time.Since(began) < slowRun; time.Sleep(usualEvery) {
		if told.IsZero() && time.Since(began) > slowDrainAt {
			told = b.channel.tell(drained.entry(draining))
			drained.drain()
		}
		v.setUp(free)
	}
	if drained.setUpCount() == 0 {
		return nil, fmt.Errorf("no set-up went to %s before its drain", drained.name())
	}
	var broken []string
	for _, s := range drained.setUpsFrom(told.Add(silenceTold + drainGrace + slack)) {
		broken = append(broken, fmt.Sprintf("drain: %016x is set up at %s %v after its drain was in the command channel", s.session, drained.name(), s.at.Sub(told).Round(time.Millisecond)))
	}
	b.logf("%s got %d set-ups, %d of them later than %v after its drain was in the channel", drained.name(), drained.setUpCount(), len(broken), silenceTold+drainGrace+slack)
	b.channel.logCounts()
	return broken, nil
}
