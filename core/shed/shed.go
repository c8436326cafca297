// Package shed implements load shedding: it decides which fraction of each kind of request a target admits.
//
// A kind is a priority and a backer. In each window, the target's capacity, in slots, is divided among the kinds by
// strict priority, and within a priority by weighted max-min fairness over the backers' shares. A kind that gets less
// than its demand has a level below 64: only requests whose cohort is below the level are admitted. The cohort of a
// request is the same at every hop, so hops that shed at the same time shed the same requests.
//
// The demand includes the requests that arrive and those that senders withheld. If arrivals were already shed by a
// level at an earlier hop, only low cohorts arrive. The density, the arrivals per cohort, is therefore taken over the
// range of cohorts that arrive, which is estimated from their mean, and the level is the allocation divided by the
// density.
//
// Withheld requests count as demand only if they were withheld because of the level of this target. If the range of
// cohorts that arrive is far smaller than this target admits, another service of the chain limits the requests, and
// capacity reserved for the requests that it holds back would stay idle.
//
// A gain corrects errors of the model: it grows while slots are idle although requests are shed, and shrinks while the
// queue rejects requests. It changes slowly, because a level takes most of a second to take effect on the arrivals.
//
// Hysteresis: in one window, a level rises by one step (1/64), or by as many steps as use 30% of the free slots. It
// falls only if its target value is at least two steps lower, by 0.6 of the difference and at least one step. A
// constant target value above the level is reached within 64 windows, one below it to within two steps within 5
// windows. A lower priority has a level above 0 only after the next higher one of the same backer has been fully
// admitted for half a second.
//
// A Shedder is not safe for concurrent use; core/admit guards it with its lock.
package shed

import (
	"math"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/share"
)

const (
	// Window is the time between two adjustments.
	Window = 100 * time.Millisecond
	// slowTimeConstant is the time constant of the demand averages. The averages with fastTimeConstant replace them
	// when the demand has changed significantly. The capacity left for the lowest admitted priority is a difference of
	// large numbers; with 600 ms it fluctuated by a quarter, and with 1200 ms alone the reaction to a surge was two
	// seconds late.
	slowTimeConstant = 700 * time.Millisecond
	fastTimeConstant = 300 * time.Millisecond
	// maxDeviations is the number of standard deviations of a Poisson count above which a change is significant.
	maxDeviations = 2
	// minArrivals is the number of arrivals within slowTimeConstant from which on their mean cohort is used.
	minArrivals = 8
	// deadBand is the number of steps by which the target value must be lower for a level to fall.
	deadBand = 2
	// reopenWindows is the number of windows at the full level after which the next lower priority is admitted again.
	reopenWindows = 5
	// fallFraction is the fraction of the difference to a lower target value by which a level falls in a window.
	fallFraction = 0.6
	// freeSlotFraction is the fraction of the free slots that the rise of one level may use in a window. Arrivals
	// follow a level with a delay of several windows, so a larger rise would overshoot.
	freeSlotFraction = 0.3
	// minGain and maxGain bound the gain.
	minGain = 0.97
	maxGain = 1.5
	// minRangeRatio is the ratio of the range of arriving cohorts to the level from which on this level is taken to be
	// what limits the arrivals.
	minRangeRatio = 0.75
)

// kind is the state of one priority and backer.
type kind struct {
	arrived, withheld float64 // in this window
	cohortSum         float64 // sum of the cohorts that arrived in this window
	recent            average // with fastTimeConstant
	average                   // with slowTimeConstant
	slotTime          float64 // seconds that one call holds a slot, moving average
	level             float64
	fullWindows       int  // consecutive windows at the full level
	closed            bool // level is 0 because the next higher priority is limited
}

// average holds moving averages of the demand of a kind.
type average struct {
	rate, withheldRate float64 // per second
	meanCohort         float64 // of the arrivals
}

