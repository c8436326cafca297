package mustardmast

import "time"

// Clock returns the current time. Packages below core never read a clock; their callers pass the time in.
type Clock interface {
	Now() time.Time
}

// Timers is the timer service. Callbacks run on the timer service's goroutine and must return quickly.
type Timers interface {
	Clock

	// Every calls f once per period until cancel is called. Ticks that a slow callback misses are dropped.
	Every(period time.Duration, f func(now time.Time)) (cancel func())

	// After calls f once after d, unless cancel is called first.
	After(d time.Duration, f func(now time.Time)) (cancel func())
}
