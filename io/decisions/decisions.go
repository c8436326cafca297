// Package decisions logs and counts what a node decides about requests.
//
// A failed request is logged with the inputs of each decision that led to it. Requests that are served are logged too,
// but fewer of them under load: each kind of line has a rate of its own, and what goes beyond it is only counted.
package decisions

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/admission"
	"mustardmast/core/fault"
	"mustardmast/core/lifetime"
	"mustardmast/io/eventlog"
	"mustardmast/io/placement"
	"mustardmast/io/telemetry"
)

const (
	servedPerSecond = 20  // lines for requests that were served
	failedPerSecond = 150 // lines of each kind for requests that were not
)

// rejected stands in the place of an error kind for requests that no route or limit allows.
const rejected = "rejected"

// limiter lets a number of lines pass in each second.
type limiter struct {
	mu     sync.Mutex
	second int64
	passed int
}

func (l *limiter) allow(now time.Time, most int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.passed = s, 0
	}
	l.passed++
	return l.passed <= most
}

// Recorder logs and counts decisions. Its methods may be called concurrently and do not block.
type Recorder struct {
	log      *eventlog.Log
	set      *metrics.Set
	behind   func(host string, version uint64)
	hostDown func(host string, err error)
	lost     func(id string, err error)

	answered, failed, rejected, offered, served, turned, ended, panicked, library limiter

	latency, wait, run           *metrics.PrometheusHistogram
	limited                      *metrics.Counter
	offers, turnedAway, failures byKind
	answers                      sync.Map // answer to *metrics.Counter
}

// answer is what requests are counted by.
type answer struct {
	status int
	error  string
}

// requests returns the counter of the requests that ended so. It is kept, because to make up its name costs more than to
// count.
func (r *Recorder) requests(status int, errorName string) *metrics.Counter {
	k := answer{status, errorName}
	if c, ok := r.answers.Load(k); ok {
		return c.(*metrics.Counter)
	}
	c := r.set.GetOrCreateCounter(fmt.Sprintf("mustardmast_requests_total{status=%q,error=%q}", strconv.Itoa(status), errorName))
	r.answers.Store(k, c)
	return c
}

// byKind holds a counter for each kind of error.
type byKind map[fault.Kind]*metrics.Counter

func newByKind(counter func(fault.Kind) *metrics.Counter) byKind {
	k := byKind{fault.None: counter(fault.None)}
	for _, e := range fault.Kinds() {
		k[e] = counter(e)
	}
	return k
}

func (k byKind) of(err error) *metrics.Counter { return k[fault.KindOf(err)] }

// New returns a recorder that counts in set. Behind is called when another host has a later configuration, hostDown
// when a host cannot be reached any more, and lost when the own target accepts no connections.
func New(l *eventlog.Log, set *metrics.Set, behind func(string, uint64), hostDown, lost func(string, error)) *Recorder {
	return &Recorder{
		log: l, set: set, behind: behind, hostDown: hostDown, lost: lost,
		latency: set.NewPrometheusHistogramExt("mustardmast_request_duration_seconds", telemetry.LatencyBuckets),
		wait:    set.NewPrometheusHistogramExt("mustardmast_slot_wait_seconds", telemetry.LatencyBuckets),
		run:     set.NewPrometheusHistogramExt("mustardmast_target_duration_seconds", telemetry.LatencyBuckets),
		limited: set.NewCounter("mustardmast_log_lines_limited_total"),
		offers: newByKind(func(k fault.Kind) *metrics.Counter {
			return set.NewCounter(fmt.Sprintf("mustardmast_offers_total{error=%q}", k))
		}),
		turnedAway: newByKind(func(k fault.Kind) *metrics.Counter {
			return set.NewCounter(fmt.Sprintf("mustardmast_turned_away_total{error=%q}", k))
		}),
		failures: newByKind(func(k fault.Kind) *metrics.Counter {
			return set.NewCounter(fmt.Sprintf("mustardmast_target_failures_total{error=%q}", k))
		}),
	}
}

// writes reports whether a line may be written. What is not is counted. The fields of a line are made only then, because
// under load most lines are not written.
func (r *Recorder) writes(l *limiter, most int) bool {
	if l.allow(time.Now(), most) {
		return true
	}
	r.limited.Inc()
	return false
}

func call(c *mustardmast.TargetCall) []zap.Field {
	return []zap.Field{zap.String("request", c.ID), zap.String("route", c.Route), zap.String("service", c.Service), zap.Uint64("version", c.Version)}
}

