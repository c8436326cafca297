package header

import (
	"net/http"
	"strconv"

	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// Envelope is what one node tells the next beside the call itself.
type Envelope struct {
	Incarnation uint64
	Nonce       uint64
	Digest      uint64
	Withheld    uint32
}

// WriteEnvelope sets the headers between nodes.
func WriteEnvelope(h http.Header, c call.Call, p Envelope) {
	h.Set(Idempotent, strconv.FormatBool(c.Idempotent()))
	h.Set(Long, strconv.FormatBool(c.Long()))
	h.Set(Incarnation, strconv.FormatUint(p.Incarnation, 16))
	h.Set(Nonce, strconv.FormatUint(p.Nonce, 16))
	h.Set(Digest, strconv.FormatUint(p.Digest, 16))
	h.Set(Withheld, strconv.FormatUint(uint64(p.Withheld), 10))
}

// ReadEnvelope returns what the headers between nodes say, and sets what they say of the call in s.
func ReadEnvelope(h http.Header, s *call.Spec) (Envelope, error) {
	var p Envelope
	var err error
	read := func(name string, base, bits int) uint64 {
		n, e := strconv.ParseUint(h.Get(name), base, bits)
		if e != nil && err == nil {
			err = fault.Newf(fault.BadRequest, "header %s has value %q", name, h.Get(name))
		}
		return n
	}
	p.Incarnation = read(Incarnation, 16, 64)
	p.Nonce = read(Nonce, 16, 64)
	p.Digest = read(Digest, 16, 64)
	p.Withheld = uint32(read(Withheld, 10, 32))
	s.Idempotent = h.Get(Idempotent) == "true"
	s.Long = h.Get(Long) == "true"
	return p, err
}

// RemoveEnvelope removes the headers between nodes, so that nothing outside can set them and targets do not see them.
func RemoveEnvelope(h http.Header) {
	for _, k := range []string{Idempotent, Long, Incarnation, Nonce, Digest, Withheld} {
		h.Del(k)
	}
}
