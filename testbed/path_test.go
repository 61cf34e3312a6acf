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

func TestOnePlayThroughTheWholePath(t *testing.T) {
	r := newRig(t, 4)
	x := r.playing("clip", "paid", "v1")
	if x.manifest.Rungs[0] != 1 {
		t.Fatalf("rungs %v: the floor is 1", x.manifest.Rungs)
	}
	top := x.manifest.Rungs[len(x.manifest.Rungs)-1]
	if s := r.segment(x.manifest.Base, top); s.status != http.StatusOK || s.header.Get(suggestedRateHeader) == "" {
		t.Fatalf("segment: %d %s", s.status, s.body)
	}
	if s := r.segment(x.manifest.Base, top+1); s.status != http.StatusForbidden {
		t.Fatalf("a rung over the one allowed: %d", s.status)
	}
	if s := r.segment(x.manifest.Base, 0); s.status != http.StatusForbidden {
		t.Fatalf("a rung under the floor: %d", s.status)
	}
	if y := r.get(x.manifest.Location); y.status != http.StatusOK || y.play != x.play {
		t.Fatalf("manifest again: %d %s", y.status, y.body)
	}
	if r.count(trace.SetUp, "") != 1 || r.count(trace.Served, x.play) != 1 {
		t.Fatal("one set-up and one segment passed on the sockets")
	}
}

func TestTokensThatDoNotHold(t *testing.T) {
	r := newRig(t, 4)
	x := r.playing("clip", "safe", "v1")
	good := tokenOf(x.manifest)
	cl, err := r.minter.Check(good, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	mint := func(change func(c *token.Claims), life time.Duration) string {
		c := cl
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
	old, _ := retired.Mint(cl, time.Now(), time.Minute)
	parts := strings.Split(good, ".")
	none := base64.RawURLEncoding.EncodeToString([]byte(`{"alg":"none","kid":"k","typ":"gullrail-session+jwt"}`)) + "." + parts[1] + "."
	media := func(raw string) string { return strings.Replace(x.manifest.Base, good, raw, 1) }
	for _, c := range []struct {
		name, raw   string
		node, front int
	}{
		{"expired", mint(func(*token.Claims) {}, -time.Second), 401, 401},
		{"signed by a retired key", old, 401, 401},
		{"algorithm none", none, 401, 401},
		{"not a token", "abc", 401, 401},
		{"made for another node", mint(func(c *token.Claims) { c.Node = "n77" }, time.Minute), 403, 200},
		{"made for another title", mint(func(c *token.Claims) { c.Title = "other" }, time.Minute), 403, 403},
	} {
		if s := r.segment(media(c.raw), 0); s.status != c.node {
			t.Errorf("%s, at the node: %d %s", c.name, s.status, s.body)
		}
		if s := r.get("/v1/plays/" + c.raw + "/manifest.mpd"); s.status != c.front {
			t.Errorf("%s, at the front: %d %s", c.name, s.status, s.body)
		}
	}
	if s := r.get("/v1/titles/other/manifest.mpd?product=safe&viewer=v1", "Authorization", "Bearer "+good); s.status != 403 {
		t.Errorf("used to ask for another title: %d", s.status)
	}
	setUps := r.count(trace.SetUp, "")

	req, _ := http.NewRequest(http.MethodDelete, "http://"+r.addr+"/v1/plays/"+good, nil)
	if resp, err := r.client.Do(req); err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatal("the viewer could not leave")
	}
	r.eventually("the node ends the play", func() bool { return r.count(trace.End, x.play) == 1 })
	if s := r.segment(x.manifest.Base, 0); s.status != http.StatusGone {
		t.Errorf("replayed after its play ended, at the node: %d", s.status)
	}
	if s := r.get(x.manifest.Location); s.status != http.StatusForbidden {
		t.Errorf("replayed after its play ended, at the front: %d", s.status)
	}
	if n := r.count(trace.SetUp, ""); n != setUps {
		t.Errorf("a token that does not hold set up %d plays", n-setUps)
	}
}

func TestMalformedRequestsAreToldInOneLine(t *testing.T) {
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

func TestNodeSilentInMidManifest(t *testing.T) {
	r := newRig(t, 4)
	end := r.nodes[0].silence()
	defer end()
	var wg sync.WaitGroup
	status := make([]int, 24)
	for i := range status { // enough that some meet the silent node
		wg.Add(1)
		go func() {
			defer wg.Done()
			product := []string{"safe", "paid"}[i%2]
			status[i] = r.ask([]string{"clip", "other"}[i/2%2], product, fmt.Sprint("v", i)).status
		}()
	}
	wg.Wait()
	byPlay := map[string][]trace.Event{}
	for _, l := range r.tape.Events() {
		if l.Kind == trace.SetUp {
			byPlay[l.Play] = append(byPlay[l.Play], l)
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
	for play, lines := range byPlay {
		if lines[0].Product == "paid" && len(lines) > 1 {
			t.Errorf("paid play %s was set up %d times, first at %s", play, len(lines), lines[0].Node)
		}
	}
}

func TestNodeSilentInMidSegment(t *testing.T) {
	r := newRig(t, 4)
	x := r.playing("clip", "safe", "v1")
	cl, _ := r.minter.Check(tokenOf(x.manifest), time.Now())
	end := r.fleet.nodes[cl.Node].silence()
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, x.manifest.Base+"r0/1.m4s", nil)
	if _, err := r.client.Do(req); err == nil {
		t.Fatal("a silent node served a segment")
	}
	y := r.get(x.manifest.Location + "?broken=1")
	if y.status != http.StatusOK || y.play == x.play {
		t.Fatalf("placed anew: %d %s", y.status, y.body)
	}
	if cl2, _ := r.minter.Check(tokenOf(y.manifest), time.Now()); cl2.Node == cl.Node {
		t.Fatal("placed on the node that its viewer left")
	}
	if z := r.get(x.manifest.Location); z.status != http.StatusForbidden {
		t.Fatalf("the old token once more: %d", z.status)
	}
}

// A connection that breaks once the request is out may have run; net/http would send a request of its own
// again on a kept connection. One that cannot be opened proves that nothing ran.
func TestConnectionBreaksDuringASetUp(t *testing.T) {
	s := newScripted(t, "s", func(c net.Conn, try int) {}) // reads it and hangs up
	r := newRig(t, 1, s.line)
	refused := 0
	for i := range 30 {
		before := s.got()
		x := r.ask("only-0", "paid", fmt.Sprint("v", i))
		switch took := s.got() - before; {
		case took > 1:
			t.Fatalf("a paid set-up reached the node %d times", took)
		case took == 1 && x.status != http.StatusBadGateway:
			t.Fatalf("may have run: %d %s", x.status, x.body)
		case took == 1:
			refused++
		}
		if refused > 0 && i > 4 {
			break
		}
	}
	if refused == 0 {
		t.Fatal("no set-up met the node")
	}
}

func TestNodeThatCannotBeReachedIsPassedOver(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := nodes.Line{Name: "dead", Address: l.Addr().String(), Phase: "ready", Kind: "std", Zone: "z", Weight: 1}
	l.Close()
	r := newRig(t, 1, dead)
	for i := range 3 {
		if x := r.ask("only-0", "paid", fmt.Sprint("v", i)); x.status != http.StatusOK {
			t.Fatalf("a paid play whose first node never got it: %d %s", x.status, x.body)
		}
	}
}

func TestAnswersOfANode(t *testing.T) {
	for _, c := range []struct {
		name, body string
		status     int
		again      bool // a paid play may be sent again
	}{
		{"refused, by its word", `{"never_ran":true,"why":"full"}`, 503, true},
		{"refused, without its word", `{"why":"full"}`, 503, false},
		{"an error", `{}`, 500, false},
		{"no JSON", `<html>`, 503, false},
		{"created, without a life", `{}`, 201, false},
		{"its word under a success", `{"never_ran":true}`, 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScripted(t, "s", func(conn net.Conn, try int) { say(conn, c.status, c.body) })
			r := newRig(t, 1, s.line)
			for i := 0; s.got() == 0; i++ {
				if i > 40 {
					t.Fatal("no set-up met the node")
				}
				want := http.StatusOK
				x := r.ask("only-0", "paid", fmt.Sprint("v", i), "&limit_ms=1400")
				if s.got() > 0 && !c.again {
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
			if s.got() != 1 {
				t.Fatalf("the node got it %d times", s.got())
			}
		})
	}
}

func TestSameViewerTwiceAtOnce(t *testing.T) {
	r := newRig(t, 1)
	r.change(func() { r.nodes[0].setUpSlowdown = 40 })
	first := make(chan reply, 1)
	go func() { first <- r.ask("clip", "safe", "v") }()
	r.eventually("the first is being set up", func() bool { return r.count(trace.SetUp, "") == 1 })
	if x := r.ask("clip", "safe", "v"); x.status != http.StatusConflict {
		t.Fatalf("the second: %d %s", x.status, x.body)
	}
	if x := <-first; x.status != http.StatusOK || r.count(trace.SetUp, "") != 1 {
		t.Fatalf("the first: %d %s", x.status, x.body)
	}
}

func (r *rig) change(do func()) { r.fleet.mu.Lock(); do(); r.fleet.mu.Unlock() }

func TestClientWhoLeavesEndsItsSetUp(t *testing.T) {
	r := newRig(t, 1)
	r.change(func() { r.nodes[0].setUpSlowdown = 200 })
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.addr+"/v1/titles/clip/manifest.mpd?product=paid&viewer=v", nil)
	go r.client.Do(req)
	r.eventually("it is being set up", func() bool { return r.count(trace.SetUp, "") == 1 })
	cancel()
	r.eventually("the front lets go of it", func() bool { return r.count(trace.Dropped, "") == 1 })
	r.eventually("nothing is in hand", func() bool { return r.front.Counts(context.Background()).InHand == 0 })
}

func TestSlowReaderHoldsNobodyUp(t *testing.T) {
	r := newRig(t, 2)
	for i := range 20 {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET /v1/titles/clip/manifest.mpd?product=safe&viewer=slow%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
		one := make([]byte, 1)
		if _, err := bufio.NewReaderSize(c, 16).Read(one); err != nil { // its first bytes, and then nothing more
			t.Fatal(err)
		}
	}
	for i := range 20 {
		r.playing("clip", "safe", fmt.Sprint("v", i))
	}
}

func TestListTakesANodeBackWhileASetUpIsOnItsWay(t *testing.T) {
	r := newRig(t, 2)
	r.change(func() { r.nodes[0].setUpSlowdown = 100 })
	got := make(chan reply, 1)
	go func() { got <- r.ask("only-0", "paid", "v") }()
	r.eventually("it is being set up", func() bool { return r.count(trace.SetUp, "") == 1 })
	gone := r.nodes[0].line
	gone.Phase = "gone"
	r.registry.UpdateNodes(gone)
	x := <-got
	if x.status != http.StatusOK || r.count(trace.SetUp, "") != 1 {
		t.Fatalf("what was on its way comes to its end: %d %s", x.status, x.body)
	}
	if y := r.ask("only-0", "safe", "w"); y.status != http.StatusServiceUnavailable || r.count(trace.SetUp, "") != 1 {
		t.Fatalf("nothing new for a node that is gone: %d %s", y.status, y.body)
	}
	if s := r.segment(x.manifest.Base, 1); s.status != http.StatusOK {
		t.Fatalf("its plays go on: %d", s.status)
	}
}

func TestDrainedNodeGetsNothingNewOnAnyConnection(t *testing.T) {
	r := newRig(t, 2)
	x := r.playing("only-0", "safe", "v0")
	line := r.nodes[0].line
	line.Phase = "draining"
	r.registry.UpdateNodes(line)
	r.eventually("the front was told", func() bool { return r.count(trace.ListSent, "") == 3 })
	r.eventually("nothing new is set up there", func() bool {
		before := r.count(trace.SetUp, "")
		return r.ask("only-0", "safe", "w").status == http.StatusServiceUnavailable && r.count(trace.SetUp, "") == before
	})
	for i := range 10 {
		r.playing("clip", "safe", fmt.Sprint("v", i+1))
	}
	if s := r.segment(x.manifest.Base, 0); s.status != http.StatusOK {
		t.Fatalf("the kept connection still plays what it played: %d", s.status)
	}
}

func TestFrontThatStallsAnswersAllItFinds(t *testing.T) {
	r := newRig(t, 2)
	hold := make(chan struct{})
	r.front.Stall(func() { <-hold })
	var wg sync.WaitGroup
	status := make([]int, 60)
	for i := range status {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status[i] = r.ask("clip", "safe", fmt.Sprint("v", i), "&limit_ms=", fmt.Sprint(500+i%2*1000)).status
		}()
	}
	time.Sleep(700 * time.Millisecond) // the first half's time is up, the others' is not
	close(hold)
	wg.Wait()
	for i, s := range status {
		if i%2 == 0 && s != http.StatusGatewayTimeout && s != http.StatusServiceUnavailable || i%2 == 1 && s != http.StatusOK && s != http.StatusServiceUnavailable {
			t.Errorf("request %d: %d", i, s)
		}
	}
	r.playing("clip", "safe", "after")
}

func TestFloodFromOneViewerIsTurnedAway(t *testing.T) {
	r := newRig(t, 1)
	many := 0
	for range 60 {
		if x := r.ask("other", "safe", "flood"); x.status == http.StatusServiceUnavailable && strings.Contains(x.body, "too many") {
			many++
			if x.header.Get("Retry-After") == "" {
				t.Fatal("no word when to come back")
			}
		}
	}
	if many == 0 {
		t.Fatal("nothing was turned away")
	}
	r.playing("other", "safe", "quiet")
}

func TestOrderlyEndGivesWhatIsOwed(t *testing.T) {
	r := newRig(t, 1)
	r.change(func() { r.nodes[0].setUpSlowdown = 60 })
	got := make(chan reply, 1)
	go func() { got <- r.ask("clip", "safe", "v") }()
	r.eventually("it is being set up", func() bool { return r.count(trace.SetUp, "") == 1 })
	r.stop()
	if x := <-got; x.status != http.StatusOK {
		t.Fatalf("owed at the end: %d %s", x.status, x.body)
	}
}

func TestNextLifeAdoptsWhatPlaysAndItsSeats(t *testing.T) {
	r := newRig(t, 4)
	var first []reply
	for i := range 3 { // all seats of the title
		first = append(first, r.playing("clip", "paid", fmt.Sprint("v", i)))
	}
	r.stop()
	r.startFront()
	if n := r.front.Counts(context.Background()); n.Adopted != 3 || n.InHand != 3 {
		t.Fatalf("adopted: %+v", n)
	}
	if x := r.ask("clip", "paid", "w"); x.status != http.StatusServiceUnavailable {
		t.Fatalf("a seat was given twice: %d %s", x.status, x.body)
	}
	if x := r.get(first[0].manifest.Location); x.status != http.StatusOK || x.play != first[0].play {
		t.Fatalf("its viewers keep it: %d %s", x.status, x.body)
	}
	if n := r.count(trace.SetUp, ""); n != 3 {
		t.Fatalf("%d set-ups for three plays", n)
	}
}

func TestRetiringFrontLetsItsPlaysGo(t *testing.T) {
	r := newRig(t, 2)
	for i := range 4 {
		r.playing("clip", "safe", fmt.Sprint("v", i))
	}
	r.settings.ReleasePlays = true
	r.stop()
	if r.count(trace.End, "") != 0 {
		t.Fatal("a front whose next life is expected leaves its plays alone")
	}
	r.startFront()
	r.stop()
	if n := r.count(trace.End, ""); n != 4 {
		t.Fatalf("%d of 4 plays were let go", n)
	}
}

func TestThousandsOfPlayersGetOneAnswerEach(t *testing.T) {
	day, err := ParseScenario("day", []byte(`{"service": `+strings.Replace(testService, `"fronts": 1`, `"fronts": 2`, 1)+`,
	"day": {"seconds": 10, "seed": 3, "nodes": 8, "rate": 250, "set_up_ms": [1, 10], "list_late_ms": 200, "idle_ms": 2000,
	  "products": [{"name": "paid", "share": 0.3, "watch_s": [0.2, 1]}, {"name": "safe", "share": 0.7, "watch_s": [0.2, 1]}],
	  "viewers": {"tries": 2, "pause_ms": 100},
	  "faults": [{"at_s": 2, "do": "crash", "nodes": [1], "for_s": 2}, {"at_s": 3, "do": "silence", "nodes": [2], "for_s": 2},
	    {"at_s": 4, "do": "drain", "nodes": [3], "amount": 1, "for_s": 1}, {"at_s": 5, "do": "errors", "nodes": [4], "amount": 0.5, "for_s": 3},
	    {"at_s": 5, "do": "vanish", "nodes": [5], "amount": 0.5, "for_s": 2}, {"at_s": 6, "do": "list-down", "for_s": 2}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	out, err := (&Rehearsal{Scenario: day, Folder: t.TempDir()}).Run(context.Background())
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
			trace.Write(f, out.Lines)
			f.Close()
		}
	}
}
