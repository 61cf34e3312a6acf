package testbed

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gullrail/nodes"
	"gullrail/testbed/trace"
	"gullrail/token"
)

func TestPlayFromRequestToSegment(t *testing.T) {
	r := newRig(t, 4)
	x := r.mustPlay("clip", "paid", "v1")
	if x.manifest.Rungs[0] != 1 {
		t.Fatalf("rungs %v, but the product's lowest rung is 1", x.manifest.Rungs)
	}
	top := x.manifest.Rungs[len(x.manifest.Rungs)-1]
	if s := r.segment(x.manifest.Base, top); s.status != http.StatusOK || s.header.Get(suggestedRateHeader) == "" {
		t.Fatalf("segment: %d %s", s.status, s.body)
	}
	if s := r.segment(x.manifest.Base, top+1); s.status != http.StatusForbidden {
		t.Fatalf("a rung above the highest granted: %d", s.status)
	}
	if s := r.segment(x.manifest.Base, 0); s.status != http.StatusForbidden {
		t.Fatalf("a rung below the product's lowest: %d", s.status)
	}
	if y := r.get(x.manifest.Location); y.status != http.StatusOK || y.play != x.play {
		t.Fatalf("second request for the manifest: %d %s", y.status, y.body)
	}
	if r.countEvents(trace.SetUp, "") != 1 || r.countEvents(trace.Served, x.play) != 1 {
		t.Fatal("the trace doesn't hold exactly one set-up and one segment")
	}
}

