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

// LoadGenerator requests plays from fronts in an open loop: the send time of each request is independent of the answers
// to earlier ones, and latency is measured from that time. Measurements thus include the requests that queue
// up while a front stalls.
type LoadGenerator struct {
	Scenario       *Scenario // supplies the mix of products, the distribution of titles and the seed
	Fronts         []FrontAddress
	PlaysPerSecond float64
	Duration       time.Duration // of the request phase
	PlayTime       time.Duration // time from a successful answer to the end of the play
	Name           string        // prefix of viewer names, unique to the run
}

// LoadResult holds the measurements of a load run.
type LoadResult struct {
	Requests, Plays, Declined, Failed, Broken int
	Latency                                   *hdrhistogram.Histogram // microseconds, over all answered requests
	MetricsBefore, MetricsAfter               []map[string]float64    // by front, in the order of LoadGenerator.Fronts
	Took                                      time.Duration
}

const idleConnsPerFront = 4096 // high enough to reuse connections, so that latencies exclude handshakes

// Run runs the load and returns after the last request has been answered and its play has ended.
func (l *LoadGenerator) Run(ctx context.Context) (*LoadResult, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerFront, MaxIdleConns: idleConnsPerFront * len(l.Fronts)},
		Timeout: 30 * time.Second}
	defer client.CloseIdleConnections()
	res := &LoadResult{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	var err error
	if res.MetricsBefore, err = l.scrape(ctx, client); err != nil {
		return nil, err
	}
	scenario := *l.Scenario
	scenario.ViewersPerSecond, scenario.Seconds = l.PlaysPerSecond, l.Duration.Seconds()
	var wg sync.WaitGroup
	var mu sync.Mutex
	start, n := time.Now(), 0
	for a := range scenario.arrivals(len(l.Fronts)) {
		scheduled := start.Add(time.Duration(a.at * float64(time.Second)))
		query := url.Values{"product": {a.viewer.Product.Name}, "viewer": {l.Name + "-" + a.viewer.Name}}
		target := "http://" + l.Fronts[n%len(l.Fronts)].Address + "/v1/titles/" + url.PathEscape(a.viewer.Title) + "/manifest.mpd?" + query.Encode()
		n++
		select {
		case <-time.After(time.Until(scheduled)):
		case <-ctx.Done():
			wg.Wait()
			return nil, ctx.Err()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, location := requestManifest(ctx, client, target)
			took := time.Since(scheduled)
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

// requestManifest requests a play. It returns the status, 0 without a valid answer, and the URL of the play if
// the request succeeded.
func requestManifest(ctx context.Context, client *http.Client, target string) (status int, location string) {
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

// scrape reads the metrics of each front by name. Labels are dropped, so values are only meaningful for metrics
// without labels other than the name of the front.
func (l *LoadGenerator) scrape(ctx context.Context, client *http.Client) ([]map[string]float64, error) {
	var metrics []map[string]float64
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
		metrics = append(metrics, m)
	}
	return metrics, nil
}

// MetricIncrease returns the increase of a metric over the request phase, summed over all fronts.
func (r *LoadResult) MetricIncrease(name string) (sum float64) {
	for i := range r.MetricsAfter {
		sum += r.MetricsAfter[i][name] - r.MetricsBefore[i][name]
	}
	return sum
}

// MetricAtEnd returns the value of a metric at the end of the request phase, summed over all fronts.
func (r *LoadResult) MetricAtEnd(name string) (sum float64) {
	for i := range r.MetricsAfter {
		sum += r.MetricsAfter[i][name]
	}
	return sum
}

// FrontAddress is the name of a front and the host and port at which it serves viewers.
type FrontAddress struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Fronts returns the fronts that Start started.
func (r *Rehearsal) Fronts() (addresses []FrontAddress) {
	for _, f := range r.fronts {
		addresses = append(addresses, FrontAddress{f.name, f.addr})
	}
	return addresses
}
