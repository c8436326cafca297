package balance_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// sim runs calls of several balancers against targets in virtual time. Everything happens in one event queue, so equal
// seeds give equal runs.
type sim struct {
	now     time.Duration
	events  events
	targets []*target
	list    []mustardmast.Member
	lag     time.Duration // load reports show the state this long ago, and claim an age of 0
	seq     int
	picks   int // sends of calls to targets
	ended   []done
}

type done struct {
	at, latency time.Duration
	target      int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func (s *sim) at(t time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: f})
}

func (s *sim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *sim) time() time.Time { return start.Add(s.now) }

// target has slots and a queue. A stall freezes the work in it; slow multiplies the service time of work that starts.
type target struct {
	s                *sim
	running          int
	queue            []*send
	stalled, resumes time.Duration
	slow             func(time.Duration) float64
	lost             bool
	offers           int                // while lost
	history          []mustardmast.Load // one entry every 10 ms
}

const (
	history = 10 * time.Millisecond
)

type send struct {
	work      time.Duration
	delay     time.Duration // one way
	answer    func(fault.Kind, mustardmast.Load)
	started   bool
	finished  bool
	withdrawn bool
}

func (t *target) offer(d *send) {
	switch {
	case t.lost:
		t.offers++
		d.answer(fault.PeerUnreachable, mustardmast.Load{})
	case t.running < *simSlots:
		t.start(d)
	case len(t.queue) >= 4**simSlots:
		d.answer(fault.QueueFull, t.load())
	default:
		t.queue = append(t.queue, d)
	}
}

func (t *target) start(d *send) {
	t.running++
	d.started = true
	from := max(t.s.now, t.resumes)
	t.s.at(from+time.Duration(float64(d.work)*t.slow(t.s.now)), func() { t.finish(d) })
}

func (t *target) finish(d *send) {
	if d.withdrawn {
		return
	}
	if t.s.now < t.resumes && t.s.now > t.stalled {
		t.s.at(t.resumes+t.s.now-t.stalled, func() { t.finish(d) })
		return
	}
	d.finished = true
	t.leave()
	if t.lost {
		d.answer(fault.PeerLost, mustardmast.Load{})
		return
	}
	d.answer(fault.None, t.load())
}

func (t *target) leave() {
	t.running--
	for len(t.queue) > 0 && t.running < *simSlots {
		d := t.queue[0]
		t.queue = t.queue[1:]
		if !d.withdrawn {
			t.start(d)
		}
	}
}

func (t *target) cancel(d *send) {
	d.withdrawn = true
	if d.started && !d.finished {
		t.leave()
	}
}

func (t *target) load() mustardmast.Load {
	if i := int((t.s.now - t.s.lag) / history); t.s.lag > 0 {
		if i < 0 || i >= len(t.history) {
			return mustardmast.Load{Limit: uint32(*simSlots)}
		}
		return t.history[i]
	}
	return mustardmast.Load{InFlight: uint32(t.running), Queued: uint32(len(t.queue)), Limit: uint32(*simSlots)}
}

func (t *target) record(until time.Duration) {
	t.history = append(t.history, mustardmast.Load{
		InFlight: uint32(t.running), Queued: uint32(len(t.queue)), Limit: uint32(*simSlots)})
	if t.s.now < until {
		t.s.at(t.s.now+history, func() { t.record(until) })
	}
}

// arrival is one call of the trace.
type arrival struct {
	at, work   time.Duration
	caller     int
	idempotent bool
}

// trace draws open-loop arrivals; use is the part of all slots that the work needs.
func trace(seed uint64, targets, callers int, use float64, mean, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	rate := use * float64(targets**simSlots) / mean.Seconds()
	var l []arrival
	for at := 0.0; at < length.Seconds(); at += rng.ExpFloat64() / rate {
		work := 0.2*mean.Seconds() + 0.8*mean.Seconds()*rng.ExpFloat64()
		l = append(l, arrival{at: time.Duration(at * 1e9), work: time.Duration(work * 1e9),
			caller: rng.IntN(callers), idempotent: rng.Float64() < 0.9})
	}
	return l
}

// caller is one node that sends calls.
type caller struct {
	domain string
	picker mustardmast.Picker
}

// flight is one call on its way.
type flight struct {
	s      *sim
	a      arrival
	from   *caller
	c      call.Call
	tried  []mustardmast.NodeID
	open   []func()
	armed  bool
	hedged bool
	over   bool
}

func (s *sim) arrive(a arrival, from *caller) {
	f := &flight{s: s, a: a, from: from, c: short(a.idempotent)}
	f.send()
	d, ok := from.picker.HedgeAfter(s.time(), f.c)
	if !ok {
		return
	}
	f.armed = true
	s.at(s.now+d, func() {
		if !f.over {
			f.hedged = f.send()
		}
	})
}

func (f *flight) send() bool {
	s, from := f.s, f.s.now
	m, ok := f.from.picker.Pick(s.time(), f.c, s.list, f.tried)
	if !ok {
		return false
	}
	s.picks++
	f.tried = append(f.tried, m.ID)
	t := s.targets[m.ID-1]
	d := &send{work: f.a.work, delay: 100 * time.Microsecond}
	if m.FailureDomain != f.from.domain {
		d.delay = time.Millisecond
	}
	closed := false
	end := func(k fault.Kind, l mustardmast.Load) {
		closed = true
		f.from.picker.Done(s.time(), mustardmast.Result{Member: m.ID, Service: "socket-board", Latency: s.now - from,
			Kind: k, Load: l, HasLoad: k == fault.None, HedgeUnused: f.armed && !f.hedged})
	}
	f.open = append(f.open, func() {
		if !closed {
			end(fault.Canceled, mustardmast.Load{})
			s.at(s.now+d.delay, func() { t.cancel(d) })
		}
	})
	d.answer = func(k fault.Kind, l mustardmast.Load) {
		s.at(s.now+d.delay, func() {
			if !closed {
				end(k, l)
				f.answered(k, int(m.ID-1))
			}
		})
	}
	s.at(s.now+d.delay, func() { t.offer(d) })
	return true
}

func (f *flight) answered(k fault.Kind, target int) {
	switch {
	case f.over:
	case k == fault.None:
		f.over = true
		for _, cancel := range f.open {
			cancel()
		}
		f.s.ended = append(f.s.ended, done{at: f.a.at, latency: f.s.now - f.a.at, target: target})
	case len(f.tried) < len(f.s.targets):
		f.armed = false
		f.send()
	}
}

// quantile returns a quantile of the latencies of calls that arrived in [from, to).
func (s *sim) quantile(q float64, from, to time.Duration) time.Duration {
	var l []time.Duration
	for _, d := range s.ended {
		if d.at >= from && d.at < to {
			l = append(l, d.latency)
		}
	}
	slices.Sort(l)
	return l[int(q*float64(len(l)-1))]
}
