package retry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/core/retry"
)

var start = time.Unix(1000, 0)

func policy(s retry.RatioSettings) *retry.Policy {
	return retry.NewPolicy(retry.NewRatio(s), retry.NewBackoff(1, retry.DefaultBaseWait, retry.DefaultMaxWait))
}

func request(idempotent bool) call.Call {
	return call.New(call.Spec{Service: "plug-ledger", Idempotent: idempotent, Deadline: start.Add(time.Second)})
}

// Guards against retrying a non-idempotent request that may have been executed, for every kind and stated outcome.
func TestOnlyUnexecutedRequestsAreRetried(t *testing.T) {
	for _, k := range fault.Kinds() {
		for _, o := range []fault.Outcome{fault.Unknown, fault.NotExecuted, fault.Executed} {
			e := fault.New(k, "").WithOutcome(o)
			d := policy(retry.DefaultRatio()).Decide(start, request(false), retry.NewBudget(3), e, 1)
			if o != fault.NotExecuted {
				assert.Equal(t, d.Action, retry.GiveUp, "%s, %s", k, o)
			}
		}
	}
}

// Guards against a retry beyond the deadline, the request's budget or the edge's ratio.
func TestRetryRespectsEveryLimit(t *testing.T) {
	e := fault.New(fault.Shed, "")
	b := retry.NewBudget(1)
	p := policy(retry.DefaultRatio())
	late := p.Decide(start, request(true), b, e.WithRetryAfter(time.Second), 1)
	assert.Equal(t, late.Reason, "deadline")
	assert.Equal(t, b.Left(), 1)
	assert.Equal(t, p.Decide(start, request(true), b, e, 1).Action, retry.RetryLater)
	assert.Equal(t, p.Decide(start, request(true), b, e, 2).Reason, "request budget")
	assert.Equal(t, p.Decide(start, request(true), retry.NewBudget(9), e, 1).Reason, "edge ratio")
}

// Guards against retries beyond a tenth of the successful attempts plus one per second.
func TestRatioLimitsRetriesOfEdge(t *testing.T) {
	r := retry.NewRatio(retry.DefaultRatio())
	taken := 0
	for i := range 10_000 { // 10 s at 1000 calls a second, all of them retried
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.Succeeded(now, "a")
		if r.Take(now, "a") {
			taken++
		}
	}
	assert.Assert(t, taken <= 1000+10+1, "%d retries", taken)
	assert.Assert(t, taken >= 1000, "%d retries", taken)
}

// Guards against a table that grows without bound with the number of edge names.
func TestRatioEvictsIdleEdges(t *testing.T) {
	s := retry.DefaultRatio()
	s.MaxEdges = 16
	r := retry.NewRatio(s)
	for i := range 1000 {
		r.Take(start.Add(time.Duration(i)), fmt.Sprint(i))
	}
	assert.Assert(t, r.Edges() <= 16)
}

func ExamplePolicy() {
	p := retry.NewPolicy(retry.NewRatio(retry.DefaultRatio()), retry.NewBackoff(1, retry.DefaultBaseWait, retry.DefaultMaxWait))
	c := call.New(call.Spec{Service: "unplug-desk", Method: "unplug"})
	b := retry.NewBudget(3)
	now := time.Unix(0, 0)
	fmt.Println(p.Decide(now, c, b, fault.New(fault.Draining, ""), 1).Action == retry.RetryNow, b.Left())
	fmt.Println(p.Decide(now, c, b, fault.New(fault.PeerLost, ""), 2).Reason)
	// Output:
	// true 2
	// kind peer-lost with outcome unknown
}

// Guards against a stopped or restarted member that uses up the ratio of its service: with one of six members gone, a
// sixth of the calls needs a second attempt, which is more than the ratio of a tenth.
func TestRejectionBeforeAdmissionIsNotChargedToRatio(t *testing.T) {
	for _, k := range []fault.Kind{fault.PeerUnreachable, fault.Draining, fault.QueueFull} {
		p := policy(retry.DefaultRatio())
		allowed := 0
		for range 20 {
			d := p.Decide(start, request(false), retry.NewBudget(1), fault.New(k, ""), 1)
			if d.Action != retry.GiveUp {
				allowed++
			}
		}
		assert.Equal(t, allowed == 20, k != fault.QueueFull, "%s: %d of 20 retries allowed", k, allowed)
	}
}
