package dispatch

import (
	"io"
	"sync"

	"mustardmast/core/fault"
)

// reportingBody calls onClose once, when the body is closed, with the error that ended reading, if any.
type reportingBody struct {
	io.ReadCloser
	once    sync.Once
	err     error
	onClose func(err error)
}

func (b *reportingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.err = fault.Wrap(err, fault.AnswerCut, "read the response")
		return n, b.err
	}
	return n, err
}

func (b *reportingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.onClose(b.err) })
	return err
}
