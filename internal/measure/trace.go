package measure

import (
	"math/rand/v2"
	"strconv"
	"time"

	"mustardmast/core/call"
)

// arrival is a request that a caller intends to start. Arrivals are open-loop: they do not depend on responses.
type arrival struct {
	at       time.Duration
	id       string
	path     []string
	priority call.Priority
	backer   string
	deadline time.Duration // relative to at
	long     bool          // takes longFactor times the mean service time
}

// longFactor is the service time of a long job relative to the mean of its service.
const longFactor = 100

// loadProfile is the demand over time, as a multiple of a rate.
type loadProfile func(at time.Duration) float64

func constantLoad(f float64) loadProfile { return func(time.Duration) float64 { return f } }

// workload describes the arrivals of a run.
type workload struct {
	deployment       deployment
	rate             float64 // chains a second at a load of 1
	loadProfile      loadProfile
	maxLoad          float64            // upper bound of loadProfile
	end              time.Duration      // no arrivals after this time
	demand           map[string]float64 // fraction of each backer; nil selects the configured shares
	fixedPriority    call.Priority      // priority of all requests, if hasFixedPriority
	hasFixedPriority bool
	longEvery        int // one in longEvery calls of the deployment's long service is a long job; 0 means none
}

// trace returns the arrivals for a seed. They form a Poisson process whose rate follows the load profile.
func (s workload) trace(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / (s.rate * s.maxLoad) * float64(time.Second))
		if at >= s.end {
			return all
		}
		accept, c, b, isLong := r.Float64(), s.chain(r.Float64()), s.backer(r.Float64()), r.Float64()
		if accept*s.maxLoad >= s.loadProfile(at) {
			continue
		}
		a := arrival{at: at, id: strconv.FormatUint(r.Uint64(), 36), path: c.path, priority: c.priority, backer: b, deadline: c.deadline}
		if s.hasFixedPriority {
			a.priority = s.fixedPriority
		}
		if s.longEvery > 0 && isLong < s.longFraction() {
			a.path, a.priority, a.deadline, a.long = []string{s.deployment.long}, call.Normal, time.Minute, true
		}
		all = append(all, a)
	}
}

// longFraction returns the fraction of arrivals that are to be long jobs, so that they are one in longEvery calls of
// the service.
func (s workload) longFraction() float64 {
	through := 0.0
	for _, c := range s.deployment.chains {
		for _, n := range c.path {
			if n == s.deployment.long {
				through += c.weight
			}
		}
	}
	return through / float64(s.longEvery)
}

func (s workload) chain(x float64) chain {
	for _, c := range s.deployment.chains {
		if x -= c.weight; x < 0 {
			return c
		}
	}
	return s.deployment.chains[0]
}

func (s workload) backer(x float64) string {
	for _, b := range s.deployment.backers {
		part := b.SharePercent / 100
		if s.demand != nil {
			part = s.demand[b.Name]
		}
		if x -= part; x < 0 {
			return b.Name
		}
	}
	return s.deployment.backers[0].Name
}
