// Package dispatch takes a call to a target and brings the answer back.
//
// An idempotent call is sent to a member of its service, and sent again on failure while the retry budgets allow. A
// non-idempotent call is started by one node only, the owner that its request id names: the owner's ledger lets an
// attempt go out only while no other attempt can have run. Any other node forwards the call to the owner.
package dispatch

import (
	"context"
	"strconv"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/level"
	"mustardmast/core/quarantine"
	"mustardmast/core/requestid"
	"mustardmast/core/retry"
	"mustardmast/core/trace"
	"mustardmast/io/execute"
	"mustardmast/io/message"
)

// Peers sends calls to other nodes.
type Peers interface {
	Execute(ctx context.Context, m mustardmast.Member, r *message.Request, h execute.Envelope) (execute.Reply, error)
	ExecuteAsOwner(ctx context.Context, m mustardmast.Member, r *message.Request) (execute.Reply, error)
}

// Local runs calls on the target of this host.
type Local interface {
	Execute(ctx context.Context, r *message.Request, h execute.Envelope) (execute.Reply, error)
}

// AttemptQuerier asks the executor of an attempt what became of it, and withdraws the attempt if it has not started.
type AttemptQuerier interface {
	QueryAttempt(ctx context.Context, executor mustardmast.NodeID, a ledger.Attempt) ledger.AttemptStatus
}

// Dispatcher takes calls to targets.
type Dispatcher struct {
	p Options
}

// Options are what a Dispatcher works with.
type Options struct {
	Self           mustardmast.Member
	Clock          mustardmast.Clock
	Members        mustardmast.Directory
	Picker         mustardmast.Picker
	Policy         *retry.Policy
	Levels         *level.Table // learned from answers; refuses calls that their chain would shed anyway
	Quarantine     *quarantine.Quarantine
	Issuer         *requestid.Issuer
	Ledger         *ledger.Ledger
	Peers          Peers
	Local          Local
	AttemptQuerier AttemptQuerier
	Trace          *trace.Recorder
	Meter          mustardmast.Meter
}

// New returns a dispatcher.
func New(p Options) *Dispatcher { return &Dispatcher{p} }

// Dispatch takes the call to a target, by way of its owner if it is not idempotent.
func (d *Dispatcher) Dispatch(ctx context.Context, r *message.Request) (execute.Reply, error) {
	d.note(r.Call, "entered", r.Call.Service()+"/"+r.Call.Method())
	a, err := d.dispatch(ctx, r)
	if err != nil {
		d.note(r.Call, fault.From(err).Outcome().String(), err.Error())
	} else {
		d.note(r.Call, fault.Executed.String(), strconv.Itoa(a.Response.Status))
	}
	return a, err
}

func (d *Dispatcher) note(c call.Call, what, detail string) {
	d.p.Trace.Record(d.p.Clock.Now(), c.ID(), what, detail)
}

func (d *Dispatcher) dispatch(ctx context.Context, r *message.Request) (execute.Reply, error) {
	if r.Call.Idempotent() {
		return d.repeat(ctx, r)
	}
	id, ok := requestid.Parse(r.Call.ID())
	if !ok {
		return d.refuse(r.Call), fault.Newf(fault.RequestIDNotIssued, "request id %q", r.Call.ID())
	}
	if id.Owner() == d.p.Self.ID {
		return d.own(ctx, r, id)
	}
	return d.forward(ctx, r, id.Owner())
}

// Execute serves calls that other nodes forward to this one as the owner. It implements peer.Runner.
func (d *Dispatcher) Execute(ctx context.Context, r *message.Request, h execute.Envelope) (execute.Reply, error) {
	id, ok := requestid.Parse(r.Call.ID())
	if !ok || id.Owner() != d.p.Self.ID || h.Recipient != d.p.Self.ID {
		return d.refuse(r.Call), ledger.RejectWithoutRecord(r.Call.Attempt(), fault.Newf(fault.WrongIncarnation, "this is incarnation %x", uint64(d.p.Self.ID)))
	}
	return d.own(ctx, r, id)
}

// forward sends the call to its owner. Only the owner can say that an earlier attempt was not executed.
func (d *Dispatcher) forward(ctx context.Context, r *message.Request, owner mustardmast.NodeID) (execute.Reply, error) {
	m, ok := d.find(ctx, owner)
	if !ok {
		return d.refuse(r.Call), fault.Newf(fault.OutcomeUnknown, "the node %x that issued the request id is gone; this attempt was not started", uint64(owner))
	}
	a, err := d.p.Peers.ExecuteAsOwner(ctx, m, r)
	if k := fault.KindOf(err); k == fault.PeerUnreachable {
		return a, fault.Wrap(err, fault.OutcomeUnknown, "the node that issued the request id cannot be reached; this attempt was not started")
	}
	return a, err
}

const (
	// ownerWait is how long a call waits for news of its owner. A node that has just started issues ids before the last
	// of its peers has heard of it.
	ownerWait = 1500 * time.Millisecond
	ownerPoll = 50 * time.Millisecond
)

// find looks the owner up, and waits a little for one that is not known yet.
func (d *Dispatcher) find(ctx context.Context, owner mustardmast.NodeID) (mustardmast.Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, ownerWait)
	defer cancel()
	for {
		if m, ok := d.p.Members.Find(owner); ok {
			return m, true
		}
		select {
		case <-time.After(ownerPoll):
		case <-ctx.Done():
			return mustardmast.Member{}, false
		}
	}
}

// refuse is the answer to a call that went nowhere.
func (d *Dispatcher) refuse(c call.Call) execute.Reply {
	return execute.Reply{Retries: c.Retries()}
}
