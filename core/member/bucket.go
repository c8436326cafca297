package member

import (
	"sync"
	"time"
)

// Default limits of control traffic, sent and received together: rate in bytes per second, burst in bytes.
const (
	DefaultRate  = 5000
	DefaultBurst = 64 << 10
)

// TokenBucket limits the rate of control traffic in bytes. Traffic that cannot be deferred, such as received datagrams
// and replies, is charged unconditionally and may overdraw the bucket by one burst. Deferrable traffic is sent only if
// tokens are available. Traffic caused by other nodes therefore delays this node's own, and the total stays within the
// rate. It is safe for concurrent use.
type TokenBucket struct {
	mu    sync.Mutex
	rate  float64
	burst float64
	level float64
	last  time.Time
	spent uint64
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(now time.Time, rate, burst int) *TokenBucket {
	return &TokenBucket{rate: float64(rate), burst: float64(burst), level: float64(burst), last: now}
}

// Level returns the number of bytes available at now. It is negative if the bucket is overdrawn.
func (b *TokenBucket) Level(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return int(b.level)
}

// Spent returns the total number of bytes charged or taken.
func (b *TokenBucket) Spent() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// Charge deducts n bytes unconditionally. It overdraws the bucket by at most one burst.
func (b *TokenBucket) Charge(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.spent += uint64(n)
	b.level = max(b.level-float64(n), -b.burst)
}

// Take deducts n bytes and returns true if that many are available. Otherwise it deducts nothing and returns false.
func (b *TokenBucket) Take(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.level < float64(n) {
		return false
	}
	b.spent += uint64(n)
	b.level -= float64(n)
	return true
}

func (b *TokenBucket) refill(now time.Time) {
	if d := now.Sub(b.last); d > 0 {
		b.level = min(b.burst, b.level+d.Seconds()*b.rate)
		b.last = now
	}
}
