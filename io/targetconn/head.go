package targetconn

import (
	"fmt"
	"math"
	"net/http"

	"mustardmast/io/message"
)

// readHead reads the head of the next response and skips interim responses.
func (cn *conn) readHead(request *http.Request) (*http.Response, error) {
	defer func() { cn.limited.N = math.MaxInt64 }()
	for range maxInterimResponses {
		cn.limited.N = maxHeadSize
		resp, err := http.ReadResponse(cn.r, request)
		if err != nil {
			return nil, err
		}
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, fmt.Errorf("more than %d interim responses", maxInterimResponses)
}

// checkHead returns an error if a response is not one to a request of this package.
func checkHead(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("response status %d to a request without Upgrade", resp.StatusCode)
	}
	return message.CheckHead(resp.StatusCode)
}
