package dissemination_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/dissemination"
)

func init() { _ = flag.Set("rapid.seed", "20260104") }

var start = time.Unix(1_000_000, 0)

func ExampleDisseminator() {
	d := dissemination.New()
	fmt.Println("pull from", d.Learned(start, 7, 100).Pull)
	fmt.Println("notify", d.Installed(start, 7).Notify)
	// Output:
	// pull from 100
	// notify 4
}

func ExampleHistory() {
	h := dissemination.NewHistory()
	h.Put(1, "first", []byte(`{"slots": 100}`))
	h.Put(2, "second", []byte(`{"slots": 140}`))
	edits, _ := h.Since(1, "first")
	fmt.Printf("%d %d %s\n", edits[0].Offset, edits[0].Removed, edits[0].Inserted)
	// Output: 11 1 4
}

// network simulates a fleet of nodes on a network with latency and loss, in steps of a millisecond.
type network struct {
	rng           *rand.Rand
	nodes         []*dissemination.Disseminator
	installed     []uint64
	loss          float64
	schedule      [512][]func(now time.Time) // deliveries by step, as a ring
	step          int
	withoutNotify bool // baseline: no notifications
	pulls         int
}

func newNetwork(seed uint64, n int) *network {
	net := &network{rng: rand.New(rand.NewPCG(seed, 0)), installed: make([]uint64, n)}
	for range n {
		net.nodes = append(net.nodes, dissemination.New())
	}
	return net
}

func (n *network) now() time.Time { return start.Add(time.Duration(n.step) * time.Millisecond) }

func (n *network) after(oneWayTrips int, f func(now time.Time)) {
	wait := 0
	for range oneWayTrips {
		wait += 1 + n.rng.IntN(40)
	}
	at := (n.step + wait) % len(n.schedule)
	n.schedule[at] = append(n.schedule[at], f)
}

// sendGeneration sends the generation of node i to node j.
func (n *network) sendGeneration(i, j int) {
	g := n.installed[i]
	if g == 0 || n.rng.Float64() < n.loss {
		return
	}
	n.after(1, func(now time.Time) { n.perform(j, n.nodes[j].Learned(now, g, mustardmast.NodeID(i+1))) })
}

func (n *network) perform(i int, out dissemination.Output) {
	if out.Pull != 0 {
		n.pulls++
		from := int(out.Pull) - 1
		n.after(2, func(now time.Time) {
			if n.rng.Float64() >= n.loss {
				n.install(i, n.installed[from], now)
			}
			n.perform(i, n.nodes[i].Pulled(now, out.Pull))
		})
	}
	for range out.Notify {
		if !n.withoutNotify {
			n.sendGeneration(i, n.rng.IntN(len(n.nodes)))
		}
	}
}

func (n *network) install(i int, g uint64, now time.Time) {
	n.installed[i] = max(n.installed[i], g)
	n.perform(i, n.nodes[i].Installed(now, g))
}

