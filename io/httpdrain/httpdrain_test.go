package httpdrain_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/httpdrain"
)

func listen(t *testing.T, h http.HandlerFunc) (*httpdrain.Server, string) {
	t.Helper()
	s := httpdrain.New(&http.Server{Handler: h})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
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
