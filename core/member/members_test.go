package member_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/member"
	"mustardmast/internal/fleet"
)

// A fixed seed makes CI runs reproducible. Use -rapid.seed=N to generate other sequences.
func init() { _ = flag.Set("rapid.seed", "20260104") }

var lan = fleet.Link{MinLatency: time.Millisecond, MaxLatency: 20 * time.Millisecond}

func newFleet(seed uint64, n, domains int) *fleet.Fleet {
	f := fleet.New(seed, lan)
	for i := range n {
		f.Add(fleet.Member(i, domains))
	}
	f.PopulateViews()
	return f
}

// converged reports whether all live nodes see all live nodes as ready.
func converged(f *fleet.Fleet) bool {
	live := 0
	for _, n := range f.Nodes {
		if !n.Down {
			live++
		}
	}
	for _, n := range f.Nodes {
		if !n.Down && f.CountSeeing(n.Member.ID, mustardmast.Ready) != live {
			return false
		}
	}
	return true
}

// neverProbeFaulty makes the nodes of a fleet send nothing to unreachable members, as plain SWIM does.
func neverProbeFaulty(f *fleet.Fleet) {
	f.DisableSync = true
	f.Drop = func(n *fleet.Node, s member.OutboundPacket) bool {
		m, ok := n.Find(s.Packet.To)
		return ok && m.State == mustardmast.Unreachable
	}
}

// Guards against a live member that stays unreachable forever after network faults, pauses or restarts.
func TestLiveMembersBecomeReadyAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 8).Draw(t, "nodes"), 4)
		f.Link.Loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		f.Link.Duplicate = rapid.Float64Range(0, 0.2).Draw(t, "duplicate")
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			n := f.Nodes[rapid.IntRange(0, len(f.Nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				n.Paused = true
			case 1:
				m := n.Member
				m.ID = 0
				f.Add(m, f.Nodes[0].Member.Address, f.Nodes[len(f.Nodes)-1].Member.Address)
			case 2:
				side := rapid.IntRange(1, 3).Draw(t, "domains on one side")
				f.Link.Cut = func(a, b *fleet.Node) bool { return (a.Index%4 < side) != (b.Index%4 < side) }
			case 3:
				f.Link.Cut = func(_, b *fleet.Node) bool { return b == n }
			}
			f.Run(time.Duration(rapid.IntRange(1, 25).Draw(t, "seconds")) * time.Second)
		}
		for _, n := range f.Nodes {
			n.Paused = false
		}
		f.Link = lan
		took, ok := f.RunUntil(5*time.Minute, func() bool { return converged(f) })
		assert.Assert(t, ok, "not converged after %v", took)
	})
}

// Guards against halves that never merge after a partition. No seeds are configured.
func TestHealedPartitionMerges(t *testing.T) {
	run := func(naive bool) (time.Duration, bool) {
		f := newFleet(3, 24, 4)
		if naive {
			neverProbeFaulty(f)
		}
		f.Link.Cut = func(a, b *fleet.Node) bool { return (a.Index%4 < 2) != (b.Index%4 < 2) }
		f.Run(3 * time.Minute)
		assert.Assert(t, f.CountSeeing(f.Nodes[0].Member.ID, mustardmast.Unreachable) == 12)
		f.Link = lan
		return f.RunUntil(2*time.Minute, func() bool { return converged(f) })
	}
	took, ok := run(false)
	assert.Assert(t, ok, "not merged after %v", took)
	t.Logf("merged after %v", took)
	_, ok = run(true)
	assert.Assert(t, !ok, "the naive variant merged, so this test shows nothing")
}

// Guards the bound of 3 s after which a draining target must get no new work.
func TestDrainingPropagatesWithinThreeSeconds(t *testing.T) {
	run := func(seed uint64, naive bool) time.Duration {
		f := newFleet(seed, 200, 12)
		f.Link.Loss = 0.02
		if naive {
			f.Drop = func(_ *fleet.Node, s member.OutboundPacket) bool { return s.Packet.Kind == member.Gossip }
		}
		f.Run(5 * time.Second)
		n := f.Nodes[7]
		f.Apply(n, n.Declare(f.Now(), mustardmast.Draining, n.Member.Service, 100))
		took, _ := f.RunUntil(30*time.Second, func() bool {
			return f.CountSeeing(n.Member.ID, mustardmast.Draining) == len(f.Nodes)
		})
		return took
	}
	for seed := range uint64(2) {
		assert.Assert(t, run(seed, false) <= 3*time.Second, "seed %d", seed)
	}
	naive := run(0, true)
	t.Logf("piggybacking only: %v", naive)
	assert.Assert(t, naive > 3*time.Second, "the naive variant is as fast: %v", naive)
}

// countSuspicions counts changes of members to suspect or unreachable.
func countSuspicions(f *fleet.Fleet, run func()) int {
	count := 0
	f.OnEvent = func(_ *fleet.Node, _ time.Time, c member.Change) {
		if c.Member.State == mustardmast.Suspect || c.Member.State == mustardmast.Unreachable {
			count++
		}
	}
	run()
	f.OnEvent = nil
	return count
}

