// Package hostlink carries calls and gossip messages between nodes.
//
// Nodes use a protocol of their own, over one connection from each node to each node that it calls. A call is a stream
// of frames, cancellation is an abort frame, and pings distinguish a dead connection from an idle one. The protocol
// provides what HTTP/2 would, at less than half of the CPU time: a call without a large body takes one frame in each
// direction, and frames of several calls are written together. This CPU time limits the nodes beside the few targets of
// a service deep in the call graph.
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
	"mustardmast/io/message"
)

const dialTimeout = 300 * time.Millisecond // round trips within a region take milliseconds

// Client sends calls and gossip messages to other nodes. Its methods may be called concurrently.
type Client struct {
	dialer *net.Dialer
	silent func(address string)

	mu    sync.Mutex
	peers map[string]*peer // by address
}

// peer holds the connection to one address.
type peer struct {
	conn    *conn    // nil if not connected
	dialing *dialing // nil if no dial is in progress
}

// dialing is a dial in progress. All calls that need the connection wait for it.
type dialing struct {
	done chan struct{}
	conn *conn
	err  error
}

// NewClient returns a client whose connections originate from a local address. Silent is called when a node to which calls
// are in flight does not respond any more.
func NewClient(local net.IP, silent func(address string)) *Client {
	return &Client{dialer: &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: local}}, silent: silent, peers: map[string]*peer{}}
}

// openStream opens a stream to the node at an address, and connects first if necessary. Concurrent calls share a dial.
func (c *Client) openStream(ctx context.Context, address string, s *stream) error {
	c.mu.Lock()
	p := c.peers[address]
	if p == nil {
		p = &peer{}
		c.peers[address] = p
	}
	if p.conn != nil && p.conn.openStream(s) {
		c.mu.Unlock()
		return nil
	}
	d := p.dialing
	if d == nil {
		d = &dialing{done: make(chan struct{})}
		p.dialing = d
		go c.dial(address, p, d)
	}
	c.mu.Unlock()
	select {
	case <-d.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if d.err != nil {
		return d.err
	}
	if !d.conn.openStream(s) {
		return errClosed
	}
	return nil
}

func (c *Client) dial(address string, p *peer, d *dialing) {
	defer close(d.done)
	var n net.Conn
	n, d.err = c.dialer.Dial("tcp", address)
	if d.err == nil {
		d.conn = newConn(n, idleTimeout, nil, func(*conn) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.removeIfUnused(address, p)
		}, func() { c.silent(address) })
		d.conn.writeBuf = append(d.conn.writeBuf, preface...)
		go d.conn.readFrames()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.conn, p.dialing = d.conn, nil
	c.removeIfUnused(address, p)
}

// removeIfUnused removes the entry of an address that has neither an open connection nor a dial in progress.
func (c *Client) removeIfUnused(address string, p *peer) {
	if p.dialing == nil && (p.conn == nil || p.conn.closed()) && c.peers[address] == p {
		delete(c.peers, address)
	}
}

// Execute runs a call on the target beside the node at an address. The boolean result reports whether a target report
// was received. An error has the outcome not-executed only if the call has not run and will not. The caller must close
// the body of the reply.
func (c *Client) Execute(ctx context.Context, address string, call *mustardmast.TargetCall) (*mustardmast.TargetReply, mustardmast.TargetReport, bool, error) {
	if ctx.Err() != nil {
		return nil, mustardmast.TargetReport{}, false, linkError(ctx, ctx.Err(), false)
	}
	s := newStream()
	s.head = make(chan reply, 1)
	if err := c.openStream(ctx, address, s); err != nil {
		return nil, mustardmast.TargetReport{}, false, linkError(ctx, err, false)
	}
	head := encodeCall(call, time.Now())
	if len(head) > maxHeadSize {
		s.finish(true)
		return nil, mustardmast.TargetReport{}, false, fault.New(fault.BadRequest, "request head exceeds the maximum size")
	}
	first, rest := splitBody(call.Body, call.Length)
	s.window.reserve(len(first))
	kind := byte(kindCall)
	if rest == nil {
		kind |= flagLast
	}
	if !s.conn.writeHead(kind, s.id, head, first) { // the connection has been closed meanwhile
		s.finish(false)
		return nil, mustardmast.TargetReport{}, false, linkError(ctx, errClosed, false)
	}
	if rest != nil {
		go func() {
			if err := s.sendBody(rest); err != nil {
				s.conn.writeFrame(kindAbort, s.id) // a truncated body must not look complete
			}
		}()
	}
	var r reply
	select {
	case r = <-s.head:
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			s.finish(false) // the caller has gone
			return nil, mustardmast.TargetReport{}, false, linkError(ctx, ctx.Err(), true)
		}
		return c.cancel(ctx, s)
	}
	if r.err != nil {
		s.finish(true)
		return nil, mustardmast.TargetReport{}, false, linkError(ctx, r.err, true)
	}
	return c.reply(ctx, s, r)
}

