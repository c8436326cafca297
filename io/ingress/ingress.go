// Package ingress serves the requests of clients on this host and the sub-calls of its target.
//
// A request is matched to a route, shed if the call chain behind the route is overloaded, and placed on a target. The
// status of an error response states the outcome: 503 means that the request has not run and will not, while 502 and
// 504 mean that it may have run. A truncated response never looks complete.
package ingress

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/closing"
	"mustardmast/core/fault"
	"mustardmast/core/pressure"
	"mustardmast/core/quota"
	"mustardmast/core/rejections"
	"mustardmast/core/routing"
	"mustardmast/io/inlet"
	"mustardmast/io/localtarget"
	"mustardmast/io/message"
	"mustardmast/io/placement"
)

const (
	// maxWaitFraction is the fraction of the time left to the objective of its route that a request may wait for a
	// slot, and maxWaitFloor the minimum.
	maxWaitFraction = 0.2
	maxWaitFloor    = 8 * time.Millisecond
	// subCallWaitFraction is the fraction of the time left that a sub-call may wait.
	subCallWaitFraction = 0.5
	// The Retry-After of a rejection is a fraction of the time left to the caller's objective. It is randomized, so
	// that callers rejected together do not retry together, and limited to a third of the time that the caller still
	// waits.
	minRetryFraction, maxRetryFraction = 0.3, 0.5
	maxRetryDelayFraction              = 1.0 / 3
	minRetryDelay                      = 20 * time.Millisecond
	// restartDelay is the time from when clients know of a planned stop until a node accepts their requests again: this
	// one restarts within a second, or they use another one.
	restartDelay = time.Second
	// timeoutMargin is subtracted from the timeout of the route, so that the response is sent by then.
	timeoutMargin = 5 * time.Millisecond
	// maxTimeLeftMS bounds the time left that a caller states, in milliseconds. The conversion of a larger one overflows,
	// with a result that depends on the processor.
	maxTimeLeftMS = 1e12
)

// Observer receives events of requests. Its methods must not block.
type Observer interface {
	// RequestCompleted is called at the end of each accepted request. Err is the node's own failure, nil if the target
	// responded.
	RequestCompleted(c *mustardmast.TargetCall, status int, err error, took time.Duration)
	// RequestRejected is called for a request that matches no route or exceeds a limit.
	RequestRejected(id, host, path string, status int, reason string, version uint64)
	// Panicked is called when the node panics while it serves a request. The connection is closed without a response.
	Panicked(id string, cause any)
}

// Options are the parameters and dependencies of a Handler.
type Options struct {
	Names      mustardmast.HeaderNames
	Host       string // name of this host
	Service    func() string
	Table      func() *routing.Table // returns nil before the first configuration
	Placer     *placement.Placer
	Levels     *pressure.Levels
	Rejections *rejections.Tracker
	Executor   *localtarget.Executor // of the target, whose sub-calls belong to its runs
	Observer   Observer
	Draining   func() bool   // if true, connections are closed after their response
	Closing    *closing.Gate // decides which requests are accepted during a planned stop
	Buffers    *quota.Quota  // memory for bodies that are buffered; others are streamed
}

// Handler serves requests. It implements http.Handler.
type Handler struct {
	options Options
	active  atomic.Int64
	ctx     context.Context
	abandon context.CancelFunc
}

// New returns a handler.
func New(o Options) *Handler {
	ctx, cancel := context.WithCancel(context.Background())
	return &Handler{options: o, ctx: ctx, abandon: cancel}
}

// Abandon ends all requests that are still waiting for a reply. Their callers are told that the outcome is unknown, or
// that the request has not run where that is certain. It is called at the end of a planned stop, so that they get a
// response before the process ends.
func (h *Handler) Abandon() { h.abandon() }

// Active returns the number of requests being served.
func (h *Handler) Active() int64 { return h.active.Load() }