// Shedder computes the admission levels of one target. Use New.
type Shedder struct {
	share    *share.Share
	kinds    [call.NumPriorities][]kind
	demand   []float64 // by backer; reused by Advance
	alloc    []float64 // by backer; reused by Advance
	slotTime float64   // like that of a kind, over all kinds; used for kinds without completions
	gain     float64   // factor of the capacity
}

// New returns a Shedder that admits all requests.
func New(s *share.Share) *Shedder {
	d := &Shedder{share: s, demand: make([]float64, s.Len()), alloc: make([]float64, s.Len()), gain: 1}
	for p := range d.kinds {
		d.kinds[p] = make([]kind, s.Len())
		for b := range d.kinds[p] {
			d.kinds[p][b].level = call.NumCohorts
			d.kinds[p][b].meanCohort = (call.NumCohorts - 1) / 2.0
			d.kinds[p][b].recent.meanCohort = (call.NumCohorts - 1) / 2.0
		}
	}
	return d
}

// Level returns the current level of a priority and backer.
func (d *Shedder) Level(p call.Priority, backer int) mustardmast.Level {
	return mustardmast.Level(d.kinds[min(p, call.NumPriorities-1)][backer].level)
}

// RecordArrival records the arrival of a request and the number of requests that its sender has withheld since the last
// one.
func (d *Shedder) RecordArrival(p call.Priority, backer, cohort int, withheld uint32) {
	k := &d.kinds[min(p, call.NumPriorities-1)][backer]
	k.arrived++
	k.cohortSum += float64(cohort)
	k.withheld += float64(withheld)
}

// RecordCompletion records the time for which a request held a slot.
func (d *Shedder) RecordCompletion(p call.Priority, backer int, held time.Duration) {
	k := &d.kinds[min(p, call.NumPriorities-1)][backer]
	updateMean(&k.slotTime, held.Seconds(), 1.0/64)
	updateMean(&d.slotTime, held.Seconds(), 1.0/256)
}

// updateMean updates a moving average; its first value is v.
func updateMean(to *float64, v, weight float64) {
	if *to == 0 {
		*to = v
		return
	}
	*to += (v - *to) * weight
}

// State describes the load of the target in a window.
type State struct {
	Elapsed           time.Duration
	Limit             float64 // slots, averaged over the window
	InUse             float64 // slots in use, averaged over the window
	RejectedFraction  float64 // fraction of the started and rejected work that the queue rejected
	QueueEmptied      bool    // the queue was empty at least once
	QueueNeverEmptied bool    // the queue was never empty
}

// Advance ends a window and updates the levels.
func (d *Shedder) Advance(s State) {
	rest := s.Limit * d.gain
	limited := false
	for p := range d.kinds {
		for b := range d.kinds[p] {
			k := &d.kinds[p][b]
			k.advance(s.Elapsed)
			d.demand[b] = k.demand() * d.slotTimeOf(k)
		}
		rest = d.share.Split(rest, d.demand, d.alloc)
		for b := range d.kinds[p] {
			k := &d.kinds[p][b]
			target := k.target(d.alloc[b], d.demand[b], d.slotTimeOf(k))
			limited = limited || target < call.NumCohorts
			k.adjust(target, k.maxRise(s.Limit-s.InUse, d.slotTimeOf(k)))
			if p > 0 {
				d.kinds[p-1][b].gate(k)
			}
		}
	}
	d.adjustGain(s, limited)
}

// Skip ends a window without updating the levels.
func (d *Shedder) Skip() {
	for p := range d.kinds {
		for b := range d.kinds[p] {
			k := &d.kinds[p][b]
			k.arrived, k.withheld, k.cohortSum = 0, 0, 0
		}
	}
}

func (d *Shedder) slotTimeOf(k *kind) float64 {
	if k.slotTime > 0 {
		return k.slotTime
	}
	return d.slotTime
}

