package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/admission"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const slots = 50 // of which 47 are usable

// full returns a controller with all slots in use, and the tickets of the requests that hold them.
func full(now time.Time) (*admission.Controller, []*admission.Ticket) {
	c := admission.New()
	c.SetSlots(now, slots)
	var running []*admission.Ticket
	for {
		t, wait := c.Admit(now, admission.Request{AdmittedFraction: 1, MaxWait: time.Hour})
		if wait > 0 {
			c.Cancel(t)
			return c, running
		}
		running = append(running, t)
	}
}

func started(t *admission.Ticket) bool {
	select {
	case <-t.Started():
		return true
	default:
		return false
	}
}

// Guards against using all slots of a target, which slows it down.
func TestFractionOfSlotsStaysFree(t *testing.T) {
	_, running := full(start)
	assert.Equal(t, len(running), 47)
}

// Guards against new requests that are started before sub-calls of running requests, and against lower priorities that
// are started before higher ones.
func TestQueueOrder(t *testing.T) {
	c, running := full(start)
	enter := func(r admission.Request) *admission.Ticket {
		r.MaxWait, r.AdmittedFraction = time.Hour, 1
		ticket, wait := c.Admit(start, r)
		assert.Assert(t, ticket != nil && wait > 0)
		return ticket
	}
	low := enter(admission.Request{Priority: 2})
	retry := enter(admission.Request{Priority: 2, CallerRetry: true})
	high := enter(admission.Request{Priority: 0})
	lowSubCall := enter(admission.Request{Priority: 2, SubCall: true})
	highSubCall := enter(admission.Request{Priority: 0, SubCall: true})
	for n, want := range []*admission.Ticket{highSubCall, high, lowSubCall, retry, low} {
		c.Done(start, running[n], true)
		assert.Assert(t, started(want), "position %d: not started", n)
	}
}

// Guards against calls of chains that have just begun which go before those of chains that are close to their end: in an
// overload, all chains would then be late.
func TestChainsThatEnteredFirstGoFirst(t *testing.T) {
	c, running := full(start)
	enter := func(subCall bool, age, maxWait time.Duration) *admission.Ticket {
		ticket, _ := c.Admit(start, admission.Request{SubCall: subCall, Begun: start.Add(-age), MaxWait: maxWait, AdmittedFraction: 1})
		return ticket
	}
	var queue []*admission.Ticket
	for _, age := range []time.Duration{2 * time.Millisecond, 900 * time.Millisecond, 300 * time.Millisecond} {
		queue = append(queue, enter(true, age, time.Hour))
	}
	fresh := enter(false, time.Millisecond, time.Hour)
	for n, want := range []*admission.Ticket{queue[1], queue[2], queue[0], fresh} {
		c.Done(start, running[n], true)
		assert.Assert(t, started(want), "position %d: not started", n)
	}
	for range 200 {
		enter(true, 500*time.Millisecond, time.Hour)
	}
	assert.Assert(t, enter(true, 0, 100*time.Millisecond) == nil, "a chain that has just begun waits for those before it")
	assert.Assert(t, enter(true, time.Second, 100*time.Millisecond) != nil, "an older chain does not wait for them")
}

// Guards against a request that is queued although it would exceed its maximum wait: it must be rejected immediately.
func TestRejectsImmediatelyWhenWaitIsTooLong(t *testing.T) {
	c, _ := full(start)
	rejected := 0
	for range 400 {
		if ticket, wait := c.Admit(start, admission.Request{Priority: 1, AdmittedFraction: 1, MaxWait: 100 * time.Millisecond}); ticket == nil {
			assert.Assert(t, wait > 100*time.Millisecond)
			rejected++
		}
	}
	assert.Equal(t, rejected, 400-94) // 94 waiting requests of 50 ms on 47 slots take 100 ms
	// A sub-call of a running request of the same priority is still admitted, ahead of all of them.
	ticket, wait := c.Admit(start, admission.Request{Priority: 1, SubCall: true, AdmittedFraction: 1, MaxWait: 100 * time.Millisecond})
	assert.Assert(t, ticket != nil && wait < 2*time.Millisecond, "%v", wait)
}

