package sockets

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gullrail/decision"
)

const now = 1_000_000

// Compares Outbox with a reference model: the number of messages put, and the last cursor that the viewer has read.
func TestOutboxDeliversInOrderAndCountsOmittedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.Uint64Range(0, 50).Draw(t, "from")
		outbox := NewOutboxAt(from)
		put, have, accounted := 0, from, 0
		answered, ended, sawEnd := false, false, false
		receive := func(m Message) { // the viewer receives one message
			if m.Cursor <= have || uint64(m.Value.(int)) != m.Cursor-from {
				t.Fatalf("received %+v after cursor %d", m, have)
			}
			if gap := int(m.Cursor-have) - 1; gap != m.Omitted {
				t.Fatalf("%d messages omitted, Omitted is %d", gap, m.Omitted)
			}
			accounted += 1 + m.Omitted
			sawEnd = sawEnd || m.Kind == End
			have = m.Cursor
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "do") {
			case 0, 1, 2, 3, 4, 5:
				if ended {
					break
				}
				k := RungChange
				if !answered {
					k, answered = Answer, true
				} else if rapid.IntRange(0, 30).Draw(t, "end") == 0 {
					k, ended = End, true
				}
				put++
				if c := outbox.Put(k, put); c != from+uint64(put) {
					t.Fatalf("cursor %d for message %d", c, put)
				}
			case 6, 7:
				m, ok := outbox.Next(have)
				if !ok {
					if have != from+uint64(put) {
						t.Fatalf("no message after cursor %d of %d", have, put)
					}
					break
				}
				receive(m)
				outbox.Ack(have)
			case 8, 9: // invalid acknowledgements: of a cursor not yet assigned, and of an old one
				outbox.Ack(have + uint64(put) + 100)
				outbox.Ack(rapid.Uint64Range(0, have).Draw(t, "old"))
			}
			if outbox.Len() > MaxOutbox || outbox.Acked() != have {
				t.Fatalf("%d messages kept, acknowledged up to %d, want %d", outbox.Len(), outbox.Acked(), have)
			}
		}
		for m, ok := outbox.Next(have); ok; m, ok = outbox.Next(have) {
			receive(m)
		}
		if accounted != put {
			t.Fatalf("%d of %d messages delivered or counted as omitted", accounted, put)
		}
		if sawEnd != ended {
			t.Fatalf("end put: %v, received: %v", ended, sawEnd)
		}
	})
}

