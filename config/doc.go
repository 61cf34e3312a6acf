// Package config reads settings files in JSON with comments and trailing commas. A file is checked completely, so that
// one run reports all its problems, each with file, line and field. Defaults are given where a field is read.
package config

import (
	"fmt"
	"math"
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is an error in a settings file.
type Problem struct {
	File    string
	Line    int
	Field   string
	Message string
}

func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// Problems is an error that lists all problems of a file, one per line.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Doc is a settings file. It collects the problems found, which Err returns.
type Doc struct {
	file     string
	text     []byte
	problems Problems
}

// Value is a JSON value in a settings file, or the absence of one.
type Value struct {
	doc       *Doc
	field     string
	offset    int
	endOffset int
	value     hujson.ValueTrimmed
	known     map[string]bool
}

// Open reads and parses a file.
func Open(file string) (*Doc, Value, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Value{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse parses text as the contents of the named file. If it is not valid JSON with comments, the error is Problems with
// a single element.
func Parse(file string, text []byte) (*Doc, Value, error) {
	d := &Doc{file: file, text: text}
	root, err := hujson.Parse(text)
	if err != nil {
		line, message := 1, strings.TrimPrefix(err.Error(), "hujson: ")
		if i := strings.Index(message, "line "); i >= 0 { // hujson errors begin like "line 3, column 4: ..."
			if n, rest, ok := strings.Cut(message[i+5:], ","); ok {
				if k, err := strconv.Atoi(n); err == nil {
					line = k
					_, message, _ = strings.Cut(rest, ": ")
				}
			}
		}
		return nil, Value{}, Problems{{file, line, "", "invalid JSON with comments: " + message}}
	}
	return d, Value{doc: d, offset: root.StartOffset, endOffset: root.EndOffset, value: root.Value, known: map[string]bool{}}, nil
}

// File returns the name of the file.
func (d *Doc) File() string { return d.file }

// Err returns all problems found so far, sorted by line, or nil.
func (d *Doc) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return d.problems
}

// Report records a problem at the value.
func (v Value) Report(format string, args ...any) {
	line := 1 + strings.Count(string(v.doc.text[:min(v.offset, len(v.doc.text))]), "\n")
	v.doc.problems = append(v.doc.problems, Problem{v.doc.file, line, v.field, fmt.Sprintf(format, args...)})
}

// Present reports whether the value is in the file.
func (v Value) Present() bool { return v.value != nil }

// Raw returns the text of the value.
func (v Value) Raw() []byte { return v.doc.text[v.offset:v.endOffset] }

// At returns a field of an object, or an absent Value. It makes the field known to RejectUnknown.
func (v Value) At(name string) Value {
	field := name
	if v.field != "" {
		field = v.field + "." + name
	}
	out := Value{doc: v.doc, field: field, offset: v.offset, known: map[string]bool{}}
	if v.known != nil {
		v.known[name] = true
	}
	obj, ok := v.value.(*hujson.Object)
	if !ok {
		return out
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		if lit, ok := m.Name.Value.(hujson.Literal); ok && lit.String() == name {
			out.offset, out.endOffset, out.value = m.Value.StartOffset, m.Value.EndOffset, m.Value.Value
		}
	}
	return out
}

// Object reports a problem if the value is not an object, or if it is required and absent. It returns v.
func (v Value) Object(required bool) Value {
	if _, ok := v.value.(*hujson.Object); !ok && (required || v.Present()) {
		v.Report("must be an object")
	}
	return v
}

// RejectUnknown reports each field of the object that was not read with At, and each duplicate.
func (v Value) RejectUnknown() {
	obj, ok := v.value.(*hujson.Object)
	if !ok {
		return
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		lit, _ := obj.Members[i].Name.Value.(hujson.Literal)
		name := lit.String()
		member := v
		member.offset = obj.Members[i].Name.StartOffset
		member.field = strings.TrimPrefix(v.field+"."+name, ".")
		if !v.known[name] {
			member.Report("unknown field")
		} else if seen[name] {
			member.Report("duplicate field")
		}
		seen[name] = true
	}
}

// List returns the elements of a list. A required list must not be empty.
func (v Value) List(required bool) []Value {
	arr, ok := v.value.(*hujson.Array)
	if !ok || required && len(arr.Elements) == 0 {
		if required || v.Present() && !ok {
			v.Report("must be a list, and not empty if required")
		}
		return nil
	}
	out := make([]Value, len(arr.Elements))
	for i := range arr.Elements {
		e := &arr.Elements[i]
		out[i] = Value{doc: v.doc, field: fmt.Sprintf("%s[%d]", v.field, i), offset: e.StartOffset, endOffset: e.EndOffset, value: e.Value, known: map[string]bool{}}
	}
	return out
}

func (v Value) literal(kind hujson.Kind) (hujson.Literal, bool) {
	lit, ok := v.value.(hujson.Literal)
	return lit, ok && lit.Kind() == kind
}

// Text returns a string, which must not be empty.
func (v Value) Text() string {
	lit, ok := v.literal('"')
	if !ok || lit.String() == "" {
		v.Report("must be a non-empty string")
		return ""
	}
	return lit.String()
}

// TextOr is Text with a default for an absent value.
func (v Value) TextOr(fallback string) string {
	if !v.Present() {
		return fallback
	}
	return v.Text()
}

// Float returns a number from minimum to maximum.
func (v Value) Float(minimum, maximum float64) float64 {
	lit, ok := v.literal('0')
	x := lit.Float()
	if !ok || math.IsNaN(x) || x < minimum || x > maximum {
		v.Report("must be a number from %v to %v", minimum, maximum)
		return minimum
	}
	return x
}

// FloatOr is Float with a default for an absent value.
func (v Value) FloatOr(fallback, minimum, maximum float64) float64 {
	if !v.Present() {
		return fallback
	}
	return v.Float(minimum, maximum)
}

// Int returns an integer from minimum to maximum.
func (v Value) Int(minimum, maximum int) int {
	x := v.Float(float64(minimum), float64(maximum))
	if x != math.Trunc(x) {
		v.Report("must be an integer")
	}
	return int(x)
}

// IntOr is Int with a default for an absent value.
func (v Value) IntOr(fallback, minimum, maximum int) int {
	if !v.Present() {
		return fallback
	}
	return v.Int(minimum, maximum)
}

// BoolOr returns a boolean, or a default for an absent value.
func (v Value) BoolOr(fallback bool) bool {
	if !v.Present() {
		return fallback
	}
	if _, ok := v.literal('t'); ok {
		return true
	}
	if _, ok := v.literal('f'); !ok {
		v.Report("must be true or false")
	}
	return false
}

// OneOf returns a string that must be one of those allowed. The first is the default for an absent value.
func (v Value) OneOf(allowed ...string) string {
	got := v.TextOr(allowed[0])
	for _, a := range allowed {
		if got == a {
			return got
		}
	}
	if got != "" {
		v.Report("%.40q is not one of %s", got, strings.Join(allowed, ", "))
	}
	return allowed[0]
}

// Floats returns a list of numbers from minimum to maximum, which must not be empty.
func (v Value) Floats(minimum, maximum float64) []float64 {
	var out []float64
	for _, e := range v.List(true) {
		out = append(out, e.Float(minimum, maximum))
	}
	return out
}
