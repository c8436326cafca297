package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/quarantine"
	"mustardmast/io/eventlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// wallTimers is a timer service on the wall clock.
type wallTimers struct{}

func (wallTimers) Now() time.Time { return time.Now() }

func (wallTimers) Every(period time.Duration, f func(time.Time)) func() {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				f(now)
			case <-done:
				return
			}
		}
	}()
	return func() { close(done); <-ended }
}

func (wallTimers) After(d time.Duration, f func(time.Time)) func() {
	t := time.AfterFunc(d, func() { f(time.Now()) })
	return func() { t.Stop() }
}

// memoryPlatform is an in-memory implementation of the object API.
type memoryPlatform struct {
	mu      sync.Mutex
	objects map[string]mustardmast.Object
	changed chan struct{}
	watches int
}

func newPlatform() *memoryPlatform {
	return &memoryPlatform{objects: map[string]mustardmast.Object{}, changed: make(chan struct{})}
}

func (p *memoryPlatform) Get(_ context.Context, name string) (mustardmast.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o, ok := p.objects[name]; ok {
		return o, nil
	}
	return mustardmast.Object{Name: name}, fault.New(fault.NotFound, name)
}

func (p *memoryPlatform) Put(_ context.Context, o mustardmast.Object) (mustardmast.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects[o.Name].Version != o.Version {
		return o, fault.New(fault.Conflict, o.Name)
	}
	o.Version++
	p.objects[o.Name] = o
	close(p.changed)
	p.changed = make(chan struct{})
	return o, nil
}

func (p *memoryPlatform) Watch(ctx context.Context, name string, after uint64) (mustardmast.Object, error) {
	p.mu.Lock()
	p.watches++
	p.mu.Unlock()
	defer func() { p.mu.Lock(); p.watches--; p.mu.Unlock() }()
	for {
		p.mu.Lock()
		o, changed := p.objects[name], p.changed
		p.mu.Unlock()
		if o.Version != after {
			return o, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return o, fault.Wrap(ctx.Err(), fault.PlatformUnavailable, name)
		}
	}
}

func (p *memoryPlatform) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watches
}

type testConfig struct {
	Generation uint64
	Change     string
	Text       string
}

// apply overwrites the configuration unconditionally, as a restore of the platform does.
func (p *memoryPlatform) apply(t *testing.T, generation uint64, change string) {
	value, err := json.Marshal(testConfig{generation, change, fmt.Sprintf("long head %d long tail", generation)})
	assert.NilError(t, err)
	o, _ := p.Get(t.Context(), configObject)
	_, err = p.Put(t.Context(), mustardmast.Object{Name: configObject, Version: o.Version, Value: value})
	assert.NilError(t, err)
}

func decodeTestConfig(value []byte) (uint64, string, []byte, error) {
	var c testConfig
	err := json.Unmarshal(value, &c)
	return c.Generation, c.Change, []byte(c.Text), err
}

// testNode is a Control and the HTTP server of its peer address.
type testNode struct {
	*Control
	server     *http.Server
	logs       *observer.ObservedLogs
	quarantine *quarantine.Quarantine
	mu         sync.Mutex
	texts      []string
}

func startNode(t *testing.T, i int, p mustardmast.Platform, seeds ...netip.AddrPort) *testNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	core, logs := observer.New(zap.ErrorLevel)
	id := mustardmast.NodeID(rand.Uint64() | 1)
	n := &testNode{logs: logs, quarantine: quarantine.New(id)}
	n.Control, err = New(Settings{
		Self: mustardmast.Member{
			ID: id, Name: fmt.Sprintf("host-%d", i), State: mustardmast.Ready,
			Address: l.Addr().(*net.TCPAddr).AddrPort(), FailureDomain: "koper-a", Service: "plug-ledger", Slots: 10,
		},
		Seeds: seeds, Platform: p, Timers: wallTimers{}, Decode: decodeTestConfig, Outcomes: doneOutcomes{},
		Quarantine: n.quarantine,
		Install: func(_ uint64, _ string, text []byte) error {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.texts = append(n.texts, string(text))
			return nil
		},
		Rand: rand.New(rand.NewPCG(uint64(i), 1)), Log: eventlog.New(zap.New(core)),
	})
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.Handle(n.Handler())
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	n.server = &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = n.server.Serve(l) }()
	n.Start()
	t.Cleanup(func() { n.Close(); _ = n.server.Close() })
	return n
}

type doneOutcomes struct{}

func (doneOutcomes) Outcome(context.Context, OutcomeQuery) OutcomeResponse {
	return OutcomeResponse{State: OutcomeDone, Status: 201}
}

