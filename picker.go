package mustardmast

import (
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// Result is how one send to a member ended.
type Result struct {
	Member  NodeID
	Service string
	Latency time.Duration
	Kind    fault.Kind // fault.None on success
	Load    Load
	HasLoad bool

	Long        bool // cost class of the call
	HedgeUnused bool // HedgeAfter allowed a second send for this call, and none was made
}

// Picker chooses the member that gets a call.
type Picker interface {
	// Pick chooses among candidates, passing over those in tried, and counts the call as in flight there.
	Pick(now time.Time, c call.Call, candidates []Member, tried []NodeID) (Member, bool)

	// Done ends a send that Pick counted.
	Done(now time.Time, r Result)

	// HedgeAfter returns how long to wait for a first answer before a second send, and false when none is allowed.
	// True reserves a second send from a budget; it stays spent unless a Result with HedgeUnused gives it back.
	HedgeAfter(now time.Time, c call.Call) (time.Duration, bool)
}
