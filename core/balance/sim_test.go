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

// sim simulates several balancers that send calls to targets, in virtual time. A single event queue makes runs with
// equal seeds identical.
type sim struct {
	now        time.Duration
	events     events
	targets    []*target
	candidates []mustardmast.Member
	loadLag    time.Duration // load reports show the state this long ago but claim an age of 0
	seq        int
	sends      int // including hedged sends and retries
	completed  []completion
}

type completion struct {
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

// target has slots and a queue. A stall freezes the calls that it runs; slowdown multiplies the service time of calls
// that start.
type target struct {
	s                    *sim
	running              int
	queue                []*send
	stallStart, stallEnd time.Duration
	slowdown             func(time.Duration) float64
	lost                 bool
	refused              int                // calls received while lost
	history              []mustardmast.Load // one entry per history interval
}

const (
	// history is the interval between two entries of a target's load history.
	history = 10 * time.Millisecond
)

// send is one attempt of a call at a target.
type send struct {
	work     time.Duration
	delay    time.Duration // one-way network delay
	answer   func(fault.Kind, mustardmast.Load)
	started  bool
	finished bool
	canceled bool
}

func (t *target) receive(d *send) {
	switch {
	case t.lost:
		t.refused++
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
	from := max(t.s.now, t.stallEnd)
	t.s.at(from+time.Duration(float64(d.work)*t.slowdown(t.s.now)), func() { t.finish(d) })
}

func (t *target) finish(d *send) {
	if d.canceled {
		return
	}
	if t.s.now < t.stallEnd && t.s.now > t.stallStart {
		t.s.at(t.stallEnd+t.s.now-t.stallStart, func() { t.finish(d) })
		return
	}
	d.finished = true
	t.releaseSlot()
	if t.lost {
		d.answer(fault.PeerLost, mustardmast.Load{})
		return
	}
	d.answer(fault.None, t.load())
}

func (t *target) releaseSlot() {
	t.running--
	for len(t.queue) > 0 && t.running < *simSlots {
		d := t.queue[0]
		t.queue = t.queue[1:]
		if !d.canceled {
			t.start(d)
		}
	}
}

func (t *target) cancel(d *send) {
	d.canceled = true
	if d.started && !d.finished {
		t.releaseSlot()
	}
}

func (t *target) load() mustardmast.Load {
	if i := int((t.s.now - t.s.loadLag) / history); t.s.loadLag > 0 {
		if i < 0 || i >= len(t.history) {
			return mustardmast.Load{Limit: uint32(*simSlots)}
		}
		return t.history[i]
	}
	return mustardmast.Load{InFlight: uint32(t.running), Queued: uint32(len(t.queue)), Limit: uint32(*simSlots)}
}

func (t *target) recordLoad(until time.Duration) {
	t.history = append(t.history, mustardmast.Load{
		InFlight: uint32(t.running), Queued: uint32(len(t.queue)), Limit: uint32(*simSlots)})
	if t.s.now < until {
		t.s.at(t.s.now+history, func() { t.recordLoad(until) })
	}
}

// arrival is one call of a generated load.
type arrival struct {
	at, work   time.Duration
	caller     int
	idempotent bool
}

// generateArrivals draws open-loop arrivals; utilization is the fraction of all slots that their work needs.
func generateArrivals(seed uint64, targets, callers int, utilization float64, mean, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	rate := utilization * float64(targets**simSlots) / mean.Seconds()
	var l []arrival
	for at := 0.0; at < length.Seconds(); at += rng.ExpFloat64() / rate {
		work := 0.2*mean.Seconds() + 0.8*mean.Seconds()*rng.ExpFloat64()
		l = append(l, arrival{at: time.Duration(at * 1e9), work: time.Duration(work * 1e9),
			caller: rng.IntN(callers), idempotent: rng.Float64() < 0.9})
	}
	return l
}

// caller is a node that sends calls.
type caller struct {
	domain string
	picker mustardmast.Picker
}

// pendingCall is a call that has not been answered yet.
type pendingCall struct {
	s             *sim
	a             arrival
	from          *caller
	c             call.Call
	tried         []mustardmast.NodeID
	cancels       []func()
	hedgeReserved bool
	hedged        bool
	finished      bool
}

func (s *sim) arrive(a arrival, from *caller) {
	p := &pendingCall{s: s, a: a, from: from, c: short(a.idempotent)}
	p.send()
	d, ok := from.picker.HedgeAfter(s.time(), p.c)
	if !ok {
		return
	}
	p.hedgeReserved = true
	s.at(s.now+d, func() {
		if !p.finished {
			p.hedged = p.send()
		}
	})
}

func (p *pendingCall) send() bool {
	s, from := p.s, p.s.now
	m, ok := p.from.picker.Pick(s.time(), p.c, s.candidates, p.tried)
	if !ok {
		return false
	}
	s.sends++
	p.tried = append(p.tried, m.ID)
	t := s.targets[m.ID-1]
	d := &send{work: p.a.work, delay: 100 * time.Microsecond}
	if m.FailureDomain != p.from.domain {
		d.delay = time.Millisecond
	}
	closed := false
	end := func(k fault.Kind, l mustardmast.Load) {
		closed = true
		p.from.picker.Done(s.time(), mustardmast.Result{Member: m.ID, Service: "socket-board", Latency: s.now - from,
			Kind: k, Load: l, HasLoad: k == fault.None, HedgeUnused: p.hedgeReserved && !p.hedged})
	}
	p.cancels = append(p.cancels, func() {
		if !closed {
			end(fault.Canceled, mustardmast.Load{})
			s.at(s.now+d.delay, func() { t.cancel(d) })
		}
	})
	d.answer = func(k fault.Kind, l mustardmast.Load) {
		s.at(s.now+d.delay, func() {
			if !closed {
				end(k, l)
				p.handleAnswer(k, int(m.ID-1))
			}
		})
	}
	s.at(s.now+d.delay, func() { t.receive(d) })
	return true
}

func (p *pendingCall) handleAnswer(k fault.Kind, target int) {
	switch {
	case p.finished:
	case k == fault.None:
		p.finished = true
		for _, cancel := range p.cancels {
			cancel()
		}
		p.s.completed = append(p.s.completed, completion{at: p.a.at, latency: p.s.now - p.a.at, target: target})
	case len(p.tried) < len(p.s.targets):
		p.hedgeReserved = false
		p.send()
	}
}

// quantile returns a quantile of the latencies of calls that arrived in [from, to).
func (s *sim) quantile(q float64, from, to time.Duration) time.Duration {
	var l []time.Duration
	for _, d := range s.completed {
		if d.at >= from && d.at < to {
			l = append(l, d.latency)
		}
	}
	slices.Sort(l)
	return l[int(q*float64(len(l)-1))]
}
