package retry

import (
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// Action is what to do after a failed send.
type Action uint8

// Actions.
const (
	GiveUp     Action = iota
	RetryNow          // send again at once, to another member
	RetryLater        // send again after the wait
)

// Decision is the answer of a Policy. A decision other than GiveUp has taken one unit from the request's budget and
// from the edge's ratio.
type Decision struct {
	Action Action
	Wait   time.Duration
	Reason string // why it gave up
}

// Policy decides on retries. It is safe for concurrent use.
type Policy struct {
	ratio   *Ratio
	backoff *Backoff
}

// NewPolicy returns a Policy that spends from ratio and waits by backoff.
func NewPolicy(ratio *Ratio, backoff *Backoff) *Policy {
	return &Policy{ratio: ratio, backoff: backoff}
}

// Decide judges the failure err of a call that was sent attempts times by this hop. The budget is the hop's own; the
// deadline is the call's. The edge of the ratio is the call's service.
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
	if !unadmitted(e.Kind()) && !p.ratio.Take(now, c.Service()) {
		return Decision{Reason: "edge ratio"}
	}
	if !b.Take() { // a parallel sub-call took the last unit
		return Decision{Reason: "request budget"}
	}
	return d
}

// Succeeded counts the success of a first attempt on the call's edge.
func (p *Policy) Succeeded(now time.Time, c call.Call) { p.ratio.Succeeded(now, c.Service()) }

// wait sends again at once only where the failure says nothing about the load of the other members, and only once.
func (p *Policy) wait(e *fault.Error, attempts int) Decision {
	if attempts <= 1 && e.RetryAfter() == 0 && elsewhere(e.Kind()) {
		return Decision{Action: RetryNow}
	}
	return Decision{Action: RetryLater, Wait: p.backoff.Wait(max(attempts, 1), e.RetryAfter())}
}

// Allowed reports whether the same request may be sent again after e. What counts is the outcome that e states, which
// may be weaker than its kind's.
func Allowed(e *fault.Error, idempotent bool) bool {
	if e.Outcome() == fault.NotExecuted && e.Kind().Properties().Retryable {
		return true
	}
	return idempotent && (broken(e.Kind()) || e.Kind().Properties().Retryable)
}

// broken kinds leave the outcome open without saying that a repetition must fail too.
func broken(k fault.Kind) bool {
	switch k {
	case fault.TargetFailed, fault.AnswerCut, fault.PeerLost, fault.OutcomeUnknown:
		return true
	default:
		return false
	}
}

// unadmitted kinds are raised before a target's node took the call in. Sending it to another member adds nothing to the
// load of the service, so the edge's ratio does not pay for it; the request's budget does.
func unadmitted(k fault.Kind) bool {
	switch k {
	case fault.PeerUnreachable, fault.WrongIncarnation, fault.Draining, fault.NotReady:
		return true
	default:
		return false
	}
}

// elsewhere kinds concern one member only.
func elsewhere(k fault.Kind) bool {
	switch k {
	case fault.PeerUnreachable, fault.PeerLost, fault.Draining, fault.NotReady, fault.WrongIncarnation,
		fault.TargetFailed, fault.AnswerCut:
		return true
	default:
		return false
	}
}
