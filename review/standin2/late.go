package main

import (
	"slices"
	"time"
)

func init() { cases["late-list"] = lateList }

const (
	notesEvery = 2 * time.Second         // load notes of a node with sessions, as the settings say
	usualLag   = 600 * time.Millisecond  // from the end of a node to the event that tells of it
	furtherLag = 9400 * time.Millisecond // added while the list runs further behind
	lateCalm   = 8 * time.Second
	lateAfter  = 13 * time.Second // of traffic after the end of the node
)

// lateList replaces a node by another one at its address while the list runs further behind than usual.
func lateList(b *bed) ([]string, error) {
	b.settings["family-info"].(map[string]any)["reports-every-ms"] = float64(notesEvery.Milliseconds())
	if err := b.prepare(4); err != nil {
		return nil, err
	}
	for _, n := range b.nodes {
		n.length = 25 * time.Second
		go n.sendNotes()
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
	traffic(lateCalm)
	old := b.nodes[1]
	next := old.replace(0xb1)
	b.nodes = append(b.nodes, next)
	started := next.entry(ready)
	started.started = time.Now().UnixMilli()
	lag := usualLag
	if b.trouble {
		lag += furtherLag
		b.logf("the list runs %v further behind", furtherLag)
	}
	time.AfterFunc(lag, func() { b.channel.tell(old.entry(gone), started) })
	traffic(lateAfter)
	_, broken := v.check()
	ended, late := v.checkReleases()
	b.logf("%d sessions came to their end, %d releases are missing or late", ended, len(late))
	return append(broken, late...), nil
}

// replace ends the node's process and starts another one at its address: connections are reset, and sessions are cut.
func (n *node) replace(id uint32) *node {
	next := newProcess(n.bed, id, n.cell, n.listener)
	next.answerAfter, next.length = n.answerAfter, n.length
	go next.sendNotes()
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

// sendNotes sends a load note on one of the sessions at regular intervals.
func (n *node) sendNotes() {
	for range time.Tick(notesEvery) {
		n.mu.Lock()
		for id, s := range n.sessions {
			if n.stays[id] == nil || len(n.conns) == 0 {
				continue
			}
			conn := n.conns[0]
			if slices.Contains(n.conns, s.conn) {
				conn = s.conn
			}
			send(conn, nodeMessage{typeNote, id, []parameter{{codeNoteName, "port"}, {codeNoteValue, "0.20"}}}.encode())
			break
		}
		n.mu.Unlock()
	}
}
