// Package crash detects crashes of the target on a host and records the calls that were in flight.
//
// A target has crashed if a connection of a call breaks and its address refuses connections, or accepts one that does not
// last while no other call has kept its own. A target that resets single connections, for example because it has too many,
// has not crashed.
package crash

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"mustardmast"
	"mustardmast/core/quarantine"
)

const (
	dialTimeout = 200 * time.Millisecond // a running target on the same host accepts at once
	// holdTime is how long a new connection must stay open to prove that the target is running. The listener of an exiting
	// process can outlive its other connections, but closes a new connection sooner than this.
	holdTime      = 30 * time.Millisecond
	pollInterval  = 5 * time.Millisecond
	notifyTimeout = 300 * time.Millisecond // for notifying the other nodes, before the callers get their responses
	// window is the time within which broken connections are attributed to one crash, unless the target has started again
	// in between: a target may restart and crash again within tens of milliseconds.
	window = time.Second
)

// Notifier sends evidence of crashes, or of the completion of a suspect, to the other nodes of a service.
type Notifier interface {
	SendEvidence(ctx context.Context, service string, updates []quarantine.Update)
}

// Call is a call in flight.
type Call interface {
	comparable
	Fingerprint() quarantine.Fingerprint // 0 if unknown
}

// Options are the parameters and dependencies of a Detector.
type Options[C Call] struct {
	Node       mustardmast.NodeID
	Quarantine *quarantine.Quarantine
	InFlight   func() []C // the calls that have been sent to the target and have not ended
	Notifier   Notifier
	OnCrash    func(service string, inFlight []C) // called for each crash
}

// Detector detects crashes of one target. Its methods may be called concurrently.
type Detector[C Call] struct {
	options Options[C]

	mu       sync.Mutex
	sequence uint32
	last     *check[C]
}

// New returns a detector.
func New[C Call](o Options[C]) *Detector[C] { return &Detector[C]{options: o} }

// Sent describes where and when a call was sent.
type Sent struct {
	Address, Service string
	At               time.Time
	// Alive is the time of the latest sign, known when the call was sent, that the target runs or has started again.
	Alive time.Time
}

// check is one check whether the target has crashed. Calls that fail during the check wait until it ends, so that their
// callers do not retry before the other nodes have the evidence.
type check[C Call] struct {
	at   time.Time
	done chan struct{}
	lost map[C]bool // calls whose connections broke; guarded by Detector.mu
}

// precedes reports whether the call was sent after the checked crash, to a target that has shown since that it runs.
func (k *check[C]) precedes(s Sent) bool { return s.Alive.After(k.at) && s.At.After(k.at) }

// ConnectionLost handles a call whose connection to the target broke. If the target has crashed, it records the calls in
// flight and notifies the other nodes before it returns. It reports whether the target has crashed. The call must still be
// in flight.
func (d *Detector[C]) ConnectionLost(now time.Time, c C, s Sent) bool {
	d.mu.Lock()
	if k := d.last; k != nil && now.Sub(k.at) < window && !k.precedes(s) {
		k.lost[c] = true
		d.mu.Unlock()
		select {
		case <-k.done:
		case <-time.After(dialTimeout + holdTime + notifyTimeout):
		}
		return d.isLast(k)
	}
	k := &check[C]{at: now, done: make(chan struct{}), lost: map[C]bool{c: true}}
	d.last = k
	d.sequence++
	sequence := d.sequence
	d.mu.Unlock()
	defer close(k.done)
	inFlight := d.options.InFlight()
	if !d.crashed(k, inFlight, s.Address) {
		d.discard(k)
		return false
	}
	fingerprints := make([]quarantine.Fingerprint, len(inFlight))
	for i, c := range inFlight {
		fingerprints[i] = c.Fingerprint()
	}
	d.options.Quarantine.RecordCrash(now, d.options.Node, sequence, fingerprints)
	d.options.OnCrash(s.Service, inFlight)
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	d.options.Notifier.SendEvidence(ctx, s.Service, d.options.Quarantine.UpdatesFor(now, fingerprints))
	return true
}

// discard drops a check that found no crash, so that the next broken connection starts a new one.
func (d *Detector[C]) discard(k *check[C]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == k {
		d.last = nil
	}
}

func (d *Detector[C]) isLast(k *check[C]) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last == k
}

// crashed looks whether the target still runs.
func (d *Detector[C]) crashed(k *check[C], inFlight []C, address string) bool {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) // after another error, the target may still run
	}
	defer func() { _ = conn.Close() }()
	closed := false
	for end := time.Now().Add(holdTime); time.Now().Before(end); {
		if closed {
			time.Sleep(pollInterval)
		} else {
			closed = closedWithin(conn, pollInterval)
		}
		switch others := d.othersRunning(k, inFlight); {
		case closed && !others:
			return true
		case !closed && others: // the check would hold up the caller and a slot of the target for longer
			return false
		}
	}
	return false
}

// closedWithin reports whether the peer closes a connection within a time.
func closedWithin(conn net.Conn, within time.Duration) bool {
	if conn.SetReadDeadline(time.Now().Add(within)) != nil {
		return true
	}
	_, err := conn.Read(make([]byte, 1))
	var netErr net.Error
	return err != nil && (!errors.As(err, &netErr) || !netErr.Timeout())
}

// othersRunning reports whether a call that was in flight at the start of a check still is, with its connection.
func (d *Detector[C]) othersRunning(k *check[C], before []C) bool {
	now := map[C]bool{}
	for _, c := range d.options.InFlight() {
		now[c] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range before {
		if now[c] && !k.lost[c] {
			return true
		}
	}
	return false
}
