// Package pressure sheds new work at the entry of a call chain while a service further down is overloaded.
//
// The nodes in front of an overloaded service raise a level; each answer carries the highest level of the services
// that the request and its calls went through. The node where a request enters keeps the level of each route, so that
// only the routes whose chains use the overloaded service are shed, and turns away the least important requests first:
// one unit of level is the whole of one priority. Calls of requests that already run are not subject to it, because
// their failure would waste all the work above them.
package pressure

import (
	"sync"
	"time"
)

const (
	weight = 0.15                    // of one observation in the mean over the answers of a route
	fresh  = 700 * time.Millisecond  // age up to which a level is taken as it is
	fading = 1500 * time.Millisecond // time over which an older level falls to 0, so that requests probe the service
	most   = 4096                    // routes that are remembered
)

type entry struct {
	level float64
	seen  time.Time
}

// Levels holds what answers told of each route. Its methods may be called concurrently.
type Levels struct {
	mu     sync.Mutex
	routes map[string]entry
}

// New returns levels that know of no overload.
func New() *Levels { return &Levels{routes: map[string]entry{}} }

// Observe takes the level that came with an answer to a request of a route.
func (l *Levels) Observe(now time.Time, route string, level float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.routes[route]
	if !ok && len(l.routes) >= most {
		clear(l.routes)
	}
	if !ok || now.Sub(e.seen) > fresh {
		e.level = level
	}
	e.level += weight * (level - e.level)
	e.seen = now
	l.routes[route] = e
}

// Level returns the level of a route.
func (l *Levels) Level(now time.Time, route string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.routes[route]
	if !ok {
		return 0
	}
	age := now.Sub(e.seen) - fresh
	if age <= 0 {
		return e.level
	}
	return max(0, e.level*(1-float64(age)/float64(fading)))
}

// Age returns how old the news of a route's level is, 0 if there is none.
func (l *Levels) Age(now time.Time, route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.routes[route]
	if !ok {
		return 0
	}
	return now.Sub(e.seen)
}

// leastKept is the share of each importance that is let through at any level, so that the demand stays known.
const leastKept = 0.03

// AdmittedFraction is the share of the requests of a rank that are let through at this level. A rank is the steps of importance above
// the least important requests.
func AdmittedFraction(level float64, rank int) float64 {
	return min(1, max(leastKept, float64(rank)+1-level))
}
