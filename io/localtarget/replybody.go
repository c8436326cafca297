package localtarget

import (
	"io"
	"sync"
)

// replyBody calls onClose once, when it is closed. Complete is whether it was read to its end.
type replyBody struct {
	io.ReadCloser
	onClose  func(complete bool, err error)
	complete bool
	err      error
	once     sync.Once
}

func (b *replyBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch err {
	case nil:
	case io.EOF:
		b.complete = true
	default:
		b.err = err
	}
	return n, err
}

func (b *replyBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.onClose(b.complete, b.err) })
	return err
}
