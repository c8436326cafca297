package sidecar_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/internal/soak"
	"mustardmast/platform/storestub"
)

// The soak test runs nodes as processes and injects faults from outside: signals, a store that fails, targets that drop
// or truncate responses, limit the rate of their requests or shut down, changes of the configuration, of which some reach
// no watch, and proxies that delay, reset, stall or cut in one direction the connections to a target or to the store. It
// compares the responses that clients got with what the targets ran. Some requests and responses are long enough to be on
// their way when a node is killed.
const (
	soakHosts     = 5 // unless soak.HostsVariable is set
	soakClients   = 10
	faultDuration = 5 * time.Second
	maxSettleTime = 4 * time.Second // after the last fault until all nodes must serve again
	soakGrace     = 3 * time.Second // GraceS of the settings in cluster_test.go
	exitSlack     = 500 * time.Millisecond
	leaveTime     = 1500 * time.Millisecond // least time for which a target states that it shuts down
	longFraction  = 8                       // one in so many requests and responses is long
	maxLongBody   = 700_000                 // bytes
)

// failedSeeds are the seeds other than 1, 2 and 3 that have ever failed, each with its cause. Seed 1, which always
// runs, failed because of a request on a stalled connection to a target (io/targetconn keeps no connection idle for
// long since then), and once while its nodes started, most likely because a newer message of a host overtook an older
// one (core/roster).
var failedSeeds = []uint64{
	1796495152242371181, // a response of a killed node looked complete (docs/incidents/truncated-answer.md)
}

// startProcess starts the node as a process of its own.
func (h *host) startProcess() {
	h.c.t.Helper()
	log, err := os.OpenFile(filepath.Join(h.c.logs, h.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(h.c.t, err)
	cmd := exec.Command(h.c.program, "sidecar", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(h.c.t, cmd.Start())
	ended := make(chan struct{})
	h.process, h.ended = cmd.Process, ended
	h.stop = func() { _ = cmd.Process.Signal(syscall.SIGTERM) }
	go func() {
		_ = cmd.Wait() // returns an error if the process was killed
		_ = log.Close()
		close(ended)
	}()
	h.c.t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if the process has ended
		<-ended
	})
}

// sentRequest is a request of a client with the status and the body that it got.
type sentRequest struct {
	id, path, body string
	uploaded       int // bytes
	status         int
	at, endedAt    time.Time
}

// soakRun is one run of the soak test with its random choices.
type soakRun struct {
	*cluster
	random *rand.Rand
	kinds  []string // of faults
	empty  storestub.Copy

	configuring sync.Mutex // held while the operator writes
	version     int        // guarded by configuring

	mu      sync.Mutex
	history []sentRequest
	plan    []string
	paces   []*pacedTarget
	leaves  [][]string // requests that reached a target which stated that it was shutting down
}

func newSoakRun(t *testing.T, program string, kinds []string, seed uint64) *soakRun {
	t.Helper()
	r := &soakRun{cluster: newCluster(t), random: rand.New(rand.NewPCG(seed, seed)), kinds: kinds, version: 10}
	r.empty = r.store.Copy()
	r.program, r.logs = program, t.TempDir()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d: %s", seed, strings.Join(r.plan, "; "))
			keepLogs(t, r.logs, seed)
		}
	})
	for range soak.Hosts(soakHosts) {
		r.addEchoHost()
	}
	return r
}

// addEchoHost adds a host whose target responds with what it was sent.
func (r *soakRun) addEchoHost() {
	n := len(r.hosts)
	h := r.add([]string{"board", "ledger"}[n%2], string(rune('a'+n%3)))
	h.setTargetHandler(func(w http.ResponseWriter, q *http.Request) { h.serveEcho(w, q) })
}

func (h *host) setTargetHandler(f http.HandlerFunc) { h.target.setHandler(f) }

// sendHeartbeats announces the targets until done is closed. A node that is down misses its heartbeats.
func (c *cluster) sendHeartbeats(done <-chan struct{}) {
	for n := 2; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(400 * time.Millisecond):
		}
		for _, h := range c.hosts {
			go func() {
				client := http.Client{Timeout: time.Second}
				body := fmt.Sprintf(`{"Service":%q,"Address":"%s:8301","MaxConcurrency":20,"State":"ready","Sequence":%d,"born":%d}`, h.service, h.ip, n, h.target.startedMS.Load())
				if resp, err := client.Post("http://"+h.ip+":8306/v1/instances/i-1/heartbeat", "application/json", strings.NewReader(body)); err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
	}
}

