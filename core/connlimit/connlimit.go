// Package connlimit decides which connection is closed when a node has as many as it may have.
//
// A connection waits for a request, until all of it that is needed has been read, or serves one. When there is no room for
// a new connection, the one that has waited longest is closed: first among those that have not sent a complete request
// yet, then among those that have, then among those whose response the client has not read for MinBlocked. So clients that
// only hold connections can't keep out those that use them. Other connections that serve a request are not closed.
package connlimit

import (
	"container/list"
	"sync"
	"time"
)

// MinBlocked is how long a client must have read nothing of its response before its connection may be closed for another
// one.
const MinBlocked = time.Second

// Set is the set of the open connections of a listener, each identified by a number. Its methods may be called
// concurrently.
type Set struct {
	mu      sync.Mutex
	max     int
	members map[uint64]*member
	fresh   list.List // members that wait and have not sent a request yet, the longest wait first
	used    list.List // other members that wait
	blocked list.List // members whose response is being written
}

type member struct {
	id      uint64
	list    *list.List // that it is in; nil while it serves a request
	element *list.Element
	since   time.Time // when it was added to list
}

// New returns an empty set of at most limit connections.
func New(limit int) *Set { return &Set{max: limit, members: map[uint64]*member{}} }

// Add adds a new connection, which waits. If another one has to be closed for it, that one is removed and returned as
// victim, which is 0 otherwise. Add returns false if there is no room, as all connections serve requests.
func (s *Set) Add(now time.Time, id uint64) (victim uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.members) >= s.max {
		m := s.longestWait(now)
		if m == nil {
			return 0, false
		}
		s.remove(m)
		victim = m.id
	}
	m := &member{id: id}
	s.members[id] = m
	m.enter(now, &s.fresh)
	return victim, true
}

func (s *Set) longestWait(now time.Time) *member {
	for _, l := range []*list.List{&s.fresh, &s.used, &s.blocked} {
		if e := l.Front(); e != nil {
			if m := e.Value.(*member); l != &s.blocked || now.Sub(m.since) >= MinBlocked {
				return m
			}
		}
	}
	return nil
}

// Serving records that a connection serves a request. It returns false if the connection has been removed.
func (s *Set) Serving(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[id]
	if m == nil {
		return false
	}
	m.leave()
	return true
}

// Writing records that a part of a response is being written to a connection that serves a request, and Written that it
// has been written.
func (s *Set) Writing(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[id]; m != nil && m.list == nil {
		m.enter(now, &s.blocked)
	}
}

// Written records the end of what Writing has recorded.
func (s *Set) Written(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[id]; m != nil && m.list == &s.blocked {
		m.leave()
	}
}

// Waiting records that a connection has served a request and waits for the next one.
func (s *Set) Waiting(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[id]; m != nil {
		m.leave()
		m.enter(now, &s.used)
	}
}

// Remove removes a connection that has been closed.
func (s *Set) Remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.members[id]; m != nil {
		s.remove(m)
	}
}

// Size returns the number of connections.
func (s *Set) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members)
}

func (s *Set) remove(m *member) {
	m.leave()
	delete(s.members, m.id)
}

func (m *member) enter(now time.Time, l *list.List) {
	m.list, m.element, m.since = l, l.PushBack(m), now
}

func (m *member) leave() {
	if m.list != nil {
		m.list.Remove(m.element)
		m.list, m.element = nil, nil
	}
}
