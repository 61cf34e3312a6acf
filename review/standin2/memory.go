package main

import (
	"fmt"
	"io"
	"time"
)

func init() { cases["memory"] = memory }

const (
	memoryRun   = 30 * time.Second
	calmTime    = 5 * time.Second        // before bad clients come
	usualEvery  = 100 * time.Millisecond // between two set-ups of usual viewers
	setUpsAWord = 20                     // set-ups that the bad client writes at once
)

// memory lets one bad client send set-ups without end, each with an id that no playout node knows, and ends the front end if it holds more
// memory than its limit, as the platform does.
func memory(b *bed) ([]string, error) {
	if err := b.start(4); err != nil {
		return nil, err
	}
	v := newViewers(b, "127.0.0.2")
	stop := make(chan struct{})
	defer close(stop)
	peak, badFrom := 0, time.Time{}
	for began := time.Now(); time.Since(began) < memoryRun; time.Sleep(usualEvery) {
		if b.trouble && badFrom.IsZero() && time.Since(began) > calmTime {
			badFrom = time.Now()
			go b.sendWithoutEnd(stop)
		}
		v.setUp(free)
		kb := b.memoryKB()
		peak = max(peak, kb)
		if b.hasEnded() {
			return []string{"crash: the front end has ended"}, nil
		}
		if kb > b.memoryMB<<10 {
			b.logf("the front end holds %d kB, more than its limit of %d MB: the platform kills it", kb, b.memoryMB)
			b.killFront()
			return []string{fmt.Sprintf("crash: %v after the bad client came, the front end holds %d kB and is killed, as its limit is %d MB",
				time.Since(badFrom).Round(time.Millisecond), kb, b.memoryMB)}, nil
		}
	}
	b.logf("the front end's memory was %d kB at most", peak)
	_, broken := v.check()
	return broken, nil
}

// sendWithoutEnd is a bad client.
func (b *bed) sendWithoutEnd(stop <-chan struct{}) {
	conn, err := dialFrom("127.0.0.66", b.address)
	if err != nil {
		b.logf("the bad client gets no connection: %v", err)
		return
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	b.logf("a bad client at %s sends set-ups without end, with ids that no playout node knows", conn.LocalAddr())
	for sent := 0; ; sent += setUpsAWord {
		select {
		case <-stop:
			b.logf("the bad client has sent %d set-ups", sent)
			return
		default:
		}
		text := ""
		for i := range setUpsAWord {
			text += unknownSession(b.nodes[i%len(b.nodes)])
		}
		if _, err := io.WriteString(conn, text); err != nil {
			b.logf("the bad client's connection has ended after %d set-ups: %v", sent, err)
			return
		}
	}
}
