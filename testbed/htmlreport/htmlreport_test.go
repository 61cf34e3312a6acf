package htmlreport

import (
	"bytes"
	"strings"
	"testing"

	"gullrail/testbed"
	"gullrail/testbed/trace"
)

func TestPageOfADay(t *testing.T) {
	day, err := testbed.ReadScenario("../../days/short.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	out := (&testbed.Sim{Scenario: day}).Run()
	out.Report.Rules[2].Violations = []string{"line 7: <planted>"}
	var page bytes.Buffer
	if err := Write(&page, "short", day, out.Lines, out.Report); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	if n := strings.Count(text, "<svg"); n != 7 {
		t.Errorf("%d charts", n)
	}
	for _, want := range []string{"broken 1 times: line 7: &lt;planted&gt;", "front-kill front 1 for 1 s", "one answer in time"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if strings.Contains(text, "http://") && strings.Contains(text, "src=\"http") {
		t.Error("the page needs something from elsewhere")
	}
}

func TestCurvesByHand(t *testing.T) {
	day, err := testbed.ReadScenario("../../days/short.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	at := func(sec float64) int64 { return int64(sec * 1e6) }
	lines := []trace.Event{
		{T: at(0), Kind: trace.Ask, ID: 1, Viewer: "a", Product: "lesson", First: true}, // importance 2, target 1.5 s
		{T: at(1), Kind: trace.Answer, ID: 1, Status: 200, Play: "p"},
		{T: at(1), Kind: trace.Ask, ID: 2, Viewer: "b", Product: "help", First: true}, // importance 1, target 1 s
		{T: at(2.5), Kind: trace.Answer, ID: 2, Status: 200, Play: "q"},               // too late
		{T: at(3), Kind: trace.Served, Play: "p", Rung: 1, Share: 0.5},
		{T: at(3), Kind: trace.Served, Play: "q", Rung: 1, Share: 1},
	}
	for _, c := range charts(day, lines) {
		switch c.Title {
		case "Segments delivered under 98% of their rate":
			if got := c.curves[0].at[1]; got != 0.5 {
				t.Errorf("short: %v", got)
			}
		case "Answers":
			if got := c.curves[0].at[0]; got != 0.5 { // one play in two seconds
				t.Errorf("plays: %v", got)
			}
		}
		if strings.HasPrefix(c.Title, "Service") {
			if got := c.curves[0].at[0]; got != 2.0/3 {
				t.Errorf("service: %v", got)
			}
		}
	}
}

func FuzzTapeNeverBreaksAPage(f *testing.F) {
	day, err := testbed.ReadScenario("../../days/short.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(`{"t":1,"what":"ask","id":1,"first":true,"product":"help"}` + "\n" + `{"t":2,"what":"served","rung":99,"share":0.1}`)
	f.Fuzz(func(t *testing.T, s string) {
		if lines, err := trace.Read(strings.NewReader(s)); err == nil {
			charts(day, lines)
		}
	})
}
