// Package message represents a request and its response on their way through a node.
//
// Bodies are streams. The first bytes of a request body are buffered, so that a call can be retried on another target
// as long as no more of its body has been read, and so that its content can be recognized.
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
	URI    string // path and query as sent by the caller
	Header http.Header
	Body   *Body
	Digest uint64 // of the content, see Body.Digest

	Withheld uint32 // number of calls rejected at the sender that this one stands for; 0 at the entry node
}

// Response is the response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // -1 if unknown
}
