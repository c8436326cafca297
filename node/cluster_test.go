package node_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/quarantine"
	"mustardmast/core/register"
	"mustardmast/core/requestid"
	"mustardmast/io/eventlog"
	"mustardmast/io/header"
	"mustardmast/io/target"
	"mustardmast/io/target/stub"
	"mustardmast/io/tick"
	"mustardmast/node"
)

// cluster is a few nodes with their targets in one process, connected over TCP. Members and configuration are fixed.
type cluster struct {
	t      testing.TB
	timers *tick.Service
	mu     sync.Mutex
	hosts  []*host
	config config.Config
	meter  mustardmast.Meter // nil collects no metrics
}

type host struct {
	member       mustardmast.Member
	node         *node.Node
	quarantine   *quarantine.Quarantine
	target       *stub.Target
	server       *httptest.Server
	url          string // caller address
	announcement target.Announcement
}

func newCluster(t testing.TB, cfg config.Config) *cluster {
	c := &cluster{t: t, timers: tick.New(), config: cfg}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.node.Kill()
			h.server.Close()
		}
		c.timers.Close()
	})
	return c
}

// add starts a host that serves one service.
func (c *cluster) add(service, domain string, s stub.Spec) *host {
	c.t.Helper()
	callers, peers := listen(c.t), listen(c.t)
	h := &host{url: "http://" + callers.Addr().String()}
	h.member = mustardmast.Member{
		ID: mustardmast.NodeID(len(c.hosts) + 1), Name: service, FailureDomain: domain, Service: service, Slots: 100,
		Address: netip.MustParseAddrPort(peers.Addr().String()), State: mustardmast.Ready,
	}
	h.quarantine = quarantine.New(h.member.ID)
	h.node = node.New(node.Options{
		Self: h.member, Timers: c.timers, Members: c, Configs: c, Log: eventlog.New(zap.NewNop()), Seed: 1,
		Quarantine: h.quarantine, CrashNotifier: c, Meter: c.meter,
		Register: register.New(h.member.ID, time.Now(), requestid.DefaultWindow, register.DefaultLimits),
	})
	h.node.Start(callers, peers)
	s.Service, s.NodeURL, s.Slots = service, h.url, 100
	h.target = stub.New(s)
	h.server = httptest.NewServer(h.target.Handler())
	h.announcement = target.Announcement{
		Address: netip.MustParseAddrPort(strings.TrimPrefix(h.server.URL, "http://")), Service: service, Slots: 100,
	}
	h.node.LocalTarget().Announce(time.Now(), h.announcement)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, h)
	return h
}

// Serving implements mustardmast.Directory.
func (c *cluster) Serving(service string) []mustardmast.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ms []mustardmast.Member
	for _, h := range c.hosts {
		if h.member.Service == service {
			ms = append(ms, h.member)
		}
	}
	return ms
}

// Find implements mustardmast.Directory.
func (c *cluster) Find(id mustardmast.NodeID) (mustardmast.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.member.ID == id {
			return h.member, true
		}
	}
	return mustardmast.Member{}, false
}

// SendEvidence implements crash.Notifier. It delivers the updates to every node immediately.
func (c *cluster) SendEvidence(_ context.Context, _ string, updates []quarantine.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.quarantine.Merge(time.Now(), updates)
	}
}

// Current implements caller.Configs.
func (c *cluster) Current() (config.Config, uint64, bool) { return c.config, 1, true }

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

// chainConfig returns the configuration of three services, each of which calls the next one.
func chainConfig() config.Config {
	m := func(name string, idempotent bool) config.Method {
		return config.Method{Name: name, Idempotent: idempotent, Priority: call.Critical, Deadline: 2 * time.Second}
	}
	return config.New(config.Spec{
		Services: []config.Service{
			{Name: "socket-board", DependsOn: []string{"plug-ledger"}, Methods: []config.Method{m("assign", false), m("list", true)}},
			{Name: "plug-ledger", DependsOn: []string{"reefer-watch"}, Methods: []config.Method{m("record", false)}},
			{Name: "reefer-watch", Methods: []config.Method{m("register", true)}},
		},
		Backers: []config.Backer{{Name: "maersk", SharePercent: 50}},
		Limits:  config.Limits{RetryBudget: 3, MaxDepth: 8, RetryPercent: 10},
	})
}

// response is the response that a caller received.
type response struct {
	status                  int
	outcome, kind, id, text string
	err                     error // from reading the body
}

func send(t *testing.T, url string, body string, headers ...string) response {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return response{
		status: res.StatusCode, outcome: res.Header.Get(header.Outcome), kind: res.Header.Get(header.Error),
		id: res.Header.Get(header.RequestID), text: string(b), err: err,
	}
}

// executions returns how often the targets of a service executed each request id, as counted by the targets.
func (c *cluster) executions(service string) map[string]int {
	sum := map[string]int{}
	for _, h := range c.hosts {
		if h.member.Service == service {
			for id, n := range h.target.Executions() {
				sum[id] += n
			}
		}
	}
	return sum
}