// request is a request with its route and the state needed to place it.
type request struct {
	call     *mustardmast.TargetCall
	route    *routing.Route
	timeLeft time.Duration // how long the caller will still wait
	waited   time.Duration // time since the first attempt of a caller that retries; 0 for a first attempt
	arrived  time.Time
	key      uint64           // identifies the request across retries of its caller
	run      *localtarget.Run // run that issued the request; nil for a request of a client
	body     func() io.Reader // returns the body from its start; nil if the body is streamed
	buffered int64            // memory that the body takes from the quota, in bytes
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	defer h.recoverPanic(w, r)
	began := time.Now()
	if h.options.Draining() {
		w.Header().Set("Connection", "close")
	}
	q, ok := h.accept(w, r, began)
	if !ok {
		return
	}
	defer h.release(q)
	if !inlet.Serving(r.Context()) {
		panic(http.ErrAbortHandler) // the connection has been closed, and nothing of the request has run
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.call.Deadline)
	defer cancel()
	defer context.AfterFunc(h.ctx, cancel)()
	reply, err := h.place(ctx, q)
	if err != nil {
		status := h.writeError(w, q, err)
		h.options.Observer.RequestCompleted(q.call, status, err, time.Since(began))
		return
	}
	if q.waited > 0 && reply.Status < http.StatusInternalServerError {
		h.options.Rejections.Served(q.key)
	}
	h.options.Closing.Observe(q.call.Route, time.Since(began))
	err = h.writeReply(w, reply)
	h.options.Observer.RequestCompleted(q.call, reply.Status, err, time.Since(began))
	if err != nil {
		message.Abort(w, r)
	}
}

// recoverPanic reports a panic, unless it is http.ErrAbortHandler, and closes the connection.
func (h *Handler) recoverPanic(w http.ResponseWriter, r *http.Request) {
	switch cause := recover(); cause {
	case nil:
	case http.ErrAbortHandler:
		panic(cause)
	default:
		h.options.Observer.Panicked(r.Header.Get(h.options.Names.RequestID), cause)
		message.Abort(w, r)
	}
}

// accept matches a request to its route and reads its body if it can be buffered. It responds to requests that it does
// not accept.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*request, bool) {
	id, path := r.Header.Get(h.options.Names.RequestID), r.URL.EscapedPath()
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ = strings.Cut(r.RequestURI, "?")
	}
	reject := func(status int, reason string, version uint64) (*request, bool) {
		w.WriteHeader(status)
		h.options.Observer.RequestRejected(id, r.Host, path, status, reason, version)
		return nil, false
	}
	t := h.options.Table()
	if t == nil {
		w.Header().Set(h.options.Names.RetryAfter, "0.3")
		return reject(http.StatusServiceUnavailable, "no configuration yet", 0)
	}
	route := t.Lookup(r.Host, path)
	if route == nil {
		return reject(http.StatusNotFound, "no route", t.Version())
	}
	if limit := t.Limits().BodyBytes; limit > 0 && r.ContentLength > limit {
		return reject(http.StatusRequestEntityTooLarge, "body exceeds the limit", t.Version())
	}
	q := h.request(r, route, t, now)
	if err := h.readBody(w, r, q, t.Limits().BodyBytes); err != nil {
		h.release(q)
		if errors.Is(err, errNoMemory) {
			status := h.writeError(w, q, fault.Wrap(err, fault.Shed, "reading the body"))
			h.options.Observer.RequestCompleted(q.call, status, err, time.Since(now))
			return nil, false
		}
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return reject(http.StatusRequestEntityTooLarge, "body exceeds the limit", t.Version())
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return reject(http.StatusRequestTimeout, "timed out reading the body", t.Version())
		}
		return reject(http.StatusBadRequest, "reading the body: "+err.Error(), t.Version())
	}
	return q, true
}

func (h *Handler) request(r *http.Request, route *routing.Route, t *routing.Table, now time.Time) *request {
	timeLeft := route.Timeout()
	if ms, err := strconv.ParseFloat(r.Header.Get(h.options.Names.TimeLeft), 64); err == nil && ms >= 0 {
		timeLeft = time.Duration(min(maxTimeLeftMS, ms) * float64(time.Millisecond))
	}
	q := &request{route: route, timeLeft: timeLeft, arrived: now}
	c := &mustardmast.TargetCall{
		ID: r.Header.Get(h.options.Names.RequestID), Service: route.NextService(), Route: route.Key(), Version: t.Version(), EntryHost: h.options.Host,
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: h.forwardedHeader(r.Header), Length: r.ContentLength,
		Priority: route.Priority(), Rank: t.LowestPriority() - route.Priority(), AdmittedFraction: 1, Repeatable: route.Kind().Repeatable(),
		Deadline: now.Add(min(timeLeft, route.Timeout()-timeoutMargin)), Begun: now,
	}
	if !strings.HasPrefix(c.URI, "/") {
		c.URI = r.URL.RequestURI()
	}
	if q.run = h.options.Executor.ParentRun(c.ID); q.run != nil {
		c.SubCall, c.Priority, c.Begun, c.Retry = true, q.run.Priority(), q.run.Begun(), q.run.Retry()
		c.Rank, c.AdmittedFraction = q.run.Rank()
		c.MaxWait = time.Duration(subCallWaitFraction * float64(c.Deadline.Sub(now)))
	} else {
		q.key = rejections.Key(r.Host, c.URI, r.ContentLength)
		q.waited = h.options.Rejections.Waited(now, q.key)
		c.CallerRetry = q.waited > 0
		remaining := min(route.Objective()-q.waited, c.Deadline.Sub(now))
		c.MaxWait = max(maxWaitFloor, time.Duration(maxWaitFraction*float64(remaining)))
	}
	q.call = c
	return q
}

