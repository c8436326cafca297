// Package localtarget runs calls on the target of this host.
//
// The node beside a target is the only way to it, so the Executor knows exactly what runs and waits there, which
// lifetime answers, and whether it leaves. It has the last word on every call: what it turns away has not run and will
// not, and a call that is not repeatable is started at most once.
package localtarget

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mustardmast"
	"mustardmast/core/admission"
	"mustardmast/core/fault"
	"mustardmast/core/lifetime"
	"mustardmast/io/targetconn"
)

const (
	// overstay is how much longer than estimated a call may wait before it is turned away.
	overstay = 1.5
	// mostStarted bounds the ids of calls that are remembered so that none starts twice.
	mostStarted = 8192
	// leastTime is the time left below which a call is not started: the answer could not reach its caller.
	leastTime = 3 * time.Millisecond
)

// Observer is told of what the executor decides. Its methods must not block.
type Observer interface {
	// CallRejected is called for a call that was not started.
	CallRejected(c *mustardmast.TargetCall, err error, r admission.Report, t lifetime.Target)
	// CallCompleted is called for a call that was started, at its end.
	CallCompleted(c *mustardmast.TargetCall, waited, took time.Duration, err error, t lifetime.Target)
	// TargetLost is called when a lifetime stops accepting connections or is replaced.
	TargetLost(id string, err error)
}

// Executor runs calls on the target of this host. Its methods may be called concurrently.
type Executor struct {
	tracker  *lifetime.Tracker
	intake   *admission.Controller
	pool     *targetconn.Pool
	observer Observer
	version  func() uint64
	leaving  atomic.Bool
	active   atomic.Int64

	mu      sync.Mutex
	started map[string]struct{}
	earlier map[string]struct{}
	runs    map[string]*Run
}

// Run is a call that runs on the target.
type Run struct {
	priority int
	rank     int
	kept     float64
	repeat   bool
	nested   atomic.Bool
	level    atomic.Int64 // highest shedding level that its own calls met, in thousandths
}

// Priority is that of the request at the top of the chain.
func (r *Run) Priority() int { return r.priority }

// Rank is the steps of importance of that request above the least important ones, and the share of such requests that
// were let through where it entered.
func (r *Run) Rank() (rank int, kept float64) { return r.rank, r.kept }

// Retry reports whether another target has been sent the same call before.
func (r *Run) Retry() bool { return r.repeat }

// ObserveLevel takes the shedding level that a call of the run met.
func (r *Run) ObserveLevel(level float64) {
	for l := int64(level * levelScale); ; {
		now := r.level.Load()
		if l <= now || r.level.CompareAndSwap(now, l) {
			return
		}
	}
}

const levelScale = 1000

// New returns an executor for the target that the tracker follows. Version is that of the configuration in force.
func New(t *lifetime.Tracker, i *admission.Controller, p *targetconn.Pool, o Observer, version func() uint64) *Executor {
	return &Executor{tracker: t, intake: i, pool: p, observer: o, version: version, started: map[string]struct{}{}, runs: map[string]*Run{}}
}

// Drain makes the executor turn away all further calls.
func (e *Executor) Drain() { e.leaving.Store(true) }

// Active is the number of calls that run or wait.
func (e *Executor) Active() int64 { return e.active.Load() }

// ParentRun returns the run that a request of the target belongs to, nil if it belongs to none. The id of such a request is
// the id of the run, a dot, and a part of its own.
func (e *Executor) ParentRun(id string) *Run {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[id[:dot]]
	if r != nil {
		r.nested.Store(true)
	}
	return r
}

// Report is the state of the target.
func (e *Executor) Report() mustardmast.TargetReport {
	t := e.tracker.Target()
	r := e.intake.Report(time.Now())
	return mustardmast.TargetReport{
		Ready: t.State == lifetime.Ready && !e.leaving.Load(), Service: t.Service,
		Limit: r.Limit, Running: r.Running, Waiting: r.Waiting, Duration: r.ServiceTime,
		Level: r.Level, Version: e.version(),
	}
}

// Execute implements mustardmast.Executor.
func (e *Executor) Execute(ctx context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, error) {
	e.active.Add(1)
	run := &Run{priority: c.Priority, rank: c.Rank, kept: c.AdmittedFraction, repeat: c.Retry}
	reply, err := e.execute(ctx, c, run)
	if err != nil {
		e.active.Add(-1)
	}
	report := e.Report()
	report.Level = max(report.Level, float64(run.level.Load())/levelScale)
	report.HasSubCalls = run.nested.Load()
	return reply, report, err
}

