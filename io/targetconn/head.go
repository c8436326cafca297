package targetconn

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"mustardmast/io/message"
)

// recorder is a reader that keeps a copy of what is read while it records.
type recorder struct {
	io.Reader
	recording bool
	raw       []byte
}

func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.recording {
		r.raw = append(r.raw, p[:n]...)
	}
	return n, err
}

// start starts a recording that begins with what has been read before.
func (r *recorder) start(before []byte) { r.recording, r.raw = true, append(r.raw[:0], before...) }

// stop returns the recording, which is valid until the next start.
func (r *recorder) stop() []byte {
	raw := r.raw
	r.recording = false
	if cap(raw) > readBufferSize {
		r.raw = nil // few heads are that large
	}
	return raw
}

// readHead reads the head of the next response and skips interim responses.
func (cn *conn) readHead(request *http.Request) (*http.Response, error) {
	defer func() { cn.limited.N = math.MaxInt64 }()
	for range maxInterimResponses {
		cn.limited.N = maxHeadSize
		buffered, _ := cn.r.Peek(cn.r.Buffered()) // cannot fail
		cn.recorder.start(buffered)
		resp, err := http.ReadResponse(cn.r, request)
		raw := cn.recorder.stop()
		if err != nil {
			return nil, err
		}
		if err := checkHead(resp, raw); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, fmt.Errorf("more than %d interim responses", maxInterimResponses)
}

// checkHead returns an error if a response is not one to a request of this package. Raw are the bytes that it was read
// from.
func checkHead(resp *http.Response, raw []byte) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("response version: expected HTTP/1.0 or HTTP/1.1, got %s", resp.Proto)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("response status %d to a request without Upgrade", resp.StatusCode)
	}
	if err := message.CheckHead(resp.StatusCode, resp.Header); err != nil {
		return err
	}
	return checkFields(resp, raw)
}

// checkFields checks what net/http drops when it reads the fields.
func checkFields(resp *http.Response, raw []byte) error {
	_, raw, _ = bytes.Cut(raw, []byte("\n")) // the status line
	for {
		line, rest, _ := bytes.Cut(raw, []byte("\n"))
		name, _, isField := bytes.Cut(line, []byte(":"))
		switch {
		case len(bytes.TrimSuffix(line, []byte("\r"))) == 0:
			return nil
		case line[0] == ' ' || line[0] == '\t':
			// An obsolete line folding, or a name that begins with a blank. RFC 9112, section 5.2, lets a gateway reject both.
			return fmt.Errorf("response head: expected the name of a field, got %q", line)
		case isField && !resp.ProtoAtLeast(1, 1) && strings.EqualFold(string(name), "Transfer-Encoding"):
			return errors.New("response with Transfer-Encoding in HTTP/1.0, which has none")
		}
		raw = rest
	}
}
