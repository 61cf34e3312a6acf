package recovery

import "testing"

// Every state is combined with every kind of report: a play that may run is kept or ended, and only an unknown play of
// an earlier epoch whose product is still known is adopted.
func TestReconcileAllStates(t *testing.T) {
	for s := Unknown; s <= Ended; s++ {
		for _, earlierEpoch := range []bool{false, true} {
			for _, productKnown := range []bool{false, true} {
				want := End
				switch {
				case s == Tracked:
					want = Nothing
				case s == Recorded:
					want = Confirm
				case s == Unknown && earlierEpoch && productKnown:
					want = Adopt
				}
				if got := Reconcile(s, earlierEpoch, productKnown); got != want {
					t.Errorf("state %d, earlier epoch %v, product known %v: action %d, want %d", s, earlierEpoch, productKnown, got, want)
				}
			}
		}
	}
	if MissingHasEnded(true, false) || !MissingHasEnded(true, true) || !MissingHasEnded(false, false) {
		t.Error("a missing play is over only if it was set up before the report or the report is from another process")
	}
}

func TestResolveRepeatedRequest(t *testing.T) {
	for s := Unknown; s <= Ended; s++ {
		if ResolveRequest(s, true, true) != NewPlay || ResolveRequest(s, false, false) != NewPlay {
			t.Errorf("state %d: want Fresh for a play that was answered or not recorded", s)
		}
		want := NewPlay
		if s == Tracked {
			want = Resume
		} else if s == Recorded {
			want = Wait
		}
		if got := ResolveRequest(s, false, true); got != want {
			t.Errorf("state %d, not answered: resolution %d, want %d", s, got, want)
		}
	}
	if !ReadyImmediately(true, 0) || ReadyImmediately(true, 1) || ReadyImmediately(false, 0) {
		t.Error("a front end may start immediately only with a complete play log")
	}
}
