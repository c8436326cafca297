package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Default waits of a Backoff.
const (
	DefaultBaseWait = 10 * time.Millisecond // about one service time of a short call
	DefaultMaxWait  = time.Second
)

// Backoff computes jittered exponential waits. It is safe for concurrent use.
type Backoff struct {
	base, most time.Duration
	mu         sync.Mutex
	rng        *rand.Rand
}

// NewBackoff returns a Backoff whose first wait is about base and whose longest own wait is most.
func NewBackoff(seed uint64, base, most time.Duration) *Backoff {
	return &Backoff{base: base, most: most, rng: rand.New(rand.NewPCG(seed, 0x6261636b))}
}

// Wait returns the wait before retry number n (1 for the first). The wait is drawn evenly from the upper half of the
// exponential step, so that callers that failed together do not return together. A retry-after from the refusing
// side is a lower bound: the drawn wait is added to it.
func (b *Backoff) Wait(n int, retryAfter time.Duration) time.Duration {
	step := b.base
	for i := 1; i < n && step < b.most; i++ {
		step *= 2
	}
	step = min(step, b.most)
	b.mu.Lock()
	part := b.rng.Float64()
	b.mu.Unlock()
	return max(retryAfter, 0) + step/2 + time.Duration(part*float64(step/2))
}
