// Package membership keeps a front end's view of its fleet: which playout nodes exist, according to which source, and which
// of them may receive new plays. Updates come from several sources and may be late, repeated, reordered, outdated or wrong.
// The package does no I/O and reads no clock: times are int64 tenths of a millisecond, as in package decision. A Fleet is
// not safe for concurrent use.
//
// Conflicts are resolved by these rules:
//
//  1. An update that a node is draining or gone takes effect at once, whatever its source, and no older update reverts it.
//     It is reverted by a newer update of the same source or of one with more authority, or by a later start of the node.
//  2. A node's start time never decreases.
//  3. Partial updates with a version not above the source's last one are ignored. A full list with an older version means
//     that the list service has restarted: it is applied, but nothing that it omits is removed at once, and until its
//     version reaches the highest one seen it does not revert an update that a node is draining or gone.
//  4. Omission from a full list is weaker than an explicit "gone". If a full list omits more than a third of the fleet, the
//     omitted nodes that are connected are kept until the omission has lasted for missingDelay.
//  5. If the process at a node's address reports another name, it is another node: the entry is not used until its address or
//     start time changes.
//  6. A saved list is used depending on its age, and only until the list service first sends something.
package membership

import (
	"cmp"
	"fmt"
	"slices"

	"gullrail/decision"
)

const (
	maxMissingShare   = 1.0 / 3              // of the fleet: if more nodes are missing at once, an error in the list is likelier than the loss of so many machines
	minMissingAllowed = 2                    // missing nodes that are accepted at once in a small fleet
	missingDelay      = 10 * decision.Second // an omission that lasts this long is accepted: a list broken by mistake is corrected within seconds
	// SavedListDelay is how long a starting front waits for the list service before it uses the saved list.
	SavedListDelay = 1 * decision.Second
	savedFreshAge  = 60 * decision.Second // up to this age nodes need not confirm themselves: fewer nodes change in a minute than drain within their grace period
	savedMaxAge    = 24 * 3600 * decision.Second
	admitShare     = 1.0 / 8                    // of the admitted nodes: limit of the nodes admitted in one step
	minAdmitted    = 4                          // lower bound of that limit
	goneRetention  = 600 * decision.Second      // how long a gone node is remembered, so that no older update brings it back
	admitInterval  = 250 * decision.Millisecond // interval between steps: the core's rate limit for cold nodes counts plays, not nodes that are added at once
)

// Source is the origin of an Update; a higher value has more authority.
type Source uint8

const (
	Saved Source = iota // the list that this front last saved
	File                // a file maintained by the operator
	List                // the list service
	sourceCount
)

func (s Source) String() string { return [...]string{"saved list", "file", "list service"}[s] }

// Entry describes one playout node, identified by its name.
type Entry struct {
	Name      string
	Address   string // host:port
	Phase     decision.Phase
	Kind      int
	Zone      int
	Cell      int
	StartedAt int64 // on the front's clock; 0 means long ago
	Weight    float64
}

// Update is a message from a source: the full list, or the entries that changed.
type Update struct {
	Source  Source
	Version int64 // 0 if the source has no versions
	Full    bool
	Age     int64 // of a saved list; negative if the clock was set back since
	Entries []Entry
}

type node struct {
	entry         Entry
	source        Source
	updatedAt     int64
	listedBy      [sourceCount]bool // the source's last full list, with the changes since, contains the node
	connected     bool              // its stream is open and it has reported its name
	everConnected bool              // it was connected at some time since this front started
	otherName     string            // a different name reported by the process at its address
	stopped       bool              // reported as draining or gone
	stoppedBy     Source
	missingSince  int64 // since when a list omits it without the omission being accepted; 0 if none does
	mustConfirm   bool  // it may be used only after it has been connected
	announced     Entry // the entry last returned by Due
	isAnnounced   bool  // Due has returned an entry for it
}

// Fleet is a front's view of its fleet.
type Fleet struct {
	nodes          []node
	indexes        map[string]int
	version        [sourceCount]int64
	highestVersion [sourceCount]int64 // highest version ever received from the source
	reported       [sourceCount]bool
	nextAdmitAt    int64 // when the next step of admissions begins
	admitsLeft     int   // nodes that may still be admitted in this step
	lastRemoval    int64
	admittedCount  int // nodes last announced as ready
	counts         Counts
}

// Counts are counters of the updates received and the problems found.
type Counts struct {
	Updates, Stale, Regressions, DeferredRemovals, NameMismatches uint64
}

// New returns an empty Fleet.
func New() *Fleet { return &Fleet{indexes: map[string]int{}} }

// Counts returns a copy of the counters.
func (f *Fleet) Counts() Counts { return f.counts }

// HasReported reports whether an update of the source has been applied.
func (f *Fleet) HasReported(s Source) bool { return f.reported[s] }

// SavedListUsable reports whether a saved list of the given age may be used, and if so, whether its nodes must confirm themselves
// first by connecting. A negative age means that the clock was set back, so the real age is unknown.
func SavedListUsable(age int64) (use, mustConfirm bool) {
	switch {
	case age > savedMaxAge:
		return false, false
	case age < 0 || age > savedFreshAge:
		return true, true
	}
	return true, false
}

