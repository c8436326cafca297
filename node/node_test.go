package node_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/header"
	"mustardmast/io/target/stub"
)

func newChain(t *testing.T) (*cluster, *host) {
	c := newCluster(t, chainConfig())
	first := c.add("socket-board", "koper-a", stub.Spec{Calls: []string{"plug-ledger/record:record"}})
	c.add("plug-ledger", "koper-b", stub.Spec{Calls: []string{"reefer-watch/register"}})
	c.add("reefer-watch", "koper-a", stub.Spec{})
	return c, first
}

// Guards against a call that fails in a chain of services, and against a response that belongs to another request.
func TestCallThroughServiceChain(t *testing.T) {
	c, first := newChain(t)
	res := send(t, first.url+"/socket-board/assign", "container 7")
	assert.NilError(t, res.err)
	assert.Equal(t, res.status, 200, res.text)
	assert.Equal(t, res.outcome, "executed")
	assert.Assert(t, strings.Contains(res.text, "socket-board served "+res.id+" with 11 bytes"), res.text)
	for _, s := range []string{"socket-board", "plug-ledger", "reefer-watch"} {
		assert.Equal(t, len(c.executions(s)), 1, s)
	}
}

// Guards against a retry of a non-idempotent request, through any node, that executes the request again.
func TestRetryReturnsRecordedResponse(t *testing.T) {
	c, first := newChain(t)
	res := send(t, first.url+"/socket-board/assign", "container 7")
	assert.Equal(t, res.status, 200, res.text)
	for i, h := range c.hosts {
		again := send(t, h.url+"/socket-board/assign", "container 7", "Mustardmast-Request-Id", res.id, "Mustardmast-Attempt", string(rune('2'+i)))
		assert.Equal(t, again.status, 200, again.text)
		assert.Equal(t, again.text, res.text)
	}
	assert.DeepEqual(t, c.executions("socket-board"), map[string]int{res.id: 1})
	assert.Equal(t, len(c.executions("plug-ledger")), 1)
}

// Guards against a truncated response that a caller takes for a complete one.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	c, _ := newChain(t)
	c.hosts[2].target.SetFaults(stub.Faults{Size: 100_000, CutAfter: 50_000})
	res := send(t, c.hosts[0].url+"/reefer-watch/register", "", "Mustardmast-Retry-Budget", "0")
	assert.Assert(t, res.err != nil || res.status >= 500, "%+v", res.status)
}

// Guards against the outcome not-executed for a call whose last send was rejected although an earlier send may have
// run.
func TestRejectedRetryDoesNotReportNotExecuted(t *testing.T) {
	c := newCluster(t, chainConfig())
	first := c.add("socket-board", "koper-a", stub.Spec{})
	var last *host
	last = c.add("reefer-watch", "koper-a", stub.Spec{Crash: func() { last.node.LocalTarget().Drain(time.Now()) }})
	last.target.SetFaults(stub.Faults{CrashOn: "boom"})
	res := send(t, first.url+"/reefer-watch/register", "boom")
	assert.Equal(t, len(last.target.Executions()), 1)
	assert.Equal(t, res.outcome, "unknown", res.text)
}

// Guards against work that continues after its caller has disconnected: the cancellation of an idempotent call must
// pass through both nodes and reach the target long before the work would end.
func TestCancellationReachesTheTarget(t *testing.T) {
	c := newCluster(t, chainConfig())
	first := c.add("socket-board", "koper-a", stub.Spec{})
	last := c.add("reefer-watch", "koper-a", stub.Spec{Delay: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, first.url+"/reefer-watch/register", strings.NewReader("x"))
	assert.NilError(t, err)
	time.AfterFunc(200*time.Millisecond, cancel)
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		res.Body.Close()
	}
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, len(last.target.Executions()), 1)
	end := time.Now().Add(1500 * time.Millisecond) // the method's own deadline is 2 s
	for last.target.Running() > 0 {
		assert.Assert(t, time.Now().Before(end), "the target still executes the canceled call")
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a request that the node reads during a planned stop and that ends without a response.
func TestRequestReadDuringStopIsAnswered(t *testing.T) {
	_, first := newChain(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(first.url, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	time.Sleep(20 * time.Millisecond) // until the node has accepted it
	ended := make(chan error)
	go func() { ended <- first.node.Stop(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, "POST /socket-board/list HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(header.Outcome), "not-executed")
	assert.NilError(t, resp.Body.Close())
	assert.NilError(t, <-ended)
}
