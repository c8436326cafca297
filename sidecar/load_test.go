package sidecar_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Sends a burst of low-priority requests at three times the capacity of the service's only target, with high-priority
// requests among them. Guards against high-priority requests that fail or queue behind the others, against late
// rejections, and against rejections without Retry-After.
func TestBurstOfLowPriorityRequests(t *testing.T) {
	const work, length, gap = 50 * time.Millisecond, 3 * time.Second, 900 * time.Microsecond
	c := newCluster(t)
	c.configure(3, rule("/board/", "idempotent", 2, "ledger", 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2))
	entry, ledger := c.add("board", "a"), c.add("ledger", "a")
	ledger.target.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		_, _ = io.WriteString(w, "done")
	})
	eventually(t, 2*time.Second, func() bool {
		_, resp, _ := entry.send("GET", "/board/", nil, nil)
		return resp.StatusCode == http.StatusOK
	})
	var high, highServed, served, rejected, late, withoutRetryAfter atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < length; n++ {
		wg.Go(func() {
			sent := time.Now()
			if n%12 == 0 {
				high.Add(1)
				if _, resp, _ := entry.send("POST", "/ledger/", nil, strings.NewReader("x")); resp.StatusCode == http.StatusOK {
					highServed.Add(1)
				}
				return
			}
			_, resp, _ := entry.send("GET", "/board/", nil, nil)
			switch resp.StatusCode {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				rejected.Add(1)
				if resp.Header.Get("Retry-After") == "" {
					withoutRetryAfter.Add(1)
				}
				if time.Since(sent) > 700*time.Millisecond {
					late.Add(1)
				}
			}
		})
		time.Sleep(gap)
	}
	wg.Wait()
	capacity := int64(18 * time.Since(start) / work)
	assert.Assert(t, highServed.Load() >= high.Load()*98/100, "%d of %d", highServed.Load(), high.Load())
	assert.Assert(t, served.Load()+highServed.Load() > capacity*7/10, "%d of %d", served.Load()+highServed.Load(), capacity)
	assert.Assert(t, rejected.Load() > 0 && withoutRetryAfter.Load() == 0, "%d rejected, %d of them without Retry-After", rejected.Load(), withoutRetryAfter.Load())
	assert.Assert(t, late.Load() <= rejected.Load()/50, "%d of %d rejections came late", late.Load(), rejected.Load())
}

// warmUp sends requests until the node has measured their latency.
func (h *host) warmUp() {
	h.c.t.Helper()
	for range 40 {
		_, resp, _ := h.send("GET", "/board/", nil, nil)
		assert.Equal(h.c.t, resp.StatusCode, http.StatusOK)
	}
}

// Guards against idempotent requests that stay on an unresponsive target until their deadline while another target has
// capacity.
func TestUnresponsiveTargetIsReplaced(t *testing.T) {
	c := newCluster(t)
	entry, unresponsive, healthy := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "a")
	entry.warmUp()
	unresponsive.target.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for range 30 {
		start := time.Now()
		_, resp, got := entry.send("GET", "/board/", nil, nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, got, "from "+healthy.ip)
		assert.Assert(t, time.Since(start) < time.Second)
	}
}

// Guards against canceling a slow run because a hedged request to another target was rejected: the slow target is still
// processing the request.
func TestSlowRunIsNotCanceledWhenHedgeIsRejected(t *testing.T) {
	c := newCluster(t)
	entry, slow, rejecting := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "b")
	entry.warmUp()
	var canceled atomic.Int64
	slow.target.setHandler(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(700 * time.Millisecond):
			_, _ = io.WriteString(w, "slow but well")
		case <-r.Context().Done():
			canceled.Add(1)
		}
	})
	rejecting.target.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for range 8 {
		id, resp, got := entry.send("GET", "/board/", nil, nil)
		if slow.target.runCount(id) == 0 {
			continue // rejected by the other target first, and not granted a retry
		}
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, got, "slow but well")
		assert.Equal(t, slow.target.runCount(id), 1)
	}
	assert.Equal(t, canceled.Load(), int64(0))
}

// Clients go on sending to a node during its planned stop, as they do if too few other nodes of their domain are
// serving. Guards against requests that are accepted so late that the end of the process cuts them off.
func TestClientsThatGoOnDuringAPlannedStop(t *testing.T) {
	c := newCluster(t)
	entry, board := c.add("ledger", "a"), c.add("board", "a")
	board.target.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	var wg sync.WaitGroup
	var served, rejected, connRefused, cut atomic.Int64
	for range 10 {
		wg.Go(func() {
			for ended := false; !ended; {
				select {
				case <-entry.ended:
					ended = true
				default:
				}
				_, resp, text := entry.send("GET", "/board/", nil, nil)
				switch {
				case resp.StatusCode == http.StatusOK && text == "done":
					served.Add(1)
				case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
					rejected.Add(1)
				case strings.Contains(text, "connection refused"):
					connRefused.Add(1) // the node has not read it, so the client may retry
				default:
					cut.Add(1)
					t.Errorf("status %d, %.100s", resp.StatusCode, text)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	entry.stop()
	<-entry.ended
	took := time.Since(start)
	wg.Wait()
	t.Logf("served %d, rejected %d, connection refused %d, cut off %d, stop took %v", served.Load(), rejected.Load(), connRefused.Load(), cut.Load(), took)
	assert.Assert(t, took < soakGrace, "%v", took)
	assert.Assert(t, rejected.Load() > 0)
}

// Sends a request of each kind at each tenth of the grace period of a planned stop, in calm. Each takes nearly as long as
// the timeout of its route. Guards against requests that are accepted although they cannot end in time and are cut off
// when the process ends, above all those that may not be repeated.
func TestRequestsLateInTheGraceOfAPlannedStop(t *testing.T) {
	c := newCluster(t)
	c.configure(3, rule("/board/", "idempotent", 2, "board", 2), rule("/ledger/", "non_idempotent", 0, "board", 2))
	entry, board := c.add("ledger", "a"), c.add("board", "a")
	board.target.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/board/" {
			time.Sleep(1900 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "done")
	})
	entry.warmUp()
	var wg sync.WaitGroup
	var served, rejected, connRefused, unknown atomic.Int64
	start := time.Now()
	entry.stop()
	for tenth := range 10 {
		time.Sleep(time.Until(start.Add(time.Duration(tenth) * soakGrace / 10)))
		for method, path := range map[string]string{"GET": "/board/long", "POST": "/ledger/long"} {
			wg.Go(func() {
				id, resp, text := entry.send(method, path, nil, nil)
				ran := board.target.runCount(id) > 0
				switch {
				case resp.StatusCode == http.StatusOK && text == "done":
					served.Add(1)
				case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" && !ran:
					rejected.Add(1)
				case strings.Contains(text, "connection refused"):
					connRefused.Add(1) // the node has not read it, so the client may retry
				case method == "GET" && resp.StatusCode/100 == 5 && tenth < 5: // its client could not know of the stop
					unknown.Add(1)
				default:
					t.Errorf("%s after %d tenths of the grace period: status %d, %.100s, ran %v", path, tenth, resp.StatusCode, text, ran)
				}
			})
		}
	}
	wg.Wait()
	<-entry.ended
	t.Logf("served %d, rejected %d, connection refused %d, outcome unknown %d", served.Load(), rejected.Load(), connRefused.Load(), unknown.Load())
	assert.Assert(t, served.Load() >= 2 && rejected.Load() > 0)
	assert.Assert(t, time.Since(start) < soakGrace)
}
