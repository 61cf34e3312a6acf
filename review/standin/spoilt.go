package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["spoilt"] = spoilt }

const overlapSlack = time.Second // two set-ups out at once for no longer are not counted; the rule itself has no slack

// spoilt: now and then a playout node's good answer to a set-up arrives spoilt, with a length that does not fit. The set-up has run:
// the session stands at that node. It must not be out at another node at the same time.
func spoilt(e *env) error {
	const length = 12 * time.Second
	type place struct {
		node        string
		from, until time.Time // zero until: it still stands
	}
	var mu sync.Mutex
	places := map[uint64][]*place{}
	spoiled := 0
	onSetUp := func(n *node, s *nodeSession, m binaryMessage) {
		p := &place{node: n.name, from: time.Now()}
		mu.Lock()
		first := len(places[s.id]) == 0
		places[s.id] = append(places[s.id], p)
		mu.Unlock()
		s.onDrop = func() {
			mu.Lock()
			p.until = time.Now()
			mu.Unlock()
		}
		if !e.trouble || !first || s.id%8 != 5 {
			answerAfter(60*time.Millisecond, length)(n, s, m)
			return
		}
		s.timer = time.AfterFunc(60*time.Millisecond, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.sessions[s.id] != s {
				return
			}
			s.stands = true
			mu.Lock()
			spoiled++
			mu.Unlock()
			n.rec.logf("%s answers %016x: the session stands; the answer is spoilt on its way", n.name, s.id)
			answer := encodeBinary(typeAnswer, s.id, param{codeDescription, "made by " + n.name + " for " + m.params[codeDescription]})
			answer[12]++ // the length of the description now exceeds the message by 256 bytes
			s.conn.send(answer)
			s.timer = time.AfterFunc(length, func() { n.end(s.id, 16) })
		})
	}
	var entries []listEntry
	stop := make(chan struct{})
	defer close(stop)
	for i := range 6 {
		n := newNode(fmt.Sprintf("node s-%08x", 0xa1+i), e.rec, onSetUp)
		n.noteEach = 3 * time.Second
		o, err := listenFor(n)
		if err != nil {
			return err
		}
		go n.runNotes(stop)
		entries = append(entries, listEntry{uint32(0xa1 + i), o.address(), ready, i % 3, 4000, 0})
	}
	b, err := startBed(e, entries...)
	if err != nil {
		return err
	}
	defer b.close()
	viewers := newClient("client 1", b.front.address, e.rec)
	defer viewers.close()
	var ids []uint64
	for i := range 80 {
		id := uint64(0x7100 + i)
		if _, err := viewers.setUp(id, "briefing", fmt.Sprintf("briefing-%d", i%10), 0, 3, 3*time.Second); err != nil {
			return err
		}
		ids = append(ids, id)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(length + 3*time.Second)
	if !b.front.running() {
		return broken{"the front end has crashed"}
	}
	twice := 0
	for _, id := range ids {
		if s := viewers.get(id); len(s.answers) != 1 {
			return broken{fmt.Sprintf("%016x has answers %v", id, s.answers)}
		}
		mu.Lock()
		for i, p := range places[id] {
			for _, q := range places[id][i+1:] {
				if overlap := earlier(p.until, q.until).Sub(q.from); overlap > overlapSlack {
					twice++
					e.rec.logf("session %016x: out at %s and at %s at once for %.1f s", id, p.node, q.node, overlap.Seconds())
				}
			}
		}
		mu.Unlock()
	}
	e.rec.logf("%d answers were spoilt; %d sessions were out at two nodes at once", spoiled, twice)
	if twice > 0 {
		return broken{fmt.Sprintf("%d sessions were out at two playout nodes at once", twice)}
	}
	return nil
}

// earlier returns the earlier of two times; a zero time is now.
func earlier(a, b time.Time) time.Time {
	now := time.Now()
	if a.IsZero() {
		a = now
	}
	if b.IsZero() {
		b = now
	}
	if a.Before(b) {
		return a
	}
	return b
}
