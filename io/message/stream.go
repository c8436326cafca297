package message

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"mustardmast/core/fault"
	"mustardmast/io/header"
)

const streamBufferSize = 32 << 10

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, streamBufferSize)
	return &b
}}

// WriteResponse writes the response to a request q to w and closes its body. If the body is truncated, it calls Abort.
func WriteResponse(w http.ResponseWriter, q *http.Request, id string, r *Response) {
	defer func() { _ = r.Body.Close() }()
	h := w.Header()
	CopyHeader(h, r.Header)
	h.Set(header.RequestID, id)
	h.Set(header.Outcome, fault.Executed.String())
	if r.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	} else {
		h.Del("Content-Length")
	}
	w.WriteHeader(r.Status)
	if err := copyBody(w, r); err != nil {
		Abort(w, q)
	}
}

// copyBody copies the response body. A body of unknown length is flushed after each read, because its parts may arrive
// far apart.
func copyBody(w http.ResponseWriter, r *Response) error {
	buf := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buf)
	flush := http.NewResponseController(w)
	for {
		n, err := r.Body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return werr
			}
			if r.Length < 0 {
				_ = flush.Flush() // without support for flushing, the data is sent at the end
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
