// Package hostlink carries calls and news between nodes.
//
// Nodes speak HTTP/2 without encryption to each other over one connection for each pair: a call is a stream, giving a
// call up resets it, and a ping tells a silent connection from an idle one. A node's own answer carries an error field;
// an answer without it is a target's.
package hostlink

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
)

const (
	dialTimeout = 300 * time.Millisecond // hosts of a region are milliseconds apart
	pingAfter   = 700 * time.Millisecond // silence after which a connection is checked
	pingTimeout = 500 * time.Millisecond // for the answer to the check
	// idleTimeout is after how long a connection without calls is closed. Most pairs of nodes call each other seldom, and
	// the checks of idle connections between all of them would cost more than the calls.
	idleTimeout = 2 * time.Second
	// abandoned is after how long a node closes a connection whose caller has left it without calls and without a word.
	abandoned = 5 * idleTimeout
)

// Client sends calls and news to other nodes. Its methods may be called concurrently.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client that opens connections from a local address.
func NewClient(local net.IP) *Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: local}}
	return &Client{transport: &http.Transport{
		Protocols: p, DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// Execute runs a call on the target beside the node at this address. The report is false where none came.
func (c *Client) Execute(ctx context.Context, address string, call *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, bool, error) {
	u, err := url.ParseRequestURI(call.URI)
	if err != nil {
		return nil, mustardmast.TargetReport{}, false, fault.Wrap(err, fault.BadRequest, "request target")
	}
	u.Scheme, u.Host = "http", address
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	r := (&http.Request{
		Method: http.MethodPost, URL: u, Host: call.Host, Header: callHeader(call, time.Now()),
		Proto: "HTTP/2.0", ProtoMajor: 2,
	}).WithContext(ctx)
	if call.Body != nil && call.Length != 0 {
		r.Body, r.ContentLength = io.NopCloser(call.Body), call.Length
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, mustardmast.TargetReport{}, false, lost(ctx, err, sent.Load())
	}
	report, ok := decodeReport(resp.Header.Get(fieldReport))
	if err := readError(resp.Header); err != nil {
		_ = resp.Body.Close() // it has no body
		return nil, report, ok, err
	}
	delete(resp.Header, fieldReport)
	return &mustardmast.TargetReply{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body}, report, ok, nil
}

func lost(ctx context.Context, err error, sent bool) error {
	if ctx.Err() != nil {
		kind := fault.Canceled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			kind = fault.DeadlineExceeded
		}
		f := fault.Wrap(ctx.Err(), kind, "waiting for another node")
		if !sent {
			return f.WithOutcome(fault.NotExecuted)
		}
		return f
	}
	if !sent {
		return fault.Wrap(err, fault.PeerUnreachable, "no connection")
	}
	return fault.Wrap(err, fault.PeerLost, "connection broke")
}

// Exchange sends news to the node at this address and returns its own.
func (c *Client) Exchange(ctx context.Context, address string, n News) (News, error) {
	raw, err := json.Marshal(newsToWire(n))
	if err != nil {
		return News{}, errors.Wrap(err, "exchange")
	}
	body, err := c.own(ctx, http.MethodPost, address, exchangePath, raw)
	if err != nil {
		return News{}, errors.Wrap(err, "exchange")
	}
	var out wireNews
	if err := json.Unmarshal(body, &out); err != nil {
		return News{}, errors.Wrap(err, "exchange")
	}
	return newsFromWire(out), nil
}

// Document fetches the configuration from the node at this address.
func (c *Client) Document(ctx context.Context, address string) ([]byte, error) {
	raw, err := c.own(ctx, http.MethodGet, address, documentPath, nil)
	return raw, errors.Wrap(err, "configuration of another node")
}

func (c *Client) own(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = linkHost
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // it has been read or is given up
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(resp.Body, mostExchange))
}

// Close closes the connections without calls.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
