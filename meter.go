package mustardmast

import (
	"time"

	"mustardmast/core/fault"
)

// Meter counts what happens on the data path of one node. It is called on every call, from many goroutines.
type Meter interface {
	// CallEnded counts a call that came in by the caller address and has ended, by what its caller was told.
	CallEnded(k fault.Kind, o fault.Outcome)

	// ObserveLatency measures a call that was read and dispatched, until its answer was written or refused.
	ObserveLatency(latency time.Duration)

	// Retried counts one more send of a call whose earlier send failed.
	Retried()

	// Hedged counts a second send beside one that is late.
	Hedged()

	// StalledConnClosed counts a connection to another node that was closed because it made no progress.
	StalledConnClosed()

	// QuarantineRejected counts a call that this node refused because requests like it have crashed targets.
	QuarantineRejected()
}
