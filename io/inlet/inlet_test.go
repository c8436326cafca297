package inlet_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/quota"
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
	in := inlet.New(2, quota.New(0))
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
	in := inlet.New(1, quota.New(0))
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

// Guards against heads that together take more memory than they may, against one that keeps its memory when it has ended,
// and against requests with heads of usual size that find no room beside them.
func TestHeadsShareAQuota(t *testing.T) {
	heads := quota.New(1 << 20)
	address := serve(t, inlet.New(100, heads), func(http.ResponseWriter, *http.Request) {})
	var held []net.Conn
	for range 8 { // each takes about 345 KiB
		c := dial(t, address)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\n", 1<<10))
		assert.NilError(t, err)
		held = append(held, c)
	}
	ordinary := dial(t, address)
	assert.Equal(t, ask(ordinary), http.StatusOK)
	assert.Equal(t, ask(ordinary), http.StatusOK)
	assert.Assert(t, heads.Used() > 0 && heads.Used() <= 1<<20, "%d bytes", heads.Used())
	for _, c := range held {
		_ = c.Close()
	}
	for end := time.Now().Add(10 * time.Second); heads.Used() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, heads.Used(), int64(0))
	large := dial(t, address)
	_, err := io.WriteString(large, "GET / HTTP/1.1\r\nHost: a.example\r\n"+strings.Repeat("a:b\r\n", 1<<10)+"\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(large), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against connections of another protocol whose data counts as heads and is never released.
func TestOtherProtocolTakesNoHeads(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client := dial(t, l.Addr().String())
	accepted, err := inlet.New(1, nil).Listener(l).Accept()
	assert.NilError(t, err)
	_, err = client.Write(make([]byte, 64<<10))
	assert.NilError(t, err)
	_, err = io.ReadFull(accepted, make([]byte, 64<<10))
	assert.NilError(t, err)
	assert.NilError(t, accepted.Close())
}
