package main

import (
	"net/netip"
	"runtime"
	"runtime/debug"
	"time"

	"mustardmast"
	"mustardmast/core/dissemination"
	"mustardmast/core/member"
	"mustardmast/internal/fleet"
)

const (
	numDomains    = 12
	editBytes     = 300  // change of one service by an operator
	rpcBytes      = 1000 // frames and headers of a call on a new connection
	pullLatency   = 40 * time.Millisecond
	secondsPerDay = 86400
)

var wan = fleet.Link{MinLatency: time.Millisecond, MaxLatency: 40 * time.Millisecond, Loss: 0.001}

// simulation is a fleet whose nodes also distribute configurations.
type simulation struct {
	*fleet.Fleet
	disseminators  map[*fleet.Node]*dissemination.Disseminator
	generations    map[*fleet.Node]uint64
	pulls          []pull
	lastGeneration int
}

type pull struct {
	at   time.Time
	n    *fleet.Node
	from mustardmast.NodeID
}

// newSimulation returns a simulation of n nodes with complete views. The service is made a part of the member's name:
// an index by service would take memory in each of the n views without being used here, and the bytes on the wire are
// the same.
func newSimulation(seed uint64, n int) *simulation {
	sim := &simulation{
		Fleet:         fleet.New(seed, wan),
		disseminators: map[*fleet.Node]*dissemination.Disseminator{}, generations: map[*fleet.Node]uint64{},
	}
	for i := range n {
		sim.add(memberOf(i))
	}
	sim.PopulateViews()
	sim.OnReceive = func(n *fleet.Node, now time.Time, p member.Packet, from mustardmast.NodeID) {
		sim.applyOutput(n, now, sim.disseminators[n].Learned(now, p.Generation, from))
	}
	sim.OnTick = func(n *fleet.Node, now time.Time) { sim.applyOutput(n, now, sim.disseminators[n].Tick(now)) }
	return sim
}

func memberOf(i int) mustardmast.Member {
	m := fleet.Member(i, numDomains)
	m.Name, m.Service = m.Name+"-"+m.Service, ""
	return m
}

func (sim *simulation) add(m mustardmast.Member, seeds ...*fleet.Node) *fleet.Node {
	n := sim.Add(m)
	for _, s := range seeds {
		n.SetSeeds([]netip.AddrPort{s.Member.Address})
	}
	sim.disseminators[n] = dissemination.New()
	return n
}

// restart replaces a node by a new incarnation at the same address. A live node first announces that it drains and
// leaves.
func (sim *simulation) restart(i int) *fleet.Node {
	old := sim.Nodes[i]
	if !old.Down {
		sim.Apply(old, old.Declare(sim.Now(), mustardmast.Draining, "", 100))
		sim.Apply(old, old.Declare(sim.Now(), mustardmast.Left, "", 100))
	}
	m := old.Member
	m.ID, m.State = 0, mustardmast.Joining
	seed := sim.Nodes[(i+7*numDomains+1)%len(sim.Nodes)]
	n := sim.add(m, seed)
	// A new node fetches the configuration before it takes part.
	sim.generations[n] = sim.generations[seed]
	sim.disseminators[n].Installed(sim.Now(), sim.generations[n])
	n.SetConfig(sim.generations[n], 1)
	return n
}

func (sim *simulation) applyOutput(n *fleet.Node, now time.Time, out dissemination.Output) {
	if out.Pull != 0 {
		sim.pulls = append(sim.pulls, pull{at: now.Add(pullLatency), n: n, from: out.Pull})
	}
	if out.Notify > 0 {
		sim.Apply(n, n.AnnounceConfig(now, out.Notify))
	}
}

// install puts a generation in force on a node unless it already has it or a newer one.
func (sim *simulation) install(n *fleet.Node, g uint64) {
	if g <= sim.generations[n] {
		return
	}
	sim.generations[n] = g
	n.SetConfig(g, 1)
	sim.applyOutput(n, sim.Now(), sim.disseminators[n].Installed(sim.Now(), g))
}

// run advances virtual time and completes the pulls of configurations that are due.
func (sim *simulation) run(d time.Duration) {
	for end := sim.Now().Add(d); sim.Now().Before(end); {
		sim.Run(10 * time.Millisecond)
		due := sim.pulls
		sim.pulls = nil
		for _, p := range due {
			if sim.Now().Before(p.at) {
				sim.pulls = append(sim.pulls, p)
			} else {
				sim.completePull(p)
			}
		}
	}
}

func (sim *simulation) completePull(p pull) {
	m, ok := p.n.Find(p.from)
	if from := sim.NodeAt(m.Address); ok && from != nil && !from.Down && !p.n.Down {
		cost := rpcBytes + editBytes
		p.n.Bucket.Charge(sim.Now(), cost)
		from.Bucket.Charge(sim.Now(), cost)
		p.n.ReceivedBytes += cost
		from.SentBytes += cost
		sim.install(p.n, sim.generations[from])
	}
	sim.applyOutput(p.n, sim.Now(), sim.disseminators[p.n].Pulled(sim.Now(), p.from))
}

// runUntil advances virtual time until done, which is checked every 100 ms, returns true or the limit is reached. It
// returns the elapsed time and the last result of done.
func (sim *simulation) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := sim.Now()
	for sim.Now().Sub(start) < limit {
		if done() {
			return sim.Now().Sub(start), true
		}
		sim.run(100 * time.Millisecond)
	}
	return limit, done()
}

// traffic returns the bytes per second that a node sent and received during f, as the mean over all nodes and for the
// busiest node.
func (sim *simulation) traffic(f func()) (mean, busiest float64) {
	before := map[*fleet.Node]int{}
	for _, n := range sim.Nodes {
		before[n] = n.SentBytes + n.ReceivedBytes
	}
	start := sim.Now()
	f()
	seconds := sim.Now().Sub(start).Seconds()
	for _, n := range sim.Nodes {
		b := float64(n.SentBytes+n.ReceivedBytes-before[n]) / seconds
		mean += b / float64(len(sim.Nodes))
		busiest = max(busiest, b)
	}
	return mean, busiest
}

// coresPerNode returns the CPU cores that one node uses on average during f, without sockets and codecs. The garbage
// collector is off meanwhile, because in this process it would scan the views of all nodes.
func (sim *simulation) coresPerNode(f func()) float64 {
	runtime.GC()
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	start, cpu := sim.Now(), cpuTime()
	f()
	return (cpuTime() - cpu).Seconds() / sim.Now().Sub(start).Seconds() / float64(len(sim.Nodes))
}
