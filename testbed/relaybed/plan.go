package relaybed

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is a kind of disruption.
type faultKind uint8

const (
	faultTakeover       faultKind = iota // a node ends and another one is at its address at once
	faultCrash                           // a node ends, its address refuses, another one comes later
	faultHang                            // a node's process is stopped for a time
	faultPartition                       // a node is cut off for a time: open connections silent, new ones never come up
	faultResets                          // connections to a node are reset
	faultCloseEarly                      // a node resets new connections at once for a time
	faultDrain                           // a node drains, then it is gone
	faultChannelSilence                  // the command channel stops and stays open
	faultChannelDown                     // the command channel is down for a time
	faultChannelMove                     // new configurations, one after the other: the channel moves
	faultCrowd                           // hundreds of set-ups at once
	faultRestart                         // the front end gets SIGTERM, is killed at the earliest time and started again
	faultKill                            // the front end is killed and started again
	faultKindCount
)

func (k faultKind) String() string {
	return [...]string{"takeover", "crash", "hang", "partition", "resets", "close early", "drain", "channel silent", "channel down", "channel moves", "crowd",
		"restart", "kill"}[k]
}

// fault is one disruption of a plan.
type fault struct {
	kind     faultKind
	at       time.Duration // since the start of the traffic
	node     int           // index of the machine
	length   time.Duration
	variant  int
	toldLate time.Duration // until the list tells of a change
	oneEvent bool          // the list tells the end of the old node and the new node in one event
}

// plan is what a seed draws: the deployment, its traffic and the faults in order of time.
type plan struct {
	paid, free time.Duration
	nodes      int
	hosts      int
	perSecond  float64
	outcomes   Outcomes
	giveUps    float64 // shares of the set-ups
	closes     float64
	pieces     float64
	ends       float64 // share of the sessions that their viewer ends
	badClients int
	handedOver int
	faults     []fault
}

func milliseconds(r *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+r.IntN(high-low+1)) * time.Millisecond
}

// newPlan draws a plan for a run of a given length. At most one fault at a time concerns the front end's process.
func newPlan(seed uint64, length time.Duration) plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := plan{paid: milliseconds(r, 800, 4000), free: milliseconds(r, 600, 3000), nodes: 6 + r.IntN(4), hosts: 6 + r.IntN(5), perSecond: 20 + 40*r.Float64(),
		giveUps: 0.05 * r.Float64(), closes: 0.03 * r.Float64(), pieces: 0.3 * r.Float64(), ends: 0.3 * r.Float64(), badClients: r.IntN(4), handedOver: r.IntN(12)}
	p.outcomes = Outcomes{Twice: 0.03 * r.Float64(), Full: 0.06 * r.Float64(), Moot: 0.03 * r.Float64(), Error: 0.04 * r.Float64(), NoAnswer: 0.03 * r.Float64(),
		Reset: 0.03 * r.Float64(), Spoilt: 0.02 * r.Float64(), Late: 0.03 * r.Float64(), MinLength: 300 * time.Millisecond, MaxLength: milliseconds(r, 2000, 9000),
		MaxDelay: milliseconds(r, 10, 150)}
	end := int(length.Milliseconds())
	for range 8 + r.IntN(8) {
		f := fault{kind: faultKind(r.IntN(int(faultRestart))), at: milliseconds(r, 300, end), node: r.IntN(p.nodes), length: milliseconds(r, 100, 5000),
			variant: r.IntN(3), toldLate: milliseconds(r, 0, 1500), oneEvent: r.IntN(2) == 0}
		p.faults = append(p.faults, f)
	}
	restarts := r.IntN(3)
	for i := range restarts {
		kind := faultRestart
		if r.IntN(4) == 0 {
			kind = faultKill
		}
		at := time.Duration(i+1) * length / time.Duration(restarts+1)
		p.faults = append(p.faults, fault{kind: kind, at: at + milliseconds(r, 0, 800), variant: r.IntN(4), length: milliseconds(r, 100, 3000)})
	}
	slices.SortStableFunc(p.faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return p
}

// longestDeadline returns the time that a planned restart leaves for answers.
func (p plan) longestDeadline() time.Duration { return min(3*time.Second, max(p.paid, p.free)) }
