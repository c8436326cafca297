package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/admission"
	"mustardmast/core/pressure"
)

const targets = 3

// fanout simulates an entry node in front of several targets. A request that one target rejects is offered to the next.
type fanout struct {
	*replay
	controllers [targets]*admission.Controller
	levels      *pressure.Levels
	random      *rand.Rand
	work        time.Duration
	naive       bool // each offer counts as demand

	requested, shed, served int
}

func newFanout(work time.Duration) *fanout {
	f := &fanout{replay: &replay{}, levels: pressure.New(), random: rand.New(rand.NewPCG(3, 3)), work: work}
	for i := range f.controllers {
		f.controllers[i] = admission.New()
		f.controllers[i].SetSlots(start, slots)
	}
	return f
}

// demand adds requests at a rate of load times the capacity of all targets, in bursts of a tenth of a second.
func (f *fanout) demand(d time.Duration, load float64) {
	const burst, pause = 100 * time.Millisecond, 100 * time.Millisecond
	gap := time.Duration(float64(f.work) / (load * targets * 47) * float64(burst) / float64(burst+pause))
	for from := time.Duration(0); from < d; from += burst + pause {
		for at := from; at < from+burst; at += gap {
			f.at(start.Add(at), f.request)
		}
	}
}

func (f *fanout) request(now time.Time) {
	f.requested++
	r := admission.Request{SubCall: true, AdmittedFraction: pressure.AdmittedFraction(f.levels.Level(now, "r"), 0), MaxWait: 40 * time.Millisecond}
	if f.random.Float64() >= r.AdmittedFraction {
		f.shed++
		return
	}
	for _, i := range f.random.Perm(targets) {
		ticket, wait := f.controllers[i].Admit(now, r)
		f.levels.Observe(now, "r", f.controllers[i].Report(now).Level)
		switch {
		case ticket == nil:
			r.AlreadyCounted = !f.naive
			continue
		case wait == 0:
			f.serve(now, i, ticket)
		default:
			f.wait(now, i, ticket)
		}
		return
	}
}

func (f *fanout) wait(now time.Time, i int, ticket *admission.Ticket) {
	if started(ticket) {
		f.serve(now, i, ticket)
		return
	}
	f.at(now.Add(time.Millisecond), func(now time.Time) { f.wait(now, i, ticket) })
}

func (f *fanout) serve(now time.Time, i int, ticket *admission.Ticket) {
	f.at(now.Add(time.Duration((0.5+f.random.Float64())*float64(f.work))), func(now time.Time) {
		f.controllers[i].Done(now, ticket, true)
		f.served++
	})
}

// Simulates bursts at 1.3 times the capacity of three targets for ten seconds, where a request that one target rejects
// is offered to the next. Guards against demand that counts a request once per offer, so that the entry node sheds far
// too much.
func TestRequestCountsOnceForSeveralOffers(t *testing.T) {
	const seconds, load = 10, 1.3
	run := func(naive bool) *fanout {
		f := newFanout(40 * time.Millisecond)
		f.naive = naive
		f.demand(seconds*time.Second, load)
		f.run()
		return f
	}
	f, naive := run(false), run(true)
	capacity := targets * 47 * seconds * 25 // runs of 40 ms
	t.Logf("of %d requested, capacity %d: shed %d served %d; with each offer counted: shed %d served %d", f.requested, capacity, f.shed, f.served, naive.shed, naive.served)
	excess := (1 - 0.95/load) * float64(f.requested)
	assert.Assert(t, float64(f.shed) < 1.5*excess, "shed %d, the excess over the goal is %.0f", f.shed, excess)
	assert.Assert(t, float64(naive.shed) >= 1.5*excess, "the check does not detect that each offer is counted")
	assert.Assert(t, f.served >= naive.served)
}

// Simulates a target that rejects every request within a millisecond, at the rate of its capacity. Guards against a
// level that sheds requests because of slots that they do not use.
func TestRejectedRunsUseNoSlots(t *testing.T) {
	c := admission.New()
	c.SetSlots(start, slots)
	now := start
	run := func(d, runTime time.Duration, completed bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Millisecond) {
			ticket, _ := c.Admit(now, admission.Request{AdmittedFraction: 1})
			if ticket != nil {
				at := now.Add(runTime)
				c.Done(at, ticket, completed)
			}
		}
	}
	run(time.Second, 50*time.Millisecond, true)
	before := c.Report(now)
	run(time.Second, time.Millisecond, false)
	after := c.Report(now)
	assert.Assert(t, before.Level > 0, "%v", before)
	assert.Equal(t, after.Level, 0.0)
	assert.Equal(t, after.ServiceTime, before.ServiceTime, "rejected runs must not lower the service time")
}
