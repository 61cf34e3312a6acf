package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["rude"] = rude }

// rude: bad clients, each on one connection, send a request of a class that does not exist, and the same again soon after it is turned
// away. The set-ups of usual clients, each on a new connection, must get their final answers. RUDE is the number of bad clients,
// PAUSE_MS what they wait before they send again; the case has 160 and 100 ms.
func rude(e *env) error {
	count, pause := 160, 100*time.Millisecond
	if n, err := strconv.Atoi(os.Getenv("RUDE")); err == nil {
		count = n
	}
	if ms, err := strconv.Atoi(os.Getenv("PAUSE_MS")); err == nil {
		pause = time.Duration(ms) * time.Millisecond
	}
	var entries []listEntry
	for i := range 4 {
		n := newNode(fmt.Sprintf("node s-%08x", 0xa1+i), e.rec, answerAfter(60*time.Millisecond, 5*time.Second))
		o, err := listenFor(n)
		if err != nil {
			return err
		}
		entries = append(entries, listEntry{uint32(0xa1 + i), o.address(), ready, i, 4000, 0})
	}
	sockets = 256
	b, err := startBed(e, entries...)
	if err != nil {
		return err
	}
	defer b.close()
	stop := make(chan struct{})
	var turned, closes atomic.Int64
	if e.trouble {
		time.AfterFunc(3*time.Second, func() {
			for i := range count {
				go func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						c, err := net.Dial("tcp", b.front.address)
						if err != nil {
							continue
						}
						in := bufio.NewReader(c)
						for {
							if _, err := fmt.Fprintf(c, "SETUP rtsp://media/x RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\nPriority-Class: gold\r\nExpires-Ms: 3000\r\nP-Trunk-Info: home:0;copies:4;top:4;viewer:1\r\nContent-Length: 0\r\n\r\n", i); err != nil {
								break
							}
							if _, err := readRTSP(in); err != nil {
								break
							}
							turned.Add(1)
							time.Sleep(pause)
						}
						c.Close()
						closes.Add(1)
					}
				}()
			}
		})
	}
	const never = "no answer and no close 0.5 s after its time"
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcome := map[string]int{}
	for i := range 150 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id, expires := uint64(0x7100+i), 3*time.Second
			result := func() string {
				c, err := net.DialTimeout("tcp", b.front.address, time.Second)
				if err != nil {
					return "not connected"
				}
				defer c.Close()
				fmt.Fprintf(c, "SETUP rtsp://media/t%d RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\nPriority-Class: briefing\r\nExpires-Ms: %d\r\nX-Guess: 5000\r\n"+
					"P-Trunk-Info: home:0;copies:4;top:4;viewer:%x\r\nContent-Length: 3\r\n\r\nv=0", i%9, id, expires.Milliseconds(), id)
				c.SetReadDeadline(time.Now().Add(expires + 550*time.Millisecond))
				in := bufio.NewReader(c)
				m, err := readRTSP(in)
				for err == nil && m.status == 0 {
					m, err = readRTSP(in)
				}
				if ne, ok := err.(net.Error); ok && ne.Timeout() {
					return never
				}
				if err != nil {
					return "closed without an answer"
				}
				e.rec.logf("usual client %016x gets %d", id, m.status)
				if m.status == 200 { // it stays until its session is over
					c.SetReadDeadline(time.Now().Add(7 * time.Second))
					readRTSP(in)
				}
				return strconv.Itoa(m.status)
			}()
			e.rec.logf("usual client %016x: %s", id, result)
			mu.Lock()
			outcome[result]++
			mu.Unlock()
		}()
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	close(stop)
	e.rec.logf("usual clients: %v; bad clients were turned away %d times, their connections ended %d times", outcome, turned.Load(), closes.Load())
	if !b.front.running() {
		return broken{"the front end has crashed"}
	}
	if n := outcome[never]; n > 0 {
		return broken{fmt.Sprintf("%d of 150 set-ups of usual clients got no answer", n)}
	}
	return nil
}
