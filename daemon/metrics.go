package daemon

import (
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// registerMetrics adds the metrics of the node. The control service has its own budget of processor time, memory and
// bytes, and therefore its own metrics.
func (b *adminBackend) registerMetrics(set *metrics.Set) {
	m := b.control.Meter()
	set.NewGauge("mustardmast_control_busy_seconds_total", func() float64 { return m.Busy().Seconds() })
	set.NewGauge("mustardmast_control_sent_bytes_total", func() float64 { return float64(m.Sent()) })
	set.NewGauge("mustardmast_control_received_bytes_total", func() float64 { return float64(m.Received()) })
	set.NewGauge("mustardmast_control_malformed_datagrams_total", func() float64 { return float64(m.Malformed()) })
	set.NewGauge("mustardmast_members", func() float64 { return float64(b.control.Members().Len()) })
	set.NewGauge("mustardmast_config_generation", func() float64 { return float64(b.control.Version().Generation) })
	set.NewGauge("mustardmast_calls_in_flight", func() float64 { return float64(b.node.Load(time.Now()).InFlight) })
	set.NewGauge("mustardmast_calls_queued", func() float64 { return float64(b.node.Load(time.Now()).Queued) })
	set.NewGauge("mustardmast_concurrency_limit", func() float64 { return float64(b.node.Load(time.Now()).Limit) })
	set.NewGauge("mustardmast_ledger_records", func() float64 { return float64(b.node.LedgerLen()) })
	set.NewGauge("mustardmast_register_records", func() float64 { return float64(b.node.RegisterLen()) })
	set.NewGauge("mustardmast_heap_bytes", func() float64 {
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc)
	})
}
