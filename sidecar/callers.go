package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// callers is the server of this host's clients. Its connections are followed, because http.Server drops a request that it
// reads after Shutdown was called.
type callers struct {
	server *http.Server

	mu       sync.Mutex
	listener net.Listener          // nil before Serve
	busy     map[net.Conn]struct{} // connections whose request is awaited, read or served
}

func newCallers(h http.Handler) *callers {
	c := &callers{server: plainServer(h), busy: map[net.Conn]struct{}{}}
	c.server.ConnState = c.changed
	return c
}

func (c *callers) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.busy[conn] = struct{}{}
	default:
		delete(c.busy, conn)
	}
}

func (c *callers) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy) == 0
}

// Serve implements server.
func (c *callers) Serve(l net.Listener) error {
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	return c.server.Serve(l)
}

// Close implements server.
func (c *callers) Close() error { return c.server.Close() }

// stopListening closes the listener, if there is one yet.
func (c *callers) stopListening() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener == nil {
		return nil
	}
	return errors.Wrap(c.listener.Close(), "listener")
}

// shutdown takes no more connections, and closes those that are open once their requests are answered.
func (c *callers) shutdown(ctx context.Context) error {
	if err := c.stopListening(); err != nil {
		return err
	}
	for !c.quiet() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(stopPoll):
		}
	}
	return c.server.Shutdown(ctx)
}
