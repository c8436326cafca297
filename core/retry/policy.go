package retry

import (
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// Action is what to do after a failed attempt.
type Action uint8

// Actions.
const (
	GiveUp     Action = iota
	RetryNow          // retry immediately, on another member
	RetryLater        // retry after Decision.Wait
)

// Decision is the result of Policy.Decide. A decision to retry has taken one unit from the request's budget and, unless
// the call was rejected before admission, one from the edge's ratio.
type Decision struct {
	Action Action
	Wait   time.Duration
	Reason string // reason of GiveUp
}

// Policy decides whether and when a failed call is retried. It is safe for concurrent use.
type Policy struct {
	ratio   *Ratio
	backoff *Backoff
}

// NewPolicy returns a Policy that limits retries by ratio and takes waits from backoff.
func NewPolicy(ratio *Ratio, backoff *Backoff) *Policy {
	return &Policy{ratio: ratio, backoff: backoff}
}

// Decide decides what to do after err, the failure of a call that this hop has sent the given number of times. The
// budget is that of this hop. The edge of the ratio is the call's service.
func (p *Policy) Decide(now time.Time, c call.Call, b *Budget, err error, attempts int) Decision {
	e := fault.From(err)
	if e == nil {
		return Decision{Reason: "no failure"}
	}
	if !Allowed(e, c.Idempotent()) {
		return Decision{Reason: "kind " + e.Kind().String() + " with outcome " + e.Outcome().String()}
	}
	d := p.wait(e, attempts)
	if at := c.Deadline(); !at.IsZero() && !now.Add(d.Wait).Before(at) {
		return Decision{Reason: "deadline"}
	}
	if b.Left() == 0 {
		return Decision{Reason: "request budget"}
	}
	if !notAdmitted(e.Kind()) && !p.ratio.Take(now, c.Service()) {
		return Decision{Reason: "edge ratio"}
	}
	if !b.Take() { // a parallel sub-call took the last unit
		return Decision{Reason: "request budget"}
	}
	return d
}

// Succeeded records a successful first attempt on the call's edge.
func (p *Policy) Succeeded(now time.Time, c call.Call) { p.ratio.Succeeded(now, c.Service()) }

// wait returns the decision to retry. The retry is immediate only after the first attempt, and only if the failure does
// not indicate load on the other members.
func (p *Policy) wait(e *fault.Error, attempts int) Decision {
	if attempts <= 1 && e.RetryAfter() == 0 && memberSpecific(e.Kind()) {
		return Decision{Action: RetryNow}
	}
	return Decision{Action: RetryLater, Wait: p.backoff.Wait(max(attempts, 1), e.RetryAfter())}
}

// Allowed reports whether the same request may be sent again after e. It considers the outcome that e states, which may
// be less certain than the outcome of its kind.
func Allowed(e *fault.Error, idempotent bool) bool {
	if e.Outcome() == fault.NotExecuted && e.Kind().Properties().Retryable {
		return true
	}
	return idempotent && (outcomeUncertain(e.Kind()) || e.Kind().Properties().Retryable)
}

// outcomeUncertain reports whether the outcome is unknown after a failure of kind k, while a retry may still succeed.
func outcomeUncertain(k fault.Kind) bool {
	switch k {
	case fault.TargetFailed, fault.AnswerCut, fault.PeerLost, fault.OutcomeUnknown:
		return true
	default:
		return false
	}
}

// notAdmitted reports whether failures of kind k occur before the node of a target admits the call. A retry on another
// member then adds no load to the service, so it is not charged to the edge's ratio, only to the request's budget.
func notAdmitted(k fault.Kind) bool {
	switch k {
	case fault.PeerUnreachable, fault.WrongIncarnation, fault.Draining, fault.NotReady:
		return true
	default:
		return false
	}
}

// memberSpecific reports whether failures of kind k concern a single member only.
func memberSpecific(k fault.Kind) bool {
	switch k {
	case fault.PeerUnreachable, fault.PeerLost, fault.Draining, fault.NotReady, fault.WrongIncarnation,
		fault.TargetFailed, fault.AnswerCut:
		return true
	default:
		return false
	}
}
