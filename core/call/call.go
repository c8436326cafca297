// Package call defines the call that all parts of the system share: who makes it, which method it invokes, how
// important it is, and what remains of its deadline and retry budget.
//
// A request enters the system once and becomes a tree of calls, one per hop. All calls of a tree share the root request
// id and the cohort; each has its own attempt number, deadline and remaining retry budget. A Call is an immutable
// value: a hop derives the next call and never changes the one it received.
package call

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// NumCohorts is the number of cohorts that requests are hashed into for load shedding.
const NumCohorts = 64

// Limits on externally supplied values, which bound the memory that one call can occupy.
const (
	MaxIDLength   = 200
	MaxNameLength = 64
	MaxAttempt    = 1000
	MaxRetries    = 100
)

// Priority is the importance of a call. Calls with smaller values are shed later.
type Priority uint8

// Priorities, the most important first.
const (
	Critical Priority = iota
	High
	Normal
	Low
	// NumPriorities is the number of priorities.
	NumPriorities = 4
)

var priorityNames = [NumPriorities]string{"critical", "high", "normal", "low"}

// String returns the name used in headers and in the configuration.
func (p Priority) String() string {
	if int(p) >= NumPriorities {
		return "invalid"
	}
	return priorityNames[p]
}

// ParsePriority returns the priority with the given name.
func ParsePriority(s string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == s {
			return Priority(i), true
		}
	}
	return Low, false
}

// Spec contains the fields of a Call, as passed to New.
type Spec struct {
	ID         string // request id; sub-calls append "/" and their call key to the root's
	Key        string // call key set by the calling target, if any
	Service    string
	Method     string
	Backer     string
	Priority   Priority
	Attempt    int           // attempt number of the caller, 1 for the first send
	Deadline   time.Time     // zero means none
	Retries    int           // remaining retry budget of this call and all calls below it
	Depth      int           // 1 for a call that enters the system
	Path       []string      // services above this call, outermost first
	Idempotent bool          // from the configuration
	Long       bool          // whether the declared cost class is long, from the configuration
	Timeout    time.Duration // the method's own deadline, from the configuration
}

// Call is one call. The zero value is an empty call that belongs to no service.
type Call struct {
	s Spec
}

// New returns the call described by s.
func New(s Spec) Call {
	s.Path = append([]string(nil), s.Path...)
	return Call{s: s}
}

// Spec returns a copy of the call's fields, for example to derive another call.
func (c Call) Spec() Spec {
	s := c.s
	s.Path = append([]string(nil), s.Path...)
	return s
}

// ID returns the request id.
func (c Call) ID() string { return c.s.ID }

// Root returns the id of the request that entered the system, without call keys.
func (c Call) Root() string {
	root, _, _ := strings.Cut(c.s.ID, "/")
	return root
}

// Key returns the call key set by the calling target, if any.
func (c Call) Key() string { return c.s.Key }

// Service returns the called service.
func (c Call) Service() string { return c.s.Service }

// Method returns the called method.
func (c Call) Method() string { return c.s.Method }

// Backer returns the backer on whose behalf the call is made.
func (c Call) Backer() string { return c.s.Backer }

// Priority returns the call's priority.
func (c Call) Priority() Priority { return c.s.Priority }

// Attempt returns the attempt number of the caller, 1 for the first send.
func (c Call) Attempt() int { return c.s.Attempt }

// Deadline returns the time after which the response is of no use; zero means none.
func (c Call) Deadline() time.Time { return c.s.Deadline }

// Retries returns the remaining retry budget.
func (c Call) Retries() int { return c.s.Retries }

// Depth returns the hop number, 1 for a call that enters the system.
func (c Call) Depth() int { return c.s.Depth }

// Path returns the services above this call, outermost first. The slice must not be modified.
func (c Call) Path() []string { return c.s.Path }

// Idempotent reports whether the method may be executed more than once.
func (c Call) Idempotent() bool { return c.s.Idempotent }

// Long reports whether the method's declared cost class is long.
func (c Call) Long() bool { return c.s.Long }

// Timeout returns the method's own deadline.
func (c Call) Timeout() time.Duration { return c.s.Timeout }

// Expired reports whether the deadline has passed.
func (c Call) Expired(now time.Time) bool {
	return !c.s.Deadline.IsZero() && !now.Before(c.s.Deadline)
}

// Cohort returns the request's cohort for load shedding. It depends only on the root request id, so that all hops make
// the same decision for a request.
func (c Call) Cohort() int {
	return int(xxhash.Sum64String(c.Root()) % NumCohorts)
}

// InPath reports whether service is among the services above this call.
func (c Call) InPath(service string) bool {
	for _, s := range c.s.Path {
		if s == service {
			return true
		}
	}
	return false
}
