package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

func init() { cases["places"] = placesTaken }

const (
	badClients  = 200
	placesRun   = 30 * time.Second
	placesQuiet = 5 * time.Second // at the end, in which the last requests come to their time
)

// placesTaken lets bad clients connect, each of which sends one set-up with an id that no playout node knows, and says nothing more.
func placesTaken(b *bed) ([]string, error) {
	if err := b.start(4); err != nil {
		return nil, err
	}
	for _, n := range b.nodes {
		n.length = 2 * time.Second
	}
	v := newViewers(b, "127.0.0.2")
	v.fresh = true
	bad := false
	for began := time.Now(); time.Since(began) < placesRun; time.Sleep(usualEvery) {
		if b.trouble && !bad && time.Since(began) > calmTime {
			bad = true
			go b.badCrowd()
		}
		go v.setUp(free)
	}
	time.Sleep(placesQuiet)
	b.logf("the platform's test on a new connection passes: %t", b.passesTest())
	_, broken := v.check()
	return broken, nil
}

func (b *bed) badCrowd() {
	b.logf("%d bad clients connect, and each sends one set-up with an id that no playout node knows", badClients)
	for i := range badClients {
		conn, err := dialFrom(fmt.Sprintf("127.0.66.%d", 1+i), b.address)
		if err != nil {
			b.logf("a bad client gets no connection: %v", err)
			continue
		}
		io.WriteString(conn, unknownSession(b.nodes[i%len(b.nodes)]))
		go func(c net.Conn) {
			io.Copy(io.Discard, c)
			c.Close()
		}(conn)
		time.Sleep(5 * time.Millisecond)
	}
}
