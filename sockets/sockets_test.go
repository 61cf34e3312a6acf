package sockets

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gullrail/decision"
)

const now = 1_000_000

// The box against a naive model: a list of all that was ever put, and what the viewer has.
func TestBoxGivesInOrderOnceAndTellsWhatIsLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.Uint64Range(0, 50).Draw(t, "from")
		b := NewOutboxAt(from)
		put, have, told := 0, from, 0
		answered, ended, sawEnd := false, false, false
		read := func(m Message) { // the viewer reads one, and has it
			if m.Cursor <= have || uint64(m.Value.(int)) != m.Cursor-from {
				t.Fatalf("%+v after %d", m, have)
			}
			if gap := int(m.Cursor-have) - 1; gap != m.Omitted {
				t.Fatalf("%d left out, %d told", gap, m.Omitted)
			}
			told += 1 + m.Omitted
			sawEnd = sawEnd || m.Kind == End
			have = m.Cursor
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "do") {
			case 0, 1, 2, 3, 4, 5:
				if ended {
					break
				}
				k := Rung
				if !answered {
					k, answered = Answer, true
				} else if rapid.IntRange(0, 30).Draw(t, "end") == 0 {
					k, ended = End, true
				}
				put++
				if c := b.Put(k, put); c != from+uint64(put) {
					t.Fatalf("cursor %d for message %d", c, put)
				}
			case 6, 7:
				m, ok := b.Next(have)
				if !ok {
					if have != from+uint64(put) {
						t.Fatalf("nothing after %d of %d", have, put)
					}
					break
				}
				read(m)
				b.Ack(have)
			case 8, 9: // words that do not hold
				b.Ack(have + uint64(put) + 100)
				b.Ack(rapid.Uint64Range(0, have).Draw(t, "old"))
			}
			if b.Len() > MaxOutbox || b.Acked() != have {
				t.Fatalf("%d kept, acknowledged %d of %d", b.Len(), b.Acked(), have)
			}
		}
		for m, ok := b.Next(have); ok; m, ok = b.Next(have) {
			read(m)
		}
		if told != put {
			t.Fatalf("%d of %d given or told as left out", told, put)
		}
		if sawEnd != ended {
			t.Fatalf("the end was put: %v, read: %v", ended, sawEnd)
		}
	})
}

