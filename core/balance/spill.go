package balance

import (
	"math"
	"time"
)

const (
	spillEvery = 20 * time.Millisecond
	// spillStep is the share moved per step, so a domain is relieved within 0.2 s. Going back more slowly (0.03), or 0.03
	// both ways, left less at home for some seeds (34% and 38% instead of at least 45%).
	spillStep = 0.1
)

// spill is the share of calls that leave the own failure domain although it has a member. The share moves in steps,
// because a switch between all and none would throw the whole load to and fro.
type spill struct {
	share     float64
	at        time.Duration
	near, far average
}

// average follows latencies without preference for high ones. It compares domains, where a bias would depend on the
// number of samples.
type average struct {
	value float64
	at    time.Duration
	n     float64 // samples, forgotten like the evidence on one member
}

// trusted is the number of samples that count as much as the assumption without any: a few quick answers from a side
// that gets no calls must not draw calls there.
const trusted = 20

func (a *average) add(t time.Duration, s *Settings, x float64) {
	a.n = a.samples(t, s) + 1
	if a.value == 0 {
		a.value = x
	} else {
		a.value += (x - a.value) * (1 - math.Exp(-float64(max(t-a.at, 0))/float64(s.LatencyTimeConstant)))
	}
	a.at = t
}

func (a *average) samples(t time.Duration, s *Settings) float64 {
	return a.n * math.Exp(-float64(max(t-a.at, 0))/float64(s.LatencyDecay))
}

// estimate returns the average, drawn to assumed as far as samples are few.
func (a *average) estimate(t time.Duration, s *Settings, assumed float64) float64 {
	n := a.samples(t, s)
	return (n*a.value + trusted*assumed) / (n + trusted)
}

func (p *spill) sample(t time.Duration, s *Settings, local bool, x float64) {
	if local {
		p.near.add(t, s, x)
	} else {
		p.far.add(t, s, x)
	}
}

// advance moves the share towards the cheaper side. A small part of the calls stays at home even if home is slow, to
// notice when it is not.
func (p *spill) advance(t time.Duration, s *Settings, members []*member) {
	if t-p.at < spillEvery {
		return
	}
	p.at = t
	near, far := p.near.value, p.far.estimate(t, s, p.near.value+float64(s.CrossDomainLatency))
	if p.far.value > 0 {
		near = p.near.estimate(t, s, p.far.value)
	}
	near *= crowding(s, members, true)
	far *= crowding(s, members, false)
	if near > s.SpillMargin*far {
		p.share = min(p.share+spillStep, 1-s.MaxProbeFraction)
	} else {
		p.share = max(p.share-spillStep, 0)
	}
}

// crowding is the factor by which latency will rise at the present use of the members that are not passed over.
func crowding(s *Settings, members []*member, local bool) float64 {
	use, n := 0.0, 0
	for _, m := range members {
		if m.local == local && !m.out {
			use += m.use
			n++
		}
	}
	if n == 0 {
		return math.Inf(1)
	}
	return 1 + 10*max(use/float64(n)-s.SpillUtilization, 0)
}
