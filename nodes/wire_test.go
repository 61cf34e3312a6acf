package nodes

import (
	"testing"

	"gullrail/config"
	"gullrail/decision"
	"gullrail/session"
)

func TestLoadReportTextAndJSON(t *testing.T) {
	for _, l := range []decision.Load{{Streams: 7, LinkUtilization: 0.4, UplinkUtilization: 1.25}, {Streams: -1, LinkUtilization: 0, UplinkUtilization: -1}, decision.UnknownLoad} {
		if got := ParseLoad(FormatLoad(l)); got != l {
			t.Errorf("load report %+v parsed as %+v", l, got)
		}
	}
	if got := ParseLoad(`JSON {"application_utilization": 0.4, "named_metrics": {"uplink": 1.25, "other": 3}}`); got != (decision.Load{Streams: -1, LinkUtilization: 0.4, UplinkUtilization: 1.25}) {
		t.Errorf("JSON report parsed as %+v", got)
	}
	for _, s := range []string{"", "TEXT", "TEXT application_utilization=NaN", "TEXT application_utilization=-3", "JSON {", "BIN abc"} {
		if got := ParseLoad(s); got != decision.UnknownLoad {
			t.Errorf("invalid report %q parsed as %+v", s, got)
		}
	}
}

func TestParseNoteRejectsInvalidNotes(t *testing.T) {
	for _, s := range []string{`{`, `{"kind":"x"}`, `{"kind":"hello"}`, `{"kind":"ended","play":"p"}`, `{"kind":"share"}`,
		`{"kind":"load","play":"p","link":1e99}`, `{"kind":"hello","node":"n","life":1,"plays":[{"play":"p"}]}`} {
		if _, err := ParseNote([]byte(s)); err == nil {
			t.Errorf("invalid note accepted: %s", s)
		}
	}
}

func testService() *config.Service {
	return &config.Service{Cells: 4, Kinds: []config.Kind{{Name: "std", MaxStreams: 1}}, Zones: []string{"z"}}
}

func TestParseChangeRejectsInvalidNodes(t *testing.T) {
	const valid = `{"version":1,"whole":true,"nodes":[{"name":"n","address":"127.0.0.1:1","phase":"ready","kind":"std","zone":"z","cell":3,"weight":1}]}`
	clock := session.NewClock()
	if _, entries, err := ParseChange([]byte(valid), testService(), clock); err != nil || len(entries) != 1 || entries[0].Cell != 3 {
		t.Fatalf("valid message: got %v, error %v", entries, err)
	}
	for _, c := range [][2]string{{`"ready"`, `"busy"`}, {`"std"`, `"big"`}, {`"zone":"z"`, `"zone":"y"`}, {`"cell":3`, `"cell":4`},
		{`"weight":1`, `"weight":0`}, {`"127.0.0.1:1"`, `"x"`}, {`"name":"n"`, `"name":""`}, {`"version":1`, `"version":-1`}} {
		bad := replaceOnce(valid, c[0], c[1])
		if _, _, err := ParseChange([]byte(bad), testService(), clock); err == nil {
			t.Errorf("invalid message accepted: %s", bad)
		}
	}
}

func replaceOnce(s, old, new string) string {
	for i := 0; i+len(old) <= len(s); i++ {
		if s[i:i+len(old)] == old {
			return s[:i] + new + s[i+len(old):]
		}
	}
	panic(old)
}

func FuzzParseNote(f *testing.F) {
	f.Add(`{"kind":"hello","node":"n","life":1,"plays":[{"play":"p","title":"t","viewer":"v"}]}`)
	f.Add(`{"kind":"load","play":"p","link":0.5,"uplink":-1}`)
	f.Fuzz(func(t *testing.T, s string) {
		n, err := ParseNote([]byte(s))
		if err == nil && (n.Kind == "" || n.LinkUtilization > 1e6 || n.Attempt < 0) {
			t.Fatalf("invalid note accepted: %+v", n)
		}
	})
}

func FuzzParseLoad(f *testing.F) {
	f.Add("TEXT application_utilization=0.5, named_metrics.uplink=1")
	f.Add(`JSON {"named_metrics":{"streams":3}}`)
	f.Fuzz(func(t *testing.T, s string) {
		l := ParseLoad(s)
		if got := ParseLoad(FormatLoad(l)); l != l || got.LinkUtilization < 0 != (l.LinkUtilization < 0) {
			t.Fatalf("load report %+v parsed as %+v", l, got)
		}
	})
}

func FuzzParseChange(f *testing.F) {
	f.Add(`{"version":1,"nodes":[{"name":"n","address":"h:1","phase":"gone","kind":"std","zone":"z","weight":1}]}`)
	service, clock := testService(), session.NewClock()
	f.Fuzz(func(t *testing.T, s string) {
		_, entries, err := ParseChange([]byte(s), service, clock)
		for _, e := range entries {
			if err == nil && (e.Cell < 0 || e.Cell >= service.Cells || e.Kind != 0 || e.Zone != 0 || e.StartedAt < 0) {
				t.Fatalf("invalid entry accepted: %+v", e)
			}
		}
	})
}
