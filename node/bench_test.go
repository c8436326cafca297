package node_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"mustardmast/io/target/stub"
	"mustardmast/io/telemetry"
)

// BenchmarkCall compares a direct call to a target with the same call through one and two nodes, in one process.
func BenchmarkCall(b *testing.B) {
	c := newCluster(b, chainConfig())
	c.meter = telemetry.New(metrics.NewSet())
	first := c.add("socket-board", "koper-a", stub.Spec{})
	last := c.add("reefer-watch", "koper-a", stub.Spec{})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	run := func(url string) func(b *testing.B) {
		return func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				res, err := client.Post(url+"/reefer-watch/register", "text/plain", strings.NewReader("container 7"))
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, res.Body)
				assert.NilError(b, err)
				res.Body.Close()
			}
		}
	}
	b.Run("direct", run(last.server.URL))
	b.Run("through-own-node", run(last.url))
	b.Run("through-two-nodes", run(first.url))
}
