// Package queue implements the short queue in front of a target.
//
// The queue is bounded in length and in waiting time, because a long queue only turns overload into late responses.
// Items are ordered by priority. Within a priority, start-time fair queueing serves each backer in proportion to its
// weight: every flow has a start tag, the flow with the smallest tag is served, and its tag advances by the cost of the
// item divided by the weight of the flow. Within a flow, the earliest deadline comes first.
//
// Each item has a latest start: the end of its waiting time, or its deadline minus its minimum run time, whichever is
// earlier. Pop never returns an item after its latest start; TakeExpired and TakeDropped return such items.
//
// A Queue is not safe for concurrent use; core/admit guards it with its lock.
package queue

import (
	"container/heap"
	"time"

	"mustardmast/core/call"
)

// Item is one waiting call.
type Item struct {
	Ticket     uint64
	Priority   call.Priority
	Backer     int           // index into the weights
	Deadline   time.Time     // zero means none
	Long       bool          // a long job, which Pop may skip
	Cost       float64       // relative cost of the item; 0 means 1
	MinRuntime time.Duration // minimum time that the item takes to run
	Wait       time.Duration // maximum time in the queue; 0 means that of the queue

	latestStart time.Time
	since       time.Time
}

// Since returns the time at which the item was queued.
func (i Item) Since() time.Time { return i.since }

// Spec holds the parameters of a Queue.
type Spec struct {
	Length  int           // maximum number of items
	Wait    time.Duration // maximum time that an item waits, unless it sets its own
	Weights []float64     // one per backer
}

// Queue is a bounded priority queue. Use New.
type Queue struct {
	length  int
	wait    time.Duration
	weights []float64
	flows   []flow // by priority, backer and cost class
	lanes   [call.NumPriorities]lane
	items   map[uint64]*entry
	expired []Item // removed by Pop, until TakeExpired or TakeDropped returns them
}

// lane holds the flows of one priority that have items.
type lane struct {
	active      []*flow
	virtualTime float64 // start tag of the last item served
	count       int
}

// New returns an empty queue. Without weights it has a single backer.
func New(s Spec) *Queue {
	if len(s.Weights) == 0 {
		s.Weights = []float64{1}
	}
	q := &Queue{
		length:  max(s.Length, 0),
		wait:    s.Wait,
		weights: append([]float64(nil), s.Weights...),
		flows:   make([]flow, call.NumPriorities*len(s.Weights)*2),
		items:   make(map[uint64]*entry, s.Length),
	}
	for i := range q.flows {
		q.flows[i].weight = max(q.weights[i/2%len(q.weights)], minWeight)
		q.flows[i].long = i%2 == 1
	}
	return q
}

// minWeight is the smallest weight of a flow. It keeps the start tags of a backer without a share finite.
const minWeight = 1e-3

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.items) }

// Ahead returns the number of items with priority p or higher.
func (q *Queue) Ahead(p call.Priority) int {
	n := 0
	for i := range q.lanes[:min(int(p)+1, call.NumPriorities)] {
		n += q.lanes[i].count
	}
	return n
}

// Push queues an item. If the queue is full, an item of lower priority is evicted, or one of the same priority whose
// backer has more than its share of the queue; it is returned as evicted. Push returns false if there is no such item,
// if the latest start of the new item has passed, or if its ticket is queued already.
func (q *Queue) Push(now time.Time, it Item) (evicted Item, hasEvicted, ok bool) {
	it.Priority = min(it.Priority, call.NumPriorities-1)
	if it.Backer < 0 || it.Backer >= len(q.weights) {
		it.Backer = 0
	}
	wait := q.wait
	if it.Wait > 0 {
		wait = it.Wait
	}
	it.since, it.latestStart = now, now.Add(wait)
	if !it.Deadline.IsZero() {
		if d := it.Deadline.Add(-it.MinRuntime); d.Before(it.latestStart) {
			it.latestStart = d
		}
	}
	if !it.latestStart.After(now) || q.items[it.Ticket] != nil {
		return Item{}, false, false
	}
	if len(q.items) >= q.length {
		evicted, hasEvicted = q.evict(it)
		if !hasEvicted {
			return Item{}, false, false
		}
	}
	q.insert(it)
	return evicted, hasEvicted, true
}

