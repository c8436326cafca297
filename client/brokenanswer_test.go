package client_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/client"
	"mustardmast/core/fault"
	"mustardmast/io/header"
)

// Guards against an answer of a node with a broken head that a caller gets, also over a transport of its own.
func TestBrokenHead(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":               "HTTP/1.1 000 \r\n$ids\r\nContent-Length: 4\r\n\r\nbody",
		"blank in a name":          "HTTP/1.1 200 OK\r\n$ids\r\nX Y: z\r\nContent-Length: 4\r\n\r\nbody",
		"blank before a name":      "HTTP/1.1 200 OK\r\n$ids\r\nX: y\r\n Content-Encoding: z\r\nContent-Length: 4\r\n\r\nbody",
		"blank in a name of a 1xx": "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n$ids\r\nContent-Length: 4\r\n\r\nbody",
	} {
		n := newNode(t, func(w http.ResponseWriter, r *http.Request) {
			ids := header.RequestID + ": " + r.Header.Get(header.RequestID) + "\r\n" + header.Outcome + ": executed"
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "$ids", ids))
				_ = conn.Close()
			}
		})
		for _, transport := range []http.RoundTripper{nil, &http.Transport{}} {
			if transport != nil && (name == "blank before a name" || name == "blank in a name of a 1xx") {
				continue // it does not show what is wrong
			}
			c, err := client.New(client.Settings{Addresses: []string{n.URL}, Transport: transport, RetryBudget: -1, Timeout: 2 * time.Second})
			assert.NilError(t, err)
			resp, err := c.Do(context.Background(), client.Request{Service: "board", Method: "list"})
			assert.Check(t, err != nil, "%s: %+v", name, resp)
			if err != nil {
				assert.Check(t, fault.From(err).Outcome() == fault.Unknown, "%s: %v", name, err)
			}
		}
	}
}
