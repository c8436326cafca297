package control

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/member"
	"mustardmast/core/quarantine"
	"mustardmast/io/control/controlv1"
	"mustardmast/io/eventlog"
)

const (
	callTimeout     = 5 * time.Second
	idleTimeout     = 30 * time.Second
	maxMessageBytes = 4 << 20 // a configuration takes at most 1 MB, a page of Sync far less
	// rpcOverheadBytes estimates the HTTP/2 frames and headers of one call on an open connection.
	rpcOverheadBytes = 300
	// dialBytes estimates the packets that open and close a connection, and the first HTTP/2 frames on it.
	dialBytes = 700
	dialPath  = "/dial"
)

// byteCounter records the bytes of one control call.
type byteCounter func(path string, sent, received int)

// countBytes records the bytes of a call. Sync, Config and connection setup draw on the token bucket. Outcome and
// Quarantine do not, because requests wait for their results.
func (c *Control) countBytes(path string, sent, received int) {
	c.meter.sent.Add(uint64(sent))
	c.meter.received.Add(uint64(received))
	if path == dialPath || strings.HasSuffix(path, "/Sync") || strings.HasSuffix(path, "/Config") {
		c.bucket.Charge(c.s.Timers.Now(), sent+received)
	}
}

// client makes control calls to peers.
type client struct {
	http *http.Client
}

func newClient(base *http.Client, count byteCounter) *client {
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
			// Health checks keep the next call from reusing a connection that has stopped responding.
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

// meteredTransport counts the bytes of bodies and an estimate of the headers.
type meteredTransport struct {
	base  http.RoundTripper
	count byteCounter
}

func (t *meteredTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.count(r.URL.Path, rpcOverheadBytes/2+int(max(r.ContentLength, 0)), 0)
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	t.count(r.URL.Path, 0, rpcOverheadBytes/2)
	resp.Body = &meteredBody{ReadCloser: resp.Body, onRead: func(n int) { t.count(r.URL.Path, 0, n) }}
	return resp, nil
}

func (t *meteredTransport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

type meteredBody struct {
	io.ReadCloser
	onRead func(int)
}

func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.onRead(n)
	}
	return n, err
}

// QueryOutcome queries the node to which an attempt was sent for the outcome of the attempt. An error has the kind
// OutcomeUnknown: no response was received.
func (c *Control) QueryOutcome(ctx context.Context, to mustardmast.Member, q OutcomeQuery) (OutcomeResponse, error) {
	resp, err := c.client.to(to.Address).Outcome(ctx, &controlv1.OutcomeRequest{
		RequestId: q.RequestID, Attempt: q.Attempt, Executor: uint64(q.Executor), Withdraw: q.Withdraw,
	})
	if err != nil {
		return OutcomeResponse{}, fault.Wrap(err, fault.OutcomeUnknown, "query outcome of request "+q.RequestID)
	}
	return OutcomeResponse{State: OutcomeState(resp.State), Status: int(resp.Status)}, nil
}

// ExchangeQuarantine sends a member the quarantine updates about requests that crashed targets, and merges the member's
// evidence about the same requests.
func (c *Control) ExchangeQuarantine(ctx context.Context, to mustardmast.Member, updates []quarantine.Update) error {
	res, err := c.client.to(to.Address).Quarantine(ctx, &controlv1.QuarantineRequest{News: encodeQuarantineUpdates(updates)})
	if err != nil {
		return fault.Wrap(err, fault.PeerUnreachable, "send quarantine updates")
	}
	if c.s.Quarantine != nil {
		c.s.Quarantine.Merge(c.s.Timers.Now(), decodeQuarantineUpdates(res.News))
	}
	return nil
}

// sync pulls the member records that differ from those of the peers, page by page while the byte budget lasts. The
// pages are requested from the peers in turn, so that the cost of a joining node is spread over several peers.
func (c *Control) sync(peers []mustardmast.Member) {
	req := &controlv1.SyncRequest{
		From: uint64(c.s.Self.ID), FailureDomain: c.s.Self.FailureDomain,
		WantedServices: c.wantedServices(), MaxBytes: syncPageBytes,
	}
	for page := 0; ; page++ {
		now := c.s.Timers.Now()
		if c.bucket.Level(now) < syncCostBytes {
			c.members.SyncInterrupted(now, false)
			return
		}
		req.BucketHashes = c.members.Hashes()
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		resp, err := c.client.to(peers[page%len(peers)].Address).Sync(ctx, req)
		cancel()
		if err != nil {
			if c.ctx.Err() == nil {
				c.s.Log.Write(eventlog.MemberSyncFailed, zap.Stringer("with", peers[page%len(peers)].Address), zap.Int("page", page), zap.Error(err))
			}
			c.members.SyncInterrupted(now, true)
			return
		}
		start := time.Now()
		c.applyMembership(c.members.Merge(c.s.Timers.Now(), decodeUpdates(resp.Members)))
		c.meter.recordBusy(start)
		if resp.NextCursor == 0 {
			c.members.SyncCompleted()
			return
		}
		req.Cursor = resp.NextCursor
	}
}

const (
	syncPageBytes = 8 << 10
	syncCostBytes = syncPageBytes + 4*member.HashBuckets + rpcOverheadBytes
)
