package localtarget

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mustardmast/core/lifetime"
	"mustardmast/io/crash"
)

// ParentRun returns the run that issued a sub-call, or nil if there is none. The id of a sub-call is the id of the run,
// a dot, and a suffix.
func (e *Executor) ParentRun(id string) *Run {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id[:dot]]
	if r != nil {
		r.hasSubCalls.Store(true)
	}
	return r
}

// begin registers a run that is about to be sent to a lifetime of the target.
func (e *Executor) begin(id string, r *Run, t lifetime.Target, now time.Time) crash.Sent {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id] = r
	e.inFlight[r] = struct{}{}
	if e.lifetime.ID != t.ID || e.lifetime.StartedMS != t.StartedMS {
		e.lifetime, e.lifetimeSince = t, now
	}
	return crash.Sent{Address: e.pool.Address(), Service: t.Service, At: now, Alive: e.lifetimeSince}
}

// end removes a run. If it ran alone, other calls are admitted again.
func (e *Executor) end(id string, r *Run) {
	e.mu.Lock()
	delete(e.runs, id)
	delete(e.inFlight, r)
	e.mu.Unlock()
	e.release(r)
}

func (e *Executor) callsInFlight() []*Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.inFlight))
}
