package hostlink_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
)

// A call waits for a slot at its target's node until its deadline. Guards against reporting an unknown outcome for it:
// its caller could not send it again, although it has not run.
func TestDeadlineOfCallThatHasNotRun(t *testing.T) {
	address, c := serve(t, &node{execute: func(ctx context.Context, _ *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		<-ctx.Done() // the clocks of the nodes differ, so the other node does not notice the deadline first
		return nil, fault.New(fault.Canceled, "while waiting for a slot").WithOutcome(fault.NotExecuted)
	}})
	for _, repeatable := range []bool{true, false} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		sent := call()
		sent.Repeatable = repeatable
		_, _, _, err := c.Execute(ctx, address, sent)
		assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted, "%v", err)
	}
}

// Guards against waiting for a peer that does not respond to the cancellation of a call.
func TestDeadlineOfCallAtUnresponsiveHost(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address, c := serve(t, &node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		<-release
		return nil, fault.New(fault.Canceled, "")
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, _, _, err := c.Execute(ctx, address, call())
	assert.Equal(t, fault.From(err).Kind(), fault.DeadlineExceeded)
	assert.Equal(t, fault.From(err).Outcome(), fault.Unknown)
	assert.Assert(t, time.Since(began) < 400*time.Millisecond, "%v", time.Since(began))
}
