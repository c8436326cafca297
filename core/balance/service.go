package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// service is the state of one service. It is guarded by the lock of its shard.
type service struct {
	name  string
	epoch time.Time
	used  time.Duration
	rng   *rand.Rand

	list    []mustardmast.Member // the candidates last seen, to recognise them
	sign    uint64
	members []*member // the subset, the own failure domain first
	domains int
	former  []*member // outside the subset, with calls in flight

	answered time.Duration // last answer of any member
	median   float64       // of the members' latencies, in ns
	medianAt time.Duration
	probes   float64
	latency  latencies
	hedges   hedges
	spill    spill

	scratch []*member // members that may be picked, reused
	outs    []int     // ejected members by domain, reused
	sizes   []int     // members by domain, reused
}

func newService(name string, now time.Time, seed uint64, s *Settings) *service {
	return &service{name: name, epoch: now, rng: rand.New(rand.NewPCG(seed, mix(seed))), median: float64(s.AssumedLatency)}
}

// adopt brings the subset up to date with the candidates.
func (v *service) adopt(t time.Duration, own Self, s *Settings, candidates []mustardmast.Member) {
	if len(candidates) == 0 {
		return
	}
	if len(v.list) == len(candidates) && &v.list[0] == &candidates[0] {
		return
	}
	sign := signature(candidates)
	first := v.list == nil
	v.list = candidates
	if sign == v.sign && !first {
		return
	}
	v.sign = sign
	v.rebuild(t, own, s, first)
}

func (v *service) rebuild(t time.Duration, own Self, s *Settings, first bool) {
	old := append(v.members, v.former...)
	v.members, v.former, v.domains = nil, nil, 1
	names := map[string]int{own.FailureDomain: 0}
	for _, i := range subset(own, v.name, v.list, s.SubsetSize) {
		c := &v.list[i]
		m := find(old, c.ID)
		if m == nil {
			m = &member{id: c.ID, since: t, progress: t, wait: s.MinProbeInterval}
			if first {
				m.since = t - s.SlowStart // nothing tells new members from old ones yet
			}
		}
		d, ok := names[c.FailureDomain]
		if !ok {
			d = v.domains
			names[c.FailureDomain] = d
			v.domains++
		}
		m.index, m.slots, m.domain, m.local = i, c.Slots, d, d == 0
		v.members = append(v.members, m)
	}
	slices.SortStableFunc(v.members, func(a, b *member) int { return a.domain - b.domain })
	for _, m := range old {
		if m.short+m.long > 0 && find(v.members, m.id) == nil && len(v.former) < s.MaxFormerMembers {
			v.former = append(v.former, m)
		}
	}
	v.outs, v.sizes = make([]int, v.domains), make([]int, v.domains)
	for _, m := range v.members {
		v.sizes[m.domain]++
	}
}

func find(l []*member, id mustardmast.NodeID) *member {
	for _, m := range l {
		if m.id == id {
			return m
		}
	}
	return nil
}

// evaluate brings the costs up to date and ejects within bounds.
func (v *service) evaluate(t time.Duration, s *Settings) {
	if t-v.medianAt > 5*time.Millisecond {
		v.median, v.medianAt = v.medianLatency(s), t
	}
	clear(v.outs)
	for _, m := range v.members {
		m.evaluate(t, s, v.median, v.answered)
		if m.out {
			v.outs[m.domain]++
		}
	}
	v.spill.advance(t, s, v.members)
	for d, n := range v.outs {
		for most := v.sizes[d] / 2; n > most; n-- {
			v.readmit(d)
		}
	}
}

// readmit takes the cheapest ejected member of a domain back in.
func (v *service) readmit(domain int) {
	var best *member
	for _, m := range v.members {
		if m.domain == domain && m.out && (best == nil || m.cost < best.cost) {
			best = m
		}
	}
	best.out = false
}

// medianLatency returns the middle of the members' latencies, the lower one of two.
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

// pick chooses a member, or nil if all were tried.
func (v *service) pick(t time.Duration, own Self, s *Settings, c call.Call, tried []mustardmast.NodeID) *member {
	v.evaluate(t, s)
	v.probes = min(v.probes+s.MaxProbeFraction, 4)
	if len(tried) == 0 {
		if m := v.probe(t, s, c); m != nil {
			return m
		}
	}
	avoid := own.ID
	if c.Idempotent() {
		avoid = 0
	}
	near := v.cheapest(true, tried, avoid)
	far := v.cheapest(false, tried, avoid)
	switch {
	case near == nil && far == nil:
		return v.lastResort(tried)
	case near == nil:
		return far
	case far == nil:
		return near
	case near.bad != far.bad:
		if near.bad {
			return far
		}
		return near
	case near.use > 1 && far.use < 1, v.spill.share > 0 && v.rng.Float64() < v.spill.share:
		return far
	default:
		return near
	}
}

// cheapest draws two members of the own domain, or of all others, and returns the cheaper one.
func (v *service) cheapest(local bool, tried []mustardmast.NodeID, avoid mustardmast.NodeID) *member {
	l := v.scratch[:0]
	var own *member
	for _, m := range v.members {
		if m.local != local || m.out || slices.Contains(tried, m.id) {
			continue
		}
		if avoid != 0 && m.id == avoid {
			own = m
			continue
		}
		l = append(l, m)
	}
	v.scratch = l[:0]
	switch len(l) {
	case 0:
		return own
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

// lastResort returns the cheapest member that was not tried, ejected or not.
func (v *service) lastResort(tried []mustardmast.NodeID) *member {
	var best *member
	for _, m := range v.members {
		if !slices.Contains(tried, m.id) && (best == nil || m.cost < best.cost) {
			best = m
		}
	}
	return best
}

// probe returns an ejected member that is due for a probe. Probes are idempotent short calls, which can be hedged,
// unless none came for four times the interval.
func (v *service) probe(t time.Duration, s *Settings, c call.Call) *member {
	if v.probes < 1 || c.Long() {
		return nil
	}
	for _, m := range v.members {
		if !m.out || t < m.probeAt || m.short > 0 {
			continue
		}
		if !c.Idempotent() && t < m.probeAt+3*m.wait {
			continue
		}
		v.probes--
		m.probeAt = t + m.wait
		m.wait = min(2*m.wait, s.MaxProbeInterval)
		return m
	}
	return nil
}

// done takes the result of one send.
func (v *service) done(t time.Duration, s *Settings, r *mustardmast.Result) {
	if r.HedgeUnused {
		v.hedges.giveBack(s)
	}
	if !r.Long && (r.Kind == fault.None || judge(r.Kind) == slower) {
		v.latency.add(r.Latency)
		v.hedges.refresh(&v.latency)
	}
	m := find(v.members, r.Member)
	if m == nil {
		if m = find(v.former, r.Member); m == nil {
			return
		}
	}
	m.done(t, s, r, v.median)
	if !r.Long && r.Kind == fault.None {
		v.spill.sample(t, s, m.local, float64(r.Latency))
	}
	if judge(r.Kind) != slower {
		v.answered = t
	}
	if m.short+m.long == 0 {
		v.former = slices.DeleteFunc(v.former, func(f *member) bool { return f == m })
	}
}
