package hostlink_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
)

// stalled is a body that blocks after its data until the test ends.
type stalled struct {
	io.Reader
	reached chan struct{} // closed when the data has been read
	resume  <-chan struct{}
	once    sync.Once
}

func newStalled(t *testing.T, size int) *stalled {
	t.Helper()
	resume := make(chan struct{})
	t.Cleanup(func() { close(resume) })
	return &stalled{Reader: bytes.NewReader(pattern(size)), reached: make(chan struct{}), resume: resume}
}

func (s *stalled) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	s.once.Do(func() { close(s.reached) })
	<-s.resume
	return 0, io.EOF
}

// Guards against a reply that looks complete although the node that sent it has been killed, for replies that break off in
// their first frame and later, with and without a length.
func TestReplyOfKilledNode(t *testing.T) {
	for _, size := range []int{20 << 10, 100 << 10} {
		for _, length := range []int64{-1, 120 << 10} {
			body := newStalled(t, size)
			address, c := serve(t, &node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
				return &mustardmast.TargetReply{Status: 200, Header: http.Header{}, Length: length, Body: io.NopCloser(body)}, nil
			}})
			r := newRelay(t, address)
			reply, _, _, err := c.Execute(context.Background(), r.address, call())
			assert.NilError(t, err)
			<-body.reached
			time.AfterFunc(20*time.Millisecond, r.cut)
			got, err := io.ReadAll(reply.Body)
			assert.Assert(t, err != nil, "%d bytes of a reply of length %d look complete", len(got), length)
		}
	}
}

// Guards against an upload that looks complete to the target although the entry node has been killed.
func TestUploadOfKilledNode(t *testing.T) {
	for _, length := range []int64{-1, 120 << 10} {
		read := make(chan error, 1)
		address, c := serve(t, &node{execute: func(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
			_, err := io.ReadAll(c.Body)
			read <- err
			return nil, fault.New(fault.BadRequest, "")
		}})
		r := newRelay(t, address)
		body := newStalled(t, 100<<10)
		sent := call()
		sent.Length, sent.Body = length, body
		go func() {
			<-body.reached
			time.Sleep(20 * time.Millisecond)
			r.cut()
		}()
		_, _, _, err := c.Execute(context.Background(), r.address, sent)
		assert.Assert(t, err != nil)
		assert.Assert(t, <-read != nil, "an upload of length %d looks complete", length)
	}
}

// Guards against a reply that ends before its declared length without an error of its body, and is passed on as a
// complete one.
func TestReplyShorterThanItsLength(t *testing.T) {
	for _, size := range []int{0, 4, 16 << 10, 100 << 10} {
		address, c := serve(t, &node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
			return &mustardmast.TargetReply{Status: 200, Header: http.Header{}, Length: 120 << 10, Body: io.NopCloser(bytes.NewReader(pattern(size)))}, nil
		}})
		reply, _, _, err := c.Execute(context.Background(), address, call())
		if err == nil {
			_, err = io.ReadAll(reply.Body)
		}
		assert.Assert(t, err != nil, "%d bytes of a reply of 120 KB look complete", size)
	}
}
