package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// settingsChange: the upstream of a machine ends, and one of another service gets its address. The platform changes the
// settings file without a signal. Rule UNASKED: Caller-Service names the service of the machine.
func settingsChange(r *recorder, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"unplug-desk", "socket-board", "plug-ledger", "unplug-desk"})
	if err != nil {
		return cannotRun, err
	}
	defer d.close()
	d.configure([]route{
		{prefix: "/unplug/", kind: "non_idempotent", service: "unplug-desk", timeout: 2, latency: 0.5, attempts: 2},
		{prefix: "/status/", kind: "idempotent", service: "socket-board", timeout: 2, latency: 1.5, attempts: 2, priority: 2},
		{prefix: "/history/", kind: "idempotent", service: "plug-ledger", timeout: 2, latency: 1, attempts: 2},
	})
	if err := d.startAll(); err != nil {
		return cannotRun, err
	}
	callers := &callerLog{}
	work := func(*http.Request, []byte) time.Duration { return 20 * time.Millisecond }
	var upstreams []*upstream
	for _, m := range d.machines {
		u := &upstream{d: d, machine: m, slots: 20, work: work}
		switch m.service {
		case "plug-ledger":
			u.onRun = callers.observe
		case "socket-board":
			u.calls = func(*http.Request) []string { return []string{"/history/1"} }
			u.work = func(*http.Request, []byte) time.Duration { return 200 * time.Millisecond } // slower than the next one
		}
		if err := u.start(); err != nil {
			return cannotRun, err
		}
		upstreams = append(upstreams, u)
	}
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	answers := d.machines[3].stream(ctx, 50*time.Millisecond, func(n int) call {
		return call{method: http.MethodGet, path: "/status/1", id: fmt.Sprintf("s%05d", n), budget: 3 * time.Second}
	})
	time.Sleep(2 * time.Second)
	// The upstream of the first machine leaves. More than ReuseAfterS later one of socket-board gets its address.
	m := d.machines[0]
	if !upstreams[0].deregister() {
		cancel()
		return cannotRun, fmt.Errorf("the deregistration was not acknowledged")
	}
	time.Sleep(drainPeriod + 500*time.Millisecond)
	upstreams[0].end()
	time.Sleep(3 * time.Second)
	m.service = "socket-board"
	if _, err := m.writeSettings(); err != nil {
		cancel()
		return cannotRun, err
	}
	r.sayf("the settings file of %s changes: its service is now %s", m.name, m.service)
	if !trouble {
		m.signal(syscall.SIGHUP)
	}
	next := &upstream{d: d, machine: m, slots: 20, work: work, calls: upstreams[1].calls, lifetime: 1}
	if err := next.start(); err != nil {
		cancel()
		return cannotRun, err
	}
	time.Sleep(5 * time.Second)
	callers.begin()
	time.Sleep(8 * time.Second)
	cancel()
	answers()
	right, wrong := callers.counts()
	r.sayf("calls of the upstreams of socket-board, later than 5 s after the change: %d with their service as Caller-Service, %d with another", right, wrong)
	switch {
	case right+wrong == 0:
		return cannotRun, fmt.Errorf("no call was made")
	case wrong > 0:
		return broken, nil
	}
	return held, nil
}

// callerLog counts the calls that name another service than socket-board as their caller.
type callerLog struct {
	mu           sync.Mutex
	counting     bool
	right, wrong int
}

func (c *callerLog) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counting = true
}

func (c *callerLog) observe(_ *upstream, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.counting:
	case r.Header.Get("Caller-Service") == "socket-board":
		c.right++
	default:
		c.wrong++
	}
}

func (c *callerLog) counts() (right, wrong int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.right, c.wrong
}
