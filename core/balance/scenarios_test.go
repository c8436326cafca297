package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/balance"
	"mustardmast/core/fault"
)

// injectColdTarget adds a seventh target at faultAt that is five times slower at first and speeds up as it warms up.
func injectColdTarget(s *sim, _ *rand.Rand) {
	s.targets[6].slowdown = func(t time.Duration) float64 { return 1 + 4*math.Exp(-(t-faultAt).Seconds()/2) }
	s.at(faultAt, func() { s.candidates = members(7, "a") })
}

// Guards against a new target that gets its full share of calls while it is cold.
func TestSlowStartOfColdTarget(t *testing.T) {
	l := generateArrivals(*firstSeed, 6, *simCallers, 0.6, meanServiceTime, runLength)
	sc := scenario{domains: []string{"a"}, inject: injectColdTarget}
	with := runSimulation("balancer", sc, l, *firstSeed)
	adjustSettings = func(s *balance.Settings) { s.SlowStart = time.Nanosecond }
	without := runSimulation("balancer", sc, l, *firstSeed)
	adjustSettings = nil
	p99 := func(s *sim) time.Duration { return s.quantile(0.99, faultAt, runLength) }
	t.Logf("p99 after the join: %v, without slow start %v; share of the new target in the first second %.3f, without %.3f",
		p99(with), p99(without), with.share(6, faultAt, faultAt+time.Second), without.share(6, faultAt, faultAt+time.Second))
	assert.Assert(t, with.share(6, faultAt, faultAt+time.Second) < 0.4/7)
	assert.Assert(t, with.share(6, runLength-2*time.Second, runLength) > 0.5/7, "the new target is not used")
	assert.Assert(t, p99(with) < with.quantile(0.99, 0, faultAt)*3/2)
}

func (s *sim) share(target int, from, to time.Duration) float64 {
	n, all := 0, 0
	for _, d := range s.completed {
		if d.at >= from && d.at < to {
			all++
			if d.target == target {
				n++
			}
		}
	}
	return float64(n) / float64(all)
}

// Guards against calls that fail, or keep being sent to a failure domain, after it is lost.
func TestLossOfFailureDomain(t *testing.T) {
	l := generateArrivals(*firstSeed, 6, *simCallers, 0.5, meanServiceTime, runLength)
	s := runSimulation("balancer", scenario{domains: []string{"a", "b", "c"}, inject: func(s *sim, _ *rand.Rand) {
		s.at(faultAt, func() { s.targets[0].lost, s.targets[3].lost = true, true })
	}}, l, *firstSeed)
	assert.Equal(t, len(s.completed), len(l), "calls without an answer")
	before, after := s.quantile(0.99, 0, faultAt), s.quantile(0.99, faultAt+500*time.Millisecond, runLength)
	wasted := s.targets[0].refused + s.targets[3].refused
	t.Logf("p99 before %v, after %v; %d of %d sends went to the lost domain", before, after, wasted, s.sends)
	assert.Assert(t, after < before*3/2)
	assert.Assert(t, float64(wasted) < 0.01*float64(s.sends))
}

// Guards against calls that leave an idle domain, and against a domain that is saturated while others have capacity.
// All callers are in one of three domains, so at a utilization of 10% of all slots they need 30% of the slots of their
// domain, and at 50% they would need 150%.
func TestSpillover(t *testing.T) {
	defer func(n int) { *simSlots = n }(*simSlots)
	*simSlots = max(*simSlots, 40) // with few slots, utilization fluctuates too much to tell how many calls stay local
	sc := scenario{domains: []string{"a", "b", "c"}, inject: noFault, home: "a"}
	var p99 [2]time.Duration
	for i, utilization := range []float64{0.1, 0.5} {
		s := runSimulation("balancer", sc, generateArrivals(*firstSeed, 6, *simCallers, utilization, meanServiceTime, runLength), *firstSeed)
		home := s.share(0, faultAt, runLength) + s.share(3, faultAt, runLength)
		p99[i] = s.quantile(0.99, faultAt, runLength)
		t.Logf("utilization %.1f: p99 %v, %.3f of the calls stay in the local domain", utilization, p99[i], home)
		if i == 0 {
			assert.Check(t, home > 0.95)
		} else {
			assert.Check(t, home > 0.4, "the utilization of the local domain is below 60%")
		}
	}
	assert.Check(t, p99[1] < p99[0]*3/2)
}

// Guards against ejection that empties a failure domain, whatever the results of the members are.
func TestEjectionNeverEmptiesDomain(t *testing.T) {
	kinds := []fault.Kind{fault.None, fault.PeerUnreachable, fault.PeerLost, fault.Canceled, fault.QueueFull, fault.Draining}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "members")
		l := members(n, "a")
		b := balance.New(balance.Self{ID: 99, FailureDomain: "a"}, 1, balance.Defaults())
		now := start
		for range rapid.IntRange(20, 60).Draw(t, "calls") {
			m, ok := b.Pick(now, short(true), l, nil)
			assert.Assert(t, ok, "no member")
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			b.Done(now, mustardmast.Result{Member: m.ID, Service: "socket-board", Latency: 10 * time.Millisecond,
				Kind: rapid.SampledFrom(kinds).Draw(t, "kind")})
		}
		assert.Assert(t, b.Ejected("socket-board") <= n/2)
	})
}

// Guards against a subset that changes when an unrelated member leaves, exceeds its size or lies within one domain.
func TestSubsetIsStableAndDistributed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := balance.Self{ID: mustardmast.NodeID(rapid.Uint64().Draw(t, "own")), FailureDomain: "a"}
		l := members(rapid.IntRange(40, 200).Draw(t, "members"), "a", "b", "c", "d")
		before := reachableMembers(self, l)
		gone := rapid.IntRange(0, len(l)-1).Draw(t, "gone")
		after := reachableMembers(self, append(append([]mustardmast.Member{}, l[:gone]...), l[gone+1:]...))
		assert.Assert(t, len(before) == 16 && len(after) == 16)
		kept, domains := 0, map[string]int{}
		for id, m := range before {
			if _, ok := after[id]; ok {
				kept++
			}
			domains[m.FailureDomain]++
		}
		assert.Assert(t, kept >= 15, "%d members kept", kept)
		assert.Assert(t, domains["a"] == 8 && domains["b"] >= 2 && domains["c"] >= 2 && domains["d"] >= 2, fmt.Sprint(domains))
	})
}

// reachableMembers returns the members that calls reach when each member is tried once.
func reachableMembers(self balance.Self, l []mustardmast.Member) map[mustardmast.NodeID]mustardmast.Member {
	b := balance.New(self, 1, balance.Defaults())
	reached := map[mustardmast.NodeID]mustardmast.Member{}
	var tried []mustardmast.NodeID
	for {
		m, ok := b.Pick(start, short(true), l, tried)
		if !ok {
			return reached
		}
		tried, reached[m.ID] = append(tried, m.ID), m
	}
}