func (q *Queue) insert(it Item) {
	l := &q.lanes[it.Priority]
	f := q.flow(it)
	if len(f.heap) == 0 {
		f.startTag = max(f.startTag, l.virtualTime)
		l.active = append(l.active, f)
	}
	e := &entry{item: it}
	q.items[it.Ticket] = e
	heap.Push(&f.heap, e)
	l.count++
}

func (q *Queue) flow(it Item) *flow {
	i := (int(it.Priority)*len(q.weights) + it.Backer) * 2
	if it.Long {
		i++
	}
	return &q.flows[i]
}

// Pop removes and returns the next item to run. Long items are skipped unless long is true. It examines each non-empty
// flow, of which there are at most as many as items.
func (q *Queue) Pop(now time.Time, long bool) (Item, bool) {
	for p := range q.lanes {
		for {
			f := q.lanes[p].nextFlow(long)
			if f == nil {
				break
			}
			it := f.heap[0].item
			startTag := f.startTag
			q.remove(f.heap[0])
			if !it.latestStart.After(now) {
				q.expired = append(q.expired, it)
				continue
			}
			q.lanes[p].virtualTime = startTag
			f.startTag = startTag + itemCost(it)/f.weight
			return it, true
		}
	}
	return Item{}, false
}

func itemCost(it Item) float64 {
	if it.Cost <= 0 {
		return 1
	}
	return it.Cost
}

// nextFlow returns the flow with the smallest start tag, or nil. Flows of long items are skipped unless long is true.
func (l *lane) nextFlow(long bool) *flow {
	var best *flow
	for _, f := range l.active {
		if f.long && !long {
			continue
		}
		if best == nil || f.startTag < best.startTag {
			best = f
		}
	}
	return best
}

// Remove removes the item of a ticket. It returns false if the ticket is not queued.
func (q *Queue) Remove(ticket uint64) (Item, bool) {
	e := q.items[ticket]
	if e == nil {
		return Item{}, false
	}
	q.remove(e)
	return e.item, true
}

func (q *Queue) remove(e *entry) {
	f := q.flow(e.item)
	l := &q.lanes[e.item.Priority]
	heap.Remove(&f.heap, e.index)
	delete(q.items, e.item.Ticket)
	l.count--
	if len(f.heap) > 0 {
		return
	}
	for i, a := range l.active {
		if a == f {
			last := len(l.active) - 1
			l.active[i] = l.active[last]
			l.active = l.active[:last]
			return
		}
	}
}

// TakeExpired removes and returns the items whose latest start has passed, including those that Pop has removed since
// the last call of TakeExpired or TakeDropped. It examines every item.
func (q *Queue) TakeExpired(now time.Time) []Item {
	for p := range q.lanes {
		for i := 0; i < len(q.lanes[p].active); {
			f := q.lanes[p].active[i]
			e := f.findExpired(now)
			if e == nil {
				i++
				continue
			}
			q.remove(e)
			q.expired = append(q.expired, e.item)
		}
	}
	x := q.expired
	q.expired = nil
	return x
}

// TakeDropped returns the items that Pop has removed because their latest start had passed, once each. It does not
// examine the items that are still queued.
func (q *Queue) TakeDropped() []Item {
	x := q.expired
	q.expired = nil
	return x
}

// Drain removes and returns all items, the highest priority first.
func (q *Queue) Drain() []Item {
	var all []Item
	for p := range q.lanes {
		for len(q.lanes[p].active) > 0 {
			e := q.lanes[p].active[0].heap[0]
			q.remove(e)
			all = append(all, e.item)
		}
	}
	return all
}
