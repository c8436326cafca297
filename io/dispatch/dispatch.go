// Package dispatch sends a call to a target and returns the response.
//
// An idempotent call is sent to a member of its service and retried on failure as far as the retry budgets allow. A
// non-idempotent call is started by a single node, the owner named by its request id: the owner's ledger permits an
// attempt only while no other attempt can have been executed. All other nodes forward the call to the owner.
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
	// Execute sends the call to m, which runs it on the target of its host.
	Execute(ctx context.Context, m mustardmast.Member, r *message.Request, env execute.Envelope) (execute.Reply, error)

	// ExecuteAsOwner forwards the call to m, which issued the request id and decides whether the request may start.
	ExecuteAsOwner(ctx context.Context, m mustardmast.Member, r *message.Request) (execute.Reply, error)
}

// Local executes calls on the target of this host.
type Local interface {
	Execute(ctx context.Context, r *message.Request, env execute.Envelope) (execute.Reply, error)
}

// AttemptQuerier queries the executor for the status of an attempt, and cancels the attempt if it has not started.
type AttemptQuerier interface {
	QueryAttempt(ctx context.Context, executor mustardmast.NodeID, a ledger.Attempt) ledger.AttemptStatus
}

// Dispatcher sends calls to targets. It is safe for concurrent use.
type Dispatcher struct {
	options Options
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	Self           mustardmast.Member
	Clock          mustardmast.Clock
	Members        mustardmast.Directory
	Picker         mustardmast.Picker
	Policy         *retry.Policy
	Levels         *level.Table // learned from responses; rejects calls that would be shed further down the call graph
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
func New(options Options) *Dispatcher { return &Dispatcher{options} }

// Dispatch sends the call to a target, through the owner of its request id if the call is not idempotent.
func (d *Dispatcher) Dispatch(ctx context.Context, r *message.Request) (execute.Reply, error) {
	d.recordTrace(r.Call, "entered", r.Call.Service()+"/"+r.Call.Method())
	reply, err := d.dispatch(ctx, r)
	if err != nil {
		d.recordTrace(r.Call, fault.From(err).Outcome().String(), err.Error())
	} else {
		d.recordTrace(r.Call, fault.Executed.String(), strconv.Itoa(reply.Response.Status))
	}
	return reply, err
}

func (d *Dispatcher) recordTrace(c call.Call, event, detail string) {
	d.options.Trace.Record(d.options.Clock.Now(), c.ID(), event, detail)
}

func (d *Dispatcher) dispatch(ctx context.Context, r *message.Request) (execute.Reply, error) {
	if r.Call.Idempotent() {
		return d.dispatchIdempotent(ctx, r)
	}
	id, ok := requestid.Parse(r.Call.ID())
	if !ok {
		return d.rejectedReply(r.Call), fault.Newf(fault.RequestIDNotIssued, "request id %q", r.Call.ID())
	}
	if id.Owner() == d.options.Self.ID {
		return d.dispatchAsOwner(ctx, r, id)
	}
	return d.forwardToOwner(ctx, r, id.Owner())
}

// Execute serves calls that other nodes forward to this node as the owner. It implements peer.Runner.
func (d *Dispatcher) Execute(ctx context.Context, r *message.Request, env execute.Envelope) (execute.Reply, error) {
	id, ok := requestid.Parse(r.Call.ID())
	if !ok || id.Owner() != d.options.Self.ID || env.Recipient != d.options.Self.ID {
		return d.rejectedReply(r.Call), ledger.RejectWithoutRecord(r.Call.Attempt(), fault.Newf(fault.WrongIncarnation, "this is incarnation %x", uint64(d.options.Self.ID)))
	}
	return d.dispatchAsOwner(ctx, r, id)
}

// forwardToOwner forwards the call to its owner. Only the owner can tell that an earlier attempt was not executed.
func (d *Dispatcher) forwardToOwner(ctx context.Context, r *message.Request, owner mustardmast.NodeID) (execute.Reply, error) {
	m, ok := d.findOwner(ctx, owner)
	if !ok {
		return d.rejectedReply(r.Call), fault.Newf(fault.OutcomeUnknown, "node %x, which issued the request id, is not a known member; this attempt was not started", uint64(owner))
	}
	reply, err := d.options.Peers.ExecuteAsOwner(ctx, m, r)
	if k := fault.KindOf(err); k == fault.PeerUnreachable {
		return reply, fault.Wrap(err, fault.OutcomeUnknown, "the node that issued the request id cannot be reached; this attempt was not started")
	}
	return reply, err
}

const (
	// ownerLookupTimeout is how long a call waits for its owner to become known. A node that has just started issues
	// ids before all of its peers have learned of it.
	ownerLookupTimeout = 1500 * time.Millisecond
	ownerPollInterval  = 50 * time.Millisecond
)

// findOwner returns the owner's member record, and waits up to ownerLookupTimeout for one that is not known yet.
func (d *Dispatcher) findOwner(ctx context.Context, owner mustardmast.NodeID) (mustardmast.Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, ownerLookupTimeout)
	defer cancel()
	for {
		if m, ok := d.options.Members.Find(owner); ok {
			return m, true
		}
		select {
		case <-time.After(ownerPollInterval):
		case <-ctx.Done():
			return mustardmast.Member{}, false
		}
	}
}

// rejectedReply returns the reply to a call that was not sent, with its whole retry budget.
func (d *Dispatcher) rejectedReply(c call.Call) execute.Reply {
	return execute.Reply{Retries: c.Retries()}
}
