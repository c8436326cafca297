package node_test

import (
	"io"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/quarantine"
	"mustardmast/io/message"
	"mustardmast/io/target/stub"
	"mustardmast/io/telemetry"
)

// metered returns a cluster whose nodes share one set of metrics, and a function that reads a series of it.
func metered(t *testing.T) (*cluster, func(series string) int) {
	set := metrics.NewSet()
	l := newCluster(t, koper())
	l.meter = telemetry.New(set)
	return l, func(series string) int {
		var text strings.Builder
		set.WritePrometheus(&text)
		m := regexp.MustCompile("(?m)^mustardmast_" + regexp.QuoteMeta(series) + ` (\d+)$`).FindStringSubmatch(text.String())
		if m == nil {
			return 0
		}
		n, err := strconv.Atoi(m[1])
		assert.NilError(t, err)
		return n
	}
}

// Guards against calls that are counted under another outcome than their callers were told, or not at all.
func TestMeterCountsWhatCallersAreTold(t *testing.T) {
	l, read := metered(t)
	first := l.add("socket-board", "koper-a", stub.Spec{})
	last := l.add("reefer-watch", "koper-a", stub.Spec{})
	for range 3 {
		assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x").status, 200)
	}
	send(t, first.url+"/crane/lift", "x")
	last.target.SetFaults(stub.Faults{Reject: true})
	assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x", "Mustardmast-Retry-Budget", "1").status, 503)
	last.target.SetFaults(stub.Faults{Size: 100_000, CutAfter: 50_000})
	send(t, first.url+"/reefer-watch/register", "x", "Mustardmast-Retry-Budget", "0")
	// The caller can see the end of a broken answer before the handler has counted it.
	for end := time.Now().Add(2 * time.Second); read("call_duration_seconds_count") < 5 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, read(`calls_total{error="none",outcome="executed"}`), 3)
	assert.Equal(t, read(`calls_total{error="unknown-service",outcome="not-executed"}`), 1)
	assert.Equal(t, read(`calls_total{error="target-refused",outcome="not-executed"}`), 1)
	assert.Equal(t, read(`calls_total{error="answer-cut",outcome="unknown"}`), 1)
	assert.Equal(t, read("retries_total"), 1)
	assert.Equal(t, read("call_duration_seconds_count"), 5, "a call to an unknown service is not dispatched")
}

// Guards against silent connections that are replaced without a trace for operators.
func TestMeterCountsSilentConnections(t *testing.T) {
	l, read := metered(t)
	first := l.add("socket-board", "koper-a", stub.Spec{})
	last := l.add("reefer-watch", "koper-a", stub.Spec{})
	r := newRelay(t, last.member.Address.String())
	l.mu.Lock()
	last.member.Address = netip.MustParseAddrPort(r.l.Addr().String())
	l.mu.Unlock()
	assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x").status, 200)
	r.silence()
	send(t, first.url+"/reefer-watch/register", "x", "Mustardmast-Deadline-Ms", "2000")
	assert.Equal(t, read("silent_connections_closed_total"), 1)
}

// Guards against second sends that operators cannot see.
func TestMeterCountsHedges(t *testing.T) {
	l, read := metered(t)
	first := l.add("socket-board", "koper-a", stub.Spec{})
	both := []*host{l.add("reefer-watch", "koper-a", stub.Spec{}), l.add("reefer-watch", "koper-a", stub.Spec{})}
	for range 100 { // more would outlast the one heartbeat that the cluster announces, under the race detector
		assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x").status, 200)
	}
	// 100 calls earn three second sends. Either some were made already, or one is made for the first slow call.
	for _, h := range both {
		h.target.SetFaults(stub.Faults{DelayMS: 300})
	}
	assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x").status, 200)
	assert.Assert(t, read("hedges_total") > 0)
}

// Guards against refusals of quarantined content that operators cannot see, at the entry and at the executor, which may
// hear of a crash before the entry does.
func TestMeterCountsQuarantinedRefusals(t *testing.T) {
	l, read := metered(t)
	first := l.add("socket-board", "koper-a", stub.Spec{})
	last := l.add("reefer-watch", "koper-a", stub.Spec{})
	body, err := message.NewBody(io.NopCloser(strings.NewReader("x")), 1)
	assert.NilError(t, err)
	f := []quarantine.Fingerprint{quarantine.FingerprintOf("reefer-watch", "register", "", body.Digest("/reefer-watch/register"))}
	now := time.Now()
	last.quarantine.RecordCrash(now, 7, 1, f)
	last.quarantine.RecordCrash(now, 8, 1, f)
	alone, err := last.quarantine.Admit(now, f[0], []mustardmast.Member{last.member})
	assert.Assert(t, alone && err == nil, "the fingerprint is no suspect after two crashes")
	last.quarantine.RecordCrash(now, last.member.ID, 1, f)
	last.quarantine.ReleaseTarget(f[0])
	for i, entry := range []*host{last, first} {
		assert.Equal(t, send(t, entry.url+"/reefer-watch/register", "x").status, 422)
		assert.Equal(t, read("quarantined_refusals_total"), i+1)
		assert.Equal(t, read(`calls_total{error="quarantined",outcome="not-executed"}`), i+1)
	}
}