func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// Guards against faults in the wiring of the protocol packages. Over real sockets, nodes must discover each other, two
// of them must watch the platform, a change must reach all nodes as edits, and a platform that was restored to an
// older state must not revert the configuration.
func TestControlSession(t *testing.T) {
	t.Parallel()
	p := newPlatform()
	p.apply(t, 7, "change-7")
	nodes := []*testNode{startNode(t, 0, p)}
	seed := nodes[0].s.Self.Address
	for i := 1; i < 5; i++ {
		nodes = append(nodes, startNode(t, i, p, seed))
	}
	all := func(ok func(*testNode) bool) func() bool {
		return func() bool {
			for _, n := range nodes {
				if !ok(n) {
					return false
				}
			}
			return true
		}
	}
	eventually(t, 8*time.Second, "not every node lists all members", all(func(n *testNode) bool {
		return len(n.Members().Serving("plug-ledger")) == len(nodes) && n.Ready(time.Now())
	}))
	eventually(t, 8*time.Second, "number of waiting watches is not 2", func() bool { return p.waiting() == 2 })
	p.apply(t, 8, "change-8")
	eventually(t, 4*time.Second, "generation 8 is not in force on all nodes", all(func(n *testNode) bool {
		return n.Version().Generation == 8
	}))
	p.apply(t, 3, "change-3")
	alarmed := func() bool {
		count := 0
		for _, n := range nodes {
			count += n.logs.FilterMessage("config-older").Len()
		}
		return count == 2
	}
	eventually(t, 4*time.Second, "not exactly 2 config-older alarms, one per watcher", alarmed)
	for _, n := range nodes {
		assert.Equal(t, n.Version().Generation, uint64(8))
		n.mu.Lock()
		assert.Equal(t, n.texts[len(n.texts)-1], "long head 8 long tail")
		n.mu.Unlock()
		assert.Assert(t, n.Meter().Sent() > 0 && n.Meter().Received() > 0 && n.Meter().Busy() > 0)
	}
	target, _ := nodes[1].Members().Find(nodes[2].s.Self.ID)
	response, err := nodes[1].QueryOutcome(t.Context(), target, OutcomeQuery{RequestID: "r", Executor: target.ID})
	assert.NilError(t, err)
	assert.Equal(t, response, OutcomeResponse{State: OutcomeDone, Status: 201})
	response, err = nodes[1].QueryOutcome(t.Context(), target, OutcomeQuery{RequestID: "r", Executor: 1})
	assert.NilError(t, err)
	assert.Equal(t, response.State, OutcomeUnknown)
	nodes[4].Declare(mustardmast.Draining, "plug-ledger", 10)
	eventually(t, 3*time.Second, "draining member is still listed as serving", all(func(n *testNode) bool {
		return len(n.Members().Serving("plug-ledger")) == len(nodes)-1
	}))
}

// Guards against a node that finds no peer because its settings contain no seeds, and against a seeds object that is
// not refreshed.
func TestSeedsObject(t *testing.T) {
	t.Parallel()
	p := newPlatform()
	p.apply(t, 1, "change-1")
	first := startNode(t, 0, p)
	name := "seeds/" + first.s.Self.FailureDomain
	stale := netip.MustParseAddrPort("127.0.0.1:9")
	value, err := json.Marshal(seedsObject{Addresses: []netip.AddrPort{stale}})
	assert.NilError(t, err)
	_, err = p.Put(t.Context(), mustardmast.Object{Name: name, Value: value})
	assert.NilError(t, err)
	eventually(t, 6*time.Second, "seeds object was not refreshed", func() bool {
		o, _ := p.Get(t.Context(), name)
		return o.Version == 2
	})
	second := startNode(t, 1, p)
	eventually(t, 8*time.Second, "nodes did not discover each other", func() bool {
		return len(second.Members().Serving("plug-ledger")) == 2 && len(first.Members().Serving("plug-ledger")) == 2
	})
}

// Guards against a request that crashes as many targets again at a node that was not known yet when other nodes sent the
// evidence about it.
func TestCrashReportReturnsEvidenceOfOtherNodes(t *testing.T) {
	const crashing = quarantine.Fingerprint(7)
	old, late := startNode(t, 1, newPlatform()), startNode(t, 2, newPlatform())
	now := time.Now()
	for n := range uint32(2) {
		old.quarantine.RecordCrash(now, old.s.Self.ID, n, []quarantine.Fingerprint{crashing, 8})
	}
	late.quarantine.RecordCrash(now, late.s.Self.ID, 1, []quarantine.Fingerprint{crashing})
	assert.Equal(t, late.quarantine.State(now, crashing), quarantine.Clear)
	assert.NilError(t, late.ExchangeQuarantine(context.Background(), old.s.Self, late.quarantine.UpdatesFor(now, []quarantine.Fingerprint{crashing})))
	assert.Equal(t, late.quarantine.State(now, crashing), quarantine.Suspect)
	assert.Equal(t, late.quarantine.State(now, 8), quarantine.Clear, "no evidence about it was exchanged")
	assert.Equal(t, old.quarantine.List(now)[0].Crashes, 3)
}
