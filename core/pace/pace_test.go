package pace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/pace"
)

var start = time.Unix(1000, 0)

func ExampleLimiter() {
	var l pace.Limiter
	l.Observe(start, 10, true)
	fmt.Println(l.Take(start), l.Wait(start, 1))
	fmt.Println(l.Take(start.Add(100 * time.Millisecond)))
	// Output:
	// false 100ms
	// true
}

// Guards against more requests in some 4 s than a target has named, with senders that try again at once or in bursts.
func TestRequestsOfAnyWindowKeepTheLimit(t *testing.T) {
	const window = 4 * time.Second
	for _, limit := range []float64{0, 0.3, 2, 7.5, 40, 900} {
		for seed := range uint64(5) {
			r := rand.New(rand.NewPCG(seed, seed))
			var l pace.Limiter
			var starts []time.Time
			allowed := 1.1*max(limit, 0.5)*window.Seconds() + 1
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Duration(r.ExpFloat64() * float64(2*time.Millisecond))) {
				if r.IntN(300) == 0 {
					now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
				}
				l.Observe(now, limit, true)
				for l.Take(now) {
					starts = append(starts, now)
				}
				n := 0
				for i := len(starts) - 1; i >= 0 && now.Sub(starts[i]) < window; i-- {
					n++
				}
				assert.Assert(t, float64(n) <= allowed, "limit %v, seed %d: %d requests in %v", limit, seed, n, window)
			}
			assert.Assert(t, float64(len(starts)) > 0.7*20*max(limit, 0.5), "limit %v, seed %d: only %d requests in 20 s", limit, seed, len(starts))
		}
	}
}

// Guards against a limit that ends because one response of many did not name it, and one that stays for good.
func TestLimitEndsWhenResponsesNoLongerNameIt(t *testing.T) {
	var l pace.Limiter
	assert.Assert(t, l.Observe(start, 20, true))
	assert.Assert(t, !l.Observe(start.Add(100*time.Millisecond), 0, false))
	assert.Assert(t, !l.Observe(start.Add(200*time.Millisecond), 20, true))
	assert.Assert(t, !l.Observe(start.Add(600*time.Millisecond), 0, false))
	_, limited := l.Limit()
	assert.Assert(t, limited)
	assert.Assert(t, l.Observe(start.Add(800*time.Millisecond), 0, false))
	for range 1000 {
		assert.Assert(t, l.Take(start))
	}
	assert.Equal(t, l.Wait(start, 5), time.Duration(0))
}
