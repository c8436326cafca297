package closing_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/closing"
)

var start = time.Unix(1000, 0)

func ExampleGate() {
	g := closing.New()
	g.Close(start.Add(2*time.Second), start.Add(5*time.Second))
	order := closing.Request{Route: "order", Limit: 4 * time.Second}
	fmt.Println(g.Accepts(start, order), g.Accepts(start.Add(1500*time.Millisecond), order))
	// Output: true false
}

// Replays a stop at which one request of each kind arrives at each tenth of the grace period and takes as long as it
// may. Guards against accepting one that may not run twice and cannot end in time, and against accepting any such
// request of a client after the notice period.
func TestRequestsThatTakeAsLongAsTheyMay(t *testing.T) {
	const grace, notice, limit = 6 * time.Second, 2500 * time.Millisecond, 5 * time.Second
	g := closing.New()
	for range 200 {
		g.Observe("r", 300*time.Millisecond)
	}
	g.Close(start.Add(notice), start.Add(grace))
	for tenth := range 10 {
		after := grace * time.Duration(tenth) / 10
		fits := after+limit <= grace
		now := start.Add(after)
		assert.Equal(t, g.Accepts(now, closing.Request{Route: "r", Limit: limit}), fits, "non-idempotent after %v", after)
		assert.Equal(t, g.Accepts(now, closing.Request{Route: "r", Limit: limit, Repeatable: true}), after <= notice, "idempotent after %v", after)
		assert.Assert(t, g.Accepts(now, closing.Request{Route: "r", Limit: limit, Repeatable: true, SubCall: true}), "call of a running request after %v", after)
		assert.Equal(t, g.Accepts(now, closing.Request{Route: "r", Limit: grace - after}), after <= notice, "limit that fits after %v", after)
		assert.Assert(t, g.Accepts(now, closing.Request{Route: "r", Limit: grace - after, SubCall: true}), "call that must not run twice after %v", after)
	}
	late := start.Add(grace - 200*time.Millisecond)
	assert.Assert(t, !g.Accepts(late, closing.Request{Route: "r", Limit: limit, Repeatable: true, SubCall: true}))
}

// Guards against accepting a repeatable request of which the usual duration is not known or too long.
func TestUsualDuration(t *testing.T) {
	g := closing.New()
	g.Close(start.Add(2*time.Second), start.Add(3*time.Second))
	request := closing.Request{Route: "r", Limit: 5 * time.Second, Repeatable: true}
	for range 15 {
		g.Observe("r", time.Millisecond)
	}
	assert.Assert(t, !g.Accepts(start, request))
	for range 200 {
		g.Observe("r", time.Millisecond)
	}
	assert.Assert(t, g.Accepts(start, request))
	for range 2 {
		g.Observe("r", 4*time.Second)
	}
	assert.Assert(t, !g.Accepts(start, request))
	for range 128 {
		g.Observe("r", time.Millisecond)
	}
	assert.Assert(t, g.Accepts(start, request), "durations of long ago must not count")
}

// Guards against refusing requests while no stop is in progress.
func TestNoStop(t *testing.T) {
	g := closing.New()
	assert.Assert(t, g.Accepts(start, closing.Request{Limit: time.Hour}))
	assert.Equal(t, g.NoticeLeft(start), time.Duration(0))
	g.Close(start.Add(time.Second), start.Add(time.Minute))
	assert.Equal(t, g.NoticeLeft(start), time.Second)
	assert.Equal(t, g.NoticeLeft(start.Add(time.Hour)), time.Duration(0))
}
