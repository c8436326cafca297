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
	Get   Op = "get"
	Put   Op = "put"
	Watch Op = "watch"
)

// Meter is told of every call.
type Meter interface {
	// Call counts one finished call, with the bytes of the value that it carried. The kind is fault.None on success.
	Call(op Op, result fault.Kind, bytes int)

	// Waiting adds to the number of waiting watches. A waiting watch counts as one call in progress.
	Waiting(delta int)
}

type noMeter struct{}

func (noMeter) Call(Op, fault.Kind, int) {}
func (noMeter) Waiting(int)              {}

// Metrics is a Meter that counts in a set of metrics.
type Metrics struct {
	set     *metrics.Set
	bytes   *metrics.Counter
	waiting atomic.Int64
}

// NewMetrics returns a Meter that counts in set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{set: set, bytes: set.GetOrCreateCounter("mustardmast_platform_value_bytes_total")}
	set.GetOrCreateGauge("mustardmast_platform_waiting_watches", func() float64 { return float64(m.waiting.Load()) })
	return m
}

// Call counts one finished call.
func (m *Metrics) Call(op Op, result fault.Kind, bytes int) {
	m.bytes.Add(bytes)
	m.set.GetOrCreateCounter(fmt.Sprintf("mustardmast_platform_calls_total{call=%q,result=%q}", op, result)).Inc()
}

// Waiting adds to the number of waiting watches.
func (m *Metrics) Waiting(delta int) { m.waiting.Add(int64(delta)) }
