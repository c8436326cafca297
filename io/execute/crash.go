package execute

import (
	"context"
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
	crashTell = 300 * time.Millisecond // bound on telling the other nodes before the callers are answered
	crashGap  = time.Second            // broken connections within this time belong to one crash
)

// Teller tells the other nodes of a service the evidence of a crash.
type Teller interface {
	Tell(ctx context.Context, service string, news []quarantine.News)
}

// crashes recognises that the target crashed, and records what was in flight then.
type crashes struct {
	id         mustardmast.NodeID
	quarantine *quarantine.Quarantine
	running    *Running
	teller     Teller
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

// failed is called for a call whose connection to the target broke, while the call is still in the table of running
// calls.
func (c *crashes) failed(now time.Time, a target.Announcement, err error) {
	if fault.KindOf(err) != fault.TargetFailed {
		return
	}
	c.mu.Lock()
	if c.last != nil && now.Sub(c.last.at) < crashGap {
		l := c.last
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
		return // one connection broke; the process lives
	}
	fs := make([]quarantine.Fingerprint, len(inFlight))
	for i, e := range inFlight {
		fs[i] = e.fingerprint
	}
	c.quarantine.Crashed(now, c.id, number, fs)
	c.crashed(a.Service, inFlight)
	ctx, cancel := context.WithTimeout(context.Background(), crashTell)
	defer cancel()
	c.teller.Tell(ctx, a.Service, c.quarantine.About(now, fs))
}

// accepts reports whether the target still takes connections.
func accepts(a target.Announcement) bool {
	conn, err := net.DialTimeout("tcp", a.Address.String(), crashDial)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
