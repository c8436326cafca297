package message_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/message"
)

// Guards against an aborted response that looks complete, for clients that see its end by the last chunk and for those
// that see it by the end of the connection.
func TestAbort(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		message.Abort(w, q)
	}))
	defer s.Close()
	for _, version := range []string{"1.0", "1.1"} {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: a\r\n\r\n", version)
		assert.NilError(t, err)
		got, err := io.ReadAll(c)
		if version == "1.0" {
			assert.Assert(t, err != nil, "%q", got)
		} else if n := len(got); err == nil {
			assert.Assert(t, n < 5 || string(got[n-5:]) != "0\r\n\r\n", "%q", got)
		}
		assert.NilError(t, c.Close())
	}
}
