// Package limit adapts the concurrency limit of a target to the number of calls that it can run at the same time.
//
// The slots that a target reports are only an upper bound: the target may share its host with others, or report more
// slots than it has. If more calls run than the target can serve, they wait inside the target, without any order, and
// their latency grows with their number. The limit is derived from the latency at each concurrency: a small table holds
// the mean latency measured at each value of the limit while the limit was fully used. If the latency one step down is
// well below the current one, the target is congested and the limit is lowered by that step; if it is about the same,
// the limit grows.
//
// Every step down is a trial: the latency at the lower value is measured again before the value is kept. Latency also
// rises for reasons that a limit cannot change, for example when the work itself becomes more expensive; the trial then
// finds no improvement and the limit returns to its previous value. A value whose lower neighbor has not been measured
// for a while is tried too, which costs a fifth of the slots for some hundred calls.
//
// A target that completes no call for many times the usual interval between two completions is stalled; its limit is
// then 1 until it completes a call.
//
// A Limit is not safe for concurrent use; core/admit guards it with its lock.
package limit

import (
	"math"
	"time"
)

const (
	// minWindow is the minimum time between two adjustments.
	minWindow = 100 * time.Millisecond
	// minSamples is the minimum number of completions of a window. The mean of 100 exponentially distributed latencies
	// has a statistical error of a tenth.
	minSamples = 100
	// stepFactor is the ratio of two adjacent values of the table. A congested target has 0.8 of the latency one step
	// below.
	stepFactor = 0.8
	// The ratio of the current latency to that one step below starts a trial above trialRatio and confirms it above
	// congestedRatio. Below congestedRatio the limit grows by growthFraction.
	trialRatio     = 1.2
	congestedRatio = 1.12
	growthFraction = 0.05
	// minTrialLimit is the smallest limit from which a step down is tried; below it, a step is a large part of the
	// target's capacity. A trial with too few completions is aborted after maxTrialTime.
	minTrialLimit = 8
	maxTrialTime  = 2 * time.Second
	// settleFactor is the time before the measurement of a trial starts, in multiples of the mean time that a call
	// holds its slot.
	settleFactor = 2
	// maxRejectedFraction is the fraction of calls rejected by the target above which the limit is lowered.
	maxRejectedFraction = 0.05
	// A target is stalled after stallFactor times the usual interval between two completions, but not before
	// minStallGap. By chance, an interval of 8 times the mean occurs once in 3,000 completions. holdTimeWeight is the
	// weight of one completion in the moving average of the hold time.
	stallFactor    = 8
	minStallGap    = 100 * time.Millisecond
	holdTimeWeight = 1.0 / 64
	// numRows is the number of rows of the table. They reach down to slots x 0.8^15, about a thirtieth of the slots.
	numRows = 16
	// rowExpiry is the age from which on a row must be measured again.
	rowExpiry = 30 * time.Second
	// maxRowSamples is the number of completions over which a row averages, minRowSamples the number from which on it
	// is used.
	maxRowSamples = 400
	minRowSamples = 200
)

// row holds the mean latency, in seconds, at one value of the limit.
type row struct {
	latency float64
	samples float64
	updated time.Time
}

// Limit is an adaptive concurrency limit in [1, slots]. Use New.
type Limit struct {
	slots       int
	value       float64
	table       [numRows]row
	trialOrigin float64   // limit before the current trial, 0 if there is none
	trialStart  time.Time // time at which the measurement of the trial starts

	windowStart time.Time // start of the current window
	count       int       // short calls completed and calls rejected in the window
	rejected    int       // calls rejected by the target in the window
	peak        int       // maximum number of running calls in the window
	latency     float64   // sum over the window, in seconds

	running        int       // running short calls
	holdTime       float64   // mean time that a short call holds its slot, in seconds
	lastCompletion time.Time // or when the first of the running short calls started, if that is later
	stalled        bool
}

// New returns a Limit for a target that reports the given number of slots. It starts at that number.
func New(slots int) *Limit {
	slots = max(slots, 1)
	return &Limit{slots: slots, value: float64(slots)}
}

// Value returns the current limit.
func (l *Limit) Value() int {
	if l.stalled {
		return 1
	}
	return int(l.value)
}

// Stalled reports whether the target is stalled.
func (l *Limit) Stalled() bool { return l.stalled }

// SetSlots changes the upper bound. A limit that was at the old bound moves to the new one.
func (l *Limit) SetSlots(n int) {
	n = max(n, 1)
	if l.value >= float64(l.slots) || l.value > float64(n) {
		l.value = float64(n)
	}
	if n != l.slots {
		l.table, l.trialOrigin = [numRows]row{}, 0
	}
	l.slots = n
}

// Start records a call that starts. Running is the number of calls that run then, including this one and long jobs.
func (l *Limit) Start(now time.Time, running int, long bool) {
	l.peak = max(l.peak, running)
	if long {
		return
	}
	if l.running == 0 {
		l.lastCompletion = now
	}
	l.running++
}

