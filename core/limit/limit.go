// Package limit finds how many calls one target can run at the same time.
//
// The slots that a target states are an upper bound only: the target may share its host with others, or state more
// than it has. Once more calls run than the target can serve, they wait inside it, where nothing orders them, and their
// latency grows with their number. The limit follows from latency per concurrency: a small table holds the mean
// latency seen at each value of the limit while all of it was in use. Where a step down has a latency well below the
// present one, the target is crowded and the limit goes down that step; where it has the same latency, the limit grows.
//
// Every step down is a trial: the latency of the lower value is measured anew before it is believed. Latency also rises
// for reasons that a limit cannot change, for example when the work itself becomes harder; the trial then finds no gain
// and the limit returns. A value whose lower neighbour has not been measured for a while is tried too, which costs a
// fifth of the slots for some hundred calls.
//
// A target that completes nothing for many times the usual time between two completions is stalled; its limit is then
// 1 until it completes a call again.
//
// A Limit is not safe for concurrent use; core/admit holds it under its lock.
package limit

import (
	"math"
	"time"
)

const (
	window = 100 * time.Millisecond
	// minSamples keeps chance out of a window's mean: at 100 exponentially distributed latencies it is off by a tenth.
	minSamples = 100
	// step is the factor between two values of the table. A crowded target answers in 0.8 of the time one step below.
	step = 0.8
	// The ratio of the present latency to the one a step below starts a trial above tryAbove, confirms it above crowded,
	// and lets the limit grow below crowded.
	tryAbove = 1.2
	crowded  = 1.12
	growPart = 0.05
	// leastTrial is the least value from which a step down is tried; below it a step is a large part of the target. A
	// trial that has too few completions ends after longestTrial.
	leastTrial   = 8
	longestTrial = 2 * time.Second
	// settleFactor is the time before a trial is measured, in relation to the time that a call holds its slot.
	settleFactor = 2
	// refusedPart is the part of refusals by the target that shrinks the limit.
	refusedPart = 0.05
	// A target is stalled after stallFactor times the usual time between two completions, and not before leastGap. By
	// chance alone, a gap of 8 times the mean comes once in 3,000 completions.
	stallFactor = 8
	leastGap    = 100 * time.Millisecond
	heldWeight  = 1.0 / 64
	// rows of the table reach down to slots x 0.8^15, which is a thirtieth.
	rows = 16
	// expiry is the age at which a row is measured anew.
	expiry = 30 * time.Second
	// rowSamples is the number of completions that a row averages over, enough the number from which it counts.
	rowSamples = 400
	enough     = 200
)

// row is the mean latency at one value of the limit.
type row struct {
	latency float64
	samples float64
	at      time.Time
}

// Limit is a concurrency limit in [1, slots]. Use New.
type Limit struct {
	slots int
	value float64
	table [rows]row
	from  float64   // value that a trial returns to, 0 when there is none
	tried time.Time // start of the trial's measurement

	since   time.Time // start of the window
	count   int
	bad     int
	peak    int
	latency float64 // sum over the window, seconds

	running int     // short calls
	held    float64 // mean time that a short call holds its slot, seconds
	quiet   time.Time
	stalled bool
}

// New returns a limit for a target that states this many slots. It starts at that figure.
func New(slots int) *Limit {
	slots = max(slots, 1)
	return &Limit{slots: slots, value: float64(slots)}
}

// Value returns the limit in force.
func (l *Limit) Value() int {
	if l.stalled {
		return 1
	}
	return int(l.value)
}

// Stalled reports whether the target completes nothing at present.
func (l *Limit) Stalled() bool { return l.stalled }

// SetSlots changes the upper bound. A limit that stood at the old bound moves to the new one.
func (l *Limit) SetSlots(n int) {
	n = max(n, 1)
	if l.value >= float64(l.slots) || l.value > float64(n) {
		l.value = float64(n)
	}
	if n != l.slots {
		l.table, l.from = [rows]row{}, 0
	}
	l.slots = n
}

// Start counts a call that starts.
func (l *Limit) Start(now time.Time, running int, long bool) {
	l.peak = max(l.peak, running)
	if long {
		return
	}
	if l.running == 0 {
		l.quiet = now
	}
	l.running++
}

