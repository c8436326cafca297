package ingress

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"mustardmast"
	"mustardmast/core/quarantine"
	"mustardmast/io/hostlink"
)

const (
	// maxBufferedBody is the size in bytes up to which a request body is buffered, so that the request can be retried.
	maxBufferedBody = 512 << 10
	// contentPrefix is the size in bytes of the part of a body by which its content is recognized. It is read before the
	// request is placed, also if the body is streamed.
	contentPrefix = 16 << 10
	// bodyPart is the size in bytes of the parts in which the rest of a body of unknown length is buffered.
	bodyPart = 64 << 10
	// streamBytes is the memory in bytes that a body takes while it is streamed: what may be on its way to another node.
	streamBytes = hostlink.WindowSize
)

// errNoMemory is the error of a request whose body finds no memory. Nothing of the request has run.
var errNoMemory = errors.New("the memory for bodies of requests is in use")

// readBody buffers the body if it is small enough and there is memory for it. Otherwise it reads the first part and leaves
// the rest to be streamed.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, q *request, limit int64) error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		q.call.Length, q.call.Content = 0, contentOf(q.call, nil)
		q.body = func() io.Reader { return nil }
		return nil
	}
	if limit > 0 && r.ContentLength < 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	_ = http.NewResponseController(w).SetReadDeadline(q.call.Deadline) // if this fails, the time-outs of the server apply
	parts, complete, err := h.readParts(r, q)
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err != nil {
		return err
	}
	raw := parts[0]
	if len(parts) > 1 {
		raw = bytes.Join(parts, nil)
	}
	q.call.Content = contentOf(q.call, raw)
	if !complete {
		q.call.Body = io.MultiReader(bytes.NewReader(raw), r.Body)
		return nil
	}
	q.call.Length = int64(len(raw))
	q.body = func() io.Reader { return bytes.NewReader(raw) }
	return nil
}

// readParts reads the body of a request, or its first part if the whole body is too large to be buffered or there is no
// memory for it.
func (h *Handler) readParts(r *http.Request, q *request) (parts [][]byte, complete bool, err error) {
	length := r.ContentLength
	if length > maxBufferedBody || length > 0 && !h.reserve(q, length) {
		if !h.reserve(q, min(length, contentPrefix+streamBytes)) {
			return nil, false, errNoMemory
		}
		p, _, err := readPart(r.Body, min(length, contentPrefix))
		return [][]byte{p}, int64(len(p)) == length, err
	}
	if length > 0 {
		p, _, err := readPart(r.Body, length)
		if err == nil && int64(len(p)) < length {
			err = io.ErrUnexpectedEOF
		}
		return [][]byte{p}, true, err
	}
	for size, total := int64(contentPrefix), int64(0); total < maxBufferedBody && h.reserve(q, size); size = bodyPart {
		p, ended, err := readPart(r.Body, size)
		if err != nil {
			return nil, false, err
		}
		parts, total = append(parts, p), total+int64(len(p))
		if ended {
			return parts, true, nil
		}
	}
	if len(parts) == 0 || !h.reserve(q, streamBytes) {
		return nil, false, errNoMemory
	}
	return parts, false, nil
}

// readPart reads up to size bytes, and reports whether the body has ended.
func readPart(body io.Reader, size int64) (part []byte, ended bool, err error) {
	part = make([]byte, size)
	n := 0
	for n < len(part) && err == nil {
		var m int
		m, err = body.Read(part[n:])
		n += m
	}
	if err == io.EOF { // io.ReadFull would not distinguish it from that of a truncated body
		return part[:n], true, nil
	}
	return part[:n], false, err
}

// reserve takes memory for the body of a request. It returns false if there is none.
func (h *Handler) reserve(q *request, n int64) bool {
	if !h.options.Buffers.Acquire(n) {
		return false
	}
	q.buffered += n
	return true
}

// release returns the memory that the body of a request has taken.
func (h *Handler) release(q *request) { h.options.Buffers.Release(q.buffered) }

// contentOf returns the content of a call whose body begins with prefix. It does not depend on the framing of the body,
// which may differ when a caller sends a request again.
func contentOf(c *mustardmast.TargetCall, prefix []byte) uint64 {
	const anyLength = -1
	hasher := quarantine.NewHasher(anyLength)
	_, _ = hasher.Write(prefix[:min(len(prefix), contentPrefix)]) // it never fails
	digest := hasher.Sum() ^ xxhash.Sum64String(c.URI)
	return uint64(quarantine.FingerprintOf(c.Service, c.Method, c.Host, digest))
}
