package decisions_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/admission"
	"mustardmast/core/fault"
	"mustardmast/core/lifetime"
	"mustardmast/io/decisions"
	"mustardmast/io/eventlog"
	"mustardmast/io/placement"
)

// Guards against outcomes that are counted with the wrong error kind, or not counted when their log lines are
// suppressed.
func TestEveryOutcomeIsCounted(t *testing.T) {
	set := metrics.NewSet()
	r := decisions.New(eventlog.New(zap.NewNop()), set, func(string, uint64) {}, func(string, error) {}, func(string, error) {}, func(string) {})
	c := &mustardmast.TargetCall{ID: "a", Deadline: time.Now().Add(time.Second)}
	const times = 1000 // more than the rate limit of any kind of line
	for range times {
		r.RequestCompleted(c, 200, nil, time.Millisecond)
		r.RequestCompleted(c, 503, fault.New(fault.QueueFull, "full"), time.Millisecond)
		r.RequestRejected("a", "h", "/", 404, "no route", 3)
		r.Offered(c, placement.Offer{Host: "h", Err: fault.New(fault.TargetFailed, "reset")})
		r.Offered(c, placement.Offer{Host: "h", Status: 200})
		r.CallRejected(c, fault.New(fault.Draining, "leaves"), admission.Report{}, lifetime.Target{})
		r.CallCompleted(c, 0, time.Millisecond, fault.New(fault.DeadlineExceeded, "late"), lifetime.Target{})
		r.CallCompleted(c, 0, time.Millisecond, nil, lifetime.Target{})
	}
	var b bytes.Buffer
	set.WritePrometheus(&b)
	for _, want := range []string{
		`mustardmast_requests_total{status="200",error="none"} 1000`,
		`mustardmast_requests_total{status="503",error="queue-full"} 1000`,
		`mustardmast_requests_total{status="404",error="rejected"} 1000`,
		`mustardmast_offers_total{error="target-failed"} 1000`,
		`mustardmast_offers_total{error="none"} 1000`,
		`mustardmast_turned_away_total{error="draining"} 1000`,
		`mustardmast_target_failures_total{error="deadline-exceeded"} 1000`,
		`mustardmast_target_duration_seconds_count 2000`,
	} {
		assert.Assert(t, strings.Contains(b.String(), want+"\n"), "%s is not in\n%s", want, b.String())
	}
}
