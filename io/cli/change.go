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

func generationText(g uint64) string {
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

// fleetGeneration returns the highest generation among the nodes that respond, or 0 with --no-fleet. It fails if no
// node responds: after a restore of the platform, a change could get a generation that is not above that of the fleet,
// which would ignore it.
func (c *changeOptions) fleetGeneration(ctx context.Context, o *commonOptions) (uint64, error) {
	if c.NoFleet {
		return 0, nil
	}
	if len(c.Nodes) == 0 {
		return 0, fault.New(fault.BadRequest, "no node to ask for the generation in force; give --node, or --no-fleet if there is none")
	}
	highest, answers := uint64(0), 0
	for _, r := range o.queryStatus(ctx, c.Nodes) {
		if r.err != nil {
			o.notef("warning: the generation of %s is not considered: %v\n", r.address, r.err)
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

func (c *changeOptions) request(o *commonOptions, expected, fleetGeneration uint64) store.Request {
	who := c.Who
	if who == "" {
		who = o.env.User
	}
	return store.Request{Expected: expected, Who: who, Why: c.Why, FleetGeneration: fleetGeneration}
}

type apply struct {
	commonOptions
	changeOptions
	Expect *uint64      `long:"expect" required:"yes" value-name:"GENERATION" description:"generation that the edit started from, as get shows it; 0 for the first text"`
	Args   fileArgument `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *apply) Execute(args []string) error {
	if err := c.rejectArgs(args); err != nil {
		return err
	}
	src, _, err := c.loadConfig(c.Args.File)
	if err != nil {
		return c.fail(err)
	}
	s, err := c.store(c.platformOptions)
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := c.context()
	defer cancel()
	fleetGeneration, err := c.fleetGeneration(ctx, &c.commonOptions)
	if err != nil {
		return c.fail(err)
	}
	r := c.request(&c.commonOptions, *c.Expect, fleetGeneration)
	r.Text = string(src)
	result, err := s.Apply(ctx, r)
	if err != nil {
		return c.fail(err)
	}
	return c.printAccepted(result)
}

// printAccepted prints a change that was accepted.
func (o *commonOptions) printAccepted(result store.Result) error {
	delta := config.Diff(decodeStored(result.Before), decodeStored(result.After))
	if result.Restored {
		o.notef("warning: the platform was at generation %d, behind the fleet; it was set back to an older state. The new text is numbered above the fleet's generation.\n",
			result.Entry.From)
	}
	if o.json() {
		o.writeJSON(wireApplied{Change: entryToWire(result.Entry), Restored: result.Restored,
			Delta: deltaToWire(generationText(result.Entry.From), delta)})
		return nil
	}
	o.printf("accepted: %s\n", result.Entry)
	o.delta(delta)
	return nil
}

type rollback struct {
	commonOptions
	changeOptions
	To     uint64  `long:"to" required:"yes" value-name:"GENERATION" description:"generation whose text is put in force again; see history"`
	Expect *uint64 `long:"expect" value-name:"GENERATION" description:"refuse if another generation than this is in the platform (default: the one found there)"`
}

// Execute runs the command.
func (c *rollback) Execute(args []string) error {
	if err := c.rejectArgs(args); err != nil {
		return err
	}
	s, err := c.store(c.platformOptions)
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := c.context()
	defer cancel()
	fleetGeneration, err := c.fleetGeneration(ctx, &c.commonOptions)
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
	r := c.request(&c.commonOptions, expected, fleetGeneration)
	r.Why = fmt.Sprintf("rollback to generation %d: %s", c.To, r.Why)
	result, err := s.Rollback(ctx, c.To, r)
	if err != nil {
		return c.fail(err)
	}
	return c.printAccepted(result)
}

type get struct {
	commonOptions
	platformOptions
	Generation uint64 `long:"generation" value-name:"GENERATION" description:"an earlier generation (default: the one in the platform)"`
}

// Execute runs the command.
func (c *get) Execute(args []string) error {
	if err := c.rejectArgs(args); err != nil {
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
		c.writeJSON(wireText{Generation: g, Text: shown})
		return nil
	}
	c.printf("%s", shown)
	c.notef("%s; the platform is at generation %d\n", generationText(g), st.Generation)
	return nil
}

type history struct {
	commonOptions
	platformOptions
	Limit int `long:"limit" default:"20" value-name:"N" description:"number of changes to list"`
}

// Execute runs the command.
func (c *history) Execute(args []string) error {
	if err := c.rejectArgs(args); err != nil {
		return err
	}
	if c.Limit < 1 {
		return c.failUsage("--limit is %d; allowed: at least 1", c.Limit)
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
		c.writeJSON(out)
		return nil
	}
	for _, e := range entries {
		c.printf("%6d  from %d  %s  %s  %s  (change %s)\n", e.To, e.From, e.When.UTC().Format(time.RFC3339), e.Who, e.Why, e.ID)
	}
	return nil
}
