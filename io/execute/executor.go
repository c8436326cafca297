// Package execute runs calls on the target of the node's host.
//
// Every call to the target, whether from this node or from another one, goes through an Executor. It checks the
// addressed incarnation, the target's readiness, the deadline, the quarantine and the register, obtains a slot from the
// admission controller and sends the request to the target. Errors that occur before the request is sent report
// truthfully that it was not executed.
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
	"mustardmast/io/crash"
	"mustardmast/io/message"
	"mustardmast/io/target"
)

// shedRetryAfter is returned to callers whose calls would be shed by the sub-calls' services. Admission levels recover
// within about a second.
const shedRetryAfter = 500 * time.Millisecond

// Envelope contains what a node sends with a call in addition to the call itself.
type Envelope struct {
	Recipient mustardmast.NodeID // node incarnation that the call is addressed to
	Nonce     uint64             // the owner's dispatch number, for non-idempotent calls
	Withheld  uint32             // calls that the sender rejected on the receiver's behalf since the last call it sent
}

// Reply is a response together with the load and admission data that the node adds to it.
type Reply struct {
	Response *message.Response
	Load     mustardmast.Load
	Level    mustardmast.Level
	HasLevel bool // whether Level is set
	Retries  int  // unused part of the call's retry budget, also set when the call failed
}

// Sender sends a request to the announced target. The headers that describe the call are written from sent instead of
// r.Call.
type Sender interface {
	Send(ctx context.Context, a target.Announcement, now time.Time, r *message.Request, sent call.Call) (*message.Response, error)
}

// Executor runs calls on the target of this host. It is safe for concurrent use.
type Executor struct {
	options       Options
	attempts      attempts
	crashDetector *crash.Detector[*Execution]
	waiters       waiters
	lastTicket    atomic.Uint64
	inFlight      atomic.Int64
}

// Options are the dependencies of an Executor.
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
	CrashNotifier crash.Notifier
	Levels        *level.Table
	SubCallLevels *level.SubCalls
	Meter         mustardmast.Meter
	OnCrash       func(service string, inFlight []*Execution) // called for each crash of the target
}

// New returns an executor.
func New(options Options) *Executor {
	return &Executor{options: options, attempts: attempts{options.Register}, crashDetector: crash.New(crash.Options[*Execution]{
		Node: options.Self.ID, Quarantine: options.Quarantine, InFlight: options.RunningCalls.snapshot, Notifier: options.CrashNotifier,
		OnCrash: options.OnCrash,
	})}
}

// Tick advances the admission controller. It must be called periodically, by the timer service.
func (x *Executor) Tick(now time.Time) { x.deliver(now, x.options.Admitter.Tick(now)) }

// InFlight returns the number of calls that hold a slot or wait for one.
func (x *Executor) InFlight() int { return int(x.inFlight.Load()) }

// Execute runs one call. The caller must close the response's body; the slot is held until then.
func (x *Executor) Execute(ctx context.Context, r *message.Request, env Envelope) (Reply, error) {
	x.inFlight.Add(1)
	reply, err := x.execute(ctx, r, env)
	if err != nil {
		x.inFlight.Add(-1)
	}
	now := x.options.Clock.Now()
	reply.Load = x.options.Admitter.Load(now)
	reply.Level, reply.HasLevel = x.level(now, r.Call), true
	return reply, err
}

// level returns the lower of this target's own admission level and the levels of the method's sub-calls.
func (x *Executor) level(now time.Time, c call.Call) mustardmast.Level {
	own := x.options.Admitter.LevelFor(now, c.Priority(), c.Backer())
	return min(own, x.options.SubCallLevels.MinLevel(now, x.options.Levels, c.Method(), c.Priority(), c.Backer()))
}

func (x *Executor) execute(ctx context.Context, r *message.Request, env Envelope) (Reply, error) {
	none := Reply{Retries: r.Call.Retries()}
	now := x.options.Clock.Now()
	if env.Recipient != x.options.Self.ID {
		return none, fault.Newf(fault.WrongIncarnation, "this is incarnation %x", uint64(x.options.Self.ID))
	}
	if _, err := x.checkReady(now, r.Call); err != nil {
		return none, x.attempts.reject(now, r.Call, env, err)
	}
	if !x.options.SubCallLevels.Admit(now, x.options.Levels, r.Call) {
		err := fault.New(fault.Shed, "downstream services shed calls of this priority and backer").WithRetryAfter(shedRetryAfter)
		return none, x.attempts.reject(now, r.Call, env, err)
	}
	ticket := x.lastTicket.Add(1)
	if err := x.acquireSlot(ctx, now, ticket, r.Call, env); err != nil {
		return none, x.attempts.reject(x.options.Clock.Now(), r.Call, env, err)
	}
	res, e, err := x.runOnTarget(ctx, ticket, r, env)
	return Reply{Response: res, Retries: e.Retries()}, err
}

func (x *Executor) checkReady(now time.Time, c call.Call) (target.Announcement, error) {
	a, err := x.options.Local.Ready(now)
	switch {
	case err != nil:
		return a, err
	case a.Service != c.Service():
		return a, fault.Newf(fault.NoTarget, "this host serves %q, not %q", a.Service, c.Service())
	case c.Expired(now):
		return a, fault.New(fault.DeadlinePassed, "before the request was sent to the target")
	}
	return a, nil
}

