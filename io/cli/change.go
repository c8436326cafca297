package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"mustardmast/core/config"
	"mustardmast/core/fault"
	"mustardmast/io/store"
)

func generationName(g uint64) string {
	if g == 0 {
		return "no configuration"
	}
	return "generation " + strconv.FormatUint(g, 10)
}

type changeOptions struct {
	platformOptions
	nodeOptions
	NoFleet bool   `long:"no-fleet" description:"ask no node; only for a fleet without nodes, or when none can be reached"`
	Who     string `long:"who" value-name:"NAME" description:"who makes the change (default: the login name)"`
	Why     string `long:"why" required:"yes" value-name:"TEXT" description:"reason, for the audit trail"`
}

// fleet returns the highest generation of the nodes that answer. Without an answer the number could fall below the
// fleet's after a restore of the platform, so the operator has to say so.
func (c *changeOptions) fleet(ctx context.Context, o *output) (uint64, error) {
	if c.NoFleet {
		return 0, nil
	}
	if len(c.Nodes) == 0 {
		return 0, fault.New(fault.BadRequest, "no node to ask for the generation in force; give --node, or --no-fleet if there is none")
	}
	highest, answers := uint64(0), 0
	for _, r := range o.ask(ctx, c.Nodes) {
		if r.err != nil {
			o.notef("warning: %s is not counted: %v\n", r.address, r.err)
			continue
		}
		answers++
		highest = max(highest, r.status.Generation)
	}
	if answers == 0 {
		return 0, fault.New(fault.PeerUnreachable, "no node answered; nothing was written; give other nodes, or --no-fleet")
	}
	return highest, nil
}

func (c *changeOptions) request(o *output, expected, fleet uint64) store.Request {
	who := c.Who
	if who == "" {
		who = o.env.User
	}
	return store.Request{Expected: expected, Who: who, Why: c.Why, FleetGeneration: fleet}
}

type apply struct {
	output
	changeOptions
	Expect *uint64      `long:"expect" required:"yes" value-name:"GENERATION" description:"generation that the edit started from, as get shows it; 0 for the first text"`
	Args   fileArgument `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *apply) Execute(args []string) error {
	if err := c.noMore(args); err != nil {
		return err
	}
	src, _, err := c.load(c.Args.File)
	if err != nil {
		return c.fail(err)
	}
	s, err := c.store(c.platformOptions)
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := c.context()
	defer cancel()
	fleet, err := c.fleet(ctx, &c.output)
	if err != nil {
		return c.fail(err)
	}
	r := c.request(&c.output, *c.Expect, fleet)
	r.Text = string(src)
	done, err := s.Apply(ctx, r)
	if err != nil {
		return c.fail(err)
	}
	return c.accepted(done)
}

// accepted reports a change that was made.
func (o *output) accepted(done store.Result) error {
	delta := config.Diff(inForce(done.Before), inForce(done.After))
	if done.Restored {
		o.notef("warning: the platform was at generation %d, behind the fleet; it was set back to an older state. The new text is numbered above the fleet's generation.\n",
			done.Entry.From)
	}
	if o.json() {
		o.write(wireAccepted{Change: entryToWire(done.Entry), Restored: done.Restored,
			Delta: deltaToWire(generationName(done.Entry.From), delta)})
		return nil
	}
	o.printf("accepted: %s\n", done.Entry)
	o.delta(delta)
	return nil
}

type rollback struct {
	output
	changeOptions
	To     uint64  `long:"to" required:"yes" value-name:"GENERATION" description:"generation whose text is put in force again; see history"`
	Expect *uint64 `long:"expect" value-name:"GENERATION" description:"refuse if another generation than this is in the platform (default: the one found there)"`
}

// Execute runs the command.
func (c *rollback) Execute(args []string) error {
	if err := c.noMore(args); err != nil {
		return err
	}
	s, err := c.store(c.platformOptions)
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := c.context()
	defer cancel()
	fleet, err := c.fleet(ctx, &c.output)
	if err != nil {
		return c.fail(err)
	}
	st, err := s.Read(ctx)
	if err != nil {
		return c.fail(err)
	}
	expected := st.Generation
	if c.Expect != nil {
		expected = *c.Expect
	}
	r := c.request(&c.output, expected, fleet)
	r.Why = fmt.Sprintf("rollback to generation %d: %s", c.To, r.Why)
	done, err := s.Rollback(ctx, c.To, r)
	if err != nil {
		return c.fail(err)
	}
	return c.accepted(done)
}

type get struct {
	output
	platformOptions
	Generation uint64 `long:"generation" value-name:"GENERATION" description:"an earlier generation (default: the one in the platform)"`
}

// Execute runs the command.
func (c *get) Execute(args []string) error {
	if err := c.noMore(args); err != nil {
		return err
	}
	s, err := c.store(c.platformOptions)
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := c.context()
	defer cancel()
	st, err := s.Read(ctx)
	if err != nil {
		return c.fail(err)
	}
	if st.Generation == 0 {
		return c.fail(fault.New(fault.NotFound, "the platform holds no configuration yet; apply the first text with --expect 0"))
	}
	shown := st.Text
	g := st.Generation
	if c.Generation > 0 {
		g = c.Generation
		if shown, err = s.Text(ctx, g); err != nil {
			return c.fail(err)
		}
	}
	if c.json() {
		c.write(wireText{Generation: g, Text: shown})
		return nil
	}
	c.printf("%s", shown)
	c.notef("%s; the platform is at generation %d\n", generationName(g), st.Generation)
	return nil
}

type history struct {
	output
	platformOptions
	Limit int `long:"limit" default:"20" value-name:"N" description:"number of changes to list"`
}

// Execute runs the command.
func (c *history) Execute(args []string) error {
	if err := c.noMore(args); err != nil {
		return err
	}
	if c.Limit < 1 {
		return c.usage("--limit is %d; allowed: at least 1", c.Limit)
	}
	s, err := c.store(c.platformOptions)
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := c.context()
	defer cancel()
	entries, err := s.History(ctx, c.Limit)
	if err != nil {
		return c.fail(err)
	}
	if c.json() {
		out := []wireEntry{}
		for _, e := range entries {
			out = append(out, entryToWire(e))
		}
		c.write(out)
		return nil
	}
	for _, e := range entries {
		c.printf("%6d  from %d  %s  %s  %s  (change %s)\n", e.To, e.From, e.When.UTC().Format(time.RFC3339), e.Who, e.Why, e.ID)
	}
	return nil
}
