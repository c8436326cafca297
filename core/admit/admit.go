// Package admit implements the admission control of the target on this host: it decides which calls run, and when.
//
// An Admitter combines load shedding by cohort, priority and backer (core/shed), the concurrency limit (core/limit),
// the cost classes (core/cost), and a short queue (core/queue) with the shares of the backers (core/share). A call
// whose cohort is not below the admission level of its priority and backer is shed. Any other call runs if there is a
// free slot. Otherwise it waits, if its deadline can still be met, or is rejected before any work is done. A slot that
// becomes free goes to the waiting call of the highest priority.
//
// One lock guards the state. A target is called some hundred or thousand times per second and a decision takes about a
// microsecond, so the lock is held for well under a hundredth of the time; see the benchmarks.
package admit

import (
	"sync"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/cost"
	"mustardmast/core/fault"
	"mustardmast/core/limit"
	"mustardmast/core/queue"
	"mustardmast/core/share"
	"mustardmast/core/shed"
)

const (
	// DefaultWait is the default maximum time in the queue. A waiting call holds slots at the hops above it; with 100
	// ms, a chain of three services lost 3% of its goodput at 3x overload.
	DefaultWait = 50 * time.Millisecond
	// longQueueWait is the maximum time in the queue for long jobs, which wait for one of few slots.
	longQueueWait = 2 * time.Second
	// minQueueLength is the smallest default for the length of the queue; it applies to targets with fewer slots.
	minQueueLength = 16
	// longSlotFraction is the fraction of the limit that long jobs may use.
	longSlotFraction = 0.25
	// minRelativeCost is the minimum relative cost of a method. It keeps the cost of very short methods above zero.
	minRelativeCost = 0.1
	// nestedMarginPercent is the margin for calls from other hops. The levels of targets that serve a hundred calls of
	// one kind per second differ by a fifth, and the levels that the hops above know lag behind.
	nestedMarginPercent = 60
	// shedRetryAfter is the retry-after value for shed calls, the time in which levels change noticeably.
	shedRetryAfter = time.Second
)

// Spec holds the parameters of an Admitter.
type Spec struct {
	Slots       int             // slots that the target reports
	Backers     []config.Backer // configured backers
	QueueLength int             // maximum length of the queue; 0 means the number of slots, but at least 16
	QueueWait   time.Duration   // maximum time in the queue; 0 means DefaultWait
}

// Admitter implements mustardmast.Admitter. It is safe for concurrent use. Use New.
type Admitter struct {
	mu      sync.Mutex
	spec    Spec
	share   *share.Share
	limit   *limit.Limit
	queue   *queue.Queue
	shed    *shed.Shedder
	cost    *cost.Cost
	waiting map[uint64]mustardmast.Work
	running map[uint64]running
	long    int                   // number of running long jobs
	pending []mustardmast.Verdict // rejections of evicted calls, for the next Done or Tick; at most the queue length
	window  window
}

type running struct {
	method   string
	backer   string
	priority call.Priority
	declared bool // declared long by the configuration
	long     bool // long when it started, by its declaration or by its latency
}

var _ mustardmast.Admitter = (*Admitter)(nil)

// New returns an Admitter without running or waiting calls.
func New(s Spec) *Admitter {
	if s.QueueWait <= 0 {
		s.QueueWait = DefaultWait
	}
	a := &Admitter{
		spec:    s,
		limit:   limit.New(s.Slots),
		cost:    cost.New(),
		waiting: make(map[uint64]mustardmast.Work),
		running: make(map[uint64]running),
	}
	a.configure(s.Backers)
	return a
}

func (a *Admitter) queueLength() int {
	if a.spec.QueueLength > 0 {
		return a.spec.QueueLength
	}
	return max(a.spec.Slots, minQueueLength)
}

func (a *Admitter) configure(backers []config.Backer) {
	a.share = share.New(backers)
	a.queue = queue.New(queue.Spec{Length: a.queueLength(), Wait: a.spec.QueueWait, Weights: a.share.Weights()})
	a.shed = shed.New(a.share)
}

// SetSlots changes the number of slots that the target reports. Running calls are not interrupted.
func (a *Admitter) SetSlots(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spec.Slots = n
	a.limit.SetSlots(n)
}

