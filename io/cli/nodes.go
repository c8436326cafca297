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

// maxConcurrentQueries is the maximum number of nodes that are queried concurrently.
const maxConcurrentQueries = 16

type statusReply struct {
	address string
	status  operator.Status
	err     error
}

// forEachNode calls f for every address, up to maxConcurrentQueries at a time, and waits for all calls.
func (o *commonOptions) forEachNode(addresses []string, f func(i int, c *operator.Client, err error)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for i, address := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c, err := o.env.Node(address)
			f(i, c, err)
		})
	}
	wg.Wait()
}

// queryStatus queries the status of all nodes and returns the replies in the order of the addresses.
func (o *commonOptions) queryStatus(ctx context.Context, addresses []string) []statusReply {
	replies := make([]statusReply, len(addresses))
	o.forEachNode(addresses, func(i int, c *operator.Client, err error) {
		replies[i] = statusReply{address: addresses[i], err: err}
		if err == nil {
			replies[i].status, replies[i].err = c.Status(ctx)
		}
	})
	return replies
}

type status struct {
	commonOptions
	nodeOptions
	Services bool `long:"services" description:"list the members of each service, as the first node that answers knows them"`
}

// Execute runs the command.
func (c *status) Execute(args []string) error {
	if err := c.rejectArgs(args); err != nil {
		return err
	}
	if len(c.Nodes) == 0 {
		return c.failUsage("no node to ask; give --node ADDRESS, once for each node")
	}
	ctx, cancel := c.context()
	defer cancel()
	replies := c.queryStatus(ctx, c.Nodes)
	missing := 0
	for _, r := range replies {
		if r.err != nil {
			missing++
		}
	}
	if c.json() {
		c.writeJSON(statusToWire(replies))
	} else {
		c.print(replies)
	}
	if missing > 0 {
		err := fault.Newf(fault.PeerUnreachable, "%d of %d nodes did not respond", missing, len(replies))
		c.notef("mustardmast: %v\n", err)
		return &exitError{code: ExitFailed, cause: err}
	}
	return nil
}

func (c *status) print(replies []statusReply) {
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
		row(s.Name, s.FailureDomain, s.Generation, stateText(s), s.Load.InFlight, s.Load.Limit, s.Load.Queued, lowestLevel(s), s.Quarantined, s.Alarm)
	}
	row()
	row("DOMAIN", "GENERATION", "NODES")
	for _, d := range domains(replies) {
		row(d.name, d.generations(), d.nodes)
	}
	if c.Services {
		row()
		c.printServices(row, replies)
	}
	_ = w.Flush() // an error, such as a closed pipe, cannot be reported
}

func (c *status) printServices(row func(cells ...any), replies []statusReply) {
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

func stateText(s operator.Status) string {
	if s.Draining {
		return "draining"
	}
	return "serving"
}

// lowestLevel describes the lowest admission level of a node, with its priority and backer.
func lowestLevel(s operator.Status) string {
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

// domains returns the range of generations in force per failure domain, sorted by name.
func domains(replies []statusReply) []domain {
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
	commonOptions
	Node string `long:"node" required:"yes" value-name:"ADDRESS" description:"admin address of the node whose target leaves"`
}

// Execute runs the command.
func (c *drain) Execute(args []string) error {
	if err := c.rejectArgs(args); err != nil {
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
		c.writeJSON(statusToWire([]statusReply{{address: c.Node, status: s}}))
		return nil
	}
	c.printf("%s is draining; %d calls in flight run to completion\n", s.Name, s.Load.InFlight)
	return nil
}
