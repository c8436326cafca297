package measure

import (
	"container/heap"
	"time"
)

// engine is a discrete-event scheduler. Events run in the order of virtual time, and in the order in which they were
// scheduled if their times are equal.
type engine struct {
	now    time.Duration
	seq    uint64
	events events
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// epoch is the wall-clock time at which virtual time starts.
var epoch = time.Unix(1_700_000_000, 0)

func (e *engine) time() time.Time { return epoch.Add(e.now) }

func (e *engine) after(d time.Duration, f func()) { e.at(e.now+max(d, 0), f) }

func (e *engine) at(t time.Duration, f func()) {
	e.seq++
	heap.Push(&e.events, event{at: max(t, e.now), seq: e.seq, run: f})
}

// runUntil runs all events before end and advances virtual time to end.
func (e *engine) runUntil(end time.Duration) {
	for len(e.events) > 0 && e.events[0].at < end {
		ev := heap.Pop(&e.events).(event)
		e.now = ev.at
		ev.run()
	}
	e.now = end
}

// every runs f once per period until end.
func (e *engine) every(period, end time.Duration, f func()) {
	e.after(period, func() {
		f()
		if e.now+period < end {
			e.every(period, end, f)
		}
	})
}

type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	v := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return v
}
