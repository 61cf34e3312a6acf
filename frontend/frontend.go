// Package frontend puts a front end together from its settings and runs it: the core, the client of the
// playout nodes, the follower of the list, and the players' side.
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
	"golang.org/x/net/netutil"
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

// Front is a front end that listens but does not run yet.
type Front struct {
	set     config.Front
	log     zerolog.Logger
	listen  net.Listener
	runner  *session.Runner
	core    *session.Core
	client  *nodes.Client
	journal *journal // nil where no records are kept
	server  *http.Server
	sockets *wsapi.Front
	fleet   *fleet
	peers   *peers.Conn // nil where fronts send each other nothing
}

// Listen makes a front end and opens its socket, so that a port that is taken shows at once. Epoch
// tells the lives of the front apart: it must be greater than that of any earlier one.
func Listen(set config.Front, epoch int64, log zerolog.Logger) (*Front, error) {
	minter, err := NewMinter(set.Keys)
	if err != nil {
		return nil, err
	}
	var shown *certificate
	if set.Cert != "" {
		if shown, err = newCertificate(set.Cert, set.CertKey, log); err != nil {
			return nil, err
		}
	}
	var secure func() (*tls.Config, error)
	media := "http"
	if set.NodesCA != "" {
		ca, err := newAuthorities(set.NodesCA, log)
		if err != nil {
			return nil, err
		}
		secure, media = ca.config, "https"
	}
	listen, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return nil, fmt.Errorf("front %s: %w", set.Name, err)
	}
	listen = netutil.LimitListener(listen, set.MaxSockets)
	if shown != nil {
		listen = tls.NewListener(listen, &tls.Config{GetCertificate: shown.get, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}})
	}
	clock := session.NewClock()
	seed := set.Seed + uint64(set.Number)*1_000_003 // fronts that share a settings file still draw apart
	f := &Front{set: set, log: log, listen: listen, runner: session.NewRunner(clock, admission.New(set.MaxWaiting, seed))}
	service := &f.set.Service
	f.client = nodes.NewClient(set.Name, epoch, service.ReportMode == "answers",
		time.Duration(service.DrainGraceMs*float64(time.Millisecond)), service, f.runner, secure, log)
	module := placement.New(set.PolicySettings(), seed)
	carrier := session.Transport(f.client)
	var was earlier
	if set.StateFolder != "" {
		if f.journal, was, err = openJournal(set.StateFolder, service, epoch, f.client, f.runner, log); err != nil {
			listen.Close()
			return nil, err
		}
		carrier = f.journal
	}
	f.core = session.NewCore(clock.Now(), set.Name, epoch, module, carrier, service, seed)
	if f.journal != nil {
		f.core.Recover(clock.Now(), was.open, was.past, was.lost)
	}
	if set.Peers.Listen != "" {
		f.peers, err = peers.Listen(set.Peers.Listen, set.Number, set.Peers.Fronts, set.Peers.Secret, func(from int, b []byte) {
			f.runner.TryPost(func(now int64, c *session.Core) { c.MessageReceived(now, from, b) })
		}, log)
		if err != nil {
			listen.Close()
			return nil, fmt.Errorf("front %s: %w", set.Name, err)
		}
		f.core.SetSender(f.peers.Send)
	}
	mux := http.NewServeMux()
	life := time.Duration(set.TokenMs * float64(time.Millisecond))
	d := playapi.New(set.Name, media, service, minter, life, f.runner, log)
	mux.Handle("/v1/", dash.NewFront(d, log))
	f.sockets = wsapi.New(d, clock, set.MaxSockets, seed+1, log)
	mux.Handle("GET "+wsapi.Path, f.sockets)
	if f.fleet, err = openFleet(set.StateFolder, set.ListURL, service, f.runner, log); err != nil {
		listen.Close()
		if f.peers != nil {
			f.peers.Close()
		}
		return nil, err
	}
	mux.HandleFunc("GET /readyz", f.ready)
	mux.HandleFunc("GET "+FleetPath, f.believed)
	mux.Handle("GET /metrics", f.metrics())
	f.server = &http.Server{Handler: mux, ReadHeaderTimeout: session.Duration(admission.HeaderTimeout),
		IdleTimeout: session.Duration(admission.IdleTimeout), MaxHeaderBytes: 16 << 10,
		WriteTimeout: time.Duration(service.LongestLimitMs()*float64(time.Millisecond)) + session.Duration(admission.WriteTimeout)}
	return f, nil
}

