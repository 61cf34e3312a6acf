package peers

import (
	"bytes"
	"context"
	"testing"

	"github.com/rs/zerolog"
)

var secret = bytes.Repeat([]byte{3}, 32)

type message struct {
	from  int
	bytes []byte
}

func pair(t *testing.T) (a, b *Conn, heard chan message) {
	t.Helper()
	heard = make(chan message, 16)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	start := func(number int, fronts []string) *Conn {
		c, err := Listen("127.0.0.1:0", number, fronts, secret, func(from int, b []byte) { heard <- message{from, b} }, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go func() { done <- c.Run(ctx) }()
		return c
	}
	b = start(1, []string{"127.0.0.1:1", "127.0.0.1:1"})
	a = start(0, []string{"127.0.0.1:1", b.Addr()})
	t.Cleanup(func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	return a, b, heard
}

func TestMessageArrivesWithItsSender(t *testing.T) {
	a, _, heard := pair(t)
	text := []byte("figures")
	a.Send(1, text)
	text[0] = 'x' // the sender keeps its bytes
	if m := <-heard; m.from != 0 || string(m.bytes) != "figures" {
		t.Fatalf("got %+v", m)
	}
	a.Send(7, text) // nobody has that number
	a.Send(1, make([]byte, most+1))
	a.Send(1, []byte("last"))
	if m := <-heard; string(m.bytes) != "last" {
		t.Fatalf("got %q", m.bytes)
	}
}

func TestOnlyWhatIsVouchedForIsHeard(t *testing.T) {
	good := seal(secret, 0, 1, []byte("figures"))
	if from, b, ok := open(secret, 1, good); !ok || from != 0 || string(b) != "figures" {
		t.Fatal("a good one was not opened")
	}
	if _, _, ok := open(secret, 2, good); ok {
		t.Fatal("opened one that is meant for another front")
	}
	if _, _, ok := open(bytes.Repeat([]byte{4}, 32), 1, good); ok {
		t.Fatal("opened with another secret")
	}
	for i := range good {
		bad := bytes.Clone(good)
		bad[i] ^= 1
		if _, _, ok := open(secret, 1, bad); ok {
			t.Fatalf("opened with byte %d changed", i)
		}
		if _, _, ok := open(secret, 1, good[:i]); ok {
			t.Fatalf("opened the first %d bytes", i)
		}
	}
}

func FuzzOpen(f *testing.F) {
	f.Add(seal(secret, 0, 1, []byte("figures")))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, d []byte) {
		if from, b, ok := open(secret, 1, d); ok && !bytes.Equal(seal(secret, from, 1, b), d) {
			t.Fatalf("opened %x", d)
		}
	})
}