// Apply applies an update and reports whether it was accepted. Rejected are partial updates not newer than the last
// update of their source, and saved lists that are too old or come after an update of the list service.
func (f *Fleet) Apply(now int64, u Update) bool {
	f.counts.Updates++
	mustConfirm := false
	if u.Source == Saved {
		var use bool
		if use, mustConfirm = SavedListUsable(u.Age); !use || f.reported[List] {
			return false
		}
	}
	regressed := u.Version > 0 && u.Version < f.highestVersion[u.Source] // below the highest version of the source: it has restarted
	if u.Version > 0 && f.reported[u.Source] {
		switch have := f.version[u.Source]; {
		case !u.Full && u.Version <= have:
			f.counts.Stale++
			return false
		case u.Full && u.Version < have:
			f.counts.Regressions++
		}
	}
	f.highestVersion[u.Source] = max(f.highestVersion[u.Source], u.Version)
	f.version[u.Source], f.reported[u.Source] = u.Version, true
	listed := make(map[string]bool, len(u.Entries))
	for _, e := range u.Entries {
		listed[e.Name] = true
		f.applyEntry(now, u, e, mustConfirm, regressed)
	}
	if u.Full {
		f.applyAbsences(now, u, listed, regressed)
	}
	return true
}

// applyEntry applies one entry of an update.
func (f *Fleet) applyEntry(now int64, u Update, e Entry, mustConfirm, regressed bool) {
	i, ok := f.indexes[e.Name]
	if !ok {
		i = len(f.nodes) // also for a node that is gone, so that no older update adds it
		f.nodes = append(f.nodes, node{entry: e, source: u.Source, updatedAt: now})
		f.indexes[e.Name] = i
	}
	n := &f.nodes[i]
	if u.Source == Saved {
		e.StartedAt = now // not reliable any more: the node counts as cold for the rate limit
		if ok {
			return
		}
	}
	// For a node listed by a source of more authority, an update only counts if it says draining or gone.
	overruled := ok && u.Source < n.source && n.listedBy[n.source]
	restarted := e.StartedAt > n.entry.StartedAt && (e.StartedAt > 0 && n.entry.StartedAt > 0)
	stops := e.Phase != decision.Ready
	n.listedBy[u.Source] = e.Phase != decision.Gone
	if stops && !n.stopped {
		n.stopped, n.stoppedBy = true, u.Source
	}
	switch {
	case overruled:
		if stops {
			n.entry.Phase = max(n.entry.Phase, e.Phase)
		}
		return
	case n.stopped && !stops && !restarted && (u.Source < n.stoppedBy || regressed):
		e.Phase = n.entry.Phase // an older update, or one of less authority
	case !stops:
		n.stopped = false
	}
	if e.Address != n.entry.Address || restarted {
		n.otherName = "" // another process may answer there
		if e.Address != n.entry.Address {
			n.connected = false
		}
	}
	e.StartedAt = max(e.StartedAt, n.entry.StartedAt)
	n.entry, n.source, n.updatedAt, n.missingSince, n.mustConfirm = e, u.Source, now, 0, mustConfirm
}

// applyAbsences handles the nodes that a full list omits.
func (f *Fleet) applyAbsences(now int64, u Update, listed map[string]bool, regressed bool) {
	var omitted []int
	expected := 0
	for i := range f.nodes {
		n := &f.nodes[i]
		if n.entry.Phase == decision.Gone || !n.listedBy[n.source] {
			continue
		}
		if n.missingSince == 0 || n.connected {
			expected++
		}
		covered := n.listedBy[u.Source] || u.Source > n.source // the source listed it before, or has more authority than the source of its entry
		if covered && !listed[n.entry.Name] {
			omitted = append(omitted, i)
		}
	}
	doubted := regressed || len(omitted) > max(minMissingAllowed, int(maxMissingShare*float64(expected)))
	for _, i := range omitted {
		n := &f.nodes[i]
		if n.missingSince == 0 {
			n.missingSince = max(1, now)
		}
		if !doubted {
			f.markGone(now, n, u.Source)
		} else {
			f.counts.DeferredRemovals++
		}
	}
}

func (f *Fleet) markGone(now int64, n *node, source Source) {
	n.listedBy, n.updatedAt = [sourceCount]bool{}, now
	n.entry.Phase, n.stopped, n.stoppedBy, n.missingSince = decision.Gone, true, source, 0
}

// Confirmed records that a node's stream is open and which name the process there reported.
func (f *Fleet) Confirmed(now int64, name, reportedName string) {
	i, ok := f.indexes[name]
	if !ok {
		return
	}
	n := &f.nodes[i]
	if reportedName != "" && reportedName != name {
		if n.otherName != reportedName {
			f.counts.NameMismatches++
		}
		n.otherName, n.connected = reportedName, false
		return
	}
	n.otherName, n.connected, n.everConnected = "", true, true
}

// Disconnected records that a node's stream is closed.
func (f *Fleet) Disconnected(now int64, name string) {
	if i, ok := f.indexes[name]; ok {
		f.nodes[i].connected = false
	}
}

