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

// PlayHeader names the play in every answer about one, so that a player's report can be traced.
const PlayHeader = "Gullrail-Play"

// Front serves DASH players of one front end. It keeps no state of its own.
type Front struct {
	desk *playapi.Service
	log  zerolog.Logger
	mux  *http.ServeMux
}

// NewFront makes the handler.
func NewFront(d *playapi.Service, log zerolog.Logger) *Front {
	f := &Front{desk: d, log: log, mux: http.NewServeMux()}
	f.mux.HandleFunc("GET /v1/titles/{title}/manifest.mpd", f.first)
	f.mux.HandleFunc("GET /v1/plays/{token}/manifest.mpd", f.again)
	f.mux.HandleFunc("DELETE /v1/plays/{token}", f.leave)
	return f
}

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// ParseFirst reads a first request for a title: product and viewer are needed; top, limit_ms, length_ms and
// broken may be left out.
func ParseFirst(set *config.Service, title string, q url.Values) (playapi.Request, error) {
	w, err := read(q)
	if err != nil {
		return playapi.Request{}, err
	}
	w.Title, w.Product, w.Viewer = title, q.Get("product"), q.Get("viewer")
	return playapi.NewRequest(set, w)
}

// ParseReturn reads a request by a token that was checked.
func ParseReturn(set *config.Service, cl token.Claims, q url.Values) (playapi.Request, error) {
	w, err := read(q)
	if err != nil {
		return playapi.Request{}, err
	}
	return playapi.NewReturnRequest(set, cl, w)
}

func read(q url.Values) (w playapi.Params, err error) {
	if w.MaxRung, err = whole(q, "top", -1, 0, 1000); err != nil {
		return w, err
	}
	if w.LimitMs, err = whole(q, "limit_ms", 0, 1, 1<<31-1); err != nil {
		return w, err
	}
	if w.LengthMs, err = whole(q, "length_ms", 0, 0, 1<<31-1); err != nil {
		return w, err
	}
	switch q.Get("broken") {
	case "", "0":
	case "1":
		w.NotDelivered = true
	default:
		return w, playapi.BadRequest{Field: "broken", Problem: "0 or 1 is needed"}
	}
	return w, nil
}

func whole(q url.Values, name string, or, least, most int) (int, error) {
	s := q.Get(name)
	if s == "" {
		return or, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < least || n > most {
		return 0, playapi.BadRequest{Field: name, Problem: fmt.Sprintf("a whole number from %d is needed, not %.20q", least, s)}
	}
	return n, nil
}

// first answers a request for a title, with or without a token of an earlier play.
func (f *Front) first(w http.ResponseWriter, r *http.Request) {
	req, err := ParseFirst(f.desk.Config, r.PathValue("title"), r.URL.Query())
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if raw, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		cl, ok := f.check(w, raw)
		if !ok {
			return
		}
		if !playapi.TokenMatches(f.desk.Config, cl, req) {
			refuse(w, http.StatusForbidden, "token: made for another title, viewer or product")
			return
		}
		req.Previous = &session.Previous{Play: cl.Play, NotDelivered: req.NotDelivered}
	}
	f.ask(w, r, req)
}

// again answers a request for the manifest of a play that its token names.
func (f *Front) again(w http.ResponseWriter, r *http.Request) {
	cl, ok := f.check(w, r.PathValue("token"))
	if !ok {
		return
	}
	req, err := ParseReturn(f.desk.Config, cl, r.URL.Query())
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	f.ask(w, r, req)
}

// leave ends a play whose viewer is done.
func (f *Front) leave(w http.ResponseWriter, r *http.Request) {
	if cl, ok := f.check(w, r.PathValue("token")); ok {
		f.desk.EndPlay(cl.Play)
		w.WriteHeader(http.StatusNoContent)
	}
}

// check checks a token and answers for one that does not hold.
func (f *Front) check(w http.ResponseWriter, raw string) (token.Claims, bool) {
	cl, err := f.desk.Tokens.Check(raw, time.Now())
	switch {
	case err == nil:
		return cl, true
	case errors.Is(err, token.ErrWrongType):
		refuse(w, http.StatusForbidden, err.Error())
	default:
		w.Header().Set("WWW-Authenticate", `Bearer error="invalid_token"`)
		refuse(w, http.StatusUnauthorized, err.Error())
	}
	return cl, false
}

func refuse(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Cache-Control", "no-store")
	http.Error(w, line, status)
}

// ask asks and writes the one answer. A client that went away has its request withdrawn.
func (f *Front) ask(w http.ResponseWriter, r *http.Request, req playapi.Request) {
	began := time.Now()
	got := make(chan session.Answer, 1)
	pending := f.desk.RequestPlay(req, nil, func(ans session.Answer) { got <- ans })
	var ans session.Answer
	select {
	case ans = <-got:
	case <-r.Context().Done():
		pending.Withdraw()
		ans = <-got
	}
	f.write(w, ans)
	f.desk.Log(req, ans, "dash", time.Since(began))
}

func (f *Front) write(w http.ResponseWriter, ans session.Answer) {
	h := w.Header()
	h.Set("Cache-Control", "no-store")
	if ans.Play != "" {
		h.Set(PlayHeader, ans.Play)
	}
	if ans.RetryAfter > 0 { // HTTP tells whole seconds; rounding down would bring viewers back too soon
		h.Set("Retry-After", strconv.FormatInt((ans.RetryAfter+decision.Second-1)/decision.Second, 10))
	}
	switch ans.Verdict {
	case session.Declined:
		refuse(w, http.StatusServiceUnavailable, "declined: "+ans.Reason)
	case session.Failed:
		status := http.StatusBadGateway
		if ans.TimedOut {
			status = http.StatusGatewayTimeout
		}
		refuse(w, status, "failed: "+ans.Reason)
	case session.Denied:
		status := http.StatusForbidden
		if ans.Busy {
			status = http.StatusConflict
		}
		refuse(w, status, "denied: "+ans.Reason)
	case session.Plays:
		body, err := f.manifest(ans)
		if err == nil {
			h.Set("Content-Type", "application/dash+xml")
			_, err = w.Write(body)
		}
		if err != nil { // the viewer never learns of its play
			f.log.Warn().Err(err).Str("play", ans.Play).Msg("answer not delivered")
			f.desk.EndPlay(ans.Play)
		}
	}
}

// manifest writes the MPD of what a viewer is granted. The Location is a path: it is resolved against
// the address that the player asked, whatever stands between.
func (f *Front) manifest(ans session.Answer) ([]byte, error) {
	g, err := f.desk.Grant(ans)
	if err != nil {
		return nil, err
	}
	m := Manifest{Location: "/v1/plays/" + g.Token + "/manifest.mpd", Base: g.Base, Seconds: g.Seconds, Segment: g.Segment, Refresh: g.Segment}
	for _, r := range g.Rungs {
		m.Rungs, m.Bits = append(m.Rungs, r.Number), append(m.Bits, r.Bits)
	}
	return m.Encode()
}
