package configtext

import (
	"fmt"
	"strconv"

	"mustardmast/core/call"
	"mustardmast/core/config"
)

var defaultLimits = config.Limits{
	RetryBudget:  config.DefaultRetryBudget,
	MaxDepth:     config.DefaultMaxDepth,
	RetryPercent: config.DefaultRetryPercent,
}

var (
	priorities  = []string{call.Critical.String(), call.High.String(), call.Normal.String(), call.Low.String()}
	costClasses = []string{"short", "long"}
)

func span(least, most int) string { return fmt.Sprintf("%d to %d", least, most) }

var deadlineSpan = config.FormatDuration(config.MinDeadline) + " to " + config.FormatDuration(config.MaxDeadline)

var rootKeys = []key[config.Spec]{
	{name: "services", typ: "object", def: "{}", bounds: fmt.Sprintf("at most %d services", config.MaxServices),
		meaning: "the services by name",
		read: func(d *decoder, n *node, path string, to *config.Spec) {
			readNamed(d, n, path, "service", func(name string, v *node, at string) { readService(d, name, v, at, to) })
		}},
	{name: "backers", typ: "object", def: "{}", bounds: fmt.Sprintf("at most %d backers", config.MaxBackers),
		meaning: "the backers by name; the shares add up to at most 100",
		read: func(d *decoder, n *node, path string, to *config.Spec) {
			readNamed(d, n, path, "backer", func(name string, v *node, at string) { readBacker(d, name, v, at, to) })
		}},
	{name: "limits", typ: "object", def: "{}", bounds: "-", meaning: "settings that hold for every service",
		read: func(d *decoder, n *node, path string, to *config.Spec) {
			readObject(d, n, path, limitKeys, &to.Limits)
		}},
}

var serviceKeys = []key[config.Service]{
	{name: "depends-on", typ: "list of text", unit: "service name", def: "[]",
		bounds:  fmt.Sprintf("at most %d names of services in the text, without a cycle", config.MaxDependencies),
		meaning: "the services that this one calls; a chain is at most limits.max-depth deep",
		read: func(d *decoder, n *node, path string, to *config.Service) {
			d.texts(n, path, "a list of service names", &to.DependsOn)
		}},
	{name: "methods", typ: "object", def: "{}", bounds: fmt.Sprintf("at most %d methods", config.MaxMethods),
		meaning: "the methods by name",
		read: func(d *decoder, n *node, path string, to *config.Service) {
			readNamed(d, n, path, "method", func(name string, v *node, at string) { readMethod(d, name, v, at, to) })
		}},
	{name: "slots", typ: "whole number", unit: "requests", def: "0", bounds: span(0, config.MaxSlots),
		meaning: "upper bound of each target's concurrency limit; 0 takes the figure that the target announces",
		read: func(d *decoder, n *node, path string, to *config.Service) {
			d.integer(n, path, span(0, config.MaxSlots), &to.Slots)
		}},
}

var methodKeys = []key[config.Method]{
	{name: "idempotent", typ: "true or false", def: "false", bounds: "-",
		meaning: "whether a request may run more than once; only then is it retried after an unknown outcome",
		read: func(d *decoder, n *node, path string, to *config.Method) {
			d.flag(n, path, &to.Idempotent)
		}},
	{name: "priority", typ: "text", def: call.Normal.String(), bounds: "critical, high, normal, low",
		meaning: "the less important priority is shed first",
		read: func(d *decoder, n *node, path string, to *config.Method) {
			p := int(to.Priority)
			d.choice(n, path, priorities, &p)
			to.Priority = call.Priority(p)
		}},
	{name: "cost-class", typ: "text", def: "short", bounds: "short, long",
		meaning: "long requests hold a bounded part of the slots",
		read: func(d *decoder, n *node, path string, to *config.Method) {
			class := 0
			d.choice(n, path, costClasses, &class)
			to.Long = class == 1
		}},
	{name: "deadline", typ: "text", unit: "duration (ns, us, ms, s, m, h)", def: config.FormatDuration(config.DefaultDeadline),
		bounds: deadlineSpan, meaning: "time from the start of a request until its response is of no use",
		read: func(d *decoder, n *node, path string, to *config.Method) {
			d.duration(n, path, deadlineSpan, &to.Deadline)
		}},
}

var backerKeys = []key[config.Backer]{
	{name: "share-percent", typ: "number", unit: "percent", bounds: "0 to 100, steps of 0.01", required: true,
		meaning: "the part of every service's capacity that the backer has while it has demand",
		read: func(d *decoder, n *node, path string, to *config.Backer) {
			d.percent(n, path, &to.SharePercent)
		}},
}

var limitKeys = []key[config.Limits]{
	{name: "retry-budget", typ: "whole number", unit: "retries", def: strconv.Itoa(config.DefaultRetryBudget),
		bounds: span(0, config.MaxRetryBudget), meaning: "retries of one request over its whole chain",
		read: func(d *decoder, n *node, path string, to *config.Limits) {
			d.integer(n, path, span(0, config.MaxRetryBudget), &to.RetryBudget)
		}},
	{name: "max-depth", typ: "whole number", unit: "services", def: strconv.Itoa(config.DefaultMaxDepth),
		bounds: span(1, config.MaxMaxDepth), meaning: "services on the longest chain of calls",
		read: func(d *decoder, n *node, path string, to *config.Limits) {
			d.integer(n, path, span(1, config.MaxMaxDepth), &to.MaxDepth)
		}},
	{name: "retry-percent", typ: "whole number", unit: "percent", def: strconv.Itoa(config.DefaultRetryPercent),
		bounds: span(0, config.MaxRetryPercent), meaning: "retries on one edge, in percent of its successful first attempts",
		read: func(d *decoder, n *node, path string, to *config.Limits) {
			d.integer(n, path, span(0, config.MaxRetryPercent), &to.RetryPercent)
		}},
}

// Key describes one key of the text for the documentation.
type Key struct {
	Path, Type, Unit, Default, Bounds, Description string
}

// Keys returns every key in the order of the page docs/configuration.md.
func Keys() []Key {
	var out []Key
	out = describe(out, "", rootKeys)
	out = describe(out, "services.<service>.", serviceKeys)
	out = describe(out, "services.<service>.methods.<method>.", methodKeys)
	out = describe(out, "backers.<backer>.", backerKeys)
	return describe(out, "limits.", limitKeys)
}

func describe[T any](out []Key, prefix string, keys []key[T]) []Key {
	for _, k := range keys {
		def := k.def
		if k.required {
			def = "must be present"
		}
		unit := k.unit
		if unit == "" {
			unit = "-"
		}
		out = append(out, Key{Path: prefix + k.name, Type: k.typ, Unit: unit, Default: def, Bounds: k.bounds, Description: k.meaning})
	}
	return out
}
