package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/config"
	"mustardmast/core/ledger"
	"mustardmast/core/member"
	"mustardmast/core/quarantine"
	"mustardmast/core/register"
	"mustardmast/core/requestid"
	"mustardmast/core/rollout"
	"mustardmast/io/control"
	"mustardmast/io/eventlog"
	"mustardmast/io/operator"
	"mustardmast/io/platform"
	"mustardmast/io/settings"
	"mustardmast/io/store"
	"mustardmast/io/telemetry"
	"mustardmast/io/tick"
	"mustardmast/node"
)

// identity holds the random values that are new in each process.
type identity struct {
	id   mustardmast.NodeID
	key  requestid.Key
	seed uint64
}

func newIdentity() (identity, error) {
	var b [32]byte
	if _, err := crand.Read(b[:]); err != nil {
		return identity{}, errors.Wrap(err, "read random bytes")
	}
	i := identity{
		id: mustardmast.NodeID(binary.LittleEndian.Uint64(b[:8])), seed: binary.LittleEndian.Uint64(b[8:16]),
	}
	copy(i.key[:], b[16:])
	return i, nil
}

func newMember(s settings.Settings, i identity) mustardmast.Member {
	return mustardmast.Member{
		ID: i.id, Name: s.Name(), Address: s.PeerAddress(), FailureDomain: s.FailureDomain(), Region: s.Region(),
		State: mustardmast.Joining,
	}
}

func newLogger(s settings.Settings) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	level, err := zap.ParseAtomicLevel(s.LogLevel())
	if err != nil {
		return nil, errors.Wrap(err, "parse the log level")
	}
	c.Level = level
	c.DisableStacktrace = true
	c.DisableCaller = true
	c.Sampling = nil // events are few and none may be dropped
	c.EncoderConfig.EncodeTime = encodeTime
	z, err := c.Build()
	if err != nil {
		return nil, errors.Wrap(err, "build the logger")
	}
	return z.With(zap.String("node", s.Name()), zap.String("failure-domain", s.FailureDomain())), nil
}

func newPlatform(s settings.Settings, i identity, set *metrics.Set) (*platform.Client, error) {
	return platform.New(platform.Settings{
		URL: s.Platform(), Rand: rand.New(rand.NewPCG(i.seed, 1)), Meter: platform.NewMetrics(set),
	})
}

func newRegister(i identity, t *tick.Service) *register.Register {
	return register.New(i.id, t.Now(), requestid.DefaultWindow, node.RegisterLimits)
}

func newQuarantine(i identity) *quarantine.Quarantine { return quarantine.New(i.id) }

func newControl(
	s settings.Settings, i identity, self mustardmast.Member, p mustardmast.Platform, t *tick.Service,
	configs *node.Configs, a *lastAlarm, r *register.Register, q *quarantine.Quarantine, l *eventlog.Log,
) (*control.Control, error) {
	return control.New(control.Settings{
		Self: self, Listen: s.PeerListenAddress(), Seeds: s.Seeds(), Platform: p, Timers: t, Decode: decodeConfig,
		Install: func(generation uint64, changeID string, text []byte) error {
			if err := configs.Install(generation, changeID, text); err != nil {
				return err
			}
			l.Write(eventlog.ConfigInstalled, zap.Uint64("generation", generation), zap.String("change-id", changeID))
			return nil
		},
		Outcomes:   registerOutcomes{register: r, clock: t},
		Quarantine: q,
		Client:     controlClient(s),
		OnChange: func(m member.Change) {
			l.Write(eventlog.MemberChanged, zap.String("member", m.Member.Name), zap.Stringer("address", m.Member.Address),
				zap.String("state", operator.StateName(m.Member.State)))
		},
		OnAlarm:        func(m rollout.Alarm) { a.record(m) },
		OnDigest:       func(_ mustardmast.NodeID, digest []byte) { q.Merge(t.Now(), control.DecodeDigest(digest)) },
		WantedServices: func() []string { return wantedServices(configs) },
		Rand:           rand.New(rand.NewPCG(i.seed, 2)),
		Log:            l,
	})
}

// controlClient returns the HTTP client of the control service. It connects from the node's own address, like the data
// path.
func controlClient(s settings.Settings) *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	d := &net.Dialer{Timeout: queryTimeout}
	if ip := s.LocalIP(); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Client{
		Timeout:   controlTimeout,
		Transport: &http.Transport{Protocols: &p, DialContext: d.DialContext, IdleConnTimeout: controlIdleTimeout},
	}
}

