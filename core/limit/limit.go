// Package limit is the number of calls that one target runs at the same time.
package limit

// Limit is a concurrency limit in [1, slots]. Use New.
type Limit struct {
	slots int
}

// New returns a limit for a target that states this many slots.
func New(slots int) *Limit { return &Limit{slots: max(slots, 1)} }

// Value returns the limit in force.
func (l *Limit) Value() int { return l.slots }

// SetSlots changes the upper bound.
func (l *Limit) SetSlots(n int) { l.slots = max(n, 1) }
