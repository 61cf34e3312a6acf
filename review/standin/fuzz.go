package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"
)

func init() { cases["fuzz"] = fuzz }

// fuzz sends the front end messages of nodes and viewers with figures and words out of range and looks whether it goes on. It is no
// case.
func fuzz(e *env) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	pick := func(r *rand.Rand, all ...string) string { return all[r.IntN(len(all))] }
	figures := []string{"0", "-1", "1", "0.5", "1e12", "-1e12", "1e-300", "4", "5", "17", "999999999999", "-0", "0.98", "3.5", "1e5", "2147483648"}
	var setUp setUpFunc = func(n *node, s *nodeSession, m binaryMessage) {
		id, c := s.id, s.conn
		go func() {
			r := rand.New(rand.NewPCG(seed, id))
			time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
			report := param{codeReport, pick(r, "x0:", "x0:0.4;x1:", "inflight:3;x0:") + pick(r, figures...)}
			c.send(encodeBinary(typeAnswer, id, param{codeDescription, "d"}, report))
			n.mu.Lock()
			s.stands = true
			n.mu.Unlock()
			for range 30 {
				time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
				c.send(encodeBinary(typeNote, id, param{codeNote, pick(r, "got", "level", "port", "spine", "other")}, param{codeFigure, pick(r, figures...)}))
				if r.IntN(20) == 0 {
					c.send(encodeBinary(byte([]int{1, 6, 9, 12, 16, 44, 51, 52, 53, 60}[r.IntN(10)]), id+uint64(r.IntN(3)), param{codeCause, string([]byte{byte(r.IntN(120))})}, param{codeDescription, "x"}, param{codeNote, "got"}, param{codeFigure, "0.2"}, report))
				}
			}
			c.send(encodeBinary(typeRelease, id, param{codeCause, string([]byte{byte(r.IntN(120))})}, report))
		}()
	}
	var entries []listEntry
	for i := range 6 {
		n := newNode(fmt.Sprintf("node s-%08x", 0x100+i), &record{file: os.NewFile(^uintptr(0), ""), start: time.Now()}, setUp)
		o, err := listenFor(n)
		if err != nil {
			return err
		}
		entries = append(entries, listEntry{uint32(0x100 + i), o.address(), ready, i % 4, []int{4000, 0, 1, 4000, 2000, 4000}[i], 0})
	}
	b, err := startBed(e, entries...)
	if err != nil {
		return err
	}
	defer b.close()
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range 6000 {
		if i%40 == 0 {
			entry := entries[r.IntN(len(entries))]
			entry.state, entry.cell, entry.weight = byte(r.IntN(3)), r.IntN(70000), r.IntN(5000)
			entry.started = []int64{0, 1, time.Now().UnixMilli(), time.Now().UnixMilli() + 5000, 1 << 60}[r.IntN(5)]
			b.channel.tell(entry)
		}
		if i%45 == 0 {
			b.channel.tell(entries...)
		}
		if i%3 == 0 {
			go func() {
				c, err := net.Dial("tcp", b.front.address)
				if err != nil {
					return
				}
				defer c.Close()
				fmt.Fprintf(c, "SETUP rtsp://media/%s RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\nPriority-Class: %s\r\nExpires-Ms: %s\r\nX-Guess: %s\r\nP-Trunk-Info: home:%d;copies:%d;top:%d;viewer:%x%s\r\nContent-Length: 1\r\n\r\nx",
					pick(r, "a", "b", "c%%", "ü"), r.Uint64N(5000), pick(r, "briefing", "induction", "x"), pick(r, figures...), pick(r, figures...), r.IntN(5), r.IntN(6), r.IntN(6), r.IntN(50), pick(r, "", "", ";at:s-00000101", ";again:1"))
				if r.IntN(4) == 0 {
					fmt.Fprintf(c, "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: %016x\r\nReason: cause=%d\r\nContent-Length: 0\r\n\r\n", r.Uint64N(5000), r.IntN(300))
				}
				time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
			}()
		}
		time.Sleep(5 * time.Millisecond)
		if !b.front.running() {
			return broken{"the front end has crashed"}
		}
	}
	return nil
}
