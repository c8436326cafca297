package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is an application upstream beside a sidecar.
type upstream struct {
	d       *deployment
	machine *machine
	slots   int
	warmup  time.Duration // how long a new lifetime says that it is slow
	work    func(r *http.Request, body []byte) time.Duration
	calls   func(r *http.Request) []string // paths of the calls that a run makes, one after another
	crashes func(r *http.Request) bool
	onRun   func(u *upstream, r *http.Request) // called when a run begins
	backIn  time.Duration                      // time from a crash to the next lifetime
	handler http.Handler                       // runs the requests, if not nil
	serve   func(l net.Listener)               // serves all connections, if not nil

	mu       sync.Mutex
	id       string
	born     int64
	sequence int64
	state    string
	server   *http.Server
	conns    map[net.Conn]struct{}
	running  int
	lifetime int
	stopBeat context.CancelFunc
}

// start begins a new lifetime.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.machine.address(appPort))
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lifetime++
	u.id = fmt.Sprintf("i-%s-%d", u.machine.name, u.lifetime)
	u.born, u.sequence, u.state, u.running = time.Now().UnixMilli(), 0, "ready", 0
	u.conns = map[net.Conn]struct{}{}
	conns := u.conns
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second, ConnState: func(c net.Conn, s http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		switch s {
		case http.StateNew:
			conns[c] = struct{}{}
		case http.StateClosed:
			delete(conns, c)
		}
	}}
	if u.serve != nil {
		go u.serve(l)
	} else {
		go u.server.Serve(l)
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.stopBeat = cancel
	go u.beatUntil(ctx)
	u.d.record.logf("upstream %s: lifetime %s begins, service %s", u.machine.name, u.id, u.machine.service)
	return nil
}

func (u *upstream) beatUntil(ctx context.Context) {
	for ctx.Err() == nil {
		u.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatPeriod):
		}
	}
}

// beat sends a heartbeat and returns whether it was acknowledged.
func (u *upstream) beat(ctx context.Context) bool {
	id, raw := u.nextBeat()
	return u.sendBeat(ctx, id, raw)
}

// nextBeat returns the next heartbeat of the current lifetime.
func (u *upstream) nextBeat() (id string, raw []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	left := max(0, u.warmup-time.Since(time.UnixMilli(u.born))).Seconds()
	raw, _ = json.Marshal(map[string]any{
		"Service": u.machine.service, "Address": u.machine.address(appPort), "Zone": "koper-a", "Version": "v1", "MaxConcurrency": u.slots,
		"State": u.state, "WarmupLeftS": left, "Sequence": u.sequence, "born": u.born,
	})
	return u.id, raw
}

func (u *upstream) sendBeat(ctx context.Context, id string, raw []byte) bool {
	return u.tell(ctx, id, "heartbeat", raw)
}

// deregister says that the current lifetime leaves, and returns whether that was acknowledged.
func (u *upstream) deregister() bool {
	u.mu.Lock()
	u.state = "leaving"
	u.stopBeat()
	id, born := u.id, u.born
	u.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{"born": born})
	return u.tell(context.Background(), id, "deregister", raw)
}

func (u *upstream) tell(ctx context.Context, id, what string, raw []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + u.machine.address(controlPort) + "/v1/instances/" + id + "/" + what
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	u.d.record.logf("upstream %s: %s %s -> %d", u.machine.name, what, raw, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// setState changes the state that the next heartbeats name.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// crash ends the lifetime: all connections are reset. Another one begins after backIn, unless that is 0.
func (u *upstream) crash() {
	u.mu.Lock()
	u.stopBeat()
	conns, server, id := u.conns, u.server, u.id
	u.conns = nil
	u.mu.Unlock()
	if conns == nil {
		return
	}
	u.d.record.logf("upstream %s: lifetime %s crashes", u.machine.name, id)
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	server.Close()
	if u.backIn > 0 {
		time.AfterFunc(u.backIn, func() { u.start() })
	}
}

// end ends the lifetime for good.
func (u *upstream) end() {
	u.mu.Lock()
	u.stopBeat()
	server, id := u.server, u.id
	u.mu.Unlock()
	u.d.record.logf("upstream %s: lifetime %s ends", u.machine.name, id)
	server.Close()
}

func (u *upstream) load(w http.ResponseWriter) {
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d,100", u.running, u.slots))
	w.Header().Set("Instance-Id", u.id)
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body []byte
	if u.handler == nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return
		}
	}
	u.mu.Lock()
	u.load(w)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if r.URL.Path == "/healthz" {
		defer u.mu.Unlock()
		if u.state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	expected := r.Header.Get("Expected-Instance")
	status := 0
	switch {
	case expected != "" && expected != u.id:
		status = http.StatusMisdirectedRequest
	case u.running >= u.slots:
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		u.mu.Unlock()
		u.d.record.logf("upstream %s: %s %s not run, %d", u.machine.name, attempt, r.URL.Path, status)
		return
	}
	u.running++
	id := u.id
	lifetime := u.lifetime
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.lifetime == lifetime {
			u.running--
		}
	}()
	u.d.record.logf("upstream %s: %s %s %s runs at %s, Caller-Service %s, Deadline-Ms %s", u.machine.name, attempt, r.Method, r.URL.Path, id,
		r.Header.Get("Caller-Service"), r.Header.Get("Deadline-Ms"))
	if u.onRun != nil {
		u.onRun(u, r)
	}
	if u.handler != nil {
		u.handler.ServeHTTP(w, r)
		return
	}
	if u.crashes != nil && u.crashes(r) {
		u.crash()
		return
	}
	u.finish(w, r, body, id)
}

// finish does the work of a run and answers.
func (u *upstream) finish(w http.ResponseWriter, r *http.Request, body []byte, id string) {
	attempt := r.Header.Get("Attempt-Id")
	status := http.StatusOK
	if u.calls != nil {
		for i, path := range u.calls(r) {
			a := u.machine.request(call{method: http.MethodGet, path: path, id: fmt.Sprintf("%s.%d", attempt, i+1), budget: 3 * time.Second})
			if a.status != http.StatusOK {
				status = http.StatusInternalServerError
			}
		}
	}
	select {
	case <-time.After(u.work(r, body)):
	case <-r.Context().Done():
		u.d.record.logf("upstream %s: %s dropped, its connection is closed", u.machine.name, attempt)
		return
	}
	w.Header().Set("Server-Signature", fmt.Sprintf("3e1b.%s.%d", id, len(body)))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(status)
	w.Write(bytes.Repeat([]byte("x"), 500))
	u.d.record.logf("upstream %s: %s answered %d", u.machine.name, attempt, status)
}

// call is a request of a client.
type call struct {
	method, path, id string
	body             []byte
	budget           time.Duration
}

// answer is what a client got; the status is 0 if the connection ended without an answer.
type answer struct {
	status int
	signed bool // bears a Server-Signature
	took   time.Duration
	err    error
}

// request sends a request to the sidecar of the machine on a new connection, as a client does.
func (m *machine) request(c call) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+m.address(outboundPort)+c.path, bytes.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host, req.Close = routeHost, true
	req.Header.Set("Attempt-Id", c.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.budget.Milliseconds(), 10))
	a := answer{}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		a.status, a.signed = resp.StatusCode, resp.Header.Get("Server-Signature") != ""
	}
	a.err, a.took = err, time.Since(began)
	if err != nil {
		a.status = 0
	}
	m.d.record.logf("client at %s: %s %s %s -> %d signed %v after %v, %v", m.name, c.id, c.method, c.path, a.status, a.signed, a.took.Round(time.Millisecond), err)
	return a
}
