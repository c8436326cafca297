package sidecar

import (
	"github.com/VictoriaMetrics/metrics"

	"mustardmast/core/quota"
	"mustardmast/platform"
)

const (
	// headMemoryFraction and payloadMemoryFraction are the fractions of the process's memory limit that heads of requests,
	// and bodies and replies that are buffered, may take together, beside that of their connections.
	headMemoryFraction    = 0.125
	payloadMemoryFraction = 0.25
	maxPayloadBytes       = 48 << 20
)

// memory holds what the requests of all ports share.
type memory struct{ heads, payloads *quota.Quota }

func newMemory(s platform.Settings, set *metrics.Set) *memory {
	limit := float64(s.MemoryBytes())
	m := &memory{heads: quota.New(int64(headMemoryFraction * limit)), payloads: quota.New(min(maxPayloadBytes, int64(payloadMemoryFraction*limit)))}
	set.NewGauge("mustardmast_payload_bytes", func() float64 { return float64(m.payloads.Used()) })
	set.NewGauge("mustardmast_head_bytes", func() float64 { return float64(m.heads.Used()) })
	return m
}
