package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error of one kind.
type Error struct {
	kind       Kind
	outcome    Outcome
	detail     string
	retryAfter time.Duration
	cause      error
}

// New returns an error of kind k. The detail says what was wrong and with which value.
func New(k Kind, detail string) *Error {
	return &Error{kind: k, outcome: k.Properties().Outcome, detail: detail}
}

// Newf is New with a format.
func Newf(k Kind, format string, args ...any) *Error {
	return New(k, fmt.Sprintf(format, args...))
}

// Wrap returns an error of kind k with a cause.
func Wrap(cause error, k Kind, detail string) *Error {
	e := New(k, detail)
	e.cause = cause
	return e
}

// WithRetryAfter returns a copy that tells the caller when to try again.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// WithOutcome returns a copy with a weaker or better known outcome than the kind's own, for example a shed resend
// whose first attempt may have run.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.outcome = o
	return &c
}

// Error returns the kind, the detail and the cause.
func (e *Error) Error() string {
	s := e.kind.String()
	if e.detail != "" {
		s += ": " + e.detail
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Outcome returns what the caller is told about the execution.
func (e *Error) Outcome() Outcome { return e.outcome }

// Detail returns what was wrong.
func (e *Error) Detail() string { return e.detail }

// RetryAfter returns when to try again, or 0.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// From returns err as an *Error. An error without a kind becomes Internal, whose outcome is unknown.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "")
}

// KindOf returns the kind of err, None for nil.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	return From(err).Kind()
}
