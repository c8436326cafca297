package platform

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"mustardmast/core/fault"
)

// Op is a call of the object API.
type Op string

// Calls of the object API.
const (
	OpGet   Op = "get"
	OpPut   Op = "put"
	OpWatch Op = "watch"
)

// Meter records calls of the object API. Its methods are called concurrently.
type Meter interface {
	// RecordCall records a finished call and the size of the value that it transferred. The result is fault.None on
	// success.
	RecordCall(op Op, result fault.Kind, bytes int)

	// AddWaiting changes the number of waiting watches by delta. A waiting watch is one call in progress.
	AddWaiting(delta int)
}

type noMeter struct{}

func (noMeter) RecordCall(Op, fault.Kind, int) {}
func (noMeter) AddWaiting(int)                 {}

// Metrics is a Meter that exports counters and a gauge in a metrics.Set.
type Metrics struct {
	set     *metrics.Set
	bytes   *metrics.Counter
	waiting atomic.Int64
}

// NewMetrics returns a Meter whose metrics are registered in set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{set: set, bytes: set.GetOrCreateCounter("mustardmast_platform_value_bytes_total")}
	set.GetOrCreateGauge("mustardmast_platform_waiting_watches", func() float64 { return float64(m.waiting.Load()) })
	return m
}

// RecordCall counts a finished call.
func (m *Metrics) RecordCall(op Op, result fault.Kind, bytes int) {
	m.bytes.Add(bytes)
	m.set.GetOrCreateCounter(fmt.Sprintf("mustardmast_platform_calls_total{call=%q,result=%q}", op, result)).Inc()
}

// AddWaiting changes the number of waiting watches by delta.
func (m *Metrics) AddWaiting(delta int) { m.waiting.Add(int64(delta)) }
