package retrybudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/retrybudget"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	spec  = retrybudget.Spec{Ratio: 0.2, Slack: 49, Window: 10 * time.Second}
)

// Simulates 16 nodes that lose every response for 30 s. Guards against more retries than the limit for all nodes
// together in any window of 10 s.
func TestAllNodesTogetherStayWithinLimit(t *testing.T) {
	const nodes, perNode, seconds = 16, 40, 30
	var budgets []*retrybudget.Budget
	for range nodes {
		budgets = append(budgets, retrybudget.New(spec))
	}
	var first, retries [seconds * 10]int
	for tick := range first {
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		for _, b := range budgets {
			for range perNode / 10 {
				b.RecordRequest(now, "watch")
				first[tick]++
				for b.Take(now, "watch", nodes, retrybudget.Retry{}) {
					retries[tick]++
				}
			}
		}
	}
	total := 0
	for from := 0; from+100 <= len(first); from++ {
		f, r := 0, 0
		for i := from; i < from+100; i++ {
			f, r = f+first[i], r+retries[i]
		}
		assert.Assert(t, float64(r) <= 0.2*float64(f)+49, "window at %d: %d retries for %d first attempts", from, r, f)
		total = max(total, r)
	}
	assert.Assert(t, total > 300, "at most %d retries in a window", total)
}

// Guards against calls of retried requests that do not count as retries of the window.
func TestCallsOfRetriedRequestsCount(t *testing.T) {
	b := retrybudget.New(spec)
	for range 100 {
		b.RecordRequest(start, "watch")
	}
	assert.Assert(t, b.Take(start, "watch", 16, retrybudget.Retry{}))
	for range 30 {
		b.RecordRetry(start, "watch")
	}
	assert.Assert(t, !b.Take(start, "watch", 16, retrybudget.Retry{}))
	assert.Assert(t, b.Take(start, "ledger", 16, retrybudget.Retry{}), "one node's share of the slack allows one retry")
	assert.Assert(t, !b.Take(start, "ledger", 16, retrybudget.Retry{}), "no first attempts allow more retries")
	assert.Assert(t, b.Take(start.Add(12*time.Second), "ledger", 16, retrybudget.Retry{}), "the window has passed")
}

// load describes requests of one kind that make sequential calls to a service.
type load struct {
	perSecond, calls, priority, value int
}

// serve simulates loads on a service that rejects 0.55 of its calls for 20 s, and returns the fraction of the requests
// of each load that is served. A request ends with its first failed call.
func serve(loads []load, newRetry func(priority int, id string, askedBefore bool) retrybudget.Retry) (fractions []float64, within bool) {
	const seconds, step, rejectedFraction, maxAttempts = 20, 10, 0.55, 8
	type running struct {
		load, done int
		id         string
	}
	random := rand.New(rand.NewPCG(5, 5))
	b := retrybudget.New(spec)
	served, due := make([]float64, len(loads)), make([]float64, len(loads))
	var active []running
	var first, retries [seconds * 1000 / step]float64
	for tick := range first {
		now := start.Add(time.Duration(tick*step) * time.Millisecond)
		for l, v := range loads {
			for due[l] += float64(v.perSecond*step) / 1000; due[l] >= 1; due[l]-- {
				active = append(active, running{load: l, id: fmt.Sprintf("%d-%d-%d", l, tick, int(due[l]))})
			}
		}
		next := active[:0]
		for _, r := range active {
			v := loads[r.load]
			id := r.id
			if v.calls > 1 {
				id = fmt.Sprintf("%s.%d", r.id, r.done)
			}
			first[tick]++
			b.RecordRequest(now, "watch")
			ok := random.Float64() >= rejectedFraction
			for o := 1; !ok && o < maxAttempts && b.Take(now, "watch", 1, newRetry(v.priority, id, o > 1)); o++ {
				retries[tick]++
				ok = random.Float64() >= rejectedFraction
			}
			if r.done++; ok && r.done == v.calls {
				served[r.load]++
			} else if ok {
				next = append(next, r)
			}
		}
		active = next
	}
	for l, v := range loads {
		fractions = append(fractions, served[l]/float64(v.perSecond*seconds))
	}
	return fractions, inWindows(first[:], retries[:], 10*1000/step)
}

