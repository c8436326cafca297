package main

import (
	"fmt"
	"time"

	"mustardmast"
	"mustardmast/internal/fleet"
)

// eachSize measures all sizes and returns the lines of the largest one.
func eachSize(o options, measure func(w *world) []line) (out []line) {
	for _, n := range o.sizes {
		w := newWorld(o.seed, n)
		w.run(3 * time.Second)
		out = measure(w)
		for i := range out {
			out[i].budget += fmt.Sprintf(" (%d nodes)", n)
		}
	}
	return out
}

// changes measures a change of the configuration, a draining member, and 1,000 restarts in an hour.
func changes(o options) []line {
	return eachSize(o, func(w *world) []line {
		var took time.Duration
		bytes, _ := w.traffic(func() { w.run(10 * time.Second) })
		with, _ := w.traffic(func() {
			took = w.spreadTime()
			w.run(10*time.Second - took)
		})
		drain := w.drainTime()
		n := len(w.Nodes)
		mean, most := w.traffic(func() { w.day(time.Minute, 3600*time.Millisecond*3800/time.Duration(n), 0) })
		fmt.Printf("%d nodes: change in force everywhere after %v, %.0f bytes per node; draining seen by all after %v; "+
			"1,000 restarts an hour in proportion: %.0f B/s, busiest %.0f B/s\n",
			n, took, 10*(with-bytes), drain, mean, most)
		return []line{
			{"time for a change to be in force everywhere", 8, took.Seconds(), "s"},
			{"time for draining to be seen everywhere", 3, drain.Seconds(), "s"},
			{"control bytes during 1,000 restarts an hour, mean over 1 min", 5000, mean, "B/s"},
		}
	})
}

// domain measures a lost failure domain that comes back, and partition one of regions that heals.
func domain(o options) []line    { return eachSize(o.upTo(o.mass), (*world).domainLoss) }
func partition(o options) []line { return eachSize(o.upTo(o.mass), (*world).regionPartition) }

func (w *world) drainTime() time.Duration {
	n := w.Nodes[len(w.Nodes)/2]
	w.Apply(n, n.Declare(w.Now(), mustardmast.Draining, "", 100))
	took, _ := w.until(20*time.Second, func() bool {
		live := 0
		for _, o := range w.Nodes {
			if !o.Down {
				live++
			}
		}
		return w.CountSeeing(n.Member.ID, mustardmast.Draining) >= live-w.ignorant()
	})
	w.Apply(n, n.Declare(w.Now(), mustardmast.Ready, "", 100))
	return took
}

// ignorant counts live nodes that are still filling their view.
func (w *world) ignorant() int {
	count := 0
	for _, n := range w.Nodes {
		if !n.Down && n.Len() < len(w.Nodes)*9/10 {
			count++
		}
	}
	return count
}

// domainLoss stops all nodes of one failure domain, and starts new ones two minutes later.
func (w *world) domainLoss() []line {
	var lost []*fleet.Node
	for i, n := range w.Nodes {
		if i%domains == 5 {
			n.Down = true
			lost = append(lost, n)
		}
	}
	gone := func() bool {
		for i := 0; i < len(lost); i += max(1, len(lost)/20) {
			if w.CountSeeing(lost[i].Member.ID, mustardmast.Ready, mustardmast.Joining, mustardmast.Suspect) > 0 {
				return false
			}
		}
		return true
	}
	var took time.Duration
	mean, most := w.traffic(func() {
		took, _ = w.until(3*time.Minute, gone)
		w.run(max(0, 2*time.Minute-took))
	})
	fmt.Printf("%d nodes: domain of %d lost: unreachable for all after %v, %.0f B/s over 2 min, busiest %.0f B/s\n",
		len(w.Nodes), len(lost), took, mean, most)
	for i := range w.Nodes {
		if i%domains == 5 {
			w.restart(i)
		}
	}
	var back time.Duration
	meanBack, mostBack := w.traffic(func() {
		back, _ = w.until(5*time.Minute, func() bool { return w.seen(40) > 0.9999 })
		w.run(max(0, 2*time.Minute-back))
	})
	fmt.Printf("  back as new incarnations: known to all after %v, %.0f B/s, busiest %.0f B/s\n",
		back, meanBack, mostBack)
	return []line{
		{"control bytes after the loss of a domain, mean over 2 min", 5000, mean, "B/s"},
		{"control bytes while a domain starts, mean over 2 min or until all know it", 5000, meanBack, "B/s"},
	}
}

// regionPartition cuts two of five regions off for two minutes, with the restarts of an hour, and heals.
func (w *world) regionPartition() []line {
	w.Link.Cut = func(a, b *fleet.Node) bool { return (a.Index%domains < 5) != (b.Index%domains < 5) }
	mean, most := w.traffic(func() {
		w.day(2*time.Minute, 2*time.Minute*3800/time.Duration(58*len(w.Nodes)), 0)
	})
	fmt.Printf("%d nodes: regions partitioned: %.0f B/s over 2 min, busiest %.0f B/s\n", len(w.Nodes), mean, most)
	w.Link.Cut = nil
	var most99, took time.Duration
	meanHeal, mostHeal := w.traffic(func() {
		most99, _ = w.until(5*time.Minute, func() bool { return w.seen(40) > 0.99 })
		took, _ = w.until(5*time.Minute, func() bool { return w.seen(40) > 0.9999 })
		took += most99
		w.run(max(0, 2*time.Minute-took))
	})
	fmt.Printf("  healed: 99%% of pairs after %v, 99.99%% after %v, %.0f B/s, busiest %.0f B/s; next change in force after %v\n",
		most99, took, meanHeal, mostHeal, w.spreadTime())
	return []line{
		{"control bytes during a partition between regions, mean over 2 min", 5000, mean, "B/s"},
		{"control bytes while a partition heals, mean over 2 min or until merged", 5000, meanHeal, "B/s"},
	}
}
