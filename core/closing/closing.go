// Package closing decides which requests a node still accepts during a planned stop.
//
// Load pattern: clients go on sending to a node that is stopping, at first because they have not been told to use other
// nodes yet, and later because they retry or because too few other nodes are left. A request that is accepted too late
// is cut off when the process ends. Requests of clients are accepted while clients cannot know of the stop yet, and calls
// of running requests until the end, because the requests that made them would fail without. A request that must not run
// twice is accepted only if the longest time that it may take fits into the time left. For a repeatable one it is
// enough that 99% of the requests of its route take less.
package closing

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	samples    = 128  // durations kept for each route
	minSamples = 16   // durations without which the durations of a route are unknown
	quantile   = 0.99 // of the durations of a route
	maxRoutes  = 4096 // bound on the routes that are tracked; at the bound, all are dropped
)

// Request holds the properties of a request that the decision depends on.
type Request struct {
	Route      string
	Repeatable bool
	SubCall    bool          // made by a request that is running
	Limit      time.Duration // longest time that the request may take
}

// durations is a ring of the last durations of a route.
type durations struct {
	ring []time.Duration
	next int
}

// stop is a planned stop.
type stop struct {
	noticed time.Time // when clients know of it
	end     time.Time // when the process ends
}

// Gate decides for one node. Its methods are safe for concurrent use.
type Gate struct {
	stop atomic.Pointer[stop] // nil before a planned stop

	mu     sync.Mutex
	routes map[string]*durations
}

// New returns a gate that accepts all requests until Close is called.
func New() *Gate { return &Gate{routes: map[string]*durations{}} }

// Observe records how long a request of a route took.
func (g *Gate) Observe(route string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.routes[route]
	if d == nil {
		if len(g.routes) >= maxRoutes {
			clear(g.routes)
		}
		d = &durations{}
		g.routes[route] = d
	}
	if len(d.ring) < samples {
		d.ring = append(d.ring, took)
		return
	}
	d.ring[d.next] = took
	d.next = (d.next + 1) % samples
}

// Close begins a planned stop. Clients know of it at noticed, and responses must be complete at end.
func (g *Gate) Close(noticed, end time.Time) { g.stop.Store(&stop{noticed: noticed, end: end}) }

// Accepts reports whether the node should run a request.
func (g *Gate) Accepts(now time.Time, r Request) bool {
	s := g.stop.Load()
	if s == nil {
		return true
	}
	left := s.end.Sub(now)
	switch {
	case !r.SubCall && now.After(s.noticed):
		return false // the sooner the stop ends, the sooner the node is back
	case r.Limit <= left:
		return true
	case !r.Repeatable:
		return false
	}
	usual, known := g.usual(r.Route)
	return known && usual <= left
}

// usual returns the time within which nearly all requests of a route are answered, or false if too few were observed.
func (g *Gate) usual(route string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.routes[route]
	if d == nil || len(d.ring) < minSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(d.ring))
	return sorted[int(quantile*float64(len(sorted)))], true
}

// NoticeLeft returns the time until clients know of a planned stop, at least 0.
func (g *Gate) NoticeLeft(now time.Time) time.Duration {
	if s := g.stop.Load(); s != nil {
		return max(0, s.noticed.Sub(now))
	}
	return 0
}
