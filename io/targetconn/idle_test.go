package targetconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/core/fault"
)

// Guards against returning bytes that arrived on an idle connection as the response to the next request.
func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	s := newTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, response(id, "for "+id)+response(id, "again"))
		}
	})
	p := newPool(s)
	for _, id := range []string{"a", "b"} {
		got, err := do(p, call(id))
		assert.NilError(t, err)
		assert.Equal(t, got, "for "+id)
	}
}

// Guards against failing a repeatable request because the target closed the idle connection, and against resending a
// request that must not run twice.
func TestIdleConnectionClosedByTarget(t *testing.T) {
	newStub := func() *target {
		return newTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			for requests := 1; ; requests++ {
				id, _, err := readRequest(r)
				if err != nil || n == 1 && requests == 2 {
					return // the client finds the connection closed on its second request
				}
				_, _ = io.WriteString(c, response(id, "for "+id))
			}
		})
	}
	p := newPool(newStub())
	for _, id := range []string{"a", "b"} {
		time.Sleep(250 * time.Millisecond) // longer than idle connections are reused
		got, err := do(p, call(id))
		assert.NilError(t, err)
		assert.Equal(t, got, "for "+id)
	}
	s := newStub()
	p = newPool(s)
	_, err := do(p, call("a"))
	assert.NilError(t, err)
	once := call("b")
	once.Repeatable = false
	_, err = do(p, once)
	assert.Equal(t, fault.From(err).Outcome(), fault.Unknown)
	assert.Equal(t, s.connections.Load(), int32(1))
}

// Guards against a call that is stuck until its deadline on an idle connection whose path has silently failed.
func TestSilentIdleConnection(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		s := newTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			for requests := 1; ; requests++ {
				id, _, err := readRequest(r)
				if err != nil {
					return
				}
				if n > 1 || requests == 1 {
					_, _ = io.WriteString(c, response(id, "for "+id))
				}
			}
		})
		p := newPool(s)
		_, err := do(p, call("a"))
		assert.NilError(t, err)
		time.Sleep(250 * time.Millisecond)
		next := call("b")
		next.Repeatable = repeatable
		got, err := do(p, next)
		assert.NilError(t, err)
		assert.Equal(t, got, "for b")
	}
}

// Guards against resending a call after the target resets a busy connection. Under load such calls reached the target
// twice, without the second attempt being taken from the retry budget.
func TestNoRetryAfterResetOfBusyConnection(t *testing.T) {
	var arrived atomic.Int32
	s := newTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for requests := 1; ; requests++ {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			if arrived.Add(1); requests == 2 {
				return
			}
			_, _ = io.WriteString(c, response(id, "for "+id))
		}
	})
	p := newPool(s)
	for n := range 20 {
		_, err := do(p, call(strconv.Itoa(n)))
		assert.Equal(t, err != nil, n%2 == 1)
		if err != nil {
			assert.Equal(t, fault.From(err).Outcome(), fault.Unknown)
		}
	}
	assert.Equal(t, arrived.Load(), int32(20))
}

// Guards against the remainder of a long body being read as the next request after an early response.
func TestEarlyResponseClosesConnection(t *testing.T) {
	s := newTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, response(q.Header.Get(names.RequestID), "early"))
			time.Sleep(50 * time.Millisecond)
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
		}
	})
	p := newPool(s)
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	long := call("a")
	long.Method, long.Body, long.Length = "POST", reader, 1<<20
	got, err := do(p, long)
	assert.NilError(t, err)
	assert.Equal(t, got, "early")
	got, err = do(p, call("b"))
	assert.NilError(t, err)
	assert.Equal(t, got, "early")
	assert.Equal(t, s.connections.Load(), int32(2))
}

// Guards against a refusal that the target writes once more on a kept connection and that passes as the answer to a later
// send of the same call, which runs.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	for name, refusal := range map[string]string{
		"with id":    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n",
		"without id": "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		var runs atomic.Int32
		s := newTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			for sent := 0; ; sent++ {
				id, _, err := readRequest(r)
				if err != nil {
					return
				}
				if n == 1 && sent == 0 {
					_, _ = io.WriteString(c, refusal)
					continue
				}
				runs.Add(1)
				if n == 1 {
					_, _ = io.WriteString(c, refusal)
				}
				_, _ = io.WriteString(c, response(id, "ran"))
			}
		})
		p := newPool(s)
		_, err := do(p, call("a"))
		assert.Equal(t, fault.From(err).Kind(), fault.TargetRefused, name)
		for _, id := range []string{"b", "a"} {
			before := runs.Load()
			_, err := do(p, call(id))
			if runs.Load() > before {
				assert.Assert(t, err == nil || fault.From(err).Outcome() != fault.NotExecuted, "%s, %s: %v", name, id, err)
			}
		}
		assert.Assert(t, runs.Load() > 0, name)
	}
}
