package control

import (
	"sync/atomic"
	"time"
)

// Meter counts the cost of the control plane. Its methods are safe for concurrent use.
type Meter struct {
	sent, received, malformed atomic.Uint64
	busyNanos                 atomic.Int64
	platformCalls             atomic.Uint64
}

// Sent returns the bytes sent, including an estimate of the headers of lower layers.
func (m *Meter) Sent() uint64 { return m.sent.Load() }

// Received returns the bytes received, including an estimate of the headers of lower layers.
func (m *Meter) Received() uint64 { return m.received.Load() }

// Malformed returns the number of datagrams that could not be decoded.
func (m *Meter) Malformed() uint64 { return m.malformed.Load() }

// Busy returns the wall-clock time spent in handlers of datagrams, ticks and calls, an upper bound of their CPU time.
func (m *Meter) Busy() time.Duration { return time.Duration(m.busyNanos.Load()) }

// PlatformCalls returns the number of calls to the platform; a waiting watch is one call.
func (m *Meter) PlatformCalls() uint64 { return m.platformCalls.Load() }

func (m *Meter) recordBusy(since time.Time) { m.busyNanos.Add(int64(time.Since(since))) }
