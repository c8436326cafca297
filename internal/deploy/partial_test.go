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
	cutDetectionTime = 5 * time.Second // until the members of the other side are suspected
	maxLost          = 12              // 3 for each of the 4 callers
)

// checkServed calls a node for the given time with request ids issued by owner or, if owner is nil, by the node itself.
// It returns an error if fewer than 95 in 100 calls are served.
func checkServed(entry, owner *deploy.Host, d time.Duration) (deploy.Summary, error) {
	var r deploy.Summary
	var mu sync.Mutex
	var all sync.WaitGroup
	lastFailure := ""
	end := time.Now().Add(d)
	for range 4 {
		all.Go(func() {
			for time.Now().Before(end) {
				h := http.Header{header.DeadlineMS: {"1500"}}
				if owner != nil {
					h.Set(header.RequestID, issueID(owner.CallerAddress))
				}
				s := deploy.Call(entry.CallerAddress, "/socket-board/assign", "container 7", h)
				mu.Lock()
				r.Add(s)
				if s.Status != http.StatusOK {
					lastFailure = strings.TrimSpace(s.Text)
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
	if r.OK*100 < r.Calls*95 {
		return r, fmt.Errorf("%s served %d of %d calls; the last failure: %s", entry.Name, r.OK, r.Calls, lastFailure)
	}
	return r, nil
}

// Guards against failure domains that do not serve calls within the domain while traffic between domains passes in one
// direction only and the platform is slow, and against a slow platform that delays the installation of a configuration
// beyond the bound.
func TestOneWayCutAndSlowPlatform(t *testing.T) {
	w := newWorkload(t)
	a, b := w.d.Host("koper-a", "socket-board"), w.d.Host("koper-b", "socket-board")
	setPlatformFaults(t, w.d, `{"slow-ms":1500}`)
	w.net.Cut("koper-b", "koper-a")
	var all sync.WaitGroup
	for _, h := range []*deploy.Host{a, b} {
		all.Go(func() {
			// Calls in flight between the domains when the cut begins are lost, and so are the few that are sent to the
			// other domain before its members are suspected.
			r, _ := checkServed(h, nil, cutDetectionTime)
			t.Logf("seed %d: %s: until the cut is detected: %s", uint64(seed), h.Name, &r)
			if lost := r.Calls - r.OK; lost > maxLost {
				t.Errorf("seed %d: %s: %d calls were lost before the cut was detected", uint64(seed), h.Name, lost)
			}
			r, err := checkServed(h, nil, 1500*time.Millisecond)
			t.Logf("seed %d: %s: after the cut is detected: %s", uint64(seed), h.Name, &r)
			if err != nil {
				t.Error(err)
			}
		})
	}
	assert.NilError(t, w.d.Apply("../../examples/koper.json", 1, "second"))
	assert.NilError(t, w.d.AwaitGeneration(2, maxInstallDelay))
	all.Wait()
	// The check must fail for calls whose request ids belong to the other domain, as they cannot be served.
	_, err := checkServed(a, b, 500*time.Millisecond)
	assert.ErrorContains(t, err, "served 0 of")
	w.net.Heal()
	setPlatformFaults(t, w.d, `{"slow-ms":0}`)
	assert.NilError(t, w.d.AwaitServing(10*time.Second))
}
