// Package telemetry counts what happens on the data path of a node.
//
// Calls is a mustardmast.Meter that counts in a set of metrics, which belongs to the process that made it; there is no
// global state. Nop counts nothing. A series of calls by error and outcome exists from the first such call on, so the
// number of series is bounded by the kinds of errors times the outcomes.
package telemetry

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardmast"
	"mustardmast/core/fault"
)

// LatencyBuckets are those of latency histograms in seconds. They double from 0.5 ms, the most that a node may add to a call, to above
// the default deadline of 5 s.
var LatencyBuckets = metrics.ExponentialBuckets(0.0005, 2, 15)

const outcomes = 3

// Calls implements mustardmast.Meter. Use New.
type Calls struct {
	set     *metrics.Set
	calls   [][outcomes]atomic.Pointer[metrics.Counter] // by kind and outcome; nil until the first call
	latency *metrics.PrometheusHistogram

	retries, hedges, silent, quarantined *metrics.Counter
}

var _ mustardmast.Meter = (*Calls)(nil)

// New returns a meter that counts in set.
func New(set *metrics.Set) *Calls {
	return &Calls{
		set: set, calls: make([][outcomes]atomic.Pointer[metrics.Counter], len(fault.Kinds())+1),
		latency:     set.GetOrCreatePrometheusHistogramExt("mustardmast_call_duration_seconds", LatencyBuckets),
		retries:     set.GetOrCreateCounter("mustardmast_retries_total"),
		hedges:      set.GetOrCreateCounter("mustardmast_hedges_total"),
		silent:      set.GetOrCreateCounter("mustardmast_silent_connections_closed_total"),
		quarantined: set.GetOrCreateCounter("mustardmast_quarantined_refusals_total"),
	}
}

// CallEnded counts an ended call. The counter is looked up by name once; later calls find its pointer.
func (c *Calls) CallEnded(k fault.Kind, o fault.Outcome) {
	if int(k) >= len(c.calls) || int(o) >= outcomes {
		k, o = fault.Internal, fault.Unknown
	}
	p := &c.calls[k][o]
	n := p.Load()
	if n == nil {
		n = c.set.GetOrCreateCounter(fmt.Sprintf("mustardmast_calls_total{error=%q,outcome=%q}", k, o))
		p.Store(n)
	}
	n.Inc()
}

// ObserveLatency measures a dispatched call.
func (c *Calls) ObserveLatency(latency time.Duration) { c.latency.Update(latency.Seconds()) }

// Retried counts one more send after a failure.
func (c *Calls) Retried() { c.retries.Inc() }

// Hedged counts a second send beside a late one.
func (c *Calls) Hedged() { c.hedges.Inc() }

// StalledConnClosed counts a closed silent connection.
func (c *Calls) StalledConnClosed() { c.silent.Inc() }

// QuarantineRejected counts a refusal of quarantined content.
func (c *Calls) QuarantineRejected() { c.quarantined.Inc() }

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
