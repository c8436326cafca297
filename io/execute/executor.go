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
	"mustardmast/core/level"
	"mustardmast/core/quarantine"
	"mustardmast/core/register"
	"mustardmast/io/message"
	"mustardmast/io/target"
)

// shedRetryAfter is told to callers whose calls the services below would shed. Levels recover over a second or so.
const shedRetryAfter = 500 * time.Millisecond

// Envelope is what the sender says beside the call itself.
type Envelope struct {
	Recipient mustardmast.NodeID // the incarnation that the sender means
	Nonce     uint64             // the owner's dispatch number, for non-idempotent calls
	Withheld  uint32
}

// Reply is a response with what the node adds to it.
type Reply struct {
	Response *message.Response
	Load     mustardmast.Load
	Level    mustardmast.Level
	HasLevel bool // whether the answer carried a level
	Retries  int  // rest of the call's retry budget, also when the call failed
}

// Sender sends a request to the target at an address.
type Sender interface {
	Send(ctx context.Context, a target.Announcement, now time.Time, r *message.Request, seen call.Call) (*message.Response, error)
}

// Executor runs calls on the target of this host.
type Executor struct {
	p        Options
	attempts attempts
	crashes  *crashes
	waiters  waiters
	tickets  atomic.Uint64
	inFlight atomic.Int64
}

// Options are what an Executor works with.
type Options struct {
	Self          mustardmast.Member
	Clock         mustardmast.Clock
	Members       mustardmast.Directory
	Admitter      mustardmast.Admitter
	Local         *target.Local
	Sender        Sender
	RunningCalls  *RunningCalls
	Register      *register.Register
	Quarantine    *quarantine.Quarantine
	CrashNotifier CrashNotifier
	Levels        *level.Table
	SubCallLevels *level.SubCalls
	Meter         mustardmast.Meter
	OnCrash       func(service string, inFlight []*Execution) // hears of each crash of the target
}

// New returns an executor.
func New(p Options) *Executor {
	return &Executor{p: p, attempts: attempts{p.Register}, crashes: &crashes{
		id: p.Self.ID, quarantine: p.Quarantine, running: p.RunningCalls, teller: p.CrashNotifier, crashed: p.OnCrash,
	}}
}

// Tick advances the admission. It is subscribed to the timer service.
func (x *Executor) Tick(now time.Time) { x.deliver(now, x.p.Admitter.Tick(now)) }

// InFlight returns the number of calls that hold a slot or wait for one.
func (x *Executor) InFlight() int { return int(x.inFlight.Load()) }

// Execute runs one call. The response's body must be closed; the slot is held until then.
func (x *Executor) Execute(ctx context.Context, r *message.Request, h Envelope) (Reply, error) {
	x.inFlight.Add(1)
	a, err := x.execute(ctx, r, h)
	if err != nil {
		x.inFlight.Add(-1)
	}
	now := x.p.Clock.Now()
	a.Load = x.p.Admitter.Load(now)
	a.Level, a.HasLevel = x.level(now, r.Call), true
	return a, err
}

// level is the lower one of this target's own level and of those that the method's sub-calls meet.
func (x *Executor) level(now time.Time, c call.Call) mustardmast.Level {
	own := x.p.Admitter.LevelFor(now, c.Priority(), c.Backer())
	return min(own, x.p.SubCallLevels.MinLevel(now, x.p.Levels, c.Method(), c.Priority(), c.Backer()))
}

func (x *Executor) execute(ctx context.Context, r *message.Request, h Envelope) (Reply, error) {
	none := Reply{Retries: r.Call.Retries()}
	now := x.p.Clock.Now()
	if h.Recipient != x.p.Self.ID {
		return none, fault.Newf(fault.WrongIncarnation, "this is incarnation %x", uint64(x.p.Self.ID))
	}
	if _, err := x.ready(now, r.Call); err != nil {
		return none, x.attempts.refuse(now, r.Call, h, err)
	}
	if !x.p.SubCallLevels.Admit(now, x.p.Levels, r.Call) {
		err := fault.New(fault.Shed, "the services below shed calls of this priority and backer").WithRetryAfter(shedRetryAfter)
		return none, x.attempts.refuse(now, r.Call, h, err)
	}
	ticket := x.tickets.Add(1)
	if err := x.slot(ctx, now, ticket, r.Call, h); err != nil {
		return none, x.attempts.refuse(x.p.Clock.Now(), r.Call, h, err)
	}
	res, e, err := x.send(ctx, ticket, r, h)
	return Reply{Response: res, Retries: e.Retries()}, err
}

