// Package pressure implements backpressure: it sheds new requests at the entry of a call chain while a service
// downstream is overloaded.
//
// The nodes of an overloaded service report a level above 0. Each response carries the highest level of the services
// that the request and its sub-calls reached. The node where requests enter tracks the level of each route, so that
// only routes whose call chains use the overloaded service are shed, and it rejects the lowest priorities first: one
// unit of level corresponds to one whole priority. Sub-calls of running requests are never shed this way, because their
// failure would waste the work already done for the request.
package pressure

import (
	"sync"
	"time"
)

const (
	observationWeight = 0.15                    // weight of one observation in the moving average of a route
	freshTime         = 700 * time.Millisecond  // age up to which a level is used unchanged
	decayTime         = 1500 * time.Millisecond // time in which an older level decays to 0, to probe the service
	maxRoutes         = 4096                    // bound on the routes that are tracked; at the bound, all are dropped
)

type entry struct {
	level    float64
	observed time.Time
}

// Levels tracks the overload level of each route. Its methods are safe for concurrent use.
type Levels struct {
	mu     sync.Mutex
	routes map[string]entry
}

// New returns Levels in which all routes are at level 0.
func New() *Levels { return &Levels{routes: map[string]entry{}} }

// Observe records the level that a response to a request of the route carried.
func (l *Levels) Observe(now time.Time, route string, level float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.routes[route]
	if !ok && len(l.routes) >= maxRoutes {
		clear(l.routes)
	}
	if !ok || now.Sub(e.observed) > freshTime {
		e.level = level
	}
	e.level += observationWeight * (level - e.level)
	e.observed = now
	l.routes[route] = e
}

// Level returns the current level of a route, 0 if it is unknown.
func (l *Levels) Level(now time.Time, route string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.routes[route]
	if !ok {
		return 0
	}
	age := now.Sub(e.observed) - freshTime
	if age <= 0 {
		return e.level
	}
	return max(0, e.level*(1-float64(age)/float64(decayTime)))
}

// Age returns the time since the level of a route was last observed, or 0 if it is unknown.
func (l *Levels) Age(now time.Time, route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.routes[route]
	if !ok {
		return 0
	}
	return now.Sub(e.observed)
}

// minAdmittedFraction is the fraction of each rank that is admitted at any level, so that the demand stays known.
const minAdmittedFraction = 0.03

// AdmittedFraction returns the fraction of the requests of a rank that is admitted at a level. The rank is the number
// of priority steps above the lowest priority.
func AdmittedFraction(level float64, rank int) float64 {
	return min(1, max(minAdmittedFraction, float64(rank)+1-level))
}
