// Package dissemination decides how a new configuration generation is disseminated to all nodes.
//
// A node that installs a newer generation notifies four random members at once, and each of them pulls it and does the
// same. All other datagrams carry the generation too, which reaches the nodes that no notification reached. Changes in
// quick succession are coalesced: at most one pull is in progress, it requests the newest generation, and notifications
// are rate-limited and name only the newest generation.
//
// A Disseminator keeps at most maxSources sources of the newest known generation. A source that fails is dropped.
package dissemination

import (
	"slices"
	"sync"
	"time"

	"mustardmast"
)

// Parameters of the protocol.
const (
	Fanout         = 4
	notifyInterval = 500 * time.Millisecond
	maxSources     = 4
	minBackoff     = 200 * time.Millisecond
	maxBackoff     = time.Minute // bounds the load of a node that cannot use a text and pulls it again and again
)

// Output is what an event requires the caller to do.
type Output struct {
	Pull   mustardmast.NodeID // member to pull the configuration from; 0 for none
	Notify int                // number of random members to notify
}

// Disseminator is the dissemination state of one node. It is safe for concurrent use.
type Disseminator struct {
	mu            sync.Mutex
	installed     uint64
	newest        uint64 // generation known, installed or not
	sources       []mustardmast.NodeID
	pulling       bool
	retryAt       time.Time // end of the backoff after a failed pull
	backoff       time.Duration
	notifiedAt    time.Time
	notifyPending bool // the notification of the installed generation is delayed by notifyInterval
}

// New returns the state of a node without a configuration.
func New() *Disseminator { return &Disseminator{} }

// Learned records that the member from has a generation.
func (s *Disseminator) Learned(now time.Time, generation uint64, from mustardmast.NodeID) Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case generation <= s.installed || generation < s.newest:
		return Output{}
	case generation > s.newest:
		s.newest, s.sources = generation, s.sources[:0]
		s.backoff, s.retryAt = minBackoff, time.Time{}
	}
	if len(s.sources) < maxSources && !slices.Contains(s.sources, from) {
		s.sources = append(s.sources, from)
	}
	return s.startPull(now)
}

// startPull starts a pull if one is needed, none is in progress, and the backoff after a failure is over.
func (s *Disseminator) startPull(now time.Time) Output {
	if s.pulling || s.newest <= s.installed || len(s.sources) == 0 || now.Before(s.retryAt) {
		return Output{}
	}
	s.pulling = true
	return Output{Pull: s.sources[0]}
}

// Installed records that a generation has been installed at this node, from any source.
func (s *Disseminator) Installed(now time.Time, generation uint64) Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation <= s.installed {
		return Output{}
	}
	s.installed = generation
	s.newest = max(s.newest, generation)
	s.notifyPending = true
	return s.notify(now)
}

func (s *Disseminator) notify(now time.Time) Output {
	if !s.notifyPending || now.Sub(s.notifiedAt) < notifyInterval {
		return Output{}
	}
	s.notifyPending, s.notifiedAt = false, now
	return Output{Notify: Fanout}
}

// Pulled records the end of a pull. If the generation sought is still not installed, the source is dropped.
func (s *Disseminator) Pulled(now time.Time) Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulling = false
	if s.newest <= s.installed {
		s.sources = s.sources[:0]
		return Output{}
	}
	if len(s.sources) > 0 {
		s.sources = slices.Delete(s.sources, 0, 1) // datagrams from other members add new sources
	}
	s.retryAt = now.Add(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
	return Output{}
}

// Tick starts a pull or notification that has been delayed.
func (s *Disseminator) Tick(now time.Time) Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.startPull(now)
	out.Notify = s.notify(now).Notify
	return out
}
