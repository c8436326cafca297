package placement_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/pressure"
	"mustardmast/core/retrybudget"
	"mustardmast/core/roster"
	"mustardmast/io/hostlink"
	"mustardmast/io/placement"
)

type observer struct{}

func (observer) Offered(*mustardmast.TargetCall, placement.Offer) {}
func (observer) HostDown(string, error)                           {}
func (observer) NewerConfig(string, uint64)                       {}

// Guards against a panic when the caller cancels while its call waits for a target. The error had no kind, so the node
// closed the connection instead of responding. It occurred while a zone was cut off.
func TestCallerCancelsWhileNoTargetIsReachable(t *testing.T) {
	link := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer link.Close()
	self := roster.Record{Host: "h1", Service: "board"}
	p := placement.New(roster.New(self, 1), nil, link, retrybudget.New(retrybudget.Spec{Ratio: 0.2, Slack: 10, Window: time.Second}), pressure.New(), observer{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	c := &mustardmast.TargetCall{ID: "a.b", Service: "ledger", SubCall: true, Deadline: time.Now().Add(5 * time.Second)}
	_, err := p.Place(ctx, c, func() io.Reader { return nil }, 2, nil)
	f := fault.From(err)
	assert.Assert(t, f != nil)
	assert.Equal(t, f.Kind(), fault.Canceled)
	assert.Equal(t, f.Outcome(), fault.NotExecuted)
}
