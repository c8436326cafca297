package sidecar

import (
	"github.com/VictoriaMetrics/metrics"

	"mustardmast/core/quota"
	"mustardmast/platform"
)

// headMemoryFraction is the fraction of the process's memory limit that the heads of requests may take together, beside
// that of their connections.
const headMemoryFraction = 0.125

// memory holds what the requests of all ports share.
type memory struct{ heads *quota.Quota }

func newMemory(s platform.Settings, set *metrics.Set) *memory {
	m := &memory{heads: quota.New(int64(headMemoryFraction * float64(s.MemoryBytes())))}
	set.NewGauge("mustardmast_head_bytes", func() float64 { return float64(m.heads.Used()) })
	return m
}
