package ledger

import (
	"bytes"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
)

// AttemptStatus is what asking an executor has shown.
type AttemptStatus uint8

// Settlements.
const (
	Unreachable AttemptStatus = iota // it could not be asked; a resend may ask again
	NotExecuted                      // it will refuse the attempt for ever
	Running                          // it has started the attempt
	Executed                         // it has finished the attempt; the answer is lost
	Gone                             // this incarnation no longer exists
)

// RecordDispatch records that an attempt is about to be sent to executor, and returns it with the retries that it may
// spend. No byte may be sent unless it succeeds. Further attempts of one request take one retry each.
func (g *Ledger) RecordDispatch(now time.Time, t Ticket, executor mustardmast.NodeID) (Attempt, int, error) {
	var a Attempt
	var retries int
	var err error = fault.New(fault.Fenced, "the record is held by another handler or has ended")
	g.with(now, t, func(r *record) {
		switch {
		case r.state != pending:
			return
		case g.issuer.Expired(now, t.id):
			// Nothing has run: a pending record has no attempt that did.
			err = fault.New(fault.RequestIDExpired, "the window ended before the request started").WithOutcome(fault.NotExecuted)
			return
		case r.nonce > 0 && r.left == 0:
			err = fault.New(fault.RetryBudgetExhausted, "no attempt of this request was executed")
			return
		case r.nonce > 0:
			r.left--
		}
		r.nonce++
		r.executor, r.state = executor, started
		// One unit stays here: an attempt whose answer is lost returns nothing, and it may have to be repeated.
		r.lent = max(r.left, 1) - 1
		r.left -= r.lent
		a, retries, err = r.attempt(t.id), int(r.lent), nil
	})
	return a, retries, err
}

// RetriesLeft returns the retries of the request that are not lent to an attempt.
func (g *Ledger) RetriesLeft(now time.Time, t Ticket) int {
	n := 0
	g.with(now, t, func(r *record) { n = int(r.left) })
	return n
}

// RecordNotExecuted records that the attempt was truly not executed, and how many of its retries are unused. The ticket stays
// valid, so the handler may dispatch again.
func (g *Ledger) RecordNotExecuted(now time.Time, t Ticket, a Attempt, unused int) {
	g.out(now, t, a, func(r *record) { r.back(unused) })
}

// NeedsQuery reports whether the executor of an attempt, whose connection broke, has to be asked. It is false when the
// record has ended or another handler has taken over.
func (g *Ledger) NeedsQuery(now time.Time, t Ticket, a Attempt) bool {
	ask := false
	g.out(now, t, a, func(*record) { ask = true })
	return ask
}

// RecordStatus records what the executor of the attempt said when it was asked. It returns nil when the handler may
// dispatch again, and otherwise what the caller is told.
func (g *Ledger) RecordStatus(now time.Time, t Ticket, a Attempt, s AttemptStatus) error {
	var err error = fault.New(fault.OutcomeUnknown, "the record is held by another handler or has ended")
	g.out(now, t, a, func(r *record) {
		switch s {
		case NotExecuted:
			r.back(0) // what the attempt was lent is lost with its answer
			err = nil
		case Executed:
			r.state, r.held = done, false
			err = fault.New(fault.AlreadyExecuted, "the answer was lost")
		case Running:
			r.held = false
			err = fault.New(fault.InProgress, "the target still runs it")
		case Gone:
			r.state, r.held = gone, false
			err = fault.New(fault.OutcomeUnknown, "the node that may have executed it is gone")
		default:
			r.held = false
			err = fault.New(fault.OutcomeUnknown, "the node that may have executed it cannot be asked")
		}
	})
	return err
}

// RecordCompletion records that the request ran and its answer is complete. It keeps a copy of a small answer for resends.
func (g *Ledger) RecordCompletion(now time.Time, t Ticket, a Attempt, answer Response) {
	g.out(now, t, a, func(r *record) {
		r.state, r.held = done, false
		if n := answer.size(); n <= g.limits.ResponseBytes && g.reserve(n) {
			answer.Body = bytes.Clone(answer.Body)
			r.answer = &answer
		}
	})
}

// Release gives up the ticket. A handler that ends must call it; after RecordCompletion or RecordStatus it has no effect.
func (g *Ledger) Release(now time.Time, t Ticket) {
	g.with(now, t, func(r *record) { r.held = false })
}

// back makes the record pending again.
func (r *record) back(unused int) {
	r.state = pending
	r.left += min(clamp(unused), r.lent) // a hop never creates budget
	r.lent = 0
}

// out runs f on the record that t claims, if a is the attempt that is out. Answers to older attempts have no say.
func (g *Ledger) out(now time.Time, t Ticket, a Attempt, f func(*record)) {
	g.with(now, t, func(r *record) {
		if r.state == started && r.attempt(t.id) == a {
			f(r)
		}
	})
}

// with runs f on the record that t claims, if the claim holds.
func (g *Ledger) with(now time.Time, t Ticket, f func(*record)) {
	if t.claim == 0 {
		return
	}
	s := g.shard(t.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	g.sweep(s, now)
	if r := s.find(t.id); r != nil && r.held && r.claim == t.claim {
		f(r)
	}
}
