package htmlreport

import (
	"bytes"
	"strings"
	"testing"

	"gullrail/testbed"
	"gullrail/testbed/trace"
)

func TestReportOfScenario(t *testing.T) {
	scenario, err := testbed.ReadScenario("../../days/short.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	out := (&testbed.Sim{Scenario: scenario}).Run()
	out.Report.Rules[2].Violations = []string{"line 7: <planted>"}
	var page bytes.Buffer
	if err := Write(&page, "short", scenario, out.Events, out.Report); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	if n := strings.Count(text, "<svg"); n != 7 {
		t.Errorf("got %d charts, want 7", n)
	}
	for _, want := range []string{"broken 1 times: line 7: &lt;planted&gt;", "front-kill front 1 for 1 s", "one answer in time"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	if strings.Contains(text, "http://") && strings.Contains(text, "src=\"http") {
		t.Error("the page loads an external resource")
	}
}

func TestChartValues(t *testing.T) {
	scenario, err := testbed.ReadScenario("../../days/short.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	at := func(sec float64) int64 { return int64(sec * 1e6) }
	events := []trace.Event{
		{T: at(0), Kind: trace.RequestSent, ID: 1, Viewer: "a", Product: "lesson", First: true}, // importance 2, target 1.5 s
		{T: at(1), Kind: trace.Answer, ID: 1, Status: 200, Play: "p"},
		{T: at(1), Kind: trace.RequestSent, ID: 2, Viewer: "b", Product: "help", First: true}, // importance 1, target 1 s
		{T: at(2.5), Kind: trace.Answer, ID: 2, Status: 200, Play: "q"},                       // too late
		{T: at(3), Kind: trace.Served, Play: "p", Rung: 1, Share: 0.5},
		{T: at(3), Kind: trace.Served, Play: "q", Rung: 1, Share: 1},
	}
	for _, c := range buildCharts(scenario, events) {
		switch c.Title {
		case "Segments delivered under 98% of their rate":
			if got := c.curves[0].values[1]; got != 0.5 {
				t.Errorf("share under rate: %v", got)
			}
		case "Answers":
			if got := c.curves[0].values[0]; got != 0.5 { // one play in two seconds
				t.Errorf("plays: %v", got)
			}
		}
		if strings.HasPrefix(c.Title, "Service") {
			if got := c.curves[0].values[0]; got != 2.0/3 {
				t.Errorf("service: %v", got)
			}
		}
	}
}

func FuzzChartsOfAnyTrace(f *testing.F) {
	scenario, err := testbed.ReadScenario("../../days/short.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(`{"t":1,"what":"ask","id":1,"first":true,"product":"help"}` + "\n" + `{"t":2,"what":"served","rung":99,"share":0.1}`)
	f.Fuzz(func(t *testing.T, text string) {
		if events, err := trace.Read(strings.NewReader(text)); err == nil {
			buildCharts(scenario, events)
		}
	})
}
