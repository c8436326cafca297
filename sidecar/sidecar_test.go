package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/sidecar"
)

// Guards against a request that does not reach its service's target, or that changes on the way in either direction.
func TestARequestGoesToATargetOfItsService(t *testing.T) {
	c := newCluster(t)
	entry, board := c.add("ledger", "a"), c.add("board", "b")
	board.target.answer(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Server-Signature", "s1")
		w.WriteHeader(http.StatusAccepted)
		_, _ = fmt.Fprintf(w, "%s %s %s %s %s", r.Method, r.RequestURI, r.Host, r.Header.Get("Caller-Service"), body)
	})
	body := strings.Repeat("x", 100_000)
	_, resp, got := entry.send("PUT", "/board/a%2fb?q=1", http.Header{"Caller-Service": {"forged"}}, strings.NewReader(body))
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	assert.Equal(t, got, "PUT /board/a%2fb?q=1 a.example ledger "+body)
	assert.Equal(t, resp.Header.Get("Server-Signature"), "s1")
	for name := range resp.Header {
		assert.Assert(t, !strings.HasPrefix(name, "Mustardmast"), name)
	}
	_, resp, _ = entry.send("GET", "/none/", nil, nil)
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	_, resp, _ = entry.send("POST", "/board/", nil, strings.NewReader(strings.Repeat("x", 1<<20+1)))
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// Guards against a request that must not run twice doing so after its answer is lost, and against a promise that it has
// not run.
func TestALostAnswerOfARequestThatMustNotRepeat(t *testing.T) {
	c := newCluster(t)
	entry := c.add("board", "a")
	for range 2 {
		h := c.add("ledger", "a")
		h.target.answer(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	for range 10 {
		id, resp, _ := entry.send("POST", "/ledger/", nil, strings.NewReader("x"))
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		assert.Equal(t, c.total(id), 1)
	}
}

// Guards against an answer that breaks off looking complete, and against a repeatable request that is given up although
// another target is there.
func TestACutAnswerIsAskedForAgain(t *testing.T) {
	c := newCluster(t)
	entry, bad, good := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "b")
	bad.target.answer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	})
	for range 5 {
		_, resp, got := entry.send("GET", "/board/", nil, nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, got, "from "+good.ip)
	}
	// An answer too large to be held goes out as it comes; its end must be missing.
	large := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2000000")
		_, _ = io.WriteString(w, strings.Repeat("x", 1_000_000))
		panic(http.ErrAbortHandler)
	}
	bad.target.answer(large)
	good.target.answer(large)
	_, resp, got := entry.send("GET", "/board/", nil, nil)
	assert.Equal(t, resp.StatusCode, 0, "%.40s", got)
}

// Guards against a target that gets work after its node has acknowledged that it leaves.
func TestALeavingTargetGetsNoMoreWork(t *testing.T) {
	c := newCluster(t)
	entry, leaving, staying := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "b")
	leaving.announce("draining", 2)
	for range 20 {
		id, resp, _ := entry.send("GET", "/board/", nil, nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, leaving.target.ran(id), 0)
		assert.Equal(t, staying.target.ran(id), 1)
	}
}

// Guards against a caller being told nothing, or an untruth, when no target is left.
func TestNoTargetIsARefusalWithATimeToReturn(t *testing.T) {
	c := newCluster(t)
	entry, board := c.add("ledger", "a"), c.add("board", "a")
	board.announce("draining", 2)
	id, resp, _ := entry.send("GET", "/board/", nil, nil)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, c.total(id), 0)
}

// Guards against a configuration that is not in force in time, and one that comes back.
func TestConfigurations(t *testing.T) {
	c := newCluster(t)
	a, b := c.add("board", "a"), c.add("ledger", "b")
	moved := func() []string {
		return []string{rule("/board/", "idempotent", 2, "ledger", 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2)}
	}
	c.configure(9, moved()...)
	eventually(t, 2*time.Second, func() bool {
		_, _, got := a.send("GET", "/board/", nil, nil)
		return got == "from "+b.ip
	})
	c.configure(5, rule("/board/", "idempotent", 2, "board", 2))
	time.Sleep(100 * time.Millisecond)
	for _, h := range c.hosts {
		_, _, got := h.send("GET", "/board/", nil, nil)
		assert.Equal(t, got, "from "+b.ip)
	}
	c.store.DropHistory()
	c.configure(12, rule("/board/", "idempotent", 2, "board", 2))
	eventually(t, 2*time.Second, func() bool {
		_, _, got := b.send("GET", "/board/", nil, nil)
		return got == "from "+a.ip
	})
}

