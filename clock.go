package mustardmast

import "time"

// Clock tells the time. Core packages never read a clock; the shell around them passes the time in.
type Clock interface {
	Now() time.Time
}

// Timers is the timer service. Subscribers run on the timer service's goroutine and must return quickly.
type Timers interface {
	Clock

	// Every calls f once a period until cancel is called. Ticks that a slow subscriber misses are not made up for.
	Every(period time.Duration, f func(now time.Time)) (cancel func())

	// After calls f once, d from now, unless cancel is called first.
	After(d time.Duration, f func(now time.Time)) (cancel func())
}
