package execute

import (
	"sync"

	"mustardmast"
)

// waiters passes the verdicts of the admission controller to the calls that wait for them.
type waiters struct {
	mu sync.Mutex
	m  map[uint64]chan mustardmast.Verdict
}

func (w *waiters) add(ticket uint64) chan mustardmast.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.m == nil {
		w.m = map[uint64]chan mustardmast.Verdict{}
	}
	c := make(chan mustardmast.Verdict, 1)
	w.m[ticket] = c
	return c
}

func (w *waiters) remove(ticket uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.m, ticket)
}

// deliver sends each verdict to its waiting call. It returns the tickets that were granted a slot but whose call no
// longer waits.
func (w *waiters) deliver(vs []mustardmast.Verdict) (unclaimed []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range vs {
		c, ok := w.m[v.Ticket]
		if ok {
			delete(w.m, v.Ticket)
			c <- v
			continue
		}
		if v.Action == mustardmast.Run {
			unclaimed = append(unclaimed, v.Ticket)
		}
	}
	return unclaimed
}
