// Package localtarget runs calls on the target of this host.
//
// All calls to a target pass through the node beside it, so the Executor has the exact set of running and waiting
// calls, the lifetime of the target that serves them, and whether the target is draining. Its decision is final: a call
// that it rejects has not run and will not, and a call that is not repeatable is started at most once. For the same reason
// it sees which calls were in flight when the target crashed, and stops those that crash targets; see package quarantine.
package localtarget

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mustardmast"
	"mustardmast/core/admission"
	"mustardmast/core/fault"
	"mustardmast/core/lifetime"
	"mustardmast/core/pressure"
	"mustardmast/core/quarantine"
	"mustardmast/io/crash"
	"mustardmast/io/targetconn"
)

const (
	// maxWaitFactor times its MaxWait is how long a call may wait for a slot. Admission compares MaxWait with the
	// estimated wait only, and the estimate may be too low.
	maxWaitFactor = 1.5
	// maxStartedIDs is the number of ids of non-repeatable calls after which a new set is begun. The previous set is
	// kept as well, so that at least this many are remembered.
	maxStartedIDs = 8192
	// minTimeLeft is the minimum time before the deadline to start a call. With less, the response could not reach the
	// caller in time.
	minTimeLeft = 3 * time.Millisecond
)

// Observer receives the decisions of an Executor. Its methods must not block.
type Observer interface {
	// CallRejected is called for a call that was not started.
	CallRejected(c *mustardmast.TargetCall, err error, r admission.Report, t lifetime.Target)
	// CallCompleted is called when a started call ends, successfully or not.
	CallCompleted(c *mustardmast.TargetCall, waited, took time.Duration, err error, t lifetime.Target)
	// TargetLost is called when a lifetime no longer accepts connections or has been replaced.
	TargetLost(id string, err error)
	// TargetLeaving is called when a response of a lifetime states that it is shutting down.
	TargetLeaving(id string)
	// RateLimitChanged is called when responses of a lifetime begin or cease to name a limit on the rate of its requests,
	// or name another one. Limit is in requests per second, and 0 for no limit.
	RateLimitChanged(id string, limit float64)
	// TargetCrashed is called when a lifetime has crashed with calls in flight. Quarantined are the fingerprints of those
	// that are rejected from then on.
	TargetCrashed(t lifetime.Target, inFlight int, quarantined []quarantine.Fingerprint)
	// NoticeMalformed is called when what a response states about its lifetime cannot be decoded.
	NoticeMalformed(id string, err error)
}

// Executor runs calls on the target of this host. Its methods may be called concurrently.
type Executor struct {
	tracker    *lifetime.Tracker
	controller *admission.Controller
	pool       *targetconn.Pool
	observer   Observer
	notice     func(http.Header) (mustardmast.TargetNotice, error)
	version    func() uint64
	levels     *pressure.Levels // by the route of a run, as its sub-calls have observed them
	draining   atomic.Bool
	active     atomic.Int64
	pacer      *time.Timer // starts waiting calls when the limit on the rate allows
	quarantine *quarantine.Quarantine
	crashes    *crash.Detector[*Run]
	notifier   crash.Notifier
	host       string
	serving    func(service string) []mustardmast.Member

	mu            sync.Mutex
	started       map[string]struct{} // ids of non-repeatable calls that were started
	startedBefore map[string]struct{} // the previous set of started, see maxStartedIDs
	runs          map[string]*Run     // by the id of the call
	inFlight      map[*Run]struct{}
	lifetime      lifetime.Target // to which the last call was sent
	lifetimeSince time.Time       // when the first call was sent to it
}

// Options are the parameters and dependencies of an Executor.
type Options struct {
	Tracker    *lifetime.Tracker // of the target on which calls are executed
	Controller *admission.Controller
	Pool       *targetconn.Pool
	Observer   Observer
	Notice     func(http.Header) (mustardmast.TargetNotice, error) // decodes what a response states about the target
	Version    func() uint64                                       // returns the version of the active configuration
	Host       string                                              // name of this host
	Node       mustardmast.NodeID
	Quarantine *quarantine.Quarantine
	Notifier   crash.Notifier
	Serving    func(service string) []mustardmast.Member // returns the hosts whose targets accept requests of a service
}

// New returns an executor.
func New(o Options) *Executor {
	e := &Executor{
		tracker: o.Tracker, controller: o.Controller, pool: o.Pool, observer: o.Observer, notice: o.Notice, version: o.Version,
		levels: pressure.New(), started: map[string]struct{}{}, runs: map[string]*Run{}, inFlight: map[*Run]struct{}{},
		quarantine: o.Quarantine, notifier: o.Notifier, host: o.Host, serving: o.Serving,
	}
	e.crashes = crash.New(crash.Options[*Run]{
		Node: o.Node, Quarantine: o.Quarantine, InFlight: e.callsInFlight, Notifier: o.Notifier, OnCrash: e.targetCrashed,
	})
	e.pacer = time.AfterFunc(math.MaxInt64, e.startWaiting) // reset when a call waits for the limit on the rate
	return e
}