// advance updates the averages at the end of a window.
func (k *kind) advance(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	k.recent.add(k, elapsed, fastTimeConstant)
	k.add(k, elapsed, slowTimeConstant)
	counted := max(k.recent.rate, k.rate) * fastTimeConstant.Seconds()
	if math.Abs(k.recent.rate-k.rate)*fastTimeConstant.Seconds() > maxDeviations*math.Sqrt(counted)+1 {
		k.average = k.recent
	}
	k.arrived, k.withheld, k.cohortSum = 0, 0, 0
}

// add updates the averages with the window of k, with the given time constant.
func (a *average) add(k *kind, elapsed, constant time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
	before := a.rate * (1 - weight)
	a.rate = before + k.arrived/elapsed.Seconds()*weight
	a.withheldRate += (k.withheld/elapsed.Seconds() - a.withheldRate) * weight
	if k.arrived > 0 && a.rate > 0 {
		a.meanCohort += (k.cohortSum/k.arrived - a.meanCohort) * (a.rate - before) / a.rate
	}
}

// cohortRange returns the range of cohorts that arrive, and false if there are too few arrivals to estimate it.
func (k *kind) cohortRange() (float64, bool) {
	return min(2*k.meanCohort+1, call.NumCohorts), k.rate*slowTimeConstant.Seconds() >= minArrivals
}

// demand returns the number of requests per second that would arrive if this target admitted all of them.
func (k *kind) demand() float64 {
	if !k.limitsArrivals() {
		return k.rate
	}
	return k.rate + k.withheldRate
}

// limitsArrivals reports whether the level of this target is what limits the arrivals.
func (k *kind) limitsArrivals() bool {
	if k.level >= call.NumCohorts {
		return false
	}
	cohortRange, ok := k.cohortRange()
	return !ok || cohortRange >= k.level*minRangeRatio
}

// density returns the arrivals per second and cohort.
func (k *kind) density() float64 {
	if cohortRange, ok := k.cohortRange(); ok {
		return k.rate / cohortRange
	}
	return (k.rate + k.withheldRate) / call.NumCohorts
}

// maxRise returns the maximum rise of the level in a window, which would use freeSlotFraction of the free slots.
func (k *kind) maxRise(free, slotTime float64) float64 {
	step := k.density() * slotTime
	if step <= 0 {
		return call.NumCohorts
	}
	return max(math.Floor(free*freeSlotFraction/step), 1)
}

// target returns the level at which a kind uses its allocation.
func (k *kind) target(alloc, demand, slotTime float64) float64 {
	density := k.density()
	if alloc >= demand*(1-1e-9) || slotTime <= 0 || density <= 0 {
		return call.NumCohorts
	}
	return min(alloc/slotTime/density, call.NumCohorts)
}

// gate sets the level of the next lower priority to 0 while this one is limited, and until it has been fully admitted
// for reopenWindows. Otherwise a request that is shed could be followed shortly by an admitted one of lower priority.
func (k *kind) gate(lower *kind) {
	if k.level < call.NumCohorts {
		k.fullWindows = 0
		lower.closed = true
	} else if k.fullWindows++; k.fullWindows >= reopenWindows {
		lower.closed = false
	}
	if lower.closed {
		lower.level = 0
	}
}

// adjust moves the level towards its target value.
func (k *kind) adjust(target, rise float64) {
	switch {
	case target >= k.level+1:
		k.level = math.Floor(min(target, k.level+rise))
	case target <= k.level-deadBand || target < 1:
		k.level = max(math.Floor(k.level-max((k.level-target)*fallFraction, 1)), 0)
	}
}

// adjustGain updates the gain. It returns to 1 while no kind is limited, to avoid windup before the next surge.
func (d *Shedder) adjustGain(s State, limited bool) {
	switch {
	case !limited:
		d.gain += (1 - d.gain) * 0.2
	case s.RejectedFraction > 0.05 || s.QueueNeverEmptied:
		d.gain *= 1 - 0.005
	case s.QueueEmptied && s.InUse < s.Limit*0.98:
		d.gain *= 1.01
	}
	d.gain = min(max(d.gain, minGain), maxGain)
}
