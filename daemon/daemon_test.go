package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/client"
	"mustardmast/daemon"
	"mustardmast/internal/freeport"
	"mustardmast/io/platform"
	pstub "mustardmast/io/platform/stub"
	"mustardmast/io/settings"
	"mustardmast/io/store"
	"mustardmast/io/target/stub"
	"mustardmast/io/tick"
)

// fleet is a few daemons in one process, with a stub of the platform and stub targets.
type fleet struct {
	t        *testing.T
	platform *httptest.Server
	stub     *pstub.Server
	hosts    []*host
}

type host struct {
	name, caller, peer, admin string
	target                    *stub.Target
	stop                      func() error
}

func newFleet(t *testing.T) *fleet {
	s := pstub.New()
	f := &fleet{t: t, stub: s, platform: httptest.NewServer(s)}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			if err := h.stop(); err != nil {
				t.Errorf("%s: %v", h.name, err)
			}
		}
		f.platform.Close()
	})
	return f
}

// apply stores a configuration text in the platform.
func (f *fleet) apply(expected uint64, text string) {
	f.t.Helper()
	p, err := platform.New(platform.Settings{URL: f.platform.URL})
	assert.NilError(f.t, err)
	timers := tick.New()
	defer timers.Close()
	n := 0
	st := store.New(store.Settings{Platform: p, Clock: timers, NewID: func() string {
		n++
		return fmt.Sprintf("change-%d-%d", expected, n)
	}})
	_, err = st.Apply(context.Background(), store.Request{Expected: expected, Text: text, Who: "test", Why: "test"})
	assert.NilError(f.t, err)
}

func example(t *testing.T) string {
	b, err := os.ReadFile("../examples/koper.json")
	assert.NilError(t, err)
	return string(b)
}

func (f *fleet) add(domain, service string, calls ...string) *host {
	f.t.Helper()
	addrs, err := freeport.Addresses("127.0.0.1", 3)
	assert.NilError(f.t, err)
	h := &host{name: fmt.Sprintf("%s-%d", service, len(f.hosts)), caller: addrs[0], peer: addrs[1], admin: addrs[2]}
	seed := h.peer
	if len(f.hosts) > 0 {
		seed = f.hosts[0].peer
	}
	s, err := settings.Parse(fmt.Appendf(nil, `{"name":"%s","failure-domain":"%s","caller-address":"%s","peer-address":"%s",
		"admin-address":"%s","platform-url":"%s","seeds":["%s"],"drain-timeout":"5s","log-level":"error"}`,
		h.name, domain, h.caller, h.peer, h.admin, f.platform.URL, seed))
	assert.NilError(f.t, err)
	d, err := daemon.Build(s)
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	stopped := false
	h.target = stub.New(stub.Spec{
		Service: service, Address: "", Slots: 50, AdminURL: "http://" + h.admin, NodeURL: "http://" + h.caller, Calls: calls,
	})
	ts := httptest.NewServer(h.target.Handler())
	h.target.SetAddress(strings.TrimPrefix(ts.URL, "http://"))
	tctx, tcancel := context.WithCancel(context.Background())
	go h.target.Run(tctx)
	h.stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		err := <-done
		tcancel()
		ts.Close()
		return err
	}
	f.hosts = append(f.hosts, h)
	return h
}

// await calls a method until the call succeeds.
func (f *fleet) await(h *host, path string) {
	f.t.Helper()
	end := time.Now().Add(15 * time.Second)
	for {
		status, text := post("http://" + h.caller + path)
		if status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("%s: %d %s", path, status, text)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func post(url string) (int, string) {
	res, err := http.Post(url, "text/plain", strings.NewReader("container 7"))
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(b)
}

// Guards against daemons that do not discover each other, the configuration or the targets.
func TestFleetServesCallChain(t *testing.T) {
	f := newFleet(t)
	f.apply(0, example(t))
	first := f.add("koper-a", "socket-board", "plug-ledger/record:record")
	f.add("koper-b", "plug-ledger", "reefer-watch/register:register")
	f.add("koper-a", "reefer-watch")
	for _, h := range f.hosts {
		f.await(h, "/socket-board/assign")
	}
	f.await(first, "/reefer-watch/register")
}

// Guards against a planned stop that aborts a request in flight.
func TestPlannedStopFinishesRequestsInFlight(t *testing.T) {
	f := newFleet(t)
	f.apply(0, example(t))
	first := f.add("koper-a", "socket-board")
	last := f.add("koper-b", "reefer-watch")
	f.await(first, "/reefer-watch/register")
	last.target.SetFaults(stub.Faults{DelayMS: 600})
	got := make(chan int, 1)
	go func() {
		status, _ := post("http://" + first.caller + "/reefer-watch/register")
		got <- status
	}()
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, last.stop())
	assert.Equal(t, <-got, http.StatusOK)
}

// Guards against a client package that is incompatible with a real node: a non-idempotent request with an issued id is
// executed once, also when it is retried with the same id through another node.
func TestClientPackage(t *testing.T) {
	f := newFleet(t)
	f.apply(0, example(t))
	first := f.add("koper-a", "socket-board")
	second := f.add("koper-b", "plug-ledger")
	f.await(first, "/socket-board/assign")
	f.await(second, "/socket-board/assign")
	c, err := client.New(client.Settings{
		Addresses: []string{"http://" + first.caller, "http://" + second.caller}, Backer: "adria-line", Seed: 1,
	})
	assert.NilError(t, err)
	before := len(first.target.Executions())
	res, err := c.Do(context.Background(), client.Request{Service: "socket-board", Method: "assign", Body: []byte("container 7")})
	assert.NilError(t, err)
	assert.Equal(t, res.Status, http.StatusOK)
	retrier, err := client.New(client.Settings{Addresses: []string{"http://" + second.caller}, Backer: "adria-line", Seed: 2})
	assert.NilError(t, err)
	repeated, err := retrier.Do(context.Background(), client.Request{
		Service: "socket-board", Method: "assign", Body: []byte("container 7"), ID: res.ID, Attempts: 1,
	})
	assert.NilError(t, err)
	assert.Equal(t, string(repeated.Body), string(res.Body))
	assert.Equal(t, len(first.target.Executions()), before+1)
}
