package testbed

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gullrail/client"
	"gullrail/config"
	"gullrail/dash"
	"gullrail/testbed/trace"
)

// Viewer is an emulated viewer: its request and its behaviour.
type Viewer struct {
	Name            string
	Product         *config.Product
	Title           string
	MaxRung         int
	WatchTime       time.Duration
	Fronts          []string      // addresses of fronts, in the order in which they are tried
	Names           []string      // names of Fronts, in the same order
	MaxRetries      int           // after a decline, a failure or an interruption
	Pause           time.Duration // mean pause before a retry, unless Retry-After is heeded
	HeedsRetryAfter bool          // waits as long as Retry-After says
	Socket          bool          // uses a WebSocket instead of DASH manifests
	Rand            *rand.Rand
}

// ViewerClients runs viewers on sockets and records their requests and answers.
type ViewerClients struct {
	Service *config.Service
	Trace   *trace.Recorder
	Client  *http.Client
	ids     atomic.Int64
	Counts  ViewerCounts
}

// ViewerCounts counts the segments of all viewers.
type ViewerCounts struct {
	mu       sync.Mutex
	Segments int
	Short    int // delivered at less than 0.98 of the bit rate
	Failed   int // requests without a complete answer
}

// update calls f with the lock held.
func (s *ViewerCounts) update(f func(s *ViewerCounts)) { s.mu.Lock(); f(s); s.mu.Unlock() }

// NewViewerClients returns a ViewerClients with its own HTTP connections.
func NewViewerClients(service *config.Service, t *trace.Recorder) *ViewerClients {
	return &ViewerClients{Service: service, Trace: t, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 10 * time.Second}}}
}

// manifestResult is the result of a manifest request.
type manifestResult struct {
	status     int
	play       string
	manifest   dash.Manifest
	retryAfter time.Duration // 0 if the answer has none
}

// requestManifest sends a manifest request and records it and its answer. previousPlay is the viewer's play so
// far, if any; notDelivering means that the node of that play does not deliver.
func (p *ViewerClients) requestManifest(ctx context.Context, v *Viewer, front int, target, previousPlay string, first, notDelivering bool) (res manifestResult) {
	id := p.ids.Add(1)
	event := trace.Event{Kind: trace.RequestSent, ID: id, Front: v.Names[front], Viewer: v.Name, Product: v.Product.Name,
		Title: v.Title, LimitMs: int64(v.Product.DeadlineMs), Play: previousPlay, First: first}
	if notDelivering {
		event.Note = "broken"
	}
	if first {
		event.WatchMs, event.Rung = v.WatchTime.Milliseconds(), v.MaxRung
	}
	limit := time.Duration(v.Product.DeadlineMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit+2*time.Second) // past the limit, to record late answers
	defer cancel()
	p.Trace.Add(event)
	resp, err := client.RequestManifest(ctx, p.Client, target)
	answer := trace.Event{Kind: trace.Answer, ID: id, Status: resp.Status, Play: resp.Play, Note: resp.Reason}
	if err != nil {
		answer.Note = err.Error()
	}
	p.Trace.Add(answer)
	return manifestResult{status: resp.Status, play: resp.Play, manifest: resp.Manifest, retryAfter: resp.RetryAfter}
}

// initialURL returns the manifest URL for a new play.
func (p *ViewerClients) initialURL(v *Viewer, front int, length time.Duration) string {
	return client.ManifestURL("http", v.Fronts[front], v.Name, client.Request{Title: v.Title, Product: v.Product.Name, MaxRung: v.MaxRung, Length: length})
}

