package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkCall is a request that goes through two nodes. Client and target are as small as can be, so most of the time is
// the nodes'.
func BenchmarkCall(b *testing.B) {
	c := newCluster(b)
	entry, ledger := c.add("board", "a"), c.add("ledger", "a")
	c.configure(3, rule("/board/", "idempotent", 2, "ledger", 2), rule("/ledger/", "non_idempotent", 0, "ledger", 2))
	ledger.target.answer(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	eventually(b, 2*time.Second, func() bool {
		_, resp, _ := entry.send("GET", "/board/", nil, nil)
		return resp.StatusCode == http.StatusOK
	})
	var ids atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		n, err := net.Dial("tcp", entry.ip+":8304")
		assert.NilError(b, err)
		defer func() { _ = n.Close() }()
		r := bufio.NewReader(n)
		for pb.Next() {
			_, err := fmt.Fprintf(n, "GET /board/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: b%d\r\nDeadline-Ms: 2000\r\n\r\n", ids.Add(1))
			assert.NilError(b, err)
			line, err := textproto.NewReader(r).ReadLine()
			assert.NilError(b, err)
			h, err := textproto.NewReader(r).ReadMIMEHeader()
			assert.NilError(b, err)
			if !strings.Contains(line, " 200 ") {
				b.Fatalf("%s %v", line, h)
			}
			var length int64
			_, _ = fmt.Sscan(h.Get("Content-Length"), &length)
			_, err = io.CopyN(io.Discard, r, length)
			assert.NilError(b, err)
		}
	})
}