// Guards against a request that is started after it was canceled, and one that is canceled after it was started.
func TestCancel(t *testing.T) {
	c, running := full(start)
	first, _ := c.Admit(start, admission.Request{AdmittedFraction: 1, MaxWait: time.Hour})
	second, _ := c.Admit(start, admission.Request{AdmittedFraction: 1, MaxWait: time.Hour})
	assert.Assert(t, c.Cancel(first))
	c.Done(start, running[0], true)
	assert.Assert(t, !started(first) && started(second))
	assert.Assert(t, !c.Cancel(second))
}

// event is one step of a simulated load.
type event struct {
	at time.Time
	do func(now time.Time)
}

// replay is a heap of events that are run in order of time until none is left.
type replay []event

func (r replay) Len() int           { return len(r) }
func (r replay) Less(a, b int) bool { return r[a].at.Before(r[b].at) }
func (r replay) Swap(a, b int)      { r[a], r[b] = r[b], r[a] }
func (r *replay) Push(x any)        { *r = append(*r, x.(event)) }
func (r *replay) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

func (r *replay) at(t time.Time, do func(now time.Time)) { heap.Push(r, event{t, do}) }

func (r *replay) run() {
	for r.Len() > 0 {
		e := heap.Pop(r).(event)
		e.do(e.at)
	}
}

// Simulates a leaf service at 1.5 times its capacity, with 0.3 of the requests at high priority. Guards against
// rejected high-priority requests, against idle slots, and against a level that stays low during the overload or high
// after it.
func TestOverloadedLeaf(t *testing.T) {
	const work, rate, seconds = 40 * time.Millisecond, 1760, 4
	random := rand.New(rand.NewPCG(1, 1))
	c := admission.New()
	c.SetSlots(start, slots)
	r := &replay{}
	served, requested := map[int]int{}, map[int]int{}
	highest := 0.0
	finish := func(ticket *admission.Ticket, priority int) func(time.Time) {
		return func(now time.Time) {
			c.Done(now, ticket, true)
			served[priority]++
		}
	}
	var wait func(now time.Time, ticket *admission.Ticket, priority int)
	wait = func(now time.Time, ticket *admission.Ticket, priority int) {
		if started(ticket) {
			r.at(now.Add(work), finish(ticket, priority))
			return
		}
		r.at(now.Add(time.Millisecond), func(now time.Time) { wait(now, ticket, priority) })
	}
	for n := range rate * seconds {
		priority := 2
		if random.Float64() < 0.3 {
			priority = 0
		}
		r.at(start.Add(time.Duration(n)*time.Second/rate), func(now time.Time) {
			requested[priority]++
			highest = max(highest, c.Report(now).Level)
			ticket, w := c.Admit(now, admission.Request{Priority: priority, Rank: 2 - priority, AdmittedFraction: 1, MaxWait: 30 * time.Millisecond})
			switch {
			case ticket == nil:
			case w == 0:
				r.at(now.Add(work), finish(ticket, priority))
			default:
				wait(now, ticket, priority)
			}
		})
	}
	r.run()
	capacity := 47 * seconds * int(time.Second/work)
	assert.Assert(t, served[0] > requested[0]*99/100, "high priority: served %d of %d", served[0], requested[0])
	assert.Assert(t, served[0]+served[2] > capacity*95/100, "served %v, capacity %d", served, capacity)
	assert.Assert(t, highest > 0.5, "highest level %v during the overload", highest)
	for s := range 30 {
		c.Report(start.Add((seconds + time.Duration(s)/5) * time.Second))
	}
	assert.Assert(t, c.Report(start.Add(2*seconds*time.Second)).Level < 0.05)
}