// RequestCompleted implements ingress.Observer.
func (r *Recorder) RequestCompleted(c *mustardmast.TargetCall, status int, err error, took time.Duration) {
	r.latency.Update(took.Seconds())
	r.requests(status, fault.KindOf(err).String()).Inc()
	l, most, event := &r.failed, failedPerSecond, eventlog.RequestFailed
	if err == nil && status < http.StatusInternalServerError {
		l, most, event = &r.answered, servedPerSecond, eventlog.RequestAnswered
	}
	if r.writes(l, most) {
		r.log.Write(event, append(call(c), zap.Int("status", status), zap.Duration("took", took), zap.Bool("inner", c.SubCall),
			zap.Bool("returned", c.CallerRetry), zap.Int("priority", c.Priority), zap.Duration("hold", c.MaxWait), zap.NamedError("reason", err))...)
	}
}

// RequestRejected implements ingress.Observer.
func (r *Recorder) RequestRejected(id, host, path string, status int, reason string, version uint64) {
	r.requests(status, rejected).Inc()
	if r.writes(&r.rejected, failedPerSecond) {
		r.log.Write(eventlog.RequestRejected, zap.String("request", id), zap.String("host", host), zap.String("path", path),
			zap.Int("status", status), zap.String("reason", reason), zap.Uint64("version", version))
	}
}

// Panicked implements ingress.Observer.
func (r *Recorder) Panicked(id string, cause any) {
	r.requests(0, fault.Internal.String()).Inc()
	if r.writes(&r.panicked, servedPerSecond) {
		r.log.Write(eventlog.HandlerPanicked, zap.String("request", id), zap.Any("cause", cause), zap.Stack("stack"))
	}
}

// Write implements io.Writer for what libraries log by themselves. It never fails.
func (r *Recorder) Write(line []byte) (int, error) {
	if r.writes(&r.library, servedPerSecond) {
		r.log.Write(eventlog.LibraryMessage, zap.ByteString("message", bytes.TrimSpace(line)))
	}
	return len(line), nil
}

// Offered implements placement.Observer.
func (r *Recorder) Offered(c *mustardmast.TargetCall, o placement.Offer) {
	r.offers.of(o.Err).Inc()
	l, most := &r.offered, failedPerSecond
	if o.Err == nil && o.Status < http.StatusInternalServerError {
		l, most = &r.served, servedPerSecond
	}
	if !r.writes(l, most) {
		return
	}
	r.log.Write(eventlog.CallOffered, append(call(c), zap.String("to", o.Host), zap.Int("offer", o.Number), zap.Int("status", o.Status),
		zap.Duration("took", o.Took), zap.Duration("left", time.Until(c.Deadline)), zap.Int("known-running", o.Report.Running),
		zap.Int("known-waiting", o.Report.Waiting), zap.Int("known-limit", o.Report.Limit), zap.Duration("known-age", o.Age),
		zap.NamedError("reason", o.Err))...)
}

// HostDown implements placement.Observer.
func (r *Recorder) HostDown(host string, err error) { r.hostDown(host, err) }

// NewerConfig implements placement.Observer.
func (r *Recorder) NewerConfig(host string, version uint64) { r.behind(host, version) }

// CallRejected implements localtarget.Observer.
func (r *Recorder) CallRejected(c *mustardmast.TargetCall, err error, i admission.Report, t lifetime.Target) {
	r.turnedAway.of(err).Inc()
	if !r.writes(&r.turned, failedPerSecond) {
		return
	}
	r.log.Write(eventlog.CallNotStarted, append(call(c), zap.String("from", c.EntryHost), zap.Int("running", i.Running),
		zap.Int("waiting", i.Waiting), zap.Int("limit", i.Limit), zap.Duration("mean-run", i.ServiceTime), zap.Float64("level", i.Level),
		zap.Duration("hold", c.MaxWait), zap.String("target", t.ID), zap.Stringer("state", t.State), zap.NamedError("reason", err))...)
}

// CallCompleted implements localtarget.Observer.
func (r *Recorder) CallCompleted(c *mustardmast.TargetCall, waited, took time.Duration, err error, t lifetime.Target) {
	r.wait.Update(waited.Seconds())
	r.run.Update(took.Seconds())
	if err == nil {
		return
	}
	r.failures.of(err).Inc()
	if !r.writes(&r.ended, failedPerSecond) {
		return
	}
	r.log.Write(eventlog.CallEnded, append(call(c), zap.String("from", c.EntryHost), zap.String("target", t.ID),
		zap.Duration("waited", waited), zap.Duration("took", took), zap.NamedError("reason", err))...)
}

// TargetLost implements localtarget.Observer.
func (r *Recorder) TargetLost(id string, err error) { r.lost(id, err) }
