package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const validSettings = `{ // a front
  "front": {"name": "f0", "number": 0, "zone": "z", "listen": "127.0.0.1:0"},
  "list": {"url": "http://127.0.0.1:1/v1/list"},
  "keys": [{"id": "k", "seed": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", "signs": true}],
  "service": {
    "fronts": 2, "rates_kb": [100, 200], "worth": [0.5, 1], "cells": 4, "racks": 2, "link_kb": 1000,
    "kinds": [{"name": "std", "streams": 10}], "zones": ["z"],
    "products": [{"name": "p", "importance": 1, "target_ms": 1000, "limit_ms": 4000}],
    "titles": [{"name": "t", "home": 0, "copies": 2}],
    "reports": {"how": "probe"},
    "rules": {"cold_share": 0.4, "cold_lasts_ms": 10000, "fall_multiple": 2, "fall_over_ms": 1000, "drain_grace_ms": 500},
  },
}`

func TestSettingsWithCommentsAndDefaults(t *testing.T) {
	f, err := ParseFront("f.jsonc", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	s := f.Service
	if f.MaxWaiting != 256 || s.MaxAttempts != 4 || s.Products[0].MaxRung != 1 || s.Products[0].RateFactor != 1 || s.BudgetWindowMs != 0 {
		t.Fatalf("unexpected defaults: %+v", f)
	}
	settings := s.PolicySettings(1, "z")
	if settings["front"][0] != 1 || settings["product.target"][0] != 10000 || settings["cold.lasts"][0] != 100000 || settings["zone"][0] != 0 {
		t.Fatalf("unexpected policy settings: %v", settings)
	}
	if _, given := settings["budget.over"]; given {
		t.Fatal("budget.over is set without a budget in the settings")
	}
}

func TestProblemsNameLineAndField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"name": "f0"`, `"name": ""`, "f.jsonc:2: front.name: must be a non-empty string"},
		{`"number": 0`, `"number": 2`, "f.jsonc:2: front.number: must be less than service.fronts, which is 2"},
		{`"number": 0`, `"number": 0.5`, "f.jsonc:2: front.number: must be an integer"},
		{`"zone": "z", "listen"`, `"zone": "y", "listen"`, `f.jsonc:2: front.zone: "y" is not one of z`},
		{`"127.0.0.1:0"`, `"here"`, `f.jsonc:2: front.listen: "here" is not host:port`},
		{`"http://127.0.0.1:1/v1/list"`, `"ftp://x"`, `f.jsonc:3: list.url: "ftp://x" is not an http URL`},
		{`, "signs": true`, ``, "f.jsonc:4: keys: exactly one key must sign, not 0"},
		{`AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=`, `AA==`, "f.jsonc:4: keys[0].seed: must be 32 bytes in base64"},
		{`"fronts": 2`, `"fronts": "2"`, "f.jsonc:6: service.fronts: must be a number from 1 to 1.048576e+06"},
		{`"worth": [0.5, 1]`, `"worth": [1]`, "f.jsonc:6: service.worth: has 1 values, but rates_kb has 2"},
		{`[100, 200]`, `[200, 100]`, "f.jsonc:6: service.rates_kb: rate of rung 1 is not higher than that of the rung below"},
		{`"limit_ms": 4000`, `"limit_ms": 400`, "f.jsonc:8: service.products[0].limit_ms: must not be less than target_ms"},
		{`"limit_ms": 4000`, `"limit_ms": 4000, "seat": 1`, "f.jsonc:8: service.products[0].seat: unknown field"},
		{`"copies": 2}`, `"copies": 2}, {"name": "t", "home": 0, "copies": 1}`, `f.jsonc:9: service.titles[1].name: duplicate value "t"`},
		{`"home": 0`, `"home": 9`, "f.jsonc:9: service.titles[0].home: must be a number from 0 to 3"},
		{`"how": "probe"`, `"how": "ask"`, `f.jsonc:10: service.reports.how: "ask" is not one of probe, answers, none`},
		{`"drain_grace_ms": 500`, `"drain_grace_ms": 500, "drain_grace_ms": 1`, "f.jsonc:11: service.rules.drain_grace_ms: duplicate field"},
		{`"reports": {"how": "probe"},`, ``, "f.jsonc:5: service.reports: must be an object"},
		{`"list": {`, `"list": `, "f.jsonc:3: invalid JSON with comments"},
	} {
		text := strings.Replace(validSettings, c.old, c.new, 1)
		if text == validSettings {
			t.Fatalf("%q does not occur in the settings", c.old)
		}
		_, err := ParseFront("f.jsonc", []byte(text))
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%q: %v", c.new, err)
		case c.want != "" && (err == nil || !strings.Contains("\n"+err.Error(), "\n"+c.want)):
			t.Errorf("%q:\n got %v\nwant %s", c.new, err, c.want)
		}
	}
}

// baseSettings are the policy settings that validSettings gave before live titles and messages between fronts were added.
// Settings files without these features must keep giving the same.
var baseSettings = map[string][]float64{
	"fronts": {2}, "front": {0}, "cells": {4}, "racks": {2}, "rung.rate": {100, 200}, "rung.worth": {0.5, 1}, "weight.rate": {1000},
	"uplink.rate": {0}, "reports.uplink": {0}, "note.lag": {10000}, "switch.seconds": {0}, "tries": {4}, "probing": {1}, "recall": {1},
	"comeback": {1}, "comeback.most": {10000}, "cold.share": {0.4}, "cold.lasts": {100000}, "fall.multiple": {2}, "fall.over": {10000},
	"kind.streams": {10}, "zone": {0}, "product.rate": {1}, "product.paid": {0}, "product.floor": {0}, "product.top": {1},
	"product.seats": {0}, "product.importance": {1}, "product.target": {10000},
}

func TestPolicySettingsWithoutOptionalFields(t *testing.T) {
	f, err := ParseFront("f.jsonc", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got := f.PolicySettings(); !reflect.DeepEqual(got, baseSettings) {
		t.Fatalf("policy settings changed: %v", got)
	}
}

const peersField = `"listen": "127.0.0.1:0", "peers": {"listen": "127.0.0.1:0", "fronts": ["127.0.0.1:1", "127.0.0.1:2"],
    "secret": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}}`

// extendedSettings is validSettings with live titles and messages between fronts.
var extendedSettings = strings.NewReplacer(`"listen": "127.0.0.1:0"}`, peersField, `"fronts": 2`, `"fronts": 2, "join_adds": 0.3`,
	`"limit_ms": 4000`, `"limit_ms": 4000, "live": true`).Replace(validSettings)

func TestLiveTitlesAndPeersInPolicySettings(t *testing.T) {
	f, err := ParseFront("f.jsonc", []byte(extendedSettings))
	if err != nil {
		t.Fatal(err)
	}
	settings := f.PolicySettings()
	for name, want := range map[string]float64{"peers": 1, "join": 0.3, "product.live": 1} {
		if v := settings[name]; len(v) != 1 || v[0] != want {
			t.Errorf("%s: got %v", name, v)
		}
	}
	if len(f.Peers.Fronts) != 2 || len(f.Peers.Secret) != 32 {
		t.Fatalf("unexpected peers: %+v", f.Peers)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"join_adds": 0.3`, `"join_adds": 0`, "f.jsonc:7: service.join_adds: must be a number from 0.001 to 1"},
		{`"join_adds": 0.3`, `"join_adds": "0.3"`, "f.jsonc:7: service.join_adds: must be a number from 0.001 to 1"},
		{`"live": true`, `"live": 1`, "f.jsonc:9: service.products[0].live: must be true or false"},
		{`["127.0.0.1:1", "127.0.0.1:2"]`, `["127.0.0.1:1"]`, "f.jsonc:2: front.peers.fronts: has 1 addresses, but service.fronts is 2"},
		{`["127.0.0.1:1", "127.0.0.1:2"]`, `["127.0.0.1:1", "x"]`, `f.jsonc:2: front.peers.fronts[1]: "x" is not host:port`},
		{`"secret": "AAAAAAAA`, `"secret": "AA`, "f.jsonc:3: front.peers.secret: must be 32 bytes in base64"},
		{`"secret"`, `"key"`, "f.jsonc:3: front.peers.key: unknown field"},
	} {
		text := strings.Replace(extendedSettings, c.old, c.new, 1)
		if text == extendedSettings {
			t.Fatalf("%q does not occur in the settings", c.old)
		}
		if _, err := ParseFront("f.jsonc", []byte(text)); err == nil || !strings.Contains("\n"+err.Error(), "\n"+c.want) {
			t.Errorf("%q:\n got %v\nwant %s", c.new, err, c.want)
		}
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	text := strings.NewReplacer(`"name": "f0"`, `"name": 1`, `"cells": 4`, `"cells": 0`, `"streams": 10`, `"streams": -1`).Replace(validSettings)
	_, err := ParseFront("f.jsonc", []byte(text))
	var problems Problems
	if !errors.As(err, &problems) || len(problems) < 3 || problems[0].Line != 2 || problems[len(problems)-1].Line < 7 {
		t.Fatalf("got %v, want at least 3 problems, from line 2 to at least line 7", err)
	}
	if _, err := ReadFront(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("missing file: got %v, want os.ErrNotExist", err)
	}
}

func FuzzParseFront(f *testing.F) {
	f.Add(validSettings)
	f.Add("{")
	f.Add(`[{"a":1e400}]`)
	f.Fuzz(func(t *testing.T, s string) {
		set, err := ParseFront("f", []byte(s))
		if err == nil && (set.Name == "" || len(set.Service.Products) == 0 || set.Number >= set.Service.Fronts) {
			t.Fatalf("accepted invalid settings %+v", set)
		}
	})
}
