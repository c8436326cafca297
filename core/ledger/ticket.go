package ledger

import (
	"bytes"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
)

// AttemptStatus is the result of querying an executor about an attempt.
type AttemptStatus uint8

// Attempt statuses.
const (
	Unreachable AttemptStatus = iota // the executor could not be queried; a resend may query again
	NotExecuted                      // not executed, and the executor will always reject the attempt
	Running                          // the attempt has started
	Executed                         // the attempt has finished; its response is lost
	Gone                             // the executor's incarnation no longer exists
)

// RecordDispatch records that an attempt is about to be sent to executor. It returns the attempt and the number of
// retries that the attempt may use. No byte of the attempt may be sent unless it succeeds. Every attempt after the
// first takes one retry.
func (g *Ledger) RecordDispatch(now time.Time, t Ticket, executor mustardmast.NodeID) (Attempt, int, error) {
	var a Attempt
	var retries int
	var err error = fault.New(fault.Fenced, "another send took over the request, or its record has expired")
	g.withRecord(now, t, func(r *record) {
		switch {
		case r.state != pending:
			return
		case g.issuer.Expired(now, t.id):
			// No attempt of a pending record was executed.
			err = fault.New(fault.RequestIDExpired, "the validity window of the request id ended before the request started").
				WithOutcome(fault.NotExecuted)
			return
		case r.nonce > 0 && r.retriesLeft == 0:
			err = fault.New(fault.RetryBudgetExhausted, "no attempt of this request was executed")
			return
		case r.nonce > 0:
			r.retriesLeft--
		}
		r.nonce++
		r.executor, r.state = executor, started
		// One retry is kept back: an attempt whose response is lost returns none, but may have to be repeated.
		r.retriesLent = max(r.retriesLeft, 1) - 1
		r.retriesLeft -= r.retriesLent
		a, retries, err = r.attempt(t.id), int(r.retriesLent), nil
	})
	return a, retries, err
}

// RetriesLeft returns the retries of the request that are not lent to an attempt. It returns 0 if the ticket is no longer
// valid.
func (g *Ledger) RetriesLeft(now time.Time, t Ticket) int {
	n := 0
	g.withRecord(now, t, func(r *record) { n = int(r.retriesLeft) })
	return n
}

// RecordNotExecuted records that the attempt was not executed and returns its unused retries to the budget. The ticket
// stays valid, so the handler may dispatch another attempt.
func (g *Ledger) RecordNotExecuted(now time.Time, t Ticket, a Attempt, unused int) {
	g.withAttempt(now, t, a, func(r *record) { r.markNotExecuted(unused) })
}

// NeedsQuery reports whether the executor has to be queried about an attempt whose connection broke. It returns false
// when the record has expired or another handler has taken over.
func (g *Ledger) NeedsQuery(now time.Time, t Ticket, a Attempt) bool {
	needed := false
	g.withAttempt(now, t, a, func(*record) { needed = true })
	return needed
}

// RecordStatus records the status that the executor reported for the attempt. It returns nil when the handler may
// dispatch another attempt, and otherwise the error to report to the caller.
func (g *Ledger) RecordStatus(now time.Time, t Ticket, a Attempt, s AttemptStatus) error {
	var err error = fault.New(fault.OutcomeUnknown, "another send took over the request, or its record has expired")
	g.withAttempt(now, t, a, func(r *record) {
		switch s {
		case NotExecuted:
			r.markNotExecuted(0) // the retries lent to the attempt are lost with its response
			err = nil
		case Executed:
			r.state, r.claimed = done, false
			err = fault.New(fault.AlreadyExecuted, "the request was executed, but its response was lost")
		case Running:
			r.claimed = false
			err = fault.New(fault.InProgress, "the target is still executing the request")
		case Gone:
			r.state, r.claimed = gone, false
			err = fault.New(fault.OutcomeUnknown, "the node that may have executed the request no longer exists")
		default:
			r.claimed = false
			err = fault.New(fault.OutcomeUnknown, "the node that may have executed the request cannot be queried")
		}
	})
	return err
}

// RecordCompletion records that the request was executed and that its complete response was received. It keeps a copy
// of a small response for resends.
func (g *Ledger) RecordCompletion(now time.Time, t Ticket, a Attempt, response Response) {
	g.withAttempt(now, t, a, func(r *record) {
		r.state, r.claimed = done, false
		if n := response.size(); n <= g.limits.ResponseBytes && g.reserveBytes(n) {
			response.Body = bytes.Clone(response.Body)
			r.response = &response
		}
	})
}

// Release invalidates the ticket. Every handler must call it when it ends; it has no effect on a ticket that
// RecordCompletion or RecordStatus has already invalidated.
func (g *Ledger) Release(now time.Time, t Ticket) {
	g.withRecord(now, t, func(r *record) { r.claimed = false })
}

// markNotExecuted makes the record pending again.
func (r *record) markNotExecuted(unused int) {
	r.state = pending
	r.retriesLeft += min(clampUint16(unused), r.retriesLent) // an executor cannot add to the budget
	r.retriesLent = 0
}

// withAttempt calls f with the record that t claims if a is its current attempt. Reports on older attempts are ignored.
func (g *Ledger) withAttempt(now time.Time, t Ticket, a Attempt, f func(*record)) {
	g.withRecord(now, t, func(r *record) {
		if r.state == started && r.attempt(t.id) == a {
			f(r)
		}
	})
}

// withRecord calls f with the record that t claims, if the ticket is still valid.
func (g *Ledger) withRecord(now time.Time, t Ticket, f func(*record)) {
	if t.claim == 0 {
		return
	}
	s := g.shard(t.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	g.sweep(s, now)
	if r := s.find(t.id); r != nil && r.claimed && r.claim == t.claim {
		f(r)
	}
}
