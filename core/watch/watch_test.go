package watch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/watch"
)

// Simulates fleets whose watches all start at the same moment, as they do after a change, and start again whenever they
// end. Guards against a time in which no watch of the fleet ends, and against more calls to the store than before.
func TestSomeWatchEndsSoonAfterAllHaveStarted(t *testing.T) {
	const span, longestGap = 60 * time.Second, 2500 * time.Millisecond
	for _, hosts := range []int{16, 17, 65, 90, 300} {
		for seed := range uint64(20) {
			waits := watch.New(rand.New(rand.NewPCG(seed, seed)))
			var ends []time.Duration
			for range hosts {
				for at := waits.Next(hosts); at < span; at += waits.Next(hosts) {
					ends = append(ends, at)
				}
			}
			slices.Sort(ends)
			last := time.Duration(0)
			for _, at := range append(ends, span) {
				assert.Assert(t, at-last < longestGap, "%d hosts, seed %d: no watch ended between %v and %v", hosts, seed, last, at)
				last = at
			}
			perSecond := float64(len(ends)) / span.Seconds()
			assert.Assert(t, perSecond < max(5.5, float64(hosts)/15), "%d hosts: %.1f calls a second", hosts, perSecond)
		}
	}
}

// Guards against waits that the store does not accept, and against calls without a pause in a small fleet.
func TestBoundsOfWaits(t *testing.T) {
	waits := watch.New(rand.New(rand.NewPCG(1, 1)))
	for _, hosts := range []int{0, 1, 3, 90, 3800} {
		total := time.Duration(0)
		for range 1000 {
			w := waits.Next(hosts)
			assert.Assert(t, w >= 100*time.Millisecond && w <= 30*time.Second, "%v", w)
			total += w
		}
		assert.Assert(t, total/1000 > 1800*time.Millisecond, "%d hosts: mean of %v", hosts, total/1000)
	}
}
