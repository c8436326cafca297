package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/admission"
	"mustardmast/core/pressure"
)

// loop simulates an entry node that sheds by the level that responses carry, in front of one target. Levels reach the
// entry with a delay, as they do through a call chain.
type loop struct {
	*replay
	admission *admission.Controller
	levels    *pressure.Levels
	random    *rand.Rand
	work      time.Duration
	delay     time.Duration
	maxWait   time.Duration

	retryAfter          time.Duration // after which a caller whose request was shed retries once; 0 for no retries
	retryBoost          float64       // factor of the admitted fraction for retries
	reportRetryFraction bool          // retries report the multiplied fraction

	requested, offered, served, rejected map[int]int // number of requests by second
}

func newLoop(work, delay, maxWait time.Duration) *loop {
	l := &loop{replay: &replay{}, admission: admission.New(), levels: pressure.New(), random: rand.New(rand.NewPCG(7, 7)), work: work, delay: delay, maxWait: maxWait,
		requested: map[int]int{}, offered: map[int]int{}, served: map[int]int{}, rejected: map[int]int{}}
	l.admission.SetSlots(start, slots)
	return l
}

func second(now time.Time) int { return int(now.Sub(start) / time.Second) }

// capacity returns the number of requests that the target can serve in a second.
func (l *loop) capacity() int { return int(47 * time.Second / l.work) }

// demand adds requests at a rate of load times the capacity.
func (l *loop) demand(from, to time.Duration, load float64) {
	gap := time.Duration(float64(time.Second) / (load * float64(l.capacity())))
	for at := from; at < to; at += gap {
		l.at(start.Add(at+time.Duration(l.random.Float64()*float64(gap))), l.request)
	}
}

func (l *loop) request(now time.Time) { l.arrive(now, false) }

func (l *loop) arrive(now time.Time, retried bool) {
	l.requested[second(now)]++
	reported := pressure.AdmittedFraction(l.levels.Level(now, "r"), 0)
	admitted := reported
	if retried {
		admitted = min(1, l.retryBoost*reported)
	}
	if l.reportRetryFraction {
		reported = admitted
	}
	if l.random.Float64() >= admitted {
		l.rejected[second(now)]++
		if l.retryAfter > 0 && !retried {
			l.at(now.Add(l.retryAfter), func(now time.Time) { l.arrive(now, true) })
		}
		return
	}
	l.offered[second(now)]++
	ticket, wait := l.admission.Admit(now, admission.Request{Priority: 2, AdmittedFraction: reported, MaxWait: l.maxWait})
	switch {
	case ticket == nil:
		l.rejected[second(now)]++
		l.reportLevel(now)
	case wait == 0:
		l.serve(now, ticket)
	default:
		l.wait(now, ticket)
	}
}

func (l *loop) wait(now time.Time, ticket *admission.Ticket) {
	if started(ticket) {
		l.serve(now, ticket)
		return
	}
	l.at(now.Add(time.Millisecond), func(now time.Time) { l.wait(now, ticket) })
}

func (l *loop) serve(now time.Time, ticket *admission.Ticket) {
	l.at(now.Add(time.Duration((0.5+l.random.Float64())*float64(l.work))), func(now time.Time) {
		l.admission.Done(now, ticket, true)
		l.served[second(now)]++
		l.reportLevel(now)
	})
}

// reportLevel sends the level to the entry node.
func (l *loop) reportLevel(now time.Time) {
	level := l.admission.Report(now).Level
	l.at(now.Add(l.delay), func(now time.Time) { l.levels.Observe(now, "r", level) })
}

// Simulates three seconds at three times the capacity between periods of low load, with levels that reach the entry
// node 10 ms and 400 ms after they were reported. Guards against shedding far too much, which leaves slots idle while
// callers are rejected, against shedding far too little, which leaves the rest to be rejected at the target, and
// against shedding that continues after the overload has ended.
func TestSheddingFollowsTheLoad(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 400 * time.Millisecond} {
		l := newLoop(40*time.Millisecond, delay, 100*time.Millisecond)
		l.demand(0, time.Second, 0.6)
		l.demand(time.Second, 4*time.Second, 3)
		l.demand(4*time.Second, 8*time.Second, 0.6)
		l.run()
		t.Logf("delay %v: requested %v served %v rejected %v, capacity %d", delay, l.requested, l.served, l.rejected, l.capacity())
		assert.Equal(t, l.rejected[0], 0)
		for s := 1; s < 4; s++ {
			assert.Check(t, l.served[s] > l.capacity()*85/100, "delay %v, second %d: %d of %d", delay, s, l.served[s], l.capacity())
		}
		for s := 2; s < 4; s++ {
			assert.Check(t, l.offered[s] < l.capacity()*5/4, "delay %v, second %d: %d offered for %d", delay, s, l.offered[s], l.capacity())
		}
		assert.Check(t, l.rejected[5] < l.requested[5]/20, "delay %v: %d of %d", delay, l.rejected[5], l.requested[5])
		assert.Check(t, l.rejected[6]+l.rejected[7] == 0, "delay %v", delay)
	}
}

// Simulates twice the capacity for ten seconds, where each caller that is rejected at the entry node retries once and
// is then admitted with a higher probability. If such requests report that higher fraction, the demand is
// underestimated and the target gets more than it can serve for as long as the load lasts.
func TestCallerRetriesCountInDemand(t *testing.T) {
	run := func(reportRetryFraction bool) (offered, served, capacity int) {
		l := newLoop(40*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond)
		l.retryAfter, l.retryBoost, l.reportRetryFraction = 500*time.Millisecond, 3, reportRetryFraction
		l.demand(0, 10*time.Second, 2)
		l.run()
		for s := 3; s < 10; s++ {
			offered, served = offered+l.offered[s], served+l.served[s]
		}
		return offered, served, 7 * l.capacity()
	}
	offered, served, capacity := run(false)
	naive, _, _ := run(true)
	t.Logf("capacity %d: offered %d, served %d; with the higher fraction reported: offered %d", capacity, offered, served, naive)
	assert.Assert(t, served > capacity*9/10)
	assert.Assert(t, offered < capacity*11/10)
	assert.Assert(t, naive > capacity*11/10, "the check does not detect requests that report the higher fraction")
}
