// Package placement takes a call to a target of its service.
//
// The node beside each target decides whether the call runs. A call that was turned away has not run and is placed
// again elsewhere at no price to the target. A call that reached a target and failed goes to another one only if it is
// repeatable, within the attempts of its route and the retry budget that all nodes share.
package placement

import (
	"context"
	"io"
	"time"

	"mustardmast"
	"mustardmast/core/pressure"
	"mustardmast/core/retrybudget"
	"mustardmast/core/roster"
	"mustardmast/io/hostlink"
)

const (
	// mostPlaces bounds the offers of one call to nodes.
	mostPlaces = 5
	// mostRefused bounds them while targets refuse the call. Of targets that refuse half of their calls, at least one of
	// eight takes it in 99 of 100 cases, and a request whose calls fan out needs all of them.
	mostRefused = 8
	// muteDurations is how many times its usual duration a repeatable call may take, beside its wait for a slot, before
	// another target is asked beside the first, and leastMute the least time. Noisy neighbours and cold starts stretch the duration by less.
	muteDurations = 7
	leastMute     = 180 * time.Millisecond
	// mostMute is the part of the time left that may pass before that, so that there is time for the other one.
	mostMute = 0.5
	// wholeAnswer is the largest answer that is read to its end before any of it goes to the caller, so that a cut
	// answer can be asked for again.
	wholeAnswer = 256 << 10
	// innerPause is how long a call of a running request waits when no target is reachable, and innerPauses how often.
	innerPause  = 60 * time.Millisecond
	innerPauses = 4
	// calm is the shedding level up to which a failed answer is asked for again; above it failures come from overload,
	// and repeating them adds to it.
	calm = 0.05
)

// bulky is the size of a body above which traffic between failure domains counts more, in bytes.
const bulky = 32 << 10

// Observer is told of what happens to calls. Its methods must not block.
type Observer interface {
	// Offered is called for each offer to a node, with its outcome and the news of the host that it was chosen by.
	Offered(c *mustardmast.TargetCall, o Offer)
	// HostDown is called when a host that was believed to be up cannot be reached.
	HostDown(host string, err error)
	// NewerConfig is called when a host has a later configuration.
	NewerConfig(host string, version uint64)
}

// Offer is one offer of a call to a node.
type Offer struct {
	Host   string
	Number int // of the offers of this call
	Report mustardmast.TargetReport
	Age    time.Duration // of the report when the host was chosen
	Status int           // of the target's answer; 0 if there is none
	Err    error
	Took   time.Duration
}

// Placer takes calls to targets. Its methods may be called concurrently.
type Placer struct {
	roster    *roster.Roster
	local     mustardmast.Executor
	link      *hostlink.Client
	allowance *retrybudget.Budget
	levels    *pressure.Levels
	observer  Observer
}

// New returns a placer. Local runs the calls for the own host's target.
func New(r *roster.Roster, local mustardmast.Executor, link *hostlink.Client, a *retrybudget.Budget, l *pressure.Levels, o Observer) *Placer {
	return &Placer{roster: r, local: local, link: link, allowance: a, levels: l, observer: o}
}

// Place runs a call. Body returns the body from its start; it is nil if the body can be read only once. Most is the number
// of targets that the call may reach. Met, if it is not nil, is called with each shedding level that the call met.
func (p *Placer) Place(ctx context.Context, c *mustardmast.TargetCall, body func() io.Reader, most int, met func(level float64)) (*mustardmast.TargetReply, error) {
	if c.Retry {
		p.allowance.RecordRetry(time.Now(), c.Service)
	} else {
		p.allowance.RecordRequest(time.Now(), c.Service)
	}
	a := &attempt{placer: p, call: c, body: body, most: most, met: met, exclude: map[string]bool{}, reached: map[string]bool{}}
	for {
		host, ok := a.choose(ctx)
		if !ok {
			return a.result()
		}
		reply, err := a.offer(ctx, host)
		if err == nil && !a.again(reply) {
			return reply, nil
		}
		if err != nil && !a.next(ctx, err) {
			return a.result()
		}
		if err == nil {
			a.exclude[host.Host] = true
			a.kept = reply
		}
	}
}
