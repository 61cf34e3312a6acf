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

func TestSetUpThatComesTooLateForADrainIsNotSent(t *testing.T) {
	var got atomic.Int32
	node := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		w.WriteHeader(http.StatusCreated)
		w.Write([]byte(`{"life": 1}`))
	}))
	defer node.Close()
	for _, c := range []struct {
		grace, wait time.Duration
		how         decision.Outcome
		sent        int32
	}{
		{250 * time.Millisecond, 0, decision.Served, 1},
		{250 * time.Millisecond, 230 * time.Millisecond, decision.NoConnect, 0}, // within a dial's time, past the part of the grace
	} {
		got.Store(0)
		secure := func() (*tls.Config, error) {
			time.Sleep(c.wait) // a machine that is busy between order and bytes
			return node.Client().Transport.(*http.Transport).TLSClientConfig.Clone(), nil
		}
		names := service()
		names.Products = []config.Product{{Name: "p"}}
		client := NewClient("f", 1, false, c.grace, names, session.NewRunner(session.NewClock(), admission.New(1, 1)), secure, zerolog.Nop())
		a := session.Allocation{Ref: session.Ref{Play: "p"}, Address: node.Listener.Addr().String()}
		_, how, _ := client.exchange(context.Background(), a, time.Now(), time.Now().Add(5*time.Second))
		client.Close()
		if how != c.how || got.Load() != c.sent {
			t.Errorf("grace %v, wait %v: ending %d, %d requests", c.grace, c.wait, how, got.Load())
		}
	}
}
