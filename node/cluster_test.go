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

// cluster is a few nodes with their targets in one process, over real TCP. Members and configuration are fixed.
type cluster struct {
	t      testing.TB
	timers *tick.Service
	mu     sync.Mutex
	hosts  []*host
	config config.Config
	meter  mustardmast.Meter // nil counts nothing
}

type host struct {
	member     mustardmast.Member
	node       *node.Node
	quarantine *quarantine.Quarantine
	target     *stub.Target
	server     *httptest.Server
	url        string // caller address
	at         target.Announcement
}

func newCluster(t testing.TB, c config.Config) *cluster {
	l := &cluster{t: t, timers: tick.New(), config: c}
	t.Cleanup(func() {
		for _, h := range l.hosts {
			h.node.Kill()
			h.server.Close()
		}
		l.timers.Close()
	})
	return l
}

// add starts a host that serves one service.
func (l *cluster) add(service, domain string, s stub.Spec) *host {
	l.t.Helper()
	callers, peers := listen(l.t), listen(l.t)
	h := &host{url: "http://" + callers.Addr().String()}
	h.member = mustardmast.Member{
		ID: mustardmast.NodeID(len(l.hosts) + 1), Name: service, FailureDomain: domain, Service: service, Slots: 100,
		Address: netip.MustParseAddrPort(peers.Addr().String()), State: mustardmast.Ready,
	}
	h.quarantine = quarantine.New(h.member.ID)
	h.node = node.New(node.Options{
		Self: h.member, Timers: l.timers, Members: l, Configs: l, Log: eventlog.New(zap.NewNop()), Seed: 1,
		Quarantine: h.quarantine, CrashNotifier: l, Meter: l.meter,
		Register: register.New(h.member.ID, time.Now(), requestid.DefaultWindow, register.DefaultLimits),
	})
	h.node.Start(callers, peers)
	s.Service, s.NodeURL, s.Slots = service, h.url, 100
	h.target = stub.New(s)
	h.server = httptest.NewServer(h.target.Handler())
	h.at = target.Announcement{
		Address: netip.MustParseAddrPort(strings.TrimPrefix(h.server.URL, "http://")), Service: service, Slots: 100,
	}
	h.node.LocalTarget().Announce(time.Now(), h.at)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = append(l.hosts, h)
	return h
}

// Serving implements mustardmast.Directory.
func (l *cluster) Serving(service string) []mustardmast.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ms []mustardmast.Member
	for _, h := range l.hosts {
		if h.member.Service == service {
			ms = append(ms, h.member)
		}
	}
	return ms
}

// Find implements mustardmast.Directory.
func (l *cluster) Find(id mustardmast.NodeID) (mustardmast.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.hosts {
		if h.member.ID == id {
			return h.member, true
		}
	}
	return mustardmast.Member{}, false
}

// NotifyCrash implements execute.CrashNotifier: news reach every node at once.
func (l *cluster) NotifyCrash(_ context.Context, _ string, news []quarantine.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.hosts {
		h.quarantine.Merge(time.Now(), news)
	}
}

// Current implements caller.Configs.
func (l *cluster) Current() (config.Config, uint64, bool) { return l.config, 1, true }

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

// koper is a chain of three services.
func koper() config.Config {
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

// answer is what a caller saw.
type answer struct {
	status                int
	outcome, kind, id, in string
	err                   error // reading the body
}

func send(t *testing.T, url string, body string, heads ...string) answer {
	t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(heads); i += 2 {
		q.Header.Set(heads[i], heads[i+1])
	}
	res, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return answer{
		status: res.StatusCode, outcome: res.Header.Get(header.Outcome), kind: res.Header.Get(header.Error),
		id: res.Header.Get(header.RequestID), in: string(b), err: err,
	}
}

// executions sums what the targets of a service executed, counted at the targets.
func (l *cluster) executions(service string) map[string]int {
	sum := map[string]int{}
	for _, h := range l.hosts {
		if h.member.Service == service {
			for id, n := range h.target.Executions() {
				sum[id] += n
			}
		}
	}
	return sum
}