// Sample is one call that ended.
type Sample struct {
	// Latency is the time in the target itself, without the calls that it made, divided by what its method takes in
	// relation to the other methods. A change in the mix of methods then does not look like crowding.
	Latency   time.Duration
	Held      time.Duration // time that the call held its slot
	Long      bool          // long jobs are not judged
	Completed bool          // the target answered, with success or not
	Rejected  bool          // the target refused for lack of capacity
}

// End counts a call that ended.
func (l *Limit) End(now time.Time, s Sample) {
	if !s.Long {
		l.running = max(l.running-1, 0)
	}
	if s.Rejected {
		l.bad++
		l.count++
		return
	}
	if !s.Completed || s.Long {
		return
	}
	l.quiet = now
	l.stalled = false
	if l.held == 0 {
		l.held = s.Held.Seconds()
	}
	l.held += (s.Held.Seconds() - l.held) * heldWeight
	if now.Before(l.tried) {
		return
	}
	l.count++
	l.latency += s.Latency.Seconds()
}

// Tick advances the window.
func (l *Limit) Tick(now time.Time) {
	l.stalled = l.silent(now)
	if l.since.IsZero() {
		l.since = now
	}
	if l.from > 0 && now.Sub(l.tried) > longestTrial {
		l.abandon(now)
	}
	if now.Sub(l.since) < window || l.count < minSamples {
		return
	}
	l.adjust(now)
	l.since, l.count, l.bad, l.peak, l.latency = now, 0, 0, 0, 0
}

func (l *Limit) silent(now time.Time) bool {
	if l.running == 0 || l.held == 0 {
		return false
	}
	gap := time.Duration(stallFactor * l.held / float64(l.running) * float64(time.Second))
	return now.Sub(l.quiet) > max(leastGap, gap)
}

func (l *Limit) adjust(now time.Time) {
	if float64(l.bad) > float64(l.count)*refusedPart {
		l.from = 0
		l.set(l.value * step)
		return
	}
	if float64(l.peak) < l.value*0.9-1 {
		return // the limit was not in use and says nothing
	}
	i := l.row()
	l.table[i].learn(now, l.latency, float64(l.count-l.bad))
	if l.table[i].samples < enough {
		return
	}
	switch {
	case l.from > 0:
		l.judge(i)
	case i+1 >= rows || l.value < leastTrial:
		l.grow()
	case !l.table[i+1].known(now) || l.table[i].latency > l.table[i+1].latency*tryAbove:
		l.table[i+1] = row{}
		// Calls that started before the step still carry the waiting of the higher value.
		l.from, l.tried = l.value, now.Add(time.Duration(settleFactor*l.held*float64(time.Second)))
		l.set(l.value * step)
	case l.table[i].latency < l.table[i+1].latency*crowded:
		l.grow()
	}
}

// abandon ends a trial without a result and puts the next one off.
func (l *Limit) abandon(now time.Time) {
	i := l.row()
	if i > 0 {
		l.table[i] = row{latency: l.table[i-1].latency, samples: enough, at: now}
	}
	l.set(l.from)
	l.from = 0
}

// judge ends a trial: the value stays if latency fell with it.
func (l *Limit) judge(i int) {
	if i > 0 && l.table[i-1].latency < l.table[i].latency*crowded {
		l.set(l.from)
	}
	l.from = 0
}

func (l *Limit) grow() { l.set(l.value + max(1, l.value*growPart)) }

func (l *Limit) set(v float64) { l.value = min(max(v, 1), float64(l.slots)) }

// row returns the row of the present value.
func (l *Limit) row() int {
	i := int(math.Log(l.value/float64(l.slots))/math.Log(step) + 0.5)
	return min(max(i, 0), rows-1)
}

func (r *row) known(now time.Time) bool { return r.samples >= enough && now.Sub(r.at) <= expiry }

// learn adds n completions with this sum of latencies.
func (r *row) learn(now time.Time, sum, n float64) {
	if n <= 0 {
		return
	}
	if now.Sub(r.at) > expiry {
		*r = row{}
	}
	r.at = now
	r.samples = min(r.samples+n, rowSamples)
	r.latency += (sum/n - r.latency) * min(n/r.samples, 1)
}
