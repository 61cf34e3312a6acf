package main

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// States of a node on the command channel.
const (
	ready    = 0
	draining = 1
	gone     = 2
)

var stateNames = [...]string{"SERVING", "DRAINING", "DELETED"}

// listEntry is one record of the node list.
type listEntry struct {
	id      uint32
	address string
	state   byte
	cell    int
	weight  int // in thousandths
	started int64
}

func (e listEntry) frameRecord() []byte {
	a := netip.MustParseAddrPort(e.address)
	ip := a.Addr().As4()
	b := binary.BigEndian.AppendUint32(nil, e.id)
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, a.Port())
	b = append(b, e.state, 0, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(e.cell))
	b = binary.BigEndian.AppendUint32(b, uint32(e.weight))
	return binary.BigEndian.AppendUint64(b, uint64(e.started))
}

// listEvent is one numbered event; whole says that it holds the whole list.
type listEvent struct {
	number  uint64
	whole   bool
	entries []listEntry
}

func (e listEvent) frame() []byte {
	kind := byte(2)
	if e.whole {
		kind = 1
	}
	body := append(binary.BigEndian.AppendUint64(nil, e.number), kind)
	for _, entry := range e.entries {
		body = append(body, entry.frameRecord()...)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// commandChannel is the platform's command channel for one front end.
type commandChannel struct {
	listener net.Listener
	rec      *record
	mu       sync.Mutex
	events   []listEvent
	changed  chan struct{}
}

func newChannel(rec *record, first ...listEntry) (*commandChannel, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &commandChannel{listener: l, rec: rec, events: []listEvent{{1, true, first}}, changed: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

// tell adds an event with changes.
func (c *commandChannel) tell(entries ...listEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := listEvent{uint64(len(c.events)) + 1, false, entries}
	c.events = append(c.events, e)
	close(c.changed)
	c.changed = make(chan struct{})
	for _, entry := range entries {
		c.rec.logf("command channel event %d: s-%08x at %s is %s", e.number, entry.id, entry.address, stateNames[entry.state])
	}
}

func (c *commandChannel) serve(conn net.Conn) {
	defer conn.Close()
	var last [8]byte
	if _, err := io.ReadFull(conn, last[:]); err != nil {
		return
	}
	cursor := binary.BigEndian.Uint64(last[:])
	c.rec.logf("command channel: a front end connects after event %d", cursor)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		c.mu.Lock()
		var later []listEvent
		if cursor < uint64(len(c.events)) {
			later = slices.Clone(c.events[cursor:])
		}
		changed := c.changed
		c.mu.Unlock()
		for _, e := range later {
			if _, err := conn.Write(e.frame()); err != nil {
				return
			}
			cursor = e.number
		}
		select {
		case <-changed:
		case <-tick.C:
			if _, err := conn.Write((listEvent{number: cursor}).emptyFrame()); err != nil {
				return
			}
		}
	}
}

func (e listEvent) emptyFrame() []byte {
	b := append([]byte{0, 0, 0, 9}, binary.BigEndian.AppendUint64(nil, e.number)...)
	return append(b, 0)
}
