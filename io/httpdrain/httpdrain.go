// Package httpdrain stops an HTTP server without dropping requests.
//
// http.Server drops a request that it reads after Shutdown has been called: the client has sent a whole request and its
// connection ends without a response. A Server therefore stops listening first, and shuts down only when no connection is
// new or has a request in progress.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	pollInterval = 20 * time.Millisecond
	// maxNewAge is how long Shutdown waits for the first request on a connection. Clients open some connections in
	// advance, and a request that is under way arrives within milliseconds.
	maxNewAge = time.Second
)

// Server is an HTTP server that tracks the state of its connections. Its methods may be called concurrently.
type Server struct {
	server *http.Server

	mu       sync.Mutex
	listener net.Listener           // nil before Serve
	stopped  chan struct{}          // closed when Serve has returned
	opened   map[net.Conn]time.Time // connections without a request so far
	active   map[net.Conn]struct{}  // connections whose request is being read or served
}

// New returns a server that serves by s. It extends the ConnState hook of s.
func New(s *http.Server) *Server {
	d := &Server{server: s, stopped: make(chan struct{}), opened: map[net.Conn]time.Time{}, active: map[net.Conn]struct{}{}}
	hook := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		d.connStateChanged(c, state)
		if hook != nil {
			hook(c, state)
		}
	}
	return d
}

func (s *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.opened, conn)
	delete(s.active, conn)
	switch state {
	case http.StateNew:
		s.opened[conn] = time.Now()
	case http.StateActive:
		s.active[conn] = struct{}{}
	}
}

// idle reports whether no connection has a request in progress, or is so new that its first request may be under way.
func (s *Server) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.opened {
		if now.Sub(at) < maxNewAge {
			return false
		}
	}
	return len(s.active) == 0
}

// Serve serves the connections of a listener until the server stops, and returns the error of http.Server.Serve. It may
// be called once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.stopped)
	if tcp, ok := l.(*net.TCPListener); ok {
		l = NewListener(tcp)
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	return s.server.Serve(l)
}

// Close closes all connections, also those with a request in progress.
func (s *Server) Close() error { return s.server.Close() }

// Shutdown stops listening, waits until no connection has a request in progress, and shuts the server down. It returns
// the error of ctx if that ends first; the connections are still open then, and Shutdown may be called again.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.stopListening(); err != nil {
		return err
	}
	for !s.idle(time.Now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	s.closeUnused()
	return s.server.Shutdown(ctx)
}

// closeUnused closes the connections that have not carried a request; http.Server would wait some seconds for them.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.opened {
		_ = conn.Close() // nothing is lost if this fails
	}
}

// stopListening closes the listener and waits until all connections of its queue are tracked. It does nothing before
// Serve.
func (s *Server) stopListening() error {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return nil
	}
	if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // an earlier Shutdown may have closed it
		return err
	}
	<-s.stopped
	return nil
}