// startWaiting starts the waiting calls that may start by now, and sets the timer for the next one if only the limit on
// the rate of calls holds it.
func (e *Executor) startWaiting() {
	if d, limited := e.controller.StartNext(time.Now()); limited {
		e.pacer.Reset(d)
	}
}

// Drain makes the executor reject all further calls.
func (e *Executor) Drain() { e.draining.Store(true) }

// Active returns the number of calls that are running or waiting.
func (e *Executor) Active() int64 { return e.active.Load() }

// Report returns the state of the target.
func (e *Executor) Report() mustardmast.TargetReport {
	t := e.tracker.Target()
	r := e.controller.Report(time.Now())
	return mustardmast.TargetReport{
		Ready: t.State == lifetime.Ready && !e.draining.Load(), Service: t.Service,
		Limit: r.Limit, Running: r.Running, Waiting: r.Waiting, Duration: r.ServiceTime,
		Level: r.Level, Version: e.version(),
	}
}

// Execute implements mustardmast.Executor.
func (e *Executor) Execute(ctx context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, error) {
	e.active.Add(1)
	run := &Run{fingerprint: quarantine.Fingerprint(c.Content), route: c.Route, levels: e.levels, priority: c.Priority, rank: c.Rank, begun: c.Begun, retry: c.Retry}
	reply, err := e.execute(ctx, c, run)
	if err != nil {
		e.active.Add(-1)
	}
	report := e.Report()
	report.Level = max(report.Level, float64(run.level.Load())/levelScale)
	if fault.KindOf(err) == fault.Shed {
		report.Level = max(report.Level, e.levels.Level(time.Now(), c.Route))
	}
	report.HasSubCalls = run.hasSubCalls.Load()
	return reply, report, err
}

func (e *Executor) execute(ctx context.Context, c *mustardmast.TargetCall, r *Run) (*mustardmast.TargetReply, error) {
	t := e.tracker.Target()
	ticket, err := e.admit(ctx, c, t, r)
	if err != nil {
		e.release(r)
		e.observer.CallRejected(c, err, e.controller.Report(time.Now()), t)
		return nil, err
	}
	began := time.Now()
	r.admittedFraction = c.AdmittedFraction
	sent := e.begin(c.ID, r, t, began)
	runCtx, cancel := ctx, func() {}
	if !c.Repeatable {
		// A call that is not repeatable runs to completion for its side effects, even if its caller has canceled, but
		// at most until 1 s after its deadline.
		runCtx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.Deadline.Add(time.Second))
	}
	finish := func(err error, succeeded bool) {
		e.checkConnection(t, r, sent, err)
		cancel()
		e.end(c.ID, r)
		e.done(ticket, succeeded)
		e.observer.CallCompleted(c, ticket.Waited(), time.Since(began), err, t)
	}
	reply, header, err := e.pool.Do(runCtx, c, t.ID, c.Deadline)
	if header != nil {
		e.handleNotice(began, t, header)
	}
	if err != nil {
		e.targetFailed(t, err)
		finish(err, false)
		return nil, err
	}
	succeeded := reply.Status < http.StatusInternalServerError // a failure may be faster than real work
	reply.Body = &replyBody{ReadCloser: reply.Body, onClose: func(complete bool, err error) {
		if complete && succeeded {
			e.recordCompletion(c.Service, r)
		}
		finish(err, succeeded)
		e.active.Add(-1)
	}}
	return reply, nil
}

// admit waits for a slot of the target. The caller must release the returned ticket, and the run in any case.
func (e *Executor) admit(ctx context.Context, c *mustardmast.TargetCall, t lifetime.Target, r *Run) (*admission.Ticket, error) {
	if err := e.checkTarget(c, t); err != nil {
		return nil, err
	}
	now := time.Now()
	if c.Deadline.Sub(now) < minTimeLeft {
		return nil, fault.New(fault.DeadlinePassed, "not enough time left before the deadline")
	}
	if err := e.isolate(ctx, c, r); err != nil {
		return nil, err
	}
	if err := e.shed(now, c); err != nil {
		return nil, err
	}
	ticket, wait := e.controller.Admit(now, admission.Request{SubCall: c.SubCall, Priority: c.Priority, CallerRetry: c.CallerRetry, Rank: c.Rank, AdmittedFraction: c.AdmittedFraction, AlreadyCounted: c.OfferedBefore, MaxWait: c.MaxWait, Begun: c.Begun})
	if ticket == nil {
		return nil, fault.Newf(fault.QueueFull, "estimated wait %v of at most %v", wait, c.MaxWait).WithRetryAfter(wait)
	}
	if wait > 0 {
		e.startWaiting()
		if err := e.waitForSlot(ctx, c, ticket); err != nil {
			return nil, err
		}
	}
	if err := e.checkStart(ctx, c, t); err != nil {
		e.done(ticket, false)
		return nil, err
	}
	return ticket, nil
}

