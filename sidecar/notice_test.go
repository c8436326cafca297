package sidecar_test

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a target that gets more requests from all hosts together than the limit that it names, also while the
// node beside it restarts.
func TestLimitedTargetGetsNoMoreFromAllHosts(t *testing.T) {
	const limit, window, length = 20, 4 * time.Second, 7 * time.Second
	c := newCluster(t)
	entries := []*host{c.add("ledger", "a"), c.add("ledger", "b")}
	board := c.add("board", "a")
	var mu sync.Mutex
	var arrivals []time.Time
	board.target.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		w.Header().Set("Server-Limit", "20.0")
		_, _ = io.WriteString(w, "done")
	})
	start := time.Now()
	var wg sync.WaitGroup
	for _, entry := range entries {
		for range 10 {
			wg.Go(func() {
				for time.Since(start) < length {
					entry.send("GET", "/board/", nil, nil)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	board.stop()
	<-board.ended
	board.start()
	wg.Wait()
	for i, from := range arrivals {
		if from.Sub(start) < time.Second {
			continue // the target has just named its limit
		}
		end, _ := slices.BinarySearchFunc(arrivals, from.Add(window), time.Time.Compare)
		assert.Assert(t, float64(end-i) <= 1.5*limit*window.Seconds()+5, "%d requests in %v", end-i, window)
	}
	assert.Assert(t, len(arrivals) > limit*2, "%d requests", len(arrivals))
}

// Guards against a request that reaches a target after one of its answers has stated that it is shutting down, also from a
// node that is restarted beside it and knows that answer neither then nor from the announcement that follows.
func TestTargetGetsNoRequestsOnceItsAnswersStateThatItLeaves(t *testing.T) {
	for _, health := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		c := newCluster(t)
		entry, leaving, ready := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "b")
		leaving.target.leaving.Store(true)
		eventually(t, 5*time.Second, func() bool {
			id, _, _ := entry.send("GET", "/board/", nil, nil)
			return leaving.target.runCount(id) == 1
		})
		sendAll := func() {
			for range 30 {
				id, resp, _ := entry.send("GET", "/board/", nil, nil)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, leaving.target.runCount(id), 0)
				assert.Equal(t, ready.target.runCount(id), 1)
				time.Sleep(10 * time.Millisecond)
			}
		}
		leaving.announce("ready", 2)
		sendAll()
		leaving.target.health.Store(int32(health))
		leaving.stop()
		<-leaving.ended
		leaving.start()
		leaving.awaitListening()
		sendAll()
		leaving.announce("ready", 3)
		sendAll()
	}
}
