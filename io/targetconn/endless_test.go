package targetconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/fault"
)

// newEndlessTarget responds to each request with start and then with more, again and again, until the caller closes. It
// closes ended then, and counts the bytes that it has sent.
func newEndlessTarget(t *testing.T, start, more string) (s *target, sent *atomic.Int64, ended chan struct{}) {
	t.Helper()
	sent, ended = &atomic.Int64{}, make(chan struct{})
	s = newTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer close(ended)
		if _, err := r.Peek(1); err != nil {
			return
		}
		_, err := io.WriteString(c, start)
		for block := strings.Repeat(more, 1+4000/len(more)); err == nil; {
			var n int
			n, err = io.WriteString(c, block)
			sent.Add(int64(n))
		}
	})
	return s, sent, ended
}

// Guards against a call that is held, and memory that is used, for as long as a target sends bytes that are no answer.
func TestEndlessBytesThatAreNoAnswer(t *testing.T) {
	for name, endless := range map[string]struct{ start, more string }{
		"interim responses":             {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"status line":                   {"HTTP/1.1 200 ", "OK"},
		"head":                          {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"body of an earlier response":   {"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"},
		"size of a chunk":               {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":                       {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
		"chunks with long extensions":   {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1;x=" + strings.Repeat("y", 2000) + "\r\nz\r\n"},
		"body of a refusal":             {"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nRefused: 1\r\n\r\n", "no"},
		"noise":                         {"", "\x00\xff"},
		"length, then more than it":     {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\ndone", "more"},
		"refusal, then more than it":    {"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", "more"},
		"empty lines before a response": {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s, sent, ended := newEndlessTarget(t, endless.start, endless.more)
			p, began := newPool(s), time.Now()
			_, err := do(p, call("a"))
			if name != "length, then more than it" {
				assert.Assert(t, err != nil)
			}
			p.CloseIdle()
			<-ended
			assert.Assert(t, time.Since(began) < time.Second, "held for %v", time.Since(began))
			assert.Assert(t, sent.Load() < 16<<20, "%d bytes", sent.Load()) // includes what the socket buffers hold
		})
	}
}

// Guards against an answer without end that holds its call past the deadline, or that looks complete at the deadline.
func TestEndlessBodyEndsAtDeadline(t *testing.T) {
	for _, head := range []string{"Transfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n", "\r\n"} {
		more := "4\r\nmore\r\n"
		if head == "\r\n" {
			more = "more"
		}
		s, _, ended := newEndlessTarget(t, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"+head, more)
		began := time.Now()
		reply, _, err := newPool(s).Do(context.Background(), call("a"), "i-1", began.Add(300*time.Millisecond))
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, reply.Body)
		assert.Assert(t, err != nil)
		assert.NilError(t, reply.Body.Close())
		<-ended
		assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
	}
}

// Guards against a health response without end that fills the memory of the node.
func TestEndlessHeadOfHealthResponse(t *testing.T) {
	s, sent, ended := newEndlessTarget(t, "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := newPool(s).Probe(ctx, "/healthz")
	assert.Equal(t, fault.KindOf(err), fault.TargetFailed)
	<-ended
	assert.Assert(t, sent.Load() < 16<<20, "%d bytes", sent.Load())
}
