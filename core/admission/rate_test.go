package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/admission"
)

// Replays 30 s in which three times the requests arrive that a target has named as its limit. Guards against requests
// beyond the limit, requests that wait although the limit allows them, and a level that does not follow the limit.
func TestNamedRateLimit(t *testing.T) {
	const limit, work, window = 20.0, 100 * time.Millisecond, 4 * time.Second
	c := admission.New()
	c.SetSlots(start, slots)
	var r replay
	var starts []time.Time
	begin := func(now time.Time, ticket *admission.Ticket) {
		starts = append(starts, now)
		r.at(now.Add(work), func(now time.Time) {
			c.TargetResponded(now, limit, true)
			c.Done(now, ticket, true)
		})
	}
	waiting := map[*admission.Ticket]bool{}
	c.TargetResponded(start, limit, true)
	for d := time.Duration(0); d < 30*time.Second; d += time.Second / 60 {
		r.at(start.Add(d), func(now time.Time) {
			switch ticket, wait := c.Admit(now, admission.Request{AdmittedFraction: 1, MaxWait: 300 * time.Millisecond}); {
			case ticket != nil && wait == 0:
				begin(now, ticket)
			case ticket != nil:
				waiting[ticket] = true
			}
		})
	}
	for d := time.Duration(0); d < 31*time.Second; d += 5 * time.Millisecond {
		r.at(start.Add(d), func(now time.Time) {
			c.StartNext(now)
			for ticket := range waiting {
				if started(ticket) {
					delete(waiting, ticket)
					begin(now, ticket)
				}
			}
		})
	}
	r.run()
	for i := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s.Sub(starts[i]) < window {
				n++
			}
		}
		assert.Assert(t, float64(n) <= 1.1*limit*window.Seconds(), "%d requests in the %v from %v", n, window, starts[i])
	}
	assert.Assert(t, float64(len(starts)) > 0.95*limit*30, "%d requests in 30 s", len(starts))
	report := c.Report(start.Add(30 * time.Second))
	assert.Equal(t, report.Limit, 2) // 20 requests a second of 100 ms each
	assert.Assert(t, report.Level > 0.6 && report.Level < 0.75, "%v", report.Level)
}

// Guards against requests that wait for ever once only the limit holds them, and against a lower priority that goes first.
func TestRateLimitedRequestsStartInOrder(t *testing.T) {
	c := admission.New()
	c.SetSlots(start, slots)
	c.TargetResponded(start, 10, true)
	enter := func(priority int) *admission.Ticket {
		ticket, wait := c.Admit(start, admission.Request{AdmittedFraction: 1, Priority: priority, MaxWait: time.Second})
		assert.Assert(t, ticket != nil && wait > 0)
		return ticket
	}
	low, high := enter(2), enter(0)
	next, limited := c.StartNext(start)
	assert.Assert(t, limited && next == 100*time.Millisecond, "%v", next)
	next, limited = c.StartNext(start.Add(next))
	assert.Assert(t, limited && started(high) && !started(low))
	_, limited = c.StartNext(start.Add(100*time.Millisecond + next))
	assert.Assert(t, !limited && started(low))
}

// Guards against the requests that a node sends to a target before its first response, when the node was restarted and
// does not know the limit that the target has named.
func TestFewRequestsBeforeTheFirstResponse(t *testing.T) {
	c := admission.New()
	c.SetSlots(start, slots)
	c.TargetReplaced()
	running := 0
	for range slots {
		if ticket, wait := c.Admit(start, admission.Request{AdmittedFraction: 1}); ticket != nil && wait == 0 {
			running++
		}
	}
	assert.Equal(t, running, 8)
	assert.Equal(t, c.Report(start).Limit, 8)
	c.TargetResponded(start, 0, false)
	assert.Equal(t, c.Report(start).Limit, 47)
}
