package message

import (
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"mustardmast/core/quarantine"
)

// PrefixSize is the number of bytes of a request body that are buffered for sending it again and for its digest.
const PrefixSize = quarantine.PrefixSize

// Body is a request body that can be reopened from its start until more than PrefixSize bytes have been read.
type Body struct {
	source   io.Reader
	prefix   []byte
	complete bool // the whole body is in prefix
	length   int64

	mu         sync.Mutex
	generation int  // incremented by Open; only the newest reader may read
	consumed   bool // bytes beyond the prefix were read, so the body cannot be reopened
}

// NewBody buffers the first bytes of source. Length is the declared length, -1 if unknown.
func NewBody(source io.Reader, length int64) (*Body, error) {
	b := &Body{source: source, length: length}
	if source == nil || length == 0 {
		b.complete = true
		b.length = 0
		return b, nil
	}
	size := int64(PrefixSize)
	if length > 0 && length < size {
		size = length
	}
	if length < 0 {
		return b, b.readUnknownLength()
	}
	b.prefix = make([]byte, size)
	n, err := io.ReadFull(source, b.prefix)
	b.prefix = b.prefix[:n]
	if err != nil {
		return b, err
	}
	b.complete = int64(n) == length
	return b, nil
}

// StreamBody returns a body that buffers nothing and can be opened until its first byte is read. The node beside a
// target uses it, since the sending node buffers what a retry needs.
func StreamBody(source io.Reader, length int64) *Body {
	return &Body{source: source, length: length, complete: length == 0}
}

// readUnknownLength grows the prefix as bytes arrive, so that a short body of unknown length takes little memory.
func (b *Body) readUnknownLength() error {
	p, err := io.ReadAll(io.LimitReader(b.source, PrefixSize))
	b.prefix = p
	if err != nil {
		return err
	}
	if len(p) < PrefixSize {
		b.complete = true
		b.length = int64(len(p))
	}
	return nil
}

// Length returns the length of the body, -1 if unknown.
func (b *Body) Length() int64 { return b.length }

// Empty reports whether the body has no bytes.
func (b *Body) Empty() bool { return b.complete && len(b.prefix) == 0 }

// Buffered reports whether the whole body is in memory, so that it can always be sent again.
func (b *Body) Buffered() bool { return b.complete }

// Open returns a reader from the first byte, and false if bytes beyond the prefix were already read. A fully buffered
// body supports any number of concurrent readers. Otherwise readers opened earlier are closed, because an HTTP
// transport may keep reading a body after its request has failed.
func (b *Body) Open() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consumed {
		return nil, false
	}
	b.generation++
	return &reader{b: b, generation: b.generation}, true
}

// reader is one pass over a body.
type reader struct {
	b          *Body
	generation int
	offset     int
}

func (r *reader) Read(p []byte) (int, error) {
	n, source, err := r.readPrefix(p)
	if !source {
		return n, err
	}
	return r.b.source.Read(p)
}

// readPrefix reads buffered bytes. Source is true if the caller has to read from the source instead.
func (r *reader) readPrefix(p []byte) (n int, source bool, err error) {
	b := r.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.generation != b.generation && !b.complete {
		return 0, false, io.ErrClosedPipe
	}
	if r.offset < len(b.prefix) {
		n = copy(p, b.prefix[r.offset:])
		r.offset += n
		return n, false, nil
	}
	if b.complete {
		return 0, false, io.EOF
	}
	b.consumed = true
	return 0, true, nil
}

func (r *reader) Close() error {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	if r.generation == r.b.generation {
		r.b.generation++
	}
	return nil
}

// Digest returns a hash of the path and query and of the first PrefixSize bytes of the body, and of its length if it has
// fewer. Requests with the same digest, method and backer are treated as having the same content. The framing of the body
// has no effect, as it may differ when a caller sends a request again.
func (b *Body) Digest(uri string) uint64 {
	length := int64(-1)
	if len(b.prefix) < PrefixSize {
		length = b.length
	}
	h := quarantine.NewHasher(length)
	_, _ = h.Write(b.prefix) // Hasher.Write never fails
	return h.Sum() ^ xxhash.Sum64String(uri)
}
