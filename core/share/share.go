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
