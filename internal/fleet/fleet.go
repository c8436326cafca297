// Package fleet runs many core/member views over an in-memory link in virtual time, for tests and for cmd/capacity.
//
// A step is one millisecond. Every node ticks each 100 ms at its own phase, and each datagram takes a random time
// within the link's latency. The link can lose and duplicate datagrams, reorders them by their latencies, and can be
// cut in one direction between any two nodes. Everything random comes from one seed.
package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"mustardmast"
	"mustardmast/core/member"
)

const (
	ring     = 256 // longest latency in steps
	tickStep = 100
	// rpcOverhead is the size of the HTTP/2 frames and headers of one call on a connection that is open.
	rpcOverhead = 300
	syncPage    = 8 << 10
)

// Link is how datagrams travel.
type Link struct {
	MinLatency, MaxLatency time.Duration // under 256 ms
	Loss, Duplicate        float64
	Cut                    func(from, to *Node) bool // nil cuts nothing
}

// Node is one node of the fleet.
type Node struct {
	*member.Members
	Index         int
	Member        mustardmast.Member
	Bucket        *member.TokenBucket
	Down          bool
	Paused        bool
	SentBytes     int // bytes, with headers of IP and UDP
	ReceivedBytes int
	SentPackets   int
}

type delivery struct {
	from, to netip.AddrPort
	packet   member.Packet
}

// Fleet is a set of nodes and the link between them.
type Fleet struct {
	Link        Link
	Nodes       []*Node
	Rand        *rand.Rand
	OnTick      func(n *Node, now time.Time)
	OnReceive   func(n *Node, now time.Time, p member.Packet, from mustardmast.NodeID)
	OnEvent     func(n *Node, now time.Time, c member.Change)
	DisableSync bool // views are not compared
	Rate        int  // control bytes per second and node; 0 takes the default
	Burst       int
	Drop        func(n *Node, s member.OutboundPacket) bool // takes datagrams out that a naive variant would not send

	now    time.Time
	byAddr map[netip.AddrPort]*Node
	slots  [ring][]delivery
	step   int
}

// New returns an empty fleet.
func New(seed uint64, l Link) *Fleet {
	return &Fleet{
		Link: l, Rand: rand.New(rand.NewPCG(seed, 1)),
		now: time.Unix(1_000_000, 0), byAddr: map[netip.AddrPort]*Node{},
	}
}

// NodeAt returns the node that runs at an address, or nil.
func (f *Fleet) NodeAt(a netip.AddrPort) *Node { return f.byAddr[a] }

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Add starts a node. A node that runs at the same address is stopped first.
func (f *Fleet) Add(m mustardmast.Member, seeds ...netip.AddrPort) *Node {
	if m.ID == 0 {
		m.ID = mustardmast.NodeID(f.Rand.Uint64() | 1)
	}
	b := member.NewTokenBucket(f.now, cmp.Or(f.Rate, member.DefaultRate), cmp.Or(f.Burst, member.DefaultBurst))
	n := &Node{
		Members: member.New(f.now, member.Settings{Self: m, Seeds: seeds, Bucket: b},
			rand.New(rand.NewPCG(f.Rand.Uint64(), 2))),
		Member: m, Bucket: b, Index: len(f.Nodes),
	}
	if old, ok := f.byAddr[m.Address]; ok {
		old.Down = true
		n.Index = old.Index
		f.Nodes[old.Index] = n
	} else {
		f.Nodes = append(f.Nodes, n)
	}
	f.byAddr[m.Address] = n
	return n
}

// Member returns the description of the i-th node of a fleet spread evenly over failure domains of two or three per
// region, with up to 580 services.
func Member(i, domains int) mustardmast.Member {
	d := i % domains
	return mustardmast.Member{
		Name:          fmt.Sprintf("host-%04d", i),
		Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), byte(i >> 8), byte(i)}), 7411),
		FailureDomain: fmt.Sprintf("domain-%02d", d),
		Region:        fmt.Sprintf("region-%d", d*5/12),
		Service:       fmt.Sprintf("service-%03d", i*7%580),
		Slots:         100,
		State:         mustardmast.Ready,
	}
}

// PopulateViews tells every node about all others, as after a long quiet time.
func (f *Fleet) PopulateViews() {
	all := make([]member.Update, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		all = append(all, member.Update{Member: n.Self(), Started: uint64(f.now.UnixMilli())})
	}
	for _, n := range f.Nodes {
		n.Merge(f.now, all)
	}
}

