// Package decisions logs and counts the decisions of a node about requests.
//
// A failed request is logged with the inputs of each decision that led to the failure. Successful requests are logged
// too, at a lower maximum rate. Each kind of log line has its own rate limit; lines beyond it are only counted.
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
	"mustardmast/core/quarantine"
	"mustardmast/io/eventlog"
	"mustardmast/io/placement"
	"mustardmast/io/telemetry"
)

const (
	maxServedLinesPerSecond = 20  // maximum rate of each kind of line for requests that succeeded
	maxFailedLinesPerSecond = 150 // maximum rate of each kind of line for requests that failed
)

// rejected is the value of the label error for requests that match no route or exceed a limit.
const rejected = "rejected"

// lineLimiter limits the number of lines in each second of the clock.
type lineLimiter struct {
	mu     sync.Mutex
	second int64
	count  int
}

func (l *lineLimiter) allow(now time.Time, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.count = s, 0
	}
	l.count++
	return l.count <= limit
}

// Recorder logs and counts decisions. Its methods may be called concurrently and do not block.
type Recorder struct {
	log         *eventlog.Log
	set         *metrics.Set
	newerConfig func(host string, version uint64)
	hostDown    func(host string, err error)
	targetLost  func(id string, err error)
	leaving     func(id string)

	answered, failed, rejected, offered, served, callsRejected, ended, panicked, library, notices lineLimiter

	latency, wait, run               *metrics.PrometheusHistogram
	linesLimited                     *metrics.Counter
	offers, callRejections, failures countersByKind
	requestCounters                  sync.Map // requestResult to *metrics.Counter
}

// requestResult holds the labels by which requests are counted.
type requestResult struct {
	status int
	error  string
}

// requestCounter returns the counter of the requests with the given result. Counters are cached, because formatting
// their name costs more than counting.
func (r *Recorder) requestCounter(status int, errorName string) *metrics.Counter {
	result := requestResult{status, errorName}
	if c, ok := r.requestCounters.Load(result); ok {
		return c.(*metrics.Counter)
	}
	c := r.set.GetOrCreateCounter(fmt.Sprintf("mustardmast_requests_total{status=%q,error=%q}", strconv.Itoa(status), errorName))
	r.requestCounters.Store(result, c)
	return c
}

// countersByKind holds a counter for each error kind, including fault.None.
type countersByKind map[fault.Kind]*metrics.Counter

func newCountersByKind(counter func(fault.Kind) *metrics.Counter) countersByKind {
	counters := countersByKind{fault.None: counter(fault.None)}
	for _, kind := range fault.Kinds() {
		counters[kind] = counter(kind)
	}
	return counters
}

func (k countersByKind) of(err error) *metrics.Counter { return k[fault.KindOf(err)] }

// New returns a recorder that counts in set. NewerConfig is called when another host has a newer configuration,
// hostDown when a host can no longer be reached, targetLost when the target on this host accepts no connections or has
// been replaced, and leaving when the target has stated that it is shutting down.
func New(l *eventlog.Log, set *metrics.Set, newerConfig func(string, uint64), hostDown, targetLost func(string, error), leaving func(string)) *Recorder {
	return &Recorder{
		log: l, set: set, newerConfig: newerConfig, hostDown: hostDown, targetLost: targetLost, leaving: leaving,
		latency:      set.NewPrometheusHistogramExt("mustardmast_request_duration_seconds", telemetry.LatencyBuckets),
		wait:         set.NewPrometheusHistogramExt("mustardmast_slot_wait_seconds", telemetry.LatencyBuckets),
		run:          set.NewPrometheusHistogramExt("mustardmast_target_duration_seconds", telemetry.LatencyBuckets),
		linesLimited: set.NewCounter("mustardmast_log_lines_limited_total"),
		offers: newCountersByKind(func(k fault.Kind) *metrics.Counter {
			return set.NewCounter(fmt.Sprintf("mustardmast_offers_total{error=%q}", k))
		}),
		callRejections: newCountersByKind(func(k fault.Kind) *metrics.Counter {
			return set.NewCounter(fmt.Sprintf("mustardmast_turned_away_total{error=%q}", k))
		}),
		failures: newCountersByKind(func(k fault.Kind) *metrics.Counter {
			return set.NewCounter(fmt.Sprintf("mustardmast_target_failures_total{error=%q}", k))
		}),
	}
}

// allowLine reports whether a line may be written, and counts the lines that may not. Callers create the fields of a
// line only afterwards, because most lines are not written under load.
func (r *Recorder) allowLine(l *lineLimiter, limit int) bool {
	if l.allow(time.Now(), limit) {
		return true
	}
	r.linesLimited.Inc()
	return false
}

func callFields(c *mustardmast.TargetCall) []zap.Field {
	return []zap.Field{zap.String("request", c.ID), zap.String("route", c.Route), zap.String("service", c.Service), zap.Uint64("version", c.Version)}
}

