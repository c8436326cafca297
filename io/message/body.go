package message

import (
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"mustardmast/core/quarantine"
)

// PrefixSize is how much of a request body is kept for sending it again and for its digest.
const PrefixSize = quarantine.PrefixSize

// Body is a request body that can be read again from its start until more than PrefixSize bytes were read.
type Body struct {
	source io.Reader
	prefix []byte
	ended  bool // the whole body is in prefix
	length int64

	mu   sync.Mutex
	turn int  // counts readers; only the newest one may read
	past bool // bytes after the prefix were asked for, so the body cannot be read again
}

// NewBody reads the first bytes of source. The declared length is -1 when it is not known.
func NewBody(source io.Reader, length int64) (*Body, error) {
	b := &Body{source: source, length: length}
	if source == nil || length == 0 {
		b.ended = true
		b.length = 0
		return b, nil
	}
	size := int64(PrefixSize)
	if length > 0 && length < size {
		size = length
	}
	if length < 0 {
		return b, b.fillUnknown()
	}
	b.prefix = make([]byte, size)
	n, err := io.ReadFull(source, b.prefix)
	b.prefix = b.prefix[:n]
	if err != nil {
		return b, err
	}
	b.ended = int64(n) == length
	return b, nil
}

// StreamBody returns a body that holds nothing back and can be opened until its first byte is asked for. The node next
// to a target uses it, because the sender holds what a second send needs.
func StreamBody(source io.Reader, length int64) *Body {
	return &Body{source: source, length: length, ended: length == 0}
}

// fillUnknown grows the prefix as bytes arrive, so that a short body of unknown length takes little memory.
func (b *Body) fillUnknown() error {
	p, err := io.ReadAll(io.LimitReader(b.source, PrefixSize))
	b.prefix = p
	if err != nil {
		return err
	}
	if len(p) < PrefixSize {
		b.ended = true
		b.length = int64(len(p))
	}
	return nil
}

// Length returns the length of the body, -1 when it is not known.
func (b *Body) Length() int64 { return b.length }

// Empty reports whether the body has no bytes.
func (b *Body) Empty() bool { return b.ended && len(b.prefix) == 0 }

// Buffered reports whether the whole body is held, so that it can always be sent again.
func (b *Body) Buffered() bool { return b.ended }

// Open returns a reader from the first byte, and false when bytes after the prefix were already read. A body that is
// held whole has any number of readers at a time. Otherwise readers opened earlier are closed, because an HTTP
// transport may go on reading a body after its request has failed.
func (b *Body) Open() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.past {
		return nil, false
	}
	b.turn++
	return &reader{b: b, turn: b.turn}, true
}

// reader is one pass over a body.
type reader struct {
	b    *Body
	turn int
	at   int
}

func (r *reader) Read(p []byte) (int, error) {
	n, source, err := r.fromPrefix(p)
	if !source {
		return n, err
	}
	return r.b.source.Read(p)
}

// fromPrefix serves the bytes that are held. source is true when the bytes must come from the source.
func (r *reader) fromPrefix(p []byte) (n int, source bool, err error) {
	b := r.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.turn != b.turn && !b.ended {
		return 0, false, io.ErrClosedPipe
	}
	if r.at < len(b.prefix) {
		n = copy(p, b.prefix[r.at:])
		r.at += n
		return n, false, nil
	}
	if b.ended {
		return 0, false, io.EOF
	}
	b.past = true
	return 0, true, nil
}

func (r *reader) Close() error {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	if r.turn == r.b.turn {
		r.b.turn++
	}
	return nil
}

// Digest returns a hash over the path and query, the first bytes of the body and its declared length. Two requests with
// the same digest, method and backer are taken for the same content.
func (b *Body) Digest(uri string) uint64 {
	h := quarantine.NewHasher(b.length)
	_, _ = h.Write(b.prefix) // a Hasher never fails
	return h.Sum() ^ xxhash.Sum64String(uri)
}
