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

func formatRange(low, high int) string { return fmt.Sprintf("%d to %d", low, high) }

var deadlineRange = config.FormatDuration(config.MinDeadline) + " to " + config.FormatDuration(config.MaxDeadline)

var rootKeys = []key[config.Spec]{
	{name: "services", typ: "object", defaultValue: "{}", bounds: fmt.Sprintf("at most %d services", config.MaxServices),
		description: "the services by name",
		read: func(d *decoder, n *node, path string, to *config.Spec) {
			readNamed(d, n, path, "service", func(name string, v *node, at string) { readService(d, name, v, at, to) })
		}},
	{name: "backers", typ: "object", defaultValue: "{}", bounds: fmt.Sprintf("at most %d backers", config.MaxBackers),
		description: "the backers by name; the shares add up to at most 100",
		read: func(d *decoder, n *node, path string, to *config.Spec) {
			readNamed(d, n, path, "backer", func(name string, v *node, at string) { readBacker(d, name, v, at, to) })
		}},
	{name: "limits", typ: "object", defaultValue: "{}", bounds: "-", description: "settings that hold for every service",
		read: func(d *decoder, n *node, path string, to *config.Spec) {
			readObject(d, n, path, limitKeys, &to.Limits)
		}},
}

var serviceKeys = []key[config.Service]{
	{name: "depends-on", typ: "list of text", unit: "service name", defaultValue: "[]",
		bounds:      fmt.Sprintf("at most %d names of services in the text, without a cycle", config.MaxDependencies),
		description: "the services that this one calls; a chain is at most limits.max-depth deep",
		read: func(d *decoder, n *node, path string, to *config.Service) {
			d.stringList(n, path, "a list of service names", &to.DependsOn)
		}},
	{name: "methods", typ: "object", defaultValue: "{}", bounds: fmt.Sprintf("at most %d methods", config.MaxMethods),
		description: "the methods by name",
		read: func(d *decoder, n *node, path string, to *config.Service) {
			readNamed(d, n, path, "method", func(name string, v *node, at string) { readMethod(d, name, v, at, to) })
		}},
	{name: "slots", typ: "whole number", unit: "requests", defaultValue: "0", bounds: formatRange(0, config.MaxSlots),
		description: "upper bound of each target's concurrency limit; 0 takes the figure that the target announces",
		read: func(d *decoder, n *node, path string, to *config.Service) {
			d.integer(n, path, formatRange(0, config.MaxSlots), &to.Slots)
		}},
}

var methodKeys = []key[config.Method]{
	{name: "idempotent", typ: "true or false", defaultValue: "false", bounds: "-",
		description: "whether a request may run more than once; only then is it retried after an unknown outcome",
		read: func(d *decoder, n *node, path string, to *config.Method) {
			d.boolean(n, path, &to.Idempotent)
		}},
	{name: "priority", typ: "text", defaultValue: call.Normal.String(), bounds: "critical, high, normal, low",
		description: "the less important priority is shed first",
		read: func(d *decoder, n *node, path string, to *config.Method) {
			p := int(to.Priority)
			d.enum(n, path, priorities, &p)
			to.Priority = call.Priority(p)
		}},
	{name: "cost-class", typ: "text", defaultValue: "short", bounds: "short, long",
		description: "long requests hold a bounded part of the slots",
		read: func(d *decoder, n *node, path string, to *config.Method) {
			class := 0
			d.enum(n, path, costClasses, &class)
			to.Long = class == 1
		}},
	{name: "deadline", typ: "text", unit: "duration (ns, us, ms, s, m, h)", defaultValue: config.FormatDuration(config.DefaultDeadline),
		bounds: deadlineRange, description: "time from the start of a request until its response is of no use",
		read: func(d *decoder, n *node, path string, to *config.Method) {
			d.duration(n, path, deadlineRange, &to.Deadline)
		}},
}

var backerKeys = []key[config.Backer]{
	{name: "share-percent", typ: "number", unit: "percent", bounds: "0 to 100, steps of 0.01", required: true,
		description: "the part of every service's capacity that the backer has while it has demand",
		read: func(d *decoder, n *node, path string, to *config.Backer) {
			d.percent(n, path, &to.SharePercent)
		}},
}

var limitKeys = []key[config.Limits]{
	{name: "retry-budget", typ: "whole number", unit: "retries", defaultValue: strconv.Itoa(config.DefaultRetryBudget),
		bounds: formatRange(0, config.MaxRetryBudget), description: "retries of one request over its whole chain",
		read: func(d *decoder, n *node, path string, to *config.Limits) {
			d.integer(n, path, formatRange(0, config.MaxRetryBudget), &to.RetryBudget)
		}},
	{name: "max-depth", typ: "whole number", unit: "services", defaultValue: strconv.Itoa(config.DefaultMaxDepth),
		bounds: formatRange(1, config.MaxMaxDepth), description: "services on the longest chain of calls",
		read: func(d *decoder, n *node, path string, to *config.Limits) {
			d.integer(n, path, formatRange(1, config.MaxMaxDepth), &to.MaxDepth)
		}},
	{name: "retry-percent", typ: "whole number", unit: "percent", defaultValue: strconv.Itoa(config.DefaultRetryPercent),
		bounds: formatRange(0, config.MaxRetryPercent), description: "retries on one edge, in percent of its successful first attempts",
		read: func(d *decoder, n *node, path string, to *config.Limits) {
			d.integer(n, path, formatRange(0, config.MaxRetryPercent), &to.RetryPercent)
		}},
}

// Key documents one key of the configuration text.
type Key struct {
	Path, Type, Unit, Default, Bounds, Description string
}

// Keys returns all keys in the order of the page docs/configuration.md.
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
		defaultValue := k.defaultValue
		if k.required {
			defaultValue = "must be present"
		}
		unit := k.unit
		if unit == "" {
			unit = "-"
		}
		out = append(out, Key{Path: prefix + k.name, Type: k.typ, Unit: unit, Default: defaultValue, Bounds: k.bounds, Description: k.description})
	}
	return out
}
