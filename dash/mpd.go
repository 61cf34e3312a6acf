// Package dash serves DASH players: it parses a request for a manifest, requests a play from the core, and encodes the
// answer as an MPD (ISO/IEC 23009-1) that contains a session token. It makes no decisions about plays.
package dash

import (
	"encoding/xml"
	"fmt"
	"net/url"
	"strconv"

	"gullrail/playapi"
)

// Manifest is the variable content of an MPD.
type Manifest struct {
	Location      string    // URL for updates of the MPD
	Base          string    // base URL of the segments, with a trailing slash
	Rungs         []int     // rungs that the player may fetch, a Representation each
	BitRates      []float64 // bit rate of each rung, bit/s
	LengthSeconds float64   // length of the title; 0 if unknown
	SegmentMs     float64   // length of a segment, milliseconds
	RefreshMs     float64   // minimum time between updates of the MPD, milliseconds
}

// mpd has the elements of ISO/IEC 23009-1 that are used. The presentation is 'dynamic' although the title is recorded,
// because only dynamic presentations have updates of the MPD (5.3.1.2, minimumUpdatePeriod), by which a player learns of
// rung changes. All segments are available from the start.
type mpd struct {
	XMLName   xml.Name `xml:"urn:mpeg:dash:schema:mpd:2011 MPD"`
	Profiles  string   `xml:"profiles,attr"`
	Type      string   `xml:"type,attr"`
	Available string   `xml:"availabilityStartTime,attr"`
	Refresh   string   `xml:"minimumUpdatePeriod,attr"`
	Buffer    string   `xml:"minBufferTime,attr"`
	Length    string   `xml:"mediaPresentationDuration,attr,omitempty"`
	Location  string   `xml:"Location"`
	BaseURL   string   `xml:"BaseURL"`
	Period    period   `xml:"Period"`
}

type period struct {
	ID    string        `xml:"id,attr"`
	Start string        `xml:"start,attr"`
	Set   adaptationSet `xml:"AdaptationSet"`
}

type adaptationSet struct {
	ContentType     string           `xml:"contentType,attr"`
	MimeType        string           `xml:"mimeType,attr"`
	Aligned         bool             `xml:"segmentAlignment,attr"`
	SAP             int              `xml:"startWithSAP,attr"`
	Template        template         `xml:"SegmentTemplate"`
	Representations []representation `xml:"Representation"`
}

type template struct {
	Timescale int    `xml:"timescale,attr"`
	Duration  int    `xml:"duration,attr"`
	Start     int    `xml:"startNumber,attr"`
	Media     string `xml:"media,attr"`
	Init      string `xml:"initialization,attr"`
}

type representation struct {
	ID        string `xml:"id,attr"`
	Bandwidth int64  `xml:"bandwidth,attr"`
	Codecs    string `xml:"codecs,attr"`
}

// RepresentationID returns the id of a rung's Representation.
func RepresentationID(rung int) string { return playapi.RungID(rung) }

// ParseRepresentationID returns the rung of a Representation's id.
func ParseRepresentationID(id string) (int, error) {
	if len(id) < 2 || id[0] != 'r' {
		return 0, fmt.Errorf("representation %.20q: not one of ours", id)
	}
	n, err := strconv.Atoi(id[1:])
	if err != nil || n < 0 || n > 1000 || RepresentationID(n) != id {
		return 0, fmt.Errorf("representation %.20q: not one of ours", id)
	}
	return n, nil
}

func duration(ms float64) string { return "PT" + strconv.FormatFloat(ms/1000, 'f', -1, 64) + "S" }

// Encode returns the MPD as XML.
func (m Manifest) Encode() ([]byte, error) {
	doc := mpd{Profiles: "urn:mpeg:dash:profile:isoff-live:2011", Type: "dynamic", Available: "1970-01-01T00:00:00Z",
		Refresh: duration(m.RefreshMs), Buffer: duration(m.SegmentMs), Location: m.Location, BaseURL: m.Base,
		Period: period{ID: "1", Start: "PT0S", Set: adaptationSet{ContentType: "video", MimeType: "video/mp4",
			Aligned: true, SAP: 1, Template: template{Timescale: 1000, Duration: int(m.SegmentMs), Start: 1,
				Media: "$RepresentationID$/$Number$.m4s", Init: "$RepresentationID$/init.mp4"}}}}
	if m.LengthSeconds > 0 {
		doc.Length = duration(m.LengthSeconds * 1000)
	}
	for i, rung := range m.Rungs {
		doc.Period.Set.Representations = append(doc.Period.Set.Representations,
			representation{RepresentationID(rung), int64(m.BitRates[i]), "avc1.64001f"})
	}
	out, err := xml.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encoding an MPD: %w", err)
	}
	return append([]byte(xml.Header), out...), nil
}

// Decode parses an MPD that was written by Encode.
func Decode(text []byte) (Manifest, error) {
	var doc mpd
	if err := xml.Unmarshal(text, &doc); err != nil {
		return Manifest{}, fmt.Errorf("MPD: %w", err)
	}
	m := Manifest{Location: doc.Location, Base: doc.BaseURL, SegmentMs: float64(doc.Period.Set.Template.Duration)}
	for _, field := range []struct {
		name, text string
		into       *float64
		scale      float64
	}{{"minimumUpdatePeriod", doc.Refresh, &m.RefreshMs, 1000}, {"mediaPresentationDuration", doc.Length, &m.LengthSeconds, 1}} {
		if field.text == "" {
			continue
		}
		if _, err := fmt.Sscanf(field.text, "PT%gS", field.into); err != nil {
			return Manifest{}, fmt.Errorf("MPD: %s: %.20q is no duration in seconds", field.name, field.text)
		}
		*field.into *= field.scale
	}
	for _, u := range []string{m.Location, m.Base} {
		if _, err := url.Parse(u); err != nil || u == "" {
			return Manifest{}, fmt.Errorf("MPD: address %.60q", u)
		}
	}
	for _, r := range doc.Period.Set.Representations {
		rung, err := ParseRepresentationID(r.ID)
		if err != nil {
			return Manifest{}, fmt.Errorf("MPD: %w", err)
		}
		m.Rungs, m.BitRates = append(m.Rungs, rung), append(m.BitRates, float64(r.Bandwidth))
	}
	if len(m.Rungs) == 0 {
		return Manifest{}, fmt.Errorf("MPD: no Representation")
	}
	return m, nil
}
