// Package admit decides which calls the target on this host runs, and when.
//
// An Admitter combines the parts below core: the level of the call's priority and backer against its cohort (core/shed),
// the concurrency limit (core/limit), the cost class (core/cost), and a short queue (core/queue) with the shares of the
// backers (core/share). A call below its level that finds a slot runs. Otherwise it waits, if its deadline can still be
// met, or it is refused before any work is done. A slot that comes free goes to the most important call that waits.
//
// One lock guards the state. A target is called some hundred or thousand times a second and a decision takes about a
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
	// DefaultWait is the bound on the time in the queue. A call that waits holds slots at the hops above it; with 100 ms a
	// chain of three services lost 3% of its goodput at 3x overload.
	DefaultWait = 50 * time.Millisecond
	// longWait is the bound for long jobs, which wait for one of few slots.
	longWait = 2 * time.Second
	// minQueue is the bound on the queue's length for a target with few slots.
	minQueue = 16
	// longPart is the part of the limit that long jobs may hold.
	longPart = 0.25
	// minRelative keeps the costs of methods that take almost nothing above zero.
	minRelative = 0.1
	// marginPercent is the margin of calls from other hops. Levels of targets that serve a hundred calls a second of one
	// kind differ by a fifth, and those that hops above have learned lag behind.
	marginPercent = 60
	// shedRetryAfter is what a shed caller is told to wait: the time in which levels change noticeably.
	shedRetryAfter = time.Second
)

// Spec has the parts of an Admitter by name.
type Spec struct {
	Slots       int             // slots that the target states
	Backers     []config.Backer // configured backers
	QueueLength int             // 0 takes as many as slots, and at least 16
	QueueWait   time.Duration   // 0 takes DefaultWait
}

// Admitter implements mustardmast.Admitter. Use New.
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
	long    int                   // running long jobs
	owed    []mustardmast.Verdict // refusals of evicted work, for the next Done or Tick; at most queue length
	window  window
}

type running struct {
	method   string
	backer   string
	priority call.Priority
	declared bool
	long     bool
}

var _ mustardmast.Admitter = (*Admitter)(nil)

// New returns an admitter with nothing running.
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
	return max(a.spec.Slots, minQueue)
}

func (a *Admitter) configure(backers []config.Backer) {
	a.share = share.New(backers)
	a.queue = queue.New(queue.Spec{Length: a.queueLength(), Wait: a.spec.QueueWait, Weights: a.share.Weights()})
	a.shed = shed.New(a.share)
}

// SetSlots changes the number of slots that the target states. Calls that run are not interrupted.
func (a *Admitter) SetSlots(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spec.Slots = n
	a.limit.SetSlots(n)
}

// SetBackers takes a new configuration. Calls that wait are queued again by the new shares, levels start anew.
func (a *Admitter) SetBackers(now time.Time, backers []config.Backer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.queue.Drain()
	a.configure(backers)
	for _, it := range old {
		w := a.waiting[it.Ticket]
		delete(a.waiting, it.Ticket)
		if v := a.enqueue(now, w); v.Action == mustardmast.Reject {
			a.owed = append(a.owed, v)
		}
	}
}

// Offer implements mustardmast.Admitter.
func (a *Admitter) Offer(now time.Time, w mustardmast.Work) mustardmast.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known(w.Ticket) {
		return refuse(w.Ticket, fault.Internal, 0)
	}
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return refuse(w.Ticket, fault.DeadlinePassed, 0)
	}
	b, p, cohort := a.share.Index(w.Call.Backer()), w.Call.Priority(), w.Call.Cohort()
	a.shed.RecordArrival(p, b, cohort, w.Withheld)
	if cohort >= admitted(a.shed.Level(p, b), w.Call.Depth()) {
		return refuse(w.Ticket, fault.Shed, shedRetryAfter)
	}
	long := a.cost.Long(w.Call.Method(), w.Long)
	// Whatever could run already does, so the queue holds nothing that has to go first.
	if len(a.running) < a.limit.Value() && (!long || a.long < a.longSlots()) {
		return a.start(now, w)
	}
	if a.limit.Stalled() {
		a.window.refused++
		return refuse(w.Ticket, fault.QueueFull, a.spec.QueueWait)
	}
	return a.enqueue(now, w)
}

