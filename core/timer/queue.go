// Package timer keeps the subscriptions of the timer service.
//
// A Queue orders subscriptions by their due time. It reads no clock: whoever owns it, the daemon's ticker or a test in
// virtual time, calls Advance with the time and runs what is due.
package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Queue is a set of subscriptions ordered by due time. The zero value is empty and ready.
type Queue struct {
	mu   sync.Mutex
	heap entries
	next uint64
}

type entry struct {
	due    time.Time
	seq    uint64 // keeps entries with the same due time in the order of subscription
	period time.Duration
	f      func(now time.Time)
	gone   bool
}

// Add subscribes f for the time due, and every period after it if period is not zero.
func (q *Queue) Add(due time.Time, period time.Duration, f func(now time.Time)) (cancel func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := &entry{due: due, seq: q.next, period: period, f: f}
	q.next++
	heap.Push(&q.heap, e)
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		e.gone = true
	}
}

// Advance runs what is due at now, in order of due time. A periodic subscription runs once, however late it is.
func (q *Queue) Advance(now time.Time) {
	for {
		f := q.pop(now)
		if f == nil {
			return
		}
		f(now)
	}
}

// Next returns the earliest due time.
func (q *Queue) Next() (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drop()
	if len(q.heap) == 0 {
		return time.Time{}, false
	}
	return q.heap[0].due, true
}

func (q *Queue) pop(now time.Time) func(time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drop()
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

// drop removes cancelled entries from the front.
func (q *Queue) drop() {
	for len(q.heap) > 0 && q.heap[0].gone {
		heap.Pop(&q.heap)
	}
}

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
