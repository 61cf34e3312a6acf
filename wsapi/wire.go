// Package wsapi serves players over WebSocket (RFC 6455) with the subprotocol gullrail.session.v1, which is specified in
// docs/wire-session.md and schema/session.v1.json.
package wsapi

import (
	"bytes"
	_ "embed" // for the schema
	"encoding/json"
	"fmt"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"gullrail/playapi"
)

// Subprotocol is the name and version of the WebSocket subprotocol.
const Subprotocol = "gullrail.session.v1"

// Path is the URL path of the WebSocket endpoint.
const Path = "/v1/session"

//go:embed schema/session.v1.json
var schema []byte

// Schema returns the JSON schema (draft 2020-12) of all messages.
func Schema() []byte { return bytes.Clone(schema) }

const schemaFile = "session.v1.json"

var messageSchemas = sync.OnceValue(func() map[string]*jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		panic(fmt.Sprintf("wsapi: schema: %v", err)) // can't happen: the schema is embedded in the binary
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaFile, doc); err != nil {
		panic(fmt.Sprintf("wsapi: schema: %v", err))
	}
	return map[string]*jsonschema.Schema{
		"fromPlayer": c.MustCompile(schemaFile + "#/$defs/fromPlayer"),
		"fromFront":  c.MustCompile(schemaFile + "#/$defs/fromFront"),
	}
})

// Message is a message in either direction. The schema defines which fields each type has.
type Message struct {
	Type         string         `json:"type"`
	Ticket       string         `json:"ticket,omitempty"`
	Cursor       uint64         `json:"cursor,omitempty"`
	Title        string         `json:"title,omitempty"`
	Product      string         `json:"product,omitempty"`
	Viewer       string         `json:"viewer,omitempty"`
	MaxRung      *int           `json:"top,omitempty"`
	TimeoutMs    int            `json:"limit_ms,omitempty"`
	LengthMs     int            `json:"length_ms,omitempty"`
	Token        string         `json:"token,omitempty"`
	NotDelivered bool           `json:"broken,omitempty"`
	Share        *float64       `json:"share,omitempty"`
	BufferMs     int64          `json:"buffer_ms,omitempty"`
	Verdict      string         `json:"verdict,omitempty"`
	Reason       string         `json:"why,omitempty"`
	RetryAfterMs int64          `json:"come_back_ms,omitempty"`
	Play         string         `json:"play,omitempty"`
	Omitted      int            `json:"skipped,omitempty"`
	Grant        *playapi.Grant `json:"grant,omitempty"`
}

// Decode parses a player's message and validates it against the schema.
func Decode(text []byte) (Message, error) { return decode("fromPlayer", text) }

// DecodeFromFront parses a front's message and validates it against the schema.
func DecodeFromFront(text []byte) (Message, error) { return decode("fromFront", text) }

func decode(direction string, text []byte) (Message, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return Message{}, fmt.Errorf("message: %w", err)
	}
	if err := messageSchemas()[direction].Validate(doc); err != nil {
		return Message{}, fmt.Errorf("message: not by the schema of %s", Subprotocol)
	}
	var m Message
	if err := json.Unmarshal(text, &m); err != nil {
		return Message{}, fmt.Errorf("message: %w", err)
	}
	return m, nil
}
