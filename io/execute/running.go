package execute

import (
	"sync"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/quarantine"
	"mustardmast/core/retry"
)

const runningShards = 16

// RunningCalls is the table of the calls that the target on this host is running. A sub-call of the target looks up its
// parent in it, from whose retry budget the sub-call's retries are taken. The table holds at most one entry per slot.
// It is safe for concurrent use.
type RunningCalls struct {
	shards [runningShards]struct {
		mu sync.Mutex
		m  map[string]*Execution
	}
}

// NewRunningCalls returns an empty table.
func NewRunningCalls() *RunningCalls {
	r := &RunningCalls{}
	for i := range r.shards {
		r.shards[i].m = map[string]*Execution{}
	}
	return r
}

// Find returns the execution with the given request id.
func (r *RunningCalls) Find(id string) (*Execution, bool) {
	s := &r.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.m[id]
	return e, ok
}

// snapshot returns all running calls, as evidence of a crash.
func (r *RunningCalls) snapshot() []*Execution {
	var l []*Execution
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, e := range s.m {
			l = append(l, e)
		}
		s.mu.Unlock()
	}
	return l
}

// countOthers returns the number of running calls other than e.
func (r *RunningCalls) countOthers(e *Execution) int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		n += len(s.m)
		s.mu.Unlock()
	}
	if _, ok := r.Find(e.call.ID()); ok {
		n--
	}
	return n
}

func (r *RunningCalls) add(e *Execution) {
	s := &r.shards[shardOf(e.call.ID())]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[e.call.ID()] = e
}

func (r *RunningCalls) remove(e *Execution) {
	s := &r.shards[shardOf(e.call.ID())]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m[e.call.ID()] == e {
		delete(s.m, e.call.ID())
	}
}

func shardOf(id string) int {
	var h uint32 = 2166136261 // FNV-1a, inlined because ids are short and this is a hot path
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return int(h % runningShards)
}

// Execution is a call that the target is running. Its methods are safe for concurrent use.
type Execution struct {
	call        call.Call
	fingerprint quarantine.Fingerprint
	withheld    uint32 // number of calls rejected at the sender that this one stands for
	budget      *retry.Budget

	mu            sync.Mutex
	openSubCalls  int           // sub-calls in progress
	subCallsSince time.Time     // start of the first of them
	subCallTotal  time.Duration // earlier time with at least one sub-call in progress
}

func newExecution(c call.Call, f quarantine.Fingerprint, withheld uint32) *Execution {
	return &Execution{call: c, fingerprint: f, withheld: withheld, budget: retry.NewBudget(c.Retries())}
}

// Call returns the call.
func (e *Execution) Call() call.Call { return e.call }

// Fingerprint returns the fingerprint of the request's content.
func (e *Execution) Fingerprint() quarantine.Fingerprint { return e.fingerprint }

// Grant takes retries for a sub-call from the budget. It leaves some for other sub-calls that may run in parallel.
func (e *Execution) Grant() *retry.Grant { return e.budget.Grant(false) }

// Retries returns the remaining retry budget.
func (e *Execution) Retries() int { return e.budget.Left() }

// Withheld returns the number of calls rejected at upstream senders that this call stands for in addition to itself.
func (e *Execution) Withheld() uint32 { return e.withheld }

// SubCallStarted records the start of a sub-call. The time during which the target waits for sub-calls is measured
// separately, because it says nothing about the target's capacity.
func (e *Execution) SubCallStarted(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.openSubCalls == 0 {
		e.subCallsSince = now
	}
	e.openSubCalls++
}

// SubCallEnded records the end of a sub-call.
func (e *Execution) SubCallEnded(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.openSubCalls--; e.openSubCalls == 0 {
		e.subCallTotal += now.Sub(e.subCallsSince)
	}
}

// subCallTime returns the time during which at least one sub-call was in progress.
func (e *Execution) subCallTime(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.openSubCalls > 0 {
		return e.subCallTotal + now.Sub(e.subCallsSince)
	}
	return e.subCallTotal
}
