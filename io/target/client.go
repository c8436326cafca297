package target

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/io/header"
	"mustardmast/io/message"
	"mustardmast/io/orderly"
	"mustardmast/io/outbound"
	"mustardmast/io/rawhead"
	"mustardmast/io/strict"
)

// maxHeadSize is the maximum size in bytes of a response head. The default of net/http would let a faulty target take 10 MB
// for each call.
const maxHeadSize = 192 << 10

// Client sends calls to the target on this host. Its methods may be called concurrently.
type Client struct {
	transport *strict.Transport
	sender    *outbound.Sender
}

// NewClient returns a client. It does not limit the number of connections. A target accepts a limited number, but each
// call uses one connection and the slots limit the number of calls.
func NewClient() *Client {
	t := strict.New(&http.Transport{
		DialContext:           orderly.Dial((&net.Dialer{}).DialContext),
		MaxIdleConnsPerHost:   1024,
		IdleConnTimeout:       90 * time.Second,
		DisableCompression:    true, // bodies are passed on unchanged
		ExpectContinueTimeout: time.Second,

		MaxResponseHeaderBytes: maxHeadSize,
	}, rawhead.MaxInterim)
	return &Client{transport: t, sender: outbound.New(t, fault.TargetRefused, fault.TargetFailed, "target")}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends the request to the target at a. Seen is the call as the target sees it: the last service of its path is
// the target's own. The error has the kind target-refused if no connection could be opened or the target rejected the
// call before executing it, and target-failed if the connection broke. Other kinds are bad-request, canceled,
// retry-budget-exhausted (the body was sent before and is not buffered), deadline-passed (no connection before the
// deadline) and deadline-exceeded (no response before it).
func (c *Client) Send(ctx context.Context, a Announcement, now time.Time, r *message.Request, seen call.Call) (*message.Response, error) {
	req, err := newRequest(a, now, r, seen)
	if err != nil {
		return nil, err
	}
	resp, err := c.sender.Send(ctx, req, seen)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(header.Executed) == "false" {
		_ = resp.Body.Close()
		return nil, fault.New(fault.TargetRefused, "the target refused before it started")
	}
	return &message.Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength}, nil
}

func newRequest(a Announcement, now time.Time, r *message.Request, seen call.Call) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, fault.Newf(fault.BadRequest, "invalid request path %q", r.URI)
	}
	target.Scheme, target.Host = "http", a.Address.String()
	h := make(http.Header, len(r.Header)+10)
	message.CopyHeader(h, r.Header)
	header.WriteCall(h, now, seen)
	hideIdempotencyKey(h, seen)
	req := &http.Request{Method: r.Method, URL: target, Host: target.Host, Header: h}
	return req, outbound.SetBody(req, r.Body)
}

// hideIdempotencyKey writes the idempotency key in lower case for non-idempotent calls. net/http would resend a request
// with the canonical key when a kept-alive connection breaks, although the target may have executed the first one.
func hideIdempotencyKey(h http.Header, seen call.Call) {
	if seen.Idempotent() {
		return
	}
	for _, k := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := h[k]; ok {
			delete(h, k)
			h[lowerCaseKeys[k]] = v
		}
	}
}

var lowerCaseKeys = map[string]string{"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key"}
