// Package ingress serves the requests of clients on this host and the calls of its target.
//
// A request is matched to a route, shed if the chain behind it is overloaded, and placed on a target. The caller is told
// the truth about the outcome: 503 means that the request has not run and will not, 502 and 504 promise nothing, and an
// answer that breaks off never looks complete.
package ingress

import (
	"bytes"
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
	"mustardmast/core/fault"
	"mustardmast/core/pressure"
	"mustardmast/core/rejections"
	"mustardmast/core/routing"
	"mustardmast/io/localtarget"
	"mustardmast/io/message"
	"mustardmast/io/placement"
)

const (
	// wholeBody is the largest body that is held, so that the request can be placed again.
	wholeBody = 512 << 10
	// heldBodies bounds the bodies that are held at a time; above it bodies are passed on as they come.
	heldBodies = 24 << 20
	// holdPart is the part of the time in which an answer is worth most that a request may wait for a slot.
	holdPart  = 0.2
	leastHold = 8 * time.Millisecond
	// innerHold is the part of the time left that a call of a running request may wait.
	innerHold = 0.5
	// Callers come back after a part of the time that is left to their objective, at random so that those turned away
	// together do not return together, and after no more than a third of their time.
	returnFrom, returnTo = 0.3, 0.5
	mostReturn           = 1.0 / 3
	leastReturn          = 20 * time.Millisecond
	// restartPause is when a caller returns that was turned away because the node stops. A new one starts within a second.
	restartPause = time.Second
	// returnedKept multiplies the share that is let through for callers that come back.
	returnedKept = 3
	// answerMargin is taken off the route's timeout, so that the answer is out by then.
	answerMargin = 5 * time.Millisecond
)

// Observer is told how requests end. Its methods must not block.
type Observer interface {
	// RequestCompleted is called at the end of each request. Err is the node's own failure, nil for a target's answer.
	RequestCompleted(c *mustardmast.TargetCall, status int, err error, took time.Duration)
	// RequestRejected is called for a request that no route or limit allows.
	RequestRejected(id, host, path string, status int, reason string, version uint64)
	// Panicked is called for a request on which the node itself failed. Its connection ends without an answer.
	Panicked(id string, cause any)
}

// Options are what a Handler is built from.
type Options struct {
	Names    mustardmast.HeaderNames
	Host     string // name of this host
	Service  func() string
	Table    func() *routing.Table // nil before the first configuration
	Placer   *placement.Placer
	Levels   *pressure.Levels
	Callers  *rejections.Tracker
	Executor *localtarget.Executor // of the target, whose requests belong to its runs
	Observer Observer
	Draining func() bool // connections are closed after their answer
	Closing  func() bool // new requests of clients are turned away
}

// Handler implements http.Handler.
type Handler struct {
	parts  Options
	held   atomic.Int64
	active atomic.Int64
}

// New returns a handler.
func New(p Options) *Handler { return &Handler{parts: p} }

// Active is the number of requests that are being served.
func (h *Handler) Active() int64 { return h.active.Load() }

// request is one request with what was found out about it.
type request struct {
	call    *mustardmast.TargetCall
	route   *routing.Route
	left    time.Duration // that the caller waits
	waited  time.Duration // that the caller has waited before
	arrived time.Time
	key     uint64           // of the caller's request, if it comes again
	run     *localtarget.Run // that the request belongs to; nil for a client's
	body    func() io.Reader
	release func()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	defer h.recovered(r)
	began := time.Now()
	if h.parts.Draining() {
		w.Header().Set("Connection", "close")
	}
	q, ok := h.accept(w, r, began)
	if !ok {
		return
	}
	defer q.release()
	ctx, cancel := context.WithDeadline(r.Context(), q.call.Deadline)
	defer cancel()
	reply, err := h.place(ctx, q)
	if err != nil {
		status := h.refuse(w, q, err)
		h.parts.Observer.RequestCompleted(q.call, status, err, time.Since(began))
		return
	}
	if q.waited > 0 && reply.Status < http.StatusInternalServerError {
		h.parts.Callers.Served(q.key)
	}
	err = h.answer(w, reply)
	h.parts.Observer.RequestCompleted(q.call, reply.Status, err, time.Since(began))
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection, so that the answer does not look complete
	}
}

