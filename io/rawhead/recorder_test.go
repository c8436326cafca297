package rawhead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/rawhead"
)

// check reads responses from raw until a final one and returns the first error of a check.
func check(t *testing.T, rec *rawhead.Recorder, raw string) error {
	t.Helper()
	rec.Start()
	_, _ = rec.Write([]byte(raw)) // cannot fail
	r := bufio.NewReader(strings.NewReader(raw))
	for {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		if err := rec.Check(resp.StatusCode, resp.Header); err != nil || resp.StatusCode >= http.StatusOK {
			return err
		}
	}
}

// Guards against a malformed head that net/http accepts, and against rejecting a head for what comes before or after it.
func TestCheck(t *testing.T) {
	var rec rawhead.Recorder
	for raw, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n c: d\r\n":                                          "",
		"HTTP/1.1 200 OK\nA: b\n\nbody":                                                     "",
		"HTTP/1.1 200 OK\r\n\r\n":                                                           "",
		"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nTransfer-Encoding: chunked\r\n":        "",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                    "",
		"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 100 \r\n\r\nHTTP/1.1 200 OK\r\n\r\n  x": "",
		"HTTP/1.1 103 Early\r\nA: b\r\n c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                   `expected a field name, got " c`,
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\tc: d\r\n\r\n":               `expected a field name, got "\tc: d`,
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                                                  `expected a field name, got "A "`,
		"HTTP/1.1 000 \r\n\r\n":                                                             "got 000",
		"HTTP/1.1 101 \r\n\r\n":                                                             "status 101",
		"HTTP/2.0 200 OK\r\n\r\n":                                                           "response version",
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n":                             "in HTTP/1.0",
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 8<<10) + "\r\n\r\nbody":              "",
	} {
		err := check(t, &rec, raw)
		if want == "" {
			assert.NilError(t, err, "%.60q", raw)
		} else {
			assert.ErrorContains(t, err, want, "%.60q", raw)
		}
	}
}
