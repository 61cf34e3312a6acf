package testbed

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"gullrail/nodes"
	"gullrail/testbed/trace"
)

// ListService is the emulated list service. It sends the list of nodes and its changes to fronts, after a delay.
type ListService struct {
	recorder *trace.Recorder
	mu       sync.Mutex
	current  map[string]nodes.ListNode
	names    []string       // in order of first appearance
	changes  []nodes.Change // in order of versions, the first is version 1
	sendAt   []time.Time    // earliest time to send each change
	changed  chan struct{}  // closed and replaced at each change
	delay    time.Duration
	server   *http.Server
	addr     string
	wg       sync.WaitGroup
}

// NewListService returns a list service that sends changes after a delay.
func NewListService(t *trace.Recorder, delay time.Duration) *ListService {
	return &ListService{recorder: t, current: map[string]nodes.ListNode{}, changed: make(chan struct{}), delay: delay}
}

// UpdateNodes records changes of nodes as one new version of the list. The first version is sent without delay.
func (s *ListService) UpdateNodes(changed ...nodes.ListNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range changed {
		if _, ok := s.current[l.Name]; !ok {
			s.names = append(s.names, l.Name)
		}
		s.current[l.Name] = l
	}
	sendAt := time.Now().Add(s.delay)
	if k := len(s.sendAt); k > 0 && s.sendAt[k-1].After(sendAt) {
		sendAt = s.sendAt[k-1] // changes are sent in order
	}
	if len(s.changes) == 0 {
		sendAt = time.Now()
	}
	s.changes = append(s.changes, nodes.Change{Version: int64(len(s.changes) + 1), Nodes: changed})
	s.sendAt = append(s.sendAt, sendAt)
	s.notify()
}

func (s *ListService) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDelay sets the delay of future changes.
func (s *ListService) SetDelay(d time.Duration) {
	s.mu.Lock()
	s.delay = d
	s.mu.Unlock()
}

// Start listens at an address and serves the list there.
func (s *ListService) Start(addr string) error {
	listen, err := listenWithRetry(addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/list", s.serve)
	s.server, s.addr = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return context.Background() }}, listen.Addr().String()
	server := s.server
	s.wg.Add(1)
	go func() { defer s.wg.Done(); server.Serve(listen) }()
	return nil
}

// Stop closes the listener and all connections. Start may be called again.
func (s *ListService) Stop() {
	s.server.Close()
	s.wg.Wait()
}

// serve streams the full list and then its changes to one front, with a heartbeat every second.
func (s *ListService) serve(w http.ResponseWriter, r *http.Request) {
	front := r.URL.Query().Get("front")
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	sent := 0
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		var next []nodes.Change
		var wait time.Duration = time.Hour
		for v := sent; v < len(s.changes); v++ {
			if d := time.Until(s.sendAt[v]); d > 0 {
				wait = d
				break
			}
			next = append(next, s.changes[v])
		}
		if sent == 0 && len(next) > 0 { // the full list, as of the last version that is due
			version := next[len(next)-1].Version
			latest := map[string]nodes.ListNode{}
			for _, c := range next {
				for _, l := range c.Nodes {
					latest[l.Name] = l
				}
			}
			full := nodes.Change{Version: version, Full: true}
			for _, name := range s.names {
				if l, ok := latest[name]; ok && l.Phase != "gone" {
					full.Nodes = append(full.Nodes, l)
				}
			}
			next = []nodes.Change{full}
		}
		s.mu.Unlock()
		for _, c := range next {
			if enc.Encode(c) != nil {
				return
			}
			sent = int(c.Version)
			for _, l := range c.Nodes {
				s.recorder.Add(trace.Event{Kind: trace.ListSent, Front: front, Node: l.Name, Note: l.Phase})
			}
		}
		if flush.Flush() != nil {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-heartbeat.C:
			if enc.Encode(nodes.Change{Heartbeat: true, Version: int64(sent)}) != nil {
				timer.Stop()
				return
			}
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}
