package dispatch

import (
	"io"
	"sync"

	"mustardmast/core/fault"
)

// countedBody calls done once, when the response was read or given up.
type countedBody struct {
	io.ReadCloser
	once sync.Once
	err  error
	done func(err error)
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.err = fault.Wrap(err, fault.AnswerCut, "read the response")
		return n, b.err
	}
	return n, err
}

func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.done(b.err) })
	return err
}
