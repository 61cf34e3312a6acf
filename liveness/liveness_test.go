package liveness

import (
	"testing"

	"gullrail/decision"
)

const now = 1_000_000

func TestSilenceBreaksAStreamAndOnlyTheLeaseEndsItsPlays(t *testing.T) {
	w := New(now, 1)
	w.StreamOpened(now, 3)
	if w.Silent(now+SilenceTimeout, 3) || !w.Silent(now+SilenceTimeout+1, 3) {
		t.Fatal("silence is three beats")
	}
	at, ended := w.StreamBroke(now+SilenceTimeout+1, 3, false)
	if ended || at <= now+SilenceTimeout || at > now+SilenceTimeout+1+retryLeast {
		t.Fatalf("dial at %d, ended %v", at, ended)
	}
	if w.LeaseExpired(now+Lease+margin-1, 3) {
		t.Fatal("plays given up while the node may still run them")
	}
	if !w.LeaseExpired(now+Lease+margin, 3) || w.LeaseExpired(now+Lease+margin+1, 3) {
		t.Fatal("given up once, when the lease has passed")
	}
}

func TestRefusedConnectionEndsPlaysOnce(t *testing.T) {
	w := New(now, 1)
	w.StreamOpened(now, 0)
	if _, ended := w.StreamBroke(now, 0, true); !ended {
		t.Fatal("nobody is there to run them")
	}
	if _, ended := w.StreamBroke(now+1, 0, true); ended || w.LeaseExpired(now+Lease+margin, 0) {
		t.Fatal("told twice")
	}
	w.StreamOpened(now+decision.Second, 0)
	if _, ended := w.StreamBroke(now+2*decision.Second, 0, true); !ended {
		t.Fatal("a new life ends too")
	}
}

func TestPausesDoubleAndDiffer(t *testing.T) {
	w := New(now, 1)
	seen := map[int64]bool{}
	for node := range 20 {
		at, _ := w.StreamBroke(now, node, false)
		seen[at] = true
	}
	if len(seen) < 15 {
		t.Fatalf("%d different pauses of 20", len(seen))
	}
	last := int64(0)
	for range 12 {
		last, _ = w.StreamBroke(now, 0, false)
	}
	if last < now+retryMost/2 || last > now+retryMost {
		t.Fatalf("the longest pause is %d", last-now)
	}
}

func TestReadyOnceAllAreMetOrTheLeaseHasPassed(t *testing.T) {
	w := New(now, 1)
	if w.Ready(now+startMost-1, nil) {
		t.Fatal("ready without a list")
	}
	w.StreamOpened(now, 0)
	w.StreamBroke(now, 1, false)
	if w.Ready(now+decision.Second, []int{0, 1}) {
		t.Fatal("node 1 may hold plays of an earlier life")
	}
	w.StreamBroke(now, 1, true)
	if !w.Ready(now+decision.Second, []int{0, 1}) || !w.Ready(now+decision.Second, []int{0, 1, 2}) {
		t.Fatal("all met, and ready stays")
	}
	if w = New(now, 1); !w.Ready(now+startMost, []int{5}) {
		t.Fatal("the lease has passed")
	}
}

func TestFirstDialsAreSpread(t *testing.T) {
	w := New(now, 1)
	last := int64(0)
	for range 300 {
		at := w.FirstDial(now, 300)
		if at < now || at >= now+300*firstEach {
			t.Fatalf("dial after %d", at-now)
		}
		last = max(last, at)
	}
	if last < now+250*firstEach || w.FirstDial(now, 1) > now+firstEach {
		t.Fatalf("the last is dialled after %d", last-now)
	}
}