// Guards against a node that receives nothing and therefore causes all other nodes to be suspected in turn.
func TestDeafNodeDoesNotMakeOthersFlap(t *testing.T) {
	f := newFleet(5, 40, 4)
	deaf := f.Nodes[9]
	f.Link.Cut = func(_, b *fleet.Node) bool { return b == deaf }
	others := 0
	f.OnEvent = func(n *fleet.Node, _ time.Time, c member.Change) {
		if n != deaf && c.Member.ID != deaf.Member.ID && c.Member.State == mustardmast.Suspect {
			others++
		}
	}
	f.Run(time.Minute)
	assert.Assert(t, others <= 3*len(f.Nodes), "%d suspicions of live members", others)

	// In the naive variant the deaf node gossips all its suspicions.
	f.OnEvent = nil
	g := newFleet(5, 40, 4)
	naive := countSuspicions(g, func() {
		for i := range 60 { // a minute, as above
			g.Run(time.Second)
			victim, to := g.Nodes[10+i%30], g.Nodes[i%9]
			m := victim.Self()
			g.Apply(to, to.Receive(g.Now(), g.Nodes[9].Member.Address, member.Packet{
				Kind: member.Gossip, From: g.Nodes[9].Member.ID, To: to.Member.ID, State: mustardmast.Ready,
				Updates: []member.Update{{Member: m, Liveness: member.Suspected, Brief: true}},
			}, 100))
		}
	})
	assert.Assert(t, naive > 10*others, "the naive variant causes no more suspicions: %d against %d", naive, others)
}

// Guards against a false suspicion when the link between two nodes works in one direction only.
func TestOneWayLinkCausesNoSuspicion(t *testing.T) {
	f := newFleet(6, 20, 4)
	a, b := f.Nodes[3], f.Nodes[8]
	f.Link.Cut = func(from, to *fleet.Node) bool { return from == a && to == b }
	assert.Equal(t, countSuspicions(f, func() { f.Run(5 * time.Minute) }), 0)
	// The naive variant sends no ping requests, so only the direct ping and its ack remain.
	f.Drop = func(_ *fleet.Node, s member.OutboundPacket) bool { return s.Packet.Kind == member.PingRequest }
	assert.Assert(t, countSuspicions(f, func() { f.Run(5 * time.Minute) }) > 0, "the naive variant causes no suspicions either")
}

// Guards the budget of control traffic when a whole failure domain fails. The naive variant has no budget.
func TestDomainFailureCostsBoundedBytes(t *testing.T) {
	const rate, burst, seconds = 350, 1500, 40
	run := func(rate, burst int) (maxBytes int) {
		f := fleet.New(9, lan)
		f.Rate, f.Burst, f.DisableSync = rate, burst, true
		for i := range 80 {
			f.Add(fleet.Member(i, 4))
		}
		f.PopulateViews()
		for i, n := range f.Nodes {
			n.Down = i%4 == 1
		}
		f.Run(seconds * time.Second)
		for _, n := range f.Nodes {
			maxBytes = max(maxBytes, n.SentBytes+n.ReceivedBytes)
		}
		f.Run(time.Minute)
		assert.Equal(t, f.CountSeeing(f.Nodes[1].Member.ID, mustardmast.Unreachable), 60)
		return maxBytes
	}
	const bound = rate*seconds + burst*2 // the burst, and one more burst of overdraft
	bounded, naive := run(rate, burst), run(1<<30, 1<<30)
	t.Logf("bytes of the busiest node: %d, without a budget %d, bound %d", bounded, naive, bound)
	assert.Assert(t, bounded <= bound && naive > bound)
}

// Guards against a process that resumes after a pause and suspects the members whose acks it missed meanwhile.
func TestPausedNodeSuspectsNoMember(t *testing.T) {
	f := newFleet(7, 20, 4)
	f.Run(10 * time.Second)
	n := f.Nodes[2]
	countByNode := func(run func()) int {
		count := 0
		f.OnEvent = func(o *fleet.Node, _ time.Time, c member.Change) {
			if o == n && c.Member.State == mustardmast.Suspect && c.Member.ID != n.Member.ID {
				count++
			}
		}
		run()
		f.OnEvent = nil
		return count
	}
	assert.Equal(t, countByNode(func() {
		n.Paused = true
		f.Run(time.Minute)
		n.Paused = false
		f.Run(20 * time.Second)
	}), 0)
	assert.Assert(t, converged(f))
	// The naive variant does not detect the pause, which is like a minute without any answers.
	f.Link.Cut = func(a, b *fleet.Node) bool { return a == n || b == n }
	assert.Assert(t, countByNode(func() { f.Run(time.Minute) }) > 0)
}

// Guards against long suspicions within a failure domain whose packets do not reach another domain. The other domain
// gossips suspicions of its members, and without an immediate ping these would last until the member is next probed.
func TestSuspicionInOwnDomainIsRefutedAtOnce(t *testing.T) {
	const maxSuspicion = 300 * time.Millisecond // two ticks and a round trip
	worst := time.Duration(0)
	for seed := range uint64(50) {
		f := newFleet(seed, 6, 2)
		f.Link.Cut = func(from, to *fleet.Node) bool { return from.Index%2 == 1 && to.Index%2 == 0 }
		since := map[[2]mustardmast.NodeID]time.Time{}
		suspicions := 0
		f.OnEvent = func(n *fleet.Node, now time.Time, c member.Change) {
			key := [2]mustardmast.NodeID{n.Member.ID, c.Member.ID}
			if n.Index%2 == 0 || c.Member.FailureDomain != n.Member.FailureDomain || n.Member.ID == c.Member.ID {
				return
			}
			began, suspected := since[key]
			switch {
			case c.Member.State != mustardmast.Ready && !suspected:
				suspicions++
				since[key] = now
			case c.Member.State == mustardmast.Ready && suspected:
				worst = max(worst, now.Sub(began))
				delete(since, key)
			}
		}
		f.Run(20 * time.Second)
		assert.Assert(t, suspicions > 0, "seed %d: no suspicion was gossiped, so nothing is tested", seed)
		for _, began := range since {
			worst = max(worst, f.Now().Sub(began))
		}
	}
	assert.Assert(t, worst <= maxSuspicion, "a member of the own domain was suspected for %v", worst)
}
