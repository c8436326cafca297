package hostlink_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/hostlink"
)

// A host is silent for 2.5 s while it runs a call that must not run twice. Guards against giving the call up, so that its
// caller learns nothing although the reply is there as soon as the host responds again, and against canceling it there.
func TestSilentHostKeepsCallThatMustNotRunTwice(t *testing.T) {
	started := make(chan struct{}, 1)
	var canceled atomic.Bool
	address, _ := serve(t, &node{execute: func(ctx context.Context, _ *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		started <- struct{}{}
		select {
		case <-time.After(300 * time.Millisecond):
		case <-ctx.Done():
			canceled.Store(true)
		}
		return &mustardmast.TargetReply{Status: http.StatusOK, Length: 4, Body: io.NopCloser(strings.NewReader("done"))}, nil
	}})
	relay := newRelay(t, address)
	silent := make(chan string, 1)
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(address string) { silent <- address })
	defer c.Close()
	sent := call()
	sent.Repeatable, sent.Deadline = false, time.Now().Add(5*time.Second)
	ctx, cancel := context.WithDeadline(context.Background(), sent.Deadline)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		reply, _, _, err := c.Execute(ctx, relay.address, sent)
		if err == nil {
			var raw []byte
			if raw, err = io.ReadAll(reply.Body); string(raw) != "done" {
				err = errors.New("incomplete reply")
			}
		}
		result <- err
	}()
	<-started
	time.Sleep(50 * time.Millisecond) // until the client knows that the host has received the call
	relay.pause(true)
	time.Sleep(2500 * time.Millisecond)
	select {
	case err := <-result:
		t.Fatalf("given up while the host was silent: %v", err)
	default:
	}
	assert.Equal(t, <-silent, relay.address)
	relay.pause(false)
	assert.NilError(t, <-result)
	assert.Assert(t, !canceled.Load())
}

// Guards against holding calls that can be sent to another host, and new calls, on a connection whose peer is silent.
func TestSilentHostIsNotWaitedForByOtherCalls(t *testing.T) {
	release := make(chan struct{})
	address, _ := serve(t, &node{execute: func(ctx context.Context, _ *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return &mustardmast.TargetReply{Status: http.StatusOK, Body: http.NoBody}, nil
	}})
	relay := newRelay(t, address)
	c := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	kept := make(chan error, 1)
	go func() {
		sent := call()
		sent.Repeatable = false
		_, _, _, err := c.Execute(ctx, relay.address, sent)
		kept <- err
	}()
	time.Sleep(100 * time.Millisecond)
	relay.pause(true)
	for range 2 { // the first one on the connection of the call that is kept, the second one on a new one
		began := time.Now()
		_, _, _, err := c.Execute(ctx, relay.address, call())
		assert.Assert(t, fault.From(err).Kind() == fault.PeerLost, "%v", err)
		assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
	}
	relay.pause(false)
	close(release)
	assert.NilError(t, <-kept)
}
