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

const slots = 50 // of which 47 are used

func full(now time.Time) (*admission.Controller, []*admission.Ticket) {
	i := admission.New()
	i.SetSlots(now, slots)
	var running []*admission.Ticket
	for {
		t, wait := i.Admit(now, admission.Request{AdmittedFraction: 1, MaxWait: time.Hour})
		if wait > 0 {
			i.Cancel(t)
			return i, running
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

// Guards against filling a target up to the point where it slows down.
func TestSomeSlotsStayFree(t *testing.T) {
	_, running := full(start)
	assert.Equal(t, len(running), 47)
}

// Guards against new work that goes before calls of running requests, and against less important work before more
// important.
func TestOrderOfWaiting(t *testing.T) {
	i, running := full(start)
	enter := func(r admission.Request) *admission.Ticket {
		r.MaxWait, r.AdmittedFraction = time.Hour, 1
		ticket, wait := i.Admit(start, r)
		assert.Assert(t, ticket != nil && wait > 0)
		return ticket
	}
	low := enter(admission.Request{Priority: 2})
	back := enter(admission.Request{Priority: 2, CallerRetry: true})
	high := enter(admission.Request{Priority: 0})
	lowCall := enter(admission.Request{Priority: 2, SubCall: true})
	highCall := enter(admission.Request{Priority: 0, SubCall: true})
	for n, want := range []*admission.Ticket{highCall, high, lowCall, back, low} {
		i.Done(start, running[n], true)
		assert.Assert(t, started(want), "place %d", n)
	}
}

// Guards against a request that waits although it will be too late: it is turned away at once.
func TestTurnsAwayAtOnceWhatWouldWaitTooLong(t *testing.T) {
	i, _ := full(start)
	turned := 0
	for range 400 {
		if ticket, wait := i.Admit(start, admission.Request{Priority: 1, AdmittedFraction: 1, MaxWait: 100 * time.Millisecond}); ticket == nil {
			assert.Assert(t, wait > 100*time.Millisecond)
			turned++
		}
	}
	assert.Equal(t, turned, 400-94) // 94 waiting requests of 50 ms on 47 slots take 100 ms
	// A call of a running request of their importance still gets in, ahead of all of them.
	ticket, wait := i.Admit(start, admission.Request{Priority: 1, SubCall: true, AdmittedFraction: 1, MaxWait: 100 * time.Millisecond})
	assert.Assert(t, ticket != nil && wait < 2*time.Millisecond, "%v", wait)
}

// Guards against a request that runs after it was withdrawn, and one that is withdrawn after it was started.
func TestWithdraw(t *testing.T) {
	i, running := full(start)
	first, _ := i.Admit(start, admission.Request{AdmittedFraction: 1, MaxWait: time.Hour})
	second, _ := i.Admit(start, admission.Request{AdmittedFraction: 1, MaxWait: time.Hour})
	assert.Assert(t, i.Cancel(first))
	i.Done(start, running[0], true)
	assert.Assert(t, !started(first) && started(second))
	assert.Assert(t, !i.Cancel(second))
}

// event is one step of a replayed load.
type event struct {
	at time.Time
	do func(now time.Time)
}

// replay runs events in order of time until none is left.
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

// Replays a leaf at 1.5 times its capacity, 0.3 of it important. Guards against important requests lost among the
// others, against slots that idle, and against a level that stays down during the overload or up after it.
func TestOverloadOfALeaf(t *testing.T) {
	const work, rate, seconds = 40 * time.Millisecond, 1760, 4
	random := rand.New(rand.NewPCG(1, 1))
	i := admission.New()
	i.SetSlots(start, slots)
	r := &replay{}
	served, asked := map[int]int{}, map[int]int{}
	highest := 0.0
	finish := func(ticket *admission.Ticket, priority int) func(time.Time) {
		return func(now time.Time) {
			i.Done(now, ticket, true)
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
			asked[priority]++
			highest = max(highest, i.Report(now).Level)
			ticket, w := i.Admit(now, admission.Request{Priority: priority, Rank: 2 - priority, AdmittedFraction: 1, MaxWait: 30 * time.Millisecond})
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
	assert.Assert(t, served[0] > asked[0]*99/100, "important: %d of %d", served[0], asked[0])
	assert.Assert(t, served[0]+served[2] > capacity*95/100, "%v of %d", served, capacity)
	assert.Assert(t, highest > 0.5, "level %v", highest)
	for s := range 30 {
		i.Report(start.Add((seconds + time.Duration(s)/5) * time.Second))
	}
	assert.Assert(t, i.Report(start.Add(2*seconds*time.Second)).Level < 0.05)
}
