package recovery

import "testing"

// Every standing with every word: what may run is held or ended, and only an unknown play of an earlier life, of
// a product still known, is taken over.
func TestEveryWordOfANode(t *testing.T) {
	for s := Unknown; s <= Ended; s++ {
		for _, older := range []bool{false, true} {
			for _, known := range []bool{false, true} {
				want := End
				switch {
				case s == Held:
					want = Nothing
				case s == Recorded:
					want = Confirm
				case s == Unknown && older && known:
					want = Adopt
				}
				if got := Reconcile(s, older, known); got != want {
					t.Errorf("standing %d, older %v, known %v: %d, want %d", s, older, known, got, want)
				}
			}
		}
	}
	if MissingIsOver(true, false) || !MissingIsOver(true, true) || !MissingIsOver(false, false) {
		t.Error("only a word that covers the play ends it, or another process's")
	}
}

func TestWhoAsksAgain(t *testing.T) {
	for s := Unknown; s <= Ended; s++ {
		if ResolveRequest(s, true, true) != Fresh || ResolveRequest(s, false, false) != Fresh {
			t.Errorf("standing %d: heard, or of no record", s)
		}
		want := Fresh
		if s == Held {
			want = Resume
		} else if s == Recorded {
			want = Wait
		}
		if got := ResolveRequest(s, false, true); got != want {
			t.Errorf("standing %d, unheard: %d, want %d", s, got, want)
		}
	}
	if !Ready(true, 0) || Ready(true, 1) || Ready(false, 0) {
		t.Error("only whole records let a front start at once")
	}
}
