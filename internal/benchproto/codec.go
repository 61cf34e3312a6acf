// Package benchproto implements the line protocol of the test bench: it decodes messages into calls on the
// placement policy and encodes the results. It hosts many independent front ends (instances) in one process.
package benchproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"gullrail/decision"
	"gullrail/internal/convert"
)

// message is one line: its name and its unparsed fields.
type message struct {
	name   string
	fields []field
}

type field struct{ key, value string }

// extendsToLineEnd returns whether the value of a field is the rest of the line.
func extendsToLineEnd(key string) bool { return key == "config" || key == "note-text" }

// parseMessage splits a line into its name and fields. It reuses the slice of fields.
func parseMessage(line string, msg *message) error {
	msg.fields = msg.fields[:0]
	name, rest, more := strings.Cut(line, " ")
	if name == "" {
		return errors.New("message without a name")
	}
	msg.name = name
	for more {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.Contains(key, " ") {
			return fmt.Errorf("field %q is not in the form name=value", truncate(rest))
		}
		if extendsToLineEnd(key) {
			msg.fields = append(msg.fields, field{key, after})
			return nil
		}
		var value string
		value, rest, more = strings.Cut(after, " ")
		msg.fields = append(msg.fields, field{key, value})
	}
	return nil
}

func truncate(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

func (msg *message) find(key string) (string, bool) {
	for _, f := range msg.fields {
		if f.key == key {
			return f.value, true
		}
	}
	return "", false
}

// A fieldError names a field that could not be parsed.
type fieldError = convert.FieldError

func newFieldError(field, problem string) fieldError {
	return fieldError{Field: field, Problem: problem}
}

// The methods below panic with a fieldError, which decode recovers and returns as an error.

func (msg *message) text(key string) string {
	s, ok := msg.find(key)
	if !ok {
		panic(newFieldError(key, "missing"))
	}
	return s
}

// integer parses a field as a decimal integer.
func (msg *message) integer(key string) int64 {
	n, err := strconv.ParseInt(msg.text(key), 10, 64)
	if err != nil {
		panic(newFieldError(key, "not a whole number"))
	}
	return n
}

func (msg *message) number(key string) float64 {
	f, err := strconv.ParseFloat(msg.text(key), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		panic(newFieldError(key, "not a number"))
	}
	return f
}

// integerOr and numberOr parse an optional field.
func (msg *message) integerOr(key string, fallback int64) int64 {
	if _, ok := msg.find(key); !ok {
		return fallback
	}
	return msg.integer(key)
}

func (msg *message) numberOr(key string, fallback float64) float64 {
	if _, ok := msg.find(key); !ok {
		return fallback
	}
	return msg.number(key)
}

// formatMillis formats a time of package decision in milliseconds.
func formatMillis(t int64) string {
	return strconv.FormatFloat(float64(t)/float64(decision.Millisecond), 'f', 1, 64)
}

var outcomes = map[string]decision.Outcome{
	"served": decision.Served, "server_error": decision.Errored, "turned_away": decision.Rejected,
	"no_answer": decision.NoAnswer, "no_connection": decision.NoConnect, "connection_lost": decision.ConnectionLost,
	"called_off": decision.Canceled, "not_sent": decision.NotSent,
}

func (msg *message) outcome() decision.Outcome {
	e, ok := outcomes[msg.text("rc")]
	if !ok {
		panic(newFieldError("rc", "unknown outcome"))
	}
	return e
}

// load parses a load report according to the columns of the settings. Unused columns are ignored.
func (msg *message) load(settings *convert.Settings) decision.Load {
	report, ok := msg.find("report")
	if !ok || report == "" || report == "-" {
		return decision.UnknownLoad
	}
	values := strings.Split(report, ",")
	if len(values) != len(settings.Columns) {
		panic(newFieldError("report", "number of values differs from report.columns"))
	}
	return settings.Load(func(i int, col string) (float64, bool) {
		v, err := strconv.ParseFloat(values[i], 64)
		if err != nil {
			panic(newFieldError("report", "value of "+col+" is not a number"))
		}
		return v, true
	})
}

// Run processes batches until the input ends. An error ends the run and names the batch and line.
func Run(in io.Reader, out io.Writer) error {
	rd := bufio.NewReaderSize(in, 1<<20)
	h := &host{out: bufio.NewWriterSize(out, 1<<20), instances: map[int64]*instance{}, lastContext: -1}
	for {
		raw, err := rd.ReadString('\n')
		if err == io.EOF && raw == "" {
			if h.inBatch {
				return fmt.Errorf("batch %d, line %d: input ends before EOB", h.batch, h.lineNo)
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("reading batch %d: %w", h.batch, err)
		}
		if err := h.decode(strings.TrimRight(raw, "\r\n")); err != nil {
			return fmt.Errorf("batch %d, line %d: %w", h.batch, h.lineNo, err)
		}
	}
}
