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

// memory measures the heap that one view takes, with the strings of each record of its own as a codec makes them.
func memory(o options) []line {
	var perMember float64
	for _, n := range o.sizes {
		now := time.Unix(1_000_000, 0)
		before := heap()
		v := member.New(now, member.Settings{Self: fleet.Member(n, domains)}, rand.New(rand.NewPCG(o.seed, 1)))
		for i := range n {
			m := fleet.Member(i, domains)
			m.ID = mustardmast.NodeID(rand.Uint64())
			m.Service, m.Region = strings.Clone(m.Service), strings.Clone(m.Region)
			v.Merge(now, []member.Update{{Member: m}})
		}
		perMember = float64(heap()-before) / float64(n)
		fmt.Printf("%d members: %.0f bytes per member, %.2f MB\n", n, perMember, perMember*float64(n)/1e6)
		runtime.KeepAlive(v)
	}
	return []line{{"memory of the view at target size", 32, perMember * float64(o.target()) / 1e6, "MB"}}
}

// quiet measures an ordinary day: 1,400 restarts and 4,100 changes a day at target size, in proportion below.
func quiet(o options) []line {
	var mean, most, core float64
	for _, n := range o.sizes {
		w := newWorld(o.seed, n)
		w.run(3 * time.Second)
		core = w.core(func() { w.run(10 * time.Second) })
		idle, _ := w.traffic(func() { w.run(20 * time.Second) })
		restarts := secondsDay * time.Second / time.Duration(1400*n/3800+1)
		changes := secondsDay * time.Second / time.Duration(4100)
		mean, most = w.traffic(func() { w.day(2*time.Minute, restarts, changes) })
		fmt.Printf("%d nodes: idle %.0f B/s, ordinary day %.0f B/s, busiest node %.0f B/s, %.4f%% of a core\n",
			n, idle, mean, most, 100*core)
	}
	return []line{
		{"control bytes of an ordinary day, mean over nodes", 5000, mean, "B/s"},
		{"control bytes of an ordinary day, busiest node in 2 min", 5000, most, "B/s"},
		{"core of membership and spreading, without sockets and codecs", 1.2, 100 * core, "%"},
	}
}

// day lets time pass with restarts and changes at regular intervals.
func (w *world) day(d, restarts, changes time.Duration) {
	start := w.Now()
	nextRestart, nextChange := start.Add(restarts/2), start.Add(changes/2)
	var fresh []*fleet.Node
	for w.Now().Sub(start) < d {
		if restarts > 0 && !w.Now().Before(nextRestart) {
			nextRestart = nextRestart.Add(restarts)
			fresh = append(fresh, w.restart(w.Rand.IntN(len(w.Nodes))))
		}
		if changes > 0 && !w.Now().Before(nextChange) {
			nextChange = nextChange.Add(changes)
			w.change()
		}
		w.run(100 * time.Millisecond)
		for _, n := range fresh {
			if m := n.Self(); m.State == mustardmast.Joining && n.Len() > 1 && !n.Down {
				w.Apply(n, n.Declare(w.Now(), mustardmast.Ready, "", 100))
			}
		}
	}
}

// change gives a new generation to two watchers in each domain.
func (w *world) change() uint64 {
	w.count++
	for i := range min(2*domains, len(w.Nodes)) {
		if n := w.Nodes[i]; !n.Down {
			w.install(n, uint64(w.count))
		}
	}
	return uint64(w.count)
}

// spreadTime returns how long a change takes to be in force on all live nodes.
func (w *world) spreadTime() time.Duration {
	g := w.change()
	took, _ := w.until(30*time.Second, func() bool {
		for _, n := range w.Nodes {
			if !n.Down && w.have[n] < g {
				return false
			}
		}
		return true
	})
	return took
}

// seen returns the part of live pairs of which the first sees the second as ready, over a sample of the second.
func (w *world) seen(sample int) float64 {
	ok, all := 0, 0
	for i := range sample {
		o := w.Nodes[i*len(w.Nodes)/sample]
		if o.Down {
			continue
		}
		ok += w.CountSeeing(o.Member.ID, mustardmast.Ready, mustardmast.Joining)
		for _, n := range w.Nodes {
			if !n.Down {
				all++
			}
		}
	}
	return float64(ok) / float64(all)
}
