package message_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/message"
)

// Guards against an answer with a status that HTTP does not have, and against rejecting one that it has.
func TestCheckHead(t *testing.T) {
	for status, ok := range map[int]bool{-1: false, 0: false, 99: false, 100: true, 200: true, 599: true, 999: true, 1000: false} {
		assert.Equal(t, message.CheckHead(status) == nil, ok, "%d", status)
	}
}
