package peers

import (
	"bytes"
	"context"
	"testing"

	"github.com/rs/zerolog"
)

var secret = bytes.Repeat([]byte{3}, 32)

type receivedMessage struct {
	from    int
	payload []byte
}

func newPair(t *testing.T) (sender, receiver *Conn, received chan receivedMessage) {
	t.Helper()
	received = make(chan receivedMessage, 16)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	start := func(number int, addresses []string) *Conn {
		c, err := Listen("127.0.0.1:0", number, addresses, secret, func(from int, payload []byte) { received <- receivedMessage{from, payload} }, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go func() { done <- c.Run(ctx) }()
		return c
	}
	receiver = start(1, []string{"127.0.0.1:1", "127.0.0.1:1"})
	sender = start(0, []string{"127.0.0.1:1", receiver.Addr()})
	t.Cleanup(func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	return sender, receiver, received
}

func TestSendDeliversPayloadAndSender(t *testing.T) {
	sender, _, received := newPair(t)
	text := []byte("figures")
	sender.Send(1, text)
	text[0] = 'x' // Send must not retain the caller's slice
	if m := <-received; m.from != 0 || string(m.payload) != "figures" {
		t.Fatalf("received %+v", m)
	}
	sender.Send(7, text) // no front has this number
	sender.Send(1, make([]byte, maxMessageBytes+1))
	sender.Send(1, []byte("last"))
	if m := <-received; string(m.payload) != "last" {
		t.Fatalf("received %q", m.payload)
	}
}

func TestOpenRejectsUnauthenticatedDatagrams(t *testing.T) {
	good := seal(secret, 0, 1, []byte("figures"))
	if from, b, ok := open(secret, 1, good); !ok || from != 0 || string(b) != "figures" {
		t.Fatal("a valid datagram was not opened")
	}
	if _, _, ok := open(secret, 2, good); ok {
		t.Fatal("opened a datagram addressed to another front")
	}
	if _, _, ok := open(bytes.Repeat([]byte{4}, 32), 1, good); ok {
		t.Fatal("opened a datagram with another secret")
	}
	for i := range good {
		bad := bytes.Clone(good)
		bad[i] ^= 1
		if _, _, ok := open(secret, 1, bad); ok {
			t.Fatalf("opened a datagram with byte %d changed", i)
		}
		if _, _, ok := open(secret, 1, good[:i]); ok {
			t.Fatalf("opened a datagram truncated to %d bytes", i)
		}
	}
}

func FuzzOpen(f *testing.F) {
	f.Add(seal(secret, 0, 1, []byte("figures")))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if from, b, ok := open(secret, 1, datagram); ok && !bytes.Equal(seal(secret, from, 1, b), datagram) {
			t.Fatalf("opened an invalid datagram: %x", datagram)
		}
	})
}
