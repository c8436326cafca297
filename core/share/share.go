// Package share maps backers to weights and divides a capacity between them.
//
// Only configured backers have an entry of their own. All other names share the entry at index 0, so that callers
// cannot make a node allocate state by inventing names of backers.
package share

import (
	"math"

	"mustardmast/core/config"
)

// Others is the index of the entry that all unknown names share.
const Others = 0

// othersPercent is the weight of all unknown names together. It is as large as that of one small backer, so that
// traffic without a configured backer is served but does not displace that of configured backers.
const othersPercent = 1

// Share maps backers to weights. It is immutable.
type Share struct {
	index   map[string]int
	weights []float64
}

// New returns the shares of the given backers. A share that is below minPercent or not finite counts as minPercent. If
// a name occurs more than once, its first share is used.
func New(backers []config.Backer) *Share {
	s := &Share{index: make(map[string]int, len(backers)), weights: []float64{othersPercent}}
	for _, b := range backers {
		if _, duplicate := s.index[b.Name]; duplicate {
			continue
		}
		w := b.SharePercent
		if !(w > minPercent) || math.IsInf(w, 0) {
			w = minPercent
		}
		s.index[b.Name] = len(s.weights)
		s.weights = append(s.weights, w)
	}
	return s
}

// minPercent is the smallest weight. It is above zero, so that a backer without a share can use what others leave.
const minPercent = 0.01

// Index returns the index of the entry of a backer, or Others for an unknown name.
func (s *Share) Index(backer string) int { return s.index[backer] }

// Len returns the number of entries, including Others.
func (s *Share) Len() int { return len(s.weights) }

// Weights returns the weight of each entry. The caller must not modify the slice.
func (s *Share) Weights() []float64 { return s.weights }

// Split divides a capacity between the entries by weighted max-min fairness: no entry gets more than its demand, and
// what an entry does not need is divided among the others by weight. It writes the allocation to alloc, which must be
// as long as demand, and returns the capacity that is left over.
func (s *Share) Split(capacity float64, demand, alloc []float64) float64 {
	clear(alloc)
	rest := max(capacity, 0)
	for range demand {
		var open float64
		for i, d := range demand {
			if alloc[i] < d {
				open += s.weights[i]
			}
		}
		if open <= 0 || rest <= 0 {
			break
		}
		rest = s.distribute(rest, open, demand, alloc)
	}
	return rest
}

// distribute does one round of Split: it divides rest among the entries whose demand is not met, of total weight open.
// It first satisfies the entries that need no more than their part and returns what remains. If there are none, it
// distributes everything and returns 0, which ends the division.
func (s *Share) distribute(rest, open float64, demand, alloc []float64) float64 {
	satisfied, used := false, 0.0
	for i, d := range demand {
		if need := d - alloc[i]; need > 0 && need <= rest*s.weights[i]/open {
			alloc[i] = d
			used += need
			satisfied = true
		}
	}
	if satisfied {
		return max(rest-used, 0)
	}
	for i, d := range demand {
		if alloc[i] < d {
			alloc[i] += rest * s.weights[i] / open
		}
	}
	return 0
}
