// Package intake decides which requests run on a target, which wait for it, and which are turned away.
//
// A target runs a fixed number of requests at once. While all its slots are taken, calls of requests that already run
// elsewhere wait first, then requests by priority; among equals those of callers that come back go first. A request is
// turned away at once if it would wait longer than it can afford, so that its caller may go elsewhere in time.
package intake

import (
	"container/heap"
	"sync"
	"time"
)

const (
	// fill is the part of a target's slots in use at most. Targets slow down when they are nearly full.
	fill = 0.94
	// serviceWeight is the weight of one run in the mean time that a run takes.
	serviceWeight = 0.05
	// initialService is taken until the first run has ended.
	initialService = 50 * time.Millisecond
	// cold is how much longer work takes on a target that has just started.
	cold = 2

	// The level follows the occupancy, the requests running and waiting over the limit, by an integral controller.
	levelPeriod  = 100 * time.Millisecond
	goalLoad     = 0.92 // occupancy that the level steers to
	levelGain    = 0.3  // change of level in one period for each unit of occupancy off the goal
	largestError = 0.6  // bounds one step up
	mostIdle     = 0.25 // bounds one step down
	mostLevel    = 3
)

// Request is what the decision depends on.
type Request struct {
	Inner    bool          // a call of a request that runs elsewhere
	Priority int           // 0 is the most important
	Returned bool          // its caller was turned away before
	Hold     time.Duration // longest wait that it can afford
}

// Ticket is one request that runs or waits.
type Ticket struct {
	request Request
	order   uint64
	index   int // in the queue; -1 if it does not wait
	entered time.Time
	started time.Time
	wake    chan struct{}
}

// Started is closed when a request that waited may run.
func (t *Ticket) Started() <-chan struct{} { return t.wake }

// Intake is the admission in front of one target. Its methods may be called concurrently.
type Intake struct {
	mu      sync.Mutex
	slots   int
	running int
	queue   queue
	order   uint64
	service time.Duration
	level   float64
	load    float64 // sum of the occupancy over the samples of the period
	samples int
	period  time.Time
}

// New returns an intake for a target of which nothing is known yet.
func New() *Intake { return &Intake{slots: 1, service: initialService} }

// SetSlots sets how many requests the target runs at once.
func (i *Intake) SetSlots(now time.Time, slots int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.slots = max(1, int(float64(slots)*fill))
	i.startNext(now)
}

// Started tells that the target is a new lifetime: what ran on the last one has ended with it.
func (i *Intake) Started(isCold bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if isCold {
		i.service *= cold
	}
}

// Enter admits a request or turns it away. Without a ticket it is turned away, and wait is the time that it would have
// waited. With a ticket and a wait above 0 it runs when Started is closed, unless Withdraw comes first.
func (i *Intake) Enter(now time.Time, r Request) (t *Ticket, wait time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sample(now)
	i.order++
	t = &Ticket{request: r, order: i.order, index: -1, entered: now}
	if i.running < i.slots {
		i.running++
		t.started = now
		return t, 0
	}
	wait = i.wait(t)
	if wait > r.Hold {
		return nil, wait
	}
	t.wake = make(chan struct{})
	heap.Push(&i.queue, t)
	return t, wait
}

// wait estimates how long a request waits behind those that go before it.
func (i *Intake) wait(t *Ticket) time.Duration {
	ahead := 1
	for _, o := range i.queue {
		if o.before(t) {
			ahead++
		}
	}
	return time.Duration(float64(ahead) * float64(i.service) / float64(i.slots))
}

// Withdraw takes a waiting request out. It returns false if the request has been started meanwhile.
func (i *Intake) Withdraw(t *Ticket) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t.index < 0 {
		return false
	}
	heap.Remove(&i.queue, t.index)
	return true
}

// Done ends a request that ran. Counted is false for one that ended without doing its work.
func (i *Intake) Done(now time.Time, t *Ticket, counted bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
	if counted {
		i.service += time.Duration(serviceWeight * float64(now.Sub(t.started)-i.service))
	}
	i.startNext(now)
	i.sample(now)
}

func (i *Intake) startNext(now time.Time) {
	for i.running < i.slots && len(i.queue) > 0 {
		t := heap.Pop(&i.queue).(*Ticket)
		t.started = now
		i.running++
		close(t.wake)
	}
}

// sample moves the level by what the occupancy has been.
func (i *Intake) sample(now time.Time) {
	i.load += float64(i.running+len(i.queue)) / float64(i.slots)
	i.samples++
	elapsed := now.Sub(i.period)
	if elapsed < levelPeriod {
		return
	}
	off := i.load/float64(i.samples) - goalLoad
	step := min(largestError, max(-mostIdle, off)) * levelGain
	if elapsed > 2*levelPeriod && step < 0 {
		step *= min(10, float64(elapsed)/float64(levelPeriod))
	}
	i.level = min(mostLevel, max(0, i.level+step))
	i.load, i.samples, i.period = 0, 0, now
}

// Report is the state of an intake.
type Report struct {
	Limit, Running, Waiting int
	Service                 time.Duration // mean time that a run takes
	Level                   float64       // of shedding; see package pressure
}

// Report returns the state.
func (i *Intake) Report(now time.Time) Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.period) > 2*levelPeriod {
		i.sample(now)
	}
	return Report{Limit: i.slots, Running: i.running, Waiting: len(i.queue), Service: i.service, Level: i.level}
}

// Waited is how long the request waited before it ran.
func (t *Ticket) Waited() time.Duration { return t.started.Sub(t.entered) }

// before reports whether t runs before o.
func (t *Ticket) before(o *Ticket) bool {
	a, b := t.request, o.request
	switch {
	case a.Inner != b.Inner:
		return a.Inner
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.Returned != b.Returned:
		return a.Returned
	}
	return t.order < o.order
}

// queue is a heap of waiting tickets.
type queue []*Ticket

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].before(q[b]) }
func (q queue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index, q[b].index = a, b
}

func (q *queue) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*q)
	*q = append(*q, t)
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	t.index = -1
	return t
}
