package message

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"mustardmast/core/fault"
	"mustardmast/io/header"
)

const streamBuffer = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, streamBuffer)
	return &b
}}

// WriteResponse writes a response to w and closes its body. A response that breaks off aborts the connection or stream, so that
// the reader cannot take it for a complete one.
func WriteResponse(w http.ResponseWriter, id string, r *Response) {
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
	if err := stream(w, r); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stream copies the body. A body of unknown length is flushed as it arrives, because its pieces may be far apart.
func stream(w http.ResponseWriter, r *Response) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	flush := http.NewResponseController(w)
	for {
		n, err := r.Body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return werr
			}
			if r.Length < 0 {
				_ = flush.Flush() // a writer that cannot flush still delivers at the end
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
