package relaybed

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Guards against a front end that is killed for its memory, as a client hands over sessions without end that no node knows.
func TestUnknownSessionsStayWithinMemory(t *testing.T) {
	for _, c := range []struct {
		manners badManners
		clients int
	}{{unknownSessions, 1}, {unknownSessions, 40}, {paddedUnknownSessions, 4}} {
		t.Run(fmt.Sprintf("%v of %d clients", c.manners, c.clients), func(t *testing.T) {
			b := loadedBed(t, func(b *Bed) { t.Logf("%d connections", b.Misbehave(c.manners, c.clients, loadLength)) })
			checkLoaded(t, b, true)
		})
	}
}

const manySessions = 5000

// handOverMany starts a bed and hands manySessions sessions over at once that stand at its nodes for a time.
func handOverMany(t *testing.T, connections int, length time.Duration) *Bed {
	t.Helper()
	b := newTestBed(t, 1, steadyOutcomes, 15*time.Second)
	var nodes []*Process
	var entries []Entry
	for cell := range cellCount {
		m, e := b.mustAddNode(t, cell)
		nodes, entries = append(nodes, m.Process()), append(entries, e)
	}
	if err := b.Start(entries...); err != nil {
		t.Fatal(err)
	}
	var clients []*Client
	for i := range connections {
		clients = append(clients, newClient(b, fmt.Sprintf("127.0.1.%d", 1+i), 1))
	}
	for i := range manySessions {
		s, n := b.newSession(uint64(0x10000+i), i%2, i%cellCount), i%cellCount
		nodes[n].adopt(s.ID, length)
		if err := clients[i%connections].HandOver(s, nodes[n].Name); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// Sessions that clients hand over by thousands at once are adopted: each is released as it ends at its node, and no earlier.
func TestThousandsOfSessionsHandedOverAreReleased(t *testing.T) {
	const length = 5 * time.Second
	for _, connections := range []int{1, 40} {
		t.Run(fmt.Sprintf("on %d connections", connections), func(t *testing.T) {
			b := handOverMany(t, connections, length)
			if stats := b.checkRules(t); stats.Released > 0 {
				t.Fatalf("%d sessions are released before their end", stats.Released)
			}
			time.Sleep(length + releaseLimit)
			if stats := b.checkRules(t); stats.Released != manySessions {
				t.Errorf("%d of %d sessions are released", stats.Released, manySessions)
			}
		})
	}
}

// Guards against viewers without a release at the end of a front end, as those of thousands of sessions on one connection overflow it.
func TestThousandsOfSessionsAreReleasedAtShutdown(t *testing.T) {
	for _, connections := range []int{1, 3} {
		t.Run(fmt.Sprintf("on %d connections", connections), func(t *testing.T) {
			b := handOverMany(t, connections, time.Minute)
			time.Sleep(time.Second) // the hand-overs are read
			b.Front.Signal(syscall.SIGTERM)
			time.Sleep(b.classes[0].deadline + earliestKill + releaseLimit)
			if stats := b.checkRules(t); stats.Released != manySessions {
				t.Errorf("%d of %d sessions are released", stats.Released, manySessions)
			}
		})
	}
}
