// Package stub is a stand-in for a target, for tests, the demo and measurements.
//
// It answers POST /<service>/<method> after a set delay, makes the next calls of its chain through its node, counts
// the executions of each request id, and misbehaves on demand. It announces itself to its node every second.
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
	Calls    []string      // next calls of the chain, service/method or service/method:call-key
	Delay    time.Duration // work time of each call
	Crash    func()        // ends the process; nil breaks the connections only

	DiscardBodies bool // count the bytes of request bodies and keep none

	// OnExecution hears of each execution when it starts, with the answer that it will give, and returns a function to call
	// at its end.
	OnExecution func(id, answer string) (end func())
}

// Faults are what the target does wrong from now on.
type Faults struct {
	DelayMS  int    `json:"delay-ms"`  // added to each call
	CrashOn  string `json:"crash-on"`  // crash when a request body contains this text
	CutAfter int    `json:"cut-after"` // break off each response after this many bytes
	Reject   bool   `json:"refuse"`    // 503 with mustardmast-executed: false
	Size     int    `json:"size"`      // bytes of each response body, 0 for a short text
	Draining bool   `json:"draining"`  // announce as draining
	Silent   bool   `json:"silent"`    // stop announcing
}

// Target is a running stand-in.
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

// New returns a target; Serve its Handler and call Run for its announcements.
func New(s Spec) *Target {
	return &Target{
		spec: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		executed: map[string]int{}, received: map[string]http.Header{},
	}
}

// Handler serves calls and the stand-in's own paths.
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

// Executions returns how often each request id was executed.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := make(map[string]int, len(t.executed))
	for k, v := range t.executed {
		m[k] = v
	}
	return m
}

// Received returns the headers of the last call with this request id.
func (t *Target) Received(id string) http.Header {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received[id]
}

// SetFaults changes what the target does wrong.
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
	f := t.current()
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
		defer t.spec.OnExecution(id, t.text(id, size))()
	}
	if !sleep(q.Context(), t.spec.Delay+time.Duration(f.DelayMS)*time.Millisecond) {
		return
	}
	for _, c := range t.spec.Calls {
		if err := t.next(q, c); err != nil {
			w.WriteHeader(http.StatusBadGateway)
			_, _ = fmt.Fprintf(w, "%s: %v\n", t.spec.Service, err)
			return
		}
	}
	t.answer(w, f, id, size)
}

func (t *Target) answer(w http.ResponseWriter, f Faults, id string, size int) {
	text := t.text(id, size)
	if f.Size > 0 {
		text = strings.Repeat("x", f.Size)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if f.CutAfter > 0 && f.CutAfter < len(text) {
		_, _ = io.WriteString(w, text[:f.CutAfter])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (t *Target) text(id string, n int) string {
	return fmt.Sprintf("%s served %s with %d bytes\n", t.spec.Service, id, n)
}

// read returns the body, or only its size.
func (t *Target) read(b io.Reader) ([]byte, int, error) {
	if t.spec.DiscardBodies {
		n, err := io.Copy(io.Discard, b)
		return nil, int(n), err
	}
	body, err := io.ReadAll(b)
	return body, len(body), err
}

// next makes one call of the chain, with the headers that tie it to the call that runs.
func (t *Target) next(q *http.Request, c string) error {
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

func (t *Target) current() Faults {
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

// sleep waits for d and reports false when the caller went away before.
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

// Running returns how many calls the target works on.
func (t *Target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}
