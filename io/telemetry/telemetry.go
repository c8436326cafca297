// Package telemetry provides metrics of the data path of a node.
//
// Calls is a mustardmast.Meter that counts in a set of metrics given to it; there is no global state. Nop counts
// nothing. The series of calls with an error kind and an outcome is created at the first such call, so the number of
// series is bounded by the number of error kinds times the number of outcomes.
package telemetry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardmast"
	"mustardmast/core/fault"
)

// LatencyBuckets are the upper bounds of the buckets of latency histograms, in seconds. They double from 0.5 ms, the
// maximum latency that a node may add to a call, to above the default deadline of 5 s.
var LatencyBuckets = metrics.ExponentialBuckets(0.0005, 2, 15)

const numOutcomes = 3 // unknown, not executed, executed

// Calls implements mustardmast.Meter. Create it with New. Its methods may be called concurrently.
type Calls struct {
	set     *metrics.Set
	calls   [][numOutcomes]atomic.Pointer[metrics.Counter] // by kind and outcome; nil before the first such call
	latency *metrics.PrometheusHistogram

	retries, hedges, stalledConnsClosed, quarantineRejections *metrics.Counter
}

var _ mustardmast.Meter = (*Calls)(nil)

// New returns a meter that counts in set.
func New(set *metrics.Set) *Calls {
	return &Calls{
		set: set, calls: make([][numOutcomes]atomic.Pointer[metrics.Counter], len(fault.Kinds())+1),
		latency:              set.GetOrCreatePrometheusHistogramExt("mustardmast_call_duration_seconds", LatencyBuckets),
		retries:              set.GetOrCreateCounter("mustardmast_retries_total"),
		hedges:               set.GetOrCreateCounter("mustardmast_hedges_total"),
		stalledConnsClosed:   set.GetOrCreateCounter("mustardmast_silent_connections_closed_total"),
		quarantineRejections: set.GetOrCreateCounter("mustardmast_quarantined_refusals_total"),
	}
}

// CallEnded implements mustardmast.Meter. Each counter is looked up by name once and then cached.
func (c *Calls) CallEnded(k fault.Kind, o fault.Outcome) {
	if int(k) >= len(c.calls) || int(o) >= numOutcomes {
		k, o = fault.Internal, fault.Unknown
	}
	cached := &c.calls[k][o]
	counter := cached.Load()
	if counter == nil {
		counter = c.set.GetOrCreateCounter(fmt.Sprintf("mustardmast_calls_total{error=%q,outcome=%q}", k, o))
		cached.Store(counter)
	}
	counter.Inc()
}

// ObserveLatency implements mustardmast.Meter.
func (c *Calls) ObserveLatency(latency time.Duration) { c.latency.Update(latency.Seconds()) }

// Retried implements mustardmast.Meter.
func (c *Calls) Retried() { c.retries.Inc() }

// Hedged implements mustardmast.Meter.
func (c *Calls) Hedged() { c.hedges.Inc() }

// StalledConnClosed implements mustardmast.Meter.
func (c *Calls) StalledConnClosed() { c.stalledConnsClosed.Inc() }

// QuarantineRejected implements mustardmast.Meter.
func (c *Calls) QuarantineRejected() { c.quarantineRejections.Inc() }

// Nop is a Meter that counts nothing.
type Nop struct{}

var _ mustardmast.Meter = Nop{}

// CallEnded does nothing.
func (Nop) CallEnded(fault.Kind, fault.Outcome) {}

// ObserveLatency does nothing.
func (Nop) ObserveLatency(time.Duration) {}

// Retried does nothing.
func (Nop) Retried() {}

// Hedged does nothing.
func (Nop) Hedged() {}

// StalledConnClosed does nothing.
func (Nop) StalledConnClosed() {}

// QuarantineRejected does nothing.
func (Nop) QuarantineRejected() {}
