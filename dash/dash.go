package dash

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/decision"
	"gullrail/playapi"
	"gullrail/session"
	"gullrail/token"
)

// PlayHeader is the response header with the id of the play, so that reports of players can be traced.
const PlayHeader = "Gullrail-Play"

// Handler is the HTTP handler for the DASH players of one front end. It is stateless.
type Handler struct {
	service *playapi.Service
	log     zerolog.Logger
	mux     *http.ServeMux
}

// NewHandler returns the handler.
func NewHandler(service *playapi.Service, log zerolog.Logger) *Handler {
	f := &Handler{service: service, log: log, mux: http.NewServeMux()}
	f.mux.HandleFunc("GET /v1/titles/{title}/manifest.mpd", f.serveTitle)
	f.mux.HandleFunc("GET /v1/plays/{token}/manifest.mpd", f.servePlay)
	f.mux.HandleFunc("DELETE /v1/plays/{token}", f.endPlay)
	return f
}

func (handler *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler.mux.ServeHTTP(w, r)
}

// ParseTitleRequest parses a request for a title: product and viewer are required; top, limit_ms, length_ms and
// broken are optional.
func ParseTitleRequest(service *config.Service, title string, q url.Values) (playapi.Request, error) {
	params, err := parseParams(q)
	if err != nil {
		return playapi.Request{}, err
	}
	params.Title, params.Product, params.Viewer = title, q.Get("product"), q.Get("viewer")
	return playapi.NewRequest(service, params)
}

// ParseTokenRequest parses a request for the play of a token, whose claims have been verified.
func ParseTokenRequest(service *config.Service, claims token.Claims, q url.Values) (playapi.Request, error) {
	params, err := parseParams(q)
	if err != nil {
		return playapi.Request{}, err
	}
	return playapi.NewTokenRequest(service, claims, params)
}

func parseParams(q url.Values) (params playapi.Params, err error) {
	if params.MaxRung, err = parseInt(q, "top", -1, 0, 1000); err != nil {
		return params, err
	}
	if params.TimeoutMs, err = parseInt(q, "limit_ms", 0, 1, 1<<31-1); err != nil {
		return params, err
	}
	if params.LengthMs, err = parseInt(q, "length_ms", 0, 0, 1<<31-1); err != nil {
		return params, err
	}
	switch q.Get("broken") {
	case "", "0":
	case "1":
		params.NotDelivered = true
	default:
		return params, playapi.BadRequestError{Field: "broken", Problem: "0 or 1 is needed"}
	}
	return params, nil
}

func parseInt(q url.Values, name string, defaultValue, minimum, maximum int) (int, error) {
	s := q.Get(name)
	if s == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < minimum || n > maximum {
		return 0, playapi.BadRequestError{Field: name, Problem: fmt.Sprintf("a whole number from %d is needed, not %.20q", minimum, s)}
	}
	return n, nil
}

// serveTitle handles a request for a title, with or without the token of an earlier play.
func (handler *Handler) serveTitle(w http.ResponseWriter, r *http.Request) {
	req, err := ParseTitleRequest(handler.service.Config, r.PathValue("title"), r.URL.Query())
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if raw, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		claims, ok := handler.checkToken(w, raw)
		if !ok {
			return
		}
		if !playapi.TokenMatches(handler.service.Config, claims, req) {
			writeError(w, http.StatusForbidden, "token: made for another title, viewer or product")
			return
		}
		req.Previous = &session.Previous{Play: claims.Play, NotDelivered: req.NotDelivered}
	}
	handler.requestPlay(w, r, req)
}

// servePlay handles a request for the manifest of the play that a token identifies.
func (handler *Handler) servePlay(w http.ResponseWriter, r *http.Request) {
	claims, ok := handler.checkToken(w, r.PathValue("token"))
	if !ok {
		return
	}
	req, err := ParseTokenRequest(handler.service.Config, claims, r.URL.Query())
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	handler.requestPlay(w, r, req)
}

