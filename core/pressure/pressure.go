// Package pressure implements backpressure: it sheds new requests at the entry of a call chain while a service
// downstream is overloaded.
//
// Load pattern: a surge on chains whose last service has few targets, in a fleet so large that each node sees only a few
// requests a second. Chains that were begun before a level has spread lose one of their calls, and with it all work
// already done. So the level of a route acts wherever requests of the route arrive: at the entry node, which learns it
// from the responses to its own requests, and at the node beside the first target, which learns it earlier, from the
// calls of all requests that run there.
//
// The nodes of an overloaded service report a level above 0. Each response carries the highest level of the services
// that the request and its sub-calls reached. A node tracks the level of each route, so that only routes whose call
// chains use the overloaded service are shed, and it rejects the lowest priorities first: one unit of level corresponds
// to one whole priority. Sub-calls of running requests are never shed this way, because their failure would waste the
// work already done for the request.
package pressure

import (
	"math"
	"sync"
	"time"
)

const (
	averagingTime = 250 * time.Millisecond  // time constant of the moving average of a route
	minWeight     = 0.05                    // minimum weight of one observation in it
	freshTime     = 700 * time.Millisecond  // age up to which a level is used unchanged
	decayTime     = 1500 * time.Millisecond // time in which an older level decays to 0, to probe the service
	maxRoutes     = 4096                    // bound on the routes that are tracked; at the bound, all are dropped
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
	age := now.Sub(e.observed)
	if !ok || age > freshTime {
		e.level = level
	}
	// The weight grows with the time since the last observation, so that a node with few requests learns as fast.
	e.level += max(minWeight, 1-math.Exp(-float64(age)/float64(averagingTime))) * (level - e.level)
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

// Request holds the properties of a request that the decision to shed it depends on.
type Request struct {
	Rank             int     // priority steps above the lowest priority
	CallerRetry      bool    // the caller was rejected before and retries
	AdmittedFraction float64 // fraction of such requests that a node before this one has admitted; 1 at the entry node
}

// retryAdmissionFactor multiplies the admitted fraction for retries of rejected callers.
const retryAdmissionFactor = 3

// Admission returns the probability with which a request of a route is admitted at a node, and the fraction of such
// requests that is admitted by this node and those before it together. The fraction is that of first attempts also for a
// retry, so that a retry counts as retryAdmissionFactor requests in the demand. The level is computed from this demand,
// so that the admitted first attempts and retries together match the capacity of the targets.
func (l *Levels) Admission(now time.Time, route string, r Request) (probability, fraction float64) {
	fraction = min(r.AdmittedFraction, AdmittedFraction(l.Level(now, route), r.Rank))
	before := r.AdmittedFraction
	wanted := fraction
	if r.CallerRetry {
		before, wanted = min(1, retryAdmissionFactor*before), min(1, retryAdmissionFactor*wanted)
	}
	return wanted / before, fraction
}

// minAdmittedFraction is the fraction of each rank that is admitted at any level, so that the demand stays known.
const minAdmittedFraction = 0.03

// AdmittedFraction returns the fraction of the requests of a rank that is admitted at a level. The rank is the number
// of priority steps above the lowest priority.
func AdmittedFraction(level float64, rank int) float64 {
	return min(1, max(minAdmittedFraction, float64(rank)+1-level))
}
