package execute

import (
	"context"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/message"
)

// idlePollInterval is the interval at which a suspect request checks whether the target has become idle.
const idlePollInterval = 5 * time.Millisecond

// run is one call that holds a slot.
type run struct {
	x        *Executor
	ticket   uint64
	e        *Execution
	r        *message.Request
	env      Envelope
	start    time.Time
	isolated bool // a suspect request, which runs with nothing else in flight
}

// quarantine rejects requests whose content crashes targets, and makes a suspect request wait until no other call runs.
func (c *run) quarantine(ctx context.Context) error {
	x := c.x
	isolated, err := x.options.Quarantine.Admit(x.options.Clock.Now(), c.e.fingerprint, x.options.Members.Serving(c.r.Call.Service()))
	if fault.KindOf(err) == fault.Quarantined {
		x.options.Meter.QuarantineRejected()
	}
	if err != nil {
		return err
	}
	c.isolated = isolated
	for isolated && x.options.RunningCalls.countOthers(c.e) > 0 {
		select {
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Canceled, "while waiting for the target to be idle").WithOutcome(fault.NotExecuted)
		case <-time.After(idlePollInterval):
		}
	}
	return nil
}

// finish records the end of the call and releases its slot. A status of 0 means that the target sent no response.
func (c *run) finish(status int, err error) {
	x := c.x
	now := x.options.Clock.Now()
	if status != 0 {
		x.attempts.end(now, c.r.Call, c.env, err)
	}
	if err == nil {
		x.options.Quarantine.RecordCompletion(now, c.e.fingerprint)
		x.options.SubCallLevels.RecordSuccess(c.r.Call.Method())
	}
	if c.isolated {
		x.options.Quarantine.ReleaseTarget(c.e.fingerprint)
	}
	x.options.RunningCalls.remove(c.e)
	latency := time.Duration(0)
	if !c.start.IsZero() {
		latency = now.Sub(c.start)
	}
	x.releaseSlot(mustardmast.Completion{Ticket: c.ticket, Latency: latency, SubCallTime: c.e.subCallTime(now), Kind: fault.KindOf(err)})
}
