// Package cost tells short methods from long ones and knows what a method takes in relation to the others.
//
// A method is long when the configuration declares it, or when its mean latency is many times that of the short ones.
// A method that was learned to be long becomes short again when its mean falls.
//
// A Cost is not safe for concurrent use; core/admit holds it under its lock.
package cost

import "time"

const (
	// MaxMethods bounds the table. Methods beyond it share one entry, which is never learned to be long.
	MaxMethods = 256
	// A method becomes long at longFactor times the mean of the short ones and short again below half of that.
	longFactor = 10
	// minSamples is the number of completions before a mean is used.
	minSamples = 16
	// meanWeight averages over about 128 completions, which leaves a tenth to chance.
	meanWeight = 1.0 / 128
)

// Cost learns the latencies of the methods of one service. Use New.
type Cost struct {
	methods map[string]*method
	other   method
	short   method // all short completions
}

type method struct {
	mean float64 // seconds
	n    int
	long bool
}

// New returns a Cost that has learned nothing.
func New() *Cost { return &Cost{methods: make(map[string]*method)} }

func (c *Cost) find(name string) *method {
	if m := c.methods[name]; m != nil {
		return m
	}
	return &c.other
}

// Observe learns from one completed call.
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
		// The first calls of a long method must not raise the mean that it is compared with.
		s = min(s, c.short.mean*longFactor)
	}
	c.short.observe(s)
}

func (m *method) observe(s float64) {
	m.n++
	m.mean += (s - m.mean) * max(meanWeight, 1/float64(m.n))
}

func (m *method) known() bool { return m.n >= minSamples && m.mean > 0 }

// Long reports the cost class of a method.
func (c *Cost) Long(name string, declared bool) bool { return declared || c.find(name).long }

// Relative returns what a method takes in relation to the mean short call, 1 when it is not known yet. Crowding slows
// all methods alike and leaves this figure as it is.
func (c *Cost) Relative(name string) float64 {
	m := c.find(name)
	if !m.known() || !c.short.known() {
		return 1
	}
	return m.mean / c.short.mean
}

// Mean returns the mean latency of a method, 0 when it is not known yet.
func (c *Cost) Mean(name string) time.Duration { return c.find(name).duration() }

// Short returns the mean latency of short calls, 0 when it is not known yet.
func (c *Cost) Short() time.Duration { return c.short.duration() }

func (m *method) duration() time.Duration {
	if !m.known() {
		return 0
	}
	return time.Duration(m.mean * float64(time.Second))
}
