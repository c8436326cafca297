package control

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/member"
	"mustardmast/core/quarantine"
	"mustardmast/io/control/controlv1"
)

const (
	callTimeout = 5 * time.Second
	idleTimeout = 30 * time.Second
	maxMessage  = 4 << 20 // a configuration is at most 1 MB, a page of Sync far less
	// rpcOverhead estimates HTTP/2 frames and headers of one call on a connection that is open.
	rpcOverhead = 300
	// dialBytes estimates the packets that open and close a connection, and HTTP/2's first frames on it.
	dialBytes = 700
	dialPath  = "/dial"
)

// counter takes the bytes of one control call. Those of budgeted calls draw on the token bucket.
type counter func(path string, sent, received int)

// count meters a call. Callers wait for outcomes and quarantine verdicts, so these are never delayed.
func (c *Control) count(path string, sent, received int) {
	c.meter.sent.Add(uint64(sent))
	c.meter.received.Add(uint64(received))
	if path == dialPath || strings.HasSuffix(path, "/Sync") || strings.HasSuffix(path, "/Config") {
		c.bucket.Charge(c.s.Timers.Now(), sent+received)
	}
}

// client makes control calls to any peer.
type client struct {
	http *http.Client
}

func newClient(base *http.Client, count counter) *client {
	if base == nil {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		dialer := &net.Dialer{Timeout: callTimeout}
		base = &http.Client{Transport: &http.Transport{
			Protocols: protocols, IdleConnTimeout: idleTimeout,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				count(dialPath, dialBytes/2, dialBytes/2)
				return dialer.DialContext(ctx, network, address)
			},
			// A connection that went silent must not be used again for the next call.
			HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: time.Second},
		}}
	}
	counted := *base
	counted.Transport = &meteredTransport{base: base.Transport, count: count}
	return &client{http: &counted}
}

func (c *client) to(a netip.AddrPort) controlv1.ControlServiceClient {
	return controlv1.NewControlServiceClient(c.http, "http://"+a.String(), clientOptions()...)
}

func (c *client) close() { c.http.CloseIdleConnections() }

// meteredTransport counts the bodies of calls and an estimate of their headers.
type meteredTransport struct {
	base  http.RoundTripper
	count counter
}

func (t *meteredTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.count(r.URL.Path, rpcOverhead/2+int(max(r.ContentLength, 0)), 0)
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	t.count(r.URL.Path, 0, rpcOverhead/2)
	resp.Body = &meteredBody{ReadCloser: resp.Body, read: func(n int) { t.count(r.URL.Path, 0, n) }}
	return resp, nil
}

func (t *meteredTransport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

type meteredBody struct {
	io.ReadCloser
	read func(int)
}

func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.read(n)
	}
	return n, err
}

// QueryOutcome asks the node that was to run an attempt what became of it. Without a response the outcome is unknown.
func (c *Control) QueryOutcome(ctx context.Context, to mustardmast.Member, q OutcomeQuery) (OutcomeResponse, error) {
	resp, err := c.client.to(to.Address).Outcome(ctx, &controlv1.OutcomeRequest{
		RequestId: q.RequestID, Attempt: q.Attempt, Executor: uint64(q.Executor), Withdraw: q.Withdraw,
	})
	if err != nil {
		return OutcomeResponse{}, fault.Wrap(err, fault.OutcomeUnknown, "outcome of "+q.RequestID)
	}
	return OutcomeResponse{State: OutcomeState(resp.State), Status: int(resp.Status)}, nil
}

// SendQuarantine tells a member the evidence about requests that crashed targets.
func (c *Control) SendQuarantine(ctx context.Context, to mustardmast.Member, news []quarantine.Update) error {
	if _, err := c.client.to(to.Address).Quarantine(ctx, encodeNews(news)); err != nil {
		return fault.Wrap(err, fault.PeerUnreachable, "send quarantine news")
	}
	return nil
}

// sync pulls the records that differ from one of the given members, page by page while the budget lasts. Pages of a
// new node go to different members, so no single one pays for all.
func (c *Control) sync(with []mustardmast.Member) {
	req := &controlv1.SyncRequest{
		From: uint64(c.s.Self.ID), FailureDomain: c.s.Self.FailureDomain,
		WantedServices: c.wantedServices(), MaxBytes: syncPage,
	}
	for page := 0; ; page++ {
		now := c.s.Timers.Now()
		if c.bucket.Level(now) < syncCost {
			c.members.SyncInterrupted(now, false)
			return
		}
		req.BucketHashes = c.members.Hashes()
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		resp, err := c.client.to(with[page%len(with)].Address).Sync(ctx, req)
		cancel()
		if err != nil {
			c.members.SyncInterrupted(now, true)
			return
		}
		began := time.Now()
		c.do(c.members.Merge(c.s.Timers.Now(), decodeUpdates(resp.Members)))
		c.meter.busy(began)
		if resp.NextCursor == 0 {
			return
		}
		req.Cursor = resp.NextCursor
	}
}

const (
	syncPage = 8 << 10
	syncCost = syncPage + 4*member.HashBuckets + rpcOverhead
)
