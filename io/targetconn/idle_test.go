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

// Guards against bytes that arrived while nobody waited being read as an answer.
func TestBytesThatNobodyAskedForEndTheConnection(t *testing.T) {
	s := newTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := read(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(id, "for "+id)+answer(id, "again"))
		}
	})
	p := pool(s)
	for _, id := range []string{"a", "b"} {
		got, err := do(p, call(id))
		assert.NilError(t, err)
		assert.Equal(t, got, "for "+id)
	}
}

// Guards against a connection that the target has closed while idle failing a repeatable request, and against a request
// that must not run twice being sent again.
func TestIdleConnectionsThatTheTargetClosed(t *testing.T) {
	newOne := func() *target {
		return newTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			for requests := 1; ; requests++ {
				id, _, err := read(r)
				if err != nil || n == 1 && requests == 2 {
					return // the second request finds the connection closed
				}
				_, _ = io.WriteString(c, answer(id, "for "+id))
			}
		})
	}
	p := pool(newOne())
	for _, id := range []string{"a", "b"} {
		time.Sleep(250 * time.Millisecond) // idle for so long that the target may have closed it
		got, err := do(p, call(id))
		assert.NilError(t, err)
		assert.Equal(t, got, "for "+id)
	}
	s := newOne()
	p = pool(s)
	_, err := do(p, call("a"))
	assert.NilError(t, err)
	once := call("b")
	once.Repeatable = false
	_, err = do(p, once)
	assert.Equal(t, fault.From(err).Outcome(), fault.Unknown)
	assert.Equal(t, s.connections.Load(), int32(1))
}

// Guards against a connection that went silent while idle, as links do when a path changes, holding a call to its deadline.
func TestAnIdleConnectionThatWentSilent(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		s := newTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			for requests := 1; ; requests++ {
				id, _, err := read(r)
				if err != nil {
					return
				}
				if n > 1 || requests == 1 {
					_, _ = io.WriteString(c, answer(id, "for "+id))
				}
			}
		})
		p := pool(s)
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

// Guards against a target that resets the connection after it has run a call, under load: each call reached it twice, and
// the second time was not taken from the budget of repeats.
func TestABusyConnectionThatIsResetIsNotIdle(t *testing.T) {
	var arrived atomic.Int32
	s := newTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for requests := 1; ; requests++ {
			id, _, err := read(r)
			if err != nil {
				return
			}
			if arrived.Add(1); requests == 2 {
				return
			}
			_, _ = io.WriteString(c, answer(id, "for "+id))
		}
	})
	p := pool(s)
	for n := range 20 {
		_, err := do(p, call(strconv.Itoa(n)))
		assert.Equal(t, err != nil, n%2 == 1)
		if err != nil {
			assert.Equal(t, fault.From(err).Outcome(), fault.Unknown)
		}
	}
	assert.Equal(t, arrived.Load(), int32(20))
}

// Guards against the rest of a long body being read as the next request after an early answer.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
	s := newTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(q.Header.Get(names.RequestID), "early"))
			time.Sleep(50 * time.Millisecond)
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
		}
	})
	p := pool(s)
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
