package client

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mustardmast/core/fault"
	"mustardmast/core/retry"
	"mustardmast/io/header"
)

// maxErrorBody bounds the body of an error answer.
const maxErrorBody = 64 << 10

// maxRetryAfter is the longest wait that an answer can ask for, a day like the longest deadline.
const maxRetryAfter = 24 * time.Hour

// send sends the request once, through the first address that accepts a connection.
func (s *sending) send(ctx context.Context, avoid map[string]bool) (*Response, error) {
	passed := map[string]bool{}
	for a := range avoid {
		passed[a] = true
	}
	for {
		address := s.c.nodes.choose(time.Now(), passed)
		res, err := s.through(ctx, address)
		if err == nil || !errors.Is(err, errRefused) {
			return res, err
		}
		s.c.nodes.refused(time.Now(), address)
		if passed[address] {
			return nil, err // all addresses were tried
		}
		passed[address] = true
	}
}

// errRefused is the cause of errors without any connection to the address.
var errRefused = errors.New("no connection")

// through sends the request to one address.
func (s *sending) through(ctx context.Context, address string) (*Response, error) {
	fresh := s.id == ""
	if fresh {
		id, err := s.c.issued(ctx, address)
		if err != nil {
			return nil, err
		}
		s.id = id
	}
	g := s.budget.Grant(false)
	res, err := s.attempt(ctx, address, g)
	if e := fault.From(err); e != nil {
		switch {
		case errors.Is(err, errRefused):
			g.Return(g.Units())
			s.attempts.Add(-1)
			if fresh {
				s.id = "" // nothing left with it, and its owner may be gone
			}
		case e.Outcome() != fault.NotExecuted:
			s.mayRun.Store(true)
		}
		if e.Kind() == fault.Draining || e.Kind() == fault.NotReady {
			s.c.nodes.leave(address)
		}
	}
	return res, err
}

// attempt makes one HTTP exchange.
func (s *sending) attempt(ctx context.Context, address string, g *retry.Grant) (*Response, error) {
	n := int(s.attempts.Add(1))
	req, err := s.build(ctx, address, sent{id: s.id, attempt: n, budget: g.Units()})
	if err != nil {
		s.attempts.Add(-1)
		g.Return(g.Units())
		return nil, err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	res, err := s.c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if ctx.Err() != context.Canceled {
			s.c.nodes.leave(address)
		}
		return nil, s.c.transportError(ctx, err, connected.Load())
	}
	defer func() { _ = res.Body.Close() }() // all that counts was read
	if n, err := strconv.Atoi(res.Header.Get(header.RetryBudget)); err == nil {
		g.Return(n)
	}
	return s.read(ctx, res)
}

// build returns the HTTP request of one send.
func (s *sending) build(ctx context.Context, address string, o sent) (*http.Request, error) {
	now := time.Now()
	if s.deadline.Sub(now) < time.Millisecond {
		return nil, fault.New(fault.DeadlinePassed, "less than a millisecond left")
	}
	h, err := s.r.headers(now, s.deadline, o, s.c.settings.Backer)
	if err != nil {
		return nil, err
	}
	body, length, err := s.r.body()
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "body of the request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+s.path, body)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "")
	}
	req.Header, req.ContentLength = h, length
	return req, nil
}

// transportError judges an exchange without an answer. That nothing was sent is certain only if the dial failed, or if
// the standard transport, which reports connections, never had one.
func (c *Client) transportError(ctx context.Context, err error, connected bool) error {
	var op *net.OpError
	dial := errors.As(err, &op) && op.Op == "dial"
	if _, ok := c.settings.Transport.(*http.Transport); dial || ok && !connected {
		return notSent(ctx, err)
	}
	return lost(ctx, err, fault.PeerLost)
}

// refused is an errRefused that keeps the transport's own words.
type refused struct{ error }

func (refused) Is(target error) bool { return target == errRefused }

// lost returns the error of an exchange that broke after bytes may have been sent.
func lost(ctx context.Context, err error, k fault.Kind) error {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		k = fault.DeadlineExceeded
	case context.Canceled:
		k = fault.Canceled
	}
	return fault.Wrap(err, k, "")
}

// read turns an answer into a response or the error that it carries.
func (s *sending) read(ctx context.Context, res *http.Response) (*Response, error) {
	id := res.Header.Get(header.RequestID)
	e := header.ReadError(res.Header)
	unread := e != nil && e.Kind() == fault.BadRequest && id == "" // refused before the id was read
	if !unread && !s.r.sameID(s.id, id) {
		return nil, fault.Newf(fault.Internal, "answer has request id %q instead of %q, status %d", id, s.id, res.StatusCode)
	}
	if e != nil {
		// A value of many digits overflows in the codec and comes out negative.
		return nil, detailed(e.WithRetryAfter(min(max(e.RetryAfter(), 0), maxRetryAfter)), res.Body)
	}
	if o := res.Header.Get(header.Outcome); o != fault.Executed.String() {
		return nil, fault.Newf(fault.Internal, "answer without error has outcome %q, status %d", o, res.StatusCode)
	}
	if endless(res) {
		return nil, fault.New(fault.AnswerCut, "the answer has neither a length nor an end mark")
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, s.c.settings.MaxBodyBytes+1))
	if err != nil {
		return nil, lost(ctx, err, fault.AnswerCut)
	}
	if int64(len(body)) > s.c.settings.MaxBodyBytes {
		return nil, fault.Newf(fault.Internal, "answer is longer than %d bytes", s.c.settings.MaxBodyBytes).WithOutcome(fault.Executed)
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body, ID: s.id}, nil
}

// endless reports an HTTP/1 answer that ends with its connection, which looks the same if it is cut short.
func endless(res *http.Response) bool {
	return res.ProtoMajor == 1 && res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed
}

// detailed adds the detail from the body of an error answer. The headers alone decide; a body that cannot be read
// changes nothing.
func detailed(e *fault.Error, body io.Reader) error {
	var b struct {
		Detail string `json:"detail"`
	}
	if json.NewDecoder(io.LimitReader(body, maxErrorBody)).Decode(&b) != nil || b.Detail == "" {
		return e
	}
	return fault.New(e.Kind(), b.Detail).WithOutcome(e.Outcome()).WithRetryAfter(e.RetryAfter())
}
