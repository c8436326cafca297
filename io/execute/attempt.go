package execute

import (
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/register"
	"mustardmast/core/requestid"
)

// attempts records the non-idempotent attempts received by this node in the register.
type attempts struct{ register *register.Register }

// attemptOf returns the attempt that the call represents. It returns false for idempotent calls, which are not
// registered.
func (t attempts) attemptOf(c call.Call, env Envelope) (ledger.Attempt, bool) {
	if c.Idempotent() {
		return ledger.Attempt{}, false
	}
	id, ok := requestid.Parse(c.ID())
	return ledger.Attempt{ID: id, Nonce: uint32(env.Nonce), Executor: env.Recipient}, ok
}

// start records that the attempt starts. It is called immediately before the request is written to the target.
func (t attempts) start(now time.Time, c call.Call, env Envelope) error {
	a, ok := t.attemptOf(c, env)
	if !ok {
		return nil
	}
	return t.register.Start(now, a, c.Deadline())
}

// end records the result of a started attempt. An attempt whose connection broke remains recorded as started, because
// it may have been executed.
func (t attempts) end(now time.Time, c call.Call, env Envelope, err error) {
	a, ok := t.attemptOf(c, env)
	switch {
	case !ok:
	case err == nil:
		t.register.Finish(now, a)
	case fault.From(err).Outcome() == fault.NotExecuted:
		t.register.TargetRejected(now, a)
	}
}

// reject fences an attempt that is rejected before it started, so that no later copy of it can run and the reported
// outcome remains true.
func (t attempts) reject(now time.Time, c call.Call, env Envelope, err error) error {
	a, ok := t.attemptOf(c, env)
	if !ok {
		return err
	}
	return t.register.Reject(now, a, err)
}
