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

const checkInterval = time.Second // minimum time between checks for changed files, which only new connections trigger

// reloader loads a value from files and loads it again when they change. If a changed file is missing or invalid, the
// previous value stays in use: a partly written file must not stop a running front.
type reloader[T any] struct {
	files  []string
	load   func() (T, error)
	logger zerolog.Logger

	mu          sync.Mutex
	value       T
	fingerprint string
	checked     time.Time
}

func newReloader[T any](logger zerolog.Logger, load func() (T, error), files ...string) (*reloader[T], error) {
	r := &reloader[T]{files: files, load: load, logger: logger, checked: time.Now()}
	r.fingerprint = r.currentFingerprint()
	var err error
	r.value, err = load()
	return r, err
}

// currentFingerprint returns a text that changes with the modification time, size or existence of a file.
func (r *reloader[T]) currentFingerprint() (fingerprint string) {
	for _, f := range r.files {
		if info, err := os.Stat(f); err == nil {
			fingerprint += fmt.Sprint(info.ModTime().UnixNano(), info.Size(), ";")
		} else {
			fingerprint += "none;"
		}
	}
	return fingerprint
}

func (r *reloader[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) < checkInterval {
		return r.value
	}
	r.checked = time.Now()
	if fingerprint := r.currentFingerprint(); fingerprint != r.fingerprint {
		v, err := r.load()
		if err != nil {
			r.logger.Error().Err(err).Strs("files", r.files).Msg("changed files are invalid; keeping the previous contents")
			return r.value
		}
		r.value, r.fingerprint = v, fingerprint
		r.logger.Info().Strs("files", r.files).Msg("reloaded changed files")
	}
	return r.value
}

// certificate is the TLS certificate of the server for viewers.
type certificate struct{ *reloader[*tls.Certificate] }

func newCertificate(cert, key string, logger zerolog.Logger) (*certificate, error) {
	r, err := newReloader(logger, func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, fmt.Errorf("front.tls: %w", err)
		}
		return &c, nil
	}, cert, key)
	if err != nil {
		return nil, err
	}
	return &certificate{r}, nil
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.reloader.get(), nil
}

// nodeCAs is the TLS configuration for connections to nodes, with the CA certificates that verify them.
type nodeCAs struct{ *reloader[*tls.Config] }

func newNodeCAs(file string, logger zerolog.Logger) (*nodeCAs, error) {
	r, err := newReloader(logger, func() (*tls.Config, error) {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("front.nodes_tls.ca: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return nil, fmt.Errorf("front.nodes_tls.ca: %s holds no certificate", file)
		}
		return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
	}, file)
	if err != nil {
		return nil, err
	}
	return &nodeCAs{r}, nil
}

func (a *nodeCAs) config() (*tls.Config, error) { return a.get(), nil }
