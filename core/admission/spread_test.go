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

// spreading is an entry in front of several targets. What one turns away is offered to the next.
type spreading struct {
	*replay
	intakes [targets]*admission.Controller
	levels  *pressure.Levels
	random  *rand.Rand
	work    time.Duration
	naive   bool // each offer counts

	asked, shed, served int
}

func newSpreading(work time.Duration) *spreading {
	s := &spreading{replay: &replay{}, levels: pressure.New(), random: rand.New(rand.NewPCG(3, 3)), work: work}
	for i := range s.intakes {
		s.intakes[i] = admission.New()
		s.intakes[i].SetSlots(start, slots)
	}
	return s
}

// demand adds requests at a part of the capacity of all targets. They come in clumps, a tenth of a second at a time.
func (s *spreading) demand(d time.Duration, part float64) {
	const clump, pause = 100 * time.Millisecond, 100 * time.Millisecond
	gap := time.Duration(float64(s.work) / (part * targets * 47) * float64(clump) / float64(clump+pause))
	for from := time.Duration(0); from < d; from += clump + pause {
		for at := from; at < from+clump; at += gap {
			s.at(start.Add(at), s.request)
		}
	}
}

func (s *spreading) request(now time.Time) {
	s.asked++
	r := admission.Request{SubCall: true, AdmittedFraction: pressure.AdmittedFraction(s.levels.Level(now, "r"), 0), MaxWait: 40 * time.Millisecond}
	if s.random.Float64() >= r.AdmittedFraction {
		s.shed++
		return
	}
	for _, i := range s.random.Perm(targets) {
		ticket, wait := s.intakes[i].Admit(now, r)
		s.levels.Observe(now, "r", s.intakes[i].Report(now).Level)
		switch {
		case ticket == nil:
			r.AlreadyCounted = !s.naive
			continue
		case wait == 0:
			s.serve(now, i, ticket)
		default:
			s.wait(now, i, ticket)
		}
		return
	}
}

func (s *spreading) wait(now time.Time, i int, ticket *admission.Ticket) {
	if started(ticket) {
		s.serve(now, i, ticket)
		return
	}
	s.at(now.Add(time.Millisecond), func(now time.Time) { s.wait(now, i, ticket) })
}

func (s *spreading) serve(now time.Time, i int, ticket *admission.Ticket) {
	s.at(now.Add(time.Duration((0.5+s.random.Float64())*float64(s.work))), func(now time.Time) {
		s.intakes[i].Done(now, ticket, true)
		s.served++
	})
}

// Replays 1.3 times the capacity of three targets for ten seconds, in clumps, where a request that one turns away goes to
// the next. Guards against a demand that counts a request once for each target that it is offered to, so that the entry sheds far
// more than is too much.
func TestARequestCountsOnceHoweverOftenItIsOffered(t *testing.T) {
	const seconds, part = 10, 1.3
	run := func(naive bool) *spreading {
		s := newSpreading(40 * time.Millisecond)
		s.naive = naive
		s.demand(seconds*time.Second, part)
		s.run()
		return s
	}
	s, naive := run(false), run(true)
	capacity := targets * 47 * seconds * 25 // runs of 40 ms
	t.Logf("of %d asked, capacity %d: shed %d served %d; each offer counted: shed %d served %d", s.asked, capacity, s.shed, s.served, naive.shed, naive.served)
	excess := (1 - 0.95/part) * float64(s.asked)
	assert.Assert(t, float64(s.shed) < 1.5*excess, "shed %d, %.0f are too many for the goal", s.shed, excess)
	assert.Assert(t, float64(naive.shed) >= 1.5*excess, "the check accepts each offer counted")
	assert.Assert(t, s.served >= naive.served)
}

// Replays a target that refuses all that it gets within a millisecond, at the rate of its capacity. Guards against a level
// that sheds requests because of slots that they do not fill.
func TestRefusedRunsFillNoSlots(t *testing.T) {
	i := admission.New()
	i.SetSlots(start, slots)
	now := start
	run := func(d, took time.Duration, counted bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Millisecond) {
			ticket, _ := i.Admit(now, admission.Request{AdmittedFraction: 1})
			if ticket != nil {
				at := now.Add(took)
				i.Done(at, ticket, counted)
			}
		}
	}
	run(time.Second, 50*time.Millisecond, true)
	before := i.Report(now)
	run(time.Second, time.Millisecond, false)
	after := i.Report(now)
	assert.Assert(t, before.Level > 0, "%v", before)
	assert.Equal(t, after.Level, 0.0)
	assert.Equal(t, after.ServiceTime, before.ServiceTime, "a host that refuses must not look fast")
}
