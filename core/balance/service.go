package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// service is the state of one service. It is guarded by the lock of its shard. Its durations are times since epoch.
type service struct {
	name     string
	epoch    time.Time
	lastUsed time.Duration
	rng      *rand.Rand

	lastCandidates []mustardmast.Member // of the last Pick; compared by address to detect a new list
	candidatesHash uint64
	members        []*member // the subset, those of the local failure domain first
	domainCount    int
	former         []*member // no longer in the subset, but with calls in flight

	lastAnswer  time.Duration // by any member
	median      float64       // latency of the members, in ns
	medianAt    time.Duration
	probeTokens float64
	latencies   latencyHistogram
	hedgeBudget hedgeBudget
	spillover   spillover

	scratch         []*member // reused by cheapest
	ejectedByDomain []int     // reused by evaluate
	membersByDomain []int
}

func newService(name string, now time.Time, seed uint64, s *Settings) *service {
	return &service{name: name, epoch: now, rng: rand.New(rand.NewPCG(seed, mix64(seed))), median: float64(s.AssumedLatency)}
}

// setCandidates rebuilds the subset if the candidates have changed.
func (v *service) setCandidates(t time.Duration, self Self, s *Settings, candidates []mustardmast.Member) {
	if len(candidates) == 0 {
		return
	}
	if len(v.lastCandidates) == len(candidates) && &v.lastCandidates[0] == &candidates[0] {
		return
	}
	candidatesHash := hashCandidates(candidates)
	first := v.lastCandidates == nil
	v.lastCandidates = candidates
	if candidatesHash == v.candidatesHash && !first {
		return
	}
	v.candidatesHash = candidatesHash
	v.rebuildSubset(t, self, s, first)
}

func (v *service) rebuildSubset(t time.Duration, self Self, s *Settings, first bool) {
	previous := append(v.members, v.former...)
	v.members, v.former, v.domainCount = nil, nil, 1
	domainNumbers := map[string]int{self.FailureDomain: 0}
	for _, i := range chooseSubset(self, v.name, v.lastCandidates, s.SubsetSize) {
		c := &v.lastCandidates[i]
		m := findMember(previous, c.ID)
		if m == nil {
			m = &member{id: c.ID, firstSeen: t, lastProgress: t, probeInterval: s.MinProbeInterval}
			if first {
				m.firstSeen = t - s.SlowStart // at the first list, members that just joined can't be told from old ones
			}
		}
		d, ok := domainNumbers[c.FailureDomain]
		if !ok {
			d = v.domainCount
			domainNumbers[c.FailureDomain] = d
			v.domainCount++
		}
		m.candidate, m.slots, m.domain, m.local = i, c.Slots, d, d == 0
		v.members = append(v.members, m)
	}
	slices.SortStableFunc(v.members, func(a, b *member) int { return a.domain - b.domain })
	for _, m := range previous {
		if m.short+m.long > 0 && findMember(v.members, m.id) == nil && len(v.former) < s.MaxFormerMembers {
			v.former = append(v.former, m)
		}
	}
	v.ejectedByDomain, v.membersByDomain = make([]int, v.domainCount), make([]int, v.domainCount)
	for _, m := range v.members {
		v.membersByDomain[m.domain]++
	}
}

func findMember(l []*member, id mustardmast.NodeID) *member {
	for _, m := range l {
		if m.id == id {
			return m
		}
	}
	return nil
}

// evaluate updates the costs of the members and ejects members, at most half of each domain.
func (v *service) evaluate(t time.Duration, s *Settings) {
	if t-v.medianAt > 5*time.Millisecond {
		v.median, v.medianAt = v.medianLatency(s), t
	}
	clear(v.ejectedByDomain)
	for _, m := range v.members {
		m.evaluate(t, s, v.median, v.lastAnswer)
		if m.ejected {
			v.ejectedByDomain[m.domain]++
		}
	}
	v.spillover.update(t, s, v.members)
	for d, n := range v.ejectedByDomain {
		for maxEjected := v.membersByDomain[d] / 2; n > maxEjected; n-- {
			v.readmit(d)
		}
	}
}

// readmit ends the ejection of the cheapest ejected member of a domain.
func (v *service) readmit(domain int) {
	var best *member
	for _, m := range v.members {
		if m.domain == domain && m.ejected && (best == nil || m.cost < best.cost) {
			best = m
		}
	}
	best.ejected = false
}

