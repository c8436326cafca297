package mustardmast

import (
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// Action is what admission decided.
type Action uint8

// Actions.
const (
	Run Action = iota
	Wait
	Reject
)

// Work is one call that asks for a slot of the target on this host.
type Work struct {
	Ticket   uint64 // unique among the calls that this node has not finished
	Call     call.Call
	Deadline time.Time
	Long     bool   // declared cost class
	Withheld uint32 // calls that the sender refused on this node's behalf since its last call of this kind
}

// Verdict is the decision on one ticket.
type Verdict struct {
	Ticket     uint64
	Action     Action
	Kind       fault.Kind // reason of a refusal
	RetryAfter time.Duration
}

// Completion is how a running call ended.
type Completion struct {
	Ticket      uint64
	Latency     time.Duration // from hand-over to the target until its answer was complete
	SubCallTime time.Duration // the part of Latency in which the target waited for its own sub-calls, 0 if unknown
	Kind        fault.Kind    // fault.None on success
}

// Level is the share of requests, in 64ths, that is admitted for one priority and backer: a request is admitted if its
// cohort is below it.
type Level uint8

// FullLevel admits every cohort.
const FullLevel Level = call.NumCohorts

// Admitter decides which calls the target on this host runs, and when. Its methods are safe for concurrent use and
// never block; waiting is the caller's business.
type Admitter interface {
	// Offer asks for a slot. A verdict of Wait is followed by another verdict for the same ticket from Done or Tick.
	Offer(now time.Time, w Work) Verdict

	// Done gives a slot back and returns verdicts for tickets that waited.
	Done(now time.Time, c Completion) []Verdict

	// Cancel withdraws a ticket that waits.
	Cancel(now time.Time, ticket uint64)

	// Tick advances windows and returns verdicts for tickets that waited.
	Tick(now time.Time) []Verdict

	// LevelFor returns the level in force for one priority and backer.
	LevelFor(now time.Time, p call.Priority, backer string) Level

	// Load returns the figures that answers carry.
	Load(now time.Time) Load
}
