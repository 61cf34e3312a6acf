package session

import (
	"flag"
	"fmt"
	"testing"

	"gullrail/decision"
)

// soakPlays sets the number of plays in TestMemoryStaysBounded: go test ./session -run Memory -soak 5000000 -v
var soakPlays = flag.Int("soak", 0, "number of plays in the memory test")

// BenchmarkCore measures a play from request to end in the core, without sockets.
func BenchmarkCore(b *testing.B) {
	c, out := newTestCore(4)
	now := int64(readyTime)
	names := make([]string, 4096)
	for i := range names {
		names[i] = fmt.Sprint("v", i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += 300
		a := Request{Title: "clip", CellCount: 4, Viewer: names[i%len(names)], Deadline: now + 4*decision.Second, MaxRung: 2, Reply: NewReply()}
		c.RequestPlay(now, a)
		for _, s := range out.setUps {
			c.Started(now, s.Ref, 7, int64(i), s.Rung, decision.UnknownLoad)
			c.PlayEnded(now+10, s.Ref, decision.Served)
		}
		out.setUps, out.ends, out.rungs, out.canceled, out.closedStreams = out.setUps[:0], out.ends[:0], out.rungs[:0], out.canceled[:0], out.closedStreams[:0]
		if now >= c.WakeAt() {
			c.Wake(now)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "plays/s")
}
