package execute

import (
	"sync"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/retry"
)

const runningShards = 16

// Running is the table of calls that the target on this host runs now. A sub-call that the target makes finds its
// parent here: the parent's retry budget pays for the sub-call's retries, and the levels that come back with the
// sub-call's answer go up with the parent's. The table holds at most one entry per slot.
type Running struct {
	shards [runningShards]struct {
		mu sync.Mutex
		m  map[string]*Execution
	}
}

// NewRunning returns an empty table.
func NewRunning() *Running {
	r := &Running{}
	for i := range r.shards {
		r.shards[i].m = map[string]*Execution{}
	}
	return r
}

// Find returns the execution of the request id.
func (r *Running) Find(id string) (*Execution, bool) {
	s := &r.shards[shardOf(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.m[id]
	return e, ok
}

// Calls returns the calls that run now.
func (r *Running) Calls() []call.Call {
	var l []call.Call
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, e := range s.m {
			l = append(l, e.call)
		}
		s.mu.Unlock()
	}
	return l
}

func (r *Running) add(e *Execution) {
	s := &r.shards[shardOf(e.call.ID())]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[e.call.ID()] = e
}

func (r *Running) remove(e *Execution) {
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
	call   call.Call
	budget *retry.Budget
	mu     sync.Mutex
	level  mustardmast.Level
}

func newExecution(c call.Call) *Execution {
	return &Execution{call: c, budget: retry.NewBudget(c.Retries()), level: mustardmast.FullLevel}
}

// Call returns the call.
func (e *Execution) Call() call.Call { return e.call }

// Grant takes retries for a sub-call out of the budget. Other sub-calls may run beside it, so it does not get all.
func (e *Execution) Grant() *retry.Grant { return e.budget.Grant(false) }

// Retries returns what is left.
func (e *Execution) Retries() int { return e.budget.Left() }

// Lower notes the level that a sub-call met.
func (e *Execution) Lower(l mustardmast.Level) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.level = min(e.level, l)
}

// Level returns the lowest level met below this call.
func (e *Execution) Level() mustardmast.Level {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.level
}
