// Package caller serves the requests of callers: of external programs, and of the target on the node's own host when it
// makes sub-calls.
//
// The server converts an HTTP request to a call. Properties that the caller does not set are taken from the
// configuration or, for a sub-call, from the parent call that the target is running: a sub-call never has a higher
// priority, a later deadline or more retries than its parent.
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

// Configs provides the current configuration.
type Configs interface {
	// Current returns the current configuration and its generation, and false if there is none yet.
	Current() (config.Config, uint64, bool)
}

// Dispatcher sends a call to a target and returns its reply.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *message.Request) (execute.Reply, error)
}

// IDIssuer issues request ids that name this node as their owner.
type IDIssuer interface {
	Issue(n int) []string
	IsIssued(id string) bool // reports whether the id has the form of an issued one
}

// Options are the dependencies of a Server.
type Options struct {
	Clock         mustardmast.Clock
	Configs       Configs
	IDIssuer      IDIssuer
	Dispatch      Dispatcher
	RunningCalls  *execute.RunningCalls
	SubCallLevels *level.SubCalls // records which sub-calls the target makes
	Meter         mustardmast.Meter
	Draining      func() error // error for calls that enter the system while the node is stopping, nil otherwise
}

// Server receives requests from callers.
type Server struct {
	options Options
}

// New returns a server.
func New(options Options) *Server { return &Server{options: options} }

// Mount registers the server's handlers with m.
func (s *Server) Mount(m *http.ServeMux) {
	m.HandleFunc("POST /mustardmast/v1/request-ids", s.issueRequestIDs)
	m.HandleFunc("/mustardmast/", func(w http.ResponseWriter, q *http.Request) {
		header.WriteError(w, "", fault.Newf(fault.BadRequest, "no such path %q", q.URL.Path))
	})
	m.HandleFunc("/", s.call)
}

func (s *Server) issueRequestIDs(w http.ResponseWriter, q *http.Request) {
	if err := s.options.Draining(); err != nil {
		header.WriteError(w, "", err)
		return
	}
	if _, _, ok := s.options.Configs.Current(); !ok {
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
	_, _ = w.Write(encodeIDs(s.options.IDIssuer.Issue(n)))
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
	r, sub, err := s.read(q)
	if err != nil {
		err = rejectWithoutRecord(q, err)
		s.recordError(err)
		header.WriteError(w, q.Header.Get(header.RequestID), err)
		return
	}
	start := s.options.Clock.Now()
	defer func() { s.options.Meter.ObserveLatency(s.options.Clock.Now().Sub(start)) }()
	ctx, cancel := context.WithDeadline(q.Context(), r.Call.Deadline())
	defer cancel()
	sub.started(s.options.Clock.Now())
	reply, err := s.options.Dispatch.Dispatch(ctx, r)
	sub.ended(s.options.Clock.Now(), reply)
	if reply.HasLevel {
		w.Header().Set(header.AdmissionLevel, strconv.Itoa(int(reply.Level)))
	}
	w.Header().Set(header.RetryBudget, strconv.Itoa(reply.Retries))
	if err != nil {
		s.recordError(err)
		header.WriteError(w, r.Call.ID(), err)
		return
	}
	s.writeResponse(w, q, r.Call.ID(), reply.Response)
}

// writeResponse writes a target's response and counts the result. message.WriteResponse panics when the response breaks
// off; the call is then counted as fault.AnswerCut.
func (s *Server) writeResponse(w http.ResponseWriter, q *http.Request, id string, r *message.Response) {
	kind, outcome := fault.AnswerCut, fault.AnswerCut.Properties().Outcome
	defer func() { s.options.Meter.CallEnded(kind, outcome) }()
	message.WriteResponse(w, q, id, r)
	kind, outcome = fault.None, fault.Executed
}

func (s *Server) recordError(err error) {
	e := fault.From(err)
	s.options.Meter.CallEnded(e.Kind(), e.Outcome())
}

// rejectWithoutRecord adjusts the outcome of a rejection for a retry: its record in the ledger was not consulted, so an
// earlier attempt may have been executed.
func rejectWithoutRecord(q *http.Request, err error) error {
	attempt, _ := strconv.Atoi(q.Header.Get(header.Attempt)) // absent or malformed means a first send
	return ledger.RejectWithoutRecord(max(attempt, 1), err)
}

func (s *Server) read(q *http.Request) (*message.Request, *subCall, error) {
	spec, sub, err := s.spec(q)
	if err != nil {
		return nil, nil, err
	}
	body, err := message.NewBody(q.Body, q.ContentLength)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.BadRequest, "read the request body").WithOutcome(fault.NotExecuted)
	}
	h := make(http.Header, len(q.Header))
	message.CopyHeader(h, q.Header)
	header.RemoveEnvelope(h)
	h.Del("Expect")
	r := &message.Request{
		Call: call.New(spec), Method: q.Method, URI: q.URL.RequestURI(), Header: h, Body: body,
		Digest: body.Digest(q.URL.RequestURI()),
	}
	if sub != nil {
		r.Withheld = sub.parent.Withheld()
		s.options.SubCallLevels.RecordCall(sub.parent.Call().Method(), r.Call)
	}
	return r, sub, nil
}

// spec returns the fields of the call. They are set from the configuration, then from the headers, and then limited by
// the parent call, if any.
func (s *Server) spec(q *http.Request) (call.Spec, *subCall, error) {
	var spec call.Spec
	c, _, ok := s.options.Configs.Current()
	if !ok {
		return spec, nil, fault.New(fault.NotReady, "this node has no configuration yet")
	}
	service, method, err := message.SplitPath(q.URL.Path)
	if err != nil {
		return spec, nil, err
	}
	now := s.options.Clock.Now()
	m, err := findMethod(c, service, method)
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
	if err := checkHTTPMethod(q.Method, spec); err != nil {
		return spec, nil, err
	}
	spec.Retries = min(spec.Retries, c.Limits().RetryBudget)
	if len(spec.Path) == 0 {
		return spec, nil, s.completeEntryCall(&spec)
	}
	sub, err := s.prepareSubCall(c, &spec)
	return spec, sub, err
}

func findMethod(c config.Config, service, method string) (config.Method, error) {
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

// completeEntryCall completes the spec of a call that enters the system.
func (s *Server) completeEntryCall(spec *call.Spec) error {
	if err := s.options.Draining(); err != nil {
		return err
	}
	spec.Depth, spec.Key = 1, ""
	switch {
	case spec.ID == "":
		spec.ID = s.options.IDIssuer.Issue(1)[0]
	case !spec.Idempotent && !s.options.IDIssuer.IsIssued(spec.ID):
		return fault.Newf(fault.RequestIDNotIssued, "request id %q; POST /mustardmast/v1/request-ids?count=1 issues one", spec.ID)
	}
	return nil
}

// checkHTTPMethod rejects non-idempotent calls that use HTTP methods which HTTP clients may retry on their own.
func checkHTTPMethod(method string, spec call.Spec) error {
	if spec.Idempotent {
		return nil
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return fault.Newf(fault.BadRequest, "method %s/%s is not idempotent and cannot be called by %s", spec.Service, spec.Method, method)
	}
	return nil
}
