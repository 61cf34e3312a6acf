package benchproto

import (
	"bufio"
	"strings"
	"testing"

	"gullrail/decision"
	"gullrail/internal/convert"
)

const config = `{"balancers":1,"me":0,"zone":"a","localities":["a"],"shapes":["k"],"new-key":[{"x":1}],` +
	`"family-info":{"places":4,"shelves":1,"kind-streams":[9],"rung-kb":[100,200],"ladder-worth":[0.4,1],` +
	`"rate-factor":[1],"weight-kb":1000},"limits":{"most-tries":3},` +
	`"lanes":[{"name":"s","effect":"read_like","objective-ms":1000,"deadline-ms":3000,"worth":1}],` +
	`"safety":{"cold-share":0.4,"warm-after-ms":9000,"drain-grace-ms":500,"fall-multiple":2,"fall-ms":900},` +
	`"report":{"columns":["inflight","x0"]}}`

const spawn = "TO who=0\nSPAWN random-seed=1 config=" + config + "\n"
const rowA = "ROW phase=ready node=1.1.1.1:1 campus=a place=0 generation-hw=k\n"
const list = "DEFINE_LIST page=0 records=1\n" + rowA + "ANNOUNCE page=0 index=1 how=restored\n"
const incoming = "INCOMING job=7 service=s object=v asset=t left-ms=3000 start-cell=0 span=2 best-rung=1\n"

func batch(n, body string) string { return "MARK ts-ms=100.5 n=" + n + "\n" + body + "EOB\n" }

func run(in string) (string, error) {
	var out strings.Builder
	err := Run(strings.NewReader(in), &out)
	return out.String(), err
}

func TestGoodInput(t *testing.T) {
	for name, c := range map[string]struct{ in, reply string }{
		"empty batch":             {batch("1", ""), "ACK n=1\n"},
		"placed":                  {batch("1", spawn+list+incoming), "FORWARD job=7 not-past-ms=600.5 node=1.1.1.1:1"},
		"no node holds it":        {batch("1", spawn+list+strings.Replace(incoming, "cell=0", "cell=1", 1)), "NOT_NOW job=7"},
		"list without nodes":      {batch("1", spawn+list+"DEFINE_LIST page=1 records=0\nANNOUNCE page=1 index=2 how=replace\n"+incoming), "NOT_NOW job=7"},
		"deadline already passed": {batch("1", spawn+list+strings.Replace(incoming, "3000", "0", 1)), "NOT_NOW job=7"},
		"list number reused": {batch("1", spawn+"DEFINE_LIST page=0 records=0\n"+list+incoming),
			"FORWARD job=7"},
		"stopped and restarted in one batch": {batch("1", spawn+list+incoming+"POWER_OFF\n"+spawn+list+
			strings.Replace(incoming, "job=7", "job=8", 1)), "FORWARD job=8"},
		"unknown event and field": {batch("1", spawn+list+"NEWS job=1\n"+strings.Replace(incoming, "job", "x=1 job", 1)), "FORWARD job=7"},
		"event for a finished play": {batch("1", spawn+list+"RESPONSE job=5 rc=served send-no=0 node=1.1.1.1:1\nCLIENT_LEFT job=6\n"),
			"ACK n=1\n"},
	} {
		out, err := run(c.in)
		if err != nil || !strings.Contains(out, c.reply) || !strings.HasSuffix(out, "ACK n=1\n") {
			t.Errorf("%s: %v\n%s", name, err, out)
		}
	}
}

func TestBadInputErrorNamesBatchAndLine(t *testing.T) {
	for name, c := range map[string]struct{ in, message string }{
		"field without a value": {batch("3", "TO who\n"), `batch 3, line 2: field "who" is not in the form name=value`},
		"not a number":          {batch("3", "TO who=x\n"), "batch 3, line 2: TO: field who: not a whole number"},
		"field missing":         {batch("3", spawn+list+"INCOMING job=1\n"), "line 7: INCOMING: field service: missing"},
		"list never defined":    {batch("3", spawn+"ANNOUNCE page=4 index=1 how=replace\n"), "line 4: ANNOUNCE: field page"},
		"rows missing":          {batch("3", "DEFINE_LIST page=0 records=2\n"+rowA), "line 4: EOB: 1 rows"},
		"setting missing": {batch("3", strings.Replace(spawn, `"most-tries":3`, `"x":1`, 1)),
			"SPAWN: field config.limits.most-tries: missing"},
		"input ends in a batch": {"MARK ts-ms=1 n=3\nTO who=0\n", "batch 3, line 2: input ends before EOB"},
		"outside a batch":       {"TO who=0\n", "outside a batch"},
	} {
		if out, err := run(c.in); err == nil || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: %v\n%s", name, err, out)
		}
	}
}

