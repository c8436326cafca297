package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardmast"
	"mustardmast/core/admit"
	"mustardmast/core/fault"
	"mustardmast/core/level"
	"mustardmast/core/share"
)

// variant is what controls the load in a run.
type variant int

const (
	noControl   variant = iota // round robin, 3 retries per hop, first in first out
	fixedLimit                 // a retry budget per hop and a fixed concurrency limit
	fullControl                // the core
)

// world is one run of one variant.
type world struct {
	engine
	variant  variant
	seed     uint64
	members  map[string][]mustardmast.Member
	targets  map[mustardmast.NodeID]*target
	list     []*target
	entries  []*node
	jitter   *rand.Rand
	ticket   uint64
	executed int
	retries  int
	hedges   int
	requests []*request
}

// node is the sending side of a node.
type node struct {
	picker mustardmast.Picker
	table  *level.Table
	below  *level.SubCalls
	edges  map[string]*edge
}

// edge is the retry and hedge budget from one node to one service.
type edge struct {
	tokens float64
	at     time.Duration
}

const (
	retryRatio = 0.1
	edgeBurst  = 10
)

func (n *node) edge(service string) *edge {
	e := n.edges[service]
	if e == nil {
		e = &edge{tokens: 1}
		n.edges[service] = e
	}
	return e
}

func (n *node) succeeded(service string) {
	e := n.edge(service)
	e.tokens = min(e.tokens+retryRatio, edgeBurst)
}

func (n *node) retry(service string, now time.Duration) bool {
	e := n.edge(service)
	e.tokens = min(e.tokens+(now-e.at).Seconds(), edgeBurst) // the minimum of one retry a second
	e.at = now
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

func newWorld(d deployment, v variant, seed uint64, newPicker func(v variant, seed uint64) mustardmast.Picker) *world {
	w := &world{
		variant: v,
		seed:    seed,
		members: map[string][]mustardmast.Member{},
		targets: map[mustardmast.NodeID]*target{},
		jitter:  rand.New(rand.NewPCG(seed, 2)),
	}
	id := mustardmast.NodeID(0)
	sh := share.New(d.backers)
	newNode := func() *node {
		id++
		return &node{picker: newPicker(v, seed*1000+uint64(id)), table: level.New(level.Spec{Share: sh}), below: level.NewSubCalls(), edges: map[string]*edge{}}
	}
	for _, s := range d.services {
		for i := range s.targets {
			n := newNode()
			m := mustardmast.Member{ID: id, Name: fmt.Sprintf("%s-%d", s.name, i), Service: s.name, Slots: uint32(s.slots), State: mustardmast.Ready}
			t := &target{w: w, service: s, member: m, node: n, truth: s.slots, waiting: map[uint64]*exec{}}
			if v == fullControl {
				t.admit = admit.New(admit.Spec{Slots: s.slots, Backers: d.backers})
			}
			w.members[s.name] = append(w.members[s.name], m)
			w.targets[id] = t
			w.list = append(w.list, t)
		}
	}
	for range d.domains {
		w.entries = append(w.entries, newNode())
	}
	return w
}

// work returns how long the target itself works on a call: half of the mean at least, with an exponential rest. It
// depends on the request, the service and the number of its executions there only, so that variants do the same work.
func (w *world) work(e *exec) time.Duration {
	mean := float64(e.t.service.own)
	if e.leg.req.long {
		return time.Duration(mean * longFactor)
	}
	h := xxhash.Sum64String(fmt.Sprint(w.seed, e.leg.req.id, e.t.service.name, len(e.leg.tried), e.leg.retries))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return time.Duration(mean * (0.5 - 0.5*math.Log(u)))
}

// run plays a trace until end.
func (w *world) run(d deployment, trace []arrival, end time.Duration) {
	if w.variant == fullControl {
		for i, t := range w.list {
			w.at(time.Duration(i)*time.Millisecond/2, func() {
				w.every(10*time.Millisecond, end, func() { t.verdicts(t.admit.Tick(w.time())) })
			})
		}
	}
	for _, a := range trace {
		q := &request{arrival: a, w: w, left: requestBudget, toCaller: d.toCaller, entry: w.entries[int(a.at/time.Microsecond)%len(w.entries)]}
		w.requests = append(w.requests, q)
		w.at(a.at, q.attempt)
	}
	w.until(end)
}

// request is one arrival and the caller that started it. Callers retry hard: they send again shortly after each
// failure, whatever the answer says, as long as the deadline allows.
type request struct {
	arrival
	w         *world
	entry     *node
	toCaller  time.Duration
	left      int // retry budget of the whole request
	tries     int
	forwarded bool
	ended     bool
	ok        bool
	last      fault.Kind
	end       time.Duration
}

const (
	requestBudget = 3
	callerTries   = 6
	callerWait    = 100 * time.Millisecond
)

func (q *request) attempt() {
	w := q.w
	q.tries++
	over := q.at + q.deadline
	w.after(q.toCaller, func() {
		if w.variant == fullControl && q.forwarded {
			if q.left <= 0 {
				q.answer(fault.RetryBudgetExhausted)
				return
			}
			q.left--
		}
		l := &leg{w: w, from: q.entry, req: q, service: q.path[0], rest: q.path[1:], depth: 1, attempt: q.tries, deadline: over - q.toCaller}
		l.reply = func(r result) { q.answer(r.kind) }
		l.send()
		q.forwarded = q.forwarded || len(l.tried) > 0
	})
}

func (q *request) answer(k fault.Kind) {
	w := q.w
	w.after(q.toCaller, func() {
		if q.ended {
			return
		}
		q.end = w.now
		if k == fault.None {
			q.ended, q.ok = true, w.now <= q.at+q.deadline
			return
		}
		q.last = k
		wait := callerWait/2 + time.Duration(w.jitter.Float64()*float64(callerWait))
		if q.tries >= callerTries || w.now+wait >= q.at+q.deadline {
			q.ended = true
			return
		}
		w.after(wait, q.attempt)
	})
}

// latency returns the time from the intended start to the answer.
func (q *request) latency() time.Duration { return q.end - q.at }
