package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["hang"] = hang }

// hang: a playout node's process hangs for some seconds while sessions stand on it, and some of them come to their end meanwhile.
// When it goes on it sends their releases. The viewers must get them within 1 s.
func hang(e *env) error {
	const hangs, length = 6 * time.Second, 7 * time.Second
	hung, err := startNodeProcess("node s-000000a1", int(length.Milliseconds()), nil, e.rec)
	if err != nil {
		return err
	}
	defer hung.close()
	entries := []listEntry{{0xa1, hung.address, ready, 0, 4000, 0}}
	stop := make(chan struct{})
	defer close(stop)
	var others []*node
	for i := range 19 { // one of twenty playout nodes hangs
		n := newNode(fmt.Sprintf("node s-%08x", 0xb0+i), e.rec, answerAfter(60*time.Millisecond, length))
		n.noteEach = 3 * time.Second
		o, err := listenFor(n)
		if err != nil {
			return err
		}
		go n.runNotes(stop)
		entries, others = append(entries, listEntry{uint32(0xb0 + i), o.address(), ready, 1 + i%3, 4000, 0}), append(others, n)
	}
	b, err := startBed(e, entries...)
	if err != nil {
		return err
	}
	defer b.close()
	viewers := newClient("client 1", b.front.address, e.rec)
	defer viewers.close()

	// Four set-ups a second for 19 s, half of them for titles that only the first node holds. Sessions last 7 s.
	var ids []uint64
	setUps := func(d time.Duration) error {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
			id := uint64(0x7100 + len(ids))
			class, wait := "briefing", 3*time.Second
			if len(ids)%8 < 2 {
				class, wait = "induction", 4*time.Second
			}
			home, copies := 0, 1
			if len(ids)%2 == 1 {
				home, copies = 1, 3
			}
			if _, err := viewers.setUp(id, class, fmt.Sprintf("clip-%d", len(ids)%6), home, copies, wait); err != nil {
				return err
			}
			ids = append(ids, id)
		}
		return nil
	}
	if err := setUps(5 * time.Second); err != nil {
		return err
	}
	if e.trouble {
		e.rec.logf("%s hangs for %v", hung.name, hangs)
		hung.cmd.Process.Signal(syscall.SIGSTOP)
	}
	if err := setUps(hangs); err != nil {
		return err
	}
	if e.trouble {
		e.rec.logf("%s goes on", hung.name)
		hung.cmd.Process.Signal(syscall.SIGCONT)
	}
	if err := setUps(8 * time.Second); err != nil {
		return err
	}
	time.Sleep(20 * time.Second)
	if !b.front.running() {
		return broken{"the front end has crashed"}
	}
	stood, late := 0, 0
	for _, id := range ids {
		s := viewers.get(id)
		if len(s.answers) != 1 {
			return broken{fmt.Sprintf("%016x has answers %v", id, s.answers)}
		}
		if s.answers[0] != 200 || s.moved {
			continue
		}
		stood++
		over := hung.releasedAt(id)
		for _, n := range others {
			if at := n.endedAt(id); !at.IsZero() {
				over = at
			}
		}
		switch {
		case over.IsZero() && s.releases == 0:
			return fmt.Errorf("%016x has no end", id)
		case s.releases == 0:
			late++
			e.rec.logf("session %016x was released by its node %.1f s ago, and its viewer has no release", id, time.Since(over).Seconds())
		case !over.IsZero() && s.releasedAt.Sub(over) > 1050*time.Millisecond:
			late++
			e.rec.logf("session %016x: its viewer got the release %.1f s after its node sent it", id, s.releasedAt.Sub(over).Seconds())
		}
	}
	e.rec.logf("%d sessions stood, %d were released late or never", stood, late)
	if late > 0 {
		return broken{fmt.Sprintf("%d of %d sessions that their node had released were not released towards their client within 1 s", late, stood)}
	}
	return nil
}
