package level

import (
	"sync"
	"time"

	"mustardmast"
	"mustardmast/core/call"
)

const (
	// maxMethods bounds the methods that are tracked, maxSubCalls the sub-calls of each. Sub-calls beyond the bounds
	// are not tracked, so their levels are applied only when the sub-call is made.
	maxMethods  = 256
	maxSubCalls = 16
	// minCallFraction is the fraction of a method's calls that must make a sub-call for its level to be considered.
	// Otherwise all calls of the method would be shed because of a sub-call that few of them make.
	minCallFraction = 0.5
	// callWeight is the weight of one call in the moving average, which covers about 64 calls of a method.
	callWeight = 1.0 / 64
)

// SubCalls tracks which sub-calls the methods of the target on this host make. It is safe for concurrent use. Use
// NewSubCalls.
type SubCalls struct {
	mu      sync.Mutex
	methods map[string]map[subCall]float64 // fraction of the calls that make the sub-call
}

type subCall struct{ service, method string }

// NewSubCalls returns an empty SubCalls.
func NewSubCalls() *SubCalls { return &SubCalls{methods: make(map[string]map[subCall]float64)} }

// RecordCall records a sub-call that a running call of method makes. It must be called once per sub-call.
func (s *SubCalls) RecordCall(method string, sub call.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.methods[method]
	if m == nil {
		if len(s.methods) >= maxMethods {
			return
		}
		m = make(map[subCall]float64)
		s.methods[method] = m
	}
	k := subCall{sub.Service(), sub.Method()}
	if fraction, ok := m[k]; ok {
		m[k] = min(fraction+callWeight, 1)
	} else if len(m) < maxSubCalls {
		m[k] = 1
	}
}

// RecordSuccess records a successful call of method, which has therefore made all its sub-calls. It must be called
// after RecordCall for these.
func (s *SubCalls) RecordSuccess(method string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, fraction := range s.methods[method] {
		if fraction -= fraction * callWeight; fraction < 0.01 {
			delete(s.methods[method], k)
			continue
		}
		s.methods[method][k] = fraction
	}
}

// MinLevel returns the lowest level in t of the sub-calls that method usually makes. A node reports the lower of this
// and its own level.
func (s *SubCalls) MinLevel(now time.Time, t *Table, method string, p call.Priority, backer string) mustardmast.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := mustardmast.FullLevel
	for k, fraction := range s.methods[method] {
		if fraction >= minCallFraction {
			l = min(l, t.Level(now, k.service, k.method, p, backer))
		}
	}
	return l
}

// Admit reports whether a call may start, given the levels of its usual sub-calls. Calls below the first hop are always
// admitted, because work has been done for their requests already. From time to time a call above the level is
// admitted, because a node that starts no calls would never learn that the level has risen.
func (s *SubCalls) Admit(now time.Time, t *Table, c call.Call) bool {
	if c.Depth() > 1 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, fraction := range s.methods[c.Method()] {
		if fraction >= minCallFraction && c.Cohort() >= int(t.Level(now, k.service, k.method, c.Priority(), c.Backer())) &&
			!t.trial(now, k.service, k.method, c.Priority(), c.Backer()) {
			return false
		}
	}
	return true
}
