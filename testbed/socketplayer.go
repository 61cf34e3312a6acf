package testbed

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gullrail/client"
	"gullrail/testbed/trace"
)

// statuses of a socket's verdicts on the trace, as DASH would tell them.
func statusOf(verdict, why string) int {
	switch {
	case verdict == "plays":
		return http.StatusOK
	case verdict == "declined":
		return http.StatusServiceUnavailable
	case verdict == "failed" && why == "time limit":
		return http.StatusGatewayTimeout
	case verdict == "failed":
		return http.StatusBadGateway
	}
	return http.StatusForbidden
}

// watchSocket lives through one viewer's wish with the project's own client on a socket.
func (p *ViewerClients) watchSocket(ctx context.Context, v *Viewer) {
	began := time.Now()
	var mu sync.Mutex
	ids := map[string]int64{} // of asks without an answer, by ticket
	asked := map[string]time.Time{}
	first := true
	names := map[string]string{}
	for i, a := range v.Fronts {
		names[a] = v.Names[i]
	}
	c := client.New(client.Options{Fronts: v.Fronts, Viewer: v.Name, OnExchange: func(t client.Exchange) {
		mu.Lock()
		defer mu.Unlock()
		if t.Answer == nil && t.Err == nil {
			id := p.ids.Add(1)
			ids[t.Ticket], asked[t.Ticket] = id, time.Now()
			line := trace.Event{Kind: trace.Ask, ID: id, Front: names[t.Front], Viewer: v.Name, Product: v.Product.Name, Title: v.Title,
				LimitMs: int64(v.Product.DeadlineMs), Play: t.PreviousPlay, First: first}
			if t.NotDelivered {
				line.Note = "broken"
			}
			if first {
				line.WatchMs, line.Rung = v.WatchTime.Milliseconds(), v.MaxRung
			}
			first = false
			p.Trace.Add(line)
			return
		}
		id, ok := ids[t.Ticket]
		if !ok {
			return
		}
		delete(ids, t.Ticket)
		line := trace.Event{Kind: trace.Answer, ID: id}
		in := time.Since(asked[t.Ticket]) < time.Duration(v.Product.DeadlineMs)*time.Millisecond
		delete(asked, t.Ticket)
		if errors.Is(t.Err, client.ErrLeft) && in { // past the limit it was owed an answer, gone or not
			line.Kind = trace.Gone
		} else if t.Err != nil {
			line.Note = t.Err.Error()
		} else {
			line.Status, line.Note = statusOf(t.Answer.Verdict, t.Answer.Why), t.Answer.Why
			if t.Answer.Grant != nil {
				line.Play = t.Answer.Grant.Play
			}
		}
		p.Trace.Add(line)
	}})
	defer c.Close()
	for tries := 0; ctx.Err() == nil && time.Since(began) < v.WatchTime && tries <= v.MaxRetries; tries++ {
		play, err := c.RequestPlay(ctx, client.Request{Title: v.Title, Product: v.Product.Name, MaxRung: v.MaxRung, Timeout: time.Duration(v.Product.DeadlineMs) * time.Millisecond,
			Length: v.WatchTime - time.Since(began), MaxRetries: v.MaxRetries})
		if err != nil {
			return // its tries are used up
		}
		if p.fetchAll(ctx, v, play, began) {
			p.Trace.Add(trace.Event{Kind: trace.Leave, Play: play.Grant().Play})
			play.End()
			return
		}
	}
}

// fetchAll fetches segments until the viewer's time is over, or the play is, which it tells with false.
func (p *ViewerClients) fetchAll(ctx context.Context, v *Viewer, play *client.Play, began time.Time) bool {
	fails, away := 0, false
	for n := 1; time.Since(began) < v.WatchTime; n++ {
		g := play.Grant()
		every := time.Duration(g.Segment) * time.Millisecond
		if !away {
			status, _ := p.fetch(ctx, g.Base+g.Rungs[len(g.Rungs)-1].ID+"/"+strconv.Itoa(n)+".m4s", every)
			switch {
			case ctx.Err() != nil:
				return true
			case status == http.StatusOK, status == http.StatusGone, status == http.StatusForbidden: // the socket tells what follows
				fails = 0
			default:
				if fails++; fails == 2 {
					fails = 0
					play.ReportNotDelivered()
				}
			}
		}
		tick := time.After(every)
		for waiting := true; waiting; {
			select {
			case e, ok := <-play.Events():
				if !ok || e.Kind == client.Ended {
					return false
				}
				if e.Kind == client.Moved || e.Kind == client.Rung {
					waiting = away // it fetches there at once
					away = false
				}
				if e.Kind == client.Interrupted {
					away = true
				}
			case <-tick:
				waiting = false
			case <-ctx.Done():
				return true
			}
		}
	}
	return true
}
