package nodes

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gullrail/decision"
	"gullrail/liveness"
	"gullrail/playlog"
	"gullrail/session"
)

const (
	lineMost   = 4 << 20               // bytes of a note: a hello with some ten thousand plays
	bodyMost   = 64 << 10              // bytes of an answer that are read
	callsAtOne = 512                   // rungs and ends under way at once; more wait their turn
	graceShare = 0.8                   // of the grace of a draining node, in which a set-up is on its way or not sent at all
	graceLeast = 20 * time.Millisecond // a dial gets that long whatever the grace
)

// Catalog names what the core numbers: products, and where a title lies.
type Catalog interface {
	Product(number int) string
	ProductNumber(name string) (int, bool)
	Title(name string) (home, copies int, ok bool)
}

// Client carries out the core's orders towards playout nodes: it is the core's session.Transport. All
// its goroutines end when Close returns.
type Client struct {
	name    string
	epoch   int64
	report  bool // load reports come in answers to set-ups too
	names   Catalog
	runner  *session.Runner
	log     zerolog.Logger
	calls   http.Client // rungs, ends and probes, which may be repeated without harm
	streams http.Client
	slots   chan struct{}
	sendFor time.Duration               // from an order to its bytes, at most
	secure  func() (*tls.Config, error) // nil speaks plainly

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	setUps  map[session.Ref]context.CancelCauseFunc
	dialled map[int]*dial
}

// dial is one stream, wanted or open.
type dial struct{ cancel context.CancelFunc }

var errRecalled = errors.New("recalled")

// NewClient makes a client for one life of a front. A set-up that can't be written within a part of grace, the time
// in which work may still reach a node that drains, is not sent: the order came before the front heard of a drain,
// so what goes out goes out in time. Secure, if not nil, is asked before each dial for what
// TLS towards the nodes goes by.
func NewClient(name string, epoch int64, report bool, grace time.Duration, names Catalog, r *session.Runner, secure func() (*tls.Config, error),
	log zerolog.Logger) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{name: name, epoch: epoch, report: report, names: names, runner: r, secure: secure, log: log,
		sendFor: min(session.Duration(liveness.ConnectTimeout), max(graceLeast, time.Duration(graceShare*float64(grace)))),
		slots:   make(chan struct{}, callsAtOne), ctx: ctx, cancel: cancel,
		setUps: map[session.Ref]context.CancelCauseFunc{}, dialled: map[int]*dial{}}
	dialFor := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, session.Duration(liveness.ConnectTimeout))
		defer cancel()
		return c.dial(ctx, address)
	}
	// Scheme http with a dialer that does TLS itself keeps set-ups and all else on one way to the nodes.
	c.calls = http.Client{Timeout: session.Duration(liveness.CallTimeout), Transport: &http.Transport{
		DialContext: dialFor, MaxIdleConnsPerHost: 4, IdleConnTimeout: 15 * time.Second}}
	c.streams = http.Client{Transport: &http.Transport{DialContext: dialFor, DisableKeepAlives: true,
		ResponseHeaderTimeout: session.Duration(liveness.CallTimeout)}}
	return c
}

// dial opens a connection to a node, with its TLS done where that is asked for. An error proves that no
// byte of a request was sent.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil || c.secure == nil {
		return conn, err
	}
	config, err := c.secure()
	if err != nil {
		conn.Close()
		return nil, err
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			conn.Close()
			return nil, err
		}
		config = config.Clone()
		config.ServerName = host
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, fmt.Errorf("TLS with %s: %w", address, err)
	}
	return secured, nil
}

// Close ends all that is under way and waits for it.
func (c *Client) Close() {
	c.cancel()
	c.wg.Wait()
	c.calls.CloseIdleConnections()
	c.streams.CloseIdleConnections()
}

