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

// variant selects the overload control of a run.
type variant int

const (
	noControl   variant = iota // round robin, 3 retries per hop, first in first out
	fixedLimit                 // a retry budget per hop and a fixed concurrency limit
	fullControl                // the core
)

// simulation is the state of a run of one variant.
type simulation struct {
	engine
	variant    variant
	seed       uint64
	members    map[string][]mustardmast.Member
	targets    map[mustardmast.NodeID]*target
	targetList []*target
	entryNodes []*node
	jitter     *rand.Rand
	ticket     uint64
	executed   int
	retries    int
	hedges     int
	requests   []*request
}

// node simulates the sending side of a node.
type node struct {
	picker       mustardmast.Picker
	table        *level.Table
	subCalls     *level.SubCalls
	retryBudgets map[string]*retryBudget
}

// retryBudget is a token bucket for retries from one node to one service.
type retryBudget struct {
	tokens float64
	at     time.Duration
}

const (
	retryRatio = 0.1
	retryBurst = 10
)

func (n *node) retryBudget(service string) *retryBudget {
	b := n.retryBudgets[service]
	if b == nil {
		b = &retryBudget{tokens: 1}
		n.retryBudgets[service] = b
	}
	return b
}

func (n *node) recordSuccess(service string) {
	b := n.retryBudget(service)
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

func (n *node) allowRetry(service string, now time.Duration) bool {
	b := n.retryBudget(service)
	b.tokens = min(b.tokens+(now-b.at).Seconds(), retryBurst) // at least one retry a second is allowed
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func newSimulation(d deployment, v variant, seed uint64, newPicker func(v variant, seed uint64) mustardmast.Picker) *simulation {
	sim := &simulation{
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
		return &node{picker: newPicker(v, seed*1000+uint64(id)), table: level.New(level.Spec{Share: sh}), subCalls: level.NewSubCalls(), retryBudgets: map[string]*retryBudget{}}
	}
	for _, s := range d.services {
		for i := range s.targets {
			n := newNode()
			m := mustardmast.Member{ID: id, Name: fmt.Sprintf("%s-%d", s.name, i), Service: s.name, Slots: uint32(s.slots), State: mustardmast.Ready}
			t := &target{sim: sim, service: s, member: m, node: n, trueSlots: s.slots, waiting: map[uint64]*execution{}}
			if v == fullControl {
				t.admit = admit.New(admit.Spec{Slots: s.slots, Backers: d.backers})
			}
			sim.members[s.name] = append(sim.members[s.name], m)
			sim.targets[id] = t
			sim.targetList = append(sim.targetList, t)
		}
	}
	for range d.domains {
		sim.entryNodes = append(sim.entryNodes, newNode())
	}
	return sim
}

// work returns the service time of a call without its sub-calls: half of the mean plus an exponentially distributed
// part. It depends only on the seed, the request, the service and the number of the attempt, so that all variants do
// the same work.
func (sim *simulation) work(e *execution) time.Duration {
	mean := float64(e.t.service.meanWork)
	if e.clientCall.req.long {
		return time.Duration(mean * longFactor)
	}
	h := xxhash.Sum64String(fmt.Sprint(sim.seed, e.clientCall.req.id, e.t.service.name, len(e.clientCall.tried), e.clientCall.retries))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return time.Duration(mean * (0.5 - 0.5*math.Log(u)))
}

// run simulates the arrivals of a trace until end.
func (sim *simulation) run(d deployment, trace []arrival, end time.Duration) {
	if sim.variant == fullControl {
		for i, t := range sim.targetList {
			sim.at(time.Duration(i)*time.Millisecond/2, func() {
				sim.every(10*time.Millisecond, end, func() { t.applyVerdicts(t.admit.Tick(sim.time())) })
			})
		}
	}
	for _, a := range trace {
		q := &request{arrival: a, sim: sim, retriesLeft: requestRetries, callerLatency: d.callerLatency, entry: sim.entryNodes[int(a.at/time.Microsecond)%len(sim.entryNodes)]}
		sim.requests = append(sim.requests, q)
		sim.at(a.at, q.attempt)
	}
	sim.runUntil(end)
}

// request is an arrival and the caller that started it. Callers retry aggressively: they retry shortly after each
// failure, whatever the error, up to maxCallerAttempts and the deadline.
type request struct {
	arrival
	sim           *simulation
	entry         *node
	callerLatency time.Duration
	retriesLeft   int // remaining retries of the whole request
	attempts      int
	forwarded     bool
	ended         bool
	ok            bool
	lastFailure   fault.Kind
	end           time.Duration
}

const (
	requestRetries    = 3
	maxCallerAttempts = 6
	callerBackoff     = 100 * time.Millisecond
)

func (q *request) attempt() {
	sim := q.sim
	q.attempts++
	expiry := q.at + q.deadline
	sim.after(q.callerLatency, func() {
		if sim.variant == fullControl && q.forwarded {
			if q.retriesLeft <= 0 {
				q.handleResponse(fault.RetryBudgetExhausted)
				return
			}
			q.retriesLeft--
		}
		cc := &clientCall{sim: sim, from: q.entry, req: q, service: q.path[0], downstream: q.path[1:], depth: 1, attempt: q.attempts, deadline: expiry - q.callerLatency}
		cc.onResult = func(r result) { q.handleResponse(r.kind) }
		cc.send()
		q.forwarded = q.forwarded || len(cc.tried) > 0
	})
}

func (q *request) handleResponse(k fault.Kind) {
	sim := q.sim
	sim.after(q.callerLatency, func() {
		if q.ended {
			return
		}
		q.end = sim.now
		if k == fault.None {
			q.ended, q.ok = true, sim.now <= q.at+q.deadline
			return
		}
		q.lastFailure = k
		wait := callerBackoff/2 + time.Duration(sim.jitter.Float64()*float64(callerBackoff))
		if q.attempts >= maxCallerAttempts || sim.now+wait >= q.at+q.deadline {
			q.ended = true
			return
		}
		sim.after(wait, q.attempt)
	})
}

// latency returns the time from the intended start to the response.
func (q *request) latency() time.Duration { return q.end - q.at }
