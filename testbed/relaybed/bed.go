// Package relaybed runs a relay as a real process between stand-ins for everything that it talks to on loopback sockets: playout
// nodes that die, vanish, hang and are replaced at the same address, the command channel, and viewers of good and bad manners. An
// audit checks the platform's rules on what passed on the sockets; it knows nothing of the relay's inside.
package relaybed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	cellCount     = 4
	defaultMemory = 64  // MB
	defaultSocket = 256 // descriptors
	firstNodeID   = 0xa1
)

// Bed is a front end with its surroundings.
type Bed struct {
	Front    *Front
	Channel  *Channel
	MemoryMB int
	Sockets  int

	seed     uint64
	settings map[string]any
	classes  []deploymentClass
	audit    *Audit
	outcomes Outcomes

	randomMu sync.Mutex
	random   *rand.Rand

	startedAt time.Time
	logMu     sync.Mutex
	logFile   *os.File

	machinesMu sync.Mutex
	machines   []*Machine
	nextNode   uint32
}

// outcomeKind is what a node makes of a set-up.
type outcomeKind uint8

const (
	outcomeStands outcomeKind = iota
	outcomeAnsweredTwice
	outcomeFull
	outcomeMoot
	outcomeError
	outcomeNoAnswer
	outcomeReset
	outcomeSpoilt
)

type outcome struct {
	kind   outcomeKind
	delay  time.Duration
	length time.Duration // of a session that stands
}

// Outcomes are the shares of the set-ups that do not simply stand, and the range of the sessions' lengths.
type Outcomes struct {
	Twice, Full, Moot, Error, NoAnswer, Reset, Spoilt, Late float64
	MinLength, MaxLength                                    time.Duration
	MaxDelay                                                time.Duration
}

// Options are the parameters of a bed.
type Options struct {
	Program  string // the gullrail executable
	Folder   string // for the configuration and the logs
	Seed     uint64
	Paid     time.Duration // time limit of the class that must not run twice
	Free     time.Duration // time limit of the other class
	Notes    time.Duration // interval of the nodes' load notes
	Idle     time.Duration // after which the settings say that nodes close idle connections
	Outcomes Outcomes
	Debug    bool // the front end logs each step
}

// NewBed returns a bed without nodes; Start starts its front end.
func NewBed(o Options) (*Bed, error) {
	b := &Bed{MemoryMB: defaultMemory, Sockets: defaultSocket, seed: o.Seed, outcomes: o.Outcomes, random: rand.New(rand.NewPCG(o.Seed, 41)),
		startedAt: time.Now(), nextNode: firstNodeID - 1}
	b.classes = []deploymentClass{{"induction", "non_idempotent", o.Paid, 3, 8}, {"briefing", "read_like", o.Free, 1, 0}}
	b.settings = settings(b.classes, o.Notes, o.Idle)
	b.audit = newAudit(b)
	var err error
	if b.logFile, err = os.Create(filepath.Join(o.Folder, "bed.log")); err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	b.Front = &Front{Address: address, bed: b, program: o.Program, folder: o.Folder, debug: o.Debug}
	return b, nil
}

// Start tells the list of the given nodes to a new front end and starts it.
func (b *Bed) Start(nodes ...Entry) (err error) {
	if b.Channel, err = newChannel(b, nodes); err != nil {
		return err
	}
	return b.Front.Start()
}

// AddNode starts a process on a new machine and returns it with its record for the list.
func (b *Bed) AddNode(cell int) (*Machine, Entry, error) {
	m, err := NewMachine()
	if err != nil {
		return nil, Entry{}, err
	}
	b.machinesMu.Lock()
	b.machines = append(b.machines, m)
	b.machinesMu.Unlock()
	return m, b.StartProcess(m, cell), nil
}

// StartProcess starts a new process on a machine and returns its record for the list.
func (b *Bed) StartProcess(m *Machine, cell int) Entry {
	b.machinesMu.Lock()
	b.nextNode++
	id := b.nextNode
	b.machinesMu.Unlock()
	m.Run(newProcess(b, nodeName(id)))
	return Entry{ID: id, Address: m.Address, Cell: cell, Weight: 4000}
}

// SendNotes sends the load notes of all processes at an interval until stop is closed.
func (b *Bed) SendNotes(interval time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		b.machinesMu.Lock()
		machines := append([]*Machine(nil), b.machines...)
		b.machinesMu.Unlock()
		for _, m := range machines {
			if p := m.Process(); p != nil {
				go p.note()
			}
		}
	}
}

// Close ends the front end and the stand-ins.
func (b *Bed) Close() {
	if b.Front.command != nil {
		b.Front.Kill()
	}
	if b.Channel != nil {
		b.Channel.Close()
	}
	b.machinesMu.Lock()
	machines := b.machines
	b.machinesMu.Unlock()
	for _, m := range machines {
		m.Close()
	}
	b.logFile.Close()
}

// Audit returns the bed's audit.
func (b *Bed) Audit() *Audit { return b.audit }

// logf writes a line with the time since the bed's start to the bed's log.
func (b *Bed) logf(format string, args ...any) {
	b.logMu.Lock()
	defer b.logMu.Unlock()
	fmt.Fprintf(b.logFile, "%9.1f %s %s\n", float64(time.Since(b.startedAt).Microseconds())/1000, time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// chance returns true with a probability.
func (b *Bed) chance(p float64) bool {
	b.randomMu.Lock()
	defer b.randomMu.Unlock()
	return b.random.Float64() < p
}

// between returns a random duration in a range.
func (b *Bed) between(low, high time.Duration) time.Duration {
	b.randomMu.Lock()
	defer b.randomMu.Unlock()
	return low + time.Duration(b.random.Float64()*float64(high-low))
}

// pick returns a random number below n.
func (b *Bed) pick(n int) int {
	b.randomMu.Lock()
	defer b.randomMu.Unlock()
	return b.random.IntN(n)
}

// drawOutcome draws what a node makes of a set-up for which the front end waits for a time.
func (b *Bed) drawOutcome(wait time.Duration) outcome {
	o := outcome{kind: outcomeStands, delay: b.between(time.Millisecond, b.outcomes.MaxDelay), length: b.between(b.outcomes.MinLength, b.outcomes.MaxLength)}
	for _, c := range []struct {
		share float64
		kind  outcomeKind
	}{{b.outcomes.Twice, outcomeAnsweredTwice}, {b.outcomes.Full, outcomeFull}, {b.outcomes.Moot, outcomeMoot}, {b.outcomes.Error, outcomeError},
		{b.outcomes.NoAnswer, outcomeNoAnswer}, {b.outcomes.Reset, outcomeReset}, {b.outcomes.Spoilt, outcomeSpoilt}} {
		if b.chance(c.share) {
			o.kind = c.kind
			return o
		}
	}
	if b.chance(b.outcomes.Late) {
		o.delay = wait + b.between(-40*time.Millisecond, 40*time.Millisecond)
	}
	return o
}

func nodeName(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// frontHosts counts the addresses that freeAddress has returned.
var frontHosts atomic.Uint32

// freeAddress returns an address for a front end. It lies on a loopback host on which no stand-in listens, so that none takes the port
// between this call and the front end's start.
func freeAddress() (string, error) {
	n := frontHosts.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%64, n>>8&0xff, n&0xff))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
