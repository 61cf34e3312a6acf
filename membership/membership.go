// Package membership decides what a front end believes of its fleet: which playout nodes there are, by whose word, and which of
// them may be given new plays. Words come from several sources, late, repeated, shuffled, behind or wrong. No I/O and no
// clock: times are int64 tenths of a millisecond, as in package decision. One goroutine at a time.
//
// The rules by which conflicts settle:
//
//  1. A word that a node drains or is gone holds at once, whoever says it, and no older word undoes it. It is undone by a newer
//     word of the same source or of a higher one, or by a later start of the node.
//  2. A node's start time only goes forward.
//  3. A source's version only goes forward; a word with an older one is passed over. A whole list with an older version is a
//     list service that begins anew: it is heard, nothing that it leaves out is dropped at once, and until it has come
//     further than it once was it takes back no word that a node drains or is gone.
//  4. Absence is a weaker word than "gone". A whole list that leaves out more than a third of the fleet is not believed at once
//     for nodes that are in touch: they are kept until it has said so for a while.
//  5. An address that answers with another name is another node: the line is not used until its address or start changes.
//  6. What was saved serves by its age, and only until the list service speaks.
package membership

import (
	"cmp"
	"fmt"
	"slices"

	"gullrail/decision"
)

const (
	vanishShare = 1.0 / 3              // of the fleet: more at once is likelier a mistake of the list than of so many machines
	vanishLeast = 2                    // of a small fleet so many may go at once
	vanishFor   = 10 * decision.Second // then it is believed: a list that is wrong by a slip is mended in seconds
	// SavedListDelay is how long a front that starts waits for the list service before it uses what it saved.
	SavedListDelay = 1 * decision.Second
	savedFresh     = 60 * decision.Second // fewer nodes change in a minute than drain within their grace
	savedOld       = 24 * 3600 * decision.Second
	admitShare     = 1.0 / 8                    // of the fleet in use: so many more are given to the module in one step
	admitLeast     = 4                          // and at least
	goneFor        = 600 * decision.Second      // a node that is gone is remembered so long, so that no older word brings it back
	admitEvery     = 250 * decision.Millisecond // a step: the module's pace for cold nodes counts plays, not nodes that come at once
)

// Source is who says something of the fleet; the higher has more authority.
type Source uint8

const (
	Saved Source = iota // the list as this front last wrote it down
	File                // a file that the operator keeps
	List                // the list service
	sources
)

func (s Source) String() string { return [...]string{"saved list", "file", "list service"}[s] }

// Entry is one playout node, by name.
type Entry struct {
	Name      string
	Address   string // host:port
	Phase     decision.Phase
	Kind      int
	Zone      int
	Cell      int
	StartedAt int64 // on the front's clock; 0 is long past
	Weight    float64
}

// Update is what a source says: the whole list, or what changed.
type Update struct {
	Source  Source
	Version int64 // 0 where the source counts none
	Full    bool
	Age     int64 // of what was saved; below 0 where the clock was set back since
	Entries []Entry
}

type node struct {
	line     Entry
	by       Source
	saidAt   int64
	has      [sources]bool // the source's last whole list, and what followed it, has it
	alive    bool          // its stream is open, and it has told who it is
	met      bool          // it was alive once in this front's life
	name     string        // another name that answered at its address
	parted   bool          // told to drain or gone
	partedBy Source
	missing  int64 // since when a word that is not believed yet leaves it out; 0 is not
	unsure   bool  // by a word that wants it to confirm itself
	told     Entry // what the core was last told
	known    bool  // the core was told anything
}

// Fleet is the fleet as the front believes it.
type Fleet struct {
	nodes   []node
	at      map[string]int
	version [sources]int64
	top     [sources]int64 // the highest version that the source ever told
	spoke   [sources]bool
	admitAt int64 // when the next step begins
	admits  int   // how many may still be given in this one
	sweptAt int64
	used    int // told as ready
	counts  Counts
}

// Counts are what the fleet has heard.
type Counts struct {
	Updates, Stale, Regressions, Doubted, NameMismatches uint64
}

// New makes an empty fleet.
func New() *Fleet { return &Fleet{at: map[string]int{}} }

// Counts returns a copy of what was heard so far.
func (f *Fleet) Counts() Counts { return f.counts }

// HasReported tells that a source has said anything.
func (f *Fleet) HasReported(s Source) bool { return f.spoke[s] }