func TestInvalidTokens(t *testing.T) {
	r := newRig(t, 4)
	x := r.mustPlay("clip", "safe", "v1")
	valid := tokenOf(x.manifest)
	claims, err := r.minter.Check(valid, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	mint := func(change func(c *token.Claims), life time.Duration) string {
		c := claims
		change(&c)
		raw, err := r.minter.Mint(c, time.Now(), life)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	retired, err := token.NewMinter(token.Key{ID: "old", Private: make([]byte, 64)}, nil)
	if err != nil {
		t.Fatal(err)
	}
	signedByRetiredKey, _ := retired.Mint(claims, time.Now(), time.Minute)
	parts := strings.Split(valid, ".")
	unsigned := base64.RawURLEncoding.EncodeToString([]byte(`{"alg":"none","kid":"k","typ":"gullrail-session+jwt"}`)) + "." + parts[1] + "."
	segmentBase := func(raw string) string { return strings.Replace(x.manifest.Base, valid, raw, 1) }
	for _, c := range []struct {
		name, raw   string
		node, front int
	}{
		{"expired", mint(func(*token.Claims) {}, -time.Second), 401, 401},
		{"signed by a retired key", signedByRetiredKey, 401, 401},
		{"algorithm none", unsigned, 401, 401},
		{"not a token", "abc", 401, 401},
		{"made for another node", mint(func(c *token.Claims) { c.Node = "n77" }, time.Minute), 403, 200},
		{"made for another title", mint(func(c *token.Claims) { c.Title = "other" }, time.Minute), 403, 403},
	} {
		if s := r.segment(segmentBase(c.raw), 0); s.status != c.node {
			t.Errorf("%s, at the node: %d %s", c.name, s.status, s.body)
		}
		if s := r.get("/v1/plays/" + c.raw + "/manifest.mpd"); s.status != c.front {
			t.Errorf("%s, at the front: %d %s", c.name, s.status, s.body)
		}
	}
	if s := r.get("/v1/titles/other/manifest.mpd?product=safe&viewer=v1", "Authorization", "Bearer "+valid); s.status != 403 {
		t.Errorf("used in a request for another title: %d", s.status)
	}
	setUps := r.countEvents(trace.SetUp, "")

	req, _ := http.NewRequest(http.MethodDelete, "http://"+r.addr+"/v1/plays/"+valid, nil)
	if resp, err := r.client.Do(req); err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatal("could not end the play")
	}
	r.eventually("the node ends the play", func() bool { return r.countEvents(trace.End, x.play) == 1 })
	if s := r.segment(x.manifest.Base, 0); s.status != http.StatusGone {
		t.Errorf("used after its play ended, at the node: %d", s.status)
	}
	if s := r.get(x.manifest.Location); s.status != http.StatusForbidden {
		t.Errorf("used after its play ended, at the front: %d", s.status)
	}
	if n := r.countEvents(trace.SetUp, ""); n != setUps {
		t.Errorf("invalid tokens caused %d set-ups", n-setUps)
	}
}

func TestMalformedRequestsGetOneLineErrors(t *testing.T) {
	r := newRig(t, 1)
	for path, field := range map[string]string{
		"/v1/titles/none/manifest.mpd?product=safe&viewer=v":              "title",
		"/v1/titles/clip/manifest.mpd?product=no&viewer=v":                "product",
		"/v1/titles/clip/manifest.mpd?product=safe":                       "viewer",
		"/v1/titles/clip/manifest.mpd?product=safe&viewer=a%20b":          "viewer",
		"/v1/titles/clip/manifest.mpd?product=safe&viewer=v&top=x":        "top",
		"/v1/titles/clip/manifest.mpd?product=paid&viewer=v&top=0":        "top",
		"/v1/titles/clip/manifest.mpd?product=safe&viewer=v&limit_ms=-1":  "limit_ms",
		"/v1/titles/clip/manifest.mpd?product=safe&viewer=v&broken=maybe": "broken",
	} {
		x := r.get(path)
		if x.status != http.StatusBadRequest || !strings.HasPrefix(x.body, field+":") || strings.Count(x.body, "\n") != 1 {
			t.Errorf("%s: %d %q", path, x.status, x.body)
		}
	}
}

func TestNodeSilentDuringSetUp(t *testing.T) {
	r := newRig(t, 4)
	endSilence := r.nodes[0].silence()
	defer endSilence()
	var wg sync.WaitGroup
	status := make([]int, 24)
	for i := range status { // enough that some meet the silent node
		wg.Add(1)
		go func() {
			defer wg.Done()
			product := []string{"safe", "paid"}[i%2]
			status[i] = r.requestPlay([]string{"clip", "other"}[i/2%2], product, fmt.Sprint("v", i)).status
		}()
	}
	wg.Wait()
	byPlay := map[string][]trace.Event{}
	for _, e := range r.recorder.Events() {
		if e.Kind == trace.SetUp {
			byPlay[e.Play] = append(byPlay[e.Play], e)
		}
	}
	for i, s := range status {
		if i%2 == 0 && s != http.StatusOK {
			t.Errorf("safe play %d: %d", i, s)
		}
		if s != http.StatusOK && s != http.StatusBadGateway && s != http.StatusGatewayTimeout && s != http.StatusServiceUnavailable {
			t.Errorf("play %d: %d", i, s)
		}
	}
	for play, setUps := range byPlay {
		if setUps[0].Product == "paid" && len(setUps) > 1 {
			t.Errorf("paid play %s was set up %d times, first at %s", play, len(setUps), setUps[0].Node)
		}
	}
}

func TestNodeSilentDuringSegment(t *testing.T) {
	r := newRig(t, 4)
	x := r.mustPlay("clip", "safe", "v1")
	claims, _ := r.minter.Check(tokenOf(x.manifest), time.Now())
	endSilence := r.fleet.nodes[claims.Node].silence()
	defer endSilence()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, x.manifest.Base+"r0/1.m4s", nil)
	if _, err := r.client.Do(req); err == nil {
		t.Fatal("a silent node served a segment")
	}
	y := r.get(x.manifest.Location + "?broken=1")
	if y.status != http.StatusOK || y.play == x.play {
		t.Fatalf("play on another node: %d %s", y.status, y.body)
	}
	if newClaims, _ := r.minter.Check(tokenOf(y.manifest), time.Now()); newClaims.Node == claims.Node {
		t.Fatal("placed on the silent node again")
	}
	if z := r.get(x.manifest.Location); z.status != http.StatusForbidden {
		t.Fatalf("the replaced play's token: %d", z.status)
	}
}

