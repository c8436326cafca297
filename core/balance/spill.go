package balance

import (
	"math"
	"time"
)

const (
	spilloverInterval = 20 * time.Millisecond
	// spilloverStep is the change of the fraction per interval, which relieves a domain within 0.2 s. With a slower
	// return (0.03), or with 0.03 in both directions, the local domain kept only 34% and 38% of the calls for some
	// seeds, instead of at least 45%.
	spilloverStep = 0.1
)

// spillover controls the fraction of calls that leave the local failure domain although it has members. The fraction
// moves in steps, because switching between none and all would make the whole load oscillate.
type spillover struct {
	fraction                    float64
	updatedAt                   time.Duration
	localLatency, remoteLatency average
}

// average is a moving average of latencies without a bias towards high ones. It compares domains, where such a bias
// would depend on the number of samples.
type average struct {
	value     float64
	updatedAt time.Duration
	count     float64 // number of samples, decaying with LatencyDecay
}

// priorSamples is the number of samples at which an average counts as much as the assumed latency. A few fast answers
// from a side that gets no calls must not attract calls.
const priorSamples = 20

func (a *average) add(t time.Duration, s *Settings, x float64) {
	a.count = a.decayedCount(t, s) + 1
	if a.value == 0 {
		a.value = x
	} else {
		a.value += (x - a.value) * (1 - math.Exp(-float64(max(t-a.updatedAt, 0))/float64(s.LatencyTimeConstant)))
	}
	a.updatedAt = t
}

func (a *average) decayedCount(t time.Duration, s *Settings) float64 {
	return a.count * math.Exp(-float64(max(t-a.updatedAt, 0))/float64(s.LatencyDecay))
}

// estimate returns the average, pulled towards assumed if there are few samples.
func (a *average) estimate(t time.Duration, s *Settings, assumed float64) float64 {
	count := a.decayedCount(t, s)
	return (count*a.value + priorSamples*assumed) / (count + priorSamples)
}

func (p *spillover) addLatency(t time.Duration, s *Settings, local bool, x float64) {
	if local {
		p.localLatency.add(t, s, x)
	} else {
		p.remoteLatency.add(t, s, x)
	}
}

// update moves the fraction towards the cheaper side. A small fraction of the calls stays in the local domain even
// while it is slow, to detect its recovery.
func (p *spillover) update(t time.Duration, s *Settings, members []*member) {
	if t-p.updatedAt < spilloverInterval {
		return
	}
	p.updatedAt = t
	localLatency, remoteLatency := p.localLatency.value, p.remoteLatency.estimate(t, s, p.localLatency.value+float64(s.CrossDomainLatency))
	if p.remoteLatency.value > 0 {
		localLatency = p.localLatency.estimate(t, s, p.remoteLatency.value)
	}
	localLatency *= utilizationFactor(s, members, true)
	remoteLatency *= utilizationFactor(s, members, false)
	if localLatency > s.SpillMargin*remoteLatency {
		p.fraction = min(p.fraction+spilloverStep, 1-s.MaxProbeFraction)
	} else {
		p.fraction = max(p.fraction-spilloverStep, 0)
	}
}

// utilizationFactor returns the factor by which the latency rises at the present utilization of the members that are
// not ejected.
func utilizationFactor(s *Settings, members []*member, local bool) float64 {
	utilization, n := 0.0, 0
	for _, m := range members {
		if m.local == local && !m.ejected {
			utilization += m.utilization
			n++
		}
	}
	if n == 0 {
		return math.Inf(1)
	}
	return 1 + 10*max(utilization/float64(n)-s.SpillUtilization, 0)
}
