package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"mustardmast"
	"mustardmast/core/member"
	"mustardmast/internal/fleet"
)

// memory measures the heap size of one view. Each record gets its own copies of strings, as a codec creates them.
func memory(o options) []budgetResult {
	var perMember float64
	for _, n := range o.sizes {
		now := time.Unix(1_000_000, 0)
		before := liveHeapBytes()
		v := member.New(now, member.Settings{Self: fleet.Member(n, numDomains)}, rand.New(rand.NewPCG(o.seed, 1)))
		for i := range n {
			m := fleet.Member(i, numDomains)
			m.ID = mustardmast.NodeID(rand.Uint64())
			m.Service, m.Region = strings.Clone(m.Service), strings.Clone(m.Region)
			v.Merge(now, []member.Update{{Member: m}})
		}
		perMember = float64(liveHeapBytes()-before) / float64(n)
		fmt.Printf("%d members: %.0f bytes per member, %.2f MB\n", n, perMember, perMember*float64(n)/1e6)
		runtime.KeepAlive(v)
	}
	return []budgetResult{{"memory of the view at target size", 32, perMember * float64(o.targetSize()) / 1e6, "MB"}}
}

// ordinaryDay measures an ordinary day: 4,100 changes a day, and 1,400 restarts a day at the target size, in proportion
// for smaller sizes.
func ordinaryDay(o options) []budgetResult {
	var mean, busiest, coresPerNode float64
	for _, n := range o.sizes {
		sim := newSimulation(o.seed, n)
		sim.run(3 * time.Second)
		coresPerNode = sim.coresPerNode(func() { sim.run(10 * time.Second) })
		idle, _ := sim.traffic(func() { sim.run(20 * time.Second) })
		restarts := secondsPerDay * time.Second / time.Duration(1400*n/3800+1)
		changes := secondsPerDay * time.Second / time.Duration(4100)
		mean, busiest = sim.traffic(func() { sim.runWithChurn(2*time.Minute, restarts, changes) })
		fmt.Printf("%d nodes: idle %.0f B/s, ordinary day %.0f B/s, busiest node %.0f B/s, %.4f%% of a core\n",
			n, idle, mean, busiest, 100*coresPerNode)
	}
	return []budgetResult{
		{"control bytes of an ordinary day, mean over nodes", 5000, mean, "B/s"},
		{"control bytes of an ordinary day, busiest node in 2 min", 5000, busiest, "B/s"},
		{"core of membership and spreading, without sockets and codecs", 1.2, 100 * coresPerNode, "%"},
	}
}

// runWithChurn advances virtual time by d with restarts and changes at regular intervals. An interval of 0 disables
// them.
func (sim *simulation) runWithChurn(d, restarts, changes time.Duration) {
	start := sim.Now()
	nextRestart, nextChange := start.Add(restarts/2), start.Add(changes/2)
	var joining []*fleet.Node
	for sim.Now().Sub(start) < d {
		if restarts > 0 && !sim.Now().Before(nextRestart) {
			nextRestart = nextRestart.Add(restarts)
			joining = append(joining, sim.restart(sim.Rand.IntN(len(sim.Nodes))))
		}
		if changes > 0 && !sim.Now().Before(nextChange) {
			nextChange = nextChange.Add(changes)
			sim.publishChange()
		}
		sim.run(100 * time.Millisecond)
		for _, n := range joining {
			if m := n.Self(); m.State == mustardmast.Joining && n.Len() > 1 && !n.Down {
				sim.Apply(n, n.Declare(sim.Now(), mustardmast.Ready, "", 100))
			}
		}
	}
}

// publishChange installs a new generation on two nodes of each domain, which stand for those that watch the platform.
func (sim *simulation) publishChange() uint64 {
	sim.lastGeneration++
	for i := range min(2*numDomains, len(sim.Nodes)) {
		if n := sim.Nodes[i]; !n.Down {
			sim.install(n, uint64(sim.lastGeneration))
		}
	}
	return uint64(sim.lastGeneration)
}

// disseminationTime publishes a change and returns how long it takes to be in force on all live nodes.
func (sim *simulation) disseminationTime() time.Duration {
	g := sim.publishChange()
	took, _ := sim.runUntil(30*time.Second, func() bool {
		for _, n := range sim.Nodes {
			if !n.Down && sim.generations[n] < g {
				return false
			}
		}
		return true
	})
	return took
}

// visibleFraction returns the fraction of pairs of live nodes of which the first sees the second as ready or joining.
// The second node is one of a sample.
func (sim *simulation) visibleFraction(sample int) float64 {
	ok, all := 0, 0
	for i := range sample {
		o := sim.Nodes[i*len(sim.Nodes)/sample]
		if o.Down {
			continue
		}
		ok += sim.CountSeeing(o.Member.ID, mustardmast.Ready, mustardmast.Joining)
		for _, n := range sim.Nodes {
			if !n.Down {
				all++
			}
		}
	}
	return float64(ok) / float64(all)
}
