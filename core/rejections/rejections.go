// Package rejections recognizes callers that retry a request after it was rejected.
//
// A caller that received a retry-after value sends the same request again, with a new request id, to the same node. It
// has waited since its first attempt, so its retry goes before new requests of the same priority, and less of the time
// in which a response is most useful remains for it.
package rejections

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shards      = 16
	retention   = 8 * time.Second // longer than callers keep retrying
	maxPerShard = 1024            // requests remembered per shard
)

// Key identifies a request by the properties that its retries have in common: host, URI and the length of the body.
func Key(host, uri string, length int64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(host) // never fails
	_, _ = d.WriteString(uri)
	return d.Sum64() ^ uint64(length)
}

type shard struct {
	mu            sync.Mutex
	firstRejected map[uint64]time.Time
}

// Tracker remembers rejected requests for some seconds. Its methods are safe for concurrent use.
type Tracker struct{ shards [shards]shard }

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{} }

// Waited returns the time since the first attempt of a request, or 0 if no earlier attempt is known.
func (t *Tracker) Waited(now time.Time, key uint64) time.Duration {
	s := &t.shards[key%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	firstRejected, ok := s.firstRejected[key]
	if !ok || now.Sub(firstRejected) > retention {
		return 0
	}
	return now.Sub(firstRejected)
}

// Rejected records that a request which arrived at the given time was rejected. If a rejection of the same request is
// remembered, its time is kept.
func (t *Tracker) Rejected(arrived time.Time, key uint64) {
	s := &t.shards[key%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if firstRejected, ok := s.firstRejected[key]; ok && arrived.Sub(firstRejected) < retention {
		return
	}
	if s.firstRejected == nil || len(s.firstRejected) >= maxPerShard {
		s.evict(arrived)
	}
	s.firstRejected[key] = arrived
}

// evict removes the requests whose retention has passed, or all requests if the shard is still full then.
func (s *shard) evict(now time.Time) {
	kept := map[uint64]time.Time{}
	for k, firstRejected := range s.firstRejected {
		if now.Sub(firstRejected) < retention {
			kept[k] = firstRejected
		}
	}
	if len(kept) >= maxPerShard {
		clear(kept)
	}
	s.firstRejected = kept
}

// Served removes a request that was served.
func (t *Tracker) Served(key uint64) {
	s := &t.shards[key%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.firstRejected, key)
}
