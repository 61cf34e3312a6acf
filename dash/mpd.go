// Package dash is the protocol front for DASH players: it decodes a request for a manifest, asks the
// core once, and encodes the one answer as an MPD of ISO/IEC 23009-1 with a session token in it. It
// decides nothing about plays.
package dash

import (
	"encoding/xml"
	"fmt"
	"net/url"
	"strconv"

	"gullrail/playapi"
)

// Manifest is what an MPD is made of.
type Manifest struct {
	Location string    // where this MPD is asked for again
	Base     string    // where the segments lie; ends in a slash
	Rungs    []int     // representations allowed
	Bits     []float64 // bit/s of each of them
	Seconds  float64   // length; 0 is not told
	Segment  float64   // length of a segment, milliseconds
	Refresh  float64   // the MPD is asked for again so often, milliseconds
}

// The elements of ISO/IEC 23009-1 that are used. The presentation is 'dynamic' though the clip is
// recorded: only then may a player be told to ask for its MPD again (5.3.1.2, minimumUpdatePeriod), which
// is how a changed rung reaches it. All segments are available from the start.
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

// RepresentationID is the id of a rung's Representation.
func RepresentationID(rung int) string { return playapi.RungID(rung) }

// ParseRepresentationID reads a Representation's id.
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

// Encode writes the MPD.
func (m Manifest) Encode() ([]byte, error) {
	doc := mpd{Profiles: "urn:mpeg:dash:profile:isoff-live:2011", Type: "dynamic", Available: "1970-01-01T00:00:00Z",
		Refresh: duration(m.Refresh), Buffer: duration(m.Segment), Location: m.Location, BaseURL: m.Base,
		Period: period{ID: "1", Start: "PT0S", Set: adaptationSet{ContentType: "video", MimeType: "video/mp4",
			Aligned: true, SAP: 1, Template: template{Timescale: 1000, Duration: int(m.Segment), Start: 1,
				Media: "$RepresentationID$/$Number$.m4s", Init: "$RepresentationID$/init.mp4"}}}}
	if m.Seconds > 0 {
		doc.Length = duration(m.Seconds * 1000)
	}
	for i, rung := range m.Rungs {
		doc.Period.Set.Representations = append(doc.Period.Set.Representations,
			representation{RepresentationID(rung), int64(m.Bits[i]), "avc1.64001f"})
	}
	out, err := xml.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encoding an MPD: %w", err)
	}
	return append([]byte(xml.Header), out...), nil
}

// Decode reads back what a player needs of an MPD that Encode wrote.
func Decode(text []byte) (Manifest, error) {
	var doc mpd
	if err := xml.Unmarshal(text, &doc); err != nil {
		return Manifest{}, fmt.Errorf("MPD: %w", err)
	}
	m := Manifest{Location: doc.Location, Base: doc.BaseURL, Segment: float64(doc.Period.Set.Template.Duration)}
	for _, field := range []struct {
		name, text string
		into       *float64
		scale      float64
	}{{"minimumUpdatePeriod", doc.Refresh, &m.Refresh, 1000}, {"mediaPresentationDuration", doc.Length, &m.Seconds, 1}} {
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
		m.Rungs, m.Bits = append(m.Rungs, rung), append(m.Bits, float64(r.Bandwidth))
	}
	if len(m.Rungs) == 0 {
		return Manifest{}, fmt.Errorf("MPD: no Representation")
	}
	return m, nil
}