// Run lets virtual time pass.
func (f *Fleet) Run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Millisecond)
		f.step++
		slot := &f.slots[f.step%ring]
		due := *slot
		*slot = nil
		for _, p := range due {
			f.deliver(p)
		}
		for i := f.step % tickStep; i < len(f.Nodes); i += tickStep {
			n := f.Nodes[i]
			if n.Down || n.Paused {
				continue
			}
			f.Apply(n, n.Tick(f.now))
			if f.OnTick != nil {
				f.OnTick(n, f.now)
			}
		}
	}
}

// RunUntil lets time pass until done holds, looked at every 100 ms, and returns how long that took.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := f.now
	for f.now.Sub(start) < limit {
		if done() {
			return f.now.Sub(start), true
		}
		f.Run(100 * time.Millisecond)
	}
	return limit, done()
}

func (f *Fleet) deliver(d delivery) {
	to, ok := f.byAddr[d.to]
	if !ok || to.Down || to.Paused {
		return
	}
	size := d.packet.Size()
	to.ReceivedBytes += size + member.UDPOverhead
	f.Apply(to, to.Receive(f.now, d.from, d.packet, size))
	if f.OnReceive != nil {
		f.OnReceive(to, f.now, d.packet, d.packet.From)
	}
}

// Apply carries out what an event of node n asked for.
func (f *Fleet) Apply(n *Node, out member.Output) {
	for _, s := range out.Packets {
		if f.Drop != nil && f.Drop(n, s) {
			continue
		}
		n.SentBytes += s.Packet.Size() + member.UDPOverhead
		n.SentPackets++
		f.send(n, s)
	}
	if f.OnEvent != nil {
		for _, c := range out.Changes {
			f.OnEvent(n, f.now, c)
		}
	}
	if len(out.SyncPeers) > 0 && !f.DisableSync {
		f.sync(n, out.SyncPeers[f.Rand.IntN(len(out.SyncPeers))])
	}
}

func (f *Fleet) send(n *Node, s member.OutboundPacket) {
	to, ok := f.byAddr[s.To]
	if !ok || f.Link.Cut != nil && f.Link.Cut(n, to) {
		return
	}
	copies := 1
	if f.Rand.Float64() < f.Link.Duplicate {
		copies = 2
	}
	for range copies {
		if f.Rand.Float64() < f.Link.Loss {
			continue
		}
		wait := f.Link.MinLatency
		if spread := f.Link.MaxLatency - f.Link.MinLatency; spread > 0 {
			wait += time.Duration(f.Rand.Int64N(int64(spread)))
		}
		at := (f.step + max(1, min(int(wait/time.Millisecond), ring-1))) % ring
		f.slots[at] = append(f.slots[at], delivery{from: n.Member.Address, to: s.To, packet: s.Packet})
	}
}

// sync asks a member for the records that differ, page by page while both budgets allow.
func (f *Fleet) sync(n *Node, with mustardmast.Member) {
	to, ok := f.byAddr[with.Address]
	if !ok || to.Down || to.Paused || f.Link.Cut != nil && (f.Link.Cut(n, to) || f.Link.Cut(to, n)) {
		return
	}
	ask := member.SyncRequest{
		Services: []string{n.Member.Service}, Domain: n.Member.FailureDomain, Hashes: n.Hashes(), MaxBytes: syncPage,
	}
	for {
		cost := 4*member.HashBuckets + rpcOverhead
		own, refused := n.Bucket.Level(f.now) < cost+syncPage, to.Bucket.Level(f.now) < 0
		if own || refused {
			n.SyncInterrupted(f.now, !own)
			return
		}
		updates, next := to.Page(ask)
		for _, u := range updates {
			cost += u.Size()
		}
		n.Bucket.Charge(f.now, cost)
		to.Bucket.Charge(f.now, cost)
		n.ReceivedBytes += cost
		to.SentBytes += cost
		f.Apply(n, n.Merge(f.now, updates))
		if next == 0 {
			return
		}
		ask.Cursor = next
	}
}

// CountSeeing counts the live nodes that see member id in one of the given states.
func (f *Fleet) CountSeeing(id mustardmast.NodeID, states ...mustardmast.MemberState) int {
	count := 0
	for _, n := range f.Nodes {
		if n.Down {
			continue
		}
		m, ok := n.Find(id)
		for _, s := range states {
			if ok && m.State == s {
				count++
				break
			}
		}
	}
	return count
}
