package balance

import (
	"math"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
)

// defaultSlots is the capacity of a member that has reported none. Only its relation to that of other members matters.
const defaultSlots = 100

// penaltyRatio is the multiple of the median latency from which the cost rises steeply. Smaller differences are mostly
// noise. From OutlierRatio on the member is ejected.
const penaltyRatio = 1.5

// maxReportedRatio bounds the reported calls of a member that are counted, as a multiple of its slots: full slots and a
// long queue.
const maxReportedRatio = 4

// member is the state of one member. Its durations are times since the epoch of the service.
type member struct {
	id        mustardmast.NodeID
	candidate int // index in the last candidates
	slots     uint32
	local     bool // in the local failure domain
	domain    int  // number of the failure domain within the subset; 0 is the local one

	short, long  int           // calls in flight from this node, by cost class
	lastProgress time.Duration // last answer, or first send after the member was idle
	firstSeen    time.Duration

	latency        float64 // average in ns; 0 before the first answer
	sampledAt      time.Duration
	load           mustardmast.Load
	loadAt         time.Duration
	hasLoad        bool
	othersInFlight float64 // average of the reported calls from other nodes

	failuresInARow int
	ejectedUntil   time.Duration // end of an ejection for refused or broken connections
	ejectionTime   time.Duration // length of the last such ejection
	fullUntil      time.Duration // treated as full until then, after it rejected a call for lack of capacity

	nextProbe     time.Duration
	probeInterval time.Duration

	// Results of the last evaluation.
	cost         float64
	utilization  float64 // calls in flight divided by the capacity; above 1 if calls queue
	unresponsive bool    // refuses connections or is silent
	ejected      bool
}

// expectedLatency returns the predicted latency of m at t, in ns. A latency above the median decays to the median
// without new samples, because evidence gets stale. It decays slowly, because a node that makes few calls would
// otherwise spend many of them on measuring again.
func (m *member) expectedLatency(t time.Duration, s *Settings, median float64) float64 {
	if m.latency == 0 {
		if m.local {
			return median
		}
		return median + float64(s.CrossDomainLatency)
	}
	if m.latency <= median {
		return m.latency
	}
	age := t - m.sampledAt
	if age < time.Millisecond {
		return m.latency
	}
	return median + (m.latency-median)*math.Exp(-float64(age)/float64(s.LatencyDecay))
}

// addLatency adds the latency x of one answer to the average. The weight of a sample follows from the time since the
// last one in relation to LatencyTimeConstant, so that infrequent samples count for more. A sample above the average
// has at least the weight MinRiseWeight.
func (m *member) addLatency(t time.Duration, s *Settings, x, median float64) {
	x = min(x, s.MaxSampleRatio*median)
	old := m.expectedLatency(t, s, median)
	w := 1 - math.Exp(-float64(max(t-m.sampledAt, 0))/float64(s.LatencyTimeConstant))
	switch {
	case m.latency == 0:
		m.latency = x
	case x > old:
		w = max(w, s.MinRiseWeight)
		m.latency = old + w*(x-old)
	case m.ejected && x < 2*median:
		// One fast answer ends an ejection for slowness. A slow one soon starts it again.
		m.latency = min(old, s.OutlierRatio/2*median)
	default:
		m.latency = old + w*(x-old)
	}
	m.sampledAt = t
}

// addLatencyBound adds a call that ended without an answer after x. It would have taken longer by about the expected
// latency of any call. Without that addition, hedged sends would hide a slow member by cutting its calls short.
func (m *member) addLatencyBound(t time.Duration, s *Settings, x, median float64) {
	if old := m.expectedLatency(t, s, median); x > old {
		m.addLatency(t, s, x+old, median)
	}
}

// slowStartWeight returns the fraction of its full share that a new member gets.
func (m *member) slowStartWeight(t time.Duration, s *Settings) float64 {
	age := t - m.firstSeen
	if age >= s.SlowStart {
		return 1
	}
	return 0.1 + 0.9*float64(age)/float64(s.SlowStart)
}

// estimateOthers estimates the calls in flight from other nodes, weighted down with the age of the last load report.
func (m *member) estimateOthers(t time.Duration, s *Settings) float64 {
	age := m.load.Age + t - m.loadAt
	if !m.hasLoad || age >= s.MaxLoadAge {
		return 0
	}
	return s.LoadGain * m.othersInFlight * (1 - float64(age)/float64(s.MaxLoadAge))
}

// addLoadReport records a load report. The calls from other nodes are averaged over time: many nodes act on the same
// report, and if it lags, acting on it at once makes them all oscillate between members.
func (m *member) addLoadReport(t time.Duration, s *Settings, l mustardmast.Load) {
	others := max(float64(l.InFlight)+float64(l.Queued)-float64(m.short+m.long), 0)
	// Bounded so that a wrong report distorts the average no longer than until the report expires.
	others = min(others, maxReportedRatio*m.slotsOrDefault())
	if !m.hasLoad || t-m.loadAt >= s.MaxLoadAge {
		m.othersInFlight = others
	} else {
		w := math.Exp(-float64(t-m.loadAt) / float64(s.LoadTimeConstant))
		m.othersInFlight = m.othersInFlight*w + others*(1-w)
	}
	m.load, m.loadAt, m.hasLoad = l, t, true
}

