package dash

import (
	"net/url"
	"reflect"
	"strings"
	"testing"
	"time"

	"gullrail/config"
)

func testService() *config.Service {
	doc, value, err := config.Parse("s", []byte(`{"fronts": 1, "rates_kb": [100, 200], "worth": [0.5, 1], "cells": 4, "racks": 2, "link_kb": 1000,
    "kinds": [{"name": "std", "streams": 10}], "zones": ["z"],
    "products": [{"name": "p", "importance": 1, "target_ms": 1000, "limit_ms": 4000, "floor": 1}],
    "titles": [{"name": "t", "home": 0, "copies": 2}], "reports": {"how": "probe"},
    "rules": {"cold_share": 0.4, "cold_lasts_ms": 10000, "fall_multiple": 2, "fall_over_ms": 1000, "drain_grace_ms": 500}}`))
	if err != nil {
		panic(err)
	}
	service := config.ReadService(value)
	if doc.Err() != nil {
		panic(doc.Err())
	}
	return &service
}

func TestManifestRoundTrip(t *testing.T) {
	m := Manifest{Location: "/v1/plays/a.b.c/manifest.mpd", Base: "http://n:1/v1/media/a.b.c/t%20x/", Rungs: []int{1, 2},
		BitRates: []float64{800000, 1600000}, LengthSeconds: 60.5, SegmentMs: 2000, RefreshMs: 2000}
	text, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`xmlns="urn:mpeg:dash:schema:mpd:2011"`, `type="dynamic"`, `minimumUpdatePeriod="PT2S"`,
		`mediaPresentationDuration="PT60.5S"`, `<Location>`, `<SegmentTemplate`, `$RepresentationID$/$Number$.m4s`, `bandwidth="1600000"`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%s is missing in %s", want, text)
		}
	}
	got, err := Decode(text)
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("%+v, %v", got, err)
	}
}

func TestTimeLimitCanOnlyBeShortened(t *testing.T) {
	for q, want := range map[string]time.Duration{"": 4 * time.Second, "limit_ms=9999": 4 * time.Second, "limit_ms=300": 300 * time.Millisecond} {
		values, _ := url.ParseQuery("product=p&viewer=v&" + q)
		if r, err := ParseTitleRequest(testService(), "t", values); err != nil || r.Timeout != want || r.MaxRung != 1 {
			t.Errorf("%q: %+v %v", q, r, err)
		}
	}
}

func FuzzParseFirst(f *testing.F) {
	service := testService()
	f.Add("t", "product=p&viewer=v&top=1&limit_ms=5&length_ms=9&broken=1")
	f.Add("t", "viewer=%00")
	f.Fuzz(func(t *testing.T, title, query string) {
		q, err := url.ParseQuery(query)
		if err != nil {
			return
		}
		r, err := ParseTitleRequest(service, title, q)
		if err == nil && (r.Title != "t" || r.Product != 0 || r.MaxRung != 1 || r.Timeout <= 0 || r.Timeout > 4*time.Second || r.Viewer == "" || r.Length < 0) {
			t.Fatalf("accepted: %+v", r)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatalf("the error has several lines: %q", err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	text, _ := Manifest{Location: "/l", Base: "http://n/", Rungs: []int{0}, BitRates: []float64{1}, SegmentMs: 1, RefreshMs: 1}.Encode()
	f.Add(string(text))
	f.Fuzz(func(t *testing.T, s string) {
		if m, err := Decode([]byte(s)); err == nil && (len(m.Rungs) == 0 || m.Base == "" || len(m.Rungs) != len(m.BitRates)) {
			t.Fatalf("accepted: %+v", m)
		}
	})
}
