package message

import "io"

const (
	largestBuffer  = 32 << 10 // bytes
	smallestBuffer = 512
)

// Copy copies a body of this length, -1 if it is not known, through a buffer that is no larger than the body needs. A
// ReadFrom method of w is not used, since it would bring a buffer of its own.
func Copy(w io.Writer, body io.Reader, length int64) (int64, error) {
	if b, ok := body.(io.WriterTo); ok { // it is in memory
		return b.WriteTo(w)
	}
	size := int64(largestBuffer)
	if length >= 0 {
		size = min(largestBuffer, max(smallestBuffer, length+1))
	}
	return io.CopyBuffer(onlyWriter{w}, body, make([]byte, size))
}

// onlyWriter hides the other methods of a writer.
type onlyWriter struct{ io.Writer }