// SetBackers applies a new configuration. Waiting calls are queued again with the new shares, and levels are reset.
func (a *Admitter) SetBackers(now time.Time, backers []config.Backer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.queue.Drain()
	a.configure(backers)
	for _, it := range old {
		w := a.waiting[it.Ticket]
		delete(a.waiting, it.Ticket)
		if v := a.enqueue(now, w); v.Action == mustardmast.Reject {
			a.pending = append(a.pending, v)
		}
	}
}

// Offer implements mustardmast.Admitter.
func (a *Admitter) Offer(now time.Time, w mustardmast.Work) mustardmast.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tracked(w.Ticket) {
		return reject(w.Ticket, fault.Internal, 0)
	}
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return reject(w.Ticket, fault.DeadlinePassed, 0)
	}
	b, p, cohort := a.share.Index(w.Call.Backer()), w.Call.Priority(), w.Call.Cohort()
	a.shed.RecordArrival(p, b, cohort, w.Withheld)
	if cohort >= effectiveLevel(a.shed.Level(p, b), w.Call.Depth()) {
		return reject(w.Ticket, fault.Shed, shedRetryAfter)
	}
	long := a.cost.Long(w.Call.Method(), w.Long)
	// Every queued call that could run was started already, so this call does not overtake any.
	if len(a.running) < a.limit.Value() && (!long || a.long < a.longSlots()) {
		return a.start(now, w)
	}
	if a.limit.Stalled() {
		a.window.rejected++
		return reject(w.Ticket, fault.QueueFull, a.spec.QueueWait)
	}
	return a.enqueue(now, w)
}

// effectiveLevel returns the level that applies to a call. Calls from other hops get a margin, because work has been
// done for their requests already and the levels of the targets of a service differ by chance; the queue rejects the
// excess.
func effectiveLevel(l mustardmast.Level, depth int) int {
	if depth <= 1 {
		return int(l)
	}
	return int(l) + int(l)*nestedMarginPercent/100
}

func (a *Admitter) longSlots() int { return max(int(float64(a.limit.Value())*longSlotFraction), 1) }

func (a *Admitter) tracked(ticket uint64) bool {
	if _, ok := a.running[ticket]; ok {
		return true
	}
	_, ok := a.waiting[ticket]
	return ok
}

func (a *Admitter) start(now time.Time, w mustardmast.Work) mustardmast.Verdict {
	a.accumulate(now)
	r := running{method: w.Call.Method(), backer: w.Call.Backer(), priority: w.Call.Priority(), declared: w.Long}
	r.long = a.cost.Long(r.method, r.declared)
	a.running[w.Ticket] = r
	if r.long {
		a.long++
	}
	a.window.started++
	a.limit.Start(now, len(a.running), r.long)
	return mustardmast.Verdict{Ticket: w.Ticket, Action: mustardmast.Run}
}

func (a *Admitter) enqueue(now time.Time, w mustardmast.Work) mustardmast.Verdict {
	if len(a.pending) >= a.queueLength() {
		a.window.rejected++
		return reject(w.Ticket, fault.QueueFull, a.spec.QueueWait)
	}
	it := a.item(w)
	evicted, has, ok := a.queue.Push(now, it)
	if !ok {
		a.window.rejected++
		return reject(w.Ticket, fault.QueueFull, a.spec.QueueWait)
	}
	if has {
		a.window.rejected++
		delete(a.waiting, evicted.Ticket)
		a.pending = append(a.pending, reject(evicted.Ticket, fault.QueueFull, a.spec.QueueWait))
	}
	a.waiting[w.Ticket] = w
	return mustardmast.Verdict{Ticket: w.Ticket, Action: mustardmast.Wait}
}

func (a *Admitter) item(w mustardmast.Work) queue.Item {
	it := queue.Item{
		Ticket:     w.Ticket,
		Priority:   w.Call.Priority(),
		Backer:     a.share.Index(w.Call.Backer()),
		Deadline:   w.Deadline,
		Long:       a.cost.Long(w.Call.Method(), w.Long),
		MinRuntime: a.cost.Mean(w.Call.Method()) / 4, // most calls take longer than a quarter of the mean
		Cost:       max(a.cost.Relative(w.Call.Method()), minRelativeCost),
	}
	if it.Long {
		it.Wait = longQueueWait
	}
	return it
}

