// Package message is one request and one response on their way through a node.
//
// Bodies are streams. A request body keeps its first bytes, so that a call whose body was not read further can be sent
// again to another target, and so that its content can be recognised.
package message

import (
	"io"
	"net/http"

	"mustardmast/core/call"
)

// Request is a call with its HTTP parts.
type Request struct {
	Call   call.Call
	Method string // HTTP method
	URI    string // path and query, as the caller sent them
	Header http.Header
	Body   *Body
	Digest uint64 // of the content, see Body.Digest

	Withheld uint32 // calls held back above that this one stands for; 0 at the entry
}

// Response is a target's response on its way back.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // -1 when not known
}
