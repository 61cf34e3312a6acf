package shutdown

import (
	"testing"

	"gullrail/decision"
)

const now = 1_000_000

func TestDecideWaitsOnlyForSetUpsInFlight(t *testing.T) {
	end := int64(now + 5*decision.Second)
	for _, c := range []struct {
		name string
		r    Request
		want Verdict
	}{
		{"not sent", Request{Deadline: end}, Decline},
		{"paid, never sent", Request{Deadline: end, Paid: true}, Decline},
		{"paid, earlier attempt may have run", Request{Deadline: end, Paid: true, MayHaveRun: true}, Fail},
		{"not paid, earlier attempt may have run", Request{Deadline: end, MayHaveRun: true}, Decline},
		{"in flight", Request{Deadline: end, InFlight: true}, Wait},
		{"paid, in flight", Request{Deadline: end, Paid: true, InFlight: true}, Wait},
		{"paid, in flight, client deadline near", Request{Deadline: now + minWait - 1, Paid: true, InFlight: true}, Fail},
		{"in flight, client deadline near", Request{Deadline: now + minWait - 1, InFlight: true}, Decline},
	} {
		if got := Decide(now, end, c.r); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := Decide(end-answerReserve, end, Request{Deadline: end + 1, Paid: true, InFlight: true}); got != Fail {
		t.Errorf("paid, in flight, at the deadline: %v, want Fail", got)
	}
	if Expired(Request{InFlight: true}) != Decline || Expired(Request{InFlight: true, Paid: true}) != Fail || Expired(Request{Paid: true}) != Decline {
		t.Error("want Expired to fail only the paid request in flight")
	}
}

func TestReleaseSpacesPlaysByImportance(t *testing.T) {
	plays := []Play{{2, 1}, {1, 2}, {1, 3}, {3, 4}}
	order, times := ReleaseSchedule(now, now+10*decision.Second, plays)
	for i, want := range []int{1, 2, 0, 3} {
		if order[i] != want || times[i] != now+int64(i)*releaseInterval {
			t.Fatalf("order %v, times %v", order, times)
		}
	}
	many := make([]Play, 1000)
	if _, times := ReleaseSchedule(now, now+decision.Second, many); times[999] > Deadline(now+decision.Second) || times[999]-times[0] < decision.Second/2 {
		t.Fatalf("the last play ends %d after the start", times[999]-now)
	}
	if order, _ := ReleaseSchedule(now, now, nil); len(order) != 0 {
		t.Fatal("want no releases without plays")
	}
}
