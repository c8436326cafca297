package platform_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"mustardmast/core/fault"
)

// Guards against an answer with a broken head that acknowledges a write or is read as an object.
func TestBrokenHead(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":               "HTTP/1.1 000 \r\nETag: \"1\"\r\nContent-Length: 1\r\n\r\nx",
		"blank in a name":          "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nX Y: z\r\nContent-Length: 1\r\n\r\nx",
		"blank before a name":      "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nX: y\r\n Content-Length: 1\r\n\r\nx",
		"blank in a name of a 1xx": "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 1\r\n\r\nx",
		"status 000, not modified": "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n",
	} {
		c := client(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			}
		}), metrics.NewSet())
		_, err := c.Put(context.Background(), put("x", 0, "x"))
		assert.Check(t, fault.KindOf(err) == fault.WriteUnknown, "%s: %v", name, err)
		_, err = c.Get(context.Background(), "x")
		assert.Check(t, fault.KindOf(err) == fault.PlatformUnavailable, "%s: %v", name, err)
	}
}