// A set-up whose connection breaks after the request was sent may have run, so a paid play must not be sent again. On a
// reused connection net/http would resend the request by itself. Only a failure to connect proves that nothing ran.
func TestPaidSetUpIsNotResentAfterConnectionBreak(t *testing.T) {
	s := newScriptedNode(t, "s", func(c net.Conn, attempt int) {}) // reads the request and closes the connection
	r := newRig(t, 1, s.line)
	brokenSetUps := 0
	for i := range 30 {
		before := s.setUpCount()
		x := r.requestPlay("only-0", "paid", fmt.Sprint("v", i))
		switch setUps := s.setUpCount() - before; {
		case setUps > 1:
			t.Fatalf("a paid set-up reached the node %d times", setUps)
		case setUps == 1 && x.status != http.StatusBadGateway:
			t.Fatalf("the play may have run, want status 502: %d %s", x.status, x.body)
		case setUps == 1:
			brokenSetUps++
		}
		if brokenSetUps > 0 && i > 4 {
			break
		}
	}
	if brokenSetUps == 0 {
		t.Fatal("no set-up reached the node")
	}
}

func TestUnreachableNodeIsSkipped(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := nodes.ListNode{Name: "dead", Address: l.Addr().String(), Phase: "ready", Kind: "std", Zone: "z", Weight: 1}
	l.Close()
	r := newRig(t, 1, dead)
	for i := range 3 {
		if x := r.requestPlay("only-0", "paid", fmt.Sprint("v", i)); x.status != http.StatusOK {
			t.Fatalf("a paid play whose first node was unreachable: %d %s", x.status, x.body)
		}
	}
}

func TestPaidSetUpIsResentOnlyAfterExplicitRefusal(t *testing.T) {
	for _, c := range []struct {
		name, body string
		status     int
		resent     bool // whether a paid play is sent again after this answer
	}{
		{"refused, with never_ran", `{"never_ran":true,"why":"full"}`, 503, true},
		{"refused, without never_ran", `{"why":"full"}`, 503, false},
		{"an error", `{}`, 500, false},
		{"not JSON", `<html>`, 503, false},
		{"created, without the node's life number", `{}`, 201, false},
		{"never_ran with a success status", `{"never_ran":true}`, 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedNode(t, "s", func(conn net.Conn, attempt int) { writeResponse(conn, c.status, c.body) })
			r := newRig(t, 1, s.line)
			for i := 0; s.setUpCount() == 0; i++ {
				if i > 40 {
					t.Fatal("no set-up reached the node")
				}
				want := http.StatusOK
				x := r.requestPlay("only-0", "paid", fmt.Sprint("v", i), "&limit_ms=1400")
				if s.setUpCount() > 0 && !c.resent {
					want = http.StatusBadGateway
				}
				if x.status != want && x.status != http.StatusServiceUnavailable {
					t.Fatalf("got %d, want %d: %s", x.status, want, x.body)
				}
				if x.status == http.StatusOK {
					req, _ := http.NewRequest(http.MethodDelete, "http://"+r.addr+"/v1/plays/"+tokenOf(x.manifest), nil)
					if resp, err := r.client.Do(req); err == nil {
						resp.Body.Close()
					}
				}
			}
			if s.setUpCount() != 1 {
				t.Fatalf("the node received %d set-ups, want 1", s.setUpCount())
			}
		})
	}
}

func TestConcurrentRequestsOfOneViewer(t *testing.T) {
	r := newRig(t, 1)
	r.withFleetLock(func() { r.nodes[0].setUpSlowdown = 40 })
	first := make(chan reply, 1)
	go func() { first <- r.requestPlay("clip", "safe", "v") }()
	r.eventually("the first request's set-up is pending", func() bool { return r.countEvents(trace.SetUp, "") == 1 })
	if x := r.requestPlay("clip", "safe", "v"); x.status != http.StatusConflict {
		t.Fatalf("second request: %d %s", x.status, x.body)
	}
	if x := <-first; x.status != http.StatusOK || r.countEvents(trace.SetUp, "") != 1 {
		t.Fatalf("first request: %d %s", x.status, x.body)
	}
}

func (r *rig) withFleetLock(do func()) { r.fleet.mu.Lock(); do(); r.fleet.mu.Unlock() }

func TestClientDisconnectCancelsSetUp(t *testing.T) {
	r := newRig(t, 1)
	r.withFleetLock(func() { r.nodes[0].setUpSlowdown = 200 })
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.addr+"/v1/titles/clip/manifest.mpd?product=paid&viewer=v", nil)
	go r.client.Do(req)
	r.eventually("the set-up is pending", func() bool { return r.countEvents(trace.SetUp, "") == 1 })
	cancel()
	r.eventually("the front closes its connection to the node", func() bool { return r.countEvents(trace.Dropped, "") == 1 })
	r.eventually("the front holds no play", func() bool { return r.front.Counts(context.Background()).Active == 0 })
}