// Usable says how a list that was saved may serve, by its age: not at all, or only nodes that confirm themselves. An age
// below 0 tells of a clock that was set back, so that it is not known.
func Usable(age int64) (use, unsure bool) {
	switch {
	case age > savedOld:
		return false, false
	case age < 0 || age > savedFresh:
		return true, true
	}
	return true, false
}

// Apply takes a source's word, and tells whether it is one that counts: not older than what the same source said.
func (f *Fleet) Apply(now int64, w Update) bool {
	f.counts.Updates++
	unsure := false
	if w.Source == Saved {
		var use bool
		if use, unsure = Usable(w.Age); !use || f.spoke[List] {
			return false
		}
	}
	back := w.Version > 0 && w.Version < f.top[w.Source] // behind what the source once said
	if w.Version > 0 && f.spoke[w.Source] {
		switch have := f.version[w.Source]; {
		case !w.Full && w.Version <= have:
			f.counts.Stale++
			return false
		case w.Full && w.Version < have:
			f.counts.Regressions++
		}
	}
	f.top[w.Source] = max(f.top[w.Source], w.Version)
	f.version[w.Source], f.spoke[w.Source] = w.Version, true
	in := make(map[string]bool, len(w.Entries))
	for _, l := range w.Entries {
		in[l.Name] = true
		f.line(now, w, l, unsure, back)
	}
	if w.Full {
		f.absent(now, w, in, back)
	}
	return true
}

// line takes one line of a word in.
func (f *Fleet) line(now int64, w Update, l Entry, unsure, back bool) {
	i, ok := f.at[l.Name]
	if !ok {
		i = len(f.nodes) // one that is gone too: no older word may bring it
		f.nodes = append(f.nodes, node{line: l, by: w.Source, saidAt: now})
		f.at[l.Name] = i
	}
	n := &f.nodes[i]
	if w.Source == Saved {
		l.StartedAt = now // not known any more: it counts as cold for the pace
		if ok {
			return
		}
	}
	// A lower source says nothing of a node that a higher one has, but that it drains or is gone.
	lower := ok && w.Source < n.by && n.has[n.by]
	later := l.StartedAt > n.line.StartedAt && (l.StartedAt > 0 && n.line.StartedAt > 0)
	parts := l.Phase != decision.Ready
	n.has[w.Source] = l.Phase != decision.Gone
	if parts && !n.parted {
		n.parted, n.partedBy = true, w.Source
	}
	switch {
	case lower:
		if parts {
			n.line.Phase = max(n.line.Phase, l.Phase)
		}
		return
	case n.parted && !parts && !later && (w.Source < n.partedBy || back):
		l.Phase = n.line.Phase // an older word, or one of less authority
	case !parts:
		n.parted = false
	}
	if l.Address != n.line.Address || later {
		n.name = "" // another process may answer there
		if l.Address != n.line.Address {
			n.alive = false
		}
	}
	l.StartedAt = max(l.StartedAt, n.line.StartedAt)
	n.line, n.by, n.saidAt, n.missing, n.unsure = l, w.Source, now, 0, unsure
}

// absent judges the nodes that a whole list leaves out.
func (f *Fleet) absent(now int64, w Update, in map[string]bool, back bool) {
	var out []int
	known := 0
	for i := range f.nodes {
		n := &f.nodes[i]
		if n.line.Phase == decision.Gone || !n.has[n.by] {
			continue
		}
		if n.missing == 0 || n.alive {
			known++
		}
		covered := n.has[w.Source] || w.Source > n.by // the source had it, or has the last word on it
		if covered && !in[n.line.Name] {
			out = append(out, i)
		}
	}
	doubted := back || len(out) > max(vanishLeast, int(vanishShare*float64(known)))
	for _, i := range out {
		n := &f.nodes[i]
		if n.missing == 0 {
			n.missing = max(1, now)
		}
		if !doubted {
			f.gone(now, n, w.Source)
		} else {
			f.counts.Doubted++
		}
	}
}

func (f *Fleet) gone(now int64, n *node, by Source) {
	n.has, n.saidAt = [sources]bool{}, now
	n.line.Phase, n.parted, n.partedBy, n.missing = decision.Gone, true, by, 0
}

// Confirmed says that a node's stream is open and that the process there calls itself so.
func (f *Fleet) Confirmed(now int64, name, calls string) {
	i, ok := f.at[name]
	if !ok {
		return
	}
	n := &f.nodes[i]
	if calls != "" && calls != name {
		if n.name != calls {
			f.counts.NameMismatches++
		}
		n.name, n.alive = calls, false
		return
	}
	n.name, n.alive, n.met = "", true, true
}

