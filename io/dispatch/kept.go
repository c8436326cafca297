package dispatch

import (
	"io"
	"sync"
)

// keptBody copies a small answer while it passes, so that a resend can have it. When the caller goes away, the rest
// that fits is still read.
type keptBody struct {
	io.ReadCloser
	limit int
	kept  []byte
	large bool // more than limit bytes passed
	ended bool
	cut   bool
	once  sync.Once
	done  func(body []byte, whole bool)
}

func (b *keptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.keep(p[:n])
	switch err {
	case nil:
	case io.EOF:
		b.ended = true
	default:
		b.cut = true
	}
	return n, err
}

func (b *keptBody) keep(p []byte) {
	if b.large || len(b.kept)+len(p) > b.limit {
		b.large, b.kept = true, nil
		return
	}
	b.kept = append(b.kept, p...)
}

func (b *keptBody) Close() error {
	b.once.Do(func() {
		var p [4 << 10]byte
		for !b.ended && !b.cut && !b.large {
			_, _ = b.Read(p[:]) // how it ended is noted by Read
		}
		b.done(b.kept, b.ended && !b.large)
	})
	return b.ReadCloser.Close()
}
