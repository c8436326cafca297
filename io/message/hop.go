package message

import (
	"net/http"
	"strings"

	"mustardmast/core/fault"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// CopyHeader copies the end-to-end headers of one message to another.
func CopyHeader(to, from http.Header) {
	named := strings.Split(strings.Join(from["Connection"], ","), ",")
	for k, v := range from {
		to[k] = append([]string(nil), v...)
	}
	for _, k := range named {
		to.Del(strings.TrimSpace(k))
	}
	for _, k := range hopByHopHeaders {
		to.Del(k)
	}
}

// SplitPath returns the service and the method of a path /service/method, which may have further elements.
func SplitPath(path string) (service, method string, err error) {
	parts := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	if len(parts) < 2 || parts[0] == "" || parts[1] == "" {
		return "", "", fault.Newf(fault.BadRequest, "path %q; expected /SERVICE/METHOD", path)
	}
	return parts[0], parts[1], nil
}
