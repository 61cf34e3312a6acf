package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/dash"
	"gullrail/frontend"
	"gullrail/nodes"
	"gullrail/testbed/trace"
	"gullrail/token"
)

const testService = `{
  "fronts": 1, "rates_kb": [100, 200, 400], "worth": [0.3, 0.6, 1], "segment_ms": 100,
  "cells": 4, "racks": 2, "kinds": [{"name": "std", "streams": 1000}], "zones": ["z"], "link_kb": 1000000, "uplink_kb": 10000000,
  "products": [
    {"name": "paid", "importance": 2, "target_ms": 500, "limit_ms": 1500, "paid": true, "floor": 1, "seats": 3},
    {"name": "safe", "importance": 1, "target_ms": 500, "limit_ms": 1500}],
  "titles": [{"name": "clip", "home": 0, "copies": 4}, {"name": "other", "home": 0, "copies": 4}, {"name": "only-0", "home": 0, "copies": 1}],
  "reports": {"how": "none", "note_lag_ms": 200},
  "rules": {"cold_share": 0.4, "cold_lasts_ms": 2000, "fall_multiple": 2.5, "fall_over_ms": 500, "drain_grace_ms": 500,
    "budget": {"free": 100, "share": 1, "over_ms": 1000}}
}`

// rig is a test rig: one front in this process with simulated nodes and a list service, on loopback.
type rig struct {
	t           *testing.T
	service     *config.Service
	recorder    *trace.Recorder
	fleet       *Fleet
	listService *ListService
	minter      *token.Minter
	addr        string
	scheme      string
	settings    config.Front
	front       *frontend.Front
	client      *http.Client
	nodes       []*Node
	stop        func()
}

// newRig starts n simulated nodes and a front, and waits until the front is ready. The list also names extraNodes.
func newRig(t *testing.T, n int, extraNodes ...nodes.ListNode) *rig {
	t.Helper()
	return newRigWith(t, n, func(*rig) {}, extraNodes...)
}

// newRigWith is newRig with a function that configures the rig before the nodes start.
func newRigWith(t *testing.T, n int, configure func(r *rig), extraNodes ...nodes.ListNode) *rig {
	t.Helper()
	r := &rig{t: t, scheme: "http", recorder: trace.New(), client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}}
	doc, v, err := config.Parse("service", []byte(testService))
	if err != nil {
		t.Fatal(err)
	}
	service := config.ReadService(v)
	if doc.Err() != nil {
		t.Fatal(doc.Err())
	}
	r.service = &service
	keys := []config.Key{{ID: "k", Seed: bytes.Repeat([]byte{7}, 32), Signing: true}}
	if r.minter, err = frontend.NewMinter(keys); err != nil {
		t.Fatal(err)
	}
	r.fleet = &Fleet{service: r.service, tokenChecker: r.minter.Checker, recorder: r.recorder, setUpMs: [2]float64{1, 5}, idleTimeout: 20 * time.Second,
		random: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*Node{}, racks: []rack{{1e9, 1}, {1e9, 1}}}
	r.settings = config.Front{Name: "f", Zone: "z", Listen: "127.0.0.1:0", Seed: 1, MaxWaiting: 64, MaxSockets: 1000, TokenLifetimeMs: 60000,
		ShutdownTimeoutMs: 3000, Keys: keys, Service: service}
	configure(r)
	r.listService = NewListService(r.recorder, 0)
	lines := extraNodes
	for i := range n {
		addr, err := freePort()
		if err != nil {
			t.Fatal(err)
		}
		node := &Node{fleet: r.fleet, cell: i % 4, linkKB: 1e6, setUpSlowdown: 1, line: nodes.ListNode{Name: fmt.Sprint("n", i), Address: addr,
			Phase: "ready", Kind: "std", Zone: "z", Cell: i % 4, Weight: 1}}
		r.fleet.nodes[node.line.Name] = node
		r.nodes = append(r.nodes, node)
		lines = append(lines, node.line)
		if err := node.start(false); err != nil {
			t.Fatal(err)
		}
	}
	r.listService.UpdateNodes(lines...)
	if err := r.listService.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	r.settings.ListURL = "http://" + r.listService.addr + "/v1/list"
	r.startFront()
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		if r.stop != nil {
			r.stop()
		}
		for _, n := range r.nodes {
			n.crash(trace.NodeCrashed)
			n.wg.Wait()
		}
		r.listService.Stop()
	})
	return r
}

