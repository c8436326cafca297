package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Change is one value that differs between two configurations. From is empty if the value was added, To if it was
// removed.
type Change struct {
	Path    string
	From    string
	To      string
	Summary string // the change in one sentence
}

// ShareChange is the effect of a configuration change on one backer. Guaranteed is the percentage of every service's
// capacity that the backer receives whenever it has demand. Contended is its percentage while the demand of every
// backer exceeds its share: capacity that no share covers is lent in proportion to the shares.
type ShareChange struct {
	Backer                       string
	GuaranteedFrom, GuaranteedTo float64
	ContendedFrom, ContendedTo   float64
}

// Differs reports whether the backer's percentages change.
func (s ShareChange) Differs() bool {
	return s.GuaranteedFrom != s.GuaranteedTo ||
		FormatPercent(roundPercent(s.ContendedFrom)) != FormatPercent(roundPercent(s.ContendedTo))
}

// Delta is the difference between two configurations.
type Delta struct {
	Changes []Change
	Shares  []ShareChange // all backers of either configuration
}

// Empty reports whether the configurations are equal.
func (d Delta) Empty() bool { return len(d.Changes) == 0 }

// Diff returns the changes from one configuration to another.
func Diff(from, to Config) Delta {
	var d Delta
	for _, name := range union(from.services, to.services) {
		a, inFrom := from.services[name]
		b, inTo := to.services[name]
		path := "services." + name
		if d.diffPresence(path, "service "+name, inFrom, inTo) {
			d.diffService(path, a, b)
		}
	}
	for _, name := range union(from.backers, to.backers) {
		a, inFrom := from.backers[name]
		b, inTo := to.backers[name]
		if d.diffPresence("backers."+name, "backer "+name, inFrom, inTo) {
			d.diffValue("backers."+name+".share-percent", FormatPercent(a.SharePercent), FormatPercent(b.SharePercent))
		}
	}
	d.diffValue("limits.retry-budget", strconv.Itoa(from.limits.RetryBudget), strconv.Itoa(to.limits.RetryBudget))
	d.diffValue("limits.max-depth", strconv.Itoa(from.limits.MaxDepth), strconv.Itoa(to.limits.MaxDepth))
	d.diffValue("limits.retry-percent", strconv.Itoa(from.limits.RetryPercent), strconv.Itoa(to.limits.RetryPercent))
	d.diffShares(from, to)
	return d
}

// diffPresence records that an object was added or removed, and reports whether it is in both configurations.
func (d *Delta) diffPresence(path, description string, inFrom, inTo bool) bool {
	switch {
	case inFrom && !inTo:
		d.Changes = append(d.Changes, Change{Path: path, From: "present", Summary: description + " is removed"})
	case inTo && !inFrom:
		d.Changes = append(d.Changes, Change{Path: path, To: "present", Summary: description + " is added"})
	}
	return inFrom && inTo
}

func (d *Delta) diffValue(path, from, to string) {
	if from != to {
		d.Changes = append(d.Changes, Change{Path: path, From: from, To: to,
			Summary: fmt.Sprintf("%s changes from %s to %s", path, from, to)})
	}
}

func (d *Delta) diffService(path string, a, b Service) {
	d.diffValue(path+".depends-on", formatList(a.DependsOn), formatList(b.DependsOn))
	d.diffValue(path+".slots", strconv.Itoa(a.Slots), strconv.Itoa(b.Slots))
	fromMethods, toMethods := byName(a.Methods), byName(b.Methods)
	for _, name := range union(fromMethods, toMethods) {
		m, inFrom := fromMethods[name]
		n, inTo := toMethods[name]
		at := path + ".methods." + name
		if !d.diffPresence(at, "method "+name+" of service "+a.Name, inFrom, inTo) {
			continue
		}
		d.diffValue(at+".idempotent", strconv.FormatBool(m.Idempotent), strconv.FormatBool(n.Idempotent))
		d.diffValue(at+".priority", m.Priority.String(), n.Priority.String())
		d.diffValue(at+".cost-class", m.CostClass(), n.CostClass())
		d.diffValue(at+".deadline", FormatDuration(m.Deadline), FormatDuration(n.Deadline))
	}
}

// CostClass returns the name of the declared cost class.
func (m Method) CostClass() string {
	if m.Long {
		return "long"
	}
	return "short"
}

func (d *Delta) diffShares(from, to Config) {
	sum := func(c Config) (n float64) {
		for _, b := range c.backers {
			n += b.SharePercent
		}
		return n
	}
	contended := func(share, sum float64) float64 {
		if sum == 0 {
			return 0
		}
		return roundPercent(100 * share / sum)
	}
	fromSum, toSum := sum(from), sum(to)
	for _, name := range union(from.backers, to.backers) {
		a, b := from.backers[name].SharePercent, to.backers[name].SharePercent
		d.Shares = append(d.Shares, ShareChange{Backer: name, GuaranteedFrom: a, GuaranteedTo: b,
			ContendedFrom: contended(a, fromSum), ContendedTo: contended(b, toSum)})
	}
}

func roundPercent(p float64) float64 { return float64(int(p*100+0.5)) / 100 }

func formatList(names []string) string {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return "[" + strings.Join(sorted, ", ") + "]"
}

func byName(methods []Method) map[string]Method {
	out := make(map[string]Method, len(methods))
	for _, m := range methods {
		out[m.Name] = m
	}
	return out
}

// union returns the keys of both maps, sorted.
func union[V any](a, b map[string]V) []string {
	names := make([]string, 0, len(a)+len(b))
	for n := range a {
		names = append(names, n)
	}
	for n := range b {
		if _, ok := a[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}
