package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/hostlink"
	"mustardmast/sidecar"
)

// Guards against a request that does not reach a target of its service, and against changes to a request or a response
// on the way.
func TestRequestReachesTargetOfService(t *testing.T) {
	c := newCluster(t)
	entry, board := c.add("ledger", "a"), c.add("board", "b")
	board.target.setHandler(func(w http.ResponseWriter, r *http.Request) {
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

// Guards against resending a non-idempotent request whose response was lost, and against reporting that it has not been
// executed.
func TestNonIdempotentRequestIsNotResent(t *testing.T) {
	c := newCluster(t)
	entry := c.add("board", "a")
	for range 2 {
		h := c.add("ledger", "a")
		h.target.setHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	for range 10 {
		id, resp, _ := entry.send("POST", "/ledger/", nil, strings.NewReader("x"))
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		assert.Equal(t, c.totalRuns(id), 1)
	}
}

// Guards against a target that gets requests after its node has acknowledged that it is draining.
func TestDrainingTargetGetsNoRequests(t *testing.T) {
	c := newCluster(t)
	entry, draining, ready := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "b")
	draining.announce("draining", 2)
	for range 20 {
		id, resp, _ := entry.send("GET", "/board/", nil, nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, draining.target.runCount(id), 0)
		assert.Equal(t, ready.target.runCount(id), 1)
	}
}

// Guards against a missing or a wrong response when no target of a service is left.
func TestNoTargetIsRejectedWithRetryAfter(t *testing.T) {
	c := newCluster(t)
	entry, board := c.add("ledger", "a"), c.add("board", "a")
	board.announce("draining", 2)
	id, resp, _ := entry.send("GET", "/board/", nil, nil)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, c.totalRuns(id), 0)
}

// Guards against a configuration that is not installed in time, and against going back to an older one.
func TestConfigurationChanges(t *testing.T) {
	c := newCluster(t)
	a, b := c.add("board", "a"), c.add("ledger", "b")
	rules := func() []string {
		return []string{rule("/board/", "idempotent", 2, "ledger", 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2)}
	}
	c.configure(9, rules()...)
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

// Guards against a change that no node of a large fleet has in force in time because the store told no watch of it.
func TestChangeUnheardByWatches(t *testing.T) {
	const hosts, within = 24, 4 * time.Second
	c := newCluster(t)
	for n := range hosts {
		c.add([]string{"board", "ledger"}[n%2], string(rune('a'+n%3)))
	}
	link := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer link.Close()
	inForce := func(version uint64) bool { // without requests, whose replies would tell of the version
		return !slices.ContainsFunc(c.hosts, func(h *host) bool {
			reply, err := link.Exchange(context.Background(), h.ip+":7620", hostlink.GossipMessage{})
			return err != nil || reply.Version != version
		})
	}
	c.configure(8, rule("/board/", "idempotent", 2, "ledger", 2)) // all watches start again at this moment
	eventually(t, within, func() bool { return inForce(8) })
	c.store.PauseWatches()
	c.configure(9, rule("/board/", "idempotent", 2, "board", 2))
	time.Sleep(500 * time.Millisecond)
	c.store.ForgetHistory()
	eventually(t, within, func() bool { return inForce(9) })
}

// Guards against a node that stops serving while the store is unavailable, and against one that, started meanwhile,
// does not get the configuration and the hosts from another node.
func TestServingWithoutStore(t *testing.T) {
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
	a.awaitReadiness(http.StatusOK) // it gets the configuration and the hosts from the other node
	_, resp, _ = a.send("POST", "/ledger/", nil, strings.NewReader("x"))
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against a planned stop that cuts requests off, on the node that received them and on the node of the target,
// and against a stopping node that accepts new requests for its target.
func TestPlannedStopCompletesRequests(t *testing.T) {
	c := newCluster(t)
	entry, first, second := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "a")
	slow := func(h *host) {
		h.target.setHandler(func(w http.ResponseWriter, _ *http.Request) {
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
	assert.Equal(t, first.target.runCount(id), 0)
	entry.awaitReadiness(http.StatusServiceUnavailable)
	wg.Wait()
	<-entry.ended
	<-first.ended
}

// Guards against a request that is still queued or running half a second after its client has disconnected.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	c := newCluster(t)
	entry, board := c.add("ledger", "a"), c.add("board", "b")
	ended := make(chan time.Time, 1)
	board.target.setHandler(func(_ http.ResponseWriter, r *http.Request) {
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
	canceled := time.Now()
	assert.Assert(t, (<-ended).Sub(canceled) < 500*time.Millisecond)
}

// Guards against reporting a valid request with a slow body as malformed. The request has not been executed.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	c := newCluster(t)
	entry := c.add("board", "a")
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = io.WriteString(writer, "start") }()
	id, resp, _ := entry.send("POST", "/board/", http.Header{"Deadline-Ms": {"200"}}, body)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, c.totalRuns(id), 0)
}

// Guards against a request that takes longer than the timeout of its route.
func TestRouteTimeout(t *testing.T) {
	c := newCluster(t)
	c.configure(3, rule("/board/", "idempotent", 2, "board", 0.3), rule("/ledger/", "non_idempotent", 0, "ledger", 0.3))
	entry, board := c.add("ledger", "a"), c.add("board", "b")
	board.target.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	start := time.Now()
	_, resp, _ := entry.send("GET", "/board/", nil, nil)
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(start) < 600*time.Millisecond, "%v", time.Since(start))
}

// Guards against a time left so long that its conversion overflows, with a result that depends on the processor: the
// request then seems to be past its deadline.
func TestTimeLeftOutOfRange(t *testing.T) {
	entry := newCluster(t).add("board", "a")
	for _, left := range []string{"1e300", "9223372036855", "inf", "1e400"} {
		_, resp, text := entry.send("GET", "/board/", http.Header{"Deadline-Ms": {left}}, nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %s", left, text)
	}
}

// Guards against a host whose entry stays in the store after its target has deregistered and its node has stopped.
func TestStopAfterDeregistrationRemovesHost(t *testing.T) {
	c := newCluster(t)
	c.add("board", "a")
	deregistered := c.add("board", "b")
	assert.Equal(t, len(c.store.Names("mustardmast-hosts")), 2)
	deregistered.deregister()
	deregistered.stop()
	<-deregistered.ended
	assert.DeepEqual(t, c.store.Names("mustardmast-hosts"), []string{"node-" + c.hosts[0].ip})
}

// Guards against malformed announcements that change the state of the target.
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

// Guards against reporting only the first invalid setting, so that each one takes another start to be found.
func TestAllSettingsErrorsAreReported(t *testing.T) {
	path := t.TempDir() + "/boot.json"
	assert.NilError(t, os.WriteFile(path, []byte(`{"Self":{"Node":"n"}}`), 0o600))
	_, err := sidecar.New(path)
	for _, want := range []string{"Self.Ip", "Self.Zone", "Self.AppAddress", "Network.InternalPorts", "Terms.Bounds.GraceS", "Platform.Platform.Address"} {
		assert.ErrorContains(t, err, want)
	}
}

// callingHandler returns a handler for a target that makes a sub-call of path through the node of h, and responds with
// 500 if the sub-call fails.
func callingHandler(h *host, path string) http.HandlerFunc {
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

// Guards against retrying a run with all its sub-calls because one of them failed: in a chain of calls, each level
// would multiply the load on the failing service.
func TestFailedRunWithSubCallsIsNotRetried(t *testing.T) {
	c := newCluster(t)
	c.configure(3, rule("/board/", "idempotent", 2, "board", 2), rule("/ledger/", "idempotent", 0, "ledger", 2))
	entry, leaf := c.add("ledger", "a"), c.add("ledger", "b")
	for _, h := range []*host{c.add("board", "a"), c.add("board", "b")} {
		h.target.setHandler(callingHandler(h, "/ledger/"))
	}
	failing := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	entry.target.setHandler(failing)
	leaf.target.setHandler(failing)
	for range 10 {
		id, resp, _ := entry.send("GET", "/board/", nil, nil)
		assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
		assert.Equal(t, c.totalRuns(id), 1)
		assert.Assert(t, c.totalRuns(id+".1") <= 2, "only the sub-call itself may be retried")
	}
}

// Guards against replacing the error response of a target by an error of the node when no other target succeeds.
func TestErrorResponseOfTargetIsPassedOn(t *testing.T) {
	c := newCluster(t)
	entry := c.add("ledger", "a")
	for range 2 {
		h := c.add("board", "a")
		h.target.setHandler(func(w http.ResponseWriter, _ *http.Request) {
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
		assert.Assert(t, c.totalRuns(id) <= 2)
	}
}

// Guards against a host that stops after its target has deregistered, waits for a store and other hosts that do not
// respond, and is therefore killed at the end of the grace period.
func TestStopDoesNotWaitForUnresponsiveHosts(t *testing.T) {
	c := newCluster(t)
	h := c.add("board", "a")
	for n := range 40 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h.ip, 9000+n))
		assert.NilError(t, err)
		defer func() { _ = l.Close() }() // it never accepts a connection
		c.store.Put("mustardmast-hosts", fmt.Sprint("silent", n), []byte(fmt.Sprintf(`{"address":%q,"domain":"b","service":"board"}`, l.Addr())))
	}
	last := c.add("ledger", "a")
	last.deregister()
	c.store.Hang(true)
	defer c.store.Hang(false)
	start := time.Now()
	last.stop()
	<-last.ended
	assert.Assert(t, time.Since(start) < 3*time.Second, "%v", time.Since(start))
}
