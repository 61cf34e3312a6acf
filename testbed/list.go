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

// ListService is the stand-in list service: it knows the fleet and tells each front late.
type ListService struct {
	tape   *trace.Recorder
	mu     sync.Mutex
	lines  map[string]nodes.Line
	order  []string
	past   []nodes.Change // by version, from 1
	due    []time.Time    // when each may be told
	woken  chan struct{}  // closed at each change
	late   time.Duration
	server *http.Server
	addr   string
	wg     sync.WaitGroup
}

// NewListService makes a list service that tells changes so late.
func NewListService(t *trace.Recorder, late time.Duration) *ListService {
	return &ListService{tape: t, lines: map[string]nodes.Line{}, woken: make(chan struct{}), late: late}
}

// UpdateNodes enters what became of some nodes, as one version.
func (s *ListService) UpdateNodes(lines ...nodes.Line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range lines {
		if _, ok := s.lines[l.Name]; !ok {
			s.order = append(s.order, l.Name)
		}
		s.lines[l.Name] = l
	}
	at := time.Now().Add(s.late)
	if k := len(s.due); k > 0 && s.due[k-1].After(at) {
		at = s.due[k-1] // changes are told in their order
	}
	if len(s.past) == 0 {
		at = time.Now()
	}
	s.past = append(s.past, nodes.Change{Version: int64(len(s.past) + 1), Nodes: lines})
	s.due = append(s.due, at)
	s.wake()
}

func (s *ListService) wake() {
	close(s.woken)
	s.woken = make(chan struct{})
}

// SetDelay changes how late changes are told from now on.
func (s *ListService) SetDelay(d time.Duration) {
	s.mu.Lock()
	s.late = d
	s.mu.Unlock()
}

// Start opens the service's socket at an address.
func (s *ListService) Start(addr string) error {
	listen, err := listenAgain(addr)
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

// Stop cuts the service off.
func (s *ListService) Stop() {
	s.server.Close()
	s.wg.Wait()
}

func (s *ListService) serve(w http.ResponseWriter, r *http.Request) {
	front := r.URL.Query().Get("front")
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	sent := 0
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		s.mu.Lock()
		woken := s.woken
		var next []nodes.Change
		var wait time.Duration = time.Hour
		for v := sent; v < len(s.past); v++ {
			if d := time.Until(s.due[v]); d > 0 {
				wait = d
				break
			}
			next = append(next, s.past[v])
		}
		if sent == 0 && len(next) > 0 { // the whole list, as old as its last version that is due
			last := next[len(next)-1].Version
			at := map[string]nodes.Line{}
			for _, c := range next {
				for _, l := range c.Nodes {
					at[l.Name] = l
				}
			}
			whole := nodes.Change{Version: last, Full: true}
			for _, name := range s.order {
				if l, ok := at[name]; ok && l.Phase != "gone" {
					whole.Nodes = append(whole.Nodes, l)
				}
			}
			next = []nodes.Change{whole}
		}
		s.mu.Unlock()
		for _, c := range next {
			if enc.Encode(c) != nil {
				return
			}
			sent = int(c.Version)
			for _, l := range c.Nodes {
				s.tape.Add(trace.Event{Kind: trace.ListSent, Front: front, Node: l.Name, Note: l.Phase})
			}
		}
		if flush.Flush() != nil {
			return
		}
		due := time.NewTimer(wait)
		select {
		case <-due.C:
		case <-woken:
		case <-beat.C:
			if enc.Encode(nodes.Change{Beat: true, Version: int64(sent)}) != nil {
				due.Stop()
				return
			}
		case <-r.Context().Done():
			due.Stop()
			return
		}
		due.Stop()
	}
}
