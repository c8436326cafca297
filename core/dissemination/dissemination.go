// Package dissemination decides how news of a configuration generation travels between nodes.
//
// A node that installs a newer generation notifies four random members at once, and each of them pulls it and does the
// same. All other datagrams carry the generation too, which reaches the nodes that no notification reached. Several
// changes in quick succession are coalesced: at most one pull is under way, it asks for the newest generation, and
// notifications are a minimum time apart and name only the newest.
//
// Disseminator keeps at most maxSources sources of the newest generation known; a source that fails is passed over.
package dissemination

import (
	"slices"
	"sync"
	"time"

	"mustardmast"
)

// Numbers and times of the protocol.
const (
	Fanout      = 4
	notifyEvery = 500 * time.Millisecond
	maxSources  = 4
	firstRetry  = 200 * time.Millisecond
	lastRetry   = time.Minute // a text that this node cannot use must not be pulled all the time
)

// Output is what an event asks the caller to do.
type Output struct {
	Pull   mustardmast.NodeID // pull from this member; 0 is nobody
	Notify int                // notify so many random members
}

// Disseminator is the state of one node. It is safe for concurrent use.
type Disseminator struct {
	mu       sync.Mutex
	have     uint64
	want     uint64
	sources  []mustardmast.NodeID
	pulling  bool
	retryAt  time.Time
	backoff  time.Duration
	notified time.Time
	due      bool
}

// New returns the state of a node without a configuration.
func New() *Disseminator { return &Disseminator{} }

// Learned takes in that a member has a generation.
func (s *Disseminator) Learned(now time.Time, generation uint64, from mustardmast.NodeID) Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case generation <= s.have || generation < s.want:
		return Output{}
	case generation > s.want:
		s.want, s.sources = generation, s.sources[:0]
		s.backoff, s.retryAt = firstRetry, time.Time{}
	}
	if len(s.sources) < maxSources && !slices.Contains(s.sources, from) {
		s.sources = append(s.sources, from)
	}
	return s.next(now)
}

// next starts a pull if one is needed, none is under way, and the time after a failure is over.
func (s *Disseminator) next(now time.Time) Output {
	if s.pulling || s.want <= s.have || len(s.sources) == 0 || now.Before(s.retryAt) {
		return Output{}
	}
	s.pulling = true
	return Output{Pull: s.sources[0]}
}

// Installed takes in that a generation is in force here, whatever its source.
func (s *Disseminator) Installed(now time.Time, generation uint64) Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation <= s.have {
		return Output{}
	}
	s.have = generation
	s.want = max(s.want, generation)
	s.due = true
	return s.notify(now)
}

func (s *Disseminator) notify(now time.Time) Output {
	if !s.due || now.Sub(s.notified) < notifyEvery {
		return Output{}
	}
	s.due, s.notified = false, now
	return Output{Notify: Fanout}
}

// Pulled ends a pull. If it did not bring the generation wanted, the source is dropped.
func (s *Disseminator) Pulled(now time.Time) Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulling = false
	if s.want <= s.have {
		s.sources = s.sources[:0]
		return Output{}
	}
	if len(s.sources) > 0 {
		s.sources = slices.Delete(s.sources, 0, 1) // datagrams from others will name new ones
	}
	s.retryAt = now.Add(s.backoff)
	s.backoff = min(2*s.backoff, lastRetry)
	return Output{}
}

// Tick starts what had to wait.
func (s *Disseminator) Tick(now time.Time) Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.next(now)
	out.Notify = s.notify(now).Notify
	return out
}
