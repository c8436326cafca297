// Package admit decides which calls the target on this host runs, and when.
//
// An Admitter combines a concurrency limit, a short queue and the shares of the backers. A call that finds a slot
// runs. Otherwise it waits, if its deadline can still be met, or it is refused before any work is done. A slot that
// comes free goes to the most important call that waits.
//
// One lock guards the state. A target is called some hundred or thousand times a second and a decision takes about a
// microsecond, so the lock is held for well under a hundredth of the time; see the benchmark.
package admit

import (
	"sync"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/fault"
	"mustardmast/core/limit"
	"mustardmast/core/queue"
	"mustardmast/core/share"
)

// Defaults of a Spec.
const (
	// DefaultWait is the bound on the time in the queue. A longer wait costs the caller more than a retry elsewhere.
	DefaultWait = 100 * time.Millisecond
	// minQueue is the bound on the queue's length for a target with few slots.
	minQueue = 16
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
	waiting map[uint64]mustardmast.Work
	running map[uint64]running
	owed    []mustardmast.Verdict // refusals of evicted work, for the next Done or Tick; at most queue length
}

type running struct {
	since time.Time
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
}

// SetSlots changes the number of slots that the target states. Calls that run are not interrupted.
func (a *Admitter) SetSlots(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spec.Slots = n
	a.limit.SetSlots(n)
}

// SetBackers takes a new configuration. Calls that wait keep their place as far as the new shares allow.
func (a *Admitter) SetBackers(now time.Time, backers []config.Backer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.queue.Drain()
	a.configure(backers)
	for _, it := range old {
		w := a.waiting[it.Ticket]
		delete(a.waiting, it.Ticket)
		if v := a.enqueue(now, w); v.Action == mustardmast.Refuse {
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
	if len(a.running) < a.limit.Value() && a.queue.Len() == 0 {
		return a.start(now, w)
	}
	return a.enqueue(now, w)
}

func (a *Admitter) known(ticket uint64) bool {
	if _, ok := a.running[ticket]; ok {
		return true
	}
	_, ok := a.waiting[ticket]
	return ok
}

func (a *Admitter) start(now time.Time, w mustardmast.Work) mustardmast.Verdict {
	a.running[w.Ticket] = running{since: now}
	return mustardmast.Verdict{Ticket: w.Ticket, Action: mustardmast.Run}
}

func (a *Admitter) enqueue(now time.Time, w mustardmast.Work) mustardmast.Verdict {
	if len(a.owed) >= a.queueLength() {
		return refuse(w.Ticket, fault.QueueFull, a.spec.QueueWait)
	}
	evicted, has, ok := a.queue.Push(now, queue.Item{
		Ticket:   w.Ticket,
		Priority: w.Call.Priority(),
		Backer:   a.share.Index(w.Call.Backer()),
		Deadline: w.Deadline,
		Long:     w.Long,
	})
	if !ok {
		return refuse(w.Ticket, fault.QueueFull, a.spec.QueueWait)
	}
	if has {
		delete(a.waiting, evicted.Ticket)
		a.owed = append(a.owed, refuse(evicted.Ticket, fault.QueueFull, a.spec.QueueWait))
	}
	a.waiting[w.Ticket] = w
	return mustardmast.Verdict{Ticket: w.Ticket, Action: mustardmast.Wait}
}

func refuse(ticket uint64, k fault.Kind, after time.Duration) mustardmast.Verdict {
	return mustardmast.Verdict{Ticket: ticket, Action: mustardmast.Refuse, Kind: k, RetryAfter: after}
}

// Done implements mustardmast.Admitter. A ticket that does not run is ignored.
func (a *Admitter) Done(now time.Time, c mustardmast.Completion) []mustardmast.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.running[c.Ticket]; !ok {
		return nil
	}
	delete(a.running, c.Ticket)
	return a.serve(now, a.settle())
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
		it, ok := a.queue.Pop(now, true)
		if !ok {
			break
		}
		w := a.waiting[it.Ticket]
		delete(a.waiting, it.Ticket)
		vs = append(vs, a.start(now, w))
	}
	return a.expire(now, a.queue.Dropped(), vs)
}

func (a *Admitter) expire(now time.Time, items []queue.Item, vs []mustardmast.Verdict) []mustardmast.Verdict {
	for _, it := range items {
		delete(a.waiting, it.Ticket)
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
	return a.serve(now, vs)
}

// LevelFor implements mustardmast.Admitter.
func (a *Admitter) LevelFor(time.Time, call.Priority, string) mustardmast.Level {
	return mustardmast.FullLevel
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
