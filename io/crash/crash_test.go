package crash_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/quarantine"
	"mustardmast/io/crash"
)

// call is a call in flight, by its fingerprint.
type call quarantine.Fingerprint

func (c call) Fingerprint() quarantine.Fingerprint { return quarantine.Fingerprint(c) }

// calls are the calls in flight.
type calls struct {
	mu     sync.Mutex
	active []call
}

func (c *calls) set(active ...call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
}

func (c *calls) inFlight() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

type notifier struct{ updates []quarantine.Update }

func (n *notifier) SendEvidence(_ context.Context, _ string, updates []quarantine.Update) {
	n.updates = append(n.updates, updates...)
}

type fixture struct {
	listener net.Listener
	calls    calls
	notifier notifier
	detector *crash.Detector[call]
}

// newFixture returns a detector for a target that handles each new connection by accept.
func newFixture(t *testing.T, accept func(net.Conn)) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	f := &fixture{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accept(c)
		}
	}()
	f.detector = crash.New(crash.Options[call]{
		Node: 7, Quarantine: quarantine.New(7), InFlight: f.calls.inFlight, Notifier: &f.notifier, OnCrash: func(string, []call) {},
	})
	return f
}

func (f *fixture) lost(c call) bool {
	return f.detector.ConnectionLost(time.Now(), c, crash.Sent{Address: f.listener.Addr().String(), Service: "s", At: time.Now()})
}

func reset(c net.Conn) { _ = c.Close() }

// Guards against a crash that is not recorded for all calls in flight.
func TestTargetThatRefusesConnectionsHasCrashed(t *testing.T) {
	f := newFixture(t, reset)
	assert.NilError(t, f.listener.Close())
	f.calls.set(1, 2, 3)
	assert.Assert(t, f.lost(1))
	assert.Equal(t, len(f.notifier.updates), 3)
	assert.Assert(t, f.lost(2)) // belongs to the same crash
	assert.Equal(t, len(f.notifier.updates), 3)
}

// Guards against a crash that is overlooked while the listener of the ending process still accepts connections.
func TestTargetThatHoldsNoConnectionHasCrashed(t *testing.T) {
	f := newFixture(t, reset)
	f.calls.set(1, 2)
	var other bool
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(10 * time.Millisecond)
		other = f.lost(2)
	})
	assert.Assert(t, f.lost(1))
	wg.Wait()
	assert.Assert(t, other)
	assert.Equal(t, len(f.notifier.updates), 2)
}

// Guards against innocent calls that are suspected because a target with too many connections resets new ones.
func TestTargetThatKeepsOtherCallsHasNotCrashed(t *testing.T) {
	f := newFixture(t, reset)
	f.calls.set(1, 2)
	assert.Assert(t, !f.lost(1))
	assert.Equal(t, len(f.notifier.updates), 0)
}

// Guards against a single broken connection, such as that of a truncated response, that is taken for a crash, and against
// calls that are held up by the check while others show that the target runs.
func TestTargetThatHoldsConnectionsHasNotCrashed(t *testing.T) {
	f := newFixture(t, func(net.Conn) {})
	f.calls.set(1)
	assert.Assert(t, !f.lost(1))
	f.calls.set(1, 2)
	fastest := time.Hour // of several, as the test may be held up itself
	for range 20 {
		began := time.Now()
		assert.Assert(t, !f.lost(1))
		fastest = min(fastest, time.Since(began))
	}
	assert.Assert(t, fastest < 25*time.Millisecond, "%v", fastest)
	assert.Equal(t, len(f.notifier.updates), 0)
}
