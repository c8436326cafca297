package queue

import (
	"container/heap"
	"time"

	"mustardmast/core/call"
)

// flow holds the items of one priority, backer and cost class.
type flow struct {
	heap     entries
	startTag float64 // start tag of the next item
	weight   float64
	long     bool
}

type entry struct {
	item  Item
	index int
}

// findExpired returns an entry whose latest start has passed, or nil.
func (f *flow) findExpired(now time.Time) *entry {
	for _, e := range f.heap {
		if !e.item.latestStart.After(now) {
			return e
		}
	}
	return nil
}

// latest returns the entry with the latest deadline.
func (f *flow) latest() *entry {
	var latest *entry
	for i, e := range f.heap {
		if latest == nil || f.heap.Less(latest.index, i) {
			latest = e
		}
	}
	return latest
}

// evict makes room for an item. It removes the item with the latest deadline from the flow that is longest in relation
// to its weight, in the lane of lowest priority. It returns false if no item may be evicted for this one.
func (q *Queue) evict(it Item) (Item, bool) {
	for p := call.NumPriorities - 1; p >= int(it.Priority); p-- {
		f := q.lanes[p].longestFlow()
		if f == nil {
			continue
		}
		if p == int(it.Priority) {
			own := q.flow(it)
			if f == own || float64(len(f.heap))/f.weight <= float64(len(own.heap)+1)/own.weight {
				return Item{}, false
			}
		}
		e := f.latest()
		q.remove(e)
		return e.item, true
	}
	return Item{}, false
}

// longestFlow returns the flow with the most items in relation to its weight, or nil.
func (l *lane) longestFlow() *flow {
	var best *flow
	for _, f := range l.active {
		if best == nil || float64(len(f.heap))/f.weight > float64(len(best.heap))/best.weight {
			best = f
		}
	}
	return best
}

// entries is a heap ordered by deadline. Items without a deadline come last, items with equal deadlines in order of
// arrival.
type entries []*entry

var _ heap.Interface = (*entries)(nil)

func (h entries) Len() int { return len(h) }

func (h entries) Less(i, j int) bool {
	a, b := h[i].item, h[j].item
	if !a.Deadline.Equal(b.Deadline) {
		if a.Deadline.IsZero() || b.Deadline.IsZero() {
			return b.Deadline.IsZero()
		}
		return a.Deadline.Before(b.Deadline)
	}
	if !a.since.Equal(b.since) {
		return a.since.Before(b.since)
	}
	return a.Ticket < b.Ticket
}

func (h entries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entries) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entries) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
