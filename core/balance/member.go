package balance

import (
	"math"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
)

// assumedSlots stands for the capacity of a member that has reported none; only its relation to others matters.
const assumedSlots = 100

// suspicious is the multiple of the median latency from which the cost rises steeply. Below it, differences are mostly
// chance; at the outlier factor the member is passed over.
const suspicious = 1.5

// maxReported is the multiple of its slots up to which reported calls of a member count: slots and a long queue.
const maxReported = 4

// member is what one balancer knows about one member. Times are since the start of the service's state.
type member struct {
	id     mustardmast.NodeID
	index  int // in the candidates last seen
	slots  uint32
	local  bool // in the own failure domain
	domain int  // number of the failure domain within the subset

	short, long int           // own calls in flight
	progress    time.Duration // last answer, or first send after the member was idle
	since       time.Duration // first seen

	latency  float64 // average in ns; 0 before the first answer
	sampled  time.Duration
	load     mustardmast.Load
	loadAt   time.Duration
	reported bool
	foreign  float64 // average of the calls of others in the reports

	failures int
	until    time.Duration // ejected until then after refused or broken connections
	eject    time.Duration // length of the last such ejection
	full     time.Duration // refused for lack of room until then

	probeAt time.Duration
	wait    time.Duration // between probes

	// Results of the last evaluation.
	cost float64
	use  float64 // calls in flight in relation to the capacity
	bad  bool    // refuses connections or is silent
	out  bool    // passed over
}

// expected returns the latency to expect of m at t. Without new samples it returns to the median, because old evidence
// fades; slowly, because a node that makes few calls would otherwise spend many of them on finding out again.
func (m *member) expected(t time.Duration, s *Settings, median float64) float64 {
	if m.latency == 0 {
		if m.local {
			return median
		}
		return median + float64(s.CrossDomainLatency)
	}
	if m.latency <= median {
		return m.latency
	}
	age := t - m.sampled
	if age < time.Millisecond {
		return m.latency
	}
	return median + (m.latency-median)*math.Exp(-float64(age)/float64(s.LatencyDecay))
}

// sample takes the latency of one answer into the average. The weight of a sample is the part of LatencyTimeConstant since the last
// one, so that rare samples count for more, and at least MinRiseWeight for one that is higher.
func (m *member) sample(t time.Duration, s *Settings, x, median float64) {
	x = min(x, s.MaxSampleRatio*median)
	old := m.expected(t, s, median)
	w := 1 - math.Exp(-float64(max(t-m.sampled, 0))/float64(s.LatencyTimeConstant))
	switch {
	case m.latency == 0:
		m.latency = x
	case x > old:
		w = max(w, s.MinRiseWeight)
		m.latency = old + w*(x-old)
	case m.out && x < 2*median:
		// One quick answer ends an ejection for slowness. A slow one begins it again soon.
		m.latency = min(old, s.OutlierRatio/2*median)
	default:
		m.latency = old + w*(x-old)
	}
	m.sampled = t
}

// atLeast takes a call into the average that ended without an answer after x. It would have taken longer by about the
// latency expected of any call; without that, second sends would hide a slow member by cutting its calls short.
func (m *member) atLeast(t time.Duration, s *Settings, x, median float64) {
	if old := m.expected(t, s, median); x > old {
		m.sample(t, s, x+old, median)
	}
}

// weight is the part of its full share that a new member gets.
func (m *member) weight(t time.Duration, s *Settings) float64 {
	age := t - m.since
	if age >= s.SlowStart {
		return 1
	}
	return 0.1 + 0.9*float64(age)/float64(s.SlowStart)
}

// others estimates the calls in flight that come from other nodes, weighted down with the age of the last report.
func (m *member) others(t time.Duration, s *Settings) float64 {
	age := m.load.Age + t - m.loadAt
	if !m.reported || age >= s.MaxLoadAge {
		return 0
	}
	return s.LoadGain * m.foreign * (1 - float64(age)/float64(s.MaxLoadAge))
}

// report takes a load report. The calls of others are averaged over time: many nodes act on the same report, and if it
// lags, acting on it at once makes all of them swing between members.
func (m *member) report(t time.Duration, s *Settings, l mustardmast.Load) {
	n := max(float64(l.InFlight)+float64(l.Queued)-float64(m.short+m.long), 0)
	n = min(n, maxReported*m.ownSlots()) // a wrong figure must not outlive its report in the average
	if !m.reported || t-m.loadAt >= s.MaxLoadAge {
		m.foreign = n
	} else {
		w := math.Exp(-float64(t-m.loadAt) / float64(s.LoadTimeConstant))
		m.foreign = m.foreign*w + n*(1-w)
	}
	m.load, m.loadAt, m.reported = l, t, true
}