// Watch runs a viewer: it requests a play, fetches segments, resumes after interruptions and moves, and retries
// after declines and failures. It returns when the watch time is over or the retries are used up.
func (p *ViewerClients) Watch(ctx context.Context, v *Viewer) {
	if v.Socket {
		p.watchSocket(ctx, v)
		return
	}
	startedAt := time.Now()
	first, front, retries := true, 0, 0
	target, previousPlay, notDelivering := "", "", false
	for ctx.Err() == nil && time.Since(startedAt) < v.WatchTime {
		if target == "" {
			target = p.initialURL(v, front, v.WatchTime-time.Since(startedAt))
		}
		res := p.requestManifest(ctx, v, front, target, previousPlay, first, notDelivering)
		first = false
		if res.status == http.StatusOK {
			end := p.play(ctx, v, front, &res, startedAt)
			if end == finished {
				p.endPlay(ctx, res.play, res.manifest.Location)
				return
			}
			// If the front returned the same play and it has ended at its node again, the front does not know
			// of the end yet: report that the play is not delivered.
			notDelivering = end == notDelivered || res.play == previousPlay
			previousPlay = res.play
			target = res.manifest.Location
			if notDelivering {
				target += "?broken=1"
			}
			if end == endedAtNode { // moved, or the node is lost: the front expects a new request at once
				continue
			}
		}
		if retries++; retries > v.MaxRetries {
			return
		}
		pause := time.Duration((0.5 + v.Rand.Float64()) * float64(v.Pause))
		if v.HeedsRetryAfter && res.retryAfter > 0 {
			pause = time.Duration((1 + v.Rand.Float64()) * float64(res.retryAfter))
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		if res.status != http.StatusOK { // try the next front with a new request, as it may not know the play
			front, target, previousPlay, notDelivering = (front+1)%len(v.Fronts), "", "", false
		}
	}
}

// playEnd is the reason why a viewer stopped fetching segments.
type playEnd int

const (
	finished     playEnd = iota // the watch time is over, or ctx ended
	endedAtNode                 // the node reports that the play has ended there: request the manifest again at once
	notDelivered                // the node does not deliver segments
)

// play fetches segments until the watch time is over or the play is interrupted. It requests the manifest again
// when the node suggests another rate, and updates res.
func (p *ViewerClients) play(ctx context.Context, v *Viewer, front int, res *manifestResult, startedAt time.Time) playEnd {
	interval := time.Duration(res.manifest.SegmentMs) * time.Millisecond
	suggestedRate, failures := "", 0
	for n := 1; time.Since(startedAt) < v.WatchTime; n++ {
		m := &res.manifest
		rung := m.Rungs[len(m.Rungs)-1]
		status, newRate := p.fetchSegment(ctx, m.Base+dash.RepresentationID(rung)+"/"+strconv.Itoa(n)+".m4s", interval)
		switch {
		case ctx.Err() != nil:
			return finished
		case status == http.StatusGone:
			return endedAtNode
		case status == http.StatusOK:
			failures = 0
		case status == http.StatusForbidden && newRate != suggestedRate: // the rung was lowered: the manifest is requested again below
		default:
			if failures++; failures >= 2 {
				return notDelivered
			}
			continue
		}
		if newRate != suggestedRate && suggestedRate != "" || status == http.StatusForbidden {
			update := p.requestManifest(ctx, v, front, m.Location, res.play, false, false)
			switch {
			case update.status != http.StatusOK:
				return notDelivered
			case update.play != res.play: // the front has started a new play
				*res = update
			default:
				res.manifest = update.manifest
			}
		}
		suggestedRate = newRate
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return finished
		}
	}
	return finished
}

// fetchSegment fetches a segment. It returns the status, 0 without a complete answer, and the rate that the node
// suggests.
func (p *ViewerClients) fetchSegment(ctx context.Context, target string, timeout time.Duration) (status int, newRate string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, ""
	}
	resp, err := p.Client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20))
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			p.Counts.update(func(s *ViewerCounts) { s.Failed++ })
		}
		return 0, ""
	}
	share, _ := strconv.ParseFloat(resp.Header.Get(DeliveredShareHeader), 64)
	p.Counts.update(func(s *ViewerCounts) {
		if resp.StatusCode == http.StatusOK {
			s.Segments++
			if share < 0.98 {
				s.Short++
			}
		}
	})
	return resp.StatusCode, resp.Header.Get(suggestedRateHeader)
}

// endPlay tells the front that the viewer has left. The event is recorded before the request is sent, so that it
// precedes all effects in the trace.
func (p *ViewerClients) endPlay(ctx context.Context, play, location string) {
	u, err := url.Parse(location)
	if err != nil {
		return
	}
	u.Path = strings.TrimSuffix(u.Path, "/manifest.mpd")
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, u.String(), nil)
	if err != nil {
		return
	}
	p.Trace.Add(trace.Event{Kind: trace.PlayerLeaving, Play: play})
	if resp, err := p.Client.Do(req); err == nil {
		resp.Body.Close()
	}
}
