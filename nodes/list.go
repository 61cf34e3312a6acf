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

// ListNode is one playout node in a message of the list service.
type ListNode struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Phase     string  `json:"phase"` // ready, draining or gone
	Kind      string  `json:"kind"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	StartedMs int64   `json:"started_ms"` // Unix time; 0 means long ago
	Weight    float64 `json:"weight"`
}

// Change is one message of the list service: the full list, the nodes that changed since the previous
// version, or a heartbeat.
type Change struct {
	Version   int64      `json:"version"`
	Full      bool       `json:"whole,omitempty"`
	Heartbeat bool       `json:"beat,omitempty"`
	Nodes     []ListNode `json:"nodes,omitempty"`
}

var phases = map[string]decision.Phase{"ready": decision.Ready, "draining": decision.Draining, "gone": decision.Gone}

// ParseChange parses a message of the list service and converts its nodes with ParseNodes.
func ParseChange(text []byte, service *config.Service, clock *session.Clock) (Change, []session.NodeEntry, error) {
	var c Change
	if err := json.Unmarshal(text, &c); err != nil {
		return Change{}, nil, fmt.Errorf("list: %w", err)
	}
	if c.Version < 0 {
		return Change{}, nil, fmt.Errorf("list: version %d is negative", c.Version)
	}
	entries, err := ParseNodes(c.Nodes, service, clock)
	return c, entries, err
}

// ParseNodes validates nodes and converts them to entries for the core, with kinds and zones as indexes into the
// configuration.
func ParseNodes(listed []ListNode, service *config.Service, clock *session.Clock) ([]session.NodeEntry, error) {
	entries := make([]session.NodeEntry, 0, len(listed))
	for i, n := range listed {
		invalid := func(field string, v any) ([]session.NodeEntry, error) {
			return nil, fmt.Errorf("list: invalid nodes[%d].%s: %.60v", i, field, v)
		}
		e := session.NodeEntry{Name: n.Name, Address: n.Address, Kind: -1, Zone: -1, Cell: n.Cell, Weight: n.Weight}
		var ok bool
		if n.Name == "" {
			return invalid("name", "missing")
		}
		if e.Phase, ok = phases[n.Phase]; !ok {
			return invalid("phase", n.Phase)
		}
		for k, kind := range service.Kinds {
			if kind.Name == n.Kind {
				e.Kind = k
			}
		}
		for k, zone := range service.Zones {
			if zone == n.Zone {
				e.Zone = k
			}
		}
		_, _, err := net.SplitHostPort(n.Address)
		switch {
		case err != nil:
			return invalid("address", n.Address)
		case e.Kind < 0:
			return invalid("kind", n.Kind)
		case e.Zone < 0:
			return invalid("zone", n.Zone)
		case n.Cell < 0 || n.Cell >= service.Cells:
			return invalid("cell", n.Cell)
		case math.IsNaN(n.Weight) || n.Weight <= 0 || n.Weight > 1e9:
			return invalid("weight", n.Weight)
		case n.StartedMs < 0:
			return invalid("started_ms", n.StartedMs)
		}
		if n.StartedMs > 0 {
			e.StartedAt = clock.At(time.UnixMilli(n.StartedMs))
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// FormatNode converts an entry to the list service's format, without its start time.
func FormatNode(e session.NodeEntry, service *config.Service) ListNode {
	return ListNode{Name: e.Name, Address: e.Address, Phase: [...]string{decision.Ready: "ready", decision.Draining: "draining", decision.Gone: "gone"}[e.Phase],
		Kind: service.Kinds[e.Kind].Name, Zone: service.Zones[e.Zone], Cell: e.Cell, Weight: e.Weight}
}

// ListClient keeps the fleet up to date from the list service. It reads one stream, reconnects from the last version,
// and requests the full list after a gap in the versions. While the service is unreachable, the last list stays in use.
type ListClient struct {
	Front   string
	URL     string
	Service *config.Service
	Runner  *session.Runner
	Log     zerolog.Logger
	Seed    uint64
}

// Run reads the list service's stream, reconnecting with backoff, until the context ends.
func (l *ListClient) Run(ctx context.Context) error {
	random := pcg.New(l.Seed)
	version, failures := int64(0), 0
	for {
		previous := version
		err := l.follow(ctx, &version)
		if ctx.Err() != nil {
			return nil
		}
		if version != previous {
			failures = 0
		}
		l.Log.Warn().Err(err).Int64("version", version).Msg("list service stream ended; keeping the last list and reconnecting")
		pause := session.Duration(liveness.Backoff(failures, random.Float64()))
		failures++
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
	}
}

// follow reads one stream of the list service and applies its updates until the stream fails. It keeps version up to date.
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
	silenceTimer := time.AfterFunc(session.Duration(liveness.SilenceTimeout), cancel) // a failed server may leave the connection open
	defer silenceTimer.Stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		silenceTimer.Reset(session.Duration(liveness.SilenceTimeout))
		change, entries, err := ParseChange(lines.Bytes(), l.Service, l.Runner.Clock())
		if err != nil {
			return err
		}
		if change.Heartbeat {
			continue
		}
		if !change.Full && change.Version != *version+1 {
			have := *version
			*version = 0
			return fmt.Errorf("list service: version %d received after version %d", change.Version, have)
		}
		*version = change.Version
		update := membership.Update{Source: membership.List, Version: change.Version, Full: change.Full, Entries: entries}
		l.Runner.Post(func(now int64, core *session.Core) { core.UpdateMembership(now, update) })
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("list service: %w", err)
	}
	return fmt.Errorf("list service: the stream was closed by the peer")
}
