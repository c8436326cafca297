package control

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/member"
	"mustardmast/core/quarantine"
	"mustardmast/io/control/controlv1"
)

// OutcomeState is what became of one attempt.
type OutcomeState uint8

// Outcome states. Fenced means that the attempt has not started and never will.
const (
	OutcomeUnknown OutcomeState = iota
	OutcomeFenced
	OutcomeStarted
	OutcomeDone
)

// OutcomeQuery asks about one attempt of a request. With Withdraw the attempt is refused for ever if it has not started.
type OutcomeQuery struct {
	RequestID string
	Attempt   uint32
	Executor  mustardmast.NodeID
	Withdraw  bool
}

// OutcomeResponse is the state of the attempt and the HTTP status of a done one.
type OutcomeResponse struct {
	State  OutcomeState
	Status int
}

// Outcomes responds to outcome queries. Queries for another incarnation than this node are not passed on.
type Outcomes interface {
	Outcome(ctx context.Context, q OutcomeQuery) OutcomeResponse
}

// Quarantine takes evidence from other nodes.
type Quarantine interface {
	Merge(now time.Time, news []quarantine.Update) bool
}

// Handler returns the path and handler of the control service, to be mounted on the server of the peer address.
func (c *Control) Handler() (string, http.Handler) {
	path, h := controlv1.NewControlServiceHandler(&service{c}, handlerOptions()...)
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.count(r.URL.Path, 0, rpcOverhead/2+int(max(r.ContentLength, 0)))
		mw := &meteredWriter{ResponseWriter: w}
		h.ServeHTTP(mw, r)
		c.count(r.URL.Path, rpcOverhead/2+mw.written, 0)
	})
}

func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithReadMaxBytes(maxMessage)}
}

func handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(maxMessage), connect.WithCompressMinBytes(1 << 10)}
}

type meteredWriter struct {
	http.ResponseWriter
	written int
}

func (w *meteredWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.written += n
	return n, err
}

// Unwrap lets http.ResponseController reach the connection.
func (w *meteredWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// service maps the wire types of the control service.
type service struct{ c *Control }

var _ controlv1.ControlServiceHandler = (*service)(nil)

// Sync returns a page, unless this node's budget is used up; the asker then tries another one later.
func (s *service) Sync(_ context.Context, r *controlv1.SyncRequest) (*controlv1.SyncResponse, error) {
	defer s.c.meter.busy(time.Now())
	if s.c.bucket.Level(s.c.s.Timers.Now()) < 0 {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("control budget is used up"))
	}
	updates, next := s.c.members.Page(member.SyncRequest{
		Cursor: r.Cursor, Services: r.WantedServices, Domain: r.FailureDomain, Hashes: r.BucketHashes,
		MaxBytes: min(int(r.MaxBytes), syncPage),
	})
	return &controlv1.SyncResponse{
		Members: encodeUpdates(updates), NextCursor: next, Generation: s.c.rollout.Current().Generation,
	}, nil
}

// Config returns what the asker lacks of the configuration in force.
func (s *service) Config(_ context.Context, r *controlv1.ConfigRequest) (*controlv1.ConfigResponse, error) {
	defer s.c.meter.busy(time.Now())
	return s.c.configSince(r.HaveGeneration, r.HaveChangeId), nil
}

// Outcome asks the register of this incarnation.
func (s *service) Outcome(ctx context.Context, r *controlv1.OutcomeRequest) (*controlv1.OutcomeResponse, error) {
	if s.c.s.Outcomes == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this node has no register"))
	}
	if r.Executor != uint64(s.c.s.Self.ID) {
		// Another incarnation: what the earlier one did is not known here.
		return &controlv1.OutcomeResponse{}, nil
	}
	a := s.c.s.Outcomes.Outcome(ctx, OutcomeQuery{
		RequestID: r.RequestId, Attempt: r.Attempt, Executor: mustardmast.NodeID(r.Executor), Withdraw: r.Withdraw,
	})
	return &controlv1.OutcomeResponse{State: controlv1.OutcomeState(a.State), Status: uint32(a.Status)}, nil
}

// Quarantine takes evidence about requests that crashed targets.
func (s *service) Quarantine(_ context.Context, r *controlv1.QuarantineRequest) (*controlv1.QuarantineResponse, error) {
	if s.c.s.Quarantine == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this node has no quarantine"))
	}
	s.c.s.Quarantine.Merge(s.c.s.Timers.Now(), decodeNews(r))
	return &controlv1.QuarantineResponse{}, nil
}
