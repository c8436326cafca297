package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/requestid"
	"mustardmast/core/retry"
	"mustardmast/io/execute"
	"mustardmast/io/message"
)

// own starts a request whose id this node issued. The ledger is asked before the call is refused for any other reason,
// because a refusal as not-executed must hold for earlier sends of the same id too.
func (d *Dispatcher) own(ctx context.Context, r *message.Request, id requestid.ID) (execute.Reply, error) {
	c := r.Call
	dec, err := d.p.Ledger.Begin(d.p.Clock.Now(), ledger.Request{
		ID: id, Service: c.Service(), Method: c.Method(), Backer: c.Backer(), Digest: r.Digest, Attempt: c.Attempt(),
		Retries: c.Retries(),
	})
	if err != nil {
		return d.refuse(c), err
	}
	if dec.Action == ledger.Replay {
		return execute.Reply{Response: replay(dec.Response)}, nil
	}
	// A caller whose connection broke will ask again under the same id. The request runs on to its deadline, so that
	// the answer is there to be given.
	ctx, cancel := detach(ctx, c.Deadline())
	o := owned{d: d, ticket: dec.Ticket, cancel: cancel}
	if dec.Action == ledger.QueryExecutor {
		if err := o.ask(ctx, dec.Attempt); err != nil {
			o.release()
			return d.refuse(c), err
		}
	}
	a, err := o.run(ctx, r)
	if err != nil {
		o.release()
	}
	return a, err
}

// detach returns a context that outlives its parent and ends at the deadline, if there is one.
func detach(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx = context.WithoutCancel(ctx)
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func replay(a ledger.Response) *message.Response {
	h := http.Header{}
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	return &message.Response{
		Status: a.Status, Header: h, Body: io.NopCloser(bytes.NewReader(a.Body)), Length: int64(len(a.Body)),
	}
}

// owned is one handler's work on one record of the ledger.
type owned struct {
	d      *Dispatcher
	ticket ledger.Ticket
	cancel context.CancelFunc
}

func (o *owned) release() {
	o.d.p.Ledger.Release(o.d.p.Clock.Now(), o.ticket)
	o.cancel()
}

// run sends attempts until one ends in something else than a truthful not-executed, or no retries are left.
func (o *owned) run(ctx context.Context, r *message.Request) (execute.Reply, error) {
	d := o.d
	withheld, err := d.admit(r)
	if err != nil {
		return d.refuse(r.Call), err
	}
	var t tries
	for n := 1; ; n++ {
		a, err := o.attempt(ctx, r, &t, withheld)
		withheld = 0 // counted by the first send
		if err == nil {
			if n == 1 {
				d.p.Policy.Succeeded(d.p.Clock.Now(), r.Call)
			}
			a.Retries += d.p.Ledger.RetriesLeft(d.p.Clock.Now(), o.ticket)
			return a, nil
		}
		// The ledger holds the request's budget; the policy decides on the outcome, the deadline and the edge's ratio.
		if !d.again(ctx, r.Call, retry.NewBudget(1), err, n) {
			a.Retries = d.p.Ledger.RetriesLeft(d.p.Clock.Now(), o.ticket)
			return a, err
		}
	}
}

// attempt makes one send and settles the ledger's record by how it ended.
func (o *owned) attempt(ctx context.Context, r *message.Request, t *tries, withheld uint32) (execute.Reply, error) {
	d := o.d
	now := d.p.Clock.Now()
	if r.Call.Expired(now) {
		return d.refuse(r.Call), fault.New(fault.DeadlinePassed, "before it was sent to a target")
	}
	m, _, err := d.pick(now, r, t)
	if err != nil {
		return d.refuse(r.Call), err
	}
	at, retries, err := d.p.Ledger.RecordDispatch(now, o.ticket, m.ID)
	if err != nil {
		d.p.Picker.Done(now, mustardmast.Result{Member: m.ID, Service: r.Call.Service(), Kind: fault.Canceled})
		return d.refuse(r.Call), err
	}
	a, err := d.send(ctx, m, r, retry.NewBudget(retries).Grant(true), sendOptions{nonce: uint64(at.Nonce), withheld: withheld, repeats: t.repeats()})
	if err == nil {
		o.keep(&a, at)
		return a, nil
	}
	if fault.From(err).Outcome() == fault.NotExecuted {
		d.p.Ledger.RecordNotExecuted(d.p.Clock.Now(), o.ticket, at, a.Retries)
		return a, err
	}
	if d.p.Ledger.NeedsQuery(d.p.Clock.Now(), o.ticket, at) {
		if settled := o.ask(context.WithoutCancel(ctx), at); settled != nil {
			return a, settled
		}
		err = fault.Wrap(err, fault.PeerUnreachable, "withdrawn at the executor before it started")
	}
	return a, err
}

// ask settles an attempt by what its executor says. Nil means that it was not executed and never will be.
func (o *owned) ask(ctx context.Context, a ledger.Attempt) error {
	s := o.d.p.AttemptQuerier.QueryAttempt(ctx, a.Executor, a)
	return o.d.p.Ledger.RecordStatus(o.d.p.Clock.Now(), o.ticket, a, s)
}

// keep lets the ledger have the answer when it is complete.
func (o *owned) keep(a *execute.Reply, at ledger.Attempt) {
	b := &keptBody{ReadCloser: a.Response.Body, limit: ledger.DefaultLimits.ResponseBytes, done: func(body []byte, whole bool) {
		defer o.release()
		now := o.d.p.Clock.Now()
		if !whole {
			_ = o.d.p.Ledger.RecordStatus(now, o.ticket, at, ledger.Executed)
			return
		}
		o.d.p.Ledger.RecordCompletion(now, o.ticket, at, ledger.Response{
			Status: a.Response.Status, ContentType: a.Response.Header.Get("Content-Type"), Body: body,
		})
	}}
	a.Response.Body = b
}