// endPlay handles a viewer's request to end its play.
func (handler *Handler) endPlay(w http.ResponseWriter, r *http.Request) {
	if claims, ok := handler.checkToken(w, r.PathValue("token")); ok {
		handler.service.EndPlay(claims.Play)
		w.WriteHeader(http.StatusNoContent)
	}
}

// checkToken verifies a token. If it is invalid, it writes the error response and returns false.
func (handler *Handler) checkToken(w http.ResponseWriter, raw string) (token.Claims, bool) {
	claims, err := handler.service.Tokens.Check(raw, time.Now())
	switch {
	case err == nil:
		return claims, true
	case errors.Is(err, token.ErrWrongType):
		writeError(w, http.StatusForbidden, err.Error())
	default:
		w.Header().Set("WWW-Authenticate", `Bearer error="invalid_token"`)
		writeError(w, http.StatusUnauthorized, err.Error())
	}
	return claims, false
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Cache-Control", "no-store")
	http.Error(w, message, status)
}

// requestPlay requests a play and writes the answer. The request is withdrawn if the client disconnects.
func (handler *Handler) requestPlay(w http.ResponseWriter, r *http.Request, req playapi.Request) {
	start := time.Now()
	answered := make(chan session.Answer, 1)
	pending := handler.service.RequestPlay(req, nil, func(answer session.Answer) { answered <- answer })
	var answer session.Answer
	select {
	case answer = <-answered:
	case <-r.Context().Done():
		pending.Withdraw()
		answer = <-answered
	}
	handler.writeAnswer(w, answer)
	handler.service.Log(req, answer, "dash", time.Since(start))
}

func (handler *Handler) writeAnswer(w http.ResponseWriter, answer session.Answer) {
	h := w.Header()
	h.Set("Cache-Control", "no-store")
	if answer.Play != "" {
		h.Set(PlayHeader, answer.Play)
	}
	if answer.RetryAfter > 0 { // in whole seconds, rounded up so that viewers don't return too early
		h.Set("Retry-After", strconv.FormatInt((answer.RetryAfter+decision.Second-1)/decision.Second, 10))
	}
	switch answer.Verdict {
	case session.Declined:
		writeError(w, http.StatusServiceUnavailable, "declined: "+answer.Reason)
	case session.Failed:
		status := http.StatusBadGateway
		if answer.TimedOut {
			status = http.StatusGatewayTimeout
		}
		writeError(w, status, "failed: "+answer.Reason)
	case session.Denied:
		status := http.StatusForbidden
		if answer.Busy {
			status = http.StatusConflict
		}
		writeError(w, status, "denied: "+answer.Reason)
	case session.Started:
		body, err := handler.manifest(answer)
		if err == nil {
			h.Set("Content-Type", "application/dash+xml")
			_, err = w.Write(body)
		}
		if err != nil { // ended, as the viewer can't use the play without the manifest
			handler.log.Warn().Err(err).Str("play", answer.Play).Msg("delivering the manifest failed; ending the play")
			handler.service.EndPlay(answer.Play)
		}
	}
}

// manifest returns the MPD of a granted play. Its Location is a path, which the player resolves against the URL that it
// requested, so that it is valid behind a proxy too.
func (handler *Handler) manifest(answer session.Answer) ([]byte, error) {
	grant, err := handler.service.Grant(answer)
	if err != nil {
		return nil, err
	}
	m := Manifest{Location: "/v1/plays/" + grant.Token + "/manifest.mpd", Base: grant.Base, LengthSeconds: grant.LengthSeconds, SegmentMs: grant.SegmentMs, RefreshMs: grant.SegmentMs}
	for _, r := range grant.Rungs {
		m.Rungs, m.BitRates = append(m.Rungs, r.Number), append(m.BitRates, r.BitRate)
	}
	return m.Encode()
}
