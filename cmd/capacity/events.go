package main

import (
	"fmt"
	"time"

	"mustardmast"
	"mustardmast/internal/fleet"
)

// eachSize runs a measurement for all sizes and returns the results for the largest one.
func eachSize(o options, measure func(sim *simulation) []budgetResult) (out []budgetResult) {
	for _, n := range o.sizes {
		sim := newSimulation(o.seed, n)
		sim.run(3 * time.Second)
		out = measure(sim)
		for i := range out {
			out[i].budget += fmt.Sprintf(" (%d nodes)", n)
		}
	}
	return out
}

// changes measures a change of the configuration, a draining member, and 1,000 restarts in an hour at the target size,
// in proportion for smaller sizes.
func changes(o options) []budgetResult {
	return eachSize(o, func(sim *simulation) []budgetResult {
		var took time.Duration
		idle, _ := sim.traffic(func() { sim.run(10 * time.Second) })
		changing, _ := sim.traffic(func() {
			took = sim.disseminationTime()
			sim.run(10*time.Second - took)
		})
		drain := sim.drainVisibleTime()
		n := len(sim.Nodes)
		mean, busiest := sim.traffic(func() { sim.runWithChurn(time.Minute, 3600*time.Millisecond*3800/time.Duration(n), 0) })
		fmt.Printf("%d nodes: change in force everywhere after %v, %.0f bytes per node; draining seen by all after %v; "+
			"1,000 restarts an hour in proportion: %.0f B/s, busiest %.0f B/s\n",
			n, took, 10*(changing-idle), drain, mean, busiest)
		return []budgetResult{
			{"time for a change to be in force everywhere", 8, took.Seconds(), "s"},
			{"time for draining to be seen everywhere", 3, drain.Seconds(), "s"},
			{"control bytes during 1,000 restarts an hour, mean over 1 min", 5000, mean, "B/s"},
		}
	})
}

// domain measures the loss of a failure domain and its return; partition measures a partition between regions that
// heals.
func domain(o options) []budgetResult {
	return eachSize(o.withMaxSize(o.maxMassEventSize), (*simulation).domainLoss)
}
func partition(o options) []budgetResult {
	return eachSize(o.withMaxSize(o.maxMassEventSize), (*simulation).regionPartition)
}

func (sim *simulation) drainVisibleTime() time.Duration {
	draining := sim.Nodes[len(sim.Nodes)/2]
	sim.Apply(draining, draining.Declare(sim.Now(), mustardmast.Draining, "", 100))
	took, _ := sim.runUntil(20*time.Second, func() bool {
		live := 0
		for _, o := range sim.Nodes {
			if !o.Down {
				live++
			}
		}
		return sim.CountSeeing(draining.Member.ID, mustardmast.Draining) >= live-sim.incompleteViews()
	})
	sim.Apply(draining, draining.Declare(sim.Now(), mustardmast.Ready, "", 100))
	return took
}

// incompleteViews counts live nodes whose view is still incomplete.
func (sim *simulation) incompleteViews() int {
	count := 0
	for _, n := range sim.Nodes {
		if !n.Down && n.Len() < len(sim.Nodes)*9/10 {
			count++
		}
	}
	return count
}

// domainLoss stops all nodes of a failure domain, and starts new incarnations two minutes later.
func (sim *simulation) domainLoss() []budgetResult {
	var lost []*fleet.Node
	for i, n := range sim.Nodes {
		if i%numDomains == 5 {
			n.Down = true
			lost = append(lost, n)
		}
	}
	unreachable := func() bool {
		for i := 0; i < len(lost); i += max(1, len(lost)/20) {
			if sim.CountSeeing(lost[i].Member.ID, mustardmast.Ready, mustardmast.Joining, mustardmast.Suspect) > 0 {
				return false
			}
		}
		return true
	}
	var took time.Duration
	mean, busiest := sim.traffic(func() {
		took, _ = sim.runUntil(3*time.Minute, unreachable)
		sim.run(max(0, 2*time.Minute-took))
	})
	fmt.Printf("%d nodes: domain of %d lost: unreachable for all after %v, %.0f B/s over 2 min, busiest %.0f B/s\n",
		len(sim.Nodes), len(lost), took, mean, busiest)
	for i := range sim.Nodes {
		if i%numDomains == 5 {
			sim.restart(i)
		}
	}
	var restartTook time.Duration
	meanRestart, busiestRestart := sim.traffic(func() {
		restartTook, _ = sim.runUntil(5*time.Minute, func() bool { return sim.visibleFraction(40) > 0.9999 })
		sim.run(max(0, 2*time.Minute-restartTook))
	})
	fmt.Printf("  back as new incarnations: known to all after %v, %.0f B/s, busiest %.0f B/s\n",
		restartTook, meanRestart, busiestRestart)
	return []budgetResult{
		{"control bytes after the loss of a domain, mean over 2 min", 5000, mean, "B/s"},
		{"control bytes while a domain starts, mean over 2 min or until all know it", 5000, meanRestart, "B/s"},
	}
}

// regionPartition separates two of the five regions from the others for two minutes, in which nodes restart at the
// usual rate of an hour, and then heals the partition.
func (sim *simulation) regionPartition() []budgetResult {
	sim.Link.Cut = func(a, b *fleet.Node) bool { return (a.Index%numDomains < 5) != (b.Index%numDomains < 5) }
	mean, busiest := sim.traffic(func() {
		sim.runWithChurn(2*time.Minute, 2*time.Minute*3800/time.Duration(58*len(sim.Nodes)), 0)
	})
	fmt.Printf("%d nodes: regions partitioned: %.0f B/s over 2 min, busiest %.0f B/s\n", len(sim.Nodes), mean, busiest)
	sim.Link.Cut = nil
	var took99, took time.Duration
	meanHeal, busiestHeal := sim.traffic(func() {
		took99, _ = sim.runUntil(5*time.Minute, func() bool { return sim.visibleFraction(40) > 0.99 })
		took, _ = sim.runUntil(5*time.Minute, func() bool { return sim.visibleFraction(40) > 0.9999 })
		took += took99
		sim.run(max(0, 2*time.Minute-took))
	})
	fmt.Printf("  healed: 99%% of pairs after %v, 99.99%% after %v, %.0f B/s, busiest %.0f B/s; next change in force after %v\n",
		took99, took, meanHeal, busiestHeal, sim.disseminationTime())
	return []budgetResult{
		{"control bytes during a partition between regions, mean over 2 min", 5000, mean, "B/s"},
		{"control bytes while a partition heals, mean over 2 min or until merged", 5000, meanHeal, "B/s"},
	}
}
