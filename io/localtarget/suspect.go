package localtarget

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/lifetime"
	"mustardmast/core/quarantine"
	"mustardmast/io/crash"
)

const (
	// maxIdleWait is how long a suspect waits until no other call is in flight, and maxIdleWaitFraction the same as a
	// fraction of its time left. Meanwhile the target accepts no other calls.
	maxIdleWait         = time.Second
	maxIdleWaitFraction = 0.5
	idlePollInterval    = 5 * time.Millisecond
	// notifyTimeout limits notifying the other nodes that a suspect has completed.
	notifyTimeout = 300 * time.Millisecond
)

// isolate rejects calls that crash targets. A suspect is accepted on one host only, on which it waits until no other call
// is in flight. Other calls are rejected while a suspect waits or runs; nodes offer them to other hosts.
func (e *Executor) isolate(ctx context.Context, c *mustardmast.TargetCall, r *Run) error {
	now := time.Now()
	var serving []mustardmast.Member
	if e.quarantine.State(now, r.fingerprint) != quarantine.Clear {
		serving = e.serving(c.Service)
		member, suspect, err := e.quarantine.Check(now, r.fingerprint, serving)
		if err != nil {
			return fault.From(err).WithRetryAfter(quarantine.EvidenceTTL)
		}
		if suspect && member.Name != e.host {
			return fault.New(fault.Shed, "a request that is suspected of crashing targets is executed on one host only").WithOnlyHost(member.Name)
		}
	}
	alone, err := e.quarantine.Admit(now, r.fingerprint, serving)
	if fault.KindOf(err) == fault.Shed { // a call that is shed is not offered to other nodes
		return fault.New(fault.QueueFull, fault.From(err).Detail()).WithRetryAfter(maxIdleWait)
	}
	if err != nil || !alone {
		return err
	}
	r.alone = true
	return e.awaitIdle(ctx, c)
}

func (e *Executor) awaitIdle(ctx context.Context, c *mustardmast.TargetCall) error {
	limit := time.Duration(maxIdleWaitFraction * float64(time.Until(c.Deadline)))
	timer := time.NewTimer(min(maxIdleWait, limit))
	defer timer.Stop()
	for len(e.callsInFlight()) > 0 {
		select {
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Canceled, "while waiting for the target to be idle").WithOutcome(fault.NotExecuted)
		case <-timer.C:
			return fault.New(fault.QueueFull, "the target did not become idle for a request that is suspected of crashing targets")
		case <-time.After(idlePollInterval):
		}
	}
	return nil
}

// release lets other calls be admitted again, if the run was to run alone.
func (e *Executor) release(r *Run) {
	if r.alone {
		e.quarantine.ReleaseTarget(r.fingerprint)
	}
}

// checkConnection looks for a crash of the target if the connection of a call broke. The other nodes have the evidence when
// it returns. A target that has announced its end does not crash when it exits.
func (e *Executor) checkConnection(t lifetime.Target, r *Run, sent crash.Sent, err error) {
	if !connectionLost(err) || e.tracker.HasAnnouncedEnd(t) {
		return
	}
	if !e.crashes.ConnectionLost(time.Now(), r, sent) || !e.tracker.IsCurrent(sent.At, t) { // it may have started again meanwhile
		return
	}
	if e.tracker.MarkLost(t.ID) {
		e.pool.CloseIdle()
		e.observer.TargetLost(t.ID, err)
	}
}

// connectionLost reports whether an error shows that the target has ended a connection.
func connectionLost(err error) bool {
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(end error) bool {
		return errors.Is(err, end)
	})
}

// targetCrashed is called for each crash.
func (e *Executor) targetCrashed(_ string, inFlight []*Run) {
	var quarantined []quarantine.Fingerprint
	for _, r := range inFlight {
		if r.fingerprint != 0 && e.quarantine.State(time.Now(), r.fingerprint) == quarantine.Quarantined {
			quarantined = append(quarantined, r.fingerprint)
		}
	}
	e.observer.TargetCrashed(e.tracker.Target(), len(inFlight), quarantined)
}

// recordCompletion clears a call of crashes at which others were in flight too. Other nodes learn it at once if it was a
// suspect, and by gossip otherwise.
func (e *Executor) recordCompletion(service string, r *Run) {
	if r.fingerprint == 0 {
		return
	}
	now := time.Now()
	e.quarantine.RecordCompletion(now, r.fingerprint)
	if !r.alone {
		return
	}
	updates := e.quarantine.UpdatesFor(now, []quarantine.Fingerprint{r.fingerprint})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		e.notifier.SendEvidence(ctx, service, updates)
	}()
}
