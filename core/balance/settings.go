package balance

import (
	"time"

	"mustardmast"
)

// Self is the node on whose behalf members are chosen.
type Self struct {
	ID            mustardmast.NodeID
	FailureDomain string
}

// Settings are the parameters of a Balancer. Defaults returns the documented defaults.
type Settings struct {
	// SubsetSize is the number of members per service that calls are sent to; default 16, at most 64.
	SubsetSize int
	// MaxServices bounds the services with state; default 1024. Beyond it, the one that has been idle for longest is
	// evicted.
	MaxServices int
	// MaxFormerMembers bounds the members outside the subset whose calls in flight are still counted, per service;
	// default 32.
	MaxFormerMembers int

	// AssumedLatency is the latency of a service before its first answer; default 10 ms.
	AssumedLatency time.Duration
	// CrossDomainLatency is added for a member of another domain before its first answer; default 2 ms.
	CrossDomainLatency time.Duration
	// LatencyTimeConstant is the time constant of the latency average; default 1 s.
	LatencyTimeConstant time.Duration
	// LatencyDecay is the time constant with which a high average decays without samples; default 5 s.
	LatencyDecay time.Duration
	// MaxSampleRatio is the multiple of the median latency to which samples are clipped; default 16.
	MaxSampleRatio float64
	// MinRiseWeight is the minimum weight of a sample above the average; default 0.1. With 1, the average is a pure
	// peak detector.
	MinRiseWeight float64

	// MaxLoadAge is the age from which load reports are ignored; default 1 s.
	MaxLoadAge time.Duration
	// LoadTimeConstant is the time constant of the average of reported load; default 4 s.
	LoadTimeConstant time.Duration
	// LoadGain is the weight of calls from other nodes relative to those of this node; default 0.5.
	LoadGain float64
	// SpillUtilization is the utilization above which the predicted latency rises; default 0.6.
	SpillUtilization float64
	// SpillMargin is the ratio of the local domain's latency to that of the others above which calls leave the local
	// domain; default 1.25.
	SpillMargin float64
	// SlowStart is the time over which a new member reaches its full share; default 10 s.
	SlowStart time.Duration

	// MinSilence is the minimum silence that ejects a member; default 1 s. With less, members whose calls wait for
	// sub-calls look silent, and ejecting them overloads the rest.
	MinSilence time.Duration
	// OutlierRatio is the multiple of the median latency that ejects a member; default 3.
	OutlierRatio float64
	// ConsecutiveFailures is the number of broken connections in a row that ejects a member; default 3.
	ConsecutiveFailures int
	// MinEjectionTime is the length of the first ejection after refused or broken connections; default 500 ms. It
	// doubles with each further one, up to MaxEjectionTime.
	MinEjectionTime time.Duration
	// MaxEjectionTime bounds the length of an ejection; default 8 s.
	MaxEjectionTime time.Duration
	// MinProbeInterval is the time between the first probes of an ejected member; default 100 ms. It doubles up to
	// MaxProbeInterval while probes are slow.
	MinProbeInterval time.Duration
	// MaxProbeInterval bounds the time between probes; default 1 s.
	MaxProbeInterval time.Duration
	// MaxProbeFraction is the maximum number of probes per call; default 0.001. With 0.005, a chain of three hops would
	// send more than 1% of its requests to slow members.
	MaxProbeFraction float64

	// MaxHedgeFraction is the maximum number of hedged sends per call; default 0.03.
	MaxHedgeFraction float64
	// MaxHedgeTokens is the maximum number of hedged sends saved up; default 128.
	MaxHedgeTokens float64
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		SubsetSize:       16,
		MaxServices:      1024,
		MaxFormerMembers: 32,

		AssumedLatency:      10 * time.Millisecond,
		CrossDomainLatency:  2 * time.Millisecond,
		LatencyTimeConstant: time.Second,
		LatencyDecay:        5 * time.Second,
		MaxSampleRatio:      16,
		MinRiseWeight:       0.1,

		MaxLoadAge:       time.Second,
		LoadTimeConstant: 4 * time.Second,
		LoadGain:         0.5,
		SpillUtilization: 0.6,
		SpillMargin:      1.25,
		SlowStart:        10 * time.Second,

		MinSilence:          1000 * time.Millisecond,
		OutlierRatio:        3,
		ConsecutiveFailures: 3,
		MinEjectionTime:     500 * time.Millisecond,
		MaxEjectionTime:     8 * time.Second,
		MinProbeInterval:    100 * time.Millisecond,
		MaxProbeInterval:    time.Second,
		MaxProbeFraction:    0.001,

		MaxHedgeFraction: 0.03,
		MaxHedgeTokens:   128,
	}
}
