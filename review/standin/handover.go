package main

import (
	"fmt"
	"time"
)

func init() { cases["handover"] = handOver }

// handOver: at a start 400 sessions that stand at one node are handed over in one burst, and every tenth comes to its end at the node
// within 40 ms of the first connection to it. It counts the releases that never reach their viewers. It is no case.
func handOver(e *env) error {
	const sessions = 400
	n := newNode("node s-000000a1", e.rec, answerAfter(60*time.Millisecond, 0))
	o, err := listenFor(n)
	if err != nil {
		return err
	}
	b, err := startBed(e, listEntry{0xa1, o.address(), ready, 0, 4000, 0})
	if err != nil {
		return err
	}
	defer b.close()
	c := newClient("client 1", b.front.address, e.rec)
	defer c.close()
	n.mu.Lock()
	for i := range sessions {
		id := uint64(0x7100 + i)
		n.sessions[id] = &nodeSession{id: id, stands: true}
		c.sessions[id] = &viewerSession{id: id}
	}
	n.mu.Unlock()
	text := ""
	for i := range sessions {
		text += fmt.Sprintf("SETUP rtsp://media/t%d RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\nPriority-Class: briefing\r\nExpires-Ms: 4000000000\r\nX-Guess: 60000\r\n"+
			"P-Trunk-Info: home:0;copies:1;top:4;viewer:%x;at:s-000000a1\r\nContent-Length: 0\r\n\r\n", i%50, 0x7100+i, i)
	}
	go func() {
		await(5*time.Second, func() bool { n.mu.Lock(); defer n.mu.Unlock(); return len(n.conns) > 0 })
		for i := sessions - 1; e.trouble && i > 0; i -= 10 { // those handed over last end first
			n.end(uint64(0x7100+i), 16)
			time.Sleep(time.Millisecond)
		}
	}()
	if err := c.send(text); err != nil {
		return err
	}
	time.Sleep(12 * time.Second)
	never := 0
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.ended {
		if c.get(id).releases == 0 {
			never++
		}
	}
	e.rec.logf("%d sessions ended during the hand-over, %d never released towards their client", len(n.ended), never)
	fmt.Println(len(n.ended), never)
	if never > 0 {
		return broken{fmt.Sprintf("%d of %d sessions that ended during the hand-over were never released", never, len(n.ended))}
	}
	return nil
}
