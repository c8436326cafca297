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
)

// The soak runs nodes as processes and injects faults from outside: signals, a store that fails or holds its answers,
// targets that lose or cut answers, changes of the configuration, and proxies that delay, reset, silence or cut in one
// direction the connections to a target or to the store. It checks what clients were told against what the targets ran.
const (
	soakHosts   = 5
	soakClients = 10
	faultTime   = 5 * time.Second
	settleTime  = 4 * time.Second // within which all nodes must serve again
	soakGrace   = 3 * time.Second // of the settings in cluster_test.go
	exitSlack   = 500 * time.Millisecond
)

// Each seed that ever failed, with its cause. Seed 1, which always runs, failed for a request on a connection to a target
// that was silent (io/targetconn keeps none for long since), and once at the start of its nodes, where a message of a host
// was overtaken by a younger one (core/roster), most likely.
var failedSeeds = []uint64{}

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
		_ = cmd.Wait() // a killed process ends with an error
		_ = log.Close()
		close(ended)
	}()
	h.c.t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		<-ended
	})
}

// sent is one request of a client and what it was told.
type sent struct {
	id, path, body string
	status         int
	at             time.Time
}

// run is one soak with its random choices.
type run struct {
	*cluster
	random  *rand.Rand
	version int

	mu      sync.Mutex
	history []sent
	plan    []string
}

func newRun(t *testing.T, program string, seed uint64) *run {
	t.Helper()
	r := &run{cluster: newCluster(t), random: rand.New(rand.NewPCG(seed, seed)), version: 10}
	r.program, r.logs = program, t.TempDir()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d: %s", seed, strings.Join(r.plan, "; "))
			keep(t, r.logs, seed)
		}
	})
	for n := range soakHosts {
		h := r.add([]string{"board", "ledger"}[n%2], string(rune('a'+n%3)))
		h.behave(func(w http.ResponseWriter, q *http.Request) { h.serve(w, q) })
	}
	return r
}

func (h *host) behave(f http.HandlerFunc) { h.target.answer(f) }

// serve answers after a short time of work, with the id of the request.
func (h *host) serve(w http.ResponseWriter, q *http.Request) {
	time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
	_, _ = fmt.Fprintf(w, "%s for %s", strings.Repeat("x", 2000), q.Header.Get("Attempt-Id"))
}

// beat announces the targets until done is closed. A node that is down misses it.
func (r *run) beat(done <-chan struct{}) {
	for n := 2; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(400 * time.Millisecond):
		}
		for _, h := range r.hosts {
			go func() {
				client := http.Client{Timeout: time.Second}
				body := fmt.Sprintf(`{"Service":%q,"Address":"%s:8301","MaxConcurrency":20,"State":"ready","Sequence":%d,"born":1000}`, h.service, h.ip, n)
				if resp, err := client.Post("http://"+h.ip+":8306/v1/instances/i-1/heartbeat", "application/json", strings.NewReader(body)); err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
	}
}

// client sends requests one after another, over connections that stay open, until done is closed.
func (r *run) client(seed uint64, done <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 1))
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(15)) * time.Millisecond):
		}
		h := r.hosts[random.IntN(len(r.hosts))]
		s := sent{path: "/board/", at: time.Now()}
		method, body := "GET", io.Reader(nil)
		if random.IntN(2) == 0 {
			s.path, method, body = "/ledger/", "POST", strings.NewReader(strings.Repeat("b", random.IntN(40_000)))
		}
		id, resp, text := h.send(method, s.path, http.Header{"Deadline-Ms": {"2500"}}, body)
		s.id, s.status, s.body = id, resp.StatusCode, text
		r.mu.Lock()
		r.history = append(r.history, s)
		r.mu.Unlock()
	}
}

