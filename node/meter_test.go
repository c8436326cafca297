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

// newMeteredCluster returns a cluster whose nodes share one set of metrics, and a function that reads a series of the
// set.
func newMeteredCluster(t *testing.T) (*cluster, func(series string) int) {
	set := metrics.NewSet()
	c := newCluster(t, chainConfig())
	c.meter = telemetry.New(set)
	return c, func(series string) int {
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

// Guards against calls that are counted under another outcome than their callers received, or not at all.
func TestMeterCountsReportedOutcomes(t *testing.T) {
	c, read := newMeteredCluster(t)
	first := c.add("socket-board", "koper-a", stub.Spec{})
	last := c.add("reefer-watch", "koper-a", stub.Spec{})
	for range 3 {
		assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x").status, 200)
	}
	send(t, first.url+"/crane/lift", "x")
	last.target.SetFaults(stub.Faults{Reject: true})
	assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x", "Mustardmast-Retry-Budget", "1").status, 503)
	last.target.SetFaults(stub.Faults{Size: 100_000, CutAfter: 50_000})
	send(t, first.url+"/reefer-watch/register", "x", "Mustardmast-Retry-Budget", "0")
	// The caller can see the end of a truncated response before the handler has counted the call.
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

// Guards against stalled connections that are replaced without being counted.
func TestMeterCountsStalledConnections(t *testing.T) {
	c, read := newMeteredCluster(t)
	first := c.add("socket-board", "koper-a", stub.Spec{})
	last := c.add("reefer-watch", "koper-a", stub.Spec{})
	relay := newRelay(t, last.member.Address.String())
	c.mu.Lock()
	last.member.Address = netip.MustParseAddrPort(relay.listener.Addr().String())
	c.mu.Unlock()
	assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x").status, 200)
	relay.dropOpenConns()
	send(t, first.url+"/reefer-watch/register", "x", "Mustardmast-Deadline-Ms", "2000")
	assert.Equal(t, read("silent_connections_closed_total"), 1)
}

// Guards against hedged requests that are not counted.
func TestMeterCountsHedges(t *testing.T) {
	c, read := newMeteredCluster(t)
	first := c.add("socket-board", "koper-a", stub.Spec{})
	both := []*host{c.add("reefer-watch", "koper-a", stub.Spec{}), c.add("reefer-watch", "koper-a", stub.Spec{})}
	for range 100 { // under the race detector, more calls would take longer than the timeout of the cluster's only heartbeat
		assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x").status, 200)
	}
	// 100 calls allow three hedged requests. Either some were sent already, or one is sent for the first slow call.
	for _, h := range both {
		h.target.SetFaults(stub.Faults{DelayMS: 300})
	}
	assert.Equal(t, send(t, first.url+"/reefer-watch/register", "x").status, 200)
	assert.Assert(t, read("hedges_total") > 0)
}

// Guards against rejections of quarantined requests that are not counted, at the entry node and at the executor, which
// may learn of a crash before the entry node does.
func TestMeterCountsQuarantineRejections(t *testing.T) {
	c, read := newMeteredCluster(t)
	first := c.add("socket-board", "koper-a", stub.Spec{})
	last := c.add("reefer-watch", "koper-a", stub.Spec{})
	body, err := message.NewBody(io.NopCloser(strings.NewReader("x")), 1)
	assert.NilError(t, err)
	fingerprints := []quarantine.Fingerprint{quarantine.FingerprintOf("reefer-watch", "register", "", body.Digest("/reefer-watch/register"))}
	now := time.Now()
	last.quarantine.RecordCrash(now, 7, 1, fingerprints)
	last.quarantine.RecordCrash(now, 8, 1, fingerprints)
	isolated, err := last.quarantine.Admit(now, fingerprints[0], []mustardmast.Member{last.member})
	assert.Assert(t, isolated && err == nil, "the fingerprint is not suspect after two crashes")
	last.quarantine.RecordCrash(now, last.member.ID, 1, fingerprints)
	last.quarantine.ReleaseTarget(fingerprints[0])
	for i, entry := range []*host{last, first} {
		assert.Equal(t, send(t, entry.url+"/reefer-watch/register", "x").status, 422)
		assert.Equal(t, read("quarantined_refusals_total"), i+1)
		assert.Equal(t, read(`calls_total{error="quarantined",outcome="not-executed"}`), i+1)
	}
}
