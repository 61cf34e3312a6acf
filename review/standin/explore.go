package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore"] = explore }

// explore plays random faults of many kinds and checks the rules on lost requests, on set-ups that happen twice and on releases. It is
// no case: it helps to look for one. SEED and SECONDS set the draw and the length. KINDS lists the faults: full, moot, error, break,
// mute, late, noise, reset, twice (of set-ups), idle, die, drain, hang, cut (of nodes), giveup, hangup, close (of viewers), hup, and
// term, which is left out if KINDS is empty.

// tried is one set-up of a session at a node.
type tried struct {
	node     string
	at       time.Time
	wait     time.Duration // the front end waits so long for its answer
	end      time.Time     // its end at the node, or when the node lost it
	ran      bool
	answered bool
}

// truth is what really happened at the nodes.
type truth struct {
	mu     sync.Mutex
	tries  map[uint64][]*tried
	over   map[uint64]time.Time // sessions that stood: when they ended
	silent map[uint64]bool      // no release could be sent
	bad    []string
	goneAt map[uint64]time.Time // when its client gave a set-up up or closed its connection
	rec    *record
}

func (t *truth) violate(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	t.rec.logf("VIOLATION %s", s)
	t.mu.Lock()
	t.bad = append(t.bad, s)
	t.mu.Unlock()
}

