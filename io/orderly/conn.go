// Package orderly distinguishes a connection that its peer has closed from one that broke.
//
// The kernel reports the error of a broken connection once, to a read or to a write. If a write gets it, reads return
// io.EOF, as after an orderly close, and a body that ends with the connection would look complete.
package orderly

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection whose reads return io.EOF only if the peer has closed it in order. Its methods may be called
// concurrently.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	written sync.Cond // signaled at the end of a write
	writing int       // writes in progress
	err     error     // by which a write has found the connection broken
	record  io.Writer // gets a copy of what is read; may be nil
}

// DialFunc opens connections, as the method DialContext of net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections by dial and returns each as a Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// New returns a Conn that reads from and writes to c.
func New(c net.Conn) *Conn {
	o := &Conn{Conn: c}
	o.written.L = &o.mu
	return o
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	if isBroken(err) {
		c.err = err
	}
	c.mu.Unlock()
	c.written.Broadcast()
	return n, err
}

// isBroken reports whether the error of a write means that the connection broke. EPIPE does not: the peer has closed the
// connection before, or the error that broke it has been returned by another call.
func isBroken(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements net.Conn. The first read that ends with io.EOF also ends the writes in progress: a peer that has closed
// its side of an HTTP/1 connection does not use the rest of a request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	record := c.record
	c.mu.Unlock()
	if n > 0 && record != nil {
		_, _ = record.Write(p[:n]) // a recording has no part in the read
	}
	if err == io.EOF { //nolint:errorlint // a wrapped io.EOF is a failure
		if broken := c.endWrites(); broken != nil {
			err = broken
		}
	}
	return n, err
}

// Record makes the connection write a copy of what is read from now on to w, in place of the writer of an earlier call.
func (c *Conn) Record(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record = w
}

// endWrites ends the writes in progress and returns the error by which any write has found the connection broken. It waits
// for them, since one that the kernel has told the error may not have recorded it yet.
func (c *Conn) endWrites() error {
	// The deadline ends the writes that wait for the peer to read.
	if err := c.SetWriteDeadline(time.Unix(0, 1)); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing > 0 {
		c.written.Wait()
	}
	return c.err
}
