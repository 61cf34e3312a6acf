package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rtspMessage is a message of a front end to a viewer.
type rtspMessage struct {
	method string // of a request
	status int    // of an answer
	header map[string]string
	body   string
}

func (m rtspMessage) session() uint64 {
	id, _ := strconv.ParseUint(m.header["session"], 16, 64)
	return id
}

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReader(c) }

func readRTSP(in *bufio.Reader) (m rtspMessage, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return m, err
	}
	parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
	if len(parts) < 2 {
		return m, errMalformed
	}
	if parts[0] == "RTSP/1.0" {
		if m.status, err = strconv.Atoi(parts[1]); err != nil {
			return m, errMalformed
		}
	} else {
		m.method = parts[0]
	}
	m.header = map[string]string{}
	for {
		if line, err = in.ReadString('\n'); err != nil {
			return m, err
		}
		if line = strings.TrimRight(line, "\r\n"); line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return m, errMalformed
		}
		m.header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	length, err := strconv.Atoi(m.header["content-length"])
	if err != nil || length < 0 || length > 16<<10 {
		return m, errMalformed
	}
	body := make([]byte, length)
	_, err = io.ReadFull(in, body)
	m.body = string(body)
	return m, err
}

// setUpText returns a set-up of a viewer. at is empty, or the node at which the session is said to play already.
func setUpText(id uint64, c class, at string) string {
	if at != "" {
		at = ";at:" + at
	}
	body := fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", id)
	return fmt.Sprintf("SETUP rtsp://media/p-lesson RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\nPriority-Class: %s\r\nExpires-Ms: %d\r\n"+
		"P-Trunk-Info: home:0;copies:%d;top:4;viewer:%016x%s\r\nContent-Length: %d\r\n\r\n%s",
		id, c.name, c.deadline.Milliseconds(), copies, id*0x9e3779b97f4a7c15, at, len(body), body)
}

// unknownSession returns a set-up of a bad client: its id is one that no playout node knows.
func unknownSession(n *node) string { return setUpText(rand.Uint64(), free, n.name()) }

// play is one set-up of a usual viewer and what came of it.
type play struct {
	id         uint64
	class      class
	sentAt     time.Time
	statuses   []int
	answeredAt time.Time
	releasedAt time.Time // by a TEARDOWN or a REDIRECT of the front end
	closedAt   time.Time // the front end closed its connection before an answer
	gaveUp     bool      // it had no answer when its time was up
}

// viewers is a host with usual viewers. A set-up goes to a connection on which nobody waits, or to a new one; a connection without a
// session is closed after 4 s.
type viewers struct {
	bed   *bed
	host  string
	fresh bool // each viewer has a connection of its own and closes it once its session is over or its time is up

	mu    sync.Mutex
	plays map[uint64]*play
	conns []*viewerConn
}

// viewerConn is a connection of usual viewers.
type viewerConn struct {
	sock     net.Conn
	waiting  map[uint64]*play
	standing map[uint64]*play
	usedAt   time.Time
}

const viewerIdle = 4 * time.Second

func newViewers(b *bed, host string) *viewers {
	v := &viewers{bed: b, host: host, plays: map[uint64]*play{}}
	go func() {
		for range time.Tick(250 * time.Millisecond) {
			v.closeIdle()
		}
	}()
	return v
}

func (v *viewers) closeIdle() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.conns {
		if len(c.waiting) == 0 && len(c.standing) == 0 && time.Since(c.usedAt) > viewerIdle {
			c.sock.Close()
		}
	}
}

func dialFrom(host, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return dialer.Dial("tcp", address)
}

// connFor returns a connection with a play entered on it.
func (v *viewers) connFor(p *play) (*viewerConn, error) {
	v.mu.Lock()
	for _, c := range v.conns {
		if !v.fresh && len(c.waiting) == 0 && time.Since(c.usedAt) < viewerIdle/2 {
			v.enter(c, p)
			v.mu.Unlock()
			return c, nil
		}
	}
	v.mu.Unlock()
	sock, err := dialFrom(v.host, v.bed.address)
	if err != nil {
		return nil, err
	}
	c := &viewerConn{sock: sock, waiting: map[uint64]*play{}, standing: map[uint64]*play{}}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.conns = append(v.conns, c)
	v.enter(c, p)
	go v.read(c)
	return c, nil
}

// enter enters a play on a connection. The caller holds the mutex.
func (v *viewers) enter(c *viewerConn, p *play) {
	p.sentAt, c.usedAt = time.Now(), time.Now()
	v.plays[p.id] = p
	c.waiting[p.id] = p
}

// setUp sends the set-up of a new viewer.
func (v *viewers) setUp(c class) {
	p := &play{id: rand.Uint64(), class: c}
	conn, err := v.connFor(p)
	if err != nil {
		v.bed.logf("%s: no connection to the front end: %v", v.host, err)
		return
	}
	v.bed.logf("%s sends the set-up of %016x, class %s, from %s", v.host, p.id, p.class.name, conn.sock.LocalAddr())
	io.WriteString(conn.sock, setUpText(p.id, p.class, ""))
	if v.fresh {
		time.AfterFunc(p.class.deadline+answerLate+slack, func() { v.giveUp(conn, p) })
	}
}

