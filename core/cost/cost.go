// Package cost tells short methods from long ones and knows how long a method takes when its target is not crowded.
//
// A method is long when the configuration declares it, or when its mean latency is many times that of the other
// methods. Each method has a running mean and a base: the lowest mean seen, which drifts upwards slowly so that a
// method that became slower for good gets a new base. The ratio of mean to base is what core/limit judges crowding by;
// a base per method keeps a change in the mix of methods from looking like crowding.
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
	// meanWeight averages over about 128 completions. With 32, chance alone moved the base of exponentially distributed
	// latencies a third below their mean.
	meanWeight = 1.0 / 128
	// driftPerSample lets the base double in about 7,000 completions.
	driftPerSample = 1.0001
)

// Cost learns the latencies of the methods of one service. Use New.
type Cost struct {
	methods map[string]*method
	other   method
	short   method // all short completions
}

type method struct {
	mean, base float64 // seconds
	n          int
	long       bool
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
	m.observe(latency.Seconds())
	if m != &c.other && c.short.n >= minSamples && m.n >= minSamples {
		m.long = m.mean > c.short.mean*longFactor || m.long && m.mean > c.short.mean*longFactor/2
	}
	if !declared && !m.long {
		c.short.observe(min(latency.Seconds(), c.typical()))
	}
}

// typical bounds what one completion adds to the mean of the short ones, so that the first calls of a long method do
// not raise it above their own class.
func (c *Cost) typical() float64 {
	if c.short.n < minSamples {
		return 1e9
	}
	return c.short.mean * longFactor
}

func (m *method) observe(s float64) {
	m.n++
	m.mean += (s - m.mean) * max(meanWeight, 1/float64(m.n))
	if m.n < minSamples {
		return
	}
	if m.base == 0 || m.mean < m.base {
		m.base = m.mean
	}
	m.base *= driftPerSample
}

// Long reports the cost class of a method.
func (c *Cost) Long(name string, declared bool) bool { return declared || c.find(name).long }

// Base returns the mean latency of a method when its target is not crowded, 0 when it is not known yet.
func (c *Cost) Base(name string) time.Duration { return seconds(c.find(name).base) }

// Mean returns the mean latency of a method, 0 when it is not known yet.
func (c *Cost) Mean(name string) time.Duration {
	m := c.find(name)
	if m.n < minSamples {
		return 0
	}
	return seconds(m.mean)
}

// Short returns the mean latency of short calls, 0 when it is not known yet.
func (c *Cost) Short() time.Duration {
	if c.short.n < minSamples {
		return 0
	}
	return seconds(c.short.mean)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
