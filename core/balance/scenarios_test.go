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

// joins adds a seventh target at faultAt that is five times slower at first and warms up.
func joins(s *sim, _ *rand.Rand) {
	s.targets[6].slow = func(t time.Duration) float64 { return 1 + 4*math.Exp(-(t-faultAt).Seconds()/2) }
	s.at(faultAt, func() { s.list = members(7, "a") })
}

// Guards against a new target that gets its full share while it is cold.
func TestColdTargetStartsSlowly(t *testing.T) {
	l := trace(*firstSeed, 6, *simCall, 0.6, mean, length)
	sc := scenario{domains: []string{"a"}, apply: joins}
	with := simulate("balancer", sc, l, *firstSeed)
	tweak = func(s *balance.Settings) { s.SlowStart = time.Nanosecond }
	without := simulate("balancer", sc, l, *firstSeed)
	tweak = nil
	p99 := func(s *sim) time.Duration { return s.quantile(0.99, faultAt, length) }
	t.Logf("p99 after the join: %v, without slow start %v; share of the new target in the first second %.3f, without %.3f",
		p99(with), p99(without), with.share(6, faultAt, faultAt+time.Second), without.share(6, faultAt, faultAt+time.Second))
	assert.Assert(t, with.share(6, faultAt, faultAt+time.Second) < 0.4/7)
	assert.Assert(t, with.share(6, length-2*time.Second, length) > 0.5/7, "the new target is not used")
	assert.Assert(t, p99(with) < with.quantile(0.99, 0, faultAt)*3/2)
}

func (s *sim) share(target int, from, to time.Duration) float64 {
	n, all := 0, 0
	for _, d := range s.ended {
		if d.at >= from && d.at < to {
			all++
			if d.target == target {
				n++
			}
		}
	}
	return float64(n) / float64(all)
}

// Guards against calls that fail, or go on being sent, to a failure domain that is lost.
func TestLossOfADomain(t *testing.T) {
	l := trace(*firstSeed, 6, *simCall, 0.5, mean, length)
	s := simulate("balancer", scenario{domains: []string{"a", "b", "c"}, apply: func(s *sim, _ *rand.Rand) {
		s.at(faultAt, func() { s.targets[0].lost, s.targets[3].lost = true, true })
	}}, l, *firstSeed)
	assert.Equal(t, len(s.ended), len(l), "calls without an answer")
	before, after := s.quantile(0.99, 0, faultAt), s.quantile(0.99, faultAt+500*time.Millisecond, length)
	vain := s.targets[0].offers + s.targets[3].offers
	t.Logf("p99 before %v, after %v; %d of %d sends went to the lost domain", before, after, vain, s.picks)
	assert.Assert(t, after < before*3/2)
	assert.Assert(t, float64(vain) < 0.01*float64(s.picks))
}

// Guards against calls that leave an idle domain, and against a domain that is filled while others have room. All
// callers are in one domain of three, so at 10% of all slots it uses 30% of its own, and at 50% it would need 150%.
func TestSpillover(t *testing.T) {
	defer func(n int) { *simSlots = n }(*simSlots)
	*simSlots = max(*simSlots, 40) // with few slots the use swings too much to say how much stays at home
	sc := scenario{domains: []string{"a", "b", "c"}, apply: none, home: "a"}
	var p99 [2]time.Duration
	for i, use := range []float64{0.1, 0.5} {
		s := simulate("balancer", sc, trace(*firstSeed, 6, *simCall, use, mean, length), *firstSeed)
		home := s.share(0, faultAt, length) + s.share(3, faultAt, length)
		p99[i] = s.quantile(0.99, faultAt, length)
		t.Logf("use %.1f: p99 %v, %.3f of the calls stay at home", use, p99[i], home)
		if i == 0 {
			assert.Check(t, home > 0.95)
		} else {
			assert.Check(t, home > 0.4, "the own domain is used by less than 60%")
		}
	}
	assert.Check(t, p99[1] < p99[0]*3/2)
}

// Guards against ejection that empties a failure domain, whatever the members answer.
func TestNoDomainIsEmptiedByEjection(t *testing.T) {
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

// Guards against a subset that changes when an unrelated member does, exceeds its size or lies in one domain.
func TestSubsetIsStableAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := balance.Self{ID: mustardmast.NodeID(rapid.Uint64().Draw(t, "own")), FailureDomain: "a"}
		l := members(rapid.IntRange(40, 200).Draw(t, "members"), "a", "b", "c", "d")
		before := seen(own, l)
		gone := rapid.IntRange(0, len(l)-1).Draw(t, "gone")
		after := seen(own, append(append([]mustardmast.Member{}, l[:gone]...), l[gone+1:]...))
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

// seen returns the members that calls reach when each is tried once.
func seen(own balance.Self, l []mustardmast.Member) map[mustardmast.NodeID]mustardmast.Member {
	b := balance.New(own, 1, balance.Defaults())
	found := map[mustardmast.NodeID]mustardmast.Member{}
	var tried []mustardmast.NodeID
	for {
		m, ok := b.Pick(start, short(true), l, tried)
		if !ok {
			return found
		}
		tried, found[m.ID] = append(tried, m.ID), m
	}
}
