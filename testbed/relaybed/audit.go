package relaybed

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bounds of the platform's protocol, each with its slack of 50 ms.
const (
	slack            = 50 * time.Millisecond
	answerLate       = 500*time.Millisecond + slack // an answer this long after its time earns nothing but is not lost
	releaseLimit     = time.Second + slack          // from a release by node or front end to the viewer's
	cutReleaseLimit  = 8*time.Second + slack        // from the end of a session for which no release could be sent
	clientGoneLimit  = 100*time.Millisecond + slack // from a client's leave to the last begin of an attempt for it
	overlapTolerance = 60 * time.Millisecond        // for a give-up that crosses the next attempt
	crossingWindow   = 50 * time.Millisecond        // a set-up this close to the close of its connection is sent again
)

// Session is a viewer's session, as its viewer sees it.
type Session struct {
	ID        uint64
	class     string
	paid      bool
	title     string
	firstCell int
	cellCount int
	expires   time.Duration
	host      string
	handed    bool // handed over to the front end with the node where it stands

	sentAt      time.Time
	resent      bool // sent again, as it crossed the close of its connection
	answers     []answer
	releasedAt  time.Time // TEARDOWN of the front end
	moved       bool
	goneAt      time.Time // the viewer gave up or closed its connection
	leftAt      time.Time // the viewer ended the session that stood
	connLostAt  time.Time // the connection ended before the answer
	unreachable bool      // its viewer closed the connection of its set-up
	voided      bool      // its front end was killed: nothing is owed any more
}

type answer struct {
	status int
	body   string
	at     time.Time
}

// attempt is a set-up at a node.
type attempt struct {
	node     string
	begunAt  time.Time
	endedAt  time.Time
	neverRan bool
}

// record is all that is known of a session.
type record struct {
	*Session
	attempts  []*attempt
	standings []*standing
}

// standing is a session's stay at a node that has answered its set-up.
type standing struct {
	node            string
	description     string
	endedAt         time.Time
	cut             bool // it ended without a release of its node
	releaseWritten  time.Time
	releasedByFront time.Time
}

// standingAt returns the session's latest stay at a node, or nil.
func (r *record) standingAt(node string) *standing {
	for _, s := range slices.Backward(r.standings) {
		if s.node == node {
			return s
		}
	}
	return nil
}

// watched returns the stay that the viewer was told of, or nil. Of several at one node it is the latest: the front end makes another
// attempt there only after it has released the earlier one.
func (r *record) watched() *standing {
	for _, s := range slices.Backward(r.standings) {
		if r.handed || len(r.answers) > 0 && r.answers[0].status == 200 && r.answers[0].body == s.description {
			return s
		}
	}
	return nil
}

// Audit collects what happens to the sessions and tells which rules were broken.
type Audit struct {
	mu         sync.Mutex
	records    map[uint64]*record
	toldAt     map[string]time.Time // when the front end was told that a node drains or is gone
	disturbed  map[string]time.Time // until when a node reads late, as it was stopped or cut off
	grace      time.Duration        // for new set-ups after toldAt
	violations []string
	bed        *Bed
}

func newAudit(bed *Bed) *Audit {
	return &Audit{bed: bed, records: map[uint64]*record{}, toldAt: map[string]time.Time{}, disturbed: map[string]time.Time{}, grace: 500 * time.Millisecond}
}

func (a *Audit) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	a.violations = append(a.violations, text)
	a.bed.logf("VIOLATION %s", text)
}

// Violate records a violation that the caller has found.
func (a *Audit) Violate(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violate(format, args...)
}

func (a *Audit) add(s *Session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records[s.ID] = &record{Session: s}
}

// forget removes a session whose set-up could not be sent, as no connection came up.
func (a *Audit) forget(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.records, id)
}

// update changes a session under the audit's lock.
func (a *Audit) update(id uint64, f func(r *record)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.records[id]; r != nil {
		f(r)
	}
}

func (a *Audit) disturb(node string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.disturbed[node] = until
}

func (a *Audit) told(node string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.toldAt[node].IsZero() {
		a.toldAt[node] = time.Now()
	}
}

func (a *Audit) readsLate(node string) bool { return time.Now().Before(a.disturbed[node]) }

// attemptBegun checks a set-up that a node has read whole.
func (a *Audit) attemptBegun(id uint64, node, class string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.records[id]
	if r == nil && id&floodIDs != 0 {
		return
	}
	if r == nil {
		a.violate("%s gets a set-up of %016x, which no viewer sent", node, id)
		return
	}
	late := a.readsLate(node)
	if told := a.toldAt[node]; !late && !told.IsZero() && now.Sub(told) > a.grace+slack {
		a.violate("%016x is set up at %s %v after its drain or removal was told", id, node, now.Sub(told))
	}
	if gone := r.goneAt; !late && !gone.IsZero() && now.Sub(gone) > clientGoneLimit {
		a.violate("%016x is set up at %s %v after its client has gone", id, node, now.Sub(gone))
	}
	if class != r.class {
		a.violate("%016x is set up at %s with class %q, want %q", id, node, class, r.class)
	}
	begun := &attempt{node: node, begunAt: now}
	for _, earlier := range r.attempts {
		if r.paid && !earlier.neverRan && earlier.node != node {
			a.violate("paid %016x is set up at %s after an attempt at %s that may have run", id, node, earlier.node)
		}
		if earlier.endedAt.IsZero() && !late && !a.readsLate(earlier.node) {
			time.AfterFunc(overlapTolerance, func() { a.checkOverlap(id, earlier, begun) })
		}
	}
	r.attempts = append(r.attempts, begun)
}

