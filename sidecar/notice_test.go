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
