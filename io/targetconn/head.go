package targetconn

import (
	"fmt"
	"math"
	"net/http"

	"mustardmast/io/rawhead"
)

// readHead reads the head of the next response and skips interim responses.
func (cn *conn) readHead(request *http.Request) (*http.Response, error) {
	cn.recorder.Start()
	defer cn.recorder.Stop()
	buffered, _ := cn.r.Peek(cn.r.Buffered()) // cannot fail
	_, _ = cn.recorder.Write(buffered)        // cannot fail
	defer func() { cn.limited.N = math.MaxInt64 }()
	for range rawhead.MaxInterim {
		cn.limited.N = maxHeadSize
		resp, err := http.ReadResponse(cn.r, request)
		if err != nil {
			return nil, err
		}
		if err := cn.recorder.Check(resp.StatusCode, resp.Header); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, fmt.Errorf("more than %d interim responses", rawhead.MaxInterim)
}
