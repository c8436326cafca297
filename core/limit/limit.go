// Package limit finds how many calls one target can run at the same time.
//
// The slots that a target states are an upper bound only: the target may share its host with others, or state more
// than it has. Once more calls run than the target can serve, they wait inside it, where nothing orders them, and their
// latency grows with their number. The limit therefore follows crowding, the ratio of the latency seen to the latency
// of the same methods when the target is not crowded: above one bound it shrinks in proportion, below another it grows
// while it is in use. Refusals by the target itself shrink it too.
//
// A target that completes nothing for many times its usual latency is stalled; its limit is then 1 until it completes
// a call again.
//
// A Limit is not safe for concurrent use; core/admit holds it under its lock.
package limit

import "time"

const (
	window = 100 * time.Millisecond
	// minSamples keeps chance out of a window's mean; a window is extended until it has as many completions.
	minSamples = 32
	// Crowding above shrinkAbove shrinks the limit and below growBelow lets it grow. The mean of a few hundred
	// exponentially distributed latencies is up to 1.3 times their lowest mean by chance alone.
	shrinkAbove = 1.5
	growBelow   = 1.35
	// maxShrink bounds one step, because a window can be hit by one short stall.
	maxShrink = 0.7
	growPart  = 0.05
	// refusedPart is the part of refusals by the target that shrinks the limit.
	refusedPart = 0.05
	// A target is stalled after stallFactor times the usual latency of short calls, and not before stallMin.
	stallFactor = 6
	stallMin    = 100 * time.Millisecond
)

// Limit is a concurrency limit in [1, slots]. Use New.
type Limit struct {
	slots int
	value float64
	since time.Time
	count int
	bad   int
	peak  int
	seen  float64 // seconds, sum over the window
	base  float64

	running int // short calls
	quiet   time.Time
	stalled bool
}

// New returns a limit for a target that states this many slots. It starts at that figure.
func New(slots int) *Limit {
	slots = max(slots, 1)
	return &Limit{slots: slots, value: float64(slots)}
}

// Value returns the limit in force.
func (l *Limit) Value() int {
	if l.stalled {
		return 1
	}
	return int(l.value)
}

// Stalled reports whether the target completes nothing at present.
func (l *Limit) Stalled() bool { return l.stalled }

// SetSlots changes the upper bound. A limit that stood at the old bound moves to the new one.
func (l *Limit) SetSlots(n int) {
	n = max(n, 1)
	if l.value >= float64(l.slots) || l.value > float64(n) {
		l.value = float64(n)
	}
	l.slots = n
}

// Start counts a call that starts.
func (l *Limit) Start(now time.Time, running int, long bool) {
	l.peak = max(l.peak, running)
	if long {
		return
	}
	if l.running == 0 {
		l.quiet = now
	}
	l.running++
}

// Sample is one call that ended.
type Sample struct {
	Latency time.Duration // in the target itself, without the calls that it made
	Base    time.Duration // what the method takes when the target is not crowded, 0 if unknown
	Long    bool
	Done    bool // the target answered, with success or not
	Refused bool // the target refused for lack of capacity
}

// End counts a call that ended.
func (l *Limit) End(now time.Time, s Sample) {
	if !s.Long {
		l.running = max(l.running-1, 0)
	}
	if s.Refused {
		l.bad++
		l.count++
		return
	}
	if !s.Done {
		return
	}
	if !s.Long {
		l.quiet = now
		l.stalled = false
	}
	if s.Base > 0 && !s.Long {
		l.count++
		l.seen += s.Latency.Seconds()
		l.base += s.Base.Seconds()
	}
}

// Tick advances the window. The argument short is the usual latency of short calls, 0 if unknown.
func (l *Limit) Tick(now time.Time, short time.Duration) {
	l.stalled = l.running > 0 && short > 0 && now.Sub(l.quiet) > max(stallMin, stallFactor*short)
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) < window || l.count < minSamples {
		return
	}
	l.adjust()
	l.since, l.count, l.bad, l.peak, l.seen, l.base = now, 0, 0, 0, 0, 0
}

func (l *Limit) adjust() {
	crowding := 1.0
	if l.base > 0 {
		crowding = l.seen / l.base
	}
	switch {
	case float64(l.bad) > float64(l.count)*refusedPart:
		l.value *= maxShrink
	case crowding > shrinkAbove:
		// Waiting grows with the number running, so only the part in use can be reduced.
		l.value = min(l.value, float64(l.peak)+1) * max(maxShrink, shrinkAbove/crowding)
	case crowding < growBelow && float64(l.peak) >= l.value*0.9-1:
		l.value += max(1, l.value*growPart)
	}
	l.value = min(max(l.value, 1), float64(l.slots))
}
