// Package frontend assembles a front end from its settings and runs it: the core, the client of the playout nodes, the
// client of the list service, and the HTTP and WebSocket servers for viewers.
package frontend

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"gullrail/admission"
	"gullrail/config"
	"gullrail/dash"
	"gullrail/nodes"
	"gullrail/peers"
	"gullrail/placement"
	"gullrail/playapi"
	"gullrail/session"
	"gullrail/shutdown"
	"gullrail/token"
	"gullrail/wsapi"
)

// Front is a front end that listens. Run serves.
type Front struct {
	settings config.Front
	logger   zerolog.Logger
	listener net.Listener
	runner   *session.Runner
	core     *session.Core
	client   *nodes.Client
	journal  *journal // nil without a state folder
	server   *http.Server
	sockets  *wsapi.Server
	nodeList *nodeListStore
	peers    *peers.Conn // nil if fronts exchange no messages
}

// Listen returns a front end whose socket is open, so that a port in use is reported at once. Epoch identifies the run
// of the front and must be greater than that of any earlier run.
func Listen(settings config.Front, epoch int64, logger zerolog.Logger) (*Front, error) {
	minter, err := NewMinter(settings.Keys)
	if err != nil {
		return nil, err
	}
	var cert *certificate
	if settings.CertFile != "" {
		if cert, err = newCertificate(settings.CertFile, settings.CertKeyFile, logger); err != nil {
			return nil, err
		}
	}
	var nodesTLS func() (*tls.Config, error)
	mediaScheme := "http"
	if settings.NodesCAFile != "" {
		ca, err := newNodeCAs(settings.NodesCAFile, logger)
		if err != nil {
			return nil, err
		}
		nodesTLS, mediaScheme = ca.config, "https"
	}
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("front %s: %w", settings.Name, err)
	}
	limiter := newConnLimiter(listener, settings.MaxSockets)
	listener = limiter
	if cert != nil {
		listener = tls.NewListener(listener, &tls.Config{GetCertificate: cert.get, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}})
	}
	clock := session.NewClock()
	seed := settings.Seed + uint64(settings.Number)*1_000_003 // different for fronts with the same seed in their settings
	f := &Front{settings: settings, logger: logger, listener: listener, runner: session.NewRunner(clock, admission.New(settings.MaxWaiting, seed))}
	service := &f.settings.Service
	f.client = nodes.NewClient(settings.Name, epoch, service.ReportMode == "answers",
		time.Duration(service.DrainGraceMs*float64(time.Millisecond)), service, f.runner, nodesTLS, logger)
	module := placement.New(settings.PolicySettings(), seed)
	transport := session.Transport(f.client)
	var previous previousRuns
	if settings.StateFolder != "" {
		if f.journal, previous, err = openJournal(settings.StateFolder, service, epoch, f.client, f.runner, logger); err != nil {
			listener.Close()
			return nil, err
		}
		transport = f.journal
	}
	f.core = session.NewCore(clock.Now(), settings.Name, epoch, module, transport, service, seed)
	if f.journal != nil {
		f.core.Recover(clock.Now(), previous.open, previous.ended, previous.lost)
	}
	if settings.Peers.Listen != "" {
		f.peers, err = peers.Listen(settings.Peers.Listen, settings.Number, settings.Peers.Fronts, settings.Peers.Secret, func(from int, b []byte) {
			f.runner.TryPost(func(now int64, c *session.Core) { c.MessageReceived(now, from, b) })
		}, logger)
		if err != nil {
			listener.Close()
			return nil, fmt.Errorf("front %s: %w", settings.Name, err)
		}
		f.core.SetSender(f.peers.Send)
	}
	mux := http.NewServeMux()
	tokenLifetime := time.Duration(settings.TokenLifetimeMs * float64(time.Millisecond))
	plays := playapi.New(settings.Name, mediaScheme, service, minter, tokenLifetime, f.runner, logger)
	mux.Handle("/v1/", dash.NewHandler(plays, logger))
	f.sockets = wsapi.NewServer(plays, clock, settings.MaxSockets, seed+1, logger)
	mux.Handle("GET "+wsapi.Path, f.sockets)
	if f.nodeList, err = openNodeListStore(settings.StateFolder, settings.ListURL, service, f.runner, logger); err != nil {
		listener.Close()
		if f.peers != nil {
			f.peers.Close()
		}
		return nil, err
	}
	mux.HandleFunc("GET /readyz", f.serveReady)
	mux.HandleFunc("GET "+FleetPath, f.serveFleet)
	mux.Handle("GET /metrics", f.metrics())
	f.server = &http.Server{Handler: mux, ConnState: limiter.connState, ReadHeaderTimeout: session.Duration(admission.HeaderTimeout),
		IdleTimeout: session.Duration(admission.IdleTimeout), MaxHeaderBytes: 16 << 10,
		WriteTimeout: time.Duration(service.MaxDeadlineMs()*float64(time.Millisecond)) + session.Duration(admission.WriteTimeout)}
	return f, nil
}

