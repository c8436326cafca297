// Package stub is an in-memory implementation of the platform's object API for tests and the demo. It serves the
// protocol of docs/platform-api.md.
//
// Faults can be injected at run time: unavailability, added latency, writes that take effect but whose responses are
// lost, and a restore of all objects to an older state. Every call and every waiting watch is counted.
package stub

import (
	"net/http"
	"sync"
	"time"
)

// Limits of the stub.
const (
	MaxValueBytes = 1_000_000
	maxObjects    = 10_000
	maxHistory    = 4_096 // number of writes that Restore can undo
	maxWait       = 5 * time.Minute
)

type object struct {
	version uint64
	value   []byte
}

// historyEntry is one write: the name of the object and its value before the write.
type historyEntry struct {
	name   string
	before object
}

// Faults are the faults that the stub injects.
type Faults struct {
	Down          bool          // every call fails with status 503 and has no effect
	Latency       time.Duration // latency added to every call
	LoseResponses int           // number of next writes that take effect but whose responses are lost
}

// Counters are the numbers of calls that the stub has received, and its revision.
type Counters struct {
	Gets, Puts, Watches uint64 // calls received
	WaitingWatches      int    // watches that are waiting now
	MaxWaitingWatches   int    // maximum of WaitingWatches so far
	Revision            uint64 // increases by 1 with each write; Restore sets it back
}

// Server is the stub. It implements http.Handler and is safe for concurrent use.
type Server struct {
	mux *http.ServeMux

	mu       sync.Mutex
	objects  map[string]object
	history  []historyEntry // the most recent writes, oldest first
	faults   Faults
	counters Counters
	changed  chan struct{} // closed and replaced at each change that watches must check
}

// New returns a stub without objects.
func New() *Server {
	s := &Server{objects: map[string]object{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/objects/{name...}", s.get)
	s.mux.HandleFunc("PUT /v1/objects/{name...}", s.put)
	s.mux.HandleFunc("GET /stub/v1/faults", s.getFaults)
	s.mux.HandleFunc("PUT /stub/v1/faults", s.putFaults)
	s.mux.HandleFunc("GET /stub/v1/counters", s.getCounters)
	return s
}

// ServeHTTP serves the object API and the paths below /stub.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counters returns a snapshot of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Restore resets all objects and their versions to their state at a revision. It returns false and changes nothing if
// the history does not reach back that far.
func (s *Server) Restore(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.counters.Revision || s.counters.Revision-revision > uint64(len(s.history)) {
		return false
	}
	for s.counters.Revision > revision {
		last := s.history[len(s.history)-1]
		s.history = s.history[:len(s.history)-1]
		if last.before.version == 0 {
			delete(s.objects, last.name)
		} else {
			s.objects[last.name] = last.before
		}
		s.counters.Revision--
	}
	s.notifyWatches()
	return true
}

// notifyWatches makes waiting watches check their object again. The caller holds mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// store applies a conditional write. It returns the new version and whether the response is to be lost, or the HTTP
// status of a rejected write.
func (s *Server) store(name string, version uint64, value []byte) (v uint64, lost bool, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Puts++
	before := s.objects[name]
	switch {
	case s.faults.Down:
		return 0, false, http.StatusServiceUnavailable
	case len(value) > MaxValueBytes:
		return 0, false, http.StatusRequestEntityTooLarge
	case before.version != version:
		return 0, false, http.StatusPreconditionFailed
	case before.version == 0 && len(s.objects) >= maxObjects:
		return 0, false, http.StatusServiceUnavailable
	}
	s.objects[name] = object{version: version + 1, value: value}
	if len(s.history) == maxHistory {
		s.history = append(s.history[:0], s.history[1:]...)
	}
	s.history = append(s.history, historyEntry{name: name, before: before})
	s.counters.Revision++
	if lost = s.faults.LoseResponses > 0; lost {
		s.faults.LoseResponses--
	}
	s.notifyWatches()
	return version + 1, lost, 0
}

// load returns an object, whether the stub is down, and a channel that is closed at the next change.
func (s *Server) load(name string) (o object, down bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[name], s.faults.Down, s.changed
}

// updateCounters calls f with mu held.
func (s *Server) updateCounters(f func(c *Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counters)
}
