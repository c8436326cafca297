package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// leftAfterRestart: an upstream deregisters, the acknowledgement is given, and the node beside it is killed and starts
// again. A heartbeat that the upstream had sent before it deregistered arrives late. Rule DRAIN.
func leftAfterRestart(r *recorder, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"plug-ledger", "plug-ledger", "socket-board"})
	if err != nil {
		return cannotRun, err
	}
	defer d.close()
	d.configure([]route{
		{prefix: "/plug-in/", kind: "non_idempotent", service: "plug-ledger", timeout: 2, latency: 1.5, attempts: 2},
		{prefix: "/socket/", kind: "idempotent", service: "socket-board", timeout: 2, latency: 1.5, attempts: 2, priority: 2},
	})
	if err := d.startAll(); err != nil {
		return cannotRun, err
	}
	leaving := &drainWatch{}
	var upstreams []*upstream
	for _, m := range d.machines {
		u := &upstream{d: d, machine: m, slots: 20, work: func(*http.Request, []byte) time.Duration { return 140 * time.Millisecond }}
		if m == d.machines[0] {
			u.onRun = leaving.observe
		}
		if err := u.start(); err != nil {
			return cannotRun, err
		}
		upstreams = append(upstreams, u)
	}
	time.Sleep(5 * time.Second) // all machines are in touch

	ctx, cancel := context.WithCancel(context.Background())
	answers := d.machines[2].stream(ctx, 40*time.Millisecond, func(n int) call {
		return call{method: http.MethodPost, path: fmt.Sprintf("/plug-in/%d", n), id: fmt.Sprintf("p%05d", n), body: []byte("container"), budget: 5 * time.Second}
	})
	time.Sleep(2 * time.Second)

	u, m := upstreams[0], d.machines[0]
	id, late := u.nextBeat() // on its way for some seconds
	if !u.deregister() {
		cancel()
		return cannotRun, fmt.Errorf("the deregistration was not acknowledged")
	}
	ack := time.Now()
	r.sayf("%s deregistered, acknowledged", id)
	if trouble {
		time.Sleep(300 * time.Millisecond)
		m.kill()
		time.Sleep(500 * time.Millisecond)
		if err := m.start(); err != nil {
			cancel()
			return cannotRun, err
		}
		if err := m.awaitReady(10 * time.Second); err != nil {
			cancel()
			return cannotRun, err
		}
	}
	started := time.Now()
	time.Sleep(time.Until(ack.Add(2500 * time.Millisecond)))
	r.sayf("the heartbeat sent before the deregistration arrives, 2.5 s late")
	u.sendBeat(context.Background(), id, late)
	inTouch := later(ack.Add(drainPeriod), started.Add(touchPeriod)).Add(500 * time.Millisecond)
	time.Sleep(time.Until(ack.Add(9 * time.Second)))
	u.end() // it has served for DrainS and some seconds more
	ended := time.Now()
	time.Sleep(3 * time.Second)
	cancel()

	count := leaving.after(inTouch)
	lost := 0
	for _, a := range answers() {
		if a.status != http.StatusOK && a.ended.After(ended.Add(-time.Second)) && a.status != http.StatusServiceUnavailable {
			lost++
		}
	}
	r.sayf("requests that reached %s later than DrainS after the acknowledgement, with all machines in touch: %d", id, count)
	r.sayf("requests that ended with neither a success nor a 503 as it ended: %d", lost)
	if count > 0 {
		return broken, nil
	}
	return held, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// drainWatch records when requests began to run at an upstream.
type drainWatch struct {
	mu   sync.Mutex
	runs []time.Time
}

func (w *drainWatch) observe(*upstream, *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, time.Now())
}

// after returns the number of runs that began after t.
func (w *drainWatch) after(t time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, at := range w.runs {
		if at.After(t) {
			n++
		}
	}
	return n
}

// endedAnswer is an answer and when it came.
type endedAnswer struct {
	answer
	ended time.Time
}

// stream sends a request each period until ctx ends. The function that it returns waits for the answers.
func (m *machine) stream(ctx context.Context, period time.Duration, next func(n int) call) func() []endedAnswer {
	var mu sync.Mutex
	var out []endedAnswer
	var wg sync.WaitGroup
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for n := 0; ctx.Err() == nil; n++ {
			wg.Go(func() {
				a := m.request(next(n))
				mu.Lock()
				defer mu.Unlock()
				out = append(out, endedAnswer{a, time.Now()})
			})
			time.Sleep(period)
		}
	}()
	return func() []endedAnswer {
		<-sent
		wg.Wait()
		return out
	}
}
