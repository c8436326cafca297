package daemon

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/fault"
	"mustardmast/core/quarantine"
	"mustardmast/core/rollout"
	"mustardmast/io/control"
	"mustardmast/io/eventlog"
	"mustardmast/io/operator"
	"mustardmast/io/target"
	"mustardmast/io/tick"
	"mustardmast/node"
)

// lastAlarm holds the text of the newest alarm about the configuration, for status reports.
type lastAlarm struct {
	mu      sync.Mutex
	message string
}

func (a *lastAlarm) record(m rollout.Alarm) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.message = m.Kind.String() + ": " + m.Source.String() + " shows generation " + strconv.FormatUint(m.Seen.Generation, 10) +
		", kept " + strconv.FormatUint(m.Kept.Generation, 10)
}

func (a *lastAlarm) text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.message
}

// adminBackend implements the interfaces of package operator, through which operators and the target on this host use
// the node.
type adminBackend struct {
	self       mustardmast.Member
	timers     *tick.Service
	control    *control.Control
	configs    *node.Configs
	node       *node.Node
	quarantine *quarantine.Quarantine
	alarm      *lastAlarm
	log        *eventlog.Log
}

func newAdminBackend(
	self mustardmast.Member, t *tick.Service, c *control.Control, configs *node.Configs, n *node.Node,
	q *quarantine.Quarantine, a *lastAlarm, l *eventlog.Log,
) *adminBackend {
	return &adminBackend{self: self, timers: t, control: c, configs: configs, node: n, quarantine: q, alarm: a, log: l}
}

func newAdmin(b *adminBackend, set *metrics.Set) http.Handler {
	b.registerMetrics(set)
	return operator.New(b.timers, operator.Ports{
		Status: b, Drain: b, Explain: b, Quarantine: quarantineView{b}, Targets: b, Readiness: b, Metrics: set,
	})
}

// Status implements operator.StatusSource.
func (b *adminBackend) Status(now time.Time) operator.Status {
	s := operator.Status{
		Name: b.self.Name, ID: b.self.ID, FailureDomain: b.self.FailureDomain, Region: b.self.Region,
		Generation: b.control.Version().Generation, Alarm: b.alarm.text(), Load: b.node.Load(now),
	}
	c, _, _ := b.configs.Current()
	for _, sv := range c.Services() {
		v := operator.ServiceStatus{Name: sv.Name, Members: map[mustardmast.MemberState]int{}}
		for _, m := range b.control.Members().Serving(sv.Name) {
			v.Members[m.State]++
		}
		s.Services = append(s.Services, v)
	}
	for prio := range call.Priority(call.NumPriorities) {
		for _, backer := range append(c.Backers(), config.Backer{Name: otherBackers}) {
			if l := b.node.LevelFor(now, prio, backer.Name); l < mustardmast.FullLevel {
				s.Levels = append(s.Levels, operator.LevelStatus{Priority: prio.String(), Backer: backer.Name, Level: l})
			}
		}
	}
	for _, i := range b.quarantine.List(now) {
		if i.State == quarantine.Quarantined {
			s.Quarantined++
		}
	}
	_, err := b.node.LocalTarget().Ready(now)
	s.Draining = fault.KindOf(err) == fault.Draining
	return s
}

// otherBackers represents in status reports all backers without an entry in the configuration. It is not a valid name
// of a backer, so its level is that of backers without an entry.
const otherBackers = "(others)"

// Drain implements operator.Drainer.
func (b *adminBackend) Drain(context.Context) error {
	b.node.LocalTarget().Drain(b.timers.Now())
	return nil
}

// Explain implements operator.Explainer.
func (b *adminBackend) Explain(id string) (operator.Explanation, bool) {
	steps := b.node.Steps(id)
	if len(steps) == 0 {
		return operator.Explanation{}, false
	}
	e := operator.Explanation{RequestID: id, Outcome: "pending"}
	for _, s := range steps {
		e.Events = append(e.Events, operator.Event{At: s.At, Name: s.Event, Detail: s.Detail})
		if s.Event == "executed" || s.Event == "not-executed" || s.Event == "unknown" {
			e.Outcome = s.Event
		}
	}
	return e, true
}

// Announce implements operator.TargetRegistry.
func (b *adminBackend) Announce(now time.Time, a operator.Announcement) error {
	if c, _, ok := b.configs.Current(); ok {
		if _, known := c.Service(a.Service); !known {
			return fault.Newf(fault.UnknownService, "service %q is not in the configuration", a.Service)
		}
	}
	b.node.LocalTarget().Announce(now, target.Announcement{
		Address: a.Address, Service: a.Service, Slots: int(a.Slots), Connections: int(a.Connections),
		HealthPath: a.HealthPath, LoadPath: a.LoadPath, Draining: a.Draining,
	})
	return nil
}

// Ready implements operator.Readiness.
func (b *adminBackend) Ready() (bool, string) {
	now := b.timers.Now()
	if !b.control.Ready(now) {
		return false, "no configuration yet"
	}
	if _, err := b.node.LocalTarget().Ready(now); err != nil {
		return false, err.Error()
	}
	return true, ""
}

// quarantineView implements operator.Quarantine.
type quarantineView struct{ backend *adminBackend }

// Entries implements operator.Quarantine.
func (v quarantineView) Entries(now time.Time) []operator.Quarantined {
	var l []operator.Quarantined
	for _, i := range v.backend.quarantine.List(now) {
		l = append(l, operator.Quarantined{
			Fingerprint: formatFingerprint(i.Fingerprint), Crashes: i.Crashes, Blocked: i.State == quarantine.Quarantined,
			ExpiresIn: quarantine.EvidenceTTL - i.Age,
		})
	}
	return l
}

// Clear implements operator.Quarantine.
func (v quarantineView) Clear(now time.Time, fingerprint string) int {
	n := 0
	for _, i := range v.backend.quarantine.List(now) {
		if f := formatFingerprint(i.Fingerprint); fingerprint == "" || fingerprint == f {
			v.backend.quarantine.Clear(now, i.Fingerprint)
			v.backend.log.Write(eventlog.QuarantineCleared, zap.String("fingerprint", f))
			n++
		}
	}
	return n
}

func formatFingerprint(f quarantine.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }
