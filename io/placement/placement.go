// Package placement runs calls on targets of their service.
//
// The node beside each target decides whether it runs a call. A rejected call has not run and is offered to another
// node, at no cost to the target. A call that reached a target and failed is retried on another one only if it is
// repeatable, within the maximum attempts of its route and the retry budget shared by all nodes.
package placement

import (
	"context"
	"io"
	"time"

	"mustardmast"
	"mustardmast/core/pressure"
	"mustardmast/core/quota"
	"mustardmast/core/retrybudget"
	"mustardmast/core/roster"
	"mustardmast/io/hostlink"
)

const (
	// maxOffers is the maximum number of nodes that a call is offered to.
	maxOffers = 5
	// maxRefusedOffers replaces maxOffers while targets refuse the call. If targets refuse half of their calls, at
	// least one of eight accepts it in 99 of 100 cases. A request that fans out needs all of its sub-calls to succeed.
	maxRefusedOffers = 8
	// A repeatable call is hedged, that is sent to a second target, after hedgeDelayFactor times its usual duration
	// plus its wait for a slot, but not before minHedgeDelay. Noisy neighbors and cold starts increase the duration by
	// less. It is hedged earlier if its host is silent; see package roster.
	hedgeDelayFactor = 7
	minHedgeDelay    = 180 * time.Millisecond
	// maxHedgeDelayFraction is the maximum fraction of the time left that may pass before a hedge, so that the second
	// target has time to respond.
	maxHedgeDelayFraction = 0.5
	// noTargetDelay is how long a sub-call waits if no target is reachable, and maxNoTargetWaits how often.
	noTargetDelay    = 60 * time.Millisecond
	maxNoTargetWaits = 4
	// maxRetryLevel is the shedding level up to which a failed reply is retried. Above it, failures are caused by
	// overload, and retries would add to it.
	maxRetryLevel = 0.05
)

// largeBody is the size in bytes of a request body above which traffic between failure domains is weighted more.
const largeBody = 32 << 10

// Observer receives events of calls. Its methods must not block.
type Observer interface {
	// Offered is called after each offer to a node, with its outcome and the load report by which the host was chosen.
	Offered(c *mustardmast.TargetCall, o Offer)
	// HostDown is called when a host that was considered up cannot be reached.
	HostDown(host string, err error)
	// NewerConfig is called when another host has a newer configuration.
	NewerConfig(host string, version uint64)
}

// Offer is the offer of a call to a node.
type Offer struct {
	Host   string
	Number int // counts the offers of this call from 1
	Report mustardmast.TargetReport
	Age    time.Duration // age of the report when the host was chosen
	Status int           // status of the target's reply; 0 if there is none
	Err    error
	Took   time.Duration
}

// Placer runs calls on targets. Its methods may be called concurrently.
type Placer struct {
	roster   *roster.Roster
	local    mustardmast.Executor
	link     *hostlink.Client
	budget   *retrybudget.Budget
	levels   *pressure.Levels
	observer Observer
	replies  replyBuffers
}

// New returns a placer. Local executes calls on the target of this host. Buffered replies take memory from a quota.
func New(r *roster.Roster, local mustardmast.Executor, link *hostlink.Client, b *retrybudget.Budget, l *pressure.Levels, o Observer, buffers *quota.Quota) *Placer {
	return &Placer{roster: r, local: local, link: link, budget: b, levels: l, observer: o, replies: replyBuffers{quota: buffers}}
}

// UnbufferedReplies returns the number of replies that were streamed because the others took all buffer space.
func (p *Placer) UnbufferedReplies() int64 { return p.replies.unbuffered.Load() }

// Place runs a call. Body returns the body from its start; it is nil if the body can be read only once. MaxTries is the
// maximum number of targets that the call may reach. ObserveLevel, if not nil, is called with each shedding level
// reported for the call.
func (p *Placer) Place(ctx context.Context, c *mustardmast.TargetCall, body func() io.Reader, maxTries int, observeLevel func(level float64)) (*mustardmast.TargetReply, error) {
	if c.Retry {
		p.budget.RecordRetry(time.Now(), c.Service)
	} else {
		p.budget.RecordRequest(time.Now(), c.Service)
	}
	a := &attempt{placer: p, call: c, waitingSince: time.Now(), body: body, maxTries: maxTries, observeLevel: observeLevel, excluded: map[string]bool{}, reached: map[string]bool{}}
	for {
		host, ok := a.choose(ctx)
		if !ok {
			return a.result()
		}
		reply, err := a.offer(ctx, host)
		if err == nil && !a.retryAfterReply(reply) {
			discard(a.failedReply)
			return reply, nil
		}
		if err != nil && !a.retryAfterError(ctx, err) {
			return a.result()
		}
		if err == nil {
			a.excluded[host.Host] = true
			discard(a.failedReply)
			a.failedReply = reply
		}
	}
}
