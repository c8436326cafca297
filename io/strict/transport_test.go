package strict_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/orderly"
	"mustardmast/io/strict"
)

// serve calls answer with each connection once the head of a request has been read from it, and returns the address.
func serve(t *testing.T, answer func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

func newTransport(t *testing.T, maxInterim int) *strict.Transport {
	t.Helper()
	s := strict.New(&http.Transport{DialContext: orderly.Dial((&net.Dialer{}).DialContext)}, maxInterim)
	t.Cleanup(s.CloseIdleConnections)
	return s
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against a body without a length that is reset while the request is still being written and looks complete.
func TestResetDuringRequest(t *testing.T) {
	address := serve(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // until the client has read it
		_ = c.SetLinger(0)
	})
	for range 20 {
		r, err := http.NewRequest("POST", address, zeros{})
		assert.NilError(t, err)
		resp, err := newTransport(t, 0).RoundTrip(r)
		if err != nil {
			continue // the reset came first
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		assert.Check(t, err != nil, "%q looks complete", got)
	}
}

// Guards against interim responses without end, against a limit that stops those of a peer that shows progress by them, and
// against a broken one that passes because the request has a trace of its own.
func TestInterimResponses(t *testing.T) {
	for _, c := range []struct {
		interim string
		limit   int
		ok      bool
	}{
		{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 32), 32, true},
		{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 33), 32, false},
		{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 33), 0, true},
		{"HTTP/1.1 102 Processing\r\nX Y: z\r\n\r\n", 32, false},
		{"HTTP/1.1 102 Processing\r\nX: y\r\n z\r\n\r\n", 0, false},
	} {
		address := serve(t, func(n *net.TCPConn) {
			_, _ = fmt.Fprintf(n, "%sHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", c.interim)
		})
		for _, traced := range []bool{false, true} {
			r, err := http.NewRequest("GET", address, nil)
			assert.NilError(t, err)
			if traced {
				r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
					Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
				}))
			}
			resp, err := newTransport(t, c.limit).RoundTrip(r)
			assert.Equal(t, err == nil, c.ok, "%.60q, limit %d, traced %v", c.interim, c.limit, traced)
			if err == nil {
				got, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(got), "body")
			}
		}
	}
}

// Guards against a request that reads on after a malformed interim response, for as long as its peer sends further ones.
func TestMalformedInterimResponseEndsRequest(t *testing.T) {
	for _, traced := range []bool{false, true} {
		ended := make(chan bool, 1) // whether the peer could send all responses
		address := serve(t, func(c *net.TCPConn) {
			_, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\nX Y: z\r\n\r\n")
			for n := 0; n < 100 && err == nil; n++ {
				time.Sleep(10 * time.Millisecond)
				_, err = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
			}
			ended <- err == nil
		})
		r, err := http.NewRequest("GET", address, nil)
		assert.NilError(t, err)
		if traced {
			r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
				Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
			}))
		}
		_, err = newTransport(t, 0).RoundTrip(r)
		assert.ErrorContains(t, err, `"X Y"`, "traced %v", traced)
		assert.Assert(t, !<-ended, "traced %v: the request read all responses", traced)
	}
}