func (c *Client) spawn(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// ---- Set-ups ----

// SetUp sends one set-up and tells the core how it went.
func (c *Client) SetUp(a session.Allocation) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	ordered := time.Now()
	c.mu.Lock()
	c.setUps[a.Ref] = cancel
	c.mu.Unlock()
	c.spawn(func() {
		until := time.Now().Add(session.Duration(a.Until - c.runner.Clock().Now()))
		started, how, load := c.exchange(ctx, a, ordered, until)
		cancel(nil)
		c.mu.Lock()
		delete(c.setUps, a.Ref)
		c.mu.Unlock()
		if how == decision.Served {
			c.runner.Post(func(now int64, core *session.Core) {
				core.Started(now, a.Ref, started.Life, started.Mark, started.Rung, load)
			})
			return
		}
		c.log.Debug().Str("play", a.Play).Int("try", a.Attempt).Str("node", a.Address).Uint8("ending", uint8(how)).Msg("set-up ended")
		c.runner.Post(func(now int64, core *session.Core) { core.SetUpEnded(now, a.Ref, how, load) })
		if how.MayHaveRun() {
			c.End(a.Ref, a.Address, "given up") // it may have run: what still does is to end
		}
	})
}

// Cancel stops waiting for a set-up.
func (c *Client) Cancel(r session.Ref) {
	c.mu.Lock()
	cancel := c.setUps[r]
	c.mu.Unlock()
	if cancel != nil {
		cancel(errRecalled)
	}
}

// exchange is one request and its answer on a connection of its own, written by one Write. Until a
// byte of it is out, nothing can have run; from then on only the node's own word says so.
func (c *Client) exchange(ctx context.Context, a session.Allocation, ordered, until time.Time) (Started, decision.Outcome, decision.Load) {
	request, err := c.request(a, until)
	if err != nil {
		c.log.Error().Err(err).Str("play", a.Play).Msg("set-up not sent")
		return Started{}, decision.NotSent, decision.UnknownLoad
	}
	last := ordered.Add(c.sendFor)
	if until.Before(last) {
		last = until
	}
	dialling, cancel := context.WithDeadline(ctx, last)
	conn, err := c.dial(dialling, a.Address)
	cancel()
	if err != nil {
		if ctx.Err() != nil {
			return Started{}, decision.NotSent, decision.UnknownLoad
		}
		return Started{}, decision.NoConnect, decision.UnknownLoad
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	conn.SetDeadline(until)
	if ctx.Err() != nil {
		return Started{}, decision.NotSent, decision.UnknownLoad
	}
	if time.Now().After(last) {
		return Started{}, decision.NoConnect, decision.UnknownLoad
	}
	if n, err := conn.Write(request); err != nil && n == 0 {
		return Started{}, decision.NoConnect, decision.UnknownLoad
	} else if err != nil {
		return Started{}, broken(ctx, err), decision.UnknownLoad
	}
	in := bufio.NewReader(io.LimitReader(conn, 2*bodyMost))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return Started{}, broken(ctx, err), decision.UnknownLoad
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, bodyMost))
	if err != nil {
		return Started{}, broken(ctx, err), decision.UnknownLoad
	}
	load := decision.UnknownLoad
	if c.report {
		load = ParseLoad(resp.Header.Get(LoadHeader))
	}
	if resp.StatusCode == http.StatusCreated {
		var s Started
		if err := json.Unmarshal(body, &s); err != nil || s.Life <= 0 {
			return Started{}, decision.Errored, load
		}
		return s, decision.Served, load
	}
	var refusal Refusal
	if json.Unmarshal(body, &refusal) == nil && refusal.NeverRan && resp.StatusCode >= 400 {
		return Started{}, decision.Rejected, load
	}
	return Started{}, decision.Errored, load
}

// broken is how a set-up ended whose request was, at least in part, written.
func broken(ctx context.Context, err error) decision.Outcome {
	switch {
	case ctx.Err() != nil:
		return decision.Canceled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return decision.NoAnswer
	}
	return decision.ConnectionLost
}

