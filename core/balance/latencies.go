package balance

import (
	"math"
	"math/bits"
	"time"
)

const (
	latencyBuckets = 96   // four per doubling from 16 us, so up to 270 s
	latencyUnit    = 14   // 2^14 ns is the lower end
	latencyMost    = 4096 // samples after which all counts are halved
)

// latencies is a histogram of the latencies of a service's short calls that forgets: counts are halved from time to
// time.
type latencies struct {
	counts [latencyBuckets]uint32
	total  uint32
}

func (l *latencies) add(d time.Duration) {
	l.counts[latencyBucket(d)]++
	if l.total++; l.total >= latencyMost {
		l.halve()
	}
}

func (l *latencies) halve() {
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// quantile returns the upper end of the bucket in which the quantile q lies.
func (l *latencies) quantile(q float64) time.Duration {
	left := int64(math.Ceil(q * float64(l.total)))
	for i, n := range l.counts {
		if left -= int64(n); left <= 0 {
			return bucketEnd(i)
		}
	}
	return bucketEnd(latencyBuckets - 1)
}

// latencyBucket returns the bucket by the position of the highest bit and the two bits below it.
func latencyBucket(d time.Duration) int {
	if d < 1<<latencyUnit {
		return 0
	}
	top := bits.Len64(uint64(d)) - 1
	b := (top-latencyUnit)*4 + int(uint64(d)>>(top-2)&3)
	return min(b, latencyBuckets-1)
}

func bucketEnd(b int) time.Duration {
	return time.Duration(5+b%4) << (latencyUnit + b/4 - 2)
}
