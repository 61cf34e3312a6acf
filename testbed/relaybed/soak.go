package relaybed

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	notesEvery       = time.Second
	adoptedLength    = 4 * time.Second
	settleTime       = 9500 * time.Millisecond // after the last fault: longer than the time for any release
	earliestKill     = 700 * time.Millisecond  // after SIGTERM, beyond the longest deadline
	newConnPeriod    = 300 * time.Millisecond  // after SIGTERM new connections arrive for so long
	crowdSize        = 250
	drainGoneDelay   = 1200 * time.Millisecond
	oldChannelCloses = 1500 * time.Millisecond
	configRepeats    = 3
	configInterval   = 150 * time.Millisecond
	unsentMargin     = 50 * time.Millisecond // a request this close to the kill is not counted as taken
	viewerShare      = 3                     // viewers hold one in so many of the descriptors at most
	firstViewerID    = 0x1000
	firstAdoptedID   = 0x100
)

// soak is one run of a plan.
type soak struct {
	*Bed
	plan    plan
	hosts   []*Client
	nodes   []*soakNode
	stop    chan struct{}
	wait    sync.WaitGroup
	idMu    sync.Mutex
	nextID  uint64
	accepts sync.RWMutex // held for writing while the front end is replaced
	gateMu  sync.Mutex
	onlyOld bool       // clients use open connections only: the front end is ending
	channel sync.Mutex // one fault of the command channel at a time
	process sync.Mutex // one restart of the front end at a time
}

// soakNode is a machine with the list's record of its process. The mutex keeps faults of one machine apart.
type soakNode struct {
	mu      sync.Mutex
	machine *Machine
	entry   Entry
}

// Soak runs the plan of a seed: traffic with faults for a time, then a quiet time in which everything has to come to its end. It returns
// the violations of the rules. The seed draws the plan; the order of events on the sockets differs between runs.
func Soak(program, folder string, seed uint64, length time.Duration, debug bool) ([]string, Stats, error) {
	p := newPlan(seed, length)
	b, err := NewBed(Options{Program: program, Folder: folder, Seed: seed, Paid: p.paid, Free: p.free, Notes: notesEvery, Idle: 15 * time.Second,
		Outcomes: p.outcomes, Debug: debug})
	if err != nil {
		return nil, Stats{}, err
	}
	defer b.Close()
	s := &soak{Bed: b, plan: p, stop: make(chan struct{}), nextID: firstViewerID}
	if err := s.start(); err != nil {
		return nil, Stats{}, err
	}
	b.logf("seed %d: %+v", seed, p)
	s.run(length)
	violations, stats := b.audit.Finish()
	return violations, stats, nil
}

func (s *soak) start() error {
	var entries []Entry
	for i := range s.plan.nodes {
		m, e, err := s.AddNode(i % cellCount)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, &soakNode{machine: m, entry: e})
		entries = append(entries, e)
	}
	for i := range s.plan.hosts {
		s.hosts = append(s.hosts, newClient(s.Bed, fmt.Sprintf("127.0.1.%d", i+1), s.Sockets/viewerShare/s.plan.hosts))
	}
	if err := s.Start(entries...); err != nil {
		return err
	}
	for i := range s.plan.handedOver {
		n := s.nodes[s.pick(len(s.nodes))]
		session := s.session(uint64(firstAdoptedID+i), i%2)
		n.machine.Process().adopt(session.ID, s.between(0, adoptedLength))
		if err := s.hosts[i%len(s.hosts)].HandOver(session, nodeName(n.entry.ID)); err != nil {
			return err
		}
	}
	return nil
}

// session returns a session of a title that two or three cells hold.
func (s *soak) session(id uint64, class int) *Session {
	c := s.classes[class]
	return &Session{ID: id, class: c.name, paid: c.effect == "non_idempotent", title: fmt.Sprintf("title-%d", id%12), firstCell: int(id % cellCount),
		cellCount: 2 + int(id%2), expires: c.deadline}
}

func (s *soak) spawn(f func()) {
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		f()
	}()
}

func (s *soak) run(length time.Duration) {
	notes := make(chan struct{})
	go s.SendNotes(notesEvery, notes)
	defer close(notes)
	s.spawn(s.traffic)
	for range s.plan.badClients {
		s.spawn(s.badClient)
	}
	startedAt := time.Now()
	var faults sync.WaitGroup
	for _, f := range s.plan.faults {
		time.Sleep(time.Until(startedAt.Add(f.at)))
		faults.Add(1)
		go func() {
			defer faults.Done()
			s.logf("fault %s: %+v", f.kind, f)
			s.play(f)
		}()
	}
	time.Sleep(time.Until(startedAt.Add(length)))
	faults.Wait()
	close(s.stop)
	s.wait.Wait()
	time.Sleep(settleTime)
}