// fault injects one fault; what ends it later is a part of the group.
func (r *run) fault(wg *sync.WaitGroup) {
	h := r.hosts[r.random.IntN(len(r.hosts))]
	last := time.Duration(100+r.random.IntN(1400)) * time.Millisecond
	kinds := []string{"kill", "pause", "term", "store", "configure", "lose", "cut", "slow-link", "reset-link", "deaf-link", "silent-link"}
	kind := kinds[r.random.IntN(len(kinds))]
	r.plan = append(r.plan, fmt.Sprintf("%s %s for %v", kind, h.ip, last))
	switch kind {
	case "kill", "pause", "term":
		r.signal(wg, h, kind, last)
	case "store":
		r.store.Fail(http.StatusServiceUnavailable)
		wg.Go(func() { time.Sleep(last); r.store.Fail(0) })
	case "configure":
		r.move()
	case "lose":
		h.behave(func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
		wg.Go(func() { time.Sleep(last); h.behave(h.serve) })
	case "cut":
		h.behave(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5000")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		})
		wg.Go(func() { time.Sleep(last); h.behave(h.serve) })
	default:
		harm(wg, h.proxies[r.random.IntN(len(h.proxies))], kind, last)
	}
}

// harm harms the connections of a node to its target or to the store.
func harm(wg *sync.WaitGroup, p *proxy, kind string, last time.Duration) {
	switch kind {
	case "slow-link":
		p.delay.Store(int64(last / 10))
		wg.Go(func() { time.Sleep(last); p.delay.Store(0) })
	case "reset-link":
		p.reset()
	case "deaf-link":
		p.deaf.Store(true)
		wg.Go(func() { time.Sleep(last); p.deaf.Store(false) })
	case "silent-link":
		p.silence()
	}
}

// signal sends a signal to a node process, and starts or wakes it again. A process that is already being dealt with is
// left alone.
func (r *run) signal(wg *sync.WaitGroup, h *host, kind string, last time.Duration) {
	if !h.busy.CompareAndSwap(false, true) {
		return
	}
	process, ended := h.process, h.ended
	wg.Go(func() {
		defer h.busy.Store(false)
		switch kind {
		case "pause":
			_ = process.Signal(syscall.SIGSTOP)
			time.Sleep(last)
			_ = process.Signal(syscall.SIGCONT)
			return
		case "kill":
			_ = process.Kill()
		case "term":
			_ = process.Signal(syscall.SIGTERM)
			select {
			case <-ended:
			case <-time.After(soakGrace + exitSlack):
				r.t.Errorf("%s has not ended %v after SIGTERM", h.ip, soakGrace+exitSlack)
				_ = process.Kill()
			}
		}
		<-ended
		time.Sleep(last / 3)
		h.start()
	})
}

// move accepts a configuration that sends one route to one service or the other.
func (r *run) move() {
	r.version += 1 + r.random.IntN(3)
	service := []string{"board", "ledger"}[r.random.IntN(2)]
	r.configure(r.version, rule("/board/", "idempotent", 2, service, 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2))
}

// check compares what clients were told with what the targets ran.
func (r *run) check() {
	answers := map[int]int{}
	for _, s := range r.history {
		answers[s.status]++
		runs := r.total(s.id)
		switch s.status {
		case http.StatusOK:
			assert.Check(r.t, strings.HasSuffix(s.body, " for "+s.id) && runs > 0, "%s: 200 with the answer %.40q of %d runs", s.id, s.body[max(0, len(s.body)-40):], runs)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			assert.Check(r.t, runs == 0, "%s: told that it has not run, ran %d times", s.id, runs)
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			r.t.Errorf("%s %s: status %d", s.path, s.id, s.status)
		}
		if s.path == "/ledger/" {
			assert.Check(r.t, runs <= 1, "%s ran %d times", s.id, runs)
		}
	}
	r.t.Logf("%d requests, by status %v", len(r.history), answers)
}

// settled waits until every node serves both routes.
func (r *run) settled() {
	for _, h := range r.hosts {
		eventually(r.t, settleTime, func() bool {
			_, a, _ := h.send("GET", "/board/", nil, nil)
			_, b, _ := h.send("POST", "/ledger/", nil, strings.NewReader("x"))
			return a.StatusCode == http.StatusOK && b.StatusCode == http.StatusOK
		})
	}
}

// followed checks that one more configuration is in force on every node in time, and stays.
func (r *run) followed() {
	r.version += 5
	r.configure(r.version, rule("/ledger/", "non_idempotent", 0, "ledger", 2), rule("/new/", "idempotent", 2, "board", 2))
	accepted := time.Now()
	for _, h := range r.hosts {
		eventually(r.t, time.Until(accepted.Add(2*time.Second)), func() bool {
			_, a, _ := h.send("GET", "/new/", nil, nil)
			return a.StatusCode == http.StatusOK
		})
	}
	for range 10 {
		for _, h := range r.hosts {
			_, a, _ := h.send("GET", "/board/", nil, nil)
			assert.Check(r.t, a.StatusCode == http.StatusNotFound, "%s went back to an older configuration: %d", h.ip, a.StatusCode)
		}
	}
}

func soakOnce(t *testing.T, program string, seed uint64) {
	r := newRun(t, program, seed)
	done := make(chan struct{})
	var clients, faults sync.WaitGroup
	clients.Go(func() { r.beat(done) })
	for n := range uint64(soakClients) {
		clients.Go(func() { r.client(seed*100+n, done) })
	}
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		time.Sleep(time.Duration(50+r.random.IntN(500)) * time.Millisecond)
		r.fault(&faults)
	}
	faults.Wait()
	r.settled()
	close(done)
	clients.Wait()
	r.check()
	r.followed()
}

// keep moves the logs of a failed run to where they outlive the test.
func keep(t *testing.T, logs string, seed uint64) {
	to := filepath.Join(os.TempDir(), "mustardmast-soak-"+strconv.FormatUint(seed, 10))
	if err := os.CopyFS(to, os.DirFS(logs)); err != nil {
		t.Logf("logs not kept: %v", err)
		return
	}
	t.Logf("logs are in %s", to)
}

// Guards against any of the promises being broken by faults that overlap. The ordinary check runs fixed seeds; with
// MUSTARDMAST_SOAK_SECONDS it goes on with new ones.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mustardmast")
	out, err := exec.Command("go", "build", "-o", program, "mustardmast/cmd/mustardmast").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	seeds := append([]uint64{1, 2, 3}, failedSeeds...)
	fresh := uint64(time.Now().UnixNano())
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soakOnce(t, program, seed) })
	}
	for end := time.Now().Add(soak.Duration()); time.Now().Before(end) && !t.Failed(); {
		fresh++
		t.Run(strconv.FormatUint(fresh, 10), func(t *testing.T) { soakOnce(t, program, fresh) })
	}
}
