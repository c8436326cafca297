package register

import (
	"sync"
	"time"

	"mustardmast"
	"mustardmast/core/requestid"
)

// floors holds per owner the issue time of the youngest id whose record was dropped.
type floors struct {
	mu    sync.RWMutex
	limit int
	of    map[mustardmast.NodeID]floor
}

type floor struct {
	ms uint64
	at time.Duration // last use of the record that raised it
}

// covers reports whether an id is not younger than its owner's floor allows.
func (f *floors) covers(id requestid.ID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	v, ok := f.of[id.Owner()]
	return ok && uint64(id.IssuedAt().Milliseconds()) <= v.ms
}

func (f *floors) raise(owner mustardmast.NodeID, ms uint64, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.of == nil {
		f.of = make(map[mustardmast.NodeID]floor)
	}
	v, ok := f.of[owner]
	if !ok && len(f.of) >= f.limit {
		f.dropOldest()
	}
	f.of[owner] = floor{ms: max(v.ms, ms), at: max(v.at, at)}
}

// dropOldest makes room. It looks at all entries, which is cheap enough: it runs once per incarnation that appears
// after the table has filled, some thousands a day in the largest fleet.
func (f *floors) dropOldest() {
	var oldest mustardmast.NodeID
	first := true
	for o, v := range f.of {
		if first || v.at < f.of[oldest].at {
			oldest, first = o, false
		}
	}
	delete(f.of, oldest)
}