// Sample describes a call that ended.
type Sample struct {
	// Latency is the time in the target itself, without its sub-calls, divided by the relative cost of its method, so
	// that a change in the mix of methods is not mistaken for congestion.
	Latency   time.Duration
	HoldTime  time.Duration // time that the call held its slot
	Long      bool          // long jobs are not used for the adaptation
	Completed bool          // the target responded, with or without success
	Rejected  bool          // the target rejected the call for lack of capacity
}

// End records a call that ended.
func (l *Limit) End(now time.Time, s Sample) {
	if !s.Long {
		l.running = max(l.running-1, 0)
	}
	if s.Rejected {
		l.rejected++
		l.count++
		return
	}
	if !s.Completed || s.Long {
		return
	}
	l.lastCompletion = now
	l.stalled = false
	if l.holdTime == 0 {
		l.holdTime = s.HoldTime.Seconds()
	}
	l.holdTime += (s.HoldTime.Seconds() - l.holdTime) * holdTimeWeight
	if now.Before(l.trialStart) {
		return
	}
	l.count++
	l.latency += s.Latency.Seconds()
}

// Tick detects stalls, and adjusts the limit when the window is complete. It must be called regularly.
func (l *Limit) Tick(now time.Time) {
	l.stalled = l.detectStall(now)
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	if l.trialOrigin > 0 && now.Sub(l.trialStart) > maxTrialTime {
		l.abortTrial(now)
	}
	if now.Sub(l.windowStart) < minWindow || l.count < minSamples {
		return
	}
	l.adjust(now)
	l.windowStart, l.count, l.rejected, l.peak, l.latency = now, 0, 0, 0, 0
}

// detectStall reports whether the time since the last completion is too long for the calls that run.
func (l *Limit) detectStall(now time.Time) bool {
	if l.running == 0 || l.holdTime == 0 {
		return false
	}
	gap := time.Duration(stallFactor * l.holdTime / float64(l.running) * float64(time.Second))
	return now.Sub(l.lastCompletion) > max(minStallGap, gap)
}

// adjust updates the table with the current window and moves the limit.
func (l *Limit) adjust(now time.Time) {
	if float64(l.rejected) > float64(l.count)*maxRejectedFraction {
		l.trialOrigin = 0
		l.set(l.value * stepFactor)
		return
	}
	if float64(l.peak) < l.value*0.9-1 {
		return // the limit was not fully used, so the window is not significant
	}
	i := l.row()
	l.table[i].add(now, l.latency, float64(l.count-l.rejected))
	if l.table[i].samples < minRowSamples {
		return
	}
	switch {
	case l.trialOrigin > 0:
		l.finishTrial(i)
	case i+1 >= numRows || l.value < minTrialLimit:
		l.grow()
	case !l.table[i+1].valid(now) || l.table[i].latency > l.table[i+1].latency*trialRatio:
		l.table[i+1] = row{}
		// Calls that started before the step still include waiting at the higher value.
		l.trialOrigin, l.trialStart = l.value, now.Add(time.Duration(settleFactor*l.holdTime*float64(time.Second)))
		l.set(l.value * stepFactor)
	case l.table[i].latency < l.table[i+1].latency*congestedRatio:
		l.grow()
	}
}

// abortTrial ends a trial without a result. It marks the row as measured, which postpones the next trial.
func (l *Limit) abortTrial(now time.Time) {
	i := l.row()
	if i > 0 {
		l.table[i] = row{latency: l.table[i-1].latency, samples: minRowSamples, updated: now}
	}
	l.set(l.trialOrigin)
	l.trialOrigin = 0
}

// finishTrial ends a trial. The lower limit is kept if it reduced the latency.
func (l *Limit) finishTrial(i int) {
	if i > 0 && l.table[i-1].latency < l.table[i].latency*congestedRatio {
		l.set(l.trialOrigin)
	}
	l.trialOrigin = 0
}

func (l *Limit) grow() { l.set(l.value + max(1, l.value*growthFraction)) }

func (l *Limit) set(v float64) { l.value = min(max(v, 1), float64(l.slots)) }

// row returns the index of the row of the current value.
func (l *Limit) row() int {
	i := int(math.Log(l.value/float64(l.slots))/math.Log(stepFactor) + 0.5)
	return min(max(i, 0), numRows-1)
}

// valid reports whether the row has enough samples that are recent enough.
func (r *row) valid(now time.Time) bool {
	return r.samples >= minRowSamples && now.Sub(r.updated) <= rowExpiry
}

// add adds n completions with the given sum of latencies.
func (r *row) add(now time.Time, sum, n float64) {
	if n <= 0 {
		return
	}
	if now.Sub(r.updated) > rowExpiry {
		*r = row{}
	}
	r.updated = now
	r.samples = min(r.samples+n, maxRowSamples)
	r.latency += (sum/n - r.latency) * min(n/r.samples, 1)
}
