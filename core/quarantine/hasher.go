package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixSize is how much of a body decides its digest. Larger bodies stream through without being held.
const PrefixSize = 64 << 10

// Hasher computes the digest of a body that streams by: its first bytes and its declared length.
type Hasher struct {
	d    xxhash.Digest
	left int
}

// NewHasher returns the hasher of one body. The length is the declared one, -1 if there is none.
func NewHasher(length int64) *Hasher {
	h := &Hasher{left: PrefixSize}
	h.d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(length))
	_, _ = h.d.Write(b[:])
	return h
}

// Write takes the next part of the body. It never fails.
func (h *Hasher) Write(p []byte) (int, error) {
	if n := min(len(p), h.left); n > 0 {
		_, _ = h.d.Write(p[:n])
		h.left -= n
	}
	return len(p), nil
}

// Full reports whether the rest of the body no longer changes the digest.
func (h *Hasher) Full() bool { return h.left == 0 }

// Sum returns the digest of what was written.
func (h *Hasher) Sum() uint64 { return h.d.Sum64() }

// Fingerprint stands for all requests with one service, method, backer and content, whatever their ids. It is
// never 0.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request with this content digest.
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
