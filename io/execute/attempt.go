package execute

import (
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/register"
	"mustardmast/core/requestid"
)

// attempts keeps the register of the non-idempotent attempts that came to this node.
type attempts struct{ register *register.Register }

// of returns the attempt that a call is, and false for idempotent calls, which have none.
func (t attempts) of(c call.Call, h Envelope) (ledger.Attempt, bool) {
	if c.Idempotent() {
		return ledger.Attempt{}, false
	}
	id, ok := requestid.Parse(c.ID())
	return ledger.Attempt{ID: id, Nonce: uint32(h.Nonce), Executor: h.Recipient}, ok
}

// start is called directly before the request is written to the target.
func (t attempts) start(now time.Time, c call.Call, h Envelope) error {
	a, ok := t.of(c, h)
	if !ok {
		return nil
	}
	return t.register.Start(now, a, c.Deadline())
}

// end notes how a started attempt ended. One whose connection broke stays started, because it may have run.
func (t attempts) end(now time.Time, c call.Call, h Envelope, err error) {
	a, ok := t.of(c, h)
	switch {
	case !ok:
	case err == nil:
		t.register.Finish(now, a)
	case fault.From(err).Outcome() == fault.NotExecuted:
		t.register.TargetRejected(now, a)
	}
}

// refuse fences an attempt that is refused before it started, so that the refusal stays true.
func (t attempts) refuse(now time.Time, c call.Call, h Envelope, err error) error {
	a, ok := t.of(c, h)
	if !ok {
		return err
	}
	return t.register.Reject(now, a, err)
}
