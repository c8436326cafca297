package dispatch

import (
	"context"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/quarantine"
	"mustardmast/core/retry"
	"mustardmast/io/execute"
	"mustardmast/io/message"
)

// dispatchIdempotent sends an idempotent call and retries it on failure as far as the budgets allow.
func (d *Dispatcher) dispatchIdempotent(ctx context.Context, r *message.Request) (execute.Reply, error) {
	withheld, err := d.admitByLevel(r)
	if err != nil {
		return d.rejectedReply(r.Call), err
	}
	budget := retry.NewBudget(r.Call.Retries())
	var history sendHistory
	maybeExecuted := false // whether a send before this one may have been executed
	for n := 1; ; n++ {
		reply, err := d.sendWithHedge(ctx, r, budget, &history, withheld)
		withheld = 0 // reported with the first send
		reply.Retries = budget.Left()
		if err == nil {
			if n == 1 {
				d.options.Policy.Succeeded(d.options.Clock.Now(), r.Call)
			}
			return reply, nil
		}
		maybeExecuted = maybeExecuted || fault.From(err).Outcome() != fault.NotExecuted
		if !d.prepareRetry(ctx, r.Call, budget, err, n) {
			return reply, outcomeOfAllSends(err, maybeExecuted)
		}
	}
}

// outcomeOfAllSends returns err with the outcome unknown if another send of the same call may have been executed: the
// rejection of the last send says nothing about the others.
func outcomeOfAllSends(err error, maybeExecuted bool) error {
	if e := fault.From(err); maybeExecuted && e.Outcome() == fault.NotExecuted {
		return e.WithOutcome(fault.Unknown)
	}
	return err
}

// shedRetryAfter is returned to callers that are rejected by a learned admission level. Levels are updated every 100 ms
// and recover within about a second.
const shedRetryAfter = 500 * time.Millisecond

// admitByLevel rejects a call that would be shed further down the call graph. For an admitted call it returns the
// number of calls rejected before that it stands for.
func (d *Dispatcher) admitByLevel(r *message.Request) (uint32, error) {
	withheld, ok := d.options.Levels.Admit(d.options.Clock.Now(), r.Call, r.Withheld)
	if !ok {
		return 0, fault.New(fault.Shed, "downstream services shed calls of this priority and backer").WithRetryAfter(shedRetryAfter)
	}
	return withheld, nil
}

// prepareRetry decides whether to retry, waits for the back-off and counts the retry. It returns false if the call must
// not be retried; n is the number of attempts made.
func (d *Dispatcher) prepareRetry(ctx context.Context, c call.Call, budget *retry.Budget, err error, n int) bool {
	if !d.awaitRetry(ctx, c, budget, err, n) {
		return false
	}
	d.options.Meter.Retried()
	return true
}

