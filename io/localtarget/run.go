package localtarget

import (
	"sync/atomic"
	"time"

	"mustardmast/core/pressure"
	"mustardmast/core/quarantine"
)

// Run is a call that is running on the target.
type Run struct {
	fingerprint      quarantine.Fingerprint // 0 if unknown
	alone            bool                   // a suspect, which runs with nothing else in flight
	route            string
	levels           *pressure.Levels
	priority         int
	rank             int
	admittedFraction float64
	begun            time.Time
	retry            bool
	hasSubCalls      atomic.Bool
	level            atomic.Int64 // highest shedding level observed by its sub-calls, in thousandths
}

// Fingerprint identifies the content of the call; 0 if it is unknown.
func (r *Run) Fingerprint() quarantine.Fingerprint { return r.fingerprint }

// Priority returns the priority of the request at the start of the call chain.
func (r *Run) Priority() int { return r.priority }

// Rank returns the rank of that request, that is its number of priority steps above the lowest one, and the fraction of
// requests of that rank that were admitted at the entry node.
func (r *Run) Rank() (rank int, admittedFraction float64) { return r.rank, r.admittedFraction }

// Begun returns when the request at the start of the call chain entered.
func (r *Run) Begun() time.Time { return r.begun }

// Retry reports whether the same call has been sent to another target before.
func (r *Run) Retry() bool { return r.retry }

// ObserveLevel records the shedding level observed by a sub-call of the run. The highest one is kept. Further calls of
// the same route are shed by it before they run.
func (r *Run) ObserveLevel(level float64) {
	r.levels.Observe(time.Now(), r.route, level)
	for l := int64(level * levelScale); ; {
		current := r.level.Load()
		if l <= current || r.level.CompareAndSwap(current, l) {
			return
		}
	}
}

const levelScale = 1000
