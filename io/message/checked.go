package message

import (
	"fmt"
	"io"
)

// CheckedBody returns a body that fails if it ends before its declared length or exceeds it. A length of -1 is unknown.
func CheckedBody(body io.ReadCloser, length int64) io.ReadCloser {
	if length < 0 {
		return body
	}
	return &checkedBody{ReadCloser: body, length: length}
}

type checkedBody struct {
	io.ReadCloser
	length, read int64
}

func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case b.read > b.length:
		return 0, fmt.Errorf("body has more than its declared length of %d bytes", b.length)
	case err == io.EOF && b.read < b.length:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