// RequestCompleted implements ingress.Observer.
func (r *Recorder) RequestCompleted(c *mustardmast.TargetCall, status int, err error, took time.Duration) {
	r.latency.Update(took.Seconds())
	r.requestCounter(status, fault.KindOf(err).String()).Inc()
	l, limit, event := &r.failed, maxFailedLinesPerSecond, eventlog.RequestFailed
	if err == nil && status < http.StatusInternalServerError {
		l, limit, event = &r.answered, maxServedLinesPerSecond, eventlog.RequestAnswered
	}
	if r.allowLine(l, limit) {
		r.log.Write(event, append(callFields(c), zap.Int("status", status), zap.Duration("took", took), zap.Bool("inner", c.SubCall),
			zap.Bool("returned", c.CallerRetry), zap.Int("priority", c.Priority), zap.Duration("hold", c.MaxWait), zap.NamedError("reason", err))...)
	}
}

// RequestRejected implements ingress.Observer.
func (r *Recorder) RequestRejected(id, host, path string, status int, reason string, version uint64) {
	r.requestCounter(status, rejected).Inc()
	if r.allowLine(&r.rejected, maxFailedLinesPerSecond) {
		r.log.Write(eventlog.RequestRejected, zap.String("request", id), zap.String("host", host), zap.String("path", path),
			zap.Int("status", status), zap.String("reason", reason), zap.Uint64("version", version))
	}
}

// Panicked implements ingress.Observer.
func (r *Recorder) Panicked(id string, cause any) {
	r.requestCounter(0, fault.Internal.String()).Inc()
	if r.allowLine(&r.panicked, maxServedLinesPerSecond) {
		r.log.Write(eventlog.HandlerPanicked, zap.String("request", id), zap.Any("cause", cause), zap.Stack("stack"))
	}
}

// Write implements io.Writer for the log output of libraries. It never returns an error.
func (r *Recorder) Write(line []byte) (int, error) {
	if r.allowLine(&r.library, maxServedLinesPerSecond) {
		r.log.Write(eventlog.LibraryMessage, zap.ByteString("message", bytes.TrimSpace(line)))
	}
	return len(line), nil
}

// Offered implements placement.Observer.
func (r *Recorder) Offered(c *mustardmast.TargetCall, o placement.Offer) {
	r.offers.of(o.Err).Inc()
	l, limit := &r.offered, maxFailedLinesPerSecond
	if o.Err == nil && o.Status < http.StatusInternalServerError {
		l, limit = &r.served, maxServedLinesPerSecond
	}
	if !r.allowLine(l, limit) {
		return
	}
	r.log.Write(eventlog.CallOffered, append(callFields(c), zap.String("to", o.Host), zap.Int("offer", o.Number), zap.Int("status", o.Status),
		zap.Duration("took", o.Took), zap.Duration("left", time.Until(c.Deadline)), zap.Int("known-running", o.Report.Running),
		zap.Int("known-waiting", o.Report.Waiting), zap.Int("known-limit", o.Report.Limit), zap.Duration("known-age", o.Age),
		zap.NamedError("reason", o.Err))...)
}

// HostDown implements placement.Observer.
func (r *Recorder) HostDown(host string, err error) { r.hostDown(host, err) }

// NewerConfig implements placement.Observer.
func (r *Recorder) NewerConfig(host string, version uint64) { r.newerConfig(host, version) }

// CallRejected implements localtarget.Observer.
func (r *Recorder) CallRejected(c *mustardmast.TargetCall, err error, report admission.Report, t lifetime.Target) {
	r.callRejections.of(err).Inc()
	if !r.allowLine(&r.callsRejected, maxFailedLinesPerSecond) {
		return
	}
	r.log.Write(eventlog.CallNotStarted, append(callFields(c), zap.String("from", c.EntryHost), zap.Int("running", report.Running),
		zap.Int("waiting", report.Waiting), zap.Int("limit", report.Limit), zap.Duration("mean-run", report.ServiceTime), zap.Float64("level", report.Level),
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
	if !r.allowLine(&r.ended, maxFailedLinesPerSecond) {
		return
	}
	r.log.Write(eventlog.CallEnded, append(callFields(c), zap.String("from", c.EntryHost), zap.String("target", t.ID),
		zap.Duration("waited", waited), zap.Duration("took", took), zap.NamedError("reason", err))...)
}

// TargetLost implements localtarget.Observer.
func (r *Recorder) TargetLost(id string, err error) { r.targetLost(id, err) }

// TargetLeaving implements localtarget.Observer.
func (r *Recorder) TargetLeaving(id string) { r.leaving(id) }

// TargetCrashed implements localtarget.Observer.
func (r *Recorder) TargetCrashed(t lifetime.Target, inFlight int, quarantined []quarantine.Fingerprint) {
	r.log.Write(eventlog.TargetCrashed, zap.String("target", t.ID), zap.String("service", t.Service), zap.Int("in-flight", inFlight))
	for _, f := range quarantined {
		r.log.Write(eventlog.RequestQuarantined, zap.String("fingerprint", strconv.FormatUint(uint64(f), 16)))
	}
}

// RateLimitChanged implements localtarget.Observer.
func (r *Recorder) RateLimitChanged(id string, limit float64) {
	if r.allowLine(&r.notices, maxServedLinesPerSecond) {
		r.log.Write(eventlog.TargetLimited, zap.String("target", id), zap.Float64("limit", limit))
	}
}

// NoticeMalformed implements localtarget.Observer.
func (r *Recorder) NoticeMalformed(id string, err error) {
	if r.allowLine(&r.notices, maxServedLinesPerSecond) {
		r.log.Write(eventlog.TargetNoticeMalformed, zap.String("target", id), zap.Error(err))
	}
}
