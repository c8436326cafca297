package deploy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/internal/deploy"
	"mustardmast/io/header"
	"mustardmast/io/target/stub"
)

// maxDrainDelay is the guaranteed bound after which a draining target receives no new calls.
const maxDrainDelay = 3 * time.Second

func (w *workload) executionCount(h *deploy.Host) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executionsByHost[h]
}

// checkNoNewCalls returns an error if one of the hosts' targets starts a call while f runs.
func (w *workload) checkNoNewCalls(f func(), hosts ...*deploy.Host) error {
	before := make([]int, len(hosts))
	for i, h := range hosts {
		before[i] = w.executionCount(h)
	}
	f()
	for i, h := range hosts {
		if n := w.executionCount(h) - before[i]; n > 0 {
			return fmt.Errorf("the draining target of %s started %d new calls", h.Name, n)
		}
	}
	return nil
}

// Guards against a draining target that receives new calls, also from nodes that gossip does not reach, and against a
// drain that interrupts calls in flight.
func TestLeavingTargetGetsNoNewCalls(t *testing.T) {
	w := newWorkload(t)
	drained, draining := w.d.Host("koper-b", "socket-board"), w.d.Host("koper-a", "plug-ledger")
	w.net.DropDatagrams()
	w.stubs[drained].SetFaults(stub.Faults{DelayMS: 1000})
	before := w.executionCount(drained)
	var slow sync.WaitGroup
	responses := make([]deploy.Response, 4)
	for i := range responses {
		slow.Go(func() {
			responses[i] = deploy.Call(drained.CallerAddress, "/socket-board/assign", "container 7", http.Header{header.DeadlineMS: {"4000"}})
		})
	}
	assert.NilError(t, deploy.Await(time.Second, func() error {
		if n := w.executionCount(drained) - before; n < len(responses) {
			return fmt.Errorf("only %d calls are in flight", n)
		}
		return nil
	}))
	_, code := runCLI("drain", "--node", drained.AdminAddress)
	assert.Equal(t, code, 0)
	all := w.startCallers(8, maxDrainDelay+2500*time.Millisecond)
	slow.Wait()
	for _, s := range responses {
		assert.Equal(t, s.Status, http.StatusOK, "a call that was in flight when the drain began: %+v", s)
	}
	w.stubs[draining].SetFaults(stub.Faults{Draining: true})
	time.Sleep(maxDrainDelay)
	assert.NilError(t, w.checkNoNewCalls(all.Wait, drained, draining), "seed %d", uint64(seed))
	t.Logf("seed %d, outcomes: %v", uint64(seed), w.outcomes)
	assert.NilError(t, w.history.Check(), "seed %d", uint64(seed))
	assert.Assert(t, w.outcomes["executed "] > 50, "too few requests were executed: %v", w.outcomes)
	// The check must detect a caller that ignores the state of targets.
	err := w.checkNoNewCalls(func() { deploy.Call(drained.TargetAddress, "/socket-board/assign", "container 7", nil) }, drained)
	assert.ErrorContains(t, err, "new calls")
}

// callDuring calls through all nodes for the given time. It returns the number of successful calls and a description of
// each interrupted one. A refused connection and a rejection as not executed do not count as interrupted.
func callDuring(d *deploy.Deployment, duration time.Duration) (succeeded int, interrupted []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	// Without keep-alives, no request is written to an idle connection that the node closes at the same time.
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	hosts := d.Hosts()
	end := time.Now().Add(duration)
	for i := range 12 {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for time.Now().Before(end) {
				h := hosts[rng.IntN(len(hosts))]
				ok, why := callOnce(c, h.CallerAddress)
				mu.Lock()
				if ok {
					succeeded++
				} else if why != "" {
					interrupted = append(interrupted, h.Name+": "+why)
				}
				mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	return succeeded, interrupted
}

// callOnce makes a call and reports whether it succeeded. If it was interrupted, it returns a description.
func callOnce(c *http.Client, node string) (ok bool, interrupted string) {
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+node+"/socket-board/assign", strings.NewReader("container 7"))
	if err != nil {
		return false, err.Error()
	}
	res, err := c.Do(q)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false, ""
	}
	if err != nil {
		return false, err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		return false, err.Error()
	case res.StatusCode == http.StatusOK:
		return true, ""
	case res.Header.Get(header.Outcome) == "not-executed":
		return false, ""
	}
	return false, fmt.Sprintf("%s %s %s", res.Status, res.Header.Get(header.Error), strings.TrimSpace(string(b)))
}

// Guards against a planned stop that interrupts requests in flight. The check must detect that a kill does.
func TestPlannedStopUnderLoad(t *testing.T) {
	d := startDeployment(t, func(s *deploy.Spec) { s.Delay = 150 * time.Millisecond })
	run := func(h *deploy.Host, end func()) (succeeded int, interrupted []string) {
		var all sync.WaitGroup
		all.Go(func() { succeeded, interrupted = callDuring(d, 1500*time.Millisecond) })
		time.Sleep(800 * time.Millisecond)
		end()
		all.Wait()
		return succeeded, interrupted
	}
	h := d.Host("koper-b", "socket-board")
	code := -1
	succeeded, interrupted := run(h, func() { code = h.Node.Stop() })
	t.Logf("seed %d: planned stop: %d succeeded, interrupted: %q", uint64(seed), succeeded, interrupted)
	assert.Equal(t, code, 0)
	assert.Equal(t, len(interrupted), 0, "seed %d", uint64(seed))
	assert.Assert(t, succeeded > 20)

	h = d.Host("koper-a", "socket-board")
	succeeded, interrupted = run(h, h.Node.Kill)
	t.Logf("seed %d: kill: %d succeeded, %d interrupted", uint64(seed), succeeded, len(interrupted))
	assert.Assert(t, len(interrupted) > 0, "the check does not detect calls that a kill interrupts")
}
