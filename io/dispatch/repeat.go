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

// repeat sends an idempotent call, and again on failure while the budgets allow.
func (d *Dispatcher) repeat(ctx context.Context, r *message.Request) (execute.Reply, error) {
	withheld, err := d.admit(r)
	if err != nil {
		return d.refuse(r.Call), err
	}
	b := retry.NewBudget(r.Call.Retries())
	var t tries
	ran := false // whether a send before this one may have been executed
	for n := 1; ; n++ {
		a, err := d.try(ctx, r, b, &t, withheld)
		withheld = 0 // counted by the first send
		a.Retries = b.Left()
		if err == nil {
			if n == 1 {
				d.p.Policy.Succeeded(d.p.Clock.Now(), r.Call)
			}
			return a, nil
		}
		ran = ran || fault.From(err).Outcome() != fault.NotExecuted
		if !d.again(ctx, r.Call, b, err, n) {
			return a, mayHaveRun(err, ran)
		}
	}
}

// mayHaveRun returns err with the outcome unknown if another send of the same call may have been executed: that the
// last one was refused says nothing about the others.
func mayHaveRun(err error, ran bool) error {
	if e := fault.From(err); ran && e.Outcome() == fault.NotExecuted {
		return e.WithOutcome(fault.Unknown)
	}
	return err
}

// shedRetryAfter is told to callers that are refused by a learned level. Levels are set anew every 100 ms and recover
// over a second or so.
const shedRetryAfter = 500 * time.Millisecond

// admit refuses a call that its chain would shed anyway, and returns the calls held back before that it stands for.
func (d *Dispatcher) admit(r *message.Request) (uint32, error) {
	withheld, ok := d.p.Levels.Admit(d.p.Clock.Now(), r.Call, r.Withheld)
	if !ok {
		return 0, fault.New(fault.Shed, "the services below shed calls of this priority and backer").WithRetryAfter(shedRetryAfter)
	}
	return withheld, nil
}

// again decides on one more send, waits for its time and counts it.
func (d *Dispatcher) again(ctx context.Context, c call.Call, b *retry.Budget, err error, n int) bool {
	if !d.mayRepeat(ctx, c, b, err, n) {
		return false
	}
	d.p.Meter.Retried()
	return true
}

func (d *Dispatcher) mayRepeat(ctx context.Context, c call.Call, b *retry.Budget, err error, n int) bool {
	if fault.KindOf(err) == fault.Shed && c.Cohort() >= int(d.p.Levels.Level(d.p.Clock.Now(), c.Service(), c.Method(), c.Priority(), c.Backer())) {
		return false // the other targets would shed it too
	}
	dec := d.p.Policy.Decide(d.p.Clock.Now(), c, b, err, n)
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

// try makes one attempt, with a second send beside it if the first one is late and hedging is allowed.
func (d *Dispatcher) try(ctx context.Context, r *message.Request, b *retry.Budget, t *tries, withheld uint32) (execute.Reply, error) {
	now := d.p.Clock.Now()
	m, suspect, err := d.pick(now, r, t)
	if err != nil {
		return d.refuse(r.Call), err
	}
	wait, hedge := time.Duration(0), false
	if r.Body.Buffered() && !suspect {
		wait, hedge = d.p.Picker.HedgeAfter(now, r.Call)
	}
	if !hedge {
		return d.send(ctx, m, r, b.GrantAllButOne(), sendOptions{withheld: withheld, repeats: t.repeats()})
	}
	h := hedged{d: d, r: r, b: b, tries: t, withheld: withheld}
	return h.run(ctx, m, wait)
}

// tries are the sends that a node has made of one call.
type tries struct {
	members []mustardmast.NodeID // to pass over
	sends   int
}

func (t *tries) add(id mustardmast.NodeID) {
	t.members = append(t.members, id)
	t.sends++
}

// repeats returns how many sends came before the newest. Each raises the attempt number, so that an owner can tell the
// sub-calls of a repeated call from late ones.
func (t *tries) repeats() int { return t.sends - 1 }

// pick chooses a member. When every member was tried, all may be tried again: the failure may have been of a moment.
// Content that is suspected of crashing targets has one member that may run it.
func (d *Dispatcher) pick(now time.Time, r *message.Request, t *tries) (m mustardmast.Member, suspect bool, err error) {
	c := r.Call
	members := d.p.Members.Serving(c.Service())
	home, suspect, err := d.home(now, r, members)
	if err != nil {
		return m, suspect, err
	}
	if suspect {
		members = home
	}
	m, ok := d.p.Picker.Pick(now, c, members, t.members)
	if !ok && len(t.members) > 0 {
		t.members = t.members[:0]
		m, ok = d.p.Picker.Pick(now, c, members, nil)
	}
	if !ok {
		return m, suspect, fault.Newf(fault.NoTarget, "service %q", c.Service())
	}
	t.add(m.ID)
	return m, suspect, nil
}

// home returns the one member that may run a suspect request.
func (d *Dispatcher) home(now time.Time, r *message.Request, members []mustardmast.Member) ([]mustardmast.Member, bool, error) {
	f := quarantine.FingerprintOf(r.Call.Service(), r.Call.Method(), r.Call.Backer(), r.Digest)
	if d.p.Quarantine.State(now, f) == quarantine.Clear {
		return nil, false, nil
	}
	m, only, err := d.p.Quarantine.Check(now, f, members)
	if fault.KindOf(err) == fault.Quarantined {
		d.p.Meter.QuarantineRejected()
	}
	if err != nil || !only {
		return nil, only, err
	}
	return []mustardmast.Member{m}, true, nil
}

// sendOptions are the rarely used parts of a send.
type sendOptions struct {
	nonce       uint64      // the owner's dispatch number
	withheld    uint32      // calls held back before this one
	repeats     int         // sends made before
	hedgeUnused func() bool // whether a second send was reserved and not made
}

// send makes one send to one member and reports it to the picker when the answer was read to its end.
func (d *Dispatcher) send(ctx context.Context, m mustardmast.Member, r *message.Request, g *retry.Grant, o sendOptions) (execute.Reply, error) {
	start := d.p.Clock.Now()
	s := r.Call.Spec()
	s.Retries = g.Units()
	s.Attempt = min(s.Attempt+o.repeats, call.MaxAttempt)
	out := *r
	out.Call = call.New(s)
	h := execute.Envelope{Recipient: m.ID, Nonce: o.nonce, Withheld: o.withheld}
	d.note(r.Call, "sent", m.Name)
	a, err := d.deliver(ctx, m, &out, h)
	g.Return(a.Retries)
	now := d.p.Clock.Now()
	if a.HasLevel {
		d.p.Levels.Learn(now, r.Call, a.Level)
	}
	res := mustardmast.Result{
		Member: m.ID, Service: r.Call.Service(), Latency: now.Sub(start), Load: a.Load,
		HasLoad: a.Load.Limit > 0, Long: r.Call.Long(),
	}
	report := func(err error) {
		res.Kind = fault.KindOf(err)
		res.HedgeUnused = o.hedgeUnused != nil && o.hedgeUnused()
		d.p.Picker.Done(d.p.Clock.Now(), res)
	}
	if err != nil {
		report(err)
		return a, err
	}
	a.Response.Body = &countedBody{ReadCloser: a.Response.Body, done: report}
	return a, nil
}

func (d *Dispatcher) deliver(ctx context.Context, m mustardmast.Member, r *message.Request, h execute.Envelope) (execute.Reply, error) {
	if m.ID == d.p.Self.ID {
		return d.p.Local.Execute(ctx, r, h)
	}
	return d.p.Peers.Execute(ctx, m, r, h)
}
