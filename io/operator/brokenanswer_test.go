package operator_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast/io/operator"
)

// Guards against an answer of a node with a broken head that an operator gets as its status.
func TestBrokenHead(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}",
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			}
		}))
		defer s.Close()
		c, err := operator.NewClient(s.URL, time.Second)
		assert.NilError(t, err)
		_, err = c.Quarantined(context.Background())
		assert.Check(t, err != nil, "%q", answer)
		_, err = c.ClearQuarantine(context.Background(), "")
		assert.Check(t, err != nil, "%q", answer)
	}
}