// acquireSlot waits until the admission controller grants a slot or rejects the call.
func (x *Executor) acquireSlot(ctx context.Context, now time.Time, ticket uint64, c call.Call, env Envelope) error {
	granted := x.waiters.add(ticket)
	v := x.options.Admitter.Offer(now, mustardmast.Work{Ticket: ticket, Call: c, Deadline: c.Deadline(), Long: c.Long(), Withheld: env.Withheld})
	if v.Action == mustardmast.Wait {
		select {
		case v = <-granted:
		case <-ctx.Done():
			x.cancelWait(ticket, granted)
			return fault.Wrap(ctx.Err(), fault.Canceled, "while waiting for a slot").WithOutcome(fault.NotExecuted)
		}
	} else {
		x.waiters.remove(ticket)
	}
	if v.Action == mustardmast.Reject {
		return fault.New(v.Kind, "rejected by admission control").WithRetryAfter(v.RetryAfter)
	}
	return nil
}

// cancelWait cancels a waiting ticket, or releases its slot if that was granted in the meantime.
func (x *Executor) cancelWait(ticket uint64, granted chan mustardmast.Verdict) {
	now := x.options.Clock.Now()
	x.options.Admitter.Cancel(now, ticket)
	x.waiters.remove(ticket)
	select {
	case v := <-granted:
		if v.Action == mustardmast.Run {
			x.releaseSlot(mustardmast.Completion{Ticket: ticket, Kind: fault.Canceled})
		}
	default:
	}
}

// runOnTarget runs a call that holds a slot on the target. The slot is released when the call fails or when the
// response's body is closed.
func (x *Executor) runOnTarget(ctx context.Context, ticket uint64, r *message.Request, env Envelope) (*message.Response, *Execution, error) {
	e := newExecution(r.Call, quarantine.FingerprintOf(r.Call.Service(), r.Call.Method(), r.Call.Backer(), r.Digest), env.Withheld)
	run := &run{x: x, ticket: ticket, e: e, r: r, env: env}
	if err := run.quarantine(ctx); err != nil {
		err = x.attempts.reject(x.options.Clock.Now(), r.Call, env, err)
		run.finish(0, err)
		return nil, e, err
	}
	x.options.RunningCalls.add(e)
	run.start = x.options.Clock.Now()
	res, err := x.sendToTarget(ctx, run.start, r, env, e)
	if err != nil {
		run.finish(0, err)
		return nil, e, err
	}
	res.Body = &responseBody{ReadCloser: res.Body, finish: func(err error) {
		run.finish(res.Status, err)
		x.inFlight.Add(-1)
	}}
	return res, e, nil
}

// sendToTarget checks readiness, deadline and register again and sends the request to the target. The process may have
// been paused since the call was admitted, so now must be read immediately before the call of sendToTarget.
func (x *Executor) sendToTarget(ctx context.Context, now time.Time, r *message.Request, env Envelope, e *Execution) (*message.Response, error) {
	a, err := x.checkReady(now, r.Call)
	if err != nil {
		return nil, x.attempts.reject(now, r.Call, env, err)
	}
	if err := x.attempts.start(now, r.Call, env); err != nil {
		return nil, err
	}
	sent := crash.Sent{Address: a.Address.String(), Service: a.Service, At: now, Alive: x.options.Local.LastHeartbeat()}
	res, err := x.options.Sender.Send(ctx, a, now, r, callForTarget(r.Call))
	if err != nil {
		x.attempts.end(x.options.Clock.Now(), r.Call, env, err)
		if fault.KindOf(err) == fault.TargetFailed {
			x.crashDetector.ConnectionLost(x.options.Clock.Now(), e, sent)
		}
	}
	return res, err
}

// callForTarget returns the call with the target's own service appended to the path, so that the target's sub-calls
// inherit it.
func callForTarget(c call.Call) call.Call {
	s := c.Spec()
	s.Path = append(s.Path, s.Service)
	return call.New(s)
}

func (x *Executor) releaseSlot(c mustardmast.Completion) {
	now := x.options.Clock.Now()
	x.deliver(now, x.options.Admitter.Done(now, c))
}

// deliver passes verdicts to the waiting calls. A slot granted to a canceled call is released for the next one.
func (x *Executor) deliver(now time.Time, vs []mustardmast.Verdict) {
	for len(vs) > 0 {
		var next []mustardmast.Verdict
		for _, t := range x.waiters.deliver(vs) {
			next = append(next, x.options.Admitter.Done(now, mustardmast.Completion{Ticket: t, Kind: fault.Canceled})...)
		}
		vs = next
	}
}

// responseBody calls finish once, when the body is closed. The error is nil if the body was read to its end.
type responseBody struct {
	io.ReadCloser
	err    error
	ended  bool
	finish func(err error)
	closed bool
}

func (b *responseBody) Read(p []byte) (int, error) {
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

func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	if b.err == nil && !b.ended {
		b.err = fault.New(fault.Canceled, "the response body was closed before its end")
	}
	b.finish(b.err)
	return err
}
