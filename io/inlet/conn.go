package inlet

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// ConnBytes is the memory in bytes that one connection takes: its goroutine, its buffers and a head of usual size.
	ConnBytes = 24 << 10
	// writeTimeout is how long a client may read nothing of a response before its connection is closed.
	writeTimeout = 15 * time.Second
	// maxWrite is the number of bytes written with one timeout.
	maxWrite = 16 << 10
)

// conn is a connection that an Inlet has accepted.
type conn struct {
	net.Conn
	inlet  *Inlet
	id     uint64
	closed atomic.Bool
}

// Write implements net.Conn. It fails if the client reads nothing for writeTimeout.
func (c *conn) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		now := time.Now()
		if err = c.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			break
		}
		c.inlet.set.Writing(now, c.id)
		var n int
		n, err = c.Conn.Write(p[:min(maxWrite, len(p))])
		c.inlet.set.Written(c.id)
		written, p = written+n, p[n:]
	}
	return written, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.inlet.remove(c)
	}
	return c.Conn.Close()
}

// Keep makes the inlet not close the connection for another one while its client reads. It returns false if it has been closed.
func (c *conn) Keep() bool {
	return c.inlet.set.Serving(c.id)
}

// CloseWrite shuts down the writing side of the connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.New("the connection can't be shut down on one side")
}

// SetLinger sets how Close handles data that has not been sent yet, like the method of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return errors.New("the connection has no linger setting")
}
