// Package configtext encodes and decodes the configuration text that operators edit: one JSON object with kebab-case
// keys.
//
// Decode reads the whole text before it validates it, and reports every fault with its line, column and path, so that
// an operator can correct all of them at once. Common syntax errors, such as a trailing comma, are reported and
// repaired in memory, so that the rest of the text is still checked. The keys of each object are defined in one table,
// which the decoder, the error messages and the page docs/configuration.md share. Encode writes the canonical form: all
// defaults written out, names sorted.
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

// MaxBytes is the maximum size of a text. The stored object contains it as a JSON string together with the audit tail,
// and the platform accepts objects of at most 1 MB.
const MaxBytes = 600_000

// Fault is a fault of a text and its position.
type Fault struct {
	Line   int // 1 is the first
	Column int // in characters; 1 is the first
	config.Fault
}

// String formats the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Fault)
}

// Faults are the faults of a text in the order of their positions.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error of kind config-invalid, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return fault.Wrap(f, fault.ConfigInvalid, fmt.Sprintf("%d faults", len(f)))
}

// Decode decodes and validates a text. The Config is valid only if there are no faults.
func Decode(src []byte) (config.Config, Faults) {
	if len(src) > MaxBytes {
		return config.Config{}, Faults{{1, 1, config.Fault{Path: "$", Problem: fmt.Sprintf("%d bytes of text", len(src)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}}}
	}
	d := decoder{src: src, at: map[string]int{}}
	root, syntaxErrors := parseAll(src)
	for _, e := range syntaxErrors {
		d.addFault(e.offset, "", e.problem, "one JSON object as RFC 8259 defines it")
	}
	if root == nil {
		return config.Config{}, d.sorted()
	}
	spec := config.Spec{Limits: defaultLimits}
	readObject(&d, root, "", rootKeys, &spec)
	for _, f := range config.Validate(spec) {
		if !d.suppressed(f.Path) {
			d.faults = append(d.faults, locatedFault{d.offsetOf(f.Path), f})
		}
	}
	return config.New(spec), d.sorted()
}

type locatedFault struct {
	offset int
	config.Fault
}

// decoder collects the faults of one text.
type decoder struct {
	src     []byte
	at      map[string]int  // offset of each path that was read
	invalid map[string]bool // paths whose values are reported already
	faults  []locatedFault
}

func (d *decoder) addFault(offset int, path, problem, allowed string) {
	if path == "" {
		path = "$"
	}
	d.faults = append(d.faults, locatedFault{offset, config.Fault{Path: path, Problem: problem, Allowed: allowed}})
}

// suppressed reports whether the value at path was already reported as invalid, so that the default in its place is not
// validated as well.
func (d *decoder) suppressed(path string) bool { return d.invalid[path] }

// offsetOf returns the offset of path or, if that was not read, of its closest parent.
func (d *decoder) offsetOf(path string) int {
	for path != "" {
		if at, ok := d.at[path]; ok {
			return at
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return d.at[""]
}

// sorted returns the faults in the order of their positions. Lines and columns are counted from one fault to the next,
// which keeps the work linear: a text of one line can have 100,000 faults.
func (d *decoder) sorted() Faults {
	slices.SortStableFunc(d.faults, func(a, b locatedFault) int { return a.offset - b.offset })
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
