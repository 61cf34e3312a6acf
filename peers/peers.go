// Package peers exchanges short messages between front ends, one UDP datagram each, authenticated with a shared
// secret. A message may be lost; nothing is retransmitted.
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
	maxMessageBytes = 256 // size limit of a message's payload
	headerBytes     = 4   // the numbers of the sending and the receiving front, two bytes each
	macBytes        = 16  // size of the MAC over header and payload
)

// Conn is one front's socket for messages. Its methods are safe for concurrent use.
type Conn struct {
	number    int
	secret    []byte
	socket    *net.UDPConn
	addresses []*net.UDPAddr
	handle    func(from int, bytes []byte)
	log       zerolog.Logger

	sent, received, dropped atomic.Uint64
}

// Listen opens the socket of the front with the given number. addresses are those of all fronts, by number; the
// front's own entry is not used and may differ from address. Run calls handle for each message with a copy of the
// payload; handle must not block. Listen fails if an address can't be resolved or the socket can't be opened.
func Listen(address string, number int, addresses []string, secret []byte, handle func(from int, bytes []byte), log zerolog.Logger) (*Conn, error) {
	c := &Conn{number: number, secret: secret, handle: handle, log: log}
	for i, f := range addresses {
		a, err := net.ResolveUDPAddr("udp", f)
		if err != nil {
			return nil, fmt.Errorf("resolving the address of front %d: %w", i, err)
		}
		c.addresses = append(c.addresses, a)
	}
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolving the address for messages of other fronts: %w", err)
	}
	if c.socket, err = net.ListenUDP("udp", a); err != nil {
		return nil, fmt.Errorf("listening for messages of other fronts: %w", err)
	}
	return c, nil
}

// Addr returns the address that the socket listens on.
func (c *Conn) Addr() string { return c.socket.LocalAddr().String() }

// Counts returns the numbers of messages sent, received, and dropped because they failed authentication, were
// addressed to another front or came from an unknown one.
func (c *Conn) Counts() (sent, received, dropped uint64) {
	return c.sent.Load(), c.received.Load(), c.dropped.Load()
}

// Send sends a message, or drops it if the receiver is unknown, the payload is too long or the write fails. It does not
// retain payload.
func (c *Conn) Send(to int, payload []byte) {
	if to < 0 || to >= len(c.addresses) || len(payload) > maxMessageBytes {
		return
	}
	if _, err := c.socket.WriteToUDP(seal(c.secret, c.number, to, payload), c.addresses[to]); err != nil {
		c.log.Debug().Err(err).Int("to", to).Msg("sending a message to another front failed")
		return
	}
	c.sent.Add(1)
}

// Run receives messages until the context ends, then closes the socket.
func (c *Conn) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	buf := make([]byte, headerBytes+maxMessageBytes+macBytes+1)
	for {
		n, _, err := c.socket.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // an error of one datagram, such as an ICMP port unreachable
			c.log.Debug().Err(err).Msg("receiving a message from another front failed")
			continue
		}
		from, payload, ok := open(c.secret, c.number, buf[:n])
		if !ok || from >= len(c.addresses) {
			c.dropped.Add(1)
			continue
		}
		c.received.Add(1)
		c.handle(from, payload)
	}
}

// Close closes the socket; Run then returns.
func (c *Conn) Close() { c.socket.Close() }

// seal returns a datagram with the header, the payload and the MAC.
func seal(secret []byte, from, to int, payload []byte) []byte {
	out := make([]byte, 0, headerBytes+len(payload)+macBytes)
	out = binary.BigEndian.AppendUint16(out, uint16(from))
	out = binary.BigEndian.AppendUint16(out, uint16(to))
	out = append(out, payload...)
	return append(out, messageMAC(secret, out)...)
}

// open returns the sender and a copy of the payload of a datagram, if it is addressed to this front and its MAC is valid.
func open(secret []byte, to int, datagram []byte) (from int, payload []byte, ok bool) {
	end := len(datagram) - macBytes
	if end < headerBytes || end > headerBytes+maxMessageBytes || int(binary.BigEndian.Uint16(datagram[2:])) != to || !hmac.Equal(messageMAC(secret, datagram[:end]), datagram[end:]) {
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint16(datagram)), append([]byte(nil), datagram[headerBytes:end]...), true
}

func messageMAC(secret, data []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}
