package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/admission"
	"mustardmast/core/pressure"
)

// loop is an entry that sheds by the level that replies bring, in front of one target. A level reaches the entry some
// time after it was reported, as it does through a chain of calls.
type loop struct {
	*replay
	intake *admission.Controller
	levels *pressure.Levels
	random *rand.Rand
	work   time.Duration
	delay  time.Duration
	hold   time.Duration

	back  time.Duration // after which a caller that was shed returns once, 0 if it does not
	boost float64       // by which the share that is let through is multiplied for those that return
	tells bool          // those that return tell the multiplied share

	asked, offered, served, refused map[int]int // by second
}

func newLoop(work, delay, hold time.Duration) *loop {
	l := &loop{replay: &replay{}, intake: admission.New(), levels: pressure.New(), random: rand.New(rand.NewPCG(7, 7)), work: work, delay: delay, hold: hold,
		asked: map[int]int{}, offered: map[int]int{}, served: map[int]int{}, refused: map[int]int{}}
	l.intake.SetSlots(start, slots)
	return l
}

func second(now time.Time) int { return int(now.Sub(start) / time.Second) }

// capacity is what the target serves in a second.
func (l *loop) capacity() int { return int(47 * time.Second / l.work) }

// demand adds requests at a part of the capacity.
func (l *loop) demand(from, to time.Duration, part float64) {
	gap := time.Duration(float64(time.Second) / (part * float64(l.capacity())))
	for at := from; at < to; at += gap {
		l.at(start.Add(at+time.Duration(l.random.Float64()*float64(gap))), l.request)
	}
}

func (l *loop) request(now time.Time) { l.arrive(now, false) }

func (l *loop) arrive(now time.Time, returned bool) {
	l.asked[second(now)]++
	kept := pressure.AdmittedFraction(l.levels.Level(now, "r"), 0)
	through := kept
	if returned {
		through = min(1, l.boost*kept)
	}
	if l.tells {
		kept = through
	}
	if l.random.Float64() >= through {
		l.refused[second(now)]++
		if l.back > 0 && !returned {
			l.at(now.Add(l.back), func(now time.Time) { l.arrive(now, true) })
		}
		return
	}
	l.offered[second(now)]++
	ticket, wait := l.intake.Admit(now, admission.Request{Priority: 2, AdmittedFraction: kept, MaxWait: l.hold})
	switch {
	case ticket == nil:
		l.refused[second(now)]++
		l.tell(now)
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
		l.intake.Done(now, ticket, true)
		l.served[second(now)]++
		l.tell(now)
	})
}

// tell sends the level to the entry.
func (l *loop) tell(now time.Time) {
	level := l.intake.Report(now).Level
	l.at(now.Add(l.delay), func(now time.Time) { l.levels.Observe(now, "r", level) })
}

// Replays three seconds at three times the capacity between calm ones, with levels that reach the entry 10 ms and 400 ms
// after they were told. Guards against shedding far more than is too much, which leaves slots idle while callers are
// turned away, against far too little, which leaves the rest to be turned away at the target, and against shedding that
// goes on after the load has gone.
func TestSheddingFollowsTheLoad(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 400 * time.Millisecond} {
		l := newLoop(40*time.Millisecond, delay, 100*time.Millisecond)
		l.demand(0, time.Second, 0.6)
		l.demand(time.Second, 4*time.Second, 3)
		l.demand(4*time.Second, 8*time.Second, 0.6)
		l.run()
		t.Logf("delay %v: asked %v served %v refused %v, capacity %d", delay, l.asked, l.served, l.refused, l.capacity())
		assert.Equal(t, l.refused[0], 0)
		for s := 1; s < 4; s++ {
			assert.Check(t, l.served[s] > l.capacity()*85/100, "delay %v, second %d: %d of %d", delay, s, l.served[s], l.capacity())
		}
		for s := 2; s < 4; s++ {
			assert.Check(t, l.offered[s] < l.capacity()*5/4, "delay %v, second %d: %d offered for %d", delay, s, l.offered[s], l.capacity())
		}
		assert.Check(t, l.refused[5] < l.asked[5]/20, "delay %v: %d of %d", delay, l.refused[5], l.asked[5])
		assert.Check(t, l.refused[6]+l.refused[7] == 0, "delay %v", delay)
	}
}

// Replays twice the capacity for ten seconds, where each caller that is turned away at the entry comes back once and then
// has a higher share. Guards against those that come back being let through beyond what the level stands for: the target
// then gets more than it can serve for as long as the load lasts.
func TestCallersThatComeBackAreCounted(t *testing.T) {
	run := func(tells bool) (offered, served, capacity int) {
		l := newLoop(40*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond)
		l.back, l.boost, l.tells = 500*time.Millisecond, 3, tells
		l.demand(0, 10*time.Second, 2)
		l.run()
		for s := 3; s < 10; s++ {
			offered, served = offered+l.offered[s], served+l.served[s]
		}
		return offered, served, 7 * l.capacity()
	}
	offered, served, capacity := run(false)
	naive, _, _ := run(true)
	t.Logf("capacity %d: offered %d, served %d; where they tell the higher share: offered %d", capacity, offered, served, naive)
	assert.Assert(t, served > capacity*9/10)
	assert.Assert(t, offered < capacity*11/10)
	assert.Assert(t, naive > capacity*11/10, "the check accepts the higher share")
}
