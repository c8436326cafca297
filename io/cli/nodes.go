package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/operator"
)

// maxAsked bounds the nodes asked at once.
const maxAsked = 16

type reply struct {
	address string
	status  operator.Status
	err     error
}

// each calls f for every address, a bounded number at once.
func (o *output) each(addresses []string, f func(i int, c *operator.Client, err error)) {
	var wg sync.WaitGroup
	places := make(chan struct{}, maxAsked)
	for i, address := range addresses {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			c, err := o.env.Node(address)
			f(i, c, err)
		})
	}
	wg.Wait()
}

// ask returns the status of every node, in the order of the addresses.
func (o *output) ask(ctx context.Context, addresses []string) []reply {
	replies := make([]reply, len(addresses))
	o.each(addresses, func(i int, c *operator.Client, err error) {
		replies[i] = reply{address: addresses[i], err: err}
		if err == nil {
			replies[i].status, replies[i].err = c.Status(ctx)
		}
	})
	return replies
}

type status struct {
	output
	nodeOptions
	Services bool `long:"services" description:"list the members of each service, as the first node that answers knows them"`
}

// Execute runs the command.
func (c *status) Execute(args []string) error {
	if err := c.noMore(args); err != nil {
		return err
	}
	if len(c.Nodes) == 0 {
		return c.usage("no node to ask; give --node ADDRESS, once for each node")
	}
	ctx, cancel := c.context()
	defer cancel()
	replies := c.ask(ctx, c.Nodes)
	missing := 0
	for _, r := range replies {
		if r.err != nil {
			missing++
		}
	}
	if c.json() {
		c.write(statusToWire(replies))
	} else {
		c.print(replies)
	}
	if missing > 0 {
		err := fault.Newf(fault.PeerUnreachable, "%d of %d nodes gave no answer", missing, len(replies))
		c.notef("mustardmast: %v\n", err)
		return &exit{code: ExitFailed, cause: err}
	}
	return nil
}

func (c *status) print(replies []reply) {
	w := tabwriter.NewWriter(c.env.Out, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	row("NODE", "DOMAIN", "GENERATION", "STATE", "IN FLIGHT", "LIMIT", "QUEUED", "LOWEST LEVEL", "QUARANTINED", "ALARM")
	for _, r := range replies {
		s := r.status
		if r.err != nil {
			row(r.address, "-", "-", "no answer", "-", "-", "-", "-", "-", fault.From(r.err).Kind())
			continue
		}
		row(s.Name, s.FailureDomain, s.Generation, stateOf(s), s.Load.InFlight, s.Load.Limit, s.Load.Queued, lowest(s), s.Quarantined, s.Alarm)
	}
	row()
	row("DOMAIN", "GENERATION", "NODES")
	for _, d := range domains(replies) {
		row(d.name, d.generations(), d.nodes)
	}
	if c.Services {
		row()
		c.services(row, replies)
	}
	_ = w.Flush() // a closed pipe cannot be reported
}

func (c *status) services(row func(cells ...any), replies []reply) {
	for _, r := range replies {
		if r.err != nil {
			continue
		}
		row("SERVICE", "MEMBERS, as "+r.status.Name+" knows them")
		for _, s := range r.status.Services {
			var parts []string
			for state := mustardmast.Joining; state <= mustardmast.Left; state++ {
				if n := s.Members[state]; n > 0 {
					parts = append(parts, fmt.Sprintf("%d %s", n, operator.StateName(state)))
				}
			}
			row(s.Name, strings.Join(parts, ", "))
		}
		return
	}
}

func stateOf(s operator.Status) string {
	if s.Draining {
		return "draining"
	}
	return "serving"
}

// lowest names the priority and backer that the node sheds most.
func lowest(s operator.Status) string {
	if len(s.Levels) == 0 {
		return "-"
	}
	l := slices.MinFunc(s.Levels, func(a, b operator.LevelStatus) int { return int(a.Level) - int(b.Level) })
	return fmt.Sprintf("%d/%d %s %s", l.Level, mustardmast.FullLevel, l.Priority, l.Backer)
}

type domain struct {
	name            string
	lowest, highest uint64
	nodes           int
}

func (d domain) generations() string {
	if d.lowest == d.highest {
		return fmt.Sprint(d.lowest)
	}
	return fmt.Sprintf("%d to %d", d.lowest, d.highest)
}

// domains returns the generations in force per failure domain, sorted by name.
func domains(replies []reply) []domain {
	var out []domain
	for _, r := range replies {
		if r.err != nil {
			continue
		}
		g := r.status.Generation
		i := slices.IndexFunc(out, func(d domain) bool { return d.name == r.status.FailureDomain })
		if i < 0 {
			i = len(out)
			out = append(out, domain{name: r.status.FailureDomain, lowest: g, highest: g})
		}
		out[i].lowest, out[i].highest = min(out[i].lowest, g), max(out[i].highest, g)
		out[i].nodes++
	}
	slices.SortFunc(out, func(a, b domain) int { return strings.Compare(a.name, b.name) })
	return out
}

type drain struct {
	output
	Node string `long:"node" required:"yes" value-name:"ADDRESS" description:"admin address of the node whose target leaves"`
}

// Execute runs the command.
func (c *drain) Execute(args []string) error {
	if err := c.noMore(args); err != nil {
		return err
	}
	node, err := c.env.Node(c.Node)
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := c.context()
	defer cancel()
	s, err := node.Drain(ctx)
	if err != nil {
		return c.fail(err)
	}
	if c.json() {
		c.write(statusToWire([]reply{{address: c.Node, status: s}}))
		return nil
	}
	c.printf("%s is draining; %d calls in flight go on to their end\n", s.Name, s.Load.InFlight)
	return nil
}
