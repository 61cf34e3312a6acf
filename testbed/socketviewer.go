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

// httpStatus returns the status that the HTTP interface uses for a verdict of the WebSocket interface, so that
// traces of both are alike.
func httpStatus(verdict, reason string) int {
	switch {
	case verdict == "plays":
		return http.StatusOK
	case verdict == "declined":
		return http.StatusServiceUnavailable
	case verdict == "failed" && reason == "time limit":
		return http.StatusGatewayTimeout
	case verdict == "failed":
		return http.StatusBadGateway
	}
	return http.StatusForbidden
}

// watchSocket runs a viewer like Watch, but with package client over a WebSocket.
func (p *ViewerClients) watchSocket(ctx context.Context, v *Viewer) {
	startedAt := time.Now()
	var mu sync.Mutex
	pendingIDs := map[string]int64{} // trace IDs of unanswered requests, by ticket
	askedAt := map[string]time.Time{}
	first := true
	frontNames := map[string]string{}
	for i, a := range v.Fronts {
		frontNames[a] = v.Names[i]
	}
	c := client.New(client.Options{Fronts: v.Fronts, Viewer: v.Name, OnExchange: func(exchange client.Exchange) {
		mu.Lock()
		defer mu.Unlock()
		if exchange.Answer == nil && exchange.Err == nil {
			id := p.ids.Add(1)
			pendingIDs[exchange.Ticket], askedAt[exchange.Ticket] = id, time.Now()
			event := trace.Event{Kind: trace.RequestSent, ID: id, Front: frontNames[exchange.Front], Viewer: v.Name, Product: v.Product.Name, Title: v.Title,
				LimitMs: int64(v.Product.DeadlineMs), Play: exchange.PreviousPlay, First: first}
			if exchange.NotDelivered {
				event.Note = "broken"
			}
			if first {
				event.WatchMs, event.Rung = v.WatchTime.Milliseconds(), v.MaxRung
			}
			first = false
			p.Trace.Add(event)
			return
		}
		id, ok := pendingIDs[exchange.Ticket]
		if !ok {
			return
		}
		delete(pendingIDs, exchange.Ticket)
		event := trace.Event{Kind: trace.Answer, ID: id}
		inTime := time.Since(askedAt[exchange.Ticket]) < time.Duration(v.Product.DeadlineMs)*time.Millisecond
		delete(askedAt, exchange.Ticket)
		if errors.Is(exchange.Err, client.ErrLeft) && inTime { // after the limit, the lack of an answer counts even if the client has left
			event.Kind = trace.PlayerDisconnected
		} else if exchange.Err != nil {
			event.Note = exchange.Err.Error()
		} else {
			event.Status, event.Note = httpStatus(exchange.Answer.Verdict, exchange.Answer.Reason), exchange.Answer.Reason
			if exchange.Answer.Grant != nil {
				event.Play = exchange.Answer.Grant.Play
			}
		}
		p.Trace.Add(event)
	}})
	defer c.Close()
	for tries := 0; ctx.Err() == nil && time.Since(startedAt) < v.WatchTime && tries <= v.MaxRetries; tries++ {
		play, err := c.RequestPlay(ctx, client.Request{Title: v.Title, Product: v.Product.Name, MaxRung: v.MaxRung, Timeout: time.Duration(v.Product.DeadlineMs) * time.Millisecond,
			Length: v.WatchTime - time.Since(startedAt), MaxRetries: v.MaxRetries})
		if err != nil {
			return // the retries are used up
		}
		if p.fetchSegments(ctx, v, play, startedAt) {
			p.Trace.Add(trace.Event{Kind: trace.PlayerLeaving, Play: play.Grant().Play})
			play.End()
			return
		}
	}
}

// fetchSegments fetches segments until the watch time is over or ctx ends. It returns false if the play ended
// before that.
func (p *ViewerClients) fetchSegments(ctx context.Context, v *Viewer, play *client.Play, startedAt time.Time) bool {
	failures, interrupted := 0, false
	for n := 1; time.Since(startedAt) < v.WatchTime; n++ {
		g := play.Grant()
		interval := time.Duration(g.SegmentMs) * time.Millisecond
		if !interrupted {
			status, _ := p.fetchSegment(ctx, g.Base+g.Rungs[len(g.Rungs)-1].ID+"/"+strconv.Itoa(n)+".m4s", interval)
			switch {
			case ctx.Err() != nil:
				return true
			case status == http.StatusOK, status == http.StatusGone, status == http.StatusForbidden: // an event on the socket follows
				failures = 0
			default:
				if failures++; failures == 2 {
					failures = 0
					play.ReportNotDelivered()
				}
			}
		}
		timer := time.After(interval)
		for waiting := true; waiting; {
			select {
			case e, ok := <-play.Events():
				if !ok || e.Kind == client.Ended {
					return false
				}
				if e.Kind == client.Moved || e.Kind == client.RungChanged {
					waiting = interrupted // after an interruption, fetch from the new node at once
					interrupted = false
				}
				if e.Kind == client.Interrupted {
					interrupted = true
				}
			case <-timer:
				waiting = false
			case <-ctx.Done():
				return true
			}
		}
	}
	return true
}
