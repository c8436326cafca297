package cost_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/cost"
)

// Guards against a table that grows with the number of method names that callers use.
func TestTableIsBounded(t *testing.T) {
	c := cost.New()
	for i := range 2 * cost.MaxMethods {
		for range 20 {
			c.Observe(fmt.Sprint(i), false, time.Millisecond)
		}
	}
	assert.Equal(t, c.Mean(fmt.Sprint(2*cost.MaxMethods)), c.Mean("never called"))
}

// Guards against a method that stays classified as long after its calls have become short.
func TestLongMethodBecomesShortAgain(t *testing.T) {
	c := cost.New()
	observe := func(job time.Duration) {
		for i := range 16000 {
			c.Observe("call", false, 10*time.Millisecond)
			if i%20 == 0 {
				c.Observe("job", false, job)
			}
		}
	}
	observe(time.Second)
	assert.Assert(t, c.Long("job", false) && !c.Long("call", false))
	observe(15 * time.Millisecond)
	assert.Assert(t, !c.Long("job", false))
	assert.Assert(t, c.Long("job", true), "a method that is declared long must stay long")
}

func ExampleCost_Relative() {
	c := cost.New()
	for range 100 {
		c.Observe("read", false, 10*time.Millisecond)
		c.Observe("write", false, 30*time.Millisecond)
	}
	fmt.Printf("%.1f %.1f %.0f\n", c.Relative("read"), c.Relative("write"), c.Relative("other"))
	// Output: 0.5 1.5 1
}
