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
	dec, err := d.options.Ledger.Begin(d.options.Clock.Now(), ledger.Request{
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
	reply, err := o.run(ctx, r)
	if err != nil {
		o.release()
	}
	return reply, err
}

// detach returns a context that is not canceled with its parent but ends at the deadline, if there is one.
func detach(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx = context.WithoutCancel(ctx)
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func replayedResponse(r ledger.Response) *message.Response {
	h := http.Header{}
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	return &message.Response{
		Status: r.Status, Header: h, Body: io.NopCloser(bytes.NewReader(r.Body)), Length: int64(len(r.Body)),
	}
}

// ownedRequest is one handler's exclusive work on a record of the ledger.
type ownedRequest struct {
	d      *Dispatcher
	ticket ledger.Ticket
	cancel context.CancelFunc
}

func (o *ownedRequest) release() {
	o.d.options.Ledger.Release(o.d.options.Clock.Now(), o.ticket)
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
		reply, err := o.attempt(ctx, r, &history, withheld)
		withheld = 0 // reported with the first send
		if err == nil {
			if n == 1 {
				d.options.Policy.Succeeded(d.options.Clock.Now(), r.Call)
			}
			reply.Retries += d.options.Ledger.RetriesLeft(d.options.Clock.Now(), o.ticket)
			return reply, nil
		}
		// The ledger holds the request's retry budget; the policy considers outcome, deadline and retry ratio.
		if !d.prepareRetry(ctx, r.Call, retry.NewBudget(1), err, n) {
			reply.Retries = d.options.Ledger.RetriesLeft(d.options.Clock.Now(), o.ticket)
			return reply, err
		}
	}
}

// attempt makes one send and updates the ledger's record with its result.
func (o *ownedRequest) attempt(ctx context.Context, r *message.Request, history *sendHistory, withheld uint32) (execute.Reply, error) {
	d := o.d
	now := d.options.Clock.Now()
	if r.Call.Expired(now) {
		return d.rejectedReply(r.Call), fault.New(fault.DeadlinePassed, "before the request was sent to a target")
	}
	m, _, err := d.pickMember(now, r, history)
	if err != nil {
		return d.rejectedReply(r.Call), err
	}
	at, retries, err := d.options.Ledger.RecordDispatch(now, o.ticket, m.ID)
	if err != nil {
		d.options.Picker.Done(now, mustardmast.Result{Member: m.ID, Service: r.Call.Service(), Kind: fault.Canceled})
		return d.rejectedReply(r.Call), err
	}
	reply, err := d.send(ctx, m, r, retry.NewBudget(retries).Grant(true), sendOptions{nonce: uint64(at.Nonce), withheld: withheld, earlierSends: history.earlierSends()})
	if err == nil {
		o.recordResponse(&reply, at)
		return reply, nil
	}
	if fault.From(err).Outcome() == fault.NotExecuted {
		d.options.Ledger.RecordNotExecuted(d.options.Clock.Now(), o.ticket, at, reply.Retries)
		return reply, err
	}
	if d.options.Ledger.NeedsQuery(d.options.Clock.Now(), o.ticket, at) {
		if queryErr := o.queryExecutor(context.WithoutCancel(ctx), at); queryErr != nil {
			return reply, queryErr
		}
		err = fault.Wrap(err, fault.PeerUnreachable, "the executor canceled the attempt before it started")
	}
	return reply, err
}

// queryExecutor queries the status of an attempt and records it in the ledger. Nil means that the attempt was not
// executed and never will be.
func (o *ownedRequest) queryExecutor(ctx context.Context, a ledger.Attempt) error {
	s := o.d.options.AttemptQuerier.QueryAttempt(ctx, a.Executor, a)
	return o.d.options.Ledger.RecordStatus(o.d.options.Clock.Now(), o.ticket, a, s)
}

// recordResponse makes the ledger record the response when it has been read completely.
func (o *ownedRequest) recordResponse(reply *execute.Reply, at ledger.Attempt) {
	b := &recordingBody{ReadCloser: reply.Response.Body, limit: ledger.DefaultLimits.ResponseBytes, onClose: func(body []byte, complete bool) {
		defer o.release()
		now := o.d.options.Clock.Now()
		if !complete {
			_ = o.d.options.Ledger.RecordStatus(now, o.ticket, at, ledger.Executed)
			return
		}
		o.d.options.Ledger.RecordCompletion(now, o.ticket, at, ledger.Response{
			Status: reply.Response.Status, ContentType: reply.Response.Header.Get("Content-Type"), Body: body,
		})
	}}
	reply.Response.Body = b
}
