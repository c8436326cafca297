package deploy_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/internal/deploy"
	"mustardmast/io/header"
)

const (
	cutNoticed = 5 * time.Second // the other side is suspected by then
	maxLost    = 12              // 3 for each of the callers
)

// served calls a node for a while, under ids of owner or, without one, under ids that the node issues itself. It returns
// an error if fewer than 95 in 100 calls are served.
func served(entry, owner *deploy.Host, d time.Duration) (deploy.Summary, error) {
	var r deploy.Summary
	var mu sync.Mutex
	var all sync.WaitGroup
	last := ""
	end := time.Now().Add(d)
	for range 4 {
		all.Go(func() {
			for time.Now().Before(end) {
				h := http.Header{header.DeadlineMS: {"1500"}}
				if owner != nil {
					h.Set(header.RequestID, issue(owner.CallerAddress))
				}
				s := deploy.Call(entry.CallerAddress, "/socket-board/assign", "container 7", h)
				mu.Lock()
				r.Add(s)
				if s.Status != http.StatusOK {
					last = strings.TrimSpace(s.Text)
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
	if r.OK*100 < r.Calls*95 {
		return r, fmt.Errorf("%s served %d of %d calls; the last failure: %s", entry.Name, r.OK, r.Calls, last)
	}
	return r, nil
}

// Guards against domains that do not serve what they can while traffic passes in one direction only and the platform is
// slow, and against a configuration that a slow platform keeps from being in force in time.
func TestOneWayCutAndSlowPlatform(t *testing.T) {
	w := newWorld(t)
	a, b := w.d.Host("koper-a", "socket-board"), w.d.Host("koper-b", "socket-board")
	platformFaults(t, w.d, `{"slow-ms":1500}`)
	w.net.Cut("koper-b", "koper-a")
	var all sync.WaitGroup
	for _, h := range []*deploy.Host{a, b} {
		all.Go(func() {
			// Calls that are across the cut when it begins are lost, and so are the few that are sent across it until
			// the other side counts as suspect.
			r, _ := served(h, nil, cutNoticed)
			t.Logf("seed %d: %s: at first %s", uint64(seed), h.Name, &r)
			if lost := r.Calls - r.OK; lost > maxLost {
				t.Errorf("seed %d: %s: %d calls were lost before the cut was noticed", uint64(seed), h.Name, lost)
			}
			r, err := served(h, nil, 1500*time.Millisecond)
			t.Logf("seed %d: %s: then %s", uint64(seed), h.Name, &r)
			if err != nil {
				t.Error(err)
			}
		})
	}
	assert.NilError(t, w.d.Apply("../../examples/koper.json", 1, "second"))
	assert.NilError(t, w.d.AwaitGeneration(2, inForceWithin))
	all.Wait()
	// Calls that need the other side cannot be served. A check that accepts these would accept everything.
	_, err := served(a, b, 500*time.Millisecond)
	assert.ErrorContains(t, err, "served 0 of")
	w.net.Heal()
	platformFaults(t, w.d, `{"slow-ms":0}`)
	assert.NilError(t, w.d.AwaitServing(10*time.Second))
}
