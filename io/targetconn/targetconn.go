// Package targetconn is an HTTP/1.1 client for the target on this host.
//
// A target may respond before it has read a request, send a second response after a complete one, break off a response,
// or never respond. The client of net/http does not distinguish these cases. This package manages its own connections,
// skips responses that belong to an earlier request, and distinguishes a request that was never sent, one that the
// target refused, and one that may have run.
package targetconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/io/orderly"
	"mustardmast/io/rawhead"
)

const (
	dialTimeout = 300 * time.Millisecond // the target is on this host; connecting takes about a millisecond
	// maxIdleTime is how long an unused connection is kept. The target closes idle connections after a second or more,
	// sometimes earlier and without notice, and a network path may fail without a reset. A call on a connection that
	// has been idle for longer may be lost, while a new connection costs a millisecond.
	maxIdleTime = 200 * time.Millisecond
	// responseGrace is how long to wait for a response after the deadline; the target itself responds at the deadline.
	responseGrace = 150 * time.Millisecond
	// maxInlineBody is the size in bytes of the largest body that is written together with the request head.
	maxInlineBody  = 16 << 10
	headSizeHint   = 1 << 10  // bytes; enough for most request heads
	chunkSize      = 32 << 10 // bytes per chunk of a body of unknown length
	readBufferSize = 4 << 10
	// maxHeadSize is the size in bytes of the largest response head. A link to another node carries no larger one.
	maxHeadSize = 192 << 10
	// maxStaleResponses is the maximum number of responses to earlier requests that are skipped.
	maxStaleResponses = 4
	// maxStaleBody is the size in bytes of the largest body of such a response that is skipped.
	maxStaleBody = 1 << 20
	// maxRefusedIDs is the number of refused calls after which a connection is not kept.
	maxRefusedIDs = 16
	maxIdleConns  = 512
)

type conn struct {
	*orderly.Conn
	r         *bufio.Reader
	limited   *io.LimitedReader // underlies r; bounds the response head
	recorder  rawhead.Recorder  // of response heads
	idleSince time.Time
	kept      bool     // has carried an earlier call
	refused   []string // ids of calls that the target refused on this connection
}

// Pool holds the connections to one target. Its methods may be called concurrently.
type Pool struct {
	address string
	names   mustardmast.HeaderNames
	onDial  func()

	mu   sync.Mutex
	idle []*conn
}

// New returns a pool without connections. It calls onDial before each new connection is opened.
func New(address string, names mustardmast.HeaderNames, onDial func()) *Pool {
	return &Pool{address: address, names: names, onDial: onDial}
}

// Address returns the address of the target.
func (p *Pool) Address() string { return p.address }

// CloseIdle closes the idle connections, for example when another lifetime takes over the address.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // no call is using it
	}
}

// get returns the most recently used idle connection for the call with the given id, or nil if all have been idle for
// too long. A connection on which the target has refused the same call is passed over: the target might send that refusal
// once more, and nothing would distinguish it from the response to the next attempt.
func (p *Pool) get(now time.Time, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if now.Sub(c.idleSince) > maxIdleTime {
			return nil
		}
		if slices.Contains(c.refused, id) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if c.r.Buffered() == 0 {
			return c
		}
		_ = c.Close() // the target sent unsolicited bytes
	}
	return nil
}

func (p *Pool) put(now time.Time, c *conn) {
	if c.SetDeadline(time.Time{}) != nil || c.r.Buffered() > 0 || len(c.refused) > maxRefusedIDs {
		_ = c.Close()
		return
	}
	c.idleSince, c.kept = now, true
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && (len(p.idle) >= maxIdleConns || now.Sub(p.idle[0].idleSince) > maxIdleTime) { // oldest first
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.onDial()
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: orderly.New(n)} // the body of a response may end with the connection
	c.Record(&c.recorder)
	c.limited = &io.LimitedReader{R: c.Conn, N: math.MaxInt64}
	c.r = bufio.NewReaderSize(c.limited, readBufferSize)
	return c, nil
}

// Do sends a call to the lifetime of the target with the given id. An error has the outcome not-executed only if the
// call has not run and will not. The caller must close the body of the reply. The header is that of the response of this
// lifetime, also if it did not execute the call; it is nil without such a response.
func (p *Pool) Do(ctx context.Context, c *mustardmast.TargetCall, lifetime string, deadline time.Time) (*mustardmast.TargetReply, http.Header, error) {
	cn := p.get(time.Now(), c.ID)
	if cn == nil {
		var err error
		if cn, err = p.dial(ctx); err != nil {
			if ctx.Err() != nil {
				return nil, nil, fault.Wrap(ctx.Err(), fault.Canceled, "before the request was sent").WithOutcome(fault.NotExecuted)
			}
			return nil, nil, fault.Wrap(err, fault.NotReady, "connecting to target")
		}
	}
	return p.exchange(ctx, cn, c, lifetime, deadline)
}

// replyBody is the body of a reply. Closing it returns the connection to the pool if the body was read to its end.
type replyBody struct {
	pool   *Pool
	conn   *conn
	resp   *http.Response
	upload *upload
	stop   func() bool
	eof    bool
	closed bool
}

func (b *replyBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.eof = true
	}
	return n, err
}

func (b *replyBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.eof && b.resp.ContentLength == 0 {
		b.eof = true
	}
	reusable := b.stop() && b.eof && !b.resp.Close && b.upload.complete()
	if b.resp.ContentLength < 0 && len(b.resp.TransferEncoding) == 0 {
		reusable = false
	}
	if !reusable {
		return b.conn.Close()
	}
	b.pool.put(time.Now(), b.conn)
	return nil
}

// Probe requests the health path of the target and returns the response headers, which carry its lifetime and load. It
// returns an error for a status other than 200; the headers are nil only if there was no response.
func (p *Pool) Probe(ctx context.Context, path string) (http.Header, error) {
	cn, err := p.dial(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotReady, "connecting to target")
	}
	defer func() { _ = cn.Close() }() // probes are rare, so the connection is not kept
	if deadline, ok := ctx.Deadline(); ok {
		_ = cn.SetDeadline(deadline) // if this fails, so does the write below
	}
	if _, err = fmt.Fprintf(cn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, p.address); err != nil {
		return nil, fault.Wrap(err, fault.TargetFailed, "probe")
	}
	resp, err := cn.readHead(nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.TargetFailed, "probe")
	}
	if resp.StatusCode != http.StatusOK {
		return resp.Header, fault.Newf(fault.NotReady, "probe: status %d, expected 200", resp.StatusCode)
	}
	return resp.Header, nil
}
