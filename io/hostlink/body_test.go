package hostlink_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustardmast"
	"mustardmast/core/fault"
)

// Guards against taking a truncated reply between two nodes for complete. It breaks off in the first frame or later,
// and the body ends in each possible way: by a reset, or before its declared length or last chunk.
func TestTruncatedReply(t *testing.T) {
	for _, cause := range []error{errors.New("reset"), io.ErrUnexpectedEOF} {
		for _, size := range []int{0, 4, 100 << 10} {
			for _, length := range []int64{-1, 200 << 10} {
				address, c := serve(t, &node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
					return &mustardmast.TargetReply{Status: 200, Header: http.Header{}, Length: length,
						Body: io.NopCloser(io.MultiReader(bytes.NewReader(pattern(size)), broken{cause}))}, nil
				}})
				reply, _, _, err := c.Execute(context.Background(), address, call())
				if err == nil {
					_, err = io.ReadAll(reply.Body)
				}
				assert.Assert(t, err != nil, "%v after %d bytes of %d", cause, size, length)
			}
		}
	}
}

type broken struct{ error }

func (b broken) Read([]byte) (int, error) { return 0, b.error }

// pattern returns a body in which lost, duplicated or reordered bytes show.
func pattern(size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(i * 7 >> 3)
	}
	return b
}

// Guards against bodies that are altered in transit, for sizes around those of frames and the flow-control window, with
// and without a declared length, in memory and streamed.
func TestBodies(t *testing.T) {
	address, c := serve(t, &node{execute: func(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		var raw []byte
		if c.Body != nil {
			var err error
			if raw, err = io.ReadAll(c.Body); err != nil {
				return nil, fault.Wrap(err, fault.BadRequest, "body")
			}
		}
		return &mustardmast.TargetReply{Status: 200, Header: http.Header{}, Length: c.Length, Body: io.NopCloser(bytes.NewReader(raw))}, nil
	}})
	for _, size := range []int{1, 16<<10 - 1, 16 << 10, 16<<10 + 1, 128 << 10, 128<<10 + 1, 1 << 20} {
		for _, length := range []int64{int64(size), -1} {
			for _, streamed := range []bool{false, true} {
				sent := call()
				sent.Length, sent.Body = length, bytes.NewReader(pattern(size))
				if streamed {
					sent.Body = io.MultiReader(sent.Body)
				}
				reply, _, _, err := c.Execute(context.Background(), address, sent)
				assert.NilError(t, err)
				got, err := io.ReadAll(reply.Body)
				assert.NilError(t, err)
				assert.NilError(t, reply.Body.Close())
				assert.Assert(t, bytes.Equal(got, pattern(size)), "%d bytes, length %d, streamed %v: got %d", size, length, streamed, len(got))
			}
		}
	}
}

// Guards against a request body that the caller truncates and that looks complete to the target.
func TestTruncatedRequestBody(t *testing.T) {
	read := make(chan error, 1)
	address, c := serve(t, &node{execute: func(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		_, err := io.ReadAll(c.Body)
		read <- err
		return nil, fault.New(fault.BadRequest, "")
	}})
	sent := call()
	sent.Length, sent.Body = 200<<10, io.MultiReader(bytes.NewReader(pattern(100<<10)), broken{io.ErrUnexpectedEOF})
	_, _, _, err := c.Execute(context.Background(), address, sent)
	assert.Assert(t, err != nil)
	assert.Assert(t, <-read != nil)
}

// Guards against a reply that is read slowly: it must neither fill the memory of the sending or the receiving node nor
// delay other calls on the connection.
func TestSlowReader(t *testing.T) {
	const size = 4 << 20
	var sent atomic.Int64
	address, c := serve(t, &node{execute: func(_ context.Context, c *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		if c.ID == "small" {
			return &mustardmast.TargetReply{Status: 200, Length: 2, Body: io.NopCloser(strings.NewReader("ok"))}, nil
		}
		return &mustardmast.TargetReply{Status: 200, Length: size, Body: io.NopCloser(&counted{Reader: bytes.NewReader(pattern(size)), n: &sent})}, nil
	}})
	slow, _, _, err := c.Execute(context.Background(), address, call())
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, sent.Load() < 256<<10, "%d bytes in flight", sent.Load())
	small := call()
	small.ID = "small"
	began := time.Now()
	reply, _, _, err := c.Execute(context.Background(), address, small)
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	assert.Assert(t, time.Since(began) < time.Second)
	got, err := io.ReadAll(slow.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, pattern(size)))
	assert.NilError(t, slow.Body.Close())
}

type counted struct {
	io.Reader
	n *atomic.Int64
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// Guards against a peer that sends more of a body than it may, and fills the memory of a node whose target reads nothing.
func TestBodyBeyondItsWindow(t *testing.T) {
	began, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	address, c := serve(t, &node{execute: func(context.Context, *mustardmast.TargetCall) (*mustardmast.TargetReply, error) {
		close(began)
		<-done
		return nil, fault.New(fault.Shed, "test")
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		call := call()
		call.Body, call.Length = strings.NewReader("x"), -1
		call.Body = io.MultiReader(call.Body, blocked{done}) // streamed
		_, _, _, _ = c.Execute(context.Background(), l.Addr().String(), call)
	}()
	client, err := l.Accept()
	assert.NilError(t, err)
	defer client.Close()
	server, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer server.Close()
	go func() { _, _ = io.Copy(server, client) }()
	<-began
	frame := append([]byte{0, 0, 0x20, 0, 3, 0, 0, 0, 1}, make([]byte, 8192)...) // data of the first stream
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(client, server) // until the node closes the connection
	}()
	for range 64 {
		if _, err := server.Write(frame); err != nil {
			break
		}
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the node goes on reading")
	}
}

// blocked is a body of which nothing can be read before done is closed.
type blocked struct{ done <-chan struct{} }

func (b blocked) Read([]byte) (int, error) {
	<-b.done
	return 0, io.EOF
}
