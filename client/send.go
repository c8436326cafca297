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
	"mustardmast/io/message"
	"mustardmast/io/strict"
)

// maxErrorBodyBytes limits how much is read of the body of an error response.
const maxErrorBodyBytes = 64 << 10

// maxRetryAfter is the longest wait that a response can request. It equals the longest deadline, one day.
const maxRetryAfter = 24 * time.Hour

// send sends the request once, through the first address that accepts it.
func (inv *invocation) send(ctx context.Context, avoid map[string]bool) (*Response, error) {
	tried := map[string]bool{}
	for a := range avoid {
		tried[a] = true
	}
	for {
		address := inv.client.nodes.choose(time.Now(), tried)
		res, err := inv.sendTo(ctx, address)
		if err == nil || !errors.Is(err, errNotSent) {
			return res, err
		}
		inv.client.nodes.markDown(time.Now(), address)
		if tried[address] {
			return nil, err // all addresses were tried
		}
		tried[address] = true
	}
}

// errNotSent matches errors that prove that the request was not sent to the address, so that another can be tried.
var errNotSent = errors.New("no connection")

// sendTo sends the request to one address.
func (inv *invocation) sendTo(ctx context.Context, address string) (*Response, error) {
	fetchID := inv.id == ""
	if fetchID {
		id, err := inv.client.issuedID(ctx, address)
		if err != nil {
			return nil, err
		}
		inv.id = id
	}
	grant := inv.budget.Grant(false)
	res, err := inv.exchange(ctx, address, grant)
	if e := fault.From(err); e != nil {
		switch {
		case errors.Is(err, errNotSent):
			grant.Return(grant.Units())
			inv.attempts.Add(-1)
			if fetchID {
				inv.id = "" // not used in any send, and the node that issued it may be gone
			}
		case e.Outcome() != fault.NotExecuted:
			inv.mayHaveRun.Store(true)
		}
		if e.Kind() == fault.Draining || e.Kind() == fault.NotReady {
			inv.client.nodes.switchFrom(address)
		}
	}
	return res, err
}

// exchange sends one HTTP request and reads its response. The grant gets back what the response returns unused.
func (inv *invocation) exchange(ctx context.Context, address string, grant *retry.Grant) (*Response, error) {
	n := int(inv.attempts.Add(1))
	req, err := inv.newHTTPRequest(ctx, address, sendParams{id: inv.id, attempt: n, budget: grant.Units()})
	if err != nil {
		inv.attempts.Add(-1)
		grant.Return(grant.Units())
		return nil, err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	res, err := inv.client.httpClient.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if ctx.Err() != context.Canceled {
			inv.client.nodes.switchFrom(address)
		}
		return nil, inv.client.transportError(ctx, err, connected.Load())
	}
	defer func() { _ = res.Body.Close() }() // everything needed was read
	// The transport may be the caller's, and check nothing.
	if err := message.CheckHead(res.StatusCode, res.Header); err != nil {
		return nil, exchangeError(ctx, err, fault.PeerLost)
	}
	if n, err := strconv.Atoi(res.Header.Get(header.RetryBudget)); err == nil {
		grant.Return(n)
	}
	return inv.readResponse(ctx, res)
}

// newHTTPRequest returns the HTTP request of one send.
func (inv *invocation) newHTTPRequest(ctx context.Context, address string, params sendParams) (*http.Request, error) {
	now := time.Now()
	if inv.deadline.Sub(now) < time.Millisecond {
		return nil, fault.New(fault.DeadlinePassed, "less than 1 ms left before the deadline")
	}
	h, err := inv.request.headers(now, inv.deadline, params, inv.client.settings.Backer)
	if err != nil {
		return nil, err
	}
	body, length, err := inv.request.body()
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "get the request body")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+inv.path, body)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "")
	}
	req.Header, req.ContentLength = h, length
	return req, nil
}

// transportError returns the error of an exchange without a response. The request was certainly not sent only if the
// dial failed, or if the transport is one that reports connections, and reported none.
func (c *Client) transportError(ctx context.Context, err error, connected bool) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	reports := false
	switch c.settings.Transport.(type) {
	case *http.Transport, *strict.Transport:
		reports = true
	}
	if dialFailed || reports && !connected {
		return notSent(ctx, err)
	}
	return exchangeError(ctx, err, fault.PeerLost)
}

// notSentError matches errNotSent and keeps the message of the underlying error.
type notSentError struct{ error }

func (notSentError) Is(target error) bool { return target == errNotSent }

// exchangeError returns the error of an exchange that failed after bytes may have been sent.
func exchangeError(ctx context.Context, err error, k fault.Kind) error {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		k = fault.DeadlineExceeded
	case context.Canceled:
		k = fault.Canceled
	}
	return fault.Wrap(err, k, "")
}

// readResponse returns the complete response, or the error that the response reports.
func (inv *invocation) readResponse(ctx context.Context, res *http.Response) (*Response, error) {
	id := res.Header.Get(header.RequestID)
	e := header.ReadError(res.Header)
	idNotRead := e != nil && e.Kind() == fault.BadRequest && id == "" // rejected before the id was read
	if !idNotRead && !inv.request.matchesID(inv.id, id) {
		return nil, fault.Newf(fault.Internal, "response has request id %q instead of %q, status %d", id, inv.id, res.StatusCode)
	}
	if e != nil {
		// A value with many digits overflows in the codec and becomes negative.
		return nil, withDetail(e.WithRetryAfter(min(max(e.RetryAfter(), 0), maxRetryAfter)), res.Body)
	}
	if o := res.Header.Get(header.Outcome); o != fault.Executed.String() {
		return nil, fault.Newf(fault.Internal, "response without error has outcome %q, status %d", o, res.StatusCode)
	}
	if closeDelimited(res) {
		return nil, fault.New(fault.AnswerCut, "the response has neither Content-Length nor chunked encoding")
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, inv.client.settings.MaxBodyBytes+1))
	if err != nil {
		return nil, exchangeError(ctx, err, fault.AnswerCut)
	}
	if int64(len(body)) > inv.client.settings.MaxBodyBytes {
		return nil, fault.Newf(fault.Internal, "response body is longer than %d bytes", inv.client.settings.MaxBodyBytes).WithOutcome(fault.Executed)
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body, ID: inv.id}, nil
}

// closeDelimited reports whether the body of an HTTP/1 response ends with the connection. Truncation of such a body
// cannot be detected.
func closeDelimited(res *http.Response) bool {
	return res.ProtoMajor == 1 && res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed
}

// withDetail adds the detail from the body of an error response. Kind, outcome and wait come from the headers; a body
// that cannot be read is ignored.
func withDetail(e *fault.Error, body io.Reader) error {
	var b struct {
		Detail string `json:"detail"`
	}
	if json.NewDecoder(io.LimitReader(body, maxErrorBodyBytes)).Decode(&b) != nil || b.Detail == "" {
		return e
	}
	return fault.New(e.Kind(), b.Detail).WithOutcome(e.Outcome()).WithRetryAfter(e.RetryAfter())
}