func (v *viewers) read(c *viewerConn) {
	in := newReader(c.sock)
	for {
		m, err := readRTSP(in)
		if err != nil {
			v.ended(c, err)
			return
		}
		v.handle(c, m)
	}
}

func (v *viewers) handle(c *viewerConn, m rtspMessage) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.plays[m.session()]
	if p == nil {
		return
	}
	c.usedAt = time.Now()
	switch {
	case m.status >= 200 && m.header["cseq"] == "1":
		p.statuses, p.answeredAt = append(p.statuses, m.status), time.Now()
		delete(c.waiting, p.id)
		if m.status == 200 {
			c.standing[p.id] = p
		} else if v.fresh && len(c.waiting) == 0 && len(c.standing) == 0 {
			c.sock.Close()
		}
		v.bed.logf("%s gets %d for %016x after %v", v.host, m.status, p.id, time.Since(p.sentAt).Round(time.Millisecond))
	case m.method == "TEARDOWN" || m.method == "REDIRECT":
		if p.releasedAt.IsZero() {
			p.releasedAt = time.Now()
		}
		for _, o := range v.conns {
			delete(o.standing, p.id)
		}
		v.bed.logf("%s gets %s for %016x, %s", v.host, m.method, p.id, m.header["reason"])
		if m.method == "TEARDOWN" {
			fmt.Fprintf(c.sock, "RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: %016x\r\nContent-Length: 0\r\n\r\n", p.id)
		}
		if v.fresh && len(c.waiting) == 0 && len(c.standing) == 0 {
			c.sock.Close()
		}
	}
}

// giveUp takes a set-up back that has no answer when its time is up, and closes its connection.
func (v *viewers) giveUp(c *viewerConn, p *play) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.waiting[p.id] == nil {
		return
	}
	p.gaveUp = true
	v.bed.logf("%s gives %016x up", v.host, p.id)
	fmt.Fprintf(c.sock, "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: %016x\r\nContent-Length: 0\r\n\r\n", p.id)
	c.sock.Close()
}

// ended handles the end of a connection.
func (v *viewers) ended(c *viewerConn, err error) {
	c.sock.Close()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range c.waiting {
		p.closedAt = time.Now()
		v.bed.logf("%s: the connection of %016x ended without an answer: %v", v.host, p.id, err)
	}
	for i, o := range v.conns {
		if o == c {
			v.conns = append(v.conns[:i], v.conns[i+1:]...)
			break
		}
	}
}

// checked is the result of a look at all set-ups of usual viewers.
type checked struct{ sent, answered, served, closed, unanswered int }

// check counts what became of the set-ups, and returns a line for each that got no answer, or two, on a connection that was not closed.
func (v *viewers) check() (n checked, broken []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.plays {
		n.sent++
		due := p.sentAt.Add(p.class.deadline + answerLate + slack)
		switch {
		case len(p.statuses) > 1:
			broken = append(broken, fmt.Sprintf("lost: %016x got %d answers", p.id, len(p.statuses)))
		case len(p.statuses) == 1:
			n.answered++
			if p.statuses[0] == 200 {
				n.served++
			}
			if p.answeredAt.After(due) {
				broken = append(broken, fmt.Sprintf("lost: %016x was answered %v after it was sent, its time was %v", p.id, p.answeredAt.Sub(p.sentAt), p.class.deadline))
			}
		case !p.gaveUp && !p.closedAt.IsZero() && p.closedAt.Before(due):
			n.closed++
		case p.gaveUp || time.Now().After(due):
			n.unanswered++
			broken = append(broken, fmt.Sprintf("lost: %016x, class %s, has no answer %v after it was sent, and its connection was not closed in its time", p.id, p.class.name,
				time.Since(p.sentAt).Round(time.Millisecond)))
		}
	}
	v.bed.logf("usual viewers: %+v", n)
	return n, broken
}

// releaseLimit is how long after the end of a session that stood its viewer must have a release, if no release could be sent.
const releaseLimit = 8 * time.Second

// checkReleases returns a line for each session whose end its viewer was not told of in time.
func (v *viewers) checkReleases() (ended int, broken []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.plays {
		if len(p.statuses) == 0 || p.statuses[0] != 200 {
			continue
		}
		for _, n := range v.bed.nodes {
			n.mu.Lock()
			at, ok := n.endedAt[p.id]
			n.mu.Unlock()
			if !ok {
				continue
			}
			ended++
			limit := releaseLimit + slack
			switch {
			case p.releasedAt.IsZero() && time.Since(at) > limit:
				broken = append(broken, fmt.Sprintf("lost: %016x came to its end at %s, and its viewer has no release %v later", p.id, n.name(), time.Since(at).Round(time.Millisecond)))
			case !p.releasedAt.IsZero() && p.releasedAt.Sub(at) > limit:
				broken = append(broken, fmt.Sprintf("lost: %016x came to its end at %s, and its viewer got the release %v later", p.id, n.name(), p.releasedAt.Sub(at).Round(time.Millisecond)))
			}
		}
	}
	return ended, broken
}
