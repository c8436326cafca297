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

// key is one key of an object of type T.
type key[T any] struct {
	name     string
	typ      string
	unit     string
	def      string // empty for a key that must be present
	bounds   string
	meaning  string
	required bool
	read     func(d *decoder, n *node, path string, to *T)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// wrong reports a value of the wrong type.
func (d *decoder) wrong(n *node, path, want string) {
	if n.kind == brokenNode {
		d.ignore(path)
		return
	}
	got := n.kind.String()
	if n.kind == textNode || n.kind == numberNode {
		got += " " + shorten(n.text, n.kind)
	}
	d.unreadable(n, path, got, want)
}

// ignore keeps Validate from judging the default that stands in for an unreadable value.
func (d *decoder) ignore(path string) {
	if d.broken == nil {
		d.broken = map[string]bool{}
	}
	d.broken[path] = true
}

func (d *decoder) unreadable(n *node, path, problem, allowed string) {
	d.ignore(path)
	d.fail(n.offset, path, problem, allowed)
}

func shorten(s string, k kind) string {
	const most = 80
	if len(s) > most {
		s = strings.ToValidUTF8(s[:most], "") + "..."
	}
	if k == textNode {
		return strconv.Quote(s)
	}
	return s
}

// readObject reads an object with a fixed list of keys.
func readObject[T any](d *decoder, n *node, path string, keys []key[T], to *T) {
	d.at[path] = n.offset
	if n.kind != objectNode {
		d.wrong(n, path, "an object with the keys "+names(keys))
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
			d.fail(m.offset, at, "unknown key "+shorten(m.name, textNode), names(keys))
		case seen[m.name]:
			d.fail(m.offset, at, "duplicate key "+shorten(m.name, textNode), "each key once")
		default:
			seen[m.name] = true
			d.at[at] = m.value.offset
			keys[i].read(d, m.value, at, to)
		}
	}
	for _, k := range keys {
		if k.required && !seen[k.name] {
			d.fail(n.offset, join(path, k.name), "the key is missing", k.typ+", "+k.bounds)
		}
	}
}

// readNamed reads an object whose keys are names given by the operator. A name that comes twice is reported here;
// the second value is checked too, under the same path.
func readNamed(d *decoder, n *node, path, what string, read func(name string, v *node, at string)) {
	if n.kind != objectNode {
		d.wrong(n, path, "an object with one key for each "+what)
		return
	}
	seen := map[string]bool{}
	for _, m := range n.members {
		at := join(path, m.name)
		if seen[m.name] {
			d.fail(m.offset, at, fmt.Sprintf("duplicate %s name %s", what, shorten(m.name, textNode)), "each name once")
			continue
		}
		seen[m.name] = true
		d.at[at] = m.offset
		read(m.name, m.value, at)
		d.at[at] = m.offset
	}
}

func names[T any](keys []key[T]) string {
	l := make([]string, len(keys))
	for i, k := range keys {
		l[i] = k.name
	}
	return strings.Join(l, ", ")
}

func (d *decoder) flag(n *node, path string, to *bool) {
	if n.kind != boolNode {
		d.wrong(n, path, "true or false")
		return
	}
	*to = n.flag
}

func (d *decoder) integer(n *node, path, bounds string, to *int) {
	if n.kind != numberNode {
		d.wrong(n, path, "a whole number, "+bounds)
		return
	}
	v, err := strconv.ParseInt(n.text, 10, 32)
	if err != nil {
		d.unreadable(n, path, shorten(n.text, numberNode)+" is not a whole number in bounds", "a whole number, "+bounds)
		return
	}
	*to = int(v)
}

func (d *decoder) percent(n *node, path string, to *float64) {
	if n.kind != numberNode {
		d.wrong(n, path, "a number, 0 to 100")
		return
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if err != nil || math.IsInf(v, 0) {
		d.unreadable(n, path, shorten(n.text, numberNode)+" is out of bounds", "a number, 0 to 100")
		return
	}
	*to = v + 0 // no negative zero
}

func (d *decoder) duration(n *node, path, bounds string, to *time.Duration) {
	want := `text with a unit, for example "250ms" or "5s", ` + bounds
	if n.kind != textNode {
		d.wrong(n, path, want)
		return
	}
	v, err := time.ParseDuration(n.text)
	if err != nil {
		d.unreadable(n, path, "duration "+shorten(n.text, textNode)+" has no valid number and unit", want)
		return
	}
	*to = v
}

func (d *decoder) choice(n *node, path string, allowed []string, to *int) {
	want := "one of " + strings.Join(allowed, ", ")
	if n.kind != textNode {
		d.wrong(n, path, want)
		return
	}
	for i, a := range allowed {
		if n.text == a {
			*to = i
			return
		}
	}
	d.unreadable(n, path, shorten(n.text, textNode)+" is not known", want)
}

func (d *decoder) texts(n *node, path, want string, to *[]string) {
	if n.kind != listNode {
		d.wrong(n, path, want)
		return
	}
	for i, item := range n.items {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.at[at] = item.offset
		if item.kind != textNode {
			d.wrong(item, at, "text")
		}
		*to = append(*to, item.text) // kept, so that later items keep their index
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
