package cli

import (
	"slices"
	"time"

	"mustardmast/core/fault"
	"mustardmast/io/operator"
)

type explain struct {
	commonOptions
	nodeOptions
	Args struct {
		ID string `positional-arg-name:"REQUEST-ID" description:"request id, as the response header mustardmast-request-id shows it"`
	} `positional-args:"yes" required:"yes"`
}

type step struct {
	node string
	operator.Event
}

// Execute runs the command.
func (c *explain) Execute(args []string) error {
	if err := c.rejectArgs(args); err != nil {
		return err
	}
	if len(c.Nodes) == 0 {
		return c.failUsage("no node to ask; give --node ADDRESS, once for each node")
	}
	ctx, cancel := c.context()
	defer cancel()
	explanations := make([]operator.Explanation, len(c.Nodes))
	errs := make([]error, len(c.Nodes))
	c.forEachNode(c.Nodes, func(i int, node *operator.Client, err error) {
		if errs[i] = err; err == nil {
			explanations[i], errs[i] = node.Explain(ctx, c.Args.ID)
		}
	})
	var steps []step
	var outcomes []wireOutcome
	for i, address := range c.Nodes {
		switch {
		case fault.KindOf(errs[i]) == fault.NotFound:
			continue
		case errs[i] != nil:
			c.notef("warning: %v\n", errs[i])
			continue
		}
		outcomes = append(outcomes, wireOutcome{Node: address, Outcome: explanations[i].Outcome})
		for _, e := range explanations[i].Events {
			steps = append(steps, step{address, e})
		}
	}
	if len(outcomes) == 0 {
		return c.fail(fault.Newf(fault.NotFound, "no node that responded has a record of request %q; records are deleted some minutes after the end of a request",
			c.Args.ID))
	}
	slices.SortStableFunc(steps, func(a, b step) int { return a.At.Compare(b.At) })
	c.show(steps, outcomes)
	return nil
}

func (c *explain) show(steps []step, outcomes []wireOutcome) {
	if c.json() {
		c.writeJSON(explanationToWire(c.Args.ID, steps, outcomes))
		return
	}
	for _, s := range steps {
		c.printf("%s  %s  %s  %s\n", s.At.UTC().Format("15:04:05.000"), s.node, s.Name, s.Detail)
	}
	for _, o := range outcomes {
		c.printf("outcome at %s: %s\n", o.Node, o.Outcome)
	}
}

type quarantine struct {
	commonOptions
	nodeOptions
	Clear    string `long:"clear" value-name:"FINGERPRINT" description:"remove this fingerprint"`
	ClearAll bool   `long:"clear-all" description:"remove all fingerprints"`
}

// Execute runs the command.
func (c *quarantine) Execute(args []string) error {
	if err := c.rejectArgs(args); err != nil {
		return err
	}
	if len(c.Nodes) == 0 {
		return c.failUsage("no node to ask; give --node ADDRESS, once for each node")
	}
	if c.Clear != "" && c.ClearAll {
		return c.failUsage("--clear and --clear-all exclude each other")
	}
	ctx, cancel := c.context()
	defer cancel()
	rows := make([]wireQuarantine, len(c.Nodes))
	errs := make([]error, len(c.Nodes))
	c.forEachNode(c.Nodes, func(i int, node *operator.Client, err error) {
		rows[i].Node = c.Nodes[i]
		if errs[i] = err; err != nil {
			return
		}
		if c.Clear != "" || c.ClearAll {
			rows[i].Cleared, errs[i] = node.ClearQuarantine(ctx, c.Clear)
			return
		}
		var entries []operator.Quarantined
		entries, errs[i] = node.Quarantined(ctx)
		rows[i].Entries = quarantinedToWire(entries)
	})
	for _, err := range errs {
		if err != nil {
			return c.fail(err)
		}
	}
	c.show(rows)
	return nil
}

func (c *quarantine) show(rows []wireQuarantine) {
	switch {
	case c.json():
		c.writeJSON(rows)
		return
	case c.Clear != "" || c.ClearAll:
		for _, r := range rows {
			c.printf("%s: %d removed\n", r.Node, r.Cleared)
		}
		return
	}
	for _, r := range rows {
		c.printf("%s: %d fingerprints\n", r.Node, len(r.Entries))
		for _, q := range r.Entries {
			c.printf("  %s  %s  backer %s  %s after %d crashes, expires in %s\n", q.Fingerprint, q.Method, q.Backer, q.State, q.Crashes,
				(time.Duration(q.ExpiresMS) * time.Millisecond).Round(time.Second))
		}
	}
}
