package level

import (
	"sync"
	"time"

	"mustardmast"
	"mustardmast/core/call"
)

const (
	// maxMethods bounds the methods that a SubCalls knows, and maxChildren the sub-calls of each. Beyond the bounds nothing
	// is learned, and calls are judged at the later hop only.
	maxMethods  = 256
	maxChildren = 16
	// usualPart is the part of a method's calls that must make a sub-call for its level to count. A method that makes
	// it rarely would otherwise be shed for the sake of few of its calls.
	usualPart = 0.5
	// memoryWeight averages over about 64 calls of a method.
	memoryWeight = 1.0 / 64
)

// SubCalls knows which sub-calls the methods of the target on this host make. It is safe for concurrent use. Use NewSubCalls.
type SubCalls struct {
	mu      sync.Mutex
	methods map[string]map[child]float64 // part of the calls that make the sub-call
}

type child struct{ service, method string }

// NewSubCalls returns a SubCalls that knows nothing.
func NewSubCalls() *SubCalls { return &SubCalls{methods: make(map[string]map[child]float64)} }

// RecordCall counts a sub-call that a running call of method makes. It is called once per sub-call.
func (b *SubCalls) RecordCall(method string, sub call.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.methods[method]
	if m == nil {
		if len(b.methods) >= maxMethods {
			return
		}
		m = make(map[child]float64)
		b.methods[method] = m
	}
	k := child{sub.Service(), sub.Method()}
	if part, ok := m[k]; ok {
		m[k] = min(part+memoryWeight, 1)
	} else if len(m) < maxChildren {
		m[k] = 1
	}
}

// RecordSuccess counts a call of method that ended with success, so that all its sub-calls were made. It is called after RecordCall for
// these.
func (b *SubCalls) RecordSuccess(method string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, part := range b.methods[method] {
		if part -= part * memoryWeight; part < 0.01 {
			delete(b.methods[method], k)
			continue
		}
		b.methods[method][k] = part
	}
}

// MinLevel returns the lowest level that t knows for the sub-calls that method usually makes. A node answers with the lower
// of this and its own level.
func (b *SubCalls) MinLevel(now time.Time, t *Table, method string, p call.Priority, backer string) mustardmast.Level {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := mustardmast.FullLevel
	for k, part := range b.methods[method] {
		if part >= usualPart {
			l = min(l, t.Level(now, k.service, k.method, p, backer))
		}
	}
	return l
}

// Admit reports whether a call may start, given the levels of its sub-calls. A call below the first hop is not refused:
// work has been done for it already. From time to time a call above the level is let through, because a node that
// starts none would never learn that the level has risen.
func (b *SubCalls) Admit(now time.Time, t *Table, c call.Call) bool {
	if c.Depth() > 1 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, part := range b.methods[c.Method()] {
		if part >= usualPart && c.Cohort() >= int(t.Level(now, k.service, k.method, c.Priority(), c.Backer())) &&
			!t.trial(now, k.service, k.method, c.Priority(), c.Backer()) {
			return false
		}
	}
	return true
}
