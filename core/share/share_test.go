package share_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast/core/config"
	"mustardmast/core/share"
)

// Guards against capacity that is lost or invented, an entry above its demand, and an entry that is below its share
// while it has demand.
func TestSplitIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var backers []config.Backer
		for i := range rapid.IntRange(0, 6).Draw(t, "backers") {
			backers = append(backers, config.Backer{Name: fmt.Sprint(i), SharePercent: rapid.Float64Range(0, 100).Draw(t, "share")})
		}
		s := share.New(backers)
		demand, alloc := make([]float64, s.Len()), make([]float64, s.Len())
		sum, weights := 0.0, 0.0
		for i := range demand {
			demand[i] = rapid.Float64Range(0, 100).Draw(t, "demand")
			sum += demand[i]
			weights += s.Weights()[i]
		}
		capacity := rapid.Float64Range(0, 300).Draw(t, "capacity")
		rest := s.Split(capacity, demand, alloc)
		given := 0.0
		for i, a := range alloc {
			given += a
			assert.Assert(t, a <= demand[i]+1e-6)
			assert.Assert(t, a >= min(demand[i], capacity*s.Weights()[i]/weights)-1e-6, "entry %d is below its share", i)
		}
		assert.Assert(t, given+rest > capacity-1e-6 && given+rest < capacity+1e-6)
		assert.Assert(t, rest < 1e-6 || given > sum-1e-6, "capacity is left although demand is not met")
	})
}

// Guards against invented names that hold memory or weight.
func TestUnknownNamesShareOneEntry(t *testing.T) {
	s := share.New([]config.Backer{{Name: "a", SharePercent: 50}})
	assert.Equal(t, s.Index("x"), share.Others)
	assert.Equal(t, s.Index("y"), share.Others)
	assert.Equal(t, s.Len(), 2)
}

func ExampleShare_Split() {
	s := share.New([]config.Backer{{Name: "a", SharePercent: 75}, {Name: "b", SharePercent: 25}})
	alloc := make([]float64, s.Len())
	rest := s.Split(100, []float64{0, 200, 20}, alloc)
	fmt.Println(alloc, rest)
	// Output: [0 80 20] 0
}
