// Package shed decides which part of each kind of request a target admits.
//
// A kind is a priority and a backer. In each window the target's capacity, in slots, is divided among the kinds by
// strict priority, and within a priority by weighted max-min over the backers' shares. A kind that gets less than its
// demand has a level below 64: only requests whose cohort is below it are admitted. The cohort of a request is the
// same at every hop, so hops that shed at the same time shed the same requests.
//
// Demand counts what arrives and what senders withheld. The arrivals may have passed a level at an earlier hop
// already, so that only low cohorts come. The density, arrivals per cohort, is therefore taken over the range of
// cohorts that arrive, estimated from their mean, and the level is the allocation over the density.
//
// What senders withheld counts as demand only where the level of this target is what they withheld it for. Where far
// fewer cohorts arrive than this target admits, another service on the way is the narrower one, and capacity kept for
// what it holds back would stay idle.
//
// A gain corrects what the model gets wrong: it grows while slots are idle although requests are shed, and shrinks
// while the queue refuses work. It moves slowly, because a level takes most of a second to show in the arrivals.
//
// Hysteresis: in a window a level rises by one step (1/64), or by as many as take 30% of the slots that are free. It falls
// only if its target is at least two steps below, by 0.6 of the way and one step at least. A steady target above the level
// is reached within 64 windows, and one below it to within two steps within 5 windows. A lower priority has a level above
// 0 only after the next higher one of the same backer has been admitted in full for half a second.
//
// A Shedder is not safe for concurrent use; core/admit holds it under its lock.
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
	// memory is the time constant of the demand averages, quick the one that replaces it when the demand has changed by
	// more than chance. What is left for the lowest admitted priority is a difference of large figures; with 600 ms it
	// varied by a quarter from one moment to the next, and with 1200 ms alone a surge was answered two seconds late.
	memory = 700 * time.Millisecond
	quick  = 300 * time.Millisecond
	// surprise is the number of standard deviations of a Poisson count that is not taken for chance.
	surprise = 2
	// enough is the number of arrivals in memory above which their mean cohort is used.
	enough   = 8
	deadBand = 2
	// openAfter is the number of windows at the full level before the next lower priority is admitted again.
	openAfter = 5
	// fallPart is the part of the way to a lower target that a level goes in a window.
	fallPart = 0.6
	// freePart is the part of the free slots that a rise of one level may take in a window. Arrivals follow a level with
	// several windows of delay, so all of them at once would overshoot.
	freePart = 0.3
	gainMin  = 0.97
	gainMax  = 1.5
	// ownPart is how near the range of arriving cohorts must be to a level for the level to be what limits them.
	ownPart = 0.75
)

// kind is one priority and backer.
type kind struct {
	arrived, withheld float64 // in this window
	cohorts           float64 // sum over arrived
	recent            average // over quick
	average                   // over memory
	slotTime          float64 // seconds that one call holds a slot, averaged
	level             float64
	full              int  // windows at the full level
	shut              bool // because the next higher priority is limited
}

// average is the demand of a kind over some time.
type average struct {
	rate, held float64 // per second
	mean       float64 // mean cohort
}

// Shedder holds the levels of one target. Use New.
type Shedder struct {
	share    *share.Share
	kinds    [call.NumPriorities][]kind
	demand   []float64
	alloc    []float64
	slotTime float64
	gain     float64
}

// New returns a Shedder that admits everything. It has one entry per priority and backer.
func New(s *share.Share) *Shedder {
	d := &Shedder{share: s, demand: make([]float64, s.Len()), alloc: make([]float64, s.Len()), gain: 1}
	for p := range d.kinds {
		d.kinds[p] = make([]kind, s.Len())
		for b := range d.kinds[p] {
			d.kinds[p][b].level = call.NumCohorts
			d.kinds[p][b].mean = (call.NumCohorts - 1) / 2.0
			d.kinds[p][b].recent.mean = (call.NumCohorts - 1) / 2.0
		}
	}
	return d
}

// Level returns the level in force.
func (d *Shedder) Level(p call.Priority, backer int) mustardmast.Level {
	return mustardmast.Level(d.kinds[min(p, call.NumPriorities-1)][backer].level)
}

// RecordArrival counts one request, and those that its sender withheld since the last one.
func (d *Shedder) RecordArrival(p call.Priority, backer, cohort int, withheld uint32) {
	k := &d.kinds[min(p, call.NumPriorities-1)][backer]
	k.arrived++
	k.cohorts += float64(cohort)
	k.withheld += float64(withheld)
}

// RecordCompletion counts the time that one request held a slot.
func (d *Shedder) RecordCompletion(p call.Priority, backer int, held time.Duration) {
	k := &d.kinds[min(p, call.NumPriorities-1)][backer]
	move(&k.slotTime, held.Seconds(), 1.0/64)
	move(&d.slotTime, held.Seconds(), 1.0/256)
}

