package call_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/call"
)

// Guards against hops that assign one request to different cohorts.
func TestCohortIsTheSameAtEveryHop(t *testing.T) {
	root := call.New(call.Spec{ID: "a1"})
	sub := call.New(call.Spec{ID: "a1/assign/record"})
	assert.Equal(t, root.Cohort(), sub.Cohort())
	assert.Equal(t, sub.Root(), "a1")
}

// Guards against a hop that changes the path of the call it received.
func TestSpecIsACopy(t *testing.T) {
	c := call.New(call.Spec{Path: []string{"a"}})
	c.Spec().Path[0] = "b"
	assert.Assert(t, c.InPath("a") && !c.InPath("b"))
}

func ExampleCall_Expired() {
	now := time.Unix(100, 0)
	c := call.New(call.Spec{Deadline: now.Add(time.Second)})
	fmt.Println(c.Expired(now), c.Expired(now.Add(time.Second)))
	// Output: false true
}