// run steps until all nodes have generation g or the limit is reached. It returns the time taken.
func (n *network) run(limit time.Duration, g uint64) time.Duration {
	startStep := n.step
	for ; time.Duration(n.step-startStep)*time.Millisecond < limit; n.step++ {
		slot := &n.schedule[n.step%len(n.schedule)]
		due := *slot
		*slot = nil
		for _, f := range due {
			f(n.now())
		}
		missing := 0
		for i := n.step % 100; i < len(n.nodes); i += 100 {
			n.perform(i, n.nodes[i].Tick(n.now()))
		}
		for i := n.step % 1000; i < len(n.nodes); i += 1000 { // one ping and its ack per node and second
			j := n.rng.IntN(len(n.nodes))
			n.sendGeneration(i, j)
			n.sendGeneration(j, i)
		}
		for _, h := range n.installed {
			if h < g {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return time.Duration(n.step-startStep) * time.Millisecond
}

// Guards against a change that takes more than 8 s to reach 3,800 members, from the 24 watchers of 12 failure domains
// or from a single one, and against a check that also passes without notifications.
func TestDisseminationWithinEightSeconds(t *testing.T) {
	run := func(watchers int, loss float64, withoutNotify bool) time.Duration {
		net := newNetwork(1, 3800)
		net.loss, net.withoutNotify = loss, withoutNotify
		for i := range watchers {
			net.install(i*150, 1, net.now())
		}
		return net.run(30*time.Second, 1)
	}
	for _, c := range []struct {
		watchers int
		loss     float64
	}{{24, 0}, {1, 0}, {24, 0.1}, {1, 0.1}} {
		took := run(c.watchers, c.loss, false)
		t.Logf("%d watchers, loss %.2f: %v", c.watchers, c.loss, took)
		assert.Assert(t, took <= 8*time.Second)
	}
	naive := run(1, 0.1, true)
	t.Logf("1 watcher, loss 0.10, by pings only: %v", naive)
	assert.Assert(t, naive > 8*time.Second, "the baseline without notifications is fast enough: %v", naive)
}

// Guards against a change that is not in force for seconds, because the node pulls it through a cut from a member that it can
// hear and that can't hear it, although other members have it too.
func TestPullThatDoesNotEndDoesNotHoldOthers(t *testing.T) {
	d := dissemination.New()
	at := func(after time.Duration) time.Time { return start.Add(after) }
	assert.Equal(t, d.Learned(at(0), 2, 1).Pull, mustardmast.NodeID(1)) // does not end
	assert.Equal(t, d.Learned(at(100*time.Millisecond), 2, 2).Pull, mustardmast.NodeID(0))
	assert.Equal(t, d.Learned(at(200*time.Millisecond), 2, 1).Pull, mustardmast.NodeID(0))
	assert.Equal(t, d.Tick(at(400*time.Millisecond)).Pull, mustardmast.NodeID(0))
	assert.Equal(t, d.Tick(at(500*time.Millisecond)).Pull, mustardmast.NodeID(2)) // does not end either
	assert.Equal(t, d.Learned(at(1100*time.Millisecond), 2, 3).Pull, mustardmast.NodeID(3))
	d.Installed(at(1200*time.Millisecond), 2)
	for id := range mustardmast.NodeID(3) {
		assert.Equal(t, d.Pulled(at(5*time.Second), id+1).Pull, mustardmast.NodeID(0))
	}
	assert.Equal(t, d.Learned(at(6*time.Second), 3, 1).Pull, mustardmast.NodeID(1))
}

// Guards against a pull for each of many changes in quick succession.
func TestManyChangesAreCoalesced(t *testing.T) {
	net := newNetwork(2, 500)
	const changes = 50
	for g := range uint64(changes) {
		net.install(0, g+1, net.now())
		net.run(20*time.Millisecond, changes)
	}
	assert.Assert(t, net.run(8*time.Second, changes) <= 8*time.Second)
	// Without coalescing, each change would take one pull per node.
	assert.Assert(t, net.pulls < changes*len(net.nodes)/5, "%d pulls", net.pulls)
	t.Logf("%.1f pulls per node for %d changes", float64(net.pulls)/float64(len(net.nodes)), changes)
}

// Guards against edits that do not reproduce the text, and against edits that reach outside the text.
func TestEditsReproduceText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 30)
		h := dissemination.NewHistory()
		var texts [][]byte
		n := rapid.IntRange(1, 100).Draw(t, "texts")
		for g := range n {
			texts = append(texts, text.Draw(t, "text"))
			h.Put(uint64(g+1), "c", texts[g])
		}
		from := rapid.IntRange(1, n).Draw(t, "from")
		edits, ok := h.Since(uint64(from), "c")
		assert.Assert(t, ok == (from >= n-64))
		got := texts[from-1]
		for _, e := range edits {
			var err error
			got, err = e.Apply(got)
			assert.NilError(t, err)
		}
		assert.Assert(t, !ok || bytes.Equal(got, texts[n-1]))
		_, err := dissemination.Edit{Offset: rapid.Int().Draw(t, "offset"), Removed: rapid.IntMin(31).Draw(t, "removed")}.Apply(got)
		assert.Assert(t, err != nil)
	})
}

// Guards against more than two watchers per failure domain in steady state, and against none when a watcher leaves.
func TestWatchers(t *testing.T) {
	var members []mustardmast.Member
	watches := map[mustardmast.NodeID]*dissemination.WatchElection{}
	for i := range 40 {
		m := mustardmast.Member{ID: mustardmast.NodeID(i + 1), State: mustardmast.Ready}
		members = append(members, m)
		watches[m.ID] = &dissemination.WatchElection{}
	}
	countWatching := func(now time.Time) (count int) {
		for _, m := range members {
			if watches[m.ID].Decide(now, m.ID, members) {
				count++
			}
		}
		return count
	}
	assert.Equal(t, countWatching(start), 0, "an election result must hold before a node acts on it")
	assert.Equal(t, countWatching(start.Add(3*time.Second)), 2)
	removed := dissemination.ChooseWatchers(members, dissemination.WatchersPerDomain)[0]
	for i, m := range members {
		if m.ID == removed {
			members = append(members[:i:i], members[i+1:]...)
			break
		}
	}
	assert.Equal(t, countWatching(start.Add(4*time.Second)), 1)
	assert.Equal(t, countWatching(start.Add(8*time.Second)), 2)
}
