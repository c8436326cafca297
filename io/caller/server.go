// Package caller is the node's side towards callers: outside programs, and the target on the node's own host when it
// makes the next call of a chain.
//
// The server turns an HTTP request into a call. What the caller leaves out comes from the configuration, or, for a
// sub-call, from the call that the target runs: a sub-call never has more priority, time or retries than its parent.
package caller

import (
	"context"
	"net/http"
	"strconv"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/config"
	"mustardmast/core/fault"
	"mustardmast/core/ledger"
	"mustardmast/core/level"
	"mustardmast/core/requestid"
	"mustardmast/io/execute"
	"mustardmast/io/header"
	"mustardmast/io/message"
)

// Configs gives the configuration in force; the last result is false while there is none.
type Configs interface {
	Current() (config.Config, uint64, bool)
}

// Dispatcher sends a call to a target and returns its answer.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *message.Request) (execute.Reply, error)
}

// IDIssuer issues request ids that name this node as their owner.
type IDIssuer interface {
	Issue(n int) []string
	IsIssued(id string) bool // whether the id has the form of an issued one
}

// Options are what a Server works with.
type Options struct {
	Clock         mustardmast.Clock
	Configs       Configs
	IDIssuer      IDIssuer
	Dispatch      Dispatcher
	RunningCalls  *execute.RunningCalls
	SubCallLevels *level.SubCalls // learns which sub-calls the target makes
	Meter         mustardmast.Meter
	Draining      func() error // the error with which a stopping node refuses calls that enter the system, nil before that
}

// Server takes calls from callers.
type Server struct {
	p Options
}

// New returns a server.
func New(p Options) *Server { return &Server{p: p} }

// Mount adds the server's paths to m.
func (s *Server) Mount(m *http.ServeMux) {
	m.HandleFunc("POST /mustardmast/v1/request-ids", s.issue)
	m.HandleFunc("/mustardmast/", func(w http.ResponseWriter, q *http.Request) {
		header.WriteError(w, "", fault.Newf(fault.BadRequest, "no such path %q", q.URL.Path))
	})
	m.HandleFunc("/", s.call)
}

func (s *Server) issue(w http.ResponseWriter, q *http.Request) {
	if err := s.p.Draining(); err != nil {
		header.WriteError(w, "", err)
		return
	}
	if _, _, ok := s.p.Configs.Current(); !ok {
		header.WriteError(w, "", fault.New(fault.NotReady, "this node has no configuration yet"))
		return
	}
	n := 1
	if v := q.URL.Query().Get("count"); v != "" {
		var err error
		if n, err = strconv.Atoi(v); err != nil || n < 1 || n > requestid.MaxRange {
			header.WriteError(w, "", fault.Newf(fault.BadRequest, "count is %q; allowed: 1 to %d", v, requestid.MaxRange))
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encodeIDs(s.p.IDIssuer.Issue(n)))
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
	start := s.p.Clock.Now()
	defer func() { s.p.Meter.ObserveLatency(s.p.Clock.Now().Sub(start)) }()
	ctx, cancel := context.WithDeadline(q.Context(), r.Call.Deadline())
	defer cancel()
	parent.started(s.p.Clock.Now())
	a, err := s.p.Dispatch.Dispatch(ctx, r)
	parent.ended(s.p.Clock.Now(), a)
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

// write writes a target's answer. message.WriteResponse panics when the answer breaks off, and its caller then knows no more
// than that.
func (s *Server) write(w http.ResponseWriter, id string, r *message.Response) {
	kind, outcome := fault.AnswerCut, fault.AnswerCut.Properties().Outcome
	defer func() { s.p.Meter.CallEnded(kind, outcome) }()
	message.WriteResponse(w, id, r)
	kind, outcome = fault.None, fault.Executed
}

func (s *Server) count(err error) {
	e := fault.From(err)
	s.p.Meter.CallEnded(e.Kind(), e.Outcome())
}

// elsewhere weakens the refusal of a resend, whose record was not asked.
func elsewhere(q *http.Request, err error) error {
	attempt, _ := strconv.Atoi(q.Header.Get(header.Attempt)) // absent or malformed: a first send
	return ledger.RejectWithoutRecord(max(attempt, 1), err)
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
	header.RemoveEnvelope(h)
	h.Del("Expect")
	r := &message.Request{
		Call: call.New(spec), Method: q.Method, URI: q.URL.RequestURI(), Header: h, Body: body,
		Digest: body.Digest(q.URL.RequestURI()),
	}
	if parent != nil {
		r.Withheld = parent.parent.Withheld()
		s.p.SubCallLevels.RecordCall(parent.parent.Call().Method(), r.Call)
	}
	return r, parent, nil
}

// spec fills the parts of the call, from the configuration first, then the headers, then the parent's limits.
func (s *Server) spec(q *http.Request) (call.Spec, *nested, error) {
	var spec call.Spec
	c, _, ok := s.p.Configs.Current()
	if !ok {
		return spec, nil, fault.New(fault.NotReady, "this node has no configuration yet")
	}
	service, method, err := message.SplitPath(q.URL.Path)
	if err != nil {
		return spec, nil, err
	}
	now := s.p.Clock.Now()
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
	if err := s.p.Draining(); err != nil {
		return err
	}
	spec.Depth, spec.Key = 1, ""
	switch {
	case spec.ID == "":
		spec.ID = s.p.IDIssuer.Issue(1)[0]
	case !spec.Idempotent && !s.p.IDIssuer.IsIssued(spec.ID):
		return fault.Newf(fault.RequestIDNotIssued, "request id %q; POST /mustardmast/v1/request-ids?count=1 issues one", spec.ID)
	}
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
