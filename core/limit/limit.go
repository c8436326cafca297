// Package limit finds how many calls one target can run at the same time.
//
// The slots that a target states are an upper bound only: the target may share its host with others, or state more
// than it has. Once more calls run than the target can serve, they wait inside it, where nothing orders them, and their
// latency grows with their number. The limit follows from latency per concurrency: a small table holds the mean
// latency seen at each level of concurrency, and its lowest entry is what a call takes when the target is not crowded.
// Where the present latency is well above that, the limit shrinks by a step; where it is close, the limit grows while it
// is in use.
//
// Latency also rises for reasons that a limit cannot change, for example when the work itself becomes harder. The limit
// then shrinks by a few steps, finds the same latency at the lower concurrency, and grows again, because entries of the
// table are replaced as they are visited and expire otherwise.
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
	// Crowding above shrinkAbove shrinks the limit and below growBelow lets it grow.
	shrinkAbove = 1.25
	growBelow   = 1.15
	// step is the factor between two entries of the table and the bound on one change downwards.
	step     = 0.8
	growPart = 0.05
	// refusedPart is the part of refusals by the target that shrinks the limit.
	refusedPart = 0.05
	// A target is stalled after stallFactor times the usual time between two completions, and not before stallMin. By
	// chance alone, a gap of 8 times the mean comes once in 3,000 completions.
	stallFactor = 8
	stallMin    = 100 * time.Millisecond
	heldWeight  = 1.0 / 64
	// rows of the table reach down to slots x 0.8^15, which is a thirtieth.
	rows = 16
	// expiry is the age at which a row of the table no longer counts.
	expiry = 20 * time.Second
	// rowSamples is the number of completions that a row averages over.
	rowSamples = 400
)

// row is the mean latency at one level of concurrency.
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

	since   time.Time // start of the window
	count   int
	bad     int
	peak    int
	latency float64 // sum over the window, seconds
	inUse   float64 // sum over the window of the calls running at each completion

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
		l.table = [rows]row{}
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
	Latency time.Duration
	Held    time.Duration // time that the call held its slot
	Running int           // calls that ran when it ended, itself included
	Long    bool          // long jobs are not judged
	Done    bool          // the target answered, with success or not
	Refused bool          // the target refused for lack of capacity
}

// End counts a call that ended.
func (l *Limit) End(now time.Time, s Sample) {
	if !s.Long {
		l.running = max(l.running-1, 0)
	}
	if s.Refused {
		l.bad++
		l.count++
		return
	}
	if !s.Done || s.Long {
		return
	}
	l.quiet = now
	l.stalled = false
	if l.held == 0 {
		l.held = s.Held.Seconds()
	}
	l.held += (s.Held.Seconds() - l.held) * heldWeight
	l.count++
	l.latency += s.Latency.Seconds()
	l.inUse += float64(s.Running)
}

// Tick advances the window.
func (l *Limit) Tick(now time.Time) {
	l.stalled = l.silent(now)
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) < window || l.count < minSamples {
		return
	}
	l.adjust(now)
	l.since, l.count, l.bad, l.peak, l.latency, l.inUse = now, 0, 0, 0, 0, 0
}

func (l *Limit) silent(now time.Time) bool {
	if l.running == 0 || l.held == 0 {
		return false
	}
	gap := time.Duration(stallFactor * l.held / float64(l.running) * float64(time.Second))
	return now.Sub(l.quiet) > max(stallMin, gap)
}

func (l *Limit) adjust(now time.Time) {
	if float64(l.bad) > float64(l.count)*refusedPart {
		l.set(l.value * step)
		return
	}
	n := float64(l.count - l.bad)
	latency, inUse := l.latency/n, l.inUse/n
	l.learn(now, latency, inUse, n)
	crowding := 1.0
	if base := l.base(now); base > 0 {
		crowding = latency / base
	}
	switch {
	case crowding > shrinkAbove && inUse > l.value/2:
		l.set(min(l.value, float64(l.peak)) * max(step, 1/crowding))
	case crowding < growBelow && float64(l.peak) >= l.value*0.9-1:
		l.set(l.value + max(1, l.value*growPart))
	}
}

func (l *Limit) set(v float64) { l.value = min(max(v, 1), float64(l.slots)) }

func (l *Limit) learn(now time.Time, latency, inUse, n float64) {
	i := int(math.Log(max(inUse, 1)/float64(l.slots)) / math.Log(step))
	r := &l.table[min(max(i, 0), rows-1)]
	if now.Sub(r.at) > expiry {
		*r = row{}
	}
	r.at = now
	r.samples = min(r.samples+n, rowSamples)
	r.latency += (latency - r.latency) * min(n/r.samples, 1)
}

// base returns the lowest latency of the rows with enough samples, 0 when there is none.
func (l *Limit) base(now time.Time) float64 {
	base := 0.0
	for _, r := range l.table {
		if r.samples >= rowSamples/2 && now.Sub(r.at) <= expiry && (base == 0 || r.latency < base) {
			base = r.latency
		}
	}
	return base
}
