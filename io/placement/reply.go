package placement

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"mustardmast"
	"mustardmast/core/fault"
	"mustardmast/core/quota"
	"mustardmast/io/message"
)

const (
	// maxBufferedReply is the size in bytes up to which a reply is read completely before any of it is returned, so
	// that a truncated reply can be retried.
	maxBufferedReply = 256 << 10
	// A reply of unknown length is read in parts of minReplyPart bytes, and then of twice the size up to maxReplyPart.
	minReplyPart = 1 << 10
	maxReplyPart = 32 << 10
)

// replyBuffers buffers replies as long as a quota has room for them. Others are streamed.
type replyBuffers struct {
	quota      *quota.Quota
	unbuffered atomic.Int64 // replies that were streamed because no space was left
}

// read reads a reply completely, unless it is too large or no buffer space is left. The caller must close the body of the
// returned reply.
func (b *replyBuffers) read(ctx context.Context, r *mustardmast.TargetReply) (*mustardmast.TargetReply, error) {
	if r.Length > maxBufferedReply {
		return r, nil
	}
	body := &bufferedBody{buffers: b, source: r.Body}
	size := int64(minReplyPart)
	if r.Length >= 0 {
		size = r.Length + 1 // one byte more, to reach the end
	}
	var ended bool
	var err error
	for err == nil && !ended && body.length < maxBufferedReply {
		if !b.quota.Acquire(size) {
			b.unbuffered.Add(1)
			break
		}
		body.reserved += size
		ended, err = body.readPart(size)
		size = min(2*size, maxReplyPart)
	}
	if ended && r.Length > body.length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		_ = body.Close() // the read has already failed
		if ctx.Err() != nil {
			return nil, fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "while reading the reply")
		}
		return nil, fault.Wrap(err, fault.AnswerCut, "the reply was truncated")
	}
	if ended {
		_ = r.Body.Close() // the reply has been read completely
		r.Length = body.length
	} else {
		body.rest = r.Body
	}
	r.Body = body
	return r, nil
}

// bufferedBody is the body of a reply of which a part, or all, has been read.
type bufferedBody struct {
	buffers  *replyBuffers
	source   io.ReadCloser
	parts    net.Buffers
	length   int64     // of the parts
	rest     io.Reader // what follows the parts; nil if nothing does
	reserved int64
	once     sync.Once
}

// readPart reads up to size bytes and reports whether the body has ended.
func (b *bufferedBody) readPart(size int64) (ended bool, err error) {
	part := make([]byte, size)
	n := 0
	for n < len(part) && !ended && err == nil {
		var m int
		m, err = b.source.Read(part[n:])
		n += m
		if err == io.EOF {
			ended, err = true, nil
		}
	}
	b.parts = append(b.parts, part[:n])
	b.length += int64(n)
	return ended, err
}

// Read implements io.Reader.
func (b *bufferedBody) Read(p []byte) (int, error) {
	if n, _ := b.parts.Read(p); n > 0 || len(p) == 0 { // the error only tells whether they have ended
		return n, nil
	}
	if b.rest == nil {
		return 0, io.EOF
	}
	return b.rest.Read(p)
}

// WriteTo implements io.WriterTo.
func (b *bufferedBody) WriteTo(w io.Writer) (int64, error) {
	n, err := b.parts.WriteTo(w)
	if err != nil || b.rest == nil {
		return n, err
	}
	m, err := message.Copy(w, b.rest, -1)
	return n + m, err
}

// Close implements io.Closer. It releases the buffer space.
func (b *bufferedBody) Close() error {
	b.once.Do(func() { b.buffers.quota.Release(b.reserved) })
	return b.source.Close()
}

// discard closes the body of a reply that is not returned. A nil reply is ignored.
func discard(r *mustardmast.TargetReply) {
	if r != nil {
		_ = r.Body.Close() // nobody reads it
	}
}

// cancelingBody is the body of a reply that cancels its call when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