func (s *soak) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// traffic sends set-ups at the plan's rate.
func (s *soak) traffic() {
	pause := time.Duration(float64(time.Second) / s.plan.perSecond)
	for !s.stopped() {
		s.spawn(s.viewer)
		time.Sleep(s.between(0, 2*pause))
	}
}

// viewer plays one viewer: a set-up, and what the viewer does with it.
func (s *soak) viewer() {
	s.accepts.RLock()
	defer s.accepts.RUnlock()
	s.gateMu.Lock()
	onlyOld := s.onlyOld
	s.gateMu.Unlock()
	host := s.hosts[s.pick(len(s.hosts))]
	if onlyOld && host.idleConn() == nil {
		return
	}
	class := 0
	if s.chance(0.65) {
		class = 1
	}
	s.idMu.Lock()
	s.nextID++
	session := s.session(s.nextID, class)
	s.idMu.Unlock()
	conn, err := host.SetUp(session, s.chance(s.plan.pieces))
	if err != nil {
		return
	}
	if s.chance(s.plan.giveUps) {
		time.AfterFunc(s.between(0, 300*time.Millisecond), func() { conn.GiveUp(session) })
	}
	if s.chance(s.plan.closes) {
		abort := s.chance(0.5)
		time.AfterFunc(s.between(0, 200*time.Millisecond), func() { conn.Close(abort) })
	}
	if s.chance(s.plan.ends) {
		time.AfterFunc(s.between(500*time.Millisecond, 3*time.Second), func() { s.endByViewer(host, session.ID) })
	}
	if s.chance(0.05) {
		host.CloseIdle()
	}
}

// endByViewer ends a session that stands.
func (s *soak) endByViewer(host *Client, id uint64) {
	stands := false
	s.audit.update(id, func(r *record) {
		stands = len(r.answers) == 1 && r.answers[0].status == 200 && r.releasedAt.IsZero() && !r.moved && !r.voided
	})
	if stands {
		host.End(id)
	}
}

