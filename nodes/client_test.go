package nodes

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gullrail/admission"
	"gullrail/config"
	"gullrail/decision"
	"gullrail/session"
)

// A set-up delayed beyond sendGraceShare of the grace period could reach the node after it stopped accepting work.
func TestSetUpPastSendTimeoutIsNotSent(t *testing.T) {
	var requests atomic.Int32
	node := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.WriteHeader(http.StatusCreated)
		w.Write([]byte(`{"life": 1}`))
	}))
	defer node.Close()
	for _, c := range []struct {
		grace, delay time.Duration
		outcome      decision.Outcome
		requests     int32
	}{
		{250 * time.Millisecond, 0, decision.Served, 1},
		{250 * time.Millisecond, 230 * time.Millisecond, decision.NoConnect, 0}, // within the connect timeout, but after sendGraceShare of the grace period
	} {
		requests.Store(0)
		tlsConfig := func() (*tls.Config, error) {
			time.Sleep(c.delay) // simulates a delay between the request for the set-up and its write
			return node.Client().Transport.(*http.Transport).TLSClientConfig.Clone(), nil
		}
		catalog := testService()
		catalog.Products = []config.Product{{Name: "p"}}
		client := NewClient("f", 1, false, c.grace, catalog, session.NewRunner(session.NewClock(), admission.New(1, 1)), tlsConfig, zerolog.Nop())
		a := session.Allocation{Ref: session.Ref{Play: "p"}, Address: node.Listener.Addr().String()}
		_, outcome, _ := client.exchange(context.Background(), a, time.Now(), time.Now().Add(5*time.Second))
		client.Close()
		if outcome != c.outcome || requests.Load() != c.requests {
			t.Errorf("grace %v, delay %v: outcome %d, %d requests received", c.grace, c.delay, outcome, requests.Load())
		}
	}
}
