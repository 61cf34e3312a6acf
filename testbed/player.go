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

// Viewer is one simulated viewer: what it wants and how it behaves.
type Viewer struct {
	Name            string
	Product         *config.Product
	Title           string
	MaxRung         int
	WatchTime       time.Duration
	Fronts          []string      // addresses it may ask, the first one first
	Names           []string      // of these fronts
	MaxRetries      int           // further tries after a decline, a failure or a break
	Pause           time.Duration // before one, where no advice is heeded
	HeedsRetryAfter bool          // heeds Retry-After
	Socket          bool          // asks over a socket, and not by manifests
	Rand            *rand.Rand
}

// ViewerClients are the simulated viewers' side of the sockets.
type ViewerClients struct {
	Set    *config.Service
	Trace  *trace.Recorder
	Client *http.Client
	ids    atomic.Int64
	Counts ViewerCounts
}

// ViewerCounts is what the viewers saw, for the report.
type ViewerCounts struct {
	mu       sync.Mutex
	Segments int
	Short    int // delivered under 98%
	Failed   int
}

func (s *ViewerCounts) add(f func(s *ViewerCounts)) { s.mu.Lock(); f(s); s.mu.Unlock() }

// NewViewerClients makes the players' side with connections of its own.
func NewViewerClients(set *config.Service, t *trace.Recorder) *ViewerClients {
	return &ViewerClients{Set: set, Trace: t, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 10 * time.Second}}}
}

// result is what a request for a manifest came to.
type result struct {
	status   int
	play     string
	manifest dash.Manifest
	back     time.Duration // advice; 0 is none
}

// ask sends one request for a manifest and records it with its answer. before is the play that the viewer
// had, broken that its node does not deliver.
func (p *ViewerClients) ask(ctx context.Context, v *Viewer, at int, target, before string, first, broken bool) (res result) {
	id := p.ids.Add(1)
	line := trace.Event{Kind: trace.Ask, ID: id, Front: v.Names[at], Viewer: v.Name, Product: v.Product.Name,
		Title: v.Title, LimitMs: int64(v.Product.DeadlineMs), Play: before, First: first}
	if broken {
		line.Note = "broken"
	}
	if first {
		line.WatchMs, line.Rung = v.WatchTime.Milliseconds(), v.MaxRung
	}
	limit := time.Duration(v.Product.DeadlineMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit+2*time.Second) // longer than its limit, to see what comes late
	defer cancel()
	p.Trace.Add(line)
	got, err := client.RequestManifest(ctx, p.Client, target)
	ans := trace.Event{Kind: trace.Answer, ID: id, Status: got.Status, Play: got.Play, Note: got.Reason}
	if err != nil {
		ans.Note = err.Error()
	}
	p.Trace.Add(ans)
	return result{status: got.Status, play: got.Play, manifest: got.Manifest, back: got.RetryAfter}
}

// firstURL asks for the title anew.
func (p *ViewerClients) firstURL(v *Viewer, at int, left time.Duration) string {
	return client.FirstManifestURL("http", v.Fronts[at], v.Name, client.Request{Title: v.Title, Product: v.Product.Name, MaxRung: v.MaxRung, Length: left})
}

// Watch lives through one viewer's wish: asks, fetches, retries, returns after breaks and moves, and
// leaves when its time is over or its patience is.
func (p *ViewerClients) Watch(ctx context.Context, v *Viewer) {
	if v.Socket {
		p.watchSocket(ctx, v)
		return
	}
	began := time.Now()
	first, at, tries := true, 0, 0
	target, before, broken := "", "", false
	for ctx.Err() == nil && time.Since(began) < v.WatchTime {
		if target == "" {
			target = p.firstURL(v, at, v.WatchTime-time.Since(began))
		}
		res := p.ask(ctx, v, at, target, before, first, broken)
		first = false
		if res.status == http.StatusOK {
			how := p.play(ctx, v, at, &res, began)
			if how == over {
				p.leave(ctx, res.play, res.manifest.Location)
				return
			}
			// Told twice that it is gone, it says so to a front that does not know yet.
			broken = how == stalled || res.play == before
			before = res.play
			target = res.manifest.Location
			if broken {
				target += "?broken=1"
			}
			if how == away { // moved, or its node is lost: it is expected back at the same front
				continue
			}
		}
		if tries++; tries > v.MaxRetries {
			return
		}
		pause := time.Duration((0.5 + v.Rand.Float64()) * float64(v.Pause))
		if v.HeedsRetryAfter && res.back > 0 {
			pause = time.Duration((1 + v.Rand.Float64()) * float64(res.back))
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		if res.status != http.StatusOK { // another front, without the token: that one may not know it
			at, target, before, broken = (at+1)%len(v.Fronts), "", "", false
		}
	}
}

// outcome is why a player stopped fetching.
type outcome int

const (
	over    outcome = iota // its time is over, or it was told to stop
	away                   // the node says that the play ended there: ask again at once
	stalled                // the node does not deliver
)

// play fetches segments until the viewer's time is over or the play breaks.
func (p *ViewerClients) play(ctx context.Context, v *Viewer, at int, res *result, began time.Time) outcome {
	every := time.Duration(res.manifest.Segment) * time.Millisecond
	hint, fails := "", 0
	for n := 1; time.Since(began) < v.WatchTime; n++ {
		m := &res.manifest
		rung := m.Rungs[len(m.Rungs)-1]
		status, suggest := p.fetch(ctx, m.Base+dash.RepresentationID(rung)+"/"+strconv.Itoa(n)+".m4s", every)
		switch {
		case ctx.Err() != nil:
			return over
		case status == http.StatusGone:
			return away
		case status == http.StatusOK:
			fails = 0
		case status == http.StatusForbidden && suggest != hint: // a rung lower: the manifest is asked for again below
		default:
			if fails++; fails >= 2 {
				return stalled
			}
			continue
		}
		if suggest != hint && hint != "" || status == http.StatusForbidden {
			again := p.ask(ctx, v, at, m.Location, res.play, false, false)
			switch {
			case again.status != http.StatusOK:
				return stalled
			case again.play != res.play: // the front had placed it anew
				*res = again
			default:
				res.manifest = again.manifest
			}
		}
		hint = suggest
		select {
		case <-time.After(every):
		case <-ctx.Done():
			return over
		}
	}
	return over
}

// fetch fetches one segment and returns the rate that the node suggests.
func (p *ViewerClients) fetch(ctx context.Context, target string, patience time.Duration) (status int, suggest string) {
	ctx, cancel := context.WithTimeout(ctx, patience)
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
			p.Counts.add(func(s *ViewerCounts) { s.Failed++ })
		}
		return 0, ""
	}
	share, _ := strconv.ParseFloat(resp.Header.Get(DeliveredShareHeader), 64)
	p.Counts.add(func(s *ViewerCounts) {
		if resp.StatusCode == http.StatusOK {
			s.Segments++
			if share < 0.98 {
				s.Short++
			}
		}
	})
	return resp.StatusCode, resp.Header.Get(suggested)
}

// leave tells the front that the viewer is done. It is recorded first: whatever the front does of it comes after the line.
func (p *ViewerClients) leave(ctx context.Context, play, location string) {
	u, err := url.Parse(location)
	if err != nil {
		return
	}
	u.Path = strings.TrimSuffix(u.Path, "/manifest.mpd")
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, u.String(), nil)
	if err != nil {
		return
	}
	p.Trace.Add(trace.Event{Kind: trace.Leave, Play: play})
	if resp, err := p.Client.Do(req); err == nil {
		resp.Body.Close()
	}
}
