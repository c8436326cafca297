package message_test

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/message"
)

// Guards against a truncated body, or one with bytes of another message after it, that is taken for a complete one.
func TestCheckedBody(t *testing.T) {
	for _, length := range []int64{-1, 0, 4, 5, 6} {
		got, err := io.ReadAll(message.CheckedBody(io.NopCloser(strings.NewReader("hello")), length))
		if length < 0 || length == 5 {
			assert.NilError(t, err)
			assert.Equal(t, string(got), "hello")
			continue
		}
		assert.Assert(t, err != nil, "length %d", length)
	}
}
