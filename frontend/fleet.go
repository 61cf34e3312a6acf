package frontend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/decision"
	"gullrail/membership"
	"gullrail/nodes"
	"gullrail/session"
	"gullrail/store"
)

// FleetFolder is where a front keeps the list of nodes as it last knew it, in its state folder.
const FleetFolder = "fleet"

const saveEvery = 2 * time.Second // the list is written down at most so often: what a crash loses is younger

// savedFleet is the list as it is written down: one record of a store, which brings its checksum and its place in a crash.
type savedFleet struct {
	ListURL string       `json:"list_url"` // of the service that said so: another site's list is of no use
	Version int64        `json:"version"`
	At      int64        `json:"at"` // Unix milliseconds
	Nodes   []nodes.Line `json:"nodes"`
}

// fleet keeps the saved list of one front.
type fleet struct {
	set    *config.Service
	url    string
	runner *session.Runner
	say    zerolog.Logger
	log    *store.Log // nil where nothing is kept
	saved  *membership.Update
	last   string
}

// openFleet reads what was saved. A saved list that is damaged or another site's is told and not used; it is no reason not to start.
func openFleet(folder, url string, set *config.Service, r *session.Runner, say zerolog.Logger) (*fleet, error) {
	f := &fleet{set: set, url: url, runner: r, say: say}
	if folder == "" {
		return f, nil
	}
	dir := filepath.Join(folder, FleetFolder)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	log, c, err := store.Open(store.Folder(dir))
	if errors.Is(err, store.ErrDamage) || errors.Is(err, store.ErrFormat) {
		say.Error().Err(err).Str("folder", dir).Msg("the saved list is not used")
		if err = os.RemoveAll(dir); err == nil {
			err = os.MkdirAll(dir, 0o700)
		}
		if err == nil {
			log, c, err = store.Open(store.Folder(dir))
		}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	f.log = log
	if n := len(c.Records); n > 0 {
		if f.saved, err = f.read(c.Records[n-1]); err != nil {
			say.Error().Err(err).Str("folder", dir).Msg("the saved list is not used")
		}
	}
	return f, nil
}

func (f *fleet) read(text []byte) (*membership.Update, error) {
	var s savedFleet
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("saved list: %w", err)
	}
	if s.ListURL != f.url {
		return nil, fmt.Errorf("saved list: of the service at %.80s", s.ListURL)
	}
	lines, err := nodes.ParseLines(s.Nodes, f.set, f.runner.Clock())
	if err != nil {
		return nil, fmt.Errorf("saved %w", err)
	}
	return &membership.Update{Source: membership.Saved, Version: s.Version, Full: true, Age: session.Ticks(time.Since(time.UnixMilli(s.At))), Entries: lines}, nil
}

// run offers what was saved if the list service has not spoken in time, and writes the list down as it changes, until
// the context ends.
func (f *fleet) run(ctx context.Context) error {
	if f.log != nil {
		defer f.log.Close()
	}
	if f.saved != nil {
		select {
		case <-time.After(session.Duration(membership.SavedListDelay)):
		case <-ctx.Done():
			return nil
		}
		word := *f.saved
		used := make(chan bool, 1)
		f.runner.Post(func(now int64, c *session.Core) { used <- c.UpdateMembership(now, word) })
		select {
		case ok := <-used:
			if ok {
				f.say.Warn().Int("nodes", len(word.Entries)).Dur("age", session.Duration(word.Age)).Msg("the list service has not spoken: the saved list is used")
			}
		case <-ctx.Done():
			return nil
		}
	}
	if f.log == nil {
		return nil
	}
	tick := time.NewTicker(saveEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		f.save(ctx)
	}
}

func (f *fleet) save(ctx context.Context) {
	type kept struct {
		version int64
		lines   []membership.Entry
		heard   bool
	}
	got := make(chan kept, 1)
	f.runner.Post(func(_ int64, c *session.Core) {
		v, lines := c.ListSnapshot()
		got <- kept{v, lines, c.ListReceived()}
	})
	var k kept
	select {
	case k = <-got:
	case <-ctx.Done():
		return
	}
	if !k.heard || len(k.lines) == 0 { // what was saved is not saved again as if it were new
		return
	}
	s := savedFleet{ListURL: f.url, Version: k.version, At: time.Now().UnixMilli()}
	for _, l := range k.lines {
		s.Nodes = append(s.Nodes, nodes.FormatLine(l, f.set))
	}
	text, err := json.Marshal(s)
	if err != nil {
		f.say.Error().Err(err).Msg("saved list")
		return
	}
	if err := <-f.log.Compact([][]byte{text}); err != nil && f.last != err.Error() {
		f.last = err.Error()
		f.say.Error().Err(err).Msg("the list can't be written down: a start without the list service will not know the fleet")
	}
}

// FleetPath is where a front tells what it believes of its fleet.
const FleetPath = "/v1/fleet"

// FleetNode is what a front believes of one node, as told at FleetPath.
type FleetNode struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Phase   string  `json:"phase"` // what it may be given: ready, draining (nothing new) or gone
	Usable  bool    `json:"use"`   // it may be given new plays
	Reason  string  `json:"why,omitempty"`
	Source  string  `json:"by"` // whose word
	AgeMs   int64   `json:"age_ms"`
	Alive   bool    `json:"alive"` // its stream is open
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	Weight  float64 `json:"weight"`
}

// believed answers with what the front believes.
func (f *Front) believed(w http.ResponseWriter, r *http.Request) {
	got := make(chan []membership.NodeState, 1)
	f.runner.Post(func(now int64, c *session.Core) { got <- c.NodeStates(now) })
	select {
	case all := <-got:
		out := []FleetNode{}
		for _, b := range all {
			l := nodes.FormatLine(b.Entry, &f.set.Service)
			out = append(out, FleetNode{Name: l.Name, Address: l.Address, Phase: l.Phase, Usable: b.Usable, Reason: b.Reason, Source: b.Source.String(),
				AgeMs: b.Age / decision.Millisecond, Alive: b.Alive, Zone: l.Zone, Kind: l.Kind, Cell: l.Cell, Weight: l.Weight})
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(out); err != nil {
			f.log.Warn().Err(err).Msg("fleet not told")
		}
	case <-r.Context().Done():
	}
}
