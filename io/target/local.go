// Package target is the node's side of the target on its host.
//
// A target announces itself and repeats the announcement every second as a heartbeat. Local holds the newest
// announcement and decides whether the target may get calls; Client sends calls to it. Readiness depends on the
// announcements and the connections only, because health and load endpoints lag behind.
package target

import (
	"net/netip"
	"sync"
	"time"

	"mustardmast/core/fault"
)

// HeartbeatTimeout is the time without a heartbeat after which a target is not ready. It is three heartbeats, because
// one may be lost and one may be late.
const HeartbeatTimeout = 3 * time.Second

// Announcement is what a target reports about itself.
type Announcement struct {
	Address     netip.AddrPort
	Service     string
	Slots       int // calls that it executes at the same time
	Connections int // connections that it accepts
	HealthPath  string
	LoadPath    string
	Draining    bool
}

// Local is the state of the target on this host. The zero value has no target. Its methods may be called concurrently.
type Local struct {
	notifyMu      sync.Mutex // held during a change and the calls of the watchers, so that they see changes in order
	mu            sync.RWMutex
	last          Announcement
	lastHeartbeat time.Time
	drained       bool // an operator or a planned stop has drained the target
	shutdown      bool // the node is stopping
	notification  notification
	watchers      []func(Announcement, error)
}

// notification is the state that the watchers were last called with.
type notification struct {
	announcement Announcement
	rejection    fault.Kind
}

// Watch calls f after every change of the announcement or of readiness, with the error that rejects calls, if any. F
// must not change the target.
func (l *Local) Watch(f func(Announcement, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers = append(l.watchers, f)
}

// Announce records an announcement or heartbeat.
func (l *Local) Announce(now time.Time, a Announcement) {
	l.change(now, func() {
		if a.Address != l.last.Address || a.Service != l.last.Service || now.Sub(l.lastHeartbeat) > HeartbeatTimeout {
			l.drained = false // a new process, or one that timed out; the drain applied to the earlier one
		}
		l.last, l.lastHeartbeat = a, now
	})
}

// Drain rejects new calls for the target on this host until another target announces itself.
func (l *Local) Drain(now time.Time) { l.change(now, func() { l.drained = true }) }

// Shutdown rejects new calls permanently, because this node is stopping.
func (l *Local) Shutdown(now time.Time) { l.change(now, func() { l.shutdown = true }) }

// CheckHeartbeat calls the watchers if the target has missed its heartbeats since the last change.
func (l *Local) CheckHeartbeat(now time.Time) { l.change(now, func() {}) }

func (l *Local) change(now time.Time, update func()) {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
	l.mu.Lock()
	update()
	a, callbacks := l.last, l.watchers
	err := l.rejection(now)
	next := notification{announcement: a, rejection: fault.KindOf(err)}
	changed := next != l.notification
	l.notification = next
	l.mu.Unlock()
	if !changed {
		return
	}
	for _, callback := range callbacks {
		callback(a, err)
	}
}

// LastAnnouncement returns the newest announcement, whether or not the target is ready.
func (l *Local) LastAnnouncement() Announcement {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.last
}

// Ready returns the newest announcement, and an error if calls are rejected.
func (l *Local) Ready(now time.Time) (Announcement, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.last, l.rejection(now)
}

// LastHeartbeat returns the time of the last announcement or heartbeat.
func (l *Local) LastHeartbeat() time.Time {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.lastHeartbeat
}

func (l *Local) rejection(now time.Time) error {
	switch {
	case l.shutdown:
		return fault.New(fault.Draining, "this node is stopping")
	case l.drained || l.last.Draining:
		return fault.Newf(fault.Draining, "the target of service %q is draining", l.last.Service)
	case l.last.Service == "":
		return fault.New(fault.NotReady, "no target has announced itself on this host")
	case now.Sub(l.lastHeartbeat) > HeartbeatTimeout:
		return fault.Newf(fault.NotReady, "no heartbeat from the target of service %q for %s", l.last.Service, HeartbeatTimeout)
	}
	return nil
}
