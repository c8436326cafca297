package member

import (
	"sync"
	"time"
)

// Rate and burst of control traffic, in bytes. Both directions count.
const (
	DefaultRate  = 5000
	DefaultBurst = 64 << 10
)

// TokenBucket is the token bucket for control bytes. What a node must answer is charged and may overdraw it by one burst;
// what can wait asks first. So traffic that other nodes cause slows this node's own, and the sum keeps to the rate.
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

// Level returns how many bytes may be spent, negative if overdrawn.
func (b *TokenBucket) Level(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return int(b.level)
}

// Spent returns all bytes charged so far.
func (b *TokenBucket) Spent() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// Charge counts bytes that were sent or received in any case.
func (b *TokenBucket) Charge(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.spent += uint64(n)
	b.level = max(b.level-float64(n), -b.burst)
}

// Take charges n bytes if the bucket holds them.
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
