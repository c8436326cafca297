package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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

// readTime is the time for a node to read an answer.
const readTime = 20 * time.Millisecond

// rawAnswer returns a handler that answers at once, without reading the request, with the given bytes, in which $id stands
// for the id of the request. It ends the connection some time later.
func rawAnswer(answer string, wait time.Duration, end func(net.Conn)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "$id", r.Header.Get("Attempt-Id")))
		time.Sleep(wait)
		end(c)
	}
}

const maxUpload = 64 << 20 // bytes

// newUploadCluster returns a cluster with a limit for large uploads, and its nodes beside and away from the target of
// ledger.
func newUploadCluster(t *testing.T) (near, far *host) {
	t.Helper()
	c := newCluster(t)
	c.maxBody = maxUpload
	c.configure(3, rule("/board/", "idempotent", 2, "board", 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2))
	return c.add("ledger", "a"), c.add("board", "a")
}

// closeUnread closes a connection once data has come that is not read. The kernel then resets it.
func closeUnread(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool { // fails if the connection has ended
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return err != syscall.EAGAIN
	})
	_ = c.Close()
}

// Guards against a body without a length that ends with a reset, while the request is still being written, and reaches the
// client as a complete answer.
func TestBodyResetDuringUpload(t *testing.T) {
	near, far := newUploadCluster(t)
	for name, end := range map[string]func(net.Conn){
		"reset":              abort,
		"close, data unread": closeUnread,
	} {
		for _, wait := range []time.Duration{0, time.Millisecond, readTime} {
			near.target.setHandler(rawAnswer("HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\n\r\npart of the body", wait, end))
			for _, entry := range []*host{near, far} {
				for range 10 {
					got := entry.exchange("POST", "/ledger/", maxUpload)
					assert.Check(t, got.status != http.StatusOK || !got.whole, "%s after %v: %+v", name, wait, got)
				}
			}
		}
	}
}

// brokenHeads are the heads of answers that must not reach a client, and the bodies that follow them.
var brokenHeads = map[string]string{
	"status 000":                        "HTTP/1.1 000 \r\nAttempt-Id: $id\r\nContent-Length: 4\r\n\r\nbody",
	"status 000 without a body":         "HTTP/1.1 000 Unknown\r\nAttempt-Id: $id\r\nContent-Length: 0\r\n\r\n",
	"status 000, an answer in its body": "HTTP/1.1 000 \r\nAttempt-Id: $id\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 4\r\n\r\nbody",
	"status 099":                        "HTTP/1.1 099 \r\nAttempt-Id: $id\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 4\r\n\r\nbody",
	"status +20":                        "HTTP/1.1 +20 OK\r\nAttempt-Id: $id\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 4\r\n\r\nbody",
	"status 101":                        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 4\r\n\r\nbody",
	"blank within a name":               "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nServer Signature: x\r\nContent-Length: 4\r\n\r\nbody",
	"blank after the name of a length":  "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length : 4\r\n\r\nbody and more",
	"blank after the name of a coding":  "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"blank before the first name":       "HTTP/1.1 200 OK\r\n X: y\r\nAttempt-Id: $id\r\nContent-Length: 4\r\n\r\nbody",
	"blank before a name":               "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nServer-Signature: x\r\n Content-Length: 4\r\n\r\nbody and more",
	"tab before a name":                 "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nServer-Signature: x\r\n\tContent-Length: 4\r\n\r\nbody and more",
	"tab within a name":                 "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nServer\tSignature: x\r\nContent-Length: 4\r\n\r\nbody",
	"tab after a name":                  "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length\t: 4\r\n\r\nbody and more",
	"NUL in a name":                     "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nServer\x00Signature: x\r\nContent-Length: 4\r\n\r\nbody",
	"escape in a name":                  "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-\x1bLength: 4\r\n\r\nbody and more",
	"DEL in a name":                     "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length\x7f: 4\r\n\r\nbody and more",
	"carriage return in a name":         "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent\r-Length: 4\r\n\r\nbody and more",
	"line feed in a name":               "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent\n-Length: 4\r\n\r\nbody and more",
	"empty name":                        "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\n: x\r\nContent-Length: 4\r\n\r\nbody",
	"line without a name":               "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length\r\n\r\nbody",
	"blank in a name of a 1xx":          "HTTP/1.1 103 Early Hints\r\nLink Two: x\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 4\r\n\r\nbody",
	"control byte in a name of a 1xx":   "HTTP/1.1 103 Early Hints\r\nLink\x01: x\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a name after a 1xx":       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length : 4\r\n\r\nbody",
	"blank in a name of a refusal":      "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: $id\r\nNot-Executed: 1\r\nRetry After: 1\r\nContent-Length: 0\r\n\r\n",
	"chunks in HTTP/1.0":                "HTTP/1.0 200 OK\r\nAttempt-Id: $id\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"another version of HTTP":           "HTTP/2.0 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 4\r\n\r\nbody",
	"two lengths":                       "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
	"length that is no number":          "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: +4\r\n\r\nbody",
	"unknown coding":                    "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
}

