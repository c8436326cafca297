// Package node puts the parts of one node together: the servers towards callers and other nodes, the executor in
// front of the host's own target, and the dispatcher for calls that leave.
//
// A Node is the data path. What it needs from the control side, the members and the configuration in force, comes in
// through interfaces, so that the daemon, an embedding program and a test each bring their own.
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
	"mustardmast/io/dispatch"
	"mustardmast/io/eventlog"
	"mustardmast/io/execute"
	"mustardmast/io/outbound"
	"mustardmast/io/peer"
	"mustardmast/io/target"
	"mustardmast/io/telemetry"
)

const (
	admitPeriod   = 10 * time.Millisecond  // a tenth of the admission's window
	idlePeriod    = 100 * time.Millisecond // one window of the admission
	tablePeriod   = time.Second
	initialSlots  = 1 // until the target announces its slots
	headerTimeout = 10 * time.Second
	drainPoll     = 20 * time.Millisecond
	idleConnWait  = 500 * time.Millisecond
)

// LedgerLimits keep the ledger under 10 MB when it is full. At the target size a node issues some 60 ids a second;
// this allows 270 over the whole window.
var LedgerLimits = ledger.Limits{Records: 32_768, Bytes: 4 << 20, ResponseBytes: 16 << 10}

// RegisterLimits keep the register under 12 MB when it is full. Attempts are kept for two windows.
var RegisterLimits = register.Limits{Records: 65_536, Owners: 8_192}

// Options are what a Node is built from.
type Options struct {
	Self           mustardmast.Member // its ID must be random and new for each process
	Timers         mustardmast.Timers
	Members        mustardmast.Directory
	Configs        caller.Configs
	Register       *register.Register      // shared with the control service, which answers for it
	Quarantine     *quarantine.Quarantine  // shared with the control service, which spreads it
	CrashNotifier  execute.CrashNotifier   // tells other nodes of a crash
	AttemptQuerier dispatch.AttemptQuerier // asks other nodes what became of an attempt
	Log            *eventlog.Log
	Meter          mustardmast.Meter // nil counts nothing
	Key            requestid.Key     // secret of this process, random
	LocalIP        net.IP            // from which connections to other nodes are opened; nil for any
	Seed           uint64            // of the random choices
}

// Node is the data path of one node.
type Node struct {
	parts      Options
	local      *target.Local
	admit      *admit.Admitter
	executor   *execute.Executor
	dispatcher *dispatch.Dispatcher
	register   *register.Register
	ledger     *ledger.Ledger
	running    *execute.RunningCalls
	trace      *trace.Recorder
	levels     *level.Table
	ratio      *retry.Ratio
	targets    *target.Client
	peers      *peer.Client
	callerMux  *http.ServeMux
	peerMux    *http.ServeMux
	servers    []*http.Server
	cancels    []func()
	active     atomic.Int64 // requests of callers and other nodes that are being served
	mu         sync.Mutex
	leaving    bool
	closed     bool
	cancelTick func()
}

// New returns a node that does not listen yet.
func New(p Options) *Node {
	now := p.Timers.Now()
	if p.Meter == nil {
		p.Meter = telemetry.Nop{}
	}
	n := &Node{
		parts: p, register: p.Register,
		local:     &target.Local{},
		admit:     admit.New(admit.Spec{Slots: initialSlots}),
		running:   execute.NewRunningCalls(),
		trace:     trace.New(),
		ratio:     retry.NewRatio(retry.DefaultRatio()),
		levels:    level.New(level.Spec{}),
		targets:   target.NewClient(),
		peers:     peer.NewClient(p.Timers, p.LocalIP, p.Meter.StalledConnClosed),
		callerMux: http.NewServeMux(), peerMux: http.NewServeMux(),
	}
	issuer := requestid.NewIssuer(p.Self.ID, p.Key, now, requestid.DefaultWindow)
	below := level.NewSubCalls()
	n.ledger = ledger.New(issuer, LedgerLimits)
	n.executor = n.newExecutor(below)
	n.dispatcher = n.newDispatcher(issuer)
	caller.New(caller.Options{
		Clock: p.Timers, Configs: p.Configs, IDIssuer: ids{issuer: issuer, clock: p.Timers}, Dispatch: n.dispatcher,
		RunningCalls: n.running, SubCallLevels: below, Meter: p.Meter, Draining: n.refusal,
	}).Mount(n.callerMux)
	peer.NewServer(p.Timers, n.executor, n.dispatcher).Mount(n.peerMux)
	n.local.Watch(n.targetChanged)
	return n
}

