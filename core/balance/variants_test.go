package balance_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/balance"
	"mustardmast/core/call"
)

// naivePicker is the baseline: round robin or the fewest calls in flight, without hedging.
type naivePicker struct {
	next          int
	leastInFlight bool
	inFlight      map[mustardmast.NodeID]int
}

func (p *naivePicker) Pick(_ time.Time, _ call.Call, l []mustardmast.Member, tried []mustardmast.NodeID) (mustardmast.Member, bool) {
	best := -1
	p.next++
	for i := range l {
		i = (i + p.next) % len(l)
		if !slices.Contains(tried, l[i].ID) && (best < 0 || p.leastInFlight && p.inFlight[l[i].ID] < p.inFlight[l[best].ID]) {
			best = i
		}
	}
	if best < 0 {
		return mustardmast.Member{}, false
	}
	p.inFlight[l[best].ID]++
	return l[best], true
}

func (p *naivePicker) Done(_ time.Time, r mustardmast.Result) { p.inFlight[r.Member]-- }

func (p *naivePicker) HedgeAfter(time.Time, call.Call) (time.Duration, bool) { return 0, false }

var (
	firstSeed  = flag.Uint64("sim.seed", 1, "first seed")
	seeds      = flag.Int("sim.seeds", 1, "number of seeds")
	simSlots   = flag.Int("sim.slots", 8, "slots per target; the goal assumes about 100, which takes longer")
	simCallers = flag.Int("sim.callers", 6, "number of callers, which share the calls evenly")
	simLength  = flag.Duration("sim.length", 10*time.Second, "length of a run")
	baselines  = flag.Bool("sim.baselines", false, "also run the baseline pickers")
)

// adjustSettings changes the settings of all balancers of a run; nil leaves the defaults.
var adjustSettings func(*balance.Settings)

const meanServiceTime = 40 * time.Millisecond

// runLength is the duration of a run. The fault begins after three tenths of it, which gives the hedge budget time to
// fill: it starts empty and holds one reservation per call in flight.
var runLength, faultAt time.Duration

func setRunLength() { runLength, faultAt = *simLength, *simLength*3/10 }

// scenario is a fault of target 0.
type scenario struct {
	name    string
	domains []string
	inject  func(*sim, *rand.Rand)
	home    string // failure domain of all callers; if empty, they are distributed over domains
}

func noFault(*sim, *rand.Rand) {}

// injectStalls freezes target 0 repeatedly for 0.5 to 2 s, with pauses of 0.5 to 2 s.
func injectStalls(s *sim, rng *rand.Rand) {
	t := s.targets[0]
	for at := faultAt; at < runLength; {
		d := 500*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))
		s.at(at, func() { t.stallStart, t.stallEnd = s.now, s.now+d })
		at += d + 500*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))
	}
}

// injectSlowdown makes target 0 ten times slower from the start of the fault to eight tenths of the run.
func injectSlowdown(s *sim, _ *rand.Rand) {
	s.targets[0].slowdown = func(t time.Duration) float64 {
		if t > faultAt && t < runLength*8/10 {
			return 10
		}
		return 1
	}
}

func newPicker(variant, domain string, id int) mustardmast.Picker {
	switch variant {
	case "round robin":
		return &naivePicker{inFlight: map[mustardmast.NodeID]int{}, next: id}
	case "least in flight":
		return &naivePicker{inFlight: map[mustardmast.NodeID]int{}, next: id, leastInFlight: true}
	default:
		settings := balance.Defaults()
		if adjustSettings != nil {
			adjustSettings(&settings)
		}
		return balance.New(balance.Self{ID: mustardmast.NodeID(100 + id), FailureDomain: domain}, uint64(id), settings)
	}
}

func runSimulation(variant string, sc scenario, l []arrival, seed uint64) *sim {
	s := &sim{candidates: members(6, sc.domains...), loadLag: 2 * time.Second}
	for range len(s.candidates) + 1 { // one extra target that a scenario may add
		s.targets = append(s.targets, &target{s: s, slowdown: func(time.Duration) float64 { return 1 }})
	}
	for _, t := range s.targets {
		t.recordLoad(runLength)
	}
	callers := make([]*caller, *simCallers)
	for i := range callers {
		d := sc.domains[i%len(sc.domains)]
		if sc.home != "" {
			d = sc.home
		}
		callers[i] = &caller{domain: d, picker: newPicker(variant, d, i)}
	}
	sc.inject(s, rand.New(rand.NewPCG(seed, 3)))
	for _, a := range l {
		s.at(a.at, func() { s.arrive(a, callers[a.caller]) })
	}
	s.run()
	return s
}

// Guards against a straggler that affects the tail latency of its service: stalls that load reports show 2 s late, and
// a target that is ten times slower. The ratio is that to a run without the fault, on the same arrivals.
func TestTailWithOneStragglerInSix(t *testing.T) {
	variants := []string{"balancer"}
	if *baselines {
		variants = append(variants, "least in flight", "round robin")
	}
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		l := generateArrivals(seed, 6, *simCallers, 0.6, meanServiceTime, runLength)
		for _, domains := range [][]string{{"a"}, {"a", "b", "c"}} {
			for _, v := range variants {
				base := runSimulation(v, scenario{domains: domains, inject: noFault}, l, seed)
				for _, sc := range []scenario{{name: "stalls", domains: domains, inject: injectStalls}, {name: "slow", domains: domains, inject: injectSlowdown}} {
					checkTail(t, v, sc, base, runSimulation(v, sc, l, seed), seed)
				}
			}
		}
	}
}

func checkTail(t *testing.T, variant string, sc scenario, base, s *sim, seed uint64) {
	var r [2]float64
	for i, q := range []float64{0.99, 0.999} {
		r[i] = float64(s.quantile(q, 0, runLength)) / float64(base.quantile(q, 0, runLength))
	}
	calls := len(s.completed)
	t.Logf("seed %d, %d domains, %-15s %-6s p99 %.2fx p99.9 %.2fx of %v and %v, extra sends %.4f", seed, len(sc.domains), variant, sc.name,
		r[0], r[1], base.quantile(0.99, 0, runLength).Round(time.Millisecond), base.quantile(0.999, 0, runLength).Round(time.Millisecond),
		float64(s.sends-calls)/float64(calls))
	if variant == "balancer" {
		assert.Check(t, r[0] <= 1.5, "seed %d", seed)
		assert.Check(t, float64(s.sends-calls) <= 0.03*float64(calls), "seed %d", seed)
	}
}