// checkOverlap checks that one of two attempts has ended. It may be the later one: a node reads a set-up from a connection that the front
// end has closed meanwhile, and gives it up at the end of that connection.
func (a *Audit) checkOverlap(id uint64, earlier, later *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if earlier.endedAt.IsZero() && later.endedAt.IsZero() && !a.readsLate(earlier.node) {
		a.violate("%016x is set up at %s while its set-up at %s is out", id, later.node, earlier.node)
	}
}

// lastAttempt returns the latest attempt at a node that has not ended, or nil.
func (r *record) lastAttempt(node string) *attempt {
	for _, t := range slices.Backward(r.attempts) {
		if t.node == node && t.endedAt.IsZero() {
			return t
		}
	}
	return nil
}

func (a *Audit) attemptEnded(id uint64, node string) {
	a.update(id, func(r *record) {
		if t := r.lastAttempt(node); t != nil {
			t.endedAt = time.Now()
		}
	})
}

func (a *Audit) attemptRefused(id uint64, node string, neverRan bool) {
	a.update(id, func(r *record) {
		if t := r.lastAttempt(node); t != nil {
			t.neverRan = neverRan
		}
	})
}

func (a *Audit) stands(id uint64, node, description string) {
	a.update(id, func(r *record) { r.standings = append(r.standings, &standing{node: node, description: description}) })
}

// updateStanding changes a session's stay at a node, if there is one.
func (a *Audit) updateStanding(id uint64, node string, f func(s *standing)) {
	a.update(id, func(r *record) {
		if s := r.standingAt(node); s != nil {
			f(s)
		}
	})
}

func (a *Audit) sessionEnded(id uint64, node string, cut bool) {
	a.updateStanding(id, node, func(s *standing) {
		if s.endedAt.IsZero() {
			s.endedAt, s.cut = time.Now(), cut
		}
	})
}

func (a *Audit) releaseWritten(id uint64, node string) {
	a.updateStanding(id, node, func(s *standing) {
		if s.releaseWritten.IsZero() {
			s.releaseWritten = time.Now()
		}
	})
}

func (a *Audit) releasedByFront(id uint64, node string) {
	a.updateStanding(id, node, func(s *standing) {
		if s.releasedByFront.IsZero() {
			s.releasedByFront = time.Now()
		}
	})
}

// Stats are counts of what an audited run had in it.
type Stats struct{ Sessions, Served, Refused, Failed, Released, CutSessions int }

// Finish checks every session and returns all violations of the run.
func (a *Audit) Finish() (violations []string, stats Stats) {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]*record, 0, len(a.records))
	for _, r := range a.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(x, y *record) int { return cmp.Compare(x.ID, y.ID) })
	now := time.Now()
	for _, r := range all {
		stats.add(r)
		if r.voided {
			continue
		}
		if !r.handed {
			a.checkAnswer(now, r)
		}
		if r.handed || len(r.answers) > 0 && r.answers[0].status == 200 {
			a.checkRelease(now, r)
		}
	}
	return slices.Clone(a.violations), stats
}

func (s *Stats) add(r *record) {
	s.Sessions++
	if !r.releasedAt.IsZero() {
		s.Released++
	}
	if stay := r.watched(); stay != nil && stay.cut {
		s.CutSessions++
	}
	if len(r.answers) == 0 {
		return
	}
	switch r.answers[0].status {
	case 200:
		s.Served++
	case 453, 454, 503:
		s.Refused++
	default:
		s.Failed++
	}
}

func (a *Audit) checkAnswer(now time.Time, r *record) {
	due := r.sentAt.Add(r.expires + answerLate)
	switch {
	case len(r.answers) > 1:
		a.violate("%016x has %d answers", r.ID, len(r.answers))
	case len(r.answers) == 1 && r.answers[0].at.After(due) && r.goneAt.IsZero():
		a.violate("%016x is answered %v after its time", r.ID, r.answers[0].at.Sub(r.sentAt.Add(r.expires)))
	case len(r.answers) == 0 && r.goneAt.IsZero() && now.After(due):
		a.violate("%016x of class %s has no answer; it was sent %v before the check, connection lost %v later", r.ID, r.class, now.Sub(r.sentAt), r.connLostAt.Sub(r.sentAt))
	}
	if len(r.answers) == 0 {
		return
	}
	first := r.answers[0]
	if first.status == 200 && r.watched() == nil {
		a.violate("%016x is served with what no node made for it: %.40q", r.ID, first.body)
	}
	mayHaveRun := slices.ContainsFunc(r.attempts, func(t *attempt) bool { return !t.neverRan })
	if refused := first.status == 453 || first.status == 454 || first.status == 503; refused && r.paid && mayHaveRun {
		a.violate("paid %016x is refused with %d after an attempt that may have run", r.ID, first.status)
	}
}

func (a *Audit) checkRelease(now time.Time, r *record) {
	stay := r.watched()
	if stay == nil || !r.leftAt.IsZero() || !r.goneAt.IsZero() || r.moved || r.unreachable {
		return
	}
	over, limit, by := stay.releaseWritten, releaseLimit, "its node released it"
	switch {
	case !stay.releasedByFront.IsZero() && (over.IsZero() || stay.releasedByFront.Before(over)):
		over, by = stay.releasedByFront, "the front end released it at its node"
	case over.IsZero():
		over, limit, by = stay.endedAt, cutReleaseLimit, "it was cut"
	}
	switch {
	case over.IsZero():
	case r.releasedAt.IsZero() && now.Sub(over) > limit:
		a.violate("session %016x of class %s at %s has no release %v after %s", r.ID, r.class, stay.node, now.Sub(over), by)
	case r.releasedAt.Sub(over) > limit:
		a.violate("session %016x of class %s at %s is released %v after %s", r.ID, r.class, stay.node, r.releasedAt.Sub(over), by)
	}
}
