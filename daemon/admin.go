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

// alarms keeps the newest alarm about the configuration, for status reports.
type alarms struct {
	mu   sync.Mutex
	last string
}

func (a *alarms) raise(m rollout.Alarm) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = m.Kind.String() + ": " + m.Source.String() + " shows generation " + strconv.FormatUint(m.Seen.Generation, 10) +
		", kept " + strconv.FormatUint(m.Kept.Generation, 10)
}

func (a *alarms) text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last
}

// ports is the node as operators and the target on its host see it.
type ports struct {
	self       mustardmast.Member
	timers     *tick.Service
	control    *control.Control
	configs    *node.Configs
	node       *node.Node
	quarantine *quarantine.Quarantine
	alarms     *alarms
	log        *eventlog.Log
}

func newPorts(
	self mustardmast.Member, t *tick.Service, c *control.Control, configs *node.Configs, n *node.Node,
	q *quarantine.Quarantine, a *alarms, l *eventlog.Log,
) *ports {
	return &ports{self: self, timers: t, control: c, configs: configs, node: n, quarantine: q, alarms: a, log: l}
}

func newAdmin(p *ports, set *metrics.Set) http.Handler {
	p.register(set)
	return operator.New(p.timers, operator.Ports{
		Status: p, Drain: p, Explain: p, Quarantine: quarantineView{p}, Targets: p, Readiness: p, Metrics: set,
	})
}

// Status implements operator.StatusSource.
func (p *ports) Status(now time.Time) operator.Status {
	s := operator.Status{
		Name: p.self.Name, ID: p.self.ID, FailureDomain: p.self.FailureDomain, Region: p.self.Region,
		Generation: p.control.Version().Generation, Alarm: p.alarms.text(), Load: p.node.Load(now),
	}
	c, _, _ := p.configs.Current()
	for _, sv := range c.Services() {
		v := operator.ServiceStatus{Name: sv.Name, Members: map[mustardmast.MemberState]int{}}
		for _, m := range p.control.Members().Serving(sv.Name) {
			v.Members[m.State]++
		}
		s.Services = append(s.Services, v)
	}
	for prio := range call.Priority(call.NumPriorities) {
		for _, b := range append(c.Backers(), config.Backer{Name: otherBackers}) {
			if l := p.node.LevelFor(now, prio, b.Name); l < mustardmast.FullLevel {
				s.Levels = append(s.Levels, operator.LevelStatus{Priority: prio.String(), Backer: b.Name, Level: l})
			}
		}
	}
	for _, i := range p.quarantine.List(now) {
		if i.State == quarantine.Quarantined {
			s.Quarantined++
		}
	}
	_, err := p.node.LocalTarget().Ready(now)
	s.Draining = fault.KindOf(err) == fault.Draining
	return s
}

// otherBackers stands in status reports for all backers without an entry in the configuration. It is no valid name of a
// backer, so it has the level of those.
const otherBackers = "(others)"

// Drain implements operator.Drainer.
func (p *ports) Drain(context.Context) error {
	p.node.LocalTarget().Drain(p.timers.Now())
	return nil
}

// Explain implements operator.Explainer.
func (p *ports) Explain(id string) (operator.Explanation, bool) {
	steps := p.node.Steps(id)
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
func (p *ports) Announce(now time.Time, a operator.Announcement) error {
	if c, _, ok := p.configs.Current(); ok {
		if _, known := c.Service(a.Service); !known {
			return fault.Newf(fault.UnknownService, "service %q is not in the configuration", a.Service)
		}
	}
	p.node.LocalTarget().Announce(now, target.Announcement{
		Address: a.Address, Service: a.Service, Slots: int(a.Slots), Connections: int(a.Connections),
		HealthPath: a.HealthPath, LoadPath: a.LoadPath, Draining: a.Draining,
	})
	return nil
}

// Ready implements operator.Readiness.
func (p *ports) Ready() (bool, string) {
	now := p.timers.Now()
	if !p.control.Ready(now) {
		return false, "no configuration yet"
	}
	if _, err := p.node.LocalTarget().Ready(now); err != nil {
		return false, err.Error()
	}
	return true, ""
}

// quarantineView is the quarantine as operators see it.
type quarantineView struct{ p *ports }

// Entries implements operator.Quarantine.
func (v quarantineView) Entries(now time.Time) []operator.Quarantined {
	var l []operator.Quarantined
	for _, i := range v.p.quarantine.List(now) {
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
	for _, i := range v.p.quarantine.List(now) {
		if f := formatFingerprint(i.Fingerprint); fingerprint == "" || fingerprint == f {
			v.p.quarantine.Clear(now, i.Fingerprint)
			v.p.log.Write(eventlog.QuarantineCleared, zap.String("fingerprint", f))
			n++
		}
	}
	return n
}

func formatFingerprint(f quarantine.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }
