// Package rawhead checks the heads of HTTP/1 responses by their bytes. Package net/http accepts some malformed heads, and
// does not show in what it returns how all of them were malformed.
package rawhead

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"mustardmast/io/message"
)

// MaxInterim is the number of interim responses after which a client does not wait for the final one.
const MaxInterim = 32

// maxSpare is the size in bytes up to which the memory of a head is used again.
const maxSpare = 4 << 10

// Recorder records what is read from a connection, from the first byte of a response on. Its methods may be called
// concurrently.
type Recorder struct {
	mu      sync.Mutex
	raw     []byte
	stopped bool
}

// Write adds bytes to the recording, unless it is stopped. It never fails.
func (r *Recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.raw = append(r.raw, p...)
	}
	return len(p), nil
}

// Start starts a new recording.
func (r *Recorder) Start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raw, r.stopped = r.raw[:0], false
}

// Stop ends the recording.
func (r *Recorder) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
}

// Check removes the first head, interim or final, from the recording. It returns an error if the head is malformed. Status
// and h are what net/http has read from it.
func (r *Recorder) Check(status int, h http.Header) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	statusLine, fields, _ := bytes.Cut(r.raw, []byte("\n"))
	if !bytes.HasPrefix(statusLine, []byte("HTTP/1.")) {
		return fmt.Errorf("response version: expected HTTP/1.0 or HTTP/1.1, got %.20q", statusLine)
	}
	if err := message.CheckHead(status, h); err != nil {
		return err
	}
	rest, err := checkFields(fields, bytes.HasPrefix(statusLine, []byte("HTTP/1.0")))
	if cap(r.raw) > maxSpare {
		r.raw = bytes.Clone(rest)
	} else {
		r.raw = append(r.raw[:0], rest...)
	}
	return err
}

// checkFields checks what net/http does not show of the fields of a head. It returns what follows the head.
func checkFields(fields []byte, http10 bool) ([]byte, error) {
	for {
		line, rest, _ := bytes.Cut(fields, []byte("\n"))
		name, _, isField := bytes.Cut(line, []byte(":"))
		switch {
		case len(bytes.TrimSuffix(line, []byte("\r"))) == 0:
			return rest, nil
		case line[0] == ' ' || line[0] == '\t':
			// An obsolete line folding, or a name that begins with a space. RFC 9112, section 5.2, lets a gateway reject both.
			return nil, fmt.Errorf("response head: expected a field name, got %q", line)
		case http10 && isField && strings.EqualFold(string(name), "Transfer-Encoding"):
			return nil, errors.New("response with Transfer-Encoding in HTTP/1.0, which has none")
		}
		fields = rest
	}
}
