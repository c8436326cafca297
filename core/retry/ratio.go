package retry

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RatioSettings holds the limits of a Ratio.
type RatioSettings struct {
	Percent   float64 // retries per 100 successful first attempts; default 10
	PerSecond float64 // retries per second allowed without any success; default 1
	Burst     float64 // maximum number of tokens that an edge accumulates; default 100
	MaxEdges  int     // maximum number of edges that are tracked; default 4096
}

// DefaultRatio returns the default limits.
func DefaultRatio() RatioSettings {
	return RatioSettings{Percent: 10, PerSecond: 1, Burst: 100, MaxEdges: 4096}
}

const ratioShards = 16

// Ratio limits the retries on each edge of the call graph to a fraction of its successful first attempts, with a token
// bucket per edge. Over any time t, an edge with n successful first attempts retries at most
// Percent/100*n + PerSecond*t + Burst times, where Burst holds only tokens that the edge accumulated earlier.
//
// The number of edges is bounded. At the bound, the edge that was idle for the longest time is evicted; if it is used
// again, it starts like a new edge, with a single token.
//
// A Ratio is safe for concurrent use.
type Ratio struct {
	percent  atomic.Uint64 // bits of a float64
	settings RatioSettings
	shards   [ratioShards]ratioShard
}

type ratioShard struct {
	mu    sync.Mutex
	edges map[string]*edge
}

type edge struct {
	tokens  float64
	updated time.Time
}

// NewRatio returns a Ratio with the given limits.
func NewRatio(s RatioSettings) *Ratio {
	r := &Ratio{settings: s}
	r.SetPercent(s.Percent)
	for i := range r.shards {
		r.shards[i].edges = map[string]*edge{}
	}
	return r
}

// SetPercent sets the percentage of a new configuration. Edges keep the tokens that they have accumulated.
func (r *Ratio) SetPercent(p float64) { r.percent.Store(math.Float64bits(p)) }

// Succeeded records a successful first attempt on an edge.
func (r *Ratio) Succeeded(now time.Time, name string) {
	s := r.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := r.edge(s, now, name)
	e.tokens = min(e.tokens+math.Float64frombits(r.percent.Load())/100, r.settings.Burst)
}

// Take takes one token for a retry on an edge. It returns false if none is left.
func (r *Ratio) Take(now time.Time, name string) bool {
	s := r.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := r.edge(s, now, name)
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// Edges returns the number of edges that are tracked.
func (r *Ratio) Edges() int {
	n := 0
	for i := range r.shards {
		r.shards[i].mu.Lock()
		n += len(r.shards[i].edges)
		r.shards[i].mu.Unlock()
	}
	return n
}

func (r *Ratio) shard(name string) *ratioShard {
	return &r.shards[xxhash.Sum64String(name)%ratioShards]
}

// edge returns the state of an edge, with the tokens of the constant rate added up to now.
func (r *Ratio) edge(s *ratioShard, now time.Time, name string) *edge {
	e, ok := s.edges[name]
	if !ok {
		s.evictOldest(max(r.settings.MaxEdges/ratioShards, 1))
		e = &edge{tokens: min(1, r.settings.Burst), updated: now}
		s.edges[name] = e
	}
	if d := now.Sub(e.updated); d > 0 {
		e.tokens = min(e.tokens+d.Seconds()*r.settings.PerSecond, r.settings.Burst)
		e.updated = now
	}
	return e
}

// evictOldest evicts the edge that was idle for the longest time if the shard is full.
func (s *ratioShard) evictOldest(maxEdges int) {
	if len(s.edges) < maxEdges {
		return
	}
	var oldest string
	var updated time.Time
	for n, e := range s.edges {
		if oldest == "" || e.updated.Before(updated) {
			oldest, updated = n, e.updated
		}
	}
	delete(s.edges, oldest)
}
