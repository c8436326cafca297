package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixSize is the number of leading bytes of a body that determine its digest. Longer bodies need not be buffered.
const PrefixSize = 64 << 10

// Hasher computes the digest of a streamed body from its first PrefixSize bytes and its declared length. It is not safe
// for concurrent use.
type Hasher struct {
	d         xxhash.Digest
	remaining int
}

// NewHasher returns a Hasher for one body. The length is the declared one, or -1 if there is none.
func NewHasher(length int64) *Hasher {
	h := &Hasher{remaining: PrefixSize}
	h.d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(length))
	_, _ = h.d.Write(b[:])
	return h
}

// Write adds the next part of the body. It never fails.
func (h *Hasher) Write(p []byte) (int, error) {
	if n := min(len(p), h.remaining); n > 0 {
		_, _ = h.d.Write(p[:n])
		h.remaining -= n
	}
	return len(p), nil
}

// Full reports whether further parts of the body no longer change the digest.
func (h *Hasher) Full() bool { return h.remaining == 0 }

// Sum returns the digest of the body written so far.
func (h *Hasher) Sum() uint64 { return h.d.Sum64() }

// Fingerprint identifies all requests with the same service, method, backer and content, whatever their ids. It is
// never 0.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request with the given content digest.
func FingerprintOf(service, method, backer string, digest uint64) Fingerprint {
	var b [20]byte
	binary.LittleEndian.PutUint64(b[0:], digest)
	binary.LittleEndian.PutUint32(b[8:], uint32(len(service)))
	binary.LittleEndian.PutUint32(b[12:], uint32(len(method)))
	binary.LittleEndian.PutUint32(b[16:], uint32(len(backer)))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(service)
	_, _ = d.WriteString(method)
	_, _ = d.WriteString(backer)
	return Fingerprint(max(d.Sum64(), 1))
}
