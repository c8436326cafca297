// Package lifetime tracks the current lifetime of the target at the host's target address.
//
// Each start of a target begins a new lifetime, identified by its ID and start time. Announcements may arrive late and
// out of order, so an older one never replaces a newer one.
package lifetime

import (
	"net/netip"
	"sync"
	"time"
)

// Announcement is the state that a target announces.
type Announcement struct {
	ID        string
	Service   string
	Address   netip.AddrPort
	Slots     int
	Draining  bool
	WarmUp    time.Duration // remaining time in which the target is slow after its start
	Sequence  int64         // increases with each announcement of one lifetime
	StartedMS int64         // Unix milliseconds of the start; 0 if not announced
}

// State tells whether the target accepts requests.
type State uint8

// States of a target.
const (
	Absent   State = iota // no target is known
	Ready                 // accepts requests
	Draining              // has announced that it is shutting down
	Gone                  // has deregistered, or does not accept connections
)

// String returns the state's name in logs.
func (s State) String() string { return [...]string{"absent", "ready", "draining", "gone"}[s] }

// Target is the current lifetime.
type Target struct {
	ID, Service string
	Slots       int
	State       State
	StartedMS   int64 // Unix milliseconds of the start; 0 if not announced
	Assumed     bool  // known from a response only, so its start is not known
}

// Tracker holds the current lifetime. Its methods may be called concurrently.
type Tracker struct {
	address netip.AddrPort

	mu           sync.Mutex
	latest       Announcement
	state        State
	deregistered map[string]int64 // start of deregistered lifetimes by ID, in Unix milliseconds
	leaving      map[string]int64 // the same for lifetimes of which a response has stated that they shut down
	assumed      bool             // the current lifetime is known from a response only, not from an announcement
}

// maxDeregistered bounds the deregistered lifetimes that are remembered, and those that shut down.
const maxDeregistered = 64

// New returns a tracker of the target at address.
func New(address netip.AddrPort) *Tracker {
	return &Tracker{address: address, deregistered: map[string]int64{}, leaving: map[string]int64{}}
}

// Announce records an announcement. It returns false, and changes nothing, if the announcement is for another address,
// is older than the current state, or is of a lifetime that has deregistered.
func (t *Tracker) Announce(a Announcement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Address != t.address || t.superseded(a) {
		return false
	}
	if start, ok := t.deregistered[a.ID]; ok && a.StartedMS <= start {
		return false
	}
	t.latest, t.assumed = a, false
	t.state = Ready
	if start, leaving := t.leaving[a.ID]; a.Draining || leaving && a.StartedMS <= start {
		t.state = Draining
	}
	return true
}

func (t *Tracker) superseded(a Announcement) bool {
	if t.state == Absent || t.assumed {
		return false
	}
	if a.StartedMS != t.latest.StartedMS {
		return a.StartedMS < t.latest.StartedMS
	}
	if a.ID != t.latest.ID {
		return false
	}
	return a.Sequence <= t.latest.Sequence
}

// Deregistration is the message by which a lifetime announces its end.
type Deregistration struct {
	ID        string
	StartedMS int64 // Unix milliseconds of its start; 0 if not announced
	Received  time.Time
}

// Deregister records the end of a lifetime. Later announcements of it are ignored, even if the lifetime was unknown, as
// after a restart of the node.
func (t *Tracker) Deregister(d Deregistration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := d.StartedMS
	if t.latest.ID == d.ID && (start == 0 || start >= t.latest.StartedMS) {
		start, t.state = max(start, t.latest.StartedMS), Gone
	}
	if start == 0 {
		start = d.Received.UnixMilli() // it started before that
	}
	remember(t.deregistered, d.ID, start)
}

func remember(starts map[string]int64, id string, start int64) {
	if len(starts) >= maxDeregistered {
		clear(starts)
	}
	starts[id] = max(start, starts[id])
}

// IsCurrent reports whether a call that was sent to a lifetime went to the current one. Lifetime is what Target returned
// before the call was sent.
func (t *Tracker) IsCurrent(sent time.Time, lifetime Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCurrent(sent, lifetime)
}

func (t *Tracker) isCurrent(sent time.Time, lifetime Target) bool {
	if t.latest.ID != lifetime.ID {
		return false
	}
	// The first announcement names the start of a lifetime that was assumed until then.
	return t.latest.StartedMS == lifetime.StartedMS || lifetime.Assumed && t.latest.StartedMS <= sent.UnixMilli()
}

// HasAnnouncedEnd reports whether a lifetime has deregistered, or has stated that it is shutting down.
func (t *Tracker) HasAnnouncedEnd(lifetime Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ended := range []map[string]int64{t.deregistered, t.leaving} {
		if start, ok := ended[lifetime.ID]; ok && lifetime.StartedMS <= start {
			return true
		}
	}
	return t.state == Draining && t.latest.ID == lifetime.ID && t.latest.StartedMS == lifetime.StartedMS
}

// MarkLeaving records that the response to a call has stated that its lifetime shuts down. Lifetime is what Target
// returned before the call was sent, or an assumed one that only the response has named. Later announcements do not make
// it ready again. MarkLeaving returns false if the current target stays as it was.
func (t *Tracker) MarkLeaving(sent time.Time, lifetime Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.isCurrent(sent, lifetime)
	if !current && t.latest.ID == lifetime.ID {
		return false // it has started again since
	}
	start := lifetime.StartedMS
	if start == 0 {
		start = sent.UnixMilli() // it started before that
	}
	remember(t.leaving, lifetime.ID, start)
	if !current || t.state != Ready {
		return false
	}
	t.state = Draining
	return true
}

// Assume records a lifetime that a response named, if no target is known yet. The next announcement replaces it. It
// returns false if it changes nothing.
func (t *Tracker) Assume(id, service string, slots int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, gone := t.deregistered[id]
	_, leaving := t.leaving[id]
	if gone || leaving || id == "" || slots <= 0 || t.state != Absent {
		return false
	}
	t.latest = Announcement{ID: id, Service: service, Slots: slots}
	t.assumed, t.state = true, Ready
	return true
}

// MarkLost records that the lifetime with this ID does not accept connections, or that another one answers in its
// place. The next announcement restores it. It returns false if it changes nothing.
func (t *Tracker) MarkLost(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest.ID != id || t.state == Gone {
		return false
	}
	t.state = Gone
	if t.assumed {
		t.state = Absent
	}
	return true
}

// Target returns the current lifetime.
func (t *Tracker) Target() Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Target{ID: t.latest.ID, Service: t.latest.Service, Slots: t.latest.Slots, State: t.state, StartedMS: t.latest.StartedMS, Assumed: t.assumed}
}
