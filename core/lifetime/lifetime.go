// Package lifetime tracks which lifetime of a target lives at the host's target address.
//
// Every start of a target is a new lifetime, told apart by its id and the time of its start. Announcements may arrive
// late and out of order, so an older one never replaces a younger one.
package lifetime

import (
	"net/netip"
	"sync"
	"time"
)

// Announcement is what a target says of itself.
type Announcement struct {
	ID        string
	Service   string
	Address   netip.AddrPort
	Slots     int
	Draining  bool
	WarmUp    time.Duration // how much longer the target is slow after its start
	Sequence  int64         // increases with each announcement of one lifetime
	StartedMS int64         // Unix milliseconds of the start; 0 if not told
}

// State says whether the target takes work.
type State uint8

// States of a target.
const (
	Absent   State = iota // nothing is known of a target
	Ready                 // takes work
	Draining              // has said that it leaves
	Gone                  // has left, or does not accept connections
)

// String returns the state's name in logs.
func (s State) String() string { return [...]string{"absent", "ready", "draining", "gone"}[s] }

// Target is the lifetime in force.
type Target struct {
	ID, Service string
	Slots       int
	State       State
}

// Tracker holds the lifetime in force. Its methods may be called concurrently.
type Tracker struct {
	address netip.AddrPort

	mu      sync.Mutex
	last    Announcement
	state   State
	left    map[string]int64 // start of lifetimes that have left, by id
	assumed bool             // the id comes from an answer, not from an announcement
}

// maxLeft bounds the lifetimes that are remembered after they left.
const maxLeft = 64

// New returns a tracker for the target at this address.
func New(address netip.AddrPort) *Tracker {
	return &Tracker{address: address, left: map[string]int64{}}
}

// Announce takes an announcement. It returns false for one that is older than what is known or is about another
// address.
func (t *Tracker) Announce(a Announcement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Address != t.address || t.older(a) {
		return false
	}
	if start, ok := t.left[a.ID]; ok && a.StartedMS <= start {
		return false
	}
	t.last, t.assumed = a, false
	t.state = Ready
	if a.Draining {
		t.state = Draining
	}
	return true
}

func (t *Tracker) older(a Announcement) bool {
	if t.state == Absent || t.assumed {
		return false
	}
	if a.StartedMS != t.last.StartedMS {
		return a.StartedMS < t.last.StartedMS
	}
	if a.ID != t.last.ID {
		return false
	}
	return a.Sequence <= t.last.Sequence
}

// Deregistration is the message of a lifetime that it goes.
type Deregistration struct {
	ID        string
	StartedMS int64 // Unix milliseconds of its start; 0 if not told
	Received  time.Time
}

// Deregister takes the message that a lifetime goes. Announcements of it that come later are ignored, also where nothing was
// known of it, as after a restart of the node.
func (t *Tracker) Deregister(l Deregistration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := l.StartedMS
	if t.last.ID == l.ID && (start == 0 || start >= t.last.StartedMS) {
		start, t.state = max(start, t.last.StartedMS), Gone
	}
	if start == 0 {
		start = l.Received.UnixMilli() // it has started before
	}
	if len(t.left) >= maxLeft {
		clear(t.left)
	}
	t.left[l.ID] = max(start, t.left[l.ID])
}

// Assume takes a lifetime that an answer named, if no announcement has come yet. It is in force until the first
// announcement.
func (t *Tracker) Assume(id, service string, slots int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, gone := t.left[id]; gone || id == "" || slots <= 0 || t.state != Absent {
		return false
	}
	t.last = Announcement{ID: id, Service: service, Slots: slots}
	t.assumed, t.state = true, Ready
	return true
}

// MarkLost takes the news that the lifetime with this id does not accept connections, or that another one answers in its
// place. The next announcement brings it back.
func (t *Tracker) MarkLost(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last.ID != id || t.state == Gone {
		return false
	}
	t.state = Gone
	if t.assumed {
		t.state = Absent
	}
	return true
}

// Target returns the lifetime in force.
func (t *Tracker) Target() Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Target{ID: t.last.ID, Service: t.last.Service, Slots: t.last.Slots, State: t.state}
}
