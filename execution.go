package mustardmast

import (
	"context"
	"io"
	"net/http"
	"time"
)

// TargetCall is one request on its way to a target of a service.
type TargetCall struct {
	ID        string // of the caller's attempt
	Service   string
	Route     string // host and path prefix
	Version   uint64 // of the configuration that routed it
	EntryHost string // host where it started
	Method    string
	URI       string
	Host      string
	Header    http.Header // end-to-end fields
	Body      io.Reader   // nil for none
	Length    int64       // of the body; -1 if it is not known
	Priority  int         // of the request at the top of the chain; 0 is the most important

	Rank             int     // steps of importance of that request above the least important ones
	AdmittedFraction float64 // share of such requests that were let through where it entered

	Repeatable    bool // may run more than once
	SubCall       bool // a call of a request that runs elsewhere
	CallerRetry   bool // its caller was turned away before
	Retry         bool // another target has been sent it, or the request that it is a call of, before
	OfferedBefore bool // another node has been offered it before

	Deadline time.Time
	MaxWait  time.Duration // longest wait for a slot
}

// TargetReply is the answer of a target.
type TargetReply struct {
	Status int
	Header http.Header
	Length int64         // of the body; -1 if it is not known
	Body   io.ReadCloser // reading it fails if the answer breaks off
}

// TargetReport is what the node beside a target tells of it with each reply and refusal.
type TargetReport struct {
	Ready                   bool
	Service                 string
	Limit, Running, Waiting int
	Duration                time.Duration // mean time that a request takes
	Level                   float64       // of shedding, here and further down the chain
	Version                 uint64        // of the configuration that the node has
	HasSubCalls             bool          // the call that this comes with has made calls of its own
}

// Executor runs calls on targets.
type Executor interface {
	// Execute returns the reply of the target, or an error with a fault kind. An error whose outcome is not-executed is
	// a promise that the call has not run and will not. When ctx ends, a call that has not started is dropped; one that
	// is not repeatable and has started runs on.
	Execute(ctx context.Context, c *TargetCall) (*TargetReply, TargetReport, error)
}