func TestSlowReadersDoNotBlockOthers(t *testing.T) {
	r := newRig(t, 2)
	for i := range 20 {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET /v1/titles/clip/manifest.mpd?product=safe&viewer=slow%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
		one := make([]byte, 1)
		if _, err := bufio.NewReaderSize(c, 16).Read(one); err != nil { // the first bytes only
			t.Fatal(err)
		}
	}
	for i := range 20 {
		r.mustPlay("clip", "safe", fmt.Sprint("v", i))
	}
}

func TestNodeRemovedFromListDuringSetUp(t *testing.T) {
	r := newRig(t, 2)
	r.withFleetLock(func() { r.nodes[0].setUpSlowdown = 100 })
	replies := make(chan reply, 1)
	go func() { replies <- r.requestPlay("only-0", "paid", "v") }()
	r.eventually("the set-up is pending", func() bool { return r.countEvents(trace.SetUp, "") == 1 })
	gone := r.nodes[0].line
	gone.Phase = "gone"
	r.listService.UpdateNodes(gone)
	x := <-replies
	if x.status != http.StatusOK || r.countEvents(trace.SetUp, "") != 1 {
		t.Fatalf("a pending set-up must complete: %d %s", x.status, x.body)
	}
	if y := r.requestPlay("only-0", "safe", "w"); y.status != http.StatusServiceUnavailable || r.countEvents(trace.SetUp, "") != 1 {
		t.Fatalf("a node that is gone must get no new play: %d %s", y.status, y.body)
	}
	if s := r.segment(x.manifest.Base, 1); s.status != http.StatusOK {
		t.Fatalf("its plays must continue: %d", s.status)
	}
}

func TestDrainingNodeGetsNoNewPlays(t *testing.T) {
	r := newRig(t, 2)
	x := r.mustPlay("only-0", "safe", "v0")
	line := r.nodes[0].line
	line.Phase = "draining"
	r.listService.UpdateNodes(line)
	r.eventually("the front received the node's new phase", func() bool { return r.countEvents(trace.ListSent, "") == 3 })
	r.eventually("the front sends no set-up to the draining node", func() bool {
		before := r.countEvents(trace.SetUp, "")
		return r.requestPlay("only-0", "safe", "w").status == http.StatusServiceUnavailable && r.countEvents(trace.SetUp, "") == before
	})
	for i := range 10 {
		r.mustPlay("clip", "safe", fmt.Sprint("v", i+1))
	}
	if s := r.segment(x.manifest.Base, 0); s.status != http.StatusOK {
		t.Fatalf("a running play must continue on its connection: %d", s.status)
	}
}

func TestStalledFrontAnswersQueuedRequests(t *testing.T) {
	r := newRig(t, 2)
	resume := make(chan struct{})
	r.front.Stall(func() { <-resume })
	var wg sync.WaitGroup
	status := make([]int, 60)
	for i := range status {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status[i] = r.requestPlay("clip", "safe", fmt.Sprint("v", i), "&limit_ms=", fmt.Sprint(500+i%2*1000)).status
		}()
	}
	time.Sleep(700 * time.Millisecond) // past the time limit of the even requests, before that of the odd ones
	close(resume)
	wg.Wait()
	for i, s := range status {
		if i%2 == 0 && s != http.StatusGatewayTimeout && s != http.StatusServiceUnavailable || i%2 == 1 && s != http.StatusOK && s != http.StatusServiceUnavailable {
			t.Errorf("request %d: %d", i, s)
		}
	}
	r.mustPlay("clip", "safe", "after")
}

func TestFloodFromOneViewerIsRejected(t *testing.T) {
	r := newRig(t, 1)
	rejected := 0
	for range 60 {
		if x := r.requestPlay("other", "safe", "flood"); x.status == http.StatusServiceUnavailable && strings.Contains(x.body, "too many") {
			rejected++
			if x.header.Get("Retry-After") == "" {
				t.Fatal("no Retry-After header")
			}
		}
	}
	if rejected == 0 {
		t.Fatal("no request was rejected")
	}
	r.mustPlay("other", "safe", "quiet")
}

