package execute

import (
	"sync"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/quarantine"
	"mustardmast/core/retry"
)

const runningShards = 16

// RunningCalls is the table of calls that the target on this host runs now. A sub-call that the target makes finds its
// parent here, whose retry budget pays for the sub-call's retries. The table holds at most one entry per slot.
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

// Find returns the execution of the request id.
func (r *RunningCalls) Find(id string) (*Execution, bool) {
	s := &r.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.m[id]
	return e, ok
}

// all returns what runs now, for the evidence of a crash.
func (r *RunningCalls) all() []*Execution {
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

// others returns how many calls run beside e.
func (r *RunningCalls) others(e *Execution) int {
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
	var h uint32 = 2166136261 // FNV-1a, inlined because the id is short and the path is hot
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return int(h % runningShards)
}

// Execution is one call that the target runs.
type Execution struct {
	call        call.Call
	fingerprint quarantine.Fingerprint
	withheld    uint32 // calls held back above that this call stands for
	budget      *retry.Budget

	mu    sync.Mutex
	below int           // sub-calls under way
	since time.Time     // when the first of them began
	spent time.Duration // time with at least one sub-call under way
}

func newExecution(c call.Call, f quarantine.Fingerprint, withheld uint32) *Execution {
	return &Execution{call: c, fingerprint: f, withheld: withheld, budget: retry.NewBudget(c.Retries())}
}

// Call returns the call.
func (e *Execution) Call() call.Call { return e.call }

// Fingerprint returns what stands for all requests with this content.
func (e *Execution) Fingerprint() quarantine.Fingerprint { return e.fingerprint }

// Grant takes retries for a sub-call out of the budget. Other sub-calls may run beside it, so it does not get all.
func (e *Execution) Grant() *retry.Grant { return e.budget.Grant(false) }

// Retries returns what is left.
func (e *Execution) Retries() int { return e.budget.Left() }

// Withheld returns how many calls, held back by senders above, this call stands for beside itself.
func (e *Execution) Withheld() uint32 { return e.withheld }

// SubCallStarted and SubCallEnded bound the time in which the target waits for its own sub-calls. That time says nothing
// about the target's capacity.
func (e *Execution) SubCallStarted(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.below == 0 {
		e.since = now
	}
	e.below++
}

// SubCallEnded ends a sub-call.
func (e *Execution) SubCallEnded(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.below--; e.below == 0 {
		e.spent += now.Sub(e.since)
	}
}

// waited returns the time spent in sub-calls.
func (e *Execution) waited(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.below > 0 {
		return e.spent + now.Sub(e.since)
	}
	return e.spent
}
