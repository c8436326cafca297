package placement

import (
	"bytes"
	"context"
	"io"

	"mustardmast"
	"mustardmast/core/fault"
)

// bufferReply reads a reply completely, unless it is too large.
func bufferReply(ctx context.Context, r *mustardmast.TargetReply) (*mustardmast.TargetReply, error) {
	if r.Length > maxBufferedReply {
		return r, nil
	}
	var b bytes.Buffer
	if r.Length > 0 {
		b.Grow(int(r.Length) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(r.Body, maxBufferedReply))
	if err == nil && n < maxBufferedReply && r.Length > n {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		_ = r.Body.Close() // the read has already failed
		if ctx.Err() != nil {
			return nil, fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "while reading the reply")
		}
		return nil, fault.Wrap(err, fault.AnswerCut, "the reply was truncated")
	}
	if n == maxBufferedReply {
		r.Body = &streamedReply{Reader: io.MultiReader(&b, r.Body), Closer: r.Body, done: func() {}}
		return r, nil
	}
	_ = r.Body.Close() // the reply has been read completely
	r.Body, r.Length = io.NopCloser(&b), n
	return r, nil
}

// streamedReply is the body of a reply that is read from the target while it is forwarded to the caller.
type streamedReply struct {
	io.Reader
	io.Closer
	done func()
}

// Close implements io.Closer.
func (r *streamedReply) Close() error {
	defer r.done()
	return r.Closer.Close()
}
