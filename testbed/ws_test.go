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

func (r *rig) viewer(name string, fronts ...string) *client.Client {
	if len(fronts) == 0 {
		fronts = []string{r.addr}
	}
	c := client.New(client.Options{Fronts: fronts, Viewer: name, ReconnectSpread: 100 * time.Millisecond})
	r.t.Cleanup(c.Close)
	return c
}

func (r *rig) asks(c *client.Client, title, product string, tries int) *client.Play {
	r.t.Helper()
	p, err := c.RequestPlay(r.t.Context(), client.Request{Title: title, Product: product, MaxRung: -1, Timeout: time.Second, MaxRetries: tries})
	if err != nil {
		r.t.Fatal(err)
	}
	return p
}

// fetches asks the node for a segment at the best rung granted.
func (r *rig) fetches(g playapi.Grant) int {
	return r.getAt(g.Base + g.Rungs[len(g.Rungs)-1].ID + "/1.m4s").status
}

func (r *rig) event(p *client.Play, want client.EventKind) client.Event {
	r.t.Helper()
	late := time.After(15 * time.Second)
	for {
		select {
		case e, ok := <-p.Events():
			if !ok {
				r.t.Fatalf("it ended before event %d", want)
			}
			if e.Kind == want {
				return e
			}
		case <-late:
			r.t.Fatalf("event %d did not come", want)
		}
	}
}

func TestSocketGetsTheSamePlayAsDASH(t *testing.T) {
	r := newRig(t, 4)
	c := r.viewer("v")
	p := r.asks(c, "clip", "paid", 0)
	g := p.Grant()
	if s := r.fetches(g); s != 200 {
		t.Fatalf("segment: %d", s)
	}
	// The same viewer by DASH with the socket's token: the same play, no second set-up.
	x := r.get("/v1/plays/" + g.Token + "/manifest.mpd")
	if x.status != 200 || x.play != g.Play || r.count(trace.SetUp, "") != 1 {
		t.Fatalf("%d %s of %s", x.status, x.play, g.Play)
	}
	p.End()
	r.eventually("its end at the node", func() bool { return r.front.Counts(t.Context()).InHand == 0 })
}

func TestSocketIsToldOfALostNodeAndPlacedAnew(t *testing.T) {
	r := newRig(t, 4)
	c := r.viewer("v")
	p := r.asks(c, "clip", "paid", 3)
	was := p.Grant()
	cl, err := r.minter.Check(was.Token, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	r.fleet.nodes[cl.Node].crash(trace.Crash)
	r.event(p, client.Interrupted)
	e := r.event(p, client.Moved)
	if e.Grant.Play == was.Play || r.fetches(e.Grant) != 200 {
		t.Fatalf("placed anew: %+v", e.Grant)
	}
	p.ReportNotDelivered() // and the viewer's own word
	if e = r.event(p, client.Moved); r.fetches(e.Grant) != 200 {
		t.Fatal("not placed anew after it said so")
	}
}

func TestSocketResumesAfterTheFrontStartsAgain(t *testing.T) {
	r := newRigWith(t, 4, func(r *rig) { r.settings.StateFolder = t.TempDir() })
	c := r.viewer("v")
	p := r.asks(c, "clip", "paid", 5)
	was := p.Grant()
	r.settings.Listen = r.addr
	r.stop()
	r.startFront()
	e := r.event(p, client.Rung) // resumed by its token: the same play, as the new life took it over
	if e.Grant.Play != was.Play || r.fetches(e.Grant) != 200 || r.count(trace.SetUp, "") != 1 {
		t.Fatalf("%+v, %d set-ups", e.Grant, r.count(trace.SetUp, ""))
	}
}

func TestSeatsHoldForSocketsAndManifestsTogether(t *testing.T) {
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
				c := r.viewer(fmt.Sprint("v", i))
				_, err := c.RequestPlay(t.Context(), client.Request{Title: "clip", Product: "paid", MaxRung: -1, Timeout: time.Second})
				var no *client.RefusedError
				if ok = err == nil; !ok && !errors.As(err, &no) {
					t.Error(err)
				}
			} else {
				ok = r.ask("clip", "paid", fmt.Sprint("v", i)).status == 200
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
		t.Fatalf("%d play on three seats, %d are refused", plays, refused)
	}
}

func TestClientLeavesOffWhenItsContextEnds(t *testing.T) {
	r := newRig(t, 1)
	r.nodes[0].silence()
	c := r.viewer("v")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.RequestPlay(ctx, client.Request{Title: "clip", Product: "safe", MaxRung: -1, Timeout: time.Second, MaxRetries: 1000}); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
	r.eventually("its end", func() bool { return r.front.Counts(t.Context()).InHand == 0 })
	c.Close()
	if _, err := c.RequestPlay(t.Context(), client.Request{Title: "clip", Product: "safe"}); !errors.Is(err, client.ErrClosed) {
		t.Fatalf("after its end: %v", err)
	}
}
