package pressure_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/admission"
	"mustardmast/core/pressure"
)

// clock runs events in the order of their times.
type clock struct {
	now    time.Time
	added  int // events so far
	events events
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].sequence < e[b].sequence
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (c *clock) after(d time.Duration, run func()) {
	c.added++
	heap.Push(&c.events, event{at: c.now.Add(d), sequence: c.added, run: run})
}

func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// Sizes of the simulated fleet: requests enter at many nodes, and each makes calls one after another to a service with
// few targets.
const (
	entryNodes, middleNodes, leafNodes = 95, 49, 5
	leafSlots                          = 59
	calls                              = 4
	leafWork, ownWork                  = 64 * time.Millisecond, 42 * time.Millisecond
	transit                            = time.Millisecond
	objective, callBudget              = 1500 * time.Millisecond, 700 * time.Millisecond
)

// fleet simulates nodes that shed by the levels that they have learned. Each entry node learns from the responses to its
// own requests only.
type fleet struct {
	clock
	random        *rand.Rand
	shedInMiddle  bool // the nodes that run the requests shed by the levels of the calls that these make
	entries       []*pressure.Levels
	middle        []*pressure.Levels
	leaves        []*leaf
	arrived       map[int]int // by second
	served, timed map[int]int // timed: served within the objective
	refused       map[int]int
	failed        map[int]int
}

type leaf struct {
	admission *admission.Controller
	waiting   []waiting
}

type waiting struct {
	ticket  *admission.Ticket
	started func()
}

// request is a request that is running on a middle node.
type request struct {
	second, entry, middle int
	fraction, level       float64
	arrived               time.Time
	done                  int // calls
}

func newFleet(shedInMiddle bool) *fleet {
	f := &fleet{clock: clock{now: start}, random: rand.New(rand.NewPCG(3, 4)), shedInMiddle: shedInMiddle,
		arrived: map[int]int{}, served: map[int]int{}, timed: map[int]int{}, refused: map[int]int{}, failed: map[int]int{}}
	for range entryNodes {
		f.entries = append(f.entries, pressure.New())
	}
	for range middleNodes {
		f.middle = append(f.middle, pressure.New())
	}
	for range leafNodes {
		l := &leaf{admission: admission.New()}
		l.admission.SetSlots(start, leafSlots)
		f.leaves = append(f.leaves, l)
	}
	return f
}

// demand adds requests at a rate per second.
func (f *fleet) demand(from, to time.Duration, rate float64) {
	for at := from; at < to; at += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)) {
		f.after(at, f.arrive)
	}
}

func (f *fleet) arrive() {
	r := &request{second: int(f.now.Sub(start) / time.Second), entry: f.random.IntN(entryNodes), middle: f.random.IntN(middleNodes), arrived: f.now}
	f.arrived[r.second]++
	probability, fraction := f.entries[r.entry].Admission(f.now, "r", pressure.Request{AdmittedFraction: 1})
	if f.random.Float64() >= probability {
		f.refused[r.second]++
		return
	}
	r.fraction = fraction
	f.after(transit, func() { f.begin(r) })
}

func (f *fleet) begin(r *request) {
	if f.shedInMiddle {
		probability, fraction := f.middle[r.middle].Admission(f.now, "r", pressure.Request{AdmittedFraction: r.fraction})
		if f.random.Float64() >= probability {
			f.refused[r.second]++
			level := f.middle[r.middle].Level(f.now, "r")
			f.after(transit, func() { f.entries[r.entry].Observe(f.now, "r", level) })
			return
		}
		r.fraction = fraction
	}
	f.after(ownWork, func() { f.call(r) })
}

// call makes the next call of a request, or ends the request after the last one.
func (f *fleet) call(r *request) {
	if r.done == calls {
		f.served[r.second]++
		if f.now.Sub(r.arrived) <= objective {
			f.timed[r.second]++
		}
		f.respond(r)
		return
	}
	f.offer(r, f.random.Perm(leafNodes), f.now.Add(callBudget))
}

// offer offers a call to leaf nodes in turn.
func (f *fleet) offer(r *request, leaves []int, deadline time.Time) {
	if len(leaves) == 0 {
		f.failed[r.second]++
		f.respond(r)
		return
	}
	l := f.leaves[leaves[0]]
	ticket, wait := l.admission.Admit(f.now, admission.Request{
		SubCall: true, Priority: 2, AdmittedFraction: r.fraction, AlreadyCounted: len(leaves) < leafNodes, MaxWait: deadline.Sub(f.now) / 2, Begun: r.arrived,
	})
	switch {
	case ticket == nil:
		f.observe(r, l)
		f.after(2*transit, func() { f.offer(r, leaves[1:], deadline) })
	case wait == 0:
		f.work(r, l, ticket)
	default:
		l.waiting = append(l.waiting, waiting{ticket, func() { f.work(r, l, ticket) }})
	}
}

func (f *fleet) work(r *request, l *leaf, ticket *admission.Ticket) {
	f.after(time.Duration((0.5+f.random.Float64())*float64(leafWork)), func() {
		l.admission.Done(f.now, ticket, true)
		f.observe(r, l)
		still := l.waiting[:0]
		for _, w := range l.waiting {
			select {
			case <-w.ticket.Started():
				w.started()
			default:
				still = append(still, w)
			}
		}
		l.waiting = still
		r.done++
		f.after(ownWork, func() { f.call(r) })
	})
}

// observe passes the level of a leaf node to the node that runs the request.
func (f *fleet) observe(r *request, l *leaf) {
	level := l.admission.Report(f.now).Level
	r.level = max(r.level, level)
	f.after(transit, func() { f.middle[r.middle].Observe(f.now, "r", level) })
}

// respond passes the level that a request has met to its entry node.
func (f *fleet) respond(r *request) {
	f.after(transit, func() { f.entries[r.entry].Observe(f.now, "r", r.level) })
}

// capacity is the number of requests per second whose calls the leaf service can run.
var capacity = leafNodes * leafSlots * 0.94 / leafWork.Seconds() / calls

// surge simulates load that rises at once to 1.6 times the capacity, after eight seconds of calm. It returns what came of
// the requests of the first four seconds.
func (f *fleet) surge() (served, timed, refused, failed, arrived int) {
	f.demand(0, 8*time.Second, 0.6*capacity)
	f.demand(8*time.Second, 12*time.Second, 1.6*capacity)
	f.run()
	for s := 8; s < 12; s++ {
		served, timed, refused, failed, arrived = served+f.served[s], timed+f.timed[s], refused+f.refused[s], failed+f.failed[s], arrived+f.arrived[s]
	}
	return served, timed, refused, failed, arrived
}

// Replays the first four seconds of a surge in a fleet where each entry node sees few responses a second. Guards against
// levels that reach the entry nodes only after the runs that met them, and then so slowly that chains are begun which
// lose one of their calls, and against a queue that stays for as long as the load and that each call of a chain waits in.
func TestFirstSecondsOfASurge(t *testing.T) {
	served, timed, refused, failed, arrived := newFleet(true).surge()
	t.Logf("arrived %d: served %d (%d in time), refused %d, failed %d", arrived, served, timed, refused, failed)
	s0, t0, r0, f0, _ := newFleet(false).surge()
	t.Logf("entry nodes alone: served %d (%d in time), refused %d, failed %d", s0, t0, r0, f0)
	assert.Assert(t, failed*10 < refused+failed, "failed %d of %d that were not served", failed, refused+failed)
	assert.Assert(t, float64(timed) > 0.9*4*capacity, "%d in time, capacity %.0f", timed, 4*capacity)
}
