package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/roster"
	"mustardmast/io/hostlink"
	"mustardmast/platform/storestub"
	"mustardmast/sidecar"
)

// cluster is a set of nodes with their targets, a store and a configuration. Each host has its own loopback address.
type cluster struct {
	t            testing.TB
	store        *storestub.Stub
	storeAddress string
	hosts        []*host

	written atomic.Pointer[json.RawMessage] // the latest configuration, as the operator wrote it

	maxBody  int    // bytes, of a request, in the next configuration
	limits   string // of the machines, as in the settings
	memoryMB int    // of the machines; 0 if it does not matter
	program  string // of the node processes; empty for nodes within the test process
	logs     string // directory for the output of the processes
}

// host is a node and its target.
type host struct {
	c        *cluster
	ip       string
	service  string
	settings string
	stop     context.CancelFunc
	ended    chan struct{}
	target   *target
	process  *os.Process
	proxies  []*proxy    // to the target and to the store; none for nodes within the test process
	signaled atomic.Bool // the process is being paused, killed or restarted
}

var nextIP atomic.Int32

func newCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{t: t, store: storestub.New(), maxBody: 1 << 20, limits: `{"MemoryMb":284}`}
	s := httptest.NewServer(c.store)
	t.Cleanup(s.CloseClientConnections)
	c.storeAddress = s.Listener.Addr().String()
	c.configure(2, rule("/board/", "idempotent", 2, "board", 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2))
	return c
}

func rule(prefix, kind string, priority int, service string, timeout float64) string {
	return fmt.Sprintf(`{"Name":"r","Kind":%q,"TargetLatencyS":1.5,"Priority":%d,"Match":{"PathPrefix":%q},"Action":{"Service":%q,"TimeoutS":%g,"MaxAttempts":2}}`,
		kind, priority, prefix, service, timeout)
}

func (c *cluster) configure(version int, rules ...string) {
	document := json.RawMessage(fmt.Sprintf(
		`{"Version":"r%d","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%d},"Listeners":[{"Host":"a.example","Rules":[%s]}],
		"Clusters":[{"Name":"board","HealthCheckPath":"/healthz"},{"Name":"ledger","HealthCheckPath":"/healthz"}]}`, version, c.maxBody, strings.Join(rules, ",")))
	c.written.Store(&document)
	c.store.Put("config", "main", document)
}

// writeAgain writes the latest configuration again, as the operator does after a restore of the store.
func (c *cluster) writeAgain() { c.store.Put("config", "main", *c.written.Load()) }

// add starts a host with its target and waits until the node is ready.
func (c *cluster) add(service, domain string) *host {
	c.t.Helper()
	number := nextIP.Add(1)
	h := &host{c: c, ip: fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, number/200, number%200+1), service: service}
	h.settings = filepath.Join(c.t.TempDir(), "boot.json")
	targetAt, storeAt := h.ip+":8301", c.storeAddress
	if c.program != "" {
		targetAt, storeAt = h.ip+":8311", h.ip+":8309"
		h.proxies = []*proxy{newProxy(c.t, h.ip+":8301", targetAt), newProxy(c.t, storeAt, c.storeAddress)}
	}
	h.writeSettings(service, domain, storeAt)
	h.target = newTarget(c.t, h, targetAt, "i-1")
	h.start()
	c.hosts = append(c.hosts, h)
	h.awaitListening()
	h.announce("ready", 1)
	h.awaitReadiness(http.StatusOK)
	h.awaitKnownToOthers()
	return h
}

// awaitKnownToOthers waits until the other nodes know that the host accepts requests, which they learn some
// milliseconds after its own node is ready.
func (h *host) awaitKnownToOthers() {
	h.c.t.Helper()
	link := hostlink.NewClient(net.IPv4(127, 0, 0, 1), func(string) {})
	defer link.Close()
	for _, o := range h.c.hosts {
		eventually(h.c.t, 5*time.Second, func() bool {
			// Digests of nodes are odd. Digest 2 therefore differs from the node's, and its reply has all hosts that it knows.
			reply, err := link.Exchange(context.Background(), o.ip+":7620", hostlink.GossipMessage{Digest: 2})
			return err == nil && slices.ContainsFunc(reply.Hosts, func(r roster.Record) bool { return r.Host == "node-"+h.ip && r.Ready })
		})
	}
}

func (h *host) writeSettings(service, domain, store string) {
	text := fmt.Sprintf(`{"Self":{"Node":"node-%[1]s","Ip":%[1]q,"Zone":%[2]q,"AppAddress":"%[1]s:8301","Service":%[3]q,"Limits":%[5]s},
		"Network":{"Listen":{"Outbound":"%[1]s:8304","Readiness":"%[1]s:8302","ControlPlane":"%[1]s:8306"},"InternalPorts":[7620,7635]},
		"Platform":{"Platform":{"Address":%[4]q}},
		"Terms":{"Bounds":{"GraceS":3,"ConfigS":2,"BudgetRatio":0.2,"BudgetWindowS":10,"BudgetSlack":49}}}`, h.ip, domain, service, store, h.c.limits)
	assert.NilError(h.c.t, os.WriteFile(h.settings, []byte(text), 0o600))
}

