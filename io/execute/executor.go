// Package execute is the part of a node that runs calls on the target of its host.
//
// Every call to the target passes here, from this node or from another: the incarnation that it is addressed to, the
// target's readiness, the deadline, the quarantine and the register are checked, admission grants a slot, and the
// request goes to the target. Errors raised before that last step say truthfully that nothing was executed.
package execute

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/register"
	"mustardmast/io/message"
	"mustardmast/io/target"
)

// Hop is what the sender says beside the call itself.
type Hop struct {
	Addressed mustardmast.NodeID // the incarnation that the sender means
	Nonce     uint64             // the owner's dispatch number, for non-idempotent calls
	Withheld  uint32
}

// Answer is a response with what the node adds to it.
type Answer struct {
	Response *message.Response
	Load     mustardmast.Load
	Level    mustardmast.Level
	Retries  int // rest of the call's retry budget, also when the call failed
}

// Sender sends a request to the target at an address.
type Sender interface {
	Send(ctx context.Context, a target.Announcement, now time.Time, r *message.Request, seen call.Call) (*message.Response, error)
}

// Executor runs calls on the target of this host.
type Executor struct {
	id       mustardmast.NodeID
	clock    mustardmast.Clock
	admit    mustardmast.Admitter
	local    *target.Local
	sender   Sender
	guards   []Guard
	attempts attempts
	running  *Running
	waiters  waiters
	tickets  atomic.Uint64
	inFlight atomic.Int64
}

// Guard checks a call between admission and the target, and hears how it ended.
type Guard interface {
	// Before returns an error to refuse the call. The error must be a kind whose outcome is not-executed.
	Before(now time.Time, c call.Call, digest uint64, h Hop) error

	// After is called once for each call that passed Before. The status is 0 if the target sent none.
	After(now time.Time, c call.Call, digest uint64, h Hop, status int, err error)
}

// New returns an executor. The guards are asked in order.
func New(id mustardmast.NodeID, clock mustardmast.Clock, admit mustardmast.Admitter, local *target.Local, sender Sender, running *Running, reg *register.Register, guards ...Guard) *Executor {
	return &Executor{
		id: id, clock: clock, admit: admit, local: local, sender: sender, running: running, attempts: attempts{reg},
		guards: guards,
	}
}

// Tick advances the admission. It is subscribed to the timer service.
func (x *Executor) Tick(now time.Time) { x.deliver(now, x.admit.Tick(now)) }

// InFlight returns the number of calls that hold a slot or wait for one.
func (x *Executor) InFlight() int { return int(x.inFlight.Load()) }

// Execute runs one call. The response's body must be closed; the slot is held until then.
func (x *Executor) Execute(ctx context.Context, r *message.Request, h Hop) (Answer, error) {
	x.inFlight.Add(1)
	a, err := x.execute(ctx, r, h)
	if err != nil {
		x.inFlight.Add(-1)
	}
	now := x.clock.Now()
	a.Load = x.admit.Load(now)
	a.Level = min(a.Level, x.admit.LevelFor(now, r.Call.Priority(), r.Call.Backer()))
	return a, err
}

func (x *Executor) execute(ctx context.Context, r *message.Request, h Hop) (Answer, error) {
	none := Answer{Level: mustardmast.FullLevel, Retries: r.Call.Retries()}
	now := x.clock.Now()
	if h.Addressed != x.id {
		return none, fault.Newf(fault.WrongIncarnation, "this is incarnation %x", uint64(x.id))
	}
	if _, err := x.ready(now, r.Call); err != nil {
		return none, x.attempts.refuse(now, r.Call, h, err)
	}
	ticket := x.tickets.Add(1)
	if err := x.slot(ctx, now, ticket, r.Call, h); err != nil {
		return none, x.attempts.refuse(x.clock.Now(), r.Call, h, err)
	}
	res, e, err := x.send(ctx, ticket, r, h)
	return Answer{Response: res, Level: e.Level(), Retries: e.Retries()}, err
}

func (x *Executor) ready(now time.Time, c call.Call) (target.Announcement, error) {
	a, err := x.local.Ready(now)
	switch {
	case err != nil:
		return a, err
	case a.Service != c.Service():
		return a, fault.Newf(fault.NoTarget, "this host serves %q, not %q", a.Service, c.Service())
	case c.Expired(now):
		return a, fault.New(fault.DeadlinePassed, "before it was given to the target")
	}
	return a, nil
}