// medianLatency returns the median of the members' latencies, the lower one of two for an even number.
func (v *service) medianLatency(s *Settings) float64 {
	var known [64]float64
	n := 0
	for _, m := range v.members {
		if m.latency > 0 && n < len(known) {
			known[n] = m.latency
			n++
		}
	}
	if n == 0 {
		return float64(s.AssumedLatency)
	}
	slices.Sort(known[:n])
	return known[(n-1)/2]
}

// pick chooses a member, or returns nil if all have been tried.
func (v *service) pick(t time.Duration, self Self, s *Settings, c call.Call, tried []mustardmast.NodeID) *member {
	v.evaluate(t, s)
	v.probeTokens = min(v.probeTokens+s.MaxProbeFraction, 4)
	if len(tried) == 0 {
		if m := v.probe(t, s, c); m != nil {
			return m
		}
	}
	avoid := self.ID
	if c.Idempotent() {
		avoid = 0
	}
	local := v.cheapest(true, tried, avoid)
	remote := v.cheapest(false, tried, avoid)
	switch {
	case local == nil && remote == nil:
		return v.lastResort(tried)
	case local == nil:
		return remote
	case remote == nil:
		return local
	case local.unresponsive != remote.unresponsive:
		if local.unresponsive {
			return remote
		}
		return local
	case local.utilization > 1 && remote.utilization < 1, v.spillover.fraction > 0 && v.rng.Float64() < v.spillover.fraction:
		return remote
	default:
		return local
	}
}

// cheapest draws two members of the local domain, or of all others, and returns the one with the lower cost. The member
// with the ID avoid is returned only if there is no other one.
func (v *service) cheapest(local bool, tried []mustardmast.NodeID, avoid mustardmast.NodeID) *member {
	l := v.scratch[:0]
	var self *member
	for _, m := range v.members {
		if m.local != local || m.ejected || slices.Contains(tried, m.id) {
			continue
		}
		if avoid != 0 && m.id == avoid {
			self = m
			continue
		}
		l = append(l, m)
	}
	v.scratch = l[:0]
	switch len(l) {
	case 0:
		return self
	case 1:
		return l[0]
	}
	i := v.rng.IntN(len(l))
	j := v.rng.IntN(len(l) - 1)
	if j >= i {
		j++
	}
	if l[j].cost < l[i].cost {
		i = j
	}
	return l[i]
}

// lastResort returns the member with the lowest cost that has not been tried, ejected or not.
func (v *service) lastResort(tried []mustardmast.NodeID) *member {
	var best *member
	for _, m := range v.members {
		if !slices.Contains(tried, m.id) && (best == nil || m.cost < best.cost) {
			best = m
		}
	}
	return best
}

// probe returns an ejected member that is due for a probe, or nil. Probes are idempotent short calls, which can be
// hedged. A non-idempotent call serves as a probe only if the probe is overdue by three probe intervals.
func (v *service) probe(t time.Duration, s *Settings, c call.Call) *member {
	if v.probeTokens < 1 || c.Long() {
		return nil
	}
	for _, m := range v.members {
		if !m.ejected || t < m.nextProbe || m.short > 0 {
			continue
		}
		if !c.Idempotent() && t < m.nextProbe+3*m.probeInterval {
			continue
		}
		v.probeTokens--
		m.nextProbe = t + m.probeInterval
		m.probeInterval = min(2*m.probeInterval, s.MaxProbeInterval)
		return m
	}
	return nil
}

// done records the result of one send.
func (v *service) done(t time.Duration, s *Settings, r *mustardmast.Result) {
	if r.HedgeUnused {
		v.hedgeBudget.release(s)
	}
	if !r.Long && (r.Kind == fault.None || classify(r.Kind) == abandoned) {
		v.latencies.add(r.Latency)
		v.hedgeBudget.refreshQuantiles(&v.latencies)
	}
	m := findMember(v.members, r.Member)
	if m == nil {
		if m = findMember(v.former, r.Member); m == nil {
			return
		}
	}
	m.done(t, s, r, v.median)
	if !r.Long && r.Kind == fault.None {
		v.spillover.addLatency(t, s, m.local, float64(r.Latency))
	}
	if classify(r.Kind) != abandoned {
		v.lastAnswer = t
	}
	if m.short+m.long == 0 {
		v.former = slices.DeleteFunc(v.former, func(f *member) bool { return f == m })
	}
}