func TestShutdownAnswersPendingRequests(t *testing.T) {
	r := newRig(t, 1)
	r.withFleetLock(func() { r.nodes[0].setUpSlowdown = 60 })
	replies := make(chan reply, 1)
	go func() { replies <- r.requestPlay("clip", "safe", "v") }()
	r.eventually("the set-up is pending", func() bool { return r.countEvents(trace.SetUp, "") == 1 })
	r.stop()
	if x := <-replies; x.status != http.StatusOK {
		t.Fatalf("request pending at shutdown: %d %s", x.status, x.body)
	}
}

func TestRestartedFrontAdoptsPlaysAndSeats(t *testing.T) {
	r := newRig(t, 4)
	var first []reply
	for i := range 3 { // as many as the title has seats
		first = append(first, r.mustPlay("clip", "paid", fmt.Sprint("v", i)))
	}
	r.stop()
	r.startFront()
	if n := r.front.Counts(context.Background()); n.Adopted != 3 || n.Active != 3 {
		t.Fatalf("adopted: %+v", n)
	}
	if x := r.requestPlay("clip", "paid", "w"); x.status != http.StatusServiceUnavailable {
		t.Fatalf("a play beyond the seats: %d %s", x.status, x.body)
	}
	if x := r.get(first[0].manifest.Location); x.status != http.StatusOK || x.play != first[0].play {
		t.Fatalf("an adopted play's manifest: %d %s", x.status, x.body)
	}
	if n := r.countEvents(trace.SetUp, ""); n != 3 {
		t.Fatalf("%d set-ups for three plays", n)
	}
}

func TestRetiringFrontEndsItsPlays(t *testing.T) {
	r := newRig(t, 2)
	for i := range 4 {
		r.mustPlay("clip", "safe", fmt.Sprint("v", i))
	}
	r.settings.ReleasePlays = true
	r.stop()
	if r.countEvents(trace.End, "") != 0 {
		t.Fatal("a front that stops to be restarted must not end its plays")
	}
	r.startFront()
	r.stop()
	if n := r.countEvents(trace.End, ""); n != 4 {
		t.Fatalf("%d of 4 plays were ended", n)
	}
}

func TestThousandsOfViewersGetOneAnswerEach(t *testing.T) {
	scenario, err := ParseScenario("scenario", []byte(`{"service": `+strings.Replace(testService, `"fronts": 1`, `"fronts": 2`, 1)+`,
	"day": {"seconds": 10, "seed": 3, "nodes": 8, "rate": 250, "set_up_ms": [1, 10], "list_late_ms": 200, "idle_ms": 2000,
	  "products": [{"name": "paid", "share": 0.3, "watch_s": [0.2, 1]}, {"name": "safe", "share": 0.7, "watch_s": [0.2, 1]}],
	  "viewers": {"tries": 2, "pause_ms": 100},
	  "faults": [{"at_s": 2, "do": "crash", "nodes": [1], "for_s": 2}, {"at_s": 3, "do": "silence", "nodes": [2], "for_s": 2},
	    {"at_s": 4, "do": "drain", "nodes": [3], "amount": 1, "for_s": 1}, {"at_s": 5, "do": "errors", "nodes": [4], "amount": 0.5, "for_s": 3},
	    {"at_s": 5, "do": "vanish", "nodes": [5], "amount": 0.5, "for_s": 2}, {"at_s": 6, "do": "list-down", "for_s": 2}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	out, err := (&Rehearsal{Scenario: scenario, Folder: t.TempDir()}).Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	rep := out.Report
	if rep.Asked < 2000 || rep.MaxAnswers != 1 || rep.Doubled != 0 || rep.Plays == 0 {
		t.Errorf("asked %d, plays %d, answers %d, doubled %d", rep.Asked, rep.Plays, rep.MaxAnswers, rep.Doubled)
	}
	for i, rule := range rep.Rules {
		for _, b := range rule.Violations {
			t.Errorf("rule %d: %s", i+1, b)
		}
	}
	if t.Failed() {
		if f, err := os.Create(filepath.Join(os.TempDir(), "failed-tape.jsonl")); err == nil {
			trace.Write(f, out.Events)
			f.Close()
		}
	}
}
