package sidecar

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mustardmast"
	"mustardmast/core/admission"
	"mustardmast/core/closing"
	"mustardmast/core/lifetime"
	"mustardmast/core/pressure"
	"mustardmast/core/quarantine"
	"mustardmast/core/rejections"
	"mustardmast/core/retrybudget"
	"mustardmast/core/roster"
	"mustardmast/io/decisions"
	"mustardmast/io/eventlog"
	"mustardmast/io/fleet"
	"mustardmast/io/hostlink"
	"mustardmast/io/ingress"
	"mustardmast/io/localtarget"
	"mustardmast/io/logsink"
	"mustardmast/io/placement"
	"mustardmast/io/targetconn"
	"mustardmast/platform"
)

// settingsFile is the path of the platform's settings file.
type settingsFile string

// liveSettings holds the current settings; a reload replaces them.
type liveSettings struct {
	atomic.Pointer[platform.Settings]
}

func newSettings(f settingsFile) (platform.Settings, error) { return platform.LoadSettings(string(f)) }

func newLiveSettings(s platform.Settings) *liveSettings {
	l := &liveSettings{}
	l.Store(&s)
	return l
}

func newSink(set *metrics.Set) *logsink.Sink {
	s := logsink.New(os.Stdout)
	set.NewGauge("mustardmast_log_lines_dropped", func() float64 { return float64(s.Dropped()) })
	return s
}

func newLog(sink *logsink.Sink) *eventlog.Log {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	return eventlog.New(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), sink, zapcore.InfoLevel)))
}

func newTracker(s platform.Settings) *lifetime.Tracker { return lifetime.New(s.TargetAddress()) }

func newController(set *metrics.Set) *admission.Controller {
	c := admission.New()
	set.NewGauge("mustardmast_target_rate_limit", c.RateLimit)
	return c
}

func newPool(s platform.Settings, set *metrics.Set) *targetconn.Pool {
	return targetconn.New(s.TargetAddress().String(), platform.Headers(), set.NewCounter("mustardmast_target_connections_total").Inc)
}

func newPeerClient(s platform.Settings, r *roster.Roster, l *eventlog.Log) *hostlink.Client {
	return hostlink.NewClient(net.IP(s.IP().AsSlice()), func(address string) {
		if host, ok := r.HostAt(address); ok && r.MarkDown(time.Now(), host) {
			l.Write(eventlog.HostDown, zap.String("host", host), zap.String("reason", "it does not respond to a ping"))
		}
	})
}

func newRoster(s platform.Settings) *roster.Roster {
	self := roster.Record{
		Host: s.Host(), Address: netip.AddrPortFrom(s.IP(), s.PeerPort()).String(), FailureDomain: s.Domain(),
		Service: s.Service(), Started: time.Now().UnixMilli(),
	}
	return roster.New(self, rand.Uint64())
}

func newStore(s platform.Settings, set *metrics.Set) *platform.Store {
	return platform.NewStore(s.StoreAddress(), set.NewCounter("mustardmast_store_calls_total").Inc)
}

func newQuarantine(r *roster.Roster, set *metrics.Set) *quarantine.Quarantine {
	q := quarantine.New(r.Self().NodeID())
	set.NewGauge("mustardmast_suspect_fingerprints", func() float64 { return float64(q.Count(time.Now(), quarantine.Suspect)) })
	set.NewGauge("mustardmast_quarantined_fingerprints", func() float64 { return float64(q.Count(time.Now(), quarantine.Quarantined)) })
	return q
}

func newFleet(r *roster.Roster, link *hostlink.Client, s fleet.Store, t mustardmast.Timers, q *quarantine.Quarantine, l *eventlog.Log, set *metrics.Set) *fleet.Fleet {
	f := fleet.New(r, link, s, t, platform.DecodeDocument, q, l)
	set.NewGauge("mustardmast_store_era", func() float64 { return float64(f.StoreEra()) })
	set.NewGauge("mustardmast_host_entries_unreadable", func() float64 { return float64(f.UnreadableEntries()) })
	return f
}

func newRecorder(l *eventlog.Log, set *metrics.Set, f *fleet.Fleet, reporter *targetReporter) *decisions.Recorder {
	return decisions.New(l, set, f.FetchNewerConfig, f.HostDown, reporter.targetLost, reporter.targetLeaving)
}

func newExecutor(t *lifetime.Tracker, c *admission.Controller, p *targetconn.Pool, o *decisions.Recorder, f *fleet.Fleet,
	r *roster.Roster, q *quarantine.Quarantine,
) *localtarget.Executor {
	return localtarget.New(localtarget.Options{
		Tracker: t, Controller: c, Pool: p, Observer: o, Notice: platform.ParseNotice, Version: f.Version,
		Host: r.Self().Host, Node: r.Self().NodeID(), Quarantine: q, Notifier: f, Serving: r.Serving,
	})
}

func newRetryBudget(s platform.Settings) *retrybudget.Budget {
	ratio, slack, window := s.RetryBudget()
	return retrybudget.New(retrybudget.Spec{Ratio: ratio, Slack: slack, Window: window})
}

func newPlacer(r *roster.Roster, e *localtarget.Executor, link *hostlink.Client, b *retrybudget.Budget, l *pressure.Levels, o *decisions.Recorder, m *memory, set *metrics.Set) *placement.Placer {
	p := placement.New(r, e, link, b, l, o, m.payloads)
	set.NewGauge("mustardmast_replies_unbuffered_total", func() float64 { return float64(p.UnbufferedReplies()) })
	return p
}

func newIngress(s *liveSettings, f *fleet.Fleet, e *localtarget.Executor, p *placement.Placer, l *pressure.Levels,
	t *rejections.Tracker, g *closing.Gate, o *decisions.Recorder, reporter *targetReporter, m *memory,
) *ingress.Handler {
	return ingress.New(ingress.Options{
		Names: platform.Headers(), Host: s.Load().Host(), Service: func() string { return s.Load().Service() },
		Table: f.Table, Placer: p, Levels: l, Rejections: t, Executor: e, Observer: o, Draining: reporter.draining.Load, Closing: g, Buffers: m.payloads,
	})
}