func (n *Node) newExecutor(below *level.SubCalls) *execute.Executor {
	p := n.parts
	return execute.New(execute.Options{
		Self: p.Self, Clock: p.Timers, Members: p.Members, Admitter: n.admit, Local: n.local, Sender: n.targets,
		RunningCalls: n.running, Register: n.register, Quarantine: p.Quarantine, CrashNotifier: p.CrashNotifier, Levels: n.levels,
		SubCallLevels: below, Meter: p.Meter, OnCrash: n.targetCrashed,
	})
}

func (n *Node) newDispatcher(issuer *requestid.Issuer) *dispatch.Dispatcher {
	p := n.parts
	return dispatch.New(dispatch.Options{
		Self: p.Self, Clock: p.Timers, Members: p.Members,
		Picker: balance.New(balance.Self{ID: p.Self.ID, FailureDomain: p.Self.FailureDomain}, p.Seed, balance.Defaults()),
		Policy: retry.NewPolicy(n.ratio, retry.NewBackoff(p.Seed+1, retry.DefaultBaseWait, retry.DefaultMaxWait)),
		Levels: n.levels, Quarantine: p.Quarantine, Trace: n.trace, Issuer: issuer, Ledger: n.ledger, Peers: n.peers,
		Local:          n.executor,
		AttemptQuerier: outcomes{self: p.Self.ID, clock: p.Timers, register: n.register, remote: p.AttemptQuerier},
		Meter:          p.Meter,
	})
}

// SetConfig takes what the admission needs of a new configuration.
func (n *Node) SetConfig(c config.Config) {
	n.admit.SetBackers(n.parts.Timers.Now(), c.Backers())
	n.levels.SetBackers(c.Backers())
	n.ratio.SetPercent(float64(c.Limits().RetryPercent))
	n.setSlots()
}

// LocalTarget returns the target of this host, for announcements.
func (n *Node) LocalTarget() *target.Local { return n.local }

// PeerMux returns the routes of the peer address, to which the control service is added before Start.
func (n *Node) PeerMux() *http.ServeMux { return n.peerMux }

// Start serves callers and other nodes on the listeners.
func (n *Node) Start(callers, peers net.Listener) {
	n.serve(callers, n.callerMux)
	n.serve(peers, n.peerMux)
	n.tick(n.parts.Timers.Now())
	n.every(outbound.CheckPeriod, n.peers.Check)
	p := n.parts
	n.every(tablePeriod, func(now time.Time) {
		n.ledger.Tick(now)
		n.register.Tick(now)
		p.Quarantine.Tick(now)
		n.local.CheckHeartbeat(now)
	})
}

// tick advances the admission. While nothing is in flight it does so less often: a hundred wake-ups a second cost an idle
// node more than the 1.2% of a core that it may spend on control.
func (n *Node) tick(now time.Time) {
	n.executor.Tick(now)
	period := idlePeriod
	if n.executor.InFlight() > 0 {
		period = admitPeriod
	}
	cancel := n.parts.Timers.After(period, n.tick)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancelTick = cancel
	if n.closed {
		cancel()
	}
}

func (n *Node) every(period time.Duration, f func(time.Time)) {
	n.cancels = append(n.cancels, n.parts.Timers.Every(period, f))
}

