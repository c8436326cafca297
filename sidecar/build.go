package sidecar

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mustardmast/core/allowance"
	"mustardmast/core/intake"
	"mustardmast/core/lifetime"
	"mustardmast/core/pressure"
	"mustardmast/core/returning"
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
	"mustardmast/io/tick"
	"mustardmast/platform"
)

// New returns a sidecar with the settings of a file. It does not listen yet.
func New(path string) (*Sidecar, error) {
	conf, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	names := platform.Headers()
	s := &Sidecar{path: path, timers: tick.New(), set: metrics.NewSet(), sink: logsink.New(os.Stdout)}
	s.settings.Store(&conf)
	s.log = newLog(s.sink)
	s.set.NewGauge("mustardmast_log_lines_dropped", func() float64 { return float64(s.sink.Dropped()) })
	s.probes = s.set.NewCounter("mustardmast_probes_total")
	dials := s.set.NewCounter("mustardmast_target_connections_total")
	calls := s.set.NewCounter("mustardmast_store_calls_total")

	s.tracker = lifetime.New(conf.Target())
	s.intake = intake.New()
	s.pool = targetconn.New(conf.Target().String(), names, dials.Inc)
	s.link = hostlink.NewClient(net.IP(conf.IP().AsSlice()))
	self := roster.Record{
		Host: conf.Host(), Address: netip.AddrPortFrom(conf.IP(), conf.PeerPort()).String(), Domain: conf.Domain(),
		Service: conf.Service(), Started: time.Now().UnixMilli(),
	}
	hosts := roster.New(self, rand.Uint64())
	s.fleet = fleet.New(hosts, s.link, platform.NewStore(conf.Store(), calls.Inc), s.timers, platform.DecodeDocument, s.log)
	recorder := decisions.New(s.log, s.set, s.fleet.Behind, s.fleet.HostDown, s.targetLost)
	levels := pressure.New()
	s.executor = localtarget.New(s.tracker, s.intake, s.pool, recorder, s.fleet.Version)
	ratio, slack, window := conf.Budget()
	spent := allowance.New(allowance.Spec{Ratio: ratio, Slack: slack, Window: window})
	s.ingress = ingress.New(ingress.Parts{
		Names: names, Host: conf.Host(), Runs: s.executor,
		Service: func() string { return s.settings.Load().Service() },
		Table:   s.fleet.Table, Levels: levels, Callers: returning.New(), Observer: recorder, Leaving: s.leaving.Load,
		Placer: placement.New(hosts, s.executor, s.link, spent, levels, recorder),
	})
	return s, nil
}

func newLog(sink *logsink.Sink) *eventlog.Log {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	return eventlog.New(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), sink, zapcore.InfoLevel)))
}