// NewMinter returns a minter of session tokens with the keys in the settings.
func NewMinter(keys []config.Key) (*token.Minter, error) {
	var signing token.Key
	verifying := map[string]ed25519.PublicKey{}
	for _, k := range keys {
		if k.Signing {
			signing = token.Key{ID: k.ID, Private: ed25519.NewKeyFromSeed(k.Seed)}
		} else {
			verifying[k.ID] = k.Public
		}
	}
	return token.NewMinter(signing, verifying)
}

// Addr returns the address at which the front serves viewers.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// serveReady responds with status 200 once the front accepts plays, and 503 before.
func (f *Front) serveReady(w http.ResponseWriter, r *http.Request) {
	reply := make(chan bool, 1)
	f.runner.Post(func(now int64, c *session.Core) { reply <- c.Ready(now) })
	select {
	case ok := <-reply:
		if !ok {
			http.Error(w, "starting", http.StatusServiceUnavailable)
		}
	case <-r.Context().Done():
	}
}

// Counts returns the counters of the running core, or zeros if the context ends first.
func (f *Front) Counts(ctx context.Context) session.Counts {
	reply := make(chan session.Counts, 1)
	f.runner.Post(func(_ int64, c *session.Core) { reply <- c.Counts() })
	select {
	case n := <-reply:
		return n
	case <-ctx.Done():
		return session.Counts{}
	}
}

// Stall runs do on the core's goroutine, which is blocked meanwhile. It simulates a front that hangs.
func (f *Front) Stall(do func()) { f.runner.Post(func(int64, *session.Core) { do() }) }

// shutDown shuts the front down gracefully within the time limit in its settings.
func (f *Front) shutDown() {
	timeout := time.Duration(f.settings.ShutdownTimeoutMs * float64(time.Millisecond))
	f.logger.Info().Dur("within", timeout).Bool("retire", f.settings.ReleasePlays).Msg("front is shutting down")
	end := f.runner.Clock().Now() + session.Ticks(timeout)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	f.runner.RejectAll()
	f.runner.Post(func(now int64, c *session.Core) { c.BeginShutdown(now, end) })
	f.sockets.StartShutdown()
	expire := time.AfterFunc(session.Duration(shutdown.Deadline(end)-f.runner.Clock().Now()), func() {
		f.runner.Post(func(now int64, c *session.Core) { c.Close(now) })
	})
	defer expire.Stop()
	if f.settings.ReleasePlays {
		f.runner.Post(func(now int64, c *session.Core) { c.ReleasePlays(now, end) })
	}
	if err := f.server.Shutdown(shutdownCtx); err != nil {
		f.server.Close()
	}
	f.sockets.WaitClosed(shutdownCtx)
	for f.settings.ReleasePlays && shutdownCtx.Err() == nil && f.Counts(shutdownCtx).Active > 0 {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-shutdownCtx.Done():
		}
	}
}

// Run serves until the context ends. It then accepts no more requests, completes those in progress, and returns once all
// its goroutines have ended.
func (f *Front) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	runCtx, stop := context.WithCancel(context.Background()) // ends after ctx, when requests in progress are complete
	defer stop()
	list := &nodes.ListClient{Front: f.settings.Name, URL: f.settings.ListURL, Service: &f.settings.Service, Runner: f.runner, Log: f.logger, Seed: f.settings.Seed + uint64(f.settings.Number)}
	g.Go(func() error { return f.runner.Run(runCtx, f.core) })
	g.Go(func() error { return list.Run(runCtx) })
	g.Go(func() error { return f.nodeList.run(runCtx) })
	if f.peers != nil {
		g.Go(func() error { return f.peers.Run(runCtx) })
	}
	g.Go(func() error {
		if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("front %s: %w", f.settings.Name, err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		defer stop()
		defer f.sockets.Close()
		f.shutDown()
		return nil
	})
	f.logger.Info().Str("front", f.settings.Name).Str("listen", f.Addr()).Msg("front is running")
	err := g.Wait()
	if f.journal != nil {
		err = errors.Join(err, f.journal.Close())
	} else {
		f.client.Close()
	}
	f.logger.Info().Str("front", f.settings.Name).Msg("front has shut down")
	return err
}
