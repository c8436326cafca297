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

// OutcomeState is the state of an attempt at its executor.
type OutcomeState uint8

// Outcome states. OutcomeFenced means that the attempt has not started and never will.
const (
	OutcomeUnknown OutcomeState = iota
	OutcomeFenced
	OutcomeStarted
	OutcomeDone
)

// OutcomeQuery requests the state of one attempt of a request. If Withdraw is set, an attempt that has not started is
// fenced: the executor will reject it.
type OutcomeQuery struct {
	RequestID string
	Attempt   uint32
	Executor  mustardmast.NodeID
	Withdraw  bool
}

// OutcomeResponse is the state of an attempt and, if that is OutcomeDone, its HTTP status.
type OutcomeResponse struct {
	State  OutcomeState
	Status int
}

// Outcomes answers outcome queries. It receives only queries that name this incarnation of the node as executor.
type Outcomes interface {
	Outcome(ctx context.Context, q OutcomeQuery) OutcomeResponse
}

// Quarantine merges quarantine updates from other nodes, and returns the node's own evidence as updates.
type Quarantine interface {
	Merge(now time.Time, updates []quarantine.Update) bool
	UpdatesFor(now time.Time, fingerprints []quarantine.Fingerprint) []quarantine.Update
}

// Handler returns the path and handler of the control service, to be registered at the server of the peer address.
func (c *Control) Handler() (string, http.Handler) {
	path, h := controlv1.NewControlServiceHandler(&service{c}, handlerOptions()...)
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.countBytes(r.URL.Path, 0, rpcOverheadBytes/2+int(max(r.ContentLength, 0)))
		mw := &meteredWriter{ResponseWriter: w}
		h.ServeHTTP(mw, r)
		c.countBytes(r.URL.Path, rpcOverheadBytes/2+mw.written, 0)
	})
}

func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithReadMaxBytes(maxMessageBytes)}
}

func handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(1 << 10)}
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

// Unwrap supports http.ResponseController.
func (w *meteredWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// service implements the control service and converts its wire types.
type service struct{ c *Control }

var _ controlv1.ControlServiceHandler = (*service)(nil)

// Sync returns a page of member records. It fails if the byte budget of this node is exhausted; the caller then tries
// another node later.
func (s *service) Sync(_ context.Context, r *controlv1.SyncRequest) (*controlv1.SyncResponse, error) {
	defer s.c.meter.recordBusy(time.Now())
	if s.c.bucket.Level(s.c.s.Timers.Now()) < 0 {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("byte budget of the control plane exhausted"))
	}
	updates, next := s.c.members.Page(member.SyncRequest{
		Cursor: r.Cursor, Services: r.WantedServices, Domain: r.FailureDomain, Hashes: r.BucketHashes,
		MaxBytes: min(int(r.MaxBytes), syncPageBytes),
	})
	return &controlv1.SyncResponse{
		Members: encodeUpdates(updates), NextCursor: next, Generation: s.c.rollout.Current().Generation,
	}, nil
}

// Config returns the part of the configuration in force that the caller lacks.
func (s *service) Config(_ context.Context, r *controlv1.ConfigRequest) (*controlv1.ConfigResponse, error) {
	defer s.c.meter.recordBusy(time.Now())
	return s.c.configSince(r.HaveGeneration, r.HaveChangeId), nil
}

// Outcome returns the state of an attempt that was sent to this incarnation of the node.
func (s *service) Outcome(ctx context.Context, r *controlv1.OutcomeRequest) (*controlv1.OutcomeResponse, error) {
	if s.c.s.Outcomes == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this node records no attempts"))
	}
	if r.Executor != uint64(s.c.s.Self.ID) {
		// The attempt was sent to another incarnation, whose attempts are unknown here.
		return &controlv1.OutcomeResponse{}, nil
	}
	outcome := s.c.s.Outcomes.Outcome(ctx, OutcomeQuery{
		RequestID: r.RequestId, Attempt: r.Attempt, Executor: mustardmast.NodeID(r.Executor), Withdraw: r.Withdraw,
	})
	return &controlv1.OutcomeResponse{State: controlv1.OutcomeState(outcome.State), Status: uint32(outcome.Status)}, nil
}

// Quarantine merges updates about requests that crashed targets, and returns the evidence that this node had about them
// before: the sender may be a node that was not known here when earlier updates were sent.
func (s *service) Quarantine(_ context.Context, r *controlv1.QuarantineRequest) (*controlv1.QuarantineResponse, error) {
	if s.c.s.Quarantine == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this node has no quarantine list"))
	}
	now, updates := s.c.s.Timers.Now(), decodeQuarantineUpdates(r.News)
	fingerprints := make([]quarantine.Fingerprint, len(updates))
	for i, u := range updates {
		fingerprints[i] = u.Fingerprint
	}
	known := s.c.s.Quarantine.UpdatesFor(now, fingerprints)
	s.c.s.Quarantine.Merge(now, updates)
	return &controlv1.QuarantineResponse{News: encodeQuarantineUpdates(known)}, nil
}
