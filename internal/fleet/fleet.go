// Package fleet simulates the membership protocol of many nodes (core/member) over an in-memory network in virtual
// time, for tests and for cmd/capacity.
//
// A step is one millisecond. Every node ticks each 100 ms at its own phase, and each datagram is delayed by a random
// time within the link's latency. The link can lose and duplicate datagrams, reorders them by their latencies, and can
// be cut in one direction between any two nodes. All random numbers are derived from one seed.
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
	ringSize  = 256 // delivery slots, one for each step; latencies are shorter
	tickSteps = 100
	// rpcOverhead is the size of the HTTP/2 frames and headers of one call on an open connection, in bytes.
	rpcOverhead   = 300
	syncPageBytes = 8 << 10
)

// Link describes how the network delivers datagrams. Loss and Duplicate are fractions of the datagrams.
type Link struct {
	MinLatency, MaxLatency time.Duration // less than 256 ms
	Loss, Duplicate        float64
	Cut                    func(from, to *Node) bool // nil cuts nothing
}

// Node is a node of the fleet.
type Node struct {
	*member.Members
	Index         int
	Member        mustardmast.Member
	Bucket        *member.TokenBucket
	Down          bool
	Paused        bool
	SentBytes     int // including IP and UDP headers
	ReceivedBytes int
	SentPackets   int
}

type delivery struct {
	from, to netip.AddrPort
	packet   member.Packet
}

// Fleet is a set of nodes and the network between them. It must not be used concurrently.
type Fleet struct {
	Link        Link
	Nodes       []*Node
	Rand        *rand.Rand
	OnTick      func(n *Node, now time.Time)
	OnReceive   func(n *Node, now time.Time, p member.Packet, from mustardmast.NodeID)
	OnEvent     func(n *Node, now time.Time, c member.Change)
	DisableSync bool // no anti-entropy exchanges
	Rate        int  // control bytes per second and node; 0 selects the default
	Burst       int
	Drop        func(n *Node, s member.OutboundPacket) bool // reports whether to drop a datagram before it is sent, for naive variants

	now    time.Time
	byAddr map[netip.AddrPort]*Node
	slots  [ringSize][]delivery
	step   int
}

// New returns an empty fleet.
func New(seed uint64, l Link) *Fleet {
	return &Fleet{
		Link: l, Rand: rand.New(rand.NewPCG(seed, 1)),
		now: time.Unix(1_000_000, 0), byAddr: map[netip.AddrPort]*Node{},
	}
}

// NodeAt returns the node at an address, or nil.
func (f *Fleet) NodeAt(a netip.AddrPort) *Node { return f.byAddr[a] }

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Add starts a node. If there is a node at the same address, that one is stopped and replaced.
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

// Member returns the description of the i-th node of a fleet. Nodes are spread evenly over failure domains, of which
// two or three form a region, and over up to 580 services.
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

// PopulateViews adds all nodes to the view of every node, as after a long time without changes.
func (f *Fleet) PopulateViews() {
	all := make([]member.Update, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		all = append(all, member.Update{Member: n.Self(), Started: uint64(f.now.UnixMilli())})
	}
	for _, n := range f.Nodes {
		n.Merge(f.now, all)
	}
}

// Run advances virtual time by d.
func (f *Fleet) Run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Millisecond)
		f.step++
		slot := &f.slots[f.step%ringSize]
		due := *slot
		*slot = nil
		for _, p := range due {
			f.deliver(p)
		}
		for i := f.step % tickSteps; i < len(f.Nodes); i += tickSteps {
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

// RunUntil advances virtual time until done, which is checked every 100 ms, returns true or the limit is reached. It
// returns the elapsed time and the last result of done.
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

// Apply sends the packets, reports the changes and starts the anti-entropy exchange that an event of node n resulted
// in.
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
		if jitter := f.Link.MaxLatency - f.Link.MinLatency; jitter > 0 {
			wait += time.Duration(f.Rand.Int64N(int64(jitter)))
		}
		at := (f.step + max(1, min(int(wait/time.Millisecond), ringSize-1))) % ringSize
		f.slots[at] = append(f.slots[at], delivery{from: n.Member.Address, to: s.To, packet: s.Packet})
	}
}

// sync fetches from a member the records that differ, page by page as long as the token buckets of both nodes allow it.
func (f *Fleet) sync(n *Node, with mustardmast.Member) {
	to, ok := f.byAddr[with.Address]
	if !ok || to.Down || to.Paused || f.Link.Cut != nil && (f.Link.Cut(n, to) || f.Link.Cut(to, n)) {
		return
	}
	request := member.SyncRequest{
		Services: []string{n.Member.Service}, Domain: n.Member.FailureDomain, Hashes: n.Hashes(), MaxBytes: syncPageBytes,
	}
	for {
		cost := 4*member.HashBuckets + rpcOverhead
		selfExhausted, peerExhausted := n.Bucket.Level(f.now) < cost+syncPageBytes, to.Bucket.Level(f.now) < 0
		if selfExhausted || peerExhausted {
			n.SyncInterrupted(f.now, !selfExhausted)
			return
		}
		updates, next := to.Page(request)
		for _, u := range updates {
			cost += u.Size()
		}
		n.Bucket.Charge(f.now, cost)
		to.Bucket.Charge(f.now, cost)
		n.ReceivedBytes += cost
		to.SentBytes += cost
		f.Apply(n, n.Merge(f.now, updates))
		if next == 0 {
			n.SyncCompleted()
			return
		}
		request.Cursor = next
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
