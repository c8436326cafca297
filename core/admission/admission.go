// Package admission is the admission control in front of a target: it decides which requests run on the target, which
// wait for a slot, and which are rejected.
//
// A target runs a fixed number of requests concurrently. While all slots are in use, requests wait in order of the
// priority of the request at the root of their call chain. Within a priority, sub-calls of running requests go first,
// then retries by callers that were rejected before, and then the chains that entered first. In an overload, chains that
// are close to their end so complete, and those that have just begun wait or fail at their first call; in the order of
// arrival, each call of each chain would wait, and all chains would be late. A request is rejected immediately if its
// estimated wait exceeds its limit, so that its sender has time to try another target.
//
// The controller also computes the level at which entry nodes should shed load. Each request carries the fraction of
// requests of its kind that the entry node admitted, so the demand before shedding is known, and the level is computed
// from it without feedback. A feedback controller on the target's utilization would react to levels that it reported
// some hundred milliseconds earlier, and would alternate between shedding far too much and too little.
//
// A target may name a limit on the rate of its requests. Requests beyond it wait in the same queue, and the limit counts
// as a lower number of slots in reports and levels, so that entry nodes choose other targets or shed.
package admission

import (
	"container/heap"
	"math"
	"sync"
	"time"

	"mustardmast/core/pace"
)

const (
	// maxSlotFraction is the fraction of a target's slots that may be in use. Targets slow down when nearly all of them
	// are.
	maxSlotFraction = 0.94
	// serviceTimeWeight is the weight of one run in the moving average of the service time.
	serviceTimeWeight = 0.05
	// initialServiceTime is assumed until the first run has ended.
	initialServiceTime = 50 * time.Millisecond
	// coldStartFactor is the factor by which the estimated service time grows when the target restarts.
	coldStartFactor = 2

	// goalUtilization is the utilization of the usable slots that the level aims at. The remaining slots and the queue
	// absorb short-term variation.
	goalUtilization = 0.95
	// levelPeriod is the time between two updates of the level. demandWeight is the weight of one period in the moving
	// average of the demand, from which the level is computed.
	levelPeriod  = 100 * time.Millisecond
	demandWeight = 0.35
	// drainTime is the time in which the requests that wait are to be served besides the demand.
	drainTime = 2 * time.Second
	// firstSlots is the number of slots that are used until a new lifetime of the target, or a target that a new node has
	// found, has responded for the first time. A limit that it has named before is not known until then.
	firstSlots = 8
	// numRanks is the number of ranks with a demand of their own; requests of higher rank count for the highest.
	numRanks = 4
)

// Request holds the properties of a request that the admission decision depends on.
type Request struct {
	SubCall          bool          // a sub-call of a request that runs on another target
	Priority         int           // 0 is the highest priority
	CallerRetry      bool          // the caller was rejected before and retries
	Rank             int           // priority steps above the lowest priority; selects the demand class
	AdmittedFraction float64       // fraction of such requests that the entry node admitted, above 0
	AlreadyCounted   bool          // another target's controller has rejected the request and counted it as demand
	MaxWait          time.Duration // longest time that the request may wait for a slot
	Begun            time.Time     // when the request at the root of the call chain entered
}

// Ticket represents a request that runs or waits.
type Ticket struct {
	request   Request
	sequence  uint64
	index     int // position in the queue; -1 if the request does not wait
	arrivedAt time.Time
	startedAt time.Time
	ready     chan struct{}
}

// Started returns a channel that is closed when the waiting request may run. It is nil for a request that did not wait.
func (t *Ticket) Started() <-chan struct{} { return t.ready }

// class holds the statistics of one rank, separately for sub-calls and for other requests.
type class struct {
	serviceTime time.Duration // mean time that a run holds a slot, including runs that fail or that the target rejects
	arrivals    float64       // requests of the current period, before shedding
	demand      float64       // requests per second before shedding, moving average over periods
}

func (r Request) classIndex() int {
	c := 2 * min(numRanks-1, max(0, r.Rank))
	if r.SubCall {
		c++
	}
	return c
}

