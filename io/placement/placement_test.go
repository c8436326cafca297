package placement_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/pressure"
	"mustardmast/core/quota"
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
	p := placement.New(roster.New(self, 1), nil, link, retrybudget.New(retrybudget.Spec{Ratio: 0.2, Slack: 10, Window: time.Second}), pressure.New(), observer{}, quota.New(24<<20))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	c := &mustardmast.TargetCall{ID: "a.b", Service: "ledger", SubCall: true, Deadline: time.Now().Add(5 * time.Second)}
	_, err := p.Place(ctx, c, func() io.Reader { return nil }, 2, nil)
	f := fault.From(err)
	assert.Assert(t, f != nil)
	assert.Equal(t, f.Kind(), fault.Canceled)
	assert.Equal(t, f.Outcome(), fault.NotExecuted)
}

// full is an executor whose queue is full: it rejects each call after the time that the call may wait.
type full struct{ offers int }

func (e *full) Execute(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, error) {
	e.offers++
	time.Sleep(c.MaxWait)
	return nil, mustardmast.TargetReport{Ready: true}, fault.New(fault.QueueFull, "")
}

func (e *full) Exchange(m hostlink.GossipMessage) hostlink.GossipMessage { return m }
func (e *full) ConfigDocument() []byte                                   { return nil }

// Guards against a call that waits for a slot at one node after another, each time for the longest time that it may: it is
// then rejected too late for its caller to use another place.
func TestCallWaitsOnceForAllNodes(t *testing.T) {
	const maxWait = 150 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	other := &full{}
	s := hostlink.NewServer(other, other)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	link := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer link.Close()
	hosts := roster.New(roster.Record{Host: "h1", Service: "board", Ready: true}, 1)
	hosts.Merge(roster.Record{Host: "h2", Address: l.Addr().String(), Service: "board", Ready: true}, false)
	own := &full{}
	p := placement.New(hosts, own, link, retrybudget.New(retrybudget.Spec{Ratio: 0.2, Slack: 10, Window: time.Second}), pressure.New(), observer{}, quota.New(24<<20))
	c := &mustardmast.TargetCall{ID: "a", Service: "board", Deadline: time.Now().Add(5 * time.Second), MaxWait: maxWait}
	began := time.Now()
	_, err = p.Place(context.Background(), c, func() io.Reader { return nil }, 2, nil)
	assert.Equal(t, fault.From(err).Outcome(), fault.NotExecuted)
	assert.Equal(t, own.offers+other.offers, 2)
	assert.Assert(t, time.Since(began) < maxWait*3/2, "%v", time.Since(began))
}

// target is an executor that replies after a time, or never.
type target struct {
	after time.Duration // negative for never
	runs  atomic.Int64
}

func (e *target) Execute(ctx context.Context, _ *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, error) {
	e.runs.Add(1)
	if e.after < 0 {
		<-ctx.Done()
		return nil, mustardmast.TargetReport{}, fault.Wrap(ctx.Err(), fault.Canceled, "")
	}
	time.Sleep(e.after)
	return &mustardmast.TargetReply{Status: http.StatusOK, Body: http.NoBody}, mustardmast.TargetReport{Ready: true, Service: "watch", Limit: 59, Duration: e.after}, nil
}

func (e *target) Exchange(m hostlink.GossipMessage) hostlink.GossipMessage { return m }
func (e *target) ConfigDocument() []byte                                   { return nil }

// A host vanishes without closing its connections, as one that loses power. Guards against calls that had been sent to it
// and wait until their deadline, although a repeatable call has time for a second host: each costs the run that made it.
func TestCallToVanishedHostIsSentToAnother(t *testing.T) {
	vanished, healthy := &target{after: -1}, &target{after: 30 * time.Millisecond}
	hosts := roster.New(roster.Record{Host: "h0", Service: "board", Ready: true}, 1)
	for name, e := range map[string]*target{"h1": vanished, "h2": healthy} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := hostlink.NewServer(e, e)
		go func() { _ = s.Serve(l) }()
		defer func() { _ = s.Close() }()
		hosts.Merge(roster.Record{Host: name, Address: l.Addr().String(), Service: "watch", Ready: true}, false)
	}
	link := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer link.Close()
	p := placement.New(hosts, nil, link, retrybudget.New(retrybudget.Spec{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}), pressure.New(), observer{}, quota.New(24<<20))
	for _, repeatable := range []bool{true, false} {
		before := healthy.runs.Load()
		for name, duration := range map[string]time.Duration{"h1": 30 * time.Millisecond, "h2": 60 * time.Millisecond} { // the vanished one is preferred
			hosts.RecordReply(time.Now(), name, mustardmast.TargetReport{Ready: true, Service: "watch", Limit: 59, Duration: duration}, true, false)
		}
		c := &mustardmast.TargetCall{ID: "a.b", Service: "watch", SubCall: true, Repeatable: repeatable, MaxWait: 350 * time.Millisecond, Deadline: time.Now().Add(700 * time.Millisecond)}
		ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
		defer cancel()
		_, err := p.Place(ctx, c, func() io.Reader { return nil }, 2, nil)
		if repeatable {
			assert.NilError(t, err)
		} else if healthy.runs.Load() > before {
			t.Fatal("a call that must not run twice was sent to a second host")
		}
	}
	assert.Equal(t, vanished.runs.Load(), int64(2))
}

// onlyOn is an executor that runs a call on one host only, as it does with a suspect.
type onlyOn struct{ full }

func (e *onlyOn) Execute(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, error) {
	e.offers++
	return nil, mustardmast.TargetReport{Ready: true}, fault.New(fault.Shed, "").WithOnlyHost("h2")
}

type accepting struct{ full }

func (accepting) Execute(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, error) {
	return &mustardmast.TargetReply{Status: http.StatusOK, Body: http.NoBody}, mustardmast.TargetReport{Ready: true}, nil
}

// Guards against a suspect that is offered to one host after another and rejected by each, although one would run it.
func TestCallIsOfferedToTheOnlyHost(t *testing.T) {
	hosts := roster.New(roster.Record{Host: "h1", Service: "board", Ready: true}, 1)
	for _, name := range []string{"h2", "h3", "h4", "h5", "h6", "h7", "h8"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		var e mustardmast.Executor = &onlyOn{}
		if name == "h2" {
			e = &accepting{}
		}
		s := hostlink.NewServer(e, &full{})
		go func() { _ = s.Serve(l) }()
		defer func() { _ = s.Close() }()
		hosts.Merge(roster.Record{Host: name, Address: l.Addr().String(), Service: "board", Ready: true, Started: 1}, true)
	}
	link := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer link.Close()
	p := placement.New(hosts, &onlyOn{}, link, retrybudget.New(retrybudget.Spec{Ratio: 0.2, Slack: 10, Window: time.Second}), pressure.New(), observer{}, quota.New(24<<20))
	for range 20 {
		c := &mustardmast.TargetCall{ID: "a", Service: "board", Deadline: time.Now().Add(time.Second), Begun: time.Now()}
		reply, err := p.Place(context.Background(), c, func() io.Reader { return nil }, 1, nil)
		assert.NilError(t, err)
		assert.Equal(t, reply.Status, http.StatusOK)
	}
}