func move(to *float64, v, weight float64) {
	if *to == 0 {
		*to = v
		return
	}
	*to += (v - *to) * weight
}

// State is what the target did in a window.
type State struct {
	Elapsed           time.Duration
	Limit             float64 // slots, averaged over the window
	InUse             float64 // slots in use, averaged over the window
	RejectedFraction  float64 // part of the work that reached the queue and was refused there
	QueueEmptied      bool    // the queue was empty at least once
	QueueNeverEmptied bool    // the queue was never empty and its oldest item waited long
}

// Advance ends a window and sets the levels.
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
			k.move(target, k.rise(s.Limit-s.InUse, d.slotTimeOf(k)))
			if p > 0 {
				d.kinds[p-1][b].below(k)
			}
		}
	}
	d.correct(s, limited)
}

// Skip ends a window without setting the levels.
func (d *Shedder) Skip() {
	for p := range d.kinds {
		for b := range d.kinds[p] {
			k := &d.kinds[p][b]
			k.arrived, k.withheld, k.cohorts = 0, 0, 0
		}
	}
}

func (d *Shedder) slotTimeOf(k *kind) float64 {
	if k.slotTime > 0 {
		return k.slotTime
	}
	return d.slotTime
}

func (k *kind) advance(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	k.recent.add(k, elapsed, quick)
	k.add(k, elapsed, memory)
	counted := max(k.recent.rate, k.rate) * quick.Seconds()
	if math.Abs(k.recent.rate-k.rate)*quick.Seconds() > surprise*math.Sqrt(counted)+1 {
		k.average = k.recent
	}
	k.arrived, k.withheld, k.cohorts = 0, 0, 0
}

func (a *average) add(k *kind, elapsed, constant time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
	before := a.rate * (1 - weight)
	a.rate = before + k.arrived/elapsed.Seconds()*weight
	a.held += (k.withheld/elapsed.Seconds() - a.held) * weight
	if k.arrived > 0 && a.rate > 0 {
		a.mean += (k.cohorts/k.arrived - a.mean) * (a.rate - before) / a.rate
	}
}

// span returns the range of cohorts that arrive, and false when there are too few arrivals to tell.
func (k *kind) span() (float64, bool) {
	return min(2*k.mean+1, call.NumCohorts), k.rate*memory.Seconds() >= enough
}

// demand returns the requests a second that would come if this target admitted everything.
func (k *kind) demand() float64 {
	if !k.own() {
		return k.rate
	}
	return k.rate + k.held
}

// own reports whether the level of this target is what limits the arrivals.
func (k *kind) own() bool {
	if k.level >= call.NumCohorts {
		return false
	}
	span, ok := k.span()
	return !ok || span >= k.level*ownPart
}

// density returns the arrivals a second per cohort.
func (k *kind) density() float64 {
	if span, ok := k.span(); ok {
		return k.rate / span
	}
	return (k.rate + k.held) / call.NumCohorts
}

// rise returns the bound on a step up: what would take a part of the slots that are free.
func (k *kind) rise(free, slotTime float64) float64 {
	step := k.density() * slotTime
	if step <= 0 {
		return call.NumCohorts
	}
	return max(math.Floor(free*freePart/step), 1)
}

// target returns the level at which a kind uses what it was given.
func (k *kind) target(alloc, demand, slotTime float64) float64 {
	density := k.density()
	if alloc >= demand*(1-1e-9) || slotTime <= 0 || density <= 0 {
		return call.NumCohorts
	}
	return min(alloc/slotTime/density, call.NumCohorts)
}

// below shuts the next lower priority while this one is limited. It stays shut until this one has been admitted in full
// for a while, so that a request which is shed now is not overtaken by a less important one that comes a moment later.
func (k *kind) below(lower *kind) {
	if k.level < call.NumCohorts {
		k.full = 0
		lower.shut = true
	} else if k.full++; k.full >= openAfter {
		lower.shut = false
	}
	if lower.shut {
		lower.level = 0
	}
}

// move changes the level towards its target.
func (k *kind) move(target, rise float64) {
	switch {
	case target >= k.level+1:
		k.level = math.Floor(min(target, k.level+rise))
	case target <= k.level-deadBand || target < 1:
		k.level = max(math.Floor(k.level-max((k.level-target)*fallPart, 1)), 0)
	}
}

// correct moves the gain. It returns to 1 when nothing is limited, so that it is not wound up when a surge begins.
func (d *Shedder) correct(s State, limited bool) {
	switch {
	case !limited:
		d.gain += (1 - d.gain) * 0.2
	case s.RejectedFraction > 0.05 || s.QueueNeverEmptied:
		d.gain *= 1 - 0.005
	case s.QueueEmptied && s.InUse < s.Limit*0.98:
		d.gain *= 1.01
	}
	d.gain = min(max(d.gain, gainMin), gainMax)
}
