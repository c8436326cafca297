// Package sidecar is a node on the users' platform as one process.
package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/urfave/negroni/v3"
	"go.uber.org/zap"

	"mustardmast/core/admission"
	"mustardmast/core/lifetime"
	"mustardmast/io/announce"
	"mustardmast/io/decisions"
	"mustardmast/io/eventlog"
	"mustardmast/io/fleet"
	"mustardmast/io/hostlink"
	"mustardmast/io/ingress"
	"mustardmast/io/localtarget"
	"mustardmast/io/logsink"
	"mustardmast/io/targetconn"
	"mustardmast/platform"
)

const (
	headerTimeout = 10 * time.Second // callers keep to shorter limits of their own
	idleTimeout   = 90 * time.Second // callers reuse connections that have been idle for some seconds
	headerBytes   = 64 << 10
	// memoryPart is the part of the process's memory that the garbage collector may let the heap grow to.
	memoryPart = 0.5
	// heapGrowth is the percentage by which the heap grows between two collections. Memory is billed.
	heapGrowth = 100
	// noticePeriod is the time until clients go elsewhere: the platform asks once a second, and two misses count. Those
	// that come later are turned away, so that their requests have not begun when the process ends.
	noticePeriod = 2500 * time.Millisecond
	// lastAnswers is left before the end of the grace period for answers that are under way.
	lastAnswers = 300 * time.Millisecond
	stopPoll    = 50 * time.Millisecond
	// probePause is between two questions to the target's health path, and configPause between two looks for the
	// configuration that names the path.
	probePause   = 700 * time.Millisecond
	configPause  = 50 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// Sidecar is one node process.
type Sidecar struct {
	path     settingsFile
	settings *liveSettings
	tracker  *lifetime.Tracker
	intake   *admission.Controller
	pool     *targetconn.Pool
	executor *localtarget.Executor
	ingress  *ingress.Handler
	fleet    *fleet.Fleet
	news     *targetNews
	set      *metrics.Set
	log      *eventlog.Log
	sink     *logsink.Sink
	probes   *metrics.Counter
	recorder *decisions.Recorder
}

// server is a listener's protocol.
type server interface {
	Serve(l net.Listener) error
	Close() error
}

// New returns a sidecar with the settings of a file. It does not listen yet.
func New(path string) (*Sidecar, error) { return build(settingsFile(path)) }

func newSidecar(path settingsFile, s *liveSettings, t *lifetime.Tracker, i *admission.Controller, p *targetconn.Pool, e *localtarget.Executor,
	h *ingress.Handler, f *fleet.Fleet, n *targetNews, set *metrics.Set, l *eventlog.Log, sink *logsink.Sink,
	r *decisions.Recorder,
) *Sidecar {
	return &Sidecar{
		path: path, settings: s, tracker: t, intake: i, pool: p, executor: e, ingress: h, fleet: f, news: n, set: set, log: l, sink: sink,
		probes: set.NewCounter("mustardmast_probes_total"), recorder: r,
	}
}

// LibraryLog takes what libraries log by themselves into the log of the node.
func (s *Sidecar) LibraryLog() io.Writer { return s.recorder }

// Run serves until ctx ends and then makes a planned stop. Reload is sent a value when the settings file has changed.
func (s *Sidecar) Run(ctx context.Context, reload <-chan os.Signal) error {
	conf := s.settings.Load()
	debug.SetMemoryLimit(int64(memoryPart * float64(conf.MemoryBytes())))
	debug.SetGCPercent(heapGrowth)
	peerAddress := netip.AddrPortFrom(conf.IP(), conf.PeerPort())
	callers := newCallers(s.ingress)
	servers := []struct {
		name    string
		address netip.AddrPort
		server  server
	}{
		{"callers", conf.CallerAddress(), callers},
		{"peers", peerAddress, hostlink.NewServer(s.executor, s.fleet)},
		{"announcements", conf.AnnouncementAddress(), plainServer(s.announcements())},
		{"readiness", conf.ReadinessAddress(), plainServer(http.HandlerFunc(s.readiness))},
		{"metrics", netip.AddrPortFrom(conf.IP(), conf.MetricsPort()), plainServer(http.HandlerFunc(s.metrics))},
	}
	for _, v := range servers {
		l, err := net.Listen("tcp", v.address.String())
		if err != nil {
			return errors.Wrap(err, v.name)
		}
		go func() {
			if err := v.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				s.log.Write(eventlog.ServerFailed, zap.String("server", v.name), zap.Error(err))
			}
		}()
	}
	s.log.Write(eventlog.Started, zap.String("host", conf.Host()), zap.String("service", conf.Service()), zap.String("failure-domain", conf.Domain()),
		zap.Stringer("peer-address", peerAddress))
	s.fleet.Start()
	go s.meet(ctx)
	for {
		select {
		case <-reload:
			s.reload()
		case <-ctx.Done():
			s.stop(callers)
			for _, v := range servers {
				_ = v.server.Close() // nothing is under way any more
			}
			return nil
		}
	}
}

func plainServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes}
}

// meet asks the target for its lifetime until an announcement has come, so that a node that was restarted beside a
// target that lives on serves at once.
func (s *Sidecar) meet(ctx context.Context) {
	for ctx.Err() == nil && s.tracker.Target().State == lifetime.Absent {
		pause := configPause
		if s.fleet.Table() != nil {
			s.probe(ctx)
			pause = probePause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (s *Sidecar) probe(ctx context.Context) {
	service := s.settings.Load().Service()
	v, ok := s.fleet.Table().Service(service)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s.probes.Inc()
	h, err := s.pool.Probe(ctx, v.HealthPath)
	if err != nil {
		s.log.Write(eventlog.TargetNotReady, zap.String("service", service), zap.Error(err))
		return
	}
	load, ok := platform.ParseLoad(h)
	if ok && s.tracker.Assume(h.Get(platform.Headers().Lifetime), service, load.Slots) {
		s.intake.SetSlots(time.Now(), load.Slots)
		t := s.tracker.Target()
		s.log.Write(eventlog.TargetReady, zap.String("target", t.ID), zap.String("service", t.Service), zap.Int("slots", t.Slots), zap.String("from", "health"))
		s.news.changed(t)
	}
}

func (s *Sidecar) announcements() http.Handler {
	known := func(service string) bool {
		table := s.fleet.Table()
		if table == nil {
			return true // nothing is served before the configuration is known
		}
		_, ok := table.Service(service)
		return ok
	}
	n := negroni.New(negroni.NewRecovery())
	n.UseHandler(announce.New(platform.AnnouncementDecoder{}, s.tracker, s.intake, s.pool, known, s.news.changed, s.log))
	return n
}

func (s *Sidecar) readiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadinessPath:
		s.metrics(w, r)
	case s.news.leaving.Load() || !s.fleet.Ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Sidecar) metrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		http.NotFound(w, r)
		return
	}
	s.set.WritePrometheus(w)
}

// reload reads the settings again. Addresses stay as they were at the start; the service of the host may change.
func (s *Sidecar) reload() {
	next, err := newSettings(s.path)
	if err != nil {
		s.log.Write(eventlog.SettingsRejected, zap.Error(err))
		return
	}
	s.settings.Store(&next)
	s.log.Write(eventlog.SettingsReloaded, zap.String("service", next.Service()))
}

// stop is a planned stop: other nodes and clients go elsewhere, and what is under way ends first.
func (s *Sidecar) stop(c *callers) {
	began := time.Now()
	end := began.Add(s.settings.Load().GracePeriod() - lastAnswers)
	s.news.leaving.Store(true)
	s.executor.Drain()
	s.log.Write(eventlog.Stopping, zap.Int64("requests", s.ingress.Active()), zap.Int64("calls", s.executor.Active()))
	notice := min(noticePeriod, s.settings.Load().GracePeriod()/2)
	state := s.tracker.Target().State
	told := make(chan struct{})
	go func() {
		defer close(told)
		s.fleet.Leave(state == lifetime.Gone || state == lifetime.Draining)
	}()
	for now := began; now.Before(end); now = time.Now() {
		s.news.closing.Store(now.Sub(began) > notice)
		if now.Sub(began) > notice && s.ingress.Active() == 0 && s.executor.Active() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := c.shutdown(ctx); err != nil {
		s.log.Write(eventlog.DrainTimedOut, zap.Int64("requests", s.ingress.Active()), zap.Int64("calls", s.executor.Active()), zap.Error(err))
	}
	select {
	case <-told:
	case <-ctx.Done():
	}
	s.fleet.Stop()
	s.log.Write(eventlog.Stopped, zap.Duration("took", time.Since(began)))
	_ = s.sink.Sync() // it never fails
}
