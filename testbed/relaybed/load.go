package relaybed

import (
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	largestRequest = 16 << 10 // bytes that the protocol allows
	floodExpires   = time.Second
	floodIDs       = 1 << 62 // set in the ids of clients that flood, whose sessions are not audited
)

// badManners is how a misbehaving client uses its connection.
type badManners uint8

const (
	writesSlowly          badManners = iota // a large request, some bytes at a time
	stopsHalfWay                            // half of a large request, then nothing
	manyFields                              // a head of very many short fields
	readsNothing                            // tests at full speed, and no answer is read
	smallRequests                           // tests at full speed, with the answers read
	unsoundRequest                          // requests without what a set-up needs, at full speed, with the answers read
	newNames                                // sound set-ups at full speed, each under a new title, viewer and id, with the answers read
	unknownSessions                         // hand-overs at full speed, each of a new session that no node knows, with the answers read
	paddedUnknownSessions                   // the same with a large header
	mannersCount
)

func (m badManners) String() string {
	return [...]string{"writes slowly", "stops half way", "many fields", "reads nothing", "small requests", "unsound requests", "new names",
		"unknown sessions", "padded unknown sessions"}[m]
}

// Misbehave lets clients misbehave on connections of their own for a time, and opens a connection anew where the front end closes it.
// It returns how many connections were opened.
func (b *Bed) Misbehave(manners badManners, clients int, length time.Duration) int {
	end := time.Now().Add(length)
	opened := make(chan int, clients)
	for i := range clients {
		go func() {
			n := 0
			for time.Now().Before(end) {
				conn, err := dialFrom(fmt.Sprintf("127.0.3.%d", 1+i%200), b.Front.Address)
				if err != nil {
					time.Sleep(pollInterval)
					continue
				}
				n++
				conn.SetDeadline(end)
				b.misbehaveOn(conn, manners, i<<20+n<<32, end)
				conn.Close()
			}
			opened <- n
		}()
	}
	total := 0
	for range clients {
		total += <-opened
	}
	return total
}

// misbehaveOn writes on a connection until its end or until it is closed.
func (b *Bed) misbehaveOn(conn net.Conn, manners badManners, seed int, end time.Time) {
	large := fmt.Sprintf("SETUP rtsp://media/large RTSP/1.0\r\nCSeq: 1\r\nContent-Length: %d\r\n\r\n%s", largestRequest-100, strings.Repeat("x", largestRequest-100))
	switch manners {
	case writesSlowly:
		for len(large) > 64 && time.Now().Before(end) {
			if _, err := conn.Write([]byte(large[:64])); err != nil {
				return
			}
			large = large[64:]
			time.Sleep(10 * time.Millisecond)
		}
	case stopsHalfWay:
		conn.Write([]byte(large[:largestRequest/2+1024]))
		conn.Read(make([]byte, 1)) // until the front end closes
	case manyFields:
		conn.Write([]byte("SETUP rtsp://media/fields RTSP/1.0\r\n" + strings.Repeat("a:\r\n", largestRequest/4-16)))
		conn.Read(make([]byte, 1))
	case readsNothing:
		writeUntil(conn, end, func(int) string { return strings.Repeat(testRequest, 100) })
	default:
		go discardAll(conn)
		writeUntil(conn, end, func(n int) string { return requestBurst(manners, seed+n*100) })
	}
}

// writeUntil writes bursts until a time, or until the connection fails.
func writeUntil(conn net.Conn, end time.Time, burst func(n int) string) {
	for n := 0; time.Now().Before(end); n++ {
		if _, err := conn.Write([]byte(burst(n))); err != nil {
			return
		}
	}
}

func discardAll(conn net.Conn) {
	buffer := make([]byte, largestRequest)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// requestBurst returns a hundred requests.
func requestBurst(manners badManners, first int) string {
	var text strings.Builder
	for i := range 100 {
		switch manners {
		case unsoundRequest:
			fmt.Fprintf(&text, "SETUP rtsp://media/%x RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\nPriority-Class: none\r\nContent-Length: 0\r\n\r\n", first+i, first+i)
		case newNames:
			id := uint64(first+i) | floodIDs
			text.WriteString(setUpText(&Session{ID: id, class: "briefing", title: fmt.Sprintf("new-%x", id), cellCount: 1, expires: floodExpires}, ""))
		case unknownSessions, paddedUnknownSessions:
			text.WriteString(unknownHandOver(uint64(first+i)|floodIDs, manners == paddedUnknownSessions))
		default:
			text.WriteString(testRequest)
		}
	}
	return text.String()
}

// unknownHandOver returns a hand-over of a session that no node knows, at one of the bed's first nodes.
func unknownHandOver(id uint64, padded bool) string {
	s := &Session{ID: id, class: "briefing", title: fmt.Sprintf("new-%x", id), cellCount: 1, expires: floodExpires}
	text := setUpText(s, nodeName(firstNodeID+uint32(id%cellCount)))
	if padded {
		text = strings.Replace(text, "CSeq: 1\r\n", "CSeq: 1\r\nX-Padding: "+strings.Repeat("x", largestRequest/2)+"\r\n", 1)
	}
	return text
}