// effectivePhase returns the phase in which the core treats a node, and the reason unless the node is simply ready.
func (f *Fleet) effectivePhase(n *node) (decision.Phase, string) {
	switch {
	case n.entry.Phase == decision.Gone:
		return decision.Gone, "gone, by the " + n.stoppedBy.String()
	case n.entry.Phase == decision.Draining:
		return decision.Draining, "draining, by the " + n.stoppedBy.String()
	case n.otherName != "":
		return decision.Draining, fmt.Sprintf("at its address answers %q", n.otherName)
	case n.mustConfirm && !n.everConnected:
		return decision.Draining, "on an old saved list, and has not answered yet"
	case n.missingSince > 0 && !n.connected: // reverted if a list contains it again
		return decision.Gone, "left out by the list service, and not in touch"
	case n.missingSince > 0:
		return decision.Ready, "left out by the list service with too many others to be believed at once"
	}
	return decision.Ready, ""
}

// Due returns the entries to pass to the core now: those of the nodes that changed, in the order in which the nodes were
// first listed. Nodes that become ready are admitted in steps. wake is when to call Due again; 0 if nothing will be due
// before the next update or the next change of a node's connection.
func (f *Fleet) Due(now int64) (entries []Entry, wake int64) {
	waiting := 0
	for i := range f.nodes {
		n := &f.nodes[i]
		if n.missingSince > 0 && now-n.missingSince >= missingDelay {
			f.markGone(now, n, List)
		}
		if n.missingSince > 0 && (wake == 0 || n.missingSince+missingDelay < wake) {
			wake = n.missingSince + missingDelay
		}
		if phase, _ := f.effectivePhase(n); phase == decision.Ready && !n.admitted() {
			waiting++
		}
	}
	room := waiting
	if waiting > 0 && f.admittedCount > 0 { // a front without any admitted node takes all at once
		if now >= f.nextAdmitAt {
			f.nextAdmitAt, f.admitsLeft = now+admitInterval, max(minAdmitted, int(admitShare*float64(f.admittedCount)))
		}
		room = min(waiting, f.admitsLeft)
		f.admitsLeft -= room
	}
	if waiting > room && (wake == 0 || f.nextAdmitAt < wake) {
		wake = f.nextAdmitAt
	}
	for i := range f.nodes {
		n := &f.nodes[i]
		e := n.entry
		e.Phase, _ = f.effectivePhase(n)
		switch {
		case n.isAnnounced && e == n.announced || !n.isAnnounced && e.Phase == decision.Gone:
			continue
		case e.Phase == decision.Ready && !n.admitted():
			if room == 0 {
				continue
			}
			room--
			f.admittedCount++
		case e.Phase != decision.Ready && n.admitted():
			f.admittedCount--
		}
		n.announced, n.isAnnounced = e, true
		entries = append(entries, e)
	}
	f.removeGone(now)
	return entries, wake
}

// admitted reports whether the core may send new plays to the node.
func (n *node) admitted() bool { return n.isAnnounced && n.announced.Phase == decision.Ready }

// removeGone removes nodes that have been gone for longer than goneRetention, so that memory stays bounded when names of
// nodes are never reused.
func (f *Fleet) removeGone(now int64) {
	if now < f.lastRemoval+goneRetention {
		return
	}
	f.lastRemoval = now
	kept := f.nodes[:0]
	for _, n := range f.nodes {
		if n.entry.Phase == decision.Gone && (!n.isAnnounced || n.announced.Phase == decision.Gone) && now-n.updatedAt > goneRetention {
			delete(f.indexes, n.entry.Name)
			continue
		}
		f.indexes[n.entry.Name] = len(kept)
		kept = append(kept, n)
	}
	clear(f.nodes[len(kept):])
	f.nodes = kept
}

// NodeState is the state of one node in the front's view.
type NodeState struct {
	Entry
	Usable    bool
	Reason    string // why the node is not used, or is used although a list omits it
	Source    Source
	Age       int64 // since the last update of its entry
	Connected bool
}

// NodeStates returns the states of all nodes, sorted by name.
func (f *Fleet) NodeStates(now int64) []NodeState {
	out := make([]NodeState, 0, len(f.nodes))
	for i := range f.nodes {
		n := &f.nodes[i]
		state := NodeState{Entry: n.entry, Source: n.source, Age: now - n.updatedAt, Connected: n.connected}
		state.Phase, state.Reason = f.effectivePhase(n)
		state.Usable = state.Phase == decision.Ready && n.admitted()
		if state.Phase == decision.Ready && !state.Usable {
			state.Reason = "waits to be admitted, as many come at once"
		}
		out = append(out, state)
	}
	slices.SortFunc(out, func(a, b NodeState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Snapshot returns the list to save, with the version of the list service's last update: all nodes that are ready or draining.
func (f *Fleet) Snapshot() (version int64, entries []Entry) {
	for _, state := range f.NodeStates(0) {
		if state.Entry.Phase != decision.Gone {
			entries = append(entries, state.Entry)
		}
	}
	return f.version[List], entries
}
