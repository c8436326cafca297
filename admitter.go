package mustardmast

import (
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// Action is the decision of an Admitter on a call.
type Action uint8

// Actions: run the call now, let it wait for a slot, or reject it.
const (
	Run Action = iota
	Wait
	Reject
)

// Work is a call that requests a slot of the target on this host.
type Work struct {
	Ticket   uint64 // unique among the calls that this node has not finished
	Call     call.Call
	Deadline time.Time
	Long     bool   // declared cost class
	Withheld uint32 // calls that the sender rejected on this node's behalf since its last call of this kind
}

// Verdict is the decision on the call with the given ticket.
type Verdict struct {
	Ticket     uint64
	Action     Action
	Kind       fault.Kind // reason of a rejection
	RetryAfter time.Duration
}

// Completion describes how a running call ended.
type Completion struct {
	Ticket      uint64
	Latency     time.Duration // from sending the call to the target until the response was complete
	SubCallTime time.Duration // part of Latency that the target spent waiting for its own sub-calls; 0 if unknown
	Kind        fault.Kind    // fault.None on success
}

// Level is the fraction of requests, in 64ths, that is admitted for one priority and backer: a request is admitted if
// its cohort is below the level.
type Level uint8

// FullLevel admits every cohort.
const FullLevel Level = call.NumCohorts

// Admitter decides which calls the target on this host runs, and when. Its methods are safe for concurrent use and
// never block; the caller does the waiting.
type Admitter interface {
	// Offer requests a slot. A verdict of Wait is followed by another verdict for the same ticket from Done or Tick.
	Offer(now time.Time, w Work) Verdict

	// Done releases a slot and returns verdicts for waiting tickets.
	Done(now time.Time, c Completion) []Verdict

	// Cancel removes a waiting ticket.
	Cancel(now time.Time, ticket uint64)

	// Tick advances the time windows and returns verdicts for waiting tickets.
	Tick(now time.Time) []Verdict

	// LevelFor returns the current level for one priority and backer.
	LevelFor(now time.Time, p call.Priority, backer string) Level

	// Load returns the load that is reported with responses.
	Load(now time.Time) Load
}
