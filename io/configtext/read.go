package configtext

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/config"
)

// key defines one key of an object that is decoded into a T.
type key[T any] struct {
	name         string
	typ          string
	unit         string
	defaultValue string // empty for a required key
	bounds       string
	description  string
	required     bool
	read         func(d *decoder, n *node, path string, to *T)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// wrongType reports that a value does not have the type described by want.
func (d *decoder) wrongType(n *node, path, want string) {
	if n.kind == invalidNode {
		d.suppress(path)
		return
	}
	got := n.kind.String()
	if n.kind == textNode || n.kind == numberNode {
		got += " " + formatValue(n.text, n.kind)
	}
	d.invalidValue(n, path, got, want)
}

// suppress drops the faults that Validate finds in the default that replaces an invalid value.
func (d *decoder) suppress(path string) {
	if d.invalid == nil {
		d.invalid = map[string]bool{}
	}
	d.invalid[path] = true
}

// invalidValue reports a value of the right type that is not allowed.
func (d *decoder) invalidValue(n *node, path, problem, allowed string) {
	d.suppress(path)
	d.addFault(n.offset, path, problem, allowed)
}

// formatValue shortens a value for an error message, and quotes it if it is a string.
func formatValue(s string, k kind) string {
	const maxBytes = 80
	if len(s) > maxBytes {
		s = strings.ToValidUTF8(s[:maxBytes], "") + "..."
	}
	if k == textNode {
		return strconv.Quote(s)
	}
	return s
}

// readObject decodes an object with a fixed set of keys.
func readObject[T any](d *decoder, n *node, path string, keys []key[T], to *T) {
	d.at[path] = n.offset
	if n.kind != objectNode {
		d.wrongType(n, path, "an object with the keys "+keyNames(keys))
		return
	}
	seen := map[string]bool{}
	for _, m := range n.members {
		at := join(path, m.name)
		i := 0
		for i < len(keys) && keys[i].name != m.name {
			i++
		}
		switch {
		case i == len(keys):
			d.addFault(m.offset, at, "unknown key "+formatValue(m.name, textNode), keyNames(keys))
		case seen[m.name]:
			d.addFault(m.offset, at, "duplicate key "+formatValue(m.name, textNode), "each key once")
		default:
			seen[m.name] = true
			d.at[at] = m.value.offset
			keys[i].read(d, m.value, at, to)
		}
	}
	for _, k := range keys {
		if k.required && !seen[k.name] {
			d.addFault(n.offset, join(path, k.name), "the key is missing", k.typ+", "+k.bounds)
		}
	}
}

// readNamed decodes an object whose keys are names chosen by the operator. A duplicate name is reported and its value
// is skipped.
func readNamed(d *decoder, n *node, path, noun string, read func(name string, v *node, at string)) {
	if n.kind != objectNode {
		d.wrongType(n, path, "an object with one key for each "+noun)
		return
	}
	seen := map[string]bool{}
	for _, m := range n.members {
		at := join(path, m.name)
		if seen[m.name] {
			d.addFault(m.offset, at, fmt.Sprintf("duplicate %s name %s", noun, formatValue(m.name, textNode)), "each name once")
			continue
		}
		seen[m.name] = true
		d.at[at] = m.offset
		read(m.name, m.value, at)
		d.at[at] = m.offset
	}
}

func keyNames[T any](keys []key[T]) string {
	l := make([]string, len(keys))
	for i, k := range keys {
		l[i] = k.name
	}
	return strings.Join(l, ", ")
}

func (d *decoder) boolean(n *node, path string, to *bool) {
	if n.kind != boolNode {
		d.wrongType(n, path, "true or false")
		return
	}
	*to = n.boolean
}

func (d *decoder) integer(n *node, path, bounds string, to *int) {
	if n.kind != numberNode {
		d.wrongType(n, path, "a whole number, "+bounds)
		return
	}
	v, err := strconv.ParseInt(n.text, 10, 32)
	if err != nil {
		d.invalidValue(n, path, formatValue(n.text, numberNode)+" is not a whole number in bounds", "a whole number, "+bounds)
		return
	}
	*to = int(v)
}

func (d *decoder) percent(n *node, path string, to *float64) {
	if n.kind != numberNode {
		d.wrongType(n, path, "a number, 0 to 100")
		return
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if err != nil || math.IsInf(v, 0) {
		d.invalidValue(n, path, formatValue(n.text, numberNode)+" is out of bounds", "a number, 0 to 100")
		return
	}
	*to = v + 0 // no negative zero
}

func (d *decoder) duration(n *node, path, bounds string, to *time.Duration) {
	want := `text with a unit, for example "250ms" or "5s", ` + bounds
	if n.kind != textNode {
		d.wrongType(n, path, want)
		return
	}
	v, err := time.ParseDuration(n.text)
	if err != nil {
		d.invalidValue(n, path, "duration "+formatValue(n.text, textNode)+" has no valid number and unit", want)
		return
	}
	*to = v
}

func (d *decoder) enum(n *node, path string, allowed []string, to *int) {
	want := "one of " + strings.Join(allowed, ", ")
	if n.kind != textNode {
		d.wrongType(n, path, want)
		return
	}
	for i, a := range allowed {
		if n.text == a {
			*to = i
			return
		}
	}
	d.invalidValue(n, path, formatValue(n.text, textNode)+" is not known", want)
}

func (d *decoder) stringList(n *node, path, want string, to *[]string) {
	if n.kind != listNode {
		d.wrongType(n, path, want)
		return
	}
	for i, item := range n.items {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.at[at] = item.offset
		if item.kind != textNode {
			d.wrongType(item, at, "text")
		}
		*to = append(*to, item.text) // appended even if invalid, so that later items keep their index
	}
}

func readService(d *decoder, name string, n *node, at string, to *config.Spec) {
	s := config.Service{Name: name}
	readObject(d, n, at, serviceKeys, &s)
	to.Services = append(to.Services, s)
}

func readMethod(d *decoder, name string, n *node, at string, to *config.Service) {
	m := config.Method{Name: name, Priority: call.Normal, Deadline: config.DefaultDeadline}
	readObject(d, n, at, methodKeys, &m)
	to.Methods = append(to.Methods, m)
}

func readBacker(d *decoder, name string, n *node, at string, to *config.Spec) {
	b := config.Backer{Name: name}
	readObject(d, n, at, backerKeys, &b)
	to.Backers = append(to.Backers, b)
}
