// Package target is the node's side of the target on its host.
//
// A target announces itself and repeats the announcement every second; Local holds the newest announcement and says
// whether the target may be given work. Client sends calls to it. Health and load endpoints lag, so the announcements
// and the connections decide and the endpoints do not.
package target

import (
	"net/netip"
	"sync"
	"time"

	"mustardmast/core/fault"
)

// HeartbeatTimeout is how long a target may miss its heartbeat before it counts as gone. It is three heartbeats, because
// one may be lost and one may be late.
const HeartbeatTimeout = 3 * time.Second

// Announcement is what a target says of itself.
type Announcement struct {
	Address     netip.AddrPort
	Service     string
	Slots       int
	Connections int
	HealthPath  string
	LoadPath    string
	Draining    bool
}

// Local is the target on this host. The zero value has none.
type Local struct {
	order    sync.Mutex // held over a change and its watchers, so that they hear of changes in their order
	mu       sync.RWMutex
	last     Announcement
	at       time.Time
	drain    bool // an operator or a planned stop drains the target
	leaving  bool // the node itself leaves
	told     told
	watchers []func(Announcement, error)
}

// told is what the watchers heard last.
type told struct {
	announcement Announcement
	refusal      fault.Kind
}

// Watch calls f after every change of the announcement or of readiness, with the error that refuses work, if any. It
// must not change the target itself.
func (l *Local) Watch(f func(Announcement, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers = append(l.watchers, f)
}

// Announce takes an announcement or heartbeat.
func (l *Local) Announce(now time.Time, a Announcement) {
	l.change(now, func() {
		if a.Address != l.last.Address || a.Service != l.last.Service || now.Sub(l.at) > HeartbeatTimeout {
			l.drain = false // another process, or one that was gone; the drain was meant for the earlier one
		}
		l.last, l.at = a, now
	})
}

// Drain stops new work for the target on this host until another target announces itself.
func (l *Local) Drain(now time.Time) { l.change(now, func() { l.drain = true }) }

// Shutdown stops new work for good, because this node stops.
func (l *Local) Shutdown(now time.Time) { l.change(now, func() { l.leaving = true }) }

// CheckHeartbeat tells the watchers when the target has missed its heartbeats.
func (l *Local) CheckHeartbeat(now time.Time) { l.change(now, func() {}) }

func (l *Local) change(now time.Time, f func()) {
	l.order.Lock()
	defer l.order.Unlock()
	l.mu.Lock()
	f()
	a, ws := l.last, l.watchers
	err := l.refusal(now)
	news := told{announcement: a, refusal: fault.KindOf(err)}
	changed := news != l.told
	l.told = news
	l.mu.Unlock()
	if !changed {
		return
	}
	for _, w := range ws {
		w(a, err)
	}
}

// LastAnnouncement returns the newest announcement, whether or not it is still in force.
func (l *Local) LastAnnouncement() Announcement {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.last
}

// Ready returns the announcement, or the error with which work is refused.
func (l *Local) Ready(now time.Time) (Announcement, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.last, l.refusal(now)
}

// LastHeartbeat returns when the target last announced itself.
func (l *Local) LastHeartbeat() time.Time {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.at
}

func (l *Local) refusal(now time.Time) error {
	switch {
	case l.leaving:
		return fault.New(fault.Draining, "this node is stopping")
	case l.drain || l.last.Draining:
		return fault.Newf(fault.Draining, "the target of service %q is draining", l.last.Service)
	case l.last.Service == "":
		return fault.New(fault.NotReady, "no target has announced itself on this host")
	case now.Sub(l.at) > HeartbeatTimeout:
		return fault.Newf(fault.NotReady, "no heartbeat from the target of service %q for %s", l.last.Service, HeartbeatTimeout)
	}
	return nil
}