func (n *Node) serve(l net.Listener, h http.Handler) {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	chain := negroni.New(&recovery{log: n.parts.Log}, &counter{active: &n.active})
	chain.UseHandler(h)
	s := &http.Server{
		Handler: chain, Protocols: &p, ReadHeaderTimeout: headerTimeout,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 1000}, // above the slots of any target, so that streams do not queue unseen
	}
	n.servers = append(n.servers, s)
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.parts.Log.Write(eventlog.ServerFailed, zap.Error(err), zap.Stringer("address", l.Addr()))
		}
	}()
}

// refusal is the error for calls that enter the system here while the node stops.
func (n *Node) refusal() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return fault.New(fault.Draining, "this node is stopping")
	}
	return nil
}

// Drain begins a planned stop: new work is refused truthfully, what is in flight goes on.
func (n *Node) Drain() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.local.Shutdown(n.parts.Timers.Now())
}

// Stop ends a planned stop. It waits for calls in flight until ctx ends and returns an error if some were cut off.
func (n *Node) Stop(ctx context.Context) error {
	n.Drain()
	for n.active.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	left := n.active.Load()
	// Nothing is left to wait for but connections without a call, which Shutdown gives up to 5 s.
	short, cancel := context.WithTimeout(ctx, idleConnWait)
	defer cancel()
	for _, s := range n.servers {
		if s.Shutdown(short) != nil {
			_ = s.Close()
		}
	}
	n.close()
	if left > 0 {
		return errors.Errorf("%d calls were still in flight", left)
	}
	return nil
}

// Kill ends the node at once, as a crash of the process would.
func (n *Node) Kill() {
	for _, s := range n.servers {
		_ = s.Close()
	}
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
	n.targets.Close()
	n.peers.Close()
}

// targetChanged takes the slots that the target announces.
func (n *Node) targetChanged(target.Announcement, error) { n.setSlots() }

// setSlots bounds the concurrency limit by what the target announces and by what the configuration allows its service.
func (n *Node) setSlots() {
	a := n.local.LastAnnouncement()
	if a.Slots <= 0 {
		return
	}
	slots := a.Slots
	if c, _, ok := n.parts.Configs.Current(); ok {
		if sv, known := c.Service(a.Service); known && sv.Slots > 0 {
			slots = min(slots, sv.Slots)
		}
	}
	n.admit.SetSlots(slots)
}

// Load returns the figures of the admission.
func (n *Node) Load(now time.Time) mustardmast.Load { return n.admit.Load(now) }

// LevelFor returns the admission level of this target for one priority and backer.
func (n *Node) LevelFor(now time.Time, p call.Priority, backer string) mustardmast.Level {
	return n.admit.LevelFor(now, p, backer)
}

// Steps returns what this node remembers of a request.
func (n *Node) Steps(id string) []trace.Step { return n.trace.Steps(id) }

// LedgerLen returns the number of requests that this node owns and remembers.
func (n *Node) LedgerLen() int { return n.ledger.Len() }

// RegisterLen returns the number of attempts that this node remembers.
func (n *Node) RegisterLen() int { return n.register.Len() }

// targetCrashed logs a crash, and by name the requests that it has put into quarantine.
func (n *Node) targetCrashed(service string, inFlight []*execute.Execution) {
	n.parts.Log.Write(eventlog.TargetCrashed, zap.String("service", service), zap.Int("in-flight", len(inFlight)))
	now := n.parts.Timers.Now()
	for _, e := range inFlight {
		if n.parts.Quarantine.State(now, e.Fingerprint()) != quarantine.Quarantined {
			continue
		}
		c := e.Call()
		n.parts.Log.Write(eventlog.RequestQuarantined, zap.String("fingerprint", strconv.FormatUint(uint64(e.Fingerprint()), 16)),
			zap.String("service", c.Service()), zap.String("method", c.Method()), zap.String("backer", c.Backer()),
			zap.String("request-id", c.ID()))
	}
}