func TestDoorSpreadsAHerd(t *testing.T) {
	d := NewAdmission(now, 100_000, 1)
	in, slots := 0, map[int64]int{}
	var backs []int64
	const herd = 6000
	for range herd {
		r, back := d.Admit(now, "v", in)
		if r == Admitted {
			in++
			continue
		}
		if r != RateLimited || back < MinRetryAfter || back > paceAhead+MinRetryAfter {
			t.Fatalf("%v, %d", r, back)
		}
		slots[back/decision.Second]++
		backs = append(backs, back)
	}
	if in != paceBurst {
		t.Fatalf("%d let in at once", in)
	}
	for s, n := range slots {
		if n > 1.1*paceRate {
			t.Errorf("%d are told to come in second %d", n, s)
		}
	}
	// Those who heed it are let in.
	refused := 0
	slices.Sort(backs)
	for _, back := range backs {
		if r, _ := d.Admit(now+back, "v", in); r != Admitted {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d came as told and were turned away again", refused)
	}
	if r, back := d.Admit(now, "v", 100_000); r != Full || back < MinRetryAfter {
		t.Errorf("full: %v %d", r, back)
	}
}

func TestBarredForAWhile(t *testing.T) {
	d := NewAdmission(now, 10, 1)
	d.Ban(now, "bad")
	if r, back := d.Admit(now+1, "bad", 0); r != Banned || back != barredFor-1 {
		t.Fatalf("%v %d", r, back)
	}
	if r, _ := d.Admit(now+1, "good", 0); r != Admitted {
		t.Fatal(r)
	}
	if r, _ := d.Admit(now+barredFor, "bad", 0); r != Admitted {
		t.Fatal("kept out for ever")
	}
	for i := range 3 * barredMost {
		d.Ban(now, string(rune('a'+i%20))+string(rune(i)))
	}
	if d.barred.Len() > barredMost {
		t.Fatal("a table that grows with every name")
	}
}

func TestShedding(t *testing.T) {
	all := []SocketState{
		{Importance: 3, Playing: true, Since: 1},
		{Importance: 1, Playing: true, Since: 2},
		{Since: 5},
		{Since: 3},
		{Importance: 3, Playing: true, Since: 4, WriteDelay: slowPenalty},
	}
	left := append([]SocketState{}, all...)
	var order []int64
	for len(left) > 0 {
		gone := Shed(now, left, 3)
		if len(gone) == 0 {
			break
		}
		if len(gone) != 1 {
			t.Fatalf("%d at once of %d", len(gone), len(left))
		}
		order = append(order, left[gone[0]].Since)
		left = append(left[:gone[0]], left[gone[0]+1:]...)
	}
	// The slow reader, the idle ones by age, then what matters less than the newcomer; never what matters as much.
	want := []int64{4, 3, 5, 2}
	if len(order) != len(want) {
		t.Fatalf("%v", order)
	}
	for i := range want {
		if order[i] != want[i] {
			t.Fatalf("%v, want %v", order, want)
		}
	}
	if gone := Shed(now, all[:2], 0); len(gone) != 0 {
		t.Fatal("one that plays went for one that plays nothing")
	}
	if gone := Shed(now, make([]SocketState, 640), 0); len(gone) != 10 {
		t.Fatalf("%d of 640", len(gone))
	}
}

func TestFates(t *testing.T) {
	const broke = now
	limit := int64(broke + 2*decision.Second)
	for _, c := range []struct {
		at                   int64
		answered, plays, has bool
		want                 Disposition
	}{
		{limit - 1, false, false, false, Keep},
		{limit, false, false, false, Withdraw},
		{limit - 1, true, true, false, Keep},
		{limit, true, true, false, Abandon}, // told nothing: its seat is free at its limit
		{limit, true, true, true, Keep},     // it plays and its viewer knows
		{broke + ReconnectGrace - 1, true, true, true, Keep},
		{broke + ReconnectGrace, true, true, true, Forget},
		{broke + ReconnectGrace - 1, true, false, false, Keep}, // a refusal waits to be fetched
		{broke + ReconnectGrace, true, false, false, Forget},
	} {
		got, again := AfterDisconnect(c.at, limit, broke, c.answered, c.plays, c.has)
		if got != c.want || got == Keep && again <= c.at {
			t.Errorf("%+v: %d, again at %d", c, got, again)
		}
	}
}

func TestConduct(t *testing.T) {
	c := NewBehavior(now)
	taken, ignored := 0, 0
	for {
		w := c.Message(now)
		if w == Disconnect {
			break
		}
		if w == Accept {
			taken++
		} else {
			ignored++
		}
	}
	if taken != sayBurst || ignored != warnings {
		t.Fatalf("%d taken, %d told off", taken, ignored)
	}
	c = NewBehavior(now)
	for i := range 600 { // a report each second and an ack each two for ten minutes
		if c.Message(now+int64(i)*decision.Second) != Accept || i%2 == 0 && c.Message(now+int64(i)*decision.Second) != Accept {
			t.Fatal("a player that behaves was told off")
		}
	}
	for i, want := range []Response{Ignore, Ignore, Disconnect} {
		if got := c.Malformed(); got != want {
			t.Fatalf("malformed message %d: got %v, want %v", i+1, got, want)
		}
	}
	for i := range claimsMost {
		if c.NotDelivered(now+int64(i)) != Accept {
			t.Fatal("a broken node")
		}
	}
	if c.NotDelivered(now+claimsOver-1) != Ignore || c.NotDelivered(now+claimsOver) != Accept {
		t.Fatal("claims are counted over a time")
	}
}
