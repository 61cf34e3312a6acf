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

// NodeListFolder is the name of the folder, in a front's state folder, with the store of the last known list of nodes.
const NodeListFolder = "fleet"

const saveInterval = 2 * time.Second // a crash loses only changes to the list that are more recent

// savedNodeList is the list as it is saved: a single record of a store, which protects it by a checksum and replaces it
// atomically.
type savedNodeList struct {
	ListURL string           `json:"list_url"` // of the list service it comes from; the list of another site is not used
	Version int64            `json:"version"`
	At      int64            `json:"at"` // Unix milliseconds
	Nodes   []nodes.ListNode `json:"nodes"`
}

// nodeListStore saves the list of nodes, for a start while the list service can't be reached.
type nodeListStore struct {
	service   *config.Service
	listURL   string
	runner    *session.Runner
	logger    zerolog.Logger
	log       *store.Log         // nil without a state folder
	saved     *membership.Update // nil if there is no usable saved list
	lastError string             // last error of saving, logged once
}

// openNodeListStore opens the store and reads the saved list. A list that is damaged or from another site is logged and
// not used, and doesn't keep the front from starting.
func openNodeListStore(folder, listURL string, service *config.Service, r *session.Runner, logger zerolog.Logger) (*nodeListStore, error) {
	nl := &nodeListStore{service: service, listURL: listURL, runner: r, logger: logger}
	if folder == "" {
		return nl, nil
	}
	dir := filepath.Join(folder, NodeListFolder)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	log, c, err := store.Open(store.Dir(dir))
	if errors.Is(err, store.ErrDamaged) || errors.Is(err, store.ErrFormat) {
		logger.Error().Err(err).Str("folder", dir).Msg("discarding the store of the saved node list, which can't be read")
		if err = os.RemoveAll(dir); err == nil {
			err = os.MkdirAll(dir, 0o700)
		}
		if err == nil {
			log, c, err = store.Open(store.Dir(dir))
		}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	nl.log = log
	if n := len(c.Records); n > 0 {
		if nl.saved, err = nl.decode(c.Records[n-1]); err != nil {
			logger.Error().Err(err).Str("folder", dir).Msg("saved node list can't be used")
		}
	}
	return nl, nil
}

func (nl *nodeListStore) decode(data []byte) (*membership.Update, error) {
	var s savedNodeList
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("saved list: %w", err)
	}
	if s.ListURL != nl.listURL {
		return nil, fmt.Errorf("saved list: it comes from another list service, %.80s", s.ListURL)
	}
	lines, err := nodes.ParseNodes(s.Nodes, nl.service, nl.runner.Clock())
	if err != nil {
		return nil, fmt.Errorf("saved %w", err)
	}
	return &membership.Update{Source: membership.Saved, Version: s.Version, Full: true, Age: session.Ticks(time.Since(time.UnixMilli(s.At))), Entries: lines}, nil
}

// run gives the core the saved list if the list service has not responded in time, and then saves the list at regular
// intervals until the context ends.
func (nl *nodeListStore) run(ctx context.Context) error {
	if nl.log != nil {
		defer nl.log.Close()
	}
	if nl.saved != nil {
		select {
		case <-time.After(session.Duration(membership.SavedListDelay)):
		case <-ctx.Done():
			return nil
		}
		update := *nl.saved
		used := make(chan bool, 1)
		nl.runner.Post(func(now int64, c *session.Core) { used <- c.UpdateMembership(now, update) })
		select {
		case ok := <-used:
			if ok {
				nl.logger.Warn().Int("nodes", len(update.Entries)).Dur("age", session.Duration(update.Age)).Msg("no response from the list service; using the saved node list")
			}
		case <-ctx.Done():
			return nil
		}
	}
	if nl.log == nil {
		return nil
	}
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		nl.save(ctx)
	}
}

func (nl *nodeListStore) save(ctx context.Context) {
	type snapshot struct {
		version  int64
		entries  []membership.Entry
		received bool
	}
	reply := make(chan snapshot, 1)
	nl.runner.Post(func(_ int64, c *session.Core) {
		v, entries := c.ListSnapshot()
		reply <- snapshot{v, entries, c.ListReceived()}
	})
	var list snapshot
	select {
	case list = <-reply:
	case <-ctx.Done():
		return
	}
	if !list.received || len(list.entries) == 0 { // a list read from the store must not be saved again with a new time
		return
	}
	s := savedNodeList{ListURL: nl.listURL, Version: list.version, At: time.Now().UnixMilli()}
	for _, l := range list.entries {
		s.Nodes = append(s.Nodes, nodes.FormatNode(l, nl.service))
	}
	data, err := json.Marshal(s)
	if err != nil {
		nl.logger.Error().Err(err).Msg("can't encode the node list")
		return
	}
	if err := <-nl.log.Compact([][]byte{data}); err != nil && nl.lastError != err.Error() {
		nl.lastError = err.Error()
		nl.logger.Error().Err(err).Msg("can't save the node list; a start without the list service would have no current list")
	}
}

// FleetPath is the HTTP path at which a front reports its view of the nodes.
const FleetPath = "/v1/fleet"

// FleetNode is a front's view of one node, as reported at FleetPath.
type FleetNode struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Phase     string  `json:"phase"` // ready, draining (no new plays) or gone
	Usable    bool    `json:"use"`   // new plays may be sent to it
	Reason    string  `json:"why,omitempty"`
	Source    string  `json:"by"`     // where the phase was learned from
	AgeMs     int64   `json:"age_ms"` // age of the last information about the node
	Connected bool    `json:"alive"`  // its stream is open
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	Weight    float64 `json:"weight"`
}

// serveFleet handles requests for FleetPath.
func (f *Front) serveFleet(w http.ResponseWriter, r *http.Request) {
	reply := make(chan []membership.NodeState, 1)
	f.runner.Post(func(now int64, c *session.Core) { reply <- c.NodeStates(now) })
	select {
	case all := <-reply:
		out := []FleetNode{}
		for _, b := range all {
			l := nodes.FormatNode(b.Entry, &f.settings.Service)
			out = append(out, FleetNode{Name: l.Name, Address: l.Address, Phase: l.Phase, Usable: b.Usable, Reason: b.Reason, Source: b.Source.String(),
				AgeMs: b.Age / decision.Millisecond, Connected: b.Connected, Zone: l.Zone, Kind: l.Kind, Cell: l.Cell, Weight: l.Weight})
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(out); err != nil {
			f.logger.Warn().Err(err).Msg("can't send the fleet report")
		}
	case <-r.Context().Done():
	}
}