// recovered reports a panic other than the one that ends a connection, and ends the connection.
func (h *Handler) recovered(r *http.Request) {
	switch cause := recover(); cause {
	case nil:
	case http.ErrAbortHandler:
		panic(cause)
	default:
		h.parts.Observer.Panicked(r.Header.Get(h.parts.Names.RequestID), cause)
		panic(http.ErrAbortHandler)
	}
}

// accept matches a request to its route and takes it apart. It answers those that it does not accept.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*request, bool) {
	id, path := r.Header.Get(h.parts.Names.RequestID), r.URL.EscapedPath()
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ = strings.Cut(r.RequestURI, "?")
	}
	reject := func(status int, reason string, version uint64) (*request, bool) {
		w.WriteHeader(status)
		h.parts.Observer.RequestRejected(id, r.Host, path, status, reason, version)
		return nil, false
	}
	t := h.parts.Table()
	if t == nil {
		w.Header().Set(h.parts.Names.RetryAfter, "0.3")
		return reject(http.StatusServiceUnavailable, "no configuration yet", 0)
	}
	route := t.Lookup(r.Host, path)
	if route == nil {
		return reject(http.StatusNotFound, "no route", t.Version())
	}
	if most := t.Limits().BodyBytes; most > 0 && r.ContentLength > most {
		return reject(http.StatusRequestEntityTooLarge, "body above the limit", t.Version())
	}
	q := h.request(r, route, t, now)
	if err := h.takeBody(w, r, q, t.Limits().BodyBytes); err != nil {
		q.release()
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return reject(http.StatusRequestEntityTooLarge, "body above the limit", t.Version())
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return reject(http.StatusRequestTimeout, "the body did not come in time", t.Version())
		}
		return reject(http.StatusBadRequest, "the body could not be read: "+err.Error(), t.Version())
	}
	return q, true
}

func (h *Handler) request(r *http.Request, route *routing.Route, t *routing.Table, now time.Time) *request {
	left := route.Timeout()
	if ms, err := strconv.ParseFloat(r.Header.Get(h.parts.Names.TimeLeft), 64); err == nil && ms >= 0 {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	q := &request{route: route, left: left, arrived: now, release: func() {}}
	c := &mustardmast.TargetCall{
		ID: r.Header.Get(h.parts.Names.RequestID), Service: route.NextService(), Route: route.Key(), Version: t.Version(), Entry: h.parts.Host,
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: h.forwarded(r.Header), Length: r.ContentLength,
		Priority: route.Priority(), Rank: t.LowestPriority() - route.Priority(), AdmittedFraction: 1, Repeatable: route.Kind().Repeatable(),
		Deadline: now.Add(min(left, route.Timeout()-answerMargin)),
	}
	if !strings.HasPrefix(c.URI, "/") {
		c.URI = r.URL.RequestURI()
	}
	if q.run = h.parts.Executor.ParentRun(c.ID); q.run != nil {
		c.SubCall, c.Priority, c.Retry = true, q.run.Priority(), q.run.Retry()
		c.Rank, c.AdmittedFraction = q.run.Rank()
		c.MaxWait = time.Duration(innerHold * float64(c.Deadline.Sub(now)))
	} else {
		q.key = rejections.Key(r.Host, c.URI, r.ContentLength)
		q.waited = h.parts.Callers.Waited(now, q.key)
		c.CallerRetry = q.waited > 0
		useful := min(route.Objective()-q.waited, c.Deadline.Sub(now))
		c.MaxWait = max(leastHold, time.Duration(holdPart*float64(useful)))
	}
	q.call = c
	return q
}

// forwarded returns the fields that go to the target.
func (h *Handler) forwarded(in http.Header) http.Header {
	out := make(http.Header, len(in)+1)
	message.CopyHeader(out, in)
	n := h.parts.Names
	for _, name := range []string{"Content-Length", "Expect", n.TimeLeft, n.Expected} {
		out.Del(name)
	}
	out.Set(n.Caller, h.parts.Service())
	return out
}

// takeBody reads the body if it is small enough to be held.
func (h *Handler) takeBody(w http.ResponseWriter, r *http.Request, q *request, most int64) error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		q.call.Length = 0
		q.body = func() io.Reader { return nil }
		return nil
	}
	if most > 0 && r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(w, r.Body, most)
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = wholeBody
	}
	if r.ContentLength > wholeBody || h.held.Add(reserved) > heldBodies {
		if r.ContentLength <= wholeBody {
			h.held.Add(-reserved)
		}
		q.call.Body = r.Body
		return nil
	}
	q.release = func() { h.held.Add(-reserved) }
	_ = http.NewResponseController(w).SetReadDeadline(q.call.Deadline) // without it the server's own limits hold
	raw, err := io.ReadAll(io.LimitReader(r.Body, wholeBody))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err != nil {
		return err
	}
	if len(raw) == wholeBody && r.ContentLength < 0 {
		q.call.Body = io.MultiReader(bytes.NewReader(raw), r.Body)
		return nil
	}
	q.call.Length = int64(len(raw))
	q.body = func() io.Reader { return bytes.NewReader(raw) }
	return nil
}

