package pressure_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/pressure"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against more important requests shed while less important ones are let through, and against a kind of request
// of which nothing is let through, so that its demand is no longer known.
func TestTheLeastImportantGoFirst(t *testing.T) {
	for _, c := range []struct {
		level float64
		rank  int
		want  float64
	}{{0, 0, 1}, {0.25, 0, 0.75}, {0.25, 1, 1}, {1, 0, 0.03}, {1, 1, 1}, {1.5, 1, 0.5}, {1.5, 2, 1}, {9, 2, 0.03}} {
		assert.Equal(t, pressure.AdmittedFraction(c.level, c.rank), c.want, "%+v", c)
	}
}

// Guards against a route that stays shed because no request is left that could bring news of the level.
func TestALevelWithoutNewsFades(t *testing.T) {
	l := pressure.New()
	l.Observe(start, "a", 1)
	assert.Equal(t, l.Level(start.Add(500*time.Millisecond), "a"), 1.0)
	half := l.Level(start.Add(1450*time.Millisecond), "a")
	assert.Assert(t, half > 0.4 && half < 0.6, "%v", half)
	assert.Equal(t, l.Level(start.Add(3*time.Second), "a"), 0.0)
}

// Guards against one target's report standing for the whole service.
func TestALevelIsAMeanOverAnswers(t *testing.T) {
	l := pressure.New()
	for n := range 200 {
		l.Observe(start.Add(time.Duration(n)*time.Millisecond), "a", float64(n%2))
	}
	level := l.Level(start.Add(200*time.Millisecond), "a")
	assert.Assert(t, level > 0.3 && level < 0.7, "%v", level)
}

// chain is a load pattern: requests of two kinds that make calls to one leaf. A request is served only if all its calls
// are. The leaf serves a fixed number of calls in each step and turns the others away.
type chain struct {
	capacity int
	shed     bool
	levels   *pressure.Levels
}

type kind struct {
	name           string
	rank, calls    int
	worth, perStep float64
}

// Demand is 2.4 times the leaf's capacity: many requests of little worth, and fewer of great worth that use twice as
// many calls.
var kinds = []kind{{"status", 0, 4, 1, 60}, {"plug-in", 2, 8, 3, 15}}

// run replays a number of steps of 100 ms and returns the worth that was served.
func (c *chain) run(steps int, random *rand.Rand) float64 {
	worth := 0.0
	for s := range steps {
		now := start.Add(time.Duration(s) * 100 * time.Millisecond)
		var calls, admitted [2]int
		var demand [2]float64
		for k, v := range kinds {
			kept := 1.0
			if c.shed {
				kept = pressure.AdmittedFraction(c.levels.Level(now, v.name), v.rank)
			}
			for range int(v.perStep) {
				if random.Float64() >= kept {
					continue
				}
				admitted[k]++
				calls[k] += v.calls
				demand[k] += float64(v.calls) / kept
			}
		}
		load := float64(calls[0]+calls[1]) / float64(c.capacity)
		level := 0.0
		if excess := demand[0] + demand[1] - 0.95*float64(c.capacity); excess > 0 {
			level = min(1, excess/demand[0])
		}
		through := min(1, 1/load)
		for k, v := range kinds {
			c.levels.Observe(now, v.name, level)
			for range admitted[k] {
				whole := true
				for range v.calls {
					whole = whole && random.Float64() < through
				}
				if whole {
					worth += v.worth
				}
			}
		}
	}
	return worth
}

// Replays a leaf that a fan-out saturates at 2.4 times its capacity. Without shedding at the entry most requests lose
// one of their calls, and the work of the others is wasted. The bound is what an allocation that serves the important
// requests first and wastes nothing would reach, less a fifth for the time until the level has risen.
func TestSheddingAtTheEntryOfAFanOut(t *testing.T) {
	const steps, capacity = 200, 150
	naive := (&chain{capacity: capacity, levels: pressure.New()}).run(steps, rand.New(rand.NewPCG(1, 2)))
	shed := (&chain{capacity: capacity, levels: pressure.New(), shed: true}).run(steps, rand.New(rand.NewPCG(1, 2)))
	best := float64(steps) * (15*3 + (capacity-15*8)/4)
	assert.Assert(t, shed > 0.8*best, "shed %v, best %v", shed, best)
	assert.Assert(t, naive < 0.2*best, "naive %v, best %v", naive, best)
}
