package mustardmast

import (
	"time"

	"mustardmast/core/fault"
)

// Meter collects the metrics of the data path of one node. Its methods are safe for concurrent use.
type Meter interface {
	// CallEnded counts a call from the caller address that has ended, by the error kind and outcome that its caller
	// received.
	CallEnded(k fault.Kind, o fault.Outcome)

	// ObserveLatency records the latency of a dispatched call, until its response or its rejection was written.
	ObserveLatency(latency time.Duration)

	// Retried counts a retry of a call.
	Retried()

	// Hedged counts a hedged request: a second send of a call whose first response is late.
	Hedged()

	// StalledConnClosed counts a connection to another node that was closed because it made no progress.
	StalledConnClosed()

	// QuarantineRejected counts a call that was rejected because requests like it have crashed targets.
	QuarantineRejected()
}
