// Package sidecar runs a node on the platform as a process of its own.
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
	"mustardmast/core/closing"
	"mustardmast/core/lifetime"
	"mustardmast/io/announce"
	"mustardmast/io/decisions"
	"mustardmast/io/eventlog"
	"mustardmast/io/fleet"
	"mustardmast/io/hostlink"
	"mustardmast/io/httpdrain"
	"mustardmast/io/ingress"
	"mustardmast/io/localtarget"
	"mustardmast/io/logsink"
	"mustardmast/io/targetconn"
	"mustardmast/platform"
)

const (
	headerTimeout  = 10 * time.Second // clients have shorter limits of their own
	idleTimeout    = 90 * time.Second // clients reuse connections that have been idle for some seconds
	maxHeaderBytes = 64 << 10
	// heapFraction is the fraction of the process's memory limit that is set as the soft memory limit of the Go runtime.
	heapFraction = 0.5
	// gcPercent is the percentage by which the heap grows between two collections. It is not raised above the runtime's
	// default, because memory is billed.
	gcPercent = 100
	// noticePeriod is the time until clients use other nodes: the platform checks readiness once a second, and considers
	// a node not ready after two failed checks.
	noticePeriod = 2500 * time.Millisecond
	// exitReserve is the time before the end of the grace period at which the process ends, and abandonReserve the time
	// before that in which the requests that have not ended by then are answered.
	exitReserve       = 300 * time.Millisecond
	abandonReserve    = 200 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// probeInterval is the time between two requests to the target's health path, and configPollInterval between two
	// checks whether the configuration, which names the path, has been installed.
	probeInterval      = 700 * time.Millisecond
	configPollInterval = 50 * time.Millisecond
	probeTimeout       = 500 * time.Millisecond
)

// Sidecar is one node process.
type Sidecar struct {
	path       settingsFile
	settings   *liveSettings
	tracker    *lifetime.Tracker
	controller *admission.Controller
	pool       *targetconn.Pool
	executor   *localtarget.Executor
	ingress    *ingress.Handler
	fleet      *fleet.Fleet
	reporter   *targetReporter
	set        *metrics.Set
	log        *eventlog.Log
	sink       *logsink.Sink
	probes     *metrics.Counter
	recorder   *decisions.Recorder
	gate       *closing.Gate
	inlets     *inlets
}

// server serves the connections of a listener.
type server interface {
	Serve(l net.Listener) error
	Close() error
}

// New returns a sidecar with the settings in the file at path. It does not listen before Run.
func New(path string) (*Sidecar, error) { return build(settingsFile(path)) }

func newSidecar(path settingsFile, s *liveSettings, t *lifetime.Tracker, c *admission.Controller, p *targetconn.Pool, e *localtarget.Executor,
	h *ingress.Handler, f *fleet.Fleet, tr *targetReporter, set *metrics.Set, l *eventlog.Log, sink *logsink.Sink,
	r *decisions.Recorder, g *closing.Gate, in *inlets,
) *Sidecar {
	return &Sidecar{
		path: path, settings: s, tracker: t, controller: c, pool: p, executor: e, ingress: h, fleet: f, reporter: tr, set: set, log: l, sink: sink,
		probes: set.NewCounter("mustardmast_probes_total"), recorder: r, gate: g, inlets: in,
	}
}

// LibraryLog returns a writer that passes the log output of libraries to the log of the node.
func (s *Sidecar) LibraryLog() io.Writer { return s.recorder }

// Run serves until ctx ends and then makes a planned stop. A value on reload makes it read the settings file again. Run
// returns an error only if it cannot listen on one of its addresses.
func (s *Sidecar) Run(ctx context.Context, reload <-chan os.Signal) error {
	current := s.settings.Load()
	debug.SetMemoryLimit(int64(heapFraction * float64(current.MemoryBytes())))
	debug.SetGCPercent(gcPercent)
	peerAddress := netip.AddrPortFrom(current.IP(), current.PeerPort())
	in := s.inlets
	callers := httpdrain.New(newHTTPServer(in.callers, s.ingress))
	servers := []struct {
		name    string
		address netip.AddrPort
		server  server
	}{
		{"callers", current.CallerAddress(), inletServer{callers, in.callers}},
		{"peers", peerAddress, inletServer{hostlink.NewServer(s.executor, s.fleet), in.peers}},
		{"announcements", current.AnnouncementAddress(), inletServer{newHTTPServer(in.announcements, s.announcements()), in.announcements}},
		{"readiness", current.ReadinessAddress(), inletServer{newHTTPServer(in.readiness, http.HandlerFunc(s.readiness)), in.readiness}},
		{"metrics", netip.AddrPortFrom(current.IP(), current.MetricsPort()), inletServer{newHTTPServer(in.metrics, http.HandlerFunc(s.metrics)), in.metrics}},
	}
	for _, srv := range servers {
		l, err := net.Listen("tcp", srv.address.String())
		if err != nil {
			return errors.Wrap(err, srv.name)
		}
		go func() {
			if err := srv.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				s.log.Write(eventlog.ServerFailed, zap.String("server", srv.name), zap.Error(err))
			}
		}()
	}
	s.log.Write(eventlog.Started, zap.String("host", current.Host()), zap.String("service", current.Service()), zap.String("failure-domain", current.Domain()),
		zap.Stringer("peer-address", peerAddress))
	s.fleet.Start()
	go s.awaitTarget(ctx)
	for {
		select {
		case <-reload:
			s.reload()
		case <-ctx.Done():
			s.stop(callers)
			for _, srv := range servers {
				_ = srv.server.Close() // no request is in progress any more
			}
			return nil
		}
	}
}

