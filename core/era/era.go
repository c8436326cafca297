// Package era tracks the era of the platform's store.
//
// A store that is restored from a copy has lost its latest changes and begins a new era. What a node has read or written
// in an earlier era need not be there any more.
package era

import (
	"sync"

	"mustardmast/core/revision"
)

// Tracker holds the latest era that a node has seen. The zero value has seen none. Its methods may be called
// concurrently.
type Tracker struct {
	mu      sync.Mutex
	current uint64
}

// Observe records the era that a response of the store states; 0 if it states none. It reports whether the store has been
// restored since the responses before. Late responses of earlier eras are ignored.
func (t *Tracker) Observe(era uint64) (restored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.current {
		return false
	}
	restored = t.current != 0
	t.current = era
	return restored
}

// Current returns the latest era; 0 if none has been seen.
func (t *Tracker) Current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Holds reports whether changes can be awaited from a revision: it identifies a state of the latest era.
func (t *Tracker) Holds(r revision.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.Number != 0 && r.Era == t.current
}