// inWindows reports whether the retries are within the limit in each window.
func inWindows(first, retries []float64, window int) bool {
	for from := 0; from+window <= len(first); from++ {
		f, r := 0.0, 0.0
		for i := from; i < from+window; i++ {
			f, r = f+first[i], r+retries[i]
		}
		if r > spec.Ratio*f+spec.Slack {
			return false
		}
	}
	return true
}

// equalPositions gives all requests the same position.
func equalPositions(int, string, bool) retrybudget.Retry { return retrybudget.Retry{} }

// Simulates a leaf service that rejects 0.55 of its calls: requests that callers send to it directly, requests of high
// priority that need eight calls, and requests of low priority that need four. Guards against retries that are spent on
// requests which fail later anyway, and against too few retries for callers' direct requests, which one retry
// completes.
func TestRetriesCompleteRequests(t *testing.T) {
	loads := []load{{90, 1, 1, 2}, {200, 8, 0, 3}, {300, 4, 2, 1}}
	fractions, within := serve(loads, retrybudget.NewRetry)
	naive, _ := serve(loads, equalPositions)
	t.Logf("served %.3f, with equal positions %.3f", fractions, naive)
	assert.Assert(t, within, "more retries than the limit")
	assert.Assert(t, fractions[0] > 0.95, "served %.3f", fractions)
	// The limit allows 0.2 retries for each of some 1,000 first attempts per second, of which callers' requests use
	// 110. The rest would complete 9 of the 200 requests at 9.8 retries each. A third of that is required.
	assert.Assert(t, fractions[1] > 9.0/200/3, "served %.3f", fractions)
	value := func(fractions []float64) (w float64) {
		for l, v := range loads {
			w += fractions[l] * float64(v.perSecond*v.value)
		}
		return w
	}
	assert.Assert(t, value(fractions) > 1.2*value(naive), "value %.3f, with equal positions %.3f", value(fractions), value(naive))
}

// Simulates a fan-out of five calls to a service that rejects 0.55 of its calls, with more retries requested than
// allowed. A request is served only if all of its calls are. Guards against retries spread over all requests, which
// serve almost none, and against denying retries to high priorities while lower ones get them.
func TestRetriesAreConcentratedOnFewRequests(t *testing.T) {
	const calls, perTick, seconds, rejectedFraction, maxAttempts = 5, 40, 20, 0.55, 5
	serve := func(newRetry func(priority int, id string, askedBefore bool) retrybudget.Retry) map[int]int {
		random := rand.New(rand.NewPCG(5, 5))
		b := retrybudget.New(spec)
		served := map[int]int{}
		for tick := range seconds * 100 {
			now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
			for n := range perTick / calls {
				id, priority := fmt.Sprintf("%d-%d", tick, n), n%4/3*2
				complete := true
				for c := range calls {
					b.RecordRequest(now, "watch")
					ok := random.Float64() >= rejectedFraction
					for o := 1; !ok && o < maxAttempts; o++ {
						if !b.Take(now, "watch", 1, newRetry(priority, fmt.Sprintf("%s.%d", id, c), o > 1)) {
							break
						}
						ok = random.Float64() >= rejectedFraction
					}
					complete = complete && ok
				}
				if complete {
					served[priority]++
				}
			}
		}
		return served
	}
	concentrated := serve(retrybudget.NewRetry)
	equalPositions := serve(equalPositions)
	// A request needs 5.6 retries to be served in 77 of 100 cases and contributes 0.65 to the budget, so an ideal
	// allocation serves one request in eleven.
	requests := perTick / calls * seconds * 100
	t.Logf("served by priority %v, with equal positions %v, of %d", concentrated, equalPositions, requests)
	assert.Assert(t, concentrated[0]+concentrated[2] > requests/11*8/10, "served %v of %d", concentrated, requests)
	assert.Assert(t, concentrated[0] > 2*equalPositions[0], "served %v, with equal positions %v", concentrated, equalPositions)
	assert.Assert(t, concentrated[0] > 3*concentrated[2], "served %v", concentrated)
}
