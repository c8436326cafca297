package client

import (
	"time"

	"mustardmast/core/fault"
)

// Advice is what a caller may do after an error.
type Advice uint8

// Values of Advice, from the least to the most serious.
const (
	// SendAgain means that the request did not run or may run more than once. Send it again after RetryAfter.
	SendAgain Advice = iota
	// FixRequest means that the request did not run and cannot run unless it is changed.
	FixRequest
	// SendSameID means that the request may have run. Send it again with the same ID to get its outcome; it will not
	// run a second time.
	SendSameID
	// CheckState means that the request may have run and that its outcome can no longer be determined. Check the data
	// before sending a new request.
	CheckState
	// Stop means that the request ran and that its response is no longer stored.
	Stop
)

var adviceNames = [...]string{"send-again", "fix-request", "send-same-id", "check-state", "stop"}

// String returns the name used in docs/caller-api.md.
func (a Advice) String() string {
	if int(a) >= len(adviceNames) {
		return "invalid"
	}
	return adviceNames[a]
}

// AdviceFor returns the advice for an error kind and the outcome that the response states.
func AdviceFor(k fault.Kind, o fault.Outcome, idempotent bool) Advice {
	switch {
	case isRequestFault(k):
		return FixRequest
	case o == fault.Executed && !idempotent:
		if k == fault.AnswerCut {
			return SendSameID // the owner of the id may have stored the response
		}
		return Stop
	case o == fault.NotExecuted && k == fault.Fenced && !idempotent:
		return SendSameID // another attempt of the request may have run
	case o == fault.NotExecuted, idempotent:
		return SendAgain
	case k == fault.RequestIDExpired, k == fault.OutcomeUnknown:
		return CheckState
	default:
		return SendSameID
	}
}

// isRequestFault reports whether an error of kind k is caused by the request itself.
func isRequestFault(k fault.Kind) bool {
	switch k {
	case fault.BadRequest, fault.RequestIDNotIssued, fault.RequestIDReused, fault.CallKeyMissing, fault.UnknownService,
		fault.UnknownMethod, fault.LoopDetected, fault.DepthExceeded, fault.Quarantined, fault.NotFound,
		fault.ConfigInvalid:
		return true
	default:
		return false
	}
}

// Error is the error of a request that got no complete response. It unwraps to a *fault.Error.
type Error struct {
	cause    *fault.Error
	id       string
	attempts int
	advice   Advice
}

// Error returns the request id, the kind, the detail, the outcome and the advice.
func (e *Error) Error() string {
	return "request " + e.id + ": " + e.cause.Error() + " (" + e.cause.Outcome().String() + ", " + e.advice.String() + ")"
}

// Unwrap returns the *fault.Error.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the error kind.
func (e *Error) Kind() fault.Kind { return e.cause.Kind() }

// Outcome returns what is known about the execution, over all sends.
func (e *Error) Outcome() fault.Outcome { return e.cause.Outcome() }

// RetryAfter returns the wait that the response requests, or 0.
func (e *Error) RetryAfter() time.Duration { return e.cause.RetryAfter() }

// ID returns the request id, or an empty string if none could be obtained.
func (e *Error) ID() string { return e.id }

// Attempts returns the number of times that the request was sent.
func (e *Error) Attempts() int { return e.attempts }

// Advice returns what the caller may do.
func (e *Error) Advice() Advice { return e.advice }
