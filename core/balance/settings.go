package balance

import (
	"time"

	"mustardmast"
)

// Self is the member on whose behalf targets are chosen.
type Self struct {
	ID            mustardmast.NodeID
	FailureDomain string
}

// Settings are the tunable figures of a Balancer. Defaults returns the documented ones.
type Settings struct {
	SubsetSize       int // members per service; default 16, at most 64
	MaxServices      int // services with state; default 1024; at the bound the one that was idle for longest is forgotten
	MaxFormerMembers int // members outside the subset whose calls in flight are still counted, per service; default 32

	AssumedLatency      time.Duration // of a service without any answer; default 10 ms
	CrossDomainLatency  time.Duration // added for a member of another domain without an answer; default 2 ms
	LatencyTimeConstant time.Duration // time constant of the latency average; default 1 s
	LatencyDecay        time.Duration // time constant with which a high average is forgotten without calls; default 5 s
	MaxSampleRatio      float64       // multiple of the median at which samples are cut; default 16
	MinRiseWeight       float64       // least part of the way that the average moves to a higher sample; default 0.1, 1 is a pure peak

	MaxLoadAge       time.Duration // older load reports are ignored; default 1 s
	LoadTimeConstant time.Duration // time constant of the average of reported load; default 4 s
	LoadGain         float64       // weight of load that others cause against own calls; default 0.5
	SpillUtilization float64       // use of slots from which predicted latency rises; default 0.6
	SpillMargin      float64       // how much dearer the own domain may be before calls leave it; default 1.25
	SlowStart        time.Duration // time over which a new member reaches its full share; default 10 s

	MinSilence          time.Duration // shortest silence that counts; default 1 s: below that, calls that wait for their own sub-calls look silent, and passing over their members overloads the rest
	OutlierRatio        float64       // multiple of the median latency that ejects; default 3
	ConsecutiveFailures int           // broken connections in a row that eject; default 3
	MinEjectionTime     time.Duration // first ejection after refused or broken connections; default 500 ms, doubles up to
	MaxEjectionTime     time.Duration // this; default 8 s
	MinProbeInterval    time.Duration // time between probes of an ejected member; default 100 ms, doubles up to
	MaxProbeInterval    time.Duration // this while probes are slow; default 1 s
	MaxProbeFraction    float64       // most probes per call; default 0.001: a chain of three hops with 0.005 would put more than 1% of its requests on slow members

	MaxHedgeFraction float64 // most second sends per call; default 0.03
	MaxHedgeTokens   float64 // most second sends saved up; default 128
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
