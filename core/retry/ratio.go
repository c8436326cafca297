package retry

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RatioSettings are the limits of a Ratio.
type RatioSettings struct {
	Percent   float64 // retries per 100 successful first attempts; default 10
	PerSecond float64 // retries allowed without any success; default 1
	Burst     float64 // most units that an edge saves up; default 100
	MaxEdges  int     // most edges with a record; default 4096
}

// DefaultRatio returns the default limits.
func DefaultRatio() RatioSettings {
	return RatioSettings{Percent: 10, PerSecond: 1, Burst: 100, MaxEdges: 4096}
}

const ratioShards = 16

// Ratio limits the retries on each edge of the call graph to a share of its successful first attempts. Over any time t
// an edge with n successful first attempts retries at most Percent/100*n + PerSecond*t + Burst times, where Burst
// holds only what the edge earned earlier.
//
// The number of edges is bounded. At the bound the edge that was idle for longest is forgotten; if it comes back it
// starts like a new one, with a single unit.
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
	units float64
	at    time.Time
}

// NewRatio returns a Ratio with these limits.
func NewRatio(s RatioSettings) *Ratio {
	r := &Ratio{settings: s}
	r.SetPercent(s.Percent)
	for i := range r.shards {
		r.shards[i].edges = map[string]*edge{}
	}
	return r
}

// SetPercent takes the percentage of a new configuration. What edges have saved up stays.
func (r *Ratio) SetPercent(p float64) { r.percent.Store(math.Float64bits(p)) }

// Succeeded counts a successful first attempt on an edge.
func (r *Ratio) Succeeded(now time.Time, name string) {
	s := r.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := r.edge(s, now, name)
	e.units = min(e.units+math.Float64frombits(r.percent.Load())/100, r.settings.Burst)
}

// Take spends one retry on an edge, and reports false if none is left.
func (r *Ratio) Take(now time.Time, name string) bool {
	s := r.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := r.edge(s, now, name)
	if e.units < 1 {
		return false
	}
	e.units--
	return true
}

// Edges returns the number of edges with a record.
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

// edge returns the record of an edge with the constant rate added up to now.
func (r *Ratio) edge(s *ratioShard, now time.Time, name string) *edge {
	e, ok := s.edges[name]
	if !ok {
		s.makeRoom(max(r.settings.MaxEdges/ratioShards, 1))
		e = &edge{units: min(1, r.settings.Burst), at: now}
		s.edges[name] = e
	}
	if d := now.Sub(e.at); d > 0 {
		e.units = min(e.units+d.Seconds()*r.settings.PerSecond, r.settings.Burst)
		e.at = now
	}
	return e
}

func (s *ratioShard) makeRoom(most int) {
	if len(s.edges) < most {
		return
	}
	var oldest string
	var at time.Time
	for n, e := range s.edges {
		if oldest == "" || e.at.Before(at) {
			oldest, at = n, e.at
		}
	}
	delete(s.edges, oldest)
}