// Controller is the admission controller of one target. Its methods are safe for concurrent use.
type Controller struct {
	mu          sync.Mutex
	slots       int
	running     int
	limiter     pace.Limiter
	noResponse  bool // the target has not responded yet
	queue       queue
	sequence    uint64
	serviceTime time.Duration
	classes     [2 * numRanks]class
	level       float64
	periodStart time.Time // start of the current period
}

// New returns a controller for a target that has not reported its slots yet. It runs one request at a time.
func New() *Controller {
	c := &Controller{slots: 1, serviceTime: initialServiceTime}
	for k := range c.classes {
		c.classes[k].serviceTime = initialServiceTime
	}
	return c
}

// SetSlots sets the number of slots that the target reports, of which maxSlotFraction are used. It starts the waiting
// requests for which there are now slots.
func (c *Controller) SetSlots(now time.Time, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots = max(1, int(float64(slots)*maxSlotFraction))
	c.startNext(now)
}

// TargetReplaced forgets the limit on the rate of the previous target. Until the new one responds, firstSlots are used.
func (c *Controller) TargetReplaced() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter, c.noResponse = pace.Limiter{}, true
}

// TargetResponded records a response of the target. If named, it limits the rate of requests to limit per second;
// otherwise it named no limit. TargetResponded reports whether the limit has changed.
func (c *Controller) TargetResponded(now time.Time, limit float64, named bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noResponse = false
	changed := c.limiter.Observe(now, limit, named)
	c.startNext(now)
	return changed
}

// RateLimit returns the limit in requests per second that the target has named; 0 for none.
func (c *Controller) RateLimit() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, _ := c.limiter.Limit()
	return limit
}

// TargetRestarted raises the estimated service time, because a target is slow at the start of a new lifetime.
func (c *Controller) TargetRestarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serviceTime *= coldStartFactor
}

// Admit admits or rejects a request. If t is nil, the request is rejected and wait is the estimated wait, which exceeds
// MaxWait. If t is not nil and wait is 0, the request may run at once; otherwise it may run when the channel of Started
// is closed, unless it is canceled before. The caller must call Done for each request that was started.
func (c *Controller) Admit(now time.Time, r Request) (t *Ticket, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLevel(now)
	if !r.AlreadyCounted {
		c.classes[r.classIndex()].arrivals += 1 / r.AdmittedFraction
	}
	c.sequence++
	t = &Ticket{request: r, sequence: c.sequence, index: -1, arrivedAt: now}
	c.startNext(now)
	if c.running < c.usableSlots() && c.limiter.Take(now) {
		c.running++
		t.startedAt = now
		return t, 0
	}
	wait = c.wait(now, t)
	if wait > r.MaxWait {
		return nil, wait
	}
	t.ready = make(chan struct{})
	heap.Push(&c.queue, t)
	return t, wait
}

// usableSlots returns the number of requests that may run concurrently.
func (c *Controller) usableSlots() int {
	if c.noResponse {
		return min(c.slots, firstSlots)
	}
	return c.slots
}

// rateSlots returns the number of slots that are in use at the limit on the rate of requests, or all slots if these are
// fewer.
func (c *Controller) rateSlots(serviceTime time.Duration) float64 {
	if limit, limited := c.limiter.Limit(); limited {
		return min(float64(c.slots), limit*serviceTime.Seconds())
	}
	return float64(c.slots)
}

// wait estimates how long a request waits for those that precede it in the queue.
func (c *Controller) wait(now time.Time, t *Ticket) time.Duration {
	ahead := 1
	for _, o := range c.queue {
		if o.precedes(t) {
			ahead++
		}
	}
	paced := c.limiter.Wait(now, ahead)
	if c.running < c.usableSlots() {
		return paced
	}
	return max(paced, time.Duration(float64(ahead)*float64(c.serviceTime)/float64(c.usableSlots())))
}

// Cancel removes a waiting request. It returns false if the request has been started in the meantime.
func (c *Controller) Cancel(t *Ticket) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.index < 0 {
		return false
	}
	heap.Remove(&c.queue, t.index)
	return true
}

