package shutdown

import (
	"testing"

	"gullrail/decision"
)

const now = 1_000_000

func TestOnlySetUpsThatAreOutAreWaitedFor(t *testing.T) {
	end := int64(now + 5*decision.Second)
	for _, c := range []struct {
		name string
		r    Request
		want Verdict
	}{
		{"waits for a turn", Request{Deadline: end}, Decline},
		{"paid, waits for a turn, never out", Request{Deadline: end, Paid: true}, Decline},
		{"paid, may have run before", Request{Deadline: end, Paid: true, MayHaveRun: true}, Fail},
		{"safe, may have run before", Request{Deadline: end, MayHaveRun: true}, Decline},
		{"out", Request{Deadline: end, InFlight: true}, Wait},
		{"paid and out", Request{Deadline: end, Paid: true, InFlight: true}, Wait},
		{"paid and out, its client about to leave", Request{Deadline: now + atOnce - 1, Paid: true, InFlight: true}, Fail},
		{"out, its client about to leave", Request{Deadline: now + atOnce - 1, InFlight: true}, Decline},
	} {
		if got := Decide(now, end, c.r); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := Decide(end-lastWord, end, Request{Deadline: end + 1, Paid: true, InFlight: true}); got != Fail {
		t.Errorf("at the deadline: %v", got)
	}
	if Expired(Request{InFlight: true}) != Decline || Expired(Request{InFlight: true, Paid: true}) != Fail || Expired(Request{Paid: true}) != Decline {
		t.Error("a paid one that is out may have run, and nothing else")
	}
}

func TestPlaysAreLetGoOneByOneTheLeastImportantFirst(t *testing.T) {
	plays := []Play{{2, 1}, {1, 2}, {1, 3}, {3, 4}}
	order, at := Release(now, now+10*decision.Second, plays)
	for i, want := range []int{1, 2, 0, 3} {
		if order[i] != want || at[i] != now+int64(i)*pace {
			t.Fatalf("order %v at %v", order, at)
		}
	}
	many := make([]Play, 1000)
	if _, at := Release(now, now+decision.Second, many); at[999] > Deadline(now+decision.Second) || at[999]-at[0] < decision.Second/2 {
		t.Fatalf("the last goes at %d", at[999]-now)
	}
	if order, _ := Release(now, now, nil); len(order) != 0 {
		t.Fatal("nothing plays")
	}
}
