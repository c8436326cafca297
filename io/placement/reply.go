package placement

import (
	"bytes"
	"context"
	"io"

	"mustardmast"
	"mustardmast/core/fault"
)

// whole reads an answer to its end if it is not too large.
func whole(ctx context.Context, r *mustardmast.TargetReply) (*mustardmast.TargetReply, error) {
	if r.Length > wholeAnswer {
		return r, nil
	}
	var b bytes.Buffer
	if r.Length > 0 {
		b.Grow(int(r.Length) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(r.Body, wholeAnswer))
	if err != nil {
		_ = r.Body.Close() // the read has failed already
		if ctx.Err() != nil {
			return nil, fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "while the answer was read")
		}
		return nil, fault.Wrap(err, fault.AnswerCut, "the answer broke off")
	}
	if n == wholeAnswer {
		r.Body = &rest{Reader: io.MultiReader(&b, r.Body), Closer: r.Body, done: func() {}}
		return r, nil
	}
	if err := r.Body.Close(); err != nil && r.Length > n {
		return nil, fault.Wrap(err, fault.AnswerCut, "the answer broke off")
	}
	r.Body, r.Length = io.NopCloser(&b), n
	return r, nil
}

// rest is an answer that is read from its target while it goes to the caller.
type rest struct {
	io.Reader
	io.Closer
	done func()
}

// Close ends the reading.
func (r *rest) Close() error {
	defer r.done()
	return r.Closer.Close()
}
