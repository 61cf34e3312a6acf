package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// state is the state of a node in the list.
type state byte

const (
	ready state = iota
	draining
	gone
)

func (s state) String() string { return [...]string{"SERVING", "DRAINING", "DELETED"}[s] }

// entry is one record of the list.
type entry struct {
	id      uint32
	address string
	state   state
	cell    int
	started int64 // Unix ms of a late start, or 0
}

func nodeName(id uint32) string { return fmt.Sprintf("s-%08x", id) }

func (e entry) append(b []byte) []byte {
	address := netip.MustParseAddrPort(e.address)
	ip := address.Addr().As4()
	b = binary.BigEndian.AppendUint32(b, e.id)
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, address.Port())
	b = append(b, byte(e.state), 0, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(e.cell))
	b = binary.BigEndian.AppendUint32(b, 1000)
	return binary.BigEndian.AppendUint64(b, uint64(e.started))
}

// event is a numbered change of the list.
type event struct {
	number  uint64
	whole   bool
	entries []entry
}

func (e event) encode() []byte {
	kind := byte(2)
	if e.whole {
		kind = 1
	}
	body := append(binary.BigEndian.AppendUint64(nil, e.number), kind)
	for _, one := range e.entries {
		body = one.append(body)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// channel is the command channel of the front end.
type channel struct {
	bed       *bed
	slowStart time.Duration // from a connection's request to its first frame

	mu       sync.Mutex
	listener net.Listener
	place    string // its address
	conns    []net.Conn
	events   []event
	changed  chan struct{}
	asked    int // connections that have asked for events
	gaveUp   int // of these, how many the front end ended before the first frame
}

func newChannel(b *bed, first []entry) (*channel, error) {
	c := &channel{bed: b, place: "127.0.0.1:0", events: []event{{1, true, first}}, changed: make(chan struct{})}
	return c, c.up()
}

// up makes the channel listen.
func (c *channel) up() error {
	l, err := net.Listen("tcp", c.place)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.listener, c.place = l, l.Addr().String()
	c.mu.Unlock()
	c.bed.logf("the command channel is up")
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

// down closes the channel and its connections until up is called.
func (c *channel) down() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.Close()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
	c.bed.logf("the command channel is down")
}

func (c *channel) logCounts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bed.logf("the front end asked the command channel %d times and closed %d of these connections before the first frame", c.asked, c.gaveUp)
}

func (c *channel) allEvents() []event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// tell puts an event into the channel. From then on it counts as told.
func (c *channel) tell(entries ...entry) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event{uint64(len(c.events)) + 1, false, entries})
	close(c.changed)
	c.changed = make(chan struct{})
	for _, e := range entries {
		c.bed.logf("list event %d: %s at %s is %s", len(c.events), nodeName(e.id), e.address, e.state)
	}
	return time.Now()
}

func (c *channel) serve(conn net.Conn) {
	defer conn.Close()
	var last [8]byte
	if _, err := io.ReadFull(conn, last[:]); err != nil {
		return
	}
	cursor := binary.BigEndian.Uint64(last[:])
	c.mu.Lock()
	c.asked++
	c.mu.Unlock()
	c.bed.logf("the front end asks the command channel for the events after %d", cursor)
	ended := make(chan struct{})
	go func() {
		io.Copy(io.Discard, conn)
		close(ended)
	}()
	select {
	case <-time.After(c.slowStart):
	case <-ended:
		c.mu.Lock()
		c.gaveUp++
		c.mu.Unlock()
		c.bed.logf("the front end has closed its connection to the command channel before the first frame")
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		later, changed := slices.Clone(c.events[min(cursor, uint64(len(c.events))):]), c.changed
		c.mu.Unlock()
		for _, e := range later {
			if _, err := conn.Write(e.encode()); err != nil {
				return
			}
			cursor = e.number
			c.bed.logf("list event %d is written to the front end", e.number)
		}
		empty := append(binary.BigEndian.AppendUint64([]byte{0, 0, 0, 9}, cursor), 0)
		if _, err := conn.Write(empty); err != nil {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ended:
			return
		}
	}
}