// shed rejects a call whose sub-calls would overload a service downstream. The entry node sheds as well, but it learns of
// an overload only from the replies to its own requests, after they have run.
func (e *Executor) shed(now time.Time, c *mustardmast.TargetCall) error {
	if c.SubCall {
		return nil
	}
	before := c.AdmittedFraction
	probability, fraction := e.levels.Admission(now, c.Route, pressure.Request{Rank: c.Rank, CallerRetry: c.CallerRetry, AdmittedFraction: before})
	if rand.Float64() >= probability {
		return fault.Newf(fault.Shed, "shedding level %.2f downstream, observed %v ago; admitted fraction %.2f, %.2f at the entry node",
			e.levels.Level(now, c.Route), e.levels.Age(now, c.Route), fraction, before)
	}
	c.AdmittedFraction = fraction
	return nil
}

// done releases the slot of a call.
func (e *Executor) done(t *admission.Ticket, completed bool) {
	e.controller.Done(time.Now(), t, completed)
	e.startWaiting()
}

// handleNotice applies what the response to a call states about the lifetime that the call was sent to.
func (e *Executor) handleNotice(sent time.Time, t lifetime.Target, h http.Header) {
	n, err := e.notice(h)
	if err != nil {
		e.observer.NoticeMalformed(t.ID, err)
	}
	if n.Leaving && e.tracker.MarkLeaving(sent, t) {
		e.observer.TargetLeaving(t.ID)
	}
	if !e.tracker.IsCurrent(sent, t) {
		return
	}
	if e.controller.TargetResponded(time.Now(), n.RateLimit, n.Limited) {
		e.observer.RateLimitChanged(t.ID, n.RateLimit)
		e.startWaiting() // the next waiting call may start at another time
	}
}

// checkTarget returns an error if the current lifetime of the target cannot run the call.
func (e *Executor) checkTarget(c *mustardmast.TargetCall, t lifetime.Target) error {
	switch {
	case e.draining.Load():
		return fault.New(fault.Draining, "the node is draining")
	case t.State == lifetime.Draining:
		return fault.New(fault.Draining, "the target is draining")
	case t.State != lifetime.Ready:
		return fault.New(fault.NotReady, "the target is "+t.State.String())
	case t.Service != c.Service:
		return fault.Newf(fault.NotReady, "the target serves %q, not the requested service", t.Service)
	}
	return nil
}

func (e *Executor) waitForSlot(ctx context.Context, c *mustardmast.TargetCall, ticket *admission.Ticket) error {
	maxWait := time.Duration(float64(c.MaxWait) * maxWaitFactor)
	timer := time.NewTimer(min(maxWait, time.Until(c.Deadline)-minTimeLeft))
	defer timer.Stop()
	var err error
	select {
	case <-ticket.Started():
		return nil
	case <-ctx.Done():
		err = fault.Wrap(ctx.Err(), fault.Canceled, "while waiting for a slot")
	case <-timer.C:
		err = fault.Newf(fault.QueueFull, "no slot became free within %v", maxWait).WithRetryAfter(c.MaxWait)
	}
	if !e.controller.Cancel(ticket) { // it has been started in the meantime
		e.done(ticket, false)
	}
	return err
}

// checkStart checks a call immediately before it is sent to the target.
func (e *Executor) checkStart(ctx context.Context, c *mustardmast.TargetCall, t lifetime.Target) error {
	if ctx.Err() != nil {
		return fault.Wrap(ctx.Err(), fault.Canceled, "before the call was started")
	}
	if time.Until(c.Deadline) < minTimeLeft {
		return fault.New(fault.DeadlinePassed, "not enough time left before the deadline")
	}
	if now := e.tracker.Target(); now.ID != t.ID || now.State == lifetime.Gone || now.State == lifetime.Absent {
		return fault.New(fault.NotReady, "the target was replaced or lost while the call waited")
	}
	if !c.Repeatable && !e.recordStart(c.ID) {
		return fault.New(fault.OutcomeUnknown, "a call with this id has already been started")
	}
	return nil
}

// recordStart records that a non-repeatable call is started. It returns false if its id has already been recorded.
func (e *Executor) recordStart(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.started[id]; ok {
		return false
	}
	if _, ok := e.startedBefore[id]; ok {
		return false
	}
	if len(e.started) >= maxStartedIDs {
		e.startedBefore, e.started = e.started, map[string]struct{}{}
	}
	e.started[id] = struct{}{}
	return true
}

// targetFailed marks the lifetime as lost if the error shows that it is gone or replaced.
func (e *Executor) targetFailed(t lifetime.Target, err error) {
	switch fault.From(err).Kind() {
	case fault.NotReady, fault.WrongIncarnation:
		if e.tracker.MarkLost(t.ID) {
			e.pool.CloseIdle()
			e.observer.TargetLost(t.ID, err)
		}
	}
}
