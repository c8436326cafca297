package sidecar_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a truncated response that looks complete, and against an idempotent request that is not retried
// although there is another target.
func TestTruncatedResponseIsRetried(t *testing.T) {
	c := newCluster(t)
	entry, bad, good := c.add("ledger", "a"), c.add("board", "a"), c.add("board", "b")
	bad.target.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	})
	for range 5 {
		_, resp, got := entry.send("GET", "/board/", nil, nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, got, "from "+good.ip)
	}
	// A response too large to be buffered is passed on as it arrives, so the client must see that it is truncated.
	large := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2000000")
		_, _ = io.WriteString(w, strings.Repeat("x", 1_000_000))
		panic(http.ErrAbortHandler)
	}
	bad.target.setHandler(large)
	good.target.setHandler(large)
	_, resp, got := entry.send("GET", "/board/", nil, nil)
	assert.Equal(t, resp.StatusCode, 0, "%.40s", got)
}

// Guards against a truncated response that looks complete to an HTTP/1.0 client, for which the end of the connection is
// the end of a response without a length.
func TestTruncatedResponseToHTTP10Client(t *testing.T) {
	c := newCluster(t)
	entry, board := c.add("ledger", "a"), c.add("board", "a")
	resume := make(chan struct{})
	board.target.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 600_000))
		<-resume
		panic(http.ErrAbortHandler)
	})
	conn, err := net.Dial("tcp", entry.ip+":8304")
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /board/ HTTP/1.0\r\nHost: a.example\r\nAttempt-Id: x1\r\nDeadline-Ms: 5000\r\n\r\n")
	assert.NilError(t, err)
	head := make([]byte, 15)
	_, err = io.ReadFull(conn, head)
	assert.NilError(t, err)
	assert.Equal(t, string(head), "HTTP/1.0 200 OK")
	close(resume)
	n, err := io.Copy(io.Discard, conn)
	assert.Assert(t, err != nil, "%d bytes look complete", n)
}
