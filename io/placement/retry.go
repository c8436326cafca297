package placement

import (
	"context"
	"net/http"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/retrybudget"
)

// retryAfterReply reports whether a call is retried after an error reply.
func (a *attempt) retryAfterReply(r *mustardmast.TargetReply) bool {
	if r.Status < http.StatusInternalServerError || r.Status == http.StatusGatewayTimeout || !a.call.Repeatable || len(a.reached) >= a.maxTries {
		return false
	}
	now := time.Now()
	if a.hasSubCalls {
		return false // most likely a sub-call failed, and a retry would repeat all of them
	}
	if a.placer.levels.Level(now, a.call.Route) > maxRetryLevel || !a.allowRetry(now) {
		return false
	}
	a.mayHaveRun = true
	a.lastErr = fault.Newf(fault.TargetFailed, "status %d", r.Status)
	return true
}

// retryAfterError reports whether a call is offered again after an error.
func (a *attempt) retryAfterError(ctx context.Context, err error) bool {
	a.lastErr = err
	f := fault.From(err)
	offerLimit := maxOffers
	if f.Kind() == fault.TargetRefused {
		offerLimit = maxRefusedOffers
	}
	if ctx.Err() != nil || a.offers >= offerLimit || a.body == nil && a.call.Body != nil {
		a.mayHaveRun = a.mayHaveRun || f.Outcome() != fault.NotExecuted
		return false
	}
	switch f.Kind() {
	case fault.TargetRefused, fault.WrongIncarnation:
		return a.allowRetry(time.Now())
	case fault.Shed:
		if f.OnlyHost() == "" || a.only[f.OnlyHost()] {
			return false // other nodes would shed it too
		}
		a.only = map[string]bool{f.OnlyHost(): true}
		return true
	case fault.Quarantined: // at all nodes of the service
		return false
	case fault.Canceled, fault.DeadlineExceeded, fault.DeadlinePassed, fault.BadRequest:
		a.mayHaveRun = a.mayHaveRun || f.Outcome() != fault.NotExecuted
		return false
	}
	if f.Outcome() == fault.NotExecuted {
		return true
	}
	a.mayHaveRun = true
	return a.call.Repeatable && len(a.reached) < a.maxTries && a.allowRetry(time.Now())
}

// allowRetry reports whether a call that has reached a target may be sent to another one.
func (a *attempt) allowRetry(now time.Time) bool {
	if a.call.Deadline.Sub(now) <= noTargetDelay || !a.takeBudget(now) {
		return false
	}
	a.call.Retry = true
	return true
}

// takeBudget takes a retry from the budget shared by all nodes.
func (a *attempt) takeBudget(now time.Time) bool {
	r := retrybudget.NewRetry(a.call.Priority, a.call.ID, a.retryRequested)
	a.retryRequested = true
	return a.placer.budget.Take(now, a.call.Service, a.placer.roster.Size(), r)
}