// badClient sends what can't be read or used, at speed, and expects no service.
func (s *soak) badClient() {
	texts := []string{"\x16\x03\x01 nonsense\n", "SETUP rtsp://media/x RTSP/1.0\r\nCSeq: 1\r\nContent-Length: -4\r\n\r\n",
		"SETUP rtsp://media/x RTSP/1.0\r\nCSeq: 1\r\nSession: 00000000000000ff\r\nPriority-Class: none\r\nContent-Length: 0\r\n\r\n",
		"SETUP rtsp://media/x RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 900\r\n\r\nhalf"}
	for !s.stopped() {
		s.accepts.RLock()
		conn, err := dialFrom("127.0.2.1", s.Front.Address)
		if err == nil {
			conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
			for range 20 {
				if _, err := conn.Write([]byte(texts[s.pick(len(texts))])); err != nil {
					break
				}
			}
			conn.Close()
		}
		s.accepts.RUnlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// play plays one fault to its end.
func (s *soak) play(f fault) {
	switch f.kind {
	case faultChannelSilence, faultChannelDown, faultChannelMove:
		s.channel.Lock()
		defer s.channel.Unlock()
		s.playChannelFault(f)
	case faultCrowd:
		for range crowdSize {
			s.spawn(s.viewer)
		}
	case faultRestart:
		s.process.Lock()
		defer s.process.Unlock()
		s.restart(f)
	case faultKill:
		s.process.Lock()
		defer s.process.Unlock()
		s.kill()
	default:
		n := s.nodes[f.node]
		n.mu.Lock()
		defer n.mu.Unlock()
		s.playNodeFault(n, f)
	}
}

func (s *soak) playChannelFault(f fault) {
	switch f.kind {
	case faultChannelSilence:
		s.Channel.Silence(f.length)
		time.Sleep(f.length)
	case faultChannelDown:
		s.Channel.Down()
		time.Sleep(f.length)
		if err := s.Channel.Up(); err != nil {
			s.audit.Violate("test bed: %v", err)
		}
	case faultChannelMove:
		s.newConfigurations()
	}
}

func (s *soak) playNodeFault(n *soakNode, f fault) {
	p := n.machine.Process()
	switch f.kind {
	case faultTakeover:
		s.endProcess(p, f)
		next := s.StartProcess(n.machine, n.entry.Cell)
		time.Sleep(f.toldLate)
		s.tellReplaced(n, next, f)
	case faultCrash:
		n.machine.Refuse()
		p.Die()
		time.Sleep(f.toldLate)
		if err := n.machine.Listen(); err != nil {
			s.audit.Violate("test bed: %v", err)
			return
		}
		s.tellReplaced(n, s.StartProcess(n.machine, n.entry.Cell), f)
	case faultHang:
		s.audit.disturb(p.Name, time.Now().Add(f.length+time.Second))
		p.Stop()
		time.Sleep(f.length)
		p.Continue()
	case faultPartition:
		s.audit.disturb(p.Name, time.Now().Add(f.length+time.Second))
		n.machine.Unreachable()
		p.Stop()
		time.Sleep(f.length)
		n.machine.Reachable()
		p.Continue()
	case faultResets:
		p.ResetConns(1 + f.variant*3)
	case faultCloseEarly:
		n.machine.CloseEarly(f.length / 4)
		p.ResetConns(f.variant)
	case faultDrain:
		n.entry.State = Draining
		s.Channel.Tell(n.entry)
		time.Sleep(drainGoneDelay)
		p.Die()
		s.tellReplaced(n, s.StartProcess(n.machine, n.entry.Cell), f)
	}
}

// endProcess ends a process in one of several ways.
func (s *soak) endProcess(p *Process, f fault) {
	switch f.variant {
	case 0:
		p.Die()
	case 1:
		p.Vanish()
	default:
		s.audit.disturb(p.Name, time.Now().Add(f.length))
		p.Stop()
		time.Sleep(f.toldLate / 2)
		p.Die()
	}
}

// tellReplaced tells the list that another node has the address of a node that is gone.
func (s *soak) tellReplaced(n *soakNode, next Entry, f fault) {
	old := n.entry
	old.State = Gone
	next.Started = time.Now().UnixMilli()
	n.entry = next
	switch {
	case f.oneEvent && f.variant == 0:
		s.Channel.Tell(next, old)
	case f.oneEvent:
		s.Channel.Tell(old, next)
	default:
		s.Channel.Tell(old)
		time.Sleep(f.toldLate / 4)
		s.Channel.Tell(next)
	}
}

// newConfigurations moves the channel several times in quick succession.
func (s *soak) newConfigurations() {
	for range configRepeats {
		s.accepts.RLock()
		if err := s.Channel.Move(oldChannelCloses); err != nil {
			s.audit.Violate("test bed: %v", err)
		}
		if err := s.Front.writeConfig(); err != nil {
			s.audit.Violate("test bed: %v", err)
		}
		s.Front.Signal(syscall.SIGHUP)
		s.accepts.RUnlock()
		time.Sleep(configInterval)
	}
}

// restart ends the front end as the platform does: SIGTERM, requests on open connections until the kill at the earliest time.
func (s *soak) restart(f fault) {
	s.Front.Signal(syscall.SIGTERM)
	killAt := time.Now().Add(s.plan.longestDeadline() + earliestKill)
	if f.variant == 1 {
		s.Front.Signal(syscall.SIGHUP)
	}
	time.Sleep(newConnPeriod)
	s.setOnlyOld(true)
	if f.variant == 2 { // a series of signals
		s.Front.Signal(syscall.SIGHUP)
		time.Sleep(f.length / 4)
		s.Front.Signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(killAt))
	s.replaceFront(func(r *record) bool { return killAt.Sub(r.sentAt) < unsentMargin })
	s.setOnlyOld(false)
}

// kill kills the front end: what it held is not owed any more.
func (s *soak) kill() { s.replaceFront(func(*record) bool { return true }) }

// replaceFront kills the front end's process and starts the next one. void tells which unfinished sessions are not owed any more.
func (s *soak) replaceFront(void func(r *record) bool) {
	s.Front.Kill()
	s.audit.killed(void)
	s.accepts.Lock()
	defer s.accepts.Unlock()
	for _, host := range s.hosts {
		host.CloseAll()
	}
	if err := s.Front.Start(); err != nil {
		s.audit.Violate("the front end does not start again: %v", err)
	}
}

func (s *soak) setOnlyOld(on bool) {
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	s.onlyOld = on
}

// killed notes that the front end was killed. Sessions for which void is true are not owed anything any more; the others should have
// been answered and released before.
func (a *Audit) killed(void func(r *record) bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.records {
		unanswered := len(r.answers) == 0 && !r.handed
		if unanswered || r.releasedAt.IsZero() {
			r.voided = r.voided || void(r)
		}
		stay := r.watched()
		if stay != nil && !r.voided && r.releasedAt.IsZero() && stay.endedAt.IsZero() && stay.releasedByFront.IsZero() {
			stay.releasedByFront = now // a front end that ends has to release what stands
		}
	}
}

// Kinds returns the kinds of the faults in a seed's plan, in order.
func Kinds(seed uint64, length time.Duration) (kinds []string) {
	for _, f := range newPlan(seed, length).faults {
		kinds = append(kinds, f.kind.String())
	}
	return slices.Compact(kinds)
}
