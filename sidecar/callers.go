package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// callerServer serves the clients and the target on this host. It tracks the state of its connections, because
// http.Server drops a request that it reads after Shutdown has been called.
type callerServer struct {
	server *http.Server

	mu          sync.Mutex
	listener    net.Listener          // nil before Serve
	activeConns map[net.Conn]struct{} // connections that are new, or whose request is being read or served
}

func newCallerServer(h http.Handler) *callerServer {
	s := &callerServer{server: newHTTPServer(h), activeConns: map[net.Conn]struct{}{}}
	s.server.ConnState = s.connStateChanged
	return s
}

func (s *callerServer) connStateChanged(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		s.activeConns[conn] = struct{}{}
	default:
		delete(s.activeConns, conn)
	}
}

// idle reports whether no connection is new or has a request in progress.
func (s *callerServer) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.activeConns) == 0
}

// Serve implements server.
func (s *callerServer) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	return s.server.Serve(l)
}

// Close implements server.
func (s *callerServer) Close() error { return s.server.Close() }

// stopListening closes the listener. It does nothing before Serve.
func (s *callerServer) stopListening() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return nil
	}
	return errors.Wrap(s.listener.Close(), "listener")
}

// shutdown stops listening, waits until no connection has a request in progress, and shuts the server down. It returns
// the error of ctx if that ends first.
func (s *callerServer) shutdown(ctx context.Context) error {
	if err := s.stopListening(); err != nil {
		return err
	}
	for !s.idle() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
	return s.server.Shutdown(ctx)
}