// capacity returns the number of calls that m runs concurrently.
func (m *member) capacity(t time.Duration, s *Settings) float64 {
	if m.hasLoad && m.load.Limit > 0 && m.load.Age+t-m.loadAt < s.MaxLoadAge {
		return float64(m.load.Limit)
	}
	return m.slotsOrDefault()
}

func (m *member) slotsOrDefault() float64 {
	if m.slots > 0 {
		return float64(m.slots)
	}
	return defaultSlots
}

// silent reports whether m has not answered for longer than its latency and its short calls in flight explain, while
// other members did. With n independent calls in flight, the probability that none ends within a mean latency is e^-n,
// so waiting half a latency plus 3/n of one is rare for a healthy member.
func (m *member) silent(t, lastAnswer time.Duration, s *Settings, latency float64) bool {
	if m.short == 0 {
		return false
	}
	limit := max(float64(s.MinSilence), latency*(0.5+3/float64(m.short)))
	return float64(t-m.lastProgress) > limit && float64(t-lastAnswer) < limit
}

// evaluate updates the cost and utilization of m, and whether it is unresponsive or ejected.
func (m *member) evaluate(t time.Duration, s *Settings, median float64, lastAnswer time.Duration) {
	expectedLatency := m.expectedLatency(t, s, median)
	isSilent := m.silent(t, lastAnswer, s, expectedLatency)
	slow := expectedLatency > s.OutlierRatio*median && expectedLatency-median > float64(s.MinSilence)
	latency := expectedLatency
	if m.short > 0 {
		latency = max(latency, float64(t-m.lastProgress))
	}
	capacity := m.capacity(t, s) * m.slowStartWeight(t, s)
	inFlight := float64(m.short+m.long) + m.estimateOthers(t, s)
	if t < m.fullUntil {
		inFlight = max(inFlight, capacity)
	}
	m.utilization = inFlight / capacity
	m.cost = latency * (inFlight + 1) / capacity
	if r := latency / (penaltyRatio * median); r > 1 {
		m.cost *= r * r * r * r // an idle slow member must not win over busy ones just because it is idle
	}
	m.unresponsive = t < m.ejectedUntil || isSilent
	m.ejected = m.unresponsive || slow
	if t < m.ejectedUntil {
		m.cost *= 100
	}
}

// recordSent counts a call as in flight.
func (m *member) recordSent(t time.Duration, long bool) {
	if long {
		m.long++
		return
	}
	if m.short == 0 {
		m.lastProgress = t
	}
	m.short++
}

// fullBackoff is how long a member that rejected a call for lack of capacity is treated as full. A short queue drains
// within a few milliseconds. With 100 ms the other members were overloaded in turn: goodput fell, and important calls
// were rejected while less important ones ran.
const fullBackoff = 10 * time.Millisecond

// done records the result of one send.
func (m *member) done(t time.Duration, s *Settings, r *mustardmast.Result, median float64) {
	m.recordEnd(r.Long)
	if r.HasLoad {
		m.addLoadReport(t, s, r.Load)
	}
	switch classify(r.Kind) {
	case succeeded:
		m.lastProgress, m.failuresInARow, m.ejectionTime, m.ejectedUntil = t, 0, 0, 0
		if !r.Long {
			m.addLatency(t, s, float64(r.Latency), median)
		}
		if float64(r.Latency) < s.OutlierRatio*median {
			m.probeInterval = s.MinProbeInterval
		}
	case otherAnswer:
		m.lastProgress, m.failuresInARow = t, 0
	case overloaded:
		m.lastProgress, m.failuresInARow = t, 0
		m.fullUntil = t + fullBackoff
	case failed:
		if m.failuresInARow++; m.failuresInARow >= s.ConsecutiveFailures {
			m.eject(t, s)
		}
	case unavailable:
		m.eject(t, s)
	case abandoned:
		if !r.Long {
			m.addLatencyBound(t, s, float64(r.Latency), median)
		}
	}
}

func (m *member) eject(t time.Duration, s *Settings) {
	m.ejectionTime = min(max(2*m.ejectionTime, s.MinEjectionTime), s.MaxEjectionTime)
	m.ejectedUntil = t + m.ejectionTime
}

// recordEnd removes one call from those in flight. If the class of the result has none, it removes one of the other
// class, so that no count stays above zero without calls.
func (m *member) recordEnd(long bool) {
	switch {
	case long && m.long > 0, !long && m.short == 0 && m.long > 0:
		m.long--
	case m.short > 0:
		m.short--
	}
}

type resultClass uint8

const (
	otherAnswer resultClass = iota // does not indicate the member's speed
	succeeded
	overloaded
	failed
	unavailable
	abandoned // ended without an answer: the latency is a lower bound
)

func classify(k fault.Kind) resultClass {
	switch k {
	case fault.None:
		return succeeded
	case fault.QueueFull, fault.TargetRefused, fault.LedgerFull:
		return overloaded
	case fault.TargetFailed, fault.PeerLost, fault.AnswerCut, fault.Internal, fault.OutcomeUnknown:
		return failed
	case fault.PeerUnreachable, fault.NotReady, fault.Draining, fault.WrongIncarnation, fault.NoTarget:
		return unavailable
	case fault.Canceled, fault.DeadlineExceeded:
		return abandoned
	default:
		return otherAnswer
	}
}
