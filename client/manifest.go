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

const maxManifestBytes = 1 << 20 // bytes

// ManifestURL returns the URL by which a play of a title is requested without a token.
func ManifestURL(scheme, front, viewer string, request Request) string {
	query := url.Values{"product": {request.Product}, "viewer": {viewer}}
	if request.MaxRung >= 0 {
		query.Set("top", strconv.Itoa(request.MaxRung))
	}
	if request.Timeout > 0 {
		query.Set("limit_ms", strconv.FormatInt(request.Timeout.Milliseconds(), 10))
	}
	if request.Length > 0 {
		query.Set("length_ms", strconv.FormatInt(request.Length.Milliseconds(), 10))
	}
	return scheme + "://" + front + "/v1/titles/" + url.PathEscape(request.Title) + "/manifest.mpd?" + query.Encode()
}

// ManifestResponse is the answer to a request for a manifest.
type ManifestResponse struct {
	Status     int
	Play       string
	Reason     string        // why the request was refused, or why the manifest is invalid
	RetryAfter time.Duration // advised delay before a retry; 0 if none
	Manifest   dash.Manifest // set if Status is 200; its Location is absolute
}

// RequestManifest requests a manifest, without retries. It returns an error if no answer is received. If the manifest in the
// answer is invalid, Status is 0.
func RequestManifest(ctx context.Context, httpClient *http.Client, manifestURL string) (ManifestResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, manifestURL, nil)
	if err != nil {
		return ManifestResponse{}, fmt.Errorf("manifest: %w", err)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return ManifestResponse{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxManifestBytes))
	if err != nil {
		return ManifestResponse{}, err
	}
	answer := ManifestResponse{Status: resp.StatusCode, Play: resp.Header.Get(dash.PlayHeader)}
	answer.RetryAfter = parseRetryAfter(resp.Header)
	if resp.StatusCode != http.StatusOK {
		answer.Reason = strings.TrimSpace(string(body))
		return answer, nil
	}
	if answer.Manifest, err = dash.Decode(body); err != nil {
		return ManifestResponse{Reason: err.Error()}, nil
	}
	if location, err := resp.Request.URL.Parse(answer.Manifest.Location); err == nil {
		answer.Manifest.Location = location.String()
	}
	return answer, nil
}
