package target

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/io/header"
	"mustardmast/io/message"
	"mustardmast/io/outbound"
)

// Client sends calls to the target on this host.
type Client struct {
	transport *http.Transport
	sender    *outbound.Sender
}

// NewClient returns a client. A target accepts a limited number of connections; slots bound them, because each call
// uses one.
func NewClient() *Client {
	t := &http.Transport{
		MaxIdleConnsPerHost:   1024,
		IdleConnTimeout:       90 * time.Second,
		DisableCompression:    true, // bodies pass unchanged
		ExpectContinueTimeout: time.Second,
	}
	return &Client{transport: t, sender: outbound.New(t, fault.TargetRefused, fault.TargetFailed, "target")}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends the request to the target at a. The call is the one that the target sees: its path ends in the target's
// own service.
func (c *Client) Send(ctx context.Context, a Announcement, now time.Time, r *message.Request, seen call.Call) (*message.Response, error) {
	out, err := newRequest(a, now, r, seen)
	if err != nil {
		return nil, err
	}
	res, err := c.sender.Send(ctx, out, seen)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(header.Executed) == "false" {
		_ = res.Body.Close()
		return nil, fault.New(fault.TargetRefused, "the target refused before it started")
	}
	return &message.Response{Status: res.StatusCode, Header: res.Header, Body: res.Body, Length: res.ContentLength}, nil
}

func newRequest(a Announcement, now time.Time, r *message.Request, seen call.Call) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, fault.Newf(fault.BadRequest, "path %q", r.URI)
	}
	u.Scheme, u.Host = "http", a.Address.String()
	h := make(http.Header, len(r.Header)+10)
	message.CopyHeader(h, r.Header)
	header.WriteCall(h, now, seen)
	hideIdempotencyKey(h, seen)
	out := &http.Request{Method: r.Method, URL: u, Host: u.Host, Header: h}
	return out, outbound.SetBody(out, r.Body)
}

// hideIdempotencyKey writes the key in lower case for non-idempotent calls. net/http sends a request with the
// canonical key a second time when a kept-alive connection breaks, although the target may have run the first.
func hideIdempotencyKey(h http.Header, c call.Call) {
	if c.Idempotent() {
		return
	}
	for _, k := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := h[k]; ok {
			delete(h, k)
			h[lower[k]] = v
		}
	}
}

var lower = map[string]string{"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key"}
