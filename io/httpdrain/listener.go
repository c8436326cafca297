package httpdrain

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// listener is a TCP listener that accepts all connections of its queue when it is closed. The kernel resets connections
// that are in the queue of a closed socket, although their clients may have sent a request.
type listener struct {
	*net.TCPListener

	mu     sync.Mutex
	closed bool
	queued []net.Conn // accepted while closing
}

// NewListener returns a listener that accepts all connections of its queue when it is closed. Serve makes one of a
// net.TCPListener itself; a listener that wraps another one must wrap one of these.
func NewListener(l *net.TCPListener) net.Listener { return &listener{TCPListener: l} }

// Accept returns the next connection. After Close it returns those that were in the queue, and then net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.closed:
		return nil, err
	case len(l.queued) == 0:
		return nil, net.ErrClosed
	}
	c = l.queued[0]
	l.queued = l.queued[1:]
	return c, nil
}

// Close accepts the connections in the queue and closes the listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "listener")
	}
	var files []int
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil { // EAGAIN: the queue is empty
				// Close takes effect only when a blocked Accept has returned. If this fails, it still does.
				_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
				return
			}
			files = append(files, accepted)
		}
	})
	closeErr := l.TCPListener.Close()
	for _, fd := range files {
		f := os.NewFile(uintptr(fd), "connection")
		c, connErr := net.FileConn(f)
		_ = f.Close() // FileConn has its own descriptor
		if connErr != nil {
			err = connErr
			continue
		}
		l.queued = append(l.queued, c)
	}
	if err != nil {
		return errors.Wrap(err, "accept queued connections")
	}
	return errors.Wrap(closeErr, "listener")
}