// spawnWithPeers starts one of two instances that may message each other, with a list of ten nodes, some of which
// the other instance owns.
func spawnWithPeers() string {
	c := strings.NewReplacer(`"balancers":1`, `"balancers":2`, `"limits":{`, `"limits":{"peer-messages":true,`).Replace(config)
	out := "TO who=0\nSPAWN random-seed=1 config=" + c + "\nDEFINE_LIST page=0 records=10\n"
	for i := range 10 {
		out += strings.Replace(rowA, "1.1.1.1:1", "1.1.1.1:"+string(rune('0'+i)), 1)
	}
	return out + "ANNOUNCE page=0 index=1 how=restored\n"
}

func TestMessagesBetweenInstances(t *testing.T) {
	const fromPeer = "FROM_PEER by=1 bytes=" // a meaningless message, which only shows that the other instance is alive
	late := strings.Replace(batch("1", spawnWithPeers()+fromPeer+"aGVsbG8=\n"+incoming), "ts-ms=100.5", "ts-ms=100000.5", 1)
	out, err := run(late)
	if err != nil || !strings.Contains(out, "NOTIFY dst=1 bytes=") || strings.Contains(out, "FORWARD") {
		t.Fatalf("want a query before a set-up: %v\n%s", err, out)
	}
	if out, err = run(batch("1", spawnWithPeers()+fromPeer+"-\n")); err != nil || strings.Contains(out, "BAIL_OUT") {
		t.Fatalf("empty message: %v\n%s", err, out)
	}
	if _, err = run(batch("1", spawnWithPeers()+fromPeer+"%%\n")); err == nil || !strings.Contains(err.Error(), "FROM_PEER: field bytes: not base64") {
		t.Fatalf("got %v", err)
	}
}

func TestParseLiveTitlesMessagesAndReports(t *testing.T) {
	parsed, err := convert.Parse(strings.NewReplacer(`"limits":{`, `"limits":{"peer-messages":true,`, `"report":{`, `"report":{"how":"piggyback",`,
		`"rate-factor":[1]`, `"rate-factor":[1],"is-live":[true],"join-adds":0.3`).Replace(config))
	if err != nil {
		t.Fatal(err)
	}
	set := parsed.PolicySettings
	for name, want := range map[string]float64{"peers": 1, "reports.answers": 1, "product.live": 1, "join": 0.3} {
		if v := set[name]; len(v) != 1 || v[0] != want {
			t.Errorf("%s is %v", name, v)
		}
	}
	if plain, _ := convert.Parse(config); plain.PolicySettings["reports.answers"][0] != 0 || plain.PolicySettings["peers"] != nil || plain.PolicySettings["join"] != nil {
		t.Errorf("settings that were not given: %v", plain.PolicySettings)
	}
}

func TestPolicyPanicIsReported(t *testing.T) {
	var out strings.Builder
	h := &host{out: bufio.NewWriter(&out), inBatch: true, lastContext: -1, instances: map[int64]*instance{
		0: {policy: panickingPolicy{}, plays: map[int64]decision.Handle{}}}}
	if err := h.decode("TIMER ref=1"); err != nil {
		t.Fatal(err)
	}
	h.out.Flush()
	if want := "CONTEXT who=0\nBAIL_OUT note-text=broken\n"; out.String() != want {
		t.Fatalf("got %q", out.String())
	}
}

type panickingPolicy struct{ decision.Policy }

func (panickingPolicy) Wake(int64) *decision.Result { panic("broken") }