// slot waits until the admission grants a slot.
func (x *Executor) slot(ctx context.Context, now time.Time, ticket uint64, c call.Call, h Hop) error {
	granted := x.waiters.expect(ticket)
	v := x.admit.Offer(now, mustardmast.Work{Ticket: ticket, Call: c, Deadline: c.Deadline(), Long: c.Long(), Withheld: h.Withheld})
	if v.Action == mustardmast.Wait {
		select {
		case v = <-granted:
		case <-ctx.Done():
			x.abandon(ticket, granted)
			return fault.Wrap(ctx.Err(), fault.Canceled, "while waiting for a slot").WithOutcome(fault.NotExecuted)
		}
	} else {
		x.waiters.forget(ticket)
	}
	if v.Action == mustardmast.Refuse {
		return fault.New(v.Kind, "refused by admission").WithRetryAfter(v.RetryAfter)
	}
	return nil
}

// abandon withdraws a ticket, or gives the slot back if the grant came first.
func (x *Executor) abandon(ticket uint64, granted chan mustardmast.Verdict) {
	now := x.clock.Now()
	x.admit.Cancel(now, ticket)
	x.waiters.forget(ticket)
	select {
	case v := <-granted:
		if v.Action == mustardmast.Run {
			x.release(ticket, 0, fault.Canceled)
		}
	default:
	}
}

// send gives the call to the target. The slot is released when it fails or when the response's body is closed.
func (x *Executor) send(ctx context.Context, ticket uint64, r *message.Request, h Hop) (*message.Response, *Execution, error) {
	e := newExecution(r.Call)
	passed, err := x.guard(r, h)
	if err == nil {
		x.running.add(e)
		var res *message.Response
		start := x.clock.Now()
		if res, err = x.write(ctx, start, r, h); err == nil {
			res.Body = &body{ReadCloser: res.Body, finish: func(err error) {
				x.finish(ticket, e, r, h, passed, start, res.Status, err)
				x.inFlight.Add(-1)
			}}
			return res, e, nil
		}
		x.finish(ticket, e, r, h, passed, start, 0, err)
		return nil, e, err
	}
	now := x.clock.Now()
	err = x.attempts.refuse(now, r.Call, h, err)
	x.finish(ticket, e, r, h, passed, now, 0, err)
	return nil, e, err
}

// guard asks the guards in order and returns how many let the call pass.
func (x *Executor) guard(r *message.Request, h Hop) (int, error) {
	now := x.clock.Now()
	for i, g := range x.guards {
		if err := g.Before(now, r.Call, r.Digest, h); err != nil {
			return i, err
		}
	}
	return len(x.guards), nil
}

// write checks readiness, deadline and register again and writes the request to the target. The process may have been
// paused since admission, so the time is read directly before.
func (x *Executor) write(ctx context.Context, now time.Time, r *message.Request, h Hop) (*message.Response, error) {
	a, err := x.ready(now, r.Call)
	if err != nil {
		return nil, x.attempts.refuse(now, r.Call, h, err)
	}
	if err := x.attempts.start(now, r.Call, h); err != nil {
		return nil, err
	}
	res, err := x.sender.Send(ctx, a, now, r, seenByTarget(r.Call))
	if err != nil {
		x.attempts.end(x.clock.Now(), r.Call, h, err)
	}
	return res, err
}

// finish ends a call that held a slot.
func (x *Executor) finish(ticket uint64, e *Execution, r *message.Request, h Hop, passed int, start time.Time, status int, err error) {
	now := x.clock.Now()
	if status != 0 {
		x.attempts.end(now, r.Call, h, err)
	}
	for _, g := range x.guards[:passed] {
		g.After(now, r.Call, r.Digest, h, status, err)
	}
	x.running.remove(e)
	x.release(ticket, now.Sub(start), fault.KindOf(err))
}

// seenByTarget is the call with the target's own service on its path, so that the target's sub-calls carry it.
func seenByTarget(c call.Call) call.Call {
	s := c.Spec()
	s.Path = append(s.Path, s.Service)
	return call.New(s)
}

func (x *Executor) release(ticket uint64, latency time.Duration, k fault.Kind) {
	now := x.clock.Now()
	x.deliver(now, x.admit.Done(now, mustardmast.Completion{Ticket: ticket, Latency: latency, Kind: k}))
}

// deliver passes verdicts on. A slot granted to a call that has gone goes to the next one.
func (x *Executor) deliver(now time.Time, vs []mustardmast.Verdict) {
	for len(vs) > 0 {
		var next []mustardmast.Verdict
		for _, t := range x.waiters.deliver(vs) {
			next = append(next, x.admit.Done(now, mustardmast.Completion{Ticket: t, Kind: fault.Canceled})...)
		}
		vs = next
	}
}

// body calls finish once, when the response was read or given up.
type body struct {
	io.ReadCloser
	err    error
	ended  bool
	finish func(err error)
	closed bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.ended = true
	case err != nil:
		b.err = fault.Wrap(err, fault.AnswerCut, "read the target's response")
		return n, b.err
	}
	return n, err
}

func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	if b.err == nil && !b.ended {
		b.err = fault.New(fault.Canceled, "the response was not read to its end")
	}
	b.finish(b.err)
	return err
}