func reject(ticket uint64, k fault.Kind, after time.Duration) mustardmast.Verdict {
	return mustardmast.Verdict{Ticket: ticket, Action: mustardmast.Reject, Kind: k, RetryAfter: after}
}

// Done implements mustardmast.Admitter. A ticket that is not running is ignored.
func (a *Admitter) Done(now time.Time, c mustardmast.Completion) []mustardmast.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.running[c.Ticket]
	if !ok {
		return nil
	}
	a.accumulate(now)
	delete(a.running, c.Ticket)
	if r.long {
		a.long--
	}
	a.observe(now, r, c)
	return a.startWaiting(now, a.takePending())
}

// observe passes the result of a call to the limit and, if the target responded, to the cost classes and the shedder.
func (a *Admitter) observe(now time.Time, r running, c mustardmast.Completion) {
	own := max(c.Latency-c.SubCallTime, 0)
	s := limit.Sample{
		Latency:  time.Duration(float64(own) / max(a.cost.Relative(r.method), minRelativeCost)),
		HoldTime: c.Latency,
		Long:     r.long,
		Rejected: c.Kind == fault.TargetRefused,
	}
	switch c.Kind {
	case fault.None, fault.AnswerCut:
		s.Completed = true
	}
	a.limit.End(now, s)
	if s.Completed {
		a.cost.Observe(r.method, r.declared, own)
		if !r.long {
			a.shed.RecordCompletion(r.priority, a.share.Index(r.backer), c.Latency)
		}
	}
}

// takePending removes and returns the pending verdicts.
func (a *Admitter) takePending() []mustardmast.Verdict {
	vs := a.pending
	a.pending = nil
	return vs
}

// startWaiting starts waiting calls while there are free slots, and rejects those found after their latest start.
func (a *Admitter) startWaiting(now time.Time, vs []mustardmast.Verdict) []mustardmast.Verdict {
	for len(a.running) < a.limit.Value() {
		it, ok := a.queue.Pop(now, a.long < a.longSlots())
		if !ok {
			break
		}
		w := a.waiting[it.Ticket]
		delete(a.waiting, it.Ticket)
		vs = append(vs, a.start(now, w))
	}
	a.window.observeQueue(a.queue.Len())
	return a.expire(now, a.queue.TakeDropped(), vs)
}

// expire appends the rejections of items that the queue has removed after their latest start.
func (a *Admitter) expire(now time.Time, items []queue.Item, vs []mustardmast.Verdict) []mustardmast.Verdict {
	for _, it := range items {
		delete(a.waiting, it.Ticket)
		a.window.rejected++
		k := fault.QueueFull
		if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
			k = fault.DeadlinePassed
		}
		vs = append(vs, reject(it.Ticket, k, a.spec.QueueWait))
	}
	return vs
}

// Cancel implements mustardmast.Admitter. It has no effect on a running call, which Done ends.
func (a *Admitter) Cancel(_ time.Time, ticket uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Remove(ticket)
	delete(a.waiting, ticket)
	for i, v := range a.pending {
		if v.Ticket == ticket {
			a.pending = append(a.pending[:i], a.pending[i+1:]...)
			return
		}
	}
}

// Tick implements mustardmast.Admitter. The node calls it about every 10 ms.
func (a *Admitter) Tick(now time.Time) []mustardmast.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	vs := a.expire(now, a.queue.TakeExpired(now), a.takePending())
	a.limit.Tick(now)
	a.advance(now)
	return a.startWaiting(now, vs)
}

// LevelFor implements mustardmast.Admitter.
func (a *Admitter) LevelFor(_ time.Time, p call.Priority, backer string) mustardmast.Level {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shed.Level(p, a.share.Index(backer))
}

// Load implements mustardmast.Admitter.
func (a *Admitter) Load(time.Time) mustardmast.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return mustardmast.Load{
		InFlight: uint32(len(a.running)),
		Queued:   uint32(a.queue.Len()),
		Limit:    uint32(a.limit.Value()),
	}
}
