package frontend

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const looksEvery = time.Second // at files that may have changed, and no more often than connections ask

// watched reads files again when they have changed. What can't be read, or does not hold, leaves what was
// read before in force: a half-written file must not take a running front down.
type watched[T any] struct {
	files []string
	read  func() (T, error)
	log   zerolog.Logger

	mu     sync.Mutex
	now    T
	state  string
	looked time.Time
}

func newWatched[T any](log zerolog.Logger, read func() (T, error), files ...string) (*watched[T], error) {
	w := &watched[T]{files: files, read: read, log: log, looked: time.Now()}
	w.state = w.look()
	var err error
	w.now, err = read()
	return w, err
}

// look tells files' states apart.
func (w *watched[T]) look() (state string) {
	for _, f := range w.files {
		if info, err := os.Stat(f); err == nil {
			state += fmt.Sprint(info.ModTime().UnixNano(), info.Size(), ";")
		} else {
			state += "none;"
		}
	}
	return state
}

func (w *watched[T]) get() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.looked) < looksEvery {
		return w.now
	}
	w.looked = time.Now()
	if state := w.look(); state != w.state {
		v, err := w.read()
		if err != nil {
			w.log.Error().Err(err).Strs("files", w.files).Msg("changed files do not hold; what was read before stays")
			return w.now
		}
		w.now, w.state = v, state
		w.log.Info().Strs("files", w.files).Msg("read again")
	}
	return w.now
}

// certificate is what players are shown.
type certificate struct{ *watched[*tls.Certificate] }

func newCertificate(cert, key string, log zerolog.Logger) (*certificate, error) {
	w, err := newWatched(log, func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, fmt.Errorf("front.tls: %w", err)
		}
		return &c, nil
	}, cert, key)
	if err != nil {
		return nil, err
	}
	return &certificate{w}, nil
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.watched.get(), nil
}

// authorities vouch for nodes.
type authorities struct{ *watched[*tls.Config] }

func newAuthorities(file string, log zerolog.Logger) (*authorities, error) {
	w, err := newWatched(log, func() (*tls.Config, error) {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("front.nodes_tls.ca: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("front.nodes_tls.ca: %s holds no certificate", file)
		}
		return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
	}, file)
	if err != nil {
		return nil, err
	}
	return &authorities{w}, nil
}

func (a *authorities) config() (*tls.Config, error) { return a.get(), nil }
