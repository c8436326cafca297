package mustardmast

import (
	"context"
	"io"
	"net/http"
	"time"
)

// TargetCall is one request on its way to a target of a service.
type TargetCall struct {
	ID        string // identifies the caller's attempt
	Service   string
	Route     string // host and path prefix
	Version   uint64 // of the configuration by which it was routed
	EntryHost string // host where the request entered the system
	Method    string
	URI       string
	Host      string
	Header    http.Header // end-to-end fields
	Body      io.Reader   // nil for none
	Length    int64       // of the body; -1 if unknown
	Content   uint64      // equal for calls that differ in their id and framing only; 0 if unknown
	Priority  int         // of the root request of the call chain; 0 is the most important

	Rank             int     // priority steps of the root request above the lowest priority
	AdmittedFraction float64 // fraction of requests like the root request that were admitted before

	Repeatable    bool // may run more than once
	SubCall       bool // made by a target while it serves another request
	CallerRetry   bool // the caller was rejected before and retries
	Retry         bool // this call, or the request that it is a sub-call of, was already sent to another target
	OfferedBefore bool // the call was already offered to another node

	Begun    time.Time // when the root request entered
	Deadline time.Time
	MaxWait  time.Duration // for a slot
}

// TargetReply is the response of a target.
type TargetReply struct {
	Status int
	Header http.Header
	Length int64         // of the body; -1 if unknown
	Body   io.ReadCloser // reading it fails if the response is truncated
}

// TargetReport is the state of a target that the node beside it reports with each reply and rejection.
type TargetReport struct {
	Ready                   bool
	Service                 string
	Limit, Running, Waiting int
	Duration                time.Duration // mean duration of a request
	Level                   float64       // shedding level of the target and of those that it calls
	Version                 uint64        // of the node's configuration
	HasSubCalls             bool          // the call that is reported on has made sub-calls
}

// Executor runs calls on targets. Execute may be called concurrently.
type Executor interface {
	// Execute returns the reply of the target, whose body the caller must close, or an error with a fault kind. An
	// error whose outcome is not-executed guarantees that the call has not run and will not run. When ctx ends, a call
	// that has not started is dropped; a call that has started and is not repeatable continues.
	Execute(ctx context.Context, c *TargetCall) (*TargetReply, TargetReport, error)
}
