package hostlink

import "encoding/binary"

// A connection carries a sequence of frames in each direction. A frame consists of the length of its payload, its kind
// with a flag, the id of its stream, and the payload. Each call is a stream, numbered by the node that opened the
// connection.
const frameHeaderSize = 9 // bytes

// Frame kinds.
const (
	kindCall   = iota + 1 // opens a stream; carries the head of a call and the first bytes of its body
	kindReply             // carries the head of the reply and the first bytes of its body
	kindData              // carries further bytes of a body
	kindCredit            // grants the peer a number of further body bytes
	kindAbort             // cancels the call, or ends a truncated body
	kindPing              // requests a pong
	kindPong
	kindReceived // the peer has received a call that is not repeatable
)

// flagLast marks the last frame of a body.
const flagLast = 0x80

const (
	// preface is sent first on each connection. It contains the version of the protocol.
	preface = "mustardmast-link 2\n"
	// maxPayload and maxHeadSize are the maximum sizes in bytes of a payload and of an encoded head. Heads of requests
	// are limited to 64 KiB at the entry node, those of responses to 192 KiB by the node beside the target.
	maxPayload  = 256 << 10
	maxHeadSize = maxPayload - chunkSize - binary.MaxVarintLen32
	// chunkSize is the maximum number of body bytes in a frame, also in the frame that carries the head.
	chunkSize = 16 << 10
	// WindowSize is the maximum number of body bytes in flight that the receiver has not read yet. It bounds the memory
	// used for a slow reader. With a round trip of 1 ms, a call of 100 ms does not wait for credit below 100 MB/s.
	WindowSize = 128 << 10
	// creditThreshold is the number of bytes read after which the receiver grants the sender more.
	creditThreshold = WindowSize / 2
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

// splitHead splits a payload written by writeHead into the head, which has its length as a prefix, and the body.
func splitHead(payload []byte) (head, body []byte, ok bool) {
	size, n := binary.Uvarint(payload)
	if n <= 0 || size > uint64(len(payload)-n) {
		return nil, nil, false
	}
	return payload[n : n+int(size)], payload[n+int(size):], true
}
