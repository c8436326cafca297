package localtarget_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/lifetime"
	"mustardmast/core/quarantine"
)

const suspected = 77

// suspect makes calls with the content suspected suspects, by crashes at two other nodes.
func (f *fixture) suspect() {
	for node := mustardmast.NodeID(8); node < 10; node++ {
		f.quarantine.RecordCrash(time.Now(), node, 1, []quarantine.Fingerprint{suspected, 1000 + quarantine.Fingerprint(node)})
	}
}

// start runs a call concurrently and returns a channel for its error.
func (f *fixture) start(c *mustardmast.TargetCall) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- f.run(context.Background(), c) }()
	return ended
}

func suspectCall(id string) *mustardmast.TargetCall {
	c := call(id)
	c.Content = suspected
	return c
}

// Guards against a suspect that runs on each host, and against a rejection that does not tell where it may run.
func TestSuspectIsRejectedOnOtherHosts(t *testing.T) {
	f := newFixture(t, nil)
	f.serving = []mustardmast.Member{{ID: 2, Name: "h2"}}
	f.suspect()
	_, _, err := f.Execute(context.Background(), suspectCall("a"))
	assert.Equal(t, fault.KindOf(err), fault.Shed)
	assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted)
	assert.Equal(t, fault.From(err).OnlyHost(), "h2")
	assert.Equal(t, len(f.ran()), 0)
}

// Guards against a suspect that runs beside other calls, against calls that are lost or shed for it, and against a target
// that stays reserved after it. Once it has completed, the other nodes are told.
func TestSuspectRunsAlone(t *testing.T) {
	f := newFixture(t, nil)
	f.controller.SetSlots(time.Now(), 4)
	f.serving = []mustardmast.Member{{ID: 1, Name: "h1"}}
	f.suspect()
	before := f.start(call("before"))
	eventually(t, func() bool { return len(f.ran()) == 1 })
	alone := f.start(suspectCall("alone"))
	time.Sleep(50 * time.Millisecond)
	assert.DeepEqual(t, f.ran(), []string{"before"})
	_, _, err := f.Execute(context.Background(), call("other"))
	assert.Equal(t, fault.KindOf(err), fault.QueueFull) // offered to another host
	f.release <- struct{}{}
	assert.NilError(t, <-before)
	f.release <- struct{}{}
	assert.NilError(t, <-alone)
	f.release <- struct{}{}
	assert.NilError(t, <-f.start(call("after")))
	assert.DeepEqual(t, f.ran(), []string{"before", "alone", "after"})
	assert.Equal(t, f.quarantine.State(time.Now(), suspected), quarantine.Clear)
	eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.notified) == 1
	})
}

// Guards against a target that accepts no calls for as long as a suspect waits for a long call in flight.
func TestSuspectWaitsForAShortTime(t *testing.T) {
	f := newFixture(t, nil)
	f.controller.SetSlots(time.Now(), 4)
	f.serving = []mustardmast.Member{{ID: 1, Name: "h1"}}
	f.suspect()
	long := f.start(call("long"))
	eventually(t, func() bool { return len(f.ran()) == 1 })
	began := time.Now()
	_, _, err := f.Execute(context.Background(), suspectCall("alone"))
	assert.Equal(t, fault.KindOf(err), fault.QueueFull)
	assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted)
	assert.Assert(t, time.Since(began) < 1500*time.Millisecond)
	f.release <- struct{}{}
	f.release <- struct{}{}
	assert.NilError(t, <-f.start(call("after")))
	assert.NilError(t, <-long)
}

// Guards against a target that gets no calls until its next announcement, because it has started again while its node was
// still handling the crash.
func TestTargetIsReadyAfterAQuickRestart(t *testing.T) {
	var f *fixture
	f = newFixture(t, func(http.ResponseWriter, *http.Request) {
		_ = f.listener.Close()
		panic(http.ErrAbortHandler)
	})
	f.onNotify = func() { f.announce("i-1", 2000, false) }
	c := call("a")
	c.Content = suspected
	assert.Equal(t, fault.KindOf(f.run(context.Background(), c)), fault.TargetFailed)
	assert.Equal(t, len(f.notified), 1, "the crash was not noticed")
	assert.Equal(t, f.tracker.Target().State, lifetime.Ready)
}