// abandonRequests answers the requests that have not ended by the end of a planned stop, so that no caller is left with
// a closed connection.
func (s *Sidecar) abandonRequests(callers *httpdrain.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonReserve)
	defer cancel()
	s.ingress.Abandon()
	if err := callers.Shutdown(ctx); err != nil {
		s.log.Write(eventlog.DrainTimedOut, zap.Int64("requests", s.ingress.Active()), zap.Error(err))
	}
}

// awaitTarget requests the lifetime of the target from its health path until the target is known. Without it, a node
// that is restarted beside a running target could not serve before the target's next heartbeat.
func (s *Sidecar) awaitTarget(ctx context.Context) {
	for ctx.Err() == nil && s.tracker.Target().State == lifetime.Absent {
		delay := configPollInterval
		if s.fleet.Table() != nil {
			s.probe(ctx)
			delay = probeInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

func (s *Sidecar) probe(ctx context.Context) {
	service := s.settings.Load().Service()
	config, ok := s.fleet.Table().Service(service)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s.probes.Inc()
	sent := time.Now()
	h, err := s.pool.Probe(ctx, config.HealthPath)
	id := h.Get(platform.Headers().Lifetime)
	if n, _ := platform.ParseNotice(h); n.Leaving { // a malformed limit does not matter here
		s.log.Write(eventlog.TargetNotReady, zap.String("target", id), zap.String("service", service), zap.String("reason", "its health response states that it is shutting down"))
		if s.tracker.MarkLeaving(sent, lifetime.Target{ID: id, Assumed: true}) {
			s.reporter.targetLeaving(id)
		}
		return
	}
	if err != nil {
		s.log.Write(eventlog.TargetNotReady, zap.String("service", service), zap.Error(err))
		return
	}
	load, ok := platform.ParseLoad(h)
	if ok && s.tracker.Assume(id, service, load.Slots) {
		s.controller.TargetReplaced()
		s.controller.SetSlots(time.Now(), load.Slots)
		t := s.tracker.Target()
		s.log.Write(eventlog.TargetReady, zap.String("target", t.ID), zap.String("service", t.Service), zap.Int("slots", t.Slots), zap.String("from", "health"))
		s.reporter.targetChanged(t)
	}
}

func (s *Sidecar) announcements() http.Handler {
	known := func(service string) bool {
		table := s.fleet.Table()
		if table == nil {
			return true // no request is served before a configuration is installed
		}
		_, ok := table.Service(service)
		return ok
	}
	chain := negroni.New(negroni.NewRecovery())
	chain.UseHandler(announce.New(platform.AnnouncementDecoder{}, s.tracker, s.controller, s.pool, known, s.reporter.targetChanged, s.log))
	return chain
}

// readiness serves the platform's readiness check, and the metrics at /metrics.
func (s *Sidecar) readiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadinessPath:
		s.metrics(w, r)
	case s.reporter.draining.Load() || !s.fleet.Ready():
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

// reload reads the settings file again. Addresses keep their values from the start; the service of the host may change.
func (s *Sidecar) reload() {
	next, err := newSettings(s.path)
	if err != nil {
		s.log.Write(eventlog.SettingsRejected, zap.Error(err))
		return
	}
	s.settings.Store(&next)
	s.log.Write(eventlog.SettingsReloaded, zap.String("service", next.Service()))
}

// stop makes a planned stop: it lets other nodes and clients use other hosts and waits for the requests in progress, at
// most until the end of the grace period.
func (s *Sidecar) stop(callers *httpdrain.Server) {
	start := time.Now()
	deadline := start.Add(s.settings.Load().GracePeriod() - exitReserve - abandonReserve)
	notice := min(noticePeriod, s.settings.Load().GracePeriod()/2)
	s.gate.Close(start.Add(notice), deadline)
	s.reporter.draining.Store(true)
	s.executor.Drain()
	s.log.Write(eventlog.Stopping, zap.Int64("requests", s.ingress.Active()), zap.Int64("calls", s.executor.Active()))
	targetState := s.tracker.Target().State
	peersNotified := make(chan struct{})
	go func() {
		defer close(peersNotified)
		s.fleet.Leave(targetState == lifetime.Gone || targetState == lifetime.Draining)
	}()
	for now := start; now.Before(deadline); now = time.Now() {
		if now.Sub(start) > notice && s.ingress.Active() == 0 && s.executor.Active() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		s.log.Write(eventlog.DrainTimedOut, zap.Int64("requests", s.ingress.Active()), zap.Int64("calls", s.executor.Active()), zap.Error(err))
		s.abandonRequests(callers)
	}
	select {
	case <-peersNotified:
	case <-ctx.Done():
	}
	s.fleet.Stop()
	s.log.Write(eventlog.Stopped, zap.Duration("took", time.Since(start)))
	_ = s.sink.Sync() // it never returns an error
}
