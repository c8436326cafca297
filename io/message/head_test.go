package message_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"mustardmast/io/message"
)

// Guards against an answer with a status or a name that HTTP does not have, and against rejecting one that it has.
func TestCheckHead(t *testing.T) {
	for status, ok := range map[int]bool{-1: false, 0: false, 99: false, 100: true, 101: false, 200: true, 599: true, 999: true, 1000: false} {
		assert.Equal(t, message.CheckHead(status, http.Header{"A": {"b"}}) == nil, ok, "%d", status)
	}
	for name, ok := range map[string]bool{
		"Etag": true, "x_1!#$%&'*+-.^`|~": true, "": false, " A": false, "A ": false, "A B": false, "A\t": false, "A\x00": false,
		"A\r": false, "A\n": false, "A\x7f": false, "A:": false, "\"A\"": false, "Ä": false,
	} {
		assert.Equal(t, message.CheckHead(http.StatusOK, http.Header{name: {"b"}}) == nil, ok, "%q", name)
	}
}