func (x *Executor) ready(now time.Time, c call.Call) (target.Announcement, error) {
	a, err := x.p.Local.Ready(now)
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
func (x *Executor) slot(ctx context.Context, now time.Time, ticket uint64, c call.Call, h Envelope) error {
	granted := x.waiters.expect(ticket)
	v := x.p.Admitter.Offer(now, mustardmast.Work{Ticket: ticket, Call: c, Deadline: c.Deadline(), Long: c.Long(), Withheld: h.Withheld})
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
	if v.Action == mustardmast.Reject {
		return fault.New(v.Kind, "refused by admission").WithRetryAfter(v.RetryAfter)
	}
	return nil
}

// abandon withdraws a ticket, or gives the slot back if the grant came first.
func (x *Executor) abandon(ticket uint64, granted chan mustardmast.Verdict) {
	now := x.p.Clock.Now()
	x.p.Admitter.Cancel(now, ticket)
	x.waiters.forget(ticket)
	select {
	case v := <-granted:
		if v.Action == mustardmast.Run {
			x.release(mustardmast.Completion{Ticket: ticket, Kind: fault.Canceled})
		}
	default:
	}
}

// send gives the call to the target. The slot is released when it fails or when the response's body is closed.
func (x *Executor) send(ctx context.Context, ticket uint64, r *message.Request, h Envelope) (*message.Response, *Execution, error) {
	e := newExecution(r.Call, quarantine.FingerprintOf(r.Call.Service(), r.Call.Method(), r.Call.Backer(), r.Digest), h.Withheld)
	run := &run{x: x, ticket: ticket, e: e, r: r, h: h}
	if err := run.quarantine(ctx); err != nil {
		err = x.attempts.refuse(x.p.Clock.Now(), r.Call, h, err)
		run.finish(0, err)
		return nil, e, err
	}
	x.p.RunningCalls.add(e)
	run.start = x.p.Clock.Now()
	res, err := x.write(ctx, run.start, r, h)
	if err != nil {
		run.finish(0, err)
		return nil, e, err
	}
	res.Body = &body{ReadCloser: res.Body, finish: func(err error) {
		run.finish(res.Status, err)
		x.inFlight.Add(-1)
	}}
	return res, e, nil
}

// write checks readiness, deadline and register again and writes the request to the target. The process may have been
// paused since admission, so the time is read directly before.
func (x *Executor) write(ctx context.Context, now time.Time, r *message.Request, h Envelope) (*message.Response, error) {
	a, err := x.ready(now, r.Call)
	if err != nil {
		return nil, x.attempts.refuse(now, r.Call, h, err)
	}
	if err := x.attempts.start(now, r.Call, h); err != nil {
		return nil, err
	}
	try := attempt{target: a, heard: x.p.Local.LastHeartbeat(), start: now}
	res, err := x.p.Sender.Send(ctx, a, now, r, seenByTarget(r.Call))
	if err != nil {
		x.attempts.end(x.p.Clock.Now(), r.Call, h, err)
		x.crashes.failed(x.p.Clock.Now(), try, err)
	}
	return res, err
}

// seenByTarget is the call with the target's own service on its path, so that the target's sub-calls carry it.
func seenByTarget(c call.Call) call.Call {
	s := c.Spec()
	s.Path = append(s.Path, s.Service)
	return call.New(s)
}

func (x *Executor) release(c mustardmast.Completion) {
	now := x.p.Clock.Now()
	x.deliver(now, x.p.Admitter.Done(now, c))
}

// deliver passes verdicts on. A slot granted to a call that has gone goes to the next one.
func (x *Executor) deliver(now time.Time, vs []mustardmast.Verdict) {
	for len(vs) > 0 {
		var next []mustardmast.Verdict
		for _, t := range x.waiters.deliver(vs) {
			next = append(next, x.p.Admitter.Done(now, mustardmast.Completion{Ticket: t, Kind: fault.Canceled})...)
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
