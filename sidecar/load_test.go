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

// Replays a burst of less important requests at three times the capacity of the service's one target, with important ones
// among them. Guards against important requests that fail or wait behind the others, against refusals that come late, and
// against a refusal without a time to return.
func TestABurstOfLessImportantRequests(t *testing.T) {
	const work, length, gap = 50 * time.Millisecond, 3 * time.Second, 900 * time.Microsecond
	c := newCluster(t)
	c.configure(3, rule("/board/", "idempotent", 2, "ledger", 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2))
	entry, ledger := c.add("board", "a"), c.add("ledger", "a")
	ledger.target.answer(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		_, _ = io.WriteString(w, "done")
	})
	eventually(t, 2*time.Second, func() bool {
		_, resp, _ := entry.send("GET", "/board/", nil, nil)
		return resp.StatusCode == http.StatusOK
	})
	var important, importantServed, served, refused, late, withoutTime atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		wg.Go(func() {
			sent := time.Now()
			if n%12 == 0 {
				important.Add(1)
				if _, resp, _ := entry.send("POST", "/ledger/", nil, strings.NewReader("x")); resp.StatusCode == http.StatusOK {
					importantServed.Add(1)
				}
				return
			}
			_, resp, _ := entry.send("GET", "/board/", nil, nil)
			switch resp.StatusCode {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
				if resp.Header.Get("Retry-After") == "" {
					withoutTime.Add(1)
				}
				if time.Since(sent) > 700*time.Millisecond {
					late.Add(1)
				}
			}
		})
		time.Sleep(gap)
	}
	wg.Wait()
	capacity := int64(18 * time.Since(began) / work)
	assert.Assert(t, importantServed.Load() >= important.Load()*98/100, "%d of %d", importantServed.Load(), important.Load())
	assert.Assert(t, served.Load()+importantServed.Load() > capacity*7/10, "%d of %d", served.Load()+importantServed.Load(), capacity)
	assert.Assert(t, refused.Load() > 0 && withoutTime.Load() == 0, "%d refused, %d without a time", refused.Load(), withoutTime.Load())
	assert.Assert(t, late.Load() <= refused.Load()/50, "%d of %d refusals came late", late.Load(), refused.Load())
}

// learn sends requests until the node knows how long they take.
func (h *host) learn() {
	h.c.t.Helper()
	for range 40 {
		_, resp, _ := h.send("GET", "/board/", nil, nil)
		assert.Equal(h.c.t, resp.StatusCode, http.StatusOK)
	}
}

// Guards against a target that answers nothing holding repeatable requests until their deadline while another target
// has room.
func TestAMuteTargetIsGivenUpForAnother(t *testing.T) {
	c := newCluster(t)
	entry, mute, well := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "a")
	entry.learn()
	mute.target.answer(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for range 30 {
		began := time.Now()
		_, resp, got := entry.send("GET", "/board/", nil, nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, got, "from "+well.ip)
		assert.Assert(t, time.Since(began) < time.Second)
	}
}

// Guards against a run that is only slow being cut because another target was asked beside it and did not take the
// request: the slow target is at work on the answer.
func TestASlowRunIsNotCutForATargetThatRefuses(t *testing.T) {
	c := newCluster(t)
	entry, slow, refusing := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "b")
	entry.learn()
	var cut atomic.Int64
	slow.target.answer(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(700 * time.Millisecond):
			_, _ = io.WriteString(w, "slow but well")
		case <-r.Context().Done():
			cut.Add(1)
		}
	})
	refusing.target.answer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for range 8 {
		id, resp, got := entry.send("GET", "/board/", nil, nil)
		if slow.target.ran(id) == 0 {
			continue // refused by the other target first, and not allowed a repeat
		}
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, got, "slow but well")
		assert.Equal(t, slow.target.ran(id), 1)
	}
	assert.Equal(t, cut.Load(), int64(0))
}

// Replays clients that go on sending to a node that stops, as they do where too few other nodes of their domain are in.
// Guards against requests that are taken so late in the stop that the end of the process cuts them.
func TestClientsThatGoOnDuringAPlannedStop(t *testing.T) {
	c := newCluster(t)
	entry, board := c.add("ledger", "a"), c.add("board", "a")
	board.target.answer(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	var wg sync.WaitGroup
	var served, refused, unread, cut atomic.Int64
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
					refused.Add(1)
				case strings.Contains(text, "connection refused"):
					unread.Add(1) // it was not read, so the client may try again
				default:
					cut.Add(1)
					t.Errorf("status %d, %.100s", resp.StatusCode, text)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	entry.stop()
	<-entry.ended
	took := time.Since(began)
	wg.Wait()
	t.Logf("served %d, refused %d, not read %d, cut %d, stop took %v", served.Load(), refused.Load(), unread.Load(), cut.Load(), took)
	assert.Assert(t, took < soakGrace, "%v", took)
	assert.Assert(t, refused.Load() > 0)
}
