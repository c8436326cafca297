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
	domains    = 12
	editBytes  = 300  // one operator's change to one service
	rpcBytes   = 1000 // frames and headers of one call on a new connection to a random member
	pullTrip   = 40 * time.Millisecond
	secondsDay = 86400
)

var wan = fleet.Link{MinLatency: time.Millisecond, MaxLatency: 40 * time.Millisecond, Loss: 0.001}

// world is a fleet whose nodes also spread a configuration.
type world struct {
	*fleet.Fleet
	spreads map[*fleet.Node]*dissemination.Disseminator
	have    map[*fleet.Node]uint64
	pulls   []pull
	count   int
}

type pull struct {
	at   time.Time
	n    *fleet.Node
	from mustardmast.NodeID
}

// newWorld returns n nodes that know each other. The service is part of the name: the lists by service would take
// memory in each of the n views without being used here, and the bytes on the wire are the same.
func newWorld(seed uint64, n int) *world {
	w := &world{
		Fleet:   fleet.New(seed, wan),
		spreads: map[*fleet.Node]*dissemination.Disseminator{}, have: map[*fleet.Node]uint64{},
	}
	for i := range n {
		w.add(memberOf(i))
	}
	w.PopulateViews()
	w.OnReceive = func(n *fleet.Node, now time.Time, p member.Packet, from mustardmast.NodeID) {
		w.spread(n, now, w.spreads[n].Learned(now, p.Generation, from))
	}
	w.OnTick = func(n *fleet.Node, now time.Time) { w.spread(n, now, w.spreads[n].Tick(now)) }
	return w
}

func memberOf(i int) mustardmast.Member {
	m := fleet.Member(i, domains)
	m.Name, m.Service = m.Name+"-"+m.Service, ""
	return m
}

func (w *world) add(m mustardmast.Member, seeds ...*fleet.Node) *fleet.Node {
	n := w.Add(m)
	for _, s := range seeds {
		n.SetSeeds([]netip.AddrPort{s.Member.Address})
	}
	w.spreads[n] = dissemination.New()
	return n
}

// restart replaces a node by a new incarnation at the same address, after the old one has drained and left.
func (w *world) restart(i int) *fleet.Node {
	old := w.Nodes[i]
	if !old.Down {
		w.Apply(old, old.Declare(w.Now(), mustardmast.Draining, "", 100))
		w.Apply(old, old.Declare(w.Now(), mustardmast.Left, "", 100))
	}
	m := old.Member
	m.ID, m.State = 0, mustardmast.Joining
	seed := w.Nodes[(i+7*domains+1)%len(w.Nodes)]
	n := w.add(m, seed)
	// A new node fetches the text before it takes part.
	w.have[n] = w.have[seed]
	w.spreads[n].Installed(w.Now(), w.have[n])
	n.SetConfig(w.have[n], 1)
	return n
}

func (w *world) spread(n *fleet.Node, now time.Time, out dissemination.Output) {
	if out.Pull != 0 {
		w.pulls = append(w.pulls, pull{at: now.Add(pullTrip), n: n, from: out.Pull})
	}
	if out.Notify > 0 {
		w.Apply(n, n.AnnounceConfig(now, out.Notify))
	}
}

// install puts a generation in force on a node.
func (w *world) install(n *fleet.Node, g uint64) {
	if g <= w.have[n] {
		return
	}
	w.have[n] = g
	n.SetConfig(g, 1)
	w.spread(n, w.Now(), w.spreads[n].Installed(w.Now(), g))
}

// run lets time pass and completes pulls.
func (w *world) run(d time.Duration) {
	for end := w.Now().Add(d); w.Now().Before(end); {
		w.Run(10 * time.Millisecond)
		due := w.pulls
		w.pulls = nil
		for _, p := range due {
			if w.Now().Before(p.at) {
				w.pulls = append(w.pulls, p)
			} else {
				w.complete(p)
			}
		}
	}
}

func (w *world) complete(p pull) {
	m, ok := p.n.Find(p.from)
	if from := w.NodeAt(m.Address); ok && from != nil && !from.Down && !p.n.Down {
		cost := rpcBytes + editBytes
		p.n.Bucket.Charge(w.Now(), cost)
		from.Bucket.Charge(w.Now(), cost)
		p.n.ReceivedBytes += cost
		from.SentBytes += cost
		w.install(p.n, w.have[from])
	}
	w.spread(p.n, w.Now(), w.spreads[p.n].Pulled(w.Now()))
}

// until lets time pass until done holds.
func (w *world) until(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := w.Now()
	for w.Now().Sub(start) < limit {
		if done() {
			return w.Now().Sub(start), true
		}
		w.run(100 * time.Millisecond)
	}
	return limit, done()
}

// traffic returns the bytes a node sent and received per second, on average and for the busiest node, during f.
func (w *world) traffic(f func()) (mean, most float64) {
	before := map[*fleet.Node]int{}
	for _, n := range w.Nodes {
		before[n] = n.SentBytes + n.ReceivedBytes
	}
	start := w.Now()
	f()
	seconds := w.Now().Sub(start).Seconds()
	for _, n := range w.Nodes {
		b := float64(n.SentBytes+n.ReceivedBytes-before[n]) / seconds
		mean += b / float64(len(w.Nodes))
		most = max(most, b)
	}
	return mean, most
}

// core returns the part of a core that one node takes during f, without sockets and codecs. The collector is off
// meanwhile: here it would walk the views of all nodes.
func (w *world) core(f func()) float64 {
	runtime.GC()
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	start, cpu := w.Now(), processorTime()
	f()
	return (processorTime() - cpu).Seconds() / w.Now().Sub(start).Seconds() / float64(len(w.Nodes))
}
