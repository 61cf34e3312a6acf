package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gullrail/dash"
)

const manifestMost = 1 << 20 // bytes

// FirstManifestURL is the address of a title's manifest at a front, for a first request.
func FirstManifestURL(scheme, front, viewer string, w Request) string {
	q := url.Values{"product": {w.Product}, "viewer": {viewer}}
	if w.MaxRung >= 0 {
		q.Set("top", strconv.Itoa(w.MaxRung))
	}
	if w.Timeout > 0 {
		q.Set("limit_ms", strconv.FormatInt(w.Timeout.Milliseconds(), 10))
	}
	if w.Length > 0 {
		q.Set("length_ms", strconv.FormatInt(w.Length.Milliseconds(), 10))
	}
	return scheme + "://" + front + "/v1/titles/" + url.PathEscape(w.Title) + "/manifest.mpd?" + q.Encode()
}

// ManifestAnswer is what a request for a manifest came to.
type ManifestAnswer struct {
	Status     int
	Play       string
	Reason     string        // of a refusal, or what is wrong with the answer
	RetryAfter time.Duration // advice; 0 is none
	Manifest   dash.Manifest // with Status 200; its Location is absolute
}

// RequestManifest asks for a manifest once. The error says that no answer came; an answer that is no manifest comes with Status 0.
func RequestManifest(ctx context.Context, h *http.Client, target string) (ManifestAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return ManifestAnswer{}, fmt.Errorf("manifest: %w", err)
	}
	resp, err := h.Do(req)
	if err != nil {
		return ManifestAnswer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, manifestMost))
	if err != nil {
		return ManifestAnswer{}, err
	}
	a := ManifestAnswer{Status: resp.StatusCode, Play: resp.Header.Get(dash.PlayHeader)}
	a.RetryAfter = comeBack(resp.Header)
	if resp.StatusCode != http.StatusOK {
		a.Reason = strings.TrimSpace(string(body))
		return a, nil
	}
	if a.Manifest, err = dash.Decode(body); err != nil {
		return ManifestAnswer{Reason: err.Error()}, nil
	}
	if loc, err := resp.Request.URL.Parse(a.Manifest.Location); err == nil {
		a.Manifest.Location = loc.String()
	}
	return a, nil
}
