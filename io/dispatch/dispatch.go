// Package dispatch takes a call to a target and brings the answer back.
//
// An idempotent call is sent to a member of its service, and sent again on failure while the retry budgets allow. A
// non-idempotent call is started by one node only, the owner that its request id names: the owner's ledger lets an
// attempt go out only while no other attempt can have run. Any other node forwards the call to the owner.
package dispatch

import (
	"context"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/requestid"
	"mustardmast/core/retry"
	"mustardmast/io/execute"
	"mustardmast/io/message"
)

// Peers sends calls to other nodes.
type Peers interface {
	Execute(ctx context.Context, m mustardmast.Member, r *message.Request, h execute.Hop) (execute.Answer, error)
	Own(ctx context.Context, m mustardmast.Member, r *message.Request) (execute.Answer, error)
}

// Local runs calls on the target of this host.
type Local interface {
	Execute(ctx context.Context, r *message.Request, h execute.Hop) (execute.Answer, error)
}

// Outcomes asks the executor of an attempt what became of it, and withdraws the attempt if it has not started.
type Outcomes interface {
	Ask(ctx context.Context, executor mustardmast.NodeID, a ledger.Attempt) ledger.Settlement
}

// Levels are the admission levels learned from answers. They refuse a call that its chain would shed anyway.
type Levels interface {
	// Admit reports whether the call may go out; it counts the calls that it holds back.
	Admit(now time.Time, c call.Call) bool

	// Withheld returns, and resets, the count of calls held back since the last call of this kind went out.
	Withheld(now time.Time, c call.Call) uint32

	// Learn notes the level that came back.
	Learn(now time.Time, c call.Call, l mustardmast.Level)
}

// Dispatcher takes calls to targets.
type Dispatcher struct {
	self     mustardmast.Member
	clock    mustardmast.Clock
	members  mustardmast.Directory
	picker   mustardmast.Picker
	policy   *retry.Policy
	levels   Levels
	issuer   *requestid.Issuer
	ledger   *ledger.Ledger
	peers    Peers
	local    Local
	outcomes Outcomes
}

// Parts are what a Dispatcher works with.
type Parts struct {
	Self     mustardmast.Member
	Clock    mustardmast.Clock
	Members  mustardmast.Directory
	Picker   mustardmast.Picker
	Policy   *retry.Policy
	Levels   Levels
	Issuer   *requestid.Issuer
	Ledger   *ledger.Ledger
	Peers    Peers
	Local    Local
	Outcomes Outcomes
}

// New returns a dispatcher.
func New(p Parts) *Dispatcher {
	return &Dispatcher{
		self: p.Self, clock: p.Clock, members: p.Members, picker: p.Picker, policy: p.Policy, levels: p.Levels,
		issuer: p.Issuer, ledger: p.Ledger, peers: p.Peers, local: p.Local, outcomes: p.Outcomes,
	}
}

// Dispatch takes the call to a target, by way of its owner if it is not idempotent.
func (d *Dispatcher) Dispatch(ctx context.Context, r *message.Request) (execute.Answer, error) {
	if r.Call.Idempotent() {
		return d.repeat(ctx, r)
	}
	id, ok := requestid.Parse(r.Call.ID())
	if !ok {
		return d.refuse(r.Call), fault.Newf(fault.RequestIDNotIssued, "request id %q", r.Call.ID())
	}
	if id.Owner() == d.self.ID {
		return d.own(ctx, r, id)
	}
	return d.forward(ctx, r, id.Owner())
}

// Execute serves calls that other nodes forward to this one as the owner. It implements peer.Runner.
func (d *Dispatcher) Execute(ctx context.Context, r *message.Request, h execute.Hop) (execute.Answer, error) {
	id, ok := requestid.Parse(r.Call.ID())
	if !ok || id.Owner() != d.self.ID || h.Addressed != d.self.ID {
		return d.refuse(r.Call), Weaken(r.Call, fault.Newf(fault.WrongIncarnation, "this is incarnation %x", uint64(d.self.ID)))
	}
	return d.own(ctx, r, id)
}

// forward sends the call to its owner. Only the owner can say that an earlier attempt was not executed.
func (d *Dispatcher) forward(ctx context.Context, r *message.Request, owner mustardmast.NodeID) (execute.Answer, error) {
	m, ok := d.members.Find(owner)
	if !ok {
		return d.refuse(r.Call), fault.Newf(fault.OutcomeUnknown, "the node %x that issued the request id is gone; this attempt was not started", uint64(owner))
	}
	a, err := d.peers.Own(ctx, m, r)
	if k := fault.KindOf(err); k == fault.PeerUnreachable {
		return a, fault.Wrap(err, fault.OutcomeUnknown, "the node that issued the request id cannot be reached; this attempt was not started")
	}
	return a, err
}

// refuse is the answer to a call that went nowhere.
func (d *Dispatcher) refuse(c call.Call) execute.Answer {
	return execute.Answer{Level: mustardmast.FullLevel, Retries: c.Retries()}
}

// Weaken returns err with the outcome unknown if the call is a resend of a non-idempotent request whose ledger was not
// asked: its earlier attempts may have run.
func Weaken(c call.Call, err error) error {
	e := fault.From(err)
	if e == nil || c.Idempotent() || c.Attempt() <= 1 || e.Outcome() != fault.NotExecuted {
		return err
	}
	return e.WithOutcome(fault.Unknown)
}
