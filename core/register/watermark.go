package register

import (
	"sync"
	"time"

	"mustardmast"
	"mustardmast/core/requestid"
)

// watermarks holds, per owner, the latest issue time of the IDs whose records were dropped.
type watermarks struct {
	mu      sync.RWMutex
	limit   int
	byOwner map[mustardmast.NodeID]watermark
}

type watermark struct {
	issuedMs uint64
	at       time.Duration // last use of the record that raised the watermark
}

// covers reports whether an ID was issued no later than its owner's watermark, so that its record may have been
// dropped.
func (w *watermarks) covers(id requestid.ID) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	v, ok := w.byOwner[id.Owner()]
	return ok && uint64(id.IssuedAt().Milliseconds()) <= v.issuedMs
}

// raise advances the watermark of an owner.
func (w *watermarks) raise(owner mustardmast.NodeID, issuedMs uint64, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byOwner == nil {
		w.byOwner = make(map[mustardmast.NodeID]watermark)
	}
	v, ok := w.byOwner[owner]
	if !ok && len(w.byOwner) >= w.limit {
		w.dropOldest()
	}
	w.byOwner[owner] = watermark{issuedMs: max(v.issuedMs, issuedMs), at: max(v.at, at)}
}

// dropOldest removes the watermark that was raised longest ago. It scans all entries, which is cheap enough: once the
// table is full, it runs once per new incarnation, a few thousand times a day in the largest fleet.
func (w *watermarks) dropOldest() {
	var oldest mustardmast.NodeID
	first := true
	for o, v := range w.byOwner {
		if first || v.at < w.byOwner[oldest].at {
			oldest, first = o, false
		}
	}
	delete(w.byOwner, oldest)
}
