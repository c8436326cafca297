package telemetry_test

import (
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"mustardmast/core/fault"
	"mustardmast/io/telemetry"
)

// Guards against calls that are not counted, or counted twice, when the first calls of a kind end concurrently.
func TestCallsOfOneKindShareACounter(t *testing.T) {
	set := metrics.NewSet()
	m := telemetry.New(set)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 100 {
				m.CallEnded(fault.Shed, fault.Unknown)
			}
		})
	}
	all.Wait()
	var text strings.Builder
	set.WritePrometheus(&text)
	assert.Assert(t, strings.Contains(text.String(), "mustardmast_calls_total{error=\"shed\",outcome=\"unknown\"} 800\n"), text.String())
}

// Guards against an index out of range for the last error kind.
func TestEveryKindAndOutcomeIsCounted(t *testing.T) {
	set := metrics.NewSet()
	m := telemetry.New(set)
	for _, k := range append(fault.Kinds(), fault.None) {
		for _, o := range []fault.Outcome{fault.Unknown, fault.NotExecuted, fault.Executed} {
			m.CallEnded(k, o)
		}
	}
	var text strings.Builder
	set.WritePrometheus(&text)
	assert.Equal(t, strings.Count(text.String(), "mustardmast_calls_total{"), 3*(len(fault.Kinds())+1))
}

func ExampleCalls() {
	set := metrics.NewSet()
	m := telemetry.New(set)
	m.CallEnded(fault.None, fault.Executed)
	m.ObserveLatency(3 * time.Millisecond)
	m.Retried()
	text := strings.Builder{}
	set.WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if !strings.Contains(line, "_bucket") && !strings.Contains(line, "_sum") {
			_, _ = os.Stdout.WriteString(line)
		}
	}
	// Output:
	// mustardmast_call_duration_seconds_count 1
	// mustardmast_calls_total{error="none",outcome="executed"} 1
	// mustardmast_hedges_total 0
	// mustardmast_quarantined_refusals_total 0
	// mustardmast_retries_total 1
	// mustardmast_silent_connections_closed_total 0
}

func BenchmarkCalls(b *testing.B) {
	m := telemetry.New(metrics.NewSet())
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			m.CallEnded(fault.None, fault.Executed)
			m.ObserveLatency(3 * time.Millisecond)
		}
	})
}