// decodeConfig decodes the stored configuration for the control service.
func decodeConfig(value []byte) (generation uint64, changeID string, text []byte, err error) {
	s, err := store.Decode(value)
	return s.Generation, s.ChangeID, []byte(s.Text), err
}

// wantedServices returns the services whose members are learned first. Any node can be the entry node of any call, so
// these are all services, sorted by name.
func wantedServices(configs *node.Configs) []string {
	c, _, ok := configs.Current()
	if !ok {
		return nil
	}
	var names []string
	for _, s := range c.Services() {
		names = append(names, s.Name)
	}
	return names
}

func newNode(
	s settings.Settings, self mustardmast.Member, i identity, t *tick.Service, c *control.Control, configs *node.Configs,
	r *register.Register, q *quarantine.Quarantine, l *eventlog.Log, meter *telemetry.Calls,
) *node.Node {
	n := node.New(node.Options{
		Self: self, Timers: t, Members: c.Members(), Configs: &readinessGate{configs: configs, control: c, clock: t}, Register: r,
		Quarantine: q, CrashNotifier: crashNotifier{control: c}, AttemptQuerier: attemptQuerier{control: c}, Log: l, Meter: meter, Key: i.key, Seed: i.seed, LocalIP: s.LocalIP(),
	})
	configs.Watch(n.SetConfig)
	return n
}

// readinessGate passes the configuration to the data path only once the control service is ready. A process that has
// just started must not serve with an older configuration than its peers.
type readinessGate struct {
	configs *node.Configs
	control *control.Control
	clock   mustardmast.Clock
}

func (g *readinessGate) Current() (config.Config, uint64, bool) {
	if !g.control.Ready(g.clock.Now()) {
		return config.Config{}, 0, false
	}
	return g.configs.Current()
}

// registerOutcomes answers the queries of other nodes about attempts from the register.
type registerOutcomes struct {
	register *register.Register
	clock    mustardmast.Clock
}

func (o registerOutcomes) Outcome(_ context.Context, q control.OutcomeQuery) control.OutcomeResponse {
	id, ok := requestid.Parse(q.RequestID)
	if !ok || !q.Withdraw {
		return control.OutcomeResponse{}
	}
	switch o.register.Withdraw(o.clock.Now(), ledger.Attempt{ID: id, Nonce: q.Attempt, Executor: q.Executor}) {
	case ledger.NotExecuted:
		return control.OutcomeResponse{State: control.OutcomeFenced}
	case ledger.Running:
		return control.OutcomeResponse{State: control.OutcomeStarted}
	case ledger.Executed:
		return control.OutcomeResponse{State: control.OutcomeDone}
	default:
		return control.OutcomeResponse{}
	}
}

// queryTimeout limits one query. The caller waits for the result, and a retry can query again.
const queryTimeout = time.Second

const (
	controlTimeout     = 5 * time.Second
	controlIdleTimeout = 30 * time.Second
)

// attemptQuerier implements dispatch.AttemptQuerier. It queries other nodes for the status of an attempt.
type attemptQuerier struct{ control *control.Control }

func (a attemptQuerier) QueryAttempt(ctx context.Context, executor mustardmast.NodeID, at ledger.Attempt) ledger.AttemptStatus {
	m, ok := a.control.Members().Find(executor)
	if !ok {
		return ledger.Gone
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := a.control.QueryOutcome(ctx, m, control.OutcomeQuery{
		RequestID: at.ID.String(), Attempt: at.Nonce, Executor: executor, Withdraw: true,
	})
	if err != nil {
		return ledger.Unreachable
	}
	switch response.State {
	case control.OutcomeFenced:
		return ledger.NotExecuted
	case control.OutcomeStarted:
		return ledger.Running
	case control.OutcomeDone:
		return ledger.Executed
	default:
		return ledger.Unreachable
	}
}

// crashNotifier implements crash.Notifier. It exchanges the evidence of a crash with the other nodes of the service.
type crashNotifier struct{ control *control.Control }

func (n crashNotifier) SendEvidence(ctx context.Context, service string, updates []quarantine.Update) {
	var sends sync.WaitGroup
	for _, m := range n.control.Members().Serving(service) {
		sends.Add(1)
		go func() {
			defer sends.Done()
			_ = n.control.ExchangeQuarantine(ctx, m, updates) // gossip repeats the updates for nodes that cannot be reached now
		}()
	}
	sends.Wait()
}
