package message_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/message"
)

// Guards against a retry whose body lacks its first bytes.
func TestShortBodyReopens(t *testing.T) {
	for _, length := range []int64{5, -1} {
		b, err := message.NewBody(strings.NewReader("hello"), length)
		assert.NilError(t, err)
		for range 2 {
			r, ok := b.Open()
			assert.Assert(t, ok)
			got, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.Equal(t, string(got), "hello")
		}
	}
}

// Guards against a failed attempt whose HTTP transport still reads the body while the next attempt reads it.
func TestOlderReaderIsClosed(t *testing.T) {
	data := strings.Repeat("x", message.PrefixSize+10)
	b, err := message.NewBody(strings.NewReader(data), int64(len(data)))
	assert.NilError(t, err)
	old, _ := b.Open()
	_, _ = b.Open()
	_, err = old.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.ErrClosedPipe)
}

// Guards against a retry that sends a large upload from the middle.
func TestLargeBodyOpensOnce(t *testing.T) {
	data := bytes.Repeat([]byte("x"), message.PrefixSize+10)
	b, err := message.NewBody(bytes.NewReader(data), int64(len(data)))
	assert.NilError(t, err)
	r, ok := b.Open()
	assert.Assert(t, ok)
	got, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(data))
	_, ok = b.Open()
	assert.Assert(t, !ok)
}

// Guards against accepting a body that ends before its declared length.
func TestTruncatedBodyIsAnError(t *testing.T) {
	_, err := message.NewBody(strings.NewReader("hel"), 5)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against concurrent attempts that share one reader and each send only a part of the body.
func TestBufferedBodyHasTwoReaders(t *testing.T) {
	b, err := message.NewBody(strings.NewReader("hello"), 5)
	assert.NilError(t, err)
	one, _ := b.Open()
	two, _ := b.Open()
	for _, r := range []io.Reader{one, two} {
		got, err := io.ReadAll(r)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "hello")
	}
}

// Guards against a request that crashes targets and is not recognized because its caller sends it again with its body in
// chunks.
func TestDigestIgnoresFraming(t *testing.T) {
	for _, size := range []int{5, message.PrefixSize - 1, message.PrefixSize, message.PrefixSize + 10} {
		data := strings.Repeat("x", size)
		known, err := message.NewBody(strings.NewReader(data), int64(size))
		assert.NilError(t, err)
		unknown, err := message.NewBody(strings.NewReader(data), -1)
		assert.NilError(t, err)
		assert.Equal(t, known.Digest("/a"), unknown.Digest("/a"), "%d bytes", size)
	}
}
