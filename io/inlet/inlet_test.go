package inlet_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/inlet"
)

// serve serves a handler behind an inlet and returns its address.
func serve(t *testing.T, in *inlet.Inlet, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: h}
	in.Guard(s)
	go func() { _ = s.Serve(in.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// ask sends a request on a connection and returns the status of its response, 0 if there is none.
func ask(c net.Conn) int {
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against a connection that finds no room beside others that only wait, and against the end of one that has waited
// for less time than another.
func TestNewConnectionTakesThePlaceOfTheLongestWait(t *testing.T) {
	in := inlet.New(2)
	address := serve(t, in, func(http.ResponseWriter, *http.Request) {})
	used, fresh := dial(t, address), dial(t, address)
	assert.Equal(t, ask(used), http.StatusOK)
	time.Sleep(20 * time.Millisecond) // until the second one has been accepted
	assert.Equal(t, ask(dial(t, address)), http.StatusOK)
	_, err := fresh.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, ask(used), http.StatusOK)
	assert.Equal(t, in.Refused(), int64(1))
}

// Guards against the end of a connection whose request is being served.
func TestServedRequestIsNotCutOff(t *testing.T) {
	in := inlet.New(1)
	began, done := make(chan bool), make(chan struct{})
	address := serve(t, in, func(_ http.ResponseWriter, r *http.Request) {
		began <- inlet.Serving(r.Context())
		<-done
	})
	status := make(chan int)
	c := dial(t, address)
	go func() { status <- ask(c) }()
	assert.Assert(t, <-began)
	assert.Equal(t, ask(dial(t, address)), 0)
	close(done)
	assert.Equal(t, <-status, http.StatusOK)
}