func explore(e *env) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
	if seconds == 0 {
		seconds = 40
	}
	kinds := os.Getenv("KINDS")
	has := func(k string) bool { return kinds == "" || slices.Contains(strings.Split(kinds, ","), k) }
	rng := rand.New(rand.NewPCG(seed, 7))
	var rmu sync.Mutex
	chance := func(p float64) bool { rmu.Lock(); defer rmu.Unlock(); return rng.Float64() < p }
	between := func(a, b int) time.Duration {
		rmu.Lock()
		defer rmu.Unlock()
		return time.Duration(a+rng.IntN(b-a+1)) * time.Millisecond
	}
	tr := &truth{tries: map[uint64][]*tried{}, over: map[uint64]time.Time{}, silent: map[uint64]bool{}, goneAt: map[uint64]time.Time{}, rec: e.rec}

	var onSetUp setUpFunc = func(n *node, s *nodeSession, m binaryMessage) {
		wait, _ := strconv.Atoi(m.params[codeWait])
		a := &tried{node: n.name, at: time.Now(), wait: time.Duration(wait) * time.Millisecond, ran: true}
		tr.mu.Lock()
		for _, o := range tr.tries[s.id] {
			if o.end.IsZero() {
				go func() {
					time.Sleep(60 * time.Millisecond)
					tr.mu.Lock()
					out := o.end.IsZero() && time.Since(o.at) < o.wait
					tr.mu.Unlock()
					if out {
						tr.violate("session %016x is set up at %s while its set-up at %s is out", s.id, n.name, o.node)
					}
				}()
			}
		}
		if m.params[codeClass] == "induction" {
			for _, o := range tr.tries[s.id] {
				if o.ran {
					defer tr.violate("paid session %016x is set up at %s after it ran at %s", s.id, n.name, o.node)
				}
			}
		}
		if at := tr.goneAt[s.id]; !at.IsZero() && time.Since(at) > 150*time.Millisecond {
			gone := time.Since(at)
			defer tr.violate("session %016x is set up at %s %v after its client has gone", s.id, n.name, gone)
		}
		tr.tries[s.id] = append(tr.tries[s.id], a)
		tr.mu.Unlock()
		s.onDrop = func() {
			tr.mu.Lock()
			if a.end.IsZero() {
				a.end = time.Now()
			}
			tr.mu.Unlock()
		}
		description := "made by " + n.name + " for " + m.params[codeDescription]
		finish := func(cause byte) {
			n.rec.logf("%s ends set-up %016x with cause %d", n.name, s.id, cause)
			n.drop(s)
			s.conn.send(encodeBinary(typeRelease, s.id, param{codeCause, string([]byte{cause})}, param{codeReport, "x0:0.5"}))
		}
		never := func() { tr.mu.Lock(); a.ran = false; tr.mu.Unlock() }
		later := func(d time.Duration, f func()) {
			s.timer = time.AfterFunc(d, func() {
				n.mu.Lock()
				defer n.mu.Unlock()
				if !n.dead && n.sessions[s.id] == s {
					f()
				}
			})
		}
		stand := func(copies int) {
			s.stands = true
			tr.mu.Lock()
			a.answered = true
			tr.mu.Unlock()
			n.rec.logf("%s answers %016x: the session stands", n.name, s.id)
			for range copies {
				s.conn.send(encodeBinary(typeAnswer, s.id, param{codeDescription, description}, param{codeReport, "x0:0.30"}))
			}
			id := s.id
			s.timer = time.AfterFunc(between(300, 6000), func() { n.end(id, 16) })
		}
		switch {
		case has("full") && chance(0.06):
			never()
			later(between(1, 40), func() { finish(34) })
		case has("moot") && chance(0.03):
			never()
			later(between(1, 40), func() { finish(102) })
		case has("error") && chance(0.04):
			later(between(1, 80), func() { finish(47) })
		case has("break") && chance(0.03):
			later(between(1, 80), func() { finish(41) })
		case has("mute") && chance(0.03):
			n.rec.logf("%s never answers %016x", n.name, s.id)
		case has("late") && chance(0.03):
			later(time.Duration(wait)*time.Millisecond+between(0, 60), func() { stand(1) })
		case has("noise") && chance(0.02):
			later(between(1, 80), func() {
				n.rec.logf("%s answers %016x with noise", n.name, s.id)
				s.conn.send([]byte{0, 30, 77, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9})
				n.drop(s)
			})
		case has("reset") && chance(0.03):
			later(between(0, 60), func() {
				n.rec.logf("%s resets the connection of %016x", n.name, s.id)
				n.reset(s.conn)
			})
		case has("twice") && chance(0.04):
			later(between(5, 80), func() { stand(2) })
		default:
			later(between(5, 120), func() { stand(1) })
		}
	}
	var mu sync.Mutex
	var nodes []*node
	var owners []*socketOwner
	var entries []listEntry
	nextID := uint32(0x100)
	add := func(cell int, started int64) (listEntry, error) {
		n := newNode(fmt.Sprintf("node s-%08x", nextID), e.rec, onSetUp)
		n.noteEach = 700 * time.Millisecond
		o, err := listenFor(n)
		if err != nil {
			return listEntry{}, err
		}
		entry := listEntry{nextID, o.address(), ready, cell, 4000, started}
		nextID++
		mu.Lock()
		nodes, owners, entries = append(nodes, n), append(owners, o), append(entries, entry)
		mu.Unlock()
		n.onEnd = func(id uint64, silent bool) {
			tr.mu.Lock()
			if tr.over[id].IsZero() {
				tr.over[id], tr.silent[id] = time.Now(), silent
			}
			tr.mu.Unlock()
		}
		return entry, nil
	}
	for cell := range 4 {
		for range 2 {
			if _, err := add(cell, 0); err != nil {
				return err
			}
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, n := range nodes {
		go n.runNotes(stop)
	}
	b, err := startBed(e, slices.Clone(entries)...)
	if err != nil {
		return err
	}
	var clients []*client
	for i := range 6 {
		c := newClient(fmt.Sprintf("client %d", i), b.front.address, e.rec)
		c.local = fmt.Sprintf("127.0.0.%d", 2+i)
		clients = append(clients, c)
	}
	start := time.Now()
	end := start.Add(time.Duration(seconds) * time.Second)
	// Faults of nodes.
	go func() {
		for time.Now().Before(end.Add(-9 * time.Second)) {
			time.Sleep(between(300, 1200))
			mu.Lock()
			i := int(between(0, len(nodes)-1) / time.Millisecond)
			n, o, entry := nodes[i], owners[i], entries[i]
			mu.Unlock()
			switch {
			case n.isDead():
			case has("cut") && chance(0.15):
				go o.cutOff(n, between(500, 9000))
			case has("hang") && chance(0.08):
				go n.hang(between(500, 6000))
			case has("idle") && chance(0.3):
				n.mu.Lock()
				if len(n.conns) > 0 {
					n.rec.logf("%s resets a connection", n.name)
					n.reset(n.conns[0])
				}
				n.mu.Unlock()
			case has("die") && chance(0.3):
				n.rec.logf("%s: its process ends", n.name)
				o.listener.Close()
				n.die()
				mu.Lock()
				entries[i].state = gone
				mu.Unlock()
				go func() {
					time.Sleep(between(200, 3000))
					entry.state = gone
					b.channel.tell(entry)
					added, err := add(entry.cell, time.Now().UnixMilli())
					if err == nil {
						mu.Lock()
						go nodes[len(nodes)-1].runNotes(stop)
						mu.Unlock()
						time.Sleep(between(100, 1500))
						b.channel.tell(added)
					}
				}()
			case has("drain") && entry.state == ready && chance(0.3):
				mu.Lock()
				entries[i].state = draining
				mu.Unlock()
				entry.state = draining
				b.channel.tell(entry)
				n.mu.Lock()
				n.drainAt = time.Now()
				n.mu.Unlock()
				go func() {
					time.Sleep(between(1500, 3000))
					mu.Lock()
					entries[i].state = ready
					mu.Unlock()
					n.mu.Lock()
					n.drainAt = time.Time{}
					n.mu.Unlock()
					entry.state = ready
					b.channel.tell(entry)
				}()
			}
		}
	}()
	// Viewers.
	var ids []struct {
		c  *client
		id uint64
	}
	term := strings.Contains(kinds, "term")
	stopped := false
	id := uint64(1) << 40
	for time.Now().Before(end.Add(-9*time.Second)) || term && time.Now().Before(end.Add(-8500*time.Millisecond)) {
		if term && !stopped && time.Now().After(end.Add(-9*time.Second)) {
			stopped = true
			e.rec.logf("SIGTERM")
			b.front.signal(syscall.SIGTERM)
		}
		time.Sleep(between(10, 60))
		c := clients[int(between(0, len(clients)-1)/time.Millisecond)]
		id++
		class, expires := "briefing", 3*time.Second
		if chance(0.4) {
			class, expires = "induction", 4*time.Second
		}
		if chance(0.2) {
			expires = between(20, 1500)
		}
		title := fmt.Sprintf("t%d", between(0, 40)/time.Millisecond)
		home := int(title[len(title)-1]) % 4
		if _, err := c.setUp(id, class, title, home, 1+int(id%3), expires); err != nil {
			e.rec.logf("set-up %016x could not be sent: %v", id, err)
			c.get(id)
			c.mu.Lock()
			delete(c.sessions, id)
			c.mu.Unlock()
			continue
		}
		ids = append(ids, struct {
			c  *client
			id uint64
		}{c, id})
		this := id
		switch {
		case has("giveup") && chance(0.06):
			go func() {
				time.Sleep(between(0, 150))
				c.mu.Lock()
				s := c.sessions[this]
				if len(s.answers) == 0 {
					s.gaveUp = true
				}
				c.mu.Unlock()
				if s.gaveUp { // this may cross the answer
					tr.mu.Lock()
					tr.goneAt[this] = time.Now()
					tr.mu.Unlock()
					c.release(this, 0)
				}
			}()
		case has("close") && chance(0.03):
			go func() {
				time.Sleep(between(0, 400))
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.conn == nil {
					return
				}
				e.rec.logf("%s closes its connection", c.name)
				c.conn.Close()
				c.conn = nil
				tr.mu.Lock()
				defer tr.mu.Unlock()
				for _, o := range c.sessions {
					if len(o.answers) == 0 {
						o.gaveUp, tr.goneAt[o.id] = true, time.Now()
					} else {
						o.hungUp = true // its release may have nowhere to go
					}
				}
			}()
		case has("hangup") && chance(0.2):
			go func() {
				time.Sleep(between(300, 3000))
				c.mu.Lock()
				s := c.sessions[this]
				stands := len(s.answers) == 1 && s.answers[0] == 200 && s.releases == 0 && !s.moved
				if stands {
					s.hungUp = true
				}
				c.mu.Unlock()
				if stands {
					c.release(this, 31)
				}
			}()
		case has("hup") && chance(0.005):
			b.front.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(time.Until(end))
	if !term && !b.front.running() {
		tr.violate("the front end has crashed")
	}
	counts := map[string]int{}
	for _, v := range ids {
		s := v.c.get(v.id)
		tr.mu.Lock()
		tries, over, silent := tr.tries[v.id], tr.over[v.id], tr.silent[v.id]
		tr.mu.Unlock()
		ran := 0
		for _, a := range tries {
			if a.ran {
				ran++
			}
		}
		switch {
		case len(s.answers) > 1 && !s.gaveUp:
			tr.violate("%016x has answers %v", v.id, s.answers)
		case len(s.answers) == 0 && !s.gaveUp:
			tr.violate("%016x has no answer", v.id)
		case len(s.answers) == 0:
			counts["gave up"]++
		default:
			counts[strconv.Itoa(s.answers[0])]++
			if d := s.answeredAt.Sub(s.sentAt) - s.expires; d > 50*time.Millisecond {
				tr.violate("%016x is answered %v after its time", v.id, d)
			}
			if s.answers[0] == 503 && s.class == "induction" && ran > 0 {
				tr.violate("paid %016x is refused after it ran", v.id)
			}
			if s.answers[0] == 200 && !s.gaveUp {
				ok := false
				for _, a := range tries {
					ok = ok || a.answered && s.body == "made by "+a.node+" for "+fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n", v.id)
				}
				if !ok {
					tr.violate("%016x is served with what no node made for it", v.id)
				}
				switch {
				case s.releases > 1:
					tr.violate("%016x is released %d times", v.id, s.releases)
				case s.hungUp || s.moved:
				case term && s.releases == 1 && (over.IsZero() || over.After(s.releasedAt)):
				case over.IsZero() && s.releases == 1:
					counts["released before its end"]++
				case over.IsZero():
					tr.violate("%016x stands and has no end", v.id)
				case s.releases == 0:
					tr.violate("%016x was over %v before the end and has no release (silent %v)", v.id, end.Sub(over), silent)
				case s.releasedAt.Sub(over) > 1050*time.Millisecond && !silent || s.releasedAt.Sub(over) > 8050*time.Millisecond:
					tr.violate("%016x is released %v after its end (silent %v)", v.id, s.releasedAt.Sub(over), silent)
				}
			}
		}
	}
	stands := 0
	for _, n := range nodes {
		for _, s := range n.standing() {
			stands++
			e.rec.logf("note: %s still runs %016x", n.name, s)
		}
	}
	e.rec.logf("answers %v, still standing at nodes %d, violations %d", counts, stands, len(tr.bad))
	fmt.Println(counts, "still standing", stands, "violations", len(tr.bad))
	for _, v := range tr.bad[:min(len(tr.bad), 8)] {
		fmt.Println("  ", v)
	}
	if len(tr.bad) > 0 {
		return broken{fmt.Sprintf("%d violations", len(tr.bad))}
	}
	return nil
}
