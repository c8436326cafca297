package measure

import (
	"math/rand/v2"
	"strconv"
	"time"

	"mustardmast/core/call"
)

// arrival is one request that a caller intends to start. Arrivals are open-loop: they do not wait for answers.
type arrival struct {
	at       time.Duration
	id       string
	path     []string
	priority call.Priority
	backer   string
	deadline time.Duration // after at
	long     bool          // a job that takes longFactor times the work of a call
}

// longFactor is how much longer a long job is than the other calls of its service.
const longFactor = 100

// load is the demand over time, as a factor of a rate.
type load func(at time.Duration) float64

func flat(f float64) load { return func(time.Duration) float64 { return f } }

// source describes the arrivals of one run.
type source struct {
	deployment deployment
	rate       float64 // chains a second at load 1
	load       load
	peak       float64            // bound of load
	end        time.Duration      // last arrival
	demand     map[string]float64 // part of each backer; nil takes the shares
	only       call.Priority      // one priority for all, if single
	single     bool
	longEvery  int // one in so many calls of the deployment's long method is a long job
}

// trace returns the arrivals of a seed. Arrivals form a Poisson process whose rate follows the load.
func (s source) trace(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / (s.rate * s.peak) * float64(time.Second))
		if at >= s.end {
			return all
		}
		keep, c, b, isLong := r.Float64(), s.chain(r.Float64()), s.backer(r.Float64()), r.Float64()
		if keep*s.peak >= s.load(at) {
			continue
		}
		a := arrival{at: at, id: strconv.FormatUint(r.Uint64(), 36), path: c.path, priority: c.priority, backer: b, deadline: c.deadline}
		if s.single {
			a.priority = s.only
		}
		if s.longEvery > 0 && isLong < s.longPart() {
			a.path, a.priority, a.deadline, a.long = []string{s.deployment.long}, call.Normal, time.Minute, true
		}
		all = append(all, a)
	}
}

// longPart returns the part of the arrivals that are long jobs, so that they are one in longEvery calls of the service.
func (s source) longPart() float64 {
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

func (s source) chain(x float64) chain {
	for _, c := range s.deployment.chains {
		if x -= c.weight; x < 0 {
			return c
		}
	}
	return s.deployment.chains[0]
}

func (s source) backer(x float64) string {
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