// capacity is the number of calls that m runs at once.
func (m *member) capacity(t time.Duration, s *Settings) float64 {
	if m.reported && m.load.Limit > 0 && m.load.Age+t-m.loadAt < s.MaxLoadAge {
		return float64(m.load.Limit)
	}
	return m.ownSlots()
}

func (m *member) ownSlots() float64 {
	if m.slots > 0 {
		return float64(m.slots)
	}
	return assumedSlots
}

// silent reports whether m has answered nothing for longer than its latency and its short calls in flight explain,
// although others answered meanwhile. With n independent calls in flight the chance that none ends within a mean
// latency is e^-n, so half a latency plus three n-ths of one is rare for a healthy member.
func (m *member) silent(t, answered time.Duration, s *Settings, latency float64) bool {
	if m.short == 0 {
		return false
	}
	limit := max(float64(s.MinSilence), latency*(0.5+3/float64(m.short)))
	return float64(t-m.progress) > limit && float64(t-answered) < limit
}

// evaluate computes cost and use of m and whether it should be passed over.
func (m *member) evaluate(t time.Duration, s *Settings, median float64, answered time.Duration) {
	expected := m.expected(t, s, median)
	quiet := m.silent(t, answered, s, expected)
	slow := expected > s.OutlierRatio*median && expected-median > float64(s.MinSilence)
	latency := expected
	if m.short > 0 {
		latency = max(latency, float64(t-m.progress))
	}
	capacity := m.capacity(t, s) * m.weight(t, s)
	inFlight := float64(m.short+m.long) + m.others(t, s)
	if t < m.full {
		inFlight = max(inFlight, capacity)
	}
	m.use = inFlight / capacity
	m.cost = latency * (inFlight + 1) / capacity
	if r := latency / (suspicious * median); r > 1 {
		m.cost *= r * r * r * r // an idle slow member must not win over busy ones just because it is idle
	}
	m.bad = t < m.until || quiet
	m.out = m.bad || slow
	if t < m.until {
		m.cost *= 100
	}
}

// sent counts a call.
func (m *member) sent(t time.Duration, long bool) {
	if long {
		m.long++
		return
	}
	if m.short == 0 {
		m.progress = t
	}
	m.short++
}

// fullFor is how long a member without room is passed over. A short queue drains within some milliseconds; with 100 ms the
// others were overloaded in turn, which cost goodput and refused important calls while less important ones ran.
const fullFor = 10 * time.Millisecond

// done takes the result of one send.
func (m *member) done(t time.Duration, s *Settings, r *mustardmast.Result, median float64) {
	m.ended(r.Long)
	if r.HasLoad {
		m.report(t, s, r.Load)
	}
	switch judge(r.Kind) {
	case served:
		m.progress, m.failures, m.eject, m.until = t, 0, 0, 0
		if !r.Long {
			m.sample(t, s, float64(r.Latency), median)
		}
		if float64(r.Latency) < s.OutlierRatio*median {
			m.wait = s.MinProbeInterval
		}
	case answered:
		m.progress, m.failures = t, 0
	case noRoom:
		m.progress, m.failures = t, 0
		m.full = t + fullFor
	case broken:
		if m.failures++; m.failures >= s.ConsecutiveFailures {
			m.exclude(t, s)
		}
	case gone:
		m.exclude(t, s)
	case slower:
		if !r.Long {
			m.atLeast(t, s, float64(r.Latency), median)
		}
	}
}

func (m *member) exclude(t time.Duration, s *Settings) {
	m.eject = min(max(2*m.eject, s.MinEjectionTime), s.MaxEjectionTime)
	m.until = t + m.eject
}

// ended takes one call off. A result that names the wrong class takes it from the other, so that no count stays
// above zero without calls.
func (m *member) ended(long bool) {
	switch {
	case long && m.long > 0, !long && m.short == 0 && m.long > 0:
		m.long--
	case m.short > 0:
		m.short--
	}
}

type judgement uint8

const (
	answered judgement = iota // an answer that says nothing about the member's speed
	served
	noRoom
	broken
	gone
	slower // ended without an answer: the latency is a lower bound
)

func judge(k fault.Kind) judgement {
	switch k {
	case fault.None:
		return served
	case fault.QueueFull, fault.TargetRefused, fault.LedgerFull:
		return noRoom
	case fault.TargetFailed, fault.PeerLost, fault.AnswerCut, fault.Internal, fault.OutcomeUnknown:
		return broken
	case fault.PeerUnreachable, fault.NotReady, fault.Draining, fault.WrongIncarnation, fault.NoTarget:
		return gone
	case fault.Canceled, fault.DeadlineExceeded:
		return slower
	default:
		return answered
	}
}