// Guards against a node that serves nothing while the store is away, and one that does not learn from another node what
// it has missed.
func TestServiceWithoutTheStore(t *testing.T) {
	c := newCluster(t)
	a, b := c.add("board", "a"), c.add("ledger", "b")
	eventually(t, 2*time.Second, func() bool {
		_, r, _ := b.send("GET", "/board/", nil, nil)
		return r.StatusCode == http.StatusOK
	})
	c.store.Fail(http.StatusServiceUnavailable)
	_, resp, _ := b.send("GET", "/board/", nil, nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	a.stop()
	<-a.ended
	a.start()
	a.await(http.StatusOK) // the other node tells it the configuration and the hosts
	_, resp, _ = a.send("POST", "/ledger/", nil, strings.NewReader("x"))
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against a planned stop that cuts requests, on the node that took them and on the one beside the target, and
// against one that takes new work for its target.
func TestAPlannedStopCutsNothing(t *testing.T) {
	c := newCluster(t)
	entry, first, second := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "a")
	slow := func(h *host) {
		h.target.answer(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(w, "done")
		})
	}
	slow(first)
	slow(second)
	var wg sync.WaitGroup
	for range 30 {
		wg.Go(func() {
			_, resp, got := entry.send("GET", "/board/", nil, nil)
			assert.Check(t, resp.StatusCode == http.StatusOK && got == "done", "%d %s", resp.StatusCode, got)
		})
		time.Sleep(5 * time.Millisecond)
	}
	first.stop()
	entry.stop()
	id, resp, _ := entry.send("GET", "/board/", nil, nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, first.target.ran(id), 0)
	entry.await(http.StatusServiceUnavailable)
	wg.Wait()
	<-entry.ended
	<-first.ended
}

// Guards against a request that still waits or runs half a second after its client has left.
func TestAClientThatLeaves(t *testing.T) {
	c := newCluster(t)
	entry, board := c.add("ledger", "a"), c.add("board", "b")
	ended := make(chan time.Time, 1)
	board.target.answer(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+entry.ip+":8304/board/", nil)
	assert.NilError(t, err)
	r.Host = "a.example"
	r.Header.Set("Attempt-Id", "leaves")
	time.AfterFunc(100*time.Millisecond, cancel)
	_, err = http.DefaultTransport.RoundTrip(r)
	assert.Assert(t, err != nil)
	left := time.Now()
	assert.Assert(t, (<-ended).Sub(left) < 500*time.Millisecond)
}

// Guards against a proper request whose body comes too slowly being told that it was wrong. It has not run.
func TestABodyThatDoesNotComeInTime(t *testing.T) {
	c := newCluster(t)
	entry := c.add("board", "a")
	body, sent := io.Pipe()
	defer func() { _ = sent.Close() }()
	go func() { _, _ = io.WriteString(sent, "start") }()
	id, resp, _ := entry.send("POST", "/board/", http.Header{"Deadline-Ms": {"200"}}, body)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, c.total(id), 0)
}

// Guards against a request held beyond its route's timeout.
func TestTheTimeoutOfTheRoute(t *testing.T) {
	c := newCluster(t)
	c.configure(3, rule("/board/", "idempotent", 2, "board", 0.3), rule("/ledger/", "non_idempotent", 0, "ledger", 0.3))
	entry, board := c.add("ledger", "a"), c.add("board", "b")
	board.target.answer(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	began := time.Now()
	_, resp, _ := entry.send("GET", "/board/", nil, nil)
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 600*time.Millisecond, "%v", time.Since(began))
}

// Guards against a host whose entry stays in the store after its target has gone and its node was stopped.
func TestAHostThatLeavesForGood(t *testing.T) {
	c := newCluster(t)
	c.add("board", "a")
	gone := c.add("board", "b")
	assert.Equal(t, len(c.store.Names("mustardmast-hosts")), 2)
	r, err := http.Post("http://"+gone.ip+":8306/v1/instances/i-1/deregister", "", nil)
	assert.NilError(t, err)
	_ = r.Body.Close()
	gone.stop()
	<-gone.ended
	assert.DeepEqual(t, c.store.Names("mustardmast-hosts"), []string{"node-" + c.hosts[0].ip})
}