// Done releases the slot of a request that ran. If completed is false, the request ended without doing its work, and
// its run time does not count in the service time by which waits are estimated.
func (c *Controller) Done(now time.Time, t *Ticket, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	elapsed := now.Sub(t.startedAt)
	if completed {
		c.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-c.serviceTime))
	}
	cl := &c.classes[t.request.classIndex()]
	cl.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-cl.serviceTime))
	c.startNext(now)
}

// StartNext starts the waiting requests that may run by now. If some wait only because of the limit on the rate, it
// returns true and how long it takes until the next one may run. The caller must call StartNext again then.
func (c *Controller) StartNext(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startNext(now)
	if c.running >= c.usableSlots() || len(c.queue) == 0 {
		return 0, false
	}
	return c.limiter.Wait(now, 1), true
}

// startNext starts waiting requests while there are free slots and the limit on the rate allows.
func (c *Controller) startNext(now time.Time) {
	for c.running < c.usableSlots() && len(c.queue) > 0 && c.limiter.Take(now) {
		t := heap.Pop(&c.queue).(*Ticket)
		t.startedAt = now
		c.running++
		close(t.ready)
	}
}

// updateLevel ends the current period, if it is over, and recomputes the level.
func (c *Controller) updateLevel(now time.Time) {
	elapsed := now.Sub(c.periodStart)
	if elapsed < levelPeriod {
		return
	}
	periods := min(100, float64(elapsed)/float64(levelPeriod))
	oldWeight := math.Pow(1-demandWeight, periods)
	for k := range c.classes {
		cl := &c.classes[k]
		cl.demand = oldWeight*cl.demand + (1-oldWeight)*cl.arrivals/elapsed.Seconds()
		cl.arrivals = 0
	}
	c.periodStart = now
	c.level = c.overloadLevel()
}

// overloadLevel returns the level at which the demand that remains after shedding, and the requests that wait by now, use
// goalUtilization of the slots, or of those that the limit on the rate leaves. Without the latter, a queue from the start
// of an overload would stay for as long as the overload, and each call of a chain would wait in it.
func (c *Controller) overloadLevel() float64 {
	var needed [numRanks]float64 // slots that the demand of each rank needs
	total, demand := 0.0, 0.0
	for k, cl := range c.classes {
		used := cl.demand * cl.serviceTime.Seconds()
		needed[k/2] += used
		total += used
		demand += cl.demand
	}
	if demand == 0 {
		return 0
	}
	backlog := float64(len(c.queue)) * total / demand / drainTime.Seconds()
	excess := total + backlog - goalUtilization*c.rateSlots(time.Duration(total/demand*float64(time.Second)))
	level := 0.0
	for r := 0; r < numRanks && excess > 0; r++ {
		if needed[r] >= excess {
			return level + excess/needed[r]
		}
		excess -= needed[r]
		level++
	}
	return level
}

// Report is the state of a Controller.
type Report struct {
	Limit, Running, Waiting int
	ServiceTime             time.Duration // moving average of the run time
	Level                   float64       // at which entry nodes should shed; see package pressure
}

// Report returns the current state.
func (c *Controller) Report(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLevel(now)
	limit := int(math.Ceil(min(float64(c.usableSlots()), c.rateSlots(c.serviceTime))))
	return Report{Limit: limit, Running: c.running, Waiting: len(c.queue), ServiceTime: c.serviceTime, Level: c.level}
}

// Waited returns how long the request waited before it was started.
func (t *Ticket) Waited() time.Duration { return t.startedAt.Sub(t.arrivedAt) }

// precedes reports whether t is started before o.
func (t *Ticket) precedes(o *Ticket) bool {
	a, b := t.request, o.request
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.SubCall != b.SubCall:
		return a.SubCall
	case a.CallerRetry != b.CallerRetry:
		return a.CallerRetry
	case !a.Begun.Equal(b.Begun):
		return a.Begun.Before(b.Begun)
	}
	return t.sequence < o.sequence
}

// queue implements heap.Interface; the ticket to start next comes first.
type queue []*Ticket

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].precedes(q[b]) }
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
