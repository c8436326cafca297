// Package targetconn speaks HTTP/1.1 to the target on this host.
//
// A target may answer before it has read a request, send a second answer after a complete one, break off, or never
// answer at all. So the package does not use net/http's client: it keeps connections of its own, passes over answers
// that belong to an earlier request, and tells apart a request that was never sent, one that the target refused, and one
// that may have run.
package targetconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
)

const (
	dialTimeout = 300 * time.Millisecond // the target is on this host; a connection costs about a millisecond
	// keptIdle is how long a connection is kept while no call uses it. The target drops idle connections after a second or
	// more, now and then sooner and without a word, and a link may go silent for good. So a connection that has been idle
	// for longer may swallow a call, while a new one costs a millisecond.
	keptIdle = 200 * time.Millisecond
	// answerGrace is the wait for an answer beyond the deadline; the target itself answers at the deadline.
	answerGrace = 150 * time.Millisecond
	// inlineBody is the largest body that is sent in one write with its head.
	inlineBody  = 16 << 10
	requestHead = 1 << 10  // bytes of most heads
	copyBuffer  = 32 << 10 // bytes of one chunk of a body whose length is not known
	readBuffer  = 4 << 10
	// mostHead is the largest head of an answer in bytes; a link to another node carries no larger one.
	mostHead = 192 << 10
	// mostForeign bounds the answers to earlier requests that are passed over.
	mostForeign = 4
	maxIdle     = 512
)

type conn struct {
	net.Conn
	r         *bufio.Reader
	limit     *io.LimitedReader // below r
	idleSince time.Time
}

// Pool holds the connections to one target. Its methods may be called concurrently.
type Pool struct {
	address string
	names   mustardmast.HeaderNames
	dialed  func()

	mu   sync.Mutex
	idle []*conn
}

// New returns a pool without connections. It calls dialed for each new connection.
func New(address string, names mustardmast.HeaderNames, dialed func()) *Pool {
	return &Pool{address: address, names: names, dialed: dialed}
}

// CloseIdle closes the idle connections, for example when another lifetime answers at the address.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // nothing is under way on it
	}
}

// take returns the connection that was in use last, nil if it has been idle for too long.
func (p *Pool) take(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if now.Sub(c.idleSince) > keptIdle {
			return nil
		}
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.r.Buffered() == 0 {
			return c
		}
		_ = c.Close() // the target sent bytes that nobody asked for
	}
	return nil
}

func (p *Pool) put(now time.Time, c *conn) {
	if c.SetDeadline(time.Time{}) != nil || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && (len(p.idle) >= maxIdle || now.Sub(p.idle[0].idleSince) > keptIdle) { // the front is idle for longest
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.dialed()
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: n, N: math.MaxInt64}
	return &conn{Conn: n, r: bufio.NewReaderSize(limit, readBuffer), limit: limit}, nil
}

// Do sends a call to the lifetime of the target with this id. An error's outcome is not-executed only if the call
// cannot run. The body of the reply must be closed.
func (p *Pool) Do(ctx context.Context, c *mustardmast.TargetCall, lifetime string, deadline time.Time) (*mustardmast.TargetReply, error) {
	cn := p.take(time.Now())
	if cn == nil {
		var err error
		if cn, err = p.dial(ctx); err != nil {
			if ctx.Err() != nil {
				return nil, fault.Wrap(ctx.Err(), fault.Canceled, "before it was sent").WithOutcome(fault.NotExecuted)
			}
			return nil, fault.Wrap(err, fault.NotReady, "no connection to the target")
		}
	}
	return p.exchange(ctx, cn, c, lifetime, deadline)
}

// replyBody is the body of a reply. The connection goes back to the pool once it is read to its end.
type replyBody struct {
	pool   *Pool
	conn   *conn
	resp   *http.Response
	upload *upload
	stop   func() bool
	ended  bool
	closed bool
}

func (b *replyBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

func (b *replyBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.ended && b.resp.ContentLength == 0 {
		b.ended = true
	}
	open := b.stop() && b.ended && !b.resp.Close && b.upload.complete()
	if b.resp.ContentLength < 0 && len(b.resp.TransferEncoding) == 0 {
		open = false
	}
	if !open {
		return b.conn.Close()
	}
	b.pool.put(time.Now(), b.conn)
	return nil
}

// Probe asks the target for its lifetime and load on the health path.
func (p *Pool) Probe(ctx context.Context, path string) (http.Header, error) {
	cn, err := p.dial(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotReady, "no connection to the target")
	}
	defer func() { _ = cn.Close() }() // a probe is rare, its connection is not kept
	if deadline, ok := ctx.Deadline(); ok {
		_ = cn.SetDeadline(deadline) // without it the read below fails instead
	}
	if _, err = fmt.Fprintf(cn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, p.address); err != nil {
		return nil, fault.Wrap(err, fault.TargetFailed, "probe")
	}
	resp, err := http.ReadResponse(cn.r, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.TargetFailed, "probe")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fault.Newf(fault.NotReady, "probe: status %d", resp.StatusCode)
	}
	return resp.Header, nil
}
