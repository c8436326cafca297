package orderly_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/orderly"
)

// connect returns both ends of a connection. Any of its data that the peer does not read blocks writes at some point.
func connect(t *testing.T) (*orderly.Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	peer, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return orderly.New(c), peer.(*net.TCPConn)
}

// writeUntilError writes until a write fails, and then sends its error.
func writeUntilError(c net.Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		piece := make([]byte, 64<<10)
		for {
			if _, err := c.Write(piece); err != nil {
				failed <- err
				return
			}
		}
	}()
	return failed
}

// Guards against a reset that a concurrent write reports, so that the read sees an orderly end.
func TestResetDuringWrite(t *testing.T) {
	for range 50 {
		c, peer := connect(t)
		failed := writeUntilError(c)
		_, err := io.WriteString(peer, "part")
		assert.NilError(t, err)
		time.Sleep(5 * time.Millisecond) // until the write blocks
		assert.NilError(t, peer.SetLinger(0))
		assert.NilError(t, peer.Close())
		got, err := io.ReadAll(c)
		assert.Assert(t, err != nil, "%q looks complete", got)
		<-failed
	}
}

// Guards against a reset that shows in the read after a write that has reported it.
func TestResetBeforeRead(t *testing.T) {
	c, peer := connect(t)
	failed := writeUntilError(c)
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	<-failed
	_, err := io.ReadAll(c)
	assert.Assert(t, err != nil)
}

// Guards against an orderly end that is taken for a reset or that waits for a write which the peer does not read, also if
// the peer then closes the connection and answers further data with a reset.
func TestOrderlyEndDuringWrite(t *testing.T) {
	for _, end := range []func(*net.TCPConn) error{(*net.TCPConn).CloseWrite, (*net.TCPConn).Close} {
		c, peer := connect(t)
		_, err := io.WriteString(peer, "whole")
		assert.NilError(t, err)
		assert.NilError(t, end(peer))
		failed := writeUntilError(c)
		time.Sleep(20 * time.Millisecond) // until the write blocks or fails
		got, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "whole")
		<-failed
	}
}
