package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Default parameters of a Backoff.
const (
	DefaultBaseWait = 10 * time.Millisecond // about the service time of one short call
	DefaultMaxWait  = time.Second
)

// Backoff computes exponential backoff with jitter. It is safe for concurrent use.
type Backoff struct {
	base, maxWait time.Duration
	mu            sync.Mutex
	rng           *rand.Rand
}

// NewBackoff returns a Backoff that starts at base, doubles with each retry and is capped at maxWait. The seed
// initializes the random source of the jitter.
func NewBackoff(seed uint64, base, maxWait time.Duration) *Backoff {
	return &Backoff{base: base, maxWait: maxWait, rng: rand.New(rand.NewPCG(seed, 0x6261636b))}
}

// Wait returns the wait before retry number n (1 for the first). The wait is drawn uniformly from the upper half of the
// exponential step, so that callers that failed at the same time do not retry at the same time. A retry-after value of
// the rejecting side is a lower bound: the drawn wait is added to it.
func (b *Backoff) Wait(n int, retryAfter time.Duration) time.Duration {
	step := b.base
	for i := 1; i < n && step < b.maxWait; i++ {
		step *= 2
	}
	step = min(step, b.maxWait)
	b.mu.Lock()
	jitter := b.rng.Float64()
	b.mu.Unlock()
	return max(retryAfter, 0) + step/2 + time.Duration(jitter*float64(step/2))
}
