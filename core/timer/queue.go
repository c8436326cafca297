// Package timer implements the queue of the timer service.
//
// A Queue runs callbacks at their due time. It reads no clock: its owner, the daemon's ticker or a test in virtual
// time, calls Advance with the current time.
package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Queue is a set of timers ordered by due time. The zero value is an empty queue ready to use. It is safe for
// concurrent use.
type Queue struct {
	mu   sync.Mutex
	heap entries
	next uint64
}

type entry struct {
	due      time.Time
	seq      uint64 // orders entries with the same due time by when they were added
	period   time.Duration
	f        func(now time.Time)
	canceled bool
}

// Add schedules f at due, and then every period if period is not zero. Cancel prevents later runs; it does not wait for
// one in progress.
func (q *Queue) Add(due time.Time, period time.Duration, f func(now time.Time)) (cancel func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := &entry{due: due, seq: q.next, period: period, f: f}
	q.next++
	heap.Push(&q.heap, e)
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		e.canceled = true
	}
}

// Advance runs the callbacks that are due at now, in order of due time. A periodic one runs once, however late it is.
// Callbacks may call the methods of the queue.
func (q *Queue) Advance(now time.Time) {
	for {
		f := q.pop(now)
		if f == nil {
			return
		}
		f(now)
	}
}

// Next returns the earliest due time, or false if the queue is empty.
func (q *Queue) Next() (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeCanceled()
	if len(q.heap) == 0 {
		return time.Time{}, false
	}
	return q.heap[0].due, true
}

// pop returns the callback of the first entry that is due, or nil. It reschedules periodic entries.
func (q *Queue) pop(now time.Time) func(time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeCanceled()
	if len(q.heap) == 0 || q.heap[0].due.After(now) {
		return nil
	}
	e := q.heap[0]
	if e.period == 0 {
		heap.Pop(&q.heap)
		return e.f
	}
	e.due = e.due.Add(e.period)
	if !e.due.After(now) {
		e.due = now.Add(e.period)
	}
	heap.Fix(&q.heap, 0)
	return e.f
}

// removeCanceled removes canceled entries from the front.
func (q *Queue) removeCanceled() {
	for len(q.heap) > 0 && q.heap[0].canceled {
		heap.Pop(&q.heap)
	}
}

// entries implements heap.Interface.
type entries []*entry

func (h entries) Len() int { return len(h) }

func (h entries) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].seq < h[j].seq
	}
	return h[i].due.Before(h[j].due)
}

func (h entries) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *entries) Push(x any) { *h = append(*h, x.(*entry)) }

func (h *entries) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
