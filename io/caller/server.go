// Package caller is the node's side towards callers: outside programs, and the target on the node's own host when it
// makes the next call of a chain.
//
// The server turns an HTTP request into a call. What the caller leaves out comes from the configuration, or, for a
// sub-call, from the call that the target runs: a sub-call never has more priority, time or retries than its parent.
package caller

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/level"
	"mustardmast/core/retry"
	"mustardmast/io/execute"
	"mustardmast/io/header"
	"mustardmast/io/message"
)

// maxIssue bounds how many request ids one request may ask for.
const maxIssue = 10_000

// Configs gives the configuration in force; the last result is false while there is none.
type Configs interface {
	Current() (config.Config, uint64, bool)
}

// Dispatcher sends a call to a target and returns its answer.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *message.Request) (execute.Answer, error)
}

// IDs issues request ids that name this node as their owner.
type IDs interface {
	Issue(n int) []string
	Issued(id string) bool // whether the id has the form of an issued one
}

// Server takes calls from callers.
type Server struct {
	clock    mustardmast.Clock
	configs  Configs
	ids      IDs
	dispatch Dispatcher
	running  *execute.Running
	below    *level.Below
	meter    mustardmast.Meter
	leaving  func() error
}

// New returns a server. Below learns which sub-calls the target makes. Leaving returns the error with which a stopping
// node refuses calls that enter the system, and nil before that.
func New(
	clock mustardmast.Clock, configs Configs, ids IDs, dispatch Dispatcher, running *execute.Running, below *level.Below,
	meter mustardmast.Meter, leaving func() error,
) *Server {
	return &Server{
		clock: clock, configs: configs, ids: ids, dispatch: dispatch, running: running, below: below, meter: meter, leaving: leaving,
	}
}

// Mount adds the server's paths to m.
func (s *Server) Mount(m *http.ServeMux) {
	m.HandleFunc("POST /mustardmast/v1/request-ids", s.issue)
	m.HandleFunc("/mustardmast/", func(w http.ResponseWriter, q *http.Request) {
		header.WriteError(w, "", fault.Newf(fault.BadRequest, "no such path %q", q.URL.Path))
	})
	m.HandleFunc("/", s.call)
}

func (s *Server) issue(w http.ResponseWriter, q *http.Request) {
	if err := s.leaving(); err != nil {
		header.WriteError(w, "", err)
		return
	}
	if _, _, ok := s.configs.Current(); !ok {
		header.WriteError(w, "", fault.New(fault.NotReady, "this node has no configuration yet"))
		return
	}
	n := 1
	if v := q.URL.Query().Get("count"); v != "" {
		var err error
		if n, err = strconv.Atoi(v); err != nil || n < 1 || n > maxIssue {
			header.WriteError(w, "", fault.Newf(fault.BadRequest, "count is %q; allowed: 1 to %d", v, maxIssue))
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encodeIDs(s.ids.Issue(n)))
}

func encodeIDs(ids []string) []byte {
	b := []byte(`{"request-ids":[`)
	for i, id := range ids {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendQuote(b, id)
	}
	return append(b, "]}\n"...)
}

func (s *Server) call(w http.ResponseWriter, q *http.Request) {
	r, parent, err := s.read(q)
	if err != nil {
		err = elsewhere(q, err)
		s.count(err)
		header.WriteError(w, q.Header.Get(header.RequestID), err)
		return
	}
	start := s.clock.Now()
	defer func() { s.meter.Entered(s.clock.Now().Sub(start)) }()
	ctx, cancel := context.WithDeadline(q.Context(), r.Call.Deadline())
	defer cancel()
	parent.started(s.clock.Now())
	a, err := s.dispatch.Dispatch(ctx, r)
	parent.ended(s.clock.Now(), a)
	if a.HasLevel {
		w.Header().Set(header.AdmissionLevel, strconv.Itoa(int(a.Level)))
	}
	w.Header().Set(header.RetryBudget, strconv.Itoa(a.Retries))
	if err != nil {
		s.count(err)
		header.WriteError(w, r.Call.ID(), err)
		return
	}
	s.write(w, r.Call.ID(), a.Response)
}

// write writes a target's answer. message.Write panics when the answer breaks off, and its caller then knows no more
// than that.
func (s *Server) write(w http.ResponseWriter, id string, r *message.Response) {
	kind, outcome := fault.AnswerCut, fault.AnswerCut.Answer().Outcome
	defer func() { s.meter.Call(kind, outcome) }()
	message.Write(w, id, r)
	kind, outcome = fault.None, fault.Executed
}

func (s *Server) count(err error) {
	e := fault.From(err)
	s.meter.Call(e.Kind(), e.Outcome())
}

// elsewhere weakens the refusal of a resend, whose record was not asked.
func elsewhere(q *http.Request, err error) error {
	attempt, _ := strconv.Atoi(q.Header.Get(header.Attempt)) // absent or malformed: a first send
	return ledger.Elsewhere(max(attempt, 1), err)
}

func (s *Server) read(q *http.Request) (*message.Request, *nested, error) {
	spec, parent, err := s.spec(q)
	if err != nil {
		return nil, nil, err
	}
	body, err := message.NewBody(q.Body, q.ContentLength)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.BadRequest, "the request body broke off").WithOutcome(fault.NotExecuted)
	}
	h := make(http.Header, len(q.Header))
	message.CopyHeader(h, q.Header)
	header.RemoveHop(h)
	h.Del("Expect")
	r := &message.Request{
		Call: call.New(spec), Method: q.Method, URI: q.URL.RequestURI(), Header: h, Body: body,
		Digest: body.Digest(q.URL.RequestURI()),
	}
	if parent != nil {
		r.Withheld = parent.parent.Withheld()
		s.below.Saw(parent.parent.Call().Method(), r.Call)
	}
	return r, parent, nil
}

