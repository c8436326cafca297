package node_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/target/stub"
)

func chain(t *testing.T) (*cluster, *host) {
	l := newCluster(t, koper())
	first := l.add("socket-board", "koper-a", stub.Spec{Calls: []string{"plug-ledger/record:record"}})
	l.add("plug-ledger", "koper-b", stub.Spec{Calls: []string{"reefer-watch/register"}})
	l.add("reefer-watch", "koper-a", stub.Spec{})
	return l, first
}

// Guards against a call that does not pass a chain of services, or a response that belongs to another request.
func TestCallPassesTheChain(t *testing.T) {
	l, first := chain(t)
	a := send(t, first.url+"/socket-board/assign", "container 7")
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, 200, a.in)
	assert.Equal(t, a.outcome, "executed")
	assert.Assert(t, strings.Contains(a.in, "socket-board served "+a.id+" with 11 bytes"), a.in)
	for _, s := range []string{"socket-board", "plug-ledger", "reefer-watch"} {
		assert.Equal(t, len(l.executions(s)), 1, s)
	}
}

// Guards against a resend of a non-idempotent request that runs it again, by whichever node it comes.
func TestResendIsAnsweredFromTheRecord(t *testing.T) {
	l, first := chain(t)
	a := send(t, first.url+"/socket-board/assign", "container 7")
	assert.Equal(t, a.status, 200, a.in)
	for i, h := range l.hosts {
		again := send(t, h.url+"/socket-board/assign", "container 7", "Mustardmast-Request-Id", a.id, "Mustardmast-Attempt", string(rune('2'+i)))
		assert.Equal(t, again.status, 200, again.in)
		assert.Equal(t, again.in, a.in)
	}
	assert.DeepEqual(t, l.executions("socket-board"), map[string]int{a.id: 1})
	assert.Equal(t, len(l.executions("plug-ledger")), 1)
}

// Guards against a response cut short that a caller takes for a complete one.
func TestCutResponseIsNotComplete(t *testing.T) {
	l, _ := chain(t)
	l.hosts[2].target.SetFaults(stub.Faults{Size: 100_000, CutAfter: 50_000})
	a := send(t, l.hosts[0].url+"/reefer-watch/register", "", "Mustardmast-Retry-Budget", "0")
	assert.Assert(t, a.err != nil || a.status >= 500, "%+v", a.status)
}

// Guards against a caller that is told not-executed because its last send was refused, although an earlier send of the
// same call may have run.
func TestRefusedRepeatIsNotToldAsNotExecuted(t *testing.T) {
	l := newCluster(t, koper())
	first := l.add("socket-board", "koper-a", stub.Spec{})
	var last *host
	last = l.add("reefer-watch", "koper-a", stub.Spec{Crash: func() { last.node.LocalTarget().Drain(time.Now()) }})
	last.target.SetFaults(stub.Faults{CrashOn: "boom"})
	a := send(t, first.url+"/reefer-watch/register", "boom")
	assert.Equal(t, len(last.target.Executions()), 1)
	assert.Equal(t, a.outcome, "unknown", a.in)
}

// Guards against work that goes on for a caller that has gone: the cancellation of an idempotent call passes both nodes
// and reaches the target long before its work would end.
func TestCancellationReachesTheTarget(t *testing.T) {
	l := newCluster(t, koper())
	first := l.add("socket-board", "koper-a", stub.Spec{})
	last := l.add("reefer-watch", "koper-a", stub.Spec{Delay: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, first.url+"/reefer-watch/register", strings.NewReader("x"))
	assert.NilError(t, err)
	time.AfterFunc(200*time.Millisecond, cancel)
	res, err := http.DefaultClient.Do(q)
	if err == nil {
		res.Body.Close()
	}
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, len(last.target.Executions()), 1)
	end := time.Now().Add(1500 * time.Millisecond) // the method's own deadline is 2 s
	for last.target.Running() > 0 {
		assert.Assert(t, time.Now().Before(end), "the target still works")
		time.Sleep(10 * time.Millisecond)
	}
}
