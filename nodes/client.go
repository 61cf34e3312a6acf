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
	maxLineBytes       = 4 << 20               // size limit of a line in a stream: a hello note with some ten thousand plays
	maxBodyBytes       = 64 << 10              // how much of a response body is read
	maxConcurrentCalls = 512                   // concurrent changes of rung and ends of plays; further calls wait
	sendGraceShare     = 0.8                   // share of a draining node's grace period within which a set-up is written or not sent at all
	minSendTimeout     = 20 * time.Millisecond // minimum time for dial and write, however short the grace period
)

// Catalog maps names to the numbers that the core uses: of products, and of the cells that hold a title.
type Catalog interface {
	Product(number int) string
	ProductNumber(name string) (int, bool)
	Title(name string) (firstCell, cellCount int, ok bool)
}

// Client sends the core's requests to playout nodes: it implements session.Transport. All its
// goroutines have ended when Close returns.
type Client struct {
	name        string
	epoch       int64
	readLoad    bool // read load reports from responses to set-ups
	catalog     Catalog
	runner      *session.Runner
	log         zerolog.Logger
	calls       http.Client // for idempotent calls: changes of rung, ends of plays and probes
	streams     http.Client
	callSlots   chan struct{}
	sendTimeout time.Duration               // limit from the core's request for a set-up to its write
	tlsConfig   func() (*tls.Config, error) // nil: no TLS

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	setUps      map[session.Ref]context.CancelCauseFunc
	streamDials map[int]*streamDial
}

// streamDial is one stream from a node, scheduled or open.
type streamDial struct{ cancel context.CancelFunc }

var errCanceled = errors.New("set-up canceled by the core")

// NewClient returns a Client for one run of a front's process, which epoch identifies. grace is how long a draining node
// still accepts set-ups. A set-up that can't be written within sendGraceShare of it is not sent: the core requests set-ups
// before the front learns of a drain, so those that are sent reach the node within its grace period. tlsConfig, if not
// nil, is called before each dial for the TLS configuration.
func NewClient(name string, epoch int64, readLoad bool, grace time.Duration, catalog Catalog, runner *session.Runner, tlsConfig func() (*tls.Config, error),
	log zerolog.Logger) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{name: name, epoch: epoch, readLoad: readLoad, catalog: catalog, runner: runner, tlsConfig: tlsConfig, log: log,
		sendTimeout: min(session.Duration(liveness.ConnectTimeout), max(minSendTimeout, time.Duration(sendGraceShare*float64(grace)))),
		callSlots:   make(chan struct{}, maxConcurrentCalls), ctx: ctx, cancel: cancel,
		setUps: map[session.Ref]context.CancelCauseFunc{}, streamDials: map[int]*streamDial{}}
	dialWithTimeout := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, session.Duration(liveness.ConnectTimeout))
		defer cancel()
		return c.dial(ctx, address)
	}
	// The http scheme with a dialer that does TLS itself makes set-ups and all other calls share one dial function.
	c.calls = http.Client{Timeout: session.Duration(liveness.CallTimeout), Transport: &http.Transport{
		DialContext: dialWithTimeout, MaxIdleConnsPerHost: 4, IdleConnTimeout: 15 * time.Second}}
	c.streams = http.Client{Transport: &http.Transport{DialContext: dialWithTimeout, DisableKeepAlives: true,
		ResponseHeaderTimeout: session.Duration(liveness.CallTimeout)}}
	return c
}

// dial opens a connection to a node and completes the TLS handshake if TLS is configured. An error
// proves that no byte of a request was sent.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil || c.tlsConfig == nil {
		return conn, err
	}
	config, err := c.tlsConfig()
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
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, fmt.Errorf("TLS with %s: %w", address, err)
	}
	return tlsConn, nil
}

// Close cancels all calls and streams and waits for their goroutines.
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

// SetUp sends one set-up in the background and reports its outcome to the core.
func (c *Client) SetUp(a session.Allocation) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	orderedAt := time.Now()
	c.mu.Lock()
	c.setUps[a.Ref] = cancel
	c.mu.Unlock()
	c.spawn(func() {
		deadline := time.Now().Add(session.Duration(a.Deadline - c.runner.Clock().Now()))
		started, outcome, load := c.exchange(ctx, a, orderedAt, deadline)
		cancel(nil)
		c.mu.Lock()
		delete(c.setUps, a.Ref)
		c.mu.Unlock()
		if outcome == decision.Served {
			c.runner.Post(func(now int64, core *session.Core) {
				core.Started(now, a.Ref, started.Instance, started.StartSeq, started.Rung, load)
			})
			return
		}
		c.log.Debug().Str("play", a.Play).Int("try", a.Attempt).Str("node", a.Address).Uint8("ending", uint8(outcome)).Msg("set-up failed")
		c.runner.Post(func(now int64, core *session.Core) { core.SetUpEnded(now, a.Ref, outcome, load) })
		if outcome.MayHaveRun() {
			c.End(a.Ref, a.Address, "given up") // the play may have started; end it if so
		}
	})
}

