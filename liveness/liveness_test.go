package liveness

import (
	"testing"

	"gullrail/decision"
)

const now = 1_000_000

func TestSilenceBreaksStreamButOnlyLeaseEndsPlays(t *testing.T) {
	m := New(now, 1)
	m.StreamOpened(now, 3)
	if m.Silent(now+SilenceTimeout, 3) || !m.Silent(now+SilenceTimeout+1, 3) {
		t.Fatal("a stream is silent after three heartbeat intervals, not before")
	}
	at, ended := m.StreamBroke(now+SilenceTimeout+1, 3, false)
	if ended || at <= now+SilenceTimeout || at > now+SilenceTimeout+1+minRetryDelay {
		t.Fatalf("next dial at %d, plays ended %v", at, ended)
	}
	if m.LeaseExpired(now+Lease+leaseMargin-1, 3) {
		t.Fatal("plays counted as ended while the node may still run them")
	}
	if !m.LeaseExpired(now+Lease+leaseMargin, 3) || m.LeaseExpired(now+Lease+leaseMargin+1, 3) {
		t.Fatal("want plays to be counted as ended exactly once, when the lease has expired")
	}
}

func TestRefusedConnectionEndsPlaysOnce(t *testing.T) {
	m := New(now, 1)
	m.StreamOpened(now, 0)
	if _, ended := m.StreamBroke(now, 0, true); !ended {
		t.Fatal("plays not counted as ended although no process is there to run them")
	}
	if _, ended := m.StreamBroke(now+1, 0, true); ended || m.LeaseExpired(now+Lease+leaseMargin, 0) {
		t.Fatal("the end of the plays was reported twice")
	}
	m.StreamOpened(now+decision.Second, 0)
	if _, ended := m.StreamBroke(now+2*decision.Second, 0, true); !ended {
		t.Fatal("plays not counted as ended when the stream broke again after it was re-established")
	}
}

func TestDialDelaysDoubleWithJitter(t *testing.T) {
	m := New(now, 1)
	seen := map[int64]bool{}
	for node := range 20 {
		at, _ := m.StreamBroke(now, node, false)
		seen[at] = true
	}
	if len(seen) < 15 {
		t.Fatalf("%d different delays of 20", len(seen))
	}
	last := int64(0)
	for range 12 {
		last, _ = m.StreamBroke(now, 0, false)
	}
	if last < now+maxRetryDelay/2 || last > now+maxRetryDelay {
		t.Fatalf("the delay after many failures is %d", last-now)
	}
}

func TestReadyOnceAllNodesReportedOrLeaseExpired(t *testing.T) {
	m := New(now, 1)
	if m.Ready(now+maxStartup-1, nil) {
		t.Fatal("ready without a node list")
	}
	m.StreamOpened(now, 0)
	m.StreamBroke(now, 1, false)
	if m.Ready(now+decision.Second, []int{0, 1}) {
		t.Fatal("ready while node 1 may run plays of an earlier run of the front end")
	}
	m.StreamBroke(now, 1, true)
	if !m.Ready(now+decision.Second, []int{0, 1}) || !m.Ready(now+decision.Second, []int{0, 1, 2}) {
		t.Fatal("want ready once all nodes are accounted for, and ready to last")
	}
	if m = New(now, 1); !m.Ready(now+maxStartup, []int{5}) {
		t.Fatal("not ready after the lease has expired")
	}
}

func TestFirstDialsAreSpread(t *testing.T) {
	m := New(now, 1)
	last := int64(0)
	for range 300 {
		at := m.FirstDial(now, 300)
		if at < now || at >= now+300*firstDialSpread {
			t.Fatalf("first dial after %d", at-now)
		}
		last = max(last, at)
	}
	if last < now+250*firstDialSpread || m.FirstDial(now, 1) > now+firstDialSpread {
		t.Fatalf("the last node is dialled after %d", last-now)
	}
}
