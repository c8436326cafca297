package message

import "io"

const (
	maxBuffer = 32 << 10 // bytes
	minBuffer = 512
)

// Copy copies a body of the given length, -1 if unknown, through a buffer no larger than the body needs. It does not
// use a ReadFrom method of w, which would allocate a buffer of its own.
func Copy(w io.Writer, body io.Reader, length int64) (int64, error) {
	if b, ok := body.(io.WriterTo); ok { // in memory
		return b.WriteTo(w)
	}
	size := int64(maxBuffer)
	if length >= 0 {
		size = min(maxBuffer, max(minBuffer, length+1))
	}
	return io.CopyBuffer(onlyWriter{w}, body, make([]byte, size))
}

// onlyWriter hides the other methods of a writer.
type onlyWriter struct{ io.Writer }