// forwardedHeader returns the header fields that are sent to the target.
func (h *Handler) forwardedHeader(in http.Header) http.Header {
	out := make(http.Header, len(in)+1)
	message.CopyHeader(out, in)
	n := h.options.Names
	for _, name := range []string{"Content-Length", "Expect", n.TimeLeft, n.ExpectedLifetime} {
		out.Del(name)
	}
	out.Set(n.Caller, h.options.Service())
	return out
}

// place sheds a request or runs it on a target.
func (h *Handler) place(ctx context.Context, q *request) (*mustardmast.TargetReply, error) {
	now := time.Now()
	if !h.options.Closing.Accepts(now, closing.Request{
		Route: q.call.Route, Repeatable: q.call.Repeatable, SubCall: q.call.SubCall, Limit: q.call.Deadline.Sub(now),
	}) {
		return nil, fault.New(fault.Draining, "the node of this host is stopping, and the request may not end in time").
			WithRetryAfter(h.options.Closing.NoticeLeft(now) + restartDelay)
	}
	if !q.call.SubCall {
		probability, fraction := h.options.Levels.Admission(now, q.call.Route, pressure.Request{Rank: q.call.Rank, CallerRetry: q.call.CallerRetry, AdmittedFraction: 1})
		q.call.AdmittedFraction = fraction
		if rand.Float64() >= probability {
			return nil, fault.Newf(fault.Shed, "shedding level %.2f, received %v ago; admitted fraction %.2f",
				h.options.Levels.Level(now, q.call.Route), h.options.Levels.Age(now, q.call.Route), fraction)
		}
	}
	var observeLevel func(float64)
	if q.run != nil {
		observeLevel = q.run.ObserveLevel
	}
	return h.options.Placer.Place(ctx, q.call, q.body, q.route.MaxAttempts(), observeLevel)
}

// writeError responds to a request that failed or was rejected, and returns the status.
func (h *Handler) writeError(w http.ResponseWriter, q *request, err error) int {
	f := fault.From(err)
	status := http.StatusBadGateway
	switch {
	case f.Outcome() == fault.NotExecuted:
		status = http.StatusServiceUnavailable
		if !q.call.SubCall {
			h.options.Rejections.Rejected(q.arrived, q.key)
		}
		w.Header().Set(h.options.Names.RetryAfter, strconv.FormatFloat(h.retryAfter(q, f).Seconds(), 'f', 3, 64))
	case f.Kind() == fault.DeadlineExceeded || f.Kind() == fault.DeadlinePassed:
		status = http.StatusGatewayTimeout
	}
	w.Header().Set(h.options.Names.RequestID, q.call.ID)
	w.WriteHeader(status)
	return status
}

// retryAfter returns when a caller whose request has not run should retry.
func (h *Handler) retryAfter(q *request, f *fault.Error) time.Duration {
	objective := max(0, q.route.Objective()-q.waited)
	fraction := minRetryFraction + (maxRetryFraction-minRetryFraction)*rand.Float64()
	d := max(minRetryDelay, time.Duration(fraction*float64(objective)), f.RetryAfter())
	return min(d, time.Duration(maxRetryDelayFraction*float64(q.timeLeft)))
}

// writeReply forwards the reply of a target.
func (h *Handler) writeReply(w http.ResponseWriter, r *mustardmast.TargetReply) error {
	defer func() { _ = r.Body.Close() }() // a failure has shown in the read error
	for name, values := range r.Header {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := r.Header[name]; !ok {
			w.Header()[name] = nil // suppresses the defaults of net/http
		}
	}
	if r.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	w.WriteHeader(r.Status)
	_, err := message.Copy(w, r.Body, r.Length)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil
	}
	return err
}
