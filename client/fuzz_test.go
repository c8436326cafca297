package client_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"mustardmast/client"
	"mustardmast/core/fault"
	"mustardmast/io/header"
)

// fixedResponse is a transport that returns the same response to every request.
type fixedResponse struct {
	status  int
	headers http.Header
	echoID  bool // add the id of the request
}

func (f fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.echoID {
		f.headers.Set(header.RequestID, r.Header.Get(header.RequestID))
	}
	return &http.Response{StatusCode: f.status, Header: f.headers, Body: io.NopCloser(strings.NewReader("x")), ContentLength: 1,
		ProtoMajor: 1, Request: r}, nil
}

// FuzzResponseHeaders guards against header values that make Do accept a response to another request or one without an
// outcome, or that make it report a request that may have run as not executed.
func FuzzResponseHeaders(f *testing.F) {
	f.Add("executed", "", "3", "10", "id", true, 200)
	f.Add("not-executed", "shed", "-1", "99999999999999999999", "", true, 503)
	f.Add("not-executed", "shed", "", "9300000000000", "", true, 503)
	f.Add("unknown", "no-such-kind", "x", "-5", "other", false, 500)
	f.Fuzz(func(t *testing.T, outcome, kind, budget, after, id string, echo bool, status int) {
		h := http.Header{header.Outcome: {outcome}, header.Error: {kind}, header.RetryBudget: {budget},
			header.RetryAfterMS: {after}, header.RequestID: {id}}
		c, err := client.New(client.Settings{Addresses: []string{"http://node"}, Transport: fixedResponse{status, h, echo}, RetryBudget: -1})
		assert.NilError(t, err)
		res, err := c.Do(context.Background(), client.Request{Service: "a", Method: "b", Idempotent: true})
		if err == nil {
			assert.Assert(t, echo && kind == "" && outcome == fault.Executed.String() && string(res.Body) == "x")
			return
		}
		var e *client.Error
		assert.Assert(t, errors.As(err, &e))
		if e.Outcome() == fault.NotExecuted {
			assert.Assert(t, outcome == fault.NotExecuted.String() && (echo || id == ""), "%v", err)
		}
		assert.Assert(t, e.RetryAfter() >= 0)
	})
}