// NewMinter makes the minter of session tokens from the keys in the settings.
func NewMinter(keys []config.Key) (*token.Minter, error) {
	var signing token.Key
	older := map[string]ed25519.PublicKey{}
	for _, k := range keys {
		if k.Signs {
			signing = token.Key{ID: k.ID, Private: ed25519.NewKeyFromSeed(k.Seed)}
		} else {
			older[k.ID] = k.Public
		}
	}
	return token.NewMinter(signing, older)
}

// Addr is where players reach the front.
func (f *Front) Addr() string { return f.listen.Addr().String() }

// ready answers 200 once the front may take plays.
func (f *Front) ready(w http.ResponseWriter, r *http.Request) {
	got := make(chan bool, 1)
	f.runner.Post(func(now int64, c *session.Core) { got <- c.Ready(now) })
	select {
	case ok := <-got:
		if !ok {
			http.Error(w, "starting", http.StatusServiceUnavailable)
		}
	case <-r.Context().Done():
	}
}

// Counts asks the running core what it has seen, or returns zeros if the context ends first.
func (f *Front) Counts(ctx context.Context) session.Counts {
	got := make(chan session.Counts, 1)
	f.runner.Post(func(_ int64, c *session.Core) { got <- c.Counts() })
	select {
	case n := <-got:
		return n
	case <-ctx.Done():
		return session.Counts{}
	}
}

// Stall runs do on the core's goroutine, which does nothing else meanwhile: for rehearsing a front that
// stands still.
func (f *Front) Stall(do func()) { f.runner.Post(func(int64, *session.Core) { do() }) }

// part ends the front in order, within the time that its settings give.
func (f *Front) part() {
	within := time.Duration(f.set.ShutdownMs * float64(time.Millisecond))
	f.log.Info().Dur("within", within).Bool("retire", f.set.ReleasePlays).Msg("front is ending")
	end := f.runner.Clock().Now() + session.Ticks(within)
	owed, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	f.runner.RejectAll()
	f.runner.Post(func(now int64, c *session.Core) { c.BeginShutdown(now, end) })
	f.sockets.Shut()
	last := time.AfterFunc(session.Duration(shutdown.Deadline(end)-f.runner.Clock().Now()), func() {
		f.runner.Post(func(now int64, c *session.Core) { c.Close(now) })
	})
	defer last.Stop()
	if f.set.ReleasePlays {
		f.runner.Post(func(now int64, c *session.Core) { c.ReleasePlays(now, end) })
	}
	if err := f.server.Shutdown(owed); err != nil {
		f.server.Close()
	}
	f.sockets.Drain(owed)
	for f.set.ReleasePlays && owed.Err() == nil && f.Counts(owed).InHand > 0 {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-owed.Done():
		}
	}
}

// Run serves until the context ends: then it takes no more requests, gives the answers that are owed,
// and returns once nothing of it runs any more.
func (f *Front) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	inner, stop := context.WithCancel(context.Background()) // outlives ctx until what is owed was answered
	defer stop()
	list := &nodes.ListClient{Front: f.set.Name, URL: f.set.ListURL, Set: &f.set.Service, Runner: f.runner, Log: f.log, Seed: f.set.Seed + uint64(f.set.Number)}
	g.Go(func() error { return f.runner.Run(inner, f.core) })
	g.Go(func() error { return list.Run(inner) })
	g.Go(func() error { return f.fleet.run(inner) })
	if f.peers != nil {
		g.Go(func() error { return f.peers.Run(inner) })
	}
	g.Go(func() error {
		if err := f.server.Serve(f.listen); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("front %s: %w", f.set.Name, err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		defer stop()
		defer f.sockets.Close()
		f.part()
		return nil
	})
	f.log.Info().Str("front", f.set.Name).Str("listen", f.Addr()).Msg("front runs")
	err := g.Wait()
	if f.journal != nil {
		err = errors.Join(err, f.journal.Close())
	} else {
		f.client.Close()
	}
	f.log.Info().Str("front", f.set.Name).Msg("front ended")
	return err
}
