package pressure_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/pressure"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against shedding a priority while a lower one is still admitted, and against a rank of which no requests are
// admitted, so that its demand becomes unknown.
func TestLowestPriorityIsShedFirst(t *testing.T) {
	for _, c := range []struct {
		level float64
		rank  int
		want  float64
	}{{0, 0, 1}, {0.25, 0, 0.75}, {0.25, 1, 1}, {1, 0, 0.03}, {1, 1, 1}, {1.5, 1, 0.5}, {1.5, 2, 1}, {9, 2, 0.03}} {
		assert.Equal(t, pressure.AdmittedFraction(c.level, c.rank), c.want, "%+v", c)
	}
}

// Guards against a route that stays shed because no request is sent whose response could carry a lower level.
func TestUnobservedLevelDecays(t *testing.T) {
	l := pressure.New()
	l.Observe(start, "a", 1)
	assert.Equal(t, l.Level(start.Add(500*time.Millisecond), "a"), 1.0)
	half := l.Level(start.Add(1450*time.Millisecond), "a")
	assert.Assert(t, half > 0.4 && half < 0.6, "%v", half)
	assert.Equal(t, l.Level(start.Add(3*time.Second), "a"), 0.0)
}

// Guards against a single target's report that determines the level of the whole service.
func TestLevelIsMeanOfObservations(t *testing.T) {
	l := pressure.New()
	for n := range 200 {
		l.Observe(start.Add(time.Duration(n)*time.Millisecond), "a", float64(n%2))
	}
	level := l.Level(start.Add(200*time.Millisecond), "a")
	assert.Assert(t, level > 0.3 && level < 0.7, "%v", level)
}

// chain simulates requests of two kinds that make sub-calls to one leaf service. A request is served only if all its
// sub-calls are. The leaf serves a fixed number of calls in each step and rejects the others.
type chain struct {
	capacity int
	shed     bool
	levels   *pressure.Levels
}

type kind struct {
	name           string
	rank, calls    int
	value, perStep float64
}

// kinds demand 2.4 times the leaf's capacity: many requests of low value, and fewer of high value that make twice as
// many sub-calls.
var kinds = []kind{{"status", 0, 4, 1, 60}, {"plug-in", 2, 8, 3, 15}}

// run simulates a number of steps of 100 ms and returns the total value of the served requests.
func (c *chain) run(steps int, random *rand.Rand) float64 {
	value := 0.0
	for s := range steps {
		now := start.Add(time.Duration(s) * 100 * time.Millisecond)
		var calls, admitted [2]int
		var demand [2]float64
		for k, v := range kinds {
			admittedFraction := 1.0
			if c.shed {
				admittedFraction = pressure.AdmittedFraction(c.levels.Level(now, v.name), v.rank)
			}
			for range int(v.perStep) {
				if random.Float64() >= admittedFraction {
					continue
				}
				admitted[k]++
				calls[k] += v.calls
				demand[k] += float64(v.calls) / admittedFraction
			}
		}
		load := float64(calls[0]+calls[1]) / float64(c.capacity)
		level := 0.0
		if excess := demand[0] + demand[1] - 0.95*float64(c.capacity); excess > 0 {
			level = min(1, excess/demand[0])
		}
		servedFraction := min(1, 1/load)
		for k, v := range kinds {
			c.levels.Observe(now, v.name, level)
			for range admitted[k] {
				complete := true
				for range v.calls {
					complete = complete && random.Float64() < servedFraction
				}
				if complete {
					value += v.value
				}
			}
		}
	}
	return value
}

// Simulates a fan-out that loads a leaf service with 2.4 times its capacity. Without shedding at the entry node, most
// requests lose one of their sub-calls, and the work of the others is wasted. The bound is the value that an ideal
// allocation reaches, which serves high priorities first and wastes nothing, less a fifth for the time until the level
// has risen.
func TestSheddingAtEntryOfFanOut(t *testing.T) {
	const steps, capacity = 200, 150
	naive := (&chain{capacity: capacity, levels: pressure.New()}).run(steps, rand.New(rand.NewPCG(1, 2)))
	shed := (&chain{capacity: capacity, levels: pressure.New(), shed: true}).run(steps, rand.New(rand.NewPCG(1, 2)))
	best := float64(steps) * (15*3 + (capacity-15*8)/4)
	assert.Assert(t, shed > 0.8*best, "shed %v, best %v", shed, best)
	assert.Assert(t, naive < 0.2*best, "naive %v, best %v", naive, best)
}
