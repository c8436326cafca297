package dispatch

import (
	"context"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/retry"
	"mustardmast/io/execute"
	"mustardmast/io/message"
)

// repeat sends an idempotent call, and again on failure while the budgets allow.
func (d *Dispatcher) repeat(ctx context.Context, r *message.Request) (execute.Answer, error) {
	if now := d.clock.Now(); !d.levels.Admit(now, r.Call) {
		return d.refuse(r.Call), fault.New(fault.Shed, "the services below shed calls of this priority and backer")
	}
	b := retry.NewBudget(r.Call.Retries())
	var tried []mustardmast.NodeID
	for n := 1; ; n++ {
		a, err := d.try(ctx, r, b, &tried)
		a.Retries = b.Left()
		if err == nil {
			if n == 1 {
				d.policy.Succeeded(d.clock.Now(), r.Call)
			}
			return a, nil
		}
		if !d.again(ctx, r.Call, b, err, n) {
			return a, err
		}
	}
}

// again decides on one more send and waits for its time.
func (d *Dispatcher) again(ctx context.Context, c call.Call, b *retry.Budget, err error, n int) bool {
	dec := d.policy.Decide(d.clock.Now(), c, b, err, n)
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
func (d *Dispatcher) try(ctx context.Context, r *message.Request, b *retry.Budget, tried *[]mustardmast.NodeID) (execute.Answer, error) {
	now := d.clock.Now()
	m, ok := d.pick(now, r.Call, tried)
	if !ok {
		return d.refuse(r.Call), fault.Newf(fault.NoTarget, "service %q", r.Call.Service())
	}
	wait, hedge := time.Duration(0), false
	if r.Body.Whole() {
		wait, hedge = d.picker.HedgeAfter(now, r.Call)
	}
	if !hedge {
		return d.send(ctx, m, r, b.Lend(), sendOptions{})
	}
	h := hedged{d: d, r: r, b: b, tried: tried}
	return h.run(ctx, m, wait)
}

// pick chooses a member. When every member was tried, all may be tried again: the failure may have been of a moment.
func (d *Dispatcher) pick(now time.Time, c call.Call, tried *[]mustardmast.NodeID) (mustardmast.Member, bool) {
	members := d.members.Serving(c.Service())
	m, ok := d.picker.Pick(now, c, members, *tried)
	if !ok && len(*tried) > 0 {
		*tried = (*tried)[:0]
		m, ok = d.picker.Pick(now, c, members, nil)
	}
	if ok {
		*tried = append(*tried, m.ID)
	}
	return m, ok
}

// sendOptions are the rarely used parts of a send.
type sendOptions struct {
	nonce       uint64      // the owner's dispatch number
	hedgeUnused func() bool // whether a second send was reserved and not made
}

// send makes one send to one member and reports it to the picker when the answer was read to its end.
func (d *Dispatcher) send(ctx context.Context, m mustardmast.Member, r *message.Request, g *retry.Grant, o sendOptions) (execute.Answer, error) {
	start := d.clock.Now()
	s := r.Call.Spec()
	s.Retries = g.Units()
	out := *r
	out.Call = call.New(s)
	h := execute.Hop{Addressed: m.ID, Nonce: o.nonce, Withheld: d.levels.Withheld(start, r.Call)}
	a, err := d.deliver(ctx, m, &out, h)
	g.Return(a.Retries)
	now := d.clock.Now()
	d.levels.Learn(now, r.Call, a.Level)
	res := mustardmast.Result{
		Member: m.ID, Service: r.Call.Service(), Latency: now.Sub(start), Load: a.Load,
		HasLoad: a.Load.Limit > 0, Long: r.Call.Long(),
	}
	report := func(err error) {
		res.Kind = fault.KindOf(err)
		res.HedgeUnused = o.hedgeUnused != nil && o.hedgeUnused()
		d.picker.Done(d.clock.Now(), res)
	}
	if err != nil {
		report(err)
		return a, err
	}
	a.Response.Body = &countedBody{ReadCloser: a.Response.Body, done: report}
	return a, nil
}

func (d *Dispatcher) deliver(ctx context.Context, m mustardmast.Member, r *message.Request, h execute.Hop) (execute.Answer, error) {
	if m.ID == d.self.ID {
		return d.local.Execute(ctx, r, h)
	}
	return d.peers.Execute(ctx, m, r, h)
}
