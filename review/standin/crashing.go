package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashingRequest: a request crashes each upstream that begins to run it, and comes again with the same path, caller and
// body. Rule BUDGET: after the third crash it may reach upstreams three more times.
func crashingRequest(r *recorder, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"socket-board", "socket-board", "socket-board", "plug-ledger"})
	if err != nil {
		return cannotRun, err
	}
	defer d.close()
	d.configure([]route{
		{prefix: "/status/", kind: "idempotent", service: "socket-board", timeout: 2, latency: 1.5, attempts: 2, priority: 2},
		{prefix: "/assign/", kind: "non_idempotent", service: "socket-board", timeout: 2, latency: 1.5, attempts: 2},
		{prefix: "/plug-in/", kind: "non_idempotent", service: "plug-ledger", timeout: 2, latency: 1.5, attempts: 2},
	})
	if err := d.startAll(); err != nil {
		return cannotRun, err
	}
	crashes := &crashLog{}
	for _, m := range d.machines {
		u := &upstream{
			d: d, machine: m, slots: 20, backIn: 2 * time.Second,
			work:    func(*http.Request, []byte) time.Duration { return 140 * time.Millisecond },
			crashes: func(q *http.Request) bool { return trouble && strings.HasPrefix(q.URL.Path, "/status/crash") },
		}
		u.onRun = func(u *upstream, q *http.Request) {
			if u.crashes(q) {
				crashes.add(q.Header.Get("Attempt-Id"))
			}
		}
		if err := u.start(); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entry := d.machines[3]
	answers := entry.stream(ctx, 50*time.Millisecond, func(n int) call {
		return call{method: http.MethodPost, path: fmt.Sprintf("/assign/%d", n), id: fmt.Sprintf("a%05d", n), body: []byte("container"), budget: 5 * time.Second}
	})
	send := func(n int) {
		entry.request(call{method: http.MethodGet, path: "/status/crash", id: fmt.Sprintf("c%05d", n), budget: 5 * time.Second})
	}
	n := 0
	for ; n < 6 && crashes.count() < 3; n++ {
		send(n)
		time.Sleep(3 * time.Second)
	}
	third := crashes.third()
	time.Sleep(touchPeriod + 2*time.Second)
	// From here each repeat is sent later than TouchS after the third crash. The pause between two of them lets all
	// upstreams come back and all machines be calm for TouchS.
	for repeat := 0; repeat < 7; repeat++ {
		send(n + repeat)
		time.Sleep(6 * time.Second)
	}
	cancel()
	after := 0
	if trouble {
		after = crashes.after(third.Add(touchPeriod))
	}
	lost := 0
	for _, a := range answers() {
		if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
			lost++
		}
	}
	r.sayf("upstreams crashed by the request: %d", crashes.count())
	r.sayf("times that it reached an upstream later than TouchS after the third crash: %d (the rule allows 3)", after)
	r.sayf("requests of others that ended with neither a success nor a promise not to run: %d", lost)
	switch {
	case trouble && crashes.count() < 3:
		return cannotRun, fmt.Errorf("the request crashed %d upstreams, expected at least 3", crashes.count())
	case after > 3:
		return broken, nil
	}
	return held, nil
}

// crashLog records when and for which attempt an upstream crashed.
type crashLog struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashLog) add(string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

func (c *crashLog) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

// third returns the time of the third crash, or now if there were fewer.
func (c *crashLog) third() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < 3 {
		return time.Now()
	}
	return c.at[2]
}

func (c *crashLog) after(t time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.at {
		if at.After(t) {
			n++
		}
	}
	return n
}
