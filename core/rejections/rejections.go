// Package rejections recognises callers that come back after they were turned away.
//
// A caller that was told when to return sends the same request again, under a new id, to the same node. It has waited
// since its first attempt, so it goes before callers of the same importance that have just arrived, and less of the time
// in which an answer is worth most is left to it.
package rejections

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shards  = 16
	horizon = 8 * time.Second // longer than callers wait in all
	most    = 1024            // requests that a shard remembers
)

// Key identifies a request by what stays the same when it comes again.
func Key(host, uri string, length int64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(host) // a hash never fails
	_, _ = d.WriteString(uri)
	return d.Sum64() ^ uint64(length)
}

type shard struct {
	mu    sync.Mutex
	since map[uint64]time.Time
}

// Tracker remembers requests that were turned away. Its methods may be called concurrently.
type Tracker struct{ shards [shards]shard }

// New returns a tracker of callers of whom none was turned away.
func New() *Tracker { return &Tracker{} }

// Waited returns how long the caller of a request has waited since its first attempt, 0 if this is the first one.
func (c *Tracker) Waited(now time.Time, key uint64) time.Duration {
	s := &c.shards[key%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.since[key]
	if !ok || now.Sub(since) > horizon {
		return 0
	}
	return now.Sub(since)
}

// Rejected remembers a request that arrived at this time and was turned away.
func (c *Tracker) Rejected(arrived time.Time, key uint64) {
	s := &c.shards[key%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if since, ok := s.since[key]; ok && arrived.Sub(since) < horizon {
		return
	}
	if s.since == nil || len(s.since) >= most {
		s.forget(arrived)
	}
	s.since[key] = arrived
}

// forget drops the requests that are too old to come back, or all if none is.
func (s *shard) forget(now time.Time) {
	kept := map[uint64]time.Time{}
	for k, since := range s.since {
		if now.Sub(since) < horizon {
			kept[k] = since
		}
	}
	if len(kept) >= most {
		clear(kept)
	}
	s.since = kept
}

// Served forgets a request.
func (c *Tracker) Served(key uint64) {
	s := &c.shards[key%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.since, key)
}
