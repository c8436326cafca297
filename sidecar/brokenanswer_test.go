package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// clientAnswer is what a client can see of an answer on its socket.
type clientAnswer struct {
	status int // 0 if there is no answer
	header http.Header
	body   string
	whole  bool // the answer has a length or chunks, and all of its body arrived
}

// exchange sends a request over a connection of its own and returns the answer. While it waits, it sends an upload of the
// given length in bytes.
func (h *host) exchange(method, path string, upload int64) clientAnswer {
	h.c.t.Helper()
	c, err := net.Dial("tcp", h.ip+":8304")
	assert.NilError(h.c.t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(h.c.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %016x\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n",
		method, path, requestCount.Add(1), upload)
	assert.NilError(h.c.t, err)
	go func() { // fails when the node answers before it has read the upload
		piece := make([]byte, 64<<10)
		for left := upload; left > 0; left -= int64(len(piece)) {
			if _, err := c.Write(piece[:min(left, int64(len(piece)))]); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return clientAnswer{}
	}
	body, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return clientAnswer{status: resp.StatusCode, header: resp.Header, body: string(body), whole: err == nil && framed}
}

// rawAnswer returns a handler that answers at once, without reading the request, with the given bytes, in which $id stands
// for the id of the request. Then it ends the connection.
func rawAnswer(answer string, end func(net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "$id", r.Header.Get("Attempt-Id")))
		time.Sleep(20 * time.Millisecond) // until the node has read it
		end(c)
	}
}

// Guards against a body without a length that ends with a reset, while the request is still being written, and reaches the
// client as a complete answer.
func TestBodyResetDuringUpload(t *testing.T) {
	const upload = 64 << 20
	c := newCluster(t)
	c.maxBody = upload
	c.configure(3, rule("/board/", "idempotent", 2, "board", 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2))
	near, far := c.add("ledger", "a"), c.add("board", "a")
	near.target.setHandler(rawAnswer("HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\n\r\npart of the body", abort))
	for _, entry := range []*host{near, far} {
		for range 20 {
			got := entry.exchange("POST", "/ledger/", upload)
			assert.Check(t, got.status != http.StatusOK || !got.whole, "%+v", got)
		}
	}
}
