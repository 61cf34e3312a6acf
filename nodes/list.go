package nodes

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/decision"
	"gullrail/internal/pcg"
	"gullrail/liveness"
	"gullrail/membership"
	"gullrail/session"
)

// Line is one playout node in the list service's stream.
type Line struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Phase     string  `json:"phase"` // ready, draining or gone
	Kind      string  `json:"kind"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	StartedMs int64   `json:"started_ms"` // Unix time; 0 is long past
	Weight    float64 `json:"weight"`
}

// Change is one message of the list service: the whole list, what changed since the version before,
// or neither, to show that it lives.
type Change struct {
	Version int64  `json:"version"`
	Full    bool   `json:"whole,omitempty"`
	Beat    bool   `json:"beat,omitempty"`
	Nodes   []Line `json:"nodes,omitempty"`
}

var phases = map[string]decision.Phase{"ready": decision.Ready, "draining": decision.Draining, "gone": decision.Gone}

// ParseChange reads a message of the list service into lines as the core knows them.
func ParseChange(text []byte, set *config.Service, clock *session.Clock) (Change, []session.NodeEntry, error) {
	var c Change
	if err := json.Unmarshal(text, &c); err != nil {
		return Change{}, nil, fmt.Errorf("list: %w", err)
	}
	if c.Version < 0 {
		return Change{}, nil, fmt.Errorf("list: version %d", c.Version)
	}
	lines, err := ParseLines(c.Nodes, set, clock)
	return c, lines, err
}

// ParseLines checks lines and turns them into the core's, with the numbers of kinds and zones.
func ParseLines(given []Line, set *config.Service, clock *session.Clock) ([]session.NodeEntry, error) {
	lines := make([]session.NodeEntry, 0, len(given))
	for i, n := range given {
		wrong := func(field string, v any) ([]session.NodeEntry, error) {
			return nil, fmt.Errorf("list: nodes[%d].%s: %.60v", i, field, v)
		}
		l := session.NodeEntry{Name: n.Name, Address: n.Address, Kind: -1, Zone: -1, Cell: n.Cell, Weight: n.Weight}
		var ok bool
		if n.Name == "" {
			return wrong("name", "missing")
		}
		if l.Phase, ok = phases[n.Phase]; !ok {
			return wrong("phase", n.Phase)
		}
		for k, kind := range set.Kinds {
			if kind.Name == n.Kind {
				l.Kind = k
			}
		}
		for k, zone := range set.Zones {
			if zone == n.Zone {
				l.Zone = k
			}
		}
		_, _, err := net.SplitHostPort(n.Address)
		switch {
		case err != nil:
			return wrong("address", n.Address)
		case l.Kind < 0:
			return wrong("kind", n.Kind)
		case l.Zone < 0:
			return wrong("zone", n.Zone)
		case n.Cell < 0 || n.Cell >= set.Cells:
			return wrong("cell", n.Cell)
		case math.IsNaN(n.Weight) || n.Weight <= 0 || n.Weight > 1e9:
			return wrong("weight", n.Weight)
		case n.StartedMs < 0:
			return wrong("started_ms", n.StartedMs)
		}
		if n.StartedMs > 0 {
			l.StartedAt = clock.At(time.UnixMilli(n.StartedMs))
		}
		lines = append(lines, l)
	}
	return lines, nil
}

// FormatLine is a line as the list service would tell it; its start is not told.
func FormatLine(l session.NodeEntry, set *config.Service) Line {
	return Line{Name: l.Name, Address: l.Address, Phase: [...]string{decision.Ready: "ready", decision.Draining: "draining", decision.Gone: "gone"}[l.Phase],
		Kind: set.Kinds[l.Kind].Name, Zone: set.Zones[l.Zone], Cell: l.Cell, Weight: l.Weight}
}

// ListClient follows the list service: one stream, resumed by its version, the whole list after a gap. While
// it is out of reach the last list holds.
type ListClient struct {
	Front  string
	URL    string
	Set    *config.Service
	Runner *session.Runner
	Log    zerolog.Logger
	Seed   uint64
}

// Run follows until the context ends.
func (l *ListClient) Run(ctx context.Context) error {
	rnd := pcg.New(l.Seed)
	version, failures := int64(0), 0
	for {
		was := version
		err := l.follow(ctx, &version)
		if ctx.Err() != nil {
			return nil
		}
		if version != was {
			failures = 0
		}
		l.Log.Warn().Err(err).Int64("version", version).Msg("list service out of reach; the last list holds")
		pause := session.Duration(liveness.Backoff(failures, rnd.Float()))
		failures++
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *ListClient) follow(ctx context.Context, version *int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := url.Values{"front": {l.Front}, "since": {strconv.FormatInt(*version, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.URL+"?"+q.Encode(), nil)
	if err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	transport := &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: session.Duration(liveness.CallTimeout),
		DialContext: (&net.Dialer{Timeout: session.Duration(liveness.ConnectTimeout)}).DialContext}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("list service: %s", resp.Status)
	}
	quiet := time.AfterFunc(session.Duration(liveness.SilenceTimeout), cancel) // a dead peer says nothing, not even that
	defer quiet.Stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		quiet.Reset(session.Duration(liveness.SilenceTimeout))
		c, listed, err := ParseChange(lines.Bytes(), l.Set, l.Runner.Clock())
		if err != nil {
			return err
		}
		if c.Beat {
			continue
		}
		if !c.Full && c.Version != *version+1 {
			have := *version
			*version = 0
			return fmt.Errorf("list service: version %d came after %d", c.Version, have)
		}
		*version = c.Version
		word := membership.Update{Source: membership.List, Version: c.Version, Full: c.Full, Entries: listed}
		l.Runner.Post(func(now int64, core *session.Core) { core.UpdateMembership(now, word) })
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	return fmt.Errorf("list service: closed the stream")
}