// Guards against announcements that cannot be read changing anything.
func TestMalformedAnnouncements(t *testing.T) {
	c := newCluster(t)
	board := c.add("board", "a")
	for _, body := range []string{"", "{", `{"Service":7}`, `[]`, `{"Service":"board","Address":"x","MaxConcurrency":1,"State":"ready","Sequence":9}`,
		`{"Service":"board","Address":"` + board.ip + `:8301","MaxConcurrency":1,"State":"lost","Sequence":9}`,
		`{"Service":"nobody","Address":"` + board.ip + `:8301","MaxConcurrency":1,"State":"ready","Sequence":9}`} {
		r, err := http.Post("http://"+board.ip+":8306/v1/instances/i-1/heartbeat", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		_ = r.Body.Close()
		assert.Equal(t, r.StatusCode, http.StatusBadRequest, body)
	}
	_, resp, _ := board.send("GET", "/board/", nil, nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against settings that fail one at a time, each after another start.
func TestAllFaultsOfTheSettingsAreReported(t *testing.T) {
	path := t.TempDir() + "/boot.json"
	assert.NilError(t, os.WriteFile(path, []byte(`{"Self":{"Node":"n"}}`), 0o600))
	_, err := sidecar.New(path)
	for _, want := range []string{"Self.Ip", "Self.Zone", "Self.AppAddress", "Network.InternalPorts", "Terms.Bounds.GraceS", "Platform.Platform.Address"} {
		assert.ErrorContains(t, err, want)
	}
}

// callFrom makes a target's handler call a path through its own node, as a part of the run of the request that it serves,
// and answer 500 if the call fails.
func callFrom(h *host, path string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call, err := http.NewRequest("GET", "http://"+h.ip+":8304"+path, nil)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		call.Host = "a.example"
		call.Header.Set("Attempt-Id", r.Header.Get("Attempt-Id")+".1")
		call.Header.Set("Deadline-Ms", r.Header.Get("Deadline-Ms"))
		resp, err := http.DefaultTransport.RoundTrip(call)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
}

// Guards against a run that is repeated with all its calls because one of them failed: at every level of a chain that
// multiplies the load on the service that fails.
func TestAFailedRunThatMadeCallsIsNotRepeated(t *testing.T) {
	c := newCluster(t)
	c.configure(3, rule("/board/", "idempotent", 2, "board", 2), rule("/ledger/", "idempotent", 0, "ledger", 2))
	entry, leaf := c.add("ledger", "a"), c.add("ledger", "b")
	for _, h := range []*host{c.add("board", "a"), c.add("board", "b")} {
		h.target.answer(callFrom(h, "/ledger/"))
	}
	failing := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	entry.target.answer(failing)
	leaf.target.answer(failing)
	for range 10 {
		id, resp, _ := entry.send("GET", "/board/", nil, nil)
		assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
		assert.Equal(t, c.total(id), 1)
		assert.Assert(t, c.total(id+".1") <= 2, "the call itself may be repeated")
	}
}

// Guards against an answer of a target being replaced by a failure of the node's own when no other target does better.
func TestTheAnswerThatFailedIsGivenIfNoOtherComes(t *testing.T) {
	c := newCluster(t)
	entry := c.add("ledger", "a")
	for range 2 {
		h := c.add("board", "a")
		h.target.answer(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Server-Signature", "own")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "from "+h.ip)
		})
	}
	for range 5 {
		id, resp, body := entry.send("GET", "/board/", nil, nil)
		assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
		assert.Equal(t, resp.Header.Get("Server-Signature"), "own")
		assert.Assert(t, strings.HasPrefix(body, "from "))
		assert.Assert(t, c.total(id) <= 2)
	}
}

// Guards against a host that leaves for good while the store and other hosts do not answer, and is killed because it
// waits for them.
func TestLeavingDoesNotWaitForHostsThatDoNotAnswer(t *testing.T) {
	c := newCluster(t)
	h := c.add("board", "a")
	for n := range 40 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h.ip, 9000+n))
		assert.NilError(t, err)
		defer func() { _ = l.Close() }() // it never accepts
		c.store.Put("mustardmast-hosts", fmt.Sprint("silent", n), []byte(fmt.Sprintf(`{"address":%q,"domain":"b","service":"board"}`, l.Addr())))
	}
	last := c.add("ledger", "a")
	r, err := http.Post("http://"+last.ip+":8306/v1/instances/i-1/deregister", "", nil)
	assert.NilError(t, err)
	_ = r.Body.Close()
	c.store.Hang(true)
	defer c.store.Hang(false)
	began := time.Now()
	last.stop()
	<-last.ended
	assert.Assert(t, time.Since(began) < 3*time.Second, "%v", time.Since(began))
}
