package relaybed

import (
	"testing"
	"time"
)

// newAuditedSession returns an audit that knows one session of the class that may be set up again.
func newAuditedSession(t *testing.T) (*Audit, uint64) {
	t.Helper()
	b := newTestBed(t, 1, steadyOutcomes, 15*time.Second)
	s := b.newSession(1, 1, 0)
	b.audit.add(s)
	b.audit.update(s.ID, func(r *record) { r.sentAt = time.Now() })
	return b.audit, s.ID
}

// Two attempts of a session are an overlap if both are out once a give-up has had time to arrive. One that a node reads late and gives up at
// the end of its connection is none.
func TestAuditTellsOverlaps(t *testing.T) {
	for name, c := range map[string]struct {
		ended string // node whose attempt ends
		want  int
	}{"both are out": {"", 1}, "the earlier ends": {"s-1", 0}, "the later ends": {"s-2", 0}} {
		t.Run(name, func(t *testing.T) {
			a, id := newAuditedSession(t)
			a.attemptBegun(id, "s-1", "briefing")
			a.attemptBegun(id, "s-2", "briefing")
			if c.ended != "" {
				a.attemptEnded(id, c.ended)
			}
			time.Sleep(2 * overlapTolerance)
			a.update(id, func(r *record) { r.goneAt = time.Now() })
			if violations, _ := a.Finish(); len(violations) != c.want {
				t.Errorf("%q, want %d", violations, c.want)
			}
		})
	}
}

// The release of an earlier stay at a node is not taken for that of a later one, and a late release of the later one is found.
func TestAuditTellsStaysAtOneNodeApart(t *testing.T) {
	for name, c := range map[string]struct {
		releasedAfter time.Duration // from the node's release to the viewer's
		want          int
	}{"in time": {releaseLimit / 2, 0}, "late": {2 * releaseLimit, 1}} {
		t.Run(name, func(t *testing.T) {
			a, id := newAuditedSession(t)
			a.stands(id, "s-1", "made")
			a.releasedByFront(id, "s-1")
			a.stands(id, "s-1", "made")
			now := time.Now()
			a.update(id, func(r *record) {
				r.answers = append(r.answers, answer{200, "made", now})
				r.standings[0].releasedByFront = now.Add(-time.Minute)
				r.standings[1].releaseWritten = now.Add(-c.releasedAfter)
				r.releasedAt = now
			})
			if violations, _ := a.Finish(); len(violations) != c.want {
				t.Errorf("%q, want %d", violations, c.want)
			}
		})
	}
}