// runClient sends requests one after another over keep-alive connections until done is closed.
func (r *soakRun) runClient(seed uint64, done <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 1))
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(15)) * time.Millisecond):
		}
		h := r.hosts[random.IntN(len(r.hosts))]
		s := sentRequest{path: "/board/", at: time.Now()}
		method, body := "GET", io.Reader(nil)
		if random.IntN(2) == 0 {
			s.path, method = "/ledger/", "POST"
			s.uploaded, body = upload(random)
		}
		id, resp, text := h.send(method, s.path, http.Header{"Deadline-Ms": {"2500"}}, body)
		s.id, s.status, s.body, s.endedAt = id, resp.StatusCode, text, time.Now()
		r.mu.Lock()
		r.history = append(r.history, s)
		r.mu.Unlock()
	}
}

// injectFault injects one random fault. The goroutine that ends the fault is added to wg.
func (r *soakRun) injectFault(wg *sync.WaitGroup) {
	h := r.hosts[r.random.IntN(len(r.hosts))]
	duration := time.Duration(100+r.random.IntN(1400)) * time.Millisecond
	kind := r.kinds[r.random.IntN(len(r.kinds))]
	r.plan = append(r.plan, fmt.Sprintf("%s %s for %v", kind, h.ip, duration))
	switch kind {
	case "kill", "pause", "term":
		r.signalProcess(wg, h, kind, duration)
	case "store":
		r.store.Fail(http.StatusServiceUnavailable)
		wg.Go(func() { time.Sleep(duration); r.store.Fail(0) })
	case "configure":
		r.switchRoute()
	case "restore":
		r.restoreStore(wg, duration)
	case "missed-change":
		r.store.PauseWatches()
		r.switchRoute()
		wg.Go(func() { time.Sleep(duration / 3); r.store.ForgetHistory() })
	case "limit":
		p := &pacedTarget{limit: float64(5 + r.random.IntN(40))}
		r.paces = append(r.paces, p)
		h.setTargetHandler(func(w http.ResponseWriter, q *http.Request) { p.serve(h, w, q) })
		wg.Go(func() { time.Sleep(duration + time.Second); h.setTargetHandler(h.serveEcho) })
	case "leave":
		if h.target.leaving.CompareAndSwap(false, true) {
			wg.Go(func() { time.Sleep(duration + leaveTime); r.restartTarget(h) })
		}
	case "lose":
		h.setTargetHandler(func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
		wg.Go(func() { time.Sleep(duration); h.setTargetHandler(h.serveEcho) })
	case "cut":
		h.setTargetHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5000")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		})
		wg.Go(func() { time.Sleep(duration); h.setTargetHandler(h.serveEcho) })
	default:
		injectLinkFault(wg, h.proxies[r.random.IntN(len(h.proxies))], kind, duration)
	}
}

// injectLinkFault injects a fault into the connections of a node to its target or to the store.
func injectLinkFault(wg *sync.WaitGroup, p *proxy, kind string, duration time.Duration) {
	switch kind {
	case "slow-link":
		p.delay.Store(int64(duration / 10))
		wg.Go(func() { time.Sleep(duration); p.delay.Store(0) })
	case "reset-link":
		p.reset()
	case "one-way-link":
		p.dropReplies.Store(true)
		wg.Go(func() { time.Sleep(duration); p.dropReplies.Store(false) })
	case "stalled-link":
		p.stall()
	}
}

// signalProcess sends a signal to a node process, and resumes or restarts the process afterwards. It does nothing if a
// fault of the same process has not ended yet.
func (r *soakRun) signalProcess(wg *sync.WaitGroup, h *host, kind string, duration time.Duration) {
	if !h.signaled.CompareAndSwap(false, true) {
		return
	}
	process, ended := h.process, h.ended
	wg.Go(func() {
		defer h.signaled.Store(false)
		switch kind {
		case "pause":
			_ = process.Signal(syscall.SIGSTOP)
			time.Sleep(duration)
			_ = process.Signal(syscall.SIGCONT)
			return
		case "kill":
			_ = process.Kill()
		case "term":
			_ = process.Signal(syscall.SIGTERM)
			select {
			case <-ended:
			case <-time.After(soakGrace + exitSlack):
				r.t.Errorf("the node of %s is still running %v after SIGTERM", h.ip, soakGrace+exitSlack)
				_ = process.Kill()
			}
		}
		<-ended
		time.Sleep(duration / 3)
		h.start()
	})
}

// switchRoute writes a configuration that routes /board/ to a randomly chosen service.
func (r *soakRun) switchRoute() {
	r.write(1+r.random.IntN(3), []string{"board", "ledger"}[r.random.IntN(2)])
}

// write writes a configuration that routes /board/ to a service. Its version is higher by step.
func (r *soakRun) write(step int, service string) {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	r.version += step
	r.configure(r.version, rule("/board/", "idempotent", 2, service, 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2))
}

// checkResponses compares the responses that clients got with what the targets ran.
func (r *soakRun) checkResponses(t *testing.T) {
	statuses := map[int]int{}
	for _, s := range r.history {
		statuses[s.status]++
		runs := r.totalRuns(s.id)
		switch s.status {
		case http.StatusOK:
			assert.Check(r.t, strings.HasPrefix(s.body, fmt.Sprintf("%d bytes ", s.uploaded)), "request %s of %d bytes: status 200 with body %.20q", s.id, s.uploaded, s.body)
			assert.Check(r.t, strings.HasSuffix(s.body, " for "+s.id) && runs > 0, "request %s: status 200 with body %.40q after %d runs", s.id, s.body[max(0, len(s.body)-40):], runs)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			assert.Check(r.t, runs == 0, "request %s was reported as not executed but ran %d times", s.id, runs)
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			r.t.Errorf("%s: request %s got the unexpected status %d", s.path, s.id, s.status)
		}
		if s.path == "/ledger/" {
			assert.Check(r.t, runs <= 1, "non-idempotent request %s ran %d times", s.id, runs)
		}
	}
	r.t.Logf("%d requests, by status %v", len(r.history), statuses)
	restarts := strings.Count(strings.Join(r.plan, ";"), "kill ") + strings.Count(strings.Join(r.plan, ";"), "term ")
	for _, p := range r.paces {
		p.check(t, restarts)
	}
	for _, ids := range r.leaves {
		r.checkLeave(t, ids, restarts)
	}
}

// awaitAllServing waits until all nodes serve both routes.
func (r *soakRun) awaitAllServing() {
	for _, h := range r.hosts {
		eventually(r.t, maxSettleTime, func() bool {
			_, a, _ := h.send("GET", "/board/", nil, nil)
			_, b, _ := h.send("POST", "/ledger/", nil, strings.NewReader("x"))
			return a.StatusCode == http.StatusOK && b.StatusCode == http.StatusOK
		})
	}
}

// checkConfigFollowed checks that every node installs one more configuration in time and keeps it.
func (r *soakRun) checkConfigFollowed() {
	r.version += 5
	r.configure(r.version, rule("/ledger/", "non_idempotent", 0, "ledger", 2), rule("/new/", "idempotent", 2, "board", 2))
	deadline := time.Now().Add(2 * time.Second)
	var wg sync.WaitGroup
	for _, h := range r.hosts {
		wg.Go(func() {
			for {
				_, a, _ := h.send("GET", "/new/", nil, nil)
				switch {
				case a.StatusCode == http.StatusOK:
					return
				case time.Now().After(deadline):
					r.t.Errorf("%s does not serve a route 2 s after it was added: status %d", h.ip, a.StatusCode)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	for range 10 {
		for _, h := range r.hosts {
			_, a, _ := h.send("GET", "/board/", nil, nil)
			assert.Check(r.t, a.StatusCode == http.StatusNotFound, "%s went back to an older configuration: %d", h.ip, a.StatusCode)
		}
	}
}

// soakFaults are the kinds of faults of TestSoak. A change of the list changes what the seeds stand for.
var soakFaults = []string{"kill", "pause", "term", "store", "configure", "lose", "cut", "slow-link", "reset-link", "one-way-link", "stalled-link", "limit", "missed-change", "leave"}

func soakOnce(t *testing.T, program string, kinds []string, seed uint64) *soakRun {
	t.Helper()
	r := newSoakRun(t, program, kinds, seed)
	done := make(chan struct{})
	var clients, faults sync.WaitGroup
	clients.Go(func() { r.sendHeartbeats(done) })
	for n := range uint64(soakClients) {
		clients.Go(func() { r.runClient(seed*100+n, done) })
	}
	for end := time.Now().Add(faultDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(50+r.random.IntN(500)) * time.Millisecond)
		r.injectFault(&faults)
	}
	faults.Wait()
	r.awaitAllServing()
	close(done)
	clients.Wait()
	r.checkResponses(t)
	r.checkConfigFollowed()
	return r
}

// keepLogs copies the logs of a failed run to a directory that is not removed after the test.
func keepLogs(t *testing.T, logs string, seed uint64) {
	to := filepath.Join(os.TempDir(), "mustardmast-soak-"+strconv.FormatUint(seed, 10))
	if err := os.CopyFS(to, os.DirFS(logs)); err != nil {
		t.Logf("copying the logs failed: %v", err)
		return
	}
	t.Logf("the logs are in %s", to)
}

// Guards against wrong results, non-idempotent requests that run twice, and nodes that do not recover, under
// overlapping faults. By default it runs fixed seeds; with MUSTARDMAST_SOAK_SECONDS it continues with new ones for that
// time.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	runSeeds(t, append([]uint64{1, 2, 3}, failedSeeds...), func(t *testing.T, seed uint64) { soakOnce(t, program, soakFaults, seed) })
}
