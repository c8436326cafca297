// Package peer implements the data path between nodes. Calls are sent as HTTP/1.1 requests with headers that name the
// addressed node incarnation; responses carry the outcome, the load and the admission level.
package peer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/io/execute"
	"mustardmast/io/header"
	"mustardmast/io/message"
	"mustardmast/io/outbound"
)

const (
	executePath = "/mustardmast/v1/execute"
	ownPath     = "/mustardmast/v1/own"
)

// Runner executes a call, either on the target of this host or as the owner of its request id.
type Runner interface {
	Execute(ctx context.Context, r *message.Request, env execute.Envelope) (execute.Reply, error)
}

// Server receives calls from other nodes.
type Server struct {
	clock    mustardmast.Clock
	executor Runner
	owner    Runner
}

// NewServer returns a server that passes calls to the executor of this host's target or to the owner of request ids,
// depending on their path.
func NewServer(clock mustardmast.Clock, executor, owner Runner) *Server {
	return &Server{clock: clock, executor: executor, owner: owner}
}

// Mount registers the server's handlers with m.
func (s *Server) Mount(m *http.ServeMux) {
	m.Handle(executePath+"/", s.handler(executePath, s.executor))
	m.Handle(ownPath+"/", s.handler(ownPath, s.owner))
	m.HandleFunc("GET "+outbound.PingPath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
}

func (s *Server) handler(prefix string, run Runner) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r, env, err := s.read(prefix, q)
		if err != nil {
			header.WriteError(w, q.Header.Get(header.RequestID), err)
			return
		}
		ctx, cancel := withDeadline(q.Context(), r.Call)
		defer cancel()
		progress := startProgress(w, q)
		reply, err := run.Execute(ctx, r, env)
		progress.stop()
		header.WriteLoad(w.Header(), reply.Load)
		if reply.HasLevel {
			w.Header().Set(header.AdmissionLevel, strconv.Itoa(int(reply.Level)))
		}
		w.Header().Set(header.RetryBudget, strconv.Itoa(reply.Retries))
		if err != nil {
			header.WriteError(w, r.Call.ID(), err)
			return
		}
		message.WriteResponse(w, q, r.Call.ID(), reply.Response)
	})
}

func withDeadline(ctx context.Context, c call.Call) (context.Context, context.CancelFunc) {
	if c.Deadline().IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, c.Deadline())
}

func (s *Server) read(prefix string, q *http.Request) (*message.Request, execute.Envelope, error) {
	uri := strings.TrimPrefix(q.RequestURI, prefix)
	var spec call.Spec
	if err := header.ReadCall(q.Header, s.clock.Now(), &spec); err != nil {
		return nil, execute.Envelope{}, err
	}
	env, err := header.ReadEnvelope(q.Header, &spec)
	if err != nil {
		return nil, execute.Envelope{}, err
	}
	spec.Service, spec.Method, err = message.SplitPath(strings.TrimPrefix(q.URL.Path, prefix))
	if err != nil {
		return nil, execute.Envelope{}, err
	}
	h := make(http.Header, len(q.Header))
	message.CopyHeader(h, q.Header)
	header.RemoveEnvelope(h)
	h.Del("Expect") // applies to the connection between the nodes only
	r := &message.Request{
		Call: call.New(spec), Method: q.Method, URI: uri, Header: h, Digest: env.Digest,
		Body: message.StreamBody(q.Body, q.ContentLength),
	}
	return r, execute.Envelope{Recipient: mustardmast.NodeID(env.Incarnation), Nonce: env.Nonce, Withheld: env.Withheld}, nil
}

// responseBody returns read errors with the kind fault.AnswerCut.
type responseBody struct{ io.ReadCloser }

func (b responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fault.Wrap(err, fault.AnswerCut, "read the response of the target's node")
	}
	return n, err
}
