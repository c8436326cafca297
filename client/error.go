package client

import (
	"time"

	"mustardmast/core/fault"
)

// Advice is what a caller may do after an error.
type Advice uint8

// Advice, from the least to the most delicate.
const (
	// SendAgain: the request did not run, or may run again. Send it again after RetryAfter.
	SendAgain Advice = iota
	// FixRequest: the request did not run and will not as it is.
	FixRequest
	// SendSameID: the request may have run. Send it again with the same ID to learn what became of it; it will not run
	// a second time.
	SendSameID
	// CheckState: the request may have run, and nobody can tell any more. Look at the data before sending a new one.
	CheckState
	// Stop: the request ran. Its answer is no longer held.
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

// AdviceFor returns the advice for an error kind with the outcome that the answer states.
func AdviceFor(k fault.Kind, o fault.Outcome, idempotent bool) Advice {
	switch {
	case wrong(k):
		return FixRequest
	case o == fault.Executed && !idempotent:
		if k == fault.AnswerCut {
			return SendSameID // the owner of the id may hold the answer
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

// wrong kinds are raised by the request itself.
func wrong(k fault.Kind) bool {
	switch k {
	case fault.BadRequest, fault.RequestIDNotIssued, fault.RequestIDReused, fault.CallKeyMissing, fault.UnknownService,
		fault.UnknownMethod, fault.LoopDetected, fault.DepthExceeded, fault.Quarantined, fault.NotFound,
		fault.ConfigInvalid:
		return true
	default:
		return false
	}
}

// Error is the end of a request without a complete response. It unwraps to a *fault.Error.
type Error struct {
	cause    *fault.Error
	id       string
	attempts int
	advice   Advice
}

// Error returns the kind, the outcome and the detail.
func (e *Error) Error() string {
	return "request " + e.id + ": " + e.cause.Error() + " (" + e.cause.Outcome().String() + ", " + e.advice.String() + ")"
}

// Unwrap returns the *fault.Error.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the error kind.
func (e *Error) Kind() fault.Kind { return e.cause.Kind() }

// Outcome returns what is known about the execution, over all sends.
func (e *Error) Outcome() fault.Outcome { return e.cause.Outcome() }

// RetryAfter returns the wait that the answer asks for, or 0.
func (e *Error) RetryAfter() time.Duration { return e.cause.RetryAfter() }

// ID returns the request id, empty if none could be taken.
func (e *Error) ID() string { return e.id }

// Attempts returns how often the request was sent.
func (e *Error) Attempts() int { return e.attempts }

// Advice returns what the caller may do.
func (e *Error) Advice() Advice { return e.advice }
