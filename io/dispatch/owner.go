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

// dispatchAsOwner handles a request whose id this node issued. The ledger is consulted before the call can be rejected
// for any other reason, because a not-executed outcome must hold for earlier sends of the same id too.
func (d *Dispatcher) dispatchAsOwner(ctx context.Context, r *message.Request, id requestid.ID) (execute.Reply, error) {
	c := r.Call
	dec, err := d.p.Ledger.Begin(d.p.Clock.Now(), ledger.Request{
		ID: id, Service: c.Service(), Method: c.Method(), Backer: c.Backer(), Digest: r.Digest, Attempt: c.Attempt(),
		Retries: c.Retries(),
	})
	if err != nil {
		return d.rejectedReply(c), err
	}
	if dec.Action == ledger.Replay {
		return execute.Reply{Response: replayedResponse(dec.Response)}, nil
	}
	// A caller whose connection broke will retry with the same id. The request continues until its deadline, so that
	// its response can then be replayed.
	ctx, cancel := detach(ctx, c.Deadline())
	o := ownedRequest{d: d, ticket: dec.Ticket, cancel: cancel}
	if dec.Action == ledger.QueryExecutor {
		if err := o.queryExecutor(ctx, dec.Attempt); err != nil {
			o.release()
			return d.rejectedReply(c), err
		}
	}
	a, err := o.run(ctx, r)
	if err != nil {
		o.release()
	}
	return a, err
}

// detach returns a context that is not canceled with its parent but ends at the deadline, if there is one.
func detach(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx = context.WithoutCancel(ctx)
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func replayedResponse(a ledger.Response) *message.Response {
	h := http.Header{}
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	return &message.Response{
		Status: a.Status, Header: h, Body: io.NopCloser(bytes.NewReader(a.Body)), Length: int64(len(a.Body)),
	}
}

// ownedRequest is one handler's exclusive work on a record of the ledger.
type ownedRequest struct {
	d      *Dispatcher
	ticket ledger.Ticket
	cancel context.CancelFunc
}

func (o *ownedRequest) release() {
	o.d.p.Ledger.Release(o.d.p.Clock.Now(), o.ticket)
	o.cancel()
}

// run makes attempts until one ends with an outcome other than not-executed, or no retries are left.
func (o *ownedRequest) run(ctx context.Context, r *message.Request) (execute.Reply, error) {
	d := o.d
	withheld, err := d.admitByLevel(r)
	if err != nil {
		return d.rejectedReply(r.Call), err
	}
	var history sendHistory
	for n := 1; ; n++ {
		a, err := o.attempt(ctx, r, &history, withheld)
		withheld = 0 // reported with the first send
		if err == nil {
			if n == 1 {
				d.p.Policy.Succeeded(d.p.Clock.Now(), r.Call)
			}
			a.Retries += d.p.Ledger.RetriesLeft(d.p.Clock.Now(), o.ticket)
			return a, nil
		}
		// The ledger holds the request's retry budget; the policy considers outcome, deadline and retry ratio.
		if !d.prepareRetry(ctx, r.Call, retry.NewBudget(1), err, n) {
			a.Retries = d.p.Ledger.RetriesLeft(d.p.Clock.Now(), o.ticket)
			return a, err
		}
	}
}

// attempt makes one send and updates the ledger's record with its result.
func (o *ownedRequest) attempt(ctx context.Context, r *message.Request, history *sendHistory, withheld uint32) (execute.Reply, error) {
	d := o.d
	now := d.p.Clock.Now()
	if r.Call.Expired(now) {
		return d.rejectedReply(r.Call), fault.New(fault.DeadlinePassed, "before the request was sent to a target")
	}
	m, _, err := d.pickMember(now, r, history)
	if err != nil {
		return d.rejectedReply(r.Call), err
	}
	at, retries, err := d.p.Ledger.RecordDispatch(now, o.ticket, m.ID)
	if err != nil {
		d.p.Picker.Done(now, mustardmast.Result{Member: m.ID, Service: r.Call.Service(), Kind: fault.Canceled})
		return d.rejectedReply(r.Call), err
	}
	a, err := d.send(ctx, m, r, retry.NewBudget(retries).Grant(true), sendOptions{nonce: uint64(at.Nonce), withheld: withheld, earlierSends: history.earlierSends()})
	if err == nil {
		o.recordResponse(&a, at)
		return a, nil
	}
	if fault.From(err).Outcome() == fault.NotExecuted {
		d.p.Ledger.RecordNotExecuted(d.p.Clock.Now(), o.ticket, at, a.Retries)
		return a, err
	}
	if d.p.Ledger.NeedsQuery(d.p.Clock.Now(), o.ticket, at) {
		if queryErr := o.queryExecutor(context.WithoutCancel(ctx), at); queryErr != nil {
			return a, queryErr
		}
		err = fault.Wrap(err, fault.PeerUnreachable, "the executor canceled the attempt before it started")
	}
	return a, err
}

// queryExecutor queries the status of an attempt and records it in the ledger. Nil means that the attempt was not
// executed and never will be.
func (o *ownedRequest) queryExecutor(ctx context.Context, a ledger.Attempt) error {
	s := o.d.p.AttemptQuerier.QueryAttempt(ctx, a.Executor, a)
	return o.d.p.Ledger.RecordStatus(o.d.p.Clock.Now(), o.ticket, a, s)
}

// recordResponse makes the ledger record the response when it has been read completely.
func (o *ownedRequest) recordResponse(a *execute.Reply, at ledger.Attempt) {
	b := &recordingBody{ReadCloser: a.Response.Body, limit: ledger.DefaultLimits.ResponseBytes, onClose: func(body []byte, complete bool) {
		defer o.release()
		now := o.d.p.Clock.Now()
		if !complete {
			_ = o.d.p.Ledger.RecordStatus(now, o.ticket, at, ledger.Executed)
			return
		}
		o.d.p.Ledger.RecordCompletion(now, o.ticket, at, ledger.Response{
			Status: a.Response.Status, ContentType: a.Response.Header.Get("Content-Type"), Body: body,
		})
	}}
	a.Response.Body = b
}