// cancel cancels a call whose deadline has passed. It returns a reply that is complete by now. If the peer responds that the
// call has not run, the outcome of the error is not-executed.
func (c *Client) cancel(ctx context.Context, s *stream) (*mustardmast.TargetReply, mustardmast.TargetReport, bool, error) {
	late := fault.From(linkError(ctx, ctx.Err(), true))
	r, ok := s.cancel()
	if !ok || r.err != nil || !r.last {
		s.finish(true)
		return nil, mustardmast.TargetReport{}, false, late
	}
	reply, report, reported, err := c.reply(ctx, s, r)
	if err == nil {
		return reply, report, reported, nil
	}
	if fault.From(err).Outcome() == fault.NotExecuted {
		late = late.WithOutcome(fault.NotExecuted)
	}
	return nil, report, reported, late
}

func (c *Client) reply(ctx context.Context, s *stream, r reply) (*mustardmast.TargetReply, mustardmast.TargetReport, bool, error) {
	out, report, remoteErr, err := decodeReply(r.head)
	if err != nil {
		s.conn.retire()
	} else {
		err = remoteErr
	}
	if err != nil {
		s.finish(r.last)
		return nil, report, remoteErr != nil, err
	}
	if r.last {
		s.finish(true)
		out.Body = message.CheckedBody(io.NopCloser(bytes.NewReader(r.body)), out.Length)
		return out, report, true, nil
	}
	body := &replyBody{stream: s, stop: context.AfterFunc(ctx, func() { s.recv.fail(ctx.Err()) })}
	out.Body = message.CheckedBody(body, out.Length)
	return out, report, true, nil
}

// replyBody is the body of a reply that spans several frames.
type replyBody struct {
	stream *stream
	stop   func() bool
	once   sync.Once
}

func (b *replyBody) Read(p []byte) (int, error) { return b.stream.recv.Read(p) }

func (b *replyBody) Close() error {
	b.once.Do(func() {
		b.stop()
		b.stream.finish(b.stream.recv.complete())
	})
	return nil
}

// splitBody splits a body into the part that is sent with the head of a call and the rest, which is nil if nothing is
// left.
func splitBody(body io.Reader, length int64) (first []byte, rest io.Reader) {
	if body == nil || length == 0 {
		return nil, nil
	}
	buffered, ok := body.(*bytes.Reader) // in memory, so reading it does not block
	if !ok {
		return nil, body
	}
	first = make([]byte, min(chunkSize, buffered.Len()))
	n, _ := buffered.Read(first) // cannot fail, first is no longer than what is left
	if buffered.Len() == 0 {
		return first[:n], nil
	}
	return first[:n], buffered
}

// linkError returns the error of a call that failed on the connection. Sent is whether any part of the call may have
// been sent; if not, the call was not executed.
func linkError(ctx context.Context, err error, sent bool) error {
	if ctx.Err() != nil {
		kind := fault.Canceled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			kind = fault.DeadlineExceeded
		}
		f := fault.Wrap(ctx.Err(), kind, "waiting for peer node")
		if !sent {
			return f.WithOutcome(fault.NotExecuted)
		}
		return f
	}
	if !sent {
		return fault.Wrap(err, fault.PeerUnreachable, "connecting to peer node")
	}
	return fault.Wrap(err, fault.PeerLost, "connection to peer node lost")
}

// Exchange sends a gossip message to the node at an address and returns the message that the node sends back.
func (c *Client) Exchange(ctx context.Context, address string, m GossipMessage) (GossipMessage, error) {
	raw, err := json.Marshal(messageToWire(m))
	if err != nil {
		return GossipMessage{}, errors.Wrap(err, "exchange")
	}
	body, err := c.callNode(ctx, address, exchangePath, raw)
	if err != nil {
		return GossipMessage{}, errors.Wrap(err, "exchange")
	}
	var out wireMessage
	if err := json.Unmarshal(body, &out); err != nil {
		return GossipMessage{}, errors.Wrap(err, "exchange")
	}
	return messageFromWire(out), nil
}

// FetchConfig fetches the configuration document from the node at an address.
func (c *Client) FetchConfig(ctx context.Context, address string) ([]byte, error) {
	raw, err := c.callNode(ctx, address, documentPath, nil)
	return raw, errors.Wrap(err, "fetching configuration of peer node")
}

// callNode sends a request that the node serves itself instead of passing it to its target.
func (c *Client) callNode(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	reply, _, _, err := c.Execute(ctx, address, &mustardmast.TargetCall{
		Method: http.MethodPost, URI: path, Host: nodeHost, Body: bytes.NewReader(body), Length: int64(len(body)), Repeatable: true,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = reply.Body.Close() }() // already read, or the read error counts
	if reply.Status != http.StatusOK {
		return nil, errors.Errorf("status %d, expected 200", reply.Status)
	}
	return io.ReadAll(io.LimitReader(reply.Body, maxExchangeSize))
}

// Close closes the connections that have no calls in flight.
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
		v.closeIfIdle()
	}
}