// Disconnected says that a node's stream is not open any more.
func (f *Fleet) Disconnected(now int64, name string) {
	if i, ok := f.at[name]; ok {
		f.nodes[i].alive = false
	}
}

// phase is what a node may be given, and why.
func (f *Fleet) phase(n *node) (decision.Phase, string) {
	switch {
	case n.line.Phase == decision.Gone:
		return decision.Gone, "gone, by the " + n.partedBy.String()
	case n.line.Phase == decision.Draining:
		return decision.Draining, "draining, by the " + n.partedBy.String()
	case n.name != "":
		return decision.Draining, fmt.Sprintf("at its address answers %q", n.name)
	case n.unsure && !n.met:
		return decision.Draining, "on an old saved list, and has not answered yet"
	case n.missing > 0 && !n.alive: // to be undone if the list has it again
		return decision.Gone, "left out by the list service, and not in touch"
	case n.missing > 0:
		return decision.Ready, "left out by the list service with too many others to be believed at once"
	}
	return decision.Ready, ""
}

// Due brings what the core is to be told now: the nodes that changed, in the order in which they were first heard of, those
// that are given new plays not all at once. wake is when to ask again; 0 if a word or a node must change something first.
func (f *Fleet) Due(now int64) (lines []Entry, wake int64) {
	fresh := 0
	for i := range f.nodes {
		n := &f.nodes[i]
		if n.missing > 0 && now-n.missing >= vanishFor {
			f.gone(now, n, List)
		}
		if n.missing > 0 && (wake == 0 || n.missing+vanishFor < wake) {
			wake = n.missing + vanishFor
		}
		if phase, _ := f.phase(n); phase == decision.Ready && !n.given() {
			fresh++
		}
	}
	room := fresh
	if fresh > 0 && f.used > 0 { // a front that has nothing yet takes what there is
		if now >= f.admitAt {
			f.admitAt, f.admits = now+admitEvery, max(admitLeast, int(admitShare*float64(f.used)))
		}
		room = min(fresh, f.admits)
		f.admits -= room
	}
	if fresh > room && (wake == 0 || f.admitAt < wake) {
		wake = f.admitAt
	}
	for i := range f.nodes {
		n := &f.nodes[i]
		l := n.line
		l.Phase, _ = f.phase(n)
		switch {
		case n.known && l == n.told || !n.known && l.Phase == decision.Gone:
			continue
		case l.Phase == decision.Ready && !n.given():
			if room == 0 {
				continue
			}
			room--
			f.used++
		case l.Phase != decision.Ready && n.given():
			f.used--
		}
		n.told, n.known = l, true
		lines = append(lines, l)
	}
	f.sweep(now)
	return lines, wake
}

// given tells that the core may give a node new plays.
func (n *node) given() bool { return n.known && n.told.Phase == decision.Ready }

// sweep forgets nodes that are gone for everyone, so that a fleet whose names never come again does not grow for ever.
func (f *Fleet) sweep(now int64) {
	if now < f.sweptAt+goneFor {
		return
	}
	f.sweptAt = now
	kept := f.nodes[:0]
	for _, n := range f.nodes {
		if n.line.Phase == decision.Gone && (!n.known || n.told.Phase == decision.Gone) && now-n.saidAt > goneFor {
			delete(f.at, n.line.Name)
			continue
		}
		f.at[n.line.Name] = len(kept)
		kept = append(kept, n)
	}
	clear(f.nodes[len(kept):])
	f.nodes = kept
}

// NodeState is what is believed of one node, and why.
type NodeState struct {
	Entry
	Usable bool
	Reason string // where it is not used, or only just
	Source Source
	Age    int64 // of the last word on it
	Alive  bool
}

// NodeStates are what is believed of all nodes, by their names.
func (f *Fleet) NodeStates(now int64) []NodeState {
	out := make([]NodeState, 0, len(f.nodes))
	for i := range f.nodes {
		n := &f.nodes[i]
		b := NodeState{Entry: n.line, Source: n.by, Age: now - n.saidAt, Alive: n.alive}
		b.Phase, b.Reason = f.phase(n)
		b.Usable = b.Phase == decision.Ready && n.given()
		if b.Phase == decision.Ready && !b.Usable {
			b.Reason = "waits to be admitted, as many come at once"
		}
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b NodeState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Snapshot is what is worth writing down: the nodes that may be used or drain, as the highest source says.
func (f *Fleet) Snapshot() (version int64, lines []Entry) {
	for _, b := range f.NodeStates(0) {
		if b.Entry.Phase != decision.Gone {
			lines = append(lines, b.Entry)
		}
	}
	return f.version[List], lines
}