// Guards against an answer with a broken head that reaches a client, in part or whole, or whose connection carries a
// further request.
func TestBrokenHead(t *testing.T) {
	near, far := newUploadCluster(t)
	var reused atomic.Bool
	for name, answer := range brokenHeads {
		var answers sync.WaitGroup
		handler := rawAnswer(answer, readTime, func(c net.Conn) {
			_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // if it fails, the read below does
			raw, _ := io.ReadAll(c)
			if strings.Contains(string(raw), " HTTP/1.1\r\n") {
				reused.Store(true)
			}
			_ = c.Close()
		})
		near.target.setHandler(func(w http.ResponseWriter, r *http.Request) {
			answers.Add(1)
			defer answers.Done()
			handler(w, r)
		})
		for _, entry := range []*host{near, far} {
			for _, length := range []int64{0, 3, 16 << 20} {
				got := entry.exchange("POST", "/ledger/", length)
				assert.Check(t, got.status == http.StatusBadGateway && got.body == "", "%s, upload of %d bytes: %+v", name, length, got)
			}
		}
		answers.Wait()
		assert.Check(t, !reused.Swap(false), "%s: a further request came on the connection", name)
	}
}

const answerHead = "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nConnection: close\r\n"

// bodyUploads are the lengths of the requests whose answers are cut: none, and one that is still being written.
var bodyUploads = []int64{0, 16 << 20}

// closeWhole ends an answer in order and reads the rest of the request.
func closeWhole(c net.Conn) {
	_ = c.(*net.TCPConn).CloseWrite() // if it fails, the answer has no end and the test fails
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// Guards against a body that breaks off, in any framing and however the connection ends, and reaches the client as a
// complete answer.
func TestCutBody(t *testing.T) {
	long := strings.Repeat("x", 300<<10) // too long to be buffered by a node
	bodies := map[string]string{
		"length":                     "Content-Length: 20\r\n\r\npart",
		"length, long":               "Content-Length: 400000\r\n\r\n" + long,
		"chunks, between two":        "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"chunks, within one":         "Transfer-Encoding: chunked\r\n\r\n14\r\npart",
		"chunks, within the end":     "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
		"chunks, within a trailer":   "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX: y\r\n",
		"chunks, size is no number":  "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\nx\r\n\r\n",
		"chunks, long":               "Transfer-Encoding: chunked\r\n\r\n4b000\r\n" + long + "\r\n",
		"end of connection":          "\r\npart",
		"end of connection, no body": "\r\n",
		"end of connection, long":    "\r\n" + long,
	}
	near, far := newUploadCluster(t)
	for name, body := range bodies {
		for endName, end := range map[string]func(net.Conn){"reset": abort, "end": closeWhole} {
			if strings.HasPrefix(name, "end of connection") && endName == "end" {
				continue // this is how such a body ends
			}
			for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
				near.target.setHandler(rawAnswer(interim+answerHead+body, readTime, end))
				for _, entry := range []*host{near, far} {
					for _, upload := range bodyUploads {
						got := entry.exchange("POST", "/ledger/", upload)
						assert.Check(t, got.status != http.StatusOK || !got.whole, "%s, %s, interim %q, upload of %d bytes: %d bytes are whole",
							name, endName, interim, upload, len(got.body))
					}
				}
			}
		}
	}
}

// Guards against a complete answer that is lost or cut because of how its connection ends.
func TestWholeBody(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	near, far := newUploadCluster(t)
	for _, body := range []string{"", "whole", long} {
		for name, answer := range map[string]string{
			"length":            fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
			"chunks":            "Transfer-Encoding: chunked\r\n\r\n" + strings.TrimPrefix(fmt.Sprintf("%x\r\n%s\r\n", len(body), body), "0\r\n\r\n") + "0\r\n\r\n",
			"end of connection": "\r\n" + body,
		} {
			for endName, end := range map[string]func(net.Conn){"reset": abort, "end": closeWhole} {
				if name == "end of connection" && endName == "reset" {
					continue
				}
				for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
					near.target.setHandler(rawAnswer(interim+answerHead+answer, readTime, end))
					for _, entry := range []*host{near, far} {
						for _, upload := range bodyUploads {
							got := entry.exchange("POST", "/ledger/", upload)
							assert.Check(t, got.status == http.StatusOK && got.whole && got.body == body, "%s, %s, interim %q, upload of %d bytes, answer of %d: %d, %d bytes, whole %v",
								name, endName, interim, upload, len(body), got.status, len(got.body), got.whole)
						}
					}
				}
			}
		}
	}
}