// place sheds a request or takes it to a target.
func (h *Handler) place(ctx context.Context, q *request) (*mustardmast.TargetReply, error) {
	if !q.call.SubCall {
		if h.parts.Closing() {
			return nil, fault.New(fault.Draining, "the node of this host stops").WithRetryAfter(restartPause)
		}
		now := time.Now()
		level := h.parts.Levels.Level(now, q.call.Route)
		kept := pressure.AdmittedFraction(level, q.call.Rank)
		// Those that come back tell the share of the others. So each counts as returnedKept requests in the demand, and the
		// level is such that those let through of both are what the targets can serve.
		q.call.AdmittedFraction = kept
		if q.call.CallerRetry {
			kept *= returnedKept
		}
		if rand.Float64() >= kept {
			return nil, fault.Newf(fault.Shed, "level %.2f, %v old, %.2f let through", level, h.parts.Levels.Age(now, q.call.Route), min(1, kept))
		}
	}
	var met func(float64)
	if q.run != nil {
		met = q.run.ObserveLevel
	}
	return h.parts.Placer.Place(ctx, q.call, q.body, q.route.MaxAttempts(), met)
}

// refuse answers a request that the system failed or turned away, and returns the status.
func (h *Handler) refuse(w http.ResponseWriter, q *request, err error) int {
	f := fault.From(err)
	status := http.StatusBadGateway
	switch {
	case f.Outcome() == fault.NotExecuted:
		status = http.StatusServiceUnavailable
		if !q.call.SubCall {
			h.parts.Callers.Rejected(q.arrived, q.key)
		}
		w.Header().Set(h.parts.Names.RetryAfter, strconv.FormatFloat(h.comeBack(q, f).Seconds(), 'f', 3, 64))
	case f.Kind() == fault.DeadlineExceeded || f.Kind() == fault.DeadlinePassed:
		status = http.StatusGatewayTimeout
	}
	w.Header().Set(h.parts.Names.RequestID, q.call.ID)
	w.WriteHeader(status)
	return status
}

// comeBack is when a caller whose request has not run should return.
func (h *Handler) comeBack(q *request, f *fault.Error) time.Duration {
	objective := max(0, q.route.Objective()-q.waited)
	part := returnFrom + (returnTo-returnFrom)*rand.Float64()
	d := max(leastReturn, time.Duration(part*float64(objective)), f.RetryAfter())
	return min(d, time.Duration(mostReturn*float64(q.left)))
}

// answer passes a target's answer on.
func (h *Handler) answer(w http.ResponseWriter, r *mustardmast.TargetReply) error {
	defer func() { _ = r.Body.Close() }() // the read has told of a failure already
	for name, values := range r.Header {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := r.Header[name]; !ok {
			w.Header()[name] = nil // the server adds none of its own
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
