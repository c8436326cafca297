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
	crashDial = 200 * time.Millisecond // a live target on the same host accepts at once
	// A process that is ending can still have its listener open when its other connections are gone. It does not hold a
	// new connection for this long.
	crashHold = 30 * time.Millisecond
	crashTell = 300 * time.Millisecond // bound on telling the other nodes before the callers are answered
	// Broken connections within this time belong to one crash, unless the target has announced itself in between: it
	// may be restarted, and crash again, within some tens of milliseconds.
	crashGap = time.Second
)

// CrashNotifier tells the other nodes of a service the evidence of a crash.
type CrashNotifier interface {
	NotifyCrash(ctx context.Context, service string, news []quarantine.Update)
}

// crashes recognises that the target crashed, and records what was in flight then.
type crashes struct {
	id         mustardmast.NodeID
	quarantine *quarantine.Quarantine
	running    *RunningCalls
	teller     CrashNotifier
	crashed    func(service string, inFlight []*Execution)

	mu     sync.Mutex
	number uint32
	last   *crash
}

// crash is one look at a target whose connections broke. Calls that fail meanwhile wait for its end, so that their
// callers do not resend before the other nodes know.
type crash struct {
	at   time.Time
	done chan struct{}
}

// attempt is one call that was given to the target.
type attempt struct {
	target target.Announcement
	heard  time.Time // last announcement of the target
	start  time.Time
}

// again reports whether the call ran at a target that was alive after the crash.
func (l *crash) again(a attempt) bool { return a.heard.After(l.at) && a.start.After(l.at) }

// failed is called for a call whose connection to the target broke, while the call is still in the table of running
// calls.
func (c *crashes) failed(now time.Time, call attempt, err error) {
	if fault.KindOf(err) != fault.TargetFailed {
		return
	}
	a := call.target
	c.mu.Lock()
	if l := c.last; l != nil && now.Sub(l.at) < crashGap && !l.again(call) {
		c.mu.Unlock()
		select {
		case <-l.done:
		case <-time.After(crashDial + crashTell):
		}
		return
	}
	l := &crash{at: now, done: make(chan struct{})}
	c.last = l
	c.number++
	number := c.number
	c.mu.Unlock()
	defer close(l.done)
	inFlight := c.running.all()
	if accepts(a) {
		c.forget(l)
		return // one connection broke; the process lives
	}
	fs := make([]quarantine.Fingerprint, len(inFlight))
	for i, e := range inFlight {
		fs[i] = e.fingerprint
	}
	c.quarantine.RecordCrash(now, c.id, number, fs)
	c.crashed(a.Service, inFlight)
	ctx, cancel := context.WithTimeout(context.Background(), crashTell)
	defer cancel()
	c.teller.NotifyCrash(ctx, a.Service, c.quarantine.UpdatesFor(now, fs))
}

// forget lets the next broken connection be looked at again, since this one was no crash.
func (c *crashes) forget(l *crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == l {
		c.last = nil
	}
}

// accepts reports whether the target still takes connections and holds them.
func accepts(a target.Announcement) bool {
	conn, err := net.DialTimeout("tcp", a.Address.String(), crashDial)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if conn.SetReadDeadline(time.Now().Add(crashHold)) != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	var wait net.Error
	return err == nil || errors.As(err, &wait) && wait.Timeout()
}
