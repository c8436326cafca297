package inlet

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"mustardmast/core/quota"
)

// slowConn is a connection whose client reads some bytes of each write within the time-out.
type slowConn struct {
	net.Conn
	reads   int // bytes of each write
	written int
}

func (c *slowConn) SetWriteDeadline(time.Time) error { return nil }

func (c *slowConn) Write(p []byte) (int, error) {
	n := min(c.reads, len(p))
	c.written += n
	if n < len(p) {
		return n, os.ErrDeadlineExceeded
	}
	return n, nil
}

// Guards against the end of a response whose client reads it slowly, and against a client that reads nothing and holds its
// connection for good.
func TestSlowClientGetsItsResponse(t *testing.T) {
	slow := &slowConn{reads: 1000}
	n, err := (&conn{Conn: slow, inlet: New(1, quota.New(0))}).Write(make([]byte, 100_000))
	assert.NilError(t, err)
	assert.Equal(t, n, 100_000)
	assert.Equal(t, slow.written, 100_000)
	n, err = (&conn{Conn: &slowConn{}, inlet: New(1, quota.New(0))}).Write(make([]byte, 100_000))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Equal(t, n, 0)
}