// admitted returns the level that a call is judged by. Work has been done already for a call that comes from another
// hop, and targets of one service differ in their levels by chance, so such a call gets a margin; the queue refuses what
// is too much.
func admitted(l mustardmast.Level, depth int) int {
	if depth <= 1 {
		return int(l)
	}
	return int(l) + int(l)*marginPercent/100
}

func (a *Admitter) longSlots() int { return max(int(float64(a.limit.Value())*longPart), 1) }

func (a *Admitter) known(ticket uint64) bool {
	if _, ok := a.running[ticket]; ok {
		return true
	}
	_, ok := a.waiting[ticket]
	return ok
}

func (a *Admitter) start(now time.Time, w mustardmast.Work) mustardmast.Verdict {
	a.account(now)
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
	if len(a.owed) >= a.queueLength() {
		a.window.refused++
		return refuse(w.Ticket, fault.QueueFull, a.spec.QueueWait)
	}
	it := a.item(w)
	evicted, has, ok := a.queue.Push(now, it)
	if !ok {
		a.window.refused++
		return refuse(w.Ticket, fault.QueueFull, a.spec.QueueWait)
	}
	if has {
		a.window.refused++
		delete(a.waiting, evicted.Ticket)
		a.owed = append(a.owed, refuse(evicted.Ticket, fault.QueueFull, a.spec.QueueWait))
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
		Cost:       max(a.cost.Relative(w.Call.Method()), minRelative),
	}
	if it.Long {
		it.Wait = longWait
	}
	return it
}

func refuse(ticket uint64, k fault.Kind, after time.Duration) mustardmast.Verdict {
	return mustardmast.Verdict{Ticket: ticket, Action: mustardmast.Reject, Kind: k, RetryAfter: after}
}

// Done implements mustardmast.Admitter. A ticket that does not run is ignored.
func (a *Admitter) Done(now time.Time, c mustardmast.Completion) []mustardmast.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.running[c.Ticket]
	if !ok {
		return nil
	}
	a.account(now)
	delete(a.running, c.Ticket)
	if r.long {
		a.long--
	}
	a.learn(now, r, c)
	return a.serve(now, a.settle())
}

func (a *Admitter) learn(now time.Time, r running, c mustardmast.Completion) {
	own := max(c.Latency-c.Below, 0)
	s := limit.Sample{
		Latency:  time.Duration(float64(own) / max(a.cost.Relative(r.method), minRelative)),
		Held:     c.Latency,
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

// settle returns the verdicts that are owed.
func (a *Admitter) settle() []mustardmast.Verdict {
	vs := a.owed
	a.owed = nil
	return vs
}

// serve starts waiting calls while there are free slots, and refuses those found past their latest start.
func (a *Admitter) serve(now time.Time, vs []mustardmast.Verdict) []mustardmast.Verdict {
	for len(a.running) < a.limit.Value() {
		it, ok := a.queue.Pop(now, a.long < a.longSlots())
		if !ok {
			break
		}
		w := a.waiting[it.Ticket]
		delete(a.waiting, it.Ticket)
		vs = append(vs, a.start(now, w))
	}
	a.window.see(a.queue.Len())
	return a.expire(now, a.queue.TakeDropped(), vs)
}

func (a *Admitter) expire(now time.Time, items []queue.Item, vs []mustardmast.Verdict) []mustardmast.Verdict {
	for _, it := range items {
		delete(a.waiting, it.Ticket)
		a.window.refused++
		k := fault.QueueFull
		if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
			k = fault.DeadlinePassed
		}
		vs = append(vs, refuse(it.Ticket, k, a.spec.QueueWait))
	}
	return vs
}

// Cancel implements mustardmast.Admitter. A call that already runs is ended by Done.
func (a *Admitter) Cancel(_ time.Time, ticket uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Remove(ticket)
	delete(a.waiting, ticket)
	for i, v := range a.owed {
		if v.Ticket == ticket {
			a.owed = append(a.owed[:i], a.owed[i+1:]...)
			return
		}
	}
}

// Tick implements mustardmast.Admitter. The node calls it every 10 ms or so.
func (a *Admitter) Tick(now time.Time) []mustardmast.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	vs := a.expire(now, a.queue.TakeExpired(now), a.settle())
	a.limit.Tick(now)
	a.advance(now)
	return a.serve(now, vs)
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
