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

// identity is what is random and new in each process.
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
		return nil, errors.Wrap(err, "log level")
	}
	c.Level = level
	c.DisableStacktrace = true
	c.DisableCaller = true
	c.Sampling = nil // events are few, and each one counts
	c.EncoderConfig.EncodeTime = zapTime
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
	configs *node.Configs, a *alarms, r *register.Register, q *quarantine.Quarantine, l *eventlog.Log,
) (*control.Control, error) {
	return control.New(control.Settings{
		Self: self, Listen: s.PeerListenAddress(), Seeds: s.Seeds(), Platform: p, Timers: t, Decode: decode,
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
		OnAlarm:        func(m rollout.Alarm) { a.raise(m) },
		OnDigest:       func(_ mustardmast.NodeID, digest []byte) { q.Merge(t.Now(), control.DecodeDigest(digest)) },
		WantedServices: func() []string { return wanted(configs) },
		Rand:           rand.New(rand.NewPCG(i.seed, 2)),
		Log:            l,
	})
}

// controlClient opens its connections from the node's own address, like the data path.
func controlClient(s settings.Settings) *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	d := &net.Dialer{Timeout: askTimeout}
	if ip := s.LocalIP(); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Client{
		Timeout:   controlTimeout,
		Transport: &http.Transport{Protocols: &p, DialContext: d.DialContext, IdleConnTimeout: controlIdle},
	}
}

// decode reads the stored configuration for the control service.
func decode(value []byte) (generation uint64, changeID string, text []byte, err error) {
	s, err := store.Decode(value)
	return s.Generation, s.ChangeID, []byte(s.Text), err
}

// wanted returns the services whose members are learned first. Every node can be the entry of any call, so these are
// all; the order puts the ones with more dependents first.
func wanted(configs *node.Configs) []string {
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
		Self: self, Timers: t, Members: c.Members(), Configs: &gate{configs: configs, control: c, clock: t}, Register: r,
		Quarantine: q, CrashNotifier: teller{control: c}, AttemptQuerier: asker{control: c}, Log: l, Meter: meter, Key: i.key, Seed: i.seed, LocalIP: s.LocalIP(),
	})
	configs.Watch(n.SetConfig)
	return n
}

// gate gives the configuration to the data path only when the control side says that it may serve by it: a process
// that has just started must not serve an older text than its peers.
type gate struct {
	configs *node.Configs
	control *control.Control
	clock   mustardmast.Clock
}

func (g *gate) Current() (config.Config, uint64, bool) {
	if !g.control.Ready(g.clock.Now()) {
		return config.Config{}, 0, false
	}
	return g.configs.Current()
}

// registerOutcomes answers other nodes' questions about attempts from the register.
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

// askTimeout bounds one question. The caller waits for it, and a resend can ask again.
const askTimeout = time.Second

const (
	controlTimeout = 5 * time.Second
	controlIdle    = 30 * time.Second
)

// asker asks other nodes what became of an attempt.
type asker struct{ control *control.Control }

func (a asker) QueryAttempt(ctx context.Context, executor mustardmast.NodeID, at ledger.Attempt) ledger.AttemptStatus {
	m, ok := a.control.Members().Find(executor)
	if !ok {
		return ledger.Gone
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ans, err := a.control.QueryOutcome(ctx, m, control.OutcomeQuery{
		RequestID: at.ID.String(), Attempt: at.Nonce, Executor: executor, Withdraw: true,
	})
	if err != nil {
		return ledger.Unreachable
	}
	switch ans.State {
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

// teller sends the evidence of a crash to the other nodes of the service.
type teller struct{ control *control.Control }

func (l teller) NotifyCrash(ctx context.Context, service string, news []quarantine.Update) {
	var all sync.WaitGroup
	for _, m := range l.control.Members().Serving(service) {
		all.Add(1)
		go func() {
			defer all.Done()
			_ = l.control.SendQuarantine(ctx, m, news) // gossip repeats it for those who cannot be reached now
		}()
	}
	all.Wait()
}
