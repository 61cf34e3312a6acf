package testbed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gullrail/client"
	"gullrail/playapi"
	"gullrail/testbed/trace"
)

func (r *rig) newClient(name string, fronts ...string) *client.Client {
	if len(fronts) == 0 {
		fronts = []string{r.addr}
	}
	c := client.New(client.Options{Fronts: fronts, Viewer: name, ReconnectSpread: 100 * time.Millisecond})
	r.t.Cleanup(c.Close)
	return c
}

func (r *rig) mustPlayOnSocket(c *client.Client, title, product string, maxRetries int) *client.Play {
	r.t.Helper()
	p, err := c.RequestPlay(r.t.Context(), client.Request{Title: title, Product: product, MaxRung: -1, Timeout: time.Second, MaxRetries: maxRetries})
	if err != nil {
		r.t.Fatal(err)
	}
	return p
}

// fetchSegment requests a segment at the highest granted rung from the node and returns the status.
func (r *rig) fetchSegment(g playapi.Grant) int {
	return r.getURL(g.Base + g.Rungs[len(g.Rungs)-1].ID + "/1.m4s").status
}

func (r *rig) awaitEvent(p *client.Play, want client.EventKind) client.Event {
	r.t.Helper()
	timeout := time.After(15 * time.Second)
	for {
		select {
		case e, ok := <-p.Events():
			if !ok {
				r.t.Fatalf("the play ended before event %d", want)
			}
			if e.Kind == want {
				return e
			}
		case <-timeout:
			r.t.Fatalf("timed out waiting for event %d", want)
		}
	}
}

func TestTokenFromSocketWorksForDASH(t *testing.T) {
	r := newRig(t, 4)
	c := r.newClient("v")
	p := r.mustPlayOnSocket(c, "clip", "paid", 0)
	grant := p.Grant()
	if s := r.fetchSegment(grant); s != 200 {
		t.Fatalf("segment: %d", s)
	}
	// A DASH request with the socket's token gets the same play without a second set-up.
	x := r.get("/v1/plays/" + grant.Token + "/manifest.mpd")
	if x.status != 200 || x.play != grant.Play || r.countEvents(trace.SetUp, "") != 1 {
		t.Fatalf("status %d, play %s, want play %s", x.status, x.play, grant.Play)
	}
	p.End()
	r.eventually("the front holds no play", func() bool { return r.front.Counts(t.Context()).Active == 0 })
}

func TestSocketPlayMovesAfterNodeCrash(t *testing.T) {
	r := newRig(t, 4)
	c := r.newClient("v")
	p := r.mustPlayOnSocket(c, "clip", "paid", 3)
	first := p.Grant()
	claims, err := r.minter.Check(first.Token, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	r.fleet.nodes[claims.Node].crash(trace.NodeCrashed)
	r.awaitEvent(p, client.Interrupted)
	e := r.awaitEvent(p, client.Moved)
	if e.Grant.Play == first.Play || r.fetchSegment(e.Grant) != 200 {
		t.Fatalf("moved play: %+v", e.Grant)
	}
	p.ReportNotDelivered() // the viewer's report also moves the play
	if e = r.awaitEvent(p, client.Moved); r.fetchSegment(e.Grant) != 200 {
		t.Fatal("no segment after the move that the viewer asked for")
	}
}

func TestSocketPlayResumesAfterFrontRestart(t *testing.T) {
	r := newRigWith(t, 4, func(r *rig) { r.settings.StateFolder = t.TempDir() })
	c := r.newClient("v")
	p := r.mustPlayOnSocket(c, "clip", "paid", 5)
	first := p.Grant()
	r.settings.Listen = r.addr
	r.stop()
	r.startFront()
	e := r.awaitEvent(p, client.RungChanged) // resumed by its token: the restarted front adopted the play
	if e.Grant.Play != first.Play || r.fetchSegment(e.Grant) != 200 || r.countEvents(trace.SetUp, "") != 1 {
		t.Fatalf("%+v, %d set-ups", e.Grant, r.countEvents(trace.SetUp, ""))
	}
}

func TestSeatLimitCoversSocketsAndManifests(t *testing.T) {
	r := newRig(t, 4)
	var wg sync.WaitGroup
	var mu sync.Mutex
	plays, refused := 0, 0
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok := false
			if i%2 == 0 {
				c := r.newClient(fmt.Sprint("v", i))
				_, err := c.RequestPlay(t.Context(), client.Request{Title: "clip", Product: "paid", MaxRung: -1, Timeout: time.Second})
				var refusal *client.RefusedError
				if ok = err == nil; !ok && !errors.As(err, &refusal) {
					t.Error(err)
				}
			} else {
				ok = r.requestPlay("clip", "paid", fmt.Sprint("v", i)).status == 200
			}
			mu.Lock()
			defer mu.Unlock()
			if ok {
				plays++
			} else {
				refused++
			}
		}()
	}
	wg.Wait()
	if plays != 3 || refused != 9 {
		t.Fatalf("%d plays on three seats, %d refused", plays, refused)
	}
}

func TestClientStopsWhenContextEnds(t *testing.T) {
	r := newRig(t, 1)
	r.nodes[0].silence()
	c := r.newClient("v")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.RequestPlay(ctx, client.Request{Title: "clip", Product: "safe", MaxRung: -1, Timeout: time.Second, MaxRetries: 1000}); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
	r.eventually("the front holds no play", func() bool { return r.front.Counts(t.Context()).Active == 0 })
	c.Close()
	if _, err := c.RequestPlay(t.Context(), client.Request{Title: "clip", Product: "safe"}); !errors.Is(err, client.ErrClosed) {
		t.Fatalf("after Close: %v", err)
	}
}
