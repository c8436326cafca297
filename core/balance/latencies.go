package balance

import (
	"math"
	"math/bits"
	"time"
)

const (
	latencyBuckets    = 96   // four per doubling from 16 us, so up to 270 s
	minLatencyBits    = 14   // 2^14 ns is the lower end of the range
	maxLatencySamples = 4096 // samples after which all counts are halved
)

// latencyHistogram is a histogram of the latencies of a service's short calls. All counts are halved after
// maxLatencySamples, so that old samples lose weight.
type latencyHistogram struct {
	counts [latencyBuckets]uint32
	total  uint32
}

func (l *latencyHistogram) add(d time.Duration) {
	l.counts[latencyBucket(d)]++
	if l.total++; l.total >= maxLatencySamples {
		l.halve()
	}
}

func (l *latencyHistogram) halve() {
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// quantile returns the upper bound of the bucket that contains the quantile q.
func (l *latencyHistogram) quantile(q float64) time.Duration {
	remaining := int64(math.Ceil(q * float64(l.total)))
	for i, n := range l.counts {
		if remaining -= int64(n); remaining <= 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(latencyBuckets - 1)
}

// latencyBucket returns the bucket for d, given by the position of its highest bit and the two bits below it.
func latencyBucket(d time.Duration) int {
	if d < 1<<minLatencyBits {
		return 0
	}
	top := bits.Len64(uint64(d)) - 1
	b := (top-minLatencyBits)*4 + int(uint64(d)>>(top-2)&3)
	return min(b, latencyBuckets-1)
}

func bucketUpperBound(b int) time.Duration {
	return time.Duration(5+b%4) << (minLatencyBits + b/4 - 2)
}