// Cancel cancels a set-up that is in progress.
func (c *Client) Cancel(r session.Ref) {
	c.mu.Lock()
	cancel := c.setUps[r]
	c.mu.Unlock()
	if cancel != nil {
		cancel(errCanceled)
	}
}

// exchange sends one set-up on a connection of its own, with a single Write, and reads the response.
// Before a byte is written, nothing can have run; afterwards only the node's answer can rule it out.
func (c *Client) exchange(ctx context.Context, a session.Allocation, orderedAt, deadline time.Time) (Started, decision.Outcome, decision.Load) {
	request, err := c.request(a, deadline)
	if err != nil {
		c.log.Error().Err(err).Str("play", a.Play).Msg("encoding a set-up failed; it is not sent")
		return Started{}, decision.NotSent, decision.UnknownLoad
	}
	sendDeadline := orderedAt.Add(c.sendTimeout)
	if deadline.Before(sendDeadline) {
		sendDeadline = deadline
	}
	dialCtx, cancel := context.WithDeadline(ctx, sendDeadline)
	conn, err := c.dial(dialCtx, a.Address)
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
	conn.SetDeadline(deadline)
	if ctx.Err() != nil {
		return Started{}, decision.NotSent, decision.UnknownLoad
	}
	if time.Now().After(sendDeadline) {
		return Started{}, decision.NoConnect, decision.UnknownLoad
	}
	if n, err := conn.Write(request); err != nil && n == 0 {
		return Started{}, decision.NoConnect, decision.UnknownLoad
	} else if err != nil {
		return Started{}, outcomeAfterWrite(ctx, err), decision.UnknownLoad
	}
	in := bufio.NewReader(io.LimitReader(conn, 2*maxBodyBytes))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return Started{}, outcomeAfterWrite(ctx, err), decision.UnknownLoad
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return Started{}, outcomeAfterWrite(ctx, err), decision.UnknownLoad
	}
	load := decision.UnknownLoad
	if c.readLoad {
		load = ParseLoad(resp.Header.Get(LoadHeader))
	}
	if resp.StatusCode == http.StatusCreated {
		var s Started
		if err := json.Unmarshal(body, &s); err != nil || s.Instance <= 0 {
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

// outcomeAfterWrite returns the outcome of a set-up that failed after at least part of its request was written.
func outcomeAfterWrite(ctx context.Context, err error) decision.Outcome {
	switch {
	case ctx.Err() != nil:
		return decision.Canceled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return decision.NoAnswer
	}
	return decision.ConnectionLost
}

func (c *Client) request(a session.Allocation, deadline time.Time) ([]byte, error) {
	body, err := json.Marshal(SetUp{Front: c.name, Epoch: c.epoch, Attempt: a.Attempt, Product: c.catalog.Product(a.Product),
		Title: a.Title, Viewer: a.Viewer, Rung: a.Rung, MaxRung: a.MaxRung, RungSeq: a.RungSeq,
		TimeoutMs: time.Until(deadline).Milliseconds(), LengthMs: a.Length / decision.Millisecond})
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

// ---- Idempotent calls ----

// SetRung sends a node the rung of a play. A lost order is superseded by the next one; the sequence
// number lets the node ignore older ones.
func (c *Client) SetRung(r session.Ref, address string, rung, seq int) {
	body, _ := json.Marshal(SetRung{Front: c.name, Epoch: c.epoch, Attempt: r.Attempt, Rung: rung, RungSeq: seq})
	c.repeat(http.MethodPut, "http://"+address+"/v1/plays/"+url.PathEscape(r.Play)+"/rung", body, r)
}

// End tells a node to end an allocation, whether or not the play started.
func (c *Client) End(r session.Ref, address, reason string) {
	q := url.Values{"front": {c.name}, "epoch": {strconv.FormatInt(c.epoch, 10)}, "try": {strconv.Itoa(r.Attempt)}, "why": {reason}}
	c.repeat(http.MethodDelete, "http://"+address+"/v1/plays/"+url.PathEscape(r.Play)+"?"+q.Encode(), nil, r)
}

// repeat makes an idempotent call up to liveness.MaxCallAttempts times. If a node receives none of them, it reports
// its plays when its stream is reopened, and those that it should not run are ended then. A refused connection stops the
// attempts, as no process is listening.
func (c *Client) repeat(method, target string, body []byte, r session.Ref) {
	c.spawn(func() {
		select {
		case c.callSlots <- struct{}{}:
			defer func() { <-c.callSlots }()
		case <-c.ctx.Done():
			return
		}
		var err error
		for attempt := range liveness.MaxCallAttempts {
			if err = c.call(method, target, body); err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			select {
			case <-time.After(session.Duration(liveness.CallBackoff(attempt))):
			case <-c.ctx.Done():
				return
			}
		}
		c.log.Warn().Err(err).Str("play", r.Play).Int("try", r.Attempt).Str("method", method).Msg("call to a node failed; giving up")
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
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
	if resp.StatusCode >= 500 {
		return fmt.Errorf("%s", resp.Status)
	}
	return nil // also if the node does not know the play: there is nothing left to do
}

// Probe asks a node for its load.
func (c *Client) Probe(node int, address string) {
	c.spawn(func() {
		ctx, cancel := context.WithTimeout(c.ctx, session.Duration(liveness.ProbeTimeout))
		defer cancel()
		outcome, load := c.probe(ctx, address)
		c.runner.Post(func(now int64, core *session.Core) { core.ProbeEnded(now, node, outcome, load) })
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
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
	if resp.StatusCode != http.StatusOK {
		return decision.Errored, decision.UnknownLoad
	}
	return decision.Served, ParseLoad(resp.Header.Get(LoadHeader))
}

// ---- Streams ----

// OpenStream opens the stream from a node at the given time of the front's clock and replaces any earlier stream.
func (c *Client) OpenStream(node int, address string, at int64) {
	ctx, cancel := context.WithCancel(c.ctx)
	d := &streamDial{cancel}
	c.mu.Lock()
	if old := c.streamDials[node]; old != nil {
		old.cancel()
	}
	c.streamDials[node] = d
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
		current := c.streamDials[node] == d
		if current {
			delete(c.streamDials, node)
		}
		c.mu.Unlock()
		if current && c.ctx.Err() == nil {
			refused := errors.Is(err, syscall.ECONNREFUSED)
			c.log.Debug().Err(err).Str("node", address).Bool("gone", refused).Msg("stream ended")
			c.runner.Post(func(now int64, core *session.Core) { core.StreamBroke(now, node, refused) })
		}
	})
}

// PlayFinished does nothing: the client keeps no records of plays.
func (c *Client) PlayFinished(string, int, playlog.EndReason) {}

// PlayStarted does nothing: the client keeps no records of plays.
func (c *Client) PlayStarted(session.Ref, int, string) {}

// RecoveryDone does nothing: the client keeps no records of plays.
func (c *Client) RecoveryDone() {}

// CloseStream closes the stream from a node.
func (c *Client) CloseStream(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.streamDials[node]; d != nil {
		d.cancel()
	}
}

// stream opens the stream from a node and handles its notes until it ends.
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
	lines.Buffer(nil, maxLineBytes)
	sawHello := false
	for lines.Scan() {
		n, err := ParseNote(lines.Bytes())
		if err != nil {
			return fmt.Errorf("stream from %s: %w", address, err)
		}
		if sawHello == (n.Kind == NoteHello) {
			return fmt.Errorf("stream from %s: the first note, and no other, must be a hello", address)
		}
		sawHello = true
		c.handleNote(node, n)
	}
	return lines.Err()
}

// handleNote passes the content of a note to the core.
func (c *Client) handleNote(node int, n Note) {
	ref := session.Ref{Play: n.Play, Attempt: n.Attempt, Node: node}
	switch n.Kind {
	case NoteHello:
		running := make([]session.ReportedPlay, len(n.Plays))
		for i, p := range n.Plays {
			product, knownProduct := c.catalog.ProductNumber(p.Product)
			firstCell, cellCount, knownTitle := c.catalog.Title(p.Title)
			if !knownProduct || !knownTitle {
				product = -1
			}
			running[i] = session.ReportedPlay{Play: p.Play, Epoch: p.Epoch, Attempt: p.Attempt, Product: product, Title: p.Title,
				FirstCell: firstCell, CellCount: cellCount, Viewer: p.Viewer, Rung: p.Rung, RungSeq: p.RungSeq, MaxRung: p.MaxRung, TimeLeft: p.RemainingMs * decision.Millisecond}
		}
		c.runner.Post(func(now int64, core *session.Core) {
			core.StreamOpened(now, node, n.Node, n.Instance, n.StartSeq, running)
		})
	case NoteHeartbeat:
		c.runner.Post(func(now int64, core *session.Core) { core.StreamActive(now, node) })
	case NoteEnded:
		outcome := decision.Served
		if n.EndReason == EndLost {
			outcome = decision.ConnectionLost
		}
		c.runner.Post(func(now int64, core *session.Core) { core.StreamActive(now, node); core.PlayEnded(now, ref, outcome) })
	case NoteShare:
		c.runner.Post(func(now int64, core *session.Core) {
			core.StreamActive(now, node)
			core.DeliveryReported(now, ref, n.Share)
		})
	case NoteLoad:
		load := decision.Load{Streams: -1, LinkUtilization: n.LinkUtilization, UplinkUtilization: n.UplinkUtilization}
		c.runner.Post(func(now int64, core *session.Core) { core.StreamActive(now, node); core.LoadReported(now, ref, load) })
	}
}
