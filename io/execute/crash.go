package execute

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/quarantine"
	"mustardmast/io/target"
)

const (
	crashDialTimeout = 200 * time.Millisecond // a running target on the same host accepts at once
	// crashReadTimeout is how long a new connection must stay open to prove that the target is running. The listener of
	// an exiting process can outlive its other connections, but closes a new connection sooner than this.
	crashReadTimeout   = 30 * time.Millisecond
	crashNotifyTimeout = 300 * time.Millisecond // for notifying the other nodes, before the callers get their responses
	// crashWindow is the time within which broken connections are attributed to one crash, unless the target has sent a
	// heartbeat in between: a target may restart and crash again within tens of milliseconds.
	crashWindow = time.Second
)

// CrashNotifier sends the evidence of a crash to the other nodes of a service.
type CrashNotifier interface {
	NotifyCrash(ctx context.Context, service string, updates []quarantine.Update)
}

// crashDetector detects crashes of the target and records the requests that were in flight.
type crashDetector struct {
	id         mustardmast.NodeID
	quarantine *quarantine.Quarantine
	running    *RunningCalls
	notifier   CrashNotifier
	onCrash    func(service string, inFlight []*Execution)

	mu        sync.Mutex
	sequence  uint32
	lastCheck *crashCheck
}

// crashCheck is one check of a target whose connection broke. Calls that fail during the check wait until it ends, so
// that their callers do not retry before the other nodes have the evidence.
type crashCheck struct {
	at   time.Time
	done chan struct{}
}

// targetCall is a call that was sent to the target.
type targetCall struct {
	target        target.Announcement
	lastHeartbeat time.Time // of the target, as known when the call was sent
	start         time.Time
}

// precedes reports whether the call was sent after the checked crash, to a target that has sent a heartbeat since.
func (check *crashCheck) precedes(call targetCall) bool {
	return call.lastHeartbeat.After(check.at) && call.start.After(check.at)
}

// callFailed handles a call that failed with err. If its connection to the target broke, it checks for a crash, records
// the requests in flight and notifies the other nodes. The call must still be in the table of running calls.
func (c *crashDetector) callFailed(now time.Time, call targetCall, err error) {
	if fault.KindOf(err) != fault.TargetFailed {
		return
	}
	a := call.target
	c.mu.Lock()
	if check := c.lastCheck; check != nil && now.Sub(check.at) < crashWindow && !check.precedes(call) {
		c.mu.Unlock()
		select {
		case <-check.done:
		case <-time.After(crashDialTimeout + crashNotifyTimeout):
		}
		return
	}
	check := &crashCheck{at: now, done: make(chan struct{})}
	c.lastCheck = check
	c.sequence++
	sequence := c.sequence
	c.mu.Unlock()
	defer close(check.done)
	inFlight := c.running.snapshot()
	if acceptsConnections(a) {
		c.discard(check)
		return // only this connection broke; the target is running
	}
	fingerprints := make([]quarantine.Fingerprint, len(inFlight))
	for i, e := range inFlight {
		fingerprints[i] = e.fingerprint
	}
	c.quarantine.RecordCrash(now, c.id, sequence, fingerprints)
	c.onCrash(a.Service, inFlight)
	ctx, cancel := context.WithTimeout(context.Background(), crashNotifyTimeout)
	defer cancel()
	c.notifier.NotifyCrash(ctx, a.Service, c.quarantine.UpdatesFor(now, fingerprints))
}

// discard drops a check that found no crash, so that the next broken connection starts a new one.
func (c *crashDetector) discard(check *crashCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastCheck == check {
		c.lastCheck = nil
	}
}

// acceptsConnections reports whether the target accepts a connection and keeps it open.
func acceptsConnections(a target.Announcement) bool {
	conn, err := net.DialTimeout("tcp", a.Address.String(), crashDialTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if conn.SetReadDeadline(time.Now().Add(crashReadTimeout)) != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	var netErr net.Error
	return err == nil || errors.As(err, &netErr) && netErr.Timeout()
}