func (c *Client) request(a session.Allocation, until time.Time) ([]byte, error) {
	body, err := json.Marshal(SetUp{Front: c.name, Epoch: c.epoch, Attempt: a.Attempt, Product: c.names.Product(a.Product),
		Title: a.Title, Viewer: a.Viewer, Rung: a.Rung, MaxRung: a.MaxRung, Seq: a.Seq,
		UntilMs: time.Until(until).Milliseconds(), LengthMs: a.Length / decision.Millisecond})
	if err != nil {
		return nil, fmt.Errorf("encoding a set-up: %w", err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+a.Address+"/v1/plays/"+url.PathEscape(a.Play), bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("set-up for %s: %w", a.Address, err)
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, fmt.Errorf("encoding a set-up: %w", err)
	}
	return out.Bytes(), nil
}

// ---- Calls that may be repeated ----

// SetRung tells a node the rung of a play. What is lost is made good by the next, as numbers tell
// their order.
func (c *Client) SetRung(r session.Ref, address string, rung, seq int) {
	body, _ := json.Marshal(SetRung{Front: c.name, Epoch: c.epoch, Attempt: r.Attempt, Rung: rung, Seq: seq})
	c.repeat(http.MethodPut, "http://"+address+"/v1/plays/"+url.PathEscape(r.Play)+"/rung", body, r)
}

// End tells a node to end an allocation, whether it started or not.
func (c *Client) End(r session.Ref, address, why string) {
	q := url.Values{"front": {c.name}, "epoch": {strconv.FormatInt(c.epoch, 10)}, "try": {strconv.Itoa(r.Attempt)}, "why": {why}}
	c.repeat(http.MethodDelete, "http://"+address+"/v1/plays/"+url.PathEscape(r.Play)+"?"+q.Encode(), nil, r)
}

// repeat makes a call that is safe to repeat, up to liveness.MaxCallAttempts times. A node that hears none of
// them is asked for its plays when its stream is back, and what it shouldn't run is ended then.
func (c *Client) repeat(method, target string, body []byte, r session.Ref) {
	c.spawn(func() {
		select {
		case c.slots <- struct{}{}:
			defer func() { <-c.slots }()
		case <-c.ctx.Done():
			return
		}
		var err error
		for try := range liveness.MaxCallAttempts {
			if err = c.call(method, target, body); err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			select {
			case <-time.After(session.Duration(liveness.CallBackoff(try))):
			case <-c.ctx.Done():
				return
			}
		}
		c.log.Warn().Err(err).Str("play", r.Play).Int("try", r.Attempt).Str("method", method).Msg("node did not take a call")
	})
}

func (c *Client) call(method, target string, body []byte) error {
	req, err := http.NewRequestWithContext(c.ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.calls.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, bodyMost))
	if resp.StatusCode >= 500 {
		return fmt.Errorf("%s", resp.Status)
	}
	return nil // also where the node knows no such play: there is nothing left to do
}

// Probe asks a node for its load.
func (c *Client) Probe(node int, address string) {
	c.spawn(func() {
		ctx, cancel := context.WithTimeout(c.ctx, session.Duration(liveness.ProbeTimeout))
		defer cancel()
		how, load := c.probe(ctx, address)
		c.runner.Post(func(now int64, core *session.Core) { core.ProbeEnded(now, node, how, load) })
	})
}

func (c *Client) probe(ctx context.Context, address string) (decision.Outcome, decision.Load) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load?front="+url.QueryEscape(c.name), nil)
	if err != nil {
		return decision.NotSent, decision.UnknownLoad
	}
	resp, err := c.calls.Do(req)
	switch {
	case ctx.Err() != nil:
		return decision.NoAnswer, decision.UnknownLoad
	case err != nil:
		return decision.NoConnect, decision.UnknownLoad
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, bodyMost))
	if resp.StatusCode != http.StatusOK {
		return decision.Errored, decision.UnknownLoad
	}
	return decision.Served, ParseLoad(resp.Header.Get(LoadHeader))
}

// ---- Streams ----

