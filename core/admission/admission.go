// Package admission decides which requests run on a target, which wait for it, and which are turned away.
//
// A target runs a fixed number of requests at once. While all its slots are taken, requests wait by the importance of the
// request at the top of their chain; among equals calls of requests that already run elsewhere go first, then those of
// callers that come back. A request is turned away at once if it would wait longer than it can afford, so that its caller
// may go elsewhere in time.
//
// The controller also computes the level at which the entry nodes should shed. Each request tells the share of its kind that
// the entry let through, so the demand before any shedding is known, and the level follows from it without feedback. A
// controller on the target's occupancy would act on what it told some hundred milliseconds ago, and shed far too much in
// turn with too little.
package admission

import (
	"container/heap"
	"math"
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

	// goalLoad is the part of the slots that the level leaves the entry nodes to fill. The rest, and the queue, take in
	// what varies from one moment to the next.
	goalLoad = 0.95
	// levelPeriod is how often the level is computed, from demand that is a mean with this weight for the last period.
	levelPeriod  = 100 * time.Millisecond
	demandWeight = 0.35
	// ranks is how many importances are told apart.
	ranks = 4
)

// Request is what the decision depends on.
type Request struct {
	SubCall          bool          // a call of a request that runs elsewhere
	Priority         int           // 0 is the most important
	CallerRetry      bool          // its caller was turned away before
	Rank             int           // steps of importance above the least important requests
	AdmittedFraction float64       // share of such requests that the entry let through, above 0
	AlreadyCounted   bool          // another target's controller has turned it away, and counted it
	MaxWait          time.Duration // longest wait that it can afford
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

// class is the requests of one rank, calls of running requests apart from others.
type class struct {
	service time.Duration // mean time for which a run takes a slot, also one that fails or is refused by the target
	arrived float64       // requests of the present period, before any shedding
	demand  float64       // the same in a second, as a mean over periods
}

func (r Request) class() int {
	c := 2 * min(ranks-1, max(0, r.Rank))
	if r.SubCall {
		c++
	}
	return c
}

// Controller is the admission in front of one target. Its methods may be called concurrently.
type Controller struct {
	mu      sync.Mutex
	slots   int
	running int
	queue   queue
	order   uint64
	service time.Duration
	classes [2 * ranks]class
	level   float64
	period  time.Time // start of the present one
}

// New returns a controller for a target of which nothing is known yet.
func New() *Controller {
	i := &Controller{slots: 1, service: initialService}
	for c := range i.classes {
		i.classes[c].service = initialService
	}
	return i
}

// SetSlots sets how many requests the target runs at once.
func (i *Controller) SetSlots(now time.Time, slots int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.slots = max(1, int(float64(slots)*fill))
	i.startNext(now)
}

// TargetRestarted tells that a new lifetime of the target is slow at first.
func (i *Controller) TargetRestarted() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.service *= cold
}

// Admit admits a request or turns it away. Without a ticket it is turned away, and wait is the time that it would have
// waited. With a ticket and a wait above 0 it runs when Started is closed, unless Cancel comes first.
func (i *Controller) Admit(now time.Time, r Request) (t *Ticket, wait time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.turn(now)
	if !r.AlreadyCounted {
		i.classes[r.class()].arrived += 1 / r.AdmittedFraction
	}
	i.order++
	t = &Ticket{request: r, order: i.order, index: -1, entered: now}
	if i.running < i.slots {
		i.running++
		t.started = now
		return t, 0
	}
	wait = i.wait(t)
	if wait > r.MaxWait {
		return nil, wait
	}
	t.wake = make(chan struct{})
	heap.Push(&i.queue, t)
	return t, wait
}

// wait estimates how long a request waits behind those that go before it.
func (i *Controller) wait(t *Ticket) time.Duration {
	ahead := 1
	for _, o := range i.queue {
		if o.before(t) {
			ahead++
		}
	}
	return time.Duration(float64(ahead) * float64(i.service) / float64(i.slots))
}

// Cancel takes a waiting request out. It returns false if the request has been started meanwhile.
func (i *Controller) Cancel(t *Ticket) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t.index < 0 {
		return false
	}
	heap.Remove(&i.queue, t.index)
	return true
}

// Done ends a request that ran. Counted is false for one that ended without doing its work.
func (i *Controller) Done(now time.Time, t *Ticket, counted bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
	took := now.Sub(t.started)
	if counted {
		i.service += time.Duration(serviceWeight * float64(took-i.service))
	}
	c := &i.classes[t.request.class()]
	c.service += time.Duration(serviceWeight * float64(took-c.service))
	i.startNext(now)
}

func (i *Controller) startNext(now time.Time) {
	for i.running < i.slots && len(i.queue) > 0 {
		t := heap.Pop(&i.queue).(*Ticket)
		t.started = now
		i.running++
		close(t.wake)
	}
}

// turn ends a period and computes the level anew.
func (i *Controller) turn(now time.Time) {
	elapsed := now.Sub(i.period)
	if elapsed < levelPeriod {
		return
	}
	periods := min(100, float64(elapsed)/float64(levelPeriod))
	kept := math.Pow(1-demandWeight, periods) // of the mean so far
	for c := range i.classes {
		v := &i.classes[c]
		v.demand = kept*v.demand + (1-kept)*v.arrived/elapsed.Seconds()
		v.arrived = 0
	}
	i.period = now
	i.level = i.shedding()
}

// shedding is the level at which what is left of the demand fills the slots to the goal.
func (i *Controller) shedding() float64 {
	var work [ranks]float64 // slots that each rank would fill
	total := 0.0
	for c, v := range i.classes {
		w := v.demand * v.service.Seconds()
		work[c/2] += w
		total += w
	}
	excess := total - goalLoad*float64(i.slots)
	level := 0.0
	for r := 0; r < ranks && excess > 0; r++ {
		if work[r] >= excess {
			return level + excess/work[r]
		}
		excess -= work[r]
		level++
	}
	return level
}

// Report is the state of a controller.
type Report struct {
	Limit, Running, Waiting int
	ServiceTime             time.Duration // mean time that a run takes
	Level                   float64       // of shedding; see package pressure
}

// Report returns the state.
func (i *Controller) Report(now time.Time) Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.turn(now)
	return Report{Limit: i.slots, Running: i.running, Waiting: len(i.queue), ServiceTime: i.service, Level: i.level}
}

// Waited is how long the request waited before it ran.
func (t *Ticket) Waited() time.Duration { return t.started.Sub(t.entered) }

// before reports whether t runs before o.
func (t *Ticket) before(o *Ticket) bool {
	a, b := t.request, o.request
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.SubCall != b.SubCall:
		return a.SubCall
	case a.CallerRetry != b.CallerRetry:
		return a.CallerRetry
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