func (e *Executor) execute(ctx context.Context, c *mustardmast.TargetCall, r *Run) (*mustardmast.TargetReply, error) {
	t := e.tracker.Target()
	ticket, err := e.admit(ctx, c, t)
	if err != nil {
		e.observer.CallRejected(c, err, e.intake.Report(time.Now()), t)
		return nil, err
	}
	began := time.Now()
	e.running(c.ID, r)
	run, cancel := ctx, func() {}
	if !c.Repeatable {
		// Once started, it runs on for its effect although nobody waits for the answer.
		run, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.Deadline.Add(time.Second))
	}
	reply, err := e.pool.Do(run, c, t.ID, c.Deadline)
	if err != nil {
		cancel()
		e.running(c.ID, nil)
		e.failed(t, err)
		e.intake.Done(time.Now(), ticket, false)
		e.observer.CallCompleted(c, ticket.Waited(), time.Since(began), err, t)
		return nil, err
	}
	served := reply.Status < http.StatusInternalServerError // a failure may be faster than the work
	reply.Body = &body{ReadCloser: reply.Body, end: func(err error) {
		cancel()
		e.running(c.ID, nil)
		e.intake.Done(time.Now(), ticket, served)
		e.active.Add(-1)
		e.observer.CallCompleted(c, ticket.Waited(), time.Since(began), err, t)
	}}
	return reply, nil
}

// running enters a run, or takes it out if it is nil.
func (e *Executor) running(id string, r *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r == nil {
		delete(e.runs, id)
		return
	}
	e.runs[id] = r
}

// admit waits for a slot of the target.
func (e *Executor) admit(ctx context.Context, c *mustardmast.TargetCall, t lifetime.Target) (*admission.Ticket, error) {
	if err := e.accepts(c, t); err != nil {
		return nil, err
	}
	now := time.Now()
	if c.Deadline.Sub(now) < leastTime {
		return nil, fault.New(fault.DeadlinePassed, "no time is left")
	}
	ticket, wait := e.intake.Admit(now, admission.Request{SubCall: c.SubCall, Priority: c.Priority, CallerRetry: c.CallerRetry, Rank: c.Rank, AdmittedFraction: c.AdmittedFraction, AlreadyCounted: c.Offered, MaxWait: c.MaxWait})
	if ticket == nil {
		return nil, fault.Newf(fault.QueueFull, "would wait %v of at most %v", wait, c.MaxWait).WithRetryAfter(wait)
	}
	if wait > 0 {
		if err := e.await(ctx, c, ticket); err != nil {
			return nil, err
		}
	}
	if err := e.startable(ctx, c, t); err != nil {
		e.intake.Done(time.Now(), ticket, false)
		return nil, err
	}
	return ticket, nil
}

// accepts reports why a call cannot run on the lifetime in force.
func (e *Executor) accepts(c *mustardmast.TargetCall, t lifetime.Target) error {
	switch {
	case e.leaving.Load():
		return fault.New(fault.Draining, "the node leaves")
	case t.State == lifetime.Draining:
		return fault.New(fault.Draining, "the target leaves")
	case t.State != lifetime.Ready:
		return fault.New(fault.NotReady, "the target is "+t.State.String())
	case t.Service != c.Service:
		return fault.Newf(fault.NotReady, "the target serves %q", t.Service)
	}
	return nil
}

func (e *Executor) await(ctx context.Context, c *mustardmast.TargetCall, ticket *admission.Ticket) error {
	longest := time.Duration(float64(c.MaxWait) * overstay)
	timer := time.NewTimer(min(longest, time.Until(c.Deadline)-leastTime))
	defer timer.Stop()
	var err error
	select {
	case <-ticket.Started():
		return nil
	case <-ctx.Done():
		err = fault.Wrap(ctx.Err(), fault.Canceled, "while waiting")
	case <-timer.C:
		err = fault.Newf(fault.QueueFull, "waited %v", longest).WithRetryAfter(c.MaxWait)
	}
	if !e.intake.Cancel(ticket) { // it was started at this moment
		e.intake.Done(time.Now(), ticket, false)
	}
	return err
}

// startable is the last check before bytes leave for the target.
func (e *Executor) startable(ctx context.Context, c *mustardmast.TargetCall, t lifetime.Target) error {
	if ctx.Err() != nil {
		return fault.Wrap(ctx.Err(), fault.Canceled, "before it started")
	}
	if time.Until(c.Deadline) < leastTime {
		return fault.New(fault.DeadlinePassed, "no time is left")
	}
	if now := e.tracker.Target(); now.ID != t.ID || now.State == lifetime.Gone || now.State == lifetime.Absent {
		return fault.New(fault.NotReady, "the target has been replaced or lost")
	}
	if !c.Repeatable && !e.first(c.ID) {
		return fault.New(fault.OutcomeUnknown, "an attempt with this id has been started before")
	}
	return nil
}

// first records the start of a call that must not start twice. It returns false if it has been recorded before.
func (e *Executor) first(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.started[id]; ok {
		return false
	}
	if _, ok := e.earlier[id]; ok {
		return false
	}
	if len(e.started) >= mostStarted {
		e.earlier, e.started = e.started, map[string]struct{}{}
	}
	e.started[id] = struct{}{}
	return true
}

// failed takes what a failure tells of the target.
func (e *Executor) failed(t lifetime.Target, err error) {
	switch fault.From(err).Kind() {
	case fault.NotReady, fault.WrongIncarnation:
		if e.tracker.MarkLost(t.ID) {
			e.pool.CloseIdle()
			e.observer.TargetLost(t.ID, err)
		}
	}
}

// body calls end once, when the reply has been read or given up.
type body struct {
	io.ReadCloser
	end  func(err error)
	err  error
	once sync.Once
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.end(b.err) })
	return err
}
