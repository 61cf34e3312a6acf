// Package peers carries short messages between front ends: one UDP datagram each, told apart and vouched for
// by a shared secret. Any of them may be lost; nothing here is sent again.
package peers

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"
)

const (
	most    = 256 // bytes of a message
	head    = 4   // the sender's number and the receiver's, two bytes each
	sumSize = 16  // bytes of the sum over head and message
)

// Conn is one front's socket for messages. Its methods may be called by several goroutines.
type Conn struct {
	number int
	secret []byte
	sock   *net.UDPConn
	fronts []*net.UDPAddr
	hear   func(from int, bytes []byte)
	log    zerolog.Logger

	sent, heard, dropped atomic.Uint64
}

// Listen opens the socket of the front of that number. Fronts are the addresses of all, by number; an own
// one that differs is of no account. Hear is called by Run for each message, with bytes of its own, and must
// not block. The errors are of addresses that can't be read and sockets that can't be opened.
func Listen(address string, number int, fronts []string, secret []byte, hear func(from int, bytes []byte), log zerolog.Logger) (*Conn, error) {
	c := &Conn{number: number, secret: secret, hear: hear, log: log}
	for i, f := range fronts {
		a, err := net.ResolveUDPAddr("udp", f)
		if err != nil {
			return nil, fmt.Errorf("messages to front %d: %w", i, err)
		}
		c.fronts = append(c.fronts, a)
	}
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("messages of other fronts: %w", err)
	}
	if c.sock, err = net.ListenUDP("udp", a); err != nil {
		return nil, fmt.Errorf("messages of other fronts: %w", err)
	}
	return c, nil
}

// Addr is where messages reach this front.
func (c *Conn) Addr() string { return c.sock.LocalAddr().String() }

// Counts are the messages sent, heard, and dropped as not vouched for.
func (c *Conn) Counts() (sent, heard, dropped uint64) {
	return c.sent.Load(), c.heard.Load(), c.dropped.Load()
}

// Send sends a message, or drops it. It keeps no hold of the bytes.
func (c *Conn) Send(to int, bytes []byte) {
	if to < 0 || to >= len(c.fronts) || len(bytes) > most {
		return
	}
	if _, err := c.sock.WriteToUDP(seal(c.secret, c.number, to, bytes), c.fronts[to]); err != nil {
		c.log.Debug().Err(err).Int("to", to).Msg("message not sent")
		return
	}
	c.sent.Add(1)
}

// Run brings messages until the context ends, then closes the socket.
func (c *Conn) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	buf := make([]byte, head+most+sumSize+1)
	for {
		n, _, err := c.sock.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // of one datagram, such as a port that is not there
			c.log.Debug().Err(err).Msg("message not heard")
			continue
		}
		from, bytes, ok := open(c.secret, c.number, buf[:n])
		if !ok || from >= len(c.fronts) {
			c.dropped.Add(1)
			continue
		}
		c.heard.Add(1)
		c.hear(from, bytes)
	}
}

// Close closes the socket; Run then returns.
func (c *Conn) Close() { c.sock.Close() }

// seal puts numbers before a message and a sum behind it.
func seal(secret []byte, from, to int, bytes []byte) []byte {
	out := make([]byte, 0, head+len(bytes)+sumSize)
	out = binary.BigEndian.AppendUint16(out, uint16(from))
	out = binary.BigEndian.AppendUint16(out, uint16(to))
	out = append(out, bytes...)
	return append(out, sum(secret, out)...)
}

// open takes a datagram apart, if it is meant for this front and vouched for. The bytes are a copy.
func open(secret []byte, to int, d []byte) (from int, bytes []byte, ok bool) {
	end := len(d) - sumSize
	if end < head || end > head+most || int(binary.BigEndian.Uint16(d[2:])) != to || !hmac.Equal(sum(secret, d[:end]), d[end:]) {
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint16(d)), append([]byte(nil), d[head:end]...), true
}

func sum(secret, d []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(d)
	return h.Sum(nil)[:sumSize]
}
