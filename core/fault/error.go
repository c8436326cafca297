package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error with a kind. It is immutable.
type Error struct {
	kind       Kind
	outcome    Outcome
	detail     string
	retryAfter time.Duration
	onlyHost   string
	cause      error
}

// New returns an error of kind k. The detail says what was wrong, including the offending value.
func New(k Kind, detail string) *Error {
	return &Error{kind: k, outcome: k.Properties().Outcome, detail: detail}
}

// Newf is like New, but formats the detail.
func Newf(k Kind, format string, args ...any) *Error {
	return New(k, fmt.Sprintf(format, args...))
}

// Wrap returns an error of kind k with a cause.
func Wrap(cause error, k Kind, detail string) *Error {
	e := New(k, detail)
	e.cause = cause
	return e
}

// WithRetryAfter returns a copy with the time that the caller is to wait before it retries.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// WithOnlyHost returns a copy that names the only host on which the request may run.
func (e *Error) WithOnlyHost(host string) *Error {
	c := *e
	c.onlyHost = host
	return &c
}

// WithOutcome returns a copy with an outcome other than that of its kind, for example for a resend that is shed
// although the first attempt may have been executed.
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

// Outcome returns the outcome that is reported to the caller.
func (e *Error) Outcome() Outcome { return e.outcome }

// Detail returns the detail, without the kind and the cause.
func (e *Error) Detail() string { return e.detail }

// RetryAfter returns how long the caller is to wait before it retries, or 0.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// OnlyHost returns the name of the only host on which the request may run, or "" if it may run on any.
func (e *Error) OnlyHost() string { return e.onlyHost }

// From returns err as an *Error. An error without a kind becomes Internal, whose outcome is Unknown.
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

// KindOf returns the kind of err, or None if err is nil.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	return From(err).Kind()
}
