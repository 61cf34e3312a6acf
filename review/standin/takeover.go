package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() { cases["takeover"] = takeover }

const releaseLimit = 8*time.Second + 50*time.Millisecond // of the page, from the end of a session for which no release could be sent

// takeover: a playout node's process ends while sessions stand on it, and a new node starts at once behind the same address. The
// command channel tells the end of the first 0.5 s later, and the second 1 s later. The viewers of the cut sessions must get a release
// within 8 s. With GAP_MS in the environment the address refuses connections for that long between the two nodes; the case has no gap.
func takeover(e *env) error {
	old := newNode("node s-000000a1", e.rec, answerAfter(60*time.Millisecond, 0))
	next := newNode("node s-000000b2", e.rec, answerAfter(60*time.Millisecond, 0))
	other := newNode("node s-000000c3", e.rec, answerAfter(60*time.Millisecond, 0))
	old.noteEach, next.noteEach, other.noteEach = 3*time.Second, 3*time.Second, 3*time.Second
	shared, err := listenFor(old)
	if err != nil {
		return err
	}
	second, err := listenFor(other)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, n := range []*node{old, next, other} {
		go n.runNotes(stop)
	}
	b, err := startBed(e, listEntry{0xa1, shared.address(), ready, 0, 4000, 0}, listEntry{0xc3, second.address(), ready, 1, 4000, 0})
	if err != nil {
		return err
	}
	defer b.close()
	viewers := newClient("client 1", b.front.address, e.rec)
	defer viewers.close()

	var cut []uint64 // sessions of a title that only cell 0 holds
	for i := range 4 {
		id, class := uint64(0x7100+i), "briefing"
		if i == 0 {
			class = "induction"
		}
		if _, err := viewers.setUp(id, class, "safe-driving", 0, 1, 3*time.Second); err != nil {
			return err
		}
		cut = append(cut, id)
	}
	playsOn := func(ids []uint64) bool {
		for _, id := range ids {
			if s := viewers.get(id); len(s.answers) != 1 || s.answers[0] != 200 {
				return false
			}
		}
		return true
	}
	if !await(4*time.Second, func() bool { return playsOn(cut) }) {
		return fmt.Errorf("the first set-ups do not all stand")
	}
	time.Sleep(2 * time.Second)

	if e.trouble {
		gap, _ := strconv.Atoi(os.Getenv("GAP_MS"))
		if err := shared.handOver(next, time.Duration(gap)*time.Millisecond, func() { old.die() }); err != nil {
			return err
		}
		started := time.Now()
		time.Sleep(500 * time.Millisecond)
		b.channel.tell(listEntry{0xa1, shared.address(), gone, 0, 4000, 0})
		time.Sleep(500 * time.Millisecond)
		b.channel.tell(listEntry{0xb2, shared.address(), ready, 0, 4000, started.UnixMilli()})
	} else {
		for _, id := range cut {
			old.end(id, 16)
		}
		time.Sleep(time.Second)
	}

	// The deployment goes on: a set-up each second for titles of both cells.
	for i := range 24 {
		home := i % 2
		if _, err := viewers.setUp(uint64(0x8200+i), "briefing", fmt.Sprintf("briefing-%d", home), home, 1, 3*time.Second); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	if !b.front.running() {
		return broken{"the front end has crashed"}
	}
	late := 0
	for _, id := range cut {
		s := viewers.get(id)
		if old.ended[id].IsZero() {
			return fmt.Errorf("session %016x has no end", id)
		}
		if s.releases == 0 {
			late++
			e.rec.logf("session %016x was over at its node %.1f s ago, and its viewer has no release", id, time.Since(old.ended[id]).Seconds())
		} else if d := s.releasedAt.Sub(old.ended[id]); d > releaseLimit {
			late++
			e.rec.logf("session %016x: release only %.1f s after its end", id, d.Seconds())
		} else {
			e.rec.logf("session %016x: release %.3f s after its end", id, d.Seconds())
		}
	}
	e.rec.logf("new set-ups at the old node's address: %d", next.setUps)
	if late > 0 {
		return broken{fmt.Sprintf("%d of %d sessions that were over at their node were not released towards their client within 8 s", late, len(cut))}
	}
	return nil
}
