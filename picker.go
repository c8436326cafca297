package mustardmast

import (
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// Result describes how a send to a member ended.
type Result struct {
	Member  NodeID
	Service string
	Latency time.Duration
	Kind    fault.Kind // fault.None on success
	Load    Load
	HasLoad bool

	Long        bool // cost class of the call
	HedgeUnused bool // HedgeAfter allowed a hedged request for this call, and none was sent
}

// Picker chooses the member to which a call is sent. Its methods are safe for concurrent use.
type Picker interface {
	// Pick chooses one of the candidates that are not in tried, and counts the call as in flight there. It returns
	// false if there is none.
	Pick(now time.Time, c call.Call, candidates []Member, tried []NodeID) (Member, bool)

	// Done ends a send that Pick counted as in flight.
	Done(now time.Time, r Result)

	// HedgeAfter returns how long to wait for a response before a hedged request is sent, and false if none is allowed.
	// If it returns true, the hedged request is taken from the budget; a Result with HedgeUnused returns it.
	HedgeAfter(now time.Time, c call.Call) (time.Duration, bool)
}