// spec fills the parts of the call, from the configuration first, then the headers, then the parent's limits.
func (s *Server) spec(q *http.Request) (call.Spec, *nested, error) {
	var spec call.Spec
	c, _, ok := s.configs.Current()
	if !ok {
		return spec, nil, fault.New(fault.NotReady, "this node has no configuration yet")
	}
	service, method, err := message.SplitPath(q.URL.Path)
	if err != nil {
		return spec, nil, err
	}
	now := s.clock.Now()
	m, err := find(c, service, method)
	if err != nil {
		return spec, nil, err
	}
	spec = call.Spec{
		Service: service, Method: method, Attempt: 1, Priority: m.Priority, Idempotent: m.Idempotent, Long: m.Long,
		Timeout: m.Deadline, Deadline: now.Add(m.Deadline), Retries: c.Limits().RetryBudget,
	}
	if err := header.ReadCall(q.Header, now, &spec); err != nil {
		return spec, nil, err
	}
	if err := checkMethod(q.Method, spec); err != nil {
		return spec, nil, err
	}
	spec.Retries = min(spec.Retries, c.Limits().RetryBudget)
	if len(spec.Path) == 0 {
		return spec, nil, s.enter(&spec)
	}
	parent, err := s.nest(c, &spec)
	return spec, parent, err
}

func find(c config.Config, service, method string) (config.Method, error) {
	sv, ok := c.Service(service)
	if !ok {
		return config.Method{}, fault.Newf(fault.UnknownService, "service %q", service)
	}
	m, ok := sv.Method(method)
	if !ok {
		return config.Method{}, fault.Newf(fault.UnknownMethod, "service %q has no method %q", service, method)
	}
	return m, nil
}

// enter completes a call that enters the system.
func (s *Server) enter(spec *call.Spec) error {
	if err := s.leaving(); err != nil {
		return err
	}
	spec.Depth, spec.Key = 1, ""
	switch {
	case spec.ID == "":
		spec.ID = s.ids.Issue(1)[0]
	case !spec.Idempotent && !s.ids.Issued(spec.ID):
		return fault.Newf(fault.RequestIDNotIssued, "request id %q; POST /mustardmast/v1/request-ids?count=1 issues one", spec.ID)
	}
	return nil
}

// nest completes a sub-call, one that the target on this host makes while it runs another call.
func (s *Server) nest(c config.Config, spec *call.Spec) (*nested, error) {
	spec.Depth = len(spec.Path) + 1
	if slices.Contains(spec.Path, spec.Service) {
		return nil, fault.Newf(fault.LoopDetected, "path %v to %q", spec.Path, spec.Service)
	}
	if spec.Depth > c.Limits().MaxDepth {
		return nil, fault.Newf(fault.DepthExceeded, "hop %d of at most %d", spec.Depth, c.Limits().MaxDepth)
	}
	parent, running := s.running.Find(spec.ID)
	spec.Retries = 0 // a sub-call without a running parent has no budget to draw on
	if running {
		inherit(spec, parent.Call())
	}
	if err := s.nestID(spec, parent); err != nil {
		return nil, err
	}
	if !running {
		return nil, nil
	}
	g := parent.Grant()
	spec.Retries = g.Units()
	return &nested{parent: parent, grant: g}, nil
}

// nested ties a sub-call to the call that the target runs. Nil is a call without a running parent.
type nested struct {
	parent *execute.Execution
	grant  *retry.Grant
}

func (n *nested) started(now time.Time) {
	if n != nil {
		n.parent.SubCallStarted(now)
	}
}

func (n *nested) ended(now time.Time, a execute.Answer) {
	if n == nil {
		return
	}
	n.parent.SubCallEnded(now)
	n.grant.Return(a.Retries)
}

// inherit bounds a sub-call by its parent. Priority and backer are the parent's, so that every hop judges a request
// alike.
func inherit(spec *call.Spec, parent call.Call) {
	if d := parent.Deadline(); !d.IsZero() && d.Before(spec.Deadline) {
		spec.Deadline = d
	}
	spec.Priority, spec.Backer = parent.Priority(), parent.Backer()
}

// nestID gives a sub-call its id: the parent's with the call key, so that the owner of the root owns it too.
func (s *Server) nestID(spec *call.Spec, parent *execute.Execution) error {
	if spec.Key != "" {
		spec.ID += "/" + spec.Key
		if len(spec.ID) > call.MaxIDLength {
			return fault.Newf(fault.BadRequest, "request id of %d bytes with its call keys; allowed: %d", len(spec.ID), call.MaxIDLength)
		}
		if !spec.Idempotent && !s.ids.Issued(call.New(*spec).Root()) {
			return fault.Newf(fault.RequestIDNotIssued, "the root of request id %q was not issued", spec.ID)
		}
		return nil
	}
	if spec.Idempotent {
		spec.ID += "/-" // an idempotent sub-call needs no key of its own
		return nil
	}
	if parent == nil || parent.Call().Idempotent() {
		return fault.Newf(fault.CallKeyMissing, "call of %s/%s below an idempotent call", spec.Service, spec.Method)
	}
	spec.ID = s.ids.Issue(1)[0]
	return nil
}

// checkMethod refuses non-idempotent calls by HTTP methods that HTTP clients may repeat by themselves.
func checkMethod(method string, spec call.Spec) error {
	if spec.Idempotent {
		return nil
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return fault.Newf(fault.BadRequest, "method %s/%s is not idempotent and cannot be called by %s", spec.Service, spec.Method, method)
	}
	return nil
}
