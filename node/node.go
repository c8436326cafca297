// Package node assembles the parts of a node: the servers for callers and other nodes, the executor in front of the
// target on this host, and the dispatcher for calls that leave the host.
//
// A Node is the data path. It gets the members and the current configuration from the control service through
// interfaces, so that the daemon, an embedding program and a test can each supply their own.
package node

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/negroni/v3"
	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/admit"
	"mustardmast/core/balance"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/level"
	"mustardmast/core/quarantine"
	"mustardmast/core/register"
	"mustardmast/core/requestid"
	"mustardmast/core/retry"
	"mustardmast/core/trace"
	"mustardmast/io/caller"
	"mustardmast/io/crash"
	"mustardmast/io/dispatch"
	"mustardmast/io/eventlog"
	"mustardmast/io/execute"
	"mustardmast/io/httpdrain"
	"mustardmast/io/outbound"
	"mustardmast/io/peer"
	"mustardmast/io/target"
	"mustardmast/io/telemetry"
)

const (
	busyTickPeriod    = 10 * time.Millisecond  // a tenth of the admission window
	idleTickPeriod    = 100 * time.Millisecond // one admission window
	maintenancePeriod = time.Second
	initialSlots      = 1 // until the target announces its slots
	headerTimeout     = 10 * time.Second
	drainPollInterval = 20 * time.Millisecond
	shutdownTimeout   = 500 * time.Millisecond
)

// LedgerLimits keep a full ledger below 10 MB. In a fleet of the size that the system is designed for, a node issues
// about 60 ids per second; the limits allow 270 per second over the whole window.
var LedgerLimits = ledger.Limits{Records: 32_768, Bytes: 4 << 20, ResponseBytes: 16 << 10}

// RegisterLimits keep a full register below 12 MB. Attempts are kept for two windows.
var RegisterLimits = register.Limits{Records: 65_536, Owners: 8_192}

// Options configure a Node.
type Options struct {
	Self           mustardmast.Member // its ID must be random and new for each process
	Timers         mustardmast.Timers
	Members        mustardmast.Directory
	Configs        caller.Configs
	Register       *register.Register      // shared with the control service, which serves queries from it
	Quarantine     *quarantine.Quarantine  // shared with the control service, which gossips its updates
	CrashNotifier  crash.Notifier          // notifies other nodes when the target has crashed
	AttemptQuerier dispatch.AttemptQuerier // queries other nodes for the status of an attempt
	Log            *eventlog.Log
	Meter          mustardmast.Meter // nil collects no metrics
	Key            requestid.Key     // random secret of this process
	LocalIP        net.IP            // source address of connections to other nodes; nil for any
	Seed           uint64            // for random choices
}

// Node is the data path of a node.
type Node struct {
	options      Options
	local        *target.Local
	admitter     *admit.Admitter
	executor     *execute.Executor
	dispatcher   *dispatch.Dispatcher
	register     *register.Register
	ledger       *ledger.Ledger
	runningCalls *execute.RunningCalls
	trace        *trace.Recorder
	levels       *level.Table
	retryRatio   *retry.Ratio
	targetClient *target.Client
	peerClient   *peer.Client
	callerMux    *http.ServeMux
	peerMux      *http.ServeMux
	callers      *httpdrain.Server
	peers        *http.Server
	cancels      []func()
	active       atomic.Int64 // requests in progress, of callers and of other nodes
	mu           sync.Mutex
	draining     bool
	closed       bool
	cancelTick   func()
}

