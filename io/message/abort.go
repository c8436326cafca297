package message

import "net/http"

// Abort ends a response that cannot be completed, so that it does not look complete. It closes the connection before the
// declared length or the last chunk has been sent. A response to an HTTP/1.0 client may have neither, so its connection
// is reset. Abort does not return.
func Abort(w http.ResponseWriter, q *http.Request) {
	if !q.ProtoAtLeast(1, 1) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
				_ = tcp.SetLinger(0) // if this fails, the client is gone
			}
			_ = c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}