// startFront starts the front, for the first time or again, and waits until it is ready.
func (r *rig) startFront() {
	r.t.Helper()
	r.launchFront()
	r.eventually("the front is ready", func() bool { return r.get("/readyz").status == http.StatusOK })
}

// launchFront starts the front without waiting until it is ready.
func (r *rig) launchFront() {
	r.t.Helper()
	front, err := frontend.Listen(r.settings, time.Now().UnixNano(), zerolog.Nop())
	if err != nil {
		r.t.Fatal(err)
	}
	r.front, r.addr = front, front.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- front.Run(ctx) }()
	var once sync.Once
	r.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				r.t.Error(err)
			}
		})
	}
}

// eventually waits until a condition holds, with a timeout that suffices on a very slow machine.
func (r *rig) eventually(condition string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.t.Fatalf("timed out waiting until %s", condition)
}

// reply is an HTTP response of the front, with the manifest decoded if it has one.
type reply struct {
	status   int
	body     string
	header   http.Header
	manifest dash.Manifest
	play     string
}

func (r *rig) get(path string, headers ...string) reply {
	r.t.Helper()
	return r.getURL(r.scheme+"://"+r.addr+path, headers...)
}

func (r *rig) getURL(target string, headers ...string) reply {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodGet, target, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, body: string(body), header: resp.Header, play: resp.Header.Get(dash.PlayHeader)}
	if out.status == http.StatusOK && strings.HasSuffix(strings.SplitN(target, "?", 2)[0], ".mpd") {
		if out.manifest, err = dash.Decode(body); err != nil {
			r.t.Fatal(err)
		}
	}
	return out
}

func (r *rig) requestPlay(title, product, viewer string, parameters ...string) reply {
	r.t.Helper()
	return r.get("/v1/titles/" + title + "/manifest.mpd?product=" + product + "&viewer=" + viewer + strings.Join(parameters, ""))
}

// mustPlay requests a play and fails the test unless it starts.
func (r *rig) mustPlay(title, product, viewer string) reply {
	r.t.Helper()
	x := r.requestPlay(title, product, viewer)
	if x.status != http.StatusOK {
		r.t.Fatalf("%s of %s: %d %s", viewer, title, x.status, x.body)
	}
	return x
}

func (r *rig) segment(base string, rung int) reply {
	r.t.Helper()
	return r.getURL(base + dash.RepresentationID(rung) + "/1.m4s")
}

// countEvents returns the number of events of a kind in the trace, for one play or, if play is empty, for all.
func (r *rig) countEvents(kind, play string) (n int) {
	for _, e := range r.recorder.Events() {
		if e.Kind == kind && (play == "" || e.Play == play) {
			n++
		}
	}
	return n
}

// tokenOf extracts the token from a manifest's location.
func tokenOf(m dash.Manifest) string {
	return strings.TrimSuffix(strings.TrimPrefix(m.Location, "/v1/plays/"), "/manifest.mpd")
}

// listenFront listens as the front and returns the error, without running it.
func (r *rig) listenFront() error {
	_, err := frontend.Listen(r.settings, time.Now().UnixNano(), zerolog.Nop())
	return err
}

// scriptedNode is a node whose answer to each set-up is scripted by the test.
type scriptedNode struct {
	line     nodes.ListNode
	mu       sync.Mutex
	received int // set-ups
}

// newScriptedNode starts a node at cell 0. handleSetUp owns the connection, which is closed after it returns.
func newScriptedNode(t *testing.T, name string, handleSetUp func(c net.Conn, attempt int)) *scriptedNode {
	t.Helper()
	s := &scriptedNode{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/stream", func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(nodes.Note{Kind: nodes.NoteHello, Node: name, Instance: 1})
		for {
			http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(500 * time.Millisecond):
				json.NewEncoder(w).Encode(nodes.Note{Kind: nodes.NoteHeartbeat})
			}
		}
	})
	mux.HandleFunc("POST /v1/plays/{play}", func(w http.ResponseWriter, r *http.Request) {
		var setUp nodes.SetUp
		json.NewDecoder(r.Body).Decode(&setUp)
		s.mu.Lock()
		s.received++
		s.mu.Unlock()
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		handleSetUp(c, setUp.Attempt)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: mux}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	s.line = nodes.ListNode{Name: name, Address: l.Addr().String(), Phase: "ready", Kind: "std", Zone: "z", Weight: 1}
	return s
}

func (s *scriptedNode) setUpCount() int { s.mu.Lock(); defer s.mu.Unlock(); return s.received }

func writeResponse(c net.Conn, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s", status, strconv.Itoa(len(body)), body)
}
