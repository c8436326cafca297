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

// counting is the base of the two naive pickers: it counts calls in flight and never hedges.
type counting struct {
	next     int
	least    bool
	inFlight map[mustardmast.NodeID]int
}

func (p *counting) Pick(_ time.Time, _ call.Call, l []mustardmast.Member, tried []mustardmast.NodeID) (mustardmast.Member, bool) {
	best := -1
	p.next++
	for i := range l {
		i = (i + p.next) % len(l)
		if !slices.Contains(tried, l[i].ID) && (best < 0 || p.least && p.inFlight[l[i].ID] < p.inFlight[l[best].ID]) {
			best = i
		}
	}
	if best < 0 {
		return mustardmast.Member{}, false
	}
	p.inFlight[l[best].ID]++
	return l[best], true
}

func (p *counting) Done(_ time.Time, r mustardmast.Result) { p.inFlight[r.Member]-- }

func (p *counting) HedgeAfter(time.Time, call.Call) (time.Duration, bool) { return 0, false }

var (
	firstSeed = flag.Uint64("sim.seed", 1, "first seed")
	seeds     = flag.Int("sim.seeds", 1, "number of seeds")
	simSlots  = flag.Int("sim.slots", 8, "slots per target; the goal is stated for about 100, which takes longer")
	simCall   = flag.Int("sim.callers", 6, "callers, which share the calls evenly")
	simLength = flag.Duration("sim.length", 10*time.Second, "length of a run")
	baselines = flag.Bool("sim.baselines", false, "run the naive pickers too")
)

var tweak func(*balance.Settings) // changes the settings of all balancers of a run

const mean = 40 * time.Millisecond

// length is the length of a run. The fault begins after three tenths of it, which leaves time for the hedge budget to
// fill: it starts empty and holds one reservation per call in flight.
var length, faultAt time.Duration

func setLength() { length, faultAt = *simLength, *simLength*3/10 }

// scenario is a fault that befalls target 0.
type scenario struct {
	name    string
	domains []string
	apply   func(*sim, *rand.Rand)
	home    string // failure domain of all callers; empty spreads them
}

func none(*sim, *rand.Rand) {}

// stalls freezes target 0 for 0.5 to 2 s, with 0.5 to 2 s between.
func stalls(s *sim, rng *rand.Rand) {
	t := s.targets[0]
	for at := faultAt; at < length; {
		d := 500*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))
		s.at(at, func() { t.stalled, t.resumes = s.now, s.now+d })
		at += d + 500*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))
	}
}

// slows makes target 0 ten times slower in the middle of the run.
func slows(s *sim, _ *rand.Rand) {
	s.targets[0].slow = func(t time.Duration) float64 {
		if t > faultAt && t < length*8/10 {
			return 10
		}
		return 1
	}
}

func pickers(variant, domain string, id int) mustardmast.Picker {
	switch variant {
	case "round robin":
		return &counting{inFlight: map[mustardmast.NodeID]int{}, next: id}
	case "least in flight":
		return &counting{inFlight: map[mustardmast.NodeID]int{}, next: id, least: true}
	default:
		set := balance.Defaults()
		if tweak != nil {
			tweak(&set)
		}
		return balance.New(balance.Self{ID: mustardmast.NodeID(100 + id), FailureDomain: domain}, uint64(id), set)
	}
}

func simulate(variant string, sc scenario, l []arrival, seed uint64) *sim {
	s := &sim{list: members(6, sc.domains...), lag: 2 * time.Second}
	for range len(s.list) + 1 { // one more that a scenario may add
		s.targets = append(s.targets, &target{s: s, slow: func(time.Duration) float64 { return 1 }})
	}
	for _, t := range s.targets {
		t.record(length)
	}
	callers := make([]*caller, *simCall)
	for i := range callers {
		d := sc.domains[i%len(sc.domains)]
		if sc.home != "" {
			d = sc.home
		}
		callers[i] = &caller{domain: d, picker: pickers(variant, d, i)}
	}
	sc.apply(s, rand.New(rand.NewPCG(seed, 3)))
	for _, a := range l {
		s.at(a.at, func() { s.arrive(a, callers[a.caller]) })
	}
	s.run()
	return s
}

// Guards against a straggler that the callers of its service feel: stalls that the load report shows 2 s late, and a
// target that is ten times slower. The ratio is over the run without the fault, on the same trace.
func TestTailWithOneStragglerInSix(t *testing.T) {
	variants := []string{"balancer"}
	if *baselines {
		variants = append(variants, "least in flight", "round robin")
	}
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		l := trace(seed, 6, *simCall, 0.6, mean, length)
		for _, domains := range [][]string{{"a"}, {"a", "b", "c"}} {
			for _, v := range variants {
				base := simulate(v, scenario{domains: domains, apply: none}, l, seed)
				for _, sc := range []scenario{{name: "stalls", domains: domains, apply: stalls}, {name: "slow", domains: domains, apply: slows}} {
					compare(t, v, sc, base, simulate(v, sc, l, seed), seed)
				}
			}
		}
	}
}

func compare(t *testing.T, variant string, sc scenario, base, s *sim, seed uint64) {
	var r [2]float64
	for i, q := range []float64{0.99, 0.999} {
		r[i] = float64(s.quantile(q, 0, length)) / float64(base.quantile(q, 0, length))
	}
	calls := len(s.ended)
	t.Logf("seed %d, %d domains, %-15s %-6s p99 %.2fx p99.9 %.2fx of %v and %v, extra sends %.4f", seed, len(sc.domains), variant, sc.name,
		r[0], r[1], base.quantile(0.99, 0, length).Round(time.Millisecond), base.quantile(0.999, 0, length).Round(time.Millisecond),
		float64(s.picks-calls)/float64(calls))
	if variant == "balancer" {
		assert.Check(t, r[0] <= 1.5, "seed %d", seed)
		assert.Check(t, float64(s.picks-calls) <= 0.03*float64(calls), "seed %d", seed)
	}
}
