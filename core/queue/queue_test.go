package queue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast/core/call"
	"mustardmast/core/queue"
)

var epoch = time.Unix(1000, 0)

// Guards against lost or duplicated items, a queue above its maximum length, items that are returned after their latest
// start, and items that are returned before items of higher priority.
func TestItemsAreReturnedOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 10).Draw(t, "length")
		wait := 50 * time.Millisecond
		q := queue.New(queue.Spec{Length: length, Wait: wait, Weights: []float64{1, 3}})
		now, queued := epoch, map[uint64]queue.Item{}
		remove := func(it queue.Item) {
			_, ok := queued[it.Ticket]
			assert.Assert(t, ok, "ticket %d was returned but is not queued", it.Ticket)
			delete(queued, it.Ticket)
		}
		for ticket := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				if it, ok := q.Pop(now, true); ok {
					for _, o := range queued {
						late := !now.Before(o.Since().Add(wait))
						assert.Assert(t, o.Priority >= it.Priority || late, "an item of priority %v is queued, but %v was returned", it.Priority, o.Priority)
					}
					assert.Assert(t, now.Before(queued[it.Ticket].Since().Add(wait)))
					remove(it)
				}
				for _, it := range q.TakeDropped() {
					remove(it)
				}
			case 1:
				for _, it := range q.TakeExpired(now) {
					remove(it)
				}
			default:
				it := queue.Item{Ticket: ticket, Priority: call.Priority(rapid.IntRange(0, 3).Draw(t, "p")), Backer: rapid.IntRange(0, 1).Draw(t, "b")}
				evicted, has, ok := q.Push(now, it)
				if has {
					assert.Assert(t, evicted.Priority >= it.Priority)
					remove(evicted)
				}
				if ok {
					it, _ = q.Remove(ticket) // reads back the time at which the item was queued
					_, _, ok = q.Push(now, it)
					assert.Assert(t, ok)
					queued[ticket] = it
				}
			}
			assert.Equal(t, q.Len(), len(queued))
			assert.Assert(t, q.Len() <= length)
		}
		for _, it := range q.Drain() {
			remove(it)
		}
		assert.Equal(t, len(queued), 0)
	})
}

// Guards against a backer that is served more often than its weight allows.
func TestBackersAreServedByWeight(t *testing.T) {
	q := queue.New(queue.Spec{Length: 400, Wait: time.Hour, Weights: []float64{1, 3}})
	for i := range uint64(400) {
		q.Push(epoch, queue.Item{Ticket: i, Backer: int(i % 2)})
	}
	served := map[int]int{}
	for range 200 {
		it, _ := q.Pop(epoch, true)
		served[it.Backer]++
	}
	assert.Assert(t, served[1] >= 149 && served[1] <= 151, "%v", served)
}

// Guards against a short call that waits for long jobs which may not run yet.
func TestLongItemsAreSkipped(t *testing.T) {
	q := queue.New(queue.Spec{Length: 2, Wait: time.Hour})
	q.Push(epoch, queue.Item{Ticket: 1, Priority: call.Critical, Long: true})
	q.Push(epoch, queue.Item{Ticket: 2, Priority: call.Low})
	it, ok := q.Pop(epoch, false)
	assert.Assert(t, ok && it.Ticket == 2)
}

func ExampleQueue() {
	q := queue.New(queue.Spec{Length: 2, Wait: 50 * time.Millisecond})
	q.Push(epoch, queue.Item{Ticket: 1, Priority: call.Low})
	q.Push(epoch, queue.Item{Ticket: 2, Priority: call.Normal})
	evicted, _, _ := q.Push(epoch, queue.Item{Ticket: 3, Priority: call.Critical})
	first, _ := q.Pop(epoch, true)
	fmt.Println(evicted.Ticket, first.Ticket, len(q.TakeExpired(epoch.Add(time.Second))))
	// Output: 1 3 1
}
