// Package trace records the steps of recent requests, so that operators can look up how a node handled a request.
//
// The memory is bounded: each shard holds its most recent requests and evicts the oldest, and of each request only the
// first steps are kept. The steps of sub-calls are recorded under the ID of the root request, so that the whole chain
// can be read under one ID.
package trace

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a Recorder. 4,096 requests with a few steps each take about 2 MB and cover one minute at 60 requests per
// second.
const (
	MaxRequests = 4096
	MaxSteps    = 24
	shards      = 16
)

// Step is an event in the handling of a request at this node.
type Step struct {
	At     time.Time
	Event  string
	Detail string
}

// Recorder holds the steps of recent requests. It is safe for concurrent use.
type Recorder struct {
	shards [shards]shard
}

type shard struct {
	mu    sync.Mutex
	steps map[string][]Step
	order []string // ring buffer of request IDs, the oldest at next
	next  int
}

// New returns an empty Recorder.
func New() *Recorder {
	r := &Recorder{}
	for i := range r.shards {
		r.shards[i].steps = map[string][]Step{}
		r.shards[i].order = make([]string, MaxRequests/shards)
	}
	return r
}

// Record adds a step to the request with the given ID. It drops steps beyond MaxSteps. The steps of a sub-call are added
// to its root, with the rest of the sub-call's ID prepended to detail.
func (r *Recorder) Record(now time.Time, id, event, detail string) {
	root, _, _ := strings.Cut(id, "/")
	if root != id {
		detail = strings.TrimSuffix(id[len(root):]+" "+detail, " ")
	}
	s := &r.shards[xxhash.Sum64String(root)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.steps[root]
	if !ok {
		s.replaceOldest(root)
	}
	if len(old) < MaxSteps {
		s.steps[root] = append(old, Step{At: now, Event: event, Detail: detail})
	}
}

// replaceOldest evicts the oldest request in favor of a new one.
func (s *shard) replaceOldest(id string) {
	delete(s.steps, s.order[s.next])
	s.order[s.next] = id
	s.next = (s.next + 1) % len(s.order)
}

// Steps returns the recorded steps of the root request of id, including those of all its sub-calls.
func (r *Recorder) Steps(id string) []Step {
	root, _, _ := strings.Cut(id, "/")
	s := &r.shards[xxhash.Sum64String(root)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Step(nil), s.steps[root]...)
}
