package client

import (
	"context"
	"sync/atomic"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/retry"
)

// invocation is the state of one call of Do.
type invocation struct {
	client   *Client
	request  *Request
	path     string
	deadline time.Time
	budget   *retry.Budget
	call     call.Call

	id         string
	attempts   atomic.Int32
	mayHaveRun atomic.Bool // a send has ended without a response that it was not executed
}

// Do sends a request and returns its complete response, or an *Error.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	inv := &invocation{client: c, request: &r, budget: r.Budget}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(c.settings.Timeout)
	}
	inv.deadline = deadline
	inv.call = call.New(call.Spec{Service: r.Service, Method: r.Method, Idempotent: r.Idempotent, Deadline: deadline})
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := inv.prepare(); err != nil {
		return nil, inv.finalError(err)
	}
	for round := 1; ; round++ {
		res, err := inv.sendHedged(ctx)
		if err == nil {
			if round == 1 {
				c.policy.Succeeded(time.Now(), inv.call)
			}
			return res, nil
		}
		d := c.policy.Decide(time.Now(), inv.call, inv.budget, err, round)
		if d.Action == retry.GiveUp || !sleep(ctx, d.Wait) {
			return nil, inv.finalError(err)
		}
	}
}

// prepare sets the path, the retry budget and, unless a node has to issue it, the id.
func (inv *invocation) prepare() error {
	var err error
	if inv.path, err = inv.request.path(); err != nil {
		return err
	}
	if inv.budget == nil {
		n := inv.client.settings.RetryBudget
		if inv.request.Parent != nil {
			n = 0
		}
		inv.budget = retry.NewBudget(n)
	}
	switch {
	case inv.request.ID != "":
		inv.id = inv.request.ID
		inv.attempts.Store(int32(max(inv.request.Attempts, 1)))
		inv.mayHaveRun.Store(true)
	case inv.request.parentID() != "":
		inv.id = inv.request.parentID()
	case inv.request.Idempotent:
		inv.id = newRandomID()
	}
	return nil
}

// finalError returns the error of the request over all its sends. If the last send was not executed, the outcome is
// still unknown if an earlier send may have run.
func (inv *invocation) finalError(err error) error {
	e := fault.From(err)
	if e.Outcome() == fault.NotExecuted && inv.mayHaveRun.Load() {
		e = e.WithOutcome(fault.Unknown)
	}
	return &Error{
		cause: e, id: inv.id, attempts: int(inv.attempts.Load()), advice: AdviceFor(e.Kind(), e.Outcome(), inv.request.Idempotent),
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

type result struct {
	res *Response
	err error
}

// sendHedged sends the request, and a second time in parallel if hedging is enabled and the first response is late.
func (inv *invocation) sendHedged(ctx context.Context) (*Response, error) {
	wait := inv.client.settings.HedgeAfter
	if wait <= 0 || !inv.request.Idempotent {
		return inv.send(ctx, nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	start := func(avoid map[string]bool) {
		res, err := inv.send(ctx, avoid)
		results <- result{res, err}
	}
	first := inv.client.nodes.choose(time.Now(), nil)
	go start(nil)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case r := <-results:
		return r.res, r.err
	case <-t.C:
	}
	running := 1
	if inv.budget.Left() > 0 && inv.client.retryRatio.Take(time.Now(), inv.request.Service) && inv.budget.Take() {
		running++
		go start(map[string]bool{first: true})
	}
	var r result
	for ; running > 0; running-- {
		if r = <-results; r.err == nil {
			break
		}
	}
	return r.res, r.err
}
