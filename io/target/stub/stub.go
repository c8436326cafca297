// Package stub implements a target for tests, the demo and measurements.
//
// It serves POST /<service>/<method> with a configurable delay, makes sub-calls through its node, counts the executions
// of each request id, and injects faults on demand. It announces itself to its node every second.
package stub

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mustardmast/io/header"
	"mustardmast/io/operator"
)

// Spec describes a target.
type Spec struct {
	Service  string
	Address  string // host:port that the target listens on
	Slots    int
	AdminURL string        // base URL of the node's admin address
	NodeURL  string        // base URL of the node's caller address
	Calls    []string      // sub-calls of each call, service/method or service/method:call-key
	Delay    time.Duration // execution time of each call, without sub-calls
	Crash    func()        // ends the process; if nil, a crash only breaks the connection

	DiscardBodies bool // count the bytes of request bodies and do not buffer them

	// OnExecution is called when an execution starts, with the request id and the response body that it will have. It
	// returns a function that is called when the execution ends.
	OnExecution func(id, body string) (end func())
}

// Faults are the faults that a target injects into all calls from now on.
type Faults struct {
	DelayMS  int    `json:"delay-ms"`  // added to each call
	CrashOn  string `json:"crash-on"`  // crash when a request body contains this text
	CutAfter int    `json:"cut-after"` // truncate each response after this many bytes
	Reject   bool   `json:"refuse"`    // reject each call: 503 with mustardmast-executed: false
	Size     int    `json:"size"`      // bytes of each response body, 0 for a short text
	Draining bool   `json:"draining"`  // announce as draining
	Silent   bool   `json:"silent"`    // stop announcing
}

// Target is a running stub. Its methods may be called concurrently.
type Target struct {
	spec   Spec
	client *http.Client

	mu       sync.Mutex
	faults   Faults
	executed map[string]int
	received map[string]http.Header
	running  int
	admin    *operator.Client
}

// New returns a target. The caller serves its Handler and calls Run, which announces it.
func New(s Spec) *Target {
	return &Target{
		spec: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		executed: map[string]int{}, received: map[string]http.Header{},
	}
}

// Handler returns a handler for calls and for the paths that control and inspect the stub.
func (t *Target) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /stub/v1/executions", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(t.Executions())
	})
	m.HandleFunc("POST /stub/v1/faults", func(w http.ResponseWriter, q *http.Request) {
		var f Faults
		if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(f)
	})
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	m.HandleFunc("GET /load", t.load)
	m.HandleFunc("/", t.call)
	return m
}

// Executions returns the number of executions of each request id.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := make(map[string]int, len(t.executed))
	for k, v := range t.executed {
		m[k] = v
	}
	return m
}

// Received returns the headers of the last call with the given request id.
func (t *Target) Received(id string) http.Header {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received[id]
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(w, "{\"in-flight\":%d,\"slots\":%d}\n", t.running, t.spec.Slots)
}

func (t *Target) call(w http.ResponseWriter, q *http.Request) {
	f := t.currentFaults()
	id := q.Header.Get(header.RequestID)
	if f.Reject {
		w.Header().Set(header.Executed, "false")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.begin(id, q.Header)
	defer t.end()
	body, size, err := t.read(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.CrashOn != "" && strings.Contains(string(body), f.CrashOn) {
		if t.spec.Crash != nil {
			t.spec.Crash()
		}
		panic(http.ErrAbortHandler)
	}
	if t.spec.OnExecution != nil {
		defer t.spec.OnExecution(id, t.responseBody(id, size))()
	}
	if !sleep(q.Context(), t.spec.Delay+time.Duration(f.DelayMS)*time.Millisecond) {
		return
	}
	for _, c := range t.spec.Calls {
		if err := t.callNext(q, c); err != nil {
			w.WriteHeader(http.StatusBadGateway)
			_, _ = fmt.Fprintf(w, "%s: %v\n", t.spec.Service, err)
			return
		}
	}
	t.respond(w, f, id, size)
}

func (t *Target) respond(w http.ResponseWriter, f Faults, id string, size int) {
	responseBody := t.responseBody(id, size)
	if f.Size > 0 {
		responseBody = strings.Repeat("x", f.Size)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(responseBody)))
	if f.CutAfter > 0 && f.CutAfter < len(responseBody) {
		_, _ = io.WriteString(w, responseBody[:f.CutAfter])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, responseBody)
}

func (t *Target) responseBody(id string, n int) string {
	return fmt.Sprintf("%s served %s with %d bytes\n", t.spec.Service, id, n)
}

// read returns the body and its size, or only its size if bodies are discarded.
func (t *Target) read(b io.Reader) ([]byte, int, error) {
	if t.spec.DiscardBodies {
		n, err := io.Copy(io.Discard, b)
		return nil, int(n), err
	}
	body, err := io.ReadAll(b)
	return body, len(body), err
}

// callNext makes a sub-call, with the headers that relate it to the running call.
func (t *Target) callNext(q *http.Request, c string) error {
	path, key, _ := strings.Cut(c, ":")
	r, err := http.NewRequestWithContext(q.Context(), http.MethodPost, t.spec.NodeURL+"/"+path, strings.NewReader(c))
	if err != nil {
		return err
	}
	for k, v := range q.Header {
		if strings.HasPrefix(k, header.Prefix) {
			r.Header[k] = v
		}
	}
	r.Header.Del(header.CallKey)
	if key != "" {
		r.Header.Set(header.CallKey, key)
	}
	res, err := t.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("call of %s: %s: %s", path, res.Status, strings.TrimSpace(string(b)))
	}
	return nil
}

func (t *Target) currentFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

func (t *Target) begin(id string, h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executed[id]++
	t.received[id] = h.Clone()
	t.running++
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Running returns the number of calls in execution.
func (t *Target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}
