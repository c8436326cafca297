package execute

import (
	"context"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/message"
)

// alonePoll is how often a suspect looks whether the target has become idle.
const alonePoll = 5 * time.Millisecond

// run is one call that holds a slot.
type run struct {
	x      *Executor
	ticket uint64
	e      *Execution
	r      *message.Request
	h      Envelope
	start  time.Time
	alone  bool // a suspect, which runs with nothing else in flight
}

// quarantine refuses content that crashes targets, and lets a suspect wait until it is alone.
func (u *run) quarantine(ctx context.Context) error {
	x := u.x
	alone, err := x.p.Quarantine.Admit(x.p.Clock.Now(), u.e.fingerprint, x.p.Members.Serving(u.r.Call.Service()))
	if fault.KindOf(err) == fault.Quarantined {
		x.p.Meter.QuarantineRejected()
	}
	if err != nil {
		return err
	}
	u.alone = alone
	for alone && x.p.RunningCalls.others(u.e) > 0 {
		select {
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Canceled, "while waiting for the target to be idle").WithOutcome(fault.NotExecuted)
		case <-time.After(alonePoll):
		}
	}
	return nil
}

// finish ends the call. A status of 0 means that the target sent none.
func (u *run) finish(status int, err error) {
	x := u.x
	now := x.p.Clock.Now()
	if status != 0 {
		x.attempts.end(now, u.r.Call, u.h, err)
	}
	if err == nil {
		x.p.Quarantine.RecordCompletion(now, u.e.fingerprint)
		x.p.SubCallLevels.RecordSuccess(u.r.Call.Method())
	}
	if u.alone {
		x.p.Quarantine.ReleaseTarget(u.e.fingerprint)
	}
	x.p.RunningCalls.remove(u.e)
	latency := time.Duration(0)
	if !u.start.IsZero() {
		latency = now.Sub(u.start)
	}
	x.release(mustardmast.Completion{Ticket: u.ticket, Latency: latency, SubCallTime: u.e.waited(now), Kind: fault.KindOf(err)})
}
