package header

import (
	"net/http"
	"strconv"

	"mustardmast/core/call"
	"mustardmast/core/fault"
)

// Envelope contains the values of the headers that a node sends with a call in addition to those of the call itself.
// See execute.Envelope.
type Envelope struct {
	Incarnation uint64
	Nonce       uint64
	Digest      uint64
	Withheld    uint32
}

// WriteEnvelope sets the headers that are used between nodes.
func WriteEnvelope(h http.Header, c call.Call, env Envelope) {
	h.Set(Idempotent, strconv.FormatBool(c.Idempotent()))
	h.Set(Long, strconv.FormatBool(c.Long()))
	h.Set(Incarnation, strconv.FormatUint(env.Incarnation, 16))
	h.Set(Nonce, strconv.FormatUint(env.Nonce, 16))
	h.Set(Digest, strconv.FormatUint(env.Digest, 16))
	h.Set(Withheld, strconv.FormatUint(uint64(env.Withheld), 10))
}

// ReadEnvelope returns the envelope in the headers that are used between nodes. It also sets the properties of the call
// that these headers contain in s.
func ReadEnvelope(h http.Header, s *call.Spec) (Envelope, error) {
	var env Envelope
	var err error
	read := func(name string, base, bits int) uint64 {
		n, e := strconv.ParseUint(h.Get(name), base, bits)
		if e != nil && err == nil {
			err = fault.Newf(fault.BadRequest, "header %s has value %q", name, h.Get(name))
		}
		return n
	}
	env.Incarnation = read(Incarnation, 16, 64)
	env.Nonce = read(Nonce, 16, 64)
	env.Digest = read(Digest, 16, 64)
	env.Withheld = uint32(read(Withheld, 10, 32))
	s.Idempotent = h.Get(Idempotent) == "true"
	s.Long = h.Get(Long) == "true"
	return env, err
}

// RemoveEnvelope removes the headers that are used between nodes, so that callers cannot set them and targets do not
// see them.
func RemoveEnvelope(h http.Header) {
	for _, k := range []string{Idempotent, Long, Incarnation, Nonce, Digest, Withheld} {
		h.Del(k)
	}
}
