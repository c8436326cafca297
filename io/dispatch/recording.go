package dispatch

import (
	"io"
	"sync"
)

// recordingBody records a response of up to limit bytes while it is read, so that it can be replayed when the request
// is sent again. If the caller disconnects, the remainder is still read up to the limit.
type recordingBody struct {
	io.ReadCloser
	limit    int
	recorded []byte
	tooLarge bool // more than limit bytes were read
	atEOF    bool
	failed   bool
	once     sync.Once
	onClose  func(body []byte, complete bool)
}

func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.record(p[:n])
	switch err {
	case nil:
	case io.EOF:
		b.atEOF = true
	default:
		b.failed = true
	}
	return n, err
}

func (b *recordingBody) record(p []byte) {
	if b.tooLarge || len(b.recorded)+len(p) > b.limit {
		b.tooLarge, b.recorded = true, nil
		return
	}
	b.recorded = append(b.recorded, p...)
}

func (b *recordingBody) Close() error {
	b.once.Do(func() {
		var p [4 << 10]byte
		for !b.atEOF && !b.failed && !b.tooLarge {
			_, _ = b.Read(p[:]) // Read records how the body ended
		}
		b.onClose(b.recorded, b.atEOF && !b.tooLarge)
	})
	return b.ReadCloser.Close()
}
