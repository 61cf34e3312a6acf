package testbed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gullrail/dash"
)

// Load asks fronts for plays in an open loop: each request has its time, whether earlier ones were
// answered or not, and its latency counts from that time, so that a front that stands still is not
// spared the requests that came meanwhile.
type Load struct {
	Scenario       *Scenario // its products' shares, its titles by their Zipf, its seed
	Fronts         []FrontAddress
	PlaysPerSecond float64       // new plays a second
	Duration       time.Duration // of asking
	PlayTime       time.Duration // a play that plays is left after this
	Name           string        // of this run, so that its viewers are nobody else's
}

// LoadResult is what a load run saw.
type LoadResult struct {
	Requests, Plays, Declined, Failed, Broken int
	Latency                                   *hdrhistogram.Histogram // microseconds, of all that were answered
	MetricsBefore, MetricsAfter               []map[string]float64    // metrics of each front
	Took                                      time.Duration
}

const loadRedials = 4096 // connections kept to a front, so that the tool measures no handshakes

// Run runs the load and waits for its last answer.
func (l *Load) Run(ctx context.Context) (*LoadResult, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadRedials, MaxIdleConns: loadRedials * len(l.Fronts)},
		Timeout: 30 * time.Second}
	defer client.CloseIdleConnections()
	res := &LoadResult{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	var err error
	if res.MetricsBefore, err = l.scrape(ctx, client); err != nil {
		return nil, err
	}
	day := *l.Scenario
	day.ViewersPerSecond, day.Seconds = l.PlaysPerSecond, l.Duration.Seconds()
	var wg sync.WaitGroup
	var mu sync.Mutex
	start, n := time.Now(), 0
	for a := range day.arrivals(len(l.Fronts)) {
		due := start.Add(time.Duration(a.at * float64(time.Second)))
		q := url.Values{"product": {a.v.Product.Name}, "viewer": {l.Name + "-" + a.v.Name}}
		target := "http://" + l.Fronts[n%len(l.Fronts)].Address + "/v1/titles/" + url.PathEscape(a.v.Title) + "/manifest.mpd?" + q.Encode()
		n++
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			wg.Wait()
			return nil, ctx.Err()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, location := get(ctx, client, target)
			took := time.Since(due)
			mu.Lock()
			res.Requests++
			switch status {
			case http.StatusOK:
				res.Plays++
			case http.StatusServiceUnavailable:
				res.Declined++
			case 0:
				res.Broken++
			default:
				res.Failed++
			}
			if status != 0 {
				res.Latency.RecordValue(max(1, took.Microseconds()))
			}
			mu.Unlock()
			if status != http.StatusOK {
				return
			}
			select {
			case <-time.After(l.PlayTime):
			case <-ctx.Done():
				return
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodDelete, location, nil)
			if err != nil {
				return
			}
			if resp, err := client.Do(req); err == nil {
				resp.Body.Close()
			}
		}()
	}
	select {
	case <-time.After(time.Until(start.Add(l.Duration))):
	case <-ctx.Done():
	}
	if res.MetricsAfter, err = l.scrape(ctx, client); err != nil {
		return nil, err
	}
	wg.Wait()
	res.Took = time.Since(start)
	return res, nil
}

func get(ctx context.Context, client *http.Client, target string) (status int, location string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, ""
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return 0, ""
	}
	if resp.StatusCode == http.StatusOK {
		m, err := dash.Decode(body)
		if err != nil {
			return 0, ""
		}
		u, err := resp.Request.URL.Parse(strings.TrimSuffix(m.Location, "/manifest.mpd"))
		if err != nil {
			return 0, ""
		}
		return resp.StatusCode, u.String()
	}
	return resp.StatusCode, ""
}

// scrape reads the plain metrics of each front: those without labels but the front's name.
func (l *Load) scrape(ctx context.Context, client *http.Client) ([]map[string]float64, error) {
	var all []map[string]float64
	for _, f := range l.Fronts {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Address+"/metrics", nil)
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		m := map[string]float64{}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			name, val, _ := strings.Cut(lines.Text(), " ")
			name, _, _ = strings.Cut(name, "{")
			if v, err := strconv.ParseFloat(val, 64); err == nil {
				m[name] = v
			}
		}
		resp.Body.Close()
		all = append(all, m)
	}
	return all, nil
}

// MetricIncrease is how much a metric grew over the run, all fronts together.
func (r *LoadResult) MetricIncrease(name string) (sum float64) {
	for i := range r.MetricsAfter {
		sum += r.MetricsAfter[i][name] - r.MetricsBefore[i][name]
	}
	return sum
}

// MetricAtEnd is a metric at the end of asking, all fronts together.
func (r *LoadResult) MetricAtEnd(name string) (sum float64) {
	for i := range r.MetricsAfter {
		sum += r.MetricsAfter[i][name]
	}
	return sum
}

// FrontAddress is a front as viewers reach it.
type FrontAddress struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Fronts are those that Start started.
func (r *Rehearsal) Fronts() (all []FrontAddress) {
	for _, f := range r.fronts {
		all = append(all, FrontAddress{f.name, f.addr})
	}
	return all
}
