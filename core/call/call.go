// Package call is one call as every part of the system sees it: who asks, for what, how important it is, and what it
// may still spend.
//
// A request enters the system once and becomes a tree of calls, one per hop. All calls of a tree share the root
// request id and the cohort; each has its own attempt number, deadline and rest of the retry budget. A Call is a value:
// a hop derives the next one and never changes the one it received.
package call

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// NumCohorts is the number of groups that requests are hashed into for load shedding.
const NumCohorts = 64

// Limits on values that come from outside, so that one call cannot hold much memory.
const (
	MaxIDLength   = 200
	MaxNameLength = 64
	MaxAttempt    = 1000
	MaxRetries    = 100
)

// Priority is how important a call is. Smaller values are shed later.
type Priority uint8

// Priorities, the most important first.
const (
	Critical Priority = iota
	High
	Normal
	Low
	// NumPriorities is their number.
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

// ParsePriority returns the priority with this name.
func ParsePriority(s string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == s {
			return Priority(i), true
		}
	}
	return Low, false
}

// Spec has the parts of a Call by name.
type Spec struct {
	ID         string // request id; sub-calls append "/" and their call key to the root's
	Key        string // call key that the target gave, if any
	Service    string
	Method     string
	Backer     string
	Priority   Priority
	Attempt    int           // 1 for the first send by the caller
	Deadline   time.Time     // zero means none
	Retries    int           // rest of the retry budget for this call and everything below it
	Depth      int           // 1 for a call that enters the system
	Path       []string      // services above this call, the outermost first
	Idempotent bool          // from the configuration
	Long       bool          // declared cost class, from the configuration
	Timeout    time.Duration // the method's own deadline, from the configuration
}

// Call is one call. The zero value is an empty call that no service serves.
type Call struct {
	s Spec
}

// New returns the call that s describes.
func New(s Spec) Call {
	s.Path = append([]string(nil), s.Path...)
	return Call{s: s}
}

// Spec returns a copy of the call's parts, to derive another call from.
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

// Key returns the call key that the target gave, if any.
func (c Call) Key() string { return c.s.Key }

// Service returns the service called.
func (c Call) Service() string { return c.s.Service }

// Method returns the method called.
func (c Call) Method() string { return c.s.Method }

// Backer returns the backer on whose behalf the call is made.
func (c Call) Backer() string { return c.s.Backer }

// Priority returns the call's priority.
func (c Call) Priority() Priority { return c.s.Priority }

// Attempt returns the caller's attempt number, 1 for the first send.
func (c Call) Attempt() int { return c.s.Attempt }

// Deadline returns the time after which the answer is of no use; zero means none.
func (c Call) Deadline() time.Time { return c.s.Deadline }

// Retries returns the rest of the retry budget.
func (c Call) Retries() int { return c.s.Retries }

// Depth returns the hop number, 1 for a call that enters the system.
func (c Call) Depth() int { return c.s.Depth }

// Path returns the services above this call. The slice must not be changed.
func (c Call) Path() []string { return c.s.Path }

// Idempotent reports whether the method may run more than once.
func (c Call) Idempotent() bool { return c.s.Idempotent }

// Long reports whether the method's declared cost class is long.
func (c Call) Long() bool { return c.s.Long }

// Timeout returns the method's own deadline.
func (c Call) Timeout() time.Duration { return c.s.Timeout }

// Expired reports whether the deadline has passed.
func (c Call) Expired(now time.Time) bool {
	return !c.s.Deadline.IsZero() && !now.Before(c.s.Deadline)
}

// Cohort returns the request's group for load shedding. It depends on the root request id only, so that every hop
// judges the request alike.
func (c Call) Cohort() int {
	return int(xxhash.Sum64String(c.Root()) % NumCohorts)
}

// InPath reports whether service is already on the way of this call.
func (c Call) InPath(service string) bool {
	for _, s := range c.s.Path {
		if s == service {
			return true
		}
	}
	return false
}
