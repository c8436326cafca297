package client

import (
	"context"
	"sync/atomic"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/retry"
)

// sending is the work on one request.
type sending struct {
	c        *Client
	r        *Request
	path     string
	deadline time.Time
	budget   *retry.Budget
	call     call.Call

	id       string
	attempts atomic.Int32
	mayRun   atomic.Bool // a send ended without the answer that it was not executed
}

// Do sends a request and returns its complete response, or an *Error.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	s := &sending{c: c, r: &r, budget: r.Budget}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(c.settings.Timeout)
	}
	s.deadline = deadline
	s.call = call.New(call.Spec{Service: r.Service, Method: r.Method, Idempotent: r.Idempotent, Deadline: deadline})
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := s.prepare(); err != nil {
		return nil, s.fail(err)
	}
	for round := 1; ; round++ {
		res, err := s.round(ctx)
		if err == nil {
			if round == 1 {
				c.policy.Succeeded(time.Now(), s.call)
			}
			return res, nil
		}
		d := c.policy.Decide(time.Now(), s.call, s.budget, err, round)
		if d.Action == retry.GiveUp || !sleep(ctx, d.Wait) {
			return nil, s.fail(err)
		}
	}
}

// prepare settles path, budget and, unless it has to be issued, the id.
func (s *sending) prepare() error {
	var err error
	if s.path, err = s.r.path(); err != nil {
		return err
	}
	if s.budget == nil {
		n := s.c.settings.RetryBudget
		if s.r.Parent != nil {
			n = 0
		}
		s.budget = retry.NewBudget(n)
	}
	switch {
	case s.r.ID != "":
		s.id = s.r.ID
		s.attempts.Store(int32(max(s.r.Attempts, 1)))
		s.mayRun.Store(true)
	case s.r.parentID() != "":
		s.id = s.r.parentID()
	case s.r.Idempotent:
		s.id = ownID()
	}
	return nil
}

// fail returns the end of the request over all its sends: a last send that was not executed says nothing about the
// earlier ones.
func (s *sending) fail(err error) error {
	e := fault.From(err)
	if e.Outcome() == fault.NotExecuted && s.mayRun.Load() {
		e = e.WithOutcome(fault.Unknown)
	}
	return &Error{
		cause: e, id: s.id, attempts: int(s.attempts.Load()), advice: AdviceFor(e.Kind(), e.Outcome(), s.r.Idempotent),
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

// round makes one send, and a second one beside it if hedging is on and the first answer is late.
func (s *sending) round(ctx context.Context) (*Response, error) {
	wait := s.c.settings.HedgeAfter
	if wait <= 0 || !s.r.Idempotent {
		return s.send(ctx, nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	start := func(avoid map[string]bool) {
		res, err := s.send(ctx, avoid)
		results <- result{res, err}
	}
	first := s.c.nodes.choose(time.Now(), nil)
	go start(nil)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case r := <-results:
		return r.res, r.err
	case <-t.C:
	}
	running := 1
	if s.budget.Left() > 0 && s.c.ratio.Take(time.Now(), s.r.Service) && s.budget.Take() {
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
