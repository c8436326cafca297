// Package share knows the backers and their weights, and splits a capacity between them.
//
// Only configured backers have an entry of their own. Every other name, also an invented one, uses the one entry at
// index 0, so that callers cannot make a node hold state by naming backers.
package share

import (
	"math"

	"mustardmast/core/config"
)

// Others is the index of the entry that all unknown names share.
const Others = 0

// othersPercent is the weight of all unknown names together. It is what one small backer would have, so that traffic
// without a backer is served, but does not displace a configured one.
const othersPercent = 1

// Share maps backers to weights. It is immutable.
type Share struct {
	index   map[string]int
	weights []float64
}

// New returns the shares of these backers. A share that is not a positive number counts as the smallest one.
func New(backers []config.Backer) *Share {
	s := &Share{index: make(map[string]int, len(backers)), weights: []float64{othersPercent}}
	for _, b := range backers {
		if _, twice := s.index[b.Name]; twice {
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

// minPercent keeps the weight of a backer without a share above zero, so that it can use what others leave.
const minPercent = 0.01

// Index returns the entry of a backer, Others for an unknown name.
func (s *Share) Index(backer string) int { return s.index[backer] }

// Len returns the number of entries, Others included.
func (s *Share) Len() int { return len(s.weights) }

// Weights returns the weight of each entry. The slice must not be changed.
func (s *Share) Weights() []float64 { return s.weights }

// Split divides a capacity between entries by weighted max-min: nobody gets more than its demand, and what somebody
// leaves is divided among the others by weight. It writes the result to alloc, which is as long as demand, and returns
// what is left over.
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
		rest = s.round(rest, open, demand, alloc)
	}
	return rest
}

// round gives every open entry its part of rest, and returns what entries did not need. When no entry is satisfied,
// everything is given away and the division is complete.
func (s *Share) round(rest, open float64, demand, alloc []float64) float64 {
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
