package message_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/message"
)

// Guards against lost or extra bytes when the body is about as long as the buffer.
func TestCopy(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 32 << 10, 32<<10 + 1, 100_000} {
		for _, length := range []int64{int64(size), -1} {
			var out bytes.Buffer
			n, err := message.Copy(&out, io.LimitReader(strings.NewReader(strings.Repeat("x", size)), int64(size)), length)
			assert.NilError(t, err)
			assert.Equal(t, n, int64(size))
			assert.Equal(t, out.Len(), size)
		}
		var out bytes.Buffer
		n, err := message.Copy(&out, strings.NewReader(strings.Repeat("x", size)), int64(size))
		assert.NilError(t, err)
		assert.Equal(t, n, int64(size))
		assert.Equal(t, out.String(), strings.Repeat("x", size))
	}
}

// Guards against forwarding a hop-by-hop header that is named in a second Connection field.
func TestCopyHeaderReadsAllConnectionFields(t *testing.T) {
	to := http.Header{}
	message.CopyHeader(to, http.Header{"Connection": {"close, X-One", "X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"}, "Keep-Alive": {"timeout=5"}})
	assert.DeepEqual(t, to, http.Header{"X-Three": {"3"}})
}
