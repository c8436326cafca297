package peer

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mustardmast"
	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/io/execute"
	"mustardmast/io/header"
	"mustardmast/io/message"
	"mustardmast/io/outbound"
	"mustardmast/io/strict"
)

// Client sends calls to other nodes.
type Client struct {
	clock     mustardmast.Clock
	transport *strict.Transport
	sender    *outbound.Sender
	monitor   *outbound.ConnMonitor
}

// maxIdleConnsPerHost limits the idle connections to one node. Opening a connection takes about a millisecond.
const maxIdleConnsPerHost = 64

// NewClient returns a client. It uses HTTP/1.1 over persistent connections: HTTP/2 streams took 1.7 to 3.8 times as
// long per call under parallel load, see docs/decisions/node-transport.md. Connections are opened from the local
// address, if it is not nil. OnStalled is called for each stalled connection that is closed.
func NewClient(clock mustardmast.Clock, local net.IP, onStalled func()) *Client {
	monitor := outbound.NewConnMonitor(clock, local, onStalled)
	var p http.Protocols
	p.SetHTTP1(true)
	t := strict.New(&http.Transport{
		DialContext:           monitor.Dial,
		Protocols:             &p,
		MaxIdleConnsPerHost:   maxIdleConnsPerHost,
		IdleConnTimeout:       90 * time.Second,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Second,
	}, 0) // a node shows progress by interim responses
	s := outbound.New(t, fault.PeerUnreachable, fault.PeerLost, "target's node")
	s.SetMonitor(monitor)
	return &Client{clock: clock, transport: t, sender: s, monitor: monitor}
}

// Check closes stalled connections. It must be called every outbound.CheckPeriod.
func (c *Client) Check(now time.Time) { c.monitor.Check(now) }

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Execute sends the call to the node m, which runs it on the target of its host.
func (c *Client) Execute(ctx context.Context, m mustardmast.Member, r *message.Request, env execute.Envelope) (execute.Reply, error) {
	return c.send(ctx, m, executePath, r, env)
}

// ExecuteAsOwner forwards the call to the node m, which issued the request id and decides whether the request may
// start.
func (c *Client) ExecuteAsOwner(ctx context.Context, m mustardmast.Member, r *message.Request) (execute.Reply, error) {
	return c.send(ctx, m, ownPath, r, execute.Envelope{Recipient: m.ID})
}

func (c *Client) send(ctx context.Context, m mustardmast.Member, path string, r *message.Request, env execute.Envelope) (execute.Reply, error) {
	var none execute.Reply
	out, err := c.newRequest(m, path, r, env)
	if err != nil {
		return none, err
	}
	res, err := c.sender.Send(ctx, out, r.Call)
	if err != nil {
		if fault.From(err).Outcome() == fault.NotExecuted {
			none.Retries = r.Call.Retries()
		}
		return none, err
	}
	return c.readReply(r.Call, res)
}

func (c *Client) newRequest(m mustardmast.Member, path string, r *message.Request, env execute.Envelope) (*http.Request, error) {
	u, err := url.ParseRequestURI(path + r.URI)
	if err != nil {
		return nil, fault.Newf(fault.BadRequest, "invalid path %q", r.URI)
	}
	u.Scheme, u.Host = "http", m.Address.String()
	head := make(http.Header, len(r.Header)+16)
	message.CopyHeader(head, r.Header)
	header.WriteCall(head, c.clock.Now(), r.Call)
	header.WriteEnvelope(head, r.Call, header.Envelope{
		Incarnation: uint64(env.Recipient), Nonce: env.Nonce, Digest: r.Digest, Withheld: env.Withheld,
	})
	out := &http.Request{Method: r.Method, URL: u, Host: u.Host, Header: head}
	if !r.Body.Buffered() {
		// The node can then reject the call before the body is uploaded.
		head.Set("Expect", "100-continue")
	}
	return out, outbound.SetBody(out, r.Body)
}

// readReply checks that the response belongs to the call and moves the node's headers into the reply.
func (c *Client) readReply(sent call.Call, res *http.Response) (execute.Reply, error) {
	var reply execute.Reply
	if got := res.Header.Get(header.RequestID); got != sent.ID() || res.Header.Get(header.Outcome) == "" {
		_ = res.Body.Close()
		return reply, fault.Newf(fault.PeerLost, "response has request id %q or no outcome", got)
	}
	if l, ok := header.ReadLoad(res.Header); ok {
		reply.Load = l
	}
	if n, err := strconv.Atoi(res.Header.Get(header.AdmissionLevel)); err == nil && n >= 0 && n <= call.NumCohorts {
		reply.Level, reply.HasLevel = mustardmast.Level(n), true
	}
	left, _ := strconv.Atoi(res.Header.Get(header.RetryBudget)) // 0 if absent
	reply.Retries = max(0, min(left, sent.Retries()))
	if err := header.ReadError(res.Header); err != nil {
		_ = res.Body.Close()
		return reply, err
	}
	for _, k := range []string{header.Load, header.AdmissionLevel, header.RetryBudget} {
		res.Header.Del(k)
	}
	reply.Response = &message.Response{
		Status: res.StatusCode, Header: res.Header, Body: responseBody{res.Body}, Length: res.ContentLength,
	}
	return reply, nil
}
