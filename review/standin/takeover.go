package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"
)

func init() { cases["takeover"] = takeover }

const releaseLimit = 8*time.Second + 50*time.Millisecond // of the page, from the end of a session for which no release could be sent

// takeover: a playout node's process is killed while sessions stand on it, and its successor, a new node, is started on the same
// listening socket, as by a service manager that keeps the socket open. The command channel tells the end of the first 0.5 s later and
// the second 1 s later. The viewers of the cut sessions must get a release within 8 s. With GAP_MS in the environment the address
// refuses connections for that long between the two nodes; the case has no gap.
func takeover(e *env) error {
	const sessionMs = 12000
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	listener.Close()
	old, err := startNodeProcess("node s-000000a1", sessionMs, socket, e.rec)
	if err != nil {
		return err
	}
	defer old.close()
	other, err := startNodeProcess("node s-000000c3", sessionMs, nil, e.rec)
	if err != nil {
		return err
	}
	defer other.close()
	b, err := startBed(e, listEntry{0xa1, address, ready, 0, 4000, 0}, listEntry{0xc3, other.address, ready, 1, 4000, 0})
	if err != nil {
		return err
	}
	defer b.close()
	viewers := newClient("client 1", b.front.address, e.rec)
	defer viewers.close()

	var cut []uint64 // sessions of a title that only cell 0 holds
	for i := range 4 {
		id, class, wait := uint64(0x7100+i), "briefing", 3*time.Second
		if i == 0 {
			class, wait = "induction", 4*time.Second
		}
		if _, err := viewers.setUp(id, class, "safe-driving", 0, 1, wait); err != nil {
			return err
		}
		cut = append(cut, id)
	}
	playsOn := func() bool {
		for _, id := range cut {
			if s := viewers.get(id); len(s.answers) != 1 || s.answers[0] != 200 {
				return false
			}
		}
		return true
	}
	if !await(4*time.Second, playsOn) {
		return fmt.Errorf("the first set-ups do not all stand")
	}
	time.Sleep(2 * time.Second)

	var killedAt time.Time
	if e.trouble {
		killedAt = time.Now()
		e.rec.logf("%s is killed: its %d sessions are cut", old.name, len(cut))
		gap, _ := strconv.Atoi(os.Getenv("GAP_MS"))
		if gap > 0 {
			socket.Close()
		}
		old.cmd.Process.Kill()
		if gap > 0 {
			time.Sleep(time.Duration(gap) * time.Millisecond)
			if listener, err = net.Listen("tcp", address); err != nil {
				return err
			}
			if socket, err = listener.(*net.TCPListener).File(); err != nil {
				return err
			}
			listener.Close()
		}
		next, err := startNodeProcess("node s-000000b2", sessionMs, socket, e.rec)
		if err != nil {
			return err
		}
		defer next.close()
		started := time.Now()
		e.rec.logf("%s has started on the same socket", next.name)
		time.Sleep(500 * time.Millisecond)
		b.channel.tell(listEntry{0xa1, address, gone, 0, 4000, 0})
		time.Sleep(500 * time.Millisecond)
		b.channel.tell(listEntry{0xb2, address, ready, 0, 4000, started.UnixMilli()})
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
		s, over, limit := viewers.get(id), killedAt, releaseLimit
		if !e.trouble {
			if over, limit = old.releasedAt(id), 1050*time.Millisecond; over.IsZero() {
				return fmt.Errorf("session %016x has no end", id)
			}
		}
		if s.releases == 0 {
			late++
			e.rec.logf("session %016x was over at its node %.1f s ago, and its viewer has no release", id, time.Since(over).Seconds())
		} else if d := s.releasedAt.Sub(over); d > limit {
			late++
			e.rec.logf("session %016x: release only %.1f s after its end", id, d.Seconds())
		} else {
			e.rec.logf("session %016x: release %.3f s after its end", id, d.Seconds())
		}
	}
	if late > 0 {
		return broken{fmt.Sprintf("%d of %d sessions that were over at their node were not released towards their client in time", late, len(cut))}
	}
	return nil
}
