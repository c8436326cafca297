package shed_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/share"
	"mustardmast/core/shed"
)

var backers = share.New([]config.Backer{{Name: "a", SharePercent: 50}, {Name: "b", SharePercent: 50}})

// Guards against admitting a priority while a higher one of the same backer is shed, and against a level above the full
// level.
func TestLevelIsMonotonicInPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := shed.New(backers)
		for range rapid.IntRange(1, 60).Draw(t, "windows") {
			for range rapid.IntRange(0, 60).Draw(t, "arrivals") {
				p, b := call.Priority(rapid.IntRange(0, 3).Draw(t, "p")), rapid.IntRange(0, 2).Draw(t, "b")
				d.RecordArrival(p, b, rapid.IntRange(0, 63).Draw(t, "cohort"), uint32(rapid.IntRange(0, 20).Draw(t, "withheld")))
				d.RecordCompletion(p, b, time.Duration(rapid.IntRange(1, 400).Draw(t, "held"))*time.Millisecond)
			}
			d.Advance(shed.State{
				Elapsed: shed.Window, Limit: 10, InUse: rapid.Float64Range(0, 10).Draw(t, "busy"),
				RejectedFraction: rapid.Float64Range(0, 1).Draw(t, "refused"), QueueEmptied: rapid.Bool().Draw(t, "empty"),
			})
			for b := range backers.Len() {
				for p := call.Critical; p <= call.Low; p++ {
					assert.Assert(t, d.Level(p, b) <= mustardmast.FullLevel)
					if p > 0 && d.Level(p, b) > 0 {
						assert.Equal(t, d.Level(p-1, b), mustardmast.FullLevel)
					}
				}
			}
		}
	})
}

// feed simulates a target with ten slots and calls of 100 ms, a capacity of 100 calls per second, for some windows.
// Requests of each kind have uniformly distributed cohorts and the given rate per second; those above the level are
// withheld by the sender, except one per window.
func feed(d *shed.Shedder, windows int, rates map[call.Priority][2]int) {
	var withheld [call.NumPriorities][2]uint32
	for w := range windows {
		busy := 0.0
		for p := call.Critical; p <= call.Low; p++ {
			for b, rate := range rates[p] {
				n := rate / 10
				for i := range n {
					cohort := (i*64/n + w*13) % 64
					if admitted := cohort < int(d.Level(p, b+1)); admitted || i == 0 {
						d.RecordArrival(p, b+1, cohort, withheld[p][b])
						withheld[p][b] = 0
						if admitted {
							d.RecordCompletion(p, b+1, 100*time.Millisecond)
							busy++
						}
					} else {
						withheld[p][b]++
					}
				}
			}
		}
		d.Advance(shed.State{Elapsed: shed.Window, Limit: 10, InUse: min(busy, 10), QueueEmptied: busy < 10, RejectedFraction: max(busy-10, 0) / max(busy, 1)})
	}
}

// Guards against a surge of one backer that takes capacity from the share of another, and a surge of low priority that
// takes capacity from higher ones.
func TestSurgeDoesNotAffectOthers(t *testing.T) {
	d := shed.New(backers)
	feed(d, 100, map[call.Priority][2]int{call.Critical: {20, 20}, call.Normal: {300, 20}, call.Low: {100, 100}})
	for b := 1; b <= 2; b++ {
		assert.Equal(t, d.Level(call.Critical, b), mustardmast.FullLevel)
		assert.Equal(t, d.Level(call.Low, 1), mustardmast.Level(0))
	}
	assert.Equal(t, d.Level(call.Normal, 2), mustardmast.FullLevel)
	l := d.Level(call.Normal, 1)
	assert.Assert(t, l >= 3 && l <= 24, "level %d; level 8 would use the remaining 40 requests per second", l)
}

// Guards against levels that stay low after a surge.
func TestLevelsRecover(t *testing.T) {
	d := shed.New(backers)
	feed(d, 50, map[call.Priority][2]int{call.Normal: {300, 300}})
	assert.Assert(t, d.Level(call.Normal, 1) < 40)
	feed(d, 40, map[call.Priority][2]int{call.Normal: {20, 20}})
	assert.Equal(t, d.Level(call.Normal, 1), mustardmast.FullLevel)
}

// Guards against a share that stays idle although another backer could use it, and one that is not reclaimed within a
// second.
func TestUnusedShareIsBorrowedAndReclaimed(t *testing.T) {
	d := shed.New(backers)
	feed(d, 100, map[call.Priority][2]int{call.Normal: {300, 0}})
	borrowed := d.Level(call.Normal, 1)
	assert.Assert(t, borrowed >= 17, "level %d; level 21 would use 100 requests per second", borrowed)
	feed(d, 10, map[call.Priority][2]int{call.Normal: {300, 50}})
	assert.Equal(t, d.Level(call.Normal, 2), mustardmast.FullLevel)
	kept := d.Level(call.Normal, 1)
	assert.Assert(t, kept <= 16, "level %d after a second; level 10 would leave the other backer its share", kept)
	feed(d, 10, map[call.Priority][2]int{call.Normal: {300, 50}})
	kept = d.Level(call.Normal, 1)
	// Level 10 plus two steps of hysteresis and two for the gain, which grew while the level was rounded down.
	assert.Assert(t, kept <= 14, "level %d after two seconds", kept)
}

func ExampleShedder() {
	d := shed.New(backers)
	feed(d, 100, map[call.Priority][2]int{call.High: {60, 20}, call.Low: {600, 0}})
	fmt.Println(d.Level(call.High, 1), d.Level(call.High, 2), d.Level(call.Low, 1) < 10)
	// Output: 64 64 true
}