func (d *Dispatcher) awaitRetry(ctx context.Context, c call.Call, budget *retry.Budget, err error, n int) bool {
	if fault.KindOf(err) == fault.Shed && c.Cohort() >= int(d.options.Levels.Level(d.options.Clock.Now(), c.Service(), c.Method(), c.Priority(), c.Backer())) {
		return false // other targets would shed it too
	}
	dec := d.options.Policy.Decide(d.options.Clock.Now(), c, budget, err, n)
	if dec.Action == retry.GiveUp {
		return false
	}
	if dec.Wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(dec.Wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendWithHedge makes one attempt, with a second send in parallel if the first one is slow and hedging is allowed.
func (d *Dispatcher) sendWithHedge(ctx context.Context, r *message.Request, budget *retry.Budget, history *sendHistory, withheld uint32) (execute.Reply, error) {
	now := d.options.Clock.Now()
	m, suspect, err := d.pickMember(now, r, history)
	if err != nil {
		return d.rejectedReply(r.Call), err
	}
	wait, hedge := time.Duration(0), false
	if r.Body.Buffered() && !suspect {
		wait, hedge = d.options.Picker.HedgeAfter(now, r.Call)
	}
	if !hedge {
		return d.send(ctx, m, r, budget.GrantAllButOne(), sendOptions{withheld: withheld, earlierSends: history.earlierSends()})
	}
	h := hedgedSend{d: d, r: r, budget: budget, sendHistory: history, withheld: withheld}
	return h.run(ctx, m, wait)
}

// sendHistory records the sends that this node has made of one call.
type sendHistory struct {
	members []mustardmast.NodeID // already tried, to be avoided
	sends   int
}

func (h *sendHistory) record(id mustardmast.NodeID) {
	h.members = append(h.members, id)
	h.sends++
}

// earlierSends returns the number of sends before the newest one. Each increments the attempt number, so that an owner
// can distinguish the sub-calls of a retried call from those of a superseded attempt.
func (h *sendHistory) earlierSends() int { return h.sends - 1 }

// pickMember chooses a member. When all members have been tried, they may be tried again, since the failures may have
// been transient. A request that is suspected of crashing targets may run on one member only.
func (d *Dispatcher) pickMember(now time.Time, r *message.Request, history *sendHistory) (m mustardmast.Member, suspect bool, err error) {
	c := r.Call
	members := d.options.Members.Serving(c.Service())
	isolationMembers, suspect, err := d.isolationMembers(now, r, members)
	if err != nil {
		return m, suspect, err
	}
	if suspect {
		members = isolationMembers
	}
	m, ok := d.options.Picker.Pick(now, c, members, history.members)
	if !ok && len(history.members) > 0 {
		history.members = history.members[:0]
		m, ok = d.options.Picker.Pick(now, c, members, nil)
	}
	if !ok {
		return m, suspect, fault.Newf(fault.NoTarget, "service %q", c.Service())
	}
	history.record(m.ID)
	return m, suspect, nil
}

// isolationMembers returns, for a suspect request, true and the only member that may run it.
func (d *Dispatcher) isolationMembers(now time.Time, r *message.Request, members []mustardmast.Member) ([]mustardmast.Member, bool, error) {
	f := quarantine.FingerprintOf(r.Call.Service(), r.Call.Method(), r.Call.Backer(), r.Digest)
	if d.options.Quarantine.State(now, f) == quarantine.Clear {
		return nil, false, nil
	}
	m, isolated, err := d.options.Quarantine.Check(now, f, members)
	if fault.KindOf(err) == fault.Quarantined {
		d.options.Meter.QuarantineRejected()
	}
	if err != nil || !isolated {
		return nil, isolated, err
	}
	return []mustardmast.Member{m}, true, nil
}

// sendOptions are the optional parameters of a send.
type sendOptions struct {
	nonce        uint64      // the owner's dispatch number
	withheld     uint32      // number of rejected calls that this one stands for
	earlierSends int         // number of sends made before
	hedgeUnused  func() bool // reports whether a hedged send was reserved but not made
}

// send makes one send to one member. Its result is reported to the picker when the response is closed, or immediately
// if the send fails.
func (d *Dispatcher) send(ctx context.Context, m mustardmast.Member, r *message.Request, g *retry.Grant, o sendOptions) (execute.Reply, error) {
	start := d.options.Clock.Now()
	s := r.Call.Spec()
	s.Retries = g.Units()
	s.Attempt = min(s.Attempt+o.earlierSends, call.MaxAttempt)
	out := *r
	out.Call = call.New(s)
	env := execute.Envelope{Recipient: m.ID, Nonce: o.nonce, Withheld: o.withheld}
	d.recordTrace(r.Call, "sent", m.Name)
	reply, err := d.deliver(ctx, m, &out, env)
	g.Return(reply.Retries)
	now := d.options.Clock.Now()
	if reply.HasLevel {
		d.options.Levels.Learn(now, r.Call, reply.Level)
	}
	res := mustardmast.Result{
		Member: m.ID, Service: r.Call.Service(), Latency: now.Sub(start), Load: reply.Load,
		HasLoad: reply.Load.Limit > 0, Long: r.Call.Long(),
	}
	report := func(err error) {
		res.Kind = fault.KindOf(err)
		res.HedgeUnused = o.hedgeUnused != nil && o.hedgeUnused()
		d.options.Picker.Done(d.options.Clock.Now(), res)
	}
	if err != nil {
		report(err)
		return reply, err
	}
	reply.Response.Body = &reportingBody{ReadCloser: reply.Response.Body, onClose: report}
	return reply, nil
}

func (d *Dispatcher) deliver(ctx context.Context, m mustardmast.Member, r *message.Request, env execute.Envelope) (execute.Reply, error) {
	if m.ID == d.options.Self.ID {
		return d.options.Local.Execute(ctx, r, env)
	}
	return d.options.Peers.Execute(ctx, m, r, env)
}