// OpenStream opens the stream from a node at a time of the front's clock, in place of any before it.
func (c *Client) OpenStream(node int, address string, at int64) {
	ctx, cancel := context.WithCancel(c.ctx)
	d := &dial{cancel}
	c.mu.Lock()
	if old := c.dialled[node]; old != nil {
		old.cancel()
	}
	c.dialled[node] = d
	c.mu.Unlock()
	c.spawn(func() {
		defer cancel()
		wait := time.NewTimer(session.Duration(at - c.runner.Clock().Now()))
		defer wait.Stop()
		select {
		case <-wait.C:
		case <-ctx.Done():
		}
		var err error
		if ctx.Err() == nil {
			err = c.stream(ctx, node, address)
		}
		c.mu.Lock()
		current := c.dialled[node] == d
		if current {
			delete(c.dialled, node)
		}
		c.mu.Unlock()
		if current && c.ctx.Err() == nil {
			gone := errors.Is(err, syscall.ECONNREFUSED)
			c.log.Debug().Err(err).Str("node", address).Bool("gone", gone).Msg("stream ended")
			c.runner.Post(func(now int64, core *session.Core) { core.StreamBroke(now, node, gone) })
		}
	})
}

// PlayFinished is for who keeps records of plays; the client keeps none.
func (c *Client) PlayFinished(string, int, playlog.EndReason) {}

// PlayStarted does nothing, nor does Settled: the client keeps no records.
func (c *Client) PlayStarted(session.Ref, int, string) {}

// RecoveryDone does nothing.
func (c *Client) RecoveryDone() {}

// CloseStream closes the stream from a node.
func (c *Client) CloseStream(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.dialled[node]; d != nil {
		d.cancel()
	}
}

// stream reads a node's notes until the stream ends.
func (c *Client) stream(ctx context.Context, node int, address string) error {
	q := url.Values{"front": {c.name}, "epoch": {strconv.FormatInt(c.epoch, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/stream?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := c.streams.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("stream from %s: %s", address, resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, lineMost)
	met := false
	for lines.Scan() {
		n, err := ParseNote(lines.Bytes())
		if err != nil {
			return fmt.Errorf("stream from %s: %w", address, err)
		}
		if met == (n.Kind == NoteHello) {
			return fmt.Errorf("stream from %s: hello comes first and once", address)
		}
		met = true
		c.note(node, n)
	}
	return lines.Err()
}

// note tells the core what a note says.
func (c *Client) note(node int, n Note) {
	ref := session.Ref{Play: n.Play, Attempt: n.Attempt, Node: node}
	switch n.Kind {
	case NoteHello:
		runs := make([]session.Running, len(n.Plays))
		for i, p := range n.Plays {
			product, ok := c.names.ProductNumber(p.Product)
			home, copies, known := c.names.Title(p.Title)
			if !ok || !known {
				product = -1
			}
			runs[i] = session.Running{Play: p.Play, Epoch: p.Epoch, Attempt: p.Attempt, Product: product, Title: p.Title,
				FirstCell: home, CellCount: copies, Viewer: p.Viewer, Rung: p.Rung, Seq: p.Seq, MaxRung: p.MaxRung, TimeLeft: p.LeftMs * decision.Millisecond}
		}
		c.runner.Post(func(now int64, core *session.Core) { core.StreamOpened(now, node, n.Node, n.Life, n.Mark, runs) })
	case NoteHeartbeat:
		c.runner.Post(func(now int64, core *session.Core) { core.StreamActive(now, node) })
	case NoteEnded:
		how := decision.Served
		if n.EndReason == EndLost {
			how = decision.ConnectionLost
		}
		c.runner.Post(func(now int64, core *session.Core) { core.StreamActive(now, node); core.PlayEnded(now, ref, how) })
	case NoteShare:
		c.runner.Post(func(now int64, core *session.Core) {
			core.StreamActive(now, node)
			core.DeliveryReported(now, ref, n.Share)
		})
	case NoteLoad:
		load := decision.Load{Streams: -1, Link: n.Link, Uplink: n.Uplink}
		c.runner.Post(func(now int64, core *session.Core) { core.StreamActive(now, node); core.LoadReported(now, ref, load) })
	}
}