// start starts the node, as a process if the cluster has a program and within the test process otherwise.
func (h *host) start() {
	h.c.t.Helper()
	if h.c.program != "" {
		h.startProcess()
		return
	}
	s, err := sidecar.New(h.settings)
	assert.NilError(h.c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.ended = cancel, make(chan struct{})
	ended := h.ended
	go func() {
		defer close(ended)
		if err := s.Run(ctx, nil); err != nil {
			h.c.t.Error(err)
		}
	}()
	h.c.t.Cleanup(func() { cancel() })
}

// awaitListening waits until the node accepts announcements.
func (h *host) awaitListening() {
	h.c.t.Helper()
	eventually(h.c.t, 5*time.Second, func() bool {
		c, err := net.Dial("tcp", h.ip+":8306")
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}

func (h *host) awaitReadiness(status int) {
	h.c.t.Helper()
	eventually(h.c.t, 5*time.Second, func() bool {
		r, err := http.Get("http://" + h.ip + ":8302/v1/readyz")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == status
	})
}

func eventually(t testing.TB, within time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v", within)
}

// announce sends a heartbeat for the target.
func (h *host) announce(state string, sequence int) {
	h.c.t.Helper()
	body := fmt.Sprintf(`{"Service":%q,"Address":"%s:8301","Zone":"z","Version":"v1","MaxConcurrency":20,"State":%q,"WarmupLeftS":0,"Sequence":%d,"born":%d}`,
		h.service, h.ip, state, sequence, h.target.startedMS.Load())
	r, err := http.Post("http://"+h.ip+":8306/v1/instances/"+h.target.id+"/heartbeat", "application/json", strings.NewReader(body))
	assert.NilError(h.c.t, err)
	_ = r.Body.Close()
	assert.Equal(h.c.t, r.StatusCode, http.StatusOK)
}

// deregister announces that the target is gone.
func (h *host) deregister() {
	h.c.t.Helper()
	r, err := http.Post("http://"+h.ip+":8306/v1/instances/i-1/deregister", "", nil)
	assert.NilError(h.c.t, err)
	_ = r.Body.Close()
}

// target is a stub of a target that counts the runs of each request.
type target struct {
	id        string
	server    *http.Server
	handler   atomic.Pointer[http.HandlerFunc]
	leaving   atomic.Bool  // responses state that the target is shutting down
	health    atomic.Int32 // status of the health path; 0 for 200
	startedMS atomic.Int64 // Unix milliseconds

	mu          sync.Mutex
	runs        map[string]int
	leavingRuns []string // requests that ran while leaving was set
}

func newTarget(t testing.TB, h *host, at, id string) *target {
	t.Helper()
	l, err := net.Listen("tcp", at)
	assert.NilError(t, err)
	tgt := &target{id: id, runs: map[string]int{}}
	tgt.startedMS.Store(1000)
	tgt.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "from "+h.ip) })
	tgt.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", request)
		if tgt.leaving.Load() {
			w.Header().Set("Server-Leaving", "1")
		}
		switch {
		case r.URL.Path == "/healthz":
			w.Header().Set("Instance-Id", id)
			w.Header().Set("Instance-Load", "0,0,20")
			if status := tgt.health.Load(); status != 0 {
				w.WriteHeader(int(status))
			}
			return
		case r.Header.Get("Expected-Instance") != id:
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		tgt.mu.Lock()
		tgt.runs[request]++
		if tgt.leaving.Load() {
			tgt.leavingRuns = append(tgt.leavingRuns, request)
		}
		tgt.mu.Unlock()
		(*tgt.handler.Load())(w, r)
	})}
	go func() { _ = tgt.server.Serve(l) }()
	t.Cleanup(func() { _ = tgt.server.Close() })
	return tgt
}

func (tgt *target) setHandler(f http.HandlerFunc) { tgt.handler.Store(&f) }

func (tgt *target) runCount(request string) int {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	return tgt.runs[request]
}

// totalRuns returns the number of runs of a request on all targets.
func (c *cluster) totalRuns(request string) int {
	n := 0
	for _, h := range c.hosts {
		n += h.target.runCount(request)
	}
	return n
}

var requestCount atomic.Int64

// send sends a request to the node of a host. It returns the id of the request, the response and its body; the status
// is 0 and the body the error's text if there is no complete response.
func (h *host) send(method, path string, header http.Header, body io.Reader) (string, *http.Response, string) {
	h.c.t.Helper()
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	r, err := http.NewRequest(method, "http://"+h.ip+":8304"+path, body)
	assert.NilError(h.c.t, err)
	for k, values := range header {
		r.Header[k] = values
	}
	r.Host = "a.example"
	r.Header.Set("Attempt-Id", id)
	if r.Header.Get("Deadline-Ms") == "" {
		r.Header.Set("Deadline-Ms", "5000")
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return id, &http.Response{StatusCode: 0}, err.Error()
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return id, &http.Response{StatusCode: 0}, err.Error()
	}
	return id, resp, string(raw)
}
