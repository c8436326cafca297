package inlet

import (
	"bytes"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// ConnBytes is the memory in bytes that one connection takes without a large head: its goroutine, its buffers and
	// freeHeadBytes.
	ConnBytes = 24 << 10
	// freeHeadBytes is the memory of a head that is not taken from the quota. Most heads take less.
	freeHeadBytes = 8 << 10
	// A head is held as it came, as decoded fields, and as the fields that are forwarded. Each byte of it takes
	// bytesPerByte, and each line bytesPerLine besides.
	bytesPerByte = 3
	bytesPerLine = 320
	// writeTimeout is how long a client may read nothing of a response before its connection is closed.
	writeTimeout = 15 * time.Second
	// maxWrite is the number of bytes written with one timeout.
	maxWrite = 16 << 10
)

var errNoRoom = errors.New("the memory for the heads of requests is in use")

// conn is a connection that an Inlet has accepted.
type conn struct {
	net.Conn
	inlet  *Inlet
	id     uint64
	inHead atomic.Bool // the next bytes belong to the head of a request, or precede it

	mu     sync.Mutex
	closed bool
	size   int64 // memory that the head takes
	taken  int64 // of it, from the quota
}

// Read implements net.Conn. It ends the connection if there is no memory for the head that is being read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.inHead.Load() && !c.grow(int64(n)*bytesPerByte+int64(bytes.Count(p[:n], []byte{'\n'}))*bytesPerLine) {
		c.inlet.refused.Add(1)
		_ = c.Close() // it is of no use any more
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errNoRoom}
	}
	return n, err
}

// grow adds to the size of the head. It returns false if the quota has no room for it.
func (c *conn) grow(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.size += n
	more := c.size - freeHeadBytes - c.taken
	if more <= 0 {
		return true
	}
	if c.closed || !c.inlet.heads.Acquire(more) {
		return false
	}
	c.taken += more
	return true
}

// releaseHead returns the memory of a head whose request has been served.
func (c *conn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken > 0 {
		c.inlet.heads.Release(c.taken)
	}
	c.size, c.taken = 0, 0
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
		if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil // the client reads slowly
		}
	}
	return written, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.releaseHead()
		c.inlet.remove(c)
	}
	return c.Conn.Close()
}

// Serving and Waiting tell the inlet whether the connection serves requests, for servers that Guard does not know. Serving
// returns false if the connection has been closed.
func (c *conn) Serving() bool { return c.inlet.set.Serving(c.id) }

// Waiting implements what Serving describes.
func (c *conn) Waiting() { c.inlet.set.Waiting(time.Now(), c.id) }

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
