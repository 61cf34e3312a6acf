// Package config reads settings: JSON with comments and trailing commas, checked whole, so that one run
// tells every mistake with its file, line and field. Defaults are said once, where a field is read.
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

// Problem is one thing wrong in a file.
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

// Problems is an error that lists them all, a line each.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, m := range p {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Doc is a file being read. It collects mistakes; Err returns them.
type Doc struct {
	file     string
	text     []byte
	mistakes Problems
}

// Value is one value of a file: an object, a list, a text, a number or a bool, or nothing at all.
type Value struct {
	doc   *Doc
	field string
	at    int
	end   int
	val   hujson.ValueTrimmed
	known map[string]bool
}

// Open reads a file.
func Open(file string) (*Doc, Value, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Value{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, text)
}

// Parse reads text under a file's name. What is not JSON with comments is a single Problem.
func Parse(file string, text []byte) (*Doc, Value, error) {
	d := &Doc{file: file, text: text}
	root, err := hujson.Parse(text)
	if err != nil {
		line, what := 1, strings.TrimPrefix(err.Error(), "hujson: ")
		if i := strings.Index(what, "line "); i >= 0 { // hujson says where: "line 3, column 4: ..."
			if n, rest, ok := strings.Cut(what[i+5:], ","); ok {
				if k, err := strconv.Atoi(n); err == nil {
					line = k
					_, what, _ = strings.Cut(rest, ": ")
				}
			}
		}
		return nil, Value{}, Problems{{file, line, "", "not JSON with comments: " + what}}
	}
	return d, Value{doc: d, at: root.StartOffset, end: root.EndOffset, val: root.Value, known: map[string]bool{}}, nil
}

// File is the file's name.
func (d *Doc) File() string { return d.file }

// Err returns all mistakes found so far, in the order of their lines, or nil.
func (d *Doc) Err() error {
	if len(d.mistakes) == 0 {
		return nil
	}
	sort.SliceStable(d.mistakes, func(i, j int) bool { return d.mistakes[i].Line < d.mistakes[j].Line })
	return d.mistakes
}

// Report notes a mistake at a value.
func (v Value) Report(format string, args ...any) {
	line := 1 + strings.Count(string(v.doc.text[:min(v.at, len(v.doc.text))]), "\n")
	v.doc.mistakes = append(v.doc.mistakes, Problem{v.doc.file, line, v.field, fmt.Sprintf(format, args...)})
}

// Present tells that the value is there.
func (v Value) Present() bool { return v.val != nil }

// Raw is the value as it stands in the file.
func (v Value) Raw() []byte { return v.doc.text[v.at:v.end] }

// At is a field of an object, or a Value that is not given. Field names are marked as known.
func (v Value) At(name string) Value {
	field := name
	if v.field != "" {
		field = v.field + "." + name
	}
	out := Value{doc: v.doc, field: field, at: v.at, known: map[string]bool{}}
	if v.known != nil {
		v.known[name] = true
	}
	obj, ok := v.val.(*hujson.Object)
	if !ok {
		return out
	}
	for i := range obj.Members {
		m := &obj.Members[i]
		if lit, ok := m.Name.Value.(hujson.Literal); ok && lit.String() == name {
			out.at, out.end, out.val = m.Value.StartOffset, m.Value.EndOffset, m.Value.Value
		}
	}
	return out
}

// Object checks that the value is an object, if it is given or required.
func (v Value) Object(required bool) Value {
	if _, ok := v.val.(*hujson.Object); !ok && (required || v.Present()) {
		v.Report("an object is needed here")
	}
	return v
}

// RejectUnknown notes each field of the object that nobody asked for, and each given twice.
func (v Value) RejectUnknown() {
	obj, ok := v.val.(*hujson.Object)
	if !ok {
		return
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		lit, _ := obj.Members[i].Name.Value.(hujson.Literal)
		name := lit.String()
		at := v
		at.at = obj.Members[i].Name.StartOffset
		at.field = strings.TrimPrefix(v.field+"."+name, ".")
		if !v.known[name] {
			at.Report("no such field")
		} else if seen[name] {
			at.Report("given twice")
		}
		seen[name] = true
	}
}

// List returns the values of a list; a required one must hold something.
func (v Value) List(required bool) []Value {
	arr, ok := v.val.(*hujson.Array)
	if !ok || required && len(arr.Elements) == 0 {
		if required || v.Present() && !ok {
			v.Report("a list is needed here")
		}
		return nil
	}
	out := make([]Value, len(arr.Elements))
	for i := range arr.Elements {
		e := &arr.Elements[i]
		out[i] = Value{doc: v.doc, field: fmt.Sprintf("%s[%d]", v.field, i), at: e.StartOffset, end: e.EndOffset, val: e.Value, known: map[string]bool{}}
	}
	return out
}

func (v Value) literal(kind hujson.Kind) (hujson.Literal, bool) {
	lit, ok := v.val.(hujson.Literal)
	return lit, ok && lit.Kind() == kind
}

// Text reads a text that is not empty.
func (v Value) Text() string {
	lit, ok := v.literal('"')
	if !ok || lit.String() == "" {
		v.Report("a text is needed here")
		return ""
	}
	return lit.String()
}

// TextOr is Text, or a default where nothing is given.
func (v Value) TextOr(or string) string {
	if !v.Present() {
		return or
	}
	return v.Text()
}

// Float reads a number from least to most.
func (v Value) Float(least, most float64) float64 {
	lit, ok := v.literal('0')
	x := lit.Float()
	if !ok || math.IsNaN(x) || x < least || x > most {
		v.Report("a number from %v to %v is needed here", least, most)
		return least
	}
	return x
}

// FloatOr is Float, or a default where nothing is given.
func (v Value) FloatOr(or, least, most float64) float64 {
	if !v.Present() {
		return or
	}
	return v.Float(least, most)
}

// Int reads a whole number from least to most.
func (v Value) Int(least, most int) int {
	x := v.Float(float64(least), float64(most))
	if x != math.Trunc(x) {
		v.Report("a whole number is needed here")
	}
	return int(x)
}

// IntOr is Int, or a default where nothing is given.
func (v Value) IntOr(or, least, most int) int {
	if !v.Present() {
		return or
	}
	return v.Int(least, most)
}

// BoolOr reads true or false, or a default where nothing is given.
func (v Value) BoolOr(or bool) bool {
	if !v.Present() {
		return or
	}
	if _, ok := v.literal('t'); ok {
		return true
	}
	if _, ok := v.literal('f'); !ok {
		v.Report("true or false is needed here")
	}
	return false
}

// OneOf reads one of some words, the first where nothing is given.
func (v Value) OneOf(words ...string) string {
	got := v.TextOr(words[0])
	for _, w := range words {
		if got == w {
			return got
		}
	}
	if got != "" {
		v.Report("%.40q is none of %s", got, strings.Join(words, ", "))
	}
	return words[0]
}

// Floats reads a list of numbers from least to most.
func (v Value) Floats(least, most float64) []float64 {
	var out []float64
	for _, e := range v.List(true) {
		out = append(out, e.Float(least, most))
	}
	return out
}
