package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/member"
	"mustardmast/internal/fleet"
)

var lan = fleet.Link{MinLatency: time.Millisecond, MaxLatency: 20 * time.Millisecond}

func newFleet(seed uint64, n int) *fleet.Fleet {
	f := fleet.New(seed, lan)
	for i := range n {
		f.Add(fleet.Member(i, 4))
	}
	f.Acquaint()
	return f
}

// settled says whether all live nodes see all live nodes as ready.
func settled(f *fleet.Fleet) bool {
	live := 0
	for _, n := range f.Nodes {
		if !n.Down {
			live++
		}
	}
	for _, n := range f.Nodes {
		if !n.Down && f.Believe(n.Member.ID, mustardmast.Ready) != live {
			return false
		}
	}
	return true
}

// Guards against a live member that stays unreachable for ever, whatever the link did before.
func TestLiveMembersAreFoundAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 24).Draw(t, "nodes"))
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
			f.Run(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
		}
		for _, n := range f.Nodes {
			n.Paused = false
		}
		f.Link = lan
		took, ok := f.RunUntil(5*time.Minute, func() bool { return settled(f) })
		if !ok {
			dump(t, f)
		}
		assert.Assert(t, ok, "not settled after %v", took)
	})
}

func dump(t rapid.TB, f *fleet.Fleet) {
	for _, n := range f.Nodes {
		for _, o := range f.Nodes {
			if m, ok := n.Find(o.Member.ID); !ok || m.State != mustardmast.Ready {
				t.Logf("%s (%d members) sees %s: known %v, state %v", n.Member.Name, n.Len(), o.Member.Name, ok, m.State)
			}
		}
	}
}

var _ member.Kind
