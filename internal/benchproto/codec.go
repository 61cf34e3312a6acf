// Package benchproto implements the bench's protocol: it decodes lines into calls on the decision module and
// encodes what they return. It hosts many instances and shares nothing among them.
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

// line is one message: its name and its parts, not yet read.
type line struct {
	name  string
	parts []part
}

type part struct{ key, val string }

// text fields run to the end of their line.
func isText(key string) bool { return key == "config" || key == "note-text" }

// split cuts a line into its name and parts. The parts slice is used again.
func split(s string, ln *line) error {
	ln.parts = ln.parts[:0]
	name, rest, more := strings.Cut(s, " ")
	if name == "" {
		return errors.New("message without a name")
	}
	ln.name = name
	for more {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.Contains(key, " ") {
			return fmt.Errorf("part %q is not name=value", clip(rest))
		}
		if isText(key) {
			ln.parts = append(ln.parts, part{key, after})
			return nil
		}
		var val string
		val, rest, more = strings.Cut(after, " ")
		ln.parts = append(ln.parts, part{key, val})
	}
	return nil
}

func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

func (ln *line) find(key string) (string, bool) {
	for _, p := range ln.parts {
		if p.key == key {
			return p.val, true
		}
	}
	return "", false
}

// A fieldError names the part of a line that could not be read.
type fieldError = convert.FieldError

func wrong(field, what string) fieldError { return fieldError{Field: field, Problem: what} }

// The readers below panic with a fieldError; decode turns it into the run's one message.
func (ln *line) text(key string) string {
	s, ok := ln.find(key)
	if !ok {
		panic(wrong(key, "missing"))
	}
	return s
}

func (ln *line) whole(key string) int64 {
	n, err := strconv.ParseInt(ln.text(key), 10, 64)
	if err != nil {
		panic(wrong(key, "not a whole number"))
	}
	return n
}

func (ln *line) number(key string) float64 {
	f, err := strconv.ParseFloat(ln.text(key), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		panic(wrong(key, "not a number"))
	}
	return f
}

// wholeOr and numberOr read a part that may be absent.
func (ln *line) wholeOr(key string, or int64) int64 {
	if _, ok := ln.find(key); !ok {
		return or
	}
	return ln.whole(key)
}

func (ln *line) numberOr(key string, or float64) float64 {
	if _, ok := ln.find(key); !ok {
		return or
	}
	return ln.number(key)
}

func millis(t int64) string {
	return strconv.FormatFloat(float64(t)/float64(decision.Millisecond), 'f', 1, 64)
}

var endings = map[string]decision.Outcome{
	"served": decision.Served, "server_error": decision.Errored, "turned_away": decision.Rejected,
	"no_answer": decision.NoAnswer, "no_connection": decision.NoConnect, "connection_lost": decision.ConnectionLost,
	"called_off": decision.Canceled, "not_sent": decision.NotSent,
}

func (ln *line) ending() decision.Outcome {
	e, ok := endings[ln.text("rc")]
	if !ok {
		panic(wrong("rc", "unknown outcome"))
	}
	return e
}

// load reads a report by the columns of the settings; columns that no call uses are passed over.
func (ln *line) load(t *convert.Settings) decision.Load {
	row, ok := ln.find("report")
	if !ok || row == "" || row == "-" {
		return decision.UnknownLoad
	}
	vals := strings.Split(row, ",")
	if len(vals) != len(t.Columns) {
		panic(wrong("report", "not as many values as report.columns"))
	}
	return t.Load(func(i int, col string) (float64, bool) {
		v, err := strconv.ParseFloat(vals[i], 64)
		if err != nil {
			panic(wrong("report", "value of "+col+" is not a number"))
		}
		return v, true
	})
}

// Run answers batches until the input ends.
func Run(in io.Reader, out io.Writer) error {
	rd := bufio.NewReaderSize(in, 1<<20)
	h := &host{out: bufio.NewWriterSize(out, 1<<20), at: map[int64]*instance{}, last: -1}
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
