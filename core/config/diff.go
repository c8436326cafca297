package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Change is one value that differs between two configurations. From is empty for something new, To for something
// removed.
type Change struct {
	Path    string
	From    string
	To      string
	Summary string // the change in one sentence
}

// ShareChange is what a change does to one backer. Guaranteed is the part of every service's capacity that the backer
// has while it has demand. Contended is its part while every backer has more demand than its share: the capacity that
// no share covers is lent in proportion to the shares.
type ShareChange struct {
	Backer                       string
	GuaranteedFrom, GuaranteedTo float64
	ContendedFrom, ContendedTo   float64
}

// Differs reports whether the backer gets a different part.
func (s ShareChange) Differs() bool {
	return s.GuaranteedFrom != s.GuaranteedTo || FormatPercent(round(s.ContendedFrom)) != FormatPercent(round(s.ContendedTo))
}

// Delta is the difference between two configurations.
type Delta struct {
	Changes []Change
	Shares  []ShareChange // every backer of either configuration
}

// Empty reports whether nothing changes.
func (d Delta) Empty() bool { return len(d.Changes) == 0 }

// Diff returns what changes from one configuration to another.
func Diff(from, to Config) Delta {
	var d Delta
	for _, name := range union(from.services, to.services) {
		a, was := from.services[name]
		b, is := to.services[name]
		path := "services." + name
		if d.presence(path, "service "+name, was, is) {
			d.service(path, a, b)
		}
	}
	for _, name := range union(from.backers, to.backers) {
		a, was := from.backers[name]
		b, is := to.backers[name]
		if d.presence("backers."+name, "backer "+name, was, is) {
			d.value("backers."+name+".share-percent", FormatPercent(a.SharePercent), FormatPercent(b.SharePercent))
		}
	}
	d.value("limits.retry-budget", strconv.Itoa(from.limits.RetryBudget), strconv.Itoa(to.limits.RetryBudget))
	d.value("limits.max-depth", strconv.Itoa(from.limits.MaxDepth), strconv.Itoa(to.limits.MaxDepth))
	d.value("limits.retry-percent", strconv.Itoa(from.limits.RetryPercent), strconv.Itoa(to.limits.RetryPercent))
	d.shares(from, to)
	return d
}

// presence records that something was added or removed and reports whether it is in both configurations.
func (d *Delta) presence(path, what string, was, is bool) bool {
	switch {
	case was && !is:
		d.Changes = append(d.Changes, Change{Path: path, From: "present", Summary: what + " is removed"})
	case is && !was:
		d.Changes = append(d.Changes, Change{Path: path, To: "present", Summary: what + " is added"})
	}
	return was && is
}

func (d *Delta) value(path, from, to string) {
	if from != to {
		d.Changes = append(d.Changes, Change{Path: path, From: from, To: to,
			Summary: fmt.Sprintf("%s changes from %s to %s", path, from, to)})
	}
}

func (d *Delta) service(path string, a, b Service) {
	d.value(path+".depends-on", list(a.DependsOn), list(b.DependsOn))
	d.value(path+".slots", strconv.Itoa(a.Slots), strconv.Itoa(b.Slots))
	was, is := byName(a.Methods), byName(b.Methods)
	for _, name := range union(was, is) {
		m, had := was[name]
		n, has := is[name]
		at := path + ".methods." + name
		if !d.presence(at, "method "+name+" of service "+a.Name, had, has) {
			continue
		}
		d.value(at+".idempotent", strconv.FormatBool(m.Idempotent), strconv.FormatBool(n.Idempotent))
		d.value(at+".priority", m.Priority.String(), n.Priority.String())
		d.value(at+".cost-class", m.CostClass(), n.CostClass())
		d.value(at+".deadline", FormatDuration(m.Deadline), FormatDuration(n.Deadline))
	}
}

// CostClass returns the declared cost class as the text names it.
func (m Method) CostClass() string {
	if m.Long {
		return "long"
	}
	return "short"
}

func (d *Delta) shares(from, to Config) {
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
		return round(100 * share / sum)
	}
	was, is := sum(from), sum(to)
	for _, name := range union(from.backers, to.backers) {
		a, b := from.backers[name].SharePercent, to.backers[name].SharePercent
		d.Shares = append(d.Shares, ShareChange{Backer: name, GuaranteedFrom: a, GuaranteedTo: b,
			ContendedFrom: contended(a, was), ContendedTo: contended(b, is)})
	}
}

func round(p float64) float64 { return float64(int(p*100+0.5)) / 100 }

func list(names []string) string {
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

// union returns the names in either map, sorted.
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
