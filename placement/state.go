package placement

import (
	"gullrail/decision"
	"gullrail/internal/pcg"
	"gullrail/internal/slab"
)

// Policy is what one front end knows. Settings stay as they were given.
type Policy struct {
	set     map[string][]float64
	rnd     pcg.Source
	nodes   []node
	racks   []rack
	listed  int     // nodes on the list
	cells   [][]int // listed nodes by cell
	kinds   []kind
	plays   slab.Slab[ply]
	waiting []decision.Handle
	viewers []viewer
	seats   []int32   // plays held, by title and product
	taken   []int64   // when plays were taken, within the budget's window
	again   []int64   // when further allocations were made, within the same
	samples int       // |W|
	usual   float64   // what links are asked on average, over given
	usualUp float64   // the same of uplinks
	changes int       // to any account
	told    bool      // any figure yet
	level   float64   // mean rung of plays that could still rise, less their lift
	mine    float64   // the same of own plays alone
	rising  bool      // there are such plays
	theirs  float64   // mean of the levels that other fronts told
	levels  float64   // how many that goes over
	crammed bool      // the level is as low as it can be
	lifts   []float64 // rungs that a product may stand over the others
	cold    int       // a holder of the last title asked for whose turn it is not, or -1
	born    int64     // first call
	heardAt int64     // last message
	probes  float64   // probes that may be sent now
	held    []int     // nodes of the last title asked for
	cands   []cand
	res     decision.Result
	keys    map[uint32]int // nodes by key
	words   []byte         // of the messages in res
}

// kind is a kind of node and its payoffs.
type kind struct {
	count int
	sum   float64
}

// node is a playout node. Times that never were are long past.
type node struct {
	listed     bool
	unlistedAt int64 // when it went from the list
	phase      decision.Phase
	kind       int
	zone       int
	cell       int
	rack       int
	started    int64
	weight     float64
	plays      []decision.Handle
	own        float64 // rates of own plays, kB a second
	link       account
	seen       memory
	share      float64 // last share told
	shareAt    int64
	shortFrom  int64   // since when it is short; 0 is not
	cutAt      int64   // last step down here
	cutFor     float64 // what the link was told to be asked by then
	raisedAt   int64   // last step up here
	shedAt     int64   // last play moved away
	probedAt   int64
	probing    bool
	strikes    int // failures or refusals in a row
	skipUntil  int64
	failedAt   int64  // last failure; of one that refused, when it may be asked again
	lostAt     int64  // last seen to break
	backAt     int64  // first play after that
	slot       int64  // last cold turn used
	key        uint32 // the same at every front
	leave      int64  // until when its keeper lets one play be set up on it, cold
}

// rack is a rack and its uplink.
type rack struct {
	nodes []int // those listed
	own   float64
	link  account
	seen  memory
	sum   float64 // what is asked of its links, as of sumAt
	sumAt int64
	sumOf int // changes made by then
}

// account is the last figure told of a link and what the front itself has changed since.
type account struct {
	at    int64 // 0 is never
	asked float64
	own   float64 // own rates that the figure holds
}

// memory is what a link or uplink gave when it was last seen short.
type memory struct {
	given float64 // kB a second
	at    int64   // 0 is never
}

// cand is a holder that may be given a set-up now.
type cand struct {
	at   int
	room float64 // kB a second
	used float64 // asked over given
	rung int
}

// stage is how far a play has come.
type stage uint8

const (
	held stage = iota
	settingUp
	playing
	deserted // the viewer left, an allocation is still out
)

// ply is a play in hand.
type ply struct {
	want    decision.Request
	stage   stage
	node    int
	rung    int
	joins   bool    // it counts on others' stream, at its best rung
	saves   float64 // part of its rate that it then does not add to a link
	try     int     // number of the last allocation; -1 is none
	mayHave bool    // an earlier allocation may have run
	taken   int64
	sent    int64
	started int64
	raised  int64 // last step up
	sampled bool
	looked  bool       // its first look at holders was taken
	look    [looks]int // at these
}

// viewer is what outlasts a play: a viewer's key comes again with a new play.
type viewer struct {
	left    int // node left or failed on, from 1; 0 is none
	leftAt  int64
	movedAt int64
}
