package relaybed

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// State is the state of a node in the list.
type State byte

// States of the command channel.
const (
	Ready State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"SERVING", "DRAINING", "DELETED"}[s] }

const keepAliveInterval = time.Second

// Entry is one record of the list.
type Entry struct {
	ID      uint32
	Address string
	State   State
	Cell    int
	Weight  int   // in thousandths
	Started int64 // Unix ms of a late start, or 0
}

func (e Entry) encode() []byte {
	address := netip.MustParseAddrPort(e.Address)
	ip := address.Addr().As4()
	b := binary.BigEndian.AppendUint32(nil, e.ID)
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, address.Port())
	b = append(b, byte(e.State), 0, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(e.Cell))
	b = binary.BigEndian.AppendUint32(b, uint32(e.Weight))
	return binary.BigEndian.AppendUint64(b, uint64(e.Started))
}

// event is a numbered change of the list; the first one holds the whole list.
type event struct {
	number  uint64
	whole   bool
	entries []Entry
}

func (e event) encode() []byte {
	kind := byte(2)
	if e.whole {
		kind = 1
	}
	body := append(binary.BigEndian.AppendUint64(nil, e.number), kind)
	for _, entry := range e.entries {
		body = append(body, entry.encode()...)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func keepAlive(number uint64) []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, 0, 9}, number)
	return append(b, 0)
}

// Channel is the command channel of one front end. It can be made silent, be closed for a time, and be moved.
type Channel struct {
	bed *Bed

	mu          sync.Mutex
	listener    net.Listener
	conns       []net.Conn
	events      []event
	changed     chan struct{}
	silentUntil time.Time
	down        bool
}

func newChannel(bed *Bed, first []Entry) (*Channel, error) {
	c := &Channel{bed: bed, events: []event{{1, true, first}}, changed: make(chan struct{})}
	return c, c.listen("127.0.0.1:0")
}

func (c *Channel) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.listener, c.down = l, false
	c.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			go c.serve(conn)
		}
	}()
	return nil
}

// Address returns the address of the channel.
func (c *Channel) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listener.Addr().String()
}

// Events returns the events so far.
func (c *Channel) Events() []event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// Tell adds an event with changes of the list.
func (c *Channel) Tell(entries ...Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event{uint64(len(c.events)) + 1, false, entries})
	close(c.changed)
	c.changed = make(chan struct{})
	for _, e := range entries {
		c.bed.logf("list event %d: s-%08x at %s is %s", len(c.events), e.ID, e.Address, e.State)
	}
}

// Silence makes the open connections tell nothing more, and new ones nothing for a time.
func (c *Channel) Silence(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentUntil = time.Now().Add(d)
	c.conns = nil // they stay open
	close(c.changed)
	c.changed = make(chan struct{})
}

// Down closes the channel and its connections until Up.
func (c *Channel) Down() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = true
	c.listener.Close()
	c.closeConns()
}

// IsDown reports whether the channel is down.
func (c *Channel) IsDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

func (c *Channel) closeConns() {
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// Up ends Down.
func (c *Channel) Up() error { return c.listen(c.Address()) }

// Move opens the channel at another address. The old one accepts nothing more and closes its connections after a delay.
func (c *Channel) Move(delay time.Duration) error {
	c.mu.Lock()
	old := c.conns
	c.listener.Close()
	c.conns = nil
	c.mu.Unlock()
	time.AfterFunc(delay, func() {
		for _, conn := range old {
			conn.Close()
		}
	})
	return c.listen("127.0.0.1:0")
}

// Close closes the channel.
func (c *Channel) Close() { c.Down() }

func (c *Channel) serve(conn net.Conn) {
	defer conn.Close()
	var last [8]byte
	if _, err := io.ReadFull(conn, last[:]); err != nil {
		return
	}
	cursor := binary.BigEndian.Uint64(last[:])
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		var later []event
		if cursor < uint64(len(c.events)) {
			later = slices.Clone(c.events[cursor:])
		}
		changed, silentFor, silenced := c.changed, time.Until(c.silentUntil), !slices.Contains(c.conns, conn)
		c.mu.Unlock()
		if silenced { // open, and tells nothing: until the front end closes it
			io.Copy(io.Discard, conn)
			return
		}
		if silentFor > 0 {
			time.Sleep(silentFor)
			continue
		}
		for _, e := range later {
			if _, err := conn.Write(e.encode()); err != nil {
				return
			}
			cursor = e.number
			for _, entry := range e.entries {
				if entry.State != Ready {
					c.bed.audit.told(nodeName(entry.ID))
				}
			}
		}
		select {
		case <-changed:
		case <-ticker.C:
			if _, err := conn.Write(keepAlive(cursor)); err != nil {
				return
			}
		}
	}
}