func TestAdmissionSpreadsReconnects(t *testing.T) {
	admission := NewAdmission(now, 100_000, 1)
	admitted, perSecond := 0, map[int64]int{}
	var retryDelays []int64
	const clients = 6000
	for range clients {
		r, retryAfter := admission.Admit(now, "v", admitted)
		if r == Admitted {
			admitted++
			continue
		}
		if r != RateLimited || retryAfter < MinRetryAfter || retryAfter > maxRetryAfter+MinRetryAfter {
			t.Fatalf("got %v with retry delay %d", r, retryAfter)
		}
		perSecond[retryAfter/decision.Second]++
		retryDelays = append(retryDelays, retryAfter)
	}
	if admitted != admitBurst {
		t.Fatalf("%d sockets admitted at once", admitted)
	}
	for s, n := range perSecond {
		if n > 1.1*admitRate {
			t.Errorf("%d clients are told to retry in second %d", n, s)
		}
	}
	// Clients that follow the advice are admitted.
	refused := 0
	slices.Sort(retryDelays)
	for _, retryAfter := range retryDelays {
		if r, _ := admission.Admit(now+retryAfter, "v", admitted); r != Admitted {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d clients retried at their time and were refused again", refused)
	}
	if r, retryAfter := admission.Admit(now, "v", 100_000); r != Full || retryAfter < MinRetryAfter {
		t.Errorf("at the socket limit: got %v with retry delay %d", r, retryAfter)
	}
}

func TestBanExpires(t *testing.T) {
	admission := NewAdmission(now, 10, 1)
	admission.Ban(now, "bad")
	if r, retryAfter := admission.Admit(now+1, "bad", 0); r != Banned || retryAfter != banDuration-1 {
		t.Fatalf("got %v with retry delay %d", r, retryAfter)
	}
	if r, _ := admission.Admit(now+1, "good", 0); r != Admitted {
		t.Fatal(r)
	}
	if r, _ := admission.Admit(now+banDuration, "bad", 0); r != Admitted {
		t.Fatal("still refused after banDuration")
	}
	for i := range 3 * maxBans {
		admission.Ban(now, string(rune('a'+i%20))+string(rune(i)))
	}
	if admission.bans.Len() > maxBans {
		t.Fatal("more than maxBans bans are kept")
	}
}

func TestShedOrder(t *testing.T) {
	states := []SocketState{
		{Importance: 3, Playing: true, Since: 1},
		{Importance: 1, Playing: true, Since: 2},
		{Since: 5},
		{Since: 3},
		{Importance: 3, Playing: true, Since: 4, WriteDelay: slowReaderDelay},
	}
	left := append([]SocketState{}, states...)
	var order []int64
	for len(left) > 0 {
		closed := Shed(now, left, 3)
		if len(closed) == 0 {
			break
		}
		if len(closed) != 1 {
			t.Fatalf("%d of %d sockets closed at once", len(closed), len(left))
		}
		order = append(order, left[closed[0]].Since)
		left = append(left[:closed[0]], left[closed[0]+1:]...)
	}
	// The slow reader, the idle ones by age, then the play less important than the newcomer; never one as important.
	want := []int64{4, 3, 5, 2}
	if len(order) != len(want) {
		t.Fatalf("closed %v", order)
	}
	for i := range want {
		if order[i] != want[i] {
			t.Fatalf("closed %v, want %v", order, want)
		}
	}
	if closed := Shed(now, states[:2], 0); len(closed) != 0 {
		t.Fatal("a playing socket was closed for one without a play")
	}
	if closed := Shed(now, make([]SocketState, 640), 0); len(closed) != 10 {
		t.Fatalf("%d of 640 sockets closed, want 10", len(closed))
	}
}

func TestAfterDisconnect(t *testing.T) {
	const disconnectedAt = now
	deadline := int64(disconnectedAt + 2*decision.Second)
	for _, c := range []struct {
		at                       int64
		answered, playing, acked bool
		want                     Disposition
	}{
		{deadline - 1, false, false, false, Keep},
		{deadline, false, false, false, Withdraw},
		{deadline - 1, true, true, false, Keep},
		{deadline, true, true, false, Abandon}, // the viewer was not told: the stream is freed at the deadline
		{deadline, true, true, true, Keep},     // it plays and its viewer acknowledged it
		{disconnectedAt + ReconnectGrace - 1, true, true, true, Keep},
		{disconnectedAt + ReconnectGrace, true, true, true, Forget},
		{disconnectedAt + ReconnectGrace - 1, true, false, false, Keep}, // a refusal is kept to be fetched
		{disconnectedAt + ReconnectGrace, true, false, false, Forget},
	} {
		got, decideAgain := AfterDisconnect(c.at, deadline, disconnectedAt, c.answered, c.playing, c.acked)
		if got != c.want || got == Keep && decideAgain <= c.at {
			t.Errorf("%+v: got %d, decide again at %d", c, got, decideAgain)
		}
	}
}

func TestMessageLimiter(t *testing.T) {
	limiter := NewMessageLimiter(now)
	accepted, ignored := 0, 0
	for {
		action := limiter.Message(now)
		if action == Disconnect {
			break
		}
		if action == Accept {
			accepted++
		} else {
			ignored++
		}
	}
	if accepted != messageBurst || ignored != maxWarnings {
		t.Fatalf("%d messages accepted, %d ignored", accepted, ignored)
	}
	limiter = NewMessageLimiter(now)
	for i := range 600 { // a report each second and an acknowledgement every two seconds, for ten minutes
		if limiter.Message(now+int64(i)*decision.Second) != Accept || i%2 == 0 && limiter.Message(now+int64(i)*decision.Second) != Accept {
			t.Fatal("a message within the rate was not accepted")
		}
	}
	for i, want := range []Action{Ignore, Ignore, Disconnect} {
		if got := limiter.Malformed(); got != want {
			t.Fatalf("malformed message %d: got %v, want %v", i+1, got, want)
		}
	}
	for i := range maxDeliveryClaims {
		if limiter.NotDelivered(now+int64(i)) != Accept {
			t.Fatal("a report of a broken node was not accepted")
		}
	}
	if limiter.NotDelivered(now+deliveryClaimWindow-1) != Ignore || limiter.NotDelivered(now+deliveryClaimWindow) != Accept {
		t.Fatal("reports of broken nodes are not limited per deliveryClaimWindow")
	}
}
