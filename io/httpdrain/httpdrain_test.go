package httpdrain_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/httpdrain"
)

func listen(t *testing.T, h http.HandlerFunc) (*httpdrain.Server, string) {
	t.Helper()
	return serve(t, &http.Server{Handler: h})
}

// serve checks that Serve ends with an error by which the caller sees that the server was stopped.
func serve(t *testing.T, server *http.Server) (*httpdrain.Server, string) {
	t.Helper()
	s := httpdrain.New(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		err := <-ended
		assert.Check(t, errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed), "%v", err)
	})
	return s, l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	time.Sleep(20 * time.Millisecond) // until the server has accepted it
	return c
}

func request(t *testing.T, c net.Conn) int {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode
}

// Guards against a request that is read while the server stops and that ends without a response.
func TestRequestReadDuringShutdownIsAnswered(t *testing.T) {
	s, address := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		w.WriteHeader(http.StatusTeapot)
	})
	c := dial(t, address)
	ended := make(chan error)
	go func() { ended <- s.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, request(t, c), http.StatusTeapot)
	assert.NilError(t, <-ended)
}

// Guards against a stop that lasts until the end of the grace period because a client has opened a connection in advance.
func TestUnusedConnectionDoesNotHoldShutdown(t *testing.T) {
	s, address := listen(t, func(http.ResponseWriter, *http.Request) {})
	dial(t, address)
	used := dial(t, address)
	assert.Equal(t, request(t, used), http.StatusOK)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Shutdown(ctx))
	assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
}

// Guards against connections that clients have opened, and on which they have sent a request, and that are reset when the
// server stops listening before it has accepted them.
func TestConnectionsInTheQueueAreServedOnShutdown(t *testing.T) {
	accepting, accept := make(chan struct{}), make(chan struct{})
	var first sync.Once
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			first.Do(func() {
				close(accepting)
				<-accept // keeps the server from accepting more connections
			})
			return ctx
		},
	}
	s, address := serve(t, server)
	conns := []net.Conn{dial(t, address)}
	<-accepting
	for range 10 {
		conns = append(conns, dial(t, address))
	}
	ended := make(chan error)
	go func() { ended <- s.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	close(accept)
	for _, c := range conns {
		assert.Equal(t, request(t, c), http.StatusOK)
	}
	assert.NilError(t, <-ended)
}
