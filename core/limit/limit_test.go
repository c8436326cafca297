package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/limit"
)

// drive simulates a saturated target for some seconds. Above its true capacity, latency grows in proportion to the
// number of running calls.
func drive(l *limit.Limit, now time.Time, r *rand.Rand, capacity float64, work time.Duration, seconds int) time.Time {
	for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); {
		n := l.Value()
		congestion := max(float64(n)/capacity, 1)
		now = now.Add(time.Duration(float64(work) / float64(n) * congestion))
		own := time.Duration(float64(work) * congestion * (0.5 + 0.5*r.ExpFloat64()))
		l.Start(now, n, false)
		l.End(now, limit.Sample{Latency: own, HoldTime: own, Completed: true})
		l.Tick(now)
	}
	return now
}

// Guards against a limit that stays at the reported slots, and one that falls below the true capacity.
func TestLimitFindsTrueCapacity(t *testing.T) {
	for seed := range uint64(3) {
		l := limit.New(100)
		drive(l, time.Unix(1000, 0), rand.New(rand.NewPCG(seed, 0)), 40, 50*time.Millisecond, 20)
		assert.Assert(t, l.Value() >= 35 && l.Value() <= 75, "seed %d: limit %d for a true capacity of 40", seed, l.Value())
	}
}

// Guards against a limit that falls by chance, or permanently when the work becomes slower at any concurrency.
func TestLimitStaysWhenNotCongested(t *testing.T) {
	for seed := range uint64(3) {
		l, r := limit.New(100), rand.New(rand.NewPCG(seed, 0))
		now := drive(l, time.Unix(1000, 0), r, 1000, 50*time.Millisecond, 10)
		assert.Assert(t, l.Value() >= 90, "seed %d: limit %d", seed, l.Value())
		drive(l, now, r, 1000, 150*time.Millisecond, 40)
		assert.Assert(t, l.Value() >= 80, "seed %d: limit %d after the work became slower", seed, l.Value())
	}
}

// Guards against sending calls to a target that completes none, and against a limit that stays low afterwards.
func TestStallLowersAndRestoresLimit(t *testing.T) {
	l, r := limit.New(100), rand.New(rand.NewPCG(1, 0))
	now := drive(l, time.Unix(1000, 0), r, 1000, 50*time.Millisecond, 1)
	l.Start(now, 1, false)
	now = now.Add(time.Second)
	l.Tick(now)
	assert.Assert(t, l.Stalled() && l.Value() == 1)
	l.End(now, limit.Sample{Latency: time.Second, HoldTime: time.Second, Completed: true})
	assert.Assert(t, !l.Stalled() && l.Value() > 1)
}

func ExampleLimit() {
	l := limit.New(10)
	now := time.Unix(1000, 0)
	for range 200 { // the target rejects for lack of capacity
		l.Start(now, 10, false)
		l.End(now, limit.Sample{Rejected: true})
		now = now.Add(time.Millisecond)
		l.Tick(now)
	}
	fmt.Println(l.Value())
	// Output: 8
}
