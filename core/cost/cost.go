// Package cost classifies methods as short or long and estimates their relative cost.
//
// A method is long if the configuration declares it, or if its mean latency is many times that of the short methods. A
// method that was classified as long by its latency becomes short again when its mean falls.
//
// A Cost is not safe for concurrent use; core/admit guards it with its lock.
package cost

import "time"

const (
	// MaxMethods bounds the number of methods that are tracked. Further methods share one entry, which is never
	// classified as long by its latency.
	MaxMethods = 256
	// A method becomes long at longFactor times the mean latency of the short methods, and short again below half of
	// that.
	longFactor = 10
	// minSamples is the number of completions from which on a mean is used.
	minSamples = 16
	// meanWeight is the weight of one completion in a moving average. It averages over about 128 completions, which
	// leaves a statistical error of a tenth.
	meanWeight = 1.0 / 128
)

// Cost tracks the latencies of the methods of one service. Use New.
type Cost struct {
	methods map[string]*method
	other   method // shared by the methods beyond MaxMethods
	short   method // completions of all short methods
}

type method struct {
	mean float64 // seconds
	n    int
	long bool
}

// New returns a Cost without observations.
func New() *Cost { return &Cost{methods: make(map[string]*method)} }

func (c *Cost) find(name string) *method {
	if m := c.methods[name]; m != nil {
		return m
	}
	return &c.other
}

// Observe records the latency of a completed call. Declared is true if the configuration declares the method as long.
func (c *Cost) Observe(name string, declared bool, latency time.Duration) {
	m := c.methods[name]
	if m == nil {
		m = &c.other
		if len(c.methods) < MaxMethods {
			m = &method{}
			c.methods[name] = m
		}
	}
	s := latency.Seconds()
	m.observe(s)
	if m != &c.other && c.short.n >= minSamples && m.n >= minSamples {
		m.long = m.mean > c.short.mean*longFactor || m.long && m.mean > c.short.mean*longFactor/2
	}
	if declared || m.long {
		return
	}
	if c.short.n >= minSamples {
		// The first calls of a long method must not raise the mean with which it is compared.
		s = min(s, c.short.mean*longFactor)
	}
	c.short.observe(s)
}

func (m *method) observe(s float64) {
	m.n++
	m.mean += (s - m.mean) * max(meanWeight, 1/float64(m.n))
}

func (m *method) known() bool { return m.n >= minSamples && m.mean > 0 }

// Long reports whether a method is long, by its declaration or by its latency.
func (c *Cost) Long(name string, declared bool) bool { return declared || c.find(name).long }

// Relative returns the ratio of the mean latency of a method to that of short calls, or 1 if it is not known yet.
// Congestion slows down all methods alike and does not change this ratio.
func (c *Cost) Relative(name string) float64 {
	m := c.find(name)
	if !m.known() || !c.short.known() {
		return 1
	}
	return m.mean / c.short.mean
}

// Mean returns the mean latency of a method, or 0 if it is not known yet.
func (c *Cost) Mean(name string) time.Duration { return c.find(name).duration() }

// Short returns the mean latency of short calls, or 0 if it is not known yet.
func (c *Cost) Short() time.Duration { return c.short.duration() }

func (m *method) duration() time.Duration {
	if !m.known() {
		return 0
	}
	return time.Duration(m.mean * float64(time.Second))
}
