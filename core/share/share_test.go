package share_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mustardmast/core/config"
	"mustardmast/core/share"
)

// Guards against an allocation whose sum differs from the capacity, an entry that gets more than its demand, and an
// entry that gets less than its share although its demand is not met.
func TestSplitIsMaxMinFair(t *testing.T) {
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
		allocated := 0.0
		for i, a := range alloc {
			allocated += a
			assert.Assert(t, a <= demand[i]+1e-6)
			assert.Assert(t, a >= min(demand[i], capacity*s.Weights()[i]/weights)-1e-6, "entry %d gets less than its share", i)
		}
		assert.Assert(t, allocated+rest > capacity-1e-6 && allocated+rest < capacity+1e-6)
		assert.Assert(t, rest < 1e-6 || allocated > sum-1e-6, "capacity is left over although demand is not met")
	})
}

// Guards against unknown names that take up memory or weight of their own.
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
