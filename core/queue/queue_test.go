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

// Guards against lost or doubled items, a queue above its bound, items handed out after their latest start, and a less
// important item that is handed out before a more important one.
func TestItemsLeaveOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 10).Draw(t, "length")
		wait := 50 * time.Millisecond
		q := queue.New(queue.Spec{Length: length, Wait: wait, Weights: []float64{1, 3}})
		now, inside := epoch, map[uint64]queue.Item{}
		leave := func(it queue.Item) {
			_, ok := inside[it.Ticket]
			assert.Assert(t, ok, "ticket %d left without being inside", it.Ticket)
			delete(inside, it.Ticket)
		}
		for ticket := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				if it, ok := q.Pop(now, true); ok {
					for _, o := range inside {
						late := !now.Before(o.Since().Add(wait))
						assert.Assert(t, o.Priority >= it.Priority || late, "priority %v left before %v", it.Priority, o.Priority)
					}
					assert.Assert(t, now.Before(inside[it.Ticket].Since().Add(wait)))
					leave(it)
				}
				for _, it := range q.TakeDropped() {
					leave(it)
				}
			case 1:
				for _, it := range q.TakeExpired(now) {
					leave(it)
				}
			default:
				it := queue.Item{Ticket: ticket, Priority: call.Priority(rapid.IntRange(0, 3).Draw(t, "p")), Backer: rapid.IntRange(0, 1).Draw(t, "b")}
				evicted, has, ok := q.Push(now, it)
				if has {
					assert.Assert(t, evicted.Priority >= it.Priority)
					leave(evicted)
				}
				if ok {
					it, _ = q.Remove(ticket) // reads back the time that the queue noted
					_, _, ok = q.Push(now, it)
					assert.Assert(t, ok)
					inside[ticket] = it
				}
			}
			assert.Equal(t, q.Len(), len(inside))
			assert.Assert(t, q.Len() <= length)
		}
		for _, it := range q.Drain() {
			leave(it)
		}
		assert.Equal(t, len(inside), 0)
	})
}

// Guards against a backer that fills the queue and takes every turn.
func TestTurnsFollowWeights(t *testing.T) {
	q := queue.New(queue.Spec{Length: 400, Wait: time.Hour, Weights: []float64{1, 3}})
	for i := range uint64(400) {
		q.Push(epoch, queue.Item{Ticket: i, Backer: int(i % 2)})
	}
	turns := map[int]int{}
	for range 200 {
		it, _ := q.Pop(epoch, true)
		turns[it.Backer]++
	}
	assert.Assert(t, turns[1] >= 149 && turns[1] <= 151, "%v", turns)
}

// Guards against a short call that waits behind long jobs which may not run.
func TestLongItemsArePassedOver(t *testing.T) {
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
