// Package pace limits the rate at which requests are sent to a target that has named a limit.
//
// A target in need names in its responses how many requests per second it accepts. The limit holds for as long as its
// responses name it. Responses of different connections overtake each other, so a limit ends only when responses have
// not named it for some time.
package pace

import (
	"math"
	"time"
)

const (
	// burstTime times the limit is the number of requests that may start at once after a time without requests.
	burstTime = 100 * time.Millisecond
	// holdTime is the time after the last response that named a limit in which a response without one is ignored.
	holdTime = 500 * time.Millisecond
	// minLimit is the rate in requests per second that a limit can't lower further, because only a response shows that
	// the limit has ended.
	minLimit = 0.5
)

// Limiter is a token bucket whose rate is the limit that a target has named. The zero value has no limit. It is not
// safe for concurrent use.
type Limiter struct {
	limit   float64 // requests per second; 0 for no limit
	tokens  float64 // requests that may start at once
	updated time.Time
	named   time.Time // last response that named the limit
}

// Observe records the limit in requests per second that a response named, or that it named none. It reports whether the
// limit has changed.
func (l *Limiter) Observe(now time.Time, limit float64, named bool) bool {
	if !named {
		if l.limit == 0 || now.Sub(l.named) < holdTime {
			return false
		}
		*l = Limiter{}
		return true
	}
	limit = max(minLimit, limit)
	l.refill(now)
	before := l.limit
	l.limit, l.named, l.updated = limit, now, now
	l.tokens = min(l.tokens, l.burst())
	return limit != before
}

// Limit returns the limit in requests per second, and false if there is none.
func (l *Limiter) Limit() (float64, bool) { return l.limit, l.limit > 0 }

// Take reports whether a request may start now, and counts it if so.
func (l *Limiter) Take(now time.Time) bool {
	if l.limit == 0 {
		return true
	}
	l.refill(now)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Wait returns how long it takes until n requests may have started. It is 0 without a limit.
func (l *Limiter) Wait(now time.Time, n int) time.Duration {
	if l.limit == 0 {
		return 0
	}
	l.refill(now)
	missing := float64(n) - l.tokens
	return time.Duration(math.Ceil(max(0, missing) / l.limit * float64(time.Second)))
}

func (l *Limiter) burst() float64 { return max(1, l.limit*burstTime.Seconds()) }

func (l *Limiter) refill(now time.Time) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.tokens = min(l.burst(), l.tokens+elapsed.Seconds()*l.limit)
		l.updated = now
	}
}