// New returns a node that serves no requests until Start is called.
func New(o Options) *Node {
	now := o.Timers.Now()
	if o.Meter == nil {
		o.Meter = telemetry.Nop{}
	}
	n := &Node{
		options: o, register: o.Register,
		local:        &target.Local{},
		admitter:     admit.New(admit.Spec{Slots: initialSlots}),
		runningCalls: execute.NewRunningCalls(),
		trace:        trace.New(),
		retryRatio:   retry.NewRatio(retry.DefaultRatio()),
		levels:       level.New(level.Spec{}),
		targetClient: target.NewClient(),
		peerClient:   peer.NewClient(o.Timers, o.LocalIP, o.Meter.StalledConnClosed),
		callerMux:    http.NewServeMux(), peerMux: http.NewServeMux(),
	}
	issuer := requestid.NewIssuer(o.Self.ID, o.Key, now, requestid.DefaultWindow)
	subCallLevels := level.NewSubCalls()
	n.ledger = ledger.New(issuer, LedgerLimits)
	n.executor = n.newExecutor(subCallLevels)
	n.dispatcher = n.newDispatcher(issuer)
	caller.New(caller.Options{
		Clock: o.Timers, Configs: o.Configs, IDIssuer: idIssuer{issuer: issuer, clock: o.Timers}, Dispatch: n.dispatcher,
		RunningCalls: n.runningCalls, SubCallLevels: subCallLevels, Meter: o.Meter, Draining: n.drainingError,
	}).Mount(n.callerMux)
	peer.NewServer(o.Timers, n.executor, n.dispatcher).Mount(n.peerMux)
	n.callers, n.peers = httpdrain.New(n.newServer(n.callerMux)), n.newServer(n.peerMux)
	n.local.Watch(n.targetChanged)
	return n
}

func (n *Node) newExecutor(subCallLevels *level.SubCalls) *execute.Executor {
	o := n.options
	return execute.New(execute.Options{
		Self: o.Self, Clock: o.Timers, Members: o.Members, Admitter: n.admitter, Local: n.local, Sender: n.targetClient,
		RunningCalls: n.runningCalls, Register: n.register, Quarantine: o.Quarantine, CrashNotifier: o.CrashNotifier, Levels: n.levels,
		SubCallLevels: subCallLevels, Meter: o.Meter, OnCrash: n.targetCrashed,
	})
}

func (n *Node) newDispatcher(issuer *requestid.Issuer) *dispatch.Dispatcher {
	o := n.options
	return dispatch.New(dispatch.Options{
		Self: o.Self, Clock: o.Timers, Members: o.Members,
		Picker: balance.New(balance.Self{ID: o.Self.ID, FailureDomain: o.Self.FailureDomain}, o.Seed, balance.Defaults()),
		Policy: retry.NewPolicy(n.retryRatio, retry.NewBackoff(o.Seed+1, retry.DefaultBaseWait, retry.DefaultMaxWait)),
		Levels: n.levels, Quarantine: o.Quarantine, Trace: n.trace, Issuer: issuer, Ledger: n.ledger, Peers: n.peerClient,
		Local:          n.executor,
		AttemptQuerier: attemptQuerier{self: o.Self.ID, clock: o.Timers, register: n.register, remote: o.AttemptQuerier},
		Meter:          o.Meter,
	})
}

// SetConfig applies a new configuration to the admission controller and the retry limits.
func (n *Node) SetConfig(c config.Config) {
	n.admitter.SetBackers(n.options.Timers.Now(), c.Backers())
	n.levels.SetBackers(c.Backers())
	n.retryRatio.SetPercent(float64(c.Limits().RetryPercent))
	n.setSlots()
}

// LocalTarget returns the target on this host, for announcements.
func (n *Node) LocalTarget() *target.Local { return n.local }

// PeerMux returns the handler of the peer address. The control service is registered on it before Start.
func (n *Node) PeerMux() *http.ServeMux { return n.peerMux }

// Start serves callers and other nodes on the listeners.
func (n *Node) Start(callers, peers net.Listener) {
	go n.serve(n.callers, callers)
	go n.serve(n.peers, peers)
	n.tick(n.options.Timers.Now())
	n.every(outbound.CheckPeriod, n.peerClient.Check)
	o := n.options
	n.every(maintenancePeriod, func(now time.Time) {
		n.ledger.Tick(now)
		n.register.Tick(now)
		o.Quarantine.Tick(now)
		n.local.CheckHeartbeat(now)
	})
}

// tick advances the admission controller, less often while nothing is in flight: a hundred wake-ups per second would
// cost an idle node more than the 1.2% of a core that it may spend on control.
func (n *Node) tick(now time.Time) {
	n.executor.Tick(now)
	period := idleTickPeriod
	if n.executor.InFlight() > 0 {
		period = busyTickPeriod
	}
	cancel := n.options.Timers.After(period, n.tick)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancelTick = cancel
	if n.closed {
		cancel()
	}
}

func (n *Node) every(period time.Duration, f func(time.Time)) {
	n.cancels = append(n.cancels, n.options.Timers.Every(period, f))
}

