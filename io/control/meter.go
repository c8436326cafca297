package control

import (
	"sync/atomic"
	"time"
)

// Meter counts what control costs. Busy is the time that handlers of datagrams, ticks and calls took, which is an upper
// bound of their processor time.
type Meter struct {
	sent, received, malformed atomic.Uint64
	handling                  atomic.Int64
	platformCalls             atomic.Uint64
}

// Sent returns the bytes sent, with estimated headers of the layers below.
func (m *Meter) Sent() uint64 { return m.sent.Load() }

// Received returns the bytes received, with estimated headers of the layers below.
func (m *Meter) Received() uint64 { return m.received.Load() }

// Malformed returns the datagrams that could not be decoded.
func (m *Meter) Malformed() uint64 { return m.malformed.Load() }

// Busy returns the time spent in handlers.
func (m *Meter) Busy() time.Duration { return time.Duration(m.handling.Load()) }

// PlatformCalls returns the calls made to the platform; a waiting watch is one call.
func (m *Meter) PlatformCalls() uint64 { return m.platformCalls.Load() }

func (m *Meter) busy(since time.Time) { m.handling.Add(int64(time.Since(since))) }
