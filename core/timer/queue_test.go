package timer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/timer"
)

// Guards against running a periodic callback many times when a paused process resumes.
func TestLatePeriodicTimerRunsOnce(t *testing.T) {
	var q timer.Queue
	start := time.Unix(0, 0)
	runs := 0
	q.Add(start.Add(time.Second), time.Second, func(time.Time) { runs++ })
	q.Advance(start.Add(time.Minute))
	assert.Equal(t, runs, 1)
	next, ok := q.Next()
	assert.Assert(t, ok)
	assert.Assert(t, next.Equal(start.Add(time.Minute+time.Second)))
}

// Guards against running a canceled callback.
func TestCanceledTimerDoesNotRun(t *testing.T) {
	var q timer.Queue
	cancel := q.Add(time.Unix(1, 0), 0, func(time.Time) { t.Error("canceled callback ran") })
	cancel()
	q.Advance(time.Unix(2, 0))
	_, ok := q.Next()
	assert.Assert(t, !ok)
}

func ExampleQueue() {
	var q timer.Queue
	q.Add(time.Unix(2, 0), 0, func(time.Time) { fmt.Println("second") })
	q.Add(time.Unix(1, 0), 0, func(time.Time) { fmt.Println("first") })
	q.Advance(time.Unix(3, 0))
	// Output:
	// first
	// second
}