func (n *Node) newServer(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	chain := negroni.New(&recovery{log: n.options.Log}, &requestCounter{active: &n.active})
	chain.UseHandler(h)
	return &http.Server{
		Handler: chain, Protocols: &p, ReadHeaderTimeout: headerTimeout,
		// Above the slots of any target, so that calls wait in the admission queue and not in HTTP/2.
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 1000},
	}
}

func (n *Node) serve(s interface{ Serve(l net.Listener) error }, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		n.options.Log.Write(eventlog.ServerFailed, zap.Error(err), zap.Stringer("address", l.Addr()))
	}
}

// drainingError returns the error with which calls from callers are rejected while the node stops, and nil otherwise.
func (n *Node) drainingError() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.draining {
		return fault.New(fault.Draining, "this node is stopping")
	}
	return nil
}

// Drain begins a planned stop: new calls are rejected as not executed, calls in flight continue.
func (n *Node) Drain() {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.local.Shutdown(n.options.Timers.Now())
}

// Stop drains the node and closes it. It waits for calls in flight until ctx ends, and returns an error if some were
// still in flight then.
func (n *Node) Stop(ctx context.Context) error {
	n.Drain()
	for n.active.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	inFlight := n.active.Load()
	if n.callers.Shutdown(ctx) != nil {
		_ = n.callers.Close()
	}
	// Unless ctx has ended, only connections without a call are left. Shutdown would wait up to 5 s for them.
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if n.peers.Shutdown(shutdownCtx) != nil {
		_ = n.peers.Close()
	}
	n.close()
	if inFlight > 0 {
		return errors.Errorf("%d calls were still in flight", inFlight)
	}
	return nil
}

// Kill closes the node immediately, like a crash of its process.
func (n *Node) Kill() {
	_ = n.callers.Close()
	_ = n.peers.Close()
	n.close()
}

func (n *Node) close() {
	n.mu.Lock()
	n.closed = true
	if n.cancelTick != nil {
		n.cancelTick()
	}
	n.mu.Unlock()
	for _, c := range n.cancels {
		c()
	}
	n.targetClient.Close()
	n.peerClient.Close()
}

// targetChanged applies the number of slots that the target announces.
func (n *Node) targetChanged(target.Announcement, error) { n.setSlots() }

// setSlots sets the maximum of the concurrency limit to the slots that the target announces or to those that the
// configuration allows for its service, whichever is lower.
func (n *Node) setSlots() {
	a := n.local.LastAnnouncement()
	if a.Slots <= 0 {
		return
	}
	slots := a.Slots
	if c, _, ok := n.options.Configs.Current(); ok {
		if sv, known := c.Service(a.Service); known && sv.Slots > 0 {
			slots = min(slots, sv.Slots)
		}
	}
	n.admitter.SetSlots(slots)
}

// Load returns the load of the target on this host.
func (n *Node) Load(now time.Time) mustardmast.Load { return n.admitter.Load(now) }

// LevelFor returns the admission level of the target on this host for one priority and backer.
func (n *Node) LevelFor(now time.Time, p call.Priority, backer string) mustardmast.Level {
	return n.admitter.LevelFor(now, p, backer)
}

// Steps returns the recorded trace of a request.
func (n *Node) Steps(id string) []trace.Step { return n.trace.Steps(id) }

// LedgerLen returns the number of requests in the ledger, which are those that this node owns.
func (n *Node) LedgerLen() int { return n.ledger.Len() }

// RegisterLen returns the number of attempts in the register.
func (n *Node) RegisterLen() int { return n.register.Len() }

// targetCrashed logs a crash of the target and each request that is quarantined because of it.
func (n *Node) targetCrashed(service string, inFlight []*execute.Execution) {
	n.options.Log.Write(eventlog.TargetCrashed, zap.String("service", service), zap.Int("in-flight", len(inFlight)))
	now := n.options.Timers.Now()
	for _, e := range inFlight {
		if n.options.Quarantine.State(now, e.Fingerprint()) != quarantine.Quarantined {
			continue
		}
		c := e.Call()
		n.options.Log.Write(eventlog.RequestQuarantined, zap.String("fingerprint", strconv.FormatUint(uint64(e.Fingerprint()), 16)),
			zap.String("service", c.Service()), zap.String("method", c.Method()), zap.String("backer", c.Backer()),
			zap.String("request-id", c.ID()))
	}
}
