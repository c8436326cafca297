package trace_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/trace"
)

// Guards against unbounded growth with the number of requests or steps.
func TestMemoryIsBounded(t *testing.T) {
	tr := trace.New()
	for i := range 10 * trace.MaxRequests {
		tr.Record(time.Unix(0, 0), strconv.Itoa(i), "entered", "")
	}
	held := 0
	for i := range 10 * trace.MaxRequests {
		held += len(tr.Steps(strconv.Itoa(i)))
	}
	assert.Assert(t, held <= trace.MaxRequests, "%d steps held", held)
	for range 100 {
		tr.Record(time.Unix(0, 0), "x", "sent", "")
	}
	assert.Equal(t, len(tr.Steps("x")), trace.MaxSteps)
}

func ExampleRecorder() {
	tr := trace.New()
	tr.Record(time.Unix(1, 0), "a1", "entered", "socket-board/assign")
	tr.Record(time.Unix(2, 0), "a1/record", "sent", "to host-7")
	for _, s := range tr.Steps("a1") {
		fmt.Println(s.At.Unix(), s.Event, s.Detail)
	}
	// Output:
	// 1 entered socket-board/assign
	// 2 sent /record to host-7
}
