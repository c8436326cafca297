// Package hostlink carries calls and news between nodes.
//
// Nodes speak a protocol of their own over one connection for each pair that calls: a call is a stream of frames, giving a
// call up aborts it, and a ping tells a silent connection from an idle one. It does for calls what HTTP/2 does, at less than
// half of the processor time: a call without a large body is one frame each way, and frames of several calls go out in one
// write. The nodes beside the few targets of a deep service are bound by just that.
package hostlink

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/fault"
)

const dialTimeout = 300 * time.Millisecond // hosts of a region are milliseconds apart

// Client sends calls and news to other nodes. Its methods may be called concurrently.
type Client struct {
	dialer *net.Dialer

	mu    sync.Mutex
	peers map[string]*peer // by address
}

// peer is the connection to one address.
type peer struct {
	conn    *conn    // nil if there is none
	opening *opening // nil if none is being opened
}

// opening is a connection that is being opened for all who wait for it.
type opening struct {
	done chan struct{}
	conn *conn
	err  error
}

// NewClient returns a client that opens connections from a local address.
func NewClient(local net.IP) *Client {
	return &Client{dialer: &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: local}}, peers: map[string]*peer{}}
}

// open opens a stream to the node at this address.
func (c *Client) open(ctx context.Context, address string, s *stream) error {
	c.mu.Lock()
	p := c.peers[address]
	if p == nil {
		p = &peer{}
		c.peers[address] = p
	}
	if p.conn != nil && p.conn.open(s) {
		c.mu.Unlock()
		return nil
	}
	o := p.opening
	if o == nil {
		o = &opening{done: make(chan struct{})}
		p.opening = o
		go c.dial(address, p, o)
	}
	c.mu.Unlock()
	select {
	case <-o.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if o.err != nil {
		return o.err
	}
	if !o.conn.open(s) {
		return errClosed
	}
	return nil
}

func (c *Client) dial(address string, p *peer, o *opening) {
	defer close(o.done)
	var n net.Conn
	n, o.err = c.dialer.Dial("tcp", address)
	if o.err == nil {
		o.conn = newConn(n, idleTimeout, nil, func(*conn) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.drop(address, p)
		})
		o.conn.out = append(o.conn.out, preface...)
		go o.conn.read()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.conn, p.opening = o.conn, nil
	c.drop(address, p)
}

// drop removes the entry of an address if it holds no connection that lives.
func (c *Client) drop(address string, p *peer) {
	if p.opening == nil && (p.conn == nil || p.conn.ended()) && c.peers[address] == p {
		delete(c.peers, address)
	}
}

// Execute runs a call on the target beside the node at this address. The report is false where none came.
func (c *Client) Execute(ctx context.Context, address string, call *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, bool, error) {
	if ctx.Err() != nil {
		return nil, mustardmast.TargetReport{}, false, lost(ctx, ctx.Err(), false)
	}
	s := newStream()
	s.head = make(chan reply, 1)
	if err := c.open(ctx, address, s); err != nil {
		return nil, mustardmast.TargetReport{}, false, lost(ctx, err, false)
	}
	head := encodeCall(call, time.Now())
	if len(head) > mostHead {
		s.end(true)
		return nil, mustardmast.TargetReport{}, false, fault.New(fault.BadRequest, "the head of the request is too large")
	}
	first, rest := inline(call.Body, call.Length)
	s.out.spend(len(first))
	kind := byte(kindCall)
	if rest == nil {
		kind |= flagLast
	}
	if !s.conn.writeHead(kind, s.id, head, first) { // it has ended since
		s.end(false)
		return nil, mustardmast.TargetReport{}, false, lost(ctx, errClosed, false)
	}
	if rest != nil {
		go func() {
			if err := s.send(rest); err != nil {
				s.conn.write(kindAbort, s.id) // an incomplete body must not look complete
			}
		}()
	}
	var r reply
	select {
	case r = <-s.head:
	case <-ctx.Done():
		s.end(false)
		return nil, mustardmast.TargetReport{}, false, lost(ctx, ctx.Err(), true)
	}
	if r.err != nil {
		s.end(true)
		return nil, mustardmast.TargetReport{}, false, lost(ctx, r.err, true)
	}
	return c.reply(ctx, s, r)
}

func (c *Client) reply(ctx context.Context, s *stream, r reply) (*mustardmast.TargetReply, mustardmast.TargetReport, bool, error) {
	out, report, failed, err := decodeReply(r.head)
	if err == nil && failed != nil {
		err = failed
	}
	if err != nil {
		s.end(r.last)
		return nil, report, failed != nil, err
	}
	if r.last {
		s.end(true)
		out.Body = io.NopCloser(bytes.NewReader(r.body))
		return out, report, true, nil
	}
	out.Body = &replyBody{stream: s, stop: context.AfterFunc(ctx, func() { s.in.fail(ctx.Err()) })}
	return out, report, true, nil
}

// replyBody is the body of a reply that comes in several frames.
type replyBody struct {
	stream *stream
	stop   func() bool
	once   sync.Once
}

func (b *replyBody) Read(p []byte) (int, error) { return b.stream.in.Read(p) }

func (b *replyBody) Close() error {
	b.once.Do(func() {
		b.stop()
		b.stream.end(b.stream.in.complete())
	})
	return nil
}

// inline splits a body into what goes with the head of a call and the rest, nil if there is none.
func inline(body io.Reader, length int64) (first []byte, rest io.Reader) {
	if body == nil || length == 0 {
		return nil, nil
	}
	held, ok := body.(*bytes.Reader) // in memory, so that it does not have to be waited for
	if !ok {
		return nil, body
	}
	first = make([]byte, min(chunk, held.Len()))
	n, _ := held.Read(first) // it has that many
	if held.Len() == 0 {
		return first[:n], nil
	}
	return first[:n], held
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
func (c *Client) Exchange(ctx context.Context, address string, n GossipMessage) (GossipMessage, error) {
	raw, err := json.Marshal(newsToWire(n))
	if err != nil {
		return GossipMessage{}, errors.Wrap(err, "exchange")
	}
	body, err := c.own(ctx, address, exchangePath, raw)
	if err != nil {
		return GossipMessage{}, errors.Wrap(err, "exchange")
	}
	var out wireNews
	if err := json.Unmarshal(body, &out); err != nil {
		return GossipMessage{}, errors.Wrap(err, "exchange")
	}
	return newsFromWire(out), nil
}

// FetchConfig fetches the configuration from the node at this address.
func (c *Client) FetchConfig(ctx context.Context, address string) ([]byte, error) {
	raw, err := c.own(ctx, address, documentPath, nil)
	return raw, errors.Wrap(err, "configuration of another node")
}

// own sends a request that is for the node itself.
func (c *Client) own(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	reply, _, _, err := c.Execute(ctx, address, &mustardmast.TargetCall{
		Method: http.MethodPost, URI: path, Host: linkHost, Body: bytes.NewReader(body), Length: int64(len(body)),
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = reply.Body.Close() }() // it has been read or is given up
	if reply.Status != http.StatusOK {
		return nil, errors.Errorf("status %d", reply.Status)
	}
	return io.ReadAll(io.LimitReader(reply.Body, mostExchange))
}

// Close closes the connections without calls.
func (c *Client) Close() {
	c.mu.Lock()
	var conns []*conn
	for _, p := range c.peers {
		if p.conn != nil {
			conns = append(conns, p.conn)
		}
	}
	c.mu.Unlock()
	for _, v := range conns {
		v.unused()
	}
}
