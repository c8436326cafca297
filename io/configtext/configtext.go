// Package configtext is the codec of the operators' configuration text, one JSON object with kebab-case keys.
//
// Decode reads the whole text before it judges it, and reports every fault with its line, column and path, so that an
// operator corrects a text in one round. Common slips in the JSON itself, such as a comma too many, are reported and
// passed over. The text is kept as a tree with positions; the keys of each object are in
// one table, which the decoder, the error messages and the page docs/configuration.md share. Encode writes the
// canonical form: defaults written out, names sorted.
package configtext

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"mustardmast/core/config"
	"mustardmast/core/fault"
)

// MaxBytes is the largest text. The stored object holds it as a JSON string together with the audit tail, and the
// platform takes objects of at most 1 MB.
const MaxBytes = 600_000

// Fault is one fault of a text and where it is.
type Fault struct {
	Line   int // 1 for the first
	Column int // in characters, 1 for the first
	config.Fault
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Fault)
}

// Faults are the faults of a text in the order of their places.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error of kind config-invalid, or nil when there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return fault.Wrap(f, fault.ConfigInvalid, fmt.Sprintf("%d faults", len(f)))
}

// Decode reads a text. The Config is of use only when there are no faults.
func Decode(src []byte) (config.Config, Faults) {
	if len(src) > MaxBytes {
		return config.Config{}, Faults{{1, 1, config.Fault{Path: "$", Problem: fmt.Sprintf("%d bytes of text", len(src)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}}}
	}
	d := decoder{src: src, at: map[string]int{}}
	root, slips := parseAll(src)
	for _, e := range slips {
		d.fail(e.offset, "", e.problem, "one JSON object as RFC 8259 defines it")
	}
	if root == nil {
		return config.Config{}, d.sorted()
	}
	spec := config.Spec{Limits: defaultLimits}
	readObject(&d, root, "", rootKeys, &spec)
	for _, f := range config.Validate(spec) {
		if !d.suppressed(f.Path) {
			d.faults = append(d.faults, placed{d.find(f.Path), f})
		}
	}
	return config.New(spec), d.sorted()
}

type placed struct {
	offset int
	config.Fault
}

type decoder struct {
	src    []byte
	at     map[string]int // offset of each path that was read
	broken map[string]bool
	faults []placed
}

func (d *decoder) fail(offset int, path, problem, allowed string) {
	if path == "" {
		path = "$"
	}
	d.faults = append(d.faults, placed{offset, config.Fault{Path: path, Problem: problem, Allowed: allowed}})
}

// suppressed reports whether the value at path was already reported as unreadable, so that the default in its place
// is not judged as well.
func (d *decoder) suppressed(path string) bool { return d.broken[path] }

// find returns the offset of path, or of the nearest part of the text around it.
func (d *decoder) find(path string) int {
	for path != "" {
		if at, ok := d.at[path]; ok {
			return at
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return d.at[""]
}

// sorted returns the faults in the order of the text. Lines and columns are counted on
// from one fault to the next, because a text of one line can have a hundred thousand faults.
func (d *decoder) sorted() Faults {
	slices.SortStableFunc(d.faults, func(a, b placed) int { return a.offset - b.offset })
	out := make(Faults, len(d.faults))
	line, column, seen := 1, 1, 0
	for i, f := range d.faults {
		between := d.src[seen:min(f.offset, len(d.src))]
		seen += len(between)
		if nl := bytes.LastIndexByte(between, '\n'); nl >= 0 {
			line += bytes.Count(between, []byte{'\n'})
			column, between = 1, between[nl+1:]
		}
		column += utf8.RuneCount(between)
		out[i] = Fault{Line: line, Column: column, Fault: f.Fault}
	}
	return out
}
