package targetconn

import (
	"fmt"
	"io"
	"math"
	"net/http"

	"mustardmast/io/rawhead"
)

// headReader is a reader that records the bytes of heads.
type headReader struct {
	io.Reader
	recorder  rawhead.Recorder
	recording bool
}

func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.recording {
		_, _ = r.recorder.Write(p[:n]) // cannot fail
	}
	return n, err
}

// readHead reads the head of the next response and skips interim responses.
func (cn *conn) readHead(request *http.Request) (*http.Response, error) {
	cn.head.recorder.Reset()
	buffered, _ := cn.r.Peek(cn.r.Buffered()) // cannot fail
	_, _ = cn.head.recorder.Write(buffered)   // cannot fail
	cn.head.recording = true
	defer func() { cn.limited.N, cn.head.recording = math.MaxInt64, false }()
	for range maxInterimResponses {
		cn.limited.N = maxHeadSize
		resp, err := http.ReadResponse(cn.r, request)
		if err != nil {
			return nil, err
		}
		if err := cn.head.recorder.Check(resp.StatusCode, resp.Header); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, fmt.Errorf("more than %d interim responses", maxInterimResponses)
}
