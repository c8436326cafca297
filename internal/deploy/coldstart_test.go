package deploy_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/internal/deploy"
)

// checkServes returns an error unless a node serves a call of its own service.
func checkServes(h *deploy.Host) error {
	c := deploy.Call(h.CallerAddress, "/"+h.Service+"/"+deploy.Method(h.Service), "container 7", nil)
	if c.Status != 200 {
		return fmt.Errorf("%s responded with %d %s %s %s", h.Name, c.Status, c.Outcome, c.ErrorKind, c.Text)
	}
	return nil
}

// checkRejects calls a node repeatedly for the given time. It returns an error unless the node, once it listens,
// rejects every call as not executed and does not report that it is ready.
func checkRejects(h *deploy.Host, d time.Duration) error {
	responses := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c := deploy.Call(h.CallerAddress, "/"+h.Service+"/"+deploy.Method(h.Service), "container 7", nil)
		if c.Status == 0 {
			continue // not listening yet
		}
		responses++
		if c.Outcome != "not-executed" {
			return fmt.Errorf("%s responded with %d %s %s %s", h.Name, c.Status, c.Outcome, c.ErrorKind, c.Text)
		}
		var ready any
		if getJSON("http://"+h.AdminAddress+"/readyz", &ready) == nil {
			return fmt.Errorf("%s reports that it is ready", h.Name)
		}
	}
	if responses == 0 {
		return fmt.Errorf("%s never responded", h.Name)
	}
	return nil
}

// Guards against nodes that need the platform to start although peers have the configuration, and against nodes that
// serve calls without a configuration.
func TestColdStartWithoutPlatform(t *testing.T) {
	d := startDeployment(t, nil)
	setPlatformFaults(t, d, `{"down":true}`)

	h := d.Host("koper-b", "plug-ledger")
	h.Node.Kill()
	assert.NilError(t, d.StartNode(h))
	assert.NilError(t, deploy.Await(5*time.Second, func() error { return checkServes(h) }), "a restarted node gets the configuration from its peers")
	g, err := d.Generation(h)
	assert.NilError(t, err)
	assert.Equal(t, g, uint64(1))

	for _, x := range d.Hosts() {
		x.Node.Kill()
	}
	// reefer-watch calls no other service, so the missing configuration is the only reason to reject a call.
	h = d.Host("koper-b", "reefer-watch")
	assert.NilError(t, d.StartNode(h))
	assert.NilError(t, checkRejects(h, 2*time.Second))

	setPlatformFaults(t, d, `{"down":false}`)
	assert.NilError(t, deploy.Await(10*time.Second, func() error { return checkServes(h) }), "a node alone gets the configuration from the platform")
	assert.Assert(t, checkRejects(h, 200*time.Millisecond) != nil, "the check accepts a node that serves")
}
