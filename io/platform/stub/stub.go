// Package stub is a stub of the platform's object API for tests and the demo. It holds objects in memory and serves
// the protocol of docs/platform-api.md.
//
// Faults are switched at run time: no service, added latency, a write that takes effect while its response is lost,
// and a restore of all objects to an older state. Every call and every waiting watch is counted.
package stub

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the stub's memory.
const (
	MaxValueBytes = 1_000_000
	maxObjects    = 10_000
	maxHistory    = 4_096 // writes that a restore can undo
	maxWait       = 5 * time.Minute
)

type object struct {
	version uint64
	value   []byte
}

// write is one entry of the history: what the object was before.
type write struct {
	name   string
	before object
}

// Faults are the faults in force.
type Faults struct {
	Down          bool          // every call is answered 503 without effect
	Latency       time.Duration // latency added to every call
	LoseResponses int           // writes that take effect while their response is lost
}

// Counters count what the stub has seen.
type Counters struct {
	Gets, Puts, Watches uint64 // calls
	WaitingWatches      int    // watches that wait now
	MaxWaitingWatches   int    // most watches that waited at once
	Revision            uint64 // writes applied, or the revision that was restored
}

// Server is the stub. It is an http.Handler and safe for concurrent use.
type Server struct {
	mux *http.ServeMux

	mu       sync.Mutex
	objects  map[string]object
	history  []write // the last writes, the oldest first
	faults   Faults
	counters Counters
	changed  chan struct{} // closed and replaced whenever a watch may have to answer
}

// New returns a stub without objects.
func New() *Server {
	s := &Server{objects: map[string]object{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/objects/{name...}", s.get)
	s.mux.HandleFunc("PUT /v1/objects/{name...}", s.put)
	s.mux.HandleFunc("GET /stub/v1/faults", s.showFaults)
	s.mux.HandleFunc("PUT /stub/v1/faults", s.changeFaults)
	s.mux.HandleFunc("GET /stub/v1/counters", s.showCounters)
	return s
}

// ServeHTTP serves the object API and the paths below /stub.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counters returns what the stub has seen.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Restore sets all objects, with their versions, back to what they were at a revision. It reports whether the history
// reaches that far.
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
	s.wake()
	return true
}

// wake lets waiting watches look again. The caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// store applies a conditional write and returns the new version, or the status that refuses it.
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
	s.history = append(s.history, write{name: name, before: before})
	s.counters.Revision++
	if lost = s.faults.LoseResponses > 0; lost {
		s.faults.LoseResponses--
	}
	s.wake()
	return version + 1, lost, 0
}

// load returns an object and a channel that is closed at the next change.
func (s *Server) load(name string) (o object, down bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[name], s.faults.Down, s.changed
}

// count changes the counters under the lock.
func (s *Server) count(f func(c *Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counters)
}
