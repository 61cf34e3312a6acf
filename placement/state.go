package placement

import (
	"gullrail/decision"
	"gullrail/internal/pcg"
	"gullrail/internal/slab"
)

// Policy is the state of one front end. It implements decision.Policy. The settings are never modified.
type Policy struct {
	settings              map[string][]float64
	rng                   pcg.Source
	nodes                 []node
	racks                 []rack
	listed                int     // number of listed nodes
	cells                 [][]int // listed nodes by cell
	kinds                 []kindStats
	plays                 slab.Slab[play]
	waiting               []decision.Handle // pending plays that wait for answers or for a node
	viewers               []viewer
	seats                 []int32   // plays on nodes, by title and product
	acceptedTimes         []int64   // when plays were accepted, within the budget window
	reallocationTimes     []int64   // when reallocations were made, within the budget window
	samples               int       // payoff samples of all kinds
	meanUtilization       float64   // moving average of the reported link utilization
	meanUplinkUtilization float64   // the same for uplinks
	loadVersion           int       // incremented by every change of a load estimate
	anyReport             bool      // a link report was received
	meanRung              float64   // mean rung of plays below their top rung, less their rung offsets
	ownMeanRung           float64   // meanRung of own plays only
	anyBelowTop           bool      // at least one own play is below its top rung
	peerMeanRung          float64   // mean rung that other fronts reported
	peerWeight            float64   // weight of peerMeanRung, in messages
	allAtFloor            bool      // meanRung is near its lowest possible value
	productOffsets        []float64 // rungs that a product may be above the others, by product
	coldHolder            int       // a cold holder of the last requested title that this front may not use now, or -1
	startedAt             int64     // first call of UpdateNodes
	lastMessageAt         int64     // time of the last message from another front
	probeCredit           float64   // probes that may be sent now; earned by accepting plays
	holderBuf             []int     // result of holders, reused
	candidates            []candidate
	result                decision.Result
	nodesByKey            map[uint32]int // node index by key
	messageBuf            []byte         // contents of the messages in result
}

// kindStats holds the payoff samples of a kind of node.
type kindStats struct {
	count int
	sum   float64
}

// node is the record of a playout node. Times of events that have not happened are far in the past.
type node struct {
	listed              bool
	unlistedAt          int64 // when it was last removed from the list
	phase               decision.Phase
	kind                int
	zone                int
	cell                int
	rack                int
	startedAt           int64
	weight              float64
	plays               []decision.Handle
	ownRate             float64 // total rate of own plays, kB/s
	linkLoad            loadEstimate
	observed            capacityObservation // of the link
	deliveredShare      float64             // last reported share of the rates that the node delivers
	deliveredShareAt    int64
	shortSince          int64   // since when the share is short; 0 if it is not
	steppedDownAt       int64   // last step down of a play on this node
	stepDownUtilization float64 // utilization that the last step down acted on
	steppedUpAt         int64   // last step up of a play on this node
	shedAt              int64   // when a play was last moved off this node
	probedAt            int64
	probing             bool // a probe or a query for its load is outstanding
	consecutiveFailures int  // consecutive failures and rejections
	skipUntil           int64
	failedAt            int64  // last failure; after a rejection, when the node may be used again
	disconnectedAt      int64  // last failed or lost connection
	returnedAt          int64  // first play after disconnectedAt
	lastTurn            int64  // last turn used while cold
	key                 uint32 // decision.Node.Key: the same at every front
	grantedUntil        int64  // until when its owner permits one set-up while it is cold
}

// rack is a rack and its uplink.
type rack struct {
	nodes         []int // listed nodes
	ownRate       float64
	uplinkLoad    loadEstimate
	observed      capacityObservation
	demand        float64 // total demand on its links at demandAt, kB/s
	demandAt      int64
	demandVersion int // loadVersion at demandAt
}

// loadEstimate is the last report on a link or uplink, with the own rates that it includes.
type loadEstimate struct {
	reportedAt  int64 // 0 if there was none
	utilization float64
	ownRate     float64 // total rate of own plays included in the report, kB/s
}

// capacityObservation is the capacity of a link or uplink when it was last seen short.
type capacityObservation struct {
	capacity   float64 // kB/s
	observedAt int64   // 0 if there was none
}

// candidate is a holder on which a play may be set up now.
type candidate struct {
	node        int
	headroom    float64 // kB/s
	utilization float64 // demand divided by capacity; set only if headroom is too small
	rung        int
}

// stage is the state of a play.
type stage uint8

const (
	pending stage = iota
	settingUp
	playing
	abandoned // the viewer left while an allocation is outstanding
)

// play is a play that is not finished yet.
type play struct {
	request      decision.Request
	stage        stage
	node         int
	rung         int
	sharesStream bool    // expected to share a stream, at its best rung
	savedShare   float64 // share of its rate that sharing saves on the link
	attempt      int     // number of the last attempt; -1 if there was none
	mayHaveRun   bool    // an earlier attempt may have run
	acceptedAt   int64
	sentAt       int64
	startedAt    int64
	steppedUpAt  int64 // time of the last step up
	sampled      bool
	queried      bool                   // holders were queried before the first set-up
	queriedNodes [maxQueriedHolders]int // the queried holders
}

// viewer is what is remembered of a viewer between plays.
type viewer struct {
	lastNode int // 1 + index of the node that the viewer left or failed on; 0 if none
	leftAt   int64
	movedAt  int64
}
