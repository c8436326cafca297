package hostlink

import "encoding/binary"

// What one node sends another is a sequence of frames: the length of the payload, the kind with a flag, the number of the
// stream, and the payload. A call is a stream; the node that opened the connection numbers it.
const frameHeader = 9 // bytes

// Kinds of frames.
const (
	kindCall   = iota + 1 // opens a stream: the head of a call and the first bytes of its body
	kindReply             // the head of the reply and the first bytes of its body
	kindData              // more bytes of a body
	kindCredit            // how many more bytes of a body the other side may send
	kindAbort             // the call is given up, or the body before it broke off
	kindPing              // asks for a pong
	kindPong
)

// flagLast marks the last frame of a body.
const flagLast = 0x80

const (
	// preface opens a connection, with the version of the format.
	preface = "mustardmast-link 1\n"
	// mostPayload is the largest payload in bytes, and mostHead the largest head. Those of requests are bounded by 64 KiB at
	// the entry, those of answers by 192 KiB at the target.
	mostPayload = 256 << 10
	mostHead    = mostPayload - chunk - binary.MaxVarintLen32
	// chunk is how much of a body one frame carries, and what of it goes with the head.
	chunk = 16 << 10
	// window is how many bytes of a body may be under way before the receiver has read them. It bounds the memory that
	// a slow reader costs: a call of 100 ms at 1 ms of round trip never waits for it below 100 MB/s.
	window = 128 << 10
	// creditStep is how many bytes are read before the sender is told.
	creditStep = window / 2
)

func appendFrame(b []byte, kind byte, stream uint32, parts ...[]byte) []byte {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(size))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, stream)
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// split takes the head, which its length precedes, off the payload that writeHead sends.
func split(payload []byte) (head, body []byte, ok bool) {
	size, n := binary.Uvarint(payload)
	if n <= 0 || size > uint64(len(payload)-n) {
		return nil, nil, false
	}
	return payload[n : n+int(size)], payload[n+int(size):], true
}
